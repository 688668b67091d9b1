package medlaraccount

// indexedHeap is a binary heap that tells its elements their position, so that any element can be moved or removed in
// logarithmic time. The position of an element outside the heap is notInHeap.
type indexedHeap[T any] struct {
	items       []T
	less        func(a, b T) bool
	setPosition func(item T, position int)
}

const notInHeap = -1

func (h *indexedHeap[T]) push(item T) {
	h.items = append(h.items, item)
	h.setPosition(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(position int) {
	last := len(h.items) - 1
	h.swap(position, last)
	h.setPosition(h.items[last], notInHeap)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if position < last {
		h.fix(position)
	}
}

// fix restores the order after the element at position has changed.
func (h *indexedHeap[T]) fix(position int) {
	if !h.down(position) {
		h.up(position)
	}
}

func (h *indexedHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *indexedHeap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *indexedHeap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setPosition(h.items[i], i)
	h.setPosition(h.items[j], j)
}
