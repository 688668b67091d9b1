package medlarclaim

import (
	"time"

	"medlarwheel"
)

// VoteRecord is a vote in the form in which it is copied to a recovering voter.
type VoteRecord struct {
	Key       KeyHash
	Attempt   AttemptHash
	Holder    medlarwheel.InstanceID
	Completed bool
	// Age is the time since the last event of the key.
	Age time.Duration
}

// VotePageState is the completeness of the votes of the responding voter.
type VotePageState string

// The states of a page.
const (
	// VotePageComplete means that the voter has all its votes since it joined the group, and the earlier claims of the
	// group.
	VotePageComplete VotePageState = "complete"
	// VotePageRecovering means that the voter has not finished its own recovery. The page has no votes.
	VotePageRecovering VotePageState = "recovering"
	// VotePageIncomplete means that votes which the voter should have were lost. The votes in the page are still valid.
	VotePageIncomplete VotePageState = "incomplete"
)

// FetchRequest asks a voter for a page of its votes.
type FetchRequest struct {
	// From and Incarnation identify the recovering voter. The responding voter includes them in all later vote
	// responses, so that ballots drop votes of earlier incarnations.
	From        medlarwheel.InstanceID
	Incarnation medlarwheel.Incarnation
	// Epoch is the roster epoch of the recovering voter.
	Epoch medlarwheel.Epoch
	// Offset is the NextOffset of the last page, zero for the first.
	Offset uint64
}

// VotePage is one page of the votes of a voter.
type VotePage struct {
	State       VotePageState
	Incarnation medlarwheel.Incarnation
	// Epoch is the highest epoch that the responding voter knows. It refuses claims with lower epochs from then on.
	Epoch medlarwheel.Epoch
	// Offset is the position of this page, NextOffset that of the page to request next.
	Offset, NextOffset uint64
	// More reports whether there may be further votes from NextOffset on.
	More    bool
	Records []VoteRecord
}

// ReadVotes returns up to limit votes for a recovering voter. Votes cast between two pages may be missing. This is
// safe, because ballots that count such a vote drop the votes of earlier incarnations of the recovering voter.
func (v *Voter) ReadVotes(now time.Time, request FetchRequest, limit int) VotePage {
	at := v.elapsed(now)
	v.incarnations = v.incarnations.WithAtLeast(request.From, request.Incarnation)
	v.minEpoch = max(v.minEpoch, request.Epoch)
	page := VotePage{
		State:       v.pageState(at),
		Incarnation: v.config.Incarnation,
		Epoch:       v.minEpoch,
		Offset:      request.Offset,
		NextOffset:  request.Offset,
	}
	if page.State == VotePageRecovering {
		return page
	}
	end := uint64(len(v.table.chunks)) * chunkSize
	for page.NextOffset < end && len(page.Records) < limit {
		page.NextOffset++
		r := v.table.at(recordIndex(page.NextOffset))
		if r.flags&flagFree == 0 {
			page.Records = append(page.Records, v.exportVote(at, r))
		}
	}
	page.More = page.NextOffset < end
	return page
}

func (v *Voter) pageState(at time.Duration) VotePageState {
	switch {
	case v.recovering:
		return VotePageRecovering
	case at < v.quarantine.until:
		return VotePageIncomplete
	default:
		return VotePageComplete
	}
}

func (v *Voter) exportVote(at time.Duration, r *record) VoteRecord {
	lastEvent := time.Duration(r.expiry)*time.Second - v.config.Retention
	return VoteRecord{
		Key:       r.key,
		Attempt:   r.attemptHash(),
		Holder:    v.holders.ids[r.holder],
		Completed: r.flags&flagCompleted != 0,
		Age:       max(0, at-lastEvent),
	}
}

// copyVote adds a vote of another voter. An existing vote for another attempt stays, unless the copied vote is
// completed. copyVote returns false if there is no memory for the vote.
func (v *Voter) copyVote(at time.Duration, vote *VoteRecord) bool {
	r := v.table.find(vote.Key)
	switch {
	case r != nil && vote.Completed && r.attemptHash() != vote.Attempt:
		v.removeVote(r)
		r = nil
	case r != nil && r.attemptHash() != vote.Attempt:
		return true
	}
	if r == nil {
		if r = v.insertVote(at, vote.Age, vote.Key, vote.Holder); r == nil {
			return false
		}
		r.setAttempt(vote.Attempt)
		r.flags |= flagCopied
	}
	if vote.Completed {
		r.flags |= flagCompleted
	}
	return true
}
