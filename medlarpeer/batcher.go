package medlarpeer

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// maxBatch bounds the requests in one batch.
const maxBatch = 1024

// ErrResponseCount reports a peer that returned a different number of responses than the batch had requests.
var ErrResponseCount = errors.New("number of responses differs from number of requests")

// Send sends a batch of requests and returns the responses in the same order.
type Send[Req, Resp any] func(requests []Req) ([]Resp, error)

// Batcher sends requests to one peer in batches. One call is in flight at a time, and requests that arrive meanwhile
// join the next batch. When no call is in flight, a request is sent immediately.
type Batcher[Req, Resp any] struct {
	send Send[Req, Resp]

	mu      sync.Mutex
	pending []pendingRequest[Req, Resp]
	sending bool
}

type pendingRequest[Req, Resp any] struct {
	request Req
	done    chan result[Resp]
}

type result[Resp any] struct {
	response Resp
	err      error
}

// NewBatcher returns a Batcher that sends each batch by a call of send.
func NewBatcher[Req, Resp any](send Send[Req, Resp]) *Batcher[Req, Resp] {
	return &Batcher[Req, Resp]{send: send}
}

// Do sends one request and waits for its response or the end of ctx. A request whose ctx has ended is still sent.
func (b *Batcher[Req, Resp]) Do(ctx context.Context, request Req) (Resp, error) {
	pending := pendingRequest[Req, Resp]{request: request, done: make(chan result[Resp], 1)}
	b.mu.Lock()
	b.pending = append(b.pending, pending)
	start := !b.sending
	b.sending = true
	b.mu.Unlock()
	if start {
		go b.sendPending()
	}
	select {
	case r := <-pending.done:
		return r.response, r.err
	case <-ctx.Done():
		var zero Resp
		return zero, ctx.Err()
	}
}

// sendPending sends batches until no request is pending.
func (b *Batcher[Req, Resp]) sendPending() {
	for {
		batch := b.take()
		if len(batch) == 0 {
			return
		}
		requests := make([]Req, len(batch))
		for i, pending := range batch {
			requests[i] = pending.request
		}
		responses, err := b.send(requests)
		if err == nil && len(responses) != len(batch) {
			err = errors.WithMessagef(ErrResponseCount, "peer batch: got %d responses, expected %d", len(responses), len(batch))
		}
		for i, pending := range batch {
			r := result[Resp]{err: err}
			if err == nil {
				r.response = responses[i]
			}
			pending.done <- r
		}
	}
}

func (b *Batcher[Req, Resp]) take() []pendingRequest[Req, Resp] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == 0 {
		b.sending = false
		return nil
	}
	n := min(len(b.pending), maxBatch)
	batch := b.pending[:n:n]
	b.pending = append([]pendingRequest[Req, Resp](nil), b.pending[n:]...)
	return batch
}
