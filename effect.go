package medlarwheel

import "github.com/pkg/errors"

// noEffectError marks the error of a call that had no effect and cannot take effect later.
type noEffectError struct{ error }

// Unwrap returns the cause.
func (e noEffectError) Unwrap() error { return e.error }

// WithoutEffect marks err as the error of a call that had no effect and cannot take effect later. It returns nil for a
// nil err.
func WithoutEffect(err error) error {
	if err == nil {
		return nil
	}
	return noEffectError{err}
}

// HasNoEffect reports whether err is marked by WithoutEffect.
func HasNoEffect(err error) bool {
	var mark noEffectError
	return errors.As(err, &mark)
}
