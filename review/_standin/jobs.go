package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stepSpec is a step of a submission as clients send it.
type stepSpec struct {
	Count         int   `json:"count"`
	CPU           int   `json:"cpu"`
	MemMB         int   `json:"memMb"`
	EstimateMs    int   `json:"estimateMs,omitempty"`
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	LongRunning   bool  `json:"longRunning,omitempty"`
	// takes is the run time of a task of the step.
	takes time.Duration
}

type jobSpec struct {
	Spec  string     `json:"spec"`
	Steps []stepSpec `json:"steps"`
}

// job is a submission with what the runners have seen of it.
type job struct {
	id, prefix string
	spec       jobSpec
	// quiet leaves single runs out of the record.
	quiet bool
	// accepted is when a client got a 2xx answer.
	accepted time.Time
	// tasks are the tasks by step and index.
	tasks [][]taskState
}

// taskState is what the runners have seen of a task.
type taskState struct {
	starts, running int
	done            bool
	failed          int
	lastEnd         time.Time
}

// jobs are all submissions that clients have sent.
type jobs struct {
	mu   sync.Mutex
	byID map[string]*job
}

func newJobs() *jobs { return &jobs{byID: map[string]*job{}} }

func (j *jobs) add(prefix string, spec jobSpec, quiet bool) *job {
	n := &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, spec: spec, quiet: quiet}
	for _, s := range spec.Steps {
		n.tasks = append(n.tasks, make([]taskState, s.Count))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byID[n.id] = n
	return n
}

func (j *job) path() string { return j.prefix + j.id }

func (j *job) body() []byte {
	data, err := json.Marshal(j.spec)
	if err != nil {
		panic(err)
	}
	return data
}

// find returns the submission, the step and the index that a task's name stands for.
func (j *jobs) find(task string) (n *job, step, index int, ok bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0, 0, false
	}
	j.mu.Lock()
	n = j.byID[parts[0]]
	j.mu.Unlock()
	step, err1 := strconv.Atoi(parts[2])
	index, err2 := strconv.Atoi(parts[3])
	if n == nil || err1 != nil || err2 != nil || parts[1] != "0" || step >= len(n.tasks) || index >= len(n.tasks[step]) {
		return nil, 0, 0, false
	}
	return n, step, index, true
}

// update changes what is known of a task.
func (j *jobs) update(task string, change func(t *taskState)) {
	n, step, index, ok := j.find(task)
	if !ok {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	change(&n.tasks[step][index])
}

// waiting returns how many tasks of a submission neither run nor are done although their turn has come, and how many run.
func (j *jobs) waiting(n *job) (waiting, running, done int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	stepDone := make([]bool, len(n.tasks))
	for s := range n.tasks {
		turn := true
		for _, earlier := range n.spec.Steps[s].After {
			turn = turn && stepDone[earlier]
		}
		stepDone[s] = true
		for i := range n.tasks[s] {
			t := &n.tasks[s][i]
			switch {
			case t.done:
				done++
				continue
			case t.running > 0:
				running++
			case turn:
				waiting++
			}
			stepDone[s] = false
		}
	}
	return waiting, running, done
}

// submit sends a submission until it is accepted or refused for good. It notes every answer.
func (w *world) submit(n *job) bool {
	for range 5 {
		e := w.anyEdge()
		status, _ := e.call("POST", n.path(), n.body())
		w.note("client: POST %s to %s -> %d", n.path(), e.name, status)
		if status >= 200 && status < 300 {
			w.jobs.accept(n)
			return true
		}
		if status == 400 || status == 404 {
			return false
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// state asks for the state of a submission.
func (w *world) state(n *job) string {
	status, body := w.callAny("GET", n.path(), nil)
	if status != 200 {
		return strconv.Itoa(status)
	}
	var answer struct{ State string }
	if err := json.Unmarshal([]byte(body), &answer); err != nil {
		return "unreadable"
	}
	return answer.State
}

// accept records that a client got a 2xx answer.
func (j *jobs) accept(n *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n.accepted = time.Now()
}

func (j *jobs) isAccepted(n *job) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !n.accepted.IsZero()
}
