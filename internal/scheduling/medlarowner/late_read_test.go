package medlarowner

import (
	"context"
	"testing"
	"time"

	"medlarwheel/internal/scheduling/medlarcell"
)

// TestReadThatTimesOutDoesNotRace guards, under the race detector, against a read whose caller has gone and whose result is
// written while the caller returns.
func TestReadThatTimesOutDoesNotRace(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		o := &Owner{cell: medlarcell.New(medlarcell.DefaultConfig()), controlFuncs: make(chan func(time.Time), 1), done: make(chan struct{})}
		ran := make(chan struct{})
		go func() {
			defer close(ran)
			run := <-o.controlFuncs
			run(time.Now())
		}()
		// Either outcome is right: the read is done, or its caller has gone.
		_, _, _ = o.State(ctx, "00000000000000aa")
		<-ran
	}
}
