package medlarplacement

import (
	"math/bits"
	"math/rand/v2"

	"medlarwheel"
)

// need describes the buckets that can hold a place.
type need struct {
	size     medlarwheel.Resources
	mayShare bool
	// anyTenancy leaves the rules on sharing to the caller.
	anyTenancy bool
}

// holds reports whether some worker with the key can fit the need.
func (n *need) holds(key bucketKey) bool {
	if !n.anyTenancy && (n.mayShare && key.tenancy == tenancyClosed || !n.mayShare && key.tenancy == tenancyMixed) {
		return false
	}
	return key.cpu >= digits(n.size.CPU) && key.memory >= digits(n.size.Memory) &&
		key.accelerators >= digits(n.size.Accelerators)
}

// walk visits the workers of the chosen buckets in a random order, each at most once.
type walk struct {
	chosen []*bucket
	total  int
	order  shuffle
	// step counts the positions of the shuffle that were used.
	step uint64
}

// start begins a walk over the buckets that hold n. It reuses the memory of the last walk.
func (k *walk) start(b *buckets, n *need, random *rand.Rand) {
	k.chosen, k.total, k.step = k.chosen[:0], 0, 0
	for _, candidate := range b.occupied {
		if n.holds(candidate.key) {
			k.chosen = append(k.chosen, candidate)
			k.total += len(candidate.workers)
		}
	}
	k.order = newShuffle(k.total, random)
}

// visit returns the next worker, or nil at the end of the walk.
func (k *walk) visit() *worker {
	for k.step <= k.order.mask {
		at := int(k.order.position(k.step))
		k.step++
		if at < k.total {
			return k.worker(at)
		}
	}
	return nil
}

func (k *walk) worker(at int) *worker {
	for _, b := range k.chosen {
		if at < len(b.workers) {
			return b.workers[at]
		}
		at -= len(b.workers)
	}
	return nil
}

// shuffleRounds is the number of mixing rounds. Fewer leave neighbouring workers close together in the order, so that a
// walk that ends early may miss a whole rack.
const shuffleRounds = 3

// shuffle is a random one-to-one mapping of the numbers up to a power of two. It needs no memory per number.
type shuffle struct {
	mask  uint64
	shift int
	// factors are odd, which makes each multiplication one-to-one.
	factors, terms [shuffleRounds]uint64
}

func newShuffle(total int, random *rand.Rand) shuffle {
	width := bits.Len(uint(max(1, total) - 1))
	s := shuffle{mask: 1<<width - 1, shift: (width + 1) / 2}
	for i := range shuffleRounds {
		s.factors[i], s.terms[i] = random.Uint64()|1, random.Uint64()
	}
	return s
}

func (s *shuffle) position(x uint64) uint64 {
	for i := range shuffleRounds {
		x = (x*s.factors[i] + s.terms[i]) & s.mask
		x ^= x >> s.shift
	}
	return x
}
