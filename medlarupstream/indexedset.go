package medlarupstream

// indexedSet is a set of shares with constant-time insertion, removal and access by index, for random sampling.
type indexedSet struct {
	members []*share
	// indexOf returns a pointer to the index of a share in this set. The index is notInSet while the share is not a member.
	indexOf func(*share) *int
}

const notInSet = -1

func (s *indexedSet) set(h *share, present bool) {
	at := s.indexOf(h)
	switch {
	case present && *at == notInSet:
		*at = len(s.members)
		s.members = append(s.members, h)
	case !present && *at != notInSet:
		last := s.members[len(s.members)-1]
		s.members[*at] = last
		*s.indexOf(last) = *at
		s.members = s.members[:len(s.members)-1]
		*at = notInSet
	}
}
