package medlarentry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlarupstream"
)

const (
	// rebalanceInterval is the time between two exchanges of slot loans.
	rebalanceInterval = 20 * time.Millisecond
	// expiryInterval is the time between two clean-ups of old state.
	expiryInterval = time.Second
)

// startLoops starts the control loop and the regular work around it. All of it ends with the base context.
func (d *Daemon) startLoops(group *errgroup.Group) {
	group.Go(func() error {
		d.control.loop(d.baseCtx)
		return nil
	})
	group.Go(d.runScheduler)
	d.runEvery(group, d.settings.ListInterval, nil, d.pollInstanceList)
	d.runEvery(group, d.settings.ListInterval, nil, d.registerInstance)
	poller := &configPoller{daemon: d}
	d.runEvery(group, d.settings.ConfigInterval, d.configSignal, poller.poll)
	d.runEvery(group, d.settings.ExchangeInterval, d.exchangeSignal, d.exchange)
	d.runEvery(group, d.settings.ConfigInterval, nil, d.maintainRoster)
	d.runEvery(group, rebalanceInterval, nil, func(context.Context) { d.rebalanceSlots() })
	d.runEvery(group, expiryInterval, nil, d.expireState)
}

// runEvery calls work at once, then after each interval and after each signal, until the base context ends.
func (d *Daemon) runEvery(group *errgroup.Group, interval time.Duration, signal <-chan struct{}, work func(context.Context)) {
	group.Go(func() error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			work(d.baseCtx)
			select {
			case <-d.baseCtx.Done():
				return nil
			case <-ticker.C:
			case <-signal:
			}
		}
	})
}

// expireState drops state that has become too old.
func (d *Daemon) expireState(context.Context) {
	now := d.clock.Now()
	d.results.expire(now)
	d.voter.expire(now)
	d.routing.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) { router.Tick(now) })
	d.trimConnections()
}

// trimConnections closes the idle connections above this instance's share.
func (d *Daemon) trimConnections() {
	for _, state := range d.routing.upstreamStates() {
		var excess medlarwheel.Connections
		d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
			excess = shares.ExcessConnections(now, state.ID)
		})
		if excess > 0 {
			d.links.CloseIdle(state.Upstream, excess)
		}
	}
}

// pollConfigNow makes the configuration poll run at once.
func (d *Daemon) pollConfigNow() { signal(d.configSignal) }

// exchangeNow makes the exchange with peers run at once.
func (d *Daemon) exchangeNow() { signal(d.exchangeSignal) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
