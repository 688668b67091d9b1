package medlarowner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
)

// refusingStore refuses transactions with rows for which refuses returns true, and keeps the others.
type refusingStore struct {
	slowStore
	refuses  func(row medlartable.Row) bool
	stored   map[string]medlarcell.Progress
	refusals int
}

func (s *refusingStore) TransactWithin(t medlartable.Transaction, _ time.Duration) (medlartable.Commit, error) {
	for _, r := range t.Put {
		if s.refuses(r) {
			s.refusals++
			return medlartable.Commit{}, medlarwheel.WithoutEffect(medlartable.ErrInvalidTransaction)
		}
	}
	for _, r := range t.Put {
		if r.Table == medlarcellstore.TableProgress {
			var p medlarcell.Progress
			if err := json.Unmarshal(r.Value, &p); err != nil {
				return medlartable.Commit{}, err
			}
			s.stored[r.Key] = p
		}
	}
	return medlartable.Commit{Version: 10}, nil
}

// flushFor lets the owner store the changes of 200 cancelled submissions in at most so many batches.
func flushFor(t *testing.T, store *refusingStore, batches int) *bytes.Buffer {
	t.Helper()
	store.stored = map[string]medlarcell.Progress{}
	o := testOwner(store)
	o.config.FlushInterval, o.config.FlushRetry = 0, 0
	var log bytes.Buffer
	o.Log = zerolog.New(&log)
	now := o.Clock.Now()
	for n := range 200 {
		s := medlarsubmission.Submission{ID: medlarsubmission.ID(fmt.Sprintf("%016x", n)), Route: "q", Service: "svc", AcceptedAt: now}
		o.cell.Accept(now, s)
		o.cell.Cancel(now, s.ID)
	}
	for range batches {
		o.flush(context.Background(), o.Clock.Now())
		if o.flushing {
			(<-o.controlFuncs)(o.Clock.Now())
		}
	}
	return &log
}

// TestRefusedRecordDoesNotStopOthers guards against one record that the table refuses for its content, whose batch is sent again as
// it was, so that nothing of any submission is recorded.
func TestRefusedRecordDoesNotStopOthers(t *testing.T) {
	const refused = "000000000000004d"
	store := &refusingStore{refuses: func(r medlartable.Row) bool { return r.Table == medlarcellstore.TableProgress && r.Key == refused }}
	log := flushFor(t, store, 40)
	if _, found := store.stored[refused]; len(store.stored) != 199 || found {
		t.Errorf("%d submissions are recorded, the refused one among them: %v; want the 199 others", len(store.stored), found)
	}
	if !bytes.Contains(log.Bytes(), []byte(`"event":"submission-set-aside","id":"`+refused)) {
		t.Errorf("the log does not name the submission:\n%s", log)
	}
	if store.refusals > 20 {
		t.Errorf("%d refused batches, want at most 20", store.refusals)
	}
}

// TestTableThatRefusesEverythingFailsNoSubmission guards against submissions that are failed one after another because the table
// refuses every transaction.
func TestTableThatRefusesEverythingFailsNoSubmission(t *testing.T) {
	store := &refusingStore{refuses: func(medlartable.Row) bool { return true }}
	if log := flushFor(t, store, 100); bytes.Contains(log.Bytes(), []byte("submission-set-aside")) {
		t.Errorf("a submission is set aside:\n%s", log)
	}
}
