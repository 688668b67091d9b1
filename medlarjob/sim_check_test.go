package medlarjob_test

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"

	"github.com/anishathalye/porcupine"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarquota"
)

// checker names a check of the simulation.
type checker string

const (
	checkCapacity    checker = "no worker beyond its size"
	checkCommitments checker = "commitments match placed attempts"
	checkSingle      checker = "one run of a task at a time"
	checkOnce        checker = "an attempt starts once"
	checkResume      checker = "an attempt resumes from the last checkpoint"
	checkQuota       checker = "no team beyond its quota"
	checkHistory     checker = "history of runs"
	checkFinal       checker = "jobs end"
)

// runLog is one run of an attempt on a worker, in the order of events of the simulation.
type runLog struct {
	attempt  medlarwheel.TaskAttempt
	resume   medlarwheel.AttemptNumber
	placed   int64
	started  int64
	ended    int64
	recorded int64
	saved    bool
}

func (s *sim) tick() int64 {
	s.seq++
	return s.seq
}

// started checks an attempt that a worker begins.
func (s *sim) started(a *agent, o medlarlease.StartOrder) *runLog {
	log := &runLog{attempt: o.Attempt, resume: o.Resume, placed: s.seq, started: s.tick(), ended: math.MaxInt64}
	var used medlarwheel.Resources
	for _, run := range a.runs {
		used = used.Plus(run.order.Size)
	}
	if !used.Plus(o.Size).Fits(emptyWorker(a.id).Size) {
		s.fail(checkCapacity, "worker %s runs tasks beyond its size", a.id)
	}
	job := s.job(o.Attempt.Task)
	for _, other := range s.logs {
		if other.attempt == o.Attempt {
			s.fail(checkOnce, "attempt %v started twice", o.Attempt)
		}
	}
	if want := s.lastSaved(o.Attempt); !job.Spec.Gang && o.Resume != want {
		s.fail(checkResume, "attempt %v resumes from %d, its last checkpoint is %d", o.Attempt, o.Resume, want)
	}
	for n := range job.Tasks {
		member := job.Tasks[n].Run
		if job.Spec.Gang && member != nil && member.Number == o.Attempt.Attempt && member.ResumeFrom != o.Resume {
			s.fail(checkResume, "members of a gang resume from %d and %d", member.ResumeFrom, o.Resume)
		}
	}
	s.logs = append(s.logs, log)
	return log
}

func (s *sim) ended(log *runLog, saved bool) {
	log.ended, log.saved, log.recorded = s.tick(), saved, math.MaxInt64
}

func (s *sim) lastSaved(attempt medlarwheel.TaskAttempt) medlarwheel.AttemptNumber {
	for n := attempt.Attempt - 1; n > 0; n-- {
		if s.objects[medlarlease.CheckpointObject(medlarwheel.TaskAttempt{Task: attempt.Task, Attempt: n})] {
			return n
		}
	}
	return 0
}

func (s *sim) job(task medlarwheel.TaskID) medlarwheel.Job {
	id, _, _ := medlarwheel.JobOfTask(task)
	key, _ := medlarlease.JobKey("dc1", id)
	var job medlarwheel.Job
	if err := json.Unmarshal(s.table.rows[key].Value, &job); err != nil {
		panic(err)
	}
	return job
}

// recorded notes which runs a write of a job's row records as ended.
func (s *sim) recorded(_ medlarwheel.Row, w medlarwheel.Write) {
	var job medlarwheel.Job
	if !strings.HasPrefix(w.Key, "job/") || json.Unmarshal(w.Value, &job) != nil {
		return
	}
	for _, log := range s.logs {
		id, index, _ := medlarwheel.JobOfTask(log.attempt.Task)
		if id == job.ID && job.Tasks[index].Attempt > log.attempt.Attempt && log.recorded == math.MaxInt64 {
			log.recorded = s.tick()
		}
	}
}

// check holds after every event: one run of a task at a time, no worker beyond its size, no team beyond its quota.
func (s *sim) check() {
	runs := make(map[medlarwheel.TaskID]medlarwheel.WorkerID)
	for _, a := range s.agents {
		for task := range a.runs {
			if other, twice := runs[task]; twice {
				s.fail(checkSingle, "task %s runs on %s and %s", task, other, a.id)
			}
			runs[task] = a.id
		}
	}
	if s.table.version != s.checked {
		s.checked = s.table.version
		s.checkRows()
	}
}

