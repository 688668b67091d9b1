package medlarentry

import (
	"sync"

	"medlarwheel"
)

// admissionSet holds the gate of each upstream service.
type admissionSet struct {
	clock medlarwheel.Clock

	mu        sync.RWMutex
	byService map[medlarwheel.ServiceName]*serviceAdmission
}

func newAdmissionSet(clock medlarwheel.Clock) *admissionSet {
	return &admissionSet{clock: clock, byService: make(map[medlarwheel.ServiceName]*serviceAdmission)}
}

// forService returns the gate of a service.
func (g *admissionSet) forService(service medlarwheel.ServiceName) *serviceAdmission {
	g.mu.RLock()
	known, ok := g.byService[service]
	g.mu.RUnlock()
	if ok {
		return known
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.byService[service]; ok {
		return known
	}
	fresh := newServiceAdmission(g.clock)
	g.byService[service] = fresh
	return fresh
}

// all returns the gates by service.
func (g *admissionSet) all() map[medlarwheel.ServiceName]*serviceAdmission {
	g.mu.RLock()
	defer g.mu.RUnlock()
	copied := make(map[medlarwheel.ServiceName]*serviceAdmission, len(g.byService))
	for service, known := range g.byService {
		copied[service] = known
	}
	return copied
}

func (g *admissionSet) close() {
	for _, known := range g.all() {
		known.close()
	}
}
