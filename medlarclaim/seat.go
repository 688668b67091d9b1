package medlarclaim

import (
	"time"

	"medlarwheel"
)

// Voter votes on the request keys of one claim group.
type Voter struct {
	config VoterConfig
	// start is the zero of the seat's clock, last its latest reading.
	start       time.Time
	lastReading time.Duration
	// epoch is the adopted roster epoch. floor is the highest epoch heard of; questions of lower epochs are refused.
	epoch, minEpoch medlarwheel.Epoch
	recovering      bool
	quarantine      quarantine
	incarnations    IncarnationVector
	table           recordTable
	wheel           timingWheel
	fences          fenceTable
	holders         holderTable
}

// quarantine marks the loss of votes with a majority of the group.
type quarantine struct {
	from  time.Time
	until time.Duration
}

// maxExpiriesPerRequest bounds the expired records that one answer removes. An answer adds at most one record.
const maxExpiriesPerRequest = 8

// NewVoter returns a seat without votes. Unless it is founding it answers "recovering" until a Recovery is done.
func NewVoter(config VoterConfig, now time.Time) *Voter {
	return &Voter{
		config:       config,
		start:        now,
		epoch:        config.Epoch,
		minEpoch:     config.Epoch,
		recovering:   !config.Bootstrap,
		quarantine:   quarantine{until: never},
		incarnations: IncarnationVector(nil).WithAtLeast(config.Self, config.Incarnation),
		table:        newRecordTable(config.MaxVotes),
		wheel:        newTimingWheel(int(config.Retention / time.Second)),
		fences:       newFenceTable(config.FenceSets),
		holders:      newHolderTable(),
	}
}

// Len returns the number of votes kept.
func (s *Voter) Len() int { return s.table.count }

// Epoch returns the adopted roster epoch.
func (s *Voter) Epoch() medlarwheel.Epoch { return s.epoch }

// MayVote reports whether the seat answers questions. A seat that recovers the votes of its group does not.
func (s *Voter) MayVote() bool { return !s.recovering }

// AdvanceEpoch raises the roster epoch. The caller adopts an epoch only with a roster in which the seat continues, and starts a
// recovery with Recover if its seat in that roster is newer than its last recovery.
func (s *Voter) AdvanceEpoch(epoch medlarwheel.Epoch) {
	s.epoch = max(s.epoch, epoch)
	s.minEpoch = max(s.minEpoch, epoch)
}

// Retire ends the seat's votes with the roster of the epoch, which does not name the seat.
func (s *Voter) Retire(epoch medlarwheel.Epoch) { s.minEpoch = max(s.minEpoch, epoch) }

// Quarantine makes the seat refuse, for the retention time, keys whose votes may have been lost up to the time from.
// It lets pass keys that were minted later. A time no later than that of an earlier call changes nothing.
func (s *Voter) Quarantine(now, from time.Time) {
	if from.After(s.quarantine.from) {
		s.quarantine = quarantine{from: from, until: s.elapsed(now) + s.config.Retention}
	}
}

// Expire removes all expired votes.
func (s *Voter) Expire(now time.Time) {
	for s.expireOne(s.elapsed(now)) {
	}
}

// Handle decides on one question that was asked in the epoch.
func (s *Voter) Handle(now time.Time, epoch medlarwheel.Epoch, q VoteRequest) VoteResponse {
	at := s.elapsed(now)
	for range maxExpiriesPerRequest {
		if !s.expireOne(at) {
			break
		}
	}
	answer := s.decide(at, now, epoch, &q)
	answer.KnownIncarnations = s.incarnations
	return answer
}

func (s *Voter) decide(at time.Duration, now time.Time, epoch medlarwheel.Epoch, q *VoteRequest) VoteResponse {
	switch {
	case q.Kind == KindComplete:
		// A granted attempt ran whatever the epoch and state of this seat are.
		return s.handleCompletion(at, q)
	case epoch < s.minEpoch:
		return VoteResponse{Verdict: VerdictStaleEpoch}
	case s.recovering || epoch > s.epoch:
		return VoteResponse{Verdict: VerdictRecovering}
	}
	if r := s.table.find(q.Key); r != nil {
		return s.handleExistingVote(at, r, q)
	}
	if q.Kind == KindRelease || q.Kind == KindSeal {
		return s.fenceKey(at, q, s.unlessQuarantined(at, now, q, VerdictSealed))
	}
	if verdict := s.unlessQuarantined(at, now, q, VerdictGranted); verdict != VerdictGranted {
		return VoteResponse{Verdict: verdict}
	}
	return s.handleClaim(at, q)
}

