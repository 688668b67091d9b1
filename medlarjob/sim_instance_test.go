package medlarjob_test

import (
	"errors"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarquota"
	"medlarwheel/medlarworker"
)

// instance is an entry instance that makes decisions and sends them. What it has read, decided and queued for sending waits
// for its next step, so that it can freeze in between.
type instance struct {
	sim                 *sim
	id                  medlarwheel.InstanceID
	incarnation         medlarwheel.Incarnation
	ownership           *medlarlease.Ownership
	instanceLeases      *medlarlease.InstanceLeases
	leases              *medlarlease.TaskLeases
	cache               map[medlarlease.ShardID][]medlarwheel.Row
	frozen              bool
	inbox               []medlarwheel.TaskReport
	pendingRead         func()
	shardMapRow         medlarwheel.Row
	pending             []pendingBatch
	unresolved          []pendingBatch
	outgoing            []medlarlease.Order
	unresolvedRenewalAt time.Time
}

type pendingBatch struct {
	writes   []medlarwheel.Write
	ops      []*rowOp
	decision medlarjob.Decision
	owned    medlarlease.OwnedShard
	// resent is set if the transaction was sent again after a lost response, and refused if it then conflicted.
	resent, refused bool
}

// restart replaces the instance by a new process without its state.
func (i *instance) restart() {
	entry := medlarwheel.EntryInstance{
		ID: i.id, DataCentre: "dc1", PeerAddress: "127.0.0.1:7000", Incarnation: i.incarnation + 1, State: medlarwheel.StateLive,
	}
	*i = instance{
		sim: i.sim, id: i.id, incarnation: i.incarnation + 1, ownership: medlarlease.NewOwnership(i.sim.lease, entry),
		instanceLeases: medlarlease.NewInstanceLeases(i.sim.lease, i.id), leases: medlarlease.NewTaskLeases(i.sim.lease),
		cache: make(map[medlarlease.ShardID][]medlarwheel.Row),
	}
	i.ownership.SetRowVersion(i.sim.table.rows[medlarlease.InstanceKey("dc1", i.id)].Version)
}

// step does a random part of the work, so that the work of several instances interleaves.
func (i *instance) step() {
	if i.frozen {
		return
	}
	for _, work := range []func(){i.resolve, i.commit, i.send, i.renew, i.observe, i.planShards, i.processOwnedShards} {
		if i.sim.pick(4) > 0 {
			work()
		}
	}
}

func (i *instance) renew() {
	if !i.unresolvedRenewalAt.IsZero() {
		if i.sim.table.unavailable {
			return
		}
		_ = i.ownership.ResolveRenewal(i.sim.table.rows[medlarlease.InstanceKey("dc1", i.id)], i.unresolvedRenewalAt)
		i.unresolvedRenewalAt = time.Time{}
	}
	write, err := i.ownership.Renewal()
	if err != nil {
		panic(err)
	}
	if version, err := i.sim.table.transact(write); err == nil {
		i.ownership.RecordRenewal(i.sim.now, version)
	} else {
		i.unresolvedRenewalAt = i.sim.now
	}
}

// observe completes the read that the previous step started and starts another one.
func (i *instance) observe() {
	if i.pendingRead != nil {
		i.pendingRead()
		i.pendingRead = nil
	}
	if i.sim.table.unavailable {
		return
	}
	sent, shards := i.sim.now, i.sim.table.rows[medlarlease.ShardMapKey("dc1")]
	rows := i.sim.table.scan(medlarlease.InstancePrefix("dc1"))
	i.pendingRead = func() {
		if err := i.instanceLeases.Observe(rows, sent, i.sim.now); err != nil {
			panic(err)
		}
		i.ownership.RecordShardMap(i.sim.shardMap(shards), sent)
		i.shardMapRow = shards
	}
}

