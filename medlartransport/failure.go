package medlartransport

import (
	"fmt"

	"medlarwheel"
)

// Cause classifies what went wrong on a connection.
type Cause string

// The causes of a failure.
const (
	CauseConnect          Cause = "connect"
	CauseWrite            Cause = "write"
	CauseStalled          Cause = "silent"
	CauseDeadline         Cause = "deadline"
	CauseIncomplete       Cause = "incomplete"
	CauseMismatch         Cause = "mismatch"
	CauseClosed           Cause = "closed"
	CauseNoFreeConnection Cause = "no-connection-free"
	// CauseRejected is an upstream that rejected the request before it had any effect.
	CauseRejected Cause = "rejected"
)

// Failure reports a request that got no complete response.
type Failure struct {
	Upstream medlarwheel.UpstreamID
	Cause    Cause
	// Sent tells that bytes of the request may have reached the upstream.
	Sent bool
	// ProbeAnswered tells that the upstream answered a probe while this connection was silent.
	ProbeAnswered bool
	Err           error
}

// Error names the cause and the upstream.
func (f *Failure) Error() string {
	return fmt.Sprintf("call upstream %s: %s: %v", f.Upstream, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Reason returns the reason that a caller is told.
func (f *Failure) Reason() medlarwheel.Reason {
	switch f.Cause {
	case CauseConnect, CauseNoFreeConnection:
		return medlarwheel.ReasonConnectFailed
	case CauseRejected:
		return medlarwheel.ReasonQueueFull
	case CauseStalled:
		return medlarwheel.ReasonUnresponsive
	case CauseDeadline:
		return medlarwheel.ReasonDeadline
	case CauseIncomplete, CauseMismatch:
		return medlarwheel.ReasonResponseIncomplete
	default:
		return medlarwheel.ReasonResponseLost
	}
}
