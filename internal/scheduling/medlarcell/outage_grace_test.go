package medlarcell

import (
	"testing"
	"time"
)

// TestReleaseWithinGraceKeepsOutageLeases guards against a successor that waits too short for silent workers: the owner that has released
// the cell states an end of outage leases before that of those which its own predecessor may have granted within the grace.
func TestReleaseWithinGraceKeepsOutageLeases(t *testing.T) {
	const grace, remaining = 6 * time.Second, 8 * time.Second
	owner := New(DefaultConfig())
	owner.Begin(simEpoch, Ownership{Fence: 2 << 12, Term: 2, Expired: true, Grace: grace, OutageLeaseRemaining: remaining})
	for after := time.Duration(0); after <= grace; after += time.Second {
		releasedAt := simEpoch.Add(after)
		successor := New(DefaultConfig())
		successor.Begin(releasedAt, Ownership{
			Fence: 3 << 12, Term: 3, Grace: grace - after, OutageLeaseRemaining: owner.OutageLeasesEnd().Sub(releasedAt),
		})
		if got, want := successor.ReconcileDeadline(), owner.ReconcileDeadline(); got.Before(want) {
			t.Errorf("released after %v: the successor waits %v less than the owner would have", after, want.Sub(got))
		}
	}
}

// TestNoOutageLeasesAreStatedAfterGrace guards against a successor that waits for outage leases although none have been granted.
func TestNoOutageLeasesAreStatedAfterGrace(t *testing.T) {
	owner := New(DefaultConfig())
	owner.Begin(simEpoch, Ownership{Fence: 2 << 12, Term: 2, Expired: true, Grace: time.Second})
	if got := owner.OutageLeasesEnd().Sub(simEpoch); got != 0 {
		t.Errorf("end of outage leases after the claim: got %v, want 0 s", got)
	}
}
