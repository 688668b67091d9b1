package medlarjob

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Cancel cancels a job. Tasks that are not on a worker end immediately, the others once their workers have stopped them. Any
// instance may cancel a job without owning its shard, because the compare-and-set on the row's version orders the changes.
func (r *Record) Cancel(reason string, now time.Time) Decision {
	if r.job.State.IsFinal() || r.job.Cancelling {
		return r.unchanged()
	}
	d, err := r.draft(r.job.Token, now)
	if err != nil {
		return r.unchanged()
	}
	d.cancelUnplacedTasks(r.config.truncateReason(reason))
	return d.decision()
}

// cancelUnplacedTasks cancels every task that is not on a worker and has not ended.
func (d *draft) cancelUnplacedTasks(reason string) {
	d.job.Cancelling = true
	d.job.Reason = reason
	for i := range d.job.Tasks {
		task := &d.job.Tasks[i]
		if !task.State.IsFinal() && !task.State.IsActive() {
			task.State = medlarwheel.JobCancelled
			task.HeldUntil = time.Time{}
		}
	}
}

// CancelWave is one bounded step of the cancellation of many jobs.
type CancelWave struct {
	// Batches are transactions that are independent of each other. They cancel the jobs of this wave.
	Batches []*Batch
	// Remaining lists the jobs that are left for later waves.
	Remaining []Record
}

// CancelMany cancels jobs in transactions of bounded size, with at most MaxWaveBatches transactions in one wave. Jobs that
// have ended or are being cancelled already do not count. Call it again with Remaining once the wave has been written.
func (c Config) CancelMany(records []Record, reason string, now time.Time) (CancelWave, error) {
	wave := CancelWave{Batches: []*Batch{NewBatch(c)}}
	for i := range records {
		decision := records[i].Cancel(reason, now)
		err := wave.Batches[len(wave.Batches)-1].Add(decision)
		if errors.Is(err, ErrBatchFull) {
			if len(wave.Batches) == c.MaxWaveBatches {
				wave.Remaining = records[i:]
				return wave, nil
			}
			wave.Batches = append(wave.Batches, NewBatch(c))
			err = wave.Batches[len(wave.Batches)-1].Add(decision)
		}
		if err != nil {
			return wave, err
		}
	}
	return wave, nil
}
