package medlarclaim

import (
	"time"

	"medlarwheel"
)

// RecoverySource is a voter from which a recovering voter copies votes, with the incarnation that the roster names.
type RecoverySource struct {
	Instance    medlarwheel.InstanceID
	Incarnation medlarwheel.Incarnation
}

// Fetch is a request for the next page of votes of one source.
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

// Recovery copies the votes of the sources into a voter and then lets it vote. It finishes when every source has
// returned all its votes or is known to have lost them. In the second case the voter is quarantined.
//
// Two voters that restart together cannot wait for each other: each sees that the other is recovering under a higher
// incarnation than the roster's, which proves that the other's votes are lost.
type Recovery struct {
	voter      *Voter
	epoch      medlarwheel.Epoch
	sources    []sourceProgress
	incomplete bool
	done       bool
}

// StartRecovery stops voting and returns the recovery of the voter. sufficient reports whether the sources together
// know every claim that the voter must know. If they do not, the voter still copies the remaining votes but is quarantined
// afterwards.
//
// Votes that the voter has from an earlier membership of the group are kept, but only deny claims: the group may have
// fenced their keys in the meantime.
func (v *Voter) StartRecovery(sources []RecoverySource, sufficient bool) *Recovery {
	v.recovering = true
	for _, chunk := range v.table.chunks {
		for i := range chunk {
			chunk[i].flags |= flagCopied
		}
	}
	r := &Recovery{voter: v, epoch: v.epoch, incomplete: !sufficient}
	for _, source := range sources {
		r.sources = append(r.sources, sourceProgress{RecoverySource: source})
	}
	return r
}

// PendingFetches returns the requests to send, one for each source that is not done. A request may be sent repeatedly.
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

// HandlePage adds a page of votes of a source. A page other than the one requested next is ignored. HandlePage returns
// false if the voter has no memory for the votes; PendingFetches then requests the page again.
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

// RemoveSource records that a source has left the group, so that its votes can no longer be copied.
func (r *Recovery) RemoveSource(instance medlarwheel.InstanceID) {
	if source := r.pendingSource(instance); source != nil {
		r.markLost(source)
	}
}

// markLost ends the wait for a source whose votes are lost.
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

// TryFinish reports whether the recovery is finished. The first call after all sources are done lets the voter vote. It
// also fences all keys, because fences are not copied, and quarantines the voter if votes are lost.
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
