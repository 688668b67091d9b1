package medlarcellstore

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// memoryTable is an in-memory table with the conflict rules of the platform's table.
type memoryTable struct {
	version medlarwheel.RowVersion
	rows    map[string]medlartable.Row
}

func (m *memoryTable) transact(t medlartable.Transaction) (medlartable.Commit, error) {
	var present []medlartable.Row
	conflict := false
	for _, r := range t.Require {
		have := m.rows[r.Table+r.Key]
		conflict = conflict || have.Version != r.Version
		if have.Version > 0 {
			present = append(present, have)
		}
	}
	if conflict {
		return medlartable.Commit{}, &medlartable.ConflictError{Rows: present}
	}
	m.version++
	for _, r := range t.Put {
		r.Version = m.version
		m.rows[r.Table+r.Key] = r
	}
	for _, r := range t.Remove {
		delete(m.rows, r.Table+r.Key)
	}
	return medlartable.Commit{Version: m.version}, nil
}

// claim writes the first chain row of a term and returns its chain.
func (m *memoryTable) claim(t *testing.T, term uint64) *Chain {
	t.Helper()
	chainRow, err := FirstChainRow("c0", term)
	if err != nil {
		t.Fatal(err)
	}
	commit, err := m.transact(medlartable.Transaction{Put: []medlartable.Row{chainRow}})
	if err != nil {
		t.Fatal(err)
	}
	return NewChain("c0", term, commit.Version)
}

