package medlarentry

import (
	"sync"

	"medlarwheel"
)

// admissionSet holds the admission of each upstream service.
type admissionSet struct {
	clock medlarwheel.Clock

	mu        sync.RWMutex
	byService map[medlarwheel.ServiceName]*serviceAdmission
}

func newAdmissionSet(clock medlarwheel.Clock) *admissionSet {
	return &admissionSet{clock: clock, byService: make(map[medlarwheel.ServiceName]*serviceAdmission)}
}

// forService returns the admission of a service and creates it on first use.
func (s *admissionSet) forService(service medlarwheel.ServiceName) *serviceAdmission {
	s.mu.RLock()
	admission, ok := s.byService[service]
	s.mu.RUnlock()
	if ok {
		return admission
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if admission, ok := s.byService[service]; ok {
		return admission
	}
	created := newServiceAdmission(s.clock)
	s.byService[service] = created
	return created
}

// all returns a copy of the admissions by service.
func (s *admissionSet) all() map[medlarwheel.ServiceName]*serviceAdmission {
	s.mu.RLock()
	defer s.mu.RUnlock()
	copied := make(map[medlarwheel.ServiceName]*serviceAdmission, len(s.byService))
	for service, admission := range s.byService {
		copied[service] = admission
	}
	return copied
}

func (s *admissionSet) close() {
	for _, admission := range s.all() {
		admission.close()
	}
}
