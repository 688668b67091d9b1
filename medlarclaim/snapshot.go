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

// PageState tells how much the answering seat knows.
type PageState string

// The states of a page.
const (
	// PageComplete means that the seat has all its votes since it joined the group, and the earlier claims of the group.
	PageComplete PageState = "complete"
	// PageRecovering means that the seat has not finished its own recovery.
	PageRecovering PageState = "recovering"
	// PageIncomplete means that votes which the seat should know were lost. Its records are still valid.
	PageIncomplete PageState = "incomplete"
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

// Page is one page of a seat's votes.
type Page struct {
	State       PageState
	Incarnation medlarwheel.Incarnation
	// Epoch is the highest epoch that the answering seat knows. It refuses claims of lower epochs from then on.
	Epoch medlarwheel.Epoch
	// Offset is the position of this page, Next the one to ask for next.
	Offset, Next uint64
	// More tells that records after Next may exist.
	More    bool
	Records []VoteRecord
}

// Snapshot returns up to limit votes for a recovering seat. Votes cast between two pages may be missing; ballots drop the
// earlier votes of the recovering seat when they count such a vote.
func (s *Seat) Snapshot(now time.Time, request FetchRequest, limit int) Page {
	at := s.clock(now)
	s.known = s.known.Raised(request.From, request.Incarnation)
	s.floor = max(s.floor, request.Epoch)
	page := Page{
		State:       s.pageState(at),
		Incarnation: s.config.Incarnation,
		Epoch:       s.floor,
		Offset:      request.Offset,
		Next:        request.Offset,
	}
	if page.State == PageRecovering {
		return page
	}
	end := uint64(len(s.table.pages)) * pageSize
	for page.Next < end && len(page.Records) < limit {
		page.Next++
		r := s.table.at(slot(page.Next))
		if r.flags&flagUnused == 0 {
			page.Records = append(page.Records, s.export(at, r))
		}
	}
	page.More = page.Next < end
	return page
}

func (s *Seat) pageState(at time.Duration) PageState {
	switch {
	case s.recovering:
		return PageRecovering
	case at < s.quarantine.until:
		return PageIncomplete
	default:
		return PageComplete
	}
}

func (s *Seat) export(at time.Duration, r *record) VoteRecord {
	lastEvent := time.Duration(r.due)*time.Second - s.config.Retention
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
func (s *Seat) copyVote(at time.Duration, vote *VoteRecord) bool {
	r := s.table.find(vote.Key)
	switch {
	case r != nil && vote.Completed && r.attemptHash() != vote.Attempt:
		s.drop(r)
		r = nil
	case r != nil && r.attemptHash() != vote.Attempt:
		return true
	}
	if r == nil {
		if r = s.insert(at, vote.Age, vote.Key, vote.Holder); r == nil {
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
