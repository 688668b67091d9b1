package medlarjob_test

import (
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
	sim      *sim
	id       medlarwheel.InstanceID
	own      *medlarlease.Ownership
	watch    *medlarlease.Watch
	leases   *medlarlease.TaskLeases
	acquired map[medlarlease.ShardID]acquisition
	cache    map[string][]medlarwheel.Row
	frozen   bool
	inbox    []medlarwheel.TaskReport
	read     func()
	mapRow   medlarwheel.Row
	pending  []pendingBatch
	outgoing []medlarlease.Order
	lostSent time.Time
	process  medlarwheel.Incarnation
}

type acquisition struct {
	token medlarwheel.FencingToken
	at    time.Time
}

type pendingBatch struct {
	writes   []medlarwheel.Write
	decision medlarjob.Decision
	owned    medlarlease.OwnedShard
}

// restart replaces the process.
func (i *instance) restart() {
	i.process++
	entry := medlarwheel.EntryInstance{
		ID: i.id, DataCentre: "dc1", PeerAddress: "127.0.0.1:7000", Incarnation: i.process, State: medlarwheel.StateLive,
	}
	*i = instance{
		sim: i.sim, id: i.id, process: i.process, own: medlarlease.NewOwnership(i.sim.lease, entry),
		watch: medlarlease.NewWatch(i.sim.lease, i.id), leases: medlarlease.NewTaskLeases(i.sim.lease),
		acquired: make(map[medlarlease.ShardID]acquisition), cache: make(map[string][]medlarwheel.Row),
	}
	if row, err := i.sim.table.row(medlarlease.InstanceKey("dc1", i.id)); err == nil {
		i.own.Adopt(row.Version)
	}
}

// step does part of the work, so that steps of several instances interleave.
func (i *instance) step() {
	if i.frozen {
		return
	}
	for _, work := range []func(){i.commit, i.send, i.renew, i.look, i.plan, i.control} {
		if i.sim.pick(4) > 0 {
			work()
		}
	}
}

func (i *instance) renew() {
	sent := i.sim.now
	if !i.lostSent.IsZero() {
		if row, err := i.sim.table.row(medlarlease.InstanceKey("dc1", i.id)); err == nil {
			_ = i.own.ReadBack(row, i.lostSent)
			i.lostSent = time.Time{}
		}
	}
	write, err := i.own.Renewal()
	if err != nil {
		panic(err)
	}
	if version, err := i.sim.table.transact(write); err == nil {
		i.own.Renewed(sent, version)
	} else {
		i.lostSent = sent
	}
}

// look completes the read begun by the step before and begins another one.
func (i *instance) look() {
	if i.read != nil {
		i.read()
	}
	sent := i.sim.now
	shards, _ := i.sim.table.row(medlarlease.ShardMapKey("dc1"))
	rows, err := i.sim.table.scan(medlarlease.InstancePrefix("dc1"))
	i.read = func() {
		if err != nil {
			return
		}
		if err := i.watch.Observe(rows, sent, i.sim.now); err != nil {
			panic(err)
		}
		i.own.SawMap(i.sim.shardMap(shards), sent)
		i.mapRow = shards
	}
}

func (i *instance) plan() {
	if next, changed := i.sim.lease.PlanShards(i.sim.shardMap(i.mapRow), i.watch.Live()); changed {
		write, _ := next.Write(i.mapRow.Version)
		_, _ = i.sim.table.transact(write)
	}
}

// control decides for all shards that the instance owns.
func (i *instance) control() {
	now := i.sim.now
	for _, shard := range i.sim.shards {
		owned, ok := i.own.MayAct(shard, now)
		if !ok {
			continue
		}
		if i.acquired[shard].token != owned.Token {
			i.leases.DropShard(shard)
			i.acquired[shard] = acquisition{token: owned.Token, at: now}
		}
		if i.watch.Settled(owned.Token, i.acquired[shard].at) {
			i.leases.Settle(owned, now)
		}
		prefix := medlarlease.JobPrefix(shard)
		if rows, err := i.sim.table.scan(prefix); err == nil && i.sim.pick(4) > 0 {
			i.cache[prefix] = rows
		}
		for _, row := range i.cache[prefix] {
			i.handle(row, owned, now)
		}
	}
	for _, renew := range i.leases.Renewals(i.own, now) {
		i.outgoing = append(i.outgoing, renew)
	}
	for _, a := range i.sim.agents {
		i.outgoing = append(i.outgoing, medlarlease.Renew{Worker: a.id})
	}
	i.openTrials(now)
	i.leases.Prune(now)
}

func (i *instance) handle(row medlarwheel.Row, owned medlarlease.OwnedShard, now time.Time) {
	record, err := medlarjob.Decode(row, i.sim.config)
	if err != nil {
		panic(err)
	}
	record.Track(i.leases, owned, now)
	i.outgoing = append(i.outgoing, record.Orders(i.leases, i.own, now)...)
	i.plantRawStart(&record, owned)
	decision, err := i.decide(&record, owned, now)
	if err != nil || decision.IsEmpty() {
		return
	}
	writes, err := i.writes(&record, decision, owned)
	if err == nil {
		i.pending = append(i.pending, pendingBatch{writes: writes, decision: decision, owned: owned})
	}
}

