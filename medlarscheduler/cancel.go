package medlarscheduler

import (
	"context"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
)

// maxCancelTries is the maximum number of tries of a cancellation whose transactions conflict.
const maxCancelTries = 20

// errTooManyConflicts means that others changed a row during every try.
var errTooManyConflicts = errors.WithMessage(medlarwheel.ErrUnavailable, "too many concurrent changes")

// Cancel marks a job as cancelled. Any instance may do so. The owner of the job's shard stops the tasks.
func (sc *Scheduler) Cancel(ctx context.Context, id medlarwheel.JobID, reason string) (medlarwheel.Job, error) {
	for range maxCancelTries {
		record, err := sc.readJob(ctx, id)
		if err != nil {
			return medlarwheel.Job{}, err
		}
		decision := record.Cancel(reason, sc.deps.Clock.Now())
		if decision.IsEmpty() {
			return *record.Job(), nil
		}
		writes, err := decision.Writes()
		if err != nil {
			return medlarwheel.Job{}, err
		}
		done, err := sc.transact(ctx, writes)
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

// CancelAccount cancels all jobs of an account in the data centre, in waves of batches, and returns the number of jobs that
// it has changed.
func (sc *Scheduler) CancelAccount(ctx context.Context, account medlarwheel.AccountID, reason string) (int, error) {
	changed := 0
	for range maxCancelTries {
		open, err := sc.openJobs(ctx, account)
		if err != nil || len(open) == 0 {
			return changed, err
		}
		conflicts := false
		for len(open) > 0 {
			wave, err := sc.config.Job.CancelMany(open, reason, sc.deps.Clock.Now())
			if err != nil {
				return changed, err
			}
			for _, batch := range wave.Batches {
				done, err := sc.cancelBatch(ctx, batch)
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

func (sc *Scheduler) cancelBatch(ctx context.Context, batch *medlarjob.Batch) (bool, error) {
	writes, err := batch.Writes()
	if err != nil {
		return false, err
	}
	return sc.transact(ctx, writes)
}

// openJobs reads the jobs of an account that have not ended and are not being cancelled.
func (sc *Scheduler) openJobs(ctx context.Context, account medlarwheel.AccountID) ([]medlarjob.Record, error) {
	records, err := sc.readJobs(ctx, jobsPrefix(sc.config.Instance.DataCentre))
	var open []medlarjob.Record
	for i := range records {
		if job := records[i].Job(); job.Account == account && !job.State.IsFinal() && !job.Cancelling {
			open = append(open, records[i])
		}
	}
	return open, err
}

// transact commits writes and hands the committed rows to the control loop. It reports false after a conflict.
func (sc *Scheduler) transact(ctx context.Context, writes []medlarwheel.Write) (bool, error) {
	if len(writes) == 0 {
		return true, nil
	}
	commit, err := sc.deps.Table.Transact(ctx, sc.deps.OperationIDs.Next(), writes)
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	sc.postToControl(ctx, func(s *state) {
		for _, w := range writes {
			s.applyRow(medlarwheel.Row{Key: w.Key, Version: commit.Version, Value: w.Value, Deleted: w.Delete})
		}
	})
	return true, nil
}

func (sc *Scheduler) readJob(ctx context.Context, id medlarwheel.JobID) (medlarjob.Record, error) {
	key, err := medlarlease.JobKey(sc.config.Instance.DataCentre, id)
	if err != nil {
		return medlarjob.Record{}, err
	}
	row, err := sc.deps.Table.Row(ctx, key)
	if err != nil {
		return medlarjob.Record{}, err
	}
	return medlarjob.Decode(row, sc.config.Job)
}
