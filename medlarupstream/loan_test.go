package medlarupstream

import (
	"testing"
	"time"

	"medlarwheel"
)

// newMember returns the Shares of a member of a first roster, confirmed by the platform, with one upstream of 8 slots.
func newMember(id medlarwheel.InstanceID, members ...medlarwheel.InstanceID) *Shares {
	s := NewShares(DefaultSharesConfig(id, "north", 1))
	s.SetRoster(at(0), Roster{DataCentre: "north", Epoch: 1, Members: members, First: true})
	s.HandleConfirmation(at(0), Confirmation{Epoch: 1, Sent: at(0)})
	s.SetUpstream(at(0), testUpstream("u1"), testSpec)
	return s
}

var testSpec = Spec{Slots: 8, Connections: 64, MaxRequest: 5 * time.Second}

func testUpstream(id medlarwheel.UpstreamID) medlarwheel.Upstream {
	return medlarwheel.Upstream{ID: id, Service: "s", DataCentre: "north", State: medlarwheel.StateLive}
}

// acquireAll acquires all slots that are available for requests with the given time to the deadline.
func acquireAll(s *Shares, now time.Time, toDeadline time.Duration) []Permit {
	var permits []Permit
	for p, ok := s.Acquire(now, "u1", now.Add(toDeadline)); ok; p, ok = s.Acquire(now, "u1", now.Add(toDeadline)) {
		permits = append(permits, p)
	}
	return permits
}

// Guards against a borrower that uses a slot longer than the lender reserves it: with a term that counts from the response, a
// deadline after the reservation, a duplicate or late response, or a return by the wrong instance or process.
func TestBorrowerStopsBeforeLenderReuses(t *testing.T) {
	lender, borrower := newMember("a", "a", "b"), newMember("b", "a", "b")
	own, lent := len(acquireAll(borrower, at(0), time.Second)), lender.localPool("s").total.freeOwned
	borrower.SetDemand(at(0), "s", 3, 2*time.Second)
	requests := borrower.NextLoanRequests(at(0))
	if len(requests) != 1 || requests[0].Lender != "a" || len(borrower.NextLoanRequests(at(1*ms))) != 0 {
		t.Fatalf("requests %+v, want one to a and no second one", requests)
	}
	response := lender.Lend(at(50*ms), "b", requests[0])
	if len(response.Loans) != 3 || len(lender.Lend(at(60*ms), "b", requests[0]).Loans) != 0 {
		t.Fatalf("response %+v, want 3 loans and none for the duplicate request", response)
	}
	borrower.HandleLoanResponse(at(100*ms), response)
	if got := len(acquireAll(borrower, at(399*ms), 2002*ms)); got != 0 {
		t.Errorf("%d requests started whose deadline is later than the term plus the run time, less the safety margin", got)
	}
	permits := acquireAll(borrower, at(399*ms), 2000*ms)
	if len(permits) != 3 || own == 0 {
		t.Fatalf("%d requests started on 3 loans, want 3", len(permits))
	}
	borrower.SetDemand(at(399*ms), "s", 0, 0)
	first := permits[0].borrowed
	borrower.Release(at(400*ms), permits[0])
	if got := len(acquireAll(borrower, at(400*ms), 100*ms)); got != 0 {
		t.Errorf("%d requests started after the term, want 0", got)
	}
	returns := borrower.NextReturns(at(400 * ms))
	borrower.HandleLoanResponse(at(401*ms), response)
	if got := len(borrower.borrowed); got != 2 || len(returns) != 1 {
		t.Fatalf("%d loans left and %d returned after one became idle and the response was duplicated, want 2 and 1", got, len(returns))
	}
	lender.Return(at(410*ms), "c", returns[0])
	lender.Return(at(410*ms), "b", Return{Lender: "a", Loan: LoanID{Incarnation: 0, Number: returns[0].Loan.Number}})
	if lender.LentSlots() != 3 {
		t.Errorf("the lender accepted a return by another borrower or for another process")
	}
	lender.Return(at(410*ms), "b", returns[0])
	if got := len(acquireAll(lender, at(2549*ms), ms)); got != lent-2 || first.id != returns[0].Loan {
		t.Errorf("the lender uses %d of %d slots with two lent, or the returned loan is not the released one", got, lent)
	}
	if got := len(acquireAll(lender, at(2550*ms), ms)); got != 2 {
		t.Errorf("the lender reuses %d slots after the term and the run time, want 2", got)
	}

	late := newMember("b", "a", "b")
	late.SetDemand(at(0), "s", 1, time.Second)
	response = newMember("a", "a", "b").Lend(at(0), "b", late.NextLoanRequests(at(0))[0])
	late.HandleLoanResponse(at(400*ms), response)
	if len(late.borrowed) != 0 || len(late.NextReturns(at(400*ms))) != 1 {
		t.Errorf("the loan of a response after the term must be returned unused")
	}
}

