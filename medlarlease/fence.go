package medlarlease

import (
	"fmt"

	"medlarwheel"
)

// Fence is the state that a worker's agent keeps per task to refuse commands of superseded owners and for attempts that
// have ended.
type Fence struct {
	token medlarwheel.FencingToken
	ended medlarwheel.AttemptNumber
}

// Admit returns ErrStale unless a command with the token may act on the attempt. Each token supersedes all lower ones.
func (f *Fence) Admit(attempt medlarwheel.AttemptNumber, token medlarwheel.FencingToken) error {
	if token < f.token {
		return medlarwheel.WithOperation(fmt.Sprintf("check token %d, expected at least %d", token, f.token), "", medlarwheel.ErrStale)
	}
	f.token = token
	if attempt <= f.ended {
		return medlarwheel.WithOperation(fmt.Sprintf("check attempt %d, attempt %d has ended", attempt, f.ended), "", medlarwheel.ErrStale)
	}
	return nil
}

// RecordEnd records that the attempt has ended. An attempt that has not started is refused from now on.
func (f *Fence) RecordEnd(attempt medlarwheel.AttemptNumber) { f.ended = max(f.ended, attempt) }

// Token returns the highest admitted token.
func (f *Fence) Token() medlarwheel.FencingToken { return f.token }
