package medlarclaim

import (
	"time"

	"medlarwheel"
)

// RecoverySource is a seat that a recovering seat copies votes from, with the incarnation that the roster names.
type RecoverySource struct {
	Instance    medlarwheel.InstanceID
	Incarnation medlarwheel.Incarnation
}

// Fetch is a request for the next page of one source.
type Fetch struct {
	To      medlarwheel.InstanceID
	Request FetchRequest
}

type sourceProgress struct {
	RecoverySource
	// readIncarnation is the incarnation to which offset belongs.
	readIncarnation medlarwheel.Incarnation
	offset          uint64
	done            bool
}

// Recovery copies the votes of the sources into a seat and then lets the seat vote. It is done when every source has
// handed over its votes or is known to have lost them. In the second case the seat is quarantined.
//
// Two seats that restart together cannot wait for each other: each sees that the other is recovering under a higher
// incarnation than the roster's, which proves that its votes are lost.
type Recovery struct {
	voter      *Voter
	epoch      medlarwheel.Epoch
	sources    []sourceProgress
	incomplete bool
	done       bool
}

// StartRecovery stops the seat from voting and returns its recovery. sufficient tells whether the sources together know every
// claim that the seat must know; without it the seat is quarantined, but still learns the votes that are left.
//
// Votes that the seat has from an earlier membership of the group only deny from then on: the group may have fenced
// their keys in the meantime.
func (s *Voter) StartRecovery(sources []RecoverySource, sufficient bool) *Recovery {
	s.recovering = true
	for _, page := range s.table.chunks {
		for i := range page {
			page[i].flags |= flagCopied
		}
	}
	r := &Recovery{voter: s, epoch: s.epoch, incomplete: !sufficient}
	for _, source := range sources {
		r.sources = append(r.sources, sourceProgress{RecoverySource: source})
	}
	return r
}

// PendingFetches returns the requests to send, one for each source that is not done. Repeating one is harmless.
func (r *Recovery) PendingFetches() []Fetch {
	var fetches []Fetch
	for i := range r.sources {
		source := &r.sources[i]
		if source.done {
			continue
		}
		fetches = append(fetches, Fetch{To: source.Instance, Request: FetchRequest{
			From:        r.voter.config.Self,
			Incarnation: r.voter.config.Incarnation,
			Epoch:       r.epoch,
			Offset:      source.offset,
		}})
	}
	return fetches
}

// HandlePage adds a page of a source. Pages that were not asked for next are ignored. It returns false if the seat has no
// memory for the records; the page is then asked for again.
func (r *Recovery) HandlePage(now time.Time, from medlarwheel.InstanceID, page VotePage) bool {
	source := r.pendingSource(from)
	if source == nil || page.Epoch < r.epoch || page.Incarnation < r.voter.incarnations.Get(from) {
		return true
	}
	r.voter.incarnations = r.voter.incarnations.WithAtLeast(from, page.Incarnation)
	if page.Incarnation != source.readIncarnation {
		source.readIncarnation, source.offset = page.Incarnation, 0
	}
	if page.State == VotePageRecovering {
		if page.Incarnation > source.Incarnation {
			r.markLost(source)
		}
		return true
	}
	if page.Offset != source.offset {
		return true
	}
	at := r.voter.elapsed(now)
	for i := range page.Records {
		if !r.voter.copyVote(at, &page.Records[i]) {
			return false
		}
	}
	source.offset = page.NextOffset
	if !page.More {
		source.done = true
		r.incomplete = r.incomplete || page.State == VotePageIncomplete
	}
	return true
}

// RemoveSource tells that a source has left the group, so that its votes cannot be copied any more.
func (r *Recovery) RemoveSource(instance medlarwheel.InstanceID) {
	if source := r.pendingSource(instance); source != nil {
		r.markLost(source)
	}
}

func (r *Recovery) markLost(source *sourceProgress) {
	source.done = true
	r.incomplete = true
}

func (r *Recovery) pendingSource(instance medlarwheel.InstanceID) *sourceProgress {
	for i := range r.sources {
		if source := &r.sources[i]; source.Instance == instance && !source.done {
			return source
		}
	}
	return nil
}

// TryFinish reports whether the recovery is finished, and lets the seat vote when it finishes. The seat fences all keys
// then, because seals are not copied.
func (r *Recovery) TryFinish(now time.Time) bool {
	if r.done {
		return true
	}
	for i := range r.sources {
		if !r.sources[i].done {
			return false
		}
	}
	r.done = true
	at := r.voter.elapsed(now)
	r.voter.fences.globalFence = at
	r.voter.recovering = false
	if r.incomplete {
		r.voter.Quarantine(now, now)
	}
	return true
}
