package medlarnode

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// eventLog counts log events and calls a hook at the first of one kind.
type eventLog struct {
	mu     sync.Mutex
	counts map[string]int
	hookAt string
	hook   func()
}

func (l *eventLog) Write(line []byte) (int, error) {
	var event struct{ Event string }
	if err := json.Unmarshal(line, &event); err != nil {
		return 0, err
	}
	l.mu.Lock()
	l.counts[event.Event]++
	isFirst := l.counts[event.Event] == 1
	l.mu.Unlock()
	if isFirst && event.Event == l.hookAt {
		l.hook()
	}
	return len(line), nil
}

func (l *eventLog) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[event]
}

// newClaimingNode returns a node whose table refuses every transaction because the row of the claim is already stored, and
// that row.
func newClaimingNode(t *testing.T, log *eventLog) (*Node, medlartable.Row) {
	t.Helper()
	table := &claimTable{}
	n := newNodeOnTable(t, log, table.serve)
	stored := termRow(t, medlarownership.Term{Number: 2, Instance: "a", Address: "10.0.0.1:80", Process: n.process}, 9)
	table.set(stored)
	return n, stored
}

// TestClaimWithLostResponseStartsOneOwner guards against two owners of one term in one process: the table shows a claim
// whose response was lost to the follower and to the repeated claim at the same time.
func TestClaimWithLostResponseStartsOneOwner(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	log := &eventLog{counts: map[string]int{}, hookAt: "cell-claimed"}
	n, stored := newClaimingNode(t, log)
	first := medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Released: true}
	n.ownership.unresolved = &unresolvedClaim{
		term: medlarownership.Term{Number: 2, Instance: "a", Process: n.process}, claimedAt: n.clock.Now(),
	}
	n.observeOwnership(ctx, []medlartable.Row{termRow(t, first, 8)})
	log.hook = func() { n.observeOwnership(ctx, []medlartable.Row{stored}) }
	n.claimCell(ctx)
	if got := log.count("owner-started"); got != 1 {
		t.Errorf("owners started for one term: got %d, want 1", got)
	}
	if n.owner.Load() == nil {
		t.Error("the instance does not know that it owns the cell")
	}
}

// TestRepeatedClaimCountsFromFirstAttempt guards against orders by an owner whose cell another instance may already
// have claimed: the first attempt of a claim took effect, and a later one only found it in the table.
func TestRepeatedClaimCountsFromFirstAttempt(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n, _ := newClaimingNode(t, &eventLog{counts: map[string]int{}})
	firstAttempt := n.clock.Now().Add(-2 * time.Second)
	n.ownership.unresolved = &unresolvedClaim{
		term: medlarownership.Term{Number: 2, Instance: "a", Process: n.process}, claimedAt: firstAttempt,
	}
	first := medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Released: true}
	n.observeOwnership(ctx, []medlartable.Row{termRow(t, first, 8)})
	n.claimCell(ctx)
	owner := n.owner.Load()
	if owner == nil {
		t.Fatal("the claim that the table shows has started no owner")
	}
	if got := owner.ClaimedAt(); got.After(firstAttempt) {
		t.Errorf("authority counts from %v after the first attempt, want from that attempt", got.Sub(firstAttempt))
	}
}

// TestClaimOfStartedTermIsNotUnresolved guards against an instance that refuses promises because the response to its claim is
// lost only after the table has shown the claim and its owner was started.
func TestClaimOfStartedTermIsNotUnresolved(t *testing.T) {
	var s ownershipState
	claim := unresolvedClaim{term: medlarownership.Term{Number: 2}}
	if !s.beginTerm(claim.term.Number) {
		t.Fatal("the owner of a new term is not started")
	}
	if s.keepUnresolved(claim); s.unresolved != nil {
		t.Error("the claim counts as unresolved although its owner was started")
	}
}

