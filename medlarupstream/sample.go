package medlarupstream

// sampleSet is a set of shares from which any member can be picked by its index in constant time.
type sampleSet struct {
	members []*share
	// place returns where a share notes its index in this set.
	place func(*share) *int
}

const notInSet = -1

func (s *sampleSet) set(h *share, present bool) {
	at := s.place(h)
	switch {
	case present && *at == notInSet:
		*at = len(s.members)
		s.members = append(s.members, h)
	case !present && *at != notInSet:
		last := s.members[len(s.members)-1]
		s.members[*at] = last
		*s.place(last) = *at
		s.members = s.members[:len(s.members)-1]
		*at = notInSet
	}
}
