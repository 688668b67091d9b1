package medlarclaim_test

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// injectedFaults are errors planted into the protocol, to show that the checker finds them.
type injectedFaults struct {
	skipRecovery       bool // a restarted seat votes without recovery
	omitWaited         bool // claims do not carry the time waited
	ownIncarnationOnly bool // answers name only the answering seat's own incarnation
	shortFence         bool // fences last one validity after the seal, not two
	ignoreTimeout      bool // ballots never become late
	noQuarantine       bool // votes lost with a majority go unnoticed
	oldEpochVotes      bool // a seat that hands its votes to a later epoch goes on voting in its own
}

// chooser returns a number in [0, n).
type chooser func(n int) int

// profile shapes a history.
type profile struct {
	voters int
	// restarts restarts seats, replaces changes the roster.
	restarts, replacements bool
	// smallSteps moves time in small steps.
	smallSteps bool
	// keyHasTime gives the key a creation time.
	keyHasTime bool
}

func randomProfile(choose chooser) profile {
	return profile{voters: 1 + choose(3), restarts: choose(2) == 0, replacements: choose(3) == 0, smallSteps: choose(2) == 0, keyHasTime: choose(2) == 0}
}

type process struct {
	id                medlarwheel.InstanceID
	incarnation       medlarwheel.Incarnation
	rosterIncarnation medlarwheel.Incarnation
	voter             *medlarclaim.Voter
	recovery          *medlarclaim.Recovery
}

type attempt struct {
	id           medlarwheel.AttemptID
	keyCreatedAt time.Time
	arrived      time.Time
	claimed      bool
	ended        bool
	ballot       *medlarclaim.Ballot
	started      time.Time
	asked        medlarwheel.InstanceID
	epoch        medlarwheel.Epoch
}

// message is a closure that is in flight. Any message may be delivered late, twice or never.
type message func()

// simulation is a claim group of one to three seats, the attempts of one key and the network between them.
type simulation struct {
	profile
	choose    chooser
	faults    injectedFaults
	now       time.Time
	epoch     medlarwheel.Epoch
	processes []*process // the seats of the roster
	removed   []*process
	voterIDs  []medlarwheel.InstanceID
	// keyCreatedAt is the creation time in the key, with the error of the caller's clock. It is zero for a key without one.
	keyCreatedAt time.Time
	attempts     []*attempt
	network      []message
	history      history
}

const (
	epoch = 1
	key   = medlarwheel.RequestKey("key")
)

func newSimulation(choose chooser, p profile, f injectedFaults) *simulation {
	w := &simulation{profile: p, choose: choose, faults: f, epoch: epoch, now: time.Unix(1_800_000_000, 0)}
	for i := range p.voters {
		p := &process{id: medlarwheel.InstanceID(fmt.Sprintf("seat-%d", i)), incarnation: 1, rosterIncarnation: 1}
		p.voter = w.newVoter(p, true)
		w.processes, w.voterIDs = append(w.processes, p), append(w.voterIDs, p.id)
	}
	return w
}

func (w *simulation) newVoter(p *process, founding bool) *medlarclaim.Voter {
	c := medlarclaim.DefaultVoterConfig(p.id, p.incarnation)
	c.Epoch, c.Bootstrap, c.MaxVotes, c.FenceSets = w.epoch, founding, 16, 1
	if w.faults.shortFence {
		c.BallotTimeout /= 2
	}
	return medlarclaim.NewVoter(c, w.now)
}

// step does one random action. Every action takes a microsecond, so that no two events have the same time.
func (w *simulation) step() {
	w.now = w.now.Add(time.Microsecond)
	switch w.choose(16) {
	case 0:
		delays := []time.Duration{100, 160, 160, 160, 260, 1000}
		if w.smallSteps {
			delays = []time.Duration{1, 40}
		}
		w.now = w.now.Add(delays[w.choose(len(delays))] * time.Millisecond)
	case 1:
		w.addAttempt()
	case 2:
		w.startBallot()
	case 3, 4, 5, 6:
		w.advanceBallot()
	case 7:
		if w.restarts && w.choose(3) == 0 {
			w.restartVoter(w.processes[w.choose(len(w.processes))])
		}
	case 8:
		if w.replacements && w.choose(3) == 0 {
			w.replaceVoter(w.choose(len(w.processes)))
		}
		for _, p := range w.processes {
			w.sendFetches(p)
		}
	default:
		w.deliver()
	}
}

