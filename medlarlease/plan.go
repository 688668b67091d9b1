package medlarlease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
)

// PlanShards returns the map that follows current for the live members, and whether it differs. A change that finds
// shards of dead members moves exactly these. Only a change without dead members moves shards for balance, MaxMoves of
// them at most. The result depends on the arguments alone, so planners that race write the same map. current must have
// been read before what live was taken from: otherwise a planner undoes what another one planned with a newer view.
func (c Config) PlanShards(current ShardMap, live []Member) (ShardMap, bool) {
	members := sortedMembers(live)
	if len(members) == 0 {
		return current, false
	}
	next := current.clone()
	next.Epoch++
	next.Members = members
	plan := planner{next: &next}
	orphans := 0
	for _, kind := range shardKinds() {
		orphans += plan.reassignDead(kind, &current)
	}
	moves := 0
	if orphans == 0 {
		for _, kind := range shardKinds() {
			moves += plan.balance(kind, c.MaxMoves-moves)
		}
	}
	if orphans+moves == 0 && slices.Equal(current.Members, members) {
		return current, false
	}
	return next, true
}

// sortedMembers orders the members by instance and keeps the highest incarnation of each.
func sortedMembers(live []Member) []Member {
	members := slices.Clone(live)
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(b.Incarnation, a.Incarnation))
	})
	return slices.CompactFunc(members, func(a, b Member) bool { return a.Instance == b.Instance })
}

type planner struct {
	next *ShardMap
}

// reassignDead gives every shard without a live owner to the member with the fewest shards.
func (p *planner) reassignDead(kind ShardKind, current *ShardMap) int {
	list := p.next.assignments(kind)
	counts := make([]int, len(p.next.Members))
	owners := make([]int, len(list))
	for i, a := range list {
		owners[i] = p.ownerIndex(a, current)
		if owners[i] >= 0 {
			counts[owners[i]]++
		}
	}
	orphans := 0
	for i := range list {
		if owners[i] >= 0 {
			continue
		}
		to := p.leastLoaded(counts, kind, ShardIndex(i))
		counts[to]++
		p.assign(kind, ShardIndex(i), to)
		orphans++
	}
	return orphans
}

// ownerIndex returns the position of the assignment's owner among the next members, or -1 if the owner is not live or
// has restarted since it was assigned.
func (p *planner) ownerIndex(a Assignment, current *ShardMap) int {
	index := slices.IndexFunc(p.next.Members, func(m Member) bool { return m.Instance == a.Owner })
	if index < 0 || !current.IsMember(p.next.Members[index]) {
		return -1
	}
	return index
}

// leastLoaded breaks ties by rendezvous hash, so that equal members do not all favour the first one.
func (p *planner) leastLoaded(counts []int, kind ShardKind, index ShardIndex) int {
	best, bestScore := -1, uint64(0)
	for i, count := range counts {
		if best >= 0 && count > counts[best] {
			continue
		}
		score := xxhash.Sum64String(string(p.next.Members[i].Instance) + "/" + string(kind) + "/" + index.String())
		if best < 0 || count < counts[best] || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// balance moves shards one at a time from the most to the least loaded member until they differ by at most one.
func (p *planner) balance(kind ShardKind, limit int) int {
	members, list := p.next.Members, p.next.assignments(kind)
	counts := make([]int, len(members))
	positions := make(map[medlarwheel.InstanceID]int, len(members))
	for i, m := range members {
		positions[m.Instance] = i
	}
	for _, a := range list {
		counts[positions[a.Owner]]++
	}
	for moves := range limit {
		most, least := 0, 0
		for i, count := range counts {
			if count > counts[most] {
				most = i
			}
			if count < counts[least] {
				least = i
			}
		}
		if counts[most]-counts[least] < 2 {
			return moves
		}
		from := members[most].Instance
		index := slices.IndexFunc(list, func(a Assignment) bool { return a.Owner == from })
		p.assign(kind, ShardIndex(index), least)
		counts[most]--
		counts[least]++
	}
	return limit
}

func (p *planner) assign(kind ShardKind, index ShardIndex, to int) {
	p.next.assignments(kind)[index] = Assignment{
		Owner: p.next.Members[to].Instance,
		Token: medlarwheel.FencingToken(p.next.Epoch),
	}
}
