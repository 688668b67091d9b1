package medlarjob_test

import (
	"fmt"
	"maps"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarquota"
)

// checker names a check of the simulation.
type checker string

const (
	checkCapacity      checker = "no worker beyond its size"
	checkCommitments   checker = "commitments match placed attempts"
	checkOneRunAtATime checker = "one run of a task at a time"
	checkStartedOnce   checker = "an attempt starts once"
	checkResume        checker = "an attempt resumes from the last checkpoint"
	checkQuota         checker = "no team beyond its quota"
	checkHistory       checker = "history of runs"
	checkWorkerRow     checker = "history of worker rows"
	checkFinal         checker = "jobs end"
)

// fail records the first violation that a checker finds. If only is set, violations of other checkers are ignored.
func (s *sim) fail(by checker, format string, arguments ...any) {
	if s.err == nil && (s.only == "" || s.only == by) {
		s.err = fmt.Errorf(string(by)+": "+format, arguments...)
	}
}

// runLog records one run of an attempt on a worker. Its fields are event numbers of the simulation.
type runLog struct {
	attempt  medlarwheel.TaskAttempt
	placed   int64
	started  int64
	ended    int64
	recorded int64
}

func (s *sim) nextEvent() int64 {
	s.eventCount++
	return s.eventCount
}

// recordStart checks and records an attempt that a worker starts.
func (s *sim) recordStart(a *agent, o medlarlease.StartOrder) *runLog {
	used := o.Size
	for _, run := range a.runs {
		used = used.Plus(run.order.Size)
	}
	if !used.Fits(emptyWorker(a.id).Size) {
		s.fail(checkCapacity, "worker %s runs tasks of %+v in total, more than its size", a.id, used)
	}
	for _, other := range s.runLogs {
		if other.attempt == o.Attempt {
			s.fail(checkStartedOnce, "attempt %v started twice", o.Attempt)
		}
	}
	s.checkResume(o)
	s.runLogs = append(s.runLogs, &runLog{
		attempt: o.Attempt, placed: s.eventCount, started: s.nextEvent(), ended: math.MaxInt64, recorded: math.MaxInt64,
	})
	return s.runLogs[len(s.runLogs)-1]
}

// checkResume checks that a task resumes from its last checkpoint, and all members of a gang from the same one.
func (s *sim) checkResume(o medlarlease.StartOrder) {
	id, _, _ := medlarwheel.ParseTaskID(o.Attempt.Task)
	key, _ := medlarlease.JobKey("dc1", id)
	record := s.record(s.table.rows[key])
	for _, member := range record.Job().Tasks {
		gang := record.Job().Spec.Gang && member.Run != nil && member.Run.Number == o.Attempt.Attempt
		if gang && member.Run.ResumeFrom != o.ResumeFrom {
			s.fail(checkResume, "members of a gang resume from %d and %d", member.Run.ResumeFrom, o.ResumeFrom)
		}
	}
	last := o.Attempt
	for last.Attempt--; last.Attempt > 0 && !s.objects[medlarlease.CheckpointObjectName(last)]; last.Attempt-- {
	}
	if !record.Job().Spec.Gang && o.ResumeFrom != last.Attempt {
		s.fail(checkResume, "attempt %v resumes from %d, its last checkpoint is %d", o.Attempt, o.ResumeFrom, last.Attempt)
	}
}

// recordEnded records which runs have ended by a job's row.
func (s *sim) recordEnded(row medlarwheel.Row) {
	if !strings.HasPrefix(row.Key, "job/") {
		return
	}
	record := s.record(row)
	for _, log := range s.runLogs {
		id, index, _ := medlarwheel.ParseTaskID(log.attempt.Task)
		if id == record.Job().ID && record.Job().Tasks[index].Attempt > log.attempt.Attempt {
			log.recorded = min(log.recorded, s.nextEvent())
		}
	}
}

// check checks the invariants that hold after every event.
func (s *sim) check() {
	runs := make(map[medlarwheel.TaskID]medlarwheel.WorkerID)
	for _, a := range s.agents {
		for task := range a.runs {
			if other, twice := runs[task]; twice {
				s.fail(checkOneRunAtATime, "task %s runs on %s and %s", task, other, a.id)
			}
			runs[task] = a.id
		}
	}
	if s.table.version != s.checkedVersion {
		s.checkedVersion = s.table.version
		s.checkRows()
	}
}

// checkRows checks that the rows of workers, jobs and ledgers agree with each other.
func (s *sim) checkRows() {
	committed := make(map[medlarwheel.TaskAttempt]bool)
	for _, a := range s.agents {
		worker := s.instances[0].worker(a.id).Worker()
		for _, c := range worker.Commitments {
			committed[medlarwheel.TaskAttempt{Task: c.Task, Attempt: c.Attempt}] = true
		}
	}
	teams := make(map[medlarquota.TeamName]medlarwheel.Resources)
	for _, record := range s.records() {
		usage := record.QuotaUsage()
		teams[usage.Team] = teams[usage.Team].Plus(usage.Resources)
		for n, task := range record.Job().Tasks {
			attempt := medlarwheel.TaskAttempt{Task: record.Job().TaskID(n), Attempt: task.Attempt}
			if (task.Run != nil) != committed[attempt] {
				s.fail(checkCommitments, "attempt %v is placed: %v, committed: %v", attempt, task.Run != nil, committed[attempt])
			}
			delete(committed, attempt)
		}
	}
	if len(committed) > 0 {
		s.fail(checkCommitments, "commitments of other attempts: %v", committed)
	}
	for _, row := range s.table.scan("quota/") {
		ledger, _ := medlarquota.DecodeLedger(row)
		for _, usage := range ledger.Usages() {
			if teams[usage.Team] != usage.Resources {
				s.fail(checkQuota, "tasks of team %s use %+v, the ledger has %+v", usage.Team, teams[usage.Team], usage.Resources)
			}
		}
	}
	for team, used := range teams {
		if !medlarquota.WithinQuota(used, teamQuota) {
			s.fail(checkQuota, "team %s uses %+v, more than its quota", team, used)
		}
	}
}

