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

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// plant names a fault that a checker must find.
type plant string

const (
	plantNone       plant = ""
	plantBlind      plant = "commit without compare-and-set"
	plantBlindJob   plant = "change of a job without compare-and-set"
	plantRawStart   plant = "start without proof"
	plantOverrun    plant = "worker that runs on after its lease"
	plantSameNumber plant = "resume without bumping the attempt"
	plantNoResume   plant = "resume from the beginning"
	plantNoLoss     plant = "owner that ignores expired leases"
	plantNoLedger   plant = "admission without the ledger"
)

// table is a fake of the platform's table: compare-and-set over several rows, outages, and answers that are lost after
// the write took effect.
type table struct {
	sim     *sim
	rows    map[string]medlarwheel.Row
	version medlarwheel.RowVersion
	down    bool
	lose    bool
}

func (t *table) row(key string) (medlarwheel.Row, error) {
	row, ok := t.rows[key]
	if !ok {
		return medlarwheel.Row{}, medlarwheel.ErrNotFound
	}
	return row, nil
}

func (t *table) scan(prefix string) ([]medlarwheel.Row, error) {
	if t.down {
		return nil, medlarwheel.ErrUnavailable
	}
	var rows []medlarwheel.Row
	for _, key := range sortedKeys(t.rows) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, t.rows[key])
		}
	}
	return rows, nil
}

func (t *table) transact(writes ...medlarwheel.Write) (medlarwheel.RowVersion, error) {
	if t.down {
		return 0, medlarwheel.ErrUnavailable
	}
	for _, w := range writes {
		blind := t.sim.plantedIs(plantBlind) && strings.HasPrefix(w.Key, "worker/") ||
			t.sim.plantedIs(plantBlindJob) && strings.HasPrefix(w.Key, "job/")
		if t.rows[w.Key].Version != w.Expect && !blind {
			return 0, &medlarwheel.ConflictError{Rows: []medlarwheel.Row{t.rows[w.Key]}}
		}
	}
	t.version++
	for _, w := range writes {
		t.sim.recorded(t.rows[w.Key], w)
		t.rows[w.Key] = medlarwheel.Row{Key: w.Key, Version: t.version, Value: w.Value}
	}
	if t.lose && t.sim.pick(3) == 0 {
		return 0, medlarwheel.ErrUnavailable
	}
	return t.version, nil
}

// shardMap decodes the row of the shard map. It keeps the last one, because most reads find it unchanged.
func (s *sim) shardMap(row medlarwheel.Row) medlarlease.ShardMap {
	if row.Version == 0 {
		return medlarlease.NewShardMap("dc1")
	}
	if row.Version != s.mapVersion {
		s.mapVersion = row.Version
		s.mapDecoded, _ = medlarlease.DecodeShardMap(row)
	}
	return s.mapDecoded
}

type mail struct {
	from   *instance
	order  medlarlease.Order
	to     *instance
	report medlarwheel.TaskReport
}

// rawStart is a start that was made without a proof.
type rawStart struct{ medlarlease.StartOrder }

func (r rawStart) Target() medlarwheel.WorkerID { return r.Worker }

// sim is a data centre with three entry instances, three workers, a table and a network.
type sim struct {
	pick       func(n int) int
	planted    plant
	only       checker
	now        time.Time
	lease      medlarlease.Config
	workers    medlarworker.Config
	config     medlarjob.Config
	quota      medlarwheel.Resources
	table      table
	instances  []*instance
	agents     []*agent
	shards     []medlarlease.ShardID
	mail       []mail
	cut        map[string]bool
	objects    map[string]bool
	failing    map[medlarwheel.JobID]bool
	faulty     bool
	seq        int64
	checked    medlarwheel.RowVersion
	mapVersion medlarwheel.RowVersion
	mapDecoded medlarlease.ShardMap
	logs       []*runLog
	err        error
}

