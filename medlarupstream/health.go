package medlarupstream

import (
	"slices"
	"time"
)

// Event is what a request or a probe showed about an upstream.
type Event int

// The events that change the health of an upstream.
const (
	// EventNone ends a request without a sign about the upstream, such as a caller that went away.
	EventNone Event = iota
	// EventSuccess is a complete answer.
	EventSuccess
	// EventConnectFailure is a connection that was refused or not answered.
	EventConnectFailure
	// EventIncomplete is an answer that ended early.
	EventIncomplete
	// EventStalled is a connection without progress. It says more about the connection than about the upstream, so it never
	// ejects; the probe that follows it may.
	EventStalled
	// EventProbeSuccess is an answered probe on a fresh connection.
	EventProbeSuccess
	// EventProbeFailure is a probe without an answer.
	EventProbeFailure
)

func (e Event) isFailure() bool {
	return e == EventConnectFailure || e == EventIncomplete || e == EventProbeFailure
}

// HealthConfig holds the settings of Health.
type HealthConfig struct {
	// EjectScore is the score at which an upstream is ejected. A failure adds one and a success halves the score.
	EjectScore float64
	// InitialBackoff is the time before the first trial. It doubles with each failed trial, up to MaxBackoff.
	InitialBackoff time.Duration
	// MaxBackoff bounds the time before a trial.
	MaxBackoff time.Duration
	// BackoffReset is the time without ejection after which the backoff starts from the beginning.
	BackoffReset time.Duration
}

// DefaultHealthConfig returns the default settings: three failures in a row eject.
func DefaultHealthConfig() HealthConfig {
	return HealthConfig{EjectScore: 3, InitialBackoff: time.Second, MaxBackoff: 30 * time.Second, BackoffReset: time.Minute}
}

// HealthState is whether an upstream may get requests.
type HealthState int

// The states of an upstream's health.
const (
	// HealthAvailable allows any number of requests.
	HealthAvailable HealthState = iota
	// HealthTrial allows a single request.
	HealthTrial
	// HealthEjected allows none.
	HealthEjected
)

// HealthGroup holds the health of the upstreams of one service in one data centre. It keeps at least half of them in use:
// when more fail, the fault is likely on this side or common to all, and ejecting them only overloads the rest.
type HealthGroup struct {
	config  HealthConfig
	members int
	ejected []*Health
}

// NewHealthGroup returns a group without members.
func NewHealthGroup(c HealthConfig) *HealthGroup { return &HealthGroup{config: c} }

// Health is the health of one upstream of a group.
type Health struct {
	group         *HealthGroup
	score         float64
	ejected       bool
	trialInFlight bool
	backoff       time.Duration
	// nextTrial is the time of the next trial, and readmitted is when the last trial succeeded.
	nextTrial    time.Time
	readmittedAt time.Time
}

// Add returns the health of a new member.
func (g *HealthGroup) Add() *Health {
	g.members++
	return &Health{group: g, backoff: g.config.InitialBackoff}
}

// Remove takes a member out. Members that have been ejected longest are readmitted when too many would be out; it reports
// whether any were.
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

// State returns whether the upstream may get requests.
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

// BeginTrial notes the single request of a trial.
func (h *Health) BeginTrial() { h.trialInFlight = true }

// Observe applies an event. trial marks the end of the request that Begin noted.
func (h *Health) Observe(now time.Time, e Event, trial bool) {
	switch {
	case trial:
		h.endTrial(now, e)
	case h.ejected && e == EventProbeSuccess:
		h.nextTrial = now
	case h.ejected && e == EventProbeFailure:
		h.nextTrial = now.Add(h.backoff)
	case h.ejected:
		// A request from before the ejection says nothing new.
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