// Guards against renewals that shorten a reservation, exceed the longest request, or keep a slot that the lender has recalled
// or no longer owns, and against recalls after which a loan never ends.
func TestRenewalAndRecallBounds(t *testing.T) {
	lender, borrower := newMember("a", "a", "b"), newMember("b", "a", "b")
	borrower.SetDemand(at(0), "s", 2, time.Hour)
	borrower.HandleLoanResponse(at(0), lender.Lend(at(0), "b", borrower.NextLoanRequests(at(0))[0]))
	loans := borrower.sortedBorrowed()
	if len(loans) != 2 || loans[0].latestDeadline != at(5400*ms) {
		t.Fatalf("loans %+v, want 2 whose latest deadline is limited by the longest request", loans)
	}
	renew := func(now time.Duration, maxRunTime time.Duration) RenewalResponse {
		return lender.Renew(at(now), "b", RenewalRequest{Lender: "a", Loan: loans[0].id, MaxRunTime: maxRunTime})
	}
	renew(100*ms, time.Hour)
	if got := lender.lentSlots[loans[0].id].reservedUntil; got != at(5600*ms) {
		t.Errorf("reserved until %v after a renewal, want the term plus the longest request", got.Sub(testStart))
	}
	renew(200*ms, time.Second)
	if got := lender.lentSlots[loans[0].id].reservedUntil; got != at(5600*ms) {
		t.Errorf("reserved until %v after a renewal with a shorter run time, want no change", got.Sub(testStart))
	}
	renewals := borrower.NextRenewalRequests(at(190 * ms))
	if len(renewals) != 2 || len(borrower.NextRenewalRequests(at(191*ms))) != 0 {
		t.Fatalf("renewals %+v, want one for each loan and no second one", renewals)
	}
	borrower.HandleRenewalResponse(at(192*ms), lender.Renew(at(191*ms), "b", renewals[0]))
	if loans[0].termEnd != at(590*ms) || loans[0].latestDeadline != at(5590*ms) {
		t.Errorf("renewed until %v, want a term that counts from before the request was sent", loans[0].termEnd.Sub(testStart))
	}
	lender.SetDemand(at(193*ms), "s", 5, time.Second)
	if renew(194*ms, 0).Granted {
		t.Error("a recalled loan was renewed")
	}
	borrower.HandleRenewalResponse(at(195*ms), lender.Renew(at(195*ms), "b", renewals[1]))
	if got := len(borrower.NextReturns(at(195 * ms))); got != 1 {
		t.Errorf("%d loans returned after a refused renewal, want 1", got)
	}

	lender = newMember("a", "a", "b")
	if got := lender.Lend(at(7900*ms), "c", LoanRequest{Nonce: 1, Service: "s", Slots: 1}); len(got.Loans) != 1 ||
		lender.Renew(at(8000*ms), "c", RenewalRequest{Loan: got.Loans[0].ID}).Granted {
		t.Error("a loan was renewed by an isolated instance")
	}
	lender = newMember("a", "a", "b")
	response := lender.Lend(at(0), "b", LoanRequest{Nonce: 1, Service: "s", Slots: 1, MaxRunTime: time.Second})
	lender.SetRoster(at(100*ms), Roster{DataCentre: "north", Epoch: 2, Members: []medlarwheel.InstanceID{"b"}})
	if lender.Renew(at(100*ms), "b", RenewalRequest{Loan: response.Loans[0].ID}).Granted {
		t.Error("a loan was renewed by an instance that has lost the slot")
	}
}

// Guards against a lender that lends slots which its own queued requests or its idle reserve need.
func TestLenderKeepsSlotsForOwnDemand(t *testing.T) {
	s := newMember("a", "a")
	s.config.IdleReserve = 0.5
	s.SetDemand(at(0), "s", 3, 0)
	if got := s.Lend(at(0), "b", LoanRequest{Nonce: 1, Service: "s", Slots: 8}); len(got.Loans) != 1 {
		t.Errorf("%d of 8 slots lent with 3 requests queued and an idle reserve of 4 slots, want 1", len(got.Loans))
	}
}

// Guards against more connections to an upstream than its limit when slots are lent, and against loans that are
// returned while their connection is still open.
func TestConnectionLimitFollowsLoans(t *testing.T) {
	lender, borrower := newMember("a", "a", "b"), newMember("b", "a", "b")
	total := lender.ConnectionLimit(at(0), "u1") + borrower.ConnectionLimit(at(0), "u1")
	if total != testSpec.Connections {
		t.Fatalf("members may open %d connections, want %d", total, testSpec.Connections)
	}
	for borrower.AddConnection(at(0), "u1") {
	}
	borrower.SetDemand(at(0), "s", 1, time.Second)
	borrower.HandleLoanResponse(at(0), lender.Lend(at(0), "b", borrower.NextLoanRequests(at(0))[0]))
	borrower.AddConnection(at(0), "u1")
	total = lender.ConnectionLimit(at(0), "u1") + borrower.ConnectionLimit(at(0), "u1")
	if total != testSpec.Connections || borrower.ExcessConnections(at(0), "u1") != 0 {
		t.Errorf("with a loan, members may open %d connections, want %d", total, testSpec.Connections)
	}
	if len(borrower.NextReturns(at(400*ms))) != 0 || borrower.ExcessConnections(at(400*ms), "u1") != 1 {
		t.Error("a loan was returned with its connection open")
	}
	borrower.RemoveConnection("u1")
	if len(borrower.NextReturns(at(400*ms))) != 1 {
		t.Error("a loan was not returned after its connection was closed")
	}
	if got := lender.ConnectionLimit(at(8*time.Second), "u1"); got != 0 {
		t.Errorf("%d connections allowed to an isolated instance, want 0", got)
	}
}
