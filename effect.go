package medlarwheel

import "github.com/pkg/errors"

// noEffectError marks a failed call that has changed nothing and never will.
type noEffectError struct{ error }

// Unwrap returns the cause.
func (e noEffectError) Unwrap() error { return e.error }

// WithoutEffect marks err as the failure of a call that has changed nothing and never will. It returns nil for a nil err.
func WithoutEffect(err error) error {
	if err == nil {
		return nil
	}
	return noEffectError{err}
}

// HasNoEffect reports whether err says that the call has changed nothing and never will.
func HasNoEffect(err error) bool {
	var mark noEffectError
	return errors.As(err, &mark)
}
