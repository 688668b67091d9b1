package medlarupstream

import (
	"container/heap"
	"time"
)

// timerQueue is a heap of shares, ordered by the next time at which the state of a slot or loan of the share changes.
type timerQueue []*share

// Len implements heap.Interface.
func (t timerQueue) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timerQueue) Less(i, j int) bool { return t[i].wakeAt.Before(t[j].wakeAt) }

// Swap implements heap.Interface.
func (t timerQueue) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex, t[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (t *timerQueue) Push(x any) {
	h := x.(*share)
	h.timerIndex = len(*t)
	*t = append(*t, h)
}

// Pop implements heap.Interface.
func (t *timerQueue) Pop() any {
	last := (*t)[len(*t)-1]
	last.timerIndex = notInSet
	*t = (*t)[:len(*t)-1]
	return last
}

// schedule sets the time at which popDue returns h. The zero time removes h from the queue.
func (t *timerQueue) schedule(h *share, at time.Time) {
	switch {
	case at.Equal(h.wakeAt) && (h.timerIndex != notInSet) == !at.IsZero():
	case at.IsZero():
		h.wakeAt = at
		heap.Remove(t, h.timerIndex)
	case h.timerIndex == notInSet:
		h.wakeAt = at
		heap.Push(t, h)
	default:
		h.wakeAt = at
		heap.Fix(t, h.timerIndex)
	}
}

// popDue removes and returns a share whose time has come, or returns nil if there is none.
func (t *timerQueue) popDue(now time.Time) *share {
	if len(*t) == 0 || now.Before((*t)[0].wakeAt) {
		return nil
	}
	h := heap.Pop(t).(*share)
	h.wakeAt = time.Time{}
	return h
}