func batch(t *testing.T, c *Chain, state medlarsubmission.State) medlartable.Transaction {
	t.Helper()
	tx, err := c.Next(&medlarcell.Batch{Records: []medlarcell.Record{
		{Submission: "00000000000000aa", Progress: medlarcell.Progress{State: state}},
	}}, nil, medlarownership.Renewal{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	return tx
}

// TestChainRecognisesOwnBatchAfterLostResponse guards against an owner that mistakes the conflict with its own stored batch
// for the claim of another owner, and against a batch that is stored twice. Both occur when a response is lost and the batch
// is sent again.
func TestChainRecognisesOwnBatchAfterLostResponse(t *testing.T) {
	m := &memoryTable{rows: map[string]medlartable.Row{}}
	c := m.claim(t, 1)
	tx := batch(t, c, medlarsubmission.StateCompleted)
	if _, err := m.transact(tx); err != nil {
		t.Fatal(err)
	}
	if got := c.Resolve(medlartable.Commit{}, errors.New("no response")); got != OutcomeRetry {
		t.Fatalf("outcome after a lost response: got %d, want OutcomeRetry", got)
	}
	if _, err := c.Next(&medlarcell.Batch{}, nil, medlarownership.Renewal{}); err == nil {
		t.Fatal("got another batch while the outcome of the previous one is unknown, want an error")
	}
	if got := c.Resolve(m.transact(tx)); got != OutcomeStored {
		t.Fatalf("outcome of the repeated batch: got %d, want OutcomeStored", got)
	}
	if got := c.Resolve(m.transact(batch(t, c, medlarsubmission.StateCompleted))); got != OutcomeStored {
		t.Fatalf("outcome of the batch after the repeated one: got %d, want OutcomeStored", got)
	}
}

// TestBatchOfAnotherClaimIsNotTakenForOwn guards against ends that are acknowledged although their records are lost: the batch of
// another owner under the same term number is taken for the own one.
func TestBatchOfAnotherClaimIsNotTakenForOwn(t *testing.T) {
	m := &memoryTable{rows: map[string]medlartable.Row{}}
	first := m.claim(t, 2)
	second := m.claim(t, 2)
	if got := second.Resolve(m.transact(batch(t, second, medlarsubmission.StateCompleted))); got != OutcomeStored {
		t.Fatal(got)
	}
	if got := first.Resolve(m.transact(batch(t, first, medlarsubmission.StateFailed))); got != OutcomeSuperseded {
		t.Errorf("outcome of the first owner's batch: got %d, want OutcomeSuperseded", got)
	}
}

// TestLateBatchIsRejected guards against progress that is overwritten with older progress, because the table applies a
// batch seconds late: after a newer batch or after the claim of another owner.
func TestLateBatchIsRejected(t *testing.T) {
	m := &memoryTable{rows: map[string]medlartable.Row{}}
	c := m.claim(t, 1)
	late := batch(t, c, medlarsubmission.StateFailed)
	if got := c.Resolve(m.transact(late)); got != OutcomeStored {
		t.Fatal(got)
	}
	if got := c.Resolve(m.transact(batch(t, c, medlarsubmission.StateCompleted))); got != OutcomeStored {
		t.Fatal(got)
	}
	if _, err := m.transact(late); err == nil {
		t.Fatal("a repeated batch was stored after a newer one")
	}
	next := m.claim(t, 2)
	if got := c.Resolve(m.transact(batch(t, c, medlarsubmission.StateFailed))); got != OutcomeSuperseded {
		t.Fatalf("outcome of a batch of the previous owner: got %d, want OutcomeSuperseded", got)
	}
	if got := next.Resolve(m.transact(batch(t, next, medlarsubmission.StateCompleted))); got != OutcomeStored {
		t.Fatalf("outcome of a batch of the current owner: got %d, want OutcomeStored", got)
	}
}

// TestEntriesRoundTrip guards against rows that can't be decoded after encoding, and against a cancellation that is decoded
// as a submission.
func TestEntriesRoundTrip(t *testing.T) {
	s := medlarsubmission.Submission{
		ID: "00000000000000aa", Route: "r", Service: "s", AcceptedAt: time.Unix(5, 0).UTC(), Spec: "x",
		Steps: []medlarsubmission.Step{{Count: 2, Size: medlarsubmission.Size{MilliCPU: 5}, Image: "i"}},
	}
	row, err := SubmissionRow("c0", &s)
	if err != nil {
		t.Fatal(err)
	}
	e, err := DecodeEntry(row)
	if err != nil || e.Cancel || e.Submission.Steps[0].Image != "i" {
		t.Fatalf("%+v, %v", e, err)
	}
	e, err = DecodeEntry(CancelRow("c0", s.ID))
	if err != nil || !e.Cancel || e.ID != s.ID {
		t.Fatalf("%+v, %v", e, err)
	}
	if _, err := DecodeEntry(medlartable.Row{Key: "00000000000000aa", Value: []byte(`{"id":"x"}`)}); err == nil {
		t.Fatal("a row without steps was decoded as a submission")
	}
}

// TestEraseKeepsLaterSubmission guards against a removal that is applied late and removes a newer submission with the
// same id, and against cancellations that are not removed.
func TestEraseKeepsLaterSubmission(t *testing.T) {
	m := &memoryTable{rows: map[string]medlartable.Row{}}
	s := medlarsubmission.Submission{ID: "00000000000000aa"}
	row, err := SubmissionRow("c0", &s)
	if err != nil {
		t.Fatal(err)
	}
	store := func() Erasure {
		commit, err := m.transact(medlartable.Transaction{Put: []medlartable.Row{row, CancelRow("c0", s.ID)}})
		if err != nil {
			t.Fatal(err)
		}
		return Erasure{ID: s.ID, Version: commit.Version}
	}
	late := Erase("c0", []Erasure{store()})
	if _, err := m.transact(late); err != nil || len(m.rows) != 0 {
		t.Fatalf("erase: error %v, remaining rows %v, want none", err, m.rows)
	}
	store()
	if _, err := m.transact(late); err == nil || len(m.rows) != 2 {
		t.Fatalf("a late removal: error %v and rows %v, want a conflict and two rows", err, m.rows)
	}
}

// TestSubmissionRangesCoverAllParts guards against submissions in a part that a new owner does not read, and against parts
// that hold no submissions.
func TestSubmissionRangesCoverAllParts(t *testing.T) {
	parts := map[string]bool{}
	for _, r := range Submissions("c0").Ranges() {
		parts[r.Part] = true
	}
	used := map[string]bool{}
	for n := range 1000 {
		part := SubmissionPart("c0", medlarsubmission.ID(fmt.Sprintf("%016x", n)))
		used[part] = true
		if !parts[part] {
			t.Fatalf("part %s holds submissions, but is not among the ranges", part)
		}
	}
	if len(used) != len(parts) {
		t.Errorf("submissions use %d of %d parts", len(used), len(parts))
	}
}

// TestDecodersRejectOddRows guards against a row of another writer that ends the process of every new owner.
func TestDecodersRejectOddRows(t *testing.T) {
	const maxErrorBytes = 1 << 10
	decoders := map[string]func(medlartable.Row) error{
		"submission": func(r medlartable.Row) error { _, err := DecodeEntry(r); return err },
		"progress":   func(r medlartable.Row) error { _, err := DecodeProgress(r); return err },
		"worker":     func(r medlartable.Row) error { _, err := DecodeWorker(r); return err },
		"models":     func(r medlartable.Row) error { _, err := DecodeModelSnapshot(r); return err },
	}
	for name, decode := range decoders {
		for _, value := range []string{
			"", "\x00\xff", "[]", "7", `{"x":` + strings.Repeat("[", 30_000) + strings.Repeat("]", 30_000) + "}",
			`{"x":` + strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000) + "}", strings.Repeat(`{"x":`, 1_000_000),
			`{"state":1e400,"id":1e400,"version":1e400,"pressures":1e400}`, "n" + strings.Repeat("\x01", 60_000),
		} {
			if err := decode(medlartable.Row{Key: "00000000000000aa", Value: []byte(value)}); err == nil || len(err.Error()) > maxErrorBytes {
				t.Errorf("%s %.40q: got error %.200v, want a short one", name, value, err)
			}
		}
	}
}
