package medlarscheduler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform"
	"medlarwheel/medlarplatform/medlarfake"
	"medlarwheel/medlarscheduler"
	"medlarwheel/standin/medlaragent"
	"medlarwheel/standin/medlarprocess"
)

func TestMain(m *testing.M) {
	// The HTTP library never stops these goroutines, or only an idle period after its last connection.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

const dataCentre = "dc-1"

// testCluster is a fake platform with the agents of workers. Entry instances are started in it by start.
type testCluster struct {
	t        *testing.T
	platform *medlarfake.Fake
	agents   []*medlaragent.Agent
	// configureAgent changes the settings of agents that are added later. It may be nil.
	configureAgent func(*medlaragent.Config)
}

func newTestCluster(t *testing.T, workers int, size medlarwheel.Resources) *testCluster {
	c := &testCluster{t: t, platform: medlarfake.New(medlarwheel.SystemClock{})}
	for i := range workers {
		c.addAgent(medlarwheel.WorkerID(fmt.Sprintf("w%d", i)), size)
	}
	return c
}

// addAgent starts the agent of a worker and writes its announcement. The returned function stops the agent.
func (c *testCluster) addAgent(id medlarwheel.WorkerID, size medlarwheel.Resources) (stop func()) {
	c.t.Helper()
	config := medlaragent.DefaultConfig()
	config.ID, config.DataCentre, config.Size = id, dataCentre, size
	if c.configureAgent != nil {
		c.configureAgent(&config)
	}
	agent := medlaragent.New(config, c.platform, zerolog.Nop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- medlarprocess.ServeListener(ctx, listener, agent.Handle) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			c.t.Error(err)
		}
	})
	c.t.Cleanup(stop)
	c.agents = append(c.agents, agent)
	value, err := json.Marshal(medlaragentapi.Announcement{
		ID: id, Rack: "rack-1", DataCentre: dataCentre, Address: listener.Addr().String(), Size: size, Incarnation: 1,
		State: medlarwheel.StateLive,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.write(medlaragentapi.AnnouncementKey(id), value)
	return stop
}

// write writes a row in the version after the current one.
func (c *testCluster) write(key string, value json.RawMessage) {
	c.t.Helper()
	row, err := c.platform.Store.Row(key)
	if err != nil {
		row.Version = 0
	}
	op := medlarwheel.OperationID(fmt.Sprintf("test:%s:%d", key, row.Version))
	if _, err := c.platform.Transact(c.t.Context(), op, []medlarwheel.Write{{Key: key, ExpectedVersion: row.Version, Value: value}}); err != nil {
		c.t.Fatal(err)
	}
}

// batchTemplate returns a template of a background batch job.
func batchTemplate(name string, size medlarwheel.Resources, runTime time.Duration) medlarwheel.Template {
	return medlarwheel.Template{
		Name: medlarwheel.TemplateName(name), Kind: medlarwheel.KindBatch, Class: medlarwheel.ClassBackground,
		Task:     &medlarwheel.TaskSpec{Size: size, MayShare: true, RunTime: medlarwheel.Duration(runTime)},
		Defaults: medlarwheel.Parameters{Weight: 1},
	}
}

// serviceTemplate returns a template of an urgent service with one task.
func serviceTemplate(name string, size medlarwheel.Resources) medlarwheel.Template {
	t := batchTemplate(name, size, 0)
	t.Kind, t.Class, t.Task.Replicas = medlarwheel.KindService, medlarwheel.ClassUrgent, 1
	second := medlarwheel.Duration(time.Second)
	t.Service = &medlarwheel.ServiceSpec{Upstream: "back", Slots: 1, Connections: 1, MaxDeadline: second, DefaultDeadline: second}
	return t
}

// instance is the scheduler of one entry instance under test.
type instance struct {
	*medlarscheduler.Scheduler
	id   medlarwheel.InstanceID
	kill context.CancelFunc
	done chan error
}

// start runs an instance with short leases and intervals. adjust may change its dependencies.
func (c *testCluster) start(id medlarwheel.InstanceID, templates []medlarwheel.Template, adjust func(*medlarscheduler.Dependencies)) *instance {
	c.t.Helper()
	return c.startWith(fastConfig(id), templates, adjust)
}

// startWith runs an instance with the given settings.
func (c *testCluster) startWith(
	config medlarscheduler.Config, templates []medlarwheel.Template, adjust func(*medlarscheduler.Dependencies),
) *instance {
	c.t.Helper()
	configuration := medlarconfig.NewStore()
	delta := medlarwheel.ConfigDelta{Head: medlarwheel.ConfigVersion(len(templates))}
	for i := range templates {
		delta.Items = append(delta.Items, medlarwheel.ConfigItem{
			Key: medlarwheel.TemplateKey(templates[i].Name), Version: medlarwheel.ConfigVersion(i + 1), Author: "test", Template: &templates[i],
		})
	}
	if _, err := configuration.Apply(delta); err != nil {
		c.t.Fatal(err)
	}
	deps := medlarscheduler.Dependencies{
		Table: c.platform, DialAgent: medlarscheduler.Dial, Configuration: configuration.Snapshot, Clock: medlarwheel.SystemClock{},
		OperationIDs: medlarplatform.NewOperationIDGenerator(config.Instance.ID, 1), Log: zerolog.New(zerolog.NewTestWriter(c.t)).Level(zerolog.InfoLevel),
	}
	if adjust != nil {
		adjust(&deps)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &instance{id: config.Instance.ID, Scheduler: medlarscheduler.New(config, deps), kill: cancel, done: make(chan error, 1)}
	go func() { i.done <- i.Run(ctx) }()
	c.t.Cleanup(func() {
		cancel()
		if err := <-i.done; err != nil {
			c.t.Error(err)
		}
	})
	return i
}

// fastConfig returns settings with leases and intervals that are short enough for a test to wait for expired leases.
func fastConfig(id medlarwheel.InstanceID) medlarscheduler.Config {
	c := medlarscheduler.DefaultConfig(medlarwheel.EntryInstance{
		ID: id, DataCentre: dataCentre, PeerAddress: "127.0.0.1:1", Incarnation: 1, State: medlarwheel.StateLive,
	})
	c.Lease.Term, c.Lease.Margin, c.Lease.RenewInterval = 1500*time.Millisecond, 200*time.Millisecond, 250*time.Millisecond
	c.Lease.MaxReadInterval, c.Lease.OutageRenewalLimit = time.Second, time.Minute
	c.Lease.TaskTerm, c.Lease.TaskMargin, c.Lease.TaskRenewInterval = 3*time.Second, 200*time.Millisecond, 300*time.Millisecond
	c.Lease.MaxMoves = medlarlease.ShardCount
	c.StepInterval, c.PollInterval, c.AnnouncementInterval = 20*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond
	c.ResendAfter, c.MinRetryDelay, c.PlaceInterval = 300*time.Millisecond, 100*time.Millisecond, 200*time.Millisecond
	return c
}

// eventually waits until a condition holds, and fails the test after a time limit.
func eventually(t *testing.T, what string, within time.Duration, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(within)
	for !holds() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("condition not met within %v: %s", within, what)
		}
	}
}

