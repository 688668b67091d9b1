package medlarclaim

import (
	"time"

	"medlarwheel"
)

// Voter votes on the request keys of one claim group.
type Voter struct {
	config VoterConfig
	// start is the zero of the voter's clock, lastReading the latest reading of that clock.
	start       time.Time
	lastReading time.Duration
	// epoch is the adopted roster epoch. minEpoch is the highest epoch that the voter has received; requests with lower
	// epochs are refused.
	epoch, minEpoch medlarwheel.Epoch
	recovering      bool
	quarantine      quarantine
	incarnations    IncarnationVector
	table           recordTable
	wheel           timingWheel
	fences          fenceTable
	holders         holderTable
}

// quarantine records that a majority of the group lost its votes: votes cast up to from may be missing. It ends at
// until, on the clock of the voter.
type quarantine struct {
	from  time.Time
	until time.Duration
}

// maxExpiriesPerRequest bounds the expired votes that the handling of one request removes. A request adds at most one
// vote, so removal keeps up.
const maxExpiriesPerRequest = 8

// NewVoter returns a voter without votes. Unless it is configured with Bootstrap, it handles only completions, and refuses
// other requests with VerdictRecovering, until a Recovery has finished.
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
func (v *Voter) Len() int { return v.table.count }

// Epoch returns the adopted roster epoch.
func (v *Voter) Epoch() medlarwheel.Epoch { return v.epoch }

// MayVote reports whether the voter grants and fences keys. A voter that is recovering the votes of its group does not.
func (v *Voter) MayVote() bool { return !v.recovering }

// AdvanceEpoch raises the roster epoch. The caller adopts an epoch only with a roster that still contains the voter,
// and starts a recovery with StartRecovery if the roster added the voter after its last recovery.
func (v *Voter) AdvanceEpoch(epoch medlarwheel.Epoch) {
	v.epoch = max(v.epoch, epoch)
	v.minEpoch = max(v.minEpoch, epoch)
}

// Retire ends voting from the epoch on, because its roster does not contain the voter.
func (v *Voter) Retire(epoch medlarwheel.Epoch) { v.minEpoch = max(v.minEpoch, epoch) }

// Quarantine makes the voter refuse, for the retention time, keys whose votes up to the time from may have been lost.
// Keys created after from are not refused. A call whose from is no later than that of an earlier call has no effect.
func (v *Voter) Quarantine(now, from time.Time) {
	if from.After(v.quarantine.from) {
		v.quarantine = quarantine{from: from, until: v.elapsed(now) + v.config.Retention}
	}
}

// Expire removes all expired votes.
func (v *Voter) Expire(now time.Time) {
	for v.expireOne(v.elapsed(now)) {
	}
}

// Handle decides on one request of a ballot that was started in the epoch.
func (v *Voter) Handle(now time.Time, epoch medlarwheel.Epoch, request VoteRequest) VoteResponse {
	at := v.elapsed(now)
	for range maxExpiriesPerRequest {
		if !v.expireOne(at) {
			break
		}
	}
	response := v.decide(at, now, epoch, &request)
	response.KnownIncarnations = v.incarnations
	return response
}

func (v *Voter) decide(at time.Duration, now time.Time, epoch medlarwheel.Epoch, request *VoteRequest) VoteResponse {
	switch {
	case request.Kind == KindComplete:
		// A granted attempt has run, whatever the epoch and the state of this voter.
		return v.handleCompletion(at, request)
	case epoch < v.minEpoch:
		return VoteResponse{Verdict: VerdictStaleEpoch}
	case v.recovering || epoch > v.epoch:
		return VoteResponse{Verdict: VerdictRecovering}
	}
	if r := v.table.find(request.Key); r != nil {
		return v.handleExistingVote(at, r, request)
	}
	if request.Kind == KindRelease || request.Kind == KindSeal {
		return v.fenceKey(at, request, v.unlessQuarantined(at, now, request, VerdictSealed))
	}
	if verdict := v.unlessQuarantined(at, now, request, VerdictGranted); verdict != VerdictGranted {
		return VoteResponse{Verdict: verdict}
	}
	return v.handleClaim(at, request)
}

// handleExistingVote handles a request for a key with a vote.
func (v *Voter) handleExistingVote(at time.Duration, r *record, request *VoteRequest) VoteResponse {
	v.extendExpiry(at, r)
	own := r.attemptHash() == HashAttempt(request.Attempt) && r.flags&flagCopied == 0
	switch {
	case own && request.Kind == KindClaim:
		return VoteResponse{Verdict: VerdictGranted}
	case own && r.flags&flagCompleted == 0:
		v.removeVote(r)
		return v.fenceKey(at, request, VerdictSealed)
	default:
		return VoteResponse{
			Verdict:       VerdictHeld,
			Holder:        v.holders.ids[r.holder],
			HolderAttempt: r.attemptHash(),
			Completed:     r.flags&flagCompleted != 0,
		}
	}
}

