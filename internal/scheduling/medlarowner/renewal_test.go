package medlarowner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// responseLossTable loses the responses to its first writes.
type responseLossTable struct {
	slowStore
	// lossesLeft is the number of writes whose responses will be lost. Reads wait for readable.
	lossesLeft                  int
	readable, applied, answered chan struct{}
	mu                          sync.Mutex
	version                     medlarwheel.RowVersion
	rows                        map[string]medlartable.Row
	// renewedAt is when the last renewal took effect.
	renewedAt time.Time
}

func newResponseLossTable(t *testing.T, losses int) *responseLossTable {
	t.Helper()
	chain, err := medlarcellstore.FirstChainRow(testPart, 2)
	if err != nil {
		t.Fatal(err)
	}
	chain.Version = 9
	return &responseLossTable{
		lossesLeft: losses, readable: make(chan struct{}), applied: make(chan struct{}), answered: make(chan struct{}), version: chain.Version,
		rows: map[string]medlartable.Row{chain.Table + chain.Key: chain},
	}
}

func (s *responseLossTable) Transact(t medlartable.Transaction) (medlartable.Commit, error) {
	return s.TransactWithin(t, time.Second)
}

func (s *responseLossTable) TransactWithin(t medlartable.Transaction, _ time.Duration) (medlartable.Commit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	commit, err := s.apply(t)
	if s.lossesLeft--; s.lossesLeft >= 0 {
		return medlartable.Commit{}, errors.New("no response")
	}
	if s.lossesLeft == -1 {
		close(s.answered)
	}
	return commit, err
}

func (s *responseLossTable) Read(medlartable.Range) (medlartable.Page, error) {
	<-s.readable
	return medlartable.Page{Version: 10}, nil
}

func (s *responseLossTable) apply(t medlartable.Transaction) (medlartable.Commit, error) {
	for _, r := range t.Require {
		if stored := s.rows[r.Table+r.Key]; stored.Version != r.Version {
			return medlartable.Commit{}, &medlartable.ConflictError{Rows: []medlartable.Row{stored}}
		}
	}
	if s.version == 9 {
		close(s.applied)
	}
	s.version++
	for _, r := range t.Put {
		r.Version = s.version
		s.rows[r.Table+r.Key] = r
		if r.Key == medlarownership.KeyRenewal {
			s.renewedAt = time.Now()
		}
	}
	return medlartable.Commit{Version: s.version}, nil
}

// renewingOwner returns an owner that renews its claim every 20 ms.
func renewingOwner(table Store) *Owner {
	o := testOwner(table)
	o.config.Ownership.RenewInterval, o.config.FlushRetry = 20*time.Millisecond, 5*time.Millisecond
	return o
}

// loadThrough loads a cell from the table.
func loadThrough(t *testing.T, table Store) *Owner {
	t.Helper()
	o := renewingOwner(table)
	renewal, err := o.loadWhileRenewing(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if renewal != nil {
		o.commitRenewal(context.Background(), renewal)
		o.drainControlFuncs()
	}
	return o
}

// TestBatchAfterRenewalWithLostResponseIsStored guards against progress that counts as stored, and is acknowledged to the
// workers, although the table holds a renewal in its place.
func TestBatchAfterRenewalWithLostResponseIsStored(t *testing.T) {
	table := newResponseLossTable(t, 6)
	go func() { <-table.applied; close(table.readable) }()
	o := loadThrough(t, table)
	batch := &medlarcell.Batch{Records: []medlarcell.Record{{Submission: testID}}}
	transaction, err := o.chain.Next(batch, nil, medlarownership.Renewal{})
	if err != nil {
		t.Fatal(err)
	}
	outcome := medlarcellstore.OutcomeRetry
	for outcome == medlarcellstore.OutcomeRetry {
		outcome = o.chain.Resolve(o.writer.Transact(transaction))
	}
	if _, stored := table.rows[medlarcellstore.TableProgress+string(testID)]; outcome != medlarcellstore.OutcomeStored || !stored {
		t.Errorf("outcome %d, record in the table: %v; want outcome %d with the record", outcome, stored, medlarcellstore.OutcomeStored)
	}
}

// TestAuthorityCountsFromTheRenewalThatTookEffect guards against an owner that goes on after others may claim the cell,
// because it counts its authority from the repetition of a renewal whose response was lost.
func TestAuthorityCountsFromTheRenewalThatTookEffect(t *testing.T) {
	for name, loaded := range map[string]func(*responseLossTable) <-chan struct{}{
		"confirmed during the load": func(s *responseLossTable) <-chan struct{} { return s.answered },
		"confirmed after the load":  func(s *responseLossTable) <-chan struct{} { return s.applied },
	} {
		t.Run(name, func(t *testing.T) {
			table := newResponseLossTable(t, 6)
			go func() { <-loaded(table); close(table.readable) }()
			o := loadThrough(t, table)
			if end := table.renewedAt.Add(o.config.Ownership.OwnerTimeout); o.cell.AuthorityEnd().After(end) {
				t.Errorf("authority ends %v after that of the renewal in the table", o.cell.AuthorityEnd().Sub(end))
			}
		})
	}
}

// TestOwnerRunsWhileTableIsAwayAfterLoad guards against an owner that neither renews the leases of its workers nor can
// hand the cell over while the table does not respond to a renewal sent during the load.
func TestOwnerRunsWhileTableIsAwayAfterLoad(t *testing.T) {
	table := newResponseLossTable(t, 1<<30)
	go func() { <-table.applied; close(table.readable) }()
	o := renewingOwner(table)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = o.Run(ctx) }()
	within, cancelWait := context.WithTimeout(ctx, 2*time.Second)
	defer cancelWait()
	if !o.Stop(within) {
		t.Error("the control loop did not run within 2 s of the load")
	}
}
