package medlarnode

import (
	"maps"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/state/medlarinstance"
)

// promisers are the instances that may have claimed the cell since a renewal by its owner. An owner whose authority has lapsed asks all of
// them before it goes on without the table: one that is no longer in the registry may have owned the cell meanwhile.
type promisers struct {
	term      uint64
	renewedAt time.Time
	// readAt is when the last copy of the registry was read.
	readAt time.Time
	// isComplete is true if none can be missing.
	isComplete bool
	byID       map[medlarwheel.InstanceID]medlarinstance.Instance
}

// update takes in the instances of a copy of the registry that was read at readAt. A renewal that was sent at renewedAt is stored.
func (p *promisers) update(term uint64, renewedAt, readAt time.Time, copied []medlarinstance.Instance, ownerTimeout time.Duration) {
	if term != p.term {
		*p = promisers{term: term, byID: map[medlarwheel.InstanceID]medlarinstance.Instance{}}
	}
	if readAt.Sub(p.readAt) > maxTrustedRegistryAge {
		// An instance may have registered, claimed the cell and left between two copies.
		p.isComplete = false
	}
	p.readAt = readAt
	// Nobody has claimed the cell before the renewal was stored, nor within the owner's time after it.
	if renewedAt.After(p.renewedAt) && readAt.Before(renewedAt.Add(ownerTimeout)) {
		p.renewedAt, p.isComplete = renewedAt, true
		clear(p.byID)
	}
	for _, i := range copied {
		p.byID[i.ID] = i
	}
}

// all returns the instances.
func (p *promisers) all() []medlarinstance.Instance { return slices.Collect(maps.Values(p.byID)) }

// havePromised reports whether none is missing among those that have promised not to claim the cell.
func (p *promisers) havePromised(replies []promiseReply, self medlarwheel.InstanceID) bool {
	promised := 0
	for _, reply := range replies {
		if _, isOne := p.byID[reply.peer.ID]; isOne && reply.promised {
			promised++
		}
	}
	others := len(p.byID)
	if _, isOne := p.byID[self]; isOne {
		others--
	}
	return p.isComplete && promised == others
}

// among returns the replies of the given instances.
func among(instances []medlarinstance.Instance, replies []promiseReply) []promiseReply {
	return slices.DeleteFunc(slices.Clone(replies), func(r promiseReply) bool {
		return !slices.ContainsFunc(instances, func(i medlarinstance.Instance) bool { return i.ID == r.peer.ID })
	})
}
