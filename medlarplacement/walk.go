package medlarplacement

import (
	"math/bits"
	"math/rand/v2"

	"medlarwheel"
)

// bucketFilter describes the buckets that can hold a place.
type bucketFilter struct {
	size     medlarwheel.Resources
	mayShare bool
	// anyTenancy leaves the rules on sharing to the caller.
	anyTenancy bool
}

// matches reports whether some worker with the key can fit the need.
func (n *bucketFilter) matches(key bucketKey) bool {
	if !n.anyTenancy && (n.mayShare && key.tenancy == tenancyExclusive || !n.mayShare && key.tenancy == tenancyMixed) {
		return false
	}
	return key.cpu >= bitLength(n.size.CPU) && key.memory >= bitLength(n.size.Memory) &&
		key.accelerators >= bitLength(n.size.Accelerators)
}

// workerIterator visits the workers of the chosen buckets in a random order, each at most once.
type workerIterator struct {
	buckets []*bucket
	total   int
	order   permutation
	// position counts the positions of the shuffle that were used.
	position uint64
}

// reset begins a walk over the buckets that hold n. It reuses the memory of the last walk.
func (k *workerIterator) reset(b *buckets, n *bucketFilter, random *rand.Rand) {
	k.buckets, k.total, k.position = k.buckets[:0], 0, 0
	for _, candidate := range b.occupied {
		if n.matches(candidate.key) {
			k.buckets = append(k.buckets, candidate)
			k.total += len(candidate.workers)
		}
	}
	k.order = newPermutation(k.total, random)
}

// next returns the next worker, or nil at the end of the walk.
func (k *workerIterator) next() *worker {
	for k.position <= k.order.mask {
		at := int(k.order.at(k.position))
		k.position++
		if at < k.total {
			return k.workerAt(at)
		}
	}
	return nil
}

func (k *workerIterator) workerAt(at int) *worker {
	for _, b := range k.buckets {
		if at < len(b.workers) {
			return b.workers[at]
		}
		at -= len(b.workers)
	}
	return nil
}

// permutationRounds is the number of mixing rounds. Fewer leave neighbouring workers close together in the order, so that a
// walk that ends early may miss a whole rack.
const permutationRounds = 3

// permutation is a random one-to-one mapping of the numbers up to a power of two. It needs no memory per number.
type permutation struct {
	mask  uint64
	shift int
	// multipliers are odd, which makes each multiplication one-to-one.
	multipliers, increments [permutationRounds]uint64
}

func newPermutation(total int, random *rand.Rand) permutation {
	width := bits.Len(uint(max(1, total) - 1))
	s := permutation{mask: 1<<width - 1, shift: (width + 1) / 2}
	for i := range permutationRounds {
		s.multipliers[i], s.increments[i] = random.Uint64()|1, random.Uint64()
	}
	return s
}

func (s *permutation) at(x uint64) uint64 {
	for i := range permutationRounds {
		x = (x*s.multipliers[i] + s.increments[i]) & s.mask
		x ^= x >> s.shift
	}
	return x
}
