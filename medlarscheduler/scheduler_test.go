package medlarscheduler_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarscheduler"
	"medlarwheel/standin/medlaragent"
)

var (
	small = medlarwheel.Resources{CPU: 1000, Memory: 1000}
	large = medlarwheel.Resources{CPU: 4000, Memory: 4000}
)

// Guards against a fault anywhere between the submission of a job and its end: ownership of shards, registration of workers,
// placement, start and reports of tasks.
func TestSubmittedJobRunsToDone(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, large)
	i := c.start("entry-1", []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}, nil)
	job := c.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 8})
	eventually(t, "job done", 20*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	if starts := len(c.events()) / 2; starts != 8 {
		t.Errorf("%d starts, want 8, one for each task", starts)
	}
}

// countingTable counts the calls of an instance to the table.
type countingTable struct {
	medlarscheduler.Table
	reads, writes *atomic.Int64
}

func (c countingTable) Row(ctx context.Context, key string) (medlarwheel.Row, error) {
	c.reads.Add(1)
	return c.Table.Row(ctx, key)
}

func (c countingTable) Changes(ctx context.Context, prefix string, after medlarwheel.RowVersion, limit int) (medlarwheel.ChangePage, error) {
	c.reads.Add(1)
	return c.Table.Changes(ctx, prefix, after, limit)
}

func (c countingTable) Transact(ctx context.Context, op medlarwheel.OperationID, writes []medlarwheel.Write) (medlarwheel.Commit, error) {
	c.writes.Add(1)
	return c.Table.Transact(ctx, op, writes)
}

// Guards against idle instances that load the table more than the design page allows, because the load grows with the number
// of instances. An idle instance renews its lease every 2 s and may read 4 times a second.
func TestIdleInstanceLimitsTableCalls(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2, large)
	var reads, writes atomic.Int64
	config := medlarscheduler.DefaultConfig(fastConfig("entry-1").Instance)
	i := c.startWith(config, []medlarwheel.Template{batchTemplate("round", small, time.Second)}, func(deps *medlarscheduler.Dependencies) {
		deps.Table = countingTable{deps.Table, &reads, &writes}
	})
	eventually(t, "workers registered", 20*time.Second, func() bool {
		workers, err := i.Workers(t.Context())
		return err == nil && len(workers) == 2
	})
	renewals := func() medlarwheel.RowVersion {
		row, err := c.platform.Store.Row(medlarlease.InstanceKey(dataCentre, "entry-1"))
		if err != nil {
			t.Fatal(err)
		}
		return row.Version
	}
	var last medlarwheel.RowVersion
	awaitRenewal := func() {
		last = renewals()
		eventually(t, "renewal", 10*time.Second, func() bool { return renewals() > last })
	}
	awaitRenewal()
	fromReads, fromWrites := reads.Load(), writes.Load()
	const rounds = 4
	for range rounds {
		awaitRenewal()
	}
	gotReads, gotWrites := reads.Load()-fromReads, writes.Load()-fromWrites
	t.Logf("%d reads and %d writes in %d periods of %v", gotReads, gotWrites, rounds, config.Lease.RenewInterval)
	if gotWrites > rounds || gotReads > 8*rounds {
		t.Errorf("%d reads and %d writes in %d periods of %v, want at most %d and %d",
			gotReads, gotWrites, rounds, config.Lease.RenewInterval, 8*rounds, rounds)
	}
}

// Guards against a cancellation that misses jobs in some state, and against tasks that continue to run after it.
func TestCancelEndsEveryJobOfAnAccount(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1, large)
	i := c.start("entry-1", []medlarwheel.Template{batchTemplate("round", large, time.Hour)}, nil)
	runs := c.submit(i, medlarwheel.JobRequest{Name: "runs", Template: "round", Tasks: 1})
	eventually(t, "job running", 20*time.Second, func() bool { return c.running(runs.ID) == 1 })
	waits := c.submit(i, medlarwheel.JobRequest{Name: "waits", Template: "round", Tasks: 2})
	count, err := i.CancelAccount(t.Context(), "hut", "test")
	if err != nil || count != 2 {
		t.Fatalf("cancelled %d jobs, %v; want 2", count, err)
	}
	for _, id := range []medlarwheel.JobID{runs.ID, waits.ID} {
		eventually(t, "job cancelled", 20*time.Second, func() bool { return c.job(id).State == medlarwheel.JobCancelled })
	}
	events := c.events()
	if len(events) != 2 || events[1].State != medlaragentapi.StateStopped {
		t.Errorf("events %+v, want one start and one stop", events)
	}
}

// Guards against transitions that are lost or applied twice when the table commits a transaction and its response is lost.
// Also guards against workers' records that keep the changes of decisions that did not fit into a transaction: only five
// writes fit here.
func TestLostResponsesLoseOrRepeatNoTransition(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2, large)
	config := fastConfig("entry-1")
	config.Job.MaxBatchWrites = 5
	i := c.startWith(config, []medlarwheel.Template{batchTemplate("round", small, 100*time.Millisecond)}, nil)
	c.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 15})
	c.submit(i, medlarwheel.JobRequest{Name: "second", Template: "round", Tasks: 15})
	eventually(t, "job done", 40*time.Second, func() bool {
		c.platform.DropResponses(1)
		jobs, err := i.Jobs(t.Context(), "hut")
		return err == nil && len(jobs) == 2 && jobs[0].State == medlarwheel.JobDone && jobs[1].State == medlarwheel.JobDone
	})
	c.checkHistory()
	if starts := len(c.events()) / 2; starts != 30 {
		t.Errorf("%d starts, want 30, one for each task", starts)
	}
}

