package medlarplatform

import (
	"fmt"

	"medlarwheel"
)

// Transaction is the body of POST /v1/transact.
type Transaction struct {
	Operation medlarwheel.OperationID `json:"operation"`
	Writes    []medlarwheel.Write     `json:"writes"`
}

// Bounds of a transaction.
const (
	// MaxWrites bounds the writes of one transaction.
	MaxWrites = 256
	// MaxKeyLength bounds a row key in bytes.
	MaxKeyLength = 512
	// MaxOperationIDLength bounds an operation id in bytes.
	MaxOperationIDLength = 200
	// MaxPageRows bounds the rows of one page of changes. A page holds more only when one transaction wrote more.
	MaxPageRows = 1000
)

// Headers of the platform's answers.
const (
	// HeaderNotRun marks a refusal that is certain to have had no effect.
	HeaderNotRun = "Medlar-Not-Run"
	// HeaderRetryAfter holds the time to wait before the next try, as a duration.
	HeaderRetryAfter = "Medlar-Retry-After"
)

// Check reports every fault of t.
func (t *Transaction) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	if t.Operation == "" || len(t.Operation) > MaxOperationIDLength {
		faults = faults.Add("operation", t.Operation, fmt.Sprintf("1 to %d bytes", MaxOperationIDLength))
	}
	faults = faults.CheckRange("writes", int64(len(t.Writes)), 1, MaxWrites)
	seen := make(map[string]bool, len(t.Writes))
	for i := range t.Writes {
		w := &t.Writes[i]
		path := fmt.Sprintf("writes[%d]", i)
		if w.Key == "" || len(w.Key) > MaxKeyLength {
			faults = faults.Add(path+".key", w.Key, fmt.Sprintf("1 to %d bytes", MaxKeyLength))
		}
		if seen[w.Key] {
			faults = faults.Add(path+".key", w.Key, "a key that no other write of the transaction has")
		}
		seen[w.Key] = true
		if w.Delete && w.ExpectedVersion == 0 {
			faults = faults.Add(path+".expect", w.ExpectedVersion, "the version of the row to delete")
		}
		if w.Delete != (len(w.Value) == 0) {
			faults = faults.Add(path+".value", string(w.Value), "a value for a write, none for a deletion")
		}
	}
	return faults
}
