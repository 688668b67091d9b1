package medlarjob_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarworker"
)

var (
	start     = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	teamQuota = medlarwheel.Resources{CPU: 5}
)

// table is a fake of the platform's table with compare-and-set transactions over several rows. It simulates outages, and
// lost responses to transactions that have taken effect or take effect later.
type table struct {
	sim           *sim
	rows          map[string]medlarwheel.Row
	version       medlarwheel.RowVersion
	unavailable   bool
	dropResponses bool
	delayed       [][]medlarwheel.Write
}

func (t *table) scan(prefix string) []medlarwheel.Row {
	var rows []medlarwheel.Row
	for _, key := range sortedKeys(t.rows) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, t.rows[key])
		}
	}
	return rows
}

func (t *table) transact(writes ...medlarwheel.Write) (medlarwheel.RowVersion, error) {
	dropped := t.dropResponses && t.sim.pick(3) == 0
	if dropped && t.sim.pick(2) == 0 {
		t.delayed = append(t.delayed, writes)
		return 0, medlarwheel.ErrUnavailable
	}
	version, err := t.apply(writes)
	if dropped {
		return 0, medlarwheel.ErrUnavailable
	}
	return version, err
}

// applyDelayed applies the transactions that were delayed on the network.
func (t *table) applyDelayed() {
	for _, writes := range t.delayed {
		_, _ = t.apply(writes)
	}
	t.delayed = nil
}

func (t *table) apply(writes []medlarwheel.Write) (medlarwheel.RowVersion, error) {
	if t.unavailable {
		return 0, medlarwheel.ErrUnavailable
	}
	for _, w := range writes {
		blind := t.sim.injected == faultBlindWorkerWrite && strings.HasPrefix(w.Key, "worker/") ||
			t.sim.injected == faultBlindJobWrite && strings.HasPrefix(w.Key, "job/")
		if t.rows[w.Key].Version != w.ExpectedVersion && !blind {
			return 0, &medlarwheel.ConflictError{Rows: []medlarwheel.Row{t.rows[w.Key]}}
		}
	}
	t.version++
	for _, w := range writes {
		t.rows[w.Key] = medlarwheel.Row{Key: w.Key, Version: t.version, Value: w.Value}
		t.sim.recordEnded(t.rows[w.Key])
	}
	return t.version, nil
}

// message is an order of an instance to a worker, or a report of a worker to an instance.
type message struct {
	instance *instance
	order    medlarlease.Order
	report   medlarwheel.TaskReport
}

// sim is a data centre with three entry instances, three workers, a table and a network.
type sim struct {
	pick           func(n int) int
	injected       injectedFault
	only           checker
	err            error
	now            time.Time
	lease          medlarlease.Config
	workers        medlarworker.Config
	config         medlarjob.Config
	table          table
	decoded        map[medlarwheel.RowVersion]map[string]any
	instances      []*instance
	agents         []*agent
	shards         []medlarlease.ShardID
	messages       []message
	disconnected   map[string]bool
	objects        map[string]bool
	failingJob     medlarwheel.JobID
	faultsEnabled  bool
	eventCount     int64
	checkedVersion medlarwheel.RowVersion
	runLogs        []*runLog
	rowOps         []*rowOp
}

func newSim(pick func(n int) int, injected injectedFault, only checker) *sim {
	s := &sim{
		pick: pick, injected: injected, only: only, now: start, faultsEnabled: true, lease: medlarlease.DefaultConfig(),
		workers: medlarworker.Default(), config: medlarjob.Default(), disconnected: make(map[string]bool),
		objects: make(map[string]bool), decoded: make(map[medlarwheel.RowVersion]map[string]any),
	}
	s.lease.OutageRenewalLimit = time.Minute
	s.workers.TrialWait, s.workers.MaxTrialWait = 2*time.Second, 10*time.Second
	s.config.HoldWait, s.config.MaxHoldWait, s.config.MaxAttempts = 2*time.Second, 10*time.Second, 4
	s.table = table{sim: s, rows: make(map[string]medlarwheel.Row)}
	for n, rate := range []float64{0.99, 1, 1.01} {
		a := &agent{sim: s, id: medlarwheel.WorkerID(fmt.Sprintf("w%d", n)), rate: rate}
		a.boot()
		s.agents = append(s.agents, a)
		record, _ := medlarworker.Register(emptyWorker(a.id), s.workers)
		write, _ := record.Write()
		_, _ = s.table.transact(write)
		s.instances = append(s.instances, &instance{sim: s, id: medlarwheel.InstanceID(fmt.Sprintf("e%d", n))})
		s.instances[n].restart()
	}
	s.submit("plain", "allotments", 1, false)
	s.submit("wide", "allotments", 3, false)
	s.submit("gang", "washing", 2, true)
	s.failingJob = s.submit("bad", "washing", 1, false)
	return s
}

