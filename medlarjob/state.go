package medlarjob

import "medlarwheel"

// stateOf derives a job's state from its tasks. If any task is on a worker, the job has the state of such a task;
// otherwise it has the state of a waiting task. One held task holds a whole gang.
func stateOf(job *medlarwheel.Job) medlarwheel.JobState {
	var count [10]int
	for i := range job.Tasks {
		count[rankOf(job.Tasks[i].State)]++
	}
	if count[rankDone]+count[rankFailed]+count[rankCancelled] == len(job.Tasks) {
		return firstOf(count, rankFailed, rankCancelled, rankDone)
	}
	if job.Spec.Gang && count[rankRunning]+count[rankCheckpointing]+count[rankPlacing] == 0 {
		return firstOf(count, rankHeld, rankQueued, rankSuspended, rankSubmitted)
	}
	if job.Spec.Gang {
		return firstOf(count, rankCheckpointing, rankPlacing, rankRunning)
	}
	return firstOf(count, rankRunning, rankCheckpointing, rankPlacing, rankQueued, rankSuspended, rankHeld, rankSubmitted)
}

const (
	rankSubmitted = iota
	rankQueued
	rankPlacing
	rankRunning
	rankCheckpointing
	rankSuspended
	rankHeld
	rankDone
	rankFailed
	rankCancelled
)

var rankedStates = [...]medlarwheel.JobState{
	rankSubmitted:     medlarwheel.JobSubmitted,
	rankQueued:        medlarwheel.JobQueued,
	rankPlacing:       medlarwheel.JobPlacing,
	rankRunning:       medlarwheel.JobRunning,
	rankCheckpointing: medlarwheel.JobCheckpointing,
	rankSuspended:     medlarwheel.JobSuspended,
	rankHeld:          medlarwheel.JobHeld,
	rankDone:          medlarwheel.JobDone,
	rankFailed:        medlarwheel.JobFailed,
	rankCancelled:     medlarwheel.JobCancelled,
}

func rankOf(state medlarwheel.JobState) int {
	for rank, known := range rankedStates {
		if known == state {
			return rank
		}
	}
	return rankSubmitted
}

// firstOf returns the first of the states that any task is in.
func firstOf(count [len(rankedStates)]int, ranks ...int) medlarwheel.JobState {
	for _, rank := range ranks {
		if count[rank] > 0 {
			return rankedStates[rank]
		}
	}
	return medlarwheel.JobSubmitted
}
