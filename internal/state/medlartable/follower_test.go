package medlartable

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// scriptedTable answers reads of changes from a script.
type scriptedTable struct {
	script []func() (Page, error)
	after  []medlarwheel.RowVersion
}

func (s *scriptedTable) Follow(f FollowRequest) (Page, error) {
	s.after = append(s.after, f.After)
	next := s.script[0]
	s.script = s.script[1:]
	return next()
}

// TestFollowerRereadsTableAfterHistoryTruncation guards against changes that are missed after an error or after the table has dropped its history,
// and against changes that are taken for the whole table.
func TestFollowerRereadsTableAfterHistoryTruncation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changed := func(version medlarwheel.RowVersion, keys ...string) func() (Page, error) {
		return func() (Page, error) {
			p := Page{Version: version}
			for _, k := range keys {
				p.Rows = append(p.Rows, Row{Key: k})
			}
			return p, nil
		}
	}
	fails := func(err error) func() (Page, error) { return func() (Page, error) { return Page{}, err } }
	table := &scriptedTable{script: []func() (Page, error){
		changed(6, "a"), fails(errors.New("no answer")), changed(7, "b"), fails(ErrHistoryTruncated), changed(21, "c"),
		func() (Page, error) { cancel(); return Page{Version: 21}, nil },
	}}
	reads, failures := 0, 0
	f := Follower{
		Store: table, Table: "t", Wait: func() time.Duration { return 0 }, OnError: func(error) { failures++ },
		ReadAll: func() ([]Row, medlarwheel.RowVersion, error) {
			reads++
			return []Row{{Key: "all"}}, medlarwheel.RowVersion(5 + 15*(reads-1)), nil
		},
	}
	var taken []string
	err := f.Run(ctx, func(rows []Row, whole bool) {
		for _, r := range rows {
			if whole {
				r.Key += " whole"
			}
			taken = append(taken, r.Key)
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	if want := []string{"all whole", "a", "b", "all whole", "c"}; !slices.Equal(taken, want) {
		t.Errorf("taken %v, want %v", taken, want)
	}
	if want := []medlarwheel.RowVersion{5, 6, 6, 7, 20, 21}; !slices.Equal(table.after, want) {
		t.Errorf("followed after %v, want %v", table.after, want)
	}
	if failures != 2 {
		t.Errorf("%d failures told", failures)
	}
}

// blockingTable holds every read of changes until it is released.
type blockingTable struct{ began, release chan struct{} }

func (h blockingTable) Follow(FollowRequest) (Page, error) {
	close(h.began)
	<-h.release
	return Page{}, nil
}

// TestFollowerStopsWhenContextEnds guards against a stop that takes as long as the table holds a read.
func TestFollowerStopsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	table := blockingTable{began: make(chan struct{}), release: make(chan struct{})}
	defer close(table.release)
	f := Follower{Store: table, StartVersion: 1, Wait: func() time.Duration { return time.Hour }, OnError: func(error) {}}
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx, func([]Row, bool) {}) }()
	<-table.began
	cancel()
	select {
	case err := <-ended:
		if !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the follower waits for the table")
	}
}

// limitedTable holds changes of which one answer tells some hundred at most.
type limitedTable struct{ changes, responses int }

func (c *limitedTable) Follow(f FollowRequest) (Page, error) {
	const most = 500
	c.responses++
	p := Page{Version: f.After}
	for len(p.Rows) < most && int(p.Version) < c.changes {
		p.Version++
		p.Rows = append(p.Rows, Row{Key: "k", Version: p.Version})
	}
	return p, nil
}

// TestFollowerSkipsDelayOnFullResponses guards against an owner that hears of a leaving worker seconds late: 3,000 workers renew their rows
// faster than one answer in each pause can tell. Found by the sweep at 300 instances (DRAIN, snapshot a0e62065).
func TestFollowerSkipsDelayOnFullResponses(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	table := &limitedTable{changes: 5200}
	f := Follower{
		Store: table, Table: "t", StartVersion: 1, BatchDelay: time.Hour, Wait: func() time.Duration { return 0 },
		OnError: func(err error) { t.Error(err) },
	}
	seen := medlarwheel.RowVersion(0)
	_ = f.Run(ctx, func(rows []Row, _ bool) {
		if len(rows) > 0 {
			seen = rows[len(rows)-1].Version
		}
		if int(seen) == table.changes {
			cancel()
		}
	})
	if int(seen) != table.changes {
		t.Errorf("%d of %d changes seen in %d answers", seen, table.changes, table.responses)
	}
}