// submit submits a job, and retries until the instance knows the workers and accepts it.
func (c *testCluster) submit(i *instance, request medlarwheel.JobRequest) medlarwheel.Job {
	c.t.Helper()
	var job medlarwheel.Job
	var err error
	request.DataCentre = dataCentre
	if request.Account == "" {
		request.Account = "hut"
	}
	eventually(c.t, "submission", 10*time.Second, func() bool {
		job, err = i.Submit(c.t.Context(), &request)
		return err == nil
	})
	return job
}

// job reads a job's row.
func (c *testCluster) job(id medlarwheel.JobID) medlarwheel.Job {
	c.t.Helper()
	var job medlarwheel.Job
	row, err := c.platform.Store.Row("job/" + dataCentre + "." + string(id[:2]) + "/" + string(id))
	if err == nil {
		err = json.Unmarshal(row.Value, &job)
	}
	if err != nil {
		c.t.Fatal(err)
	}
	return job
}

// events returns the starts and ends of attempts on all workers.
func (c *testCluster) events() []medlaragent.Event {
	var events []medlaragent.Event
	for _, a := range c.agents {
		events = append(events, a.History().Events...)
	}
	return events
}

// checkHistory fails the test if a task ran twice at the same time or an attempt started twice.
func (c *testCluster) checkHistory() {
	c.t.Helper()
	type span struct{ from, to time.Time }
	spans := make(map[medlarwheel.TaskID][]span)
	started := make(map[medlaragentapi.TaskRef]medlarwheel.WorkerID)
	for _, a := range c.agents {
		open := make(map[medlaragentapi.TaskRef]time.Time)
		for _, e := range a.History().Events {
			if e.Kind == medlaragent.EventStart {
				if other, twice := started[e.Task]; twice {
					c.t.Errorf("attempt %v started on %s and on %s", e.Task, other, e.Worker)
				}
				started[e.Task], open[e.Task] = e.Worker, e.At
				continue
			}
			spans[e.Task.ID] = append(spans[e.Task.ID], span{open[e.Task], e.At})
			delete(open, e.Task)
		}
		for ref, from := range open {
			spans[ref.ID] = append(spans[ref.ID], span{from, time.Now()})
		}
	}
	for id, list := range spans {
		for i, a := range list {
			for _, b := range list[i+1:] {
				if a.from.Before(b.to) && b.from.Before(a.to) {
					c.t.Errorf("task %s ran twice at the same time: %v and %v", id, a, b)
				}
			}
		}
	}
}

// shards reads the shard map. It is empty before the first version is written.
func (c *testCluster) shards() medlarlease.ShardMap {
	c.t.Helper()
	row, err := c.platform.Store.Row(medlarlease.ShardMapKey(dataCentre))
	if err != nil {
		return medlarlease.NewShardMap(dataCentre)
	}
	shards, err := medlarlease.DecodeShardMap(row)
	if err != nil {
		c.t.Fatal(err)
	}
	return shards
}

// owner returns the instance that owns the shard of a job, and another one.
func (c *testCluster) owner(job medlarwheel.JobID, instances map[medlarwheel.InstanceID]*instance) (owner, other *instance) {
	c.t.Helper()
	shards := c.shards()
	shard, err := medlarlease.ShardOfJob(dataCentre, job)
	if err != nil {
		c.t.Fatal(err)
	}
	id := shards.Assignment(shard.Kind, shard.Index).Owner
	for other, i := range instances {
		if other != id {
			return instances[id], i
		}
	}
	return instances[id], nil
}

// running counts the tasks that are running according to the job's row.
func (c *testCluster) running(id medlarwheel.JobID) int {
	count := 0
	for _, task := range c.job(id).Tasks {
		if task.State == medlarwheel.JobRunning {
			count++
		}
	}
	return count
}
