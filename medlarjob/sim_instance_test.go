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

// instance is an entry instance with a small shell around the decisions. What it has read, decided and is about to send
// waits for its next step, so that a freeze can come between.
type instance struct {
	sim                 *sim
	id                  medlarwheel.InstanceID
	process             medlarwheel.Incarnation
	own                 *medlarlease.Ownership
	watch               *medlarlease.InstanceLeases
	leases              *medlarlease.TaskLeases
	cache               map[medlarlease.ShardID][]medlarwheel.Row
	frozen              bool
	inbox               []medlarwheel.TaskReport
	pendingRead         func()
	mapRow              medlarwheel.Row
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
	// resent tells that the transaction was sent before without an answer, and conflicted that it then was refused.
	resent, refused bool
}

// restart replaces the process.
func (i *instance) restart() {
	entry := medlarwheel.EntryInstance{
		ID: i.id, DataCentre: "dc1", PeerAddress: "127.0.0.1:7000", Incarnation: i.process + 1, State: medlarwheel.StateLive,
	}
	*i = instance{
		sim: i.sim, id: i.id, process: i.process + 1, own: medlarlease.NewOwnership(i.sim.lease, entry),
		watch: medlarlease.NewInstanceLeases(i.sim.lease, i.id), leases: medlarlease.NewTaskLeases(i.sim.lease),
		cache: make(map[medlarlease.ShardID][]medlarwheel.Row),
	}
	i.own.SetRowVersion(i.sim.table.rows[medlarlease.InstanceKey("dc1", i.id)].Version)
}

// step does part of the work, so that steps of several instances interleave.
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
		_ = i.own.ResolveRenewal(i.sim.table.rows[medlarlease.InstanceKey("dc1", i.id)], i.unresolvedRenewalAt)
		i.unresolvedRenewalAt = time.Time{}
	}
	write, err := i.own.Renewal()
	if err != nil {
		panic(err)
	}
	if version, err := i.sim.table.transact(write); err == nil {
		i.own.RecordRenewal(i.sim.now, version)
	} else {
		i.unresolvedRenewalAt = i.sim.now
	}
}

// observe completes the read begun by the step before and begins another one.
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
		if err := i.watch.Observe(rows, sent, i.sim.now); err != nil {
			panic(err)
		}
		i.own.RecordShardMap(i.sim.shardMap(shards), sent)
		i.mapRow = shards
	}
}

func (i *instance) planShards() {
	if next, changed := i.sim.lease.PlanShards(i.sim.shardMap(i.mapRow), i.watch.Live()); changed {
		write, _ := next.Write(i.mapRow.Version)
		_, _ = i.sim.table.transact(write)
	}
}

// processOwnedShards decides for all shards that the instance owns. Sometimes it works with rows that it has read before.
func (i *instance) processOwnedShards() {
	now := i.sim.now
	for _, shard := range i.sim.shards {
		owned, ok := i.own.MayAct(shard, now)
		if !ok {
			continue
		}
		i.leases.RefreshShard(owned, i.watch, now)
		if !i.sim.table.unavailable && i.sim.pick(4) > 0 {
			i.cache[shard] = i.sim.table.scan(medlarlease.JobPrefix(shard))
		}
		for _, row := range i.cache[shard] {
			i.processJob(i.sim.record(row), owned, now)
		}
	}
	i.inbox = nil
	for _, renew := range i.leases.Renewals(i.own, now) {
		i.outgoing = append(i.outgoing, renew)
	}
	for _, a := range i.sim.agents {
		i.outgoing = append(i.outgoing, medlarlease.Renew{Worker: a.id})
		owned, ok := i.own.MayAct(medlarlease.ShardOfWorker("dc1", a.id), now)
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
	i.outgoing = append(i.outgoing, record.Orders(i.leases, i.own, now)...)
	i.injectStartWithoutProof(&record, owned)
	known := &medlarjob.Observations{
		Owned: owned, Leases: i.leases, Reports: i.inbox,
		Worker: func(id medlarwheel.WorkerID) (*medlarworker.Record, error) { return i.worker(id), nil },
		CheckpointExists: func(attempt medlarwheel.TaskAttempt) bool {
			return i.sim.objects[medlarlease.CheckpointObjectName(attempt)]
		},
	}
	if i.sim.injected == faultIgnoredLeaseExpiry {
		known.Leases = medlarlease.NewTaskLeases(i.sim.lease)
	}
	decision, err := record.Advance(known, now)
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
	booked, err := decision.UpdateLedger(ledger, medlarquota.Limits{Team: teamQuota})
	if i.sim.injected == faultNoLedger {
		booked, err = false, nil
	}
	if booked {
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

// place puts the first waiting task, or all of a gang, on random workers.
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

// commit sends the transactions decided before, whatever has happened since.
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
			i.outgoing = append(i.outgoing, record.Orders(i.leases, i.own, i.sim.now)...)
		case p.resent || errors.Is(err, medlarwheel.ErrUnavailable):
			p.refused = p.refused || !errors.Is(err, medlarwheel.ErrUnavailable)
			i.unresolved = append(i.unresolved, p)
		default:
			i.sim.recordResponse(p.ops, false)
		}
	}
}

// resolve reads back what became of transactions without an answer. One that can still take effect is sent again.
func (i *instance) resolve() {
	if i.sim.table.unavailable {
		return
	}
	lost := i.unresolved
	i.unresolved = nil
	for _, p := range lost {
		resolution := medlarworker.NotApplied
		if at := slices.IndexFunc(p.ops, func(op *rowOp) bool { return !op.release }); at >= 0 {
			expect := p.writes[slices.IndexFunc(p.writes, func(w medlarwheel.Write) bool {
				return w.Key == medlarwheel.WorkerKey(p.ops[at].worker)
			})].ExpectedVersion
			resolution = i.worker(p.ops[at].worker).Resolve(expect, p.ops[at].attempt, p.owned.Token)
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
		i.sim.fail(checkCapacity, "worker row: %v", err)
		record, _ = medlarworker.Register(emptyWorker(id), i.sim.workers)
	}
	return record
}
