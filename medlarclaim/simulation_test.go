package medlarclaim_test

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// injectedFaults are faults injected into the protocol, to show that the checker detects them.
type injectedFaults struct {
	skipRecovery       bool // a restarted voter votes without recovery
	omitWaited         bool // requests do not carry the time waited
	ownIncarnationOnly bool // responses carry only the incarnation of the responding voter
	shortFence         bool // fences last one ballot timeout instead of two
	ignoreTimeout      bool // ballots never time out
	noQuarantine       bool // lost votes of a majority cause no quarantine
	oldEpochVotes      bool // a voter that returned its votes to a later epoch continues to vote in its own
}

// chooser returns a number in [0, n).
type chooser func(n int) int

// profile sets which events occur in a history.
type profile struct {
	voters int
	// restarts enables restarts of voters, replacements enables changes of the roster.
	restarts, replacements bool
	// smallSteps advances the time in small steps.
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
	awaitedVoter medlarwheel.InstanceID
	epoch        medlarwheel.Epoch
}

// message is a message in flight. It may be delivered late, twice or never.
type message func()

// simulation runs a claim group of one to three voters, the attempts of one key and the network between them.
type simulation struct {
	profile
	choose    chooser
	faults    injectedFaults
	now       time.Time
	epoch     medlarwheel.Epoch
	processes []*process // the voters of the roster
	removed   []*process
	voterIDs  []medlarwheel.InstanceID
	// keyCreatedAt is the creation time in the key, with the error of the client's clock. It is zero for a key without
	// one.
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
	s := &simulation{profile: p, choose: choose, faults: f, epoch: epoch, now: time.Unix(1_800_000_000, 0)}
	for i := range p.voters {
		p := &process{id: medlarwheel.InstanceID(fmt.Sprintf("seat-%d", i)), incarnation: 1, rosterIncarnation: 1}
		p.voter = s.newVoter(p, true)
		s.processes, s.voterIDs = append(s.processes, p), append(s.voterIDs, p.id)
	}
	return s
}

func (s *simulation) newVoter(p *process, bootstrap bool) *medlarclaim.Voter {
	c := medlarclaim.DefaultVoterConfig(p.id, p.incarnation)
	c.Epoch, c.Bootstrap, c.MaxVotes, c.FenceSets = s.epoch, bootstrap, 16, 1
	if s.faults.shortFence {
		c.BallotTimeout /= 2
	}
	return medlarclaim.NewVoter(c, s.now)
}

// step executes one random action. Every action takes a microsecond, so that no two events have the same time.
func (s *simulation) step() {
	s.now = s.now.Add(time.Microsecond)
	switch s.choose(16) {
	case 0:
		delays := []time.Duration{100, 160, 160, 160, 260, 1000}
		if s.smallSteps {
			delays = []time.Duration{1, 40}
		}
		s.now = s.now.Add(delays[s.choose(len(delays))] * time.Millisecond)
	case 1:
		s.addAttempt()
	case 2:
		s.startBallot()
	case 3, 4, 5, 6:
		s.advanceBallot()
	case 7:
		if s.restarts && s.choose(3) == 0 {
			s.restartVoter(s.processes[s.choose(len(s.processes))])
		}
	case 8:
		if s.replacements && s.choose(3) == 0 {
			s.replaceVoter(s.choose(len(s.processes)))
		}
		for _, p := range s.processes {
			s.sendFetches(p)
		}
	default:
		s.deliver()
	}
}

// pickAttempt returns one of the attempts for which the condition holds, or nil.
func (s *simulation) pickAttempt(condition func(*attempt) bool) *attempt {
	var candidates []*attempt
	for _, a := range s.attempts {
		if condition(a) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.choose(len(candidates))]
}

func (s *simulation) addAttempt() {
	if len(s.attempts) >= 6 {
		return
	}
	if s.keyHasTime && s.keyCreatedAt.IsZero() {
		s.keyCreatedAt = s.now.Add(time.Duration(s.choose(5)-2) * time.Second)
	}
	a := &attempt{id: medlarwheel.AttemptID(fmt.Sprintf("a%d", len(s.attempts))), keyCreatedAt: s.keyCreatedAt, arrived: s.now}
	s.attempts = append(s.attempts, a)
}

// startBallot starts the claim of an attempt, or the seal of one that was refused or gives up.
func (s *simulation) startBallot() {
	a := s.pickAttempt(func(a *attempt) bool { return !a.ended && a.ballot == nil })
	if a == nil {
		return
	}
	kind := medlarclaim.KindSeal
	if !a.claimed && s.choose(4) > 0 {
		kind = medlarclaim.KindClaim
	}
	a.claimed, a.started, a.epoch = true, s.now, s.epoch
	request := medlarclaim.VoteRequest{Key: medlarclaim.HashKey(key), Attempt: a.id, Holder: "entry", KeyCreatedAt: a.keyCreatedAt}
	if !s.faults.omitWaited {
		request.Waited = s.now.Sub(a.arrived)
	}
	a.ballot = medlarclaim.NewBallot(kind, s.voterIDs, request, s.now)
}

// advanceBallot lets one ballot send its next request, or give up on the voter whose response it awaits.
func (s *simulation) advanceBallot() {
	a := s.pickAttempt(func(a *attempt) bool { return a.ballot != nil })
	if a == nil {
		return
	}
	if voter, request, ok := a.ballot.NextRequest(); ok {
		a.awaitedVoter = voter
		s.sendRequest(a, voter, request)
	} else if s.choose(4) == 0 {
		a.ballot.HandleFailure(s.ballotTime(a), a.awaitedVoter)
		s.applyDecision(a)
	}
}

