package medlarclaim

import (
	"time"

	"medlarwheel"
)

// Seat votes on the request keys of one claim group.
type Seat struct {
	config SeatConfig
	// start is the zero of the seat's clock, last its latest reading.
	start time.Time
	last  time.Duration
	// epoch is the adopted roster epoch. floor is the highest epoch heard of; questions of lower epochs are refused.
	epoch, floor medlarwheel.Epoch
	recovering   bool
	quarantine   quarantine
	known        IncarnationVector
	table        recordTable
	wheel        wheel
	fences       fences
	holders      holders
}

// quarantine marks the loss of votes with a majority of the group.
type quarantine struct {
	from  time.Time
	until time.Duration
}

// expireStep bounds the expired records that one answer removes. An answer adds at most one record.
const expireStep = 8

// NewSeat returns a seat without votes. Unless it is founding it answers "recovering" until a Recovery is done.
func NewSeat(config SeatConfig, now time.Time) *Seat {
	return &Seat{
		config:     config,
		start:      now,
		epoch:      config.Epoch,
		floor:      config.Epoch,
		recovering: !config.Founding,
		quarantine: quarantine{until: never},
		known:      IncarnationVector(nil).Raised(config.Self, config.Incarnation),
		table:      newRecordTable(config.MaxRecords),
		wheel:      newWheel(int(config.Retention / time.Second)),
		fences:     newFences(config.FenceSets),
		holders:    newHolders(),
	}
}

// Len returns the number of votes kept.
func (s *Seat) Len() int { return s.table.live }

// Epoch returns the adopted roster epoch.
func (s *Seat) Epoch() medlarwheel.Epoch { return s.epoch }

// MayVote reports whether the seat answers questions. A seat that recovers the votes of its group does not.
func (s *Seat) MayVote() bool { return !s.recovering }

// Adopt raises the roster epoch. The caller adopts an epoch only with a roster in which the seat continues, and starts a
// recovery with Recover if its seat in that roster is newer than its last recovery.
func (s *Seat) Adopt(epoch medlarwheel.Epoch) {
	s.epoch = max(s.epoch, epoch)
	s.floor = max(s.floor, epoch)
}

// Retire ends the seat's votes with the roster of the epoch, which does not name the seat.
func (s *Seat) Retire(epoch medlarwheel.Epoch) { s.floor = max(s.floor, epoch) }

// Quarantine makes the seat refuse, for the retention time, keys whose votes may have been lost up to the time from.
// It lets pass keys that were minted later. A time no later than that of an earlier call changes nothing.
func (s *Seat) Quarantine(now, from time.Time) {
	if from.After(s.quarantine.from) {
		s.quarantine = quarantine{from: from, until: s.clock(now) + s.config.Retention}
	}
}

// Expire removes all expired votes.
func (s *Seat) Expire(now time.Time) {
	for s.expireOne(s.clock(now)) {
	}
}

// Answer decides on one question that was asked in the epoch.
func (s *Seat) Answer(now time.Time, epoch medlarwheel.Epoch, q Question) Answer {
	at := s.clock(now)
	for range expireStep {
		if !s.expireOne(at) {
			break
		}
	}
	answer := s.decide(at, now, epoch, &q)
	answer.Known = s.known
	return answer
}

func (s *Seat) decide(at time.Duration, now time.Time, epoch medlarwheel.Epoch, q *Question) Answer {
	switch {
	case q.Kind == KindComplete:
		// A granted attempt ran whatever the epoch and state of this seat are.
		return s.complete(at, q)
	case epoch < s.floor:
		return Answer{Verdict: VerdictStaleEpoch}
	case s.recovering || epoch > s.epoch:
		return Answer{Verdict: VerdictRecovering}
	}
	if r := s.table.find(q.Key); r != nil {
		return s.voted(at, r, q)
	}
	if q.Kind == KindRelease || q.Kind == KindSeal {
		return s.fence(at, q, s.unlessQuarantined(at, now, q, VerdictSealed))
	}
	if verdict := s.unlessQuarantined(at, now, q, VerdictGranted); verdict != VerdictGranted {
		return Answer{Verdict: verdict}
	}
	return s.claim(at, q)
}

