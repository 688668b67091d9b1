package medlarscheduler

import (
	"context"
	"math/rand/v2"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplacement"
	"medlarwheel/medlarworker"
)

// state is what the control loop owns.
type state struct {
	scheduler      *Scheduler
	ownership      *medlarlease.Ownership
	instanceLeases *medlarlease.InstanceLeases
	taskLeases     *medlarlease.TaskLeases
	// shards holds the shards of jobs that the shard map gives to this instance.
	shards map[medlarlease.ShardID]*heldShard
	jobs   map[medlarwheel.JobID]*jobEntry
	// workers holds all workers of the data centre, and agents their announcements.
	workers       map[medlarwheel.WorkerID]*workerEntry
	announcements map[medlarwheel.WorkerID]medlaragentapi.Announcement

	interference *medlarplacement.InterferenceModel
	index        *medlarplacement.Index
	usage        *usageState

	intents intentQueue
	// checkpointLookups names the checkpoints of lost attempts that are being looked for.
	checkpointLookups map[string]bool
	inFlight          *transaction
	// retryAt is when the next transaction may be sent after one that the table did not take.
	retryAt       time.Time
	proposals     map[medlarwheel.TaskID]*proposal
	preemptions   map[medlarwheel.TaskID]*preemption
	nextPlacement time.Time
	// deletions are deletions of rows that have done their work.
	deletions       []medlarwheel.Write
	nextMaintenance time.Time

	// leaving is set once the instance has begun to leave, and closed when it has announced that and removed its lease.
	leaving chan struct{}
	// left stops all work after the announcement. The leases of tasks are left to the next owners.
	left bool
	// spawn runs I/O on a goroutine of its own that ends with the fleet.
	spawn func(work func(ctx context.Context))
}

// heldShard is a shard of jobs that the map gives to this instance.
type heldShard struct {
	token medlarwheel.FencingToken
	// loaded tells that all jobs of the shard have been read since.
	loaded bool
}

// jobEntry is a job of a held shard.
type jobEntry struct {
	record medlarjob.Record
	shard  medlarlease.ShardID
	// sentAt holds when a command for an attempt was last sent.
	sentAt map[medlarwheel.TaskAttempt]time.Time
	// evictionStarted holds when an attempt was first asked to write a checkpoint.
	evictionStarted map[medlarwheel.TaskAttempt]time.Time
}

// workerEntry is a worker of the data centre.
type workerEntry struct {
	record   *medlarworker.Record
	commands commandQueue
	// avoidUntil keeps new tasks off a worker that did not answer.
	avoidUntil time.Time
}

func newState(f *Scheduler) *state {
	c := &f.config
	interference := medlarplacement.NewInterferenceModel(c.Interference)
	return &state{
		scheduler: f, ownership: medlarlease.NewOwnership(c.Lease, c.Instance), instanceLeases: medlarlease.NewInstanceLeases(c.Lease, c.Instance.ID),
		taskLeases: medlarlease.NewTaskLeases(c.Lease), shards: make(map[medlarlease.ShardID]*heldShard),
		jobs:    make(map[medlarwheel.JobID]*jobEntry),
		workers: make(map[medlarwheel.WorkerID]*workerEntry), announcements: make(map[medlarwheel.WorkerID]medlaragentapi.Announcement),
		interference: interference,
		index:        medlarplacement.NewIndex(c.Placement, interference, rand.New(rand.NewPCG(c.Seed, 1))),
		usage:        newUsageState(c, interference),
		intents:      newIntentQueue(), checkpointLookups: make(map[string]bool), proposals: make(map[medlarwheel.TaskID]*proposal),
		preemptions: make(map[medlarwheel.TaskID]*preemption),
	}
}

// step is the regular work of the control loop.
func (s *state) step(now time.Time) {
	if s.left {
		return
	}
	s.refreshShards(now)
	s.taskLeases.Prune(now)
	s.renewLeases(now)
	s.sendOrders(now)
	s.expireAttempts(now)
	s.queueTimedTransitions(now)
	s.maintainRows(now)
	s.pollUsage(now)
	s.place(now)
	s.flush(now)
}

// mayAct returns the shard with its token if the instance may act on it at now.
func (s *state) mayAct(shard medlarlease.ShardID, now time.Time) (medlarlease.OwnedShard, bool) {
	if s.left {
		return medlarlease.OwnedShard{}, false
	}
	owned, ok := s.ownership.MayAct(shard, now)
	if !ok || shard.Kind == medlarlease.ShardKindWorker {
		return owned, ok
	}
	held := s.shards[shard]
	return owned, held != nil && held.loaded && held.token == owned.Token
}

// leave begins to give the shards up. The result is closed once that is done.
func (s *state) leave() chan struct{} {
	if s.leaving == nil {
		s.leaving = make(chan struct{})
		s.ownership.Leave()
	}
	return s.leaving
}

func (s *state) closeAgents() {
	for _, w := range s.workers {
		w.commands.close()
	}
}
