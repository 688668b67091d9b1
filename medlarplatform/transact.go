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
// failure is a *medlarwheel.OperationError; MayHaveApplied tells whether the writes may have taken effect. The same operation
// id must never be used for other writes.
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

// resolve finds out the result of an operation whose answer was lost. The platform executes an operation id once, so an
// operation that it does not know is sent again: the first copy may still be under way, and only a recorded result
// settles what becomes of it.
func (c *Client) resolve(ctx context.Context, op medlarwheel.OperationID, body []byte, cause error,
) (medlarwheel.Commit, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.ResolveTimeout)
	defer cancel()
	const maxDoublings = 10
	for pause := c.config.ResolveBackoff; ; pause = min(2*pause, maxDoublings*c.config.ResolveBackoff) {
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
		if !c.sleep(ctx, max(pause, RetryAfter(err))) {
			return medlarwheel.Commit{}, unknownEffect(cause)
		}
	}
}

// unknownEffect returns the error of an operation without a known result, keeping the last cause.
func unknownEffect(cause error) error {
	var retryAfter time.Duration
	var unavailable *UnavailableError
	if errors.As(cause, &unavailable) {
		cause, retryAfter = unavailable.Cause, unavailable.RetryAfter
	}
	return &UnavailableError{Effect: EffectUnknown, RetryAfter: retryAfter, Cause: cause}
}

func (c *Client) sendTransaction(ctx context.Context, op medlarwheel.OperationID, body []byte) (medlarwheel.Commit, error) {
	a, err := c.exchange(ctx, fasthttp.MethodPost, "/v1/transact", body)
	if err != nil {
		return medlarwheel.Commit{}, err
	}
	return a.decodeCommit(op)
}

func (c *Client) readOperation(ctx context.Context, op medlarwheel.OperationID) (medlarwheel.Commit, error) {
	a, err := c.exchange(ctx, fasthttp.MethodGet, "/v1/operations/"+escapeSegment(string(op)), nil)
	if err != nil {
		return medlarwheel.Commit{}, err
	}
	return a.decodeCommit(op)
}

// decodeCommit reads the result of operation op. An answer that is not the result of op counts as lost.
func (a answer) decodeCommit(op medlarwheel.OperationID) (medlarwheel.Commit, error) {
	switch a.status {
	case fasthttp.StatusOK:
		var commit medlarwheel.Commit
		if err := json.Unmarshal(a.body, &commit); err != nil {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: err}
		}
		if commit.Operation != op {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: errOperationMismatch}
		}
		return commit, nil
	case fasthttp.StatusConflict:
		conflict := &medlarwheel.ConflictError{}
		if err := json.Unmarshal(a.body, conflict); err != nil {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: err}
		}
		if conflict.Operation != op {
			return medlarwheel.Commit{}, &UnavailableError{Effect: EffectUnknown, Cause: errOperationMismatch}
		}
		return medlarwheel.Commit{}, conflict
	}
	return medlarwheel.Commit{}, a.err()
}

var errOperationMismatch = errors.New("answer names another operation")
