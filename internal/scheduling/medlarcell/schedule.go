package medlarcell

import (
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// occurrenceLead is how long before its due time an occurrence is created.
const occurrenceLead = time.Second

// schedule creates the occurrences of a job as they come due, because all of them together may need more memory than an
// instance has.
type schedule struct {
	// next is the first occurrence that was not created in order. Some later ones may have been created for reports of workers.
	next int
	// done holds one bit for each occurrence that is done, and remaining is the number of the others.
	done      []uint64
	remaining int
	// created is the number of occurrences that exist.
	created int
	// predictedRunTimes holds the predicted run time of the tasks of each step.
	predictedRunTimes []time.Duration
	// unqueued holds occurrences that were created and whose steps are not in the queue yet.
	unqueued []*occurrence
}

const bitsPerWord = 64

func newSchedule(occurrences int, predictedRunTimes []time.Duration) schedule {
	return schedule{
		done: make([]uint64, (occurrences+bitsPerWord-1)/bitsPerWord), remaining: occurrences, predictedRunTimes: predictedRunTimes,
	}
}

func (c *schedule) isDone(k int) bool { return c.done[k/bitsPerWord]&(1<<(k%bitsPerWord)) != 0 }

func (c *schedule) setDone(k int) {
	if !c.isDone(k) {
		c.done[k/bitsPerWord] |= 1 << (k % bitsPerWord)
		c.remaining--
	}
}

// maxReportedTasks is the number of tasks of a repeated submission from which a report of a worker creates no further occurrence. Two owners
// in turn create no more than that.
const maxReportedTasks = 2 * medlarsubmission.MaxCreatedTasks

// occurrence returns occurrence k, which it creates if necessary, or nil if it is done, does not exist or would be one too many.
func (j *job) occurrence(k int) *occurrence {
	if !isIndex(k, j.occurrences) || j.isRepeated() && j.schedule.isDone(k) {
		return nil
	}
	if j.occurrences[k] == nil {
		if j.schedule.created > 0 && (j.schedule.created+1)*j.tasksPerOccurrence > maxReportedTasks {
			return nil
		}
		o := newOccurrence(j, k, j.schedule.predictedRunTimes)
		j.occurrences[k] = o
		j.schedule.created++
		j.schedule.unqueued = append(j.schedule.unqueued, o)
		j.charge()
	}
	return j.occurrences[k]
}

// isRepeated reports whether the submission states how many times its steps run.
func (j *job) isRepeated() bool { return j.submission.OccurrenceCount > 0 }

// lag returns how much later than the first occurrence occurrence k is due.
func (j *job) lag(k int) time.Duration { return j.submission.Due(k).Sub(j.submission.Due(0)) }

// softDeadline is when the occurrence should be complete.
func (o *occurrence) softDeadline() time.Time { return o.job.softDeadline.Add(o.lag) }

// hardDeadline is when the result of the occurrence is of no use any more.
func (o *occurrence) hardDeadline() time.Time { return o.job.hardDeadline.Add(o.lag) }

// completeOccurrence records that an occurrence is done. Those of a repeated submission are dropped.
func (j *job) completeOccurrence(o *occurrence) {
	c := &j.schedule
	c.setDone(o.index)
	if !j.isRepeated() {
		return
	}
	j.occurrences[o.index] = nil
	c.created--
	if last := len(c.unqueued) - 1; last >= 0 && c.unqueued[last] == o {
		c.unqueued = c.unqueued[:last]
	}
	j.charge()
}

// created returns the occurrences that exist.
func (j *job) created() []*occurrence {
	var created []*occurrence
	for _, o := range j.occurrences {
		if o != nil {
			created = append(created, o)
		}
	}
	return created
}

// createDueOccurrences creates the occurrences that are due soon, up to the limit of tasks that exist and within the memory, and queues
// their steps. It returns the memory for which a due one waits.
func (c *Cell) createDueOccurrences(now time.Time, j *job, isPassing bool) (wanted int64) {
	for ; j.hasUncreated(); j.schedule.next++ {
		if !j.exists(j.schedule.next) {
			if j.schedule.created*j.tasksPerOccurrence >= medlarsubmission.MaxCreatedTasks || now.Add(occurrenceLead).Before(j.due(j.schedule.next)) {
				break
			}
			if !c.mayCreate(j, isPassing) {
				wanted = j.submission.MemoryOf(1) - j.submission.MemoryOf(0)
				break
			}
		}
		j.occurrence(j.schedule.next)
	}
	c.queueCreated(now, j)
	return wanted
}

// hasUncreated reports whether occurrences of the job are still to be created.
func (j *job) hasUncreated() bool { return j.schedule.next < len(j.occurrences) && !j.state.IsFinal() }

// exists reports whether occurrence k was created, or is done.
func (j *job) exists(k int) bool {
	return j.occurrences[k] != nil || j.isRepeated() && j.schedule.isDone(k)
}

// createOrDefer creates the due occurrences of a job that was added, and the others later.
func (c *Cell) createOrDefer(now time.Time, j *job) {
	c.wantedMemory += c.createDueOccurrences(now, j, c.wantedMemory > 0)
	if j.hasUncreated() {
		c.uncreatedJobs = append(c.uncreatedJobs, j)
	}
}

// queueCreated queues the steps of the occurrences that were created since the last call.
func (c *Cell) queueCreated(now time.Time, j *job) {
	for _, o := range j.schedule.unqueued {
		for _, s := range o.steps {
			c.enqueue(now, s)
		}
	}
	j.schedule.unqueued = nil
}

// createOccurrences creates the due occurrences of all jobs that have further ones.
func (c *Cell) createOccurrences(now time.Time) {
	kept := c.uncreatedJobs[:0]
	c.wantedMemory = 0
	for _, j := range c.uncreatedJobs {
		c.wantedMemory += c.createDueOccurrences(now, j, c.wantedMemory > 0)
		if j.hasUncreated() {
			kept = append(kept, j)
		}
	}
	clear(c.uncreatedJobs[len(kept):])
	c.uncreatedJobs = kept
}

// releaseTasks drops the tasks of a job in a final state that is stored. Runs that are still being stopped keep their own steps.
func (j *job) releaseTasks() {
	j.occurrences, j.schedule = nil, schedule{}
	j.submission.Spec, j.submission.Steps, j.checkpointBytes = "", nil, 0
	j.charge()
}
