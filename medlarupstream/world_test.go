package medlarupstream

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
)

// simulation runs the Shares of several instances against a network that loses, delays and repeats messages. Every instance has
// its own clock, with its own offset and rate, and may freeze or restart. draw makes every choice.
type simulation struct {
	draw   func(n int) int
	config func(*SharesConfig)
	now    time.Duration
	nodes  []*node
	roster Roster // as in the platform's table
	// rosterProcesses holds the processes that each epoch's roster names.
	rosterProcesses map[medlarwheel.Epoch]map[medlarwheel.InstanceID]medlarwheel.Incarnation
	// uncleanUntil is when the last process that was removed without notice has surely stopped.
	uncleanUntil time.Duration
	// omitUnclean and claimDrained are planted faults: removals without a mark, and members that say that they have
	// given up slots when they have not.
	omitUnclean, claimDrained bool
	messages                  []message
	requests                  []request
	// counts of what happened, to show that the check sees what it is meant to see
	loans, rosterChanges, full, drained, cleanRemovals int
}

type node struct {
	id          medlarwheel.InstanceID
	centre      medlarwheel.DataCentreID
	shares      *Shares
	incarnation medlarwheel.Incarnation
	offset      time.Duration
	rate        float64
	// A frozen node does nothing, and a cut one reaches nobody.
	frozenUntil      time.Duration
	partitionedUntil time.Duration
	roster           Roster
	requests         []request
	// released is a permit that was released before.
	released Permit
	demand   int
}

type message struct {
	at      time.Duration
	to      *node // nil for the platform
	process medlarwheel.Incarnation
	deliver func()
}

// request is one request in flight.
type request struct {
	node     *node
	permit   Permit
	upstream medlarwheel.UpstreamID
	// deadline is the true time of its deadline.
	deadline time.Duration
}

var simUpstreams = []medlarwheel.UpstreamID{"u1"}

var simSpec = Spec{Slots: 2, Connections: 16, MaxRequest: 4 * time.Second}

func newSimulation(draw func(n int) int, config func(*SharesConfig)) *simulation {
	w := &simulation{draw: draw, config: config}
	for i := range 5 {
		n := &node{id: medlarwheel.InstanceID(fmt.Sprint("n", i)), centre: "north",
			offset: time.Duration(draw(1000)) * time.Second, rate: 1 + float64(draw(21)-10)/1000}
		if i == 4 {
			n.centre = "south" // only borrows
		}
		w.nodes = append(w.nodes, n)
	}
	w.roster = Roster{DataCentre: "north", Epoch: 1, Members: []medlarwheel.InstanceID{"n0", "n1", "n2"}, First: true}
	w.rosterProcesses = map[medlarwheel.Epoch]map[medlarwheel.InstanceID]medlarwheel.Incarnation{}
	for _, n := range w.nodes {
		w.startProcess(n)
	}
	w.recordProcesses()
	for _, n := range w.nodes {
		w.applyRoster(n, w.roster)
	}
	w.roster.First = false
	return w
}

// startProcess begins a process of n.
func (w *simulation) startProcess(n *node) {
	n.incarnation++
	c := DefaultSharesConfig(n.id, n.centre, n.incarnation)
	w.config(&c)
	n.shares, n.requests, n.roster, n.demand = NewShares(c), nil, Roster{}, 0
	for _, id := range simUpstreams {
		n.shares.SetUpstream(w.localTime(n), medlarwheel.Upstream{ID: id, Service: "s", DataCentre: "north"}, simSpec)
	}
}

// recordProcesses notes the processes that the present roster names.
func (w *simulation) recordProcesses() {
	named := map[medlarwheel.InstanceID]medlarwheel.Incarnation{}
	for _, n := range w.nodes {
		if slices.Contains(w.roster.Members, n.id) {
			named[n.id] = n.incarnation
		}
	}
	w.rosterProcesses[w.roster.Epoch] = named
}

// isNamed reports whether the roster of the epoch names this process of n, or no process of it.
func (w *simulation) isNamed(n *node, epoch medlarwheel.Epoch) bool {
	incarnation, ok := w.rosterProcesses[epoch][n.id]
	return !ok || incarnation == n.incarnation
}

func (w *simulation) localTime(n *node) time.Time {
	return time.Unix(1_700_000_000, 0).Add(n.offset + time.Duration(float64(w.now)*n.rate))
}

func (w *simulation) isRunning(n *node) bool { return w.now >= n.frozenUntil }

