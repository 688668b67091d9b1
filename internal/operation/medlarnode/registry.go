package medlarnode

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/operation/medlarmemory"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarinstance"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// registryState is what this instance knows about the other instances.
type registryState struct {
	mu        sync.Mutex
	instances *medlarinstance.Registry
	// version is that of the table as of which instances was read. It never decreases.
	version medlarwheel.RowVersion
	// lastReadAt is when the last successful read of the registry began, and lastAttemptAt when the owner last tried to
	// read it. Only followInstances uses lastAttemptAt.
	lastReadAt, lastAttemptAt time.Time
}

// followInstances reads the registry and checks the ownership while this instance owns the cell.
func (n *Node) followInstances(ctx context.Context) error {
	for medlarclock.Sleep(ctx, authorityCheckInterval) {
		owner := n.owner.Load()
		if owner == nil {
			continue
		}
		n.refreshRegistry(owner)
		n.extendAuthority(ctx, owner)
		n.yieldToBetterInstance(ctx, owner)
	}
	return ctx.Err()
}

const (
	// authorityCheckInterval is how often an owner checks whether its renewals fail. It is a fraction of the owner's
	// timeout.
	authorityCheckInterval = 150 * time.Millisecond
	// registryRefreshInterval is the age of its copy at which an owner reads the registry again.
	registryRefreshInterval = 2 * time.Second
	// claimReadTimeout is the timeout of the read by which an instance finds out whether the table responds to it.
	claimReadTimeout = 120 * time.Millisecond
	// promiseTimeout is the timeout of the promise request to another instance, which then reads the table itself.
	promiseTimeout = 220 * time.Millisecond
	// renewalOverdueAge is the age of the last renewal from which an owner requests promises from the other instances. It
	// leaves time for their responses before the owner's authority expires.
	renewalOverdueAge = 750 * time.Millisecond
	// maxReachableTableAge is the maximum age of the table's last response at which the table counts as reachable. It is
	// above the response time of a slow table. It is below the owner's timeout, so that an owner which cannot reach the
	// table gives up the cell before its authority expires.
	maxReachableTableAge = 900 * time.Millisecond
)

// refreshRegistry reads the registry if the local copy is old and the table responds, and passes what follows from it to the owner.
func (n *Node) refreshRegistry(owner *medlarowner.Owner) {
	now := n.clock.Now()
	if now.Sub(n.registry.lastAttemptAt) < registryRefreshInterval || now.Sub(n.health.LastSuccess()) > maxReachableTableAge {
		return
	}
	n.registry.lastAttemptAt = now
	rows, version, err := medlarinstance.Read(n.store, n.config.Owner.Part)
	if err != nil {
		n.log.Warn().Str("event", "register-read-failed").Err(err).
			Msg("cannot read the registry of instances; keeping the last copy")
		return
	}
	n.updateRegistry(now, version, rows)
	owner.SetMemoryLimits(n.memoryLimits())
}

// memoryLimits returns what the owner may hold: what fits into the smallest instance, since each of them may be the next owner.
func (n *Node) memoryLimits() medlarcell.MemoryLimits {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	plan := medlarmemory.NewPlan(n.registry.instances.LeastMemoryMB(n.registry.lastReadAt, n.config.Settings.MemoryMB))
	return cellMemory(plan)
}

// cellMemory returns what a scheduler may hold by the plan of an instance's memory.
func cellMemory(p medlarmemory.Plan) medlarcell.MemoryLimits {
	return medlarcell.MemoryLimits{
		Submissions: p.Submissions, Runs: p.Runs,
		RunsPerWorker: max(1, platform.MaxListedRuns(p.WorkerResponses, p.Parsing)-medlarorder.MaxReportedEnds),
	}
}

// registeredInstances returns the number of instances in the local copy of the registry.
func (n *Node) registeredInstances() int {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	return n.registry.instances.Len()
}

