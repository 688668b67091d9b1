// Package medlarnode assembles an instance: it accepts submissions, watches the configuration and the ownership of the
// cell, and runs the scheduler while it owns the cell.
//
// # Usage
//
//	node, err := medlarnode.New(medlarnode.DefaultConfig(settings), log, meter)
//	err = node.Run(ctx) // until the context ends, then a graceful stop
package medlarnode

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlargroupcommit"
	"medlarwheel/internal/acceptance/medlaroutage"
	"medlarwheel/internal/acceptance/medlarroute"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarmemory"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarinstance"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// Config configures an instance.
type Config struct {
	Settings  platform.Settings
	Owner     medlarowner.Config
	Admission medlaradmission.Config
	// Registry configures the registry of instances.
	Registry medlarinstance.Config
	// Outage configures what happens to requests while the table does not respond.
	Outage medlaroutage.Config
	// StoreConnections limits the connections to the platform's table.
	StoreConnections int
	// StoreTimeout is the timeout of a call to the table. A table that is a hundred times slower than usual still
	// responds within it.
	StoreTimeout time.Duration
	// ConfigLongPollWait is how long the table may hold a long poll for configuration changes. It limits the time lost
	// on a connection that has stopped delivering data, and is well below the time in which a configuration must be in
	// force.
	ConfigLongPollWait time.Duration
	// OwnerLongPollWait is how long the table may hold a long poll for changes of the cell's claim. It is well below the
	// longest gap between responses that still counts as continuous observation.
	OwnerLongPollWait time.Duration
	// FollowRetryDelay is the pause after a failed read of changes.
	FollowRetryDelay time.Duration
	// OrderTimeout is the timeout of an order to a worker.
	OrderTimeout time.Duration
	// WorkerConnections limits the connections to one worker.
	WorkerConnections int
	// PeerTimeout is the timeout of a request to the owner of the cell.
	PeerTimeout time.Duration
	// ProbeInterval is the interval between probes of a table that does not respond.
	ProbeInterval time.Duration
	// WaitingProbeInterval is the same while requests wait for the table.
	WaitingProbeInterval time.Duration
	// ReadyMaxTableAge is the maximum age of the table's last response at which the instance reports itself ready.
	// ReadyMaxFailedAge is the same while the last call to the table has failed: the clients of a data centre that is cut
	// off from the table are then sent to others.
	ReadyMaxTableAge, ReadyMaxFailedAge time.Duration
	// DrainPeriod is how long a stopping instance still responds on open connections, so that the load balancer has time
	// to stop sending it requests.
	DrainPeriod time.Duration
	// MemoryLimitFraction is the fraction of the instance's memory limit that is set as the soft limit of the Go runtime.
	// Above it the garbage collector runs more often.
	MemoryLimitFraction float64
}

// Base64 encodes three bytes as four. The limit of a row may apply to either.
const base64Triple, base64Quad = 3, 4

// DefaultConfig returns the configuration of an instance with the platform's settings.
func DefaultConfig(settings platform.Settings) Config {
	owner := medlarowner.DefaultConfig()
	owner.Cell.Lease = min(owner.Cell.Lease, settings.MaxLease)
	owner.Cell.MaxLease, owner.Ownership.MaxLease = settings.MaxLease, settings.MaxLease
	owner.Ownership.OutageLease = min(owner.Ownership.OutageLease, settings.MaxLease)
	owner.Cell.Cold = medlarcell.ColdConfig{RunTimeFactor: settings.ColdRunTimeFactor, MaxStarts: settings.ColdStarts}
	owner.Cell.KeepFinished = max(owner.Cell.KeepFinished, settings.KeepFinished+10*time.Second)
	owner.Cell.RemoteFactor = settings.RemoteFactor
	plan := medlarmemory.NewPlan(settings.MemoryMB)
	owner.Cell.Memory = cellMemory(plan)
	owner.Cell.Orders.StartBytes, owner.Cell.Orders.OtherBytes = plan.StartOrders, plan.OtherOrders
	maxRowBytes := settings.RowBytes / base64Quad * base64Triple
	if maxRowBytes > 0 {
		owner.Cell.MaxRowBytes = min(owner.Cell.MaxRowBytes, maxRowBytes)
	}
	return Config{
		Settings: settings, Owner: owner, Admission: medlaradmission.DefaultConfig(), Registry: medlarinstance.DefaultConfig(),
		Outage:           medlaroutage.DefaultConfig(),
		StoreConnections: 24, StoreTimeout: 1200 * time.Millisecond,
		ConfigLongPollWait: 700 * time.Millisecond, OwnerLongPollWait: 500 * time.Millisecond, FollowRetryDelay: 100 * time.Millisecond,
		OrderTimeout: 350 * time.Millisecond, WorkerConnections: 12, PeerTimeout: 300 * time.Millisecond,
		ProbeInterval: 250 * time.Millisecond, WaitingProbeInterval: 100 * time.Millisecond,
		ReadyMaxTableAge: 2 * time.Second, ReadyMaxFailedAge: 700 * time.Millisecond,
		DrainPeriod: max(settings.StopGrace/2, time.Second), MemoryLimitFraction: 0.6,
	}
}