func (s *simulation) sendRequest(a *attempt, to medlarwheel.InstanceID, request medlarclaim.VoteRequest) {
	ballot, asked := a.ballot, a.epoch
	s.send(func() {
		response := s.process(to).voter.Handle(s.now, asked, request)
		if s.faults.ownIncarnationOnly {
			response.KnownIncarnations = medlarclaim.IncarnationVector(nil).WithAtLeast(to, response.KnownIncarnations.Get(to))
		}
		s.send(func() {
			if a.ballot == ballot && ballot != nil {
				ballot.HandleResponse(s.ballotTime(a), to, response)
				s.applyDecision(a)
			}
		})
	})
}

func (s *simulation) ballotTime(a *attempt) time.Time {
	if s.faults.ignoreTimeout {
		return a.started
	}
	return s.now
}

// applyDecision acts on the decision of a ballot.
func (s *simulation) applyDecision(a *attempt) {
	d, decided := a.ballot.Decision()
	if !decided {
		return
	}
	a.ballot = nil
	switch d.Kind {
	case medlarclaim.DecisionGranted:
		a.ended = true
		s.history.run(a, s.now)
		for _, voter := range s.voterIDs {
			s.sendRequest(a, voter, medlarclaim.VoteRequest{Kind: medlarclaim.KindComplete, Key: medlarclaim.HashKey(key), Attempt: a.id, Holder: "entry"})
		}
	case medlarclaim.DecisionNotRun:
		a.ended = true
		s.history.notRun(a, s.now)
	case medlarclaim.DecisionStaleEpoch:
		a.claimed = false
	case medlarclaim.DecisionHeld:
		if d.Completed {
			s.history.seenRun(a, d.HolderAttempt, s.now)
		}
	}
}

func (s *simulation) restartVoter(p *process) {
	p.incarnation++
	p.voter = s.newVoter(p, s.faults.skipRecovery)
	if s.faults.skipRecovery {
		return
	}
	s.startRecovery(p)
}

func (s *simulation) startRecovery(p *process) {
	var sources []medlarclaim.RecoverySource
	for _, other := range s.processes {
		if other != p {
			sources = append(sources, medlarclaim.RecoverySource{Instance: other.id, Incarnation: other.rosterIncarnation})
		}
	}
	p.recovery = p.voter.StartRecovery(sources, len(sources) > 0 || s.faults.noQuarantine)
	p.recovery.TryFinish(s.now)
}

// replaceVoter changes one voter of the roster: a restarted voter gets its new incarnation, any other is replaced by a
// new instance. The replaced process continues to respond, unless it was the only voter, whose replacement needs proof
// that it has stopped. The other voters learn the new epoch later.
func (s *simulation) replaceVoter(i int) {
	for j, p := range s.processes {
		if recovering := p.recovery != nil && !p.recovery.TryFinish(s.now); i != j && (recovering || p.rosterIncarnation != p.incarnation) {
			return
		}
	}
	s.epoch++
	p := s.processes[i]
	if p.rosterIncarnation == p.incarnation {
		s.removed = append(s.removed, p)
		if len(s.processes) == 1 {
			p.voter.Retire(s.epoch)
		}
		p = &process{id: medlarwheel.InstanceID(fmt.Sprintf("seat-%d", len(s.processes)+len(s.removed))), incarnation: 1}
		p.voter = s.newVoter(p, false)
		s.processes[i] = p
		s.voterIDs = slices.Clone(s.voterIDs)
		s.voterIDs[i] = p.id
	}
	p.rosterIncarnation = p.incarnation
	p.voter.AdvanceEpoch(s.epoch)
	s.startRecovery(p)
	adopted := s.epoch
	for _, other := range s.processes {
		s.send(func() { other.voter.AdvanceEpoch(adopted) })
	}
}

func (s *simulation) sendFetches(p *process) {
	if p.recovery == nil || p.recovery.TryFinish(s.now) {
		return
	}
	voter, recovery := p.voter, p.recovery
	for _, f := range recovery.PendingFetches() {
		s.send(func() {
			request := f.Request
			if s.faults.oldEpochVotes {
				request.Epoch = 0
			}
			page := s.process(f.To).voter.ReadVotes(s.now, request, 2)
			page.Epoch = max(page.Epoch, f.Request.Epoch)
			if s.faults.noQuarantine {
				page.State = medlarclaim.VotePageComplete
			}
			s.send(func() {
				if p.voter == voter {
					recovery.HandlePage(s.now, f.To, page)
					recovery.TryFinish(s.now)
				}
			})
		})
	}
}

func (s *simulation) process(id medlarwheel.InstanceID) *process {
	for _, p := range append(slices.Clone(s.removed), s.processes...) {
		if p.id == id {
			return p
		}
	}
	panic("unknown voter " + id)
}

func (s *simulation) send(m message) { s.network = append(s.network, m) }

// deliver delivers a message, mostly one of the latest. One in 8 is lost, one in 8 stays in flight to be repeated.
func (s *simulation) deliver() {
	if len(s.network) == 0 {
		return
	}
	i := len(s.network) - 1 - s.choose(min(4, len(s.network)))
	m, fate := s.network[i], s.choose(8)
	if fate != 0 {
		s.network = append(s.network[:i], s.network[i+1:]...)
	}
	if fate != 1 {
		m()
	}
}
