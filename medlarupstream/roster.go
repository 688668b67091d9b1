package medlarupstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// Roster names the members that split the upstreams of a data centre.
type Roster struct {
	DataCentre medlarwheel.DataCentreID `json:"data-centre"`
	Epoch      medlarwheel.Epoch        `json:"epoch"`
	Members    []medlarwheel.InstanceID `json:"members"`
	// First tells that this is the data centre's first roster and that this process was running when it was written, so
	// no other process can have used the slots before.
	First bool `json:"-"`
	// Unclean tells that a process was removed lately without having given up its slots, so that its requests may still
	// be in flight. It stays set for at least ReuseDelay and the longest Spec.MaxRequest.
	Unclean bool `json:"unclean,omitempty"`
}

// Confirmation is an answer from a roster peer or the platform.
type Confirmation struct {
	// Peer is the member that answered. It is empty for the platform.
	Peer medlarwheel.InstanceID
	// Epoch is the roster epoch that the other side uses.
	Epoch medlarwheel.Epoch
	// Isolated tells that the peer itself is in doubt.
	Isolated bool
	// Drained tells that the peer uses Epoch and has nothing in flight or lent on slots that it does not own under it.
	Drained bool
	// Sent is the time before the question was sent. The zero time marks word of the peer that came by way of others: it
	// tells the peer's epoch, but not that the peer can be reached.
	Sent time.Time
}

// peerStatus is the last word of one member about the present epoch.
type peerStatus struct {
	adopted bool
	drained bool
	// lastConfirmation is when the member was last heard, and surelyAt when it was last heard without doubt.
	lastConfirmation        time.Time
	lastTrustedConfirmation time.Time
}

// localRoster is the roster of the own data centre, with what shows that it is still in force.
type localRoster struct {
	Roster
	self  medlarwheel.InstanceID
	peers map[medlarwheel.InstanceID]*peerStatus
	// adoptedByAll tells that every member is known to use the epoch, and restFrom since when. The zero time stands for slots
	// that nobody used before.
	adoptedByAll  bool
	cooldownStart time.Time
	// drained tells that every process that may have used a moved slot before has given it up, so that none has to rest.
	drained bool
	// validUntil is the time at which the evidence becomes too old.
	validUntil time.Time
}

// SetRoster sets the roster of a data centre. One with a lower epoch is ignored.
func (s *Shares) SetRoster(now time.Time, r Roster) {
	s.advance(now)
	if r.DataCentre != s.config.DataCentre {
		if r.Epoch > s.others[r.DataCentre].Epoch {
			s.others[r.DataCentre] = r
		}
		return
	}
	own := &s.roster
	if r.Epoch <= own.Epoch {
		return
	}
	// After a gap, a slot may have had another owner in between without this instance knowing.
	gap := own.Epoch > 0 && r.Epoch > own.Epoch+1
	fresh := own.Epoch == 0 && r.First
	own.Roster, own.self, own.adoptedByAll, own.drained = r, s.config.Instance, fresh, fresh
	if !fresh {
		own.cooldownStart = now
	}
	own.peers = make(map[medlarwheel.InstanceID]*peerStatus, len(r.Members))
	for _, m := range r.Members {
		if m != s.config.Instance {
			own.peers[m] = &peerStatus{}
		}
	}
	for _, h := range s.sortedShares() {
		if h.upstream.DataCentre == s.config.DataCentre {
			s.assignSlots(h, gap)
		}
	}
	own.extendSoleMember(now, s.config.ConfirmationTimeout)
	s.updateCooldown(now)
	s.refreshAll(now)
}

// assignSlots sets which slots of h this instance owns. A slot that it gains rests, and so do all after a gap.
func (s *Shares) assignSlots(h *share, gap bool) {
	for len(h.slots) < int(h.spec.Slots) {
		h.slots = append(h.slots, slot{})
	}
	own := &s.roster
	for i := range h.slots {
		sl := &h.slots[i]
		owned := i < int(h.spec.Slots) && own.Epoch > 0 && Owner(h.upstream.ID, i, own.Members) == s.config.Instance
		if owned && (gap || !sl.owned) {
			s.startCooldown(h, sl)
		}
		sl.owned = owned
		sl.awaitsAdoption = sl.awaitsAdoption && owned
	}
}

