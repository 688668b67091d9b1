package medlarcell

import (
	"iter"
	"unicode/utf8"

	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
)

// segment is a range of the tasks of a job whose progress is stored in one row. The tasks are numbered by occurrence, step and
// index. The ranges are such that no row exceeds Config.MaxRowBytes, whatever happens to the tasks.
type segment struct {
	job   *job
	index int
	dirty bool
}

// Parts of Config.MaxRowBytes in the row of a segment, as divisors. The rest is for names.
const (
	taskBytesShare  = 2
	crashBytesShare = 3
)

// Largest sizes of the parts of a record in JSON.
const (
	// maxTaskKeyBytes is the size of the longest key of a task, such as "19999.255.19999":, with a comma.
	maxTaskKeyBytes = 21
	// maxRunNumberBytes is the size of a run number with a comma.
	maxRunNumberBytes = 21
	// maxCheckpointBytes is the largest checkpoint that is stored. After a change of owner, tasks with larger ones start from
	// the beginning unless they run.
	maxCheckpointBytes = 64
	// maxStoredFailures bounds the failed runs of a task that are stored.
	maxStoredFailures = 100
	// crashFieldsBytes is the size of a crash without its texts.
	crashFieldsBytes = 170
	// escapedBytes is the size of one escaped byte of a text.
	escapedBytes = 6
)

// segmentTasks returns the number of tasks in each segment of a submission but the last.
func (c *Config) segmentTasks(s *medlarsubmission.Submission) int {
	failures := min(max(0, s.Policy.MaxAttempts-1), maxStoredFailures)
	taskBytes := maxTaskKeyBytes + failures*maxRunNumberBytes + maxTaskKeyBytes + maxCheckpointBytes
	return max(1, c.MaxRowBytes/taskBytesShare/taskBytes)
}

// newSegments divides the tasks of a job into segments.
func newSegments(j *job, tasks, inSegment int) []segment {
	segments := make([]segment, max(1, (tasks+inSegment-1)/inSegment))
	for i := range segments {
		segments[i] = segment{job: j, index: i}
	}
	return segments
}

// segmentOf returns the segment of a task of the step.
func (s *step) segmentOf(index int) *segment {
	j := s.occurrence.job
	return &j.segments[(s.firstTask+index)/j.segmentTasks]
}

// firstTaskOf returns the index of the first task of the step that is in the segment.
func (g *segment) firstTaskOf(s *step) int { return max(0, g.index*g.job.segmentTasks-s.firstTask) }

// endOf returns the index after the last task of the step that is in the segment.
func (g *segment) endOf(s *step) int {
	return min(len(s.tasks), (g.index+1)*g.job.segmentTasks-s.firstTask)
}

// forEachTask calls f for every task of the segment whose occurrence exists.
func (g *segment) forEachTask(f func(s *step, index int)) {
	for k := range g.occurrences() {
		if g.job.occurrences[k] == nil {
			continue
		}
		for _, s := range g.job.occurrences[k].steps {
			for i := g.firstTaskOf(s); i < g.endOf(s); i++ {
				f(s, i)
			}
		}
	}
}

// occurrences returns the numbers of the occurrences that have tasks in the segment.
func (g *segment) occurrences() iter.Seq[int] {
	j := g.job
	first := g.index * j.segmentTasks
	return func(yield func(k int) bool) {
		for k := first / max(1, j.tasksPerOccurrence); k < len(j.occurrences) && k*j.tasksPerOccurrence < first+j.segmentTasks; k++ {
			if !yield(k) {
				return
			}
		}
	}
}

// doneOccurrences returns the numbers of the occurrences in the segment that are done and dropped.
func (g *segment) doneOccurrences() iter.Seq[int] {
	return func(yield func(k int) bool) {
		for k := range g.occurrences() {
			if g.job.isRepeated() && g.job.schedule.isDone(k) && !yield(k) {
				return
			}
		}
	}
}

// markSegmentDirty queues the progress of a segment to be stored.
func (c *Cell) markSegmentDirty(g *segment) {
	if g.dirty {
		return
	}
	g.dirty = true
	g.job.dirtySegments++
	c.dirty = append(c.dirty, g)
}

// markDirty queues the row with the state of the job to be stored.
func (c *Cell) markDirty(j *job) { c.markSegmentDirty(&j.segments[0]) }

// markTaskDirty queues the progress of a task to be stored.
func (c *Cell) markTaskDirty(s *step, index int) { c.markSegmentDirty(s.segmentOf(index)) }

// textBytes returns the largest size of a text in JSON, without quotes.
func textBytes(text string) int {
	n := 0
	for i := range len(text) {
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			n += escapedBytes
		} else {
			n++
		}
	}
	return n
}

// bytes returns the largest size of the crash in JSON, with a comma.
func (k Crash) bytes() int {
	return crashFieldsBytes + textBytes(string(k.Worker)) + textBytes(k.Address)
}

// bytes returns the largest size of the progress in JSON.
func (p *Progress) bytes() int {
	const names = 160
	n := names + len(p.State) + textBytes(string(p.Service))
	for key, bits := range p.Done {
		n += len(key) + len(bits) + len(`"":"",`)
	}
	for key, runs := range p.Failed {
		n += len(key) + len(`"":[],`) + maxRunNumberBytes*len(runs)
	}
	for key, checkpoint := range p.Checkpoints {
		n += len(key) + textBytes(checkpoint) + len(`"":"",`)
	}
	for key, crashes := range p.Crashes {
		n += len(key) + len(`"":[],`) + crashesBytes(crashes)
	}
	for key, crash := range p.SuspectRuns {
		n += len(key) + len(`"":,`) + crash.bytes()
	}
	return n
}

func crashesBytes(crashes []Crash) (n int) {
	for _, k := range crashes {
		n += k.bytes()
	}
	return n
}

// lastRuns returns at most maxStoredFailures of the failed runs, the last ones.
func lastRuns(runs []medlarorder.RunNumber) []medlarorder.RunNumber {
	return runs[max(0, len(runs)-maxStoredFailures):]
}
