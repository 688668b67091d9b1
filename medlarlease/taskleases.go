package medlarlease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// TaskLeases is an owner's view of the leases of the attempts that its jobs have on workers. A lease runs out at the
// latest a term and a margin after the owner heard the clock reading that the last grant was based on.
type TaskLeases struct {
	config         Config
	readings       map[medlarwheel.WorkerID]receivedReading
	leases         map[medlarwheel.TaskID]*taskLease
	ownershipTerms map[ShardID]*ownershipTerm
}

// ownershipTerm is how long the owner has had a shard under one token.
type ownershipTerm struct {
	token medlarwheel.FencingToken
	since time.Time
	// earlierStopped tells that all earlier owners have stopped granting leases.
	earlierStopped bool
}

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
	// earlierStopped tells that no earlier owner grants any more, so that latest bounds every grant.
	earlierStopped bool
	started        bool
	// lastReadingAt is an upper bound of when a clock reading was taken that any grant is based on.
	lastReadingAt time.Time
	// nextContactAt is when the worker is to hear from the owner next.
	nextContactAt time.Time
	expired       bool
	// endedAt is set once the attempt has ended. The entry stays for a day, so that an older view of the job's row does
	// not bring the attempt back.
	endedAt time.Time
}

// ErrClockUnknown means that the worker's clock has not been heard lately, so that no deadline can be set. Ask the
// worker with a Renew first.
var ErrClockUnknown = errors.New("clock of the worker is not known")

// NewTaskLeases returns an empty view.
func NewTaskLeases(config Config) *TaskLeases {
	return &TaskLeases{
		config:         config,
		readings:       make(map[medlarwheel.WorkerID]receivedReading),
		leases:         make(map[medlarwheel.TaskID]*taskLease),
		ownershipTerms: make(map[ShardID]*ownershipTerm),
	}
}

// clockRetryDivisor makes an owner that does not know a worker's clock ask more often than it would renew: a new owner has
// only what a dead one left of the term.
const clockRetryDivisor = 5

// RecordReading records a worker's clock reading that arrived at now.
func (t *TaskLeases) RecordReading(worker medlarwheel.WorkerID, reading ClockReading, now time.Time) {
	if t.readings[worker].reading.Before(reading) {
		t.readings[worker] = receivedReading{reading: reading, receivedAt: now}
	}
}

// Incarnation returns the incarnation of a worker's agent if the worker has been heard lately.
func (t *TaskLeases) Incarnation(worker medlarwheel.WorkerID, now time.Time) (medlarwheel.Incarnation, bool) {
	until, err := t.deadline(worker, now)
	return until.Incarnation, err == nil
}

// TrackedAttempt is an attempt that is committed on a worker, as the job's row has it.
type TrackedAttempt struct {
	Attempt medlarwheel.TaskAttempt
	Worker  medlarwheel.WorkerID
	// Incarnation is the one of the agent that may start the attempt.
	Incarnation medlarwheel.Incarnation
	// PlacedToken is the token under which the attempt was placed. A lower one than the owner's means that earlier owners have
	// granted the lease, too, and it can only expire once they have stopped.
	PlacedToken medlarwheel.FencingToken
	// Started tells that the worker has been seen to know the attempt. Until then only a Start goes out: the worker would
	// answer a Renew by refusing the attempt for good.
	Started bool
}

// Track follows the lease of an attempt on a worker. An attempt that is known to have ended is not followed again.
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

// RefreshShard is called for a shard that the instance may act on, before the jobs of the shard are looked at. What was known of
// the shard under another token is dropped. Once all earlier owners have stopped, the leases that they have granted, too,
// begin to run out.
func (t *TaskLeases) RefreshShard(owned OwnedShard, watch *InstanceLeases, now time.Time) {
	held := t.ownershipTerms[owned.Shard]
	if held == nil || held.token != owned.Token {
		t.RemoveShard(owned.Shard)
		held = &ownershipTerm{token: owned.Token, since: now}
		t.ownershipTerms[owned.Shard] = held
	}
	if !held.earlierStopped && !watch.EarlierOwnersStopped(owned.Token, held.since) {
		return
	}
	held.earlierStopped = true
	for _, lease := range t.leases {
		if lease.shard == owned.Shard && lease.token == owned.Token && !lease.earlierStopped {
			lease.earlierStopped = true
			lease.lastReadingAt = maxTime(lease.lastReadingAt, now)
		}
	}
}

// RemoveShard drops what is known of a shard that the instance has lost.
func (t *TaskLeases) RemoveShard(shard ShardID) {
	delete(t.ownershipTerms, shard)
	maps.DeleteFunc(t.leases, func(_ medlarwheel.TaskID, lease *taskLease) bool { return lease.shard == shard })
}

