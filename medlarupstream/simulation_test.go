package medlarupstream

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel"
)

// simulation runs the Shares of several instances over a network that loses, delays and duplicates messages. Every instance
// has a clock with its own offset and rate, and may freeze or restart. draw makes all random choices.
type simulation struct {
	draw   func(n int) int
	config func(*SharesConfig)
	now    time.Duration
	nodes  []*node
	roster Roster // as stored in the platform's table
	// rosterProcesses holds the processes that the roster of each epoch names.
	rosterProcesses map[medlarwheel.Epoch]map[medlarwheel.InstanceID]medlarwheel.Incarnation
	// uncleanUntil is the time at which the last process that was removed uncleanly has certainly stopped using slots.
	uncleanUntil time.Duration
	// omitUnclean and claimDrained are injected faults: rosters that are not marked Unclean after an unclean removal, and
	// members that report that they are drained when they are not.
	omitUnclean, claimDrained bool
	messages                  []message
	requests                  []request
	// Event counts, which show that the simulation covers the cases that it is meant to cover.
	loans, rosterChanges, full, drained, cleanRemovals int
}

type node struct {
	id          medlarwheel.InstanceID
	dataCentre  medlarwheel.DataCentreID
	shares      *Shares
	incarnation medlarwheel.Incarnation
	offset      time.Duration
	rate        float64
	// A frozen node does nothing. A partitioned node neither sends nor receives messages.
	frozenUntil      time.Duration
	partitionedUntil time.Duration
	roster           Roster
	requests         []request
	// released is a permit that has already been released.
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
	// deadline is the deadline in simulated true time.
	deadline time.Duration
}

var simUpstreams = []medlarwheel.UpstreamID{"u1"}

var simSpec = Spec{Slots: 2, Connections: 16, MaxRequest: 4 * time.Second}

func newSimulation(draw func(n int) int, config func(*SharesConfig)) *simulation {
	sim := &simulation{draw: draw, config: config}
	for i := range 5 {
		n := &node{id: medlarwheel.InstanceID(fmt.Sprint("n", i)), dataCentre: "north",
			offset: time.Duration(draw(1000)) * time.Second, rate: 1 + float64(draw(21)-10)/1000}
		if i == 4 {
			n.dataCentre = "south" // not a member, only borrows
		}
		sim.nodes = append(sim.nodes, n)
	}
	sim.roster = Roster{DataCentre: "north", Epoch: 1, Members: []medlarwheel.InstanceID{"n0", "n1", "n2"}, First: true}
	sim.rosterProcesses = map[medlarwheel.Epoch]map[medlarwheel.InstanceID]medlarwheel.Incarnation{}
	for _, n := range sim.nodes {
		sim.startProcess(n)
	}
	sim.recordProcesses()
	for _, n := range sim.nodes {
		sim.applyRoster(n, sim.roster)
	}
	sim.roster.First = false
	return sim
}

// startProcess starts a new process of n.
func (sim *simulation) startProcess(n *node) {
	n.incarnation++
	c := DefaultSharesConfig(n.id, n.dataCentre, n.incarnation)
	sim.config(&c)
	n.shares, n.requests, n.roster, n.demand = NewShares(c), nil, Roster{}, 0
	for _, id := range simUpstreams {
		n.shares.SetUpstream(sim.localTime(n), medlarwheel.Upstream{ID: id, Service: "s", DataCentre: "north"}, simSpec)
	}
}

// recordProcesses records the processes that the current roster names.
func (sim *simulation) recordProcesses() {
	named := map[medlarwheel.InstanceID]medlarwheel.Incarnation{}
	for _, n := range sim.nodes {
		if slices.Contains(sim.roster.Members, n.id) {
			named[n.id] = n.incarnation
		}
	}
	sim.rosterProcesses[sim.roster.Epoch] = named
}

// isNamed reports whether the roster of the epoch names the current process of n, or no process of n.
func (sim *simulation) isNamed(n *node, epoch medlarwheel.Epoch) bool {
	incarnation, ok := sim.rosterProcesses[epoch][n.id]
	return !ok || incarnation == n.incarnation
}

func (sim *simulation) localTime(n *node) time.Time {
	return time.Unix(1_700_000_000, 0).Add(n.offset + time.Duration(float64(sim.now)*n.rate))
}

func (sim *simulation) isRunning(n *node) bool { return sim.now >= n.frozenUntil }

// send schedules a message for delivery once, twice or not at all, with a random delay. A nil node is the platform.
func (sim *simulation) send(from, to *node, deliver func()) {
	if (from != nil && from.partitionedUntil > sim.now) || (to != nil && to.partitionedUntil > sim.now) {
		return
	}
	for range []int{1, 1, 1, 1, 1, 1, 0, 2}[sim.draw(8)] {
		delay := []time.Duration{0, 0, 10, 30, 200, 1000}[sim.draw(6)] * time.Millisecond
		m := message{at: sim.now + delay, to: to, deliver: deliver}
		if to != nil {
			m.process = to.incarnation
		}
		sim.messages = append(sim.messages, m)
	}
}

