// Package medlarguard turns panics into errors, so that a fault of the program ends one piece of work and not its process.
//
// # Usage
//
//	err := medlarguard.RunLogged(log, meter, "control", func() error { ... })
//	if medlarguard.IsPanic(err) { ... }
package medlarguard

import (
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel/internal/operation/medlarmeter"
)

// Panic is the panic of a piece of work. It may be raised again on a goroutine that can handle it.
type Panic struct {
	// Part names the work.
	Part  string
	Cause any
	// Stack is the stack at the first place where the panic was caught.
	Stack []byte
}

// Error names the work and the cause.
func (p *Panic) Error() string { return fmt.Sprintf("%s panicked: %v", p.Part, p.Cause) }

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
			err = &Panic{Part: part, Cause: cause.Cause, Stack: cause.Stack}
		default:
			err = &Panic{Part: part, Cause: cause, Stack: debug.Stack()}
		}
	}()
	return work()
}

// RunLogged runs a piece of work. It logs and counts its panic before it returns it. One that a part of the work has returned
// as its error is logged by then.
func RunLogged(log zerolog.Logger, meter *medlarmeter.Meter, part string, work func() error) error {
	err := Run(part, work)
	var p *Panic
	if errors.As(err, &p) && p.Part == part {
		meter.Count("panicked." + part)
		log.Error().Str("event", "panicked").Str("part", part).Interface("cause", p.Cause).Bytes("stack", p.Stack).Msg("")
	}
	return err
}
