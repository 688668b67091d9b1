package medlarcell

import (
	"cmp"
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
	// Service is the service to which the route of the submission has moved by ConfigVersion, if it has.
	Service       medlarwheel.ServiceName   `json:"service,omitempty"`
	ConfigVersion medlarwheel.ConfigVersion `json:"config-version,omitempty"`
	// Done holds one bit for each completed task, by occurrence and step, and by the offset of the first byte if it is not 0.
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

// Record is the progress of one segment of a submission. Segment 0 holds its final state as well.
type Record struct {
	Submission medlarsubmission.ID
	Segment    int
	Progress   Progress
}

// Batch is a set of records that must be stored atomically.
type Batch struct {
	Records []Record
	// Joined lists workers that may run tasks from now on, and Left those that no longer do.
	Joined []medlarorder.Worker
	Left   []medlarwheel.WorkerID
	// segments holds the segments of the records.
	segments []*segment
	acks     map[*worker]endAck
}

type endAck struct {
	incarnation medlarorder.Incarnation
	end         medlarorder.EndNumber
}

// IsEmpty reports whether the batch has nothing to store and no ended run to acknowledge.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.acks) == 0 && len(b.Joined)+len(b.Left) == 0
}

// HasFlush reports whether TakeFlush would return records.
func (c *Cell) HasFlush() bool { return len(c.dirty)+len(c.joined)+len(c.left) > 0 }

// TakeFlush returns up to limit records that have changed, of at most Config.MaxBatchBytes. The ended runs that led to them
// are acknowledged once FlushSucceeded is called with the batch. At most one batch may be in flight.
func (c *Cell) TakeFlush(limit int) *Batch {
	b := &Batch{acks: map[*worker]endAck{}}
	limit -= c.takeWorkerChanges(b, limit)
	taken, size := 0, 0
	for ; taken < len(c.dirty) && len(b.Records) < limit && size < c.config.MaxBatchBytes; taken++ {
		g := c.dirty[taken]
		g.dirty = false
		g.job.dirtySegments--
		if g.index > 0 && g.job.state.IsFinal() {
			continue
		}
		record := Record{Submission: g.job.submission.ID, Segment: g.index, Progress: c.progress(g)}
		size += record.Progress.bytes()
		b.segments = append(b.segments, g)
		b.Records = append(b.Records, record)
	}
	c.dirty = append([]*segment(nil), c.dirty[taken:]...)
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
	for i, g := range b.segments {
		if state := b.Records[i].Progress.State; state.IsFinal() {
			g.job.durableState = state
			g.job.releaseTasks()
		}
		c.releaseSuspects(now, g)
	}
	c.sendDeferredRenewals(now)
}

// FlushFailed marks the records of a batch as changed again, since they could not be stored.
func (c *Cell) FlushFailed(b *Batch) {
	later := slices.DeleteFunc(c.dirty, func(g *segment) bool { return slices.Contains(b.segments, g) })
	for _, g := range b.segments {
		if !g.dirty {
			g.dirty = true
			g.job.dirtySegments++
		}
	}
	// They stay in order: a row of an earlier build may hold the progress of all segments, and must be the last to be replaced.
	c.dirty = slices.Concat(b.segments, later)
	for i := range b.Joined {
		c.joined = append(c.joined, b.Joined[i].ID)
	}
	c.left = append(c.left, b.Left...)
}