// startCooldown keeps a gained slot from use until others have surely stopped using it.
func (s *Shares) startCooldown(h *share, sl *slot) {
	sl.awaitsAdoption = !s.roster.adoptedByAll
	if s.roster.adoptedByAll && !s.roster.cooldownStart.IsZero() {
		sl.usableAt = s.roster.cooldownStart.Add(s.config.ReuseDelay + h.spec.MaxRequest)
	}
}

// HandleConfirmation notes an answer from a roster peer or the platform.
func (s *Shares) HandleConfirmation(now time.Time, c Confirmation) {
	s.advance(now)
	own := &s.roster
	if c.Epoch != own.Epoch || own.Epoch == 0 {
		return
	}
	if c.Peer == "" {
		own.extendValidity(c.Sent.Add(s.config.ConfirmationTimeout))
		return
	}
	p, ok := own.peers[c.Peer]
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
	own.extendValidity(own.confirmedAt().Add(s.config.ConfirmationTimeout))
	if s.updateCooldown(now) {
		s.refreshAll(now)
	}
}

// updateCooldown starts the rest of moved slots once every member uses the epoch, and ends it at once when every process that may
// have used them is a member and has given them up. It reports whether either is so since this call.
func (s *Shares) updateCooldown(now time.Time) bool {
	own := &s.roster
	adopted, drained := true, !own.Unclean
	for _, p := range own.peers {
		adopted, drained = adopted && p.adopted, drained && p.drained
	}
	if !adopted || own.drained || (own.adoptedByAll && !drained) {
		return false
	}
	own.adoptedByAll, own.drained, own.cooldownStart = true, drained, now
	if drained {
		own.cooldownStart = time.Time{}
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

// Drained reports whether this instance has nothing in flight or lent on slots that it does not own under its roster.
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

// Idle reports whether this instance has nothing in flight or lent at all, so that it can leave the roster cleanly.
func (s *Shares) Idle(now time.Time) bool {
	s.advance(now)
	for _, h := range s.shares {
		if h.inFlight > 0 || h.lent > 0 {
			return false
		}
	}
	return true
}

// sortedShares lists the shares in a fixed order, so that decisions do not depend on the order of a map.
func (s *Shares) sortedShares() []*share {
	return slices.SortedFunc(maps.Values(s.shares), func(a, b *share) int { return cmp.Compare(a.upstream.ID, b.upstream.ID) })
}

func (s *Shares) refreshAll(now time.Time) {
	for _, h := range s.sortedShares() {
		s.refresh(now, h)
	}
}

// Isolated reports whether this instance lacks the contact that it needs to use its share.
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

// confirmedAt returns the latest time at which the epoch was surely in force: when a majority of the members that are not in
// doubt used it, or all members in doubt or not. One peer would not do, because two members that are cut off together
// would keep each other going.
func (r *localRoster) confirmedAt() time.Time {
	all, sure := make([]time.Time, 0, len(r.peers)), make([]time.Time, 0, len(r.peers))
	for _, p := range r.peers {
		all, sure = append(all, p.lastConfirmation), append(sure, p.lastTrustedConfirmation)
	}
	latestFirst := func(a, b time.Time) int { return b.Compare(a) }
	slices.SortFunc(all, latestFirst)
	slices.SortFunc(sure, latestFirst)
	others := len(r.Members) / 2 // with this instance, a majority
	if others == 0 || others > len(sure) {
		return time.Time{}
	}
	if majority := sure[others-1]; majority.After(all[len(all)-1]) {
		return majority
	}
	return all[len(all)-1]
}

// extendSoleMember keeps the only member going without contact, except after a pause: a replacement may have started meanwhile.
func (r *localRoster) extendSoleMember(now time.Time, stopAfter time.Duration) {
	if len(r.Members) != 1 || r.Members[0] != r.self {
		return
	}
	if r.validUntil.IsZero() || now.Before(r.validUntil) {
		r.extendValidity(now.Add(stopAfter))
	}
}
