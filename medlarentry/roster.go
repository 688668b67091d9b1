package medlarentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarplatform"
	"medlarwheel/medlarupstream"
)

// maintainRoster reads the roster of the local data centre and commits a new one if it has to change. Instances that do so
// concurrently plan the same change, and the compare-and-set succeeds for one of them only.
func (d *Daemon) maintainRoster(ctx context.Context) {
	row, current, err := d.readRoster(ctx)
	if err != nil {
		d.metrics.count("platform-failure.roster")
		return
	}
	next, changed := d.planRoster(current)
	if changed {
		d.commitRoster(ctx, row, next)
	}
}

// readRoster reads the roster row of the local data centre and applies it. A successful read also confirms the roster
// epoch to the shares.
func (d *Daemon) readRoster(ctx context.Context) (medlarwheel.Row, medlardatacentre.Roster, error) {
	current := medlardatacentre.Roster{DataCentre: d.settings.DataCentre}
	sent := d.clock.Now()
	row, err := medlarplatform.RowOrEmpty(ctx, d.platform, rosterRowPrefix+string(d.settings.DataCentre))
	if err != nil || row.Version == 0 {
		return row, current, err
	}
	if current, err = d.decodeRoster(row.Key, row.Value); err != nil {
		return row, current, err
	}
	callControl(d, func(c *control) struct{} {
		c.applyRoster(current, "table")
		return struct{}{}
	})
	confirmation := medlarupstream.Confirmation{Epoch: current.Epoch, Sent: sent}
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		shares.HandleConfirmation(now, confirmation)
	})
	return row, current, nil
}

// decodeRoster decodes the value of a roster row and logs a failure.
func (d *Daemon) decodeRoster(key string, data []byte) (medlardatacentre.Roster, error) {
	roster, err := medlardatacentre.DecodeRoster(data)
	if err != nil {
		d.log.Error().Str("event", "roster-unreadable").Str("row", key).AnErr("error", err).
			Msg("cannot decode the roster; keeping the current one")
	}
	return roster, err
}

func (d *Daemon) planRoster(current medlardatacentre.Roster) (medlardatacentre.Roster, bool) {
	type plan struct {
		next    medlardatacentre.Roster
		changed bool
	}
	p := callControl(d, func(c *control) plan {
		now := d.clock.Now()
		next, changed := medlardatacentre.PlanRoster(current, c.membership.Members(now), now)
		return plan{next, changed}
	})
	return p.next, p.changed
}

func (d *Daemon) commitRoster(ctx context.Context, row medlarwheel.Row, next medlardatacentre.Roster) {
	value, err := json.Marshal(next)
	if err != nil {
		d.log.Error().Str("event", "roster-unwritable").Str("row", row.Key).AnErr("error", err).
			Msg("cannot encode the next roster; keeping the current one")
		return
	}
	write := medlarwheel.Write{Key: row.Key, ExpectedVersion: row.Version, Value: value}
	_, err = d.platform.Transact(ctx, d.operations.Next(), []medlarwheel.Write{write})
	var conflict *medlarwheel.ConflictError
	switch {
	case errors.As(err, &conflict):
		return
	case err != nil:
		d.metrics.count("platform-failure.roster")
		return
	}
	d.postToControl(func(c *control) { c.applyRoster(next, "own commit") })
}

// isBootstrapProcess reports whether the roster is the first of the local data centre and contains this very process. In
// that case no earlier process can have requests in flight.
func (d *Daemon) isBootstrapProcess(r *medlardatacentre.Roster) bool {
	member, ok := r.Member(d.settings.Instance)
	return r.Epoch == 1 && r.DataCentre == d.settings.DataCentre && ok && member.Incarnation == d.incarnation
}