// pickAttempt returns one of the attempts for which the condition holds, or nil.
func (w *simulation) pickAttempt(condition func(*attempt) bool) *attempt {
	var candidates []*attempt
	for _, a := range w.attempts {
		if condition(a) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.choose(len(candidates))]
}

func (w *simulation) addAttempt() {
	if len(w.attempts) >= 6 {
		return
	}
	if w.keyHasTime && w.keyCreatedAt.IsZero() {
		w.keyCreatedAt = w.now.Add(time.Duration(w.choose(5)-2) * time.Second)
	}
	a := &attempt{id: medlarwheel.AttemptID(fmt.Sprintf("a%d", len(w.attempts))), keyCreatedAt: w.keyCreatedAt, arrived: w.now}
	w.attempts = append(w.attempts, a)
}

// startBallot starts the claim of an attempt, or the seal of one that was refused or gives up.
func (w *simulation) startBallot() {
	a := w.pickAttempt(func(a *attempt) bool { return !a.ended && a.ballot == nil })
	if a == nil {
		return
	}
	kind := medlarclaim.KindSeal
	if !a.claimed && w.choose(4) > 0 {
		kind = medlarclaim.KindClaim
	}
	a.claimed, a.started, a.epoch = true, w.now, w.epoch
	q := medlarclaim.VoteRequest{Key: medlarclaim.HashKey(key), Attempt: a.id, Holder: "entry", KeyCreatedAt: a.keyCreatedAt}
	if !w.faults.omitWaited {
		q.Waited = w.now.Sub(a.arrived)
	}
	a.ballot = medlarclaim.NewBallot(kind, w.voterIDs, q, w.now)
}

// advanceBallot lets one ballot ask its next seat, or give up on the seat that does not answer.
func (w *simulation) advanceBallot() {
	a := w.pickAttempt(func(a *attempt) bool { return a.ballot != nil })
	if a == nil {
		return
	}
	if seat, q, ok := a.ballot.NextRequest(); ok {
		a.asked = seat
		w.sendRequest(a, seat, q)
	} else if w.choose(4) == 0 {
		a.ballot.HandleFailure(w.ballotTime(a), a.asked)
		w.applyDecision(a)
	}
}

func (w *simulation) sendRequest(a *attempt, to medlarwheel.InstanceID, q medlarclaim.VoteRequest) {
	ballot, asked := a.ballot, a.epoch
	w.send(func() {
		answer := w.process(to).voter.Handle(w.now, asked, q)
		if w.faults.ownIncarnationOnly {
			answer.KnownIncarnations = medlarclaim.IncarnationVector(nil).WithAtLeast(to, answer.KnownIncarnations.Get(to))
		}
		w.send(func() {
			if a.ballot == ballot && ballot != nil {
				ballot.HandleResponse(w.ballotTime(a), to, answer)
				w.applyDecision(a)
			}
		})
	})
}

func (w *simulation) ballotTime(a *attempt) time.Time {
	if w.faults.ignoreTimeout {
		return a.started
	}
	return w.now
}

