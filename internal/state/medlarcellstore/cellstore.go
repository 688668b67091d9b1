// Package medlarcellstore defines the rows that hold the state of a cell in the platform's table: accepted submissions,
// cancellations, progress, workers and model snapshots.
//
// An accepted submission is one immutable row, so that an owner learns of new work by following the table of submissions.
// The table serialises the transactions of each part. Submissions therefore have parts of their own: acceptance and the
// owner's renewals do not wait for each other, even when the table is a hundred times slower than usual.
//
// Only the owner writes progress, in batches that form a chain: each batch requires the chain row as the previous batch
// wrote it, and the claim of a new owner overwrites that row. A batch that the table applies late is therefore rejected.
//
// # Usage
//
//	chain := medlarcellstore.NewChain("c0", term, claimVersion)
//	transaction, err := chain.Next(batch, erased, renewal)
//	commit, err := store.Transact(transaction)
//	outcome := chain.Resolve(commit, err)
package medlarcellstore

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// Names of tables and keys of rows.
const (
	TableSubmissions = "medlar-submission"
	TableProgress    = "medlar-progress"
	TableChain       = "medlar-chain"
	// TableWorkers holds one row for each worker that may run tasks.
	TableWorkers = "medlar-fleet"
	// KeyModelSnapshot is the key of the row with the model snapshot of the owner.
	KeyModelSnapshot = "learnt"
	// KeyChain is the key of the chain row, which every batch requires and writes.
	KeyChain = "last"
	// cancelSuffix follows the submission id in the key of a cancellation.
	cancelSuffix = "/cancel"
)

// MaxRecords is the number of progress records in one batch. The remaining entries are for the chain row and the renewal.
const MaxRecords = medlartable.MaxEntries - 7

// submissionParts is the number of parts that hold the submissions of a cell. A table that is a hundred times slower than
// usual applies about three transactions a second in each part, so that 32 parts accept about a hundred submissions a
// second. More parts would slow a change of owner, which reads all of them.
const submissionParts = 32

// Submissions returns the table of the submissions and cancellations of a cell.
func Submissions(cell string) medlartable.PartitionedTable {
	return medlartable.PartitionedTable{Table: TableSubmissions, Prefix: cell, Parts: submissionParts}
}

// SubmissionPart returns the part that holds a submission and its cancellation.
func SubmissionPart(cell string, id medlarsubmission.ID) string {
	return Submissions(cell).Part(string(id))
}

