package medlarupstream

import (
	"slices"
	"time"
)

// Event is the result of a request or a health probe, as far as it concerns the health of the upstream.
type Event int

// The events that Health observes.
const (
	// EventNone is the end of a request that says nothing about the upstream, for example because the client disconnected.
	EventNone Event = iota
	// EventSuccess is a complete response.
	EventSuccess
	// EventConnectFailure is a connection attempt that was refused or timed out.
	EventConnectFailure
	// EventIncomplete is a response that ended before it was complete.
	EventIncomplete
	// EventStalled is a connection without progress. It says more about the connection than about the upstream, so it never
	// causes an ejection; the probe that follows it may.
	EventStalled
	// EventProbeSuccess is a probe on a new connection that got a response.
	EventProbeSuccess
	// EventProbeFailure is a probe that got no response.
	EventProbeFailure
)

func (e Event) isFailure() bool {
	return e == EventConnectFailure || e == EventIncomplete || e == EventProbeFailure
}

// HealthConfig holds the settings of Health.
type HealthConfig struct {
	// EjectScore is the score at which an upstream is ejected. A failure adds one to the score and a success halves it.
	EjectScore float64
	// InitialBackoff is the time from the ejection to the first trial. It doubles with each failed trial, up to MaxBackoff.
	InitialBackoff time.Duration
	// MaxBackoff is the longest time before a trial.
	MaxBackoff time.Duration
	// BackoffReset is the time since the last readmission after which an ejection starts with InitialBackoff again.
	BackoffReset time.Duration
}

// DefaultHealthConfig returns the default settings: three consecutive failures eject an upstream.
func DefaultHealthConfig() HealthConfig {
	return HealthConfig{EjectScore: 3, InitialBackoff: time.Second, MaxBackoff: 30 * time.Second, BackoffReset: time.Minute}
}

// HealthState limits the number of requests to an upstream according to its health.
type HealthState int

// The states of an upstream's health.
const (
	// HealthAvailable allows any number of requests.
	HealthAvailable HealthState = iota
	// HealthTrial allows a single request, as the half-open state of a circuit breaker does.
	HealthTrial
	// HealthEjected allows no requests.
	HealthEjected
)

// HealthGroup holds the health of the upstreams of one service in one data centre. It ejects at most half of them: when more
// fail, the cause is probably at this instance or common to all upstreams, and ejecting them only overloads the others.
type HealthGroup struct {
	config  HealthConfig
	members int
	ejected []*Health
}

// NewHealthGroup returns a group without members.
func NewHealthGroup(c HealthConfig) *HealthGroup { return &HealthGroup{config: c} }

// Health is an outlier detector for one upstream of a group.
type Health struct {
	group         *HealthGroup
	score         float64
	ejected       bool
	trialInFlight bool
	backoff       time.Duration
	// nextTrial is the earliest time of the next trial, and readmittedAt the time of the last successful one.
	nextTrial    time.Time
	readmittedAt time.Time
}

// Add returns the health of a new member.
func (g *HealthGroup) Add() *Health {
	g.members++
	return &Health{group: g, backoff: g.config.InitialBackoff}
}

// Remove removes a member. If more than half of the remaining members are ejected, it readmits those that were ejected first.
// It reports whether it readmitted any.
func (g *HealthGroup) Remove(h *Health) bool {
	g.members--
	h.readmit()
	readmitted := false
	for 2*len(g.ejected) > g.members {
		g.ejected[0].readmit()
		readmitted = true
	}
	return readmitted
}

// State returns the state at the given time.
func (h *Health) State(now time.Time) HealthState {
	switch {
	case !h.ejected:
		return HealthAvailable
	case h.trialInFlight || now.Before(h.nextTrial):
		return HealthEjected
	default:
		return HealthTrial
	}
}

// BeginTrial records the start of the single request of a trial.
func (h *Health) BeginTrial() { h.trialInFlight = true }

// Observe applies an event. trial marks the end of the request that BeginTrial recorded.
func (h *Health) Observe(now time.Time, e Event, trial bool) {
	switch {
	case trial:
		h.endTrial(now, e)
	case h.ejected && e == EventProbeSuccess:
		h.nextTrial = now
	case h.ejected && e == EventProbeFailure:
		h.nextTrial = now.Add(h.backoff)
	case h.ejected:
		// A request that started before the ejection gives no new information.
	case e.isFailure():
		h.score++
		if h.score >= h.group.config.EjectScore {
			h.eject(now)
		}
	case e == EventSuccess:
		h.score /= 2
	}
}

func (h *Health) endTrial(now time.Time, e Event) {
	h.trialInFlight = false
	switch {
	case !h.ejected:
	case e == EventSuccess:
		h.readmit()
		h.readmittedAt = now
	case e.isFailure():
		h.backoff = min(2*h.backoff, h.group.config.MaxBackoff)
		h.nextTrial = now.Add(h.backoff)
	default:
		h.nextTrial = now.Add(h.backoff)
	}
}

func (h *Health) eject(now time.Time) {
	g := h.group
	if 2*(len(g.ejected)+1) > g.members {
		return
	}
	if !h.readmittedAt.IsZero() && now.Sub(h.readmittedAt) < g.config.BackoffReset {
		h.backoff = min(2*h.backoff, g.config.MaxBackoff)
	} else {
		h.backoff = g.config.InitialBackoff
	}
	h.ejected, h.trialInFlight, h.nextTrial = true, false, now.Add(h.backoff)
	g.ejected = append(g.ejected, h)
}

func (h *Health) readmit() {
	h.ejected, h.score = false, 0
	g := h.group
	if i := slices.Index(g.ejected, h); i >= 0 {
		g.ejected = slices.Delete(g.ejected, i, i+1)
	}
}
