package medlarwheel

import "github.com/pkg/errors"

// disconnectError marks the error of a call whose connection the peer's system has closed or refused.
type disconnectError struct{ error }

// Unwrap returns the cause.
func (e disconnectError) Unwrap() error { return e.error }

// WithDisconnect marks err as the error of a call whose connection the peer's system has closed or refused, as it does once the
// peer's process has ended. A peer that cannot be reached is silent instead. WithDisconnect returns nil for a nil err.
func WithDisconnect(err error) error {
	if err == nil {
		return nil
	}
	return disconnectError{err}
}

// IsDisconnect reports whether err is marked by WithDisconnect.
func IsDisconnect(err error) bool {
	var mark disconnectError
	return errors.As(err, &mark)
}
