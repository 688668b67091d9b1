package medlaragentapi

import (
	"fmt"

	"medlarwheel"
)

// RefusedReason says why an agent refused a command.
type RefusedReason string

// The reasons.
const (
	// RefusedToken means that a higher token was seen for the task or its shard.
	RefusedToken RefusedReason = "stale-token"
	// RefusedAttempt means that the attempt is not newer than the last one of the task.
	RefusedAttempt RefusedReason = "stale-attempt"
	// RefusedIncarnation means that the command was issued for another start of the agent.
	RefusedIncarnation RefusedReason = "stale-incarnation"
	// RefusedExpired means that the lease had run out when the command arrived.
	RefusedExpired RefusedReason = "lease-over"
	// RefusedRunning means that another attempt of the task runs.
	RefusedRunning RefusedReason = "another-attempt-runs"
	// RefusedRoom means that the declared sizes would exceed the worker.
	RefusedRoom RefusedReason = "no-room"
	// RefusedLeaving means that the agent starts nothing because it leaves.
	RefusedLeaving RefusedReason = "leaving"
	// RefusedNotRunning means that the command needs a running attempt.
	RefusedNotRunning RefusedReason = "not-running"
	// RefusedCheckpoint means that the checkpoint could not be read or written. A running task runs on.
	RefusedCheckpoint RefusedReason = "checkpoint-failed"
)

// RefusedError is a command that had no effect. It is the body of an answer of status 409.
type RefusedError struct {
	Stamp  Stamp         `json:"stamp"`
	Reason RefusedReason `json:"reason"`
	// Highest is the highest token seen, for RefusedToken.
	Highest medlarwheel.FencingToken `json:"highest,omitempty"`
	// Status is the state of the last attempt of the task, if there was one.
	Status *TaskStatus `json:"status,omitempty"`
}

// Error formats the reason.
func (r *RefusedError) Error() string { return fmt.Sprintf("refused: %s", r.Reason) }

// Is reports whether target is medlarwheel.ErrStale and the command came from a superseded owner or attempt.
func (r *RefusedError) Is(target error) bool {
	if target != medlarwheel.ErrStale {
		return false
	}
	return r.Reason == RefusedToken || r.Reason == RefusedAttempt || r.Reason == RefusedIncarnation
}

// Check reports every fault of r.
func (r *RefusedError) Check() medlarwheel.Faults {
	if r.Reason == "" {
		return medlarwheel.Faults{}.Add("reason", "missing", "a reason")
	}
	return nil
}
