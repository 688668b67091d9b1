package medlaragentapi

import (
	"fmt"

	"medlarwheel"
)

// RefusalReason says why an agent refused a command.
type RefusalReason string

// The reasons.
const (
	// RefusedStaleToken means that a higher token was seen for the task or its shard.
	RefusedStaleToken RefusalReason = "stale-token"
	// RefusedStaleAttempt means that the attempt is not newer than the last one of the task.
	RefusedStaleAttempt RefusalReason = "stale-attempt"
	// RefusedStaleIncarnation means that the command was issued for another start of the agent.
	RefusedStaleIncarnation RefusalReason = "stale-incarnation"
	// RefusedLeaseExpired means that the lease had run out when the command arrived.
	RefusedLeaseExpired RefusalReason = "lease-over"
	// RefusedAttemptRunning means that another attempt of the task runs.
	RefusedAttemptRunning RefusalReason = "another-attempt-runs"
	// RefusedNoCapacity means that the declared sizes would exceed the worker.
	RefusedNoCapacity RefusalReason = "no-room"
	// RefusedLeaving means that the agent starts nothing because it leaves.
	RefusedLeaving RefusalReason = "leaving"
	// RefusedNotRunning means that the command needs a running attempt.
	RefusedNotRunning RefusalReason = "not-running"
	// RefusedCheckpointFailed means that the checkpoint could not be read or written. A running task runs on.
	RefusedCheckpointFailed RefusalReason = "checkpoint-failed"
)

// RefusedError is a command that had no effect. It is the body of an answer of status 409.
type RefusedError struct {
	Clock  ClockReading  `json:"stamp"`
	Reason RefusalReason `json:"reason"`
	// HighestToken is the highest token seen, for RefusedToken.
	HighestToken medlarwheel.FencingToken `json:"highest,omitempty"`
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
	return r.Reason == RefusedStaleToken || r.Reason == RefusedStaleAttempt || r.Reason == RefusedStaleIncarnation
}

// Check reports every fault of r.
func (r *RefusedError) Check() medlarwheel.Faults {
	if r.Reason == "" {
		return medlarwheel.Faults{}.Add("reason", "missing", "a reason")
	}
	return nil
}