// applyRoster applies a roster if its epoch is higher than the current one of its data centre.
func (c *control) applyRoster(r medlardatacentre.Roster, source string) {
	if !c.rosters.Merge(r) {
		return
	}
	c.snapshotStale = true
	c.daemon.log.Info().Str("event", "roster-applied").Str("source", source).Str("roster", string(r.DataCentre)).
		Uint64("epoch", uint64(r.Epoch)).Int("members", len(r.Members)).Int("removed", len(r.Removed)).Send()
	shared := medlarupstream.Roster{
		DataCentre: r.DataCentre, Epoch: r.Epoch, Members: c.daemon.slotOwners(&r), First: c.daemon.isBootstrapProcess(&r), Unclean: len(r.Removed) > 0,
	}
	c.daemon.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		shares.SetRoster(now, shared)
	})
	if r.DataCentre == c.daemon.settings.DataCentre {
		c.membership.Retain(shared.Members)
		c.mergeMembers(r.KnownMembers())
		c.daemon.voter.applyRoster(r)
	}
}

// mergeMembers adds the members of a roster to the membership, which may not know all of them.
func (c *control) mergeMembers(members []medlardatacentre.Member) {
	if err := c.membership.Merge(c.daemon.clock.Now(), members); err != nil {
		c.stopSuperseded(err)
	}
}

// stopSuperseded shuts this process down, because a later process of the same instance is running.
func (c *control) stopSuperseded(err error) {
	c.daemon.log.Error().Str("event", "superseded").AnErr("error", err).
		Msg("a later process of this instance is running; shutting down")
	c.daemon.requestStop()
}

// earlierProcessSuffix is appended to the id of this instance while the roster lists an earlier process of the instance, so
// that this process uses none of the slots of the earlier one.
const earlierProcessSuffix = "/earlier"

func (d *Daemon) slotOwners(r *medlardatacentre.Roster) []medlarwheel.InstanceID {
	owners := make([]medlarwheel.InstanceID, 0, len(r.Members))
	for _, m := range r.Members {
		if m.Instance == d.settings.Instance && m.Incarnation != d.incarnation {
			owners = append(owners, m.Instance+earlierProcessSuffix)
			continue
		}
		owners = append(owners, m.Instance)
	}
	return owners
}

// newSnapshot returns an immutable copy of the control state for request handling.
func (c *control) newSnapshot() *snapshot {
	s := &snapshot{
		activeConfig: c.activeConfig,
		groups:       make(map[medlarwheel.DataCentreID]claimGroup),
		members:      c.membership.Members(c.daemon.clock.Now()),
		addresses:    make(map[medlarwheel.InstanceID]string),
		replaced:     make(chan struct{}),
	}
	for i := range s.members {
		s.addresses[s.members[i].Instance] = s.members[i].PeerAddress
	}
	for _, r := range c.rosters.All() {
		s.groups[r.DataCentre] = newClaimGroup(r)
	}
	return s
}

func newClaimGroup(r medlardatacentre.Roster) claimGroup {
	group := claimGroup{dataCentre: r.DataCentre, epoch: r.Epoch}
	addresses := make(map[medlarwheel.InstanceID]string, len(r.Members))
	for _, m := range r.Members {
		addresses[m.Instance] = m.PeerAddress
	}
	for _, voter := range r.Voters {
		group.voters = append(group.voters, groupVoter{instance: voter.Instance, address: addresses[voter.Instance]})
	}
	return group
}

// awaitNewerRoster waits for a roster with an epoch above the given one, at most for newerRosterTimeout, and reports whether
// there is one.
func (d *Daemon) awaitNewerRoster(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch) bool {
	ctx, cancel := context.WithTimeout(d.baseCtx, newerRosterTimeout)
	defer cancel()
	d.exchangeNow()
	for {
		s := d.snapshot.Load()
		if s.groups[dc].epoch > epoch {
			return true
		}
		select {
		case <-s.replaced:
		case <-ctx.Done():
			return false
		}
	}
}

// newerRosterTimeout bounds the time for which a ballot waits for a newer roster that a voter has reported.
const newerRosterTimeout = 100 * time.Millisecond