// advance advances the true time and delivers the messages that are due. Those to a frozen node wait until it runs again.
func (sim *simulation) advance(d time.Duration) {
	until := sim.now + d
	for {
		slices.SortStableFunc(sim.messages, func(a, b message) int { return int(a.at - b.at) })
		i := slices.IndexFunc(sim.messages, func(m message) bool { return m.at <= until && (m.to == nil || m.to.frozenUntil <= until) })
		if i < 0 {
			break
		}
		m := sim.messages[i]
		sim.messages = slices.Delete(sim.messages, i, i+1)
		sim.now = max(sim.now, m.at)
		if m.to != nil {
			sim.now = max(sim.now, m.to.frozenUntil)
		}
		if m.to == nil || m.process == m.to.incarnation {
			m.deliver()
		}
	}
	sim.now = until
	sim.requests = slices.DeleteFunc(sim.requests, func(r request) bool { return r.deadline <= sim.now })
}

// applyRoster passes a roster to n. If the roster names an earlier process of n, it hides the membership of n.
func (sim *simulation) applyRoster(n *node, r Roster) {
	if r.Epoch > n.roster.Epoch {
		if n.roster.Epoch > 0 {
			sim.rosterChanges++
		}
		n.roster = r
	}
	if !sim.isNamed(n, r.Epoch) {
		r.Members = slices.Clone(r.Members)
		r.Members[slices.Index(r.Members, n.id)] = n.id + "-earlier"
	}
	n.shares.SetRoster(sim.localTime(n), r)
	if n.shares.roster.drained && r.Epoch > 1 {
		sim.drained++
	}
}

// confirmRoster requests the roster and a confirmation from a peer or the platform.
func (sim *simulation) confirmRoster(n, peer *node) {
	sent := sim.localTime(n)
	sim.send(n, peer, func() {
		c, r, named := Confirmation{Epoch: sim.roster.Epoch, Sent: sent}, sim.roster, true
		if peer != nil {
			c = Confirmation{Peer: peer.id, Epoch: peer.roster.Epoch, Isolated: peer.shares.Isolated(sim.localTime(peer)),
				Drained: sim.claimDrained || peer.shares.Drained(sim.localTime(peer)), Sent: sent}
			r, named = peer.roster, sim.isNamed(peer, peer.roster.Epoch)
		}
		sim.send(peer, n, func() {
			r.First = false
			sim.applyRoster(n, r)
			if named {
				n.shares.HandleConfirmation(sim.localTime(n), c)
			}
		})
	})
}

// exchangeLoans sends the loan requests, renewal requests and returns of n.
func (sim *simulation) exchangeLoans(n *node) {
	call := func(id medlarwheel.InstanceID, serve func(lender *node, now time.Time) func(now time.Time)) {
		i := slices.IndexFunc(sim.nodes, func(o *node) bool { return o.id == id })
		if i < 0 {
			return // an earlier process, which cannot be reached
		}
		lender := sim.nodes[i]
		sim.send(n, lender, func() {
			handleResponse := serve(lender, sim.localTime(lender))
			sim.send(lender, n, func() { handleResponse(sim.localTime(n)) })
		})
	}
	n.shares.SetDemand(sim.localTime(n), "s", n.demand, time.Duration(1+sim.draw(6))*time.Second)
	for _, r := range n.shares.NextLoanRequests(sim.localTime(n)) {
		call(r.Lender, func(lender *node, now time.Time) func(time.Time) {
			response := lender.shares.Lend(now, n.id, r)
			sim.loans += len(response.Loans)
			return func(now time.Time) { n.shares.HandleLoanResponse(now, response) }
		})
	}
	for _, r := range n.shares.NextRenewalRequests(sim.localTime(n)) {
		call(r.Lender, func(lender *node, now time.Time) func(time.Time) {
			response := lender.shares.Renew(now, n.id, r)
			return func(now time.Time) { n.shares.HandleRenewalResponse(now, response) }
		})
	}
	for _, r := range n.shares.NextReturns(sim.localTime(n)) {
		call(r.Lender, func(lender *node, now time.Time) func(time.Time) {
			lender.shares.Return(now, n.id, r)
			return func(time.Time) {}
		})
	}
}

