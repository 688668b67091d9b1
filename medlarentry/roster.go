package medlarentry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarupstream"
)

// maintainRoster plans the roster of the own data centre and commits it when it has to change. Racing instances plan
// the same change, and all but one lose the compare-and-set.
func (d *Daemon) maintainRoster(ctx context.Context) {
	if d.isStopping() {
		return
	}
	key := rosterPrefix + string(d.settings.DataCentre)
	row, err := d.rowOrEmpty(ctx, key)
	if err != nil {
		d.metrics.count("platform-failure.roster")
		return
	}
	current := medlardatacentre.Roster{DataCentre: d.settings.DataCentre}
	if row.Version != 0 {
		if current, err = medlardatacentre.DecodeRoster(row.Value); err != nil {
			d.log.Error().Str("event", "roster-unreadable").Str("row", key).AnErr("error", err).Send()
			return
		}
		d.post(func(c *control) { c.applyRoster(current, "table") })
	}
	next, changed := d.planRoster(current)
	if !changed {
		return
	}
	d.commitRoster(ctx, row, next)
}

func (d *Daemon) planRoster(current medlardatacentre.Roster) (medlardatacentre.Roster, bool) {
	type plan struct {
		next    medlardatacentre.Roster
		changed bool
	}
	p := ask(d, func(c *control) plan {
		now := d.clock.Now()
		next, changed := medlardatacentre.PlanRoster(current, c.view.Members(now), now)
		return plan{next, changed}
	})
	return p.next, p.changed
}

func (d *Daemon) commitRoster(ctx context.Context, row medlarwheel.Row, next medlardatacentre.Roster) {
	value, err := encodeRow(next)
	if err != nil {
		d.log.Error().Str("event", "roster-unwritable").AnErr("error", err).Send()
		return
	}
	write := medlarwheel.Write{Key: row.Key, Expect: row.Version, Value: value}
	_, err = d.platform.Transact(ctx, d.operations.Next(), []medlarwheel.Write{write})
	var conflict *medlarwheel.ConflictError
	switch {
	case errors.As(err, &conflict):
		return
	case err != nil:
		d.metrics.count("platform-failure.roster")
		return
	}
	d.post(func(c *control) { c.applyRoster(next, "own commit") })
}

// isFounder reports whether the roster is the first of this data centre and names this very process. Nothing that an
// earlier process did can then be in progress.
func (d *Daemon) isFounder(r medlardatacentre.Roster) bool {
	if r.Epoch != 1 || r.DataCentre != d.settings.DataCentre {
		return false
	}
	for _, m := range r.Members {
		if m.Instance == d.settings.Instance {
			return m.Incarnation == d.incarnation
		}
	}
	return false
}

// applyRoster adopts a roster of a higher epoch.
func (c *control) applyRoster(r medlardatacentre.Roster, source string) {
	if !c.rosters.Merge(r) {
		return
	}
	c.dirty = true
	c.d.log.Info().Str("event", "roster-applied").Str("source", source).Str("roster", string(r.DataCentre)).
		Uint64("epoch", uint64(r.Epoch)).Int("members", len(r.Members)).Send()
	members := make([]medlarwheel.InstanceID, 0, len(r.Members))
	for _, m := range r.Members {
		members = append(members, m.Instance)
	}
	first := c.d.isFounder(r)
	c.d.routing.with(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		shares.SetRoster(now, medlarupstream.Roster{DataCentre: r.DataCentre, Epoch: r.Epoch, Members: members, First: first})
	})
	if r.DataCentre == c.d.settings.DataCentre {
		c.d.seat.adopt(r, first)
	}
}

// snapshot returns an immutable copy of the control state.
func (c *control) snapshot() *snapshot {
	s := &snapshot{
		book:      c.book.Snapshot(),
		groups:    make(map[medlarwheel.DataCentreID]claimGroup),
		members:   c.view.Members(c.d.clock.Now()),
		addresses: make(map[medlarwheel.InstanceID]string),
		replaced:  make(chan struct{}),
	}
	for i := range s.members {
		s.addresses[s.members[i].ID] = s.members[i].PeerAddress
	}
	for _, r := range c.rosters.All() {
		s.groups[r.DataCentre] = groupOf(r)
	}
	return s
}

func groupOf(r medlardatacentre.Roster) claimGroup {
	group := claimGroup{dataCentre: r.DataCentre, epoch: r.Epoch}
	addresses := make(map[medlarwheel.InstanceID]string, len(r.Members))
	for _, m := range r.Members {
		addresses[m.Instance] = m.PeerAddress
	}
	for _, seat := range r.Seats {
		group.seats = append(group.seats, groupSeat{instance: seat, address: addresses[seat]})
	}
	return group
}

// awaitEpoch waits a short time for a roster above the epoch.
func (d *Daemon) awaitEpoch(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch) bool {
	ctx, cancel := context.WithTimeout(d.base, epochWait)
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

// epochWait is the time that a ballot waits for the newer roster that a seat knows.
const epochWait = 100 * time.Millisecond
