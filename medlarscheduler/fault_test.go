package medlarscheduler_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarscheduler"
	"medlarwheel/standin/medlaragent"
)

// Guards against tasks that are lost or run twice when the owner of a job dies without a word.
func TestKilledOwnerIsReplacedWithoutRepeatingTasks(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 3, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 4*time.Second)}
	instances := map[medlarwheel.InstanceID]*instance{
		"entry-1": w.start("entry-1", templates, nil), "entry-2": w.start("entry-2", templates, nil),
	}
	// The other instance must have loaded shards before, so that it has to read the ones that it takes over.
	eventually(t, "balanced shards", 20*time.Second, func() bool { return w.otherAccount() != "" })
	job := w.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "all tasks running", 20*time.Second, func() bool { return w.running(job.ID) == 8 })
	owner, _ := w.owner(job.ID, instances)
	owner.kill()
	eventually(t, "job done", 30*time.Second, func() bool { return w.job(job.ID).State == medlarwheel.JobDone })
	w.checkHistory()
	if starts := len(w.events()) / 2; starts != 8 {
		t.Errorf("%d starts of 8 tasks", starts)
	}
	if now, _ := w.owner(job.ID, instances); now == owner {
		t.Error("the killed instance still owns the job")
	}
}

// Guards against shards that stay with an instance that has left, until its lease runs out.
func TestLeavingMovesShardsAtOnce(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}
	instances := map[medlarwheel.InstanceID]*instance{
		"entry-1": w.start("entry-1", templates, nil), "entry-2": w.start("entry-2", templates, nil),
	}
	job := w.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "a", Template: "round", Tasks: 1})
	eventually(t, "job done", 20*time.Second, func() bool { return w.job(job.ID).State == medlarwheel.JobDone })
	owner, other := w.owner(job.ID, instances)
	left := time.Now()
	if err := owner.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	owner.kill()
	eventually(t, "shard moved", 20*time.Second, func() bool { now, _ := w.owner(job.ID, instances); return now == other })
	if took := time.Since(left); took >= fastConfig("x").Lease.Term {
		t.Errorf("the shards moved after %v, not before the lease ran out", took)
	}
	if _, err := w.platform.Store.Row(medlarlease.InstanceKey(dataCentre, owner.id)); err == nil {
		t.Error("the instance that left has kept its lease row")
	}
}

// Guards against a task that is lost for good, or started while its old run may go on, when its worker and the owner of
// its job die together: it starts elsewhere once the old owner's renewals and the last lease must have ended.
func TestTaskRestartsAfterLossOfWorkerAndOwner(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 0, large)
	stops := map[medlarwheel.WorkerID]func(){"w0": w.addAgent("w0", large), "w1": w.addAgent("w1", large)}
	instances := make(map[medlarwheel.InstanceID]*instance)
	for _, id := range []medlarwheel.InstanceID{"entry-1", "entry-2"} {
		config := fastConfig(id)
		config.Lease.OutageRenewalLimit = 4 * time.Second
		instances[id] = w.startWith(config, []medlarwheel.Template{batchTemplate("round", small, 4*time.Second)}, nil)
	}
	job := w.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 1})
	eventually(t, "job running", 20*time.Second, func() bool { return w.running(job.ID) == 1 })
	owner, _ := w.owner(job.ID, instances)
	owner.kill()
	stops[w.job(job.ID).Tasks[0].Run.Worker]()
	eventually(t, "job done", 40*time.Second, func() bool { return w.job(job.ID).State == medlarwheel.JobDone })
	w.checkHistory()
	if task := w.job(job.ID).Tasks[0]; len(task.History) != 2 || task.PreviousEnd.Attempt != 2 ||
		task.History[0].Result != medlarwheel.ResultLost || task.History[0].Worker == task.History[1].Worker {
		t.Errorf("history %+v, want an attempt that is lost and another one on the other worker", task.History)
	}
}

