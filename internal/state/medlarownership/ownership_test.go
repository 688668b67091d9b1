package medlarownership

import (
	"encoding/json"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

var start = time.Unix(1_700_000_000, 0)

func termRow(t *testing.T, term Term) medlartable.Row {
	t.Helper()
	value, err := json.Marshal(term)
	if err != nil {
		t.Fatal(err)
	}
	return medlartable.Row{Table: Table, Part: "c0", Key: KeyTerm, Value: value, Version: term.Version}
}

func newTestMonitor(t *testing.T) *Monitor {
	t.Helper()
	m := NewMonitor(DefaultConfig())
	if m.ShouldClaim(start) {
		t.Fatal("ShouldClaim is true before the table has been read")
	}
	term := Term{Number: 3, Instance: "a", Address: "10.0.0.1:80", Process: "a-1", Version: 50}
	if err := m.Observe(start, []medlartable.Row{termRow(t, term)}); err != nil {
		t.Fatal(err)
	}
	return m
}

// observeFor feeds the monitor responses without changes for the given time.
func observeFor(t *testing.T, m *Monitor, from time.Time, d, step time.Duration) time.Time {
	t.Helper()
	for now := from.Add(step); !now.After(from.Add(d)); now = now.Add(step) {
		if err := m.Observe(now, nil); err != nil {
			t.Fatal(err)
		}
	}
	return from.Add(d)
}

// TestClaimsAfterMissedRenewals guards against a cell that stays without an owner, and against a claim while the owner may
// still send orders.
func TestClaimsAfterMissedRenewals(t *testing.T) {
	m := newTestMonitor(t)
	c := DefaultConfig()
	now := observeFor(t, m, start, c.OwnerTimeout, 100*time.Millisecond)
	if m.ShouldClaim(now) {
		t.Fatalf("ShouldClaim is true %v after the last renewal, while the owner may send orders", c.OwnerTimeout)
	}
	observeFor(t, m, now, c.ClaimMargin+100*time.Millisecond, 100*time.Millisecond)
	if !m.ShouldClaim(now) {
		t.Fatalf("ShouldClaim is false although the last renewal is older than %v", c.OwnerTimeout+c.ClaimMargin)
	}
}

// TestTableOutageDoesNotCountAsMissedRenewals guards against a change of owner after every outage of the table, during
// which no owner can renew.
func TestTableOutageDoesNotCountAsMissedRenewals(t *testing.T) {
	m := newTestMonitor(t)
	if err := m.Observe(start.Add(10*time.Second), nil); err != nil {
		t.Fatal(err)
	}
	if m.ShouldClaim(start) {
		t.Fatal("ShouldClaim is true at the first response after an outage of the table")
	}
}

// TestPromiseBlocksClaimUntilOwnerProcessEnds guards against a claim while the owner continues without the table because
// all other instances have promised not to claim the cell, and against a promise that outlives the owner.
func TestPromiseBlocksClaimUntilOwnerProcessEnds(t *testing.T) {
	c := DefaultConfig()
	m := newTestMonitor(t)
	if m.Promise(start, 2) {
		t.Error("promised to the owner of earlier term 2, want no promise")
	}
	now := observeFor(t, m, start, c.OwnerTimeout+c.ClaimMargin, 100*time.Millisecond)
	if !m.ShouldClaim(now) || !m.Promise(now, m.Term().Number) {
		t.Fatal("after the timeout: want ShouldClaim true and then a promise to the current owner")
	}
	m.OwnerSuspected(m.Term())
	if m.ShouldClaim(now.Add(c.OwnerTimeout)) {
		t.Error("ShouldClaim is true before the promise has expired")
	}
	if !m.ShouldClaim(now.Add(c.OwnerTimeout + c.ClaimMargin + time.Millisecond)) {
		t.Error("ShouldClaim is false after the promise has expired")
	}
	m.OwnerDied(m.Term())
	if !m.ShouldClaim(now) || m.Promise(now, m.Term().Number) {
		t.Error("the promise is still in force, or was given again, after the owner's process has ended")
	}
}

// TestClaimsAtOnceAfterReleaseOrProcessEnd guards against a cell that stays without an owner for seconds after a planned
// stop or a killed process.
func TestClaimsAtOnceAfterReleaseOrProcessEnd(t *testing.T) {
	m := newTestMonitor(t)
	m.OwnerDied(Term{Number: 2, Process: "b-1"})
	if m.ShouldClaim(start) {
		t.Fatal("ShouldClaim is true after the end of an earlier owner's process")
	}
	m.OwnerDied(m.Term())
	if !m.ShouldClaim(start) || m.Promise(start, 3) {
		t.Fatal("after the end of the owner's process: want ShouldClaim true and no promise")
	}
	m = newTestMonitor(t)
	released := m.Term()
	released.Released, released.Version = true, 60
	if err := m.Observe(start, []medlartable.Row{termRow(t, released)}); err != nil {
		t.Fatal(err)
	}
	if !m.ShouldClaim(start) {
		t.Fatal("ShouldClaim is false for a released cell")
	}
	older := Term{Number: 1, Instance: "z", Address: "10.0.0.9:80", Version: 10}
	if err := m.Observe(start, []medlartable.Row{termRow(t, older)}); err != nil {
		t.Fatal(err)
	}
	if m.Term().Number != 3 {
		t.Fatal("the claim of term 1 has replaced the newer claim of term 3")
	}
}

// TestDefaultTimeoutsPreventTwoOwners guards against defaults that allow two owners to send orders at the same time.
func TestDefaultTimeoutsPreventTwoOwners(t *testing.T) {
	c := DefaultConfig()
	if c.ClaimMargin <= 0 || c.RenewInterval*2 > c.OwnerTimeout || c.MaxResponseGap >= c.OwnerTimeout || c.MaxOwnerTimeout < c.OwnerTimeout {
		t.Fatalf("inconsistent timeouts: %+v", c)
	}
}

// TestClaimRequiresLastSeenRenewal guards against two owners that send orders at the same time: the responses of a slow
// table may be out of date when they arrive, and the owner may have renewed its claim meanwhile.
func TestClaimRequiresLastSeenRenewal(t *testing.T) {
	m := newTestMonitor(t)
	renewal := renewalRow(t, DefaultConfig().OwnerTimeout, 77)
	if err := m.Observe(start, []medlartable.Row{renewal}); err != nil {
		t.Fatal(err)
	}
	next, tx, err := m.Claim(Term{Address: "10.0.0.2:80"}, "c0")
	if err != nil {
		t.Fatal(err)
	}
	if next.Number != 4 {
		t.Errorf("the claim after term 3 has the number %d, want 4", next.Number)
	}
	versions := map[string]int{}
	for _, r := range tx.Require {
		versions[r.Key] = int(r.Version)
	}
	if versions[KeyTerm] != 50 || versions[KeyRenewal] != 77 {
		t.Errorf("the claim requires versions %v, want 50 for the term and 77 for the renewal", versions)
	}
}

// TestRefusedConnectionShortensTimeoutOnly guards against tasks that run twice because an owner behind a network partition
// still sends orders to its workers: the element that cuts it off may refuse connections on its behalf.
func TestRefusedConnectionShortensTimeoutOnly(t *testing.T) {
	m := newTestMonitor(t)
	m.OwnerSuspected(m.Term())
	if m.ShouldClaim(start) {
		t.Fatal("ShouldClaim is true although the owner has just renewed")
	}
	observeFor(t, m, start, DefaultConfig().SuspectTimeout, 100*time.Millisecond)
	if got := m.Predecessor(start, true); !m.ShouldClaim(start) || got.Grace != DefaultConfig().OwnerTimeout || !got.Expired {
		t.Fatalf("after SuspectTimeout: ShouldClaim %v, predecessor %+v", m.ShouldClaim(start), got)
	}
	m.OwnerDied(m.Term())
	if got := m.Predecessor(start, true); got.Grace != 0 || got.Expired {
		t.Fatalf("after the end of the owner's process: predecessor %+v, want no grace and not expired", got)
	}
}

func renewalRow(t *testing.T, timeout time.Duration, version medlarwheel.RowVersion) medlartable.Row {
	t.Helper()
	r, err := RenewalRow("c0", Renewal{Timeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	r.Version = version
	return r
}

// TestOwnerOnSlowTableKeepsCell guards against a claim within the timeout that the owner has requested because its renewals
// are slow.
func TestOwnerOnSlowTableKeepsCell(t *testing.T) {
	m, c := newTestMonitor(t), DefaultConfig()
	requested := c.TimeoutFor(600 * time.Millisecond)
	if requested <= c.OwnerTimeout+c.ClaimMargin {
		t.Fatalf("an owner whose renewals take 600 ms requests a timeout of %v, want more than %v", requested, c.OwnerTimeout+c.ClaimMargin)
	}
	if err := m.Observe(start, []medlartable.Row{renewalRow(t, requested, 77)}); err != nil {
		t.Fatal(err)
	}
	now := observeFor(t, m, start, requested, 100*time.Millisecond)
	if m.ShouldClaim(now) || m.TimeUntilClaim() != c.ClaimMargin {
		t.Fatalf("within the requested timeout: ShouldClaim %v, time until claim %v", m.ShouldClaim(now), m.TimeUntilClaim())
	}
	observeFor(t, m, now, c.ClaimMargin, 100*time.Millisecond)
	if got := m.Predecessor(start, true); !m.ShouldClaim(now) || got.Grace != 0 || !got.Expired {
		t.Fatalf("after the requested timeout: ShouldClaim %v, predecessor %+v", m.ShouldClaim(now), got)
	}
	if got := c.TimeoutFor(time.Hour); got != c.MaxOwnerTimeout {
		t.Errorf("the longest timeout that an owner can request is %v, want %v", got, c.MaxOwnerTimeout)
	}
}

// TestUnreadableRenewalCountsAsLongestTimeout guards against a claim while an owner whose renewal can't be decoded may
// still send orders.
func TestUnreadableRenewalCountsAsLongestTimeout(t *testing.T) {
	m, c := newTestMonitor(t), DefaultConfig()
	if err := m.Observe(start, []medlartable.Row{{Table: Table, Key: KeyRenewal, Version: 77, Value: []byte("{")}}); err == nil {
		t.Fatal("a renewal that is not valid JSON was accepted without an error")
	}
	observeFor(t, m, start, c.MaxOwnerTimeout, 100*time.Millisecond)
	if m.ShouldClaim(start) {
		t.Fatal("ShouldClaim is true within the longest timeout of an owner")
	}
}

// TestPredecessorReportsOutageLeases guards against a successor that does not wait for the long leases that an owner has
// granted during a table outage, and against one that waits for them after every change of owner.
func TestPredecessorReportsOutageLeases(t *testing.T) {
	c := DefaultConfig()
	const announced = 6 * time.Second
	for name, tc := range map[string]struct {
		receivedRequests, announced, released, stopped, implausible bool
		want                                                        time.Duration
	}{
		"implausible announcement":            {receivedRequests: true, implausible: true, want: c.OwnerTimeout + c.ClaimMargin + c.MaxLease},
		"requests received, no outage":        {receivedRequests: true},
		"requests received, outage":           {receivedRequests: true, announced: true, want: announced + c.OwnerTimeout + c.ClaimMargin},
		"released":                            {released: true, want: time.Second},
		"handed over":                         {stopped: true, want: 2 * time.Second},
		"handed over in an outage":            {stopped: true, announced: true, want: announced + c.OwnerTimeout + c.ClaimMargin},
		"no requests received":                {want: c.OutageLease},
		"one request received, others missed": {announced: true, want: c.OutageLease},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMonitor(t)
			if tc.released {
				released := m.Term()
				released.Released, released.OutageLeases, released.Version = true, time.Second, 80
				if err := m.Observe(start, []medlartable.Row{termRow(t, released)}); err != nil {
					t.Fatal(err)
				}
			}
			if tc.announced {
				m.RecordOutageLease(start, announced)
			}
			if tc.implausible {
				m.RecordOutageLease(start, 24*time.Hour)
			}
			m.OwnerStopped(start, m.Term().Number-1, time.Second)
			if tc.stopped {
				m.OwnerStopped(start, m.Term().Number, 2*time.Second)
			}
			if got := m.Predecessor(start, tc.receivedRequests).OutageLeases; got != tc.want {
				t.Errorf("outage leases last %v, want %v", got, tc.want)
			}
		})
	}
}

// TestPredecessorReportsItsLeases guards against a successor that counts with its own, shorter leases after a change of the
// settings or of the build.
func TestPredecessorReportsItsLeases(t *testing.T) {
	m := newTestMonitor(t)
	m.RecordClaim(start, Term{Number: 9, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Lease: 9 * time.Second, LeaseTail: time.Hour, Version: 900})
	if got := m.Predecessor(start, true); got.Lease != 9*time.Second || got.LeaseTail != DefaultConfig().MaxLease {
		t.Errorf("predecessor is %+v, want leases of 9s with a tail of the longest lease that workers accept", got)
	}
}

// TestPredecessorKnowsLeasesOfItsTermOnly guards against a task that waits for a full lease of a worker that was lost long ago, and
// against one that runs twice since an owner of a later term, or of a build that states no leases, has extended its lease.
func TestPredecessorKnowsLeasesOfItsTermOnly(t *testing.T) {
	const silent = medlarwheel.WorkerID("w1")
	seenAt := start.Add(time.Second)
	for name, test := range map[string]struct {
		renewal Renewal
		want    time.Time
	}{
		"this term":    {renewal: Renewal{Term: 3, LeasesLeft: map[medlarwheel.WorkerID]time.Duration{silent: 2 * time.Second}}, want: seenAt.Add(2 * time.Second)},
		"ended":        {renewal: Renewal{Term: 3, LeasesLeft: map[medlarwheel.WorkerID]time.Duration{silent: -time.Hour}}, want: seenAt},
		"another term": {renewal: Renewal{Term: 2, LeasesLeft: map[medlarwheel.WorkerID]time.Duration{silent: 2 * time.Second}}},
		"no term":      {renewal: Renewal{LeasesLeft: map[medlarwheel.WorkerID]time.Duration{silent: 2 * time.Second}}},
		"not silent":   {renewal: Renewal{Term: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newTestMonitor(t)
			test.renewal.Timeout = time.Second
			row, err := RenewalRow("c0", test.renewal)
			if err != nil {
				t.Fatal(err)
			}
			row.Version = 60
			if err := m.Observe(seenAt, []medlartable.Row{row}); err != nil {
				t.Fatal(err)
			}
			if got := m.Predecessor(seenAt.Add(time.Second), true).LeaseEnds[silent]; !got.Equal(test.want) {
				t.Errorf("the lease ends at %v, want %v", got, test.want)
			}
		})
	}
}

// TestPromiseOutlivesLaterOwner guards against a claim while the owner to whom this instance has made a promise still gives orders: a
// claim that the table carried out late has become known, and its process has ended.
func TestPromiseOutlivesLaterOwner(t *testing.T) {
	c := DefaultConfig()
	m := newTestMonitor(t)
	if !m.Promise(start, 3) {
		t.Fatal("got no promise to the owner of term 3")
	}
	late := Term{Number: 4, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Version: 60}
	if err := m.Observe(start, []medlartable.Row{termRow(t, late)}); err != nil {
		t.Fatal(err)
	}
	m.OwnerDied(late)
	if m.ShouldClaim(start.Add(c.OwnerTimeout)) {
		t.Error("ShouldClaim is true while the promise to the owner of term 3 is in force")
	}
	if !m.ShouldClaim(start.Add(c.OwnerTimeout + c.ClaimMargin + time.Millisecond)) {
		t.Error("ShouldClaim is false after the promise has expired")
	}
}

// TestTimeoutIsThatOfTheLastRenewal guards against a claim while an owner on a slow table still sends orders: a read of the whole
// table shows its last renewal before its claim.
func TestTimeoutIsThatOfTheLastRenewal(t *testing.T) {
	c := DefaultConfig()
	m := newTestMonitor(t)
	next := Term{Number: 4, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Version: 60}
	if err := m.Observe(start, []medlartable.Row{renewalRow(t, c.MaxOwnerTimeout, 70), termRow(t, next)}); err != nil {
		t.Fatal(err)
	}
	if now := observeFor(t, m, start, c.OwnerTimeout+c.ClaimMargin, 100*time.Millisecond); m.ShouldClaim(now) {
		t.Errorf("ShouldClaim is true %v after a renewal that lets the owner send orders for %v", now.Sub(start), c.MaxOwnerTimeout)
	}
}

// TestGraceOutlivesLaterOwner guards against a task that runs twice because an owner that has claimed the cell from a live one ends at
// once, and the next owner does not know that the first one may still send orders.
func TestGraceOutlivesLaterOwner(t *testing.T) {
	claiming, waiting := newTestMonitor(t), newTestMonitor(t)
	c := DefaultConfig()
	claimedAt := observeFor(t, claiming, start, c.SuspectTimeout, 100*time.Millisecond)
	claiming.OwnerSuspected(claiming.Term())
	grace := claiming.Predecessor(claimedAt, true).Grace
	if grace != c.OwnerTimeout {
		t.Fatalf("grace after a claim from an owner that refuses connections: got %v, want %v", grace, c.OwnerTimeout)
	}
	next, tx, err := claiming.Claim(Term{Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Grace: grace}, "c0")
	if err != nil {
		t.Fatal(err)
	}
	row := tx.Put[0]
	row.Version = 60
	if err := waiting.Observe(claimedAt, []medlartable.Row{row}); err != nil {
		t.Fatal(err)
	}
	waiting.OwnerDied(next)
	if got := waiting.Predecessor(claimedAt.Add(200*time.Millisecond), true).Grace; got != grace-200*time.Millisecond {
		t.Errorf("grace 200 ms after a claim with a grace of %v whose owner has ended: got %v", grace, got)
	}
	if got := waiting.Predecessor(claimedAt.Add(2*grace), true).Grace; got != 0 {
		t.Errorf("grace after its end: got %v, want 0", got)
	}
}

// TestClaimAfterUnreadableRowIsSeen guards against an instance that does not know the owner for a whole term, because a row that it
// cannot decode came in the same response.
func TestClaimAfterUnreadableRowIsSeen(t *testing.T) {
	m := newTestMonitor(t)
	unreadable := renewalRow(t, DefaultConfig().OwnerTimeout, 55)
	unreadable.Value = []byte("?")
	next := Term{Number: 4, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Version: 60}
	if err := m.Observe(start, []medlartable.Row{unreadable, termRow(t, next)}); err == nil {
		t.Error("got no error for a row that cannot be decoded")
	}
	if got := m.Term().Number; got != next.Number {
		t.Errorf("the current term is %d, want %d", got, next.Number)
	}
}

// TestPromiseOutlivesPromiseToLaterOwner guards against a claim while the owner to whom this instance has made a promise still gives
// orders: it has made another one to a later owner, whose process has ended.
func TestPromiseOutlivesPromiseToLaterOwner(t *testing.T) {
	c := DefaultConfig()
	m := newTestMonitor(t)
	if !m.Promise(start, 3) {
		t.Fatal("got no promise to the owner of term 3")
	}
	late := Term{Number: 4, Instance: "b", Address: "10.0.0.2:80", Process: "b-1", Version: 60}
	if err := m.Observe(start, []medlartable.Row{termRow(t, late)}); err != nil {
		t.Fatal(err)
	}
	if !m.Promise(start.Add(time.Millisecond), 4) {
		t.Fatal("got no promise to the owner of term 4")
	}
	m.OwnerDied(late)
	if m.ShouldClaim(start.Add(c.OwnerTimeout)) {
		t.Error("ShouldClaim is true while the promise to the owner of term 3 is in force")
	}
	if !m.ShouldClaim(start.Add(c.OwnerTimeout + c.ClaimMargin + time.Millisecond)) {
		t.Error("ShouldClaim is false after that promise has expired")
	}
}