// handleClaim handles a claim for a key without a vote. Each denial fences the key again, so that a majority of denials
// is equivalent to a majority of seals.
func (v *Voter) handleClaim(at time.Duration, request *VoteRequest) VoteResponse {
	waited := max(0, request.Waited)
	if waited >= v.config.MaxQueueWait {
		return v.fenceKey(at, request, VerdictSealed)
	}
	if at-waited-v.config.fenceDuration() <= v.fences.latest(request.Key) {
		return v.fenceKey(at, request, VerdictSealed)
	}
	if r := v.insertVote(at, 0, request.Key, request.Holder); r != nil {
		r.setAttempt(HashAttempt(request.Attempt))
		return VoteResponse{Verdict: VerdictGranted}
	}
	return v.fenceKey(at, request, VerdictMemoryFull)
}

// handleCompletion records that a granted attempt has run. It replaces a vote for another attempt, which cannot have a
// majority.
func (v *Voter) handleCompletion(at time.Duration, request *VoteRequest) VoteResponse {
	attempt := HashAttempt(request.Attempt)
	r := v.table.find(request.Key)
	if r != nil && r.attemptHash() != attempt {
		v.removeVote(r)
		r = nil
	}
	if r == nil {
		if r = v.insertVote(at, 0, request.Key, request.Holder); r == nil {
			return VoteResponse{Verdict: VerdictMemoryFull}
		}
		r.setAttempt(attempt)
		r.flags |= flagCopied
	}
	r.flags |= flagCompleted
	v.extendExpiry(at, r)
	return VoteResponse{Verdict: VerdictGranted}
}

// fenceKey fences the key and responds with the verdict.
func (v *Voter) fenceKey(at time.Duration, request *VoteRequest, verdict Verdict) VoteResponse {
	v.fences.add(request.Key, at)
	return VoteResponse{Verdict: verdict}
}

// unlessQuarantined returns the verdict, or VerdictQuarantined if votes for the key may have been lost.
func (v *Voter) unlessQuarantined(at time.Duration, now time.Time, request *VoteRequest, verdict Verdict) Verdict {
	if at >= v.quarantine.until {
		return verdict
	}
	createdAfterLoss := !request.KeyCreatedAt.IsZero() && request.KeyCreatedAt.After(v.quarantine.from.Add(MaxClockSkew)) &&
		!request.KeyCreatedAt.After(now.Add(MaxClockSkew))
	if createdAfterLoss {
		return verdict
	}
	return VerdictQuarantined
}

// insertVote adds a vote for a key that has none. The last event of the key was age ago. It returns nil if there is no
// memory for the vote.
func (v *Voter) insertVote(at, age time.Duration, key KeyHash, holder medlarwheel.InstanceID) *record {
	for v.table.full() {
		if !v.expireOne(at) {
			return nil
		}
	}
	index, ok := v.holders.acquire(holder)
	if !ok {
		return nil
	}
	position, r := v.table.insert(key)
	r.holder = index
	v.extendExpiry(at-age, r)
	if r.flags&flagInWheel == 0 {
		v.wheel.add(&v.table, position)
	}
	return r
}

func (v *Voter) removeVote(r *record) {
	v.holders.release(r.holder)
	v.table.remove(r)
}

// extendExpiry moves the expiry of the record to one retention time after at, rounded up to a second. It never moves
// the expiry back.
func (v *Voter) extendExpiry(at time.Duration, r *record) {
	expiry := max(0, at+v.config.Retention+time.Second-1)
	r.expiry = max(r.expiry, uint32(expiry/time.Second))
}

// expireOne takes one record that may have expired from the timing wheel, and removes it or lists it again. It returns
// false if there is none.
func (v *Voter) expireOne(at time.Duration) bool {
	second := uint32(at / time.Second)
	position, found := v.wheel.pop(&v.table, second)
	if !found {
		return false
	}
	r := v.table.at(position)
	switch {
	case r.flags&flagFree != 0:
	case r.expiry > second:
		v.wheel.add(&v.table, position)
	default:
		v.removeVote(r)
	}
	return true
}

// elapsed converts a time to the clock of the voter, which never goes back.
func (v *Voter) elapsed(now time.Time) time.Duration {
	v.lastReading = max(v.lastReading, now.Sub(v.start))
	return v.lastReading
}
