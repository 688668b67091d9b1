package medlarlease

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// TaskLeases is an owner's view of the leases of the attempts that its jobs have on workers. A lease runs out at the
// latest a term and a margin after the owner heard the clock reading that the last grant was based on.
type TaskLeases struct {
	config  Config
	workers map[medlarwheel.WorkerID]heardReading
	leases  map[medlarwheel.TaskID]*taskLease
}

type heardReading struct {
	reading Reading
	at      time.Time
}

type taskLease struct {
	attempt medlarwheel.TaskAttempt
	worker  medlarwheel.WorkerID
	shard   ShardID
	token   medlarwheel.FencingToken
	// settled tells that no earlier owner grants any more, so that latest bounds every grant.
	settled bool
	// latest is an upper bound of when a clock reading was taken that any grant is based on.
	latest time.Time
	// dueAt is when the worker is to hear from the owner next.
	dueAt   time.Time
	expired bool
}

// ErrClockUnknown means that the worker's clock has not been heard lately, so that no deadline can be set. Ask the
// worker with a Renew first.
var ErrClockUnknown = errors.New("clock of the worker is not known")

// NewTaskLeases returns an empty view.
func NewTaskLeases(config Config) *TaskLeases {
	return &TaskLeases{
		config:  config,
		workers: make(map[medlarwheel.WorkerID]heardReading),
		leases:  make(map[medlarwheel.TaskID]*taskLease),
	}
}

// askFraction makes an owner that does not know a worker's clock ask more often than it would renew: a new owner has
// only what a dead one left of the term.
const askFraction = 5

// Heard records a worker's clock reading that arrived at now.
func (t *TaskLeases) Heard(worker medlarwheel.WorkerID, reading Reading, now time.Time) {
	if t.workers[worker].reading.Before(reading) {
		t.workers[worker] = heardReading{reading: reading, at: now}
	}
}

// Track follows the lease of an attempt on a worker. placed is the token under which it was placed: a lower one than the
// owner's means that earlier owners have granted the lease, too, and Settle must follow before it can expire.
func (t *TaskLeases) Track(
	attempt medlarwheel.TaskAttempt, worker medlarwheel.WorkerID, placed medlarwheel.FencingToken, owned OwnedShard,
	now time.Time,
) {
	lease := t.leases[attempt.Task]
	if lease != nil && lease.attempt == attempt && lease.token == owned.Token {
		return
	}
	t.leases[attempt.Task] = &taskLease{
		attempt: attempt, worker: worker, shard: owned.Shard, token: owned.Token, settled: placed == owned.Token, latest: now,
	}
}

// Settle records that at now all earlier owners of a shard had stopped granting leases (see Watch.Settled).
func (t *TaskLeases) Settle(owned OwnedShard, now time.Time) {
	for _, lease := range t.leases {
		if lease.shard == owned.Shard && lease.token == owned.Token && !lease.settled {
			lease.settled = true
			lease.latest = maxTime(lease.latest, now)
		}
	}
}

// Forget drops the lease of a task whose attempt has ended, or whose job the owner has lost.
func (t *TaskLeases) Forget(task medlarwheel.TaskID) { delete(t.leases, task) }

// Expired returns the proof that an attempt's lease has run out. The shard's assignment must have been confirmed after
// that moment: until then another owner might have renewed the lease.
func (t *TaskLeases) Expired(attempt medlarwheel.TaskAttempt, owned OwnedShard) (Proof, error) {
	lease := t.leases[attempt.Task]
	if lease == nil || lease.attempt != attempt || lease.token != owned.Token || lease.shard != owned.Shard || !lease.settled {
		return Proof{}, ErrNoProof
	}
	runOut := lease.latest.Add(t.config.TaskTerm + t.config.TaskMargin)
	if owned.ConfirmedAt.Before(runOut) {
		return Proof{}, ErrNoProof
	}
	lease.expired = true
	return Proof{
		cause: medlarwheel.EndingLeaseExpiry, task: attempt.Task, ended: attempt.Attempt, worker: lease.worker,
		token: lease.token,
	}, nil
}

// Renewals returns the renewals that are due at now, one for each worker, ordered by worker.
func (t *TaskLeases) Renewals(own *Ownership, now time.Time) []Renew {
	due := make(map[medlarwheel.WorkerID]*Renew)
	for _, lease := range t.leases {
		if lease.expired || now.Before(lease.dueAt) {
			continue
		}
		owned, ok := own.MayRenew(lease.shard, now)
		if !ok || owned.Token != lease.token {
			continue
		}
		if due[lease.worker] == nil {
			until, _ := t.deadline(lease.worker, now)
			due[lease.worker] = &Renew{Worker: lease.worker, Until: until}
		}
		renew := due[lease.worker]
		if renew.Until.IsZero() {
			lease.dueAt = now.Add(t.config.TaskRenewEvery / askFraction)
		} else {
			t.granted(lease, now)
		}
		renew.Tasks = append(renew.Tasks, RenewAttempt{Attempt: lease.attempt, Token: lease.token})
	}
	renewals := make([]Renew, 0, len(due))
	for _, renew := range due {
		slices.SortFunc(renew.Tasks, func(a, b RenewAttempt) int { return cmp.Compare(a.Attempt.Task, b.Attempt.Task) })
		renewals = append(renewals, *renew)
	}
	slices.SortFunc(renewals, func(a, b Renew) int { return cmp.Compare(a.Worker, b.Worker) })
	return renewals
}

// grant returns the deadline for the start of an attempt.
func (t *TaskLeases) grant(attempt medlarwheel.TaskAttempt, owned OwnedShard, now time.Time) (Reading, error) {
	lease := t.leases[attempt.Task]
	if lease == nil || lease.attempt != attempt || lease.token != owned.Token || lease.expired {
		return Reading{}, medlarwheel.AtStep("grant task lease", "", medlarwheel.ErrStale)
	}
	until, err := t.deadline(lease.worker, now)
	if err == nil {
		t.granted(lease, now)
	}
	return until, err
}

// deadline returns the end of a term that began at the worker's last clock reading, unless half of the term has passed.
func (t *TaskLeases) deadline(worker medlarwheel.WorkerID, now time.Time) (Reading, error) {
	heard, ok := t.workers[worker]
	if !ok || now.Sub(heard.at) > t.config.TaskTerm/2 {
		return Reading{}, ErrClockUnknown
	}
	until := heard.reading
	until.Uptime += medlarwheel.Duration(t.config.TaskTerm)
	return until, nil
}

func (t *TaskLeases) granted(lease *taskLease, now time.Time) {
	lease.latest = maxTime(lease.latest, t.workers[lease.worker].at)
	lease.dueAt = now.Add(t.config.TaskRenewEvery)
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
