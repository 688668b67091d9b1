package medlarentry

import (
	"sync"

	"medlarwheel"
)

// gates holds the gate of each upstream service.
type gates struct {
	clock medlarwheel.Clock

	mu sync.RWMutex
	by map[medlarwheel.ServiceName]*gate
}

func newGates(clock medlarwheel.Clock) *gates {
	return &gates{clock: clock, by: make(map[medlarwheel.ServiceName]*gate)}
}

// of returns the gate of a service.
func (g *gates) of(service medlarwheel.ServiceName) *gate {
	g.mu.RLock()
	known, ok := g.by[service]
	g.mu.RUnlock()
	if ok {
		return known
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if known, ok := g.by[service]; ok {
		return known
	}
	fresh := newGate(g.clock)
	g.by[service] = fresh
	return fresh
}

// all returns the gates by service.
func (g *gates) all() map[medlarwheel.ServiceName]*gate {
	g.mu.RLock()
	defer g.mu.RUnlock()
	copied := make(map[medlarwheel.ServiceName]*gate, len(g.by))
	for service, known := range g.by {
		copied[service] = known
	}
	return copied
}

func (g *gates) close() {
	for _, known := range g.all() {
		known.close()
	}
}
