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

// Write is one conditional write. Expect is the version the row must have; zero means that the row must not exist.
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

// ConflictError reports that a transaction did not take effect because rows had other versions. It carries those rows.
type ConflictError struct {
	Operation OperationID `json:"operation"`
	Rows      []Row       `json:"rows"`
}

// Error names the rows that had another version.
func (e *ConflictError) Error() string {
	if len(e.Rows) == 0 {
		return "conflict"
	}
	return fmt.Sprintf("conflict: row %s has version %d", e.Rows[0].Key, e.Rows[0].Version)
}

// ChangePage is one page of rows changed after a version, in order of their versions.
type ChangePage struct {
	Rows []Row `json:"rows"`
	// Next is the version after which to read the next page.
	Next RowVersion `json:"next"`
	// More tells that further rows are there already.
	More bool `json:"more"`
}
