package medlarnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarinstance"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// registryState is what this instance knows about the others.
type registryState struct {
	mu        sync.Mutex
	instances *medlarinstance.Registry
	// lastReadAt is when the list was last read, and triedAt when the owner last tried to. Only followInstances uses triedAt.
	lastReadAt, lastAttemptAt time.Time
}

// renewRegistration keeps the row of this instance in the table, and removes it at a planned stop.
func (n *Node) renewRegistration(ctx context.Context) error {
	row, err := medlarinstance.Row(n.config.Owner.Part, medlarinstance.Instance{
		ID: n.config.Site.Instance, Address: n.config.Site.Peer, Process: n.process, Power: n.config.Site.Power,
		Started: n.started,
	})
	if err != nil {
		return err
	}
	for {
		pause := n.config.Registry.RenewInterval
		sentAt := n.clock.Now()
		if _, err := n.store.Transact(medlartable.Transaction{Put: []medlartable.Row{row}}); err != nil {
			n.log.Warn().Str("event", "registration-failed").Err(err).Msg("")
			pause = n.config.Registry.RetryInterval
		} else {
			n.registration.recordRenewal(sentAt, n.clock.Now())
		}
		if !medlarclock.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// registration is for how long this instance has been in the register without a gap.
type registration struct {
	mu                           sync.Mutex
	continuousSince, lastRenewal time.Time
}

// minRegistrationTime is how long an instance must have been in the register before it claims the cell from an owner that was not
// heard of: the owner may go on without the table on the word of the instances that its register names.
const minRegistrationTime = maxTrustedRegistryAge + time.Second

// maxRegistrationRenewalAge is the age of the last renewal up to which every register names the instance. It is below the lifetime
// of a row in the register by more than the age that a register may have.
const maxRegistrationRenewalAge = 9 * time.Second

// recordRenewal notes a renewal that was stored between two times.
func (g *registration) recordRenewal(sentAt, storedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.continuousSince.IsZero() || storedAt.Sub(g.lastRenewal) > maxRegistrationRenewalAge {
		g.continuousSince = storedAt
	}
	g.lastRenewal = sentAt
}

// isContinuousFor reports whether the instance has been in the register for a time without a gap. After minRegistered every owner's
// register names it.
func (g *registration) isContinuousFor(now time.Time, atLeast time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.continuousSince.IsZero() && now.Sub(g.continuousSince) >= atLeast && now.Sub(g.lastRenewal) <= maxRegistrationRenewalAge
}

// followInstances follows the register while this instance owns the cell.
func (n *Node) followInstances(ctx context.Context) error {
	for medlarclock.Sleep(ctx, authorityCheckInterval) {
		owner := n.owner.Load()
		if owner == nil {
			continue
		}
		n.refreshRegistry()
		n.extendAuthority(ctx, owner)
		n.yieldToBetterInstance(ctx, owner)
	}
	return ctx.Err()
}

const (
	// authorityCheckInterval is how often an owner looks whether the table is away. It is a fraction of the owner's timeout.
	authorityCheckInterval = 150 * time.Millisecond
	// registryRefreshInterval is the age of the register at which an owner reads it anew.
	registryRefreshInterval = 2 * time.Second
	// claimReadTimeout bounds the read by which an instance finds out whether the table answers it.
	claimReadTimeout = 120 * time.Millisecond
	// promiseTimeout bounds the question to another instance, which then reads the table itself.
	promiseTimeout = 220 * time.Millisecond
	// renewalOverdueAge is the age of the last renewal from which on an owner asks the others. It leaves time for their answers
	// before the owner's own time is over.
	renewalOverdueAge = 750 * time.Millisecond
	// maxReachableTableAge is the age of the table's last answer up to which it serves this instance, however slowly. It is above the
	// time that a slow table takes for an answer, and an owner that is not served gives up the cell before its own time ends.
	maxReachableTableAge = 900 * time.Millisecond
)

// refreshRegistry reads the register when it is old and the table answers.
func (n *Node) refreshRegistry() {
	now := n.clock.Now()
	if now.Sub(n.registry.lastAttemptAt) < registryRefreshInterval || now.Sub(n.health.LastSuccess()) > maxReachableTableAge {
		return
	}
	n.registry.lastAttemptAt = now
	rows, err := medlarinstance.Read(n.store, n.config.Owner.Part)
	if err != nil {
		n.log.Warn().Str("event", "register-read-failed").Err(err).Msg("")
		return
	}
	n.updateRegistry(now, rows)
}

// updateRegistry takes in the rows of a read that began at readAt.
func (n *Node) updateRegistry(readAt time.Time, rows []medlartable.Row) {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	n.registry.lastReadAt = readAt
	before := n.registry.instances.Len()
	if err := n.registry.instances.Replace(n.clock.Now(), rows); err != nil {
		n.log.Error().Str("event", "row-refused").Str("table", medlarinstance.Table).Err(err).Msg("")
	}
	if after := n.registry.instances.Len(); after != before {
		n.log.Info().Str("event", "register-changed").Int("instances", after).Msg("")
	}
}

const (
	// yieldPowerFactor is how much stronger another instance must be for the owner to hand the cell over. A hand-over costs
	// some hundred milliseconds of scheduling.
	yieldPowerFactor = 1.5
	// minOwnershipBeforeYield is how long an instance owns the cell at least, so that the register is complete and the cell does not
	// move back and forth.
	minOwnershipBeforeYield = 3 * time.Second
)

// yieldToBetterInstance hands the cell over when another instance serves it better.
func (n *Node) yieldToBetterInstance(ctx context.Context, owner *medlarowner.Owner) {
	now := n.clock.Now()
	if now.Sub(n.health.LastSuccess()) > maxReachableTableAge || now.Sub(owner.ClaimedAt()) < minOwnershipBeforeYield {
		return
	}
	n.registry.mu.Lock()
	live := n.registry.instances.Live(now)
	n.registry.mu.Unlock()
	if len(live) < 2 {
		return
	}
	strongest := medlarinstance.MaxPower(live)
	switch turnaround := owner.Turnaround(); {
	case n.isTurnaroundSlow(turnaround) && n.cpuProbe.isThrottled():
		n.cooldownUntil.Store(now.Add(claimCooldown).UnixNano())
		n.log.Warn().Str("event", "cell-yielded").Int64("turnaround-ms", turnaround.Milliseconds()).Msg("")
	case strongest >= yieldPowerFactor*n.config.Site.Power:
		n.log.Info().Str("event", "cell-yielded").Float64("power", n.config.Site.Power).Float64("strongest", strongest).Msg("")
	default:
		return
	}
	n.releaseCell(ctx, owner)
}

// releaseCell gives the cell back. Otherwise the others claim it once they miss its renewals.
func (n *Node) releaseCell(ctx context.Context, owner *medlarowner.Owner) {
	if err := owner.Release(ctx); err != nil {
		n.log.Warn().Str("event", "release-failed").Err(err).Msg("")
	}
}

const (
	// maxTurnaround is the mean turnaround of orders from which on an owner leaves the cell to another instance. It is a good
	// part of the slack of a short submission.
	maxTurnaround = 150 * time.Millisecond
	// slowChecksBeforeYield is the number of looks in a row at which the turnaround is too long, so that a burst of starts does not count.
	slowChecksBeforeYield = 5
	// claimCooldown is for how long an instance that has left the cell for its slowness leaves it to others.
	claimCooldown = 5 * time.Second
)

// isTurnaroundSlow reports whether orders take too long, for want of processor time or because there are too many.
func (n *Node) isTurnaroundSlow(turnaround time.Duration) bool {
	if turnaround < maxTurnaround {
		n.slowChecks = 0
		return false
	}
	n.slowChecks++
	return n.slowChecks%slowChecksBeforeYield == 0
}

// cooldownClaimDelay is the time in which another instance claims a vacant cell, weak ones included.
const cooldownClaimDelay = 1600 * time.Millisecond

// cooldownDelay returns how much longer an instance waits before it claims a cell that it has left for its slowness. The claim of
// another instance takes some hundred milliseconds at most.
func (n *Node) cooldownDelay() time.Duration {
	if n.clock.Now().UnixNano() < n.cooldownUntil.Load() {
		return cooldownClaimDelay
	}
	return 0
}

// claimDelay returns how long this instance waits before it claims a vacant cell: until the claims of all instances that go
// before it would have been seen.
func (n *Node) claimDelay() time.Duration {
	readAt := n.clock.Now()
	rows, err := medlarinstance.Read(n.store, n.config.Owner.Part)
	took := n.clock.Now().Sub(readAt)
	if err != nil {
		n.log.Warn().Str("event", "register-read-failed").Err(err).Msg("")
		return rand.N(maxClaimSlot)
	}
	n.updateRegistry(readAt, rows)
	var before medlarownership.Term
	n.withWatch(func(w *medlarownership.Monitor) { before = w.Term() })
	n.registry.mu.Lock()
	turn := medlarinstance.ClaimRank(n.registry.instances.All(), n.config.Site.Instance, before.Process, before.Number)
	n.registry.mu.Unlock()
	return time.Duration(turn)*claimSlot(took) + n.cooldownDelay()
}

const (
	// minClaimSlot is the time in which others see a claim while the table is fast.
	minClaimSlot = 25 * time.Millisecond
	// maxClaimSlot bounds the slot while the table is slow, so that a cell is not left alone for long when the first in turn
	// has failed too.
	maxClaimSlot = 250 * time.Millisecond
	// claimSlotReadFactor times the duration of a read is the time for a claim to be stored and seen.
	claimSlotReadFactor = 2
)

// claimSlot returns how long an instance leaves the cell to the one that goes before it. Claims that fail are not free: a
// slow table takes a tenth of a second for each, and the renewals of the new owner wait behind them.
func claimSlot(readTook time.Duration) time.Duration {
	return min(max(claimSlotReadFactor*readTook, minClaimSlot), maxClaimSlot)
}

// extendAuthority lets the owner go on while it can't renew its claim, if none of the instances that could claim the cell
// does so meanwhile. If the table answers another instance and not this one, the owner hands the cell over.
func (n *Node) extendAuthority(ctx context.Context, owner *medlarowner.Owner) {
	now := n.clock.Now()
	quiet := now.Sub(owner.RenewedAt())
	if quiet < renewalOverdueAge {
		return
	}
	n.registry.mu.Lock()
	peers := n.registry.instances.Live(n.registry.lastReadAt)
	age := now.Sub(n.registry.lastReadAt)
	n.registry.mu.Unlock()
	served := make(chan bool, 1)
	go func() { served <- isTableReachable(n.canReadClaim(), n.clock.Now().Sub(n.health.LastSuccess())) }()
	var lease time.Duration
	if quiet >= n.config.Owner.Tenure.OutageThreshold {
		lease = n.config.Owner.Tenure.OutageLease
	}
	answers := n.requestPromises(ctx, peers, peerRequest{Term: owner.TermNumber(), OutageLease: lease})
	if heir, found := strongestSuccessor(answers); !<-served && found {
		n.handOver(ctx, owner, heir)
		return
	}
	if refuser, ok := canExtendAuthority(answers, age); !ok {
		n.log.Warn().Str("event", "authority-not-extended").Str("refuser", string(refuser)).Int("instances", len(answers)).
			Int64("register-age-ms", age.Milliseconds()).Int64("renewal-age-ms", quiet.Milliseconds()).Msg("")
		return
	}
	n.recordOutageLease(now, lease)
	owner.ExtendAuthority(now.Add(n.config.Owner.Tenure.OwnerTimeout), lease)
	n.log.Info().Str("event", "authority-extended").Int("instances", len(peers)).
		Int64("renewal-age-ms", quiet.Milliseconds()).Int64("lease-ms", lease.Milliseconds()).Msg("")
}

// isTableReachable reports whether the table serves this instance: it has answered a read in the time of a fast table, or any call a
// moment ago. A slow table answers some reads in time and others not, which is no reason to change the owner.
func isTableReachable(readInTime bool, answerAge time.Duration) bool {
	return readInTime || answerAge < maxReachableTableAge
}

// maxTrustedRegistryAge is the age of the register up to which it names every instance that may claim the cell from an owner that
// was not heard of. Such an instance must have been registered for longer.
const maxTrustedRegistryAge = 8 * time.Second

// canExtendAuthority reports whether all other instances have promised not to claim the cell, and if not, one that has not. Without
// another instance nobody can promise anything.
func canExtendAuthority(answers []promiseReply, registerAge time.Duration) (refuser medlarwheel.InstanceID, ok bool) {
	for _, a := range answers {
		if !a.promised {
			return a.peer.ID, false
		}
	}
	return "", len(answers) > 0 && registerAge <= maxTrustedRegistryAge
}

// canReadClaim reports whether the table answers reads of the part that holds the claim of the cell.
func (n *Node) canReadClaim() bool {
	_, err := n.store.ReadWithin(n.claimRange(), claimReadTimeout)
	return err == nil
}

func (n *Node) claimRange() medlartable.Range {
	return medlartable.Range{
		Table: medlarownership.Table, Part: n.config.Owner.Part, From: medlarownership.KeyTerm, To: medlarownership.KeyTerm + "\x00",
	}
}

// promiseReply is what another instance says about the table.
type promiseReply struct {
	peer medlarinstance.Instance
	// tableReachable is true if the table answers it.
	tableReachable bool
	promised       bool
}

// requestPromises asks all other instances at once for the promise not to claim the cell.
func (n *Node) requestPromises(ctx context.Context, peers []medlarinstance.Instance, q peerRequest) []promiseReply {
	results := make(chan promiseReply, len(peers))
	asked := 0
	for _, peer := range peers {
		if peer.ID == n.config.Site.Instance {
			continue
		}
		asked++
		go func() {
			a, err := n.promiseClients.clientFor(peer.Address).call(peer.Address, peerPathPromise, q)
			results <- promiseReply{peer: peer, tableReachable: err == nil && a.TableReachable, promised: err == nil && a.Promise}
		}()
	}
	views := make([]promiseReply, 0, asked)
	for range asked {
		select {
		case v := <-results:
			views = append(views, v)
		case <-ctx.Done():
			return append(views, promiseReply{})
		}
	}
	return views
}

// strongestSuccessor returns the strongest instance that the table serves.
func strongestSuccessor(views []promiseReply) (heir medlarinstance.Instance, found bool) {
	for _, v := range views {
		if v.tableReachable && (!found || v.peer.Power > heir.Power) {
			heir, found = v.peer, true
		}
	}
	return heir, found
}

// handOver stops the owner and asks another instance to claim the cell. If that fails, the others claim it once they miss
// its renewals.
func (n *Node) handOver(ctx context.Context, owner *medlarowner.Owner, heir medlarinstance.Instance) {
	owner.Stop(ctx)
	_, err := n.promiseClients.clientFor(heir.Address).call(heir.Address, peerPathTakeOver, peerRequest{
		Term: owner.TermNumber(), LeasesLeft: owner.OutageLeases(),
	})
	n.log.Info().Str("event", "cell-handed-over").Uint64("term", owner.TermNumber()).Str("to", string(heir.ID)).Err(err).Msg("")
}

// takeOver claims the cell from an owner that has said that it gives no more orders.
func (n *Node) takeOver(term uint64, leases time.Duration) {
	n.withWatch(func(w *medlarownership.Monitor) { w.OwnerStopped(n.clock.Now(), term, leases) })
	// The owner has chosen this instance, so that it does not wait for its turn.
	n.claimAfterDelay(context.Background(), func() time.Duration { return 0 })
}

// grantPromise promises the owner not to claim the cell for a while. An instance that owns the cell itself, or whose claim is on
// its way or may still be carried out, can't promise that. The lease is what the owner grants with everyone's promise.
func (n *Node) grantPromise(term uint64, lease time.Duration) bool {
	if !n.ownership.claimLock.TryLock() {
		return false
	}
	defer n.ownership.claimLock.Unlock()
	now := n.clock.Now()
	n.recordOutageLease(now, lease)
	n.ownership.mu.Lock()
	defer n.ownership.mu.Unlock()
	return n.owner.Load() == nil && n.ownership.unresolved == nil && n.ownership.watch.Promise(now, term)
}

// recordOutageLease remembers the leases of an outage, in case this instance claims the cell next.
func (n *Node) recordOutageLease(now time.Time, lease time.Duration) {
	n.withWatch(func(w *medlarownership.Monitor) { w.RecordOutageLease(now, lease) })
}

// unregister removes the row of this instance.
func (n *Node) unregister() {
	if _, err := n.store.Transact(medlarinstance.Remove(n.config.Owner.Part, n.config.Site.Instance)); err != nil {
		n.log.Warn().Str("event", "unregister-failed").Err(errors.WithMessage(err, "the row expires")).Msg("")
	}
}
