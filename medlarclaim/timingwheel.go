package medlarclaim

// timingWheel lists records in buckets by the second at which they may expire. When the expiry of a record moves, the
// record stays in its bucket and is listed again when the old second passes, so an event of a key needs no change here.
type timingWheel struct {
	buckets []recordIndex
	// nextSecond is the first second whose bucket was not drained.
	nextSecond uint32
	// draining lists the remaining records of the bucket that is being drained, the one before nextSecond.
	draining recordIndex
}

// wheelSlackSeconds covers the rounding of expiries at both ends.
const wheelSlackSeconds = 3

func newTimingWheel(retentionSeconds int) timingWheel {
	return timingWheel{buckets: make([]recordIndex, retentionSeconds+wheelSlackSeconds)}
}

// add lists a record that is not listed.
func (w *timingWheel) add(t *recordTable, index recordIndex) {
	r := t.at(index)
	r.flags |= flagInWheel
	bucket := &w.buckets[int(r.expiry)%len(w.buckets)]
	r.nextInWheel = *bucket
	*bucket = index
}

// pop removes and returns the next record that was listed for a second up to now. It returns false if there is none.
func (w *timingWheel) pop(t *recordTable, now uint32) (recordIndex, bool) {
	if now >= w.nextSecond && now-w.nextSecond > uint32(len(w.buckets)) {
		w.nextSecond = now - uint32(len(w.buckets)) // one rotation visits every bucket
	}
	for w.draining == 0 {
		if w.nextSecond > now {
			return 0, false
		}
		bucket := &w.buckets[int(w.nextSecond)%len(w.buckets)]
		w.draining, *bucket = *bucket, 0
		w.nextSecond++
	}
	index := w.draining
	r := t.at(index)
	w.draining = r.nextInWheel
	r.flags &^= flagInWheel
	return index, true
}
