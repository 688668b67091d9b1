package medlardatacentre

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

const (
	// voterRecoveryTime is the time after a change of seats in which new seats are not counted on for the next change. Copying
	// 600,000 votes takes seconds.
	voterRecoveryTime = 30 * time.Second
	// recordRetention is the time after which a quarantine mark and a removed member are dropped from the roster. It is longer
	// than the retention of votes and the reuse delay of slots.
	recordRetention = 10 * time.Minute
	// maxRemoved bounds the removed members in a roster.
	maxRemoved = 64
)

// planner holds the state of one call of PlanRoster.
type planner struct {
	current Roster
	next    Roster
	now     time.Time
	view    map[medlarwheel.InstanceID]*Member
}

// PlanRoster returns the roster that should follow current, and whether it differs. The plan depends on the arguments
// only. An empty current roster with a data centre leads to the first one. now is wall clock time.
//
// Members: alive ones are added, leaving ones removed, dead ones removed unless more look dead, without proof, than alive.
// A suspect or unknown member stays as it is.
//
// Seats, with n seats of which a majority m grants a claim: a seat is kept as long as its incarnation is a member. If at
// least n-m+1 seats are kept, their votes include one of every granted claim. New seats copy the votes of the kept
// ones, and the kept ones refuse the old epoch from then on, so such a change is safe without any proof that the lost
// seats have ended. With 3 seats that is the loss of one, with 2 the loss of one, with 1 none; adding seats is always of
// this kind. A group of two may therefore shrink to one, and a single one may grow.
//
// If fewer seats are kept, votes are lost, and the lost seats could still grant claims among themselves. The plan then
// waits until so many of them are proved to have ended (leaving, restarted, or dead and no longer listed) that the
// others are no majority, and marks every seat of the new group with a quarantine.
func PlanRoster(current Roster, members []Member, now time.Time) (Roster, bool) {
	p := planner{current: current, now: now, view: make(map[medlarwheel.InstanceID]*Member)}
	for i := range members {
		if members[i].DataCentre == current.DataCentre {
			p.view[members[i].Instance] = &members[i]
		}
	}
	p.next = Roster{
		DataCentre:      current.DataCentre,
		Epoch:           current.Epoch + 1,
		Voters:          current.Voters,
		Sources:         current.Sources,
		VotersChangedAt: current.VotersChangedAt,
		Removed:         slices.Clone(current.Removed),
	}
	p.planMembers()
	seatsChanged := p.planVoters()
	if !seatsChanged && slices.Equal(p.next.Members, current.Members) {
		return current, false
	}
	p.prune()
	return p.next, true
}

// processState is what became of an incarnation.
type processState uint8

const (
	processPresent processState = iota
	// processPresumedDead is an incarnation that looks dead but may be cut off.
	processPresumedDead
	// processEnded is an incarnation that does not act any more.
	processEnded
)

func (p *planner) processState(id medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) processState {
	m, known := p.view[id]
	switch {
	case !known || m.Incarnation < incarnation:
		return processPresent
	case m.Incarnation > incarnation, m.Status == StatusLeaving:
		return processEnded
	case m.Status == StatusDead && m.Unlisted:
		return processEnded
	case m.Status == StatusDead:
		return processPresumedDead
	default:
		return processPresent
	}
}

func (p *planner) planMembers() {
	unproved, here := 0, 0
	for _, m := range p.current.Members {
		if p.processState(m.Instance, m.Incarnation) == processPresumedDead {
			unproved++
		}
	}
	for id := range p.view {
		if p.isAlive(id) {
			here++
		}
	}
	// If more members look dead than alive, this instance is rather cut off from them.
	keepDead := unproved > here
	for _, m := range p.current.Members {
		switch f := p.processState(m.Instance, m.Incarnation); {
		case f == processPresent, f == processPresumedDead && keepDead:
			if seen, known := p.view[m.Instance]; known && seen.Incarnation == m.Incarnation {
				m.PeerAddress = seen.PeerAddress
			}
			p.next.Members = append(p.next.Members, m)
		default:
			p.next.Removed = append(p.next.Removed, RemovedMember{
				Instance: m.Instance, Incarnation: m.Incarnation, RemovedEpoch: p.next.Epoch, RemovedAt: p.now,
			})
		}
	}
	for id, m := range p.view {
		if _, member := p.next.Member(id); !member && m.Status == StatusAlive {
			p.next.Members = append(p.next.Members, RosterMember{
				Instance: id, Incarnation: m.Incarnation, PeerAddress: m.PeerAddress, JoinedEpoch: p.next.Epoch,
			})
		}
	}
	slices.SortFunc(p.next.Members, func(a, b RosterMember) int { return cmp.Compare(a.Instance, b.Instance) })
}

func (p *planner) isAlive(id medlarwheel.InstanceID) bool {
	m, known := p.view[id]
	return known && m.Status == StatusAlive
}

// prune drops what is too old, and processes that are members again: those speak for themselves. A replaced process stays
// listed, because it may have left requests behind.
func (p *planner) prune() {
	p.next.Removed = slices.DeleteFunc(p.next.Removed, func(r RemovedMember) bool {
		member, ok := p.next.Member(r.Instance)
		return (ok && member.Incarnation == r.Incarnation) || p.now.Sub(r.RemovedAt) >= recordRetention
	})
	if extra := len(p.next.Removed) - maxRemoved; extra > 0 {
		p.next.Removed = p.next.Removed[extra:]
	}
}

// Relinquish returns the roster that follows r once a removed process has given up its slots and its vote, and whether that
// changes anything. A member can't give up. Only the process itself may ask for it, after its last request has ended and its seat has stopped voting.
func (r *Roster) Relinquish(instance medlarwheel.InstanceID, incarnation medlarwheel.Incarnation) (Roster, bool) {
	if member, ok := r.Member(instance); ok && member.Incarnation == incarnation {
		return *r, false
	}
	next := *r
	next.Removed = slices.DeleteFunc(slices.Clone(r.Removed), func(m RemovedMember) bool {
		return m.Instance == instance && m.Incarnation == incarnation
	})
	changed := len(next.Removed) != len(r.Removed)
	next.Voters = slices.Clone(r.Voters)
	for i := range next.Voters {
		if s := &next.Voters[i]; s.Instance == instance && s.Incarnation == incarnation && !s.Ended {
			s.Ended, changed = true, true
		}
	}
	if !changed {
		return *r, false
	}
	next.Epoch++
	return next, true
}

// KnownMembers returns what a view can learn from the roster. An instance that starts in a data centre whose members are all gone
// hears of them from nowhere else, and an unknown member is taken for a living one.
func (r *Roster) KnownMembers() []Member {
	known := make([]Member, 0, len(r.Members)+len(r.Voters))
	for _, m := range r.Members {
		known = append(known, Member{Instance: m.Instance, DataCentre: r.DataCentre, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation})
	}
	for _, s := range r.Voters {
		if _, member := r.Member(s.Instance); !member {
			known = append(known, Member{Instance: s.Instance, DataCentre: r.DataCentre, Incarnation: s.Incarnation})
		}
	}
	return known
}
