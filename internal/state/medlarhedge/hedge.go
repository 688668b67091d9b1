// Package medlarhedge sends hedged transactions to the platform's table, whose responses may be lost or late.
//
// If there is no response within the hedge delay, a second copy of the transaction is sent while the first one is still
// pending. If the response to the first copy was lost, the second copy determines the outcome; if the table is slow, the
// response to the first copy is still used. A transaction must therefore be idempotent, and its caller must recognise the
// conflict with its own first copy.
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
	// Copies is the largest number of copies of a transaction that are sent.
	Copies int
	// Timeout limits the wait for the response to one copy. It suffices for a table that is a hundred times slower than
	// usual.
	Timeout time.Duration
	// HedgeDelay configures the adaptive delay after which the next copy is sent.
	HedgeDelay medlartimeout.Config
}

// DefaultConfig returns the configuration for a table that usually responds within about ten milliseconds.
func DefaultConfig() Config {
	return Config{Copies: 2, Timeout: 1500 * time.Millisecond, HedgeDelay: medlartimeout.DefaultConfig()}
}

// Writer sends hedged transactions. It is safe for concurrent use.
type Writer struct {
	config     Config
	store      Store
	clock      medlarwheel.Clock
	hedgeDelay *medlartimeout.Estimator
	observe    func(responded bool)
}

// New returns a writer. It calls observe after each copy, with true if the response determined the outcome, and with false
// when the hedge delay passes without such a response.
func New(c Config, store Store, clock medlarwheel.Clock, observe func(responded bool)) *Writer {
	return &Writer{config: c, store: store, clock: clock, hedgeDelay: medlartimeout.New(c.HedgeDelay), observe: observe}
}

// errPanicked means that sending a copy of a transaction has panicked.
var errPanicked = errors.New("sending the transaction panicked, its outcome is unknown")

type response struct {
	commit medlartable.Commit
	err    error
}

// isDecisive reports whether the response determines the outcome of the transaction.
func (r *response) isDecisive() bool {
	var conflict *medlartable.ConflictError
	return r.err == nil || errors.As(r.err, &conflict)
}

// Transact returns the first response that determines the outcome of the transaction. An error that medlarwheel.HasNoEffect
// accepts means that no copy had an effect.
func (w *Writer) Transact(t medlartable.Transaction) (medlartable.Commit, error) {
	responses := make(chan response, w.config.Copies)
	sent, pending := 0, 0
	send := func() {
		sent++
		pending++
		go func() {
			var r response
			// The panic may have occurred after the request was sent, so that its effect is unknown.
			if err := medlarrecover.Run("write", func() error { r = w.send(t); return nil }); err != nil {
				r.err = errors.WithMessage(errPanicked, err.Error())
			}
			responses <- r
		}()
	}
	send()
	timer := time.NewTimer(w.hedgeDelay.Timeout())
	defer timer.Stop()
	var uncertainErr error
	for {
		select {
		case r := <-responses:
			pending--
			if r.isDecisive() {
				return r.commit, r.err
			}
			if !medlarwheel.HasNoEffect(r.err) {
				uncertainErr = r.err
			}
			if pending > 0 {
				continue
			}
			if uncertainErr == nil || sent == w.config.Copies {
				return medlartable.Commit{}, cause(uncertainErr, r.err)
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

// cause returns the error of a copy that may have had an effect, if there is one, or else the last error.
func cause(uncertainErr, last error) error {
	if uncertainErr != nil {
		return uncertainErr
	}
	return last
}

func (w *Writer) send(t medlartable.Transaction) response {
	began := w.clock.Now()
	var r response
	r.commit, r.err = w.store.TransactWithin(t, w.config.Timeout)
	responded := r.isDecisive()
	w.hedgeDelay.Observe(w.clock.Now().Sub(began), responded || medlarwheel.HasNoEffect(r.err))
	w.observe(responded)
	return r
}
