package medlarscheduler

import (
	"fmt"
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
)

func reportIntent(job medlarwheel.JobID, report medlarwheel.TaskReport) intent {
	key := fmt.Sprintf("report/%s/%d/%s/%s", report.Task, report.Attempt, report.Worker, report.Phase)
	return intent{key: key, job: job, apply: func(
		r *medlarjob.Record, workers *workerView, owned medlarlease.OwnedShard, now time.Time,
	) (medlarjob.Decision, error) {
		if !report.Phase.IsEnded() {
			return r.ApplyReport(&report, nil, owned.Token, now)
		}
		return r.ApplyReport(&report, workers.get(report.Worker), owned.Token, now)
	}}
}

func expireIntent(
	key string, job medlarwheel.JobID, attempt medlarwheel.TaskAttempt, worker medlarwheel.WorkerID,
	proof medlarlease.Proof, checkpointExists bool,
) intent {
	return intent{key: key, job: job, apply: func(
		r *medlarjob.Record, workers *workerView, owned medlarlease.OwnedShard, now time.Time,
	) (medlarjob.Decision, error) {
		return r.ExpireAttempt(attempt, proof, checkpointExists, workers.get(worker), owned.Token, now)
	}}
}

func evictIntent(job medlarwheel.JobID, index int) intent {
	key := fmt.Sprintf("evict/%s.%d", job, index)
	return intent{key: key, job: job, apply: func(
		r *medlarjob.Record, _ *workerView, owned medlarlease.OwnedShard, now time.Time,
	) (medlarjob.Decision, error) {
		return r.Evict([]int{index}, owned.Token, now)
	}}
}

func clearFailuresIntent(job medlarwheel.JobID, worker medlarwheel.WorkerID) intent {
	key := fmt.Sprintf("forgive/%s/%s", job, worker)
	return intent{key: key, job: job, apply: func(
		r *medlarjob.Record, _ *workerView, owned medlarlease.OwnedShard, now time.Time,
	) (medlarjob.Decision, error) {
		return r.ClearWorkerFailures(worker, owned.Token, now)
	}}
}
