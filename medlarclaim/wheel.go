package medlarclaim

// timingWheel lists the slots by the second at which they may expire. A record whose due second has moved on is listed again
// when its old second comes, so an event of a key costs nothing here.
type timingWheel struct {
	buckets []recordIndex
	// nextSecond is the first second that was not drained.
	nextSecond uint32
	// draining lists the slots of the second before next that were not looked at yet.
	draining recordIndex
}

// wheelSlackSeconds covers the rounding of the due second at both ends.
const wheelSlackSeconds = 3

func newTimingWheel(retentionSeconds int) timingWheel {
	return timingWheel{buckets: make([]recordIndex, retentionSeconds+wheelSlackSeconds)}
}

// add lists a slot that is not listed.
func (w *timingWheel) add(t *recordTable, s recordIndex) {
	r := t.at(s)
	r.flags |= flagInWheel
	head := &w.buckets[int(r.expiry)%len(w.buckets)]
	r.nextInWheel = *head
	*head = s
}

// pop returns the next slot that was listed for a second up to now, and takes it off the list.
func (w *timingWheel) pop(t *recordTable, now uint32) (recordIndex, bool) {
	if now >= w.nextSecond && now-w.nextSecond > uint32(len(w.buckets)) {
		w.nextSecond = now - uint32(len(w.buckets)) // one turn visits every second
	}
	for w.draining == 0 {
		if w.nextSecond > now {
			return 0, false
		}
		head := &w.buckets[int(w.nextSecond)%len(w.buckets)]
		w.draining, *head = *head, 0
		w.nextSecond++
	}
	s := w.draining
	r := t.at(s)
	w.draining = r.nextInWheel
	r.flags &^= flagInWheel
	return s, true
}
