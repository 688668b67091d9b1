package medlartransport

import (
	"sync"
	"time"

	"medlarwheel"
)

const (
	// pathStallWindow is the time within which stalls towards several upstreams of one data centre are attributed to the
	// network path.
	pathStallWindow = 10 * time.Second
	// pathStallThreshold is the number of upstreams of one data centre with stalls in the window from which the path is
	// suspected.
	pathStallThreshold = 2
)

// poolKey identifies one incarnation of an upstream, so that a replaced upstream gets new connections.
type poolKey struct {
	upstream    medlarwheel.UpstreamID
	incarnation medlarwheel.Incarnation
	address     string
}

// Transport sends calls to upstreams and holds a connection pool for each. It is safe for concurrent use.
type Transport struct {
	config Config

	mu              sync.RWMutex
	pools           map[poolKey]*pool
	dataCentrePaths map[medlarwheel.DataCentreID]*dataCentrePath
}

// dataCentrePath records the recent stalls on the network path to one data centre.
type dataCentrePath struct {
	// stalledAt is the time of the last stall of each upstream.
	stalledAt map[medlarwheel.UpstreamID]time.Time
}

// New returns a Transport without connections.
func New(config Config) *Transport {
	return &Transport{
		config:          config,
		pools:           make(map[poolKey]*pool),
		dataCentrePaths: make(map[medlarwheel.DataCentreID]*dataCentrePath),
	}
}

// CloseIdle closes up to n idle connections to an upstream.
func (t *Transport) CloseIdle(u medlarwheel.Upstream, n medlarwheel.Connections) {
	t.pool(u).closeIdle(n)
}

// RetainOnly closes the idle connections to every upstream that is not listed. Connections in use are closed when their
// call ends.
func (t *Transport) RetainOnly(upstreams []medlarwheel.Upstream) {
	keep := make(map[poolKey]bool, len(upstreams))
	for _, u := range upstreams {
		keep[keyOf(u)] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, p := range t.pools {
		if !keep[key] {
			p.close()
			delete(t.pools, key)
		}
	}
}

// Close closes all idle connections. Connections in use are closed when their call ends.
func (t *Transport) Close() { t.RetainOnly(nil) }

// OpenConnections returns the number of open connections to an upstream.
func (t *Transport) OpenConnections(u medlarwheel.Upstream) medlarwheel.Connections {
	p := t.pool(u)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func keyOf(u medlarwheel.Upstream) poolKey {
	return poolKey{upstream: u.ID, incarnation: u.Incarnation, address: u.Address}
}

func (t *Transport) pool(u medlarwheel.Upstream) *pool {
	key := keyOf(u)
	t.mu.RLock()
	p, ok := t.pools[key]
	t.mu.RUnlock()
	if ok {
		return p
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.pools[key]; ok {
		return p
	}
	p = &pool{config: &t.config, upstream: u.ID, address: u.Address}
	t.pools[key] = p
	return p
}

// handleStall retires the connections to u that have completed no response since sentAt, because they may have the same
// fault as the stalled one. When several upstreams of u's data centre have stalled within pathStallWindow, the network path
// is suspected, and the connections to all upstreams are retired by the same rule.
func (t *Transport) handleStall(u medlarwheel.Upstream, sentAt, now time.Time) {
	t.pool(u).retire(sentAt, now)
	if !t.recordPathStall(u, now) {
		return
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, p := range t.pools {
		p.retire(sentAt, now)
	}
}

// recordPathStall records a stall of u and reports whether enough upstreams of its data centre have stalled recently to
// suspect the network path.
func (t *Transport) recordPathStall(u medlarwheel.Upstream, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	path, ok := t.dataCentrePaths[u.DataCentre]
	if !ok {
		path = &dataCentrePath{stalledAt: make(map[medlarwheel.UpstreamID]time.Time)}
		t.dataCentrePaths[u.DataCentre] = path
	}
	path.stalledAt[u.ID] = now
	for id, at := range path.stalledAt {
		if now.Sub(at) > pathStallWindow {
			delete(path.stalledAt, id)
		}
	}
	return len(path.stalledAt) >= pathStallThreshold
}
