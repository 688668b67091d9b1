package medlarlease

import "medlarwheel"

// Fence is what a worker's agent remembers of one task. It refuses commands of superseded owners and attempts that have
// ended.
type Fence struct {
	token medlarwheel.FencingToken
	ended medlarwheel.AttemptNumber
}

// Admit returns ErrStale unless a command with the token may act on the attempt. A higher token than any before
// supersedes all lower ones.
func (f *Fence) Admit(attempt medlarwheel.AttemptNumber, token medlarwheel.FencingToken) error {
	if token < f.token {
		return medlarwheel.WithOperation("check token", "", medlarwheel.ErrStale)
	}
	f.token = token
	if attempt <= f.ended {
		return medlarwheel.WithOperation("check attempt", "", medlarwheel.ErrStale)
	}
	return nil
}

// RecordEnd records that the attempt has ended, or that it is refused from now on if it never started.
func (f *Fence) RecordEnd(attempt medlarwheel.AttemptNumber) { f.ended = max(f.ended, attempt) }

// Token returns the highest token seen.
func (f *Fence) Token() medlarwheel.FencingToken { return f.token }
