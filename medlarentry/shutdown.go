package medlarentry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel/medlarpeer"
)

// shutdown stops without cutting off a request: it fails readiness, tells its peers, waits until the load balancer has
// noticed, finishes the requests in flight, and only then stops answering peers.
func (d *Daemon) shutdown(server *fasthttp.Server, peers *medlarpeer.Server) {
	d.log.Info().Str("event", "stopping").Send()
	d.ready.Store(false)
	d.announceLeaving()
	d.background(d.releaseShards)
	d.sleep(d.settings.BalancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		d.log.Error().Str("event", "stop-timeout").AnErr("error", err).Send()
	}
	d.awaitWork(ctx)
	d.relinquishSlots(ctx)
	if err := peers.Stop(ctx); err != nil {
		d.log.Error().Str("event", "stop-peers").AnErr("error", err).Send()
	}
	d.cancelBase()
	d.admissions.close()
	d.links.Close()
	d.peers.CloseIdle()
	d.platform.Close()
	d.log.Info().Str("event", "stopped").Send()
}

// awaitWork waits for the background work of finished requests until ctx ends.
func (d *Daemon) awaitWork(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.backgroundWork.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.log.Error().Str("event", "stop-timeout").Str("step", "background work").Send()
	}
}

func (d *Daemon) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
}