// TestClaimOutrunByRenewalIsResolved guards against an owner that loses its authority in an outage, because an instance refuses every
// promise over a claim that can no longer take effect.
func TestClaimOutrunByRenewalIsResolved(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n := newNodeOnTable(t, &eventLog{counts: map[string]int{}}, (&claimTable{}).serve)
	owner := medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1"}
	n.observeOwnership(ctx, []medlartable.Row{termRow(t, owner, 8), renewalRow(t, 9)})
	next, transaction, err := n.ownership.monitor.Claim(medlarownership.Term{Instance: "a", Process: n.process}, "c0")
	if err != nil {
		t.Fatal(err)
	}
	n.ownership.keepUnresolved(unresolvedClaim{term: next, claimedAt: n.clock.Now(), required: transaction.Require})
	n.observeOwnership(ctx, []medlartable.Row{renewalRow(t, 9)})
	if n.grantPromise(owner.Number, 0) {
		t.Error("got a promise while the table may still carry out the claim")
	}
	n.observeOwnership(ctx, []medlartable.Row{renewalRow(t, 10)})
	if !n.grantPromise(owner.Number, 0) {
		t.Error("got no promise although the owner has renewed since the claim, which therefore cannot take effect")
	}
}

// TestClaimStoredWhileStoppingIsReleased guards against a cell without an owner until the renewals are missing, because an instance
// whose claim is on its way when it stops does not release the cell.
func TestClaimStoredWhileStoppingIsReleased(t *testing.T) {
	for stopAt, wantStarted := range map[string]int{"cell-claimed": 0, "owner-started": 1} {
		t.Run("stopped-at-"+stopAt, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			table := &claimTable{}
			before := termRow(t, medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Released: true}, 8)
			table.set(before)
			released := make(chan struct{})
			log := &eventLog{counts: map[string]int{}, hookAt: stopAt}
			n := newNodeOnTable(t, log, func(ctx *fasthttp.RequestCtx) {
				term, found := storedTerm(t, ctx)
				table.serve(ctx)
				switch {
				case !found || ctx.Response.StatusCode() != fasthttp.StatusOK:
				case term.Released:
					close(released)
				default:
					table.set(termRow(t, term, 9))
				}
			})
			log.hook = func() { n.stopping.Store(true) }
			n.observeOwnership(ctx, []medlartable.Row{before})
			n.claimAfterDelay(ctx, func() time.Duration { return 0 })
			select {
			case <-released:
			case <-time.After(5 * time.Second):
				t.Error("the cell was not released within 5 s")
			}
			if got := log.count("owner-started"); got != wantStarted {
				t.Errorf("owners started: got %d, want %d", got, wantStarted)
			}
		})
	}
}

// TestClaimSeenBeforeItsResponseCountsFromItself guards against tasks that run twice: the table shows a claim before its response comes,
// and the wait for workers that do not respond is counted from an attempt long before it.
func TestClaimSeenBeforeItsResponseCountsFromItself(t *testing.T) {
	for name, renewedSince := range map[string]bool{"owner-has-renewed-since-the-attempt": true, "attempt-may-take-effect": false} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var n *Node
			log := &eventLog{counts: map[string]int{}}
			shown := make(chan unresolvedClaim, 1)
			n = newNodeOnTable(t, log, func(request *fasthttp.RequestCtx) {
				term, found := storedTerm(t, request)
				if !found {
					request.SetBodyString(`{"ver":20,"rows":[]}`)
					return
				}
				n.ownership.mu.Lock()
				if n.ownership.unresolved != nil {
					shown <- *n.ownership.unresolved
				}
				n.ownership.mu.Unlock()
				n.observeOwnership(ctx, []medlartable.Row{termRow(t, term, 20)})
				request.SetBodyString(`{"ver":20}`)
			})
			owner := medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1"}
			n.observeOwnership(ctx, []medlartable.Row{termRow(t, owner, 8), renewalRow(t, 9)})
			claimedAt := n.clock.Now()
			attempt := unresolvedClaim{claimedAt: claimedAt.Add(-9 * time.Second), predecessor: medlarownership.Predecessor{Expired: true}}
			next, transaction, err := n.ownership.monitor.Claim(medlarownership.Term{Instance: "a", Process: n.process}, "c0")
			if err != nil {
				t.Fatal(err)
			}
			attempt.term, attempt.required = next, transaction.Require
			n.ownership.keepUnresolved(attempt)
			if renewedSince {
				n.observeOwnership(ctx, []medlartable.Row{renewalRow(t, 10)})
			}
			n.withMonitor(func(m *medlarownership.Monitor) { m.OwnerDied(m.Term()) })
			n.claimCell(ctx)
			if got := log.count("owner-started"); got != 1 {
				t.Fatalf("owners started: got %d, want 1", got)
			}
			select {
			case claim := <-shown:
				if until := claim.claimedAt.Add(claim.predecessor.Grace); until.Before(claimedAt) {
					t.Errorf("the wait is counted from %v before the claim, want from the claim on", claimedAt.Sub(until))
				}
			default:
				t.Error("the claim is not known while it is on its way")
			}
		})
	}
}

