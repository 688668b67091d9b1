package medlarlease

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// TaskLeases tracks the leases of the attempts of an owner's jobs. A lease expires at the latest TaskTerm+TaskMargin after
// the owner received the clock reading from which the deadline of the last grant was computed.
type TaskLeases struct {
	config         Config
	readings       map[medlarwheel.WorkerID]receivedReading
	leases         map[medlarwheel.TaskID]*taskLease
	ownershipTerms map[ShardID]*ownershipTerm
}

// ownershipTerm is an uninterrupted ownership of a shard under one token.
type ownershipTerm struct {
	token medlarwheel.FencingToken
	since time.Time
	// earlierStopped is set once all earlier owners have stopped granting leases.
	earlierStopped bool
}

// receivedReading is a clock reading of a worker with the local time at which it was received.
type receivedReading struct {
	reading    ClockReading
	receivedAt time.Time
}

type taskLease struct {
	attempt     medlarwheel.TaskAttempt
	worker      medlarwheel.WorkerID
	incarnation medlarwheel.Incarnation
	shard       ShardID
	token       medlarwheel.FencingToken
	// earlierStopped is set once no earlier owner grants the lease any more, so that lastReadingAt covers every grant.
	earlierStopped bool
	started        bool
	// lastReadingAt is an upper bound of the times of the clock readings from which grants were computed.
	lastReadingAt time.Time
	// nextContactAt is when the next renewal or clock request is due.
	nextContactAt time.Time
	expired       bool
	// endedAt is set once the attempt has ended. The entry is kept for endedRetention, so that an outdated copy of the job's
	// row does not make the attempt tracked again.
	endedAt time.Time
}

// ErrClockUnknown means that no recent clock reading of the worker is known, so that no deadline can be computed. Send the
// worker a Renew first.
var ErrClockUnknown = errors.New("clock of the worker is not known")

// NewTaskLeases returns a TaskLeases that tracks no leases.
func NewTaskLeases(config Config) *TaskLeases {
	return &TaskLeases{
		config:         config,
		readings:       make(map[medlarwheel.WorkerID]receivedReading),
		leases:         make(map[medlarwheel.TaskID]*taskLease),
		ownershipTerms: make(map[ShardID]*ownershipTerm),
	}
}

// clockRetryDivisor divides the renewal interval while a worker's clock is unknown. A new owner requests the clock more
// often, because it has only the rest of the term that the failed owner granted.
const clockRetryDivisor = 5

// RecordReading records a worker's clock reading that was received at now.
func (t *TaskLeases) RecordReading(worker medlarwheel.WorkerID, reading ClockReading, now time.Time) {
	if t.readings[worker].reading.Before(reading) {
		t.readings[worker] = receivedReading{reading: reading, receivedAt: now}
	}
}

// Incarnation returns the incarnation of a worker's agent if a recent clock reading of the worker is known.
func (t *TaskLeases) Incarnation(worker medlarwheel.WorkerID, now time.Time) (medlarwheel.Incarnation, bool) {
	leaseEnd, err := t.deadline(worker, now)
	return leaseEnd.Incarnation, err == nil
}

// TrackedAttempt is an attempt that is committed to a worker, as stored in the job's row.
type TrackedAttempt struct {
	Attempt medlarwheel.TaskAttempt
	Worker  medlarwheel.WorkerID
	// Incarnation is the only incarnation of the agent that may start the attempt.
	Incarnation medlarwheel.Incarnation
	// PlacedToken is the token under which the attempt was placed. If it is lower than the owner's, earlier owners have
	// granted the lease as well, and it can expire only after they have stopped.
	PlacedToken medlarwheel.FencingToken
	// Started is set once the worker has confirmed that it knows the attempt. Until then only a Start is sent: on a Renew the
	// worker would refuse the attempt permanently.
	Started bool
}

