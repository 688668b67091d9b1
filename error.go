package medlarwheel

import (
	"fmt"

	"github.com/pkg/errors"
)

// OperationError is an error with the operation that failed and the peer that it was sent to.
type OperationError struct {
	// Operation is the name of the operation, such as "vote" or "transact".
	Operation string
	// Peer is the address or id of the peer. It is empty for a local operation.
	Peer string
	// Err is the cause.
	Err error
}

// Error formats the operation, the peer and the cause.
func (e *OperationError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Operation, e.Err)
	}
	return fmt.Sprintf("%s at %s: %v", e.Operation, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Err }

// WithOperation wraps err with its operation and peer. It returns nil for a nil err.
func WithOperation(operation, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &OperationError{Operation: operation, Peer: peer, Err: err}
}

// Errors that several packages distinguish.
var (
	// ErrUnavailable means that the peer could not be reached or responded too late. A write may have taken effect.
	ErrUnavailable = errors.New("unavailable")
	// ErrNotFound means that the named object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrStale means that the caller acted on a superseded epoch, incarnation or token.
	ErrStale = errors.New("stale")
)
