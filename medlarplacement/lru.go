package medlarplacement

// lru is a map that drops its least recently used entry when it grows beyond its capacity.
type lru[K comparable, V any] struct {
	capacity int
	entries  map[K]*lruEntry[K, V]
	// root links the entries in a ring, the most recently used first.
	root lruEntry[K, V]
}

type lruEntry[K comparable, V any] struct {
	key        K
	value      V
	prev, next *lruEntry[K, V]
}

func newLRU[K comparable, V any](capacity int) *lru[K, V] {
	l := &lru[K, V]{capacity: max(1, capacity), entries: make(map[K]*lruEntry[K, V])}
	l.root.prev, l.root.next = &l.root, &l.root
	return l
}

// peek returns the value of key, or nil. It does not count as a use.
func (l *lru[K, V]) peek(key K) *V {
	if e := l.entries[key]; e != nil {
		return &e.value
	}
	return nil
}

// getOrCreate returns the value of key and marks it as used. A new value is zero and may displace the least recently used entry.
func (l *lru[K, V]) getOrCreate(key K) (value *V, isNew bool) {
	if e := l.entries[key]; e != nil {
		l.moveToFront(e)
		return &e.value, false
	}
	if len(l.entries) >= l.capacity {
		oldest := l.root.prev
		l.unlink(oldest)
		delete(l.entries, oldest.key)
	}
	e := &lruEntry[K, V]{key: key}
	l.entries[key] = e
	l.link(e)
	return &e.value, true
}

func (l *lru[K, V]) len() int { return len(l.entries) }

func (l *lru[K, V]) moveToFront(e *lruEntry[K, V]) {
	if l.root.next == e {
		return
	}
	l.unlink(e)
	l.link(e)
}

func (l *lru[K, V]) link(e *lruEntry[K, V]) {
	e.prev, e.next = &l.root, l.root.next
	e.prev.next, e.next.prev = e, e
}

func (l *lru[K, V]) unlink(e *lruEntry[K, V]) {
	e.prev.next, e.next.prev = e.next, e.prev
}
