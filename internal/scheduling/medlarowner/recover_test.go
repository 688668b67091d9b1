package medlarowner

import (
	"context"
	"testing"

	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// panickingStore panics when the owner follows changes of the table.
type panickingStore struct{ slowStore }

func (s *panickingStore) Follow(medlartable.FollowRequest) (medlartable.Page, error) {
	panic("unexpected row")
}

func testOwner(store Store) *Owner {
	clock := medlarwheel.SystemClock{}
	return New(DefaultConfig(), Dependencies{
		Store: store, Clock: clock, Log: zerolog.Nop(), Meter: medlarmetrics.New(), Connections: func(int) int { return 1 },
	},
		medlarownership.Term{Number: 2, Version: 9}, clock.Now(), medlarownership.Predecessor{})
}

// TestPanicEndsOwnershipAndReturnsAnError guards against a panic in a follower or an order, for instance because of an
// unexpected row or response of a worker, that terminates the whole process with the API servers of the instance.
func TestPanicEndsOwnershipAndReturnsAnError(t *testing.T) {
	if err := testOwner(&panickingStore{}).Run(context.Background()); !medlarrecover.IsPanic(err) {
		t.Errorf("panic in a follower: Run returned %v, want the panic as an error", err)
	}
	o := testOwner(&slowStore{})
	o.goInBackground("order-start", func() { panic("unexpected response of a worker") })
	if err := o.control(context.Background()); !medlarrecover.IsPanic(err) {
		t.Errorf("panic in an order: control returned %v, want the panic as an error", err)
	}
}
