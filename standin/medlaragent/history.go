package medlaragent

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// EventKind tells a start from an end.
type EventKind string

// The kinds of event.
const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
)

// Event is one start or end of an attempt.
type Event struct {
	At     time.Time              `json:"at"`
	Worker medlarwheel.WorkerID   `json:"worker"`
	Kind   EventKind              `json:"kind"`
	Task   medlaragentapi.TaskRef `json:"task"`
	Shard  string                 `json:"shard"`
	// Token is the fencing token of the start.
	Token medlarwheel.FencingToken `json:"token"`
	// State tells how the attempt ended. It is running for a start.
	State medlaragentapi.State `json:"state"`
	// Progress is the part of the work done so far, including that of earlier attempts.
	Progress medlarwheel.Duration `json:"progress"`
}

// History is the answer of GET /v1/history.
type History struct {
	Worker medlarwheel.WorkerID `json:"worker"`
	Events []Event              `json:"events"`
	// Dropped counts the oldest events, which are no longer kept.
	Dropped int `json:"dropped"`
	// Refusals counts the refused commands by reason.
	Refusals []RefusalCount `json:"refusals"`
}

// RefusalCount is the number of commands refused for a reason.
type RefusalCount struct {
	Reason medlaragentapi.RefusalReason `json:"reason"`
	Count  int                          `json:"count"`
}

// maxEvents bounds the history to a long test run.
const maxEvents = 200_000

func (m *machine) recordEvent(at time.Duration, kind EventKind, t *task) {
	m.events = append(m.events, Event{
		At: m.started.Add(at), Worker: m.config.ID, Kind: kind, Task: t.ref, Shard: t.shard, Token: t.token, State: t.state,
		Progress: medlarwheel.Duration(t.progress),
	})
	if len(m.events) > maxEvents {
		m.droppedEvents += len(m.events) - maxEvents
		m.events = m.events[len(m.events)-maxEvents:]
	}
}