// Guards against urgent work that waits behind batch work, and against evicted work that is lost, done twice or begun
// anew. The batch job belongs to the shard of one instance and the urgent one to the shard of another.
func TestUrgentWorkEvictsBatch(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 8*time.Second), serviceTemplate("hold", medlarwheel.Resources{CPU: 2000, Memory: 2000})}
	// Only the terms of ownership are short here, because the polling intervals make up the time to the start.
	usual := func(id medlarwheel.InstanceID) medlarscheduler.Config {
		config := medlarscheduler.DefaultConfig(fastConfig(id).Instance)
		config.Lease = fastConfig(id).Lease
		return config
	}
	i := w.startWith(usual("entry-1"), templates, nil)
	w.startWith(usual("entry-2"), templates, nil)
	var account medlarwheel.AccountID
	eventually(t, "balanced shards", 40*time.Second, func() bool { account = w.otherAccount(); return account != "" })
	night := w.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "the fleet is full", 20*time.Second, func() bool { return w.running(night.ID) == 8 })
	asked := time.Now()
	urgent := w.submit(i, medlarwheel.JobRequest{Name: "hold", Account: account, Template: "hold"})
	eventually(t, "urgent task running", 20*time.Second, func() bool { return w.running(urgent.ID) == 1 })
	took := time.Since(asked)
	t.Logf("urgent work started after %v", took)
	if took > 4700*time.Millisecond {
		t.Errorf("urgent work started after %v, want at most 4.7 s", took)
	}
	eventually(t, "batch job done", 30*time.Second, func() bool { return w.job(night.ID).State == medlarwheel.JobDone })
	w.checkHistory()
	evicted := 0
	for index, task := range w.job(night.ID).Tasks {
		if len(task.History) == 2 && task.History[1].ResumeFrom == task.History[0].Number {
			evicted++
		} else if len(task.History) != 1 {
			t.Errorf("task %d has history %+v", index, task.History)
		}
	}
	if evicted != 2 {
		t.Errorf("%d tasks were evicted, want 2", evicted)
	}
	for _, e := range w.events() {
		if e.Kind == medlaragent.EventStart && e.Task.Attempt == 2 && e.Progress == 0 {
			t.Errorf("%v began anew", e.Task)
		}
	}
}

// otherAccount returns an account whose jobs belong to another instance than those of the account hut, once the shards
// are balanced.
func (w *testCluster) otherAccount() medlarwheel.AccountID {
	shards := w.shards()
	counts := make(map[medlarwheel.InstanceID]int)
	for _, a := range shards.Jobs {
		counts[a.Owner]++
	}
	if len(counts) != 2 || counts["entry-1"] != counts["entry-2"] {
		return ""
	}
	for i := range 100 {
		account := fmt.Sprintf("account-%d", i)
		if shards.Jobs[medlarlease.ShardOf(account)].Owner != shards.Jobs[medlarlease.ShardOf("hut")].Owner {
			return medlarwheel.AccountID(account)
		}
	}
	return ""
}

// Guards against running tasks that end because the table is out, and against starts without it.
func TestTableOutageKeepsTasksRunningAndStartsNone(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 2, large)
	templates := []medlarwheel.Template{
		batchTemplate("long", large, 9*time.Second), batchTemplate("short", large, 1500*time.Millisecond), batchTemplate("next", large, 300*time.Millisecond),
	}
	i := w.start("entry-1", templates, nil)
	long := w.submit(i, medlarwheel.JobRequest{Name: "long", Template: "long", Tasks: 1})
	short := w.submit(i, medlarwheel.JobRequest{Name: "short", Template: "short", Tasks: 1})
	eventually(t, "both run", 20*time.Second, func() bool { return w.running(long.ID)+w.running(short.ID) == 2 })
	next := w.submit(i, medlarwheel.JobRequest{Name: "next", Template: "next", Tasks: 1})
	w.platform.SetDown(true)
	from := time.Now()
	request := medlarwheel.JobRequest{Name: "x", Account: "hut", Template: "next", Tasks: 1, DataCentre: dataCentre}
	if _, err := i.Submit(t.Context(), &request); err == nil {
		t.Error("a submission was accepted without the table")
	}
	// The leases must be renewed past the term that they had when the outage began.
	eventually(t, "leases renewed", 20*time.Second, func() bool { return time.Since(from) > 2*fastConfig("x").Lease.TaskTerm })
	for _, e := range w.events() {
		if e.Kind == medlaragent.EventStart && e.Task.ID == next.TaskID(0) || e.State == medlaragentapi.StateExpired {
			t.Errorf("during the outage: %+v", e)
		}
	}
	w.platform.SetDown(false)
	for _, id := range []medlarwheel.JobID{long.ID, short.ID, next.ID} {
		eventually(t, "job done", 20*time.Second, func() bool { return w.job(id).State == medlarwheel.JobDone })
	}
	w.checkHistory()
	if events := w.events(); len(events) != 6 {
		t.Errorf("%d events of 3 tasks: %+v", len(events), events)
	}
}

// startLosingAgent is an agent whose starts are lost while it is set.
type startLosingAgent struct {
	medlarscheduler.Agent
	loseStarts *atomic.Bool
	starts     *atomic.Int64
}