// SubmissionRow encodes an accepted submission as a row.
func SubmissionRow(cell string, s *medlarsubmission.Submission) (medlartable.Row, error) {
	value, err := json.Marshal(s)
	row := medlartable.Row{Table: TableSubmissions, Part: SubmissionPart(cell, s.ID), Key: string(s.ID), Value: value}
	return row, errors.Wrapf(err, "encode submission %s", s.ID)
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

// Erasure identifies a submission whose rows are to be removed.
type Erasure struct {
	ID medlarsubmission.ID
	// Version is the version of the submission's row, which protects a later submission with the same id from removal, or
	// zero if only a cancellation is stored.
	Version medlarwheel.RowVersion
}

// Erase returns the transaction that removes submissions of one part and their cancellations.
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

// MaxErasures is the number of submissions that one transaction can remove, with three entries for each.
const MaxErasures = medlartable.MaxEntries / 3

// ProgressKey is the key of a row of progress: the id of the submission, followed by the number of the segment unless it is 0.
type ProgressKey string

// segmentSeparator separates the id and the number of the segment in a ProgressKey.
const segmentSeparator = "/"

// NewProgressKey returns the key of a segment.
func NewProgressKey(id medlarsubmission.ID, segment int) ProgressKey {
	if segment == 0 {
		return ProgressKey(id)
	}
	return ProgressKey(string(id) + segmentSeparator + strconv.Itoa(segment))
}

// Submission returns the id of the submission.
func (k ProgressKey) Submission() medlarsubmission.ID {
	id, _, _ := strings.Cut(string(k), segmentSeparator)
	return medlarsubmission.ID(id)
}

// ProgressRange selects the first progress row of one submission, which holds its final state.
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

// DecodeEntry decodes and checks a row of the table of submissions.
func DecodeEntry(r medlartable.Row) (Entry, error) {
	if n := len(r.Key) - len(cancelSuffix); n > 0 && r.Key[n:] == cancelSuffix {
		return Entry{ID: medlarsubmission.ID(r.Key[:n]), Cancel: true}, nil
	}
	e := Entry{ID: medlarsubmission.ID(r.Key), Version: r.Version}
	if err := json.Unmarshal(r.Value, &e.Submission); err != nil {
		return e, errors.Wrapf(err, "decode submission %s", r.Key)
	}
	if faults := e.Submission.Check(); len(faults) > 0 {
		return e, errors.Wrapf(faults, "stored submission %s is invalid", r.Key)
	}
	return e, nil
}

// DecodeProgress decodes and checks a row of the table of progress.
func DecodeProgress(r medlartable.Row) (medlarcell.Progress, error) {
	var p medlarcell.Progress
	err := json.Unmarshal(r.Value, &p)
	if err == nil && p.State != "" && !p.State.IsFinal() {
		err = errors.Errorf("got state %q, want a final state or none", p.State)
	}
	return p, errors.Wrapf(err, "decode progress of submission %s", r.Key)
}

// DecodeWorker decodes and checks the row of a worker that may run tasks.
func DecodeWorker(r medlartable.Row) (medlarorder.Worker, error) {
	var w medlarorder.Worker
	if err := json.Unmarshal(r.Value, &w); err != nil {
		return w, errors.Wrapf(err, "decode worker %s", r.Key)
	}
	return w, errors.Wrapf(w.Check().Err(), "stored worker %s is invalid", r.Key)
}

// WorkerRange selects the workers that may run tasks.
func WorkerRange(part string) medlartable.Range {
	return medlartable.Range{Table: TableWorkers, Part: part}
}

// ModelSnapshotRow encodes the model snapshot of the owner as a row.
func ModelSnapshotRow(part string, snapshot medlarcell.ModelSnapshot) (medlartable.Row, error) {
	value, err := json.Marshal(snapshot)
	return medlartable.Row{Table: TableChain, Part: part, Key: KeyModelSnapshot, Value: value},
		errors.Wrapf(err, "encode the model snapshot of cell %s", part)
}

// ModelSnapshotRange selects the row with the model snapshot of the owner.
func ModelSnapshotRange(part string) medlartable.Range {
	return medlartable.Range{Table: TableChain, Part: part, From: KeyModelSnapshot, To: KeyModelSnapshot + "\x00"}
}

// DecodeModelSnapshot decodes and checks the model snapshot of an owner.
func DecodeModelSnapshot(r medlartable.Row) (medlarcell.ModelSnapshot, error) {
	var snapshot medlarcell.ModelSnapshot
	if err := json.Unmarshal(r.Value, &snapshot); err != nil {
		return snapshot, errors.Wrapf(err, "decode the model snapshot in row %s/%s", r.Part, r.Key)
	}
	return snapshot, errors.Wrapf(snapshot.Check().Err(), "model snapshot in row %s/%s is invalid", r.Part, r.Key)
}

// chainValue is the value of the chain row: the term of the owner, the version of its claim and the number of batches that it has
// stored. The row that is written with the claim has no version yet.
type chainValue struct {
	Term  uint64                 `json:"term"`
	Claim medlarwheel.RowVersion `json:"claim,omitempty"`
	Next  uint64                 `json:"next"`
}

// Chain makes the batches of one owner take effect in order, each at most once, and only during the term of the owner.
type Chain struct {
	part string
	term uint64
	// claim is the version of the owner's claim, which tells its batches from those of another owner under the same term number.
	claim   medlarwheel.RowVersion
	next    uint64
	version medlarwheel.RowVersion
	// unresolved is true while the outcome of the last batch is unknown.
	unresolved bool
}

// errUnresolvedBatch means that a batch was requested before the outcome of the previous one was known. Both would have the
// same position in the chain, so that the table could not tell which of them it holds.
var errUnresolvedBatch = errors.New("outcome of the previous batch is unknown")

// NewChain returns the chain of an owner whose claim has written the first chain row at the given version.
func NewChain(part string, term uint64, version medlarwheel.RowVersion) *Chain {
	return &Chain{part: part, term: term, claim: version, version: version}
}

// FirstChainRow returns the chain row that is written together with a claim.
func FirstChainRow(part string, term uint64) (medlartable.Row, error) {
	value, err := json.Marshal(chainValue{Term: term})
	return medlartable.Row{Table: TableChain, Part: part, Key: KeyChain, Value: value},
		errors.Wrapf(err, "encode the chain row of cell %s for term %d", part, term)
}

// Next returns the transaction of the next batch. It also removes the progress of erased submissions, whose own rows
// must have been removed before: the next owner would restart a submission that has no progress. The same batch may be
// sent again until Resolve has determined its outcome, and the next batch is refused until then. A renewal with a zero
// timeout is omitted.
func (c *Chain) Next(batch *medlarcell.Batch, erased []ProgressKey, renewal medlarownership.Renewal) (medlartable.Transaction, error) {
	if c.unresolved {
		return medlartable.Transaction{}, errors.WithMessagef(errUnresolvedBatch, "batch %d of cell %s", c.next+1, c.part)
	}
	value, err := json.Marshal(chainValue{Term: c.term, Claim: c.claim, Next: c.next + 1})
	if err != nil {
		return medlartable.Transaction{}, errors.Wrapf(err, "encode the chain row of cell %s for term %d", c.part, c.term)
	}
	chain := medlartable.Row{Table: TableChain, Part: c.part, Key: KeyChain}
	t := medlartable.Transaction{Require: []medlartable.Row{chain}, Put: []medlartable.Row{chain}}
	t.Require[0].Version = c.version
	t.Put[0].Value = value
	if renewal.Timeout > 0 {
		renewal.Term = c.term
		renewalRow, err := medlarownership.RenewalRow(c.part, renewal)
		if err != nil {
			return t, err
		}
		t.Put = append(t.Put, renewalRow)
	}
	for i := range batch.Joined {
		value, err := json.Marshal(batch.Joined[i])
		if err != nil {
			return t, errors.Wrapf(err, "encode worker %s", batch.Joined[i].ID)
		}
		t.Put = append(t.Put, medlartable.Row{Table: TableWorkers, Part: c.part, Key: string(batch.Joined[i].ID), Value: value})
	}
	for _, id := range batch.Left {
		t.Remove = append(t.Remove, medlartable.Row{Table: TableWorkers, Part: c.part, Key: string(id)})
	}
	for _, r := range batch.Records {
		value, err := json.Marshal(r.Progress)
		if err != nil {
			return t, errors.Wrapf(err, "encode progress of submission %s", r.Submission)
		}
		t.Put = append(t.Put, medlartable.Row{Table: TableProgress, Part: c.part, Key: string(NewProgressKey(r.Submission, r.Segment)), Value: value})
	}
	for _, key := range erased {
		t.Remove = append(t.Remove, medlartable.Row{Table: TableProgress, Part: c.part, Key: string(key)})
	}
	c.unresolved = true
	return t, nil
}

// Outcome is the outcome of sending a batch.
type Outcome int

// The outcomes of a batch.
const (
	// OutcomeStored means that the batch is stored.
	OutcomeStored Outcome = iota
	// OutcomeRetry means that the outcome is unknown and the batch must be sent again.
	OutcomeRetry
	// OutcomeSuperseded means that the batch can no longer be stored, because another owner has claimed the cell.
	OutcomeSuperseded
	// OutcomeInvalid means that the table refuses the batch for its content. Another one may take its place.
	OutcomeInvalid
)

// Resolve determines the outcome of a batch from the result of its transaction, and advances the chain if it was stored.
func (c *Chain) Resolve(commit medlartable.Commit, err error) Outcome {
	if err == nil {
		c.advance(commit.Version)
		return OutcomeStored
	}
	if errors.Is(err, medlartable.ErrInvalidTransaction) {
		c.unresolved = false
		return OutcomeInvalid
	}
	var conflict *medlartable.ConflictError
	if !errors.As(err, &conflict) {
		return OutcomeRetry
	}
	row, found := conflict.Find(TableChain, KeyChain)
	var stored chainValue
	if !found || json.Unmarshal(row.Value, &stored) != nil || stored.Term != c.term {
		return OutcomeSuperseded
	}
	if stored.Next == c.next+1 && stored.Claim == c.claim {
		// An earlier attempt has stored this batch, and its response was lost.
		c.advance(row.Version)
		return OutcomeStored
	}
	return OutcomeSuperseded
}

func (c *Chain) advance(version medlarwheel.RowVersion) {
	c.version, c.unresolved = version, false
	c.next++
}
