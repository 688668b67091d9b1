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

// panickingStore panics when changes are followed.
type panickingStore struct{ slowStore }

func (s *panickingStore) Follow(medlartable.FollowRequest) (medlartable.Page, error) {
	panic("a row that nobody expected")
}

func testOwner(store Store) *Owner {
	clock := medlarwheel.SystemClock{}
	return New(DefaultConfig(), Dependencies{
		Store: store, Clock: clock, Log: zerolog.Nop(), Meter: medlarmetrics.New(), Connections: func(int) int { return 1 },
	},
		medlarownership.Term{Number: 2, Version: 9}, clock.Now(), medlarownership.Predecessor{})
}

// TestPanicEndsOwnershipAndReturnsAnError guards against a row, an answer of a worker or a fault of the scheduler that takes down the
// process with the doors of the instance.
func TestPanicEndsOwnershipAndReturnsAnError(t *testing.T) {
	if err := testOwner(&panickingStore{}).Run(context.Background()); !medlarrecover.IsPanic(err) {
		t.Errorf("a panic of a follower: the ownership has ended with %v", err)
	}
	o := testOwner(&slowStore{})
	o.goInBackground("order-start", func() { panic("an answer that nobody expected") })
	if err := o.control(context.Background()); !medlarrecover.IsPanic(err) {
		t.Errorf("a panic of an order: the ownership has ended with %v", err)
	}
}
