// Package medlarhedge writes to the platform's table when answers may be lost or late.
//
// A transaction without an answer is sent again while the first copy is still waited for: if the answer was lost, the second
// copy finds out soon, and if the table is slow, the answer to the first copy still counts. A transaction must therefore
// change nothing when it is carried out twice, and its caller must recognise the conflict with its own first copy.
//
// # Usage
//
//	writer := medlarhedge.New(medlarhedge.DefaultConfig(), store, clock, observe)
//	commit, err := writer.Transact(transaction)
package medlarhedge

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/internal/state/medlartimeout"
)

// Store is the platform's table.
type Store interface {
	TransactWithin(t medlartable.Transaction, timeout time.Duration) (medlartable.Commit, error)
}

// Config configures a writer.
type Config struct {
	// Copies is the number of times that a transaction is sent.
	Copies int
	// Timeout bounds the wait for the answer to one copy. A table that is a hundred times slower than usual answers in it.
	Timeout time.Duration
	// HedgeDelay configures when the next copy is sent.
	HedgeDelay medlartimeout.Config
}

// DefaultConfig returns the configuration for a table that usually answers within some ten milliseconds.
func DefaultConfig() Config {
	return Config{Copies: 2, Timeout: 1500 * time.Millisecond, HedgeDelay: medlartimeout.DefaultConfig()}
}

// Writer sends transactions. It is safe for concurrent use.
type Writer struct {
	config     Config
	store      Store
	clock      medlarwheel.Clock
	hedgeDelay *medlartimeout.Estimator
	observe    func(answered bool)
}

// New returns a writer. It calls observe with each answer, and whenever an answer has not come in the usual time.
func New(c Config, store Store, clock medlarwheel.Clock, observe func(answered bool)) *Writer {
	return &Writer{config: c, store: store, clock: clock, hedgeDelay: medlartimeout.New(c.HedgeDelay), observe: observe}
}

// errPanicked means that a copy of a transaction has ended in a fault of the program.
var errPanicked = errors.New("the write has panicked")

type response struct {
	commit medlartable.Commit
	err    error
}

// isDecisive reports whether the answer settles the transaction.
func (a *response) isDecisive() bool {
	var conflict *medlartable.ConflictError
	return a.err == nil || errors.As(a.err, &conflict)
}

// Transact returns the first answer that settles the transaction. An error that says that the transaction had no effect
// holds for all its copies.
func (w *Writer) Transact(t medlartable.Transaction) (medlartable.Commit, error) {
	answers := make(chan response, w.config.Copies)
	sent, pending := 0, 0
	send := func() {
		sent++
		pending++
		go func() {
			var a response
			// Whatever panics may do so after the request was sent, so that its effect is not known.
			if err := medlarrecover.Run("write", func() error { a = w.send(t); return nil }); err != nil {
				a.err = errors.WithMessage(errPanicked, err.Error())
			}
			answers <- a
		}()
	}
	send()
	timer := time.NewTimer(w.hedgeDelay.Timeout())
	defer timer.Stop()
	var doubt error
	for {
		select {
		case a := <-answers:
			pending--
			if a.isDecisive() {
				return a.commit, a.err
			}
			if !medlarwheel.HasNoEffect(a.err) {
				doubt = a.err
			}
			if pending > 0 {
				continue
			}
			if doubt == nil || sent == w.config.Copies {
				return medlartable.Commit{}, cause(doubt, a.err)
			}
			send()
		case <-timer.C:
			w.observe(false)
			if sent < w.config.Copies {
				send()
			}
		}
	}
}

// cause returns the error of the copy that may have had an effect, if there is one.
func cause(doubt, last error) error {
	if doubt != nil {
		return doubt
	}
	return last
}

func (w *Writer) send(t medlartable.Transaction) response {
	began := w.clock.Now()
	var a response
	a.commit, a.err = w.store.TransactWithin(t, w.config.Timeout)
	answered := a.isDecisive()
	w.hedgeDelay.Observe(w.clock.Now().Sub(began), answered || medlarwheel.HasNoEffect(a.err))
	w.observe(answered)
	return a
}
