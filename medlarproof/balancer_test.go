package medlarproof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"medlarwheel"
)

// outcomeConnectionLost marks a call whose connection failed after it had been opened.
const outcomeConnectionLost medlarwheel.Outcome = "lost"

type balancedCall struct {
	entry   medlarwheel.InstanceID
	outcome medlarwheel.Outcome
	reason  medlarwheel.Reason
}

// balancedClients stands in for callers behind a load balancer that sends to the ready instances only.
type balancedClients struct {
	entries []*entry

	mu     sync.Mutex
	counts map[balancedCall]int
}

func newBalancedClients(s *system) *balancedClients {
	return &balancedClients{entries: s.entries, counts: map[balancedCall]int{}}
}

// sendUntil sends requests one after another until stop is closed.
func (b *balancedClients) sendUntil(t *testing.T, worker int, template string, stop <-chan struct{}) {
	pause := time.NewTicker(pollInterval)
	defer pause.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-pause.C:
		}
		e := b.entries[(worker+i)%len(b.entries)]
		if !e.isReady() {
			continue
		}
		key := medlarwheel.RequestKey(fmt.Sprintf("%s:stop-%d-%d", e.dataCentre, worker, i))
		r := call(e, "POST", template, "stop", key, maxDeadline)
		if r.err != nil || r.outcome == "" {
			t.Logf("call through %s: %v, status %d", e.id, r.err, r.status)
			r.outcome = outcomeConnectionLost
		}
		b.mu.Lock()
		b.counts[balancedCall{e.id, r.outcome, r.reason}]++
		b.mu.Unlock()
	}
}

// count returns the calls through an instance with an outcome.
func (b *balancedClients) count(e *entry, outcome medlarwheel.Outcome) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for c, count := range b.counts {
		if c.entry == e.id && c.outcome == outcome {
			n += count
		}
	}
	return n
}

func (b *balancedClients) report(t *testing.T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, count := range b.counts {
		t.Logf("%s: %d %s %s", c.entry, count, c.outcome, c.reason)
	}
}
