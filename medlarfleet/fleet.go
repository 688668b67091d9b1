package medlarfleet

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarwheel"
)

// Fleet runs the control duties of one entry instance for its data centre.
type Fleet struct {
	config Config
	ports  Ports
	events chan event
	// renewNow makes the ownership loop run at once.
	renewNow chan struct{}
	state    *state
	// ended is closed when the control loop has ended.
	ended chan struct{}
}

// event is a change of the state. It runs on the control loop, which owns the state.
type event func(s *state)

// eventQueue bounds the events that wait for the control loop.
const eventQueue = 1024

// New returns a fleet that does nothing before Run.
func New(config Config, ports Ports) *Fleet {
	f := &Fleet{
		config: config, ports: ports, events: make(chan event, eventQueue), renewNow: make(chan struct{}, 1),
		ended: make(chan struct{}),
	}
	f.state = newState(f)
	return f
}

// Run works until ctx ends. It returns an error that matches medlarwheel.ErrStale when a later process of the instance
// has taken the instance's lease over.
func (f *Fleet) Run(ctx context.Context) error {
	group, inner := errgroup.WithContext(ctx)
	f.state.spawn = func(work func(ctx context.Context)) {
		group.Go(func() error { work(inner); return nil })
	}
	group.Go(func() error { f.control(inner); return nil })
	group.Go(func() error { return newKeeper(f).run(inner) })
	group.Go(func() error { newFollower(f).run(inner); return nil })
	err := group.Wait()
	f.state.closeAgents()
	return err
}

// control runs events and regular steps until ctx ends.
func (f *Fleet) control(ctx context.Context) {
	defer close(f.ended)
	ticker := time.NewTicker(f.config.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			e(f.state)
		case <-ticker.C:
			f.state.step(f.ports.Clock.Now())
		}
	}
}

// post hands an event to the control loop. It gives up when ctx ends or the loop has ended.
func (f *Fleet) post(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	case <-f.ended:
	}
}

// ask runs a function on the control loop and waits for its result. It reports false when ctx ends or the loop has ended.
func ask[T any](ctx context.Context, f *Fleet, work func(s *state) T) (T, bool) {
	reply := make(chan T, 1)
	f.post(ctx, func(s *state) { reply <- work(s) })
	select {
	case value := <-reply:
		return value, true
	case <-ctx.Done():
	case <-f.ended:
	}
	var none T
	return none, false
}

// Leave announces that the instance is leaving and gives its shards up, so that other instances take them over without
// waiting for the lease to run out.
func (f *Fleet) Leave(ctx context.Context) error {
	done, ok := ask(ctx, f, (*state).leave)
	if !ok {
		return medlarwheel.WithOperation("leave", "", medlarwheel.ErrUnavailable)
	}
	signal(f.renewNow)
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return medlarwheel.WithOperation("leave", "", ctx.Err())
	case <-f.ended:
		return medlarwheel.WithOperation("leave", "", medlarwheel.ErrUnavailable)
	}
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
