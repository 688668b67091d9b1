// Package medlarguard turns panics into errors, so that a fault of the program ends one piece of work and not its process.
//
// # Usage
//
//	err := medlarguard.Run(log, meter, "control", func() error { ... })
//	if medlarguard.IsPanic(err) { ... }
package medlarguard

import (
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel/internal/operation/medlarmeter"
)

// panicError is the panic of a piece of work.
type panicError struct {
	part  string
	cause any
}

// Error names the work and the cause.
func (e *panicError) Error() string { return errors.Errorf("%s panicked: %v", e.part, e.cause).Error() }

// IsPanic reports whether an error is a panic that Run has caught.
func IsPanic(err error) bool {
	var p *panicError
	return errors.As(err, &p)
}

// Run runs a piece of work. It logs and counts a panic, with its stack, and returns it as an error.
func Run(log zerolog.Logger, meter *medlarmeter.Meter, part string, work func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			meter.Count("panicked." + part)
			log.Error().Str("event", "panicked").Str("part", part).Interface("cause", cause).Bytes("stack", debug.Stack()).Msg("")
			err = &panicError{part: part, cause: cause}
		}
	}()
	return work()
}