func (s *sim) checkRows() {
	teams := make(map[string]medlarwheel.Resources)
	committed := make(map[medlarwheel.TaskAttempt]bool)
	ledger := make(map[string]medlarwheel.Resources)
	for key, row := range s.table.rows {
		switch {
		case strings.HasPrefix(key, "worker/"):
			var worker medlarwheel.Worker
			if err := json.Unmarshal(row.Value, &worker); err != nil || len(worker.Check()) > 0 {
				s.fail(checkCapacity, "worker row: %v %v", err, worker.Check())
			}
			for _, c := range worker.Commitments {
				committed[medlarwheel.TaskAttempt{Task: c.Task, Attempt: c.Attempt}] = true
			}
		case strings.HasPrefix(key, "quota/"):
			l, _ := medlarquota.DecodeLedger(row)
			for _, use := range l.Uses() {
				ledger[string(use.Team)] = ledger[string(use.Team)].Plus(use.Resources)
			}
		}
	}
	for key, row := range s.table.rows {
		var job medlarwheel.Job
		if !strings.HasPrefix(key, "job/") || json.Unmarshal(row.Value, &job) != nil {
			continue
		}
		teams[job.Team] = teams[job.Team].Plus(useOf(&job).Resources)
		for n := range job.Tasks {
			attempt := medlarwheel.TaskAttempt{Task: job.TaskID(n), Attempt: job.Tasks[n].Attempt}
			if job.Tasks[n].Run != nil && !committed[attempt] {
				s.fail(checkCommitments, "attempt %v is placed without a commitment", attempt)
			}
			delete(committed, attempt)
		}
	}
	for team, used := range teams {
		if !medlarquota.Within(used, s.quota) || used != ledger[team] {
			s.fail(checkQuota, "team %s has %+v, by the ledger %+v", team, used, ledger[team])
		}
	}
	if len(committed) > 0 {
		s.fail(checkCommitments, "commitments without a placed attempt: %v", committed)
	}
}

// checkEnd checks the histories once every job is final.
func (s *sim) checkEnd() {
	byTask := make(map[medlarwheel.TaskID][]porcupine.Operation)
	for _, log := range s.logs {
		ops := byTask[log.attempt.Task]
		ops = append(ops, porcupine.Operation{
			Input: runInput{begin: true, number: log.attempt.Attempt}, Call: log.placed, Return: log.started,
		}, porcupine.Operation{
			Input: runInput{number: log.attempt.Attempt}, Call: log.ended, Return: max(log.ended, log.recorded),
		})
		byTask[log.attempt.Task] = ops
	}
	for _, task := range sortedKeys(byTask) {
		if !porcupine.CheckOperations(runModel, byTask[task]) {
			s.fail(checkHistory, "history of the runs of task %s is not one run after the other", task)
		}
	}
	for id := range s.failing {
		if job := s.job(medlarwheel.TaskID(id) + ".0"); job.State == medlarwheel.JobDone {
			s.fail(checkFinal, "job that always fails ended as %s", job.State)
		}
	}
}

type runInput struct {
	begin  bool
	number medlarwheel.AttemptNumber
}

type runState struct{ held, last medlarwheel.AttemptNumber }

// runModel is a lock that is taken with a higher number each time.
var runModel = porcupine.Model{
	Init: func() any { return runState{} },
	Step: func(state, input, _ any) (bool, any) {
		st, in := state.(runState), input.(runInput)
		if in.begin {
			return st.held == 0 && in.number > st.last, runState{held: in.number, last: in.number}
		}
		return st.held == in.number, runState{last: st.last}
	},
}

func (s *sim) unfinished() []string {
	var open []string
	for _, key := range sortedKeys(s.table.rows) {
		var job medlarwheel.Job
		if !strings.HasPrefix(key, "job/") || json.Unmarshal(s.table.rows[key].Value, &job) != nil {
			continue
		}
		if !job.State.IsFinal() {
			open = append(open, fmt.Sprintf("%s %s", job.Name, job.State))
		}
	}
	return open
}

func (s *sim) allFinal() bool { return len(s.unfinished()) == 0 }

// useOf returns what a job's placed tasks have.
func useOf(job *medlarwheel.Job) medlarquota.Use {
	use := medlarquota.Use{Team: medlarquota.TeamName(job.Team), Account: job.Account, Template: job.Template}
	for i := range job.Tasks {
		if run := job.Tasks[i].Run; run != nil {
			use.Resources = use.Resources.Plus(run.Resources)
		}
	}
	return use
}