func emptyWorker(id medlarwheel.WorkerID) medlarwheel.Worker {
	return medlarwheel.Worker{
		ID: id, DataCentre: "dc1", Rack: "r1", Address: "127.0.0.1:7100", Size: medlarwheel.Resources{CPU: 4, Memory: 10},
	}
}

func (s *sim) submit(name string, account medlarwheel.AccountID, tasks int, gang bool) medlarwheel.JobID {
	record, write, err := s.config.Submit(&medlarwheel.JobRequest{
		Name: name, Account: account, Template: "round", DataCentre: "dc1", Tasks: tasks,
	}, &medlarjob.SubmitContext{
		Template: &medlarwheel.Template{
			Name: "round", Kind: medlarwheel.KindBatch, Class: medlarwheel.ClassStandard,
			Task: &medlarwheel.TaskSpec{Size: medlarwheel.Resources{CPU: 2}, Gang: gang},
		},
		Shapes: []medlarjob.WorkerShape{{Size: emptyWorker("w").Size, Available: 3}},
	}, s.now)
	if err != nil {
		panic(err)
	}
	_, _ = s.table.transact(write)
	shard, _ := medlarlease.ShardOfJob("dc1", record.Job().ID)
	if !slices.Contains(s.shards, shard) {
		s.shards = append(s.shards, shard)
	}
	return record.Job().ID
}

// decodedOnce decodes each version of a row once and caches the result, because most reads find rows unchanged.
func decodedOnce[T any](s *sim, row medlarwheel.Row, decode func(medlarwheel.Row) (T, error)) T {
	cached := s.decoded[row.Version]
	if cached == nil {
		cached = make(map[string]any)
		s.decoded[row.Version] = cached
	}
	value, ok := cached[row.Key].(T)
	if !ok {
		var err error
		if value, err = decode(row); err != nil {
			panic(err)
		}
		cached[row.Key] = value
	}
	return value
}

func (s *sim) shardMap(row medlarwheel.Row) medlarlease.ShardMap {
	if row.Version == 0 {
		return medlarlease.NewShardMap("dc1")
	}
	return decodedOnce(s, row, medlarlease.DecodeShardMap)
}

func (s *sim) record(row medlarwheel.Row) medlarjob.Record {
	return decodedOnce(s, row, func(row medlarwheel.Row) (medlarjob.Record, error) { return medlarjob.Decode(row, s.config) })
}

func (s *sim) records() []medlarjob.Record {
	var records []medlarjob.Record
	for _, row := range s.table.scan("job/") {
		records = append(records, s.record(row))
	}
	return records
}

// actions returns the actions of the simulation by name.
func (s *sim) actions() map[string]func() {
	return map[string]func(){
		"advance": func() { s.advance(time.Duration(1+s.pick(2500)) * time.Millisecond) },
		"step":    func() { s.instances[s.pick(len(s.instances))].step() },
		"round":   s.round,
		"deliver": func() { s.deliver(s.pick(8)) },
		"flush":   func() { s.deliver(len(s.messages)) },
		"fault":   s.fault,
	}
}

func (s *sim) advance(by time.Duration) {
	s.now = s.now.Add(by)
	for _, a := range s.agents {
		a.endDueRuns()
	}
	if s.pick(3) == 0 {
		s.table.applyDelayed()
	}
	s.check()
}

func (s *sim) round() {
	for _, i := range s.instances {
		i.step()
	}
}

// deliver delivers messages in random order. While faults are enabled, some are lost or delivered twice.
func (s *sim) deliver(count int) {
	for range min(count, len(s.messages)) {
		at := s.pick(len(s.messages))
		m := s.messages[at]
		lost := s.faultsEnabled && s.pick(10) == 0
		if !s.faultsEnabled || s.pick(10) > 0 {
			s.messages = slices.Delete(s.messages, at, at+1)
		}
		switch {
		case lost:
		case m.order == nil:
			m.instance.receive(m.report)
		default:
			for _, a := range s.agents {
				if a.id == m.order.Target() && !s.disconnected[string(a.id)+string(m.instance.id)] {
					for _, report := range a.handle(m.order) {
						s.sendReport(m.instance, report)
					}
				}
			}
		}
		s.check()
	}
}

func (s *sim) sendReport(to *instance, report medlarwheel.TaskReport) {
	if !s.disconnected[string(report.Worker)+string(to.id)] {
		s.messages = append(s.messages, message{instance: to, report: report})
	}
}

