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

// slowStore takes long for reads and counts renewals.
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

// TestOwnerRenewsWhileItLoads guards against a cell that no weak instance can take over: the claim was lost before the
// records were loaded, and the next one began anew.
func TestOwnerRenewsWhileItLoads(t *testing.T) {
	c := DefaultConfig()
	c.Tenure.RenewInterval = 20 * time.Millisecond
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
		t.Errorf("%d renewals while the records were read", store.renewals)
	}
	if !o.cell.AuthorityEnd().After(began.Add(c.Tenure.OwnerTimeout + 50*time.Millisecond)) {
		t.Errorf("authority until %v after the claim", o.cell.AuthorityEnd().Sub(began))
	}
	if _, err := load(&slowStore{readTime: 100 * time.Millisecond, conflict: true}); !errors.Is(err, ErrSuperseded) {
		t.Errorf("error %v after another claim", err)
	}
}
