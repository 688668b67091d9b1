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
	// durableState is the last final state that was stored. Clients see completion and failure only once they are stored.
	durableState medlarsubmission.State
	// occurrences holds the occurrences that have tasks to run. The others are nil: they are not due yet, or are done.
	occurrences []*occurrence
	// softDeadline is when the first occurrence should be complete. After hardDeadline, its result is of no use to the client.
	softDeadline, hardDeadline time.Time
	// timeOfDayAhead is how far the time of day by which occurrences are due is ahead of the scheduler's clock.
	timeOfDayAhead time.Duration
	// criticalPaths holds, by step, the longest chain of estimated run times from that step to the end.
	criticalPaths []time.Duration
	// failedTime is the longest total time that the failed runs of one task have taken. It lengthens the critical path.
	failedTime time.Duration
	// totalWork is the estimated work of all tasks of one occurrence in core-seconds.
	totalWork float64
	started   bool
	// hasOnlyMinimumShares is true while no run of the job has had a full share.
	hasOnlyMinimumShares bool
	// runs is the number of runs of all tasks but those with a minimum share, and idleSince when the last confirmed one has ended.
	// minimumShareRuns is the number of the others, and minimumShareEndedAt when the last confirmed one has ended.
	runs, minimumShareRuns         int
	idleSince, minimumShareEndedAt time.Time
	// predictedWait is the predicted time until the first start of a submission with best-effort work.
	predictedWait time.Duration
	// moved is true once the job has followed its route to another service.
	moved      bool
	finishedAt time.Time
	// inherited is true for jobs that may have runs of an earlier owner, on workers that have not reported yet.
	inherited bool
	// segments divides the tasks, segmentTasks in each, into rows of progress. dirtySegments counts those that are to be stored.
	segments                    []segment
	segmentTasks, dirtySegments int
	tasksPerOccurrence          int
	schedule                    schedule
	// charged is the memory of the job in the account, or zero once it is forgotten. checkpointBytes is that of the checkpoints of its tasks.
	account                  *account
	charged, checkpointBytes int64
	// crashesUnstored is true once a task has waited for its crashes to be stored.
	crashesUnstored bool
	// inheritedSuspects is true if an earlier owner has stored crashes of the job's tasks.
	inheritedSuspects bool
}

// occurrence is one execution of all steps of a submission.
type occurrence struct {
	job     *job
	index   int
	startAt time.Time
	// lag is how much later than the first occurrence it is due.
	lag            time.Duration
	steps          []*step
	remainingSteps int
	// remainingWork is the part of the job's totalWork whose tasks are not done.
	remainingWork float64
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	index      int
	spec       *medlarsubmission.Step
	tasks      []task
	// firstTask is the number of the first task among all tasks of the job.
	firstTask int
	// ready lists the indices of the tasks that wait for a worker.
	ready []int
	// unmetDependencies counts the unfinished steps that this step waits for.
	unmetDependencies int
	remainingTasks    int
	queued            bool
	// readySince is when the step last became ready.
	readySince time.Time
	// triedAt is when a task of the step was last started on a suspended worker.
	triedAt        time.Time
	rank           medlarrank.Rank
	tasksPerWorker map[*worker]int
	// load is the utilisation of the serving tasks of the step without interference. They share the load evenly.
	load medlarinterference.Trend
	// predictedRunTime is the predicted mean run time of the tasks. The fields after it count the completed runs and
	// hold the sum and the maximum of their run times at full pace.
	predictedRunTime time.Duration
	completedRuns    int
	totalRunTime     time.Duration
	longestRunTime   time.Duration
	// reservedAt is when workers were last considered to be kept free for the gang.
	reservedAt time.Time
	// invalidRounds counts the rounds in a row in which workers have rejected orders of the step as invalid. It gets no further
	// starts until pausedUntil.
	invalidRounds int
	pausedUntil   time.Time
	// nearWait is the wait of the waiting tasks for the rack of their data.
	nearWait nearWait
	// failure is set once the step has been in the queue. classFailure is that of its class if it has one of its own.
	failure, classFailure *placementFailure
}

