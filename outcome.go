package medlarwheel

import "time"

// Outcome states to a client whether its request was executed.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeDone means that the client got the complete response of the upstream to this request.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no attempt of the request key has run or will run unless the client sends it again.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request did not get a complete response from an upstream.
type Reason string

// The reasons that accompany OutcomeNotRun and OutcomeUnknown.
const (
	ReasonBadRequest         Reason = "bad-request"
	ReasonUnknownTemplate    Reason = "unknown-template"
	ReasonNotReady           Reason = "not-ready"
	ReasonQueueFull          Reason = "queue-full"
	ReasonQueueTimeout       Reason = "queue-timeout"
	ReasonDeadline           Reason = "deadline"
	ReasonQuota              Reason = "quota"
	ReasonNoUpstream         Reason = "no-upstream"
	ReasonConnectFailed      Reason = "connect-failed"
	ReasonKeyMemoryFull      Reason = "key-memory-full"
	ReasonKeySealed          Reason = "key-recently-refused"
	ReasonNoMajority         Reason = "key-group-unreachable"
	ReasonRecovering         Reason = "key-group-recovering"
	ReasonAlreadyAttempted   Reason = "already-attempted"
	ReasonResponseLost       Reason = "answer-lost"
	ReasonResponseIncomplete Reason = "answer-incomplete"
	ReasonUnresponsive       Reason = "upstream-silent"
	ReasonStopping           Reason = "stopping"
)

// Refusal is the final response to a request that did not get a complete response from an upstream.
type Refusal struct {
	Outcome    Outcome       `json:"outcome"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"-"`
}

// NotRun returns the refusal of a request that has not run.
func NotRun(reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{Outcome: OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
}

// Unknown returns the refusal of a request that may have run.
func Unknown(reason Reason, retryAfter time.Duration) Refusal {
	return Refusal{Outcome: OutcomeUnknown, Reason: reason, RetryAfter: retryAfter}
}

// Error formats the outcome and the reason.
func (r Refusal) Error() string { return string(r.Outcome) + ": " + string(r.Reason) }
