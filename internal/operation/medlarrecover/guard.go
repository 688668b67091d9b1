// Package medlarrecover turns panics into errors, so that a fault of the program ends one piece of work and not its process.
//
// # Usage
//
//	err := medlarrecover.RunAndLog(log, meter, "control", func() error { ... })
//	if medlarrecover.IsPanic(err) { ... }
package medlarrecover

import (
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel/internal/operation/medlarmetrics"
)

// Panic is the panic of a piece of work. It may be raised again on a goroutine that can handle it.
type Panic struct {
	// Name names the work.
	Name  string
	Cause any
	// Stack is the stack at the first place where the panic was caught.
	Stack []byte
}

// Error names the work and the cause.
func (p *Panic) Error() string { return fmt.Sprintf("%s panicked: %v", p.Name, p.Cause) }

// IsPanic reports whether an error is a panic that was caught here.
func IsPanic(err error) bool {
	var p *Panic
	return errors.As(err, &p)
}

// Run runs a piece of work and returns its panic as an error.
func Run(part string, work func() error) (err error) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case *Panic:
			err = &Panic{Name: part, Cause: cause.Cause, Stack: cause.Stack}
		default:
			err = &Panic{Name: part, Cause: cause, Stack: debug.Stack()}
		}
	}()
	return work()
}

// RunAndLog runs a piece of work. It logs and counts its panic before it returns it. One that a part of the work has returned
// as its error is logged by then.
func RunAndLog(log zerolog.Logger, meter *medlarmetrics.Meter, part string, work func() error) error {
	err := Run(part, work)
	var p *Panic
	if errors.As(err, &p) && p.Name == part {
		meter.Count("panicked." + part)
		log.Error().Str("event", "panicked").Str("part", part).Interface("cause", p.Cause).Bytes("stack", p.Stack).Msg("")
	}
	return err
}
