package medlarplacement

import (
	"math/bits"
)

// tenancy groups workers by who may join them.
type tenancy uint8

const (
	// tenancyEmpty admits every task.
	tenancyEmpty tenancy = iota
	// tenancySingle has tasks of one template that may share.
	tenancySingle
	// tenancyMixed has tasks of several templates.
	tenancyMixed
	// tenancyClosed has tasks that do not share; it admits only their own template.
	tenancyClosed
)

// bucketKey groups workers of similar free capacity. Each capacity is the number of binary digits of the free amount.
type bucketKey struct {
	cpu, memory, accelerators uint8
	tenancy                   tenancy
}

// bucket is a set of workers with one key.
type bucket struct {
	key      bucketKey
	workers  []*worker
	position int
}

// buckets holds the workers that are open to placement.
type buckets struct {
	byKey    map[bucketKey]*bucket
	occupied []*bucket
}

func digits[T ~int64](amount T) uint8 { return uint8(bits.Len64(uint64(max(0, amount)))) }

func keyOf(w *worker) bucketKey {
	free := w.free()
	key := bucketKey{cpu: digits(free.CPU), memory: digits(free.Memory), accelerators: digits(free.Accelerators)}
	switch {
	case len(w.residents) == 0:
		key.tenancy = tenancyEmpty
	case w.residents[0].closed > 0:
		key.tenancy = tenancyClosed
	case len(w.residents) == 1:
		key.tenancy = tenancySingle
	default:
		key.tenancy = tenancyMixed
	}
	return key
}

// update moves w to the bucket of its present state.
func (b *buckets) update(w *worker) {
	if w.marks.any() {
		b.drop(w)
		return
	}
	key := keyOf(w)
	if w.bucket != nil && w.bucket.key == key {
		return
	}
	b.drop(w)
	to := b.byKey[key]
	if to == nil {
		to = &bucket{key: key, position: len(b.occupied)}
		b.byKey[key] = to
		b.occupied = append(b.occupied, to)
	}
	w.bucket, w.position = to, len(to.workers)
	to.workers = append(to.workers, w)
}

// drop takes w out of its bucket.
func (b *buckets) drop(w *worker) {
	from := w.bucket
	if from == nil {
		return
	}
	last := len(from.workers) - 1
	moved := from.workers[last]
	from.workers[w.position], moved.position = moved, w.position
	from.workers[last] = nil
	from.workers = from.workers[:last]
	w.bucket = nil
	if last > 0 {
		return
	}
	end := len(b.occupied) - 1
	b.occupied[from.position] = b.occupied[end]
	b.occupied[from.position].position = from.position
	b.occupied[end] = nil
	b.occupied = b.occupied[:end]
	delete(b.byKey, from.key)
}
