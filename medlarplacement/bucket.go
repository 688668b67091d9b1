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
	// tenancyExclusive has tasks that do not share; it admits only their own template.
	tenancyExclusive
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

func bitLength[T ~int64](amount T) uint8 { return uint8(bits.Len64(uint64(max(0, amount)))) }

func bucketKeyOf(w *worker) bucketKey {
	free := w.free()
	key := bucketKey{cpu: bitLength(free.CPU), memory: bitLength(free.Memory), accelerators: bitLength(free.Accelerators)}
	switch {
	case len(w.templates) == 0:
		key.tenancy = tenancyEmpty
	case w.templates[0].exclusive > 0:
		key.tenancy = tenancyExclusive
	case len(w.templates) == 1:
		key.tenancy = tenancySingle
	default:
		key.tenancy = tenancyMixed
	}
	return key
}

// update moves w to the bucket of its present state.
func (b *buckets) update(w *worker) {
	if w.marks.any() {
		b.remove(w)
		return
	}
	key := bucketKeyOf(w)
	if w.bucket != nil && w.bucket.key == key {
		return
	}
	b.remove(w)
	to := b.byKey[key]
	if to == nil {
		to = &bucket{key: key, position: len(b.occupied)}
		b.byKey[key] = to
		b.occupied = append(b.occupied, to)
	}
	w.bucket, w.bucketPosition = to, len(to.workers)
	to.workers = append(to.workers, w)
}

// remove takes w out of its bucket.
func (b *buckets) remove(w *worker) {
	from := w.bucket
	if from == nil {
		return
	}
	last := len(from.workers) - 1
	moved := from.workers[last]
	from.workers[w.bucketPosition], moved.bucketPosition = moved, w.bucketPosition
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
