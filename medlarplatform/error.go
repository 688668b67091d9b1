package medlarplatform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Effect states whether a call that failed with an UnavailableError may have been executed.
type Effect int

// Values of Effect.
const (
	// EffectNone means that the call had no effect and will have none.
	EffectNone Effect = iota
	// EffectUnknown means that the call may have taken effect or may still take effect.
	EffectUnknown
)

// UnavailableError reports that the platform did not respond in time or rejected the call. It matches
// medlarwheel.ErrUnavailable.
type UnavailableError struct {
	// Effect states whether the call may have taken effect.
	Effect Effect
	// RetryAfter is the time to wait before the next attempt, or zero if the platform did not state one.
	RetryAfter time.Duration
	// Cause is the error of the last attempt.
	Cause error
}

// Error returns the effect and the cause as text.
func (e *UnavailableError) Error() string {
	if e.Effect == EffectUnknown {
		return fmt.Sprintf("unavailable, effect unknown: %v", e.Cause)
	}
	return fmt.Sprintf("unavailable, no effect: %v", e.Cause)
}

// Is reports whether target is medlarwheel.ErrUnavailable.
func (e *UnavailableError) Is(target error) bool { return target == medlarwheel.ErrUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// MayHaveApplied reports whether a failed call may have taken effect or may still take effect. Errors other than an
// UnavailableError, such as a conflict, mean that it did not.
func MayHaveApplied(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && unavailable.Effect == EffectUnknown
}

// withoutEffect sets the effect of a failed read to EffectNone, because a read never changes state.
func withoutEffect(err error) error {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) && unavailable.Effect != EffectNone {
		corrected := *unavailable
		corrected.Effect = EffectNone
		return &corrected
	}
	return err
}

// RetryAfter returns the time to wait before the next attempt, or zero if err does not state one.
func RetryAfter(err error) time.Duration {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.RetryAfter
	}
	return 0
}

// The texts of these errors are part of the responses to operators.
var (
	errBreakerOpen      = errors.New("calls are suspended after repeated failures")
	errDeadlineExceeded = errors.New("deadline passed")
)

// statusError is a response with an unexpected status.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// dialError is a failure to connect, before any byte of the request was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }
