// Package medlarcellstore holds the rows of a cell in the platform's table: accepted submissions, cancellations and progress.
//
// An accepted submission is one row that is never changed, so that following its table tells an owner of new work. The
// submissions are spread over parts of their own, since the table carries out the transactions of one part one after
// another: neither acceptance nor the owner's renewals wait for each other, also when the table is a hundred times slower
// than usual.
//
// Progress is written only by the owner, in batches that form a chain: each requires the row that the batch before it has
// written, and the claim of a new owner breaks the chain. A batch that is carried out late therefore changes nothing.
//
// # Usage
//
//	chain := medlarcellstore.NewChain("c0", term, claimVersion)
//	transaction, err := chain.Next(batch, erased, renewal)
//	commit, err := store.Transact(transaction)
//	outcome := chain.Settle(commit, err)
package medlarcellstore

import (
	"encoding/json"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// Names of the tables.
const (
	TableSubmissions = "medlar-submission"
	TableProgress    = "medlar-progress"
	TableChain       = "medlar-chain"
	// TableWorkers holds a row for each worker that may run tasks.
	TableWorkers = "medlar-fleet"
	// KeyModelSnapshot is the row with what the owner has learnt.
	KeyModelSnapshot = "learnt"
	// KeyChain is the row that every batch requires and writes.
	KeyChain = "last"
	// cancelSuffix follows the id in the key of a cancellation.
	cancelSuffix = "/cancel"
)

// MaxRecords is the number of progress records that fit into one batch, beside the rows of chain and renewal.
const MaxRecords = medlartable.MaxEntries - 7

// submissionParts is the number of parts over which the submissions of a cell are spread. A table that is a hundred times
// slower than usual carries out some three transactions a second in each part, so that 32 serve about a hundred
// submissions a second. Every change of owner reads all of them.
const submissionParts = 32

// Submissions returns the table of the submissions and cancellations of a cell.
func Submissions(cell string) medlartable.PartitionedTable {
	return medlartable.PartitionedTable{Table: TableSubmissions, Prefix: cell, Parts: submissionParts}
}

// SubmissionPart returns the part that holds a submission and its cancellation.
func SubmissionPart(cell string, id medlarsubmission.ID) string {
	return Submissions(cell).Part(string(id))
}

// SubmissionRow returns the row of an accepted submission.
func SubmissionRow(cell string, s *medlarsubmission.Submission) (medlartable.Row, error) {
	value, err := json.Marshal(s)
	row := medlartable.Row{Table: TableSubmissions, Part: SubmissionPart(cell, s.ID), Key: string(s.ID), Value: value}
	return row, errors.Wrap(err, "submission")
}

// CancelRow returns the row of a cancellation.
func CancelRow(cell string, id medlarsubmission.ID) medlartable.Row {
	return medlartable.Row{
		Table: TableSubmissions, Part: SubmissionPart(cell, id), Key: string(id) + cancelSuffix, Value: []byte("{}"),
	}
}

// SubmissionRange selects the rows of one submission and its cancellation.
func SubmissionRange(cell string, id medlarsubmission.ID) medlartable.Range {
	return medlartable.Range{
		Table: TableSubmissions, Part: SubmissionPart(cell, id), From: string(id), To: string(id) + cancelSuffix + "\x00",
	}
}

// Erasure is a submission whose rows are to be removed.
type Erasure struct {
	ID medlarsubmission.ID
	// Version is the version of the submission's row. A later submission with the same id is not removed.
	Version medlarwheel.RowVersion
}

// Erase returns the transaction that removes submissions of one part, with their cancellations.
func Erase(cell string, erasures []Erasure) medlartable.Transaction {
	var t medlartable.Transaction
	for _, e := range erasures {
		row := medlartable.Row{Table: TableSubmissions, Part: SubmissionPart(cell, e.ID), Key: string(e.ID)}
		cancel := row
		cancel.Key += cancelSuffix
		t.Remove = append(t.Remove, row, cancel)
		row.Version = e.Version
		t.Require = append(t.Require, row)
	}
	return t
}

// MaxErasures is the number of submissions that one transaction can remove.
const MaxErasures = medlartable.MaxEntries / 3

// ProgressRange selects the progress of one submission.
func ProgressRange(part string, id medlarsubmission.ID) medlartable.Range {
	return medlartable.Range{Table: TableProgress, Part: part, From: string(id), To: string(id) + "\x00"}
}

// Entry is one row of the table of submissions: an accepted submission or a cancellation.
type Entry struct {
	ID         medlarsubmission.ID
	Cancel     bool
	Submission medlarsubmission.Submission
	// Version is the version of the row.
	Version medlarwheel.RowVersion
}

// DecodeEntry reads and checks a row of the table of submissions.
func DecodeEntry(r medlartable.Row) (Entry, error) {
	if n := len(r.Key) - len(cancelSuffix); n > 0 && r.Key[n:] == cancelSuffix {
		return Entry{ID: medlarsubmission.ID(r.Key[:n]), Cancel: true}, nil
	}
	e := Entry{ID: medlarsubmission.ID(r.Key), Version: r.Version}
	if err := json.Unmarshal(r.Value, &e.Submission); err != nil {
		return e, errors.Wrapf(err, "submission %s", r.Key)
	}
	if faults := e.Submission.Check(); len(faults) > 0 {
		return e, errors.Wrapf(faults, "submission %s", r.Key)
	}
	return e, nil
}

// DecodeProgress reads a row of the table of progress.
func DecodeProgress(r medlartable.Row) (medlarcell.Progress, error) {
	var p medlarcell.Progress
	err := json.Unmarshal(r.Value, &p)
	if err == nil && p.State != "" && !p.State.IsFinal() {
		err = errors.Errorf("unknown final state %q", p.State)
	}
	return p, errors.Wrapf(err, "progress of %s", r.Key)
}

// DecodeWorker reads and checks the row of a worker that may run tasks.
func DecodeWorker(r medlartable.Row) (medlarorder.Worker, error) {
	var w medlarorder.Worker
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return w, errors.Wrapf(err, "worker %s", r.Key)
	}
	return w, errors.Wrapf(w.Check().Err(), "worker %s", r.Key)
}

