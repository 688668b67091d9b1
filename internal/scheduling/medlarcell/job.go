package medlarcell

import (
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarforecast"
	"medlarwheel/internal/scheduling/medlarinterference"
	"medlarwheel/internal/scheduling/medlarrank"
)

// job is an accepted submission with the state of its tasks.
type job struct {
	submission medlarsubmission.Submission
	state      medlarsubmission.State
	// durableState is the last final state that is stored. Callers see a final state only once it is durable.
	durableState medlarsubmission.State
	occurrences  []*occurrence
	// softDeadline is when the submission should be complete, and useless when it is of no more use.
	softDeadline, hardDeadline time.Time
	// criticalPaths is the longest chain of estimated work from each step to the end.
	criticalPaths []time.Duration
	// failedTime is the longest time that failed runs of one task have taken, by which the chain is longer than expected.
	failedTime time.Duration
	// totalWork is the estimated work of all tasks in core-seconds.
	totalWork float64
	// remainingWork is the part of work whose tasks are not done.
	remainingWork float64
	started       bool
	finishedAt    time.Time
	// inherited jobs were accepted before this tenure, so that their tasks may run on workers that have not reported yet.
	inherited bool
	dirty     bool
}

// occurrence is one run through the steps of a submission.
type occurrence struct {
	job            *job
	index          int
	startAt        time.Time
	steps          []*step
	remainingSteps int
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	index      int
	spec       *medlarsubmission.Step
	tasks      []task
	// ready lists the tasks that wait for a worker.
	ready []int
	// unmetDependencies counts the unfinished steps that this step waits for.
	unmetDependencies int
	remainingTasks    int
	queued            bool
	// readySince is when the step last became ready.
	readySince     time.Time
	rank           medlarrank.Rank
	tasksPerWorker map[*worker]int
	// predictedRunTime is the mean run time that is expected of the tasks. The others count the done runs, with their run times at full
	// pace.
	predictedRunTime time.Duration
	completedRuns    int
	totalRunTime     time.Duration
	longestRunTime   time.Duration
	// failure is set once the step has been in the queue.
	failure *placementFailure
}

// task is one task of a step.
type task struct {
	done    bool
	waiting bool
	// failedRuns lists the failed runs. The end of one may be listed again to the next owner, and counts once.
	failedRuns []medlarorder.RunNumber
	// lastRun is the highest run number used, and endedRun the highest that is known to have ended.
	lastRun, lastEndedRun medlarorder.RunNumber
	checkpoint            string
	runs                  []*run
	// moves counts how often the task was moved away from a slow worker.
	moves int
	// failedTime is how long the failed runs of the task have taken.
	failedTime time.Duration
	// avoidWorker is the worker on which the last run failed.
	avoidWorker medlarwheel.WorkerID
}

// runPhase is how much is known about a run.
type runPhase int

const (
	// runSent means that the start has no answer yet.
	runSent runPhase = iota
	// runConfirmed means that the worker has confirmed the run.
	runConfirmed
	// runUncertain means that the start got no answer: the run may be there, or may come later.
	runUncertain
)

// run is one start of a task on a worker. It takes room there until its end is known.
type run struct {
	step   *step
	index  int
	number medlarorder.RunNumber
	worker *worker
	phase  runPhase
	// sentAt is when the start was sent and confirmedAt when the worker confirmed it.
	sentAt, confirmedAt time.Time
	// resolveFence is the fencing token above which the worker's lists say for good whether an uncertain run is there.
	resolveFence    medlarwheel.FencingToken
	stopping        bool
	stopSentAt      time.Time
	progressPercent int
	checkpoint      string
	usage           int64
	// sampledPercent is the progress at sampledProgressAt, when the run worked at sampledPace.
	sampledPercent    int
	sampledProgressAt time.Time
	sampledPace       int
	// pace is the share of its speed at which the run works, in percent, and pacedAt when it was set.
	pace    int
	pacedAt time.Time
	// fullPaceRunTime is the run time at full pace up to workedAt.
	fullPaceRunTime  time.Duration
	runTimeUpdatedAt time.Time
	// baselineUtilisation is the level that a serving run has by itself, and overSince is when it went over its tail target.
	baselineUtilisation float64
	baselineTrend       float64
	hasBaseline         bool
	// observedUtilisation is the whole level at sampledAt, beside the shares.
	observedUtilisation   float64
	utilisationObservedAt time.Time
	observedShares        []medlarinterference.ImageShare
	overTargetSince       time.Time
}

