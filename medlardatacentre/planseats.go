package medlardatacentre

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// planVoters decides on the seats of the next roster and reports whether they differ from the current ones.
func (p *planner) planVoters() bool {
	var kept []Voter
	unproved := 0
	for _, s := range p.current.Voters {
		m, member := p.next.Member(s.Instance)
		switch {
		case member && m.Incarnation == s.Incarnation:
			kept = append(kept, s)
		case !p.hasEnded(s):
			unproved++
		}
	}
	candidates := p.candidates(kept)
	count := len(p.current.Voters)
	if len(kept) == count && (len(candidates) == 0 || count == MaxVoters) {
		return false
	}
	majority := count/2 + 1
	switch {
	case count == 0:
		return p.setVoters(nil, candidates, nil, time.Time{})
	case len(kept) >= count-majority+1:
		sources, ready := p.sources(kept, count-majority+1)
		return ready && p.setVoters(kept, candidates, sources, time.Time{})
	case unproved < majority && len(kept)+len(candidates) > 0:
		return p.setVoters(kept, candidates, voterInstances(kept), p.now)
	default:
		return false
	}
}

// hasEnded reports whether the incarnation of a lost seat is proved to have ended.
func (p *planner) hasEnded(s Voter) bool {
	return s.Ended || p.processState(s.Instance, s.Incarnation) == processEnded
}

// candidates returns the alive members without a kept seat, the longest members first.
func (p *planner) candidates(kept []Voter) []RosterMember {
	var candidates []RosterMember
	for _, m := range p.next.Members {
		seated := slices.ContainsFunc(kept, func(s Voter) bool { return s.Instance == m.Instance })
		if !seated && p.isAlive(m.Instance) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b RosterMember) int { return cmp.Compare(a.JoinedEpoch, b.JoinedEpoch) })
	return candidates
}

// sources returns the kept seats to copy votes from, and whether they know enough. Seats that joined lately may still be
// copying. Then the sources of the last change are used again if all of them are kept and they are enough for the
// current group as well.
func (p *planner) sources(kept []Voter, enough int) ([]medlarwheel.InstanceID, bool) {
	all := voterInstances(kept)
	if p.now.Sub(p.current.VotersChangedAt) >= voterRecoveryTime || len(p.current.Sources) == 0 {
		return all, true
	}
	for _, id := range p.current.Sources {
		if !slices.Contains(all, id) {
			return nil, false
		}
	}
	return p.current.Sources, len(p.current.Sources) >= enough
}

// setVoters puts candidates in the places of lost seats and then into free places. lost is the time of a loss of votes.
func (p *planner) setVoters(kept []Voter, candidates []RosterMember, sources []medlarwheel.InstanceID, lost time.Time) bool {
	mark := lost
	for _, s := range kept {
		if p.now.Sub(s.QuarantineFrom) < recordRetention && s.QuarantineFrom.After(mark) {
			mark = s.QuarantineFrom
		}
	}
	var seats []Voter
	add := func() {
		if len(candidates) > 0 {
			m := candidates[0]
			candidates = candidates[1:]
			seats = append(seats, Voter{
				Instance: m.Instance, Incarnation: m.Incarnation, SinceEpoch: p.next.Epoch, QuarantineFrom: mark,
			})
		}
	}
	for _, s := range p.current.Voters {
		if !slices.Contains(kept, s) {
			add()
			continue
		}
		if !lost.IsZero() {
			s.QuarantineFrom = lost
		} else if p.now.Sub(s.QuarantineFrom) >= recordRetention {
			s.QuarantineFrom = time.Time{}
		}
		seats = append(seats, s)
	}
	for len(seats) < MaxVoters && len(candidates) > 0 {
		add()
	}
	p.next.Voters, p.next.Sources, p.next.VotersChangedAt = seats, sources, p.now
	return true
}

func voterInstances(seats []Voter) []medlarwheel.InstanceID {
	ids := make([]medlarwheel.InstanceID, 0, len(seats))
	for _, s := range seats {
		ids = append(ids, s.Instance)
	}
	return ids
}
