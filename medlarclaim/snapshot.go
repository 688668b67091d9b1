package medlarclaim

import (
	"time"

	"medlarwheel"
)

// VoteRecord is one vote as handed to a recovering seat.
type VoteRecord struct {
	Key       KeyHash
	Attempt   AttemptHash
	Holder    medlarwheel.InstanceID
	Completed bool
	// Age is the time since the last event of the key.
	Age time.Duration
}

// VotePageState tells how much the answering seat knows.
type VotePageState string

// The states of a page.
const (
	// VotePageComplete means that the seat has all its votes since it joined the group, and the earlier claims of the group.
	VotePageComplete VotePageState = "complete"
	// VotePageRecovering means that the seat has not finished its own recovery.
	VotePageRecovering VotePageState = "recovering"
	// VotePageIncomplete means that votes which the seat should know were lost. Its records are still valid.
	VotePageIncomplete VotePageState = "incomplete"
)

// FetchRequest asks a seat for a page of its votes.
type FetchRequest struct {
	// From and Incarnation identify the recovering seat. The answering seat reports them in all later answers, so that
	// ballots drop votes of earlier incarnations.
	From        medlarwheel.InstanceID
	Incarnation medlarwheel.Incarnation
	// Epoch is the roster epoch of the recovering seat.
	Epoch medlarwheel.Epoch
	// Offset is the position after the last page, zero for the first.
	Offset uint64
}

// VotePage is one page of a seat's votes.
type VotePage struct {
	State       VotePageState
	Incarnation medlarwheel.Incarnation
	// Epoch is the highest epoch that the answering seat knows. It refuses claims of lower epochs from then on.
	Epoch medlarwheel.Epoch
	// Offset is the position of this page, Next the one to ask for next.
	Offset, NextOffset uint64
	// More tells that records after Next may exist.
	More    bool
	Records []VoteRecord
}

// ReadVotes returns up to limit votes for a recovering seat. Votes cast between two pages may be missing; ballots drop the
// earlier votes of the recovering seat when they count such a vote.
func (s *Voter) ReadVotes(now time.Time, request FetchRequest, limit int) VotePage {
	at := s.elapsed(now)
	s.incarnations = s.incarnations.WithAtLeast(request.From, request.Incarnation)
	s.minEpoch = max(s.minEpoch, request.Epoch)
	page := VotePage{
		State:       s.pageState(at),
		Incarnation: s.config.Incarnation,
		Epoch:       s.minEpoch,
		Offset:      request.Offset,
		NextOffset:  request.Offset,
	}
	if page.State == VotePageRecovering {
		return page
	}
	end := uint64(len(s.table.chunks)) * chunkSize
	for page.NextOffset < end && len(page.Records) < limit {
		page.NextOffset++
		r := s.table.at(recordIndex(page.NextOffset))
		if r.flags&flagFree == 0 {
			page.Records = append(page.Records, s.exportVote(at, r))
		}
	}
	page.More = page.NextOffset < end
	return page
}

func (s *Voter) pageState(at time.Duration) VotePageState {
	switch {
	case s.recovering:
		return VotePageRecovering
	case at < s.quarantine.until:
		return VotePageIncomplete
	default:
		return VotePageComplete
	}
}

func (s *Voter) exportVote(at time.Duration, r *record) VoteRecord {
	lastEvent := time.Duration(r.expiry)*time.Second - s.config.Retention
	return VoteRecord{
		Key:       r.key,
		Attempt:   r.attemptHash(),
		Holder:    s.holders.ids[r.holder],
		Completed: r.flags&flagCompleted != 0,
		Age:       max(0, at-lastEvent),
	}
}

// copyVote adds another seat's vote. A vote that the seat knows already stays, unless the copied one has completed.
// It returns false if there is no memory for the vote.
func (s *Voter) copyVote(at time.Duration, vote *VoteRecord) bool {
	r := s.table.find(vote.Key)
	switch {
	case r != nil && vote.Completed && r.attemptHash() != vote.Attempt:
		s.removeVote(r)
		r = nil
	case r != nil && r.attemptHash() != vote.Attempt:
		return true
	}
	if r == nil {
		if r = s.insertVote(at, vote.Age, vote.Key, vote.Holder); r == nil {
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
