package medlarupstream

import (
	"container/heap"
	"time"
)

// timerQueue orders shares by the next time at which one of their slots or loans changes by itself.
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

// schedule sets the next time of h. The zero time sets none.
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

// popDue removes and returns a share whose time has come, or nil.
func (t *timerQueue) popDue(now time.Time) *share {
	if len(*t) == 0 || now.Before((*t)[0].wakeAt) {
		return nil
	}
	h := heap.Pop(t).(*share)
	h.wakeAt = time.Time{}
	return h
}
