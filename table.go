package medlarwheel

import (
	"encoding/json"
	"fmt"
)

// Row is one row of the platform's table.
type Row struct {
	Key     string          `json:"key"`
	Version RowVersion      `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Deleted marks the tombstone of a removed row in a list of changes.
	Deleted bool `json:"deleted,omitempty"`
}

// Write is one conditional write. ExpectedVersion is the version that the row must have; zero means that the row must
// not exist.
type Write struct {
	Key             string          `json:"key"`
	ExpectedVersion RowVersion      `json:"expect"`
	Value           json.RawMessage `json:"value,omitempty"`
	Delete          bool            `json:"delete,omitempty"`
}

// Commit is the result of a transaction that took effect. All its rows carry Version.
type Commit struct {
	Operation OperationID `json:"operation"`
	Version   RowVersion  `json:"version"`
}

// ConflictError reports that a transaction did not take effect because some rows had other versions than expected. It
// holds those rows.
type ConflictError struct {
	Operation OperationID `json:"operation"`
	Rows      []Row       `json:"rows"`
}

// Error names the transaction and the first row that had another version than expected.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return fmt.Sprintf("conflict: transaction %q was rejected without a list of rows", e.Operation)
	}
	return fmt.Sprintf("conflict: transaction %q expected another version of row %s, which has version %d",
		e.Operation, e.Rows[0].Key, e.Rows[0].Version)
}

// ChangePage is one page of rows changed after a version, in order of their versions.
type ChangePage struct {
	Rows []Row `json:"rows"`
	// Next is the version after which to read the next page.
	Next RowVersion `json:"next"`
	// More reports whether further changed rows are available now.
	More bool `json:"more"`
}
