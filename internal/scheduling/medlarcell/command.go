package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// CommandKind says what the shell has to do.
type CommandKind int

// The kinds of command.
const (
	// CommandStart sends Start to the worker. The result goes to Started.
	CommandStart CommandKind = iota
	// CommandStop sends Stop to the worker. The result goes to Stopped.
	CommandStop
	// CommandPace sends Pace to the worker.
	CommandPace
	// CommandHold renews the worker's lease after Delay. The result goes to Reported.
	CommandHold
	// CommandForget closes the connections to the worker.
	CommandForget
	// CommandErase removes the submission's rows.
	CommandErase
)

// Command is something for the shell to do.
type Command struct {
	Kind       CommandKind
	Worker     medlarwheel.WorkerID
	Address    string
	Submission medlarsubmission.ID
	Start      medlarorder.Start
	Stop       medlarorder.Stop
	Pace       medlarorder.Pace
	Hold       medlarorder.Renew
	// Extra marks a hold beside the regular one, which settles an uncertain run.
	Extra bool
	Delay time.Duration
}

// TakeCommands returns the commands since the last call.
func (c *Cell) TakeCommands() []Command {
	taken := c.commands
	c.commands = nil
	return taken
}

// NoteKind names a decision.
type NoteKind string

// The kinds of note.
const (
	NoteAccepted        NoteKind = "submission-taken-in"
	NoteCancelled       NoteKind = "submission-cancelled"
	NoteCompleted       NoteKind = "submission-completed"
	NoteFailed          NoteKind = "submission-failed"
	NoteFirstStart      NoteKind = "submission-started"
	NoteTaskFailed      NoteKind = "task-failed"
	NoteTaskLost        NoteKind = "task-lost"
	NoteTaskAdopted     NoteKind = "task-adopted"
	NoteStartUncertain  NoteKind = "start-uncertain"
	NoteStartRejected   NoteKind = "start-rejected"
	NoteStrayStopped    NoteKind = "stray-run-stopped"
	NoteWorkerJoined    NoteKind = "worker-joined"
	NoteWorkerDraining  NoteKind = "worker-draining"
	NoteWorkerGone      NoteKind = "worker-unregistered"
	NoteWorkerRestarted NoteKind = "worker-restarted"
	NoteWorkerSilent    NoteKind = "worker-silent"
	NoteWorkerBack      NoteKind = "worker-back"
	NoteWorkerSuspended NoteKind = "worker-suspended"
	NoteLeaseEnded      NoteKind = "worker-lease-ended"
	NoteSettled         NoteKind = "takeover-settled"
	NoteFenced          NoteKind = "worker-fenced"
	NoteTaskWaits       NoteKind = "task-waits"
	NoteLoad            NoteKind = "cell-load"
	NoteWorkerSpeed     NoteKind = "worker-speed"
	NoteTaskMoved       NoteKind = "task-moved"
	NoteTailExceeded    NoteKind = "tail-target-exceeded"
)

// Note is one decision for the log, with the inputs that led to it.
type Note struct {
	Kind       NoteKind
	Submission medlarsubmission.ID
	Route      string
	Task       medlarsubmission.TaskName
	Run        medlarorder.RunNumber
	Worker     medlarwheel.WorkerID
	Reason     string
	// Age is the age of the input or of the submission.
	Age   time.Duration
	Count int
}

// TakeNotes returns the notes since the last call.
func (c *Cell) TakeNotes() []Note {
	taken := c.notes
	c.notes = nil
	return taken
}

func (c *Cell) note(n Note) { c.notes = append(c.notes, n) }