func (r *run) task() *task { return &r.step.tasks[r.index] }

func (r *run) job() *job { return r.step.occurrence.job }

func (r *run) name() medlarsubmission.TaskName { return r.step.name(r.index) }

func (s *step) name(index int) medlarsubmission.TaskName {
	return medlarsubmission.TaskName{
		Submission: s.occurrence.job.submission.ID, Occurrence: s.occurrence.index, Step: s.index, Index: index,
	}
}

// isEligible reports whether tasks of the step may run at the time.
func (s *step) isEligible(now time.Time) bool {
	return s.unmetDependencies == 0 && !now.Before(s.occurrence.startAt)
}

func newJob(s medlarsubmission.Submission, inherited bool, runTimes *medlarforecast.Model) *job {
	j := &job{submission: s, state: medlarsubmission.StateQueued, inherited: inherited}
	expected, longestTasks := make([]time.Duration, len(s.Steps)), make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		expected[i] = runTimes.Predict(s.Route, s.Steps[i].Estimate)
		longestTasks[i] = runTimes.PredictLongest(s.Route, expected[i])
	}
	j.criticalPaths = criticalPaths(s.Steps, longestTasks)
	longest := time.Duration(0)
	for i := range s.Steps {
		longest = max(longest, j.criticalPaths[i])
		j.totalWork += float64(s.Steps[i].Count) * coreSeconds(expected[i], &s.Steps[i])
	}
	j.remainingWork = j.totalWork
	objective := time.Duration(s.Policy.Stretch*float64(longest)) + s.Policy.Allowance
	j.softDeadline = s.AcceptedAt.Add(objective)
	for k := range s.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, k, expected))
	}
	if s.OccurrenceCount > 0 {
		j.softDeadline = s.Due(0).Add(objective)
	}
	return j
}

// coreSeconds returns the work of one task that runs for some time.
func coreSeconds(took time.Duration, s *medlarsubmission.Step) float64 {
	return took.Seconds() * float64(s.Size.MilliCPU) / milli
}

// milli is the number of thousandths of a core in a core.
const milli = medlarsubmission.MilliCPUPerCore

// criticalPaths returns the longest chain of run times from each step to the end.
func criticalPaths(steps []medlarsubmission.Step, runTimes []time.Duration) []time.Duration {
	chain := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		chain[i] += runTimes[i]
		for _, earlier := range steps[i].After {
			chain[earlier] = max(chain[earlier], chain[i])
		}
	}
	return chain
}

func newOccurrence(j *job, index int, expected []time.Duration) *occurrence {
	o := &occurrence{job: j, index: index, startAt: j.submission.Due(index), remainingSteps: len(j.submission.Steps)}
	for i := range j.submission.Steps {
		spec := &j.submission.Steps[i]
		s := &step{occurrence: o, index: i, spec: spec, remainingTasks: spec.Count, unmetDependencies: len(spec.After), predictedRunTime: expected[i]}
		s.tasks = make([]task, spec.Count)
		s.ready = make([]int, spec.Count)
		for t := range s.tasks {
			s.tasks[t].waiting = true
			s.ready[t] = t
		}
		if spec.MaxPerWorker > 0 {
			s.tasksPerWorker = map[*worker]int{}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// findTask returns the step and the task that a name stands for.
func (j *job) findTask(n medlarsubmission.TaskName) (*step, *task) {
	if !isIndex(n.Occurrence, j.occurrences) || !isIndex(n.Step, j.occurrences[n.Occurrence].steps) {
		return nil, nil
	}
	s := j.occurrences[n.Occurrence].steps[n.Step]
	if !isIndex(n.Index, s.tasks) {
		return nil, nil
	}
	return s, &s.tasks[n.Index]
}

// isIndex reports whether a number from outside is an index of a list.
func isIndex[T any](n int, list []T) bool { return n >= 0 && n < len(list) }

// forEachRun calls f for every run of the job. f may end runs.
func (j *job) forEachRun(f func(*run)) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range append([]*run(nil), s.tasks[i].runs...) {
					f(r)
				}
			}
		}
	}
}
