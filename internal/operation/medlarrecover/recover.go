// Package medlarrecover turns panics into errors, so that a panic ends one unit of work instead of the process.
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

// Panic is a recovered panic. It may be raised again on a goroutine that can handle it.
type Panic struct {
	// Name names the work that panicked.
	Name  string
	Cause any
	// Stack is the stack where the panic was first recovered.
	Stack []byte
}

// Error names the work and the cause.
func (p *Panic) Error() string { return fmt.Sprintf("%s panicked: %v", p.Name, p.Cause) }

// IsPanic reports whether an error is or wraps a recovered panic.
func IsPanic(err error) bool {
	var p *Panic
	return errors.As(err, &p)
}

// Run runs the work and returns a panic in it as an error. If a *Panic is raised again, its original stack is kept.
func Run(name string, work func() error) (err error) {
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case *Panic:
			err = &Panic{Name: name, Cause: cause.Cause, Stack: cause.Stack}
		default:
			err = &Panic{Name: name, Cause: cause, Stack: debug.Stack()}
		}
	}()
	return work()
}

// RunAndLog runs the work, and logs and counts a panic in it. A *Panic that the work returns as its error under another
// name is not logged again.
func RunAndLog(log zerolog.Logger, meter *medlarmetrics.Meter, name string, work func() error) error {
	err := Run(name, work)
	var p *Panic
	if errors.As(err, &p) && p.Name == name {
		meter.Count("panicked." + name)
		log.Error().Str("event", "panicked").Str("part", name).Interface("cause", p.Cause).Bytes("stack", p.Stack).
			Msg("recovered a panic; the work ends with an error")
	}
	return err
}