func (s *sim) fault() {
	i := s.instances[s.pick(len(s.instances))]
	a := s.agents[s.pick(len(s.agents))]
	switch link := string(a.id) + string(i.id); s.pick(12) {
	case 0, 1, 2:
		i.frozen = !i.frozen
	case 3:
		i.restart()
	case 4:
		s.table.unavailable = !s.table.unavailable
	case 5:
		s.table.dropResponses = !s.table.dropResponses
	case 6, 7:
		s.disconnected[link] = !s.disconnected[link]
	case 8, 9:
		s.setIsolated(a, !s.disconnected[link])
	case 10:
		a.boot()
	case 11:
		record := s.records()[s.pick(4)]
		decision := record.Cancel("asked", s.now)
		if writes, err := decision.Writes(); err == nil && s.pick(5) == 0 {
			_, _ = s.table.transact(writes...)
		}
	}
}

// setIsolated disconnects a worker from all instances or connects it again.
func (s *sim) setIsolated(a *agent, isolated bool) {
	for _, i := range s.instances {
		s.disconnected[string(a.id)+string(i.id)] = isolated
	}
}

// runToCompletion ends all faults, except that one worker may stay disconnected, and runs the simulation until every job is
// final.
func (s *sim) runToCompletion() error {
	s.faultsEnabled, s.table.unavailable, s.table.dropResponses = false, false, false
	clear(s.disconnected)
	if s.pick(2) == 0 {
		s.setIsolated(s.agents[s.pick(len(s.agents))], true)
	}
	for _, i := range s.instances {
		i.frozen = false
	}
	for rounds := 0; rounds < 1000 && s.err == nil && !s.allFinal(); rounds++ {
		s.advance(500 * time.Millisecond)
		s.round()
		s.deliver(len(s.messages))
	}
	if !s.allFinal() {
		s.fail(checkFinal, "not every job is final after 1000 rounds")
	}
	s.checkRuns()
	s.checkWorkerRows()
	return s.err
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// injectedFault names a fault that a checker has to detect.
type injectedFault string

const (
	faultBlindWorkerWrite    injectedFault = "commit without compare-and-set"
	faultBlindJobWrite       injectedFault = "change of a job without compare-and-set"
	faultStartWithoutProof   injectedFault = "start without proof"
	faultRunPastLease        injectedFault = "worker that runs on after its lease"
	faultReusedAttemptNumber injectedFault = "resume without bumping the attempt"
	faultNoResume            injectedFault = "resume from the beginning"
	faultIgnoredLeaseExpiry  injectedFault = "owner that ignores expired leases"
	faultNoLedger            injectedFault = "admission without the ledger"
)

// injectRowFaults injects faults into writes of job rows.
func (s *sim) injectRowFaults(writes []medlarwheel.Write) []medlarwheel.Write {
	for at := range writes {
		var job medlarwheel.Job
		if s.injected != faultReusedAttemptNumber && s.injected != faultNoResume || !strings.HasPrefix(writes[at].Key, "job/") {
			continue
		}
		if err := json.Unmarshal(writes[at].Value, &job); err != nil {
			panic(err)
		}
		for n := range job.Tasks {
			task := &job.Tasks[n]
			if s.injected == faultReusedAttemptNumber && task.State == medlarwheel.JobSuspended && task.Attempt == 2 {
				task.Attempt, task.ResumeFrom, task.LatestCheckpoint, task.PreviousEnd = 1, 0, 0, nil
			}
			if s.injected == faultNoResume {
				task.ResumeFrom, task.LatestCheckpoint = 0, 0
			}
		}
		writes[at].Value, _ = json.Marshal(&job)
	}
	return writes
}

// startWithoutProof is a start order that was made without a proof.
type startWithoutProof struct{ medlarlease.StartOrder }

func (s startWithoutProof) Target() medlarwheel.WorkerID { return s.Worker }

// injectStartWithoutProof starts a running task on another worker, as an owner would do that assumes without proof that
// the task's worker has failed.
func (i *instance) injectStartWithoutProof(r *medlarjob.Record, owned medlarlease.OwnedShard) {
	if i.sim.injected != faultStartWithoutProof || r.Job().State != medlarwheel.JobRunning || i.sim.pick(10) > 0 {
		return
	}
	a := i.sim.agents[i.sim.pick(len(i.sim.agents))]
	leaseEnd := a.reading()
	leaseEnd.Uptime += medlarwheel.Duration(i.sim.lease.TaskTerm)
	i.outgoing = append(i.outgoing, startWithoutProof{medlarlease.StartOrder{
		Worker: a.id, Token: owned.Token, LeaseEnd: leaseEnd, Size: r.Job().Spec.Size,
		Attempt: medlarwheel.TaskAttempt{Task: r.Job().TaskID(0), Attempt: r.Job().Tasks[0].Attempt + 1},
	}})
}
