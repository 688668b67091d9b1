package medlarplatform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
)

// Transact applies all writes or none. It returns a *medlarwheel.ConflictError when rows had other versions. Any other
// failure is a *medlarwheel.OperationError; MayHaveApplied reports whether the writes may have taken effect. An operation
// id must not be used again with other writes.
func (c *Client) Transact(ctx context.Context, op medlarwheel.OperationID, writes []medlarwheel.Write,
) (medlarwheel.Commit, error) {
	transaction := Transaction{Operation: op, Writes: writes}
	if err := transaction.Check().Err(); err != nil {
		return medlarwheel.Commit{}, medlarwheel.WithOperation("transact", "", err)
	}
	body, err := json.Marshal(transaction)
	if err != nil {
		return medlarwheel.Commit{}, medlarwheel.WithOperation("transact", "", err)
	}
	commit, err := c.sendTransaction(ctx, op, body)
	if MayHaveApplied(err) {
		commit, err = c.resolve(ctx, op, body, err)
	}
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		return medlarwheel.Commit{}, conflict
	}
	return commit, medlarwheel.WithOperation("transact", c.config.Address, err)
}

// resolve finds the result of an operation whose response was lost. If the platform does not know the operation, resolve
// sends it again: the first copy may still be in transit, and only a recorded result excludes a later effect. This is
// safe because the platform executes each operation id at most once.
func (c *Client) resolve(ctx context.Context, op medlarwheel.OperationID, body []byte, cause error,
) (medlarwheel.Commit, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ResolveTimeout)
	defer cancel()
	const maxBackoffFactor = 10
	for backoff := c.config.ResolveBackoff; ; backoff = min(2*backoff, maxBackoffFactor*c.config.ResolveBackoff) {
		commit, err := c.readOperation(ctx, op)
		if errors.Is(err, medlarwheel.ErrNotFound) {
			commit, err = c.sendTransaction(ctx, op, body)
		}
		if !errors.Is(err, medlarwheel.ErrUnavailable) {
			return commit, err
		}
		if ctx.Err() == nil {
			cause = err
		}
		if !c.sleep(ctx, max(backoff, RetryAfter(err))) {
			return medlarwheel.Commit{}, unknownEffect(cause)
		}
	}
}

// unknownEffect returns the error of an operation whose result is unknown, with the cause and the retry time of the last
// failure.
func unknownEffect(cause error) error {
	var retryAfter time.Duration
	var unavailable *UnavailableError
	if errors.As(cause, &unavailable) {
		cause, retryAfter = unavailable.Cause, unavailable.RetryAfter
	}
	return &UnavailableError{Effect: EffectUnknown, RetryAfter: retryAfter, Cause: cause}
}

func (c *Client) sendTransaction(ctx context.Context, op medlarwheel.OperationID, body []byte) (medlarwheel.Commit, error) {
	r, err := c.exchange(ctx, fasthttp.MethodPost, "/v1/transact", body)
	if err != nil {
		return medlarwheel.Commit{}, err
	}
	return r.decodeCommit(op)
}

func (c *Client) readOperation(ctx context.Context, op medlarwheel.OperationID) (medlarwheel.Commit, error) {
	r, err := c.exchange(ctx, fasthttp.MethodGet, "/v1/operations/"+escapeSegment(string(op)), nil)
	if err != nil {
		return medlarwheel.Commit{}, err
	}
	return r.decodeCommit(op)
}

// decodeCommit decodes the result of operation op. A response that is malformed or names another operation counts as
// lost, so its effect is unknown.
func (r response) decodeCommit(op medlarwheel.OperationID) (medlarwheel.Commit, error) {
	switch r.status {
	case fasthttp.StatusOK:
		var commit medlarwheel.Commit
		if err := json.Unmarshal(r.body, &commit); err != nil {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: err}
		}
		if commit.Operation != op {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: errOperationMismatch}
		}
		return commit, nil
	case fasthttp.StatusConflict:
		conflict := &medlarwheel.ConflictError{}
		if err := json.Unmarshal(r.body, conflict); err != nil {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: err}
		}
		if conflict.Operation != op {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: errOperationMismatch}
		}
		return medlarwheel.Commit{}, conflict
	}
	return medlarwheel.Commit{}, r.err()
}

// The text is part of the responses to operators.
var errOperationMismatch = errors.New("answer names another operation")
