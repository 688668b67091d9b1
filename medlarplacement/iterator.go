package medlarplacement

import (
	"math/bits"
	"math/rand/v2"

	"medlarwheel"
)

// bucketFilter selects the buckets whose workers may fit a task.
type bucketFilter struct {
	size     medlarwheel.Resources
	mayShare bool
	// anyTenancy ignores the rules on sharing, which the caller checks.
	anyTenancy bool
}

// matches reports whether a worker with the key may fit the task.
func (f *bucketFilter) matches(key bucketKey) bool {
	if !f.anyTenancy && (f.mayShare && key.tenancy == tenancyExclusive || !f.mayShare && key.tenancy == tenancyMixed) {
		return false
	}
	return key.cpu >= bitLength(f.size.CPU) && key.memory >= bitLength(f.size.Memory) &&
		key.accelerators >= bitLength(f.size.Accelerators)
}

// workerIterator returns the workers of the matching buckets in a random order, each at most once.
type workerIterator struct {
	buckets []*bucket
	total   int
	order   permutation
	// position is the next position of the permutation.
	position uint64
}

// reset starts an iteration over the buckets that the filter matches. It reuses the memory of the last iteration.
func (it *workerIterator) reset(b *buckets, filter *bucketFilter, random *rand.Rand) {
	it.buckets, it.total, it.position = it.buckets[:0], 0, 0
	for _, candidate := range b.occupied {
		if filter.matches(candidate.key) {
			it.buckets = append(it.buckets, candidate)
			it.total += len(candidate.workers)
		}
	}
	it.order = newPermutation(it.total, random)
}

// next returns the next worker, or nil at the end of the iteration.
func (it *workerIterator) next() *worker {
	for it.position <= it.order.mask {
		index := int(it.order.at(it.position))
		it.position++
		if index < it.total {
			return it.workerAt(index)
		}
	}
	return nil
}

func (it *workerIterator) workerAt(index int) *worker {
	for _, b := range it.buckets {
		if index < len(b.workers) {
			return b.workers[index]
		}
		index -= len(b.workers)
	}
	return nil
}

// permutationRounds is the number of mixing rounds. Fewer rounds leave neighbouring workers close together in the
// order, so that an iteration that ends early may miss a whole rack.
const permutationRounds = 3

// permutation is a random permutation of the numbers below a power of two. It needs no memory per number.
type permutation struct {
	mask  uint64
	shift int
	// multipliers are odd, which makes each multiplication a bijection modulo the power of two.
	multipliers, increments [permutationRounds]uint64
}

func newPermutation(total int, random *rand.Rand) permutation {
	width := bits.Len(uint(max(1, total) - 1))
	p := permutation{mask: 1<<width - 1, shift: (width + 1) / 2}
	for i := range permutationRounds {
		p.multipliers[i], p.increments[i] = random.Uint64()|1, random.Uint64()
	}
	return p
}

func (p *permutation) at(x uint64) uint64 {
	for i := range permutationRounds {
		x = (x*p.multipliers[i] + p.increments[i]) & p.mask
		x ^= x >> p.shift
	}
	return x
}