// Track begins or updates the tracking of the lease of an attempt. An attempt that is known to have ended is not tracked
// again.
func (t *TaskLeases) Track(tracked TrackedAttempt, owned OwnedShard, now time.Time) {
	lease := t.leases[tracked.Attempt.Task]
	if lease != nil && lease.token == owned.Token && tracked.Attempt.Attempt < lease.attempt.Attempt {
		return
	}
	if lease == nil || lease.attempt != tracked.Attempt || lease.token != owned.Token {
		lease = &taskLease{
			attempt: tracked.Attempt, worker: tracked.Worker, incarnation: tracked.Incarnation, shard: owned.Shard,
			token: owned.Token, earlierStopped: tracked.PlacedToken == owned.Token, lastReadingAt: now,
		}
		t.leases[tracked.Attempt.Task] = lease
	}
	lease.started = tracked.Started
}

// RefreshShard is called for a shard that the instance may act on, before the jobs of the shard are processed. Leases of
// the shard under another token are dropped. Once all earlier owners have stopped, the leases that they
// have granted begin to expire as well.
func (t *TaskLeases) RefreshShard(owned OwnedShard, instances *InstanceLeases, now time.Time) {
	term := t.ownershipTerms[owned.Shard]
	if term == nil || term.token != owned.Token {
		t.RemoveShard(owned.Shard)
		term = &ownershipTerm{token: owned.Token, since: now}
		t.ownershipTerms[owned.Shard] = term
	}
	if !term.earlierStopped && !instances.EarlierOwnersStopped(owned.Token, term.since) {
		return
	}
	term.earlierStopped = true
	for _, lease := range t.leases {
		if lease.shard == owned.Shard && lease.token == owned.Token && !lease.earlierStopped {
			lease.earlierStopped = true
			lease.lastReadingAt = maxTime(lease.lastReadingAt, now)
		}
	}
}

// RemoveShard drops the leases of a shard that the instance no longer owns.
func (t *TaskLeases) RemoveShard(shard ShardID) {
	delete(t.ownershipTerms, shard)
	maps.DeleteFunc(t.leases, func(_ medlarwheel.TaskID, lease *taskLease) bool { return lease.shard == shard })
}

// RecordEnd ends the lease of an attempt that has ended and of all earlier attempts of its task.
func (t *TaskLeases) RecordEnd(ended medlarwheel.TaskAttempt, owned OwnedShard, now time.Time) {
	lease := t.leases[ended.Task]
	switch {
	case lease != nil && lease.token == owned.Token && lease.attempt.Attempt > ended.Attempt:
	case lease != nil && lease.attempt == ended && !lease.endedAt.IsZero():
	default:
		t.leases[ended.Task] = &taskLease{attempt: ended, shard: owned.Shard, token: owned.Token, endedAt: now}
	}
}

// endedRetention is how long ended attempts are kept. It has to be longer than any outage of the table: after an outage, an
// owner may still have an old copy of the row in which the attempt is on its worker. OutageRenewalLimit is too short.
const endedRetention = 24 * time.Hour

// Prune drops the attempts that ended longer than endedRetention ago.
func (t *TaskLeases) Prune(now time.Time) {
	maps.DeleteFunc(t.leases, func(_ medlarwheel.TaskID, lease *taskLease) bool {
		return !lease.endedAt.IsZero() && now.Sub(lease.endedAt) > endedRetention
	})
}

// ProofOfExpiry returns the proof that an attempt's lease has expired. The assignment of the shard must have been confirmed
// after the expiry: before that, another owner may have renewed the lease.
func (t *TaskLeases) ProofOfExpiry(attempt medlarwheel.TaskAttempt, owned OwnedShard) (Proof, error) {
	lease := t.leases[attempt.Task]
	if lease == nil || lease.attempt != attempt || lease.token != owned.Token || lease.shard != owned.Shard ||
		!lease.earlierStopped || !lease.endedAt.IsZero() {
		return Proof{}, ErrNoProof
	}
	expiredAt := lease.lastReadingAt.Add(t.config.TaskTerm + t.config.TaskMargin)
	if owned.ConfirmedAt.Before(expiredAt) {
		return Proof{}, ErrNoProof
	}
	lease.expired = true
	return Proof{
		cause: medlarwheel.EndLeaseExpired, task: attempt.Task, ended: attempt.Attempt, worker: lease.worker,
		token: lease.token,
	}, nil
}

