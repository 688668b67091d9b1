package medlarupstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// Roster lists the instances that share the upstreams of a data centre.
type Roster struct {
	DataCentre medlarwheel.DataCentreID `json:"data-centre"`
	Epoch      medlarwheel.Epoch        `json:"epoch"`
	Members    []medlarwheel.InstanceID `json:"members"`
	// First is set if this is the first roster of the data centre and this process was running when it was written, so
	// no other process can have used the slots before.
	First bool `json:"-"`
	// Unclean is set if a process was recently removed without having released its slots, so its requests may still be in
	// flight. It stays set for at least ReuseDelay plus the longest Spec.MaxRequest.
	Unclean bool `json:"unclean,omitempty"`
}

// Confirmation is a statement of a roster peer or the platform about the roster epoch that it uses.
type Confirmation struct {
	// Peer is the member that responded. It is empty for the platform.
	Peer medlarwheel.InstanceID
	// Epoch is the roster epoch that the peer or the platform uses.
	Epoch medlarwheel.Epoch
	// Isolated is set if the peer itself lacks recent confirmations of its roster.
	Isolated bool
	// Drained is set if the peer uses Epoch and the slots which it does not own under Epoch are neither in use by it nor
	// lent.
	Drained bool
	// Sent is a time before the request for the confirmation was sent. It is zero for a statement of the peer that another
	// instance relayed: that shows the peer's epoch, but not that the peer can be reached.
	Sent time.Time
}

// peerStatus is what one member has confirmed about the current epoch.
type peerStatus struct {
	adopted bool
	drained bool
	// lastConfirmation is the time of the last confirmation, and lastTrustedConfirmation that of the last one that the member
	// sent while it was not isolated.
	lastConfirmation        time.Time
	lastTrustedConfirmation time.Time
}

// localRoster is the roster of the local data centre, with the confirmations that it is current.
type localRoster struct {
	Roster
	self  medlarwheel.InstanceID
	peers map[medlarwheel.InstanceID]*peerStatus
	// adoptedByAll is set once every member is known to use the epoch. cooldownStart is the time at which that became known,
	// or zero if reassigned slots need no cooldown.
	adoptedByAll  bool
	cooldownStart time.Time
	// drained is set once every process that may have used a reassigned slot has released it, so that no slot needs a
	// cooldown.
	drained bool
	// validUntil is the end of the time in which this instance may use its own slots without a further confirmation.
	validUntil time.Time
}

// SetRoster sets the roster of a data centre. It ignores a roster whose epoch is not higher than the current one.
func (s *Shares) SetRoster(now time.Time, r Roster) {
	s.advance(now)
	if r.DataCentre != s.config.DataCentre {
		if r.Epoch > s.otherRosters[r.DataCentre].Epoch {
			s.otherRosters[r.DataCentre] = r
		}
		return
	}
	local := &s.roster
	if r.Epoch <= local.Epoch {
		return
	}
	// If this instance has missed an epoch, its slots may have had another owner in that epoch.
	missedEpoch := local.Epoch > 0 && r.Epoch > local.Epoch+1
	initial := local.Epoch == 0 && r.First
	local.Roster, local.self, local.adoptedByAll, local.drained = r, s.config.Instance, initial, initial
	if !initial {
		local.cooldownStart = now
	}
	local.peers = make(map[medlarwheel.InstanceID]*peerStatus, len(r.Members))
	for _, m := range r.Members {
		if m != s.config.Instance {
			local.peers[m] = &peerStatus{}
		}
	}
	for _, h := range s.sortedShares() {
		if h.upstream.DataCentre == s.config.DataCentre {
			s.assignSlots(h, missedEpoch)
		}
	}
	local.extendSoleMember(now, s.config.ConfirmationTimeout)
	s.updateCooldown(now)
	s.refreshAll(now)
}

// assignSlots sets which slots of h this instance owns. Gained slots start a cooldown, and so do all owned slots after
// a missed epoch.
func (s *Shares) assignSlots(h *share, missedEpoch bool) {
	for len(h.slots) < int(h.spec.Slots) {
		h.slots = append(h.slots, slot{})
	}
	local := &s.roster
	for i := range h.slots {
		sl := &h.slots[i]
		owned := i < int(h.spec.Slots) && local.Epoch > 0 && Owner(h.upstream.ID, i, local.Members) == s.config.Instance
		if owned && (missedEpoch || !sl.owned) {
			s.startCooldown(h, sl)
		}
		sl.owned = owned
		sl.awaitsAdoption = sl.awaitsAdoption && owned
	}
}

// startCooldown keeps a gained slot from use until no other instance can be using it.
func (s *Shares) startCooldown(h *share, sl *slot) {
	sl.awaitsAdoption = !s.roster.adoptedByAll
	if s.roster.adoptedByAll && !s.roster.cooldownStart.IsZero() {
		sl.usableAt = s.roster.cooldownStart.Add(s.config.ReuseDelay + h.spec.MaxRequest)
	}
}