// handleExistingVote answers for a key with a vote.
func (s *Voter) handleExistingVote(at time.Duration, r *record, q *VoteRequest) VoteResponse {
	s.extendExpiry(at, r)
	own := r.attemptHash() == HashAttempt(q.Attempt) && r.flags&flagCopied == 0
	switch {
	case own && q.Kind == KindClaim:
		return VoteResponse{Verdict: VerdictGranted}
	case own && r.flags&flagCompleted == 0:
		s.removeVote(r)
		return s.fenceKey(at, q, VerdictSealed)
	default:
		return VoteResponse{
			Verdict:       VerdictHeld,
			Holder:        s.holders.ids[r.holder],
			HolderAttempt: r.attemptHash(),
			Completed:     r.flags&flagCompleted != 0,
		}
	}
}

// handleClaim decides on a claim for a key without a vote. Each denial fences the key anew, so that a majority of denials is
// as good as a majority of seals.
func (s *Voter) handleClaim(at time.Duration, q *VoteRequest) VoteResponse {
	waited := max(0, q.Waited)
	if waited >= s.config.MaxQueueWait {
		return s.fenceKey(at, q, VerdictSealed)
	}
	if at-waited-s.config.fenceDuration() <= s.fences.latest(q.Key) {
		return s.fenceKey(at, q, VerdictSealed)
	}
	if r := s.insertVote(at, 0, q.Key, q.Holder); r != nil {
		r.setAttempt(HashAttempt(q.Attempt))
		return VoteResponse{Verdict: VerdictGranted}
	}
	return s.fenceKey(at, q, VerdictMemoryFull)
}

// handleCompletion records the run of a granted attempt. It replaces a vote for another attempt, which cannot have a majority.
func (s *Voter) handleCompletion(at time.Duration, q *VoteRequest) VoteResponse {
	attempt := HashAttempt(q.Attempt)
	r := s.table.find(q.Key)
	if r != nil && r.attemptHash() != attempt {
		s.removeVote(r)
		r = nil
	}
	if r == nil {
		if r = s.insertVote(at, 0, q.Key, q.Holder); r == nil {
			return VoteResponse{Verdict: VerdictMemoryFull}
		}
		r.setAttempt(attempt)
		r.flags |= flagCopied
	}
	r.flags |= flagCompleted
	s.extendExpiry(at, r)
	return VoteResponse{Verdict: VerdictGranted}
}

func (s *Voter) fenceKey(at time.Duration, q *VoteRequest, verdict Verdict) VoteResponse {
	s.fences.add(q.Key, at)
	return VoteResponse{Verdict: verdict}
}

// unlessQuarantined returns the verdict, or VerdictQuarantined if votes for the key may have been lost.
func (s *Voter) unlessQuarantined(at time.Duration, now time.Time, q *VoteRequest, verdict Verdict) Verdict {
	if at >= s.quarantine.until {
		return verdict
	}
	minted := !q.KeyCreatedAt.IsZero() && q.KeyCreatedAt.After(s.quarantine.from.Add(MaxClockSkew)) &&
		!q.KeyCreatedAt.After(now.Add(MaxClockSkew))
	if minted {
		return verdict
	}
	return VerdictQuarantined
}

// insertVote adds a vote for a key that has none, with its last event the age ago. It returns nil if there is no memory for
// it.
func (s *Voter) insertVote(at, age time.Duration, key KeyHash, holder medlarwheel.InstanceID) *record {
	for s.table.full() {
		if !s.expireOne(at) {
			return nil
		}
	}
	index, ok := s.holders.acquire(holder)
	if !ok {
		return nil
	}
	position, r := s.table.insert(key)
	r.holder = index
	s.extendExpiry(at-age, r)
	if r.flags&flagInWheel == 0 {
		s.wheel.add(&s.table, position)
	}
	return r
}

func (s *Voter) removeVote(r *record) {
	s.holders.release(r.holder)
	s.table.remove(r)
}

// extendExpiry moves the expiry of the record to a retention time after now, rounded up.
func (s *Voter) extendExpiry(at time.Duration, r *record) {
	due := max(0, at+s.config.Retention+time.Second-1)
	r.expiry = max(r.expiry, uint32(due/time.Second))
}

// expireOne looks at one listed record that may have expired. It returns false if there is none.
func (s *Voter) expireOne(at time.Duration) bool {
	second := uint32(at / time.Second)
	position, found := s.wheel.pop(&s.table, second)
	if !found {
		return false
	}
	r := s.table.at(position)
	switch {
	case r.flags&flagFree != 0:
	case r.expiry > second:
		s.wheel.add(&s.table, position)
	default:
		s.removeVote(r)
	}
	return true
}

// elapsed converts a time to the clock of the seat, which never goes back.
func (s *Voter) elapsed(now time.Time) time.Duration {
	s.lastReading = max(s.lastReading, now.Sub(s.start))
	return s.lastReading
}
