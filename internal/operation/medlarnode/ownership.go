package medlarnode

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// watchDialTimeout is the timeout for opening the connection by which watchProcess detects the end of the owner's process.
const watchDialTimeout = time.Second

// watchRedialDelay is the pause after that connection could not be opened.
const watchRedialDelay = 100 * time.Millisecond

// ownershipState is what this instance knows about the ownership of the cell.
type ownershipState struct {
	mu      sync.Mutex
	monitor *medlarownership.Monitor
	// waitingToClaim is true while this instance waits for the delay before it claims the cell.
	waitingToClaim atomic.Bool
	// claimLock serialises the claims of this instance.
	claimLock sync.Mutex
	// unresolved is a claim whose response was lost. The table may still carry it out.
	unresolved *unresolvedClaim
	// startedTerm is the number of the last term of which this process has run the owner.
	startedTerm uint64
}

// withMonitor calls use with the monitor under the lock. The lock is released after a panic too, so that a restarted loop
// does not deadlock.
func (n *Node) withMonitor(use func(m *medlarownership.Monitor)) {
	n.ownership.mu.Lock()
	defer n.ownership.mu.Unlock()
	use(n.ownership.monitor)
}

// followOwner watches the claim of the cell, and claims the cell when its owner is gone.
func (n *Node) followOwner(ctx context.Context) error {
	f := medlartable.Follower{
		Store: n.store, Table: medlarownership.Table, Wait: n.ownerLongPollWait, RetryDelay: n.config.FollowRetryDelay,
		ReadAll: func() ([]medlartable.Row, medlarwheel.RowVersion, error) {
			return medlartable.ReadAll(n.store, medlartable.Range{Table: medlarownership.Table, Part: n.config.Owner.Part})
		},
		OnError: func(err error) {
			n.log.Warn().Str("event", "owner-read-failed").Err(err).Msg("cannot read the claim of the cell; retrying")
		},
	}
	return f.Run(ctx, func(rows []medlartable.Row, _ bool) {
		n.health.Report(true)
		n.observeOwnership(ctx, rows)
		if n.shouldClaim() {
			// The claim runs in the background, so that this loop sees the claim of another instance in time.
			go n.claimAfterDelay(ctx, n.claimDelay)
		}
	})
}

// ownerLongPollWait returns how long the table may hold the next long poll for the claim. It ends no later than the time
// at which a missing renewal lets this instance claim the cell. Once the cell can be claimed, the wait is the full
// OwnerLongPollWait, so that an instance whose claim fails does not poll without pause.
func (n *Node) ownerLongPollWait() time.Duration {
	n.ownership.mu.Lock()
	defer n.ownership.mu.Unlock()
	if untilClaim := n.ownership.monitor.TimeUntilClaim(); untilClaim > 0 {
		return min(n.config.OwnerLongPollWait, untilClaim)
	}
	return n.config.OwnerLongPollWait
}

func (n *Node) observeOwnership(ctx context.Context, rows []medlartable.Row) {
	var err error
	var term medlarownership.Term
	n.withMonitor(func(m *medlarownership.Monitor) {
		err = m.Observe(n.clock.Now(), rows)
		term = m.Term()
		if term.Instance == n.config.Settings.Instance && term.Process != n.process {
			// The claim belongs to an earlier process of this instance.
			m.OwnerDied(term)
		}
	})
	if err != nil {
		n.log.Error().Str("event", "row-refused").Str("table", medlarownership.Table).Err(err).
			Msg("cannot decode a claim or renewal row; ignoring it")
	}
	n.setTerm(ctx, term)
	n.adoptUnresolvedClaim(ctx, term)
}

// adoptUnresolvedClaim starts the scheduler for a claim whose response was lost, once the table shows that it was
// carried out. It forgets a claim that can no longer take effect.
func (n *Node) adoptUnresolvedClaim(ctx context.Context, term medlarownership.Term) {
	n.ownership.mu.Lock()
	unresolved := n.ownership.unresolved
	if unresolved == nil || term.Number < unresolved.term.Number {
		if unresolved != nil && n.ownership.monitor.HasRenewedSince(unresolved.required) {
			n.ownership.unresolved = nil
		}
		n.ownership.mu.Unlock()
		return
	}
	n.ownership.unresolved = nil
	n.ownership.mu.Unlock()
	if term.Process != n.process || term.Released || term.Number != unresolved.term.Number || n.owner.Load() != nil {
		return
	}
	n.logClaim(term, unresolved.predecessor).Str("reason", "answer lost").Msg("")
	n.startOwner(ctx, term, unresolved.claimedAt, unresolved.predecessor)
}

// setTerm records who owns the cell, and watches the process of a new owner.
func (n *Node) setTerm(ctx context.Context, t medlarownership.Term) {
	for {
		current := n.term.Load()
		if t.Number == 0 || current != nil && current.Version >= t.Version {
			return
		}
		if n.term.CompareAndSwap(current, &t) {
			break
		}
	}
	n.log.Info().Str("event", "owner-changed").Uint64("term", t.Number).Uint64("version", uint64(t.Version)).Str("owner", string(t.Instance)).
		Bool("released", t.Released).Msg("")
	if t.Instance != n.config.Settings.Instance && !t.Released {
		go n.watchProcess(ctx, t)
	}
}