// send delivers a message later, twice or not at all. A nil node is the platform.
func (w *simulation) send(from, to *node, deliver func()) {
	if (from != nil && from.partitionedUntil > w.now) || (to != nil && to.partitionedUntil > w.now) {
		return
	}
	for range []int{1, 1, 1, 1, 1, 1, 0, 2}[w.draw(8)] {
		delay := []time.Duration{0, 0, 10, 30, 200, 1000}[w.draw(6)] * time.Millisecond
		m := message{at: w.now + delay, to: to, deliver: deliver}
		if to != nil {
			m.process = to.incarnation
		}
		w.messages = append(w.messages, m)
	}
}

// advance moves the true time, and delivers what is due to nodes that are not frozen.
func (w *simulation) advance(d time.Duration) {
	until := w.now + d
	for {
		slices.SortStableFunc(w.messages, func(a, b message) int { return int(a.at - b.at) })
		i := slices.IndexFunc(w.messages, func(m message) bool { return m.at <= until && (m.to == nil || m.to.frozenUntil <= until) })
		if i < 0 {
			break
		}
		m := w.messages[i]
		w.messages = slices.Delete(w.messages, i, i+1)
		w.now = max(w.now, m.at)
		if m.to != nil {
			w.now = max(w.now, m.to.frozenUntil)
		}
		if m.to == nil || m.process == m.to.incarnation {
			m.deliver()
		}
	}
	w.now = until
	w.requests = slices.DeleteFunc(w.requests, func(r request) bool { return r.deadline <= w.now })
}

func (w *simulation) applyRoster(n *node, r Roster) {
	if r.Epoch > n.roster.Epoch {
		if n.roster.Epoch > 0 {
			w.rosterChanges++
		}
		n.roster = r
	}
	if !w.isNamed(n, r.Epoch) {
		r.Members = slices.Clone(r.Members)
		r.Members[slices.Index(r.Members, n.id)] = n.id + "-earlier"
	}
	n.shares.SetRoster(w.localTime(n), r)
	if n.shares.roster.drained && r.Epoch > 1 {
		w.drained++
	}
}

// confirmRoster asks a peer or the platform for the roster.
func (w *simulation) confirmRoster(n, peer *node) {
	sent := w.localTime(n)
	w.send(n, peer, func() {
		c, r, named := Confirmation{Epoch: w.roster.Epoch, Sent: sent}, w.roster, true
		if peer != nil {
			c = Confirmation{Peer: peer.id, Epoch: peer.roster.Epoch, Isolated: peer.shares.Isolated(w.localTime(peer)),
				Drained: w.claimDrained || peer.shares.Drained(w.localTime(peer)), Sent: sent}
			r, named = peer.roster, w.isNamed(peer, peer.roster.Epoch)
		}
		w.send(peer, n, func() {
			r.First = false
			w.applyRoster(n, r)
			if named {
				n.shares.HandleConfirmation(w.localTime(n), c)
			}
		})
	})
}

// exchangeLoans sends what n wants to borrow, renew and return.
func (w *simulation) exchangeLoans(n *node) {
	call := func(id medlarwheel.InstanceID, serve func(lender *node, now time.Time) func(now time.Time)) {
		i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.id == id })
		if i < 0 {
			return // an earlier process, which nobody can reach
		}
		lender := w.nodes[i]
		w.send(n, lender, func() {
			answer := serve(lender, w.localTime(lender))
			w.send(lender, n, func() { answer(w.localTime(n)) })
		})
	}
	n.shares.SetDemand(w.localTime(n), "s", n.demand, time.Duration(1+w.draw(6))*time.Second)
	for _, r := range n.shares.NextLoanRequests(w.localTime(n)) {
		call(r.Lender, func(lender *node, now time.Time) func(time.Time) {
			reply := lender.shares.Lend(now, n.id, r)
			w.loans += len(reply.Loans)
			return func(now time.Time) { n.shares.HandleLoanResponse(now, reply) }
		})
	}
	for _, r := range n.shares.NextRenewalRequests(w.localTime(n)) {
		call(r.Lender, func(lender *node, now time.Time) func(time.Time) {
			reply := lender.shares.Renew(now, n.id, r)
			return func(now time.Time) { n.shares.HandleRenewalResponse(now, reply) }
		})
	}
	for _, r := range n.shares.NextReturns(w.localTime(n)) {
		call(r.Lender, func(lender *node, now time.Time) func(time.Time) {
			lender.shares.Return(now, n.id, r)
			return func(time.Time) {}
		})
	}
}

