package medlarplacement

import (
	"math/bits"
)

// tenancy groups workers by the tasks that they admit under the rules on sharing.
type tenancy uint8

const (
	// tenancyEmpty is a worker without tasks. It admits every task.
	tenancyEmpty tenancy = iota
	// tenancySingle is a worker with tasks of one template, all of which may share it.
	tenancySingle
	// tenancyMixed is a worker with tasks of several templates.
	tenancyMixed
	// tenancyExclusive is a worker with tasks that do not share it with other templates.
	tenancyExclusive
)

// bucketKey groups workers of similar free capacity. Each capacity is the bit length of the free amount.
type bucketKey struct {
	cpu, memory, accelerators uint8
	tenancy                   tenancy
}

// bucket is a set of workers with one key.
type bucket struct {
	key     bucketKey
	workers []*worker
	// position is the index of the bucket in buckets.occupied.
	position int
}

// buckets holds the workers without marks, which are the ones that tasks may be placed on.
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

// update moves w to the bucket of its current state, or out of all buckets if it has marks.
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
	target := b.byKey[key]
	if target == nil {
		target = &bucket{key: key, position: len(b.occupied)}
		b.byKey[key] = target
		b.occupied = append(b.occupied, target)
	}
	w.bucket, w.bucketPosition = target, len(target.workers)
	target.workers = append(target.workers, w)
}

// remove takes w out of its bucket and deletes a bucket that is empty.
func (b *buckets) remove(w *worker) {
	source := w.bucket
	if source == nil {
		return
	}
	last := len(source.workers) - 1
	moved := source.workers[last]
	source.workers[w.bucketPosition], moved.bucketPosition = moved, w.bucketPosition
	source.workers[last] = nil
	source.workers = source.workers[:last]
	w.bucket = nil
	if last > 0 {
		return
	}
	end := len(b.occupied) - 1
	b.occupied[source.position] = b.occupied[end]
	b.occupied[source.position].position = source.position
	b.occupied[end] = nil
	b.occupied = b.occupied[:end]
	delete(b.byKey, source.key)
}
