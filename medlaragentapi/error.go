package medlaragentapi

import (
	"fmt"

	"medlarwheel"
)

// RefusalReason is the reason why an agent refused a command.
type RefusalReason string

// Values of RefusalReason.
const (
	// RefusedStaleToken means that the agent received a higher token for the task or its shard.
	RefusedStaleToken RefusalReason = "stale-token"
	// RefusedStaleAttempt means that the attempt is not newer than the last one of the task.
	RefusedStaleAttempt RefusalReason = "stale-attempt"
	// RefusedStaleIncarnation means that the command was issued for another incarnation of the agent.
	RefusedStaleIncarnation RefusalReason = "stale-incarnation"
	// RefusedLeaseExpired means that the lease had expired when the command arrived.
	RefusedLeaseExpired RefusalReason = "lease-over"
	// RefusedAttemptRunning means that another attempt of the task is running.
	RefusedAttemptRunning RefusalReason = "another-attempt-runs"
	// RefusedNoCapacity means that the declared sizes of the tasks would exceed the size of the worker.
	RefusedNoCapacity RefusalReason = "no-room"
	// RefusedLeaving means that the agent starts no tasks because it is leaving.
	RefusedLeaving RefusalReason = "leaving"
	// RefusedNotRunning means that the command requires a running attempt.
	RefusedNotRunning RefusalReason = "not-running"
	// RefusedCheckpointFailed means that the checkpoint could not be read or written. A running task continues.
	RefusedCheckpointFailed RefusalReason = "checkpoint-failed"
)

// RefusedError reports that an agent refused a command, which had no effect. It is the body of a response with status 409.
type RefusedError struct {
	Clock  ClockReading  `json:"stamp"`
	Reason RefusalReason `json:"reason"`
	// HighestToken is the highest token received. It is set for RefusedStaleToken.
	HighestToken medlarwheel.FencingToken `json:"highest,omitempty"`
	// Status is the state of the last attempt of the task, if there was one.
	Status *TaskStatus `json:"status,omitempty"`
}

// Error returns the reason as text.
func (r *RefusedError) Error() string {
	return fmt.Sprintf("command refused by the agent: %s", r.Reason)
}

// Is reports whether target is medlarwheel.ErrStale and the command came from a superseded owner, or was for a superseded
// attempt or incarnation.
func (r *RefusedError) Is(target error) bool {
	if target != medlarwheel.ErrStale {
		return false
	}
	return r.Reason == RefusedStaleToken || r.Reason == RefusedStaleAttempt || r.Reason == RefusedStaleIncarnation
}

// Check returns every validation fault of r.
func (r *RefusedError) Check() medlarwheel.Faults {
	if r.Reason == "" {
		return medlarwheel.Faults{}.Add("reason", "missing", "a reason")
	}
	return nil
}