// Node is an instance.
type Node struct {
	config Config
	log    zerolog.Logger
	meter  *medlarmetrics.Meter
	clock  medlarwheel.Clock
	clocks clocks
	store  *platform.Store
	// workerLimits are those of the responses of all workers together.
	workerLimits platform.ResponseLimits
	health       *medlargroupcommit.TableHealth
	groupCommit  *medlargroupcommit.Writer
	// promiseClients holds a client for each instance that was asked for a promise. ownerClient sends queries to the
	// owner, and forwardClient the rows that it is asked to store.
	promiseClients             peerClients
	ownerClient, forwardClient *peerClient
	// returnQueries is the number of queries for a return time that have no answer yet.
	returnQueries atomic.Int32
	process       string
	started       time.Time

	routes      atomic.Pointer[medlarroute.Table]
	term        atomic.Pointer[medlarownership.Term]
	owner       atomic.Pointer[medlarowner.Owner]
	stopping    atomic.Bool
	loadReports loadCache
	ownership   ownershipState
	evacuations evacuationState
	registry    registryState
	cpuProbe    *cpuProbe
	// slowChecks counts the consecutive checks at which the turnaround of the owner's orders was too long.
	slowChecks int
	// promisers are those of the present owner. Only followInstances uses them.
	promisers promisers
	// strongerAskedAt is when the owner has last asked stronger instances whether they could take the cell over.
	strongerAskedAt time.Time
	registration    registration
	// listeningAt is when this process began to listen for requests of other instances. No earlier process of the instance has listened
	// after it.
	listeningAt atomic.Pointer[time.Time]
	outage      outageDoor
	// cooldownUntil is the time until which this instance lets others claim the cell first, in Unix nanoseconds.
	cooldownUntil atomic.Int64
}

// New returns an instance that is not running yet.
func New(c Config, log zerolog.Logger, meter *medlarmetrics.Meter) (*Node, error) {
	clock, err := medlarclock.NewBootClock()
	if err != nil {
		return nil, err
	}
	plan := medlarmemory.NewPlan(c.Settings.MemoryMB)
	tableLimits := platform.TableResponseLimits(plan.TableResponses, plan.Parsing)
	tableClock := medlartable.NewClock(clock)
	n := &Node{
		config: c, log: log, meter: meter, clock: clock,
		store: platform.NewStore(platform.StoreConfig{
			Address: c.Settings.StoreAddress, Connections: c.StoreConnections, Timeout: c.StoreTimeout,
			Limits: &tableLimits, OnTime: tableClock.Observe,
		}),
		workerLimits: platform.WorkerResponseLimits(plan.WorkerResponses, plan.Parsing),
		health:       medlargroupcommit.NewTableHealth(clock),
		cpuProbe:     newCPUProbe(clock),
		ownerClient:  newPeerClient(c.PeerTimeout), forwardClient: newPeerClient(forwardTimeout),
		process:     fmt.Sprintf("%s-%d-%d", c.Settings.Instance, os.Getpid(), clock.Now().UnixNano()),
		started:     clock.Now(),
		registry:    registryState{instances: medlarinstance.NewRegistry(c.Registry)},
		ownership:   ownershipState{monitor: medlarownership.NewMonitor(c.Owner.Ownership)},
		loadReports: loadCache{byService: map[medlarwheel.ServiceName]loadEntry{}},
	}
	n.clocks = newClocks(n, tableClock)
	n.promiseClients.timeout = promiseTimeout
	n.outage.prepare()
	n.groupCommit = medlargroupcommit.New(medlargroupcommit.DefaultConfig(), n.store, n.health)
	return n, nil
}

