package medlarquota

// indexedHeap is a binary heap whose elements know their position, so that one that changes can be moved in O(log n).
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns where an element keeps its position. It is noPosition while the element is not in the heap.
	position func(T) *int
}

const noPosition = -1

func (h *indexedHeap[T]) top() (T, bool) {
	if len(h.items) == 0 {
		var none T
		return none, false
	}
	return h.items[0], true
}

// insertOrFix puts an element in, or moves it to where it belongs after a change.
func (h *indexedHeap[T]) insertOrFix(item T) {
	at := *h.position(item)
	if at == noPosition {
		at = len(h.items)
		h.items = append(h.items, item)
		*h.position(item) = at
	}
	h.up(at)
	h.down(*h.position(item))
}

func (h *indexedHeap[T]) remove(item T) {
	at := *h.position(item)
	if at == noPosition {
		return
	}
	last := len(h.items) - 1
	h.swap(at, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*h.position(item) = noPosition
	if at < last {
		h.up(at)
		h.down(at)
	}
}

func (h *indexedHeap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h *indexedHeap[T]) down(at int) {
	for {
		least := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == at {
			return
		}
		h.swap(at, least)
		at = least
	}
}

func (h *indexedHeap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	*h.position(h.items[a]) = a
	*h.position(h.items[b]) = b
}