// acquire starts a request and returns an error if the upstream then has more requests in flight than slots.
func (w *simulation) acquire(n *node) error {
	id := simUpstreams[w.draw(len(simUpstreams))]
	left := time.Duration(200*(1+w.draw(24))) * time.Millisecond
	if loans := n.shares.sortedBorrowed(); len(loans) > 0 && w.draw(2) == 0 {
		left = loans[0].latestDeadline.Sub(w.localTime(n)) // the longest that the loan allows
	}
	p, ok := n.shares.Acquire(w.localTime(n), id, w.localTime(n).Add(left))
	if !ok {
		return nil
	}
	r := request{node: n, permit: p, upstream: id, deadline: w.now + time.Duration(float64(left)/n.rate)}
	w.requests, n.requests = append(w.requests, r), append(n.requests, r)
	inFlight := 0
	for _, o := range w.requests {
		if o.upstream == id {
			inFlight++
		}
	}
	if inFlight == int(simSpec.Slots) {
		w.full++
	}
	if inFlight > int(simSpec.Slots) {
		return fmt.Errorf("%v: %d requests in flight at %s, which has %d slots", w.now, inFlight, id, simSpec.Slots)
	}
	return nil
}

// release ends the requests of n that are past their deadline, and sometimes another. It also releases an old one again.
func (w *simulation) release(n *node) {
	early := w.draw(3 * (len(n.requests) + 1))
	n.shares.Release(w.localTime(n), n.released)
	n.requests = slices.DeleteFunc(n.requests, func(r request) bool {
		early--
		if r.deadline > w.now && early != 0 {
			return false
		}
		w.requests = slices.DeleteFunc(w.requests, func(o request) bool { return o.permit == r.permit })
		n.shares.Release(w.localTime(n), r.permit)
		n.released = r.permit
		return true
	})
}

// changeRoster adds or removes one member in the table. It waits until the members that run have seen the last change, but
// for a minority that is cut off, and until an only member has seen it in any case.
func (w *simulation) changeRoster() {
	n, cut := w.nodes[w.draw(4)], 0
	for _, o := range w.nodes[:4] {
		switch {
		case !slices.Contains(w.roster.Members, o.id) || o.roster.Epoch == w.roster.Epoch:
		case len(o.roster.Members) == 1 || (w.isRunning(o) && o.partitionedUntil < w.now):
			return
		default:
			cut++
		}
	}
	if cut > 0 && 2*cut >= len(w.roster.Members) {
		return
	}
	members, named := slices.Clone(w.roster.Members), w.isNamed(n, w.roster.Epoch)
	i := slices.Index(members, n.id)
	switch {
	case i >= 0 && !named:
		w.markUnclean() // the roster takes the new process for the earlier one
	case i >= 0 && len(members) == 1:
		return
	case i >= 0:
		members = slices.Delete(members, i, i+1)
		w.removeMember(n)
	default:
		members = append(members, n.id)
	}
	w.roster = Roster{DataCentre: "north", Epoch: w.roster.Epoch + 1, Members: members, Unclean: w.now < w.uncleanUntil}
	w.recordProcesses()
}

// removeMember ends a process that has nothing in flight or lent, which is a clean end, or lets it run on unnoticed.
func (w *simulation) removeMember(n *node) {
	if w.isRunning(n) && w.draw(2) == 0 && n.shares.Idle(w.localTime(n)) {
		w.cleanRemovals++
		w.startProcess(n)
		return
	}
	w.markUnclean()
	if w.draw(2) == 0 {
		n.partitionedUntil = w.now + 15*time.Second
	}
}

func (w *simulation) markUnclean() {
	if w.omitUnclean {
		return
	}
	c := DefaultSharesConfig("", "", 0)
	w.uncleanUntil = w.now + (c.ReuseDelay+simSpec.MaxRequest)*21/20 // clocks differ by up to 1%
}

// step makes one random move.
func (w *simulation) step() error {
	n := w.nodes[w.draw(len(w.nodes))]
	switch move := w.draw(64); {
	case move < 16:
		w.advance([]time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
			100 * time.Millisecond, 300 * time.Millisecond}[w.draw(6)])
		if peer := w.nodes[w.draw(5)]; w.isRunning(n) && peer != n && peer.centre == "north" {
			w.confirmRoster(n, peer)
		} else if w.isRunning(n) {
			w.confirmRoster(n, nil)
		}
	case move == 16 && w.draw(8) == 0:
		n.frozenUntil = w.now + []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 15 * time.Second}[w.draw(4)]
	case move == 17 && w.draw(8) == 0:
		n.partitionedUntil = w.now + []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 15 * time.Second}[w.draw(4)]
	case move == 18 && w.draw(16) == 0:
		w.changeRoster()
	case move == 19 && w.draw(64) == 0:
		w.startProcess(n)
	case !w.isRunning(n):
	case move < 32:
		n.demand = max(0, w.draw(8)-5)
		w.exchangeLoans(n)
	case move < 56:
		return w.acquire(n)
	default:
		w.release(n)
	}
	return nil
}