func (i *instance) planShards() {
	if next, changed := i.sim.lease.PlanShards(i.sim.shardMap(i.shardMapRow), i.instanceLeases.Live()); changed {
		write, _ := next.Write(i.shardMapRow.Version)
		_, _ = i.sim.table.transact(write)
	}
}

// processOwnedShards makes decisions for all shards that the instance owns. Sometimes it uses rows from an earlier read.
func (i *instance) processOwnedShards() {
	now := i.sim.now
	for _, shard := range i.sim.shards {
		owned, ok := i.ownership.MayAct(shard, now)
		if !ok {
			continue
		}
		i.leases.RefreshShard(owned, i.instanceLeases, now)
		if !i.sim.table.unavailable && i.sim.pick(4) > 0 {
			i.cache[shard] = i.sim.table.scan(medlarlease.JobPrefix(shard))
		}
		for _, row := range i.cache[shard] {
			i.processJob(i.sim.record(row), owned, now)
		}
	}
	i.inbox = nil
	for _, renew := range i.leases.Renewals(i.ownership, now) {
		i.outgoing = append(i.outgoing, renew)
	}
	for _, a := range i.sim.agents {
		i.outgoing = append(i.outgoing, medlarlease.Renew{Worker: a.id})
		owned, ok := i.ownership.MayAct(medlarlease.ShardOfWorker("dc1", a.id), now)
		if write, open, err := i.worker(a.id).OpenTrial(owned.Token, now); ok && open && err == nil {
			_, _ = i.sim.table.transact(write)
		}
	}
	i.leases.Prune(now)
}

func (i *instance) processJob(record medlarjob.Record, owned medlarlease.OwnedShard, now time.Time) {
	for _, p := range slices.Concat(i.unresolved, i.pending) {
		if decided := p.decision.Record(); decided.Key() == record.Key() {
			return
		}
	}
	record.TrackLeases(i.leases, owned, now)
	i.outgoing = append(i.outgoing, record.Orders(i.leases, i.ownership, now)...)
	i.injectStartWithoutProof(&record, owned)
	observations := &medlarjob.Observations{
		Owned: owned, Leases: i.leases, Reports: i.inbox,
		Worker: func(id medlarwheel.WorkerID) (*medlarworker.Record, error) { return i.worker(id), nil },
		CheckpointExists: func(attempt medlarwheel.TaskAttempt) bool {
			return i.sim.objects[medlarlease.CheckpointObjectName(attempt)]
		},
	}
	if i.sim.injected == faultIgnoredLeaseExpiry {
		observations.Leases = medlarlease.NewTaskLeases(i.sim.lease)
	}
	decision, err := record.Advance(observations, now)
	if err == nil && decision.IsEmpty() {
		decision, err = i.place(&record, owned, now)
	}
	if err == nil && decision.IsEmpty() && i.sim.faultsEnabled && i.sim.pick(10) == 0 {
		decision, err = record.Evict([]int{i.sim.pick(len(record.Job().Tasks))}, owned.Token, now)
	}
	if err != nil || decision.IsEmpty() {
		return
	}
	key := medlarquota.LedgerKey("dc1", owned.Shard.Index)
	ledger := medlarquota.NewLedger(key)
	if row := i.sim.table.rows[key]; row.Version > 0 {
		ledger, _ = medlarquota.DecodeLedger(row)
	}
	batch := medlarjob.NewBatch(i.sim.config)
	changed, err := decision.UpdateLedger(ledger, medlarquota.Limits{Team: teamQuota})
	if i.sim.injected == faultNoLedger {
		changed, err = false, nil
	}
	if changed {
		write, _ := ledger.Write()
		batch.AddWrite(write)
	}
	if err != nil || batch.Add(decision) != nil {
		return
	}
	if writes, err := batch.Writes(); err == nil {
		i.pending = append(i.pending, pendingBatch{
			writes: writes, ops: i.sim.rowOpsOf(&record, &decision), decision: decision, owned: owned,
		})
	}
}

