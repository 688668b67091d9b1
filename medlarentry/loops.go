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
	// expiryInterval is the time between two removals of expired state.
	expiryInterval = time.Second
)

// startLoops starts the control loop and the periodic tasks. All of them end with the base context.
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

// runEvery calls work immediately, then after each interval and on each signal, until the base context ends.
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

// expireState removes expired results and votes and closes surplus connections.
func (d *Daemon) expireState(context.Context) {
	now := d.clock.Now()
	d.results.expire(now)
	d.voter.expire(now)
	d.routing.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) { router.Tick(now) })
	d.trimConnections()
}

// trimConnections closes idle connections that exceed this instance's share of the connections to an upstream.
func (d *Daemon) trimConnections() {
	for _, state := range d.routing.upstreamStates() {
		var excess medlarwheel.Connections
		d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
			excess = shares.ExcessConnections(now, state.ID)
		})
		if excess > 0 {
			d.transport.CloseIdle(state.Upstream, excess)
		}
	}
}

// pollConfigNow triggers a poll of the configuration.
func (d *Daemon) pollConfigNow() { signal(d.configSignal) }

// exchangeNow triggers an exchange with peers.
func (d *Daemon) exchangeNow() { signal(d.exchangeSignal) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
