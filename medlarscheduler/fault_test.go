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

// Guards against tasks that are lost or run twice when the owner of a job is killed without leaving.
func TestKilledOwnerIsReplacedWithoutRepeatingTasks(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 4*time.Second)}
	instances := map[medlarwheel.InstanceID]*instance{
		"entry-1": c.start("entry-1", templates, nil), "entry-2": c.start("entry-2", templates, nil),
	}
	// The other instance must have loaded its own shards first, so that it has to read the shards that it takes over later.
	eventually(t, "balanced shards", 20*time.Second, func() bool { return c.otherAccount() != "" })
	job := c.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "all tasks running", 20*time.Second, func() bool { return c.running(job.ID) == 8 })
	owner, _ := c.owner(job.ID, instances)
	owner.kill()
	eventually(t, "job done", 30*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	if starts := len(c.events()) / 2; starts != 8 {
		t.Errorf("%d starts, want 8, one for each task", starts)
	}
	if now, _ := c.owner(job.ID, instances); now == owner {
		t.Error("the killed instance still owns the job")
	}
}

// Guards against shards that stay with an instance that has left until its lease expires.
func TestLeavingMovesShardsAtOnce(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}
	instances := map[medlarwheel.InstanceID]*instance{
		"entry-1": c.start("entry-1", templates, nil), "entry-2": c.start("entry-2", templates, nil),
	}
	job := c.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "a", Template: "round", Tasks: 1})
	eventually(t, "job done", 20*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	owner, other := c.owner(job.ID, instances)
	left := time.Now()
	if err := owner.Leave(t.Context()); err != nil {
		t.Fatal(err)
	}
	owner.kill()
	eventually(t, "shard moved", 20*time.Second, func() bool { now, _ := c.owner(job.ID, instances); return now == other })
	if took := time.Since(left); took >= fastConfig("x").Lease.Term {
		t.Errorf("the shards moved after %v, want less than the lease term of %v", took, fastConfig("x").Lease.Term)
	}
	if _, err := c.platform.Store.Row(medlarlease.InstanceKey(dataCentre, owner.id)); err == nil {
		t.Error("the instance that left still has its lease row")
	}
}

// Guards against a task that is never started again, or is started while its earlier attempt may still run, when its worker
// and the owner of its job fail at the same time. It may start on another worker only after the outage renewal limit of the
// old owner and the last task lease have passed.
func TestTaskRestartsAfterLossOfWorkerAndOwner(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 0, large)
	stops := map[medlarwheel.WorkerID]func(){"w0": c.addAgent("w0", large), "w1": c.addAgent("w1", large)}
	instances := make(map[medlarwheel.InstanceID]*instance)
	for _, id := range []medlarwheel.InstanceID{"entry-1", "entry-2"} {
		config := fastConfig(id)
		config.Lease.OutageRenewalLimit = 4 * time.Second
		instances[id] = c.startWith(config, []medlarwheel.Template{batchTemplate("round", small, 4*time.Second)}, nil)
	}
	job := c.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 1})
	eventually(t, "job running", 20*time.Second, func() bool { return c.running(job.ID) == 1 })
	owner, _ := c.owner(job.ID, instances)
	owner.kill()
	stops[c.job(job.ID).Tasks[0].Run.Worker]()
	eventually(t, "job done", 40*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	if task := c.job(job.ID).Tasks[0]; len(task.History) != 2 || task.PreviousEnd.Attempt != 2 ||
		task.History[0].Result != medlarwheel.ResultLost || task.History[0].Worker == task.History[1].Worker {
		t.Errorf("history %+v, want a lost attempt and a second one on the other worker", task.History)
	}
}