// hookClock runs a hook at one of its calls.
type hookClock struct {
	medlarwheel.Clock
	// calls is atomic because the owner that a claim starts reads the clock on other goroutines.
	calls  atomic.Int64
	hookAt int64
	hook   func()
}

func (c *hookClock) Now() time.Time {
	if c.calls.Add(1) == c.hookAt {
		c.hook()
	}
	return c.Clock.Now()
}

// claimTable is a table that holds the row of a claim, and accepts a transaction only if it requires that row.
type claimTable struct {
	mu     sync.Mutex
	stored medlartable.Row
	// replaced holds the versions of the row that accepted transactions have required.
	replaced []medlarwheel.RowVersion
}

func (t *claimTable) set(r medlartable.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stored = r
}

// hasReplaced reports whether a transaction was accepted that required the given version of the row.
func (t *claimTable) hasReplaced(version medlarwheel.RowVersion) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.replaced, version)
}

func (t *claimTable) serve(ctx *fasthttp.RequestCtx) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !ctx.IsPost() {
		ctx.SetBodyString(fmt.Sprintf(`{"ver":%d,"rows":[]}`, t.stored.Version))
		return
	}
	var body struct {
		Precondition []struct {
			Key string
			Ver medlarwheel.RowVersion
		}
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	for _, p := range body.Precondition {
		if p.Key == t.stored.Key && p.Ver != t.stored.Version {
			ctx.SetStatusCode(fasthttp.StatusPreconditionFailed)
			ctx.SetBodyString(fmt.Sprintf(`{"ver":%d,"rows":[{"table":%q,"part":%q,"key":%q,"ver":%d,"value":%q}]}`, t.stored.Version,
				t.stored.Table, t.stored.Part, t.stored.Key, t.stored.Version, base64.StdEncoding.EncodeToString(t.stored.Value)))
			return
		}
	}
	for _, p := range body.Precondition {
		if p.Key == t.stored.Key {
			t.replaced = append(t.replaced, p.Ver)
		}
	}
	ctx.SetBodyString(fmt.Sprintf(`{"ver":%d}`, t.stored.Version+1))
}

// TestClaimDoesNotReplaceClaimSeenMeanwhile guards against two owners of one term: the claim of another instance becomes known
// between the decision to claim the cell and the claim.
func TestClaimDoesNotReplaceClaimSeenMeanwhile(t *testing.T) {
	for hookAt := int64(1); hookAt <= 10; hookAt++ {
		t.Run(fmt.Sprintf("seen-at-call-%d-of-the-clock", hookAt), func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			table := &claimTable{}
			n := newNodeOnTable(t, &eventLog{counts: map[string]int{}}, table.serve)
			released := termRow(t, medlarownership.Term{Number: 1, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Released: true}, 8)
			table.set(released)
			n.observeOwnership(ctx, []medlartable.Row{released})
			clock := &hookClock{Clock: n.clock, hookAt: hookAt}
			clock.hook = func() {
				if !n.ownership.mu.TryLock() {
					// The claim is being prepared, so that the follower has to wait.
					return
				}
				n.ownership.mu.Unlock()
				other := termRow(t, medlarownership.Term{Number: 2, Instance: "c", Address: "10.0.0.3:80", Process: "c-1"}, 9)
				table.set(other)
				n.observeOwnership(ctx, []medlartable.Row{other})
			}
			n.clock = clock
			n.claimAfterDelay(ctx, func() time.Duration { return 0 })
			if table.hasReplaced(9) {
				t.Error("the instance has replaced the claim of a live owner")
			}
		})
	}
}

