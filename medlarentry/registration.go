package medlarentry

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlarupstream"
)

// registerInstance adds this instance to the platform's instance list, unless it is registered already.
func (d *Daemon) registerInstance(ctx context.Context) {
	if d.registered.Load() {
		return
	}
	if d.platform.RegisterEntry(ctx, d.self()) == nil {
		d.registered.Store(true)
	}
}

// announceLeaving notifies the peers and the platform that this instance is shutting down.
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

// relinquishSlots gives up the slots of this instance once all its requests have ended, so that other instances can use
// them immediately, and removes the instance from the platform's list.
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
	// relinquishTimeout bounds the time that a graceful shutdown spends on giving up its slots. Slots that were not given
	// up can be used by other instances only after their cooldown.
	relinquishTimeout       = 5 * time.Second
	relinquishRetryInterval = 50 * time.Millisecond
)

// tryRelinquishSlots performs the next step of giving up the slots: it removes this process from the roster's members,
// or, in a later call, from the removed processes that may still use slots. It reports whether nothing is left to do.
func (d *Daemon) tryRelinquishSlots(ctx context.Context) bool {
	idle := false
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) { idle = shares.Idle(now) })
	row, current, err := d.readRoster(ctx)
	if err != nil && !d.platform.Available() {
		return true // other instances wait for the cooldown of the slots instead
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
