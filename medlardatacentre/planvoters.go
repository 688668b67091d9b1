package medlardatacentre

import (
	"cmp"
	"slices"
	"time"

	"medlarwheel"
)

// planVoters sets the voters of the next roster and reports whether they differ from the current ones.
func (p *planner) planVoters() bool {
	var kept []Voter
	mayBeRunning := 0
	for _, v := range p.current.Voters {
		m, member := p.next.Member(v.Instance)
		switch {
		case member && m.Incarnation == v.Incarnation:
			kept = append(kept, v)
		case !p.hasEnded(v):
			mayBeRunning++
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
	case mayBeRunning < majority && len(kept)+len(candidates) > 0:
		return p.setVoters(kept, candidates, voterInstances(kept), p.now)
	default:
		return false
	}
}

// hasEnded reports whether the incarnation of a lost voter is proved to have ended.
func (p *planner) hasEnded(v Voter) bool {
	return v.Ended || p.processState(v.Instance, v.Incarnation) == processEnded
}

// candidates returns the alive members that are not kept voters, ordered by the epoch in which they joined.
func (p *planner) candidates(kept []Voter) []RosterMember {
	var candidates []RosterMember
	for _, m := range p.next.Members {
		isVoter := slices.ContainsFunc(kept, func(v Voter) bool { return v.Instance == m.Instance })
		if !isVoter && p.isAlive(m.Instance) {
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b RosterMember) int { return cmp.Compare(a.JoinedEpoch, b.JoinedEpoch) })
	return candidates
}

// sources returns the kept voters from which new voters copy votes, and whether their votes suffice. Voters that joined
// within voterRecoveryTime may still be copying votes. In that case the sources of the last change are used again, if all
// of them are kept and there are at least minSources of them.
func (p *planner) sources(kept []Voter, minSources int) ([]medlarwheel.InstanceID, bool) {
	all := voterInstances(kept)
	if p.now.Sub(p.current.VotersChangedAt) >= voterRecoveryTime || len(p.current.Sources) == 0 {
		return all, true
	}
	for _, id := range p.current.Sources {
		if !slices.Contains(all, id) {
			return nil, false
		}
	}
	return p.current.Sources, len(p.current.Sources) >= minSources
}

// setVoters replaces lost voters by candidates and then adds candidates up to MaxVoters. votesLostAt is zero unless votes
// are lost by the change.
func (p *planner) setVoters(kept []Voter, candidates []RosterMember, sources []medlarwheel.InstanceID, votesLostAt time.Time) bool {
	quarantineFrom := votesLostAt
	for _, v := range kept {
		if p.now.Sub(v.QuarantineFrom) < recordRetention && v.QuarantineFrom.After(quarantineFrom) {
			quarantineFrom = v.QuarantineFrom
		}
	}
	var voters []Voter
	add := func() {
		if len(candidates) > 0 {
			m := candidates[0]
			candidates = candidates[1:]
			voters = append(voters, Voter{
				Instance: m.Instance, Incarnation: m.Incarnation, SinceEpoch: p.next.Epoch, QuarantineFrom: quarantineFrom,
			})
		}
	}
	for _, v := range p.current.Voters {
		if !slices.Contains(kept, v) {
			add()
			continue
		}
		if !votesLostAt.IsZero() {
			v.QuarantineFrom = votesLostAt
		} else if p.now.Sub(v.QuarantineFrom) >= recordRetention {
			v.QuarantineFrom = time.Time{}
		}
		voters = append(voters, v)
	}
	for len(voters) < MaxVoters && len(candidates) > 0 {
		add()
	}
	p.next.Voters, p.next.Sources, p.next.VotersChangedAt = voters, sources, p.now
	return true
}

func voterInstances(voters []Voter) []medlarwheel.InstanceID {
	ids := make([]medlarwheel.InstanceID, 0, len(voters))
	for _, v := range voters {
		ids = append(ids, v.Instance)
	}
	return ids
}
