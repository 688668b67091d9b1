package medlarupstream

import (
	"container/heap"
	"time"
)

// timers orders shares by the next time at which one of their slots or loans changes by itself.
type timers []*share

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool { return t[i].wakeAt.Before(t[j].wakeAt) }

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerPlace, t[j].timerPlace = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	h := x.(*share)
	h.timerPlace = len(*t)
	*t = append(*t, h)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	last.timerPlace = notInSet
	*t = (*t)[:len(*t)-1]
	return last
}

// schedule sets the next time of h. The zero time sets none.
func (t *timers) schedule(h *share, at time.Time) {
	switch {
	case at.Equal(h.wakeAt) && (h.timerPlace != notInSet) == !at.IsZero():
	case at.IsZero():
		h.wakeAt = at
		heap.Remove(t, h.timerPlace)
	case h.timerPlace == notInSet:
		h.wakeAt = at
		heap.Push(t, h)
	default:
		h.wakeAt = at
		heap.Fix(t, h.timerPlace)
	}
}

// due removes and returns a share whose time has come, or nil.
func (t *timers) due(now time.Time) *share {
	if len(*t) == 0 || now.Before((*t)[0].wakeAt) {
		return nil
	}
	h := heap.Pop(t).(*share)
	h.wakeAt = time.Time{}
	return h
}