// acquire starts a request and returns an error if the upstream then has more requests in flight than slots.
func (sim *simulation) acquire(n *node) error {
	id := simUpstreams[sim.draw(len(simUpstreams))]
	remaining := time.Duration(200*(1+sim.draw(24))) * time.Millisecond
	if loans := n.shares.sortedBorrowed(); len(loans) > 0 && sim.draw(2) == 0 {
		remaining = loans[0].latestDeadline.Sub(sim.localTime(n)) // the latest that the loan allows
	}
	p, ok := n.shares.Acquire(sim.localTime(n), id, sim.localTime(n).Add(remaining))
	if !ok {
		return nil
	}
	r := request{node: n, permit: p, upstream: id, deadline: sim.now + time.Duration(float64(remaining)/n.rate)}
	sim.requests, n.requests = append(sim.requests, r), append(n.requests, r)
	inFlight := 0
	for _, o := range sim.requests {
		if o.upstream == id {
			inFlight++
		}
	}
	if inFlight == int(simSpec.Slots) {
		sim.full++
	}
	if inFlight > int(simSpec.Slots) {
		return fmt.Errorf("%v: %d requests in flight at %s, which has %d slots", sim.now, inFlight, id, simSpec.Slots)
	}
	return nil
}

// release ends the requests of n that are past their deadline, and sometimes another one. It also releases an old
// permit again.
func (sim *simulation) release(n *node) {
	early := sim.draw(3 * (len(n.requests) + 1))
	n.shares.Release(sim.localTime(n), n.released)
	n.requests = slices.DeleteFunc(n.requests, func(r request) bool {
		early--
		if r.deadline > sim.now && early != 0 {
			return false
		}
		sim.requests = slices.DeleteFunc(sim.requests, func(o request) bool { return o.permit == r.permit })
		n.shares.Release(sim.localTime(n), r.permit)
		n.released = r.permit
		return true
	})
}

// changeRoster adds or removes one member in the platform's table. It does nothing until the running members have seen the
// last change, except for a minority that is partitioned, and until a sole member has seen it in any case.
func (sim *simulation) changeRoster() {
	n, partitioned := sim.nodes[sim.draw(4)], 0
	for _, o := range sim.nodes[:4] {
		switch {
		case !slices.Contains(sim.roster.Members, o.id) || o.roster.Epoch == sim.roster.Epoch:
		case len(o.roster.Members) == 1 || (sim.isRunning(o) && o.partitionedUntil < sim.now):
			return
		default:
			partitioned++
		}
	}
	if partitioned > 0 && 2*partitioned >= len(sim.roster.Members) {
		return
	}
	members, named := slices.Clone(sim.roster.Members), sim.isNamed(n, sim.roster.Epoch)
	i := slices.Index(members, n.id)
	switch {
	case i >= 0 && !named:
		sim.markUnclean() // the new process replaces the earlier one in the roster
	case i >= 0 && len(members) == 1:
		return
	case i >= 0:
		members = slices.Delete(members, i, i+1)
		sim.removeMember(n)
	default:
		members = append(members, n.id)
	}
	sim.roster = Roster{DataCentre: "north", Epoch: sim.roster.Epoch + 1, Members: members, Unclean: sim.now < sim.uncleanUntil}
	sim.recordProcesses()
}

// removeMember removes a member either cleanly, by ending a process that has nothing in flight or lent, or uncleanly, by
// letting the process continue.
func (sim *simulation) removeMember(n *node) {
	if sim.isRunning(n) && sim.draw(2) == 0 && n.shares.Idle(sim.localTime(n)) {
		sim.cleanRemovals++
		sim.startProcess(n)
		return
	}
	sim.markUnclean()
	if sim.draw(2) == 0 {
		n.partitionedUntil = sim.now + 15*time.Second
	}
}

func (sim *simulation) markUnclean() {
	if sim.omitUnclean {
		return
	}
	c := DefaultSharesConfig("", "", 0)
	sim.uncleanUntil = sim.now + (c.ReuseDelay+simSpec.MaxRequest)*21/20 // clocks differ by up to 1%
}

// step performs one random operation.
func (sim *simulation) step() error {
	n := sim.nodes[sim.draw(len(sim.nodes))]
	switch choice := sim.draw(64); {
	case choice < 16:
		sim.advance([]time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
			100 * time.Millisecond, 300 * time.Millisecond}[sim.draw(6)])
		if peer := sim.nodes[sim.draw(5)]; sim.isRunning(n) && peer != n && peer.dataCentre == "north" {
			sim.confirmRoster(n, peer)
		} else if sim.isRunning(n) {
			sim.confirmRoster(n, nil)
		}
	case choice == 16 && sim.draw(8) == 0:
		n.frozenUntil = sim.now + []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 15 * time.Second}[sim.draw(4)]
	case choice == 17 && sim.draw(8) == 0:
		n.partitionedUntil = sim.now + []time.Duration{time.Second, 5 * time.Second, 9 * time.Second, 15 * time.Second}[sim.draw(4)]
	case choice == 18 && sim.draw(16) == 0:
		sim.changeRoster()
	case choice == 19 && sim.draw(64) == 0:
		sim.startProcess(n)
	case !sim.isRunning(n):
	case choice < 32:
		n.demand = max(0, sim.draw(8)-5)
		sim.exchangeLoans(n)
	case choice < 56:
		return sim.acquire(n)
	default:
		sim.release(n)
	}
	return nil
}
