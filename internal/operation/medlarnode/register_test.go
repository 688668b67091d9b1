package medlarnode

import (
	"testing"
	"time"

	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/scheduling/medlarowner"
	"medlarwheel/internal/state/medlarinstance"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// TestAuthorityExtensionNeedsPromiseFromEveryPeer guards against two owners: one that goes on without the table, and one that it has not
// asked.
func TestAuthorityExtensionNeedsPromiseFromEveryPeer(t *testing.T) {
	a := promiseReply{peer: medlarinstance.Instance{ID: "a"}, promised: true}
	b := promiseReply{peer: medlarinstance.Instance{ID: "b"}, promised: true}
	silent := promiseReply{peer: medlarinstance.Instance{ID: "c"}}
	for name, c := range map[string]struct {
		answers []promiseReply
		age     time.Duration
		want    bool
	}{
		"all have promised": {answers: []promiseReply{a, b}, want: true},
		"one is silent":     {answers: []promiseReply{a, silent, b}},
		"nobody was asked":  {},
		"old register":      {answers: []promiseReply{a, b}, age: maxTrustedRegistryAge + time.Second},
	} {
		if _, got := canExtendAuthority(c.answers, c.age); got != c.want {
			t.Errorf("%s: extended %v, want %v", name, got, c.want)
		}
	}
}

// TestNewlyRegisteredInstanceDoesNotClaim guards against a claim by an instance that the owner's register does not name yet, or no more.
func TestNewlyRegisteredInstanceDoesNotClaim(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var g registration
	if g.isContinuousFor(start, minRegistrationTime) {
		t.Error("established without a registration")
	}
	renew := func(at time.Duration) { g.recordRenewal(start.Add(at), start.Add(at)) }
	renew(0)
	renew(5 * time.Second)
	if g.isContinuousFor(start.Add(maxTrustedRegistryAge), minRegistrationTime) {
		t.Error("established while an owner may have read the register before")
	}
	if !g.isContinuousFor(start.Add(minRegistrationTime), minRegistrationTime) {
		t.Error("not established after the time that an owner trusts its register")
	}
	if g.isContinuousFor(start.Add(15*time.Second), minRegistrationTime) {
		t.Error("established 10 s after the last renewal")
	}
	renew(20 * time.Second)
	if g.isContinuousFor(start.Add(21*time.Second), minRegistrationTime) {
		t.Error("established at once after a gap")
	}
}

// TestOwnerOrClaimantRefusesPromise guards against a promise of an instance that owns the cell itself, or may own it at any moment.
// An owner that comes back from a partition would otherwise go on beside its successor.
func TestOwnerOrClaimantRefusesPromise(t *testing.T) {
	node := func() *Node {
		n := &Node{clock: bootClock(t), ownership: ownershipState{watch: medlarownership.NewMonitor(medlarownership.DefaultConfig())}}
		claim, err := n.ownership.watch.Claim(medlarownership.Term{Number: 2, Instance: "a", Address: "10.0.0.1:80", Process: "a-1"}, "c0")
		if err != nil {
			t.Fatal(err)
		}
		row := claim.Put[0]
		row.Version = 9
		if err := n.ownership.watch.Observe(n.clock.Now(), []medlartable.Row{row}); err != nil {
			t.Fatal(err)
		}
		return n
	}
	if n := node(); !n.grantPromise(2, 0) || n.grantPromise(1, 0) {
		t.Error("no promise to the present owner, or one to an owner before it")
	}
	owning := node()
	owning.owner.Store(&medlarowner.Owner{})
	if owning.grantPromise(2, 0) {
		t.Error("an instance that owns the cell has promised not to claim it")
	}
	claiming := node()
	claiming.ownership.claimLock.Lock()
	if claiming.grantPromise(2, 0) {
		t.Error("an instance whose claim is on its way has promised not to claim the cell")
	}
	unsure := node()
	unsure.ownership.unresolved = &unresolvedClaim{}
	if unsure.grantPromise(2, 0) {
		t.Error("an instance whose claim may still be carried out has promised not to claim the cell")
	}
}

// bootClock returns the clock of an instance.
func bootClock(t *testing.T) *medlarclock.BootClock {
	t.Helper()
	c, err := medlarclock.NewBootClock()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestPromiseRequestRecordsOutageLease guards against a successor that starts tasks again while the leases of an outage last: the
// question for the promise is where it learns of them, also if it can't promise.
func TestPromiseRequestRecordsOutageLease(t *testing.T) {
	n := &Node{clock: bootClock(t), ownership: ownershipState{watch: medlarownership.NewMonitor(medlarownership.DefaultConfig())}}
	claim, err := n.ownership.watch.Claim(medlarownership.Term{Number: 2, Instance: "a", Address: "10.0.0.1:80", Process: "a-1"}, "c0")
	if err != nil {
		t.Fatal(err)
	}
	claim.Put[0].Version = 9
	if err := n.ownership.watch.Observe(n.clock.Now(), claim.Put[:1]); err != nil {
		t.Fatal(err)
	}
	const lease = 8 * time.Second
	if n.grantPromise(1, lease) {
		t.Error("a promise to an owner before the present one")
	}
	now := n.clock.Now()
	if got := n.ownership.watch.Predecessor(now, true).OutageLeases; got < lease {
		t.Errorf("leases of %v are known to the successor, want %v at least", got, lease)
	}
	if got := n.ownership.watch.Predecessor(now.Add(2*lease), true).OutageLeases; got != 0 {
		t.Errorf("leases of %v are known after they have ended", got)
	}
}

// TestSlowTableCountsAsReachable guards against a change of owner because a slow table has answered another instance in time and
// not the owner, and against an owner that stays although the table answers others only.
func TestSlowTableCountsAsReachable(t *testing.T) {
	for name, c := range map[string]struct {
		readInTime bool
		age        time.Duration
		want       bool
	}{
		"fast table":                 {readInTime: true, age: 10 * time.Millisecond, want: true},
		"table forty times slower":   {age: 650 * time.Millisecond, want: true},
		"table that refuses":         {age: time.Second},
		"table that answers again":   {readInTime: true, age: 5 * time.Second, want: true},
		"just before the time ends":  {age: maxReachableTableAge},
		"connection has gone silent": {age: 2 * time.Second},
	} {
		if got := isTableReachable(c.readInTime, c.age); got != c.want {
			t.Errorf("%s: served %v, want %v", name, got, c.want)
		}
	}
	if maxReachableTableAge >= medlarownership.DefaultConfig().OwnerTimeout {
		t.Error("an owner that the table refuses keeps the cell until its time ends")
	}
}

// TestClaimSlotFollowsReadLatency guards against claims that queue in front of the renewals of a new owner on a slow table, and against a cell
// that stays without an owner.
func TestClaimSlotFollowsReadLatency(t *testing.T) {
	for _, c := range []struct{ read, want time.Duration }{
		{read: 4 * time.Millisecond, want: minClaimSlot},
		{read: 80 * time.Millisecond, want: 160 * time.Millisecond},
		{read: time.Second, want: maxClaimSlot},
	} {
		if got := claimSlot(c.read); got != c.want {
			t.Errorf("read of %v: slot of %v, want %v", c.read, got, c.want)
		}
	}
}

// stepClock advances by the next step with each look at it.
type stepClock struct {
	now   time.Time
	steps []time.Duration
	reads int
}

func (c *stepClock) Now() time.Time {
	c.now = c.now.Add(c.steps[c.reads%len(c.steps)])
	c.reads++
	return c.now
}

// TestCPUProbeTellsThrottlingFromLoad guards against an owner that leaves the cell in a burst of work, which the next owner would do as
// well, and against one that stays on a slowed machine.
func TestCPUProbeTellsThrottlingFromLoad(t *testing.T) {
	const usual = 30 * time.Microsecond
	clock := &stepClock{steps: []time.Duration{0, usual}}
	s := newCPUProbe(clock)
	// Two of three tries are interrupted by other goroutines.
	clock.steps, clock.reads = []time.Duration{0, 10 * time.Millisecond, 0, usual, 0, 20 * time.Millisecond}, 0
	if s.isThrottled() {
		t.Error("a loaded machine counts as slowed")
	}
	clock.steps, clock.reads = []time.Duration{0, 5 * usual}, 0
	if !s.isThrottled() {
		t.Error("a machine that works at a fifth of its speed does not count as slowed")
	}
	clock.steps, clock.reads = []time.Duration{0, usual}, 0
	if s.isThrottled() {
		t.Error("a machine that has its speed again still counts as slowed")
	}
}