// RecordEnd drops the lease of an attempt that has ended, and of all earlier ones of its task.
func (t *TaskLeases) RecordEnd(ended medlarwheel.TaskAttempt, owned OwnedShard, now time.Time) {
	lease := t.leases[ended.Task]
	switch {
	case lease != nil && lease.token == owned.Token && lease.attempt.Attempt > ended.Attempt:
	case lease != nil && lease.attempt == ended && !lease.endedAt.IsZero():
	default:
		t.leases[ended.Task] = &taskLease{attempt: ended, shard: owned.Shard, token: owned.Token, endedAt: now}
	}
}

// endedRetention is how long ended attempts are remembered. It has to be longer than any outage of the table: after one, an
// owner may still have the row from before it that has the attempt on its worker. The horizon was too short for that.
const endedRetention = 24 * time.Hour

// Prune drops what is kept of attempts that ended longer ago than a day.
func (t *TaskLeases) Prune(now time.Time) {
	maps.DeleteFunc(t.leases, func(_ medlarwheel.TaskID, lease *taskLease) bool {
		return !lease.endedAt.IsZero() && now.Sub(lease.endedAt) > endedRetention
	})
}

// ProofOfExpiry returns the proof that an attempt's lease has run out. The shard's assignment must have been confirmed after
// that moment: until then another owner might have renewed the lease.
func (t *TaskLeases) ProofOfExpiry(attempt medlarwheel.TaskAttempt, owned OwnedShard) (Proof, error) {
	lease := t.leases[attempt.Task]
	if lease == nil || lease.attempt != attempt || lease.token != owned.Token || lease.shard != owned.Shard ||
		!lease.earlierStopped || !lease.endedAt.IsZero() {
		return Proof{}, ErrNoProof
	}
	runOut := lease.lastReadingAt.Add(t.config.TaskTerm + t.config.TaskMargin)
	if owned.ConfirmedAt.Before(runOut) {
		return Proof{}, ErrNoProof
	}
	lease.expired = true
	return Proof{
		cause: medlarwheel.EndLeaseExpired, task: attempt.Task, ended: attempt.Attempt, worker: lease.worker,
		token: lease.token,
	}, nil
}

// Renewals returns the renewals that are due at now, one for each worker, ordered by worker.
func (t *TaskLeases) Renewals(own *Ownership, now time.Time) []Renew {
	due := make(map[medlarwheel.WorkerID]*Renew)
	for _, lease := range t.leases {
		if lease.expired || !lease.endedAt.IsZero() || now.Before(lease.nextContactAt) {
			continue
		}
		owned, ok := own.MayRenew(lease.shard, now)
		if !ok || owned.Token != lease.token {
			continue
		}
		until, err := t.deadline(lease.worker, now)
		if err == nil && !lease.started {
			continue
		}
		renew := due[lease.worker]
		if renew == nil {
			renew = &Renew{Worker: lease.worker, LeaseEnd: until}
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

// grant returns the deadline for the start of an attempt. It is never one of another incarnation of the agent than the
// attempt was placed with: an agent that has restarted since may have run the attempt before, and refuses it.
func (t *TaskLeases) grant(attempt medlarwheel.TaskAttempt, owned OwnedShard, now time.Time) (ClockReading, error) {
	lease := t.leases[attempt.Task]
	if lease == nil || lease.attempt != attempt || lease.token != owned.Token || lease.expired ||
		!lease.endedAt.IsZero() {
		return ClockReading{}, medlarwheel.WithOperation("grant task lease", "", medlarwheel.ErrStale)
	}
	until, err := t.deadline(lease.worker, now)
	switch {
	case err != nil:
		return ClockReading{}, err
	case until.Incarnation < lease.incarnation:
		return ClockReading{}, ErrClockUnknown
	case until.Incarnation > lease.incarnation:
		return ClockReading{Incarnation: lease.incarnation}, nil
	}
	t.recordGrant(lease, now)
	return until, nil
}

// deadline returns the end of a term that began at the worker's last clock reading, unless half of the term has passed.
func (t *TaskLeases) deadline(worker medlarwheel.WorkerID, now time.Time) (ClockReading, error) {
	heard, ok := t.readings[worker]
	if !ok || now.Sub(heard.receivedAt) > t.config.TaskTerm/2 {
		return ClockReading{}, ErrClockUnknown
	}
	until := heard.reading
	until.Uptime += medlarwheel.Duration(t.config.TaskTerm)
	return until, nil
}

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
