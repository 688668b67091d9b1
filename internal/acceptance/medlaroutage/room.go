package medlaroutage

import (
	"slices"
	"time"
)

// Entry is a waiting request. Value is the caller's.
type Entry[T any] struct {
	// Part is the part of the table that holds the row. Rows of one part share a transaction.
	Part     string
	Bytes    int
	Deadline time.Time
	Value    T
}

// Room holds the requests that wait for the table, in the order of their deadlines. The caller serialises the calls. The zero
// value is an empty room.
type Room[T any] struct {
	entries []*Entry[T]
	bytes   int
}

// Len returns the number of waiting requests.
func (m *Room[T]) Len() int { return len(m.entries) }

// Bytes returns the size of the waiting requests.
func (m *Room[T]) Bytes() int { return m.bytes }

// Add adds a request. Config.Decide has decided that there is room for it.
func (m *Room[T]) Add(e *Entry[T]) {
	at, _ := slices.BinarySearchFunc(m.entries, e.Deadline, func(e *Entry[T], deadline time.Time) int {
		if e.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	m.entries = slices.Insert(m.entries, at, e)
	m.bytes += e.Bytes
}

// Remove removes a request. It returns false if the request has been released.
func (m *Room[T]) Remove(e *Entry[T]) bool {
	at := slices.Index(m.entries, e)
	if at < 0 {
		return false
	}
	m.entries = slices.Delete(m.entries, at, at+1)
	m.bytes -= e.Bytes
	return true
}

// Release removes and returns the requests with the earliest deadlines that at most the given number of transactions store. Requests
// for a part that is among them are included at no cost, whatever their deadlines. Requests whose deadline is before earliest are
// returned as late: their clients could not get an answer in time.
func (m *Room[T]) Release(earliest time.Time, transactions int) (next, late []*Entry[T]) {
	var rest []*Entry[T]
	parts := map[string]bool{}
	for _, e := range m.entries {
		switch {
		case e.Deadline.Before(earliest):
			late = append(late, e)
		case parts[e.Part] || len(parts) < transactions:
			parts[e.Part] = true
			next = append(next, e)
		default:
			rest = append(rest, e)
			continue
		}
		m.bytes -= e.Bytes
	}
	m.entries = rest
	return next, late
}