// Run serves until the context ends. It then hands the cell over, waits until the load balancer sends it no new
// connections, and responds to the requests in flight.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	listeningAt := n.clock.Now()
	n.listeningAt.Store(&listeningAt)
	n.log.Info().Str("event", "instance-started").Str("process", n.process).Str("data-centre", string(n.config.Settings.DataCentre)).Msg("")
	working, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return n.runWithRestart(working, "follow-config", n.followConfig) })
	group.Go(func() error { return n.runWithRestart(working, "follow-owner", n.followOwner) })
	group.Go(func() error { return n.runWithRestart(working, "follow-instances", n.followInstances) })
	group.Go(func() error { return n.runWithRestart(working, "probe-table", n.probeTable) })
	group.Go(func() error { return n.runWithRestart(working, "registration", n.renewRegistration) })
	group.Go(func() error { return n.runWithRestart(working, "follow-outages", n.followOutages) })
	group.Go(func() error { return n.runWithRestart(working, "watch-memory", n.watchMemory) })
	for _, s := range servers {
		group.Go(s.serve)
	}
	select {
	case <-ctx.Done():
	case <-working.Done():
	}
	n.stop(servers)
	stopWork()
	err = group.Wait()
	n.log.Info().Str("event", "instance-stopped").Err(err).Msg("")
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// panicRestartDelay is the pause before a loop that has panicked is restarted.
const panicRestartDelay = time.Second

// runWithRestart runs a loop of the instance and restarts it after a panic: a row or message that crashes one loop must
// not stop the instance from serving clients.
func (n *Node) runWithRestart(ctx context.Context, name string, loop func(context.Context) error) error {
	for {
		err := medlarrecover.RunAndLog(n.log, n.meter, name, func() error { return loop(ctx) })
		if !medlarrecover.IsPanic(err) || !medlarclock.Sleep(ctx, panicRestartDelay) {
			return err
		}
	}
}

// stop releases the cell, waits until the load balancer sends no new connections, and closes the servers.
func (n *Node) stop(servers []*server) {
	n.stopping.Store(true)
	n.log.Info().Str("event", "instance-stopping").Msg("")
	n.refuseWaiting()
	ctx, cancel := context.WithTimeout(context.Background(), n.config.DrainPeriod)
	defer cancel()
	if owner := n.owner.Load(); owner != nil {
		n.releaseCell(ctx, owner)
	}
	n.unregister()
	<-ctx.Done()
	closing, cancelClosing := context.WithTimeout(context.Background(), n.config.DrainPeriod/2)
	defer cancelClosing()
	for _, s := range servers {
		if err := s.shutdown(closing); err != nil {
			n.log.Warn().Str("event", "server-not-drained").Str("server", s.name).Err(err).
				Msg("cannot shut down the server cleanly; remaining connections are cut when the process ends")
		}
	}
}

// maxWaitingProbes limits the probes without a response while requests wait for the table, and waitingProbeTimeout is their timeout.
// It is above the response time of a table that is a hundred times slower than usual. In a large cell
// the probes are sent less often, by all instances together one each probeIntervalPerInstance, until Config.ProbeInterval is reached.
const (
	maxWaitingProbes         = 5
	waitingProbeTimeout      = 500 * time.Millisecond
	probeIntervalPerInstance = time.Millisecond
)

// probeTable reads from the table while it does not respond, so that submissions are accepted as soon as it responds again. A probe
// that was sent during the outage may never get a response, so the next one does not wait for it.
func (n *Node) probeTable(ctx context.Context) error {
	var pending atomic.Int32
	var last time.Time
	for medlarclock.Sleep(ctx, n.config.WaitingProbeInterval) {
		now, timeout := n.clock.Now(), n.config.StoreTimeout
		early := n.waiting() > 0 && pending.Load() < maxWaitingProbes &&
			now.Sub(last) >= time.Duration(n.registeredInstances())*probeIntervalPerInstance
		if early {
			timeout = waitingProbeTimeout
		}
		if n.health.HasFailed() && (early || now.Sub(last) >= n.config.ProbeInterval) {
			last = now
			pending.Add(1)
			go func() {
				defer pending.Add(-1)
				if _, err := n.store.ReadWithin(n.claimRange(), timeout); err == nil {
					n.health.Report(true)
				}
			}()
		}
	}
	return ctx.Err()
}
