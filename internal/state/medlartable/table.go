// Package medlartable holds the platform's transactional table as the project sees it: rows, conditional transactions,
// pages and changes.
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

// MaxEntries is the number of entries that one transaction may hold.
const MaxEntries = 100

// ErrHistoryTruncated means that the table no longer keeps the changes after the requested version.
var ErrHistoryTruncated = errors.New("history of the table is gone")

// Row is one row. In a requirement, only the key and the version count; version zero means that the row must not exist.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version medlarwheel.RowVersion
	// Deleted marks a removed row in a list of changes.
	Deleted bool
}

// Transaction is applied as a whole or not at all. All rows are in one part.
type Transaction struct {
	Require []Row
	Put     []Row
	Remove  []Row
}

// Len returns the number of entries.
func (t *Transaction) Len() int { return len(t.Require) + len(t.Put) + len(t.Remove) }

// Commit is the result of an applied transaction.
type Commit struct {
	Version medlarwheel.RowVersion
}

// ConflictError reports that a requirement did not hold. It carries the present rows of the requirements that exist.
type ConflictError struct{ Rows []Row }

// Error names the first row of the conflict.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "conflict: a required row does not exist"
	}
	return fmt.Sprintf("conflict: row %s has version %d", e.Rows[0].Key, e.Rows[0].Version)
}

// Find returns the present row with the key.
func (e *ConflictError) Find(table, key string) (Row, bool) {
	for _, r := range e.Rows {
		if r.Table == table && r.Key == key {
			return r, true
		}
	}
	return Row{}, false
}

// Range selects rows of one part by key. To is excluded; empty bounds are open.
type Range struct {
	Table, Part, From, To string
}

// Page is a list of rows at one version.
type Page struct {
	Rows    []Row
	More    bool
	Version medlarwheel.RowVersion
}

// FollowRequest asks for changes of a table after a version, and waits for the first one.
type FollowRequest struct {
	Table string
	After medlarwheel.RowVersion
	Wait  time.Duration
}

// Reader reads pages of rows.
type Reader interface {
	Read(r Range) (Page, error)
}

// ReadAll returns all rows of a range and the version from which their changes can be followed.
func ReadAll(reader Reader, r Range) ([]Row, medlarwheel.RowVersion, error) {
	var rows []Row
	var version medlarwheel.RowVersion
	for {
		page, err := reader.Read(r)
		if err != nil {
			return nil, 0, err
		}
		if version == 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		// The smallest key after the last one of the page.
		r.From = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
