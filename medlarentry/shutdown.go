package medlarentry

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel/medlarpeer"
)

// shutdown stops the instance gracefully: it fails the readiness probe, notifies the peers, waits until the load balancer
// sends no more requests, lets the requests in flight finish, and only then stops serving peers.
func (d *Daemon) shutdown(server *fasthttp.Server, peers *medlarpeer.Server) {
	d.log.Info().Str("event", "stopping").Send()
	d.ready.Store(false)
	d.announceLeaving()
	d.background(d.releaseShards)
	d.sleep(d.settings.BalancerDelay)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.StopTimeout)
	defer cancel()
	if err := server.ShutdownWithContext(ctx); err != nil {
		d.log.Error().Str("event", "stop-timeout").AnErr("error", err).
			Msg("the server for clients did not stop within the stop timeout; continuing the shutdown")
	}
	d.awaitWork(ctx)
	d.relinquishSlots(ctx)
	if err := peers.Stop(ctx); err != nil {
		d.log.Error().Str("event", "stop-peers").AnErr("error", err).
			Msg("the server for peers did not stop cleanly; continuing the shutdown")
	}
	d.cancelBase()
	d.admissions.close()
	d.transport.Close()
	d.peers.CloseIdle()
	d.platform.Close()
	d.log.Info().Str("event", "stopped").Send()
}

// awaitWork waits until the background work has ended or ctx ends.
func (d *Daemon) awaitWork(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.backgroundWork.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.log.Error().Str("event", "stop-timeout").Str("step", "background work").
			Msg("background work did not end within the stop timeout; continuing the shutdown")
	}
}

func (d *Daemon) sleep(wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	<-timer.C
}
