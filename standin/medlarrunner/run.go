package medlarrunner

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlarplatform"
	"medlarwheel/standin/medlarprocess"
)

// registry is the part of the platform client that a runner uses.
type registry interface {
	RegisterUpstream(ctx context.Context, upstream medlarwheel.Upstream) error
	RemoveUpstream(ctx context.Context, id medlarwheel.UpstreamID) error
}

// Run serves requests until ctx is cancelled. It then announces that the runner leaves, continues to serve for the drain
// time, waits for the requests in flight and removes the runner from the instance registry.
func (r *Runner) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("runner %s: listen on %s: %w", r.config.ID, r.config.Listen, err)
	}
	return r.RunListener(ctx, listener)
}

// RunListener is like Run but takes an open listener, which it closes.
func (r *Runner) RunListener(ctx context.Context, listener net.Listener) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, inner := errgroup.WithContext(serving)
	group.Go(func() error {
		return medlarprocess.ServeListener(inner, &limitListener{Listener: listener, runner: r}, r.Handle)
	})
	if r.config.Control != "" {
		group.Go(func() error {
			return medlarprocess.Serve(inner, r.log, r.config.Control, r.handleControlOnly)
		})
	}
	address := listener.Addr().String()
	r.log.Info().Str("address", address).Msg("serving")
	if r.config.Platform != "" {
		client := medlarplatform.New(medlarplatform.DefaultConfig(r.config.Platform))
		defer client.Close()
		group.Go(func() error { r.register(inner, client, address); return nil })
	}
	select {
	case <-ctx.Done():
		r.Leave()
		medlarprocess.Sleep(inner.Done(), r.config.DrainTime)
	case <-inner.Done():
	}
	stop()
	return group.Wait()
}

const (
	// registerRetryDelay is the pause before the next attempt to register.
	registerRetryDelay = 500 * time.Millisecond
	// removeTimeout limits the time to remove the runner from the instance registry at shutdown.
	removeTimeout = 2 * time.Second
)

// register keeps the runner's entry in the instance registry up to date until ctx is cancelled, then removes it.
func (r *Runner) register(ctx context.Context, platform registry, address string) {
	upstream := medlarwheel.Upstream{
		ID: r.config.ID, Service: r.config.Service, DataCentre: r.config.DataCentre, Address: address,
		Incarnation: medlarwheel.Incarnation(r.config.Clock.Now().UnixMilli()), State: medlarwheel.StateLive,
	}
	leaving := r.leaving
	for ctx.Err() == nil {
		err := platform.RegisterUpstream(ctx, upstream)
		if err != nil {
			r.log.Warn().Err(err).Msg("registration with the platform failed; retrying")
			medlarprocess.Sleep(ctx.Done(), registerRetryDelay)
			continue
		}
		select {
		case <-leaving:
			upstream.State, leaving = medlarwheel.StateLeaving, nil
		case <-ctx.Done():
		}
	}
	removal, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	if err := platform.RemoveUpstream(removal, r.config.ID); err != nil {
		r.log.Warn().Err(err).Msg("cannot remove the runner from the instance registry; its entry may remain")
	}
}
