package medlarownership

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
)

var start = time.Unix(1_700_000_000, 0)

func termRow(t *testing.T, term Term) medlartable.Row {
	t.Helper()
	tx, err := NewMonitor(DefaultConfig()).Claim(term, "c0")
	if err != nil {
		t.Fatal(err)
	}
	r := tx.Put[0]
	r.Version = term.Version
	return r
}

func newTestMonitor(t *testing.T) *Monitor {
	t.Helper()
	w := NewMonitor(DefaultConfig())
	if w.ShouldClaim(start) {
		t.Fatal("a claim without having read the table")
	}
	term := Term{Number: 3, Instance: "a", Address: "10.0.0.1:80", Process: "a-1", Version: 50}
	if err := w.Observe(start, []medlartable.Row{termRow(t, term)}); err != nil {
		t.Fatal(err)
	}
	return w
}

// observeFor lets the table answer without changes.
func observeFor(t *testing.T, w *Monitor, from time.Time, d, step time.Duration) time.Time {
	t.Helper()
	for now := from.Add(step); !now.After(from.Add(d)); now = now.Add(step) {
		if err := w.Observe(now, nil); err != nil {
			t.Fatal(err)
		}
	}
	return from.Add(d)
}

// TestClaimsAfterMissedRenewals guards against a cell without an owner, and against a claim while the owner may still give
// orders.
func TestClaimsAfterMissedRenewals(t *testing.T) {
	w := newTestMonitor(t)
	c := DefaultConfig()
	now := observeFor(t, w, start, c.OwnerTimeout, 100*time.Millisecond)
	if w.ShouldClaim(now) {
		t.Fatalf("claimed %v after the last renewal", c.OwnerTimeout)
	}
	observeFor(t, w, now, c.ClaimMargin+100*time.Millisecond, 100*time.Millisecond)
	if !w.ShouldClaim(now) {
		t.Fatalf("not claimed %v after the last renewal", c.OwnerTimeout+c.ClaimMargin)
	}
}

// TestTableOutageDoesNotCountAsMissedRenewals guards against a change of owner after each outage of the table, in which no owner can
// renew its claim.
func TestTableOutageDoesNotCountAsMissedRenewals(t *testing.T) {
	w := newTestMonitor(t)
	if err := w.Observe(start.Add(10*time.Second), nil); err != nil {
		t.Fatal(err)
	}
	if w.ShouldClaim(start) {
		t.Fatal("claimed at the first answer after an outage")
	}
}

// TestPromiseBlocksClaimUntilOwnerProcessEnds guards against a claim from an owner that goes on without the table because all others have promised
// not to claim the cell, and against a promise that outlives the owner.
func TestPromiseBlocksClaimUntilOwnerProcessEnds(t *testing.T) {
	c := DefaultConfig()
	w := newTestMonitor(t)
	if w.Promise(start, 2) {
		t.Error("a promise to an earlier owner")
	}
	now := observeFor(t, w, start, c.OwnerTimeout+c.ClaimMargin, 100*time.Millisecond)
	if !w.ShouldClaim(now) || !w.Promise(now, w.Term().Number) {
		t.Fatal("no claim, or no promise before it")
	}
	w.OwnerSuspected(w.Term())
	if w.ShouldClaim(now.Add(c.OwnerTimeout)) {
		t.Error("claimed within the promised time")
	}
	if !w.ShouldClaim(now.Add(c.OwnerTimeout + c.ClaimMargin + time.Millisecond)) {
		t.Error("not claimed after the promised time")
	}
	w.OwnerDied(w.Term())
	if !w.ShouldClaim(now) || w.Promise(now, w.Term().Number) {
		t.Error("the promise outlives the owner's process")
	}
}

// TestClaimsAtOnceAfterReleaseOrProcessEnd guards against seconds without an owner after a planned stop or a killed process.
func TestClaimsAtOnceAfterReleaseOrProcessEnd(t *testing.T) {
	w := newTestMonitor(t)
	w.OwnerDied(Term{Number: 2, Process: "b-1"})
	if w.ShouldClaim(start) {
		t.Fatal("the death of an earlier owner counts for the present one")
	}
	w.OwnerDied(w.Term())
	if !w.ShouldClaim(start) || w.Promise(start, 3) {
		t.Fatal("the death of the owner's process is not enough for a claim")
	}
	w = newTestMonitor(t)
	released := w.Term()
	released.Released, released.Version = true, 60
	if err := w.Observe(start, []medlartable.Row{termRow(t, released)}); err != nil {
		t.Fatal(err)
	}
	if !w.ShouldClaim(start) {
		t.Fatal("a released cell is not claimed")
	}
	older := Term{Number: 1, Instance: "z", Address: "10.0.0.9:80", Version: 10}
	if err := w.Observe(start, []medlartable.Row{termRow(t, older)}); err != nil {
		t.Fatal(err)
	}
	if w.Term().Number != 3 {
		t.Fatal("an older claim has replaced a newer one")
	}
}

// TestDefaultTimeoutsPreventTwoOwners guards against settings with which two owners give orders at the same time.
func TestDefaultTimeoutsPreventTwoOwners(t *testing.T) {
	c := DefaultConfig()
	if c.ClaimMargin <= 0 || c.RenewInterval*2 > c.OwnerTimeout || c.MaxResponseGap >= c.OwnerTimeout || c.MaxOwnerTimeout < c.OwnerTimeout {
		t.Fatalf("%+v", c)
	}
}