// TestOlderClaimDoesNotHideNewerOne guards against an instance that asks and watches an earlier owner: two goroutines have seen different
// claims, and the one with the older claim records it last.
func TestOlderClaimDoesNotHideNewerOne(t *testing.T) {
	const claims, rounds = 4, 20000
	for range rounds {
		n := &Node{log: zerolog.Nop()}
		var group sync.WaitGroup
		for version := range medlarwheel.RowVersion(claims) {
			group.Go(func() {
				n.setTerm(t.Context(), medlarownership.Term{Number: uint64(version) + 1, Instance: n.config.Settings.Instance, Version: version + 1})
			})
		}
		group.Wait()
		if got := n.term.Load().Version; got != claims {
			t.Fatalf("version of the known claim: got %d, want that of the last one, %d", got, claims)
		}
	}
}

// TestNewInstanceGrantsGraceAfterLateClaim guards against a second run of a task: the claim of a process that has ended is carried out
// late, and its predecessor, which still acts on promises, has not asked this instance for one.
func TestNewInstanceGrantsGraceAfterLateClaim(t *testing.T) {
	const registeredFor = 3 * time.Second
	ownership := medlarownership.DefaultConfig()
	promise := ownership.PromiseDuration()
	never := medlarownership.Term{Number: 2, Instance: "b", Address: "10.0.0.2:80", Process: "b-1"}
	own, first, released := never, never, never
	own.Instance, first.Number, released.Released = "a", 1, true
	for name, test := range map[string]struct {
		term       medlarownership.Term
		renewed    bool
		registered time.Duration
		runsFor    time.Duration
		want       time.Duration
	}{
		"owner-never-renewed":      {never, false, registeredFor, registeredFor, minRegistrationTime - registeredFor},
		"released-without-renewal": {released, false, registeredFor, registeredFor, minRegistrationTime - registeredFor},
		"owner-has-renewed":        {never, true, registeredFor, registeredFor, 0},
		"instance-was-asked":       {never, false, minRegistrationTime, minRegistrationTime, 0},
		"claim-of-earlier-process": {own, false, registeredFor, promise, 0},
		"earlier-process-promised": {own, false, 0, promise / 2, promise / 2},
		"owner-had-no-predecessor": {first, false, registeredFor, registeredFor, 0},
		"registered-just-now":      {never, false, 0, 0, minRegistrationTime},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNodeOnTable(t, &eventLog{counts: map[string]int{}}, (&claimTable{}).serve)
			now := n.clock.Now()
			n.started = now.Add(-test.runsFor)
			for _, age := range []time.Duration{test.registered, test.registered / 2} {
				n.registration.recordRenewal(now.Add(-age), now.Add(-age))
			}
			rows := []medlartable.Row{renewalRow(t, 9), termRow(t, test.term, 12)}
			if test.renewed {
				row, err := medlarownership.RenewalRow("c0", medlarownership.Renewal{Timeout: time.Second, Term: test.term.Number})
				if err != nil {
					t.Fatal(err)
				}
				row.Version = 13
				rows = append(rows, row)
			}
			if test.term.Number == 1 {
				rows = rows[1:]
			}
			n.withMonitor(func(m *medlarownership.Monitor) {
				if err := m.Observe(now, rows); err != nil {
					t.Fatal(err)
				}
				m.OwnerDied(m.Term())
			})
			claim, ok, err := n.prepareClaim()
			if !ok || err != nil {
				t.Fatalf("the instance does not claim a cell whose owner has ended: %v", err)
			}
			if got := claim.predecessor.Grace; got > test.want || got < test.want-min(time.Second, test.want/2) {
				t.Errorf("grace of an owner that has not asked this instance: got %v, want %v", got, test.want)
			}
			if claim.term.Grace != claim.predecessor.Grace {
				t.Errorf("grace in the claim: got %v, want %v", claim.term.Grace, claim.predecessor.Grace)
			}
		})
	}
}

