package medlarscheduler

import (
	"cmp"
	"context"
	"slices"

	"medlarwheel"
)

// Job reads a job of the data centre from the table.
func (sc *Scheduler) Job(ctx context.Context, id medlarwheel.JobID) (medlarwheel.Job, error) {
	record, err := sc.readJob(ctx, id)
	if err != nil {
		return medlarwheel.Job{}, err
	}
	return *record.Job(), nil
}

// Jobs reads the jobs of an account, or of all accounts if it is empty, in the order of their submission. The shard of
// a job depends on the account's team at submission, which may have changed, so all shards are read.
func (sc *Scheduler) Jobs(ctx context.Context, account medlarwheel.AccountID) ([]medlarwheel.Job, error) {
	records, err := sc.readJobs(ctx, jobsPrefix(sc.config.Instance.DataCentre))
	if err != nil {
		return nil, err
	}
	jobs := make([]medlarwheel.Job, 0, len(records))
	for i := range records {
		if job := records[i].Job(); account == "" || job.Account == account {
			jobs = append(jobs, *job)
		}
	}
	slices.SortFunc(jobs, func(a, b medlarwheel.Job) int {
		return cmp.Or(a.SubmittedAt.Compare(b.SubmittedAt), cmp.Compare(a.ID, b.ID))
	})
	return jobs, nil
}

// Workers lists the workers of the data centre as this instance last read them, in the order of their ids.
func (sc *Scheduler) Workers(ctx context.Context) ([]medlarwheel.Worker, error) {
	workers, ok := callControl(ctx, sc, (*state).workerList)
	if !ok {
		return nil, medlarwheel.WithOperation("list workers", "", medlarwheel.ErrUnavailable)
	}
	return workers, nil
}

func (s *state) workerList() []medlarwheel.Worker {
	workers := make([]medlarwheel.Worker, 0, len(s.workers))
	for _, entry := range s.workers {
		w := *entry.record.Worker()
		w.Commitments = slices.Clone(w.Commitments)
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b medlarwheel.Worker) int { return cmp.Compare(a.ID, b.ID) })
	return workers
}