// Guards against urgent tasks that wait for batch tasks to end, and against evicted tasks that are lost, run twice or start
// from the beginning. The batch job and the urgent job are in shards of different instances, so the evictions have to be
// requested from the other owner.
func TestUrgentWorkEvictsBatch(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 8*time.Second), serviceTemplate("hold", medlarwheel.Resources{CPU: 2000, Memory: 2000})}
	// Only the lease settings are short here: the time to the start, which is bounded below, consists of the default polling
	// intervals.
	defaultIntervals := func(id medlarwheel.InstanceID) medlarscheduler.Config {
		config := medlarscheduler.DefaultConfig(fastConfig(id).Instance)
		config.Lease = fastConfig(id).Lease
		return config
	}
	i := c.startWith(defaultIntervals("entry-1"), templates, nil)
	c.startWith(defaultIntervals("entry-2"), templates, nil)
	var account medlarwheel.AccountID
	eventually(t, "balanced shards", 40*time.Second, func() bool { account = c.otherAccount(); return account != "" })
	night := c.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "all workers full", 20*time.Second, func() bool { return c.running(night.ID) == 8 })
	submittedAt := time.Now()
	urgent := c.submit(i, medlarwheel.JobRequest{Name: "hold", Account: account, Template: "hold"})
	eventually(t, "urgent task running", 20*time.Second, func() bool { return c.running(urgent.ID) == 1 })
	took := time.Since(submittedAt)
	t.Logf("urgent work started after %v", took)
	if took > 4700*time.Millisecond {
		t.Errorf("urgent work started after %v, want at most 4.7 s", took)
	}
	eventually(t, "batch job done", 30*time.Second, func() bool { return c.job(night.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	evicted := 0
	for index, task := range c.job(night.ID).Tasks {
		if len(task.History) == 2 && task.History[1].ResumeFrom == task.History[0].Number {
			evicted++
		} else if len(task.History) != 1 {
			t.Errorf("task %d has history %+v", index, task.History)
		}
	}
	if evicted != 2 {
		t.Errorf("%d tasks were evicted, want 2", evicted)
	}
	for _, e := range c.events() {
		if e.Kind == medlaragent.EventStart && e.Task.Attempt == 2 && e.Progress == 0 {
			t.Errorf("attempt %v started from the beginning, want from the checkpoint", e.Task)
		}
	}
}

// otherAccount returns an account whose jobs belong to another instance than those of the account hut, once the shards
// are balanced.
func (c *testCluster) otherAccount() medlarwheel.AccountID {
	shards := c.shards()
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

// Guards against running tasks that end because the table is unavailable, and against tasks that start during the outage.
func TestTableOutageKeepsTasksRunningAndStartsNone(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2, large)
	templates := []medlarwheel.Template{
		batchTemplate("long", large, 9*time.Second), batchTemplate("short", large, 1500*time.Millisecond), batchTemplate("next", large, 300*time.Millisecond),
	}
	i := c.start("entry-1", templates, nil)
	long := c.submit(i, medlarwheel.JobRequest{Name: "long", Template: "long", Tasks: 1})
	short := c.submit(i, medlarwheel.JobRequest{Name: "short", Template: "short", Tasks: 1})
	eventually(t, "both run", 20*time.Second, func() bool { return c.running(long.ID)+c.running(short.ID) == 2 })
	next := c.submit(i, medlarwheel.JobRequest{Name: "next", Template: "next", Tasks: 1})
	c.platform.SetUnavailable(true)
	from := time.Now()
	request := medlarwheel.JobRequest{Name: "x", Account: "hut", Template: "next", Tasks: 1, DataCentre: dataCentre}
	if _, err := i.Submit(t.Context(), &request); err == nil {
		t.Error("a submission was accepted while the table was unavailable")
	}
	// The leases must be renewed past the term that they had when the outage began.
	eventually(t, "leases renewed", 20*time.Second, func() bool { return time.Since(from) > 2*fastConfig("x").Lease.TaskTerm })
	for _, e := range c.events() {
		if e.Kind == medlaragent.EventStart && e.Task.ID == next.TaskID(0) || e.State == medlaragentapi.StateExpired {
			t.Errorf("during the outage: %+v", e)
		}
	}
	c.platform.SetUnavailable(false)
	for _, id := range []medlarwheel.JobID{long.ID, short.ID, next.ID} {
		eventually(t, "job done", 20*time.Second, func() bool { return c.job(id).State == medlarwheel.JobDone })
	}
	c.checkHistory()
	if events := c.events(); len(events) != 6 {
		t.Errorf("%d events, want 6, a start and an end of each task: %+v", len(events), events)
	}
}

// startLosingAgent is an agent that start requests do not reach while loseStarts is set. It counts them.
type startLosingAgent struct {
	medlarscheduler.Agent
	loseStarts *atomic.Bool
	starts     *atomic.Int64
}

func (a startLosingAgent) Start(ctx context.Context, r medlaragentapi.StartRequest) (medlaragentapi.TaskResponse, error) {
	a.starts.Add(1)
	if a.loseStarts.Load() {
		return medlaragentapi.TaskResponse{}, medlarwheel.ErrUnavailable
	}
	return a.Agent.Start(ctx, r)
}

// Guards against an instance that starts tasks from rows that it has read before its own lease expired. While it cannot
// reach the table, another owner may have taken over.
func TestNoStartAfterInstanceLeaseExpired(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1, large)
	var loseStarts atomic.Bool
	var starts atomic.Int64
	loseStarts.Store(true)
	i := c.start("entry-1", []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}, func(deps *medlarscheduler.Dependencies) {
		deps.DialAgent = func(address string) medlarscheduler.Agent {
			return startLosingAgent{medlarscheduler.Dial(address), &loseStarts, &starts}
		}
	})
	job := c.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 1})
	eventually(t, "start tried", 20*time.Second, func() bool { return starts.Load() > 0 })
	c.platform.SetUnavailable(true)
	outageStart, config := time.Now(), fastConfig("x")
	eventually(t, "instance lease expired", 20*time.Second, func() bool { return time.Since(outageStart) > config.Lease.Term+config.Lease.RenewInterval })
	loseStarts.Store(false)
	before := starts.Load()
	eventually(t, "several resend intervals", 20*time.Second, func() bool {
		return time.Since(outageStart) > config.Lease.Term+config.Lease.RenewInterval+4*config.ResendAfter
	})
	if now := starts.Load(); now > before || len(c.events()) > 0 {
		t.Errorf("%d starts were sent after the lease expired, want none; events %+v", now-before, c.events())
	}
	c.platform.SetUnavailable(false)
	eventually(t, "job done", 20*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	c.checkHistory()
}

