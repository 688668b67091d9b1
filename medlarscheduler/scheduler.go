package medlarscheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
)

// Scheduler is the share of one entry instance in scheduling the jobs of its data centre: it controls the jobs and workers
// of the shards that the instance owns.
type Scheduler struct {
	config       Config
	deps         Dependencies
	controlQueue chan controlFunc
	// renewNow makes the ownership loop run immediately.
	renewNow chan struct{}
	state    *state
	// loopDone is closed when the control loop has ended.
	loopDone chan struct{}
}

// controlFunc is a function that changes the state. It runs on the control loop, which owns the state.
type controlFunc func(s *state)

// controlQueueSize is the maximum number of functions that wait for the control loop.
const controlQueueSize = 1024

// New returns a scheduler that does nothing before Run.
func New(config Config, deps Dependencies) *Scheduler {
	sc := &Scheduler{
		config: config, deps: deps, controlQueue: make(chan controlFunc, controlQueueSize), renewNow: make(chan struct{}, 1),
		loopDone: make(chan struct{}),
	}
	sc.state = newState(sc)
	return sc
}

// Run works until ctx ends. It returns an error that matches medlarwheel.ErrStale if a later process of the instance
// has taken over the instance's lease.
func (sc *Scheduler) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	sc.state.spawn = func(work func(ctx context.Context)) {
		group.Go(func() error { work(inner); return nil })
	}
	group.Go(func() error { sc.runControlLoop(inner); return nil })
	group.Go(func() error { return newOwnershipLoop(sc).run(inner) })
	group.Go(func() error { newFollower(sc).run(inner); return nil })
	err := group.Wait()
	sc.state.closeAgents()
	return err
}

// runControlLoop runs the posted functions and the regular steps until ctx ends.
func (sc *Scheduler) runControlLoop(ctx context.Context) {
	defer close(sc.loopDone)
	ticker := time.NewTicker(sc.config.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case work := <-sc.controlQueue:
			work(sc.state)
		case <-ticker.C:
			sc.state.step(sc.deps.Clock.Now())
		}
	}
}

// postToControl queues a function for the control loop. It is dropped if ctx or the loop ends first.
func (sc *Scheduler) postToControl(ctx context.Context, work controlFunc) {
	select {
	case sc.controlQueue <- work:
	case <-ctx.Done():
	case <-sc.loopDone:
	}
}

// callControl runs a function on the control loop and waits for its result. It reports false if ctx or the loop ends
// first.
func callControl[T any](ctx context.Context, sc *Scheduler, work func(s *state) T) (T, bool) {
	reply := make(chan T, 1)
	sc.postToControl(ctx, func(s *state) { reply <- work(s) })
	select {
	case value := <-reply:
		return value, true
	case <-ctx.Done():
	case <-sc.loopDone:
	}
	var none T
	return none, false
}

// Leave announces that the instance is leaving and gives up its shards, so that other instances take them over without
// waiting for its lease to expire.
func (sc *Scheduler) Leave(ctx context.Context) error {
	done, ok := callControl(ctx, sc, (*state).leave)
	if !ok {
		return medlarwheel.WithOperation("give up the shards of "+string(sc.config.Instance.ID), "", medlarwheel.ErrUnavailable)
	}
	notify(sc.renewNow)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return medlarwheel.WithOperation("give up the shards of "+string(sc.config.Instance.ID), "", ctx.Err())
	case <-sc.loopDone:
		return medlarwheel.WithOperation("give up the shards of "+string(sc.config.Instance.ID), "", medlarwheel.ErrUnavailable)
	}
}

// notify sends to a channel without blocking.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
