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

// scriptedStore stores rows, and returns scripted errors first.
type scriptedStore struct {
	mu     sync.Mutex
	rows   map[string]bool
	script []error
	// applyLost makes a transaction take effect although the script returns errLost for it.
	applyLost bool
	calls     int
	sizes     []int
}

var errLost = errors.New("no response")

func (s *scriptedStore) TransactWithin(t medlartable.Transaction, _ time.Duration) (medlartable.Commit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.sizes = append(s.sizes, len(t.Put))
	var failure error
	if len(s.script) > 0 {
		failure, s.script = s.script[0], s.script[1:]
	}
	if failure != nil && (!s.applyLost || !errors.Is(failure, errLost)) {
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

// TestInsertReportsStoredRefusedOrUnknown guards against a refusal although the row is stored, and against an
// acceptance although it is not.
func TestInsertReportsStoredRefusedOrUnknown(t *testing.T) {
	refusal := medlarwheel.WithoutEffect(errors.New("status 503"))
	for name, c := range map[string]struct {
		script    []error
		applyLost bool
		exists    bool
		want      Result
		stored    bool
	}{
		"stored":                          {want: ResultStored, stored: true},
		"stored by an earlier request":    {exists: true, want: ResultStored, stored: true},
		"refused without effect":          {script: []error{refusal}, want: ResultRefused},
		"lost response of a stored write": {script: []error{errLost}, applyLost: true, want: ResultStored, stored: true},
		"lost write, then stored":         {script: []error{errLost}, want: ResultStored, stored: true},
		"lost twice":                      {script: []error{errLost, errLost}, want: ResultUnknown},
		"lost, then refused":              {script: []error{errLost, refusal}, want: ResultUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			store := &scriptedStore{rows: map[string]bool{"k": c.exists}, script: c.script, applyLost: c.applyLost}
			if got := newTestWriter(store).Insert(context.Background(), row("k")); got != c.want {
				t.Errorf("Insert: got result %s, want %s", got, c.want)
			}
			if store.rows["k"] != c.stored {
				t.Errorf("row stored: got %v, want %v", store.rows["k"], c.stored)
			}
		})
	}
}

// TestRepeatedRowDoesNotFailItsBatch guards against new submissions that are refused because they share a transaction with a
// repeated submission that is already stored.
func TestRepeatedRowDoesNotFailItsBatch(t *testing.T) {
	store := &scriptedStore{rows: map[string]bool{"old": true}}
	w := newTestWriter(store)
	var requests []*request
	for _, key := range []string{"a", "old", "b"} {
		requests = append(requests, &request{row: row(key), result: make(chan Result, 1)})
	}
	w.writeBatch(requests)
	for _, r := range requests {
		if got := <-r.result; got != ResultStored {
			t.Errorf("row %s: got result %s, want ResultStored", r.row.Key, got)
		}
	}
	if !store.rows["a"] || !store.rows["b"] || store.calls != 2 {
		t.Errorf("got rows %v after %d calls, want rows a and b after 2 calls", store.rows, store.calls)
	}
}

// gatedStore blocks the transactions of a part until its gate is closed.
type gatedStore struct {
	scriptedStore
	gates map[string]chan struct{}
	// began receives the part of each transaction.
	began chan string
}

// newGatedStore returns a store and the gate of part p.
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

// TestCancelledRequestIsRefusedOnlyIfNotSent guards against a request that is reported as not stored although a
// transaction in progress includes it when its context ends.
func TestCancelledRequestIsRefusedOnlyIfNotSent(t *testing.T) {
	store, gate := newGatedStore()
	w := newTestWriter(store)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan Result, 1)
	go func() { result <- w.Insert(ctx, row("k")) }()
	<-store.began
	if got := w.Insert(canceled(), row("waiting")); got != ResultRefused {
		t.Errorf("a request that no transaction includes: got result %s, want ResultRefused", got)
	}
	cancel()
	if got := <-result; got != ResultUnknown {
		t.Errorf("a request in a transaction in progress: got result %s, want ResultUnknown", got)
	}
	close(gate)
	if got := w.Insert(context.Background(), row("after")); got != ResultStored {
		t.Errorf("the next request: got result %s, want ResultStored", got)
	}
	if store.rows["waiting"] {
		t.Error("the row of a refused request was stored")
	}
}

// canceled returns a context that has been cancelled.
func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestPartsDoNotWaitForEachOther guards against submissions that wait for a slow transaction of another part.
func TestPartsDoNotWaitForEachOther(t *testing.T) {
	store, gate := newGatedStore()
	w := newTestWriter(store)
	result := make(chan Result, 1)
	go func() { result <- w.Insert(context.Background(), row("k")) }()
	<-store.began
	if got := w.Insert(context.Background(), medlartable.Row{Table: "t", Part: "q", Key: "other"}); got != ResultStored {
		t.Errorf("a row of another part: got result %s, want ResultStored", got)
	}
	close(gate)
	if got := <-result; got != ResultStored {
		t.Errorf("the row of the blocked part: got result %s, want ResultStored", got)
	}
}
