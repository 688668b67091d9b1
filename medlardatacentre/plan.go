package medlardatacentre

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

const (
	// voterRecoveryTime is the time after a change of voters during which new voters are not used as sources, because
	// they may still be copying votes. Copying 600,000 votes takes seconds.
	voterRecoveryTime = 30 * time.Second
	// recordRetention is how long quarantines and removed members are kept in the roster. It is longer than the retention of
	// votes and the reuse delay of upstream slots.
	recordRetention = 10 * time.Minute
	// maxRemoved limits the removed members in a roster.
	maxRemoved = 64
)

// planner holds the state of one call of PlanRoster.
type planner struct {
	current Roster
	next    Roster
	now     time.Time
	view    map[medlarwheel.InstanceID]*Member
}

// PlanRoster returns the roster that should follow current, and whether it differs. The result depends on the arguments
// only. If current has a data centre but epoch 0, the result is the first roster. now is wall clock time.
//
// Members: alive members are added and leaving ones removed. Dead members are removed, unless more members are dead without
// proof than alive. Suspect and unknown members are left unchanged.
//
// Voters: let n be the number of voters and m the majority that grants a claim. A voter is kept as long as its incarnation
// is a member. If at least n-m+1 voters are kept, they hold at least one vote of every granted claim. New voters copy the
// votes of the kept ones, and the kept ones then refuse requests of the old epoch. Such a change is safe without proof that
// the lost voters have ended. It allows the loss of one voter of 3 and of one of 2, but not of a single one. Adding voters
// is always such a change, so that a group of two may shrink to one and a single voter may get others added.
//
// If fewer voters are kept, votes are lost, and the lost voters could still grant claims among themselves. The plan then
// waits until so many of them are proved to have ended (leaving, restarted, or dead and no longer listed) that the
// remaining ones are not a majority. It then sets QuarantineFrom on every voter of the new group.
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
	votersChanged := p.planVoters()
	if !votersChanged && slices.Equal(p.next.Members, current.Members) {
		return current, false
	}
	p.prune()
	return p.next, true
}

// processState is the state of an incarnation of an instance.
type processState uint8

const (
	// processPresent is an incarnation that is not known to have failed or ended.
	processPresent processState = iota
	// processPresumedDead is an incarnation that is dead in the view, but may be running behind a network partition.
	processPresumedDead
	// processEnded is an incarnation that is proved to have ended.
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
	presumedDead, alive := 0, 0
	for _, m := range p.current.Members {
		if p.processState(m.Instance, m.Incarnation) == processPresumedDead {
			presumedDead++
		}
	}
	for id := range p.view {
		if p.isAlive(id) {
			alive++
		}
	}
	// If more members look dead than alive, it is more likely that this instance is cut off.
	keepDead := presumedDead > alive
	for _, m := range p.current.Members {
		switch state := p.processState(m.Instance, m.Incarnation); {
		case state == processPresent, state == processPresumedDead && keepDead:
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

// prune drops removed processes whose retention has passed and those that are members again. A process that was replaced by
// a later incarnation stays listed, because requests of it may still be in flight.
func (p *planner) prune() {
	p.next.Removed = slices.DeleteFunc(p.next.Removed, func(r RemovedMember) bool {
		member, ok := p.next.Member(r.Instance)
		return (ok && member.Incarnation == r.Incarnation) || p.now.Sub(r.RemovedAt) >= recordRetention
	})
	if extra := len(p.next.Removed) - maxRemoved; extra > 0 {
		p.next.Removed = p.next.Removed[extra:]
	}
}

// Relinquish returns the roster that follows r once a removed process has given up its upstream slots and its vote, and
// whether that changes anything. A current member cannot do so. Only the process itself may call it, after its last request
// has ended and its voter has stopped.
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
		if v := &next.Voters[i]; v.Instance == instance && v.Incarnation == incarnation && !v.Ended {
			v.Ended, changed = true, true
		}
	}
	if !changed {
		return *r, false
	}
	next.Epoch++
	return next, true
}

// KnownMembers returns the members and voters of the roster for View.Merge. An instance that starts in a data centre whose
// members have all ended learns of them from no other source, and PlanRoster treats an unknown member as running.
func (r *Roster) KnownMembers() []Member {
	known := make([]Member, 0, len(r.Members)+len(r.Voters))
	for _, m := range r.Members {
		known = append(known, Member{Instance: m.Instance, DataCentre: r.DataCentre, PeerAddress: m.PeerAddress, Incarnation: m.Incarnation})
	}
	for _, v := range r.Voters {
		if _, member := r.Member(v.Instance); !member {
			known = append(known, Member{Instance: v.Instance, DataCentre: r.DataCentre, Incarnation: v.Incarnation})
		}
	}
	return known
}