// watchProcess keeps a connection to the owner open to detect the end of its process. The process has ended when the
// connection is closed and then another process responds at its address, or none accepts connections. A missing response
// proves nothing.
func (n *Node) watchProcess(ctx context.Context, t medlarownership.Term) {
	for ctx.Err() == nil {
		if current := n.term.Load(); current == nil || current.Number != t.Number {
			return
		}
		if ended, certain := n.ownerProcessEnded(t); ended {
			n.log.Warn().Str("event", "owner-process-ended").Uint64("term", t.Number).Str("owner", string(t.Instance)).
				Bool("certain", certain).
				Msg("process of the owner has ended or refuses connections; claiming the cell if it has no owner")
			n.withMonitor(func(m *medlarownership.Monitor) {
				if certain {
					m.OwnerDied(t)
				} else {
					m.OwnerSuspected(t)
				}
			})
			n.claimAfterDelay(ctx, n.claimDelay)
			return
		}
		n.waitForClose(ctx, t.Address)
	}
}

// ownerProcessEnded reports whether the owner's process seems to have ended, and whether that is certain. A network
// partition may cause refused connections too; only a response with another process name is proof.
func (n *Node) ownerProcessEnded(t medlarownership.Term) (ended, certain bool) {
	response, err := n.ownerClient.call(t.Address, peerPathProcess, peerRequest{})
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), false
	}
	return response.Process != t.Process, response.Process != t.Process
}

// waitForClose blocks until a connection to the address is closed. If it cannot be opened, it returns after a pause.
func (n *Node) waitForClose(ctx context.Context, address string) {
	conn, err := net.DialTimeout("tcp4", address, watchDialTimeout)
	if err != nil {
		medlarclock.Sleep(ctx, watchRedialDelay)
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	// Nothing is ever sent on this connection, so any result of the read means that it has ended.
	_, _ = conn.Read(make([]byte, 1))
	_ = conn.Close()
}

// ownerGCPercent lets the heap of an owner grow to four times its live memory, within the memory limit. With the
// default, garbage collection took about a tenth of the CPU time of an owner with 890 workers. Other instances keep the
// default and use less memory.
const (
	ownerGCPercent   = 300
	defaultGCPercent = 100
)

// startOwner runs the scheduler in the background until it loses the cell. It does nothing if this process has already
// started the owner of the term.
func (n *Node) startOwner(ctx context.Context, term medlarownership.Term, claimedAt time.Time, predecessor medlarownership.Predecessor) {
	if !n.ownership.beginTerm(term.Number) {
		n.log.Info().Str("event", "owner-already-started").Uint64("term", term.Number).Msg("")
		return
	}
	config := n.config.Owner
	config.Cell.Memory = n.memoryLimits()
	owner := medlarowner.New(config, medlarowner.Dependencies{
		Store:    n.store,
		Registry: medlarowner.Registry{Range: platform.WorkerRange(), Decode: platform.DecodeWorker},
		Connect: func(id medlarwheel.WorkerID, address string, connections int) medlarowner.Agent {
			return platform.NewWorker(platform.WorkerConfig{
				ID: id, Address: address, Timeout: n.config.OrderTimeout, Connections: connections, Limits: &n.workerLimits,
			})
		},
		Connections: func(workers int) int {
			return connectionsPerWorker(n.config.Settings.Descriptors, workers, n.config.WorkerConnections)
		},
		Evacuations: medlarowner.Evacuations{Range: platform.EvacuationRange(), Decode: platform.DecodeEvacuation},
		Clock:       n.clock, Clocks: &n.clocks, RegistryVersion: n.registryVersion, Log: n.log, Meter: n.meter,
	}, term, claimedAt, predecessor)
	if n.stopping.Load() {
		// It sends no orders: an earlier owner need not have asked this instance for a promise since it left the registry.
		go func() { n.logRelease(owner.Decline()) }()
		return
	}
	n.owner.Store(owner)
	if table := n.routes.Load(); table != nil {
		// A newer table, which is stored at this moment, follows.
		owner.SetRoutes(table.Version, table.RouteServices())
	}
	n.passEvacuations(owner)
	n.meter.Count("owner.started")
	n.log.Info().Str("event", "owner-started").Uint64("term", term.Number).Uint64("version", uint64(term.Version)).Str("process", term.Process).
		Int64("claim-age-ms", n.clock.Now().Sub(claimedAt).Milliseconds()).Bool("expired", predecessor.Expired).
		Int64("grace-ms", predecessor.Grace.Milliseconds()).Int64("outage-leases-ms", predecessor.OutageLeases.Milliseconds()).
		Int("stated-leases", len(predecessor.LeaseEnds)).Msg("")
	go func() {
		debug.SetGCPercent(ownerGCPercent)
		defer debug.SetGCPercent(defaultGCPercent)
		err := owner.Run(ctx)
		n.owner.CompareAndSwap(owner, nil)
		if medlarrecover.IsPanic(err) {
			// The next owner reads the same records. If the fault depends on the state of this process, another process
			// does not hit it.
			n.cooldownUntil.Store(n.clock.Now().Add(claimCooldown).UnixNano())
		}
		n.log.Info().Str("event", "ownership-ended").Uint64("term", term.Number).Err(err).Msg("")
	}()
	if n.stopping.Load() {
		// The instance may have looked for an owner to release before this one was started.
		go n.releaseCell(ctx, owner)
	}
}
