package medlarnode

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// TestLoopRestartsAfterPanic guards against a row or a message that ends the process, and against a restarted loop that
// deadlocks on a lock held at the panic.
func TestLoopRestartsAfterPanic(t *testing.T) {
	n := &Node{
		log: zerolog.Nop(), meter: medlarmetrics.New(), clock: bootClock(t),
		ownership: ownershipState{monitor: medlarownership.NewMonitor(medlarownership.DefaultConfig())},
	}
	rounds := 0
	err := n.runWithRestart(context.Background(), "follow-owner", func(ctx context.Context) error {
		rounds++
		if rounds == 1 {
			n.withMonitor(func(*medlarownership.Monitor) { panic("a row that nobody expected") })
		}
		n.observeOwnership(ctx, []medlartable.Row{})
		return context.Canceled
	})
	if rounds != 2 || err != context.Canceled { //nolint:errorlint // the loop's own error, unwrapped
		t.Errorf("loop ran %d times and ended with %v, want 2 times and context.Canceled", rounds, err)
	}
}
