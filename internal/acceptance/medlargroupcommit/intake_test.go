package medlargroupcommit

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

// scriptedStore answers writes from a script, and keeps rows.
type scriptedStore struct {
	mu     sync.Mutex
	rows   map[string]bool
	script []error
	// lose makes a scripted failure of unknown outcome take effect.
	lose  bool
	calls int
	sizes []int
}

var errLost = errors.New("no answer")

func (s *scriptedStore) TransactWithin(t medlartable.Transaction, _ time.Duration) (medlartable.Commit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.sizes = append(s.sizes, len(t.Put))
	var failure error
	if len(s.script) > 0 {
		failure, s.script = s.script[0], s.script[1:]
	}
	if failure != nil && (!s.lose || !errors.Is(failure, errLost)) {
		return medlartable.Commit{}, failure
	}
	var present []medlartable.Row
	for _, r := range t.Require {
		if s.rows[r.Key] {
			present = append(present, medlartable.Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: 1})
		}
	}
	if len(present) > 0 {
		return medlartable.Commit{}, &medlartable.ConflictError{Rows: present}
	}
	for _, r := range t.Put {
		s.rows[r.Key] = true
	}
	return medlartable.Commit{Version: 1}, failure
}

func newTestWriter(store Store) *Writer {
	return New(DefaultConfig(), store, NewTableHealth(medlarwheel.SystemClock{}))
}

func row(key string) medlartable.Row { return medlartable.Row{Table: "t", Part: "p", Key: key} }

// TestInsertReportsStoredRefusedOrUnknown guards against a refusal of work that is stored after all, and against an acceptance of work that is not.
func TestInsertReportsStoredRefusedOrUnknown(t *testing.T) {
	refusal := medlarwheel.WithoutEffect(errors.New("status 503"))
	for name, c := range map[string]struct {
		script []error
		lose   bool
		exists bool
		want   Result
		stored bool
	}{
		"stored":                        {want: ResultStored, stored: true},
		"stored by an earlier request":  {exists: true, want: ResultStored, stored: true},
		"refused without effect":        {script: []error{refusal}, want: ResultRefused},
		"lost answer of a stored write": {script: []error{errLost}, lose: true, want: ResultStored, stored: true},
		"lost write, then stored":       {script: []error{errLost}, want: ResultStored, stored: true},
		"lost twice":                    {script: []error{errLost, errLost}, want: ResultUnknown},
		"lost, then refused":            {script: []error{errLost, refusal}, want: ResultUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			store := &scriptedStore{rows: map[string]bool{"k": c.exists}, script: c.script, lose: c.lose}
			if got := newTestWriter(store).Insert(context.Background(), row("k")); got != c.want {
				t.Errorf("result %d, want %d", got, c.want)
			}
			if store.rows["k"] != c.stored {
				t.Errorf("stored %v, want %v", store.rows["k"], c.stored)
			}
		})
	}
}

// TestRepeatedRowDoesNotFailItsBatch guards against new submissions that are refused because they share a write with a
// repetition of an old one.
func TestRepeatedRowDoesNotFailItsBatch(t *testing.T) {
	store := &scriptedStore{rows: map[string]bool{"old": true}}
	i := newTestWriter(store)
	var requests []*request
	for _, key := range []string{"a", "old", "b"} {
		requests = append(requests, &request{row: row(key), result: make(chan Result, 1)})
	}
	i.writeBatch(requests)
	for _, r := range requests {
		if got := <-r.result; got != ResultStored {
			t.Errorf("%s: result %d", r.row.Key, got)
		}
	}
	if !store.rows["a"] || !store.rows["b"] || store.calls != 2 {
		t.Errorf("rows %v after %d calls", store.rows, store.calls)
	}
}

// gatedStore holds the writes of a part until its gate is closed.
type gatedStore struct {
	scriptedStore
	gates map[string]chan struct{}
	// began receives the part of each write.
	began chan string
}

// newGatedStore returns a store and the gate of its part p.
func newGatedStore() (*gatedStore, chan struct{}) {
	gate := make(chan struct{})
	return &gatedStore{
		scriptedStore: scriptedStore{rows: map[string]bool{}},
		gates:         map[string]chan struct{}{"p": gate}, began: make(chan string, 4),
	}, gate
}

func (g *gatedStore) TransactWithin(t medlartable.Transaction, timeout time.Duration) (medlartable.Commit, error) {
	part := t.Put[0].Part
	g.began <- part
	if gate := g.gates[part]; gate != nil {
		<-gate
	}
	return g.scriptedStore.TransactWithin(t, timeout)
}

// TestCancelledRequestIsRefusedOnlyIfNotSent guards against "not stored" for a request whose write is on its way when its time is over.
func TestCancelledRequestIsRefusedOnlyIfNotSent(t *testing.T) {
	store, gate := newGatedStore()
	i := newTestWriter(store)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan Result, 1)
	go func() { result <- i.Insert(ctx, row("k")) }()
	<-store.began
	if got := i.Insert(canceled(), row("waiting")); got != ResultRefused {
		t.Errorf("a request that no write has included: result %d", got)
	}
	cancel()
	if got := <-result; got != ResultUnknown {
		t.Errorf("a request whose write is on its way: result %d", got)
	}
	close(gate)
	if got := i.Insert(context.Background(), row("after")); got != ResultStored {
		t.Errorf("the request after it: result %d", got)
	}
	if store.rows["waiting"] {
		t.Error("a refused request was stored")
	}
}

// canceled returns a context that is over.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestPartsDoNotWaitForEachOther guards against submissions that wait for the slow write of another part.
func TestPartsDoNotWaitForEachOther(t *testing.T) {
	store, gate := newGatedStore()
	i := newTestWriter(store)
	result := make(chan Result, 1)
	go func() { result <- i.Insert(context.Background(), row("k")) }()
	<-store.began
	if got := i.Insert(context.Background(), medlartable.Row{Table: "t", Part: "q", Key: "other"}); got != ResultStored {
		t.Errorf("a row of another part: result %d", got)
	}
	close(gate)
	if got := <-result; got != ResultStored {
		t.Errorf("the held row: result %d", got)
	}
}
