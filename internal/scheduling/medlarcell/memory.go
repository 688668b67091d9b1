package medlarcell

import (
	"slices"
	"time"

	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// The memory of the cell answers a load at which more is accepted, or becomes due, than an instance can hold the tasks of. Acceptance
// refuses what exceeds it, by a report that may be old or missing. The cell itself creates tasks, and starts them, only within its limits.

// MemoryLimits bounds what the cell holds.
type MemoryLimits struct {
	// Submissions is the memory of all submissions with their tasks, in bytes, and Runs that of the runs of tasks.
	Submissions, Runs int64
	// RunsPerWorker is the number of runs that a worker can list in a report.
	RunsPerWorker int
}

// DefaultMemoryLimits returns the limits for an owner that may use about 100 MB.
func DefaultMemoryLimits() MemoryLimits {
	return MemoryLimits{Submissions: 64 << 20, Runs: 32 << 20, RunsPerWorker: 5000}
}

const (
	// runMemory is the memory of a run, in bytes.
	runMemory = 640
	// smallShare is the part of the memory, as a divisor, that a submission needs at most to pass a larger one that waits for memory, and
	// smallReserve the part that is kept for such submissions.
	smallShare, smallReserve = 64, 16
)

// SetMemoryLimits changes the limits. What exceeds them already is kept.
func (c *Cell) SetMemoryLimits(l MemoryLimits) { c.config.Memory = l }

// maxReportedMemory is the memory of all submissions from which instances refuse further ones on a report of the load. The rest is for what
// is accepted without one.
func (c *Cell) maxReportedMemory() int64 {
	return c.config.Memory.Submissions - c.config.Memory.Submissions/medlaradmission.UnreportedShare
}

// account is the estimated memory of all submissions, in bytes.
type account struct{ bytes int64 }

// charge updates the account with the memory that the job takes now. Runs that are left of a finished job keep its tasks.
func (j *job) charge() {
	if j.account == nil || j.state.IsFinal() && j.runs+j.minimumShareRuns > 0 {
		return
	}
	bytes := j.submission.MemoryOf(j.schedule.created) + j.checkpointBytes
	j.account.bytes += bytes - j.charged
	j.charged = bytes
}

// setCheckpoint records the checkpoint of a task. A large one for which there is no memory is dropped, so that the task starts from the
// beginning.
func (c *Cell) setCheckpoint(s *step, index int, checkpoint string) {
	t, j := &s.tasks[index], s.occurrence.job
	if t.checkpoint == checkpoint || t.done || j.state.IsFinal() {
		return
	}
	if more := int64(len(checkpoint) - len(t.checkpoint)); len(checkpoint) > maxCheckpointBytes && c.memory.bytes+more > c.config.Memory.Submissions {
		c.emit(Event{Kind: EventCheckpointNotKept, Task: s.name(index), Count: len(checkpoint)})
		checkpoint = ""
	}
	j.dropCheckpoint(t)
	t.checkpoint = checkpoint
	j.checkpointBytes += int64(len(checkpoint))
	j.charge()
}

// dropCheckpoint forgets the checkpoint of a task of the job.
func (j *job) dropCheckpoint(t *task) {
	j.checkpointBytes -= int64(len(t.checkpoint))
	t.checkpoint = ""
}

// uncharge removes the job from the account.
func (j *job) uncharge() {
	if j.account != nil {
		j.account.bytes -= j.charged
		j.account, j.charged = nil, 0
	}
}

// mayCreate reports whether another occurrence of the job may be created. isPassing is true if one of a job before it has to wait for
// memory: only small submissions pass it.
func (c *Cell) mayCreate(j *job, isPassing bool) bool {
	limit := c.config.Memory.Submissions
	need := j.submission.MemoryOf(1) - j.submission.MemoryOf(0)
	switch {
	case isPassing && need > limit/smallShare:
		return false
	case isPassing:
		return c.memory.bytes+need <= limit
	default:
		// Something has to run if all is waiting.
		return c.memory.bytes+need <= limit-limit/smallReserve || !c.hasCreated()
	}
}

// hasCreated reports whether tasks of any submission exist.
func (c *Cell) hasCreated() bool {
	for _, j := range c.jobs {
		if j.schedule.created > 0 {
			return true
		}
	}
	return false
}

// hasRunMemory reports whether so many further runs are within the limit.
func (c *Cell) hasRunMemory(runs int) bool {
	return int64(c.runs+runs)*runMemory <= c.config.Memory.Runs
}

// memoryReservation is memory that is kept free for a submission which an instance is about to store.
type memoryReservation struct {
	id    medlarsubmission.ID
	bytes int64
	until time.Time
}

// reservationTime is how long after its admission a submission is known at the latest, unless the table is slow.
const reservationTime = 3 * time.Second

// ReserveMemory keeps memory free for a submission that was admitted until it is accepted, unless it exceeds the limit and was not.
func (c *Cell) ReserveMemory(now time.Time, id medlarsubmission.ID, bytes int64) {
	if bytes <= 0 || c.heldAndReserved(now)+bytes > c.maxReportedMemory() {
		return
	}
	c.reservations = append(c.reservations, memoryReservation{id: id, bytes: bytes, until: now.Add(reservationTime)})
}

// endReservation ends the reservations for a submission that is accepted.
func (c *Cell) endReservation(id medlarsubmission.ID) {
	c.reservations = slices.DeleteFunc(c.reservations, func(r memoryReservation) bool { return r.id == id })
}

// heldAndReserved returns the memory that the submissions take or wait for, and that is reserved for others.
func (c *Cell) heldAndReserved(now time.Time) int64 {
	c.reservations = slices.DeleteFunc(c.reservations, func(r memoryReservation) bool { return now.After(r.until) })
	total := c.memory.bytes + c.wantedMemory
	for _, r := range c.reservations {
		total += r.bytes
	}
	return total
}
