// Package medlartable defines the client's view of the platform's transactional table: rows, conditional transactions, pages
// and changes.
//
// # Usage
//
//	commit, err := store.Transact(medlartable.Transaction{
//		Require: []medlartable.Row{{Table: "submissions", Part: "c0", Key: id}}, // must not exist
//		Put:     []medlartable.Row{{Table: "submissions", Part: "c0", Key: id, Value: data}},
//	})
//	var conflict *medlartable.ConflictError
//	switch {
//	case errors.As(err, &conflict): // not applied
//	case medlarwheel.HasNoEffect(err): // not applied and never will be
//	case err != nil: // may be applied, now or later
//	}
package medlartable

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// MaxEntries is the number of entries that the platform allows in one transaction.
const MaxEntries = 100

// ErrHistoryTruncated means that the table no longer holds the changes after the requested version.
var ErrHistoryTruncated = errors.New("the table has truncated its history after the requested version")

// ErrResponseTooLarge means that a response of the table exceeds the memory for it, and will again. What is read in pages is less.
var ErrResponseTooLarge = errors.New("response of the table is too large")

// Row is a row of a table. In Transaction.Require, only its key and version matter; version zero means that the row must not
// exist.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version medlarwheel.RowVersion
	// Deleted marks a deleted row in a list of changes.
	Deleted bool
}

// Transaction is applied atomically. All its rows must be in one part.
type Transaction struct {
	Require []Row
	Put     []Row
	Remove  []Row
}

// Len returns the number of entries, which MaxEntries limits.
func (t *Transaction) Len() int { return len(t.Require) + len(t.Put) + len(t.Remove) }

// Commit is the result of a successful transaction.
type Commit struct {
	Version medlarwheel.RowVersion
}

// ConflictError reports that a requirement of a transaction was not met. Rows holds the current state of the required rows
// that exist.
type ConflictError struct{ Rows []Row }

// Error names the first existing row among the required ones.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "transaction conflict: a required row does not exist"
	}
	return fmt.Sprintf("transaction conflict: required row %s/%s/%s has version %d",
		e.Rows[0].Table, e.Rows[0].Part, e.Rows[0].Key, e.Rows[0].Version)
}

// ErrInvalidTransaction means that the table has refused a transaction for its content. The same one is refused again.
var ErrInvalidTransaction = errors.New("table refuses the content of the transaction")

// Find returns the current row with the key, if it is among the required rows that exist.
func (e *ConflictError) Find(table, key string) (Row, bool) {
	for _, r := range e.Rows {
		if r.Table == table && r.Key == key {
			return r, true
		}
	}
	return Row{}, false
}

// Range selects the rows of one part with keys from From up to, but excluding, To. An empty From or To sets no bound.
type Range struct {
	Table, Part, From, To string
}

// Page is a list of rows as of one version. More means that further rows follow.
type Page struct {
	Rows    []Row
	More    bool
	Version medlarwheel.RowVersion
}

// FollowRequest asks for the changes of a table after a version. If there are none yet, the table holds the request for up
// to Wait (long poll).
type FollowRequest struct {
	Table string
	After medlarwheel.RowVersion
	Wait  time.Duration
}

// Reader reads pages of rows.
type Reader interface {
	Read(r Range) (Page, error)
}

// ReadAll reads all pages of a range. It returns the rows and the version from which their changes can be followed.
func ReadAll(reader Reader, r Range) ([]Row, medlarwheel.RowVersion, error) {
	return ReadPages(reader, r, func(rows []Row) []Row { return rows })
}

// ReadPages does the same, and keeps of each page what convert returns. So no more rows than those of a page are held besides.
func ReadPages[T any](reader Reader, r Range, convert func(rows []Row) []T) ([]T, medlarwheel.RowVersion, error) {
	var kept []T
	var version medlarwheel.RowVersion
	for {
		page, err := reader.Read(r)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		kept = append(kept, convert(page.Rows)...)
		if !page.More || len(page.Rows) == 0 {
			return kept, version, nil
		}
		// The smallest key that is greater than the last one of the page.
		r.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
