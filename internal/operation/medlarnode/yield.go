package medlarnode

import (
	"context"
	"slices"
	"time"

	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarinstance"
)

const (
	// yieldPowerFactor is how much more CPU power another instance must have for the owner to hand the cell over. A
	// handover interrupts scheduling for some hundred milliseconds.
	yieldPowerFactor = 1.5
	// minOwnershipBeforeYield is the minimum time for which an instance owns the cell before it yields, so that its copy
	// of the registry is complete and the cell does not move back and forth.
	minOwnershipBeforeYield = 3 * time.Second
)

// yieldToBetterInstance releases the cell if this machine is throttled or another instance is much stronger.
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
	stronger := slices.DeleteFunc(slices.Clone(live), func(i medlarinstance.Instance) bool {
		return i.Power < yieldPowerFactor*n.config.Settings.Power
	})
	switch turnaround := owner.Turnaround(); {
	case n.isTurnaroundSlow(turnaround) && n.cpuProbe.isThrottled():
		n.cooldownUntil.Store(now.Add(claimCooldown).UnixNano())
		n.log.Warn().Str("event", "cell-yielded").Int64("turnaround-ms", turnaround.Milliseconds()).
			Msg("this machine is throttled and orders to workers take too long; releasing the cell to another instance")
	case len(stronger) > 0 && now.Sub(n.strongerAskedAt) >= registryRefreshInterval:
		n.strongerAskedAt = now
		if !n.anyReachesTable(ctx, stronger) {
			return
		}
		n.log.Info().Str("event", "cell-yielded").Float64("power", n.config.Settings.Power).
			Float64("strongest", medlarinstance.MaxPower(stronger)).Msg("")
	default:
		return
	}
	n.releaseCell(ctx, owner)
}

// anyReachesTable reports whether one of the instances answers that the table responds to it. The row of one that has ended lasts for
// seconds: a cell released to it would change hands until then.
func (n *Node) anyReachesTable(ctx context.Context, instances []medlarinstance.Instance) bool {
	reaches := make(chan bool, len(instances))
	for _, i := range instances {
		go func() {
			response, err := n.promiseClients.clientFor(i.Address).call(i.Address, peerPathTable, peerRequest{})
			reaches <- err == nil && response.TableReachable
		}()
	}
	for range instances {
		select {
		case reached := <-reaches:
			if reached {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// releaseCell releases the claim. If that fails, the others claim the cell once the renewals are missing.
func (n *Node) releaseCell(ctx context.Context, owner *medlarowner.Owner) {
	n.logRelease(owner.Release(ctx))
}

func (n *Node) logRelease(err error) {
	if err != nil {
		n.log.Warn().Str("event", "release-failed").Err(err).
			Msg("cannot release the cell; other instances claim it when the renewals are missing")
	}
}

const (
	// maxTurnaround is the mean turnaround of orders from which a throttled owner yields the cell to another instance.
	// It is a large part of the slack of a short submission.
	maxTurnaround = 150 * time.Millisecond
	// slowChecksBeforeYield is the number of consecutive checks at which the turnaround must be too long, so that a
	// burst of starts does not count.
	slowChecksBeforeYield = 5
	// claimCooldown is how long an instance lets others claim the cell first after it has yielded as throttled or its
	// scheduler has panicked.
	claimCooldown = 5 * time.Second
)

// isTurnaroundSlow reports whether orders have taken too long at several checks, because of too little CPU time or too
// many orders.
func (n *Node) isTurnaroundSlow(turnaround time.Duration) bool {
	if turnaround < maxTurnaround {
		n.slowChecks = 0
		return false
	}
	n.slowChecks++
	return n.slowChecks%slowChecksBeforeYield == 0
}
