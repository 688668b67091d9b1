package medlarscheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
)

// Scheduler runs the control duties of one entry instance for its data centre.
type Scheduler struct {
	config Config
	deps   Dependencies
	events chan event
	// renewNow makes the ownership loop run at once.
	renewNow chan struct{}
	state    *state
	// loopDone is closed when the control loop has ended.
	loopDone chan struct{}
}

// event is a change of the state. It runs on the control loop, which owns the state.
type event func(s *state)

// eventQueueSize bounds the events that wait for the control loop.
const eventQueueSize = 1024

// New returns a fleet that does nothing before Run.
func New(config Config, ports Dependencies) *Scheduler {
	f := &Scheduler{
		config: config, deps: ports, events: make(chan event, eventQueueSize), renewNow: make(chan struct{}, 1),
		loopDone: make(chan struct{}),
	}
	f.state = newState(f)
	return f
}

// Run works until ctx ends. It returns an error that matches medlarwheel.ErrStale when a later process of the instance
// has taken the instance's lease over.
func (f *Scheduler) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	f.state.spawn = func(work func(ctx context.Context)) {
		group.Go(func() error { work(inner); return nil })
	}
	group.Go(func() error { f.runControlLoop(inner); return nil })
	group.Go(func() error { return newOwnershipLoop(f).run(inner) })
	group.Go(func() error { newFollower(f).run(inner); return nil })
	err := group.Wait()
	f.state.closeAgents()
	return err
}

// runControlLoop runs events and regular steps until ctx ends.
func (f *Scheduler) runControlLoop(ctx context.Context) {
	defer close(f.loopDone)
	ticker := time.NewTicker(f.config.StepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			e(f.state)
		case <-ticker.C:
			f.state.step(f.deps.Clock.Now())
		}
	}
}

// post hands an event to the control loop. It gives up when ctx ends or the loop has ended.
func (f *Scheduler) post(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	case <-f.loopDone:
	}
}

// runOnLoop runs a function on the control loop and waits for its result. It reports false when ctx ends or the loop has ended.
func runOnLoop[T any](ctx context.Context, f *Scheduler, work func(s *state) T) (T, bool) {
	reply := make(chan T, 1)
	f.post(ctx, func(s *state) { reply <- work(s) })
	select {
	case value := <-reply:
		return value, true
	case <-ctx.Done():
	case <-f.loopDone:
	}
	var none T
	return none, false
}

// Leave announces that the instance is leaving and gives its shards up, so that other instances take them over without
// waiting for the lease to run out.
func (f *Scheduler) Leave(ctx context.Context) error {
	done, ok := runOnLoop(ctx, f, (*state).leave)
	if !ok {
		return medlarwheel.WithOperation("leave", "", medlarwheel.ErrUnavailable)
	}
	notify(f.renewNow)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return medlarwheel.WithOperation("leave", "", ctx.Err())
	case <-f.loopDone:
		return medlarwheel.WithOperation("leave", "", medlarwheel.ErrUnavailable)
	}
}

func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