func newSim(pick func(n int) int, planted plant) *sim {
	s := &sim{
		pick: pick, planted: planted, now: start, lease: medlarlease.Default(), workers: medlarworker.Default(),
		config: medlarjob.Default(), quota: medlarwheel.Resources{CPU: 5}, faulty: true,
		cut: make(map[string]bool), objects: make(map[string]bool), failing: make(map[medlarwheel.JobID]bool),
	}
	s.lease.Horizon = time.Minute
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
		i := &instance{sim: s, id: medlarwheel.InstanceID(fmt.Sprintf("e%d", n))}
		i.restart()
		s.instances = append(s.instances, i)
	}
	s.submit("plain", "allotments", 1, false)
	s.submit("wide", "allotments", 3, false)
	s.submit("gang", "washing", 2, true)
	s.failing[s.submit("bad", "washing", 1, false)] = true
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
	}, &medlarjob.Surroundings{
		Template: &medlarwheel.Template{
			Name: "round", Kind: medlarwheel.KindBatch, Class: medlarwheel.ClassStandard,
			Task: &medlarwheel.TaskSpec{Size: medlarwheel.Resources{CPU: 2}, Gang: gang},
		},
		Shapes: []medlarjob.Shape{{Size: emptyWorker("w").Size, Live: 3}},
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

// actions are the moves of the state machine.
func (s *sim) actions() map[string]func() {
	return map[string]func(){
		"advance": func() { s.advance(time.Duration(1+s.pick(2500)) * time.Millisecond) },
		"step":    func() { s.instances[s.pick(len(s.instances))].step() },
		"round": func() {
			for _, i := range s.instances {
				i.step()
			}
		},
		"deliver": func() { s.deliver(s.pick(8)) },
		"flush":   func() { s.deliver(len(s.mail)) },
		"fault":   s.fault,
	}
}

func (s *sim) advance(by time.Duration) {
	s.now = s.now.Add(by)
	for _, a := range s.agents {
		a.tick()
	}
	s.check()
}

// deliver hands over messages in any order. While there are faults some are lost or come twice.
func (s *sim) deliver(count int) {
	for range min(count, len(s.mail)) {
		at := s.pick(len(s.mail))
		m := s.mail[at]
		lost := s.faulty && s.pick(10) == 0
		if !s.faulty || s.pick(10) > 0 {
			s.mail = slices.Delete(s.mail, at, at+1)
		}
		if lost {
			continue
		}
		if m.to != nil {
			m.to.receive(m.report)
			continue
		}
		for _, a := range s.agents {
			if a.id != m.order.Target() || s.cut[string(a.id)+string(m.from.id)] {
				continue
			}
			for _, report := range a.handle(m.order) {
				s.tell(m.from, report)
			}
		}
		s.check()
	}
}

func (s *sim) tell(to *instance, report medlarwheel.TaskReport) {
	if !s.cut[string(report.Worker)+string(to.id)] {
		s.mail = append(s.mail, mail{to: to, report: report})
	}
}

func (i *instance) receive(report medlarwheel.TaskReport) {
	i.leases.Heard(report.Worker, medlarlease.ReadingOf(&report), i.sim.now)
	if report.Task != "" && len(i.inbox) < 100 {
		i.inbox = append(i.inbox, report)
	}
}

func (s *sim) fault() {
	i := s.instances[s.pick(len(s.instances))]
	a := s.agents[s.pick(len(s.agents))]
	switch s.pick(12) {
	case 0, 1, 2:
		i.frozen = !i.frozen
	case 3:
		i.restart()
	case 4:
		s.table.down = !s.table.down
	case 5:
		s.table.lose = !s.table.lose
	case 6, 7:
		link := string(a.id) + string(i.id)
		s.cut[link] = !s.cut[link]
	case 8, 9:
		s.isolate(a, !s.cut[string(a.id)+string(i.id)])
	case 10:
		a.boot()
	case 11:
		rows, _ := s.table.scan("job/")
		if len(rows) == 0 || s.pick(5) > 0 {
			return
		}
		record, _ := medlarjob.Decode(rows[s.pick(len(rows))], s.config)
		d := record.Cancel("asked", s.now)
		if writes, err := d.Writes(); err == nil {
			_, _ = s.table.transact(writes...)
		}
	}
}

// isolate cuts a worker off from all instances, or ends that.
func (s *sim) isolate(a *agent, cut bool) {
	for _, i := range s.instances {
		s.cut[string(a.id)+string(i.id)] = cut
	}
}

// settle ends all faults, but for a worker that may stay cut off, and lets the data centre work until every job is final.
func (s *sim) settle() error {
	s.faulty, s.table.down, s.table.lose = false, false, false
	clear(s.cut)
	if s.pick(2) == 0 {
		s.isolate(s.agents[s.pick(len(s.agents))], true)
	}
	for _, i := range s.instances {
		i.frozen = false
	}
	for range 2000 {
		if s.err != nil {
			return s.err
		}
		if s.allFinal() {
			s.checkEnd()
			return s.err
		}
		s.advance(500 * time.Millisecond)
		for _, i := range s.instances {
			i.step()
		}
		s.deliver(len(s.mail))
	}
	s.fail(checkFinal, "jobs without a final state: %v", s.unfinished())
	return s.err
}

func (s *sim) plantedIs(p plant) bool { return s.planted == p }

// fail records the first violation that a checker finds. While a fault is planted only its checker counts.
func (s *sim) fail(by checker, format string, arguments ...any) {
	if s.err == nil && (s.only == "" || s.only == by) {
		s.err = fmt.Errorf(string(by)+": "+format, arguments...)
	}
}

// tamper plants faults of the job's row.
func (s *sim) tamper(writes []medlarwheel.Write) []medlarwheel.Write {
	if !s.plantedIs(plantSameNumber) && !s.plantedIs(plantNoResume) {
		return writes
	}
	for at := range writes {
		var job medlarwheel.Job
		if !strings.HasPrefix(writes[at].Key, "job/") || json.Unmarshal(writes[at].Value, &job) != nil {
			continue
		}
		for n := range job.Tasks {
			task := &job.Tasks[n]
			if s.plantedIs(plantNoResume) {
				task.Checkpoint, task.Saved = 0, 0
				if task.Run != nil {
					task.Run.ResumeFrom = 0
				}
			} else if task.State == medlarwheel.JobSuspended && task.Attempt == 2 {
				task.Attempt, task.Checkpoint, task.Saved, task.Ended = 1, 0, 0, nil
			}
		}
		writes[at].Value, _ = json.Marshal(&job)
	}
	return writes
}

// plantRawStart starts a running attempt on another worker, as an owner would that guesses that its worker is gone.
func (i *instance) plantRawStart(r *medlarjob.Record, owned medlarlease.OwnedShard) {
	if !i.sim.plantedIs(plantRawStart) || r.Job().State != medlarwheel.JobRunning || i.sim.pick(10) > 0 {
		return
	}
	a := i.sim.agents[i.sim.pick(len(i.sim.agents))]
	until := a.reading()
	until.Uptime += medlarwheel.Duration(i.sim.lease.TaskTerm)
	i.outgoing = append(i.outgoing, rawStart{medlarlease.StartOrder{
		Worker: a.id, Token: owned.Token, Until: until, Size: r.Job().Spec.Size,
		Attempt: medlarwheel.TaskAttempt{Task: r.Job().TaskID(0), Attempt: r.Job().Tasks[0].Attempt + 1},
	}})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
