package medlarcell

import (
	"encoding/base64"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// Progress is the stored state of the execution of a submission. It does not include running tasks, since the workers'
// reports are the record of those.
type Progress struct {
	// State is set once it is final. The other fields are then empty.
	State medlarsubmission.State `json:"state,omitempty"`
	// Done holds one bit for each completed task, by occurrence and step.
	Done map[string]string `json:"done,omitempty"`
	// Failed holds the numbers of the failed runs, by occurrence, step and task.
	Failed map[string][]medlarorder.RunNumber `json:"failed,omitempty"`
	// Checkpoints holds the checkpoints of interrupted tasks, by occurrence, step and task.
	Checkpoints map[string]string `json:"saved,omitempty"`
	// Crashes holds the crashes of workers under a task, by occurrence, step and task.
	Crashes map[string][]Crash `json:"crashes,omitempty"`
	// SuspectRuns holds the runs of tasks with crashes that a worker has accepted, by occurrence, step and task. Without
	// them, the next owner could not tell a task that has crashed another worker from one that was not started again.
	SuspectRuns map[string]Crash `json:"suspect-runs,omitempty"`
}

// Record is the progress of one submission.
type Record struct {
	Submission medlarsubmission.ID
	Progress   Progress
}

// Batch is a set of records that must be stored atomically.
type Batch struct {
	Records []Record
	// Joined lists workers that may run tasks from now on, and Left those that no longer do.
	Joined []medlarorder.Worker
	Left   []medlarwheel.WorkerID
	jobs   []*job
	acks   map[*worker]endAck
}

type endAck struct {
	incarnation medlarorder.Incarnation
	end         medlarorder.EndNumber
}

// IsEmpty reports whether the batch has nothing to store and no ended run to acknowledge.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.acks) == 0 && len(b.Joined)+len(b.Left) == 0
}

func (c *Cell) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// HasFlush reports whether TakeFlush would return records.
func (c *Cell) HasFlush() bool { return len(c.dirty)+len(c.joined)+len(c.left) > 0 }

// TakeFlush returns up to limit records that have changed. The ended runs that led to them are acknowledged once
// FlushSucceeded is called with the batch. At most one batch may be in flight.
func (c *Cell) TakeFlush(limit int) *Batch {
	b := &Batch{acks: map[*worker]endAck{}}
	limit -= c.takeWorkerChanges(b, limit)
	n := min(limit, len(c.dirty))
	for _, j := range c.dirty[:n] {
		j.dirty = false
		b.jobs = append(b.jobs, j)
		b.Records = append(b.Records, Record{Submission: j.submission.ID, Progress: j.progress()})
	}
	c.dirty = append([]*job(nil), c.dirty[n:]...)
	if len(c.dirty) > 0 {
		// An ended run may belong to a record that is not in this batch.
		return b
	}
	c.unackedWorkers = slices.DeleteFunc(c.unackedWorkers, func(w *worker) bool {
		w.inUnackedList = w.lastProcessedEnd > w.lastAckedEnd
		if w.inUnackedList {
			b.acks[w] = endAck{incarnation: w.incarnation, end: w.lastProcessedEnd}
		}
		return !w.inUnackedList
	})
	return b
}

// FlushSucceeded handles the successful write of a batch.
func (c *Cell) FlushSucceeded(now time.Time, b *Batch) {
	for w, a := range b.acks {
		if w.incarnation == a.incarnation {
			w.lastAckedEnd = max(w.lastAckedEnd, a.end)
		}
	}
	for i := range b.Joined {
		if w := c.workers[b.Joined[i].ID]; w != nil {
			w.recorded = true
			c.failureCache.workerChanged(w)
		}
	}
	for i, j := range b.jobs {
		if state := b.Records[i].Progress.State; state.IsFinal() {
			j.durableState = state
		}
		c.releaseSuspects(now, j)
	}
	c.sendDeferredRenewals(now)
}

// FlushFailed marks the records of a batch as changed again, since they could not be stored.
func (c *Cell) FlushFailed(b *Batch) {
	for _, j := range b.jobs {
		c.markDirty(j)
	}
	for i := range b.Joined {
		c.joined = append(c.joined, b.Joined[i].ID)
	}
	c.left = append(c.left, b.Left...)
}

// takeWorkerChanges moves added and removed workers into a batch and returns their number.
func (c *Cell) takeWorkerChanges(b *Batch, limit int) int {
	joined := min(limit, len(c.joined))
	for _, id := range c.joined[:joined] {
		if w := c.workers[id]; w != nil {
			b.Joined = append(b.Joined, w.info)
		}
	}
	c.joined = c.joined[joined:]
	left := min(limit-joined, len(c.left))
	for _, id := range c.left[:left] {
		// A worker that has registered again in the meantime stays in the stored list.
		if c.workers[id] == nil {
			b.Left = append(b.Left, id)
		}
	}
	c.left = c.left[left:]
	return joined + left
}

