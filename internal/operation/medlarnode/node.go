// Package medlarnode assembles an instance: it accepts submissions, follows the configuration and the ownership of the
// cell, and runs the scheduler while it owns the cell.
//
// # Usage
//
//	node, err := medlarnode.New(medlarnode.DefaultConfig(site), log, meter)
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
	"medlarwheel/internal/acceptance/medlarroute"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarinstance"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/platform"
)

// Config configures an instance.
type Config struct {
	Site      platform.Settings
	Owner     medlarowner.Config
	Admission medlaradmission.Config
	// Registry configures the register of instances.
	Registry medlarinstance.Config
	// StoreConnections bounds the connections to the platform's table.
	StoreConnections int
	// StoreTimeout bounds a call to the table: a table that is a hundred times slower than usual still answers in it.
	StoreTimeout time.Duration
	// ConfigLongPollWait is how long the table may hold a read of the configuration's changes. It bounds the time lost on a
	// connection gone silent, well below the time in which a configuration has to be in force.
	ConfigLongPollWait time.Duration
	// OwnerLongPollWait is how long the table may hold a read of the claim of the cell. It is well below the greatest gap
	// between answers that counts as observed.
	OwnerLongPollWait time.Duration
	// FollowRetryDelay is the pause after a failed read of changes.
	FollowRetryDelay time.Duration
	// OrderTimeout bounds an order to a worker.
	OrderTimeout time.Duration
	// WorkerConnections bounds the connections to one worker.
	WorkerConnections int
	// PeerTimeout bounds a question to the owner of the cell.
	PeerTimeout time.Duration
	// ProbeInterval is how often an instance asks a table that does not answer.
	ProbeInterval time.Duration
	// ReadyMaxTableAge is the age of the table's last answer up to which the instance reports itself ready.
	ReadyMaxTableAge time.Duration
	// DrainPeriod is how long a stopping instance still answers on open connections, so that the balancer has taken it out.
	DrainPeriod time.Duration
	// MemoryLimitFraction is the share of the memory limit above which the garbage collector works harder.
	MemoryLimitFraction float64
}

// DefaultConfig returns the configuration of an instance on the site.
func DefaultConfig(site platform.Settings) Config {
	owner := medlarowner.DefaultConfig()
	owner.Cell.Lease = min(owner.Cell.Lease, site.MaxLease)
	owner.Tenure.MaxLease = site.MaxLease
	owner.Tenure.OutageLease = min(owner.Tenure.OutageLease, site.MaxLease)
	owner.Cell.KeepFinished = max(owner.Cell.KeepFinished, site.KeepFinished+10*time.Second)
	return Config{
		Site: site, Owner: owner, Admission: medlaradmission.DefaultConfig(), Registry: medlarinstance.DefaultConfig(),
		StoreConnections: 24, StoreTimeout: 1200 * time.Millisecond,
		ConfigLongPollWait: 700 * time.Millisecond, OwnerLongPollWait: 500 * time.Millisecond, FollowRetryDelay: 100 * time.Millisecond,
		OrderTimeout: 350 * time.Millisecond, WorkerConnections: 12, PeerTimeout: 300 * time.Millisecond,
		ProbeInterval: 250 * time.Millisecond, ReadyMaxTableAge: 2500 * time.Millisecond,
		DrainPeriod: max(site.StopGrace/2, time.Second), MemoryLimitFraction: 0.6,
	}
}

// Node is an instance.
type Node struct {
	config Config
	log    zerolog.Logger
	meter  *medlarmetrics.Meter
	clock  medlarwheel.Clock
	store  *platform.Store
	health *medlargroupcommit.TableHealth
	intake *medlargroupcommit.Writer
	// promiseClients holds a client for each instance that was asked for a promise.
	promiseClients peerClients
	ownerClient    *peerClient
	process        string
	started        time.Time

	routes      atomic.Pointer[medlarroute.Table]
	term        atomic.Pointer[medlarownership.Term]
	owner       atomic.Pointer[medlarowner.Owner]
	stopping    atomic.Bool
	loadReports loadCache
	ownership   ownershipState
	registry    registryState
	cpuProbe    *cpuProbe
	// slowChecks counts the looks in a row at which the owner's orders took too long.
	slowChecks   int
	registration registration
	// cooldownUntil is until when this instance leaves the cell to others, in nanoseconds of the Unix time.
	cooldownUntil atomic.Int64
}