// registryVersion returns the version of the table as of which the local copy was read.
func (n *Node) registryVersion() medlarwheel.RowVersion {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	return n.registry.version
}

// updateRegistry replaces the local copy with the rows, as of the version, of a read that began at readAt. It ignores rows that are older
// than the copy.
func (n *Node) updateRegistry(readAt time.Time, version medlarwheel.RowVersion, rows []medlartable.Row) {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	if version < n.registry.version || readAt.Before(n.registry.lastReadAt) {
		return
	}
	n.registry.lastReadAt, n.registry.version = readAt, version
	before := n.registry.instances.Len()
	if err := n.registry.instances.Replace(n.clock.Now(), rows); err != nil {
		n.log.Error().Str("event", "row-refused").Str("table", medlarinstance.Table).Err(err).
			Msg("cannot decode a registry row; leaving the instance out of the registry")
	}
	if after := n.registry.instances.Len(); after != before {
		n.log.Info().Str("event", "register-changed").Int("instances", after).Msg("")
	}
}

// cooldownClaimDelay is long enough for any other instance, weak ones included, to claim a vacant cell.
const cooldownClaimDelay = 1600 * time.Millisecond

// cooldownDelay returns the additional delay before this instance claims a vacant cell during its cooldown. The claim of
// another instance takes some hundred milliseconds at most.
func (n *Node) cooldownDelay() time.Duration {
	if n.clock.Now().UnixNano() < n.cooldownUntil.Load() {
		return cooldownClaimDelay
	}
	return 0
}

// claimDelay returns how long this instance waits before it claims a vacant cell: until it would have seen the claims of
// all instances ranked before it.
func (n *Node) claimDelay() time.Duration {
	readAt := n.clock.Now()
	rows, version, err := medlarinstance.Read(n.store, n.config.Owner.Part)
	took := n.clock.Now().Sub(readAt)
	if err != nil {
		n.log.Warn().Str("event", "register-read-failed").Err(err).
			Msg("cannot read the registry of instances; claiming the cell after a random delay")
		return rand.N(maxClaimSlot)
	}
	n.updateRegistry(readAt, version, rows)
	var current medlarownership.Term
	n.withMonitor(func(m *medlarownership.Monitor) { current = m.Term() })
	n.registry.mu.Lock()
	rank := medlarinstance.ClaimRank(n.registry.instances.All(), n.config.Settings.Instance, current.Process, current.Number)
	registered := n.registry.instances.Len()
	n.registry.mu.Unlock()
	return claimDelayOf(rank, registered, took) + n.cooldownDelay()
}

const (
	// minClaimSlot is the time in which others see a claim while the table is fast.
	minClaimSlot = 25 * time.Millisecond
	// maxClaimSlot limits the slot while the table is slow, so that a cell does not stay vacant for long if the first
	// instances in the claim order have failed too.
	maxClaimSlot = 250 * time.Millisecond
	// claimSlotReadFactor times the duration of a read is the time for a claim to be stored and seen.
	claimSlotReadFactor = 2
)

// maxClaimDelay limits the wait of the last one of many instances, of which all before it may have ended.
const maxClaimDelay = 2 * time.Second

// claimDelayOf returns how long the instance with the given rank waits, of so many that are registered, if a read of the table takes as
// long as given.
func claimDelayOf(rank, registered int, readTook time.Duration) time.Duration {
	return time.Duration(rank) * min(claimSlot(readTook), maxClaimDelay/time.Duration(max(1, registered)))
}

// claimSlot returns how long an instance waits for the one ranked before it. A failed claim has a cost: a slow table
// needs a tenth of a second for each, and the renewals of the new owner queue behind them.
func claimSlot(readTook time.Duration) time.Duration {
	return min(max(claimSlotReadFactor*readTook, minClaimSlot), maxClaimSlot)
}

// extendAuthority extends the time for which the owner may give orders although it cannot renew its claim, if no
// instance that could claim the cell does so meanwhile. If another instance can reach the table and this one cannot, the
// owner hands the cell over.
func (n *Node) extendAuthority(ctx context.Context, owner *medlarowner.Owner) {
	now := n.clock.Now()
	sinceRenewal := now.Sub(owner.RenewedAt())
	n.registry.mu.Lock()
	peers := n.registry.instances.Live(n.registry.lastReadAt)
	registryAge := now.Sub(n.registry.lastReadAt)
	n.promisers.update(owner.TermNumber(), owner.RenewedAt(), n.registry.lastReadAt, peers, n.config.Owner.Ownership.OwnerTimeout)
	n.registry.mu.Unlock()
	if sinceRenewal < renewalOverdueAge {
		return
	}
	reachable := make(chan bool, 1)
	go func() { reachable <- isTableReachable(n.canReadClaim(), n.clock.Now().Sub(n.health.LastSuccess())) }()
	var lease time.Duration
	if sinceRenewal >= n.config.Owner.Ownership.OutageThreshold {
		lease = n.config.Owner.Ownership.OutageLease
	}
	replies := n.requestPromises(ctx, n.promisers.all(), peerRequest{Term: owner.TermNumber(), OutageLease: lease})
	if candidates := successors(replies); !<-reachable && len(candidates) > 0 {
		n.handOver(ctx, owner, candidates)
		return
	}
	if refuser, ok := canExtendAuthority(among(peers, replies), registryAge); !ok {
		n.log.Warn().Str("event", "authority-not-extended").Str("refuser", string(refuser)).Int("instances", len(replies)).
			Int64("register-age-ms", registryAge.Milliseconds()).Int64("renewal-age-ms", sinceRenewal.Milliseconds()).
			Msg("a promise is missing or the registry copy is too old; authority expires unless the claim is renewed")
		return
	}
	n.recordOutageLease(now, lease)
	owner.ExtendAuthority(now, now.Add(n.config.Owner.Ownership.OwnerTimeout), lease, n.promisers.havePromised(replies, n.config.Settings.Instance))
	n.log.Info().Str("event", "authority-extended").Int("instances", len(peers)).
		Int64("renewal-age-ms", sinceRenewal.Milliseconds()).Int64("lease-ms", lease.Milliseconds()).Msg("")
}

// isTableReachable reports whether the table is reachable for this instance: it has responded to a read within
// claimReadTimeout, or to any call within maxReachableTableAge. A slow table responds to some reads in time and not to
// others, which is no reason to change the owner.
func isTableReachable(readInTime bool, responseAge time.Duration) bool {
	return readInTime || responseAge < maxReachableTableAge
}

// maxTrustedRegistryAge is the maximum age at which a copy of the registry includes every instance that may claim the
// cell because renewals are missing. Such an instance must have been registered for longer than this.
const maxTrustedRegistryAge = 8 * time.Second

// canExtendAuthority reports whether all other instances have promised not to claim the cell. If not, it may name one
// that has not. Without another instance, nobody can promise anything.
func canExtendAuthority(replies []promiseReply, registryAge time.Duration) (refuser medlarwheel.InstanceID, ok bool) {
	for _, reply := range replies {
		if !reply.promised {
			return reply.peer.ID, false
		}
	}
	return "", len(replies) > 0 && registryAge <= maxTrustedRegistryAge
}

// canReadClaim reports whether the table responds to reads of the partition that holds the claim of the cell.
func (n *Node) canReadClaim() bool {
	_, err := n.store.ReadWithin(n.claimRange(), claimReadTimeout)
	return err == nil
}

func (n *Node) claimRange() medlartable.Range {
	return medlartable.Range{
		Table: medlarownership.Table, Part: n.config.Owner.Part, From: medlarownership.KeyTerm, To: medlarownership.KeyTerm + "\x00",
	}
}

// promiseReply is the result of a promise request to another instance.
type promiseReply struct {
	peer medlarinstance.Instance
	// tableReachable is true if the table responds to that instance.
	tableReachable bool
	promised       bool
}

// requestPromises asks all other instances concurrently to promise not to claim the cell.
func (n *Node) requestPromises(ctx context.Context, peers []medlarinstance.Instance, request peerRequest) []promiseReply {
	results := make(chan promiseReply, len(peers))
	requested := 0
	for _, peer := range peers {
		if peer.ID == n.config.Settings.Instance {
			continue
		}
		requested++
		go func() {
			response, err := n.promiseClients.clientFor(peer.Address).call(peer.Address, peerPathPromise, request)
			results <- promiseReply{peer: peer, tableReachable: err == nil && response.TableReachable, promised: err == nil && response.Promise}
		}()
	}
	replies := make([]promiseReply, 0, requested)
	for range requested {
		select {
		case reply := <-results:
			replies = append(replies, reply)
		case <-ctx.Done():
			return append(replies, promiseReply{})
		}
	}
	return replies
}

// successors returns the instances that can reach the table, the strongest first.
func successors(replies []promiseReply) []medlarinstance.Instance {
	var able []medlarinstance.Instance
	for _, reply := range replies {
		if reply.tableReachable {
			able = append(able, reply.peer)
		}
	}
	slices.SortStableFunc(able, func(a, b medlarinstance.Instance) int { return cmp.Compare(b.Power, a.Power) })
	return able
}

// maxHandOvers is the number of instances that an owner asks to take the cell over. Others claim it by themselves in the time that more of
// them would take.
const maxHandOvers = 3

// handOver stops the owner and asks another instance to claim the cell, the next one if it does not respond. If all fail, the others claim
// it once the renewals are missing. Several may claim it: the table carries out one claim.
func (n *Node) handOver(ctx context.Context, owner *medlarowner.Owner, candidates []medlarinstance.Instance) {
	if !owner.Stop(ctx) {
		n.log.Warn().Str("event", "handover-failed").Uint64("term", owner.TermNumber()).Int("candidates", len(candidates)).
			Msg("the owner has not confirmed that it sends no more orders; the cell is not handed over")
		return
	}
	for _, successor := range candidates[:min(len(candidates), maxHandOvers)] {
		_, err := n.promiseClients.clientFor(successor.Address).call(successor.Address, peerPathTakeOver, peerRequest{
			Term: owner.TermNumber(), LeasesLeft: owner.OutageLeases(),
		})
		n.log.Info().Str("event", "cell-handed-over").Uint64("term", owner.TermNumber()).Str("to", string(successor.ID)).Err(err).Msg("")
		if err == nil {
			return
		}
	}
}

// takeOver claims the cell from an owner that has announced that it gives no more orders.
func (n *Node) takeOver(term uint64, leases time.Duration) {
	n.withMonitor(func(m *medlarownership.Monitor) { m.OwnerStopped(n.clock.Now(), term, leases) })
	// The owner has chosen this instance, so it claims without delay.
	n.claimAfterDelay(context.Background(), func() time.Duration { return 0 })
}

// grantPromise promises the owner not to claim the cell for a while. It refuses if this instance owns the cell, is
// claiming it, or has a claim with an unknown outcome. The lease is the one that the owner grants if all instances
// promise.
func (n *Node) grantPromise(term uint64, lease time.Duration) bool {
	if !n.ownership.claimLock.TryLock() {
		return false
	}
	defer n.ownership.claimLock.Unlock()
	now := n.clock.Now()
	n.recordOutageLease(now, lease)
	n.ownership.mu.Lock()
	defer n.ownership.mu.Unlock()
	return n.owner.Load() == nil && n.ownership.unresolved == nil && n.ownership.monitor.Promise(now, term)
}

// recordOutageLease records the leases granted during a table outage, in case this instance claims the cell next.
func (n *Node) recordOutageLease(now time.Time, lease time.Duration) {
	n.withMonitor(func(m *medlarownership.Monitor) { m.RecordOutageLease(now, lease) })
}