// gate blocks calls while it is closed, as if the process was paused before it sent them.
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

// gatedTable blocks transactions while its gate is closed.
type gatedTable struct {
	medlarscheduler.Table
	gate *gate
}

func (g gatedTable) Transact(ctx context.Context, op medlarwheel.OperationID, writes []medlarwheel.Write) (medlarwheel.Commit, error) {
	g.gate.wait(ctx)
	return g.Table.Transact(ctx, op, writes)
}

// gatedAgent blocks start requests while its gate is closed.
type gatedAgent struct {
	medlarscheduler.Agent
	gate *gate
	// onStart is called at every start, before the gate is checked.
	onStart func()
}

func (g gatedAgent) Start(ctx context.Context, r medlaragentapi.StartRequest) (medlaragentapi.TaskResponse, error) {
	g.onStart()
	g.gate.wait(ctx)
	return g.Agent.Start(context.WithoutCancel(ctx), r)
}

// Guards against an owner that is paused while it starts tasks and resumes after another instance has taken over: its
// delayed commands and writes must have no effect.
func TestPausedOwnerHasNoEffectAfterTakeover(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, large)
	templates := []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}
	instances := make(map[medlarwheel.InstanceID]*instance)
	// The owner that sends the first start request is paused at it.
	var pauseOnce sync.Once
	gates := make(map[medlarwheel.InstanceID]*gate)
	for _, id := range []medlarwheel.InstanceID{"entry-1", "entry-2"} {
		g := &gate{}
		gates[id] = g
		instances[id] = c.start(id, templates, func(deps *medlarscheduler.Dependencies) {
			deps.Table = gatedTable{deps.Table, g}
			deps.DialAgent = func(address string) medlarscheduler.Agent {
				return gatedAgent{medlarscheduler.Dial(address), g, func() { pauseOnce.Do(g.close) }}
			}
		})
	}
	job := c.submit(instances["entry-1"], medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "job done by the other owner", 30*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	before, events := c.job(job.ID), len(c.events())
	var resumed *instance
	for id, g := range gates {
		if g.isClosed() {
			resumed = instances[id]
			g.release()
		}
	}
	if resumed == nil {
		t.Fatal("no owner was paused")
	}
	// A submission needs the control loop and the table, so once it succeeds the instance has resumed.
	later := c.submit(resumed, medlarwheel.JobRequest{Name: "later", Template: "round", Tasks: 1})
	eventually(t, "later job done", 20*time.Second, func() bool { return c.job(later.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	if after := c.job(job.ID); after.Token != before.Token || len(c.events()) != events+2 {
		t.Errorf("the resumed owner had an effect: token %d, want %d; %d events, want %d", after.Token, before.Token, len(c.events()), events+2)
	}
}
