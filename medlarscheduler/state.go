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

// state is the state that the control loop owns. No other goroutine may access it.
type state struct {
	scheduler      *Scheduler
	ownership      *medlarlease.Ownership
	instanceLeases *medlarlease.InstanceLeases
	taskLeases     *medlarlease.TaskLeases
	// shards holds the shards of jobs that the shard map assigns to this instance.
	shards map[medlarlease.ShardID]*heldShard
	jobs   map[medlarwheel.JobID]*jobEntry
	// workers holds all workers of the data centre, and announcements those of their agents.
	workers       map[medlarwheel.WorkerID]*workerEntry
	announcements map[medlarwheel.WorkerID]medlaragentapi.Announcement

	interference *medlarplacement.InterferenceModel
	index        *medlarplacement.Index
	usage        *usageState

	intents intentQueue
	// checkpointLookups holds the intent keys of attempts with an expired lease whose checkpoints are being looked up.
	checkpointLookups map[string]bool
	inFlight          *transaction
	// retryAt is the earliest time of the next transaction after a failed one.
	retryAt       time.Time
	proposals     map[medlarwheel.TaskID]*proposal
	preemptions   map[medlarwheel.TaskID]*preemption
	nextPlacement time.Time
	// deletions holds the deletions of handled eviction requests.
	deletions       []medlarwheel.Write
	nextMaintenance time.Time

	// leaving is set once the instance has begun to leave. It is closed once the instance has announced that and has tried
	// to remove its lease.
	leaving chan struct{}
	// left stops all work after the announcement. The next owners take care of the task leases.
	left bool
	// spawn runs I/O on a goroutine of its own, whose context ends with Scheduler.Run.
	spawn func(work func(ctx context.Context))
}

// heldShard is a shard of jobs that the shard map assigns to this instance.
type heldShard struct {
	token medlarwheel.FencingToken
	// loaded is set once all jobs of the shard have been read since it was acquired with this token.
	loaded bool
}

// jobEntry is a job of a held shard.
type jobEntry struct {
	record medlarjob.Record
	shard  medlarlease.ShardID
	// sentAt holds the time at which a command for an attempt was last sent.
	sentAt map[medlarwheel.TaskAttempt]time.Time
	// evictionStarted holds the time at which an attempt was first commanded to write a checkpoint.
	evictionStarted map[medlarwheel.TaskAttempt]time.Time
}

// workerEntry is a worker of the data centre.
type workerEntry struct {
	record   *medlarworker.Record
	commands commandQueue
	// avoidUntil is the time until which the worker gets no new tasks.
	avoidUntil time.Time
}

func newState(sc *Scheduler) *state {
	c := &sc.config
	interference := medlarplacement.NewInterferenceModel(c.Interference)
	return &state{
		scheduler: sc, ownership: medlarlease.NewOwnership(c.Lease, c.Instance), instanceLeases: medlarlease.NewInstanceLeases(c.Lease, c.Instance.ID),
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

// step does the regular work of the control loop.
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

// mayAct returns a shard with its token and reports whether the instance may act on it at now. The jobs of a shard of jobs
// must have been loaded.
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

// leave begins to give up the shards. The returned channel is closed once that is done.
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
