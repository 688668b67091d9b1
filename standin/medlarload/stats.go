package medlarload

import (
	"slices"
	"sync"
	"time"

	"medlarwheel"
)

// loadStats collects the results of calls and requests. It is safe for concurrent use.
type loadStats struct {
	mu        sync.Mutex
	templates map[medlarwheel.TemplateName]*templateStats
	keys      map[medlarwheel.RequestKey]*keyRecord
}

type templateStats struct {
	requests, skipped, good int
	finalResults, calls     map[outcomeKey]int
	done, refused           []time.Duration
}

// outcomeKey is an outcome with its reason, by which results are counted.
type outcomeKey struct {
	outcome medlarwheel.Outcome
	reason  medlarwheel.Reason
}

// keyRecord holds the outcomes that clients got for one key of a mutating request.
type keyRecord struct {
	// lastStart is the start of the last call, lastNotRun the time of the last response that reported the key as not run.
	lastStart  time.Time
	lastNotRun time.Time
	// doneBy is the runner whose response was reported as done.
	doneBy medlarwheel.UpstreamID
	done   bool
}

func newLoadStats() *loadStats {
	return &loadStats{
		templates: map[medlarwheel.TemplateName]*templateStats{}, keys: map[medlarwheel.RequestKey]*keyRecord{},
	}
}

// template returns the statistics of a template. The caller holds the lock.
func (s *loadStats) template(name medlarwheel.TemplateName) *templateStats {
	t, ok := s.templates[name]
	if !ok {
		t = &templateStats{finalResults: map[outcomeKey]int{}, calls: map[outcomeKey]int{}}
		s.templates[name] = t
	}
	return t
}

// recordSkipped counts a request that was due but not sent.
func (s *loadStats) recordSkipped(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.template(r.kind.Template)
	t.requests++
	t.skipped++
}

// recordCall counts one call.
func (s *loadStats) recordCall(r *request, got result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.template(r.kind.Template)
	t.calls[outcomeKey{outcome: got.outcome, reason: got.reason}]++
	if got.outcome == medlarwheel.OutcomeNotRun {
		t.refused = append(t.refused, got.end.Sub(got.start))
	}
	if r.key != "" && r.kind.mutates() {
		s.recordKey(r.key, got)
	}
}

func (s *loadStats) recordKey(key medlarwheel.RequestKey, got result) {
	k, ok := s.keys[key]
	if !ok {
		k = &keyRecord{}
		s.keys[key] = k
	}
	if got.start.After(k.lastStart) {
		k.lastStart = got.start
	}
	// A refusal by the generator itself does not say whether the key was run.
	generated := got.reason == reasonUnreachable || got.reason == reasonBusy
	if got.outcome == medlarwheel.OutcomeNotRun && !generated && got.end.After(k.lastNotRun) {
		k.lastNotRun = got.end
	}
	if got.outcome == medlarwheel.OutcomeDone && got.upstream != "" {
		k.done, k.doneBy = true, got.upstream
	}
}

// recordFinal counts a request by its last result.
func (s *loadStats) recordFinal(r *request, last result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.template(r.kind.Template)
	t.requests++
	t.finalResults[outcomeKey{outcome: last.outcome, reason: last.reason}]++
	if last.outcome != medlarwheel.OutcomeDone {
		return
	}
	t.done = append(t.done, last.end.Sub(r.due))
	if last.reason != reasonWrongResponse && last.reason != reasonStatus {
		t.good++
	}
}

// quantiles returns the quantiles of d.
func quantiles(d []time.Duration) Quantiles {
	if len(d) == 0 {
		return Quantiles{}
	}
	d = slices.Clone(d)
	slices.Sort(d)
	at := func(q float64) medlarwheel.Duration {
		return medlarwheel.Duration(d[min(len(d)-1, int(q*float64(len(d))))].Round(10 * time.Microsecond))
	}
	return Quantiles{Count: len(d), P50: at(0.5), P90: at(0.9), P99: at(0.99), P999: at(0.999), Max: at(1)}
}