func (i *instance) decide(
	r *medlarjob.Record, owned medlarlease.OwnedShard, now time.Time,
) (medlarjob.Decision, error) {
	job := r.Job()
	if job.State == medlarwheel.JobSubmitted {
		return r.Enqueue(owned.Token, now)
	}
	if d, err := r.Adopt(owned.Token, now); err != nil || !d.IsEmpty() {
		return d, err
	}
	for at := 0; at < len(i.inbox); at++ {
		report := i.inbox[at]
		if id, _, _ := medlarwheel.JobOfTask(report.Task); id != job.ID {
			continue
		}
		i.inbox = append(i.inbox[:at:at], i.inbox[at+1:]...)
		at--
		attempt := medlarwheel.TaskAttempt{Task: report.Task, Attempt: report.Attempt}
		report.Saved = report.Saved || report.Phase.IsEnded() && i.sim.objects[medlarlease.CheckpointObject(attempt)]
		if d, err := r.Report(&report, i.worker(report.Worker), owned.Token, now); err == nil && !d.IsEmpty() {
			return d, nil
		}
	}
	for index := range job.Tasks {
		attempt := medlarwheel.TaskAttempt{Task: job.TaskID(index), Attempt: job.Tasks[index].Attempt}
		if job.Tasks[index].Run == nil || i.sim.plantedIs(plantNoLoss) {
			continue
		}
		if proof, err := i.leases.Expired(attempt, owned); err == nil {
			saved := i.sim.objects[medlarlease.CheckpointObject(attempt)]
			return r.Lost(attempt, proof, saved, i.worker(job.Tasks[index].Run.Worker), owned.Token, now)
		}
	}
	if d, err := r.Wake(owned.Token, now); err != nil || !d.IsEmpty() {
		return d, err
	}
	if waiting := r.Waiting(); len(waiting) > 0 {
		return i.place(r, waiting, owned, now)
	}
	if i.sim.faulty && i.sim.pick(10) == 0 {
		return r.Evict([]int{i.sim.pick(len(job.Tasks))}, owned.Token, now)
	}
	return medlarjob.Decision{}, nil
}

func (i *instance) place(
	r *medlarjob.Record, waiting []int, owned medlarlease.OwnedShard, now time.Time,
) (medlarjob.Decision, error) {
	workers := make([]*medlarworker.Record, 0, len(i.sim.agents))
	incarnations := make([]medlarwheel.Incarnation, len(i.sim.agents))
	for n, a := range i.sim.agents {
		workers = append(workers, i.worker(a.id))
		incarnations[n], _ = i.leases.Incarnation(a.id, now)
	}
	if !r.Job().Spec.Gang {
		waiting = waiting[:1]
	}
	var placements []medlarjob.Placement
	for _, index := range waiting {
		n := i.sim.pick(len(workers))
		placements = append(placements, medlarjob.Placement{
			Task: index, Worker: workers[n], Incarnation: incarnations[n], Resources: r.Job().Spec.Size,
		})
	}
	return r.Place(placements, owned.Token, now)
}

// writes adds the ledger of the shard to the transaction of a decision.
func (i *instance) writes(
	before *medlarjob.Record, d medlarjob.Decision, owned medlarlease.OwnedShard,
) ([]medlarwheel.Write, error) {
	after := d.Record()
	batch := medlarjob.NewBatch(i.sim.config)
	if err := batch.Add(d); err != nil {
		return nil, err
	}
	key := medlarquota.LedgerKey("dc1", owned.Shard.Index)
	ledger := medlarquota.NewLedger(key)
	if row, err := i.sim.table.row(key); err == nil {
		ledger, _ = medlarquota.DecodeLedger(row)
	}
	had, has := useOf(before.Job()), useOf(after.Job())
	if had == has || i.sim.plantedIs(plantNoLedger) {
		return batch.Writes()
	}
	if had.Resources.CPU > has.Resources.CPU {
		had.Resources = had.Resources.Minus(has.Resources)
		if err := ledger.Refund(had, owned.Token); err != nil {
			return nil, err
		}
	} else {
		has.Resources = has.Resources.Minus(had.Resources)
		if err := ledger.Charge(has, medlarquota.Limits{Team: i.sim.quota}, owned.Token); err != nil {
			return nil, err
		}
	}
	write, err := ledger.Write()
	if err != nil {
		return nil, err
	}
	batch.AddWrite(write)
	return batch.Writes()
}

// commit sends the transactions decided before, whatever has happened since.
func (i *instance) commit() {
	pending := i.pending
	i.pending = nil
	for _, p := range pending {
		version, err := i.sim.table.transact(i.sim.tamper(p.writes)...)
		if err != nil {
			continue
		}
		record := p.decision.Committed(version)
		record.Track(i.leases, p.owned, i.sim.now)
		i.outgoing = append(i.outgoing, record.Orders(i.leases, i.own, i.sim.now)...)
	}
}

func (i *instance) send() {
	for _, order := range i.outgoing {
		i.sim.mail = append(i.sim.mail, mail{from: i, order: order})
	}
	i.outgoing = nil
}

func (i *instance) openTrials(now time.Time) {
	for _, a := range i.sim.agents {
		owned, ok := i.own.MayAct(medlarlease.ShardOfWorker("dc1", a.id), now)
		if !ok || i.sim.table.down {
			continue
		}
		if write, open, err := i.worker(a.id).OpenTrial(owned.Token, now); open && err == nil {
			_, _ = i.sim.table.transact(write)
		}
	}
}

func (i *instance) worker(id medlarwheel.WorkerID) *medlarworker.Record {
	row, err := i.sim.table.row(medlarwheel.WorkerKey(id))
	if err != nil {
		panic(err)
	}
	record, err := medlarworker.Decode(row, i.sim.workers)
	if err != nil {
		i.sim.fail(checkCapacity, "worker row: %v", err)
		record, _ = medlarworker.Register(emptyWorker(id), i.sim.workers)
	}
	return record
}