// voted answers for a key with a vote.
func (s *Seat) voted(at time.Duration, r *record, q *Question) Answer {
	s.touch(at, r)
	own := r.attemptHash() == HashAttempt(q.Attempt) && r.flags&flagCopied == 0
	switch {
	case own && q.Kind == KindClaim:
		return Answer{Verdict: VerdictGranted}
	case own && r.flags&flagCompleted == 0:
		s.drop(r)
		return s.fence(at, q, VerdictSealed)
	default:
		return Answer{
			Verdict:       VerdictHeld,
			Holder:        s.holders.ids[r.holder],
			HolderAttempt: r.attemptHash(),
			Completed:     r.flags&flagCompleted != 0,
		}
	}
}

// claim decides on a claim for a key without a vote. Each denial fences the key anew, so that a majority of denials is
// as good as a majority of seals.
func (s *Seat) claim(at time.Duration, q *Question) Answer {
	waited := max(0, q.Waited)
	if waited >= s.config.MaxWait {
		return s.fence(at, q, VerdictSealed)
	}
	if at-waited-s.config.fenceSpan() <= s.fences.latest(q.Key) {
		return s.fence(at, q, VerdictSealed)
	}
	if r := s.insert(at, 0, q.Key, q.Holder); r != nil {
		r.setAttempt(HashAttempt(q.Attempt))
		return Answer{Verdict: VerdictGranted}
	}
	return s.fence(at, q, VerdictFull)
}

// complete records the run of a granted attempt. It replaces a vote for another attempt, which cannot have a majority.
func (s *Seat) complete(at time.Duration, q *Question) Answer {
	attempt := HashAttempt(q.Attempt)
	r := s.table.find(q.Key)
	if r != nil && r.attemptHash() != attempt {
		s.drop(r)
		r = nil
	}
	if r == nil {
		if r = s.insert(at, 0, q.Key, q.Holder); r == nil {
			return Answer{Verdict: VerdictFull}
		}
		r.setAttempt(attempt)
		r.flags |= flagCopied
	}
	r.flags |= flagCompleted
	s.touch(at, r)
	return Answer{Verdict: VerdictGranted}
}

func (s *Seat) fence(at time.Duration, q *Question, verdict Verdict) Answer {
	s.fences.raise(q.Key, at)
	return Answer{Verdict: verdict}
}

// unlessQuarantined returns the verdict, or VerdictQuarantined if votes for the key may have been lost.
func (s *Seat) unlessQuarantined(at time.Duration, now time.Time, q *Question, verdict Verdict) Verdict {
	if at >= s.quarantine.until {
		return verdict
	}
	minted := !q.Minted.IsZero() && q.Minted.After(s.quarantine.from.Add(ClockError)) &&
		!q.Minted.After(now.Add(ClockError))
	if minted {
		return verdict
	}
	return VerdictQuarantined
}

// insert adds a vote for a key that has none, with its last event the age ago. It returns nil if there is no memory for
// it.
func (s *Seat) insert(at, age time.Duration, key KeyHash, holder medlarwheel.InstanceID) *record {
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
	s.touch(at-age, r)
	if r.flags&flagListed == 0 {
		s.wheel.add(&s.table, position)
	}
	return r
}

func (s *Seat) drop(r *record) {
	s.holders.release(r.holder)
	s.table.remove(r)
}

// touch moves the expiry of the record to a retention time after now, rounded up.
func (s *Seat) touch(at time.Duration, r *record) {
	due := max(0, at+s.config.Retention+time.Second-1)
	r.due = max(r.due, uint32(due/time.Second))
}

// expireOne looks at one listed record that may have expired. It returns false if there is none.
func (s *Seat) expireOne(at time.Duration) bool {
	second := uint32(at / time.Second)
	position, found := s.wheel.pop(&s.table, second)
	if !found {
		return false
	}
	r := s.table.at(position)
	switch {
	case r.flags&flagUnused != 0:
	case r.due > second:
		s.wheel.add(&s.table, position)
	default:
		s.drop(r)
	}
	return true
}

// clock converts a time to the clock of the seat, which never goes back.
func (s *Seat) clock(now time.Time) time.Duration {
	s.last = max(s.last, now.Sub(s.start))
	return s.last
}
