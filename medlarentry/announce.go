package medlarentry

import (
	"context"
	"time"

	"medlarwheel"
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

// handOver gives up what other instances can take over at once.
func (d *Daemon) handOver(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = d.platform.RemoveEntry(limited, d.settings.Instance)
}

// burnCounters returns the counters of the burn report.
func (d *Daemon) burnCounters() struct{} { return struct{}{} }

func (d *Daemon) recordBurn(*call, medlarwheel.Outcome, time.Duration) {}