// checkRuns checks that the runs of each task are linearizable as the holders of a lock, with a higher attempt number each
// time. The lock is acquired between the placement of the attempt and its start, and released between its end and the write
// that records the end.
func (s *sim) checkRuns() {
	type event struct {
		begin  bool
		number medlarwheel.AttemptNumber
	}
	type state struct{ held, last medlarwheel.AttemptNumber }
	model := porcupine.Model{
		Init: func() any { return state{} },
		Step: func(before, input, _ any) (bool, any) {
			st, in := before.(state), input.(event)
			if in.begin {
				return st.held == 0 && in.number > st.last, state{held: in.number, last: in.number}
			}
			return st.held == in.number, state{last: st.last}
		},
	}
	histories := make(map[medlarwheel.TaskID][]porcupine.Operation)
	for _, log := range s.runLogs {
		task, number := log.attempt.Task, log.attempt.Attempt
		histories[task] = append(histories[task],
			porcupine.Operation{Input: event{true, number}, Call: log.placed, Return: log.started},
			porcupine.Operation{Input: event{false, number}, Call: log.ended, Return: max(log.ended, log.recorded)})
	}
	for _, task := range sortedKeys(histories) {
		if !porcupine.CheckOperations(model, histories[task]) {
			s.fail(checkHistory, "runs of task %s overlap or their attempt numbers do not increase", task)
		}
	}
}

// rowOp is a commitment or a release on a worker's row, as seen by the instance that sent the transaction.
type rowOp struct {
	worker     medlarwheel.WorkerID
	attempt    medlarwheel.TaskAttempt
	cpu        medlarwheel.MilliCPU
	release    bool
	unresolved bool
	refused    bool
	call, end  int64
}

// rowOpsOf lists what a decision changes on workers' rows.
func (s *sim) rowOpsOf(before *medlarjob.Record, d *medlarjob.Decision) []*rowOp {
	var ops []*rowOp
	after := d.Record()
	for n := range before.Job().Tasks {
		had, has := before.Job().Tasks[n].Run, after.Job().Tasks[n].Run
		for _, run := range []*medlarwheel.Attempt{had, has} {
			if run == nil || had != nil && has != nil && had.Number == has.Number {
				continue
			}
			attempt := medlarwheel.TaskAttempt{Task: before.Job().TaskID(n), Attempt: run.Number}
			ops = append(ops, &rowOp{
				worker: run.Worker, attempt: attempt, cpu: run.Resources.CPU, release: run == had, call: s.nextEvent(),
			})
		}
	}
	return ops
}

// recordSent records that a transaction was sent. Without a response it may take effect at any time or never.
func (s *sim) recordSent(ops []*rowOp) {
	for _, op := range ops {
		op.end, op.unresolved = math.MaxInt64, true
	}
	s.rowOps = append(s.rowOps, ops...)
}

// recordResponse records that a transaction took effect or conflicted.
func (s *sim) recordResponse(ops []*rowOp, applied bool) {
	for _, op := range ops {
		op.end, op.unresolved, op.refused = s.nextEvent(), false, !applied
	}
}

// checkWorkerRows checks that the history of each worker's row is linearizable as a set of commitments with a capacity.
func (s *sim) checkWorkerRows() {
	type state map[medlarwheel.TaskAttempt]medlarwheel.MilliCPU
	model := porcupine.Model{
		Init:  func() any { return state{} },
		Equal: func(a, b any) bool { return maps.Equal(a.(state), b.(state)) },
		Step: func(before, input, _ any) (bool, any) {
			op, next := input.(*rowOp), maps.Clone(before.(state))
			used, held := op.cpu, false
			for attempt, cpu := range next {
				used, held = used+cpu, held || attempt == op.attempt
			}
			legal := op.release == held && (op.release || used <= emptyWorker(op.worker).Size.CPU)
			if legal && op.release {
				delete(next, op.attempt)
			} else if legal {
				next[op.attempt] = op.cpu
			}
			return legal || op.unresolved, next
		},
	}
	histories := make(map[medlarwheel.WorkerID][]porcupine.Operation)
	for _, op := range s.rowOps {
		if !op.refused {
			histories[op.worker] = append(histories[op.worker], porcupine.Operation{Input: op, Call: op.call, Return: op.end})
		}
	}
	for _, worker := range sortedKeys(histories) {
		if !porcupine.CheckOperations(model, histories[worker]) {
			s.fail(checkWorkerRow, "commitments of worker %s are not linearizable", worker)
		}
	}
}

func (s *sim) allFinal() bool {
	for _, record := range s.records() {
		if !record.Job().State.IsFinal() {
			return false
		}
	}
	return true
}