// applyDecision acts on the decision of a ballot.
func (w *simulation) applyDecision(a *attempt) {
	d, decided := a.ballot.Decision()
	if !decided {
		return
	}
	a.ballot = nil
	switch d.Kind {
	case medlarclaim.DecisionGranted:
		a.ended = true
		w.history.run(a, w.now)
		for _, seat := range w.voterIDs {
			w.sendRequest(a, seat, medlarclaim.VoteRequest{Kind: medlarclaim.KindComplete, Key: medlarclaim.HashKey(key), Attempt: a.id, Holder: "entry"})
		}
	case medlarclaim.DecisionNotRun:
		a.ended = true
		w.history.notRun(a, w.now)
	case medlarclaim.DecisionStaleEpoch:
		a.claimed = false
	case medlarclaim.DecisionHeld:
		if d.Completed {
			w.history.seenRun(a, d.HolderAttempt, w.now)
		}
	}
}

func (w *simulation) restartVoter(p *process) {
	p.incarnation++
	p.voter = w.newVoter(p, w.faults.skipRecovery)
	if w.faults.skipRecovery {
		return
	}
	w.startRecovery(p)
}

func (w *simulation) startRecovery(p *process) {
	var sources []medlarclaim.RecoverySource
	for _, other := range w.processes {
		if other != p {
			sources = append(sources, medlarclaim.RecoverySource{Instance: other.id, Incarnation: other.rosterIncarnation})
		}
	}
	p.recovery = p.voter.StartRecovery(sources, len(sources) > 0 || w.faults.noQuarantine)
	p.recovery.TryFinish(w.now)
}

// replaceVoter changes one seat of the roster: a restarted seat gets its new incarnation, any other gives way to a new
// instance. The replaced process goes on answering unless it was alone, where a replacement needs proof of its end. The
// other seats learn the new epoch later.
func (w *simulation) replaceVoter(i int) {
	for j, p := range w.processes {
		if recovering := p.recovery != nil && !p.recovery.TryFinish(w.now); i != j && (recovering || p.rosterIncarnation != p.incarnation) {
			return
		}
	}
	w.epoch++
	p := w.processes[i]
	if p.rosterIncarnation == p.incarnation {
		w.removed = append(w.removed, p)
		if len(w.processes) == 1 {
			p.voter.Retire(w.epoch)
		}
		p = &process{id: medlarwheel.InstanceID(fmt.Sprintf("seat-%d", len(w.processes)+len(w.removed))), incarnation: 1}
		p.voter = w.newVoter(p, false)
		w.processes[i] = p
		w.voterIDs = slices.Clone(w.voterIDs)
		w.voterIDs[i] = p.id
	}
	p.rosterIncarnation = p.incarnation
	p.voter.AdvanceEpoch(w.epoch)
	w.startRecovery(p)
	adopted := w.epoch
	for _, other := range w.processes {
		w.send(func() { other.voter.AdvanceEpoch(adopted) })
	}
}

func (w *simulation) sendFetches(p *process) {
	if p.recovery == nil || p.recovery.TryFinish(w.now) {
		return
	}
	seat, recovery := p.voter, p.recovery
	for _, f := range recovery.PendingFetches() {
		w.send(func() {
			request := f.Request
			if w.faults.oldEpochVotes {
				request.Epoch = 0
			}
			page := w.process(f.To).voter.ReadVotes(w.now, request, 2)
			page.Epoch = max(page.Epoch, f.Request.Epoch)
			if w.faults.noQuarantine {
				page.State = medlarclaim.VotePageComplete
			}
			w.send(func() {
				if p.voter == seat {
					recovery.HandlePage(w.now, f.To, page)
					recovery.TryFinish(w.now)
				}
			})
		})
	}
}

func (w *simulation) process(id medlarwheel.InstanceID) *process {
	for _, p := range append(slices.Clone(w.removed), w.processes...) {
		if p.id == id {
			return p
		}
	}
	panic("unknown seat " + id)
}

func (w *simulation) send(m message) { w.network = append(w.network, m) }

// deliver delivers a message, mostly one of the latest. One in 8 is lost, one in 8 stays in flight to be repeated.
func (w *simulation) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := len(w.network) - 1 - w.choose(min(4, len(w.network)))
	m, fate := w.network[i], w.choose(8)
	if fate != 0 {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	if fate != 1 {
		m()
	}
}
