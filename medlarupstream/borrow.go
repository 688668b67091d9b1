package medlarupstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// loanKey identifies a loan among those of all lenders.
type loanKey struct {
	lender medlarwheel.InstanceID
	id     LoanID
}

// lenderKey names a lender of one service.
type lenderKey struct {
	lender  medlarwheel.InstanceID
	service medlarwheel.ServiceName
}

// pendingLoanRequest is a request for loans that is not answered yet.
type pendingLoanRequest struct {
	lenderKey lenderKey
	slots     int
	sent      time.Time
}

// pendingRenewal is a renewal that is not answered yet.
type pendingRenewal struct {
	borrowed *borrowedSlot
	sent     time.Time
}

// NextLoanRequests returns the requests for loans to send now. Members of the own data centre are asked first, others when none
// of those has anything. The caller sends each to its lender at once and passes the answer to Borrowed.
func (s *Shares) NextLoanRequests(now time.Time) []LoanRequest {
	s.advance(now)
	s.dropExpiredRequests(now)
	var requests []LoanRequest
	for _, name := range s.names {
		sv := s.services[name]
		need := sv.waiting - sv.requested
		for _, p := range sv.pools {
			need -= p.total.freeBorrowed
		}
		if need <= 0 {
			continue
		}
		for _, p := range sv.pools {
			members := s.roster.Members
			if p.centre != s.config.DataCentre {
				members = s.others[p.centre].Members
			}
			requests = s.requestFromMembers(now, sv, members, &need, requests)
			if need <= 0 || sv.requested > 0 {
				break
			}
		}
	}
	return requests
}

// requestFromMembers adds requests to members until the need is covered.
func (s *Shares) requestFromMembers(now time.Time, sv *service, members []medlarwheel.InstanceID, need *int, requests []LoanRequest) []LoanRequest {
	for range members {
		if *need <= 0 {
			break
		}
		sv.nextLender++
		key := lenderKey{members[sv.nextLender%len(members)], sv.name}
		if key.lender == s.config.Instance || now.Before(s.retryAt[key]) {
			continue
		}
		s.lastID++
		n := min(*need, s.config.MaxSlotsPerRequest)
		*need -= n
		sv.requested += n
		s.retryAt[key] = now.Add(s.config.LoanTerm)
		s.loanRequests[s.lastID] = pendingLoanRequest{lenderKey: key, slots: n, sent: now}
		requests = append(requests, LoanRequest{Nonce: s.lastID, Lender: key.lender, Service: sv.name,
			Slots: medlarwheel.Slots(n), MaxRunTime: sv.maxRunTime})
	}
	return requests
}

// dropExpiredRequests forgets requests whose answer would come too late to be of use.
func (s *Shares) dropExpiredRequests(now time.Time) {
	for nonce, a := range s.loanRequests {
		if now.Sub(a.sent) >= s.config.LoanTerm {
			s.removeLoanRequest(nonce, a)
		}
	}
	for nonce, r := range s.renewalRequests {
		if now.Sub(r.sent) >= s.config.LoanTerm {
			r.borrowed.renewing = false
			delete(s.renewalRequests, nonce)
		}
	}
	for key, until := range s.retryAt {
		if !now.Before(until) {
			delete(s.retryAt, key)
		}
	}
}

func (s *Shares) removeLoanRequest(nonce uint64, a pendingLoanRequest) {
	delete(s.loanRequests, nonce)
	if sv, ok := s.services[a.lenderKey.service]; ok {
		sv.requested -= a.slots
	}
}

