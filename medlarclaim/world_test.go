package medlarclaim_test

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// faults are errors planted into the protocol, to show that the checker finds them.
type faults struct {
	forgetVotes      bool // a restarted seat votes without recovery
	ignoreWait       bool // claims do not carry the time waited
	plainIncarnation bool // answers name only the answering seat's own incarnation
	shortFence       bool // fences last one validity after the seal, not two
	useLate          bool // ballots never become late
	noQuarantine     bool // votes lost with a majority go unnoticed
	oldEpochVotes    bool // a seat that hands its votes to a later epoch goes on voting in its own
}

// choose returns a number in [0, n).
type choose func(n int) int

// profile shapes a history.
type profile struct {
	seats int
	// restarts restarts seats, replaces changes the roster.
	restarts, replaces bool
	// quick moves time in small steps.
	quick bool
	// timed gives the key a creation time.
	timed bool
}

func anyProfile(choose choose) profile {
	return profile{seats: 1 + choose(3), restarts: choose(2) == 0, replaces: choose(3) == 0, quick: choose(2) == 0, timed: choose(2) == 0}
}

type process struct {
	id          medlarwheel.InstanceID
	incarnation medlarwheel.Incarnation
	rostered    medlarwheel.Incarnation
	seat        *medlarclaim.Seat
	recovery    *medlarclaim.Recovery
}

type attempt struct {
	id      medlarwheel.AttemptID
	minted  time.Time
	arrived time.Time
	claimed bool
	ended   bool
	ballot  *medlarclaim.Ballot
	started time.Time
	asked   medlarwheel.InstanceID
	epoch   medlarwheel.Epoch
}

// message is a closure that is in flight. Any message may be delivered late, twice or never.
type message func()

// world is a claim group of one to three seats, the attempts of one key and the network between them.
type world struct {
	profile
	choose    choose
	faults    faults
	now       time.Time
	epoch     medlarwheel.Epoch
	processes []*process // the seats of the roster
	removed   []*process
	order     []medlarwheel.InstanceID
	// minted is the creation time in the key, with the error of the caller's clock. It is zero for a key without one.
	minted   time.Time
	attempts []*attempt
	network  []message
	history  history
}

const (
	epoch = 1
	key   = medlarwheel.RequestKey("key")
)

func newWorld(choose choose, p profile, f faults) *world {
	w := &world{profile: p, choose: choose, faults: f, epoch: epoch, now: time.Unix(1_800_000_000, 0)}
	for i := range p.seats {
		p := &process{id: medlarwheel.InstanceID(fmt.Sprintf("seat-%d", i)), incarnation: 1, rostered: 1}
		p.seat = w.newSeat(p, true)
		w.processes, w.order = append(w.processes, p), append(w.order, p.id)
	}
	return w
}

func (w *world) newSeat(p *process, founding bool) *medlarclaim.Seat {
	c := medlarclaim.DefaultSeatConfig(p.id, p.incarnation)
	c.Epoch, c.Founding, c.MaxRecords, c.FenceSets = w.epoch, founding, 16, 1
	if w.faults.shortFence {
		c.ClaimValidity /= 2
	}
	return medlarclaim.NewSeat(c, w.now)
}

// step does one random action. Every action takes a microsecond, so that no two events have the same time.
func (w *world) step() {
	w.now = w.now.Add(time.Microsecond)
	switch w.choose(16) {
	case 0:
		delays := []time.Duration{100, 160, 160, 160, 260, 1000}
		if w.quick {
			delays = []time.Duration{1, 40}
		}
		w.now = w.now.Add(delays[w.choose(len(delays))] * time.Millisecond)
	case 1:
		w.arrive()
	case 2:
		w.open()
	case 3, 4, 5, 6:
		w.poll()
	case 7:
		if w.restarts && w.choose(3) == 0 {
			w.restart(w.processes[w.choose(len(w.processes))])
		}
	case 8:
		if w.replaces && w.choose(3) == 0 {
			w.replace(w.choose(len(w.processes)))
		}
		for _, p := range w.processes {
			w.recover(p)
		}
	default:
		w.deliver()
	}
}

