package medlarowner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// slowStore delays reads and counts renewals.
type slowStore struct {
	readTime time.Duration
	conflict bool
	mu       sync.Mutex
	renewals int
}

func (s *slowStore) Transact(t medlartable.Transaction) (medlartable.Commit, error) {
	return s.TransactWithin(t, time.Second)
}

func (s *slowStore) TransactWithin(t medlartable.Transaction, _ time.Duration) (medlartable.Commit, error) {
	if s.conflict {
		return medlartable.Commit{}, &medlartable.ConflictError{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range t.Put {
		if r.Key == medlarownership.KeyRenewal {
			s.renewals++
		}
	}
	return medlartable.Commit{Version: medlarwheel.RowVersion(10 + s.renewals)}, nil
}

func (s *slowStore) Read(medlartable.Range) (medlartable.Page, error) {
	time.Sleep(s.readTime)
	return medlartable.Page{Version: 1}, nil
}

func (s *slowStore) Follow(medlartable.FollowRequest) (medlartable.Page, error) {
	return medlartable.Page{}, nil
}

// TestOwnerRenewsWhileItLoads guards against a cell that no slow instance can take over: without renewals, the claim
// expires before the records are loaded, and the next owner starts over.
func TestOwnerRenewsWhileItLoads(t *testing.T) {
	c := DefaultConfig()
	c.Ownership.RenewInterval = 20 * time.Millisecond
	load := func(store *slowStore) (*Owner, error) {
		clock := medlarwheel.SystemClock{}
		o := New(c, Dependencies{Store: store, Clock: clock, Log: zerolog.Nop(), Meter: medlarmetrics.New()},
			medlarownership.Term{Number: 2, Version: 9}, clock.Now(), medlarownership.Predecessor{})
		return o, o.loadWhileRenewing(context.Background())
	}
	store := &slowStore{readTime: 100 * time.Millisecond}
	began := time.Now()
	o, err := load(store)
	if err != nil {
		t.Fatal(err)
	}
	if store.renewals < 3 {
		t.Errorf("renewals while the records were read: got %d, want at least 3", store.renewals)
	}
	if !o.cell.AuthorityEnd().After(began.Add(c.Ownership.OwnerTimeout + 50*time.Millisecond)) {
		t.Errorf("authority after the claim: got %v, want more than %v",
			o.cell.AuthorityEnd().Sub(began), c.Ownership.OwnerTimeout+50*time.Millisecond)
	}
	if _, err := load(&slowStore{readTime: 100 * time.Millisecond, conflict: true}); !errors.Is(err, ErrSuperseded) {
		t.Errorf("loading after another claim: got error %v, want %v", err, ErrSuperseded)
	}
}