// Guards against tasks that are never run again after the agent of their worker has restarted and no longer knows them, and
// against a restarted agent that is sent a start of the earlier attempt.
func TestTaskRunsAgainAfterAgentRestart(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 0, large)
	stop := c.addAgent("w0", large)
	i := c.start("entry-1", []medlarwheel.Template{batchTemplate("round", large, 1500*time.Millisecond)}, nil)
	job := c.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 1})
	eventually(t, "job running", 20*time.Second, func() bool { return c.running(job.ID) == 1 })
	stop()
	c.agents = nil
	c.addAgent("w0", large)
	eventually(t, "job done", 20*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	task := c.job(job.ID).Tasks[0]
	if len(task.History) != 2 || task.History[0].Result != medlarwheel.ResultLost || task.PreviousEnd.Cause != medlarwheel.EndReportedByWorker {
		t.Errorf("history %+v, end %+v; want a first attempt that is lost by the report of the worker", task.History, task.PreviousEnd)
	}
	for _, e := range c.events() {
		if e.Kind == medlaragent.EventStart && e.Task.Attempt != 2 {
			t.Errorf("the restarted agent started %v", e.Task)
		}
	}
}

// Guards against a worker that fails every task and so uses up the attempts of jobs: the worker must be put on probation,
// and its failures must no longer count against the jobs.
func TestFailingWorkerGoesOnProbation(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 1, large)
	c.agents[0].SetFaults(medlaragent.Faults{FailStarts: true})
	i := c.start("entry-1", []medlarwheel.Template{batchTemplate("round", small, 300*time.Millisecond)}, nil)
	var ids []medlarwheel.JobID
	for _, name := range []string{"a", "b", "c"} {
		ids = append(ids, c.submit(i, medlarwheel.JobRequest{Name: name, Template: "round", Tasks: 1}).ID)
	}
	eventually(t, "worker on probation", 20*time.Second, func() bool {
		workers, err := i.Workers(t.Context())
		return err == nil && workers[0].Probation != nil
	})
	c.addAgent("w1", large)
	for _, id := range ids {
		eventually(t, "job done", 20*time.Second, func() bool { return c.job(id).State == medlarwheel.JobDone })
		if task := c.job(id).Tasks[0]; task.Failures != 0 || len(task.History) != 2 {
			t.Errorf("job %s has %d failures and history %+v, want no failure counted and two attempts", id, task.Failures, task.History)
		}
	}
}

// Guards against progress that is lost when a worker announces that it is leaving: its tasks must resume on another worker
// from their checkpoints, and the leaving worker must get no new ones.
func TestLeavingWorkerIsDrained(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 0, large)
	c.addAgent("w0", large)
	i := c.start("entry-1", []medlarwheel.Template{batchTemplate("round", small, 2*time.Second)}, nil)
	job := c.submit(i, medlarwheel.JobRequest{Name: "night", Template: "round", Tasks: 3})
	eventually(t, "job running", 20*time.Second, func() bool { return c.running(job.ID) == 3 })
	c.addAgent("w1", large)
	key := medlaragentapi.AnnouncementKey("w0")
	row, err := c.platform.Store.Row(key)
	if err != nil {
		t.Fatal(err)
	}
	c.write(key, bytes.Replace(row.Value, []byte(`"live"`), []byte(`"leaving"`), 1))
	eventually(t, "job done", 40*time.Second, func() bool { return c.job(job.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	for index, task := range c.job(job.ID).Tasks {
		last := task.History[len(task.History)-1]
		if last.Worker != "w1" || last.ResumeFrom == 0 {
			t.Errorf("task %d ended by %+v, want on w1 from a checkpoint", index, last)
		}
	}
}

// Guards against a gang of which some tasks start before there is capacity for all: they would occupy workers while they
// wait for the others.
func TestGangStartsAsAWhole(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 2, large)
	gang := batchTemplate("gang", small, 300*time.Millisecond)
	gang.Task.Gang = true
	i := c.start("entry-1", []medlarwheel.Template{batchTemplate("round", small, 1500*time.Millisecond), gang}, nil)
	first := c.submit(i, medlarwheel.JobRequest{Name: "first", Template: "round", Tasks: 4})
	eventually(t, "first job running", 20*time.Second, func() bool { return c.running(first.ID) == 4 })
	second := c.submit(i, medlarwheel.JobRequest{Name: "second", Template: "gang", Tasks: 6})
	eventually(t, "gang done", 20*time.Second, func() bool { return c.job(second.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	var freed, started time.Time
	for _, e := range c.events() {
		job, _, _ := medlarwheel.ParseTaskID(e.Task.ID)
		if job == first.ID && e.Kind == medlaragent.EventEnd && (freed.IsZero() || e.At.Before(freed)) {
			freed = e.At
		}
		if job == second.ID && e.Kind == medlaragent.EventStart && (started.IsZero() || e.At.Before(started)) {
			started = e.At
		}
	}
	if started.Before(freed) {
		t.Errorf("a task of the gang started at %v, before there was capacity for all at %v", started, freed)
	}
}