// New returns an instance that is not running yet.
func New(c Config, log zerolog.Logger, meter *medlarmetrics.Meter) (*Node, error) {
	clock, err := medlarclock.NewBootClock()
	if err != nil {
		return nil, err
	}
	n := &Node{
		config: c, log: log, meter: meter, clock: clock,
		store: platform.NewStore(platform.StoreConfig{
			Address: c.Site.StoreAddress, Connections: c.StoreConnections, Timeout: c.StoreTimeout,
		}),
		health:      medlargroupcommit.NewTableHealth(clock),
		cpuProbe:    newCPUProbe(clock),
		ownerClient: newPeerClient(c.PeerTimeout),
		process:     fmt.Sprintf("%s-%d-%d", c.Site.Instance, os.Getpid(), clock.Now().UnixNano()),
		started:     clock.Now(),
		registry:    registryState{instances: medlarinstance.NewRegistry(c.Registry)},
		ownership:   ownershipState{watch: medlarownership.NewMonitor(c.Owner.Tenure)},
		loadReports: loadCache{byService: map[medlarwheel.ServiceName]loadEntry{}},
	}
	n.intake = medlargroupcommit.New(medlargroupcommit.DefaultConfig(), n.store, n.health)
	return n, nil
}

// Run serves until the context ends. It then takes itself out of the balancer, answers what is on its way and gives the
// cell back.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	n.log.Info().Str("event", "instance-started").Str("process", n.process).Str("data-centre", string(n.config.Site.DataCentre)).Msg("")
	working, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return n.runWithRestart(working, "follow-config", n.followConfig) })
	group.Go(func() error { return n.runWithRestart(working, "follow-owner", n.followOwner) })
	group.Go(func() error { return n.runWithRestart(working, "follow-instances", n.followInstances) })
	group.Go(func() error { return n.runWithRestart(working, "probe-table", n.probeTable) })
	group.Go(func() error { return n.runWithRestart(working, "registration", n.renewRegistration) })
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

// panicRestartDelay is the pause before a loop that has panicked runs again.
const panicRestartDelay = time.Second

// runWithRestart runs a loop of the instance, and again after a panic: what one row or message does to a loop must not end the
// answers to clients.
func (n *Node) runWithRestart(ctx context.Context, part string, loop func(context.Context) error) error {
	for {
		err := medlarrecover.RunAndLog(n.log, n.meter, part, func() error { return loop(ctx) })
		if !medlarrecover.IsPanic(err) || !medlarclock.Sleep(ctx, panicRestartDelay) {
			return err
		}
	}
}

// stop hands the cell over, waits until the balancer sends no new connections, and closes the servers.
func (n *Node) stop(servers []*server) {
	n.stopping.Store(true)
	n.log.Info().Str("event", "instance-stopping").Msg("")
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
			n.log.Warn().Str("event", "server-not-drained").Str("server", s.name).Err(err).Msg("")
		}
	}
}

// probeTable asks the table while it does not answer, so that submissions are accepted again as soon as it does. The probes
// do not wait for each other: one that was sent before the table came back may stay without an answer.
func (n *Node) probeTable(ctx context.Context) error {
	for medlarclock.Sleep(ctx, n.config.ProbeInterval) {
		if !n.health.HasFailed() {
			continue
		}
		go func() {
			if _, err := n.store.Read(n.claimRange()); err == nil {
				n.health.Report(true)
			}
		}()
	}
	return ctx.Err()
}