// WorkerRange selects the workers that may run tasks.
func WorkerRange(part string) medlartable.Range {
	return medlartable.Range{Table: TableWorkers, Part: part}
}

// ModelSnapshotRow returns the row with what the owner has learnt.
func ModelSnapshotRow(part string, l medlarcell.ModelSnapshot) (medlartable.Row, error) {
	value, err := json.Marshal(l)
	return medlartable.Row{Table: TableChain, Part: part, Key: KeyModelSnapshot, Value: value}, errors.Wrap(err, "what an owner has learnt")
}

// ModelSnapshotRange selects what the owner has learnt.
func ModelSnapshotRange(part string) medlartable.Range {
	return medlartable.Range{Table: TableChain, Part: part, From: KeyModelSnapshot, To: KeyModelSnapshot + "\x00"}
}

// DecodeModelSnapshot reads and checks what an owner has learnt.
func DecodeModelSnapshot(r medlartable.Row) (medlarcell.ModelSnapshot, error) {
	var l medlarcell.ModelSnapshot
	if err := json.Unmarshal(r.Value, &l); err != nil {
		return l, errors.Wrap(err, "what an owner has learnt")
	}
	return l, errors.Wrap(l.Check().Err(), "what an owner has learnt")
}

// chainValue is the content of the chain row.
type chainValue struct {
	Term uint64 `json:"term"`
	Next uint64 `json:"next"`
}

// Chain orders the batches of one owner.
type Chain struct {
	part    string
	term    uint64
	next    uint64
	version medlarwheel.RowVersion
}

