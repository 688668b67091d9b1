package medlarplatform

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Effect tells what an unavailable platform may have done with a call.
type Effect int

// The effects of a failed call.
const (
	// EffectNone means that the call took no effect and will take none.
	EffectNone Effect = iota
	// EffectUnknown means that the call may have taken effect or may still do so.
	EffectUnknown
)

// UnavailableError reports that the platform did not answer in time or refused the call. It matches
// medlarwheel.ErrUnavailable.
type UnavailableError struct {
	// Effect tells whether the call may have taken effect.
	Effect Effect
	// RetryAfter is the time to wait before the next try. Zero when nothing is known.
	RetryAfter time.Duration
	// Cause is the last failure.
	Cause error
}

// Error formats the effect and the cause.
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

// MayHaveApplied reports whether a failed call may have taken effect or may still do so. Errors other than an
// UnavailableError, such as a conflict, mean that it did not.
func MayHaveApplied(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && unavailable.Effect == EffectUnknown
}

// withoutEffect corrects the effect of a failed read: a read changes nothing, whatever became of it.
func withoutEffect(err error) error {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) && unavailable.Effect != EffectNone {
		harmless := *unavailable
		harmless.Effect = EffectNone
		return &harmless
	}
	return err
}

// RetryAfter returns the time to wait before the next try, or zero when err tells none.
func RetryAfter(err error) time.Duration {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		return unavailable.RetryAfter
	}
	return 0
}

var (
	errBreakerOpen      = errors.New("calls are suspended after repeated failures")
	errDeadlineExceeded = errors.New("deadline passed")
)

// statusError is an answer with an unexpected status.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// dialError is a failure to connect. Nothing was sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }
