package medlarnode

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// beginTerm reports whether the owner of a term is still to be started. Both the response to a claim and the rows of the
// table may show a claim first, on different goroutines; only the first one starts the owner.
func (s *ownershipState) beginTerm(number uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number <= s.startedTerm {
		return false
	}
	s.startedTerm = number
	if s.unresolved != nil && s.unresolved.term.Number <= number {
		s.unresolved = nil
	}
	return true
}

// unresolvedClaim is a claim whose outcome is unknown.
type unresolvedClaim struct {
	term        medlarownership.Term
	claimedAt   time.Time
	predecessor medlarownership.Predecessor
	// required holds the rows that the claim requires.
	required []medlartable.Row
}

// repeating returns the claim as a repetition of an earlier attempt with an unknown outcome, which may be the one that took
// effect: other instances count the owner's time-out from it. What the predecessor may still do is counted from the last
// attempt.
func (c unresolvedClaim) repeating(first *unresolvedClaim) unresolvedClaim {
	if first == nil || first.term.Number != c.term.Number || !first.claimedAt.Before(c.claimedAt) {
		return c
	}
	repeatedAfter := c.claimedAt.Sub(first.claimedAt)
	c.claimedAt = first.claimedAt
	c.predecessor.Expired = c.predecessor.Expired && first.predecessor.Expired
	c.predecessor.Grace = max(c.predecessor.Grace+repeatedAfter, first.predecessor.Grace)
	if c.predecessor.OutageLeases > 0 {
		c.predecessor.OutageLeases += repeatedAfter
	}
	c.predecessor.OutageLeases = max(c.predecessor.OutageLeases, first.predecessor.OutageLeases)
	return c
}

// sinceFirstAttempt returns a claim with the time of its first unresolved attempt.
func (s *ownershipState) sinceFirstAttempt(c unresolvedClaim) unresolvedClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.repeating(s.unresolved)
}

// keepUnresolved keeps a claim until the table shows its outcome, unless that has happened. It returns what it has kept, and the earlier
// attempt that this one replaces.
func (s *ownershipState) keepUnresolved(c unresolvedClaim) (kept, earlier *unresolvedClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.term.Number <= s.startedTerm {
		return nil, s.unresolved
	}
	earlier = s.unresolved
	c = c.repeating(earlier)
	s.unresolved = &c
	return &c, earlier
}

// withdraw replaces a claim that has no effect by the earlier attempt, unless the table has shown an outcome meanwhile.
func (s *ownershipState) withdraw(kept, earlier *unresolvedClaim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kept != nil && s.unresolved == kept {
		s.unresolved = earlier
	}
}

// claimAfterDelay claims the cell if its owner is gone and no other instance has claimed it within the delay.
func (n *Node) claimAfterDelay(ctx context.Context, delay func() time.Duration) {
	if !n.shouldClaim() || !n.ownership.waitingToClaim.CompareAndSwap(false, true) {
		return
	}
	defer n.ownership.waitingToClaim.Store(false)
	if !medlarclock.Sleep(ctx, delay()) {
		return
	}
	n.ownership.claimLock.Lock()
	defer n.ownership.claimLock.Unlock()
	n.claimCell(ctx)
}

func (n *Node) shouldClaim() bool {
	now := n.clock.Now()
	n.ownership.mu.Lock()
	defer n.ownership.mu.Unlock()
	return n.mayClaim(n.ownership.monitor, now)
}

// mayClaim reports whether this instance may claim the cell by what the monitor has seen. The caller holds the lock of the monitor.
func (n *Node) mayClaim(m *medlarownership.Monitor, now time.Time) bool {
	if !m.ShouldClaim(now) || n.stopping.Load() || n.owner.Load() != nil {
		return false
	}
	return !m.Predecessor(now, false).Expired || n.registration.isContinuousFor(now, minRegistrationTime) || n.knowsEveryPromise(m, now)
}

// preparedClaim is a claim with the transaction that stores it, both from one view of the table.
type preparedClaim struct {
	unresolvedClaim
	transaction medlartable.Transaction
	// receivedRequests is true if this instance has received the promise requests of all owners that have recently gone on without
	// the table.
	receivedRequests bool
}

// prepareClaim returns a claim of the cell, or false if this instance may not claim it. The decision, the required versions and the
// number of the term come from one view: if another claim became known between them, this one would replace it, under its number.
func (n *Node) prepareClaim() (claim preparedClaim, ok bool, err error) {
	claim.claimedAt = n.clock.Now()
	claim.receivedRequests = n.registration.isContinuousFor(claim.claimedAt, n.config.Owner.Ownership.MinRegisteredTime(maxTrustedRegistryAge))
	n.withMonitor(func(m *medlarownership.Monitor) {
		if !n.mayClaim(m, claim.claimedAt) {
			return
		}
		ok = true
		claim.receivedRequests = claim.receivedRequests || m.KnowsOutageLeases(n.registration.sinceVersion(claim.claimedAt), n.clocks.First())
		claim.predecessor = m.Predecessor(claim.claimedAt, claim.receivedRequests)
		if m.MayBeLateClaim() {
			claim.predecessor.Grace = max(claim.predecessor.Grace, n.unseenAuthority(m.Term(), claim.claimedAt))
		}
		claim.term, claim.transaction, err = m.Claim(medlarownership.Term{
			Instance: n.config.Settings.Instance, Address: n.config.Settings.Peer, Process: n.process,
			Lease: n.config.Owner.Cell.Lease, LeaseTail: n.config.Owner.Cell.LeaseTail, Grace: claim.predecessor.Grace,
			RegistryVersion: n.registryVersion(),
		}, n.config.Owner.Part)
	})
	if !ok || err != nil {
		return claim, ok, err
	}
	claim.required = claim.transaction.Require
	chainRow, err := medlarcellstore.FirstChainRow(n.config.Owner.Part, claim.term.Number)
	claim.transaction.Put = append(claim.transaction.Put, chainRow)
	return claim, true, err
}

// unseenAuthority returns how long the owner before a late claim may still send orders by promises that this process does not know of.
// Owners that ask an instance for a promise reach its current process, but an earlier one may have promised just before its end.
func (n *Node) unseenAuthority(late medlarownership.Term, now time.Time) time.Duration {
	if late.Instance == n.config.Settings.Instance {
		return n.config.Owner.Ownership.PromiseDuration() - now.Sub(n.started)
	}
	return minRegistrationTime - n.registration.continuousFor(now)
}

// claimCell makes this instance the owner of the cell, unless the cell has an owner or another instance claims it first.
func (n *Node) claimCell(ctx context.Context) {
	claim, ok, err := n.prepareClaim()
	if err != nil {
		n.log.Error().Str("event", "claim-failed").Err(err).Msg("cannot encode the claim; the cell is not claimed")
		return
	}
	if !ok {
		return
	}
	// The table may show the claim before the response comes.
	kept, earlier := n.ownership.keepUnresolved(claim.unresolvedClaim)
	commit, err := n.store.Transact(claim.transaction)
	claim.term.Version = commit.Version
	var conflict *medlartable.ConflictError
	if errors.As(err, &conflict) {
		if own, found := n.ownClaim(conflict); found {
			claim.term = own
			claim.unresolvedClaim, err = n.ownership.sinceFirstAttempt(claim.unresolvedClaim), nil
		} else {
			n.observeOwnership(ctx, conflict.Rows)
		}
	}
	if err != nil {
		n.log.Warn().Str("event", "claim-failed").Uint64("term", claim.term.Number).Err(err).
			Msg("claim of the cell failed or its outcome is unknown; continuing to watch the claim row")
		if conflict != nil || medlarwheel.HasNoEffect(err) {
			n.ownership.withdraw(kept, earlier)
		}
		return
	}
	n.logClaim(claim.term, claim.predecessor).Bool("asked", claim.receivedRequests).Msg("")
	n.withMonitor(func(m *medlarownership.Monitor) { m.RecordClaim(n.clock.Now(), claim.term) })
	n.setTerm(ctx, claim.term)
	n.startOwner(ctx, claim.term, claim.claimedAt, claim.predecessor)
}

// logClaim begins the log line of a claim that has taken effect.
func (n *Node) logClaim(t medlarownership.Term, p medlarownership.Predecessor) *zerolog.Event {
	return n.log.Info().Str("event", "cell-claimed").Uint64("term", t.Number).Uint64("version", uint64(t.Version)).Str("process", t.Process).
		Str("from", string(p.Instance)).Str("from-process", p.Process).Uint64("replaced-version", uint64(p.Version)).
		Int64("outage-leases-ms", p.OutageLeases.Milliseconds())
}

// ownClaim returns the claim by this process whose response was lost, unless the conflict is with another claim.
func (n *Node) ownClaim(conflict *medlartable.ConflictError) (t medlarownership.Term, found bool) {
	row, found := conflict.Find(medlarownership.Table, medlarownership.KeyTerm)
	if !found {
		return t, false
	}
	t, err := medlarownership.DecodeTerm(row)
	if err != nil || t.Process != n.process || t.Released {
		return t, false
	}
	current := n.term.Load()
	return t, current == nil || current.Number < t.Number
}