// TestRestartedInstanceGrantsGraceForForgottenPromise guards against a second run of a task: the late claim of an earlier process of this
// instance is carried out, and the process in between has promised the owner before it not to claim the cell.
func TestRestartedInstanceGrantsGraceForForgottenPromise(t *testing.T) {
	table := &claimTable{}
	owner := medlarownership.Term{Number: 1, Instance: "c", Address: "10.0.0.3:80", Process: "c-1"}
	late := medlarownership.Term{Number: 2, Instance: "a", Address: "10.0.0.1:80", Process: "a-1"}
	second := newNodeOnTable(t, &eventLog{counts: map[string]int{}}, table.serve)
	second.observeOwnership(t.Context(), []medlartable.Row{termRow(t, owner, 8), renewalRow(t, 9)})
	if !second.grantPromise(owner.Number, 0) {
		t.Fatal("the instance refuses a promise to the owner")
	}
	promisedAt := second.clock.Now()
	third := newNodeOnTable(t, &eventLog{counts: map[string]int{}}, table.serve)
	third.observeOwnership(t.Context(), []medlartable.Row{termRow(t, late, 12), renewalRow(t, 9)})
	claim, ok, err := third.prepareClaim()
	if !ok || err != nil {
		t.Fatalf("the instance does not claim a cell whose owner has ended: %v", err)
	}
	c := third.config.Owner.Ownership
	if end := claim.claimedAt.Add(claim.predecessor.Grace); end.Before(promisedAt.Add(c.OwnerTimeout)) {
		t.Errorf("grace of the owner that the promise lets go on: ends %v after the promise, want at least %v", end.Sub(promisedAt), c.OwnerTimeout)
	}
}

// termRow returns the row of a claim.
func termRow(t *testing.T, term medlarownership.Term, version medlarwheel.RowVersion) medlartable.Row {
	t.Helper()
	value, err := json.Marshal(term)
	if err != nil {
		t.Fatal(err)
	}
	return medlartable.Row{Table: medlarownership.Table, Part: "c0", Key: medlarownership.KeyTerm, Value: value, Version: version}
}

// storedTerm returns the claim or release that a request stores, if any.
func storedTerm(t *testing.T, ctx *fasthttp.RequestCtx) (term medlarownership.Term, found bool) {
	t.Helper()
	if !ctx.IsPost() {
		return term, false
	}
	var body struct {
		Puts []struct {
			Key   string
			Value []byte
		}
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil {
		t.Error(err)
	}
	for _, put := range body.Puts {
		if put.Key == medlarownership.KeyTerm {
			if err := json.Unmarshal(put.Value, &term); err != nil {
				t.Error(err)
			}
			return term, true
		}
	}
	return term, false
}

// renewalRow returns the row of a renewal.
func renewalRow(t *testing.T, version medlarwheel.RowVersion) medlartable.Row {
	t.Helper()
	row, err := medlarownership.RenewalRow("c0", medlarownership.Renewal{Timeout: time.Second, Term: 1})
	if err != nil {
		t.Fatal(err)
	}
	row.Version = version
	return row
}

// newNodeOnTable returns a node whose table is served by the handler.
func newNodeOnTable(t *testing.T, log *eventLog, table fasthttp.RequestHandler) *Node {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	c := DefaultConfig(platform.Settings{
		Instance: "a", Peer: "10.0.0.1:80", StoreAddress: listener.Addr().String(), MaxLease: 10 * time.Second,
	})
	// No call times out on a busy machine.
	c.StoreTimeout = time.Minute
	n, err := New(c, zerolog.New(log), medlarmetrics.New())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = fasthttp.Serve(listener, table) }()
	return n
}