func (u startLosingAgent) Start(ctx context.Context, r medlaragentapi.StartRequest) (medlaragentapi.TaskAnswer, error) {
	u.starts.Add(1)
	if u.loseStarts.Load() {
		return medlaragentapi.TaskAnswer{}, medlarwheel.ErrUnavailable
	}
	return u.Agent.Start(ctx, r)
}

// Guards against an instance that goes on starting tasks by rows that it has read before its own lease ran out: without
// the table another owner may have taken over.
func TestNoStartAfterInstanceLeaseExpired(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 1, large)
	var lost atomic.Bool
	var tries atomic.Int64
	lost.Store(true)
	i := w.start("entry-1", []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}, func(p *medlarscheduler.Dependencies) {
		p.DialAgent = func(address string) medlarscheduler.Agent {
			return startLosingAgent{medlarscheduler.Dial(address), &lost, &tries}
		}
	})
	job := w.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 1})
	eventually(t, "start tried", 20*time.Second, func() bool { return tries.Load() > 0 })
	w.platform.SetDown(true)
	down, config := time.Now(), fastConfig("x")
	eventually(t, "lease over", 20*time.Second, func() bool { return time.Since(down) > config.Lease.Term+config.Lease.RenewInterval })
	lost.Store(false)
	before := tries.Load()
	eventually(t, "several times to send again", 20*time.Second, func() bool {
		return time.Since(down) > config.Lease.Term+config.Lease.RenewInterval+4*config.ResendAfter
	})
	if now := tries.Load(); now > before || len(w.events()) > 0 {
		t.Errorf("%d starts were sent after the lease ran out, events %+v", now-before, w.events())
	}
	w.platform.SetDown(false)
	eventually(t, "job done", 20*time.Second, func() bool { return w.job(job.ID).State == medlarwheel.JobDone })
	w.checkHistory()
}

// gate holds calls while it is closed, like a process that is stopped before its calls leave.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(chan struct{})
	}
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
	g.open = nil
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open != nil
}

func (g *gate) wait(ctx context.Context) {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		select {
		case <-open:
		case <-ctx.Done():
		}
	}
}

// gatedTable and gatedAgent hold the calls that change something.
type gatedTable struct {
	medlarscheduler.Table
	gate *gate
}

func (g gatedTable) Transact(ctx context.Context, op medlarwheel.OperationID, writes []medlarwheel.Write) (medlarwheel.Commit, error) {
	g.gate.wait(ctx)
	return g.Table.Transact(ctx, op, writes)
}

type gatedAgent struct {
	medlarscheduler.Agent
	gate *gate
	// onStart closes the gate at the first start of a second task.
	onStart func()
}

func (g gatedAgent) Start(ctx context.Context, r medlaragentapi.StartRequest) (medlaragentapi.TaskAnswer, error) {
	g.onStart()
	g.gate.wait(ctx)
	return g.Agent.Start(context.WithoutCancel(ctx), r)
}

// Guards against an owner that is paused in the middle of starting tasks and goes on after another has taken over: its
// commands and writes must have no effect.
func TestPausedOwnerHasNoEffectAfterTakeover(t *testing.T) {
	t.Parallel()
	w := newTestCluster(t, 3, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}
	instances := make(map[medlarwheel.InstanceID]*instance)
	var freeze sync.Once
	frozen := make(map[medlarwheel.InstanceID]*gate)
	for _, id := range []medlarwheel.InstanceID{"entry-1", "entry-2"} {
		g := &gate{}
		frozen[id] = g
		instances[id] = w.start(id, templates, func(p *medlarscheduler.Dependencies) {
			p.Table = gatedTable{p.Table, g}
			p.DialAgent = func(address string) medlarscheduler.Agent {
				return gatedAgent{medlarscheduler.Dial(address), g, func() { freeze.Do(g.close) }}
			}
		})
	}
	job := w.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "job done by the other owner", 30*time.Second, func() bool { return w.job(job.ID).State == medlarwheel.JobDone })
	before, events := w.job(job.ID), len(w.events())
	var thawed *instance
	for id, g := range frozen {
		if g.isClosed() {
			thawed = instances[id]
			g.release()
		}
	}
	if thawed == nil {
		t.Fatal("no owner was frozen")
	}
	// The thawed instance has gone on when it can submit again, which takes its control loop and the table.
	later := w.submit(thawed, medlarwheel.JobRequest{Name: "later", Template: "round", Tasks: 1})
	eventually(t, "later job done", 20*time.Second, func() bool { return w.job(later.ID).State == medlarwheel.JobDone })
	w.checkHistory()
	if after := w.job(job.ID); after.Token != before.Token || len(w.events()) != events+2 {
		t.Errorf("the thawed owner acted: token %d then %d, %d events then %d", before.Token, after.Token, events, len(w.events()))
	}
}