// Renewals returns the renewals and clock requests that are due at now, one for each worker, ordered by worker.
func (t *TaskLeases) Renewals(ownership *Ownership, now time.Time) []Renew {
	due := make(map[medlarwheel.WorkerID]*Renew)
	for _, lease := range t.leases {
		if lease.expired || !lease.endedAt.IsZero() || now.Before(lease.nextContactAt) {
			continue
		}
		owned, ok := ownership.MayRenew(lease.shard, now)
		if !ok || owned.Token != lease.token {
			continue
		}
		leaseEnd, err := t.deadline(lease.worker, now)
		if err == nil && !lease.started {
			continue
		}
		renew := due[lease.worker]
		if renew == nil {
			renew = &Renew{Worker: lease.worker, LeaseEnd: leaseEnd}
			due[lease.worker] = renew
		}
		if err == nil {
			t.recordGrant(lease, now)
		} else {
			lease.nextContactAt = now.Add(t.config.TaskRenewInterval / clockRetryDivisor)
		}
		if lease.started {
			renew.Tasks = append(renew.Tasks, RenewAttempt{Attempt: lease.attempt, Token: lease.token})
		}
	}
	renewals := make([]Renew, 0, len(due))
	for _, renew := range due {
		slices.SortFunc(renew.Tasks, func(a, b RenewAttempt) int { return cmp.Compare(a.Attempt.Task, b.Attempt.Task) })
		renewals = append(renewals, *renew)
	}
	slices.SortFunc(renewals, func(a, b Renew) int { return cmp.Compare(a.Worker, b.Worker) })
	return renewals
}

// grant returns the end of the lease with which an attempt starts. It always belongs to the incarnation of the agent that
// the attempt was placed with: an agent that has restarted since may have run the attempt before and refuses this one.
func (t *TaskLeases) grant(attempt medlarwheel.TaskAttempt, owned OwnedShard, now time.Time) (ClockReading, error) {
	lease := t.leases[attempt.Task]
	if lease == nil || lease.attempt != attempt || lease.token != owned.Token || lease.expired ||
		!lease.endedAt.IsZero() {
		return ClockReading{}, medlarwheel.WithOperation(fmt.Sprintf("grant lease of attempt %d of task %s under token %d",
			attempt.Attempt, attempt.Task, owned.Token), "", medlarwheel.ErrStale)
	}
	leaseEnd, err := t.deadline(lease.worker, now)
	switch {
	case err != nil:
		return ClockReading{}, err
	case leaseEnd.Incarnation < lease.incarnation:
		return ClockReading{}, ErrClockUnknown
	case leaseEnd.Incarnation > lease.incarnation:
		return ClockReading{Incarnation: lease.incarnation}, nil
	}
	t.recordGrant(lease, now)
	return leaseEnd, nil
}

// deadline returns the worker's last clock reading plus TaskTerm. It fails if that reading is older than half of TaskTerm.
func (t *TaskLeases) deadline(worker medlarwheel.WorkerID, now time.Time) (ClockReading, error) {
	latest, ok := t.readings[worker]
	if !ok || now.Sub(latest.receivedAt) > t.config.TaskTerm/2 {
		return ClockReading{}, ErrClockUnknown
	}
	leaseEnd := latest.reading
	leaseEnd.Uptime += medlarwheel.Duration(t.config.TaskTerm)
	return leaseEnd, nil
}

// recordGrant records that the lease was granted on the basis of the worker's last clock reading.
func (t *TaskLeases) recordGrant(lease *taskLease, now time.Time) {
	lease.lastReadingAt = maxTime(lease.lastReadingAt, t.readings[lease.worker].receivedAt)
	lease.nextContactAt = now.Add(t.config.TaskRenewInterval)
}

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
