package medlartransport

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

var errNoFreeConnection = errors.New("every connection of this instance's share is in use")

// pool holds the connections to one upstream incarnation.
type pool struct {
	config   *Config
	upstream medlarwheel.UpstreamID
	address  string
	latency  latencyEstimate

	mu   sync.Mutex
	idle []*conn
	open medlarwheel.Connections
	// retireBefore marks for retirement every connection without progress since.
	retireBefore time.Time
	closed       bool
}

// get returns an idle connection that is still usable, or opens one.
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

// takeIdle removes the most recently used idle connection, closing those that are too old or retired.
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

// reserve counts one more open connection if the budget allows it, closing an idle one to make room.
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

// closeLeastRecentlyUsed closes up to n idle connections, those unused for longest first. It needs the lock.
func (p *pool) closeLeastRecentlyUsed(n int) {
	n = min(n, len(p.idle))
	for _, c := range p.idle[:n] {
		p.closeAndCount(c)
	}
	p.idle = append(p.idle[:0], p.idle[n:]...)
}

// closeAndCount closes a connection and counts it as closed. It needs the lock.
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

// put returns a connection after a complete response.
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

// discard closes a connection that can't be used again.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.unreserve()
}

// retire closes the idle connections without progress since the given time, and those in use once they come back.
func (p *pool) retire(since, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if since.After(p.retireBefore) {
		p.retireBefore = since
	}
	p.closeStale(now)
}

// closeIdle closes up to n idle connections.
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
