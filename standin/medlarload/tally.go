package medlarload

import (
	"slices"
	"sync"
	"time"

	"medlarwheel"
)

// loadStats collects what callers learned. It is safe for concurrent use.
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

// outcomeKey is an outcome with its reason.
type outcomeKey struct {
	outcome medlarwheel.Outcome
	reason  medlarwheel.Reason
}

// keyRecord is what callers were told about one key whose runs count.
type keyRecord struct {
	// lastStart is the begin of the last call, lastNotRun the time of the last answer that the key was not run.
	lastStart  time.Time
	lastNotRun time.Time
	// doneBy is the runner whose answer was passed on as done.
	doneBy medlarwheel.UpstreamID
	done   bool
}

func newLoadStats() *loadStats {
	return &loadStats{
		templates: map[medlarwheel.TemplateName]*templateStats{}, keys: map[medlarwheel.RequestKey]*keyRecord{},
	}
}

// template returns the tally of a template. The caller holds the lock.
func (t *loadStats) template(name medlarwheel.TemplateName) *templateStats {
	p, ok := t.templates[name]
	if !ok {
		p = &templateStats{finalResults: map[outcomeKey]int{}, calls: map[outcomeKey]int{}}
		t.templates[name] = p
	}
	return p
}

// recordSkipped counts a request that was due but not sent.
func (t *loadStats) recordSkipped(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.template(r.kind.Template)
	p.requests++
	p.skipped++
}

// recordCall counts one call.
func (t *loadStats) recordCall(r *request, got result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.template(r.kind.Template)
	p.calls[outcomeKey{outcome: got.outcome, reason: got.reason}]++
	if got.outcome == medlarwheel.OutcomeNotRun {
		p.refused = append(p.refused, got.end.Sub(got.start))
	}
	if r.key != "" && r.kind.mutates() {
		t.recordKey(r.key, got)
	}
}

func (t *loadStats) recordKey(key medlarwheel.RequestKey, got result) {
	k, ok := t.keys[key]
	if !ok {
		k = &keyRecord{}
		t.keys[key] = k
	}
	if got.start.After(k.lastStart) {
		k.lastStart = got.start
	}
	// A refusal by the generator itself says nothing about the key.
	generated := got.reason == reasonUnreachable || got.reason == reasonBusy
	if got.outcome == medlarwheel.OutcomeNotRun && !generated && got.end.After(k.lastNotRun) {
		k.lastNotRun = got.end
	}
	if got.outcome == medlarwheel.OutcomeDone && got.upstream != "" {
		k.done, k.doneBy = true, got.upstream
	}
}

// recordFinal counts the last result of a request.
func (t *loadStats) recordFinal(r *request, last result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.template(r.kind.Template)
	p.requests++
	p.finalResults[outcomeKey{outcome: last.outcome, reason: last.reason}]++
	if last.outcome != medlarwheel.OutcomeDone {
		return
	}
	p.done = append(p.done, last.end.Sub(r.due))
	if last.reason != reasonWrongResponse && last.reason != reasonStatus {
		p.good++
	}
}

// quantiles returns the quantiles of sorted copies of d.
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
