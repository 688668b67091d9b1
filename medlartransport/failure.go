package medlartransport

import (
	"fmt"

	"medlarwheel"
)

// Cause classifies a failed call.
type Cause string

// The causes of a failure.
const (
	CauseConnect Cause = "connect"
	CauseWrite   Cause = "write"
	// CauseStalled is a connection without a response byte while the upstream answered a probe.
	CauseStalled    Cause = "silent"
	CauseDeadline   Cause = "deadline"
	CauseIncomplete Cause = "incomplete"
	// CauseMismatch is a response that belongs to another attempt.
	CauseMismatch Cause = "mismatch"
	CauseClosed   Cause = "closed"
	// CauseNoFreeConnection means that connections in use take up the whole connection budget, or that the pool is closed.
	CauseNoFreeConnection Cause = "no-connection-free"
	// CauseRejected is a rejection by the upstream before the request had any effect.
	CauseRejected Cause = "rejected"
)

// Failure is the error of a call that got no complete response.
type Failure struct {
	Upstream medlarwheel.UpstreamID
	Cause    Cause
	// Sent reports whether bytes of the request may have reached the upstream.
	Sent bool
	// ProbeAnswered reports whether the upstream answered a probe while this connection was stalled.
	ProbeAnswered bool
	Err           error
}

// Error returns a message with the upstream, the cause and the underlying error.
func (f *Failure) Error() string {
	return fmt.Sprintf("call upstream %s: %s: %v", f.Upstream, f.Cause, f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Reason returns the reason that the client gets in the refusal.
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
