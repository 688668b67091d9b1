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

// registry is the part of the platform that a runner uses.
type registry interface {
	RegisterUpstream(ctx context.Context, upstream medlarwheel.Upstream) error
	RemoveUpstream(ctx context.Context, id medlarwheel.UpstreamID) error
}

// Run serves until ctx ends. Then it announces that it leaves, serves on for the drain time, finishes the requests under
// way and removes itself from the list.
func (r *Runner) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.config.Listen)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", r.config.Listen, err)
	}
	return r.RunListener(ctx, listener)
}

// RunListener is like Run with a listener.
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
	// registerRetryDelay is the time between two tries to register.
	registerRetryDelay = 500 * time.Millisecond
	// removeTimeout bounds the removal from the list at the end.
	removeTimeout = 2 * time.Second
)

// register keeps the list up to date until ctx ends, then removes the runner from it.
func (r *Runner) register(ctx context.Context, platform registry, address string) {
	upstream := medlarwheel.Upstream{
		ID: r.config.ID, Service: r.config.Service, DataCentre: r.config.DataCentre, Address: address,
		Incarnation: medlarwheel.Incarnation(r.config.Clock.Now().UnixMilli()), State: medlarwheel.StateLive,
	}
	leave := r.leaving
	for ctx.Err() == nil {
		err := platform.RegisterUpstream(ctx, upstream)
		if err != nil {
			r.log.Warn().Err(err).Msg("registration failed")
			medlarprocess.Sleep(ctx.Done(), registerRetryDelay)
			continue
		}
		select {
		case <-leave:
			upstream.State, leave = medlarwheel.StateLeaving, nil
		case <-ctx.Done():
		}
	}
	removal, cancel := context.WithTimeout(context.WithoutCancel(ctx), removeTimeout)
	defer cancel()
	if err := platform.RemoveUpstream(removal, r.config.ID); err != nil {
		r.log.Warn().Err(err).Msg("removal from the list failed")
	}
}