// SetAside fails the submission of the only record of a batch, which the table refuses for its content. Its other records are
// not stored any more, so that the final state is its only one.
func (c *Cell) SetAside(now time.Time, b *Batch) {
	c.FlushFailed(&Batch{Joined: b.Joined, Left: b.Left})
	j := b.segments[0].job
	if j.state.IsFinal() {
		return
	}
	c.finish(now, j, medlarsubmission.StateFailed)
	c.emit(Event{
		Kind: EventFailed, Submission: j.submission.ID, Route: j.submission.Route, Reason: "its progress cannot be stored",
		Age: now.Sub(j.submission.AcceptedAt),
	})
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

// progress returns the progress of a segment.
func (c *Cell) progress(g *segment) Progress {
	if g.job.state.IsFinal() {
		return Progress{State: g.job.state}
	}
	p := Progress{Done: map[string]string{}, Failed: map[string][]medlarorder.RunNumber{}, Checkpoints: map[string]string{}, Crashes: map[string][]Crash{}, SuspectRuns: map[string]Crash{}}
	if g.index == 0 && g.job.moved {
		p.Service, p.ConfigVersion = g.job.submission.Service, g.job.submission.ConfigVersion
	}
	done := map[*step]*doneTasks{}
	g.forEachTask(func(s *step, index int) {
		if !s.tasks[index].done {
			c.encodeTask(&p, s, index)
			return
		}
		if done[s] == nil {
			done[s] = &doneTasks{offset: g.firstTaskOf(s) / 8}
		}
		done[s].add(index)
	})
	for k := range g.doneOccurrences() {
		// A dropped occurrence is as it was created, but for its tasks.
		o := newOccurrence(g.job, k, g.job.schedule.predictedRunTimes)
		for _, s := range o.steps {
			for i := g.firstTaskOf(s); i < g.endOf(s); i++ {
				if done[s] == nil {
					done[s] = &doneTasks{offset: g.firstTaskOf(s) / 8}
				}
				done[s].add(i)
			}
		}
	}
	for s, d := range done {
		p.Done[d.key(s)] = base64.RawStdEncoding.EncodeToString(d.bits)
	}
	p.limitCrashes(c.config.MaxRowBytes / crashBytesShare)
	return p
}

// doneTasks is the set of done tasks of a step in a segment, with one bit for each, from the byte at offset on.
type doneTasks struct {
	offset int
	bits   []byte
}

func (d *doneTasks) add(index int) {
	i := index/8 - d.offset
	for len(d.bits) <= i {
		d.bits = append(d.bits, 0)
	}
	d.bits[i] |= 1 << (index % 8)
}

// key returns the key of the step in Progress.Done, followed by the offset unless it is 0.
func (d *doneTasks) key(s *step) string {
	if d.offset == 0 {
		return s.key()
	}
	return fmt.Sprintf("%s+%d", s.key(), d.offset)
}

func (s *step) key() string { return fmt.Sprintf("%d.%d", s.occurrence.index, s.index) }

// encodeTask adds the progress of a task that is not done.
func (c *Cell) encodeTask(p *Progress, s *step, index int) {
	t := &s.tasks[index]
	key := func() string { return fmt.Sprintf("%s.%d", s.key(), index) }
	if len(t.failedRuns) > 0 {
		p.Failed[key()] = slices.Clone(lastRuns(t.failedRuns))
	}
	if len(t.crashes) > 0 {
		p.Crashes[key()] = slices.Clone(t.crashes)
		if crash := t.suspectRun(); crash != nil {
			p.SuspectRuns[key()] = *crash
		}
	}
	if t.checkpoint == "" || len(t.runs) > 0 {
		return
	}
	if len(t.checkpoint) > maxCheckpointBytes || textBytes(t.checkpoint) > maxCheckpointBytes {
		c.emit(Event{Kind: EventCheckpointNotStored, Task: s.name(index), Count: len(t.checkpoint)})
		return
	}
	p.Checkpoints[key()] = t.checkpoint
}

// HasStarted reports whether a task of the submission is known to have run.
func (p *Progress) HasStarted() bool {
	return len(p.Done)+len(p.Failed)+len(p.Checkpoints)+len(p.Crashes) > 0
}

// Merge adds the progress in another row of the same submission. Rows of later segments come later.
func (p *Progress) Merge(later Progress) error {
	for key, bits := range later.Done {
		merged, err := mergeBits(p.Done[key], bits)
		if err != nil {
			return errors.Wrapf(err, "done tasks of step %q are not base64", key)
		}
		setIn(&p.Done, key, merged)
	}
	for key, runs := range later.Failed {
		merged := slices.Concat(p.Failed[key], runs)
		slices.Sort(merged)
		setIn(&p.Failed, key, slices.Compact(merged))
	}
	for key, checkpoint := range later.Checkpoints {
		setIn(&p.Checkpoints, key, checkpoint)
	}
	for key, crashes := range later.Crashes {
		setIn(&p.Crashes, key, crashes)
	}
	for key, crash := range later.SuspectRuns {
		setIn(&p.SuspectRuns, key, crash)
	}
	if later.State != "" {
		p.State = later.State
	}
	if later.Service != "" {
		p.Service, p.ConfigVersion = later.Service, later.ConfigVersion
	}
	return nil
}

// setIn sets an entry of a map that may be nil.
func setIn[V any](m *map[string]V, key string, value V) {
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[key] = value
}

// mergeBits returns the union of two encoded sets of tasks.
func mergeBits(a, b string) (string, error) {
	if a == "" {
		return b, nil
	}
	union, err := base64.RawStdEncoding.DecodeString(a)
	if err != nil {
		return "", err
	}
	more, err := base64.RawStdEncoding.DecodeString(b)
	if err != nil {
		return "", err
	}
	for i, bits := range more {
		if i < len(union) {
			union[i] |= bits
		} else {
			union = append(union, bits)
		}
	}
	return base64.RawStdEncoding.EncodeToString(union), nil
}

// restoreProgress sets the state of a new job from its stored progress.
func (j *job) restoreProgress(p Progress) error {
	parts, err := p.doneParts()
	if err != nil {
		return errors.WithMessagef(err, "submission %s", j.submission.ID)
	}
	for _, part := range parts {
		key, text := part.key, p.Done[part.key]
		bits, err := base64.RawStdEncoding.DecodeString(text)
		if err != nil {
			return errors.Wrapf(err, "submission %s: done tasks of step %q are not base64", j.submission.ID, key)
		}
		if isIndex(part.occurrence, j.occurrences) && j.isRepeated() && j.schedule.isDone(part.occurrence) {
			continue
		}
		s, _ := j.findTask(medlarsubmission.TaskName{Occurrence: part.occurrence, Step: part.step})
		if s == nil {
			return errors.Errorf("submission %s: progress lists done tasks of step %q, but the submission has no such step", j.submission.ID, key)
		}
		s.restoreDone(part.offset, bits)
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
			j.checkpointBytes += int64(len(checkpoint))
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

// donePart is an entry of Progress.Done.
type donePart struct {
	key                      string
	occurrence, step, offset int
}

// doneParts returns the entries of Done by occurrence, so that only the tasks of one occurrence that is done exist at a time.
func (p *Progress) doneParts() ([]donePart, error) {
	parts := make([]donePart, 0, len(p.Done))
	for key := range p.Done {
		part := donePart{key: key}
		if n, err := fmt.Sscanf(key, "%d.%d+%d", &part.occurrence, &part.step, &part.offset); n < 2 || part.offset < 0 {
			return nil, errors.Wrapf(err, "invalid key %q of done tasks, want occurrence.step or occurrence.step+offset", key)
		}
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b donePart) int {
		return cmp.Or(cmp.Compare(a.occurrence, b.occurrence), cmp.Compare(a.step, b.step), cmp.Compare(a.offset, b.offset))
	})
	return parts, nil
}

func (j *job) findTaskByKey(key string) (*task, error) {
	var n medlarsubmission.TaskName
	if _, err := fmt.Sscanf(key, "%d.%d.%d", &n.Occurrence, &n.Step, &n.Index); err != nil {
		return nil, errors.Wrapf(err, "submission %s: invalid key %q of a task, want occurrence.step.task", j.submission.ID, key)
	}
	_, t := j.findTask(n)
	return t, nil
}

// restoreDone completes the tasks whose bits are set, from the byte at offset on.
func (s *step) restoreDone(offset int, bits []byte) {
	for i := 8 * min(offset, len(s.tasks)); i < len(s.tasks) && i/8-offset < len(bits); i++ {
		if bits[i/8-offset]&(1<<(i%8)) != 0 {
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
	s.occurrence.job.dropCheckpoint(t)
	s.occurrence.remainingWork -= coreSeconds(s.predictedRunTime, s.spec)
	s.removeReady(index)
	s.remainingTasks--
	if s.remainingTasks > 0 {
		return
	}
	if s.occurrence.remainingSteps--; s.occurrence.remainingSteps == 0 {
		s.occurrence.job.completeOccurrence(s.occurrence)
	}
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