// task is one task of a step.
type task struct {
	done    bool
	waiting bool
	// failedRuns lists the failed runs. A worker may report the end of one again to the next owner; it counts once.
	failedRuns []medlarorder.RunNumber
	// lastRun is the highest run number used, and lastEndedRun the highest that is known to have ended.
	lastRun, lastEndedRun medlarorder.RunNumber
	checkpoint            string
	runs                  []*run
	// lostAt is when the worker of the last run was lost, if the task was not started again since.
	lostAt time.Time
	// moves counts how often the task was moved away from a slow worker.
	moves int
	// failedTime is the total time that the failed runs of the task have taken.
	failedTime time.Duration
	// crashes lists up to maxCrashes runs under which a worker crashed, unless the task has been cleared of them since.
	crashes []Crash
	// inheritedRun is the crash to record if the run of the task that an earlier owner has stored neither runs nor has
	// ended.
	inheritedRun *Crash
	// crashesUnstored is true while the task waits, since heldSince, for its crashes to be stored.
	crashesUnstored bool
	heldSince       time.Time
	// avoidWorker is the worker on which the last run failed or from which the task was moved.
	avoidWorker medlarwheel.WorkerID
}

// runPhase is how much is known about a run.
type runPhase int

const (
	// runPlanned means that the start order waits to be sent.
	runPlanned runPhase = iota
	// runSent means that the start order has no response yet.
	runSent
	// runConfirmed means that the worker has confirmed the run.
	runConfirmed
	// runUncertain means that the start order failed without a response: the run may exist, or may still be created.
	runUncertain
)

// run is one start of a task on a worker. It reserves capacity there until its end is known.
type run struct {
	step   *step
	index  int
	number medlarorder.RunNumber
	worker *worker
	phase  runPhase
	// sentAt is when the start was sent and confirmedAt when the worker confirmed it.
	sentAt, confirmedAt time.Time
	// reportedAt is when a report last listed the run, or zero before. adopted is true if an earlier owner has started it.
	reportedAt time.Time
	adopted    bool
	// pendingCrash is the crash under which the run is lost if the restarted worker does not list it.
	pendingCrash *Crash
	// suspect is true if the task was suspected to crash its workers when the run was started.
	suspect bool
	// resolveFence is the lowest fencing token of a renewal whose report shows conclusively whether an uncertain run
	// exists.
	resolveFence medlarwheel.FencingToken
	stopping     bool
	stopSentAt   time.Time
	// stopPending and pacePending are true while an order to stop or to pace the run waits to be sent.
	stopPending, pacePending bool
	progressPercent          int
	usage                    int64
	// sampledPercent is the progress at sampledProgressAt, when the run had the pace sampledPace.
	sampledPercent    int
	sampledProgressAt time.Time
	sampledPace       int
	// pace is the CPU throttle of the run, in percent of full speed, and pacedAt when it was set.
	pace    int
	pacedAt time.Time
	// overdueService is the service of the submission if the run was started before others because nothing of the submission had
	// begun for long.
	overdueService medlarwheel.ServiceName
	// paceUncertain is true while the worker may have another pace for the run.
	paceUncertain bool
	// hasMinimumShare is true while the run has minimumPace at most, on a worker with no room for it but memory.
	hasMinimumShare bool
	// fullPaceRunTime is the run time up to runTimeUpdatedAt, scaled to full pace.
	fullPaceRunTime  time.Duration
	runTimeUpdatedAt time.Time
	// hasLoad is true once a serving run has reported its tail latency. overTargetSince is when it exceeded its target.
	hasLoad bool
	// observedUtilisation is the utilisation at utilisationObservedAt, including the interference of observedShares.
	observedUtilisation   float64
	utilisationObservedAt time.Time
	observedShares        []medlarinterference.ImageShare
	overTargetSince       time.Time
}

// newRun returns a run that has not been sent yet.
func newRun(now time.Time, w *worker, s *step, index int, number medlarorder.RunNumber) *run {
	return &run{
		step: s, index: index, number: number, worker: w, sentAt: now, suspect: s.tasks[index].isSuspect(), pace: fullPace, usage: unknownUsage,
	}
}

// unknownUsage is the usage of a run of which the worker has not measured any.
const unknownUsage = -1

// isReported reports whether a report has listed the run. Unlike the response to a start, a report names the incarnation
// of the worker that runs it.
func (r *run) isReported() bool { return !r.reportedAt.IsZero() }

func (r *run) task() *task { return &r.step.tasks[r.index] }

func (r *run) job() *job { return r.step.occurrence.job }

// addRun counts a run of the job.
func (j *job) addRun(r *run) { *j.runCount(r)++ }

// endRun records that one of the runs of the job no longer exists. A start that was rejected has kept nothing running.
func (j *job) endRun(now time.Time, r *run) {
	*j.runCount(r)--
	switch {
	case r.confirmedAt.IsZero():
	case r.hasMinimumShare:
		j.minimumShareEndedAt = now
	default:
		j.idleSince = now
	}
}

