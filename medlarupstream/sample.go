package medlarupstream

// indexedSet is a set of shares from which any member can be picked by its index in constant time.
type indexedSet struct {
	members []*share
	// indexOf returns where a share notes its index in this set.
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