// place places the first waiting task, or all tasks of a gang, on random workers.
func (i *instance) place(
	r *medlarjob.Record, owned medlarlease.OwnedShard, now time.Time,
) (medlarjob.Decision, error) {
	waiting := r.WaitingTasks()
	if len(waiting) == 0 {
		return medlarjob.Decision{}, nil
	}
	if !r.Job().Spec.Gang {
		waiting = waiting[:1]
	}
	workers := make(map[medlarwheel.WorkerID]*medlarworker.Record)
	var placements []medlarjob.Placement
	for _, index := range waiting {
		id := i.sim.agents[i.sim.pick(len(i.sim.agents))].id
		if workers[id] == nil {
			workers[id] = i.worker(id)
		}
		incarnation, _ := i.leases.Incarnation(id, now)
		placements = append(placements, medlarjob.Placement{
			Task: index, Worker: workers[id], Incarnation: incarnation, Resources: r.Job().Spec.Size,
		})
	}
	return r.Place(placements, owned.Token, now)
}

// commit sends the transactions of earlier decisions, whatever has happened since.
func (i *instance) commit() {
	pending := i.pending
	i.pending = nil
	for _, p := range pending {
		if !p.resent {
			i.sim.recordSent(p.ops)
		}
		version, err := i.sim.table.transact(i.sim.injectRowFaults(p.writes)...)
		switch {
		case err == nil:
			i.sim.recordResponse(p.ops, true)
			record := p.decision.Committed(version)
			record.TrackLeases(i.leases, p.owned, i.sim.now)
			i.outgoing = append(i.outgoing, record.Orders(i.leases, i.ownership, i.sim.now)...)
		case p.resent || errors.Is(err, medlarwheel.ErrUnavailable):
			p.refused = p.refused || !errors.Is(err, medlarwheel.ErrUnavailable)
			i.unresolved = append(i.unresolved, p)
		default:
			i.sim.recordResponse(p.ops, false)
		}
	}
}

// resolve reads the rows back to find the outcome of transactions whose response was lost. A transaction that can still
// take effect is sent again.
func (i *instance) resolve() {
	if i.sim.table.unavailable {
		return
	}
	unresolved := i.unresolved
	i.unresolved = nil
	for _, p := range unresolved {
		resolution := medlarworker.NotApplied
		if at := slices.IndexFunc(p.ops, func(op *rowOp) bool { return !op.release }); at >= 0 {
			expectedVersion := p.writes[slices.IndexFunc(p.writes, func(w medlarwheel.Write) bool {
				return w.Key == medlarwheel.WorkerKey(p.ops[at].worker)
			})].ExpectedVersion
			resolution = i.worker(p.ops[at].worker).Resolve(expectedVersion, p.ops[at].attempt, p.owned.Token)
		}
		switch {
		case resolution == medlarworker.Unresolved && p.refused:
			i.sim.recordResponse(p.ops, false)
		case resolution == medlarworker.Unresolved:
			p.resent = true
			i.pending = append(i.pending, p)
		case resolution == medlarworker.Applied:
			i.sim.recordResponse(p.ops, true)
		}
	}
}

func (i *instance) send() {
	for _, order := range i.outgoing {
		i.sim.messages = append(i.sim.messages, message{instance: i, order: order})
	}
	i.outgoing = nil
}

func (i *instance) receive(report medlarwheel.TaskReport) {
	i.leases.RecordReading(report.Worker, medlarlease.ClockReadingOf(&report), i.sim.now)
	if report.Task != "" {
		i.inbox = append(i.inbox, report)
	}
}

func (i *instance) worker(id medlarwheel.WorkerID) *medlarworker.Record {
	record, err := medlarworker.Decode(i.sim.table.rows[medlarwheel.WorkerKey(id)], i.sim.workers)
	if err != nil {
		i.sim.fail(checkCapacity, "row of worker %s cannot be decoded: %v", id, err)
		record, _ = medlarworker.Register(emptyWorker(id), i.sim.workers)
	}
	return record
}