// NewChain returns the chain of an owner whose claim has written the first link with the version.
func NewChain(part string, term uint64, version medlarwheel.RowVersion) *Chain {
	return &Chain{part: part, term: term, version: version}
}

// FirstChainRow returns the chain row that a claim writes.
func FirstChainRow(part string, term uint64) (medlartable.Row, error) {
	value, err := json.Marshal(chainValue{Term: term})
	return medlartable.Row{Table: TableChain, Part: part, Key: KeyChain, Value: value}, errors.Wrap(err, "chain row")
}

// Next returns the transaction of the next batch. It removes the progress of erased submissions, whose rows must be gone: a
// submission without progress would be started anew by the next owner. The same batch may be sent again until Settle knows
// its outcome. A renewal without a timeout is left out.
func (c *Chain) Next(batch *medlarcell.Batch, erased []medlarsubmission.ID, renewal medlarownership.Renewal) (medlartable.Transaction, error) {
	value, err := json.Marshal(chainValue{Term: c.term, Next: c.next + 1})
	if err != nil {
		return medlartable.Transaction{}, errors.Wrap(err, "chain row")
	}
	chain := medlartable.Row{Table: TableChain, Part: c.part, Key: KeyChain}
	t := medlartable.Transaction{Require: []medlartable.Row{chain}, Put: []medlartable.Row{chain}}
	t.Require[0].Version = c.version
	t.Put[0].Value = value
	if renewal.Timeout > 0 {
		beat, err := medlarownership.RenewalRow(c.part, renewal)
		if err != nil {
			return t, err
		}
		t.Put = append(t.Put, beat)
	}
	for i := range batch.Joined {
		value, err := json.Marshal(batch.Joined[i])
		if err != nil {
			return t, errors.Wrapf(err, "worker %s", batch.Joined[i].ID)
		}
		t.Put = append(t.Put, medlartable.Row{Table: TableWorkers, Part: c.part, Key: string(batch.Joined[i].ID), Value: value})
	}
	for _, id := range batch.Left {
		t.Remove = append(t.Remove, medlartable.Row{Table: TableWorkers, Part: c.part, Key: string(id)})
	}
	for _, r := range batch.Records {
		value, err := json.Marshal(r.Progress)
		if err != nil {
			return t, errors.Wrapf(err, "progress of %s", r.Submission)
		}
		t.Put = append(t.Put, medlartable.Row{Table: TableProgress, Part: c.part, Key: string(r.Submission), Value: value})
	}
	for _, id := range erased {
		t.Remove = append(t.Remove, medlartable.Row{Table: TableProgress, Part: c.part, Key: string(id)})
	}
	return t, nil
}

// Outcome is the outcome of a batch.
type Outcome int

// The outcomes of a batch.
const (
	// OutcomeStored means that the batch is stored.
	OutcomeStored Outcome = iota
	// OutcomeRetry means that the batch is to be sent again.
	OutcomeRetry
	// OutcomeSuperseded means that another owner has claimed the cell.
	OutcomeSuperseded
)

// Resolve takes in the result of a batch.
func (c *Chain) Resolve(commit medlartable.Commit, err error) Outcome {
	if err == nil {
		c.advance(commit.Version)
		return OutcomeStored
	}
	var conflict *medlartable.ConflictError
	if !errors.As(err, &conflict) {
		return OutcomeRetry
	}
	row, found := conflict.Find(TableChain, KeyChain)
	var l chainValue
	if !found || json.Unmarshal(row.Value, &l) != nil || l.Term != c.term {
		return OutcomeSuperseded
	}
	if l.Next == c.next+1 {
		// An earlier copy of this batch was stored, and its answer was lost.
		c.advance(row.Version)
		return OutcomeStored
	}
	return OutcomeSuperseded
}

func (c *Chain) advance(version medlarwheel.RowVersion) {
	c.version = version
	c.next++
}
