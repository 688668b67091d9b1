package medlarentry

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarupstream"
)

// registerInstance keeps this instance in the platform's list.
func (d *Daemon) registerInstance(ctx context.Context) {
	if d.registered.Load() {
		return
	}
	if d.platform.RegisterEntry(ctx, d.self()) == nil {
		d.registered.Store(true)
	}
}

// announceLeaving tells peers and the platform that this instance is stopping.
func (d *Daemon) announceLeaving() {
	d.postToControl(func(c *control) {
		c.membership.Leave(d.clock.Now())
		c.snapshotStale = true
	})
	d.exchangeNow()
	d.background(func() {
		ctx, cancel := context.WithTimeout(d.baseCtx, d.settings.PlatformTimeout)
		defer cancel()
		self := d.self()
		self.State = medlarwheel.StateLeaving
		_ = d.platform.RegisterEntry(ctx, self)
	})
}

// relinquishSlots gives up what other instances can take over at once: with every request ended, its slots.
func (d *Daemon) relinquishSlots(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, relinquishTimeout)
	defer cancel()
	for limited.Err() == nil && !d.tryRelinquishSlots(limited) {
		d.sleep(relinquishRetryInterval)
	}
	if err := d.platform.RemoveEntry(limited, d.settings.Instance); err != nil {
		d.metrics.count("platform-failure.instances")
	}
}

const (
	// relinquishTimeout bounds the time that a planned stop takes for the hand-over of slots. Without it they rest.
	relinquishTimeout       = 5 * time.Second
	relinquishRetryInterval = 50 * time.Millisecond
)

// tryRelinquishSlots clears the mark that this process was removed with requests in flight. It reports whether nothing is left
// to do.
func (d *Daemon) tryRelinquishSlots(ctx context.Context) bool {
	idle := false
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) { idle = shares.Idle(now) })
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
	d.voter.stopVoting()
	next, listed := current.Relinquish(d.settings.Instance, d.incarnation)
	if listed {
		d.commitRoster(ctx, row, next)
	}
	return !listed
}