func (j *job) runCount(r *run) *int {
	if r.hasMinimumShare {
		return &j.minimumShareRuns
	}
	return &j.runs
}

// idle returns how long no run of the job has had a full share, or 0 while one has.
func (j *job) idle(now time.Time) time.Duration {
	if j.runs > 0 {
		return 0
	}
	return now.Sub(j.idleSince)
}

func (r *run) name() medlarsubmission.TaskName { return r.step.name(r.index) }

func (s *step) name(index int) medlarsubmission.TaskName {
	return medlarsubmission.TaskName{
		Submission: s.occurrence.job.submission.ID, Occurrence: s.occurrence.index, Step: s.index, Index: index,
	}
}

// isEligible reports whether tasks of the step may run at the given time.
func (s *step) isEligible(now time.Time) bool {
	return s.unmetDependencies == 0 && !now.Before(s.occurrence.startAt) && !now.Before(s.pausedUntil)
}

func newJob(s medlarsubmission.Submission, inherited bool, runTimes *medlarforecast.Model, segmentTasks int, timeOfDayAhead time.Duration) *job {
	j := &job{submission: s, timeOfDayAhead: timeOfDayAhead, state: medlarsubmission.StateQueued, inherited: inherited, idleSince: s.AcceptedAt}
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
		j.tasksPerOccurrence += s.Steps[i].Count
	}
	j.segmentTasks = segmentTasks
	j.segments = newSegments(j, j.tasksPerOccurrence*s.Occurrences(), segmentTasks)
	objective := time.Duration(s.Policy.Stretch*float64(longest)) + s.Policy.Allowance
	j.softDeadline = j.due(0).Add(objective)
	j.occurrences = make([]*occurrence, s.Occurrences())
	j.schedule = newSchedule(s.Occurrences(), expected)
	return j
}

// coreSeconds returns the work of one task with the given run time.
func coreSeconds(took time.Duration, s *medlarsubmission.Step) float64 {
	return took.Seconds() * float64(s.Size.MilliCPU) / milli
}

// milli is the number of thousandths of a core in a core.
const milli = medlarsubmission.MilliCPUPerCore

// criticalPaths returns, by step, the longest chain of run times from that step to the end.
func criticalPaths(steps []medlarsubmission.Step, runTimes []time.Duration) []time.Duration {
	paths := make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		paths[i] += runTimes[i]
		for _, earlier := range steps[i].After {
			paths[earlier] = max(paths[earlier], paths[i])
		}
	}
	return paths
}

func newOccurrence(j *job, index int, expected []time.Duration) *occurrence {
	o := &occurrence{job: j, index: index, startAt: j.due(index), lag: j.lag(index), remainingSteps: len(j.submission.Steps), remainingWork: j.totalWork}
	firstTask := index * j.tasksPerOccurrence
	for i := range j.submission.Steps {
		spec := &j.submission.Steps[i]
		s := &step{occurrence: o, index: i, spec: spec, remainingTasks: spec.Count, unmetDependencies: len(spec.After), predictedRunTime: expected[i], firstTask: firstTask}
		firstTask += spec.Count
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

// findTask returns the step and the task with the given name, or nil if there is none or its occurrence is done. It creates the
// occurrence if that has not been done yet.
func (j *job) findTask(n medlarsubmission.TaskName) (*step, *task) {
	o := j.occurrence(n.Occurrence)
	if o == nil || !isIndex(n.Step, o.steps) {
		return nil, nil
	}
	s := o.steps[n.Step]
	if !isIndex(n.Index, s.tasks) {
		return nil, nil
	}
	return s, &s.tasks[n.Index]
}

// isIndex reports whether n, which may come from outside the process, is a valid index of the list.
func isIndex[T any](n int, list []T) bool { return n >= 0 && n < len(list) }

// forEachTask calls f for every task of the job.
func (j *job) forEachTask(f func(s *step, index int)) {
	for _, o := range j.created() {
		for _, s := range o.steps {
			for i := range s.tasks {
				f(s, i)
			}
		}
	}
}

// forEachRun calls f for every run of the job. f may end runs.
func (j *job) forEachRun(f func(*run)) {
	for _, o := range j.created() {
		for _, s := range o.steps {
			for i := range s.tasks {
				for _, r := range append([]*run(nil), s.tasks[i].runs...) {
					f(r)
				}
			}
		}
	}
}
