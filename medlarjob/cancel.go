package medlarjob

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Cancel makes a job end. Tasks that are not on a worker end at once, the others when their workers have stopped them.
// It needs no ownership: any instance may ask, and the row's version decides.
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

// CancelWave is a bounded part of a cancellation of many jobs.
type CancelWave struct {
	// Batches are transactions that are independent of each other.
	Batches []*Batch
	// Remaining lists the jobs of later waves.
	Remaining []Record
}

// CancelMany cancels jobs in transactions of bounded size, and no more transactions than one wave may have. Jobs that
// have ended or are being cancelled take no place. Call it again with Rest once the wave is through.
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