// TestClaimRequiresLastSeenRenewal guards against two owners that give orders at the same time: the answers of a slow
// table are old when they arrive, and the owner may have renewed its claim meanwhile.
func TestClaimRequiresLastSeenRenewal(t *testing.T) {
	w := newTestMonitor(t)
	beat := renewalRow(t, DefaultConfig().OwnerTimeout, 77)
	if err := w.Observe(start, []medlartable.Row{beat}); err != nil {
		t.Fatal(err)
	}
	tx, err := w.Claim(Term{Number: 4, Address: "10.0.0.2:80"}, "c0")
	if err != nil {
		t.Fatal(err)
	}
	versions := map[string]int{}
	for _, r := range tx.Require {
		versions[r.Key] = int(r.Version)
	}
	if versions[KeyTerm] != 50 || versions[KeyRenewal] != 77 {
		t.Errorf("the claim requires %v, want the claim 50 and the renewal 77", versions)
	}
}

// TestRefusedConnectionShortensTimeoutOnly guards against a second run of tasks on workers that an owner behind a partition
// still orders: what cuts it off may refuse connections in its place.
func TestRefusedConnectionShortensTimeoutOnly(t *testing.T) {
	w := newTestMonitor(t)
	w.OwnerSuspected(w.Term())
	if w.ShouldClaim(start) {
		t.Fatal("a claim against an owner that has just renewed")
	}
	observeFor(t, w, start, DefaultConfig().SuspectTimeout, 100*time.Millisecond)
	if got := w.Predecessor(start, true); !w.ShouldClaim(start) || got.Grace != DefaultConfig().OwnerTimeout || !got.Expired {
		t.Fatalf("claim %v, owner before %+v", w.ShouldClaim(start), got)
	}
	w.OwnerDied(w.Term())
	if got := w.Predecessor(start, true); got.Grace != 0 || got.Expired {
		t.Fatalf("a process that is known to have ended: %+v", got)
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

// TestOwnerOnSlowTableKeepsCell guards against a claim within the time that the owner has asked for, because its
// renewals take long.
func TestOwnerOnSlowTableKeepsCell(t *testing.T) {
	w, c := newTestMonitor(t), DefaultConfig()
	asked := c.TimeoutFor(600 * time.Millisecond)
	if asked <= c.OwnerTimeout+c.ClaimMargin {
		t.Fatalf("an owner whose renewals take 600 ms asks for %v", asked)
	}
	if err := w.Observe(start, []medlartable.Row{renewalRow(t, asked, 77)}); err != nil {
		t.Fatal(err)
	}
	now := observeFor(t, w, start, asked, 100*time.Millisecond)
	if w.ShouldClaim(now) || w.TimeUntilClaim() != c.ClaimMargin {
		t.Fatalf("claim %v within the owner's time, patience %v", w.ShouldClaim(now), w.TimeUntilClaim())
	}
	observeFor(t, w, now, c.ClaimMargin, 100*time.Millisecond)
	if got := w.Predecessor(start, true); !w.ShouldClaim(now) || got.Grace != 0 || !got.Expired {
		t.Fatalf("after the owner's time: claim %v, owner before %+v", w.ShouldClaim(now), got)
	}
	if got := c.TimeoutFor(time.Hour); got != c.MaxOwnerTimeout {
		t.Errorf("an owner may ask for %v", got)
	}
}

// TestUnreadableRenewalCountsAsLongestTimeout guards against a claim while an owner may give orders whose renewal can't be read.
func TestUnreadableRenewalCountsAsLongestTimeout(t *testing.T) {
	w, c := newTestMonitor(t), DefaultConfig()
	if err := w.Observe(start, []medlartable.Row{{Table: Table, Key: KeyRenewal, Version: 77, Value: []byte("{")}}); err == nil {
		t.Fatal("no error")
	}
	observeFor(t, w, start, c.MaxOwnerTimeout, 100*time.Millisecond)
	if w.ShouldClaim(start) {
		t.Fatal("claimed within the longest time of an owner")
	}
}

// TestPredecessorReportsOutageLeases guards against a successor that takes the leases of an owner without the table for short ones,
// and against one that waits for long ones after every change of owner.
func TestPredecessorReportsOutageLeases(t *testing.T) {
	c := DefaultConfig()
	const announced = 6 * time.Second
	for name, tc := range map[string]struct {
		asked, announced, released, stopped, absurd bool
		want                                        time.Duration
	}{
		"a message that is wrong":   {asked: true, absurd: true, want: c.OwnerTimeout + c.ClaimMargin + c.MaxLease},
		"asked, no outage":          {asked: true},
		"asked in an outage":        {asked: true, announced: true, want: announced + c.OwnerTimeout + c.ClaimMargin},
		"released":                  {released: true, want: time.Second},
		"handed over":               {stopped: true, want: 2 * time.Second},
		"handed over in an outage":  {stopped: true, announced: true, want: announced + c.OwnerTimeout + c.ClaimMargin},
		"never asked":               {want: c.OutageLease},
		"never asked, one question": {announced: true, want: c.OutageLease},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestMonitor(t)
			if tc.released {
				released := w.Term()
				released.Released, released.OutageLeases, released.Version = true, time.Second, 80
				if err := w.Observe(start, []medlartable.Row{termRow(t, released)}); err != nil {
					t.Fatal(err)
				}
			}
			if tc.announced {
				w.RecordOutageLease(start, announced)
			}
			if tc.absurd {
				w.RecordOutageLease(start, 24*time.Hour)
			}
			w.OwnerStopped(start, w.Term().Number-1, time.Second)
			if tc.stopped {
				w.OwnerStopped(start, w.Term().Number, 2*time.Second)
			}
			if got := w.Predecessor(start, tc.asked).OutageLeases; got != tc.want {
				t.Errorf("leases of %v, want %v", got, tc.want)
			}
		})
	}
}
