package medlarentry

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarupstream"
)

// announce keeps this instance in the platform's list.
func (d *Daemon) announce(ctx context.Context) {
	if d.announced.Load() {
		return
	}
	if d.platform.RegisterEntry(ctx, d.self()) == nil {
		d.announced.Store(true)
	}
}

// leave tells peers and the platform that this instance is stopping.
func (d *Daemon) leave() {
	d.post(func(c *control) {
		c.view.Leave(d.clock.Now())
		c.dirty = true
	})
	d.exchangeNow()
	d.background(func() {
		ctx, cancel := context.WithTimeout(d.base, d.settings.PlatformTimeout)
		defer cancel()
		self := d.self()
		self.State = medlarwheel.StateLeaving
		_ = d.platform.RegisterEntry(ctx, self)
	})
}

// handOver gives up what other instances can take over at once: with every request ended, its slots.
func (d *Daemon) handOver(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for limited.Err() == nil && !d.giveUpSlots(limited) {
		d.pause(handOverPause)
	}
	if err := d.platform.RemoveEntry(limited, d.settings.Instance); err != nil {
		d.metrics.count("platform-failure.instances")
	}
}

const (
	// handOverTimeout bounds the time that a planned stop takes for the hand-over of slots. Without it they rest.
	handOverTimeout = 5 * time.Second
	handOverPause   = 50 * time.Millisecond
)

// giveUpSlots clears the mark that this process was removed with requests in flight. It reports whether nothing is left
// to do.
func (d *Daemon) giveUpSlots(ctx context.Context) bool {
	idle := false
	d.routing.with(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) { idle = shares.Idle(now) })
	row, current, err := d.readRoster(ctx)
	if err != nil && !d.platform.Available() {
		return true // the slots rest instead
	}
	if err != nil || !idle {
		return false
	}
	if member, ok := current.Member(d.settings.Instance); ok && member.Incarnation == d.incarnation {
		next, changed := d.planRoster(current)
		if changed {
			d.commitRoster(ctx, row, next)
		}
		return !changed
	}
	d.seat.end()
	next, listed := current.Relinquish(d.settings.Instance, d.incarnation)
	if listed {
		d.commitRoster(ctx, row, next)
	}
	return !listed
}