// HandleLoanResponse takes the answer to a request of WantBorrow. An answer that comes twice or too late adds no loan.
func (s *Shares) HandleLoanResponse(now time.Time, r LoanResponse) {
	s.advance(now)
	a, ok := s.loanRequests[r.Nonce]
	if ok {
		s.removeLoanRequest(r.Nonce, a)
		s.retryAt[a.lenderKey] = now
		if len(r.Loans) == 0 {
			s.retryAt[a.lenderKey] = now.Add(s.config.LenderRetryDelay)
		}
	}
	for _, given := range r.Loans {
		key := loanKey{r.Lender, given.ID}
		if _, held := s.borrowed[key]; held {
			continue
		}
		h, known := s.shares[given.Upstream]
		// The term counts from before the request was sent, because the lender's count starts later.
		startUntil := a.sent.Add(s.config.LoanTerm - s.config.SafetyMargin)
		if !ok || !known || !h.listed || !now.Before(startUntil) {
			s.returns = append(s.returns, Return{Lender: r.Lender, Loan: given.ID})
			continue
		}
		l := &borrowedSlot{id: given.ID, lender: r.Lender, share: h, index: given.Slot, termEnd: startUntil,
			latestDeadline: startUntil.Add(given.MaxRunTime), lastUsed: now}
		s.borrowed[key] = l
		h.borrowed = append(h.borrowed, l)
		s.refresh(now, h)
	}
}

// NextRenewalRequests returns the renewals to send now: of loans in use whose term ends soon. A request that runs needs none,
// because the lender reserves the slot until its deadline; a renewal lets further requests start.
func (s *Shares) NextRenewalRequests(now time.Time) []RenewalRequest {
	s.advance(now)
	s.dropExpiredRequests(now)
	var renewals []RenewalRequest
	for _, l := range s.sortedBorrowed() {
		inUse := l.busy || now.Sub(l.lastUsed) < s.config.ReturnIdle
		if l.recalled || l.renewing || !inUse || l.termEnd.Sub(now) > s.config.RenewBefore {
			continue
		}
		s.lastID++
		l.renewing = true
		s.renewalRequests[s.lastID] = pendingRenewal{borrowed: l, sent: now}
		run := max(l.share.pool.service.maxRunTime, l.latestDeadline.Sub(l.termEnd))
		renewals = append(renewals, RenewalRequest{Nonce: s.lastID, Lender: l.lender, Loan: l.id, MaxRunTime: run})
	}
	return renewals
}

// HandleRenewalResponse takes the answer to a renewal.
func (s *Shares) HandleRenewalResponse(now time.Time, r RenewalResponse) {
	s.advance(now)
	w, ok := s.renewalRequests[r.Nonce]
	if !ok {
		return
	}
	delete(s.renewalRequests, r.Nonce)
	l := w.borrowed
	l.renewing = false
	if !r.Granted {
		l.recalled = true
	} else if until := w.sent.Add(s.config.LoanTerm - s.config.SafetyMargin); until.After(l.termEnd) {
		l.termEnd = until
		if end := until.Add(r.MaxRunTime); end.After(l.latestDeadline) {
			l.latestDeadline = end
		}
	}
	s.refresh(now, l.share)
}

// NextReturns returns the slots to give back now: those that are not in use and were recalled, expired or idle. They are
// not used any more. A loan keeps its connection, so one whose connection is still open is returned after Closed.
func (s *Shares) NextReturns(now time.Time) []Return {
	s.advance(now)
	returns := s.returns
	s.returns = nil
	for _, l := range s.sortedBorrowed() {
		idle := now.Sub(l.lastUsed) >= s.config.ReturnIdle
		if l.busy || (l.isUsable(now) && !idle) {
			continue
		}
		l.recalled = true
		h := l.share
		s.refresh(now, h)
		if s.ExcessConnections(now, h.upstream.ID) > 0 {
			continue
		}
		delete(s.borrowed, loanKey{l.lender, l.id})
		h.borrowed = slices.DeleteFunc(h.borrowed, func(x *borrowedSlot) bool { return x == l })
		returns = append(returns, Return{Lender: l.lender, Loan: l.id})
		s.discardUnused(h)
	}
	return returns
}

// sortedBorrowed lists the borrowed slots in a fixed order, so that messages do not depend on the order of a map.
func (s *Shares) sortedBorrowed() []*borrowedSlot {
	return slices.SortedFunc(maps.Values(s.borrowed), func(a, b *borrowedSlot) int {
		return cmp.Or(cmp.Compare(a.lender, b.lender), cmp.Compare(a.id.Number, b.id.Number))
	})
}