func (j *job) progress() Progress {
	if j.state.IsFinal() {
		return Progress{State: j.state}
	}
	p := Progress{Done: map[string]string{}, Failed: map[string][]medlarorder.RunNumber{}, Checkpoints: map[string]string{}, Crashes: map[string][]Crash{}, SuspectRuns: map[string]Crash{}}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.encodeProgress(&p)
		}
	}
	p.limitCrashes()
	return p
}

func (s *step) encodeProgress(p *Progress) {
	var bits []byte
	key := fmt.Sprintf("%d.%d", s.occurrence.index, s.index)
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done {
			if bits == nil {
				bits = make([]byte, (len(s.tasks)+7)/8)
			}
			bits[i/8] |= 1 << (i % 8)
			continue
		}
		if len(t.failedRuns) > 0 {
			p.Failed[fmt.Sprintf("%s.%d", key, i)] = slices.Clone(t.failedRuns)
		}
		if len(t.crashes) > 0 {
			taskKey := fmt.Sprintf("%s.%d", key, i)
			p.Crashes[taskKey] = slices.Clone(t.crashes)
			if crash := t.suspectRun(); crash != nil {
				p.SuspectRuns[taskKey] = *crash
			}
		}
		if t.checkpoint != "" && len(t.runs) == 0 {
			p.Checkpoints[fmt.Sprintf("%s.%d", key, i)] = t.checkpoint
		}
	}
	if bits != nil {
		p.Done[key] = base64.RawStdEncoding.EncodeToString(bits)
	}
}

// hasStarted reports whether a task of the submission is known to have run.
func (p *Progress) hasStarted() bool {
	return len(p.Done)+len(p.Failed)+len(p.Checkpoints)+len(p.Crashes) > 0
}

// restoreProgress sets the state of a new job from its stored progress.
func (j *job) restoreProgress(p Progress) error {
	for key, text := range p.Done {
		var occurrence, index int
		if _, err := fmt.Sscanf(key, "%d.%d", &occurrence, &index); err != nil {
			return errors.Wrapf(err, "submission %s: invalid key %q of done tasks, want occurrence.step", j.submission.ID, key)
		}
		bits, err := base64.RawStdEncoding.DecodeString(text)
		if err != nil {
			return errors.Wrapf(err, "submission %s: done tasks of step %q are not base64", j.submission.ID, key)
		}
		s, _ := j.findTask(medlarsubmission.TaskName{Occurrence: occurrence, Step: index})
		if s == nil {
			return errors.Errorf("submission %s: progress lists done tasks of step %q, but the submission has no such step", j.submission.ID, key)
		}
		s.restoreDone(bits)
	}
	for key, runs := range p.Failed {
		if t, err := j.findTaskByKey(key); err != nil {
			return err
		} else if t != nil {
			t.failedRuns = slices.Clone(runs)
		}
	}
	for key, checkpoint := range p.Checkpoints {
		if t, err := j.findTaskByKey(key); err != nil {
			return err
		} else if t != nil {
			t.checkpoint = checkpoint
		}
	}
	for key, crashes := range p.Crashes {
		if t, err := j.findTaskByKey(key); err != nil {
			return err
		} else if t != nil {
			t.crashes = slices.Clone(crashes[:min(len(crashes), maxCrashes)])
			j.inheritedSuspects = true
		}
	}
	for key, crash := range p.SuspectRuns {
		if t, err := j.findTaskByKey(key); err != nil {
			return err
		} else if t != nil {
			t.inheritedRun = &crash
		}
	}
	return nil
}

func (j *job) findTaskByKey(key string) (*task, error) {
	var n medlarsubmission.TaskName
	if _, err := fmt.Sscanf(key, "%d.%d.%d", &n.Occurrence, &n.Step, &n.Index); err != nil {
		return nil, errors.Wrapf(err, "submission %s: invalid key %q of a task, want occurrence.step.task", j.submission.ID, key)
	}
	_, t := j.findTask(n)
	return t, nil
}

func (s *step) restoreDone(bits []byte) {
	for i := range s.tasks {
		if i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 {
			s.completeTask(i)
		}
	}
}

// completeTask marks a task as done, and unblocks the dependent steps if it was the last one of its step.
func (s *step) completeTask(index int) {
	t := &s.tasks[index]
	if t.done {
		return
	}
	t.done, t.waiting = true, false
	s.occurrence.job.remainingWork -= coreSeconds(s.predictedRunTime, s.spec)
	s.removeReady(index)
	s.remainingTasks--
	if s.remainingTasks > 0 {
		return
	}
	s.occurrence.remainingSteps--
	for _, later := range s.occurrence.steps {
		for _, earlier := range later.spec.After {
			if earlier == s.index {
				later.unmetDependencies--
			}
		}
	}
}

func (s *step) removeReady(index int) {
	s.ready = slices.DeleteFunc(s.ready, func(i int) bool { return i == index })
}
