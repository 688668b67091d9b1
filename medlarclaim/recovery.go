package medlarclaim

import (
	"time"

	"medlarwheel"
)

// Source is a seat that a recovering seat copies votes from, with the incarnation that the roster names.
type Source struct {
	Instance    medlarwheel.InstanceID
	Incarnation medlarwheel.Incarnation
}

// Fetch is a request for the next page of one source.
type Fetch struct {
	To      medlarwheel.InstanceID
	Request FetchRequest
}

type sourceState struct {
	Source
	// reading is the incarnation to which offset belongs.
	reading medlarwheel.Incarnation
	offset  uint64
	done    bool
}

// Recovery copies the votes of the sources into a seat and then lets the seat vote. It is done when every source has
// handed over its votes or is known to have lost them. In the second case the seat is quarantined.
//
// Two seats that restart together cannot wait for each other: each sees that the other is recovering under a higher
// incarnation than the roster's, which proves that its votes are lost.
type Recovery struct {
	seat    *Seat
	epoch   medlarwheel.Epoch
	sources []sourceState
	lost    bool
	done    bool
}

// Recover stops the seat from voting and returns its recovery. sufficient tells whether the sources together know every
// claim that the seat must know; without it the seat is quarantined, but still learns the votes that are left.
//
// Votes that the seat has from an earlier membership of the group only deny from then on: the group may have fenced
// their keys in the meantime.
func (s *Seat) Recover(sources []Source, sufficient bool) *Recovery {
	s.recovering = true
	for _, page := range s.table.pages {
		for i := range page {
			page[i].flags |= flagCopied
		}
	}
	r := &Recovery{seat: s, epoch: s.epoch, lost: !sufficient}
	for _, source := range sources {
		r.sources = append(r.sources, sourceState{Source: source})
	}
	return r
}

// Pending returns the requests to send, one for each source that is not done. Repeating one is harmless.
func (r *Recovery) Pending() []Fetch {
	var fetches []Fetch
	for i := range r.sources {
		source := &r.sources[i]
		if source.done {
			continue
		}
		fetches = append(fetches, Fetch{To: source.Instance, Request: FetchRequest{
			From:        r.seat.config.Self,
			Incarnation: r.seat.config.Incarnation,
			Epoch:       r.epoch,
			Offset:      source.offset,
		}})
	}
	return fetches
}

// Merge adds a page of a source. Pages that were not asked for next are ignored. It returns false if the seat has no
// memory for the records; the page is then asked for again.
func (r *Recovery) Merge(now time.Time, from medlarwheel.InstanceID, page Page) bool {
	source := r.pending(from)
	if source == nil || page.Epoch < r.epoch || page.Incarnation < r.seat.known.Of(from) {
		return true
	}
	r.seat.known = r.seat.known.Raised(from, page.Incarnation)
	if page.Incarnation != source.reading {
		source.reading, source.offset = page.Incarnation, 0
	}
	if page.State == PageRecovering {
		if page.Incarnation > source.Incarnation {
			r.lose(source)
		}
		return true
	}
	if page.Offset != source.offset {
		return true
	}
	at := r.seat.clock(now)
	for i := range page.Records {
		if !r.seat.copyVote(at, &page.Records[i]) {
			return false
		}
	}
	source.offset = page.Next
	if !page.More {
		source.done = true
		r.lost = r.lost || page.State == PageIncomplete
	}
	return true
}

// Lose tells that a source has left the group, so that its votes cannot be copied any more.
func (r *Recovery) Lose(instance medlarwheel.InstanceID) {
	if source := r.pending(instance); source != nil {
		r.lose(source)
	}
}

func (r *Recovery) lose(source *sourceState) {
	source.done = true
	r.lost = true
}

func (r *Recovery) pending(instance medlarwheel.InstanceID) *sourceState {
	for i := range r.sources {
		if source := &r.sources[i]; source.Instance == instance && !source.done {
			return source
		}
	}
	return nil
}

// Done reports whether the recovery is finished, and lets the seat vote when it finishes. The seat fences all keys
// then, because seals are not copied.
func (r *Recovery) Done(now time.Time) bool {
	if r.done {
		return true
	}
	for i := range r.sources {
		if !r.sources[i].done {
			return false
		}
	}
	r.done = true
	at := r.seat.clock(now)
	r.seat.fences.floor = at
	r.seat.recovering = false
	if r.lost {
		r.seat.Quarantine(now, now)
	}
	return true
}
