package medlarentry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlarupstream"
)

const (
	// balanceInterval is the time between two exchanges of slot loans.
	balanceInterval = 20 * time.Millisecond
	// sweepInterval is the time between two clean-ups of old state.
	sweepInterval = time.Second
)

// startLoops starts the control loop and the regular work around it. All of it ends with the base context.
func (d *Daemon) startLoops(group *errgroup.Group) {
	group.Go(func() error {
		d.control.loop(d.base)
		return nil
	})
	group.Go(d.runFleet)
	d.every(group, d.settings.ListInterval, nil, d.pollList)
	d.every(group, d.settings.ListInterval, nil, d.announce)
	poller := &configPoller{d: d}
	d.every(group, d.settings.ConfigInterval, d.configNow, poller.poll)
	d.every(group, d.settings.ExchangeInterval, d.exchangeSig, d.exchange)
	d.every(group, d.settings.ConfigInterval, nil, d.maintainRoster)
	d.every(group, balanceInterval, nil, func(context.Context) { d.balance() })
	d.every(group, sweepInterval, nil, d.sweep)
}

// every calls work at once, then after each interval and after each signal, until the base context ends.
func (d *Daemon) every(group *errgroup.Group, interval time.Duration, signal <-chan struct{}, work func(context.Context)) {
	group.Go(func() error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			work(d.base)
			select {
			case <-d.base.Done():
				return nil
			case <-ticker.C:
			case <-signal:
			}
		}
	})
}

// sweep drops state that has become too old.
func (d *Daemon) sweep(context.Context) {
	now := d.clock.Now()
	d.answers.expire(now)
	d.seat.expire(now)
	d.routing.with(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) { router.Tick(now) })
	d.trimConnections()
}

// trimConnections closes the idle connections above this instance's share.
func (d *Daemon) trimConnections() {
	for _, state := range d.routing.states() {
		var excess medlarwheel.Connections
		d.routing.with(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
			excess = shares.ExcessConnections(now, state.ID)
		})
		if excess > 0 {
			d.links.CloseIdle(state.Upstream, excess)
		}
	}
}

// pollConfigNow makes the configuration poll run at once.
func (d *Daemon) pollConfigNow() { signal(d.configNow) }

// exchangeNow makes the exchange with peers run at once.
func (d *Daemon) exchangeNow() { signal(d.exchangeSig) }

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
