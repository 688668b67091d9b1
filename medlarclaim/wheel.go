package medlarclaim

// wheel lists the slots by the second at which they may expire. A record whose due second has moved on is listed again
// when its old second comes, so an event of a key costs nothing here.
type wheel struct {
	seconds []slot
	// next is the first second that was not drained.
	next uint32
	// draining lists the slots of the second before next that were not looked at yet.
	draining slot
}

// wheelSlack covers the rounding of the due second at both ends.
const wheelSlack = 3

func newWheel(retentionSeconds int) wheel {
	return wheel{seconds: make([]slot, retentionSeconds+wheelSlack)}
}

// add lists a slot that is not listed.
func (w *wheel) add(t *recordTable, s slot) {
	r := t.at(s)
	r.flags |= flagListed
	head := &w.seconds[int(r.due)%len(w.seconds)]
	r.link = *head
	*head = s
}

// pop returns the next slot that was listed for a second up to now, and takes it off the list.
func (w *wheel) pop(t *recordTable, now uint32) (slot, bool) {
	if now >= w.next && now-w.next > uint32(len(w.seconds)) {
		w.next = now - uint32(len(w.seconds)) // one turn visits every second
	}
	for w.draining == 0 {
		if w.next > now {
			return 0, false
		}
		head := &w.seconds[int(w.next)%len(w.seconds)]
		w.draining, *head = *head, 0
		w.next++
	}
	s := w.draining
	r := t.at(s)
	w.draining = r.link
	r.flags &^= flagListed
	return s, true
}