// HandleConfirmation records a confirmation. One for another epoch or from an instance that is not a member is ignored.
func (s *Shares) HandleConfirmation(now time.Time, c Confirmation) {
	s.advance(now)
	local := &s.roster
	if c.Epoch != local.Epoch || local.Epoch == 0 {
		return
	}
	if c.Peer == "" {
		local.extendValidity(c.Sent.Add(s.config.ConfirmationTimeout))
		return
	}
	p, ok := local.peers[c.Peer]
	if !ok {
		return
	}
	p.adopted, p.drained = true, p.drained || c.Drained
	if c.Sent.After(p.lastConfirmation) {
		p.lastConfirmation = c.Sent
	}
	if !c.Isolated && c.Sent.After(p.lastTrustedConfirmation) {
		p.lastTrustedConfirmation = c.Sent
	}
	local.extendValidity(local.confirmedAt().Add(s.config.ConfirmationTimeout))
	if s.updateCooldown(now) {
		s.refreshAll(now)
	}
}

// updateCooldown starts the cooldown of reassigned slots once every member uses the epoch, and ends it early once every
// process that may have used them is a member and has released them. It reports whether it did either.
func (s *Shares) updateCooldown(now time.Time) bool {
	local := &s.roster
	adopted, drained := true, !local.Unclean
	for _, p := range local.peers {
		adopted, drained = adopted && p.adopted, drained && p.drained
	}
	if !adopted || local.drained || (local.adoptedByAll && !drained) {
		return false
	}
	local.adoptedByAll, local.drained, local.cooldownStart = true, drained, now
	if drained {
		local.cooldownStart = time.Time{}
	}
	for _, h := range s.sortedShares() {
		for i := range h.slots {
			if sl := &h.slots[i]; sl.awaitsAdoption || drained {
				sl.usableAt = time.Time{}
				s.startCooldown(h, sl)
			}
		}
	}
	return true
}

// Drained reports whether the slots that this instance does not own under its roster are neither in use by it nor lent. Slots
// that it has borrowed do not count.
func (s *Shares) Drained(now time.Time) bool {
	s.advance(now)
	for _, h := range s.shares {
		for i := range h.slots {
			if sl := &h.slots[i]; !sl.owned && (sl.busy || sl.lent != nil) {
				return false
			}
		}
	}
	return true
}

// Idle reports whether this instance has no request in flight and no slot lent, so that it can leave the roster cleanly.
func (s *Shares) Idle(now time.Time) bool {
	s.advance(now)
	for _, h := range s.shares {
		if h.inFlight > 0 || h.lent > 0 {
			return false
		}
	}
	return true
}

// sortedShares returns the shares sorted by upstream, so that decisions do not depend on the iteration order of a map.
func (s *Shares) sortedShares() []*share {
	return slices.SortedFunc(maps.Values(s.shares), func(a, b *share) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
}

func (s *Shares) refreshAll(now time.Time) {
	for _, h := range s.sortedShares() {
		s.refresh(now, h)
	}
}

// Isolated reports whether this instance may not use its own slots because it lacks recent confirmations of its roster.
func (s *Shares) Isolated(now time.Time) bool {
	s.advance(now)
	return !s.membershipValid(now)
}

func (s *Shares) membershipValid(now time.Time) bool { return now.Before(s.roster.validUntil) }

func (r *localRoster) extendValidity(until time.Time) {
	if until.After(r.validUntil) {
		r.validUntil = until
	}
}

// confirmedAt returns the latest time at which the epoch is known to have been current: the time at which a majority of the
// members confirmed it without being isolated themselves, or at which all members confirmed it, isolated or not. One peer is
// not enough, because two members that are partitioned together would keep confirming each other.
func (r *localRoster) confirmedAt() time.Time {
	all, trusted := make([]time.Time, 0, len(r.peers)), make([]time.Time, 0, len(r.peers))
	for _, p := range r.peers {
		all, trusted = append(all, p.lastConfirmation), append(trusted, p.lastTrustedConfirmation)
	}
	latestFirst := func(a, b time.Time) int { return b.Compare(a) }
	slices.SortFunc(all, latestFirst)
	slices.SortFunc(trusted, latestFirst)
	others := len(r.Members) / 2 // with this instance, a majority
	if others == 0 || others > len(trusted) {
		return time.Time{}
	}
	if majority := trusted[others-1]; majority.After(all[len(all)-1]) {
		return majority
	}
	return all[len(all)-1]
}

// extendSoleMember lets a sole member use its slots without confirmations. After a pause of its process it needs one again,
// because a replacement may have started in the meantime.
func (r *localRoster) extendSoleMember(now time.Time, timeout time.Duration) {
	if len(r.Members) != 1 || r.Members[0] != r.self {
		return
	}
	if r.validUntil.IsZero() || now.Before(r.validUntil) {
		r.extendValidity(now.Add(timeout))
	}
}
