package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// CommandKind says what the owner of the state machine has to do.
type CommandKind int

// The kinds of command.
const (
	// CommandStart sends Start to the worker. The result goes to HandleStartResponse.
	CommandStart CommandKind = iota
	// CommandStop sends Stop to the worker. The result goes to HandleStopResponse.
	CommandStop
	// CommandPace sends Pace to the worker.
	CommandPace
	// CommandRenew sends Renew to the worker after Delay, which renews its lease and asks for its report. The result goes
	// to HandleRenewResponse.
	CommandRenew
	// CommandDisconnect closes the connections to the worker.
	CommandDisconnect
	// CommandDeleteSubmission deletes the submission's rows.
	CommandDeleteSubmission
)

// Command is an action for the owner of the state machine to carry out.
type Command struct {
	Kind       CommandKind
	Worker     medlarwheel.WorkerID
	Address    string
	Submission medlarsubmission.ID
	// Segments is the number of segments of the submission, each of which may have a row of progress.
	Segments int
	Start    medlarorder.Start
	Stop     medlarorder.Stop
	Pace     medlarorder.Pace
	Renew    medlarorder.Renew
	// OutOfBand marks a renewal in addition to the regular one, which resolves an uncertain run.
	OutOfBand bool
	Delay     time.Duration
}

// TakeCommands returns the commands since the last call.
func (c *Cell) TakeCommands() []Command {
	taken := c.commands
	c.commands = nil
	return taken
}

// EventKind names an event. It is the value of the log field "event" and part of a metric name.
type EventKind string

// The kinds of event.
const (
	EventAccepted            EventKind = "submission-taken-in"
	EventCancelled           EventKind = "submission-cancelled"
	EventCompleted           EventKind = "submission-completed"
	EventFailed              EventKind = "submission-failed"
	EventFirstStart          EventKind = "submission-started"
	EventRouteMoved          EventKind = "queue-moved"
	EventTaskFailed          EventKind = "task-failed"
	EventTaskLost            EventKind = "task-lost"
	EventTaskRestarted       EventKind = "lost-task-restarted"
	EventTaskAdopted         EventKind = "task-adopted"
	EventTaskSuspected       EventKind = "task-suspected"
	EventCheckpointNotStored EventKind = "checkpoint-not-stored"
	EventCheckpointNotKept   EventKind = "checkpoint-not-kept"
	EventStartUncertain      EventKind = "start-uncertain"
	EventStartRejected       EventKind = "start-rejected"
	EventUnknownRunStopped   EventKind = "stray-run-stopped"
	EventWorkerJoined        EventKind = "worker-joined"
	EventWorkerDraining      EventKind = "worker-draining"
	EventDataCentreEvacuated EventKind = "data-centre-evacuated"
	EventDataCentreTakenBack EventKind = "data-centre-taken-back"
	EventWorkerUnregistered  EventKind = "worker-unregistered"
	EventWorkerRestarted     EventKind = "worker-restarted"
	EventWorkerUnresponsive  EventKind = "worker-silent"
	EventWorkerResponsive    EventKind = "worker-back"
	EventWorkerSuspended     EventKind = "worker-suspended"
	EventLeaseEnded          EventKind = "worker-lease-ended"
	EventTakeoverReconciled  EventKind = "takeover-settled"
	EventWorkerNotAwaited    EventKind = "worker-not-awaited"
	EventWorkerFenced        EventKind = "worker-fenced"
	EventTaskWaiting         EventKind = "task-waits"
	EventGangReserved        EventKind = "workers-reserved"
	EventBestEffortWaiting   EventKind = "best-effort-waits"
	EventWideRoundsWaiting   EventKind = "wide-rounds-wait"
	EventLoad                EventKind = "cell-load"
	EventBestEffortLoad      EventKind = "best-effort-load"
	EventMinimumShare        EventKind = "minimum-share-started"
	EventMinimumShareRaised  EventKind = "minimum-share-raised"
	EventMinimumShareMoved   EventKind = "minimum-share-moved"
	EventWorkerSpeed         EventKind = "worker-speed"
	EventTaskMoved           EventKind = "task-moved"
	EventTaskEvacuated       EventKind = "task-evacuated"
	EventPlaceWaitOver       EventKind = "place-wait-over"
	EventTailTargetExceeded  EventKind = "tail-target-exceeded"
)

// Event is a scheduling decision or a change of state for the log, with the inputs that led to it.
type Event struct {
	Kind       EventKind
	Submission medlarsubmission.ID
	Route      string
	Task       medlarsubmission.TaskName
	Run        medlarorder.RunNumber
	Worker     medlarwheel.WorkerID
	Reason     string
	// Age is the age of the submission, or of the input that caused the event.
	Age   time.Duration
	Count int
	// Predicted is the time that was predicted for Age, or zero.
	Predicted time.Duration
}

// TakeEvents returns the events since the last call.
func (c *Cell) TakeEvents() []Event {
	taken := c.events
	c.events = nil
	return taken
}

func (c *Cell) emit(e Event) { c.events = append(c.events, e) }
