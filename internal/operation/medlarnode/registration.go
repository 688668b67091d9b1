package medlarnode

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/state/medlarinstance"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// registration records since when this instance has been in the registry without a gap.
type registration struct {
	mu                           sync.Mutex
	continuousSince, lastRenewal time.Time
	// since is the version of the table from which on every copy of the registry includes this instance at its address, whatever process
	// of it has written the row. It is zero if none is known.
	since medlarwheel.RowVersion
	// writeLock serialises the writes of the row, so that no renewal follows its removal.
	writeLock sync.Mutex
	// version is that of the last confirmed write, or of the row that it replaces. Zero means that there is no row. Each write requires
	// it, so that none is carried out after a later one.
	version medlarwheel.RowVersion
	// continued is what the row states that an earlier process of this instance has written.
	continued medlarinstance.Instance
	// isRegistered is true once this process has written the row.
	isRegistered bool
}

// minRegistrationTime is how long an instance must have been registered before it claims the cell because the owner's
// renewals are missing, unless the owner has stated that it asks this instance. The owner may go on without the table if the instances in
// its copy of the registry promise not to claim the cell, so that copy must be recent enough to include this instance. An owner that has
// gone on by an older copy sends orders for its timeout, and they take up to the claim margin to leave it.
const minRegistrationTime = maxTrustedRegistryAge + 1500*time.Millisecond

// maxRegistrationRenewalAge is the maximum age of the last renewal at which every copy of the registry still includes
// the instance. It is below the lifetime of a registry row by more than the age that a copy may have.
const maxRegistrationRenewalAge = 9 * time.Second

