package medlarlink

import (
	"sync"
	"time"

	"medlarwheel"
)

const (
	// pathWindow is the time within which silent connections to several upstreams of one data centre count as one
	// fault of the path.
	pathWindow = 10 * time.Second
	// pathThreshold is the number of upstreams with silent connections that makes the path suspect.
	pathThreshold = 2
)

// poolKey tells the incarnations of an upstream apart, so that a replaced upstream gets fresh connections.
type poolKey struct {
	upstream    medlarwheel.UpstreamID
	incarnation medlarwheel.Incarnation
	address     string
}

// Links holds the connections to all upstreams.
type Links struct {
	config Config

	mu    sync.RWMutex
	pools map[poolKey]*pool
	paths map[medlarwheel.DataCentreID]*path
}

// path remembers the recent silent connections towards one data centre.
type path struct {
	silent map[medlarwheel.UpstreamID]time.Time
}

// New returns Links without connections.
func New(config Config) *Links {
	return &Links{
		config: config,
		pools:  make(map[poolKey]*pool),
		paths:  make(map[medlarwheel.DataCentreID]*path),
	}
}

// Trim closes up to n idle connections to an upstream.
func (l *Links) Trim(u medlarwheel.Upstream, n medlarwheel.Connections) { l.pool(u).trim(n) }

// Keep closes the connections to every upstream that is not listed.
func (l *Links) Keep(upstreams []medlarwheel.Upstream) {
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
func (l *Links) Close() { l.Keep(nil) }

// Open returns the number of open connections to an upstream.
func (l *Links) Open(u medlarwheel.Upstream) medlarwheel.Connections {
	p := l.pool(u)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func keyOf(u medlarwheel.Upstream) poolKey {
	return poolKey{upstream: u.ID, incarnation: u.Incarnation, address: u.Address}
}

func (l *Links) pool(u medlarwheel.Upstream) *pool {
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

// markSilent retires the connections that may share the fault of a silent one. Silence towards several upstreams of one
// data centre within the window makes the whole path suspect.
func (l *Links) markSilent(u medlarwheel.Upstream, sentAt, now time.Time) {
	l.pool(u).retire(sentAt, now)
	if !l.isPathSuspect(u, now) {
		return
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, p := range l.pools {
		p.retire(sentAt, now)
	}
}

func (l *Links) isPathSuspect(u medlarwheel.Upstream, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.paths[u.DataCentre]
	if !ok {
		known = &path{silent: make(map[medlarwheel.UpstreamID]time.Time)}
		l.paths[u.DataCentre] = known
	}
	known.silent[u.ID] = now
	for id, at := range known.silent {
		if now.Sub(at) > pathWindow {
			delete(known.silent, id)
		}
	}
	return len(known.silent) >= pathThreshold
}
