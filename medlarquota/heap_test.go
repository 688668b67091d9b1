package medlarquota

import (
	"math/rand/v2"
	"slices"
	"testing"
)

type heapItem struct{ key, position int }

// Guards against a heap that is out of order after an element in the middle is changed or removed. The few teams of the
// queue tests seldom reach that.
func TestIndexedHeapTopIsLeast(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	heap := &indexedHeap[*heapItem]{
		less:     func(a, b *heapItem) bool { return a.key < b.key },
		position: func(i *heapItem) *int { return &i.position },
	}
	var items []*heapItem
	for step := range 20_000 {
		switch at := rng.IntN(len(items) + 1); {
		case rng.IntN(3) == 0 && at < len(items):
			heap.remove(items[at])
			items = slices.Delete(items, at, at+1)
		case at < len(items):
			items[at].key = rng.IntN(1000)
			heap.insertOrFix(items[at])
		case len(items) < 60:
			items = append(items, &heapItem{key: rng.IntN(1000), position: noPosition})
			heap.insertOrFix(items[len(items)-1])
		}
		if top, ok := heap.top(); ok != (len(items) > 0) || ok && top.key != slices.MinFunc(items, compareItems).key {
			t.Fatalf("step %d: top of %d items is not the least", step, len(items))
		}
	}
}

func compareItems(a, b *heapItem) int { return a.key - b.key }
