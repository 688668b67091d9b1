package medlarscheduler

import (
	"context"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
)

// maxCancelTries bounds the tries of a cancellation that lost races for the job's row.
const maxCancelTries = 20

// errTooManyConflicts means that a row was changed by others in every try.
var errTooManyConflicts = errors.WithMessage(medlarwheel.ErrUnavailable, "too many concurrent changes")

// Cancel makes a job end. Any instance may do so; the owner of the job's shard stops the tasks.
func (f *Scheduler) Cancel(ctx context.Context, id medlarwheel.JobID, reason string) (medlarwheel.Job, error) {
	for range maxCancelTries {
		record, err := f.readJob(ctx, id)
		if err != nil {
			return medlarwheel.Job{}, err
		}
		decision := record.Cancel(reason, f.deps.Clock.Now())
		if decision.IsEmpty() {
			return *record.Job(), nil
		}
		writes, err := decision.Writes()
		if err != nil {
			return medlarwheel.Job{}, err
		}
		done, err := f.transact(ctx, writes)
		if err != nil {
			return medlarwheel.Job{}, err
		}
		if done {
			record = decision.Record()
			return *record.Job(), nil
		}
	}
	return medlarwheel.Job{}, errTooManyConflicts
}

// CancelAccount cancels all jobs of an account in the data centre, wave by wave, and returns how many it has changed.
func (f *Scheduler) CancelAccount(ctx context.Context, account medlarwheel.AccountID, reason string) (int, error) {
	changed := 0
	for range maxCancelTries {
		open, err := f.openJobs(ctx, account)
		if err != nil || len(open) == 0 {
			return changed, err
		}
		conflicts := false
		for len(open) > 0 {
			wave, err := f.config.Job.CancelMany(open, reason, f.deps.Clock.Now())
			if err != nil {
				return changed, err
			}
			for _, batch := range wave.Batches {
				done, err := f.cancelBatch(ctx, batch)
				if err != nil {
					return changed, err
				}
				if done {
					changed += len(batch.Decisions())
				}
				conflicts = conflicts || !done
			}
			open = wave.Remaining
		}
		if !conflicts {
			return changed, nil
		}
	}
	return changed, errTooManyConflicts
}

func (f *Scheduler) cancelBatch(ctx context.Context, batch *medlarjob.Batch) (bool, error) {
	writes, err := batch.Writes()
	if err != nil {
		return false, err
	}
	return f.transact(ctx, writes)
}

// openJobs reads the jobs of an account that have not ended and are not being cancelled.
func (f *Scheduler) openJobs(ctx context.Context, account medlarwheel.AccountID) ([]medlarjob.Record, error) {
	records, err := f.readJobs(ctx, jobsPrefix(f.config.Instance.DataCentre))
	var open []medlarjob.Record
	for i := range records {
		if job := records[i].Job(); job.Account == account && !job.State.IsFinal() && !job.Cancelling {
			open = append(open, records[i])
		}
	}
	return open, err
}

// transact reports false after a conflict. The rows that took effect are followed at once.
func (f *Scheduler) transact(ctx context.Context, writes []medlarwheel.Write) (bool, error) {
	if len(writes) == 0 {
		return true, nil
	}
	commit, err := f.deps.Table.Transact(ctx, f.deps.Operations.Next(), writes)
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.post(ctx, func(s *state) {
		for _, w := range writes {
			s.applyRow(medlarwheel.Row{Key: w.Key, Version: commit.Version, Value: w.Value, Deleted: w.Delete})
		}
	})
	return true, nil
}

func (f *Scheduler) readJob(ctx context.Context, id medlarwheel.JobID) (medlarjob.Record, error) {
	key, err := medlarlease.JobKey(f.config.Instance.DataCentre, id)
	if err != nil {
		return medlarjob.Record{}, err
	}
	row, err := f.deps.Table.Row(ctx, key)
	if err != nil {
		return medlarjob.Record{}, err
	}
	return medlarjob.Decode(row, f.config.Job)
}
