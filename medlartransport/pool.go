package medlartransport

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

var errNoFreeConnection = errors.New("no free connection: all connections of this instance's share are in use, or the pool is closed")

// pool holds the connections to one incarnation of an upstream.
type pool struct {
	config   *Config
	upstream medlarwheel.UpstreamID
	address  string
	latency  latencyEstimate

	mu   sync.Mutex
	idle []*conn
	open medlarwheel.Connections
	// retireBefore is the time before which the last progress of a connection makes it stale.
	retireBefore time.Time
	closed       bool
}

// get returns an idle connection that passes checkIdle, or dials a new one.
func (p *pool) get(now time.Time) (*conn, error) {
	for {
		c := p.takeIdle(now)
		if c == nil {
			return p.dial(now)
		}
		if c.checkIdle() == nil {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle closes stale idle connections, and removes and returns the most recently used of the others. It returns nil if
// there is none.
func (p *pool) takeIdle(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeStale(now)
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *pool) closeStale(now time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if p.isStale(c, now) {
			p.closeAndCount(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *pool) isStale(c *conn, now time.Time) bool {
	return p.closed || c.lastProgress.Before(p.retireBefore) || now.Sub(c.lastProgress) > p.config.IdleTimeout
}

func (p *pool) dial(now time.Time) (*conn, error) {
	if !p.reserve() {
		return nil, errNoFreeConnection
	}
	raw, err := p.config.Dialer.Dial(p.address, p.config.DialTimeout)
	if err != nil {
		p.unreserve()
		return nil, err
	}
	return newConn(raw, now, p.config), nil
}

// reserve counts a new connection against the budget. If the budget is used up, it first closes the least recently used
// idle connection.
func (p *pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if !p.config.Budget.Open(p.upstream) {
		p.closeLeastRecentlyUsed(1)
		if !p.config.Budget.Open(p.upstream) {
			return false
		}
	}
	p.open++
	return true
}

// closeLeastRecentlyUsed closes up to n idle connections, the least recently used first. The caller holds p.mu.
func (p *pool) closeLeastRecentlyUsed(n int) {
	n = min(n, len(p.idle))
	for _, c := range p.idle[:n] {
		p.closeAndCount(c)
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
}

// closeAndCount closes a connection and removes it from the count of open ones. The caller holds p.mu.
func (p *pool) closeAndCount(c *conn) {
	_ = c.Close()
	p.open--
	p.config.Budget.Closed(p.upstream)
}

func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.config.Budget.Closed(p.upstream)
}

// put returns a connection to the pool after a complete response, or closes it if it was retired meanwhile.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastProgress = now
	c.readTimeout = 0
	if p.closed || c.opened.Before(p.retireBefore) {
		p.closeAndCount(c)
		return
	}
	p.idle = append(p.idle, c)
}

// discard closes a connection that cannot be reused.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.unreserve()
}

// retire closes the idle connections whose last progress is earlier than since. Those in use that were dialled before since
// are closed when they are returned.
func (p *pool) retire(since, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since.After(p.retireBefore) {
		p.retireBefore = since
	}
	p.closeStale(now)
}

// closeIdle closes up to n idle connections, the least recently used first.
func (p *pool) closeIdle(n medlarwheel.Connections) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLeastRecentlyUsed(int(n))
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeStale(time.Time{})
}
