package medlarhedge

import (
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

var (
	errLost    = errors.New("no response")
	errRefused = medlarwheel.WithoutEffect(errors.New("status 503"))
)

// reply is the response of a store to one copy.
type reply struct {
	after  time.Duration
	err    error
	panics bool
}

// scriptedStore returns scripted replies to the copies of a transaction in order, and then repeats the last one.
type scriptedStore struct {
	mu      sync.Mutex
	replies []reply
	calls   int
}

func (s *scriptedStore) TransactWithin(_ medlartable.Transaction, timeout time.Duration) (medlartable.Commit, error) {
	s.mu.Lock()
	r := s.replies[min(s.calls, len(s.replies)-1)]
	s.calls++
	s.mu.Unlock()
	if r.after > timeout {
		time.Sleep(timeout)
		return medlartable.Commit{}, errLost
	}
	time.Sleep(r.after)
	if r.panics {
		panic("unexpected response")
	}
	return medlartable.Commit{Version: 1}, r.err
}

func newWriter(s Store) *Writer {
	c := DefaultConfig()
	c.Timeout = 300 * time.Millisecond
	c.HedgeDelay.Min = 20 * time.Millisecond
	return New(c, s, medlarwheel.SystemClock{}, func(bool) {})
}

// TestOutcomeCoversAllCopies guards against a transaction that is reported as having no effect although a copy of it
// may have been applied.
func TestOutcomeCoversAllCopies(t *testing.T) {
	conflict := &medlartable.ConflictError{}
	for name, c := range map[string]struct {
		replies  []reply
		want     error
		noEffect bool
	}{
		"responded":                       {replies: []reply{{}}},
		"refused":                         {replies: []reply{{err: errRefused}}, want: errRefused, noEffect: true},
		"conflict":                        {replies: []reply{{err: conflict}}, want: conflict},
		"lost, then responded":            {replies: []reply{{err: errLost}, {}}},
		"panics twice":                    {replies: []reply{{panics: true}}, want: errPanicked},
		"panics, then responded":          {replies: []reply{{panics: true}, {}}},
		"lost twice":                      {replies: []reply{{err: errLost}}, want: errLost},
		"lost, then refused":              {replies: []reply{{err: errLost}, {err: errRefused}}, want: errLost},
		"late, while the copy is refused": {replies: []reply{{after: 100 * time.Millisecond}, {err: errRefused}}},
		"late and lost, copy refused":     {replies: []reply{{after: time.Hour}, {err: errRefused}}, want: errLost},
		"no response, then conflict":      {replies: []reply{{after: time.Hour}, {err: conflict}}, want: conflict},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newWriter(&scriptedStore{replies: c.replies}).Transact(medlartable.Transaction{})
			if !errors.Is(err, c.want) {
				t.Errorf("Transact: got error %v, want %v", err, c.want)
			}
			if got := medlarwheel.HasNoEffect(err); got != c.noEffect {
				t.Errorf("HasNoEffect: got %v, want %v", got, c.noEffect)
			}
		})
	}
}

// TestSlowResponseIsUsed guards against a writer that never waits for a table whose responses are slower than the hedge
// delay, and against a second copy of every transaction once the delay should have adapted to the table.
func TestSlowResponseIsUsed(t *testing.T) {
	store := &scriptedStore{replies: []reply{{after: 60 * time.Millisecond}}}
	w := newWriter(store)
	const transactions = 6
	for range transactions {
		if _, err := w.Transact(medlartable.Transaction{}); err != nil {
			t.Fatal(err)
		}
	}
	if store.calls > transactions+1 {
		t.Errorf("sent %d copies of %d transactions, want at most one more than transactions", store.calls, transactions)
	}
}

// TestLostResponseIsHedged guards against a transaction that waits for the full timeout when only one response is lost.
func TestLostResponseIsHedged(t *testing.T) {
	began := time.Now()
	if _, err := newWriter(&scriptedStore{replies: []reply{{after: time.Hour}, {}}}).Transact(medlartable.Transaction{}); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took > 200*time.Millisecond {
		t.Errorf("the transaction took %v, want at most 200 ms", took)
	}
}