// renewRegistration renews the row of this instance in the registry until the context ends. unregister removes the row.
func (n *Node) renewRegistration(ctx context.Context) error {
	for {
		pause := n.config.Registry.RenewInterval
		isFirst := !n.registration.isRegistered
		instance := n.registeredAs()
		if err := n.register(instance); err != nil {
			n.log.Warn().Str("event", "registration-failed").Err(err).
				Msg("cannot renew the registration of this instance; retrying")
			pause = n.config.Registry.RetryInterval
		} else if isFirst {
			// Only now it is known since when the instance has been registered, for the row that its next process reads.
			pause = 0
		}
		if !medlarclock.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// registeredAs returns what the row of this instance states.
func (n *Node) registeredAs() medlarinstance.Instance {
	return medlarinstance.Instance{
		ID: n.config.Settings.Instance, Address: n.config.Settings.Peer, Process: n.process, Power: n.config.Settings.Power,
		MemoryMB: n.config.Settings.MemoryMB, Started: n.started, TimeOfDayAtZero: n.clocks.timeOfDayAtZero(), RenewedAt: n.clocks.Now(),
		Since: n.registration.sinceVersion(n.clock.Now()),
	}
}

// maxRegisterAttempts is the number of writes in a row of which each finds another version of the row than the one before.
const maxRegisterAttempts = 2

// register stores the row of this instance, unless it is stopping.
func (n *Node) register(instance medlarinstance.Instance) error {
	g := &n.registration
	g.writeLock.Lock()
	defer g.writeLock.Unlock()
	if n.stopping.Load() {
		return nil
	}
	var err error
	for range maxRegisterAttempts {
		var transaction medlartable.Transaction
		if transaction, err = medlarinstance.Put(n.config.Owner.Part, instance, g.version); err != nil {
			return err
		}
		sentAt := n.clock.Now()
		var commit medlartable.Commit
		commit, err = n.store.Transact(transaction)
		var conflict *medlartable.ConflictError
		if errors.As(err, &conflict) {
			g.replaceBy(instance, conflict)
			continue
		}
		if err != nil {
			return err
		}
		g.recordRenewal(sentAt, n.clock.Now())
		g.recordVersion(commit.Version, n.clocks.Now())
		return nil
	}
	return err
}

// replaceBy takes in the row that a write has found in place of the one that it required.
func (g *registration) replaceBy(own medlarinstance.Instance, conflict *medlartable.ConflictError) {
	row, found := conflict.Find(medlarinstance.Table, string(own.ID))
	g.version = row.Version
	earlier, err := medlarinstance.Decode(row)
	if !found || err != nil || earlier.Address != own.Address {
		g.mu.Lock()
		defer g.mu.Unlock()
		// Copies of the registry may lack this instance.
		g.since, g.continuousSince, g.continued = 0, time.Time{}, medlarinstance.Instance{}
		return
	}
	if earlier.Process == own.Process && g.continued.RenewedAt > 0 {
		// A write of this process whose response was lost has replaced the row of the earlier one.
		return
	}
	g.continued = earlier
	if earlier.Since == 0 {
		g.continued.Since = row.Version
	}
}

// recordVersion records a write with the given version that was confirmed when the table's clock showed at least storedAt. The instance
// has been registered since the first of the writes that follow each other within maxRegistrationRenewalAge, by whatever process.
func (g *registration) recordVersion(version medlarwheel.RowVersion, storedAt medlarwheel.TableTime) {
	g.version = version
	g.mu.Lock()
	defer g.mu.Unlock()
	if before := g.continued; !g.isRegistered && before.RenewedAt > 0 && time.Duration(storedAt-before.RenewedAt) <= maxRegistrationRenewalAge {
		g.since = before.Since
	} else if g.since == 0 {
		g.since = version
	}
	g.isRegistered = true
}

// recordRenewal records a renewal that was sent at sentAt and confirmed at storedAt.
func (g *registration) recordRenewal(sentAt, storedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.continuousSince.IsZero() || storedAt.Sub(g.lastRenewal) > maxRegistrationRenewalAge {
		g.continuousSince, g.since = storedAt, 0
	}
	g.lastRenewal = sentAt
}

// sinceVersion returns the version of the table from which on every copy of the registry includes this instance, or zero.
func (g *registration) sinceVersion(now time.Time) medlarwheel.RowVersion {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastRenewal) > maxRegistrationRenewalAge {
		return 0
	}
	return g.since
}

// isContinuousFor reports whether the instance has been registered without a gap for at least the given time. After
// minRegistrationTime every owner's copy of the registry includes it.
func (g *registration) isContinuousFor(now time.Time, atLeast time.Duration) bool {
	return atLeast > 0 && g.continuousFor(now) >= atLeast
}

// continuousFor returns for how long the instance has been registered without a gap, by this process.
func (g *registration) continuousFor(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.continuousSince.IsZero() || now.Sub(g.lastRenewal) > maxRegistrationRenewalAge {
		return 0
	}
	return now.Sub(g.continuousSince)
}

// knowsEveryPromise reports whether the owner goes on without the table only if this process promises not to claim the cell, and promises by
// earlier processes of this instance have ended. The caller holds the lock of the monitor.
func (n *Node) knowsEveryPromise(m *medlarownership.Monitor, now time.Time) bool {
	listeningAt := n.listeningAt.Load()
	if listeningAt == nil || now.Sub(*listeningAt) < n.config.Owner.Ownership.PromiseDuration() {
		return false
	}
	return m.AsksSince(n.registration.sinceVersion(now))
}

// unregister removes the row of this instance from the registry.
func (n *Node) unregister() {
	n.registration.writeLock.Lock()
	defer n.registration.writeLock.Unlock()
	if n.registration.version == 0 {
		return
	}
	removal := medlarinstance.Remove(n.config.Owner.Part, n.config.Settings.Instance, n.registration.version)
	if _, err := n.store.Transact(removal); err != nil {
		n.log.Warn().Str("event", "unregister-failed").Err(errors.WithMessage(err, "remove the registry row of this instance")).
			Msg("cannot remove the registration of this instance; its row expires")
	}
}
