package medlartransport

import (
	"sync"
	"time"

	"medlarwheel"
)

const (
	// pathStallWindow is the time within which silent connections to several upstreams of one data centre count as one
	// fault of the path.
	pathStallWindow = 10 * time.Second
	// pathStallThreshold is the number of upstreams with silent connections that makes the path suspect.
	pathStallThreshold = 2
)

// poolKey tells the incarnations of an upstream apart, so that a replaced upstream gets fresh connections.
type poolKey struct {
	upstream    medlarwheel.UpstreamID
	incarnation medlarwheel.Incarnation
	address     string
}

// Transport holds the connections to all upstreams.
type Transport struct {
	config Config

	mu              sync.RWMutex
	pools           map[poolKey]*pool
	dataCentrePaths map[medlarwheel.DataCentreID]*dataCentrePath
}

// dataCentrePath remembers the recent silent connections towards one data centre.
type dataCentrePath struct {
	stalledAt map[medlarwheel.UpstreamID]time.Time
}

// New returns Links without connections.
func New(config Config) *Transport {
	return &Transport{
		config:          config,
		pools:           make(map[poolKey]*pool),
		dataCentrePaths: make(map[medlarwheel.DataCentreID]*dataCentrePath),
	}
}

// CloseIdle closes up to n idle connections to an upstream.
func (l *Transport) CloseIdle(u medlarwheel.Upstream, n medlarwheel.Connections) {
	l.pool(u).closeIdle(n)
}

// RetainOnly closes the connections to every upstream that is not listed.
func (l *Transport) RetainOnly(upstreams []medlarwheel.Upstream) {
	keep := make(map[poolKey]bool, len(upstreams))
	for _, u := range upstreams {
		keep[keyOf(u)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, p := range l.pools {
		if !keep[key] {
			p.close()
			delete(l.pools, key)
		}
	}
}

// Close closes every idle connection. Connections in use are closed when their call ends.
func (l *Transport) Close() { l.RetainOnly(nil) }

// OpenConnections returns the number of open connections to an upstream.
func (l *Transport) OpenConnections(u medlarwheel.Upstream) medlarwheel.Connections {
	p := l.pool(u)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func keyOf(u medlarwheel.Upstream) poolKey {
	return poolKey{upstream: u.ID, incarnation: u.Incarnation, address: u.Address}
}

func (l *Transport) pool(u medlarwheel.Upstream) *pool {
	key := keyOf(u)
	l.mu.RLock()
	p, ok := l.pools[key]
	l.mu.RUnlock()
	if ok {
		return p
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.pools[key]; ok {
		return p
	}
	p = &pool{config: &l.config, upstream: u.ID, address: u.Address}
	l.pools[key] = p
	return p
}

// handleStall retires the connections that may share the fault of a silent one. Silence towards several upstreams of one
// data centre within the window makes the whole path suspect.
func (l *Transport) handleStall(u medlarwheel.Upstream, sentAt, now time.Time) {
	l.pool(u).retire(sentAt, now)
	if !l.recordPathStall(u, now) {
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, p := range l.pools {
		p.retire(sentAt, now)
	}
}

func (l *Transport) recordPathStall(u medlarwheel.Upstream, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.dataCentrePaths[u.DataCentre]
	if !ok {
		known = &dataCentrePath{stalledAt: make(map[medlarwheel.UpstreamID]time.Time)}
		l.dataCentrePaths[u.DataCentre] = known
	}
	known.stalledAt[u.ID] = now
	for id, at := range known.stalledAt {
		if now.Sub(at) > pathStallWindow {
			delete(known.stalledAt, id)
		}
	}
	return len(known.stalledAt) >= pathStallThreshold
}
