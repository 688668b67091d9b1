package medlartable

import (
	"sync"
	"time"

	"medlarwheel"
)

// clockWindow is the time after which an older estimate is dropped, so that clocks that drift apart are followed.
const clockWindow = 30 * time.Second

// Clock translates between the table's steady clock and that of this instance. Every response carries the time at which the table sent
// it, so the response that took the least time gives the best estimate. By it the table's clock is never ahead of what it shows, and
// behind by no more than the fastest recent response took.
type Clock struct {
	local medlarwheel.Clock

	mu sync.Mutex
	// origin is the local time at which the table's clock was zero, by the fastest response of the current window, and earlierOrigin
	// the same for the window before.
	origin, earlierOrigin time.Time
	windowStart           time.Time
	// first is the time of the first response.
	first medlarwheel.TableTime
}

// NewClock returns a clock that knows nothing before the first response.
func NewClock(local medlarwheel.Clock) *Clock { return &Clock{local: local} }

// Observe takes in the time of a response that has just come in. A response without a time says nothing.
func (c *Clock) Observe(t medlarwheel.TableTime) {
	if t <= 0 {
		return
	}
	now := c.local.Now()
	origin := now.Add(-time.Duration(t))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first == 0 {
		c.first = t
	}
	if now.Sub(c.windowStart) >= clockWindow {
		c.earlierOrigin, c.origin, c.windowStart = c.origin, origin, now
	}
	if origin.Before(c.origin) {
		c.origin = origin
	}
}

// estimate returns the local time at which the table's clock was zero.
func (c *Clock) estimate() (origin time.Time, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.earlierOrigin.IsZero() && c.earlierOrigin.Before(c.origin) {
		return c.earlierOrigin, true
	}
	return c.origin, !c.origin.IsZero()
}

// First returns the time of the first response, or zero before it. This process has started earlier.
func (c *Clock) First() medlarwheel.TableTime {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first
}

// At returns what the table's clock showed at a local time, or zero before the first response.
func (c *Clock) At(local time.Time) medlarwheel.TableTime {
	origin, known := c.estimate()
	if !known {
		return 0
	}
	return medlarwheel.TableTime(max(0, local.Sub(origin)))
}

// Now returns what the table's clock shows, or zero before the first response.
func (c *Clock) Now() medlarwheel.TableTime { return c.At(c.local.Now()) }

// Local returns the local time at which the table's clock showed t. known is false if t is none, or before the first response.
func (c *Clock) Local(t medlarwheel.TableTime) (local time.Time, known bool) {
	origin, known := c.estimate()
	if !known || t <= 0 {
		return time.Time{}, false
	}
	return origin.Add(time.Duration(t)), true
}