// pick returns one of the attempts for which the condition holds, or nil.
func (w *world) pick(condition func(*attempt) bool) *attempt {
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

func (w *world) arrive() {
	if len(w.attempts) >= 6 {
		return
	}
	if w.timed && w.minted.IsZero() {
		w.minted = w.now.Add(time.Duration(w.choose(5)-2) * time.Second)
	}
	a := &attempt{id: medlarwheel.AttemptID(fmt.Sprintf("a%d", len(w.attempts))), minted: w.minted, arrived: w.now}
	w.attempts = append(w.attempts, a)
}

// open starts the claim of an attempt, or the seal of one that was refused or gives up.
func (w *world) open() {
	a := w.pick(func(a *attempt) bool { return !a.ended && a.ballot == nil })
	if a == nil {
		return
	}
	kind := medlarclaim.KindSeal
	if !a.claimed && w.choose(4) > 0 {
		kind = medlarclaim.KindClaim
	}
	a.claimed, a.started, a.epoch = true, w.now, w.epoch
	q := medlarclaim.Question{Key: medlarclaim.HashKey(key), Attempt: a.id, Holder: "entry", Minted: a.minted}
	if !w.faults.ignoreWait {
		q.Waited = w.now.Sub(a.arrived)
	}
	a.ballot = medlarclaim.NewBallot(kind, w.order, q, w.now)
}

// poll lets one ballot ask its next seat, or give up on the seat that does not answer.
func (w *world) poll() {
	a := w.pick(func(a *attempt) bool { return a.ballot != nil })
	if a == nil {
		return
	}
	if seat, q, ok := a.ballot.Next(); ok {
		a.asked = seat
		w.ask(a, seat, q)
	} else if w.choose(4) == 0 {
		a.ballot.Fail(w.ballotTime(a), a.asked)
		w.settle(a)
	}
}

func (w *world) ask(a *attempt, to medlarwheel.InstanceID, q medlarclaim.Question) {
	ballot, asked := a.ballot, a.epoch
	w.send(func() {
		answer := w.process(to).seat.Answer(w.now, asked, q)
		if w.faults.plainIncarnation {
			answer.Known = medlarclaim.IncarnationVector(nil).Raised(to, answer.Known.Of(to))
		}
		w.send(func() {
			if a.ballot == ballot && ballot != nil {
				ballot.Record(w.ballotTime(a), to, answer)
				w.settle(a)
			}
		})
	})
}

func (w *world) ballotTime(a *attempt) time.Time {
	if w.faults.useLate {
		return a.started
	}
	return w.now
}

// settle acts on the decision of a ballot.
func (w *world) settle(a *attempt) {
	d, decided := a.ballot.Decision()
	if !decided {
		return
	}
	a.ballot = nil
	switch d.Kind {
	case medlarclaim.DecisionGranted:
		a.ended = true
		w.history.run(a, w.now)
		for _, seat := range w.order {
			w.ask(a, seat, medlarclaim.Question{Kind: medlarclaim.KindComplete, Key: medlarclaim.HashKey(key), Attempt: a.id, Holder: "entry"})
		}
	case medlarclaim.DecisionNotRun:
		a.ended = true
		w.history.notRun(a, w.now)
	case medlarclaim.DecisionStaleEpoch:
		a.claimed = false
	case medlarclaim.DecisionHeld:
		if d.Completed {
			w.history.seen(a, d.HolderAttempt, w.now)
		}
	}
}

func (w *world) restart(p *process) {
	p.incarnation++
	p.seat = w.newSeat(p, w.faults.forgetVotes)
	if w.faults.forgetVotes {
		return
	}
	w.startRecovery(p)
}

func (w *world) startRecovery(p *process) {
	var sources []medlarclaim.Source
	for _, other := range w.processes {
		if other != p {
			sources = append(sources, medlarclaim.Source{Instance: other.id, Incarnation: other.rostered})
		}
	}
	p.recovery = p.seat.Recover(sources, len(sources) > 0 || w.faults.noQuarantine)
	p.recovery.Done(w.now)
}

// replace changes one seat of the roster: a restarted seat gets its new incarnation, any other gives way to a new
// instance. The replaced process goes on answering unless it was alone, where a replacement needs proof of its end. The
// other seats learn the new epoch later.
func (w *world) replace(i int) {
	for j, p := range w.processes {
		if recovering := p.recovery != nil && !p.recovery.Done(w.now); i != j && (recovering || p.rostered != p.incarnation) {
			return
		}
	}
	w.epoch++
	p := w.processes[i]
	if p.rostered == p.incarnation {
		w.removed = append(w.removed, p)
		if len(w.processes) == 1 {
			p.seat.Retire(w.epoch)
		}
		p = &process{id: medlarwheel.InstanceID(fmt.Sprintf("seat-%d", len(w.processes)+len(w.removed))), incarnation: 1}
		p.seat = w.newSeat(p, false)
		w.processes[i] = p
		w.order = slices.Clone(w.order)
		w.order[i] = p.id
	}
	p.rostered = p.incarnation
	p.seat.Adopt(w.epoch)
	w.startRecovery(p)
	adopted := w.epoch
	for _, other := range w.processes {
		w.send(func() { other.seat.Adopt(adopted) })
	}
}

func (w *world) recover(p *process) {
	if p.recovery == nil || p.recovery.Done(w.now) {
		return
	}
	seat, recovery := p.seat, p.recovery
	for _, f := range recovery.Pending() {
		w.send(func() {
			request := f.Request
			if w.faults.oldEpochVotes {
				request.Epoch = 0
			}
			page := w.process(f.To).seat.Snapshot(w.now, request, 2)
			page.Epoch = max(page.Epoch, f.Request.Epoch)
			if w.faults.noQuarantine {
				page.State = medlarclaim.PageComplete
			}
			w.send(func() {
				if p.seat == seat {
					recovery.Merge(w.now, f.To, page)
					recovery.Done(w.now)
				}
			})
		})
	}
}

func (w *world) process(id medlarwheel.InstanceID) *process {
	for _, p := range append(slices.Clone(w.removed), w.processes...) {
		if p.id == id {
			return p
		}
	}
	panic("unknown seat " + id)
}

func (w *world) send(m message) { w.network = append(w.network, m) }

// deliver delivers a message, mostly one of the latest. One in 8 is lost, one in 8 stays in flight to be repeated.
func (w *world) deliver() {
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
