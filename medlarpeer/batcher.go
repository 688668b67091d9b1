package medlarpeer

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// maxBatch bounds the questions of one call.
const maxBatch = 1024

// ErrResponseCount reports a batch that was answered with another number of answers than questions.
var ErrResponseCount = errors.New("number of answers differs from number of questions")

// Send asks a batch of questions and returns the answers in the same order.
type Send[Q, A any] func(questions []Q) ([]A, error)

// Batcher sends questions to one peer in batches: one call is in progress at a time, and every question that arrives
// meanwhile goes with the next call. A single question is sent at once.
type Batcher[Q, A any] struct {
	send Send[Q, A]

	mu      sync.Mutex
	pending []pendingRequest[Q, A]
	sending bool
}

type pendingRequest[Q, A any] struct {
	request Q
	done    chan result[A]
}

type result[A any] struct {
	response A
	err      error
}

// NewBatcher returns a batcher that sends with send.
func NewBatcher[Q, A any](send Send[Q, A]) *Batcher[Q, A] {
	return &Batcher[Q, A]{send: send}
}

// Do asks one question and waits for its answer or the end of ctx.
func (b *Batcher[Q, A]) Do(ctx context.Context, question Q) (A, error) {
	w := pendingRequest[Q, A]{request: question, done: make(chan result[A], 1)}
	b.mu.Lock()
	b.pending = append(b.pending, w)
	start := !b.sending
	b.sending = true
	b.mu.Unlock()
	if start {
		go b.sendPending()
	}
	select {
	case r := <-w.done:
		return r.response, r.err
	case <-ctx.Done():
		var none A
		return none, ctx.Err()
	}
}

// sendPending sends batches until none is pending.
func (b *Batcher[Q, A]) sendPending() {
	for {
		batch := b.take()
		if len(batch) == 0 {
			return
		}
		questions := make([]Q, len(batch))
		for i, w := range batch {
			questions[i] = w.request
		}
		answers, err := b.send(questions)
		if err == nil && len(answers) != len(batch) {
			err = ErrResponseCount
		}
		for i, w := range batch {
			r := result[A]{err: err}
			if err == nil {
				r.response = answers[i]
			}
			w.done <- r
		}
	}
}

func (b *Batcher[Q, A]) take() []pendingRequest[Q, A] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.sending = false
		return nil
	}
	n := min(len(b.pending), maxBatch)
	batch := b.pending[:n:n]
	b.pending = append([]pendingRequest[Q, A](nil), b.pending[n:]...)
	return batch
}
