package medlarupstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// loanKey identifies a loan among the loans of all lenders.
type loanKey struct {
	lender medlarwheel.InstanceID
	id     LoanID
}

// lenderKey identifies a lender for one service.
type lenderKey struct {
	lender  medlarwheel.InstanceID
	service medlarwheel.ServiceName
}

// pendingLoanRequest is a loan request that has no response yet.
type pendingLoanRequest struct {
	lenderKey lenderKey
	slots     int
	sent      time.Time
}

// pendingRenewal is a renewal request that has no response yet.
type pendingRenewal struct {
	borrowed *borrowedSlot
	sent     time.Time
}

// NextLoanRequests returns the loan requests to send now. They go to members of the local data centre first, and to those of
// other data centres if no local member can be asked now. The caller sends each request to its lender immediately and passes
// the response to HandleLoanResponse.
func (s *Shares) NextLoanRequests(now time.Time) []LoanRequest {
	s.advance(now)
	s.dropExpiredRequests(now)
	var requests []LoanRequest
	for _, name := range s.serviceNames {
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
			if p.dataCentre != s.config.DataCentre {
				members = s.otherRosters[p.dataCentre].Members
			}
			requests = s.requestFromMembers(now, sv, members, &need, requests)
			if need <= 0 || sv.requested > 0 {
				break
			}
		}
	}
	return requests
}

// requestFromMembers appends requests to members until they cover the need.
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

// dropExpiredRequests discards requests whose term has passed, because their responses could no longer be used.
func (s *Shares) dropExpiredRequests(now time.Time) {
	for nonce, request := range s.loanRequests {
		if now.Sub(request.sent) >= s.config.LoanTerm {
			s.removeLoanRequest(nonce, request)
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

func (s *Shares) removeLoanRequest(nonce uint64, request pendingLoanRequest) {
	delete(s.loanRequests, nonce)
	if sv, ok := s.services[request.lenderKey.service]; ok {
		sv.requested -= request.slots
	}
}

// HandleLoanResponse handles the response to a request of NextLoanRequests. It returns loans of a late response to the
// lender, and ignores loans that it already has.
func (s *Shares) HandleLoanResponse(now time.Time, r LoanResponse) {
	s.advance(now)
	request, ok := s.loanRequests[r.Nonce]
	if ok {
		s.removeLoanRequest(r.Nonce, request)
		s.retryAt[request.lenderKey] = now
		if len(r.Loans) == 0 {
			s.retryAt[request.lenderKey] = now.Add(s.config.LenderRetryDelay)
		}
	}
	for _, granted := range r.Loans {
		key := loanKey{r.Lender, granted.ID}
		if _, exists := s.borrowed[key]; exists {
			continue
		}
		h, known := s.shares[granted.Upstream]
		// The term counts from before the request was sent, which is earlier than the start of the lender's reservation.
		termEnd := request.sent.Add(s.config.LoanTerm - s.config.SafetyMargin)
		if !ok || !known || !h.listed || !now.Before(termEnd) {
			s.returns = append(s.returns, Return{Lender: r.Lender, Loan: granted.ID})
			continue
		}
		l := &borrowedSlot{id: granted.ID, lender: r.Lender, share: h, index: granted.Slot, termEnd: termEnd,
			latestDeadline: termEnd.Add(granted.MaxRunTime), lastUsed: now}
		s.borrowed[key] = l
		h.borrowed = append(h.borrowed, l)
		s.refresh(now, h)
	}
}

// NextRenewalRequests returns the renewal requests to send now, for loans in use whose term ends soon. A renewal lets further
// requests start. A request in flight needs none, because the lender reserves the slot until its deadline.
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
		maxRunTime := max(l.share.pool.service.maxRunTime, l.latestDeadline.Sub(l.termEnd))
		renewals = append(renewals, RenewalRequest{Nonce: s.lastID, Lender: l.lender, Loan: l.id, MaxRunTime: maxRunTime})
	}
	return renewals
}

// HandleRenewalResponse handles the response to a request of NextRenewalRequests. After a refusal, no further request
// starts on the loan.
func (s *Shares) HandleRenewalResponse(now time.Time, r RenewalResponse) {
	s.advance(now)
	pending, ok := s.renewalRequests[r.Nonce]
	if !ok {
		return
	}
	delete(s.renewalRequests, r.Nonce)
	l := pending.borrowed
	l.renewing = false
	if !r.Granted {
		l.recalled = true
	} else if until := pending.sent.Add(s.config.LoanTerm - s.config.SafetyMargin); until.After(l.termEnd) {
		l.termEnd = until
		if end := until.Add(r.MaxRunTime); end.After(l.latestDeadline) {
			l.latestDeadline = end
		}
	}
	s.refresh(now, l.share)
}

// NextReturns returns the borrowed slots to return to their lenders now: those without a request in flight that were
// recalled, have expired or are idle. They are not used any more. Each loan includes a connection, so a loan whose
// connection is still open is returned after RemoveConnection.
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

// sortedBorrowed returns the borrowed slots in a fixed order, so that messages do not depend on the iteration order of a map.
func (s *Shares) sortedBorrowed() []*borrowedSlot {
	return slices.SortedFunc(maps.Values(s.borrowed), func(a, b *borrowedSlot) int {
		return cmp.Or(cmp.Compare(a.lender, b.lender), cmp.Compare(a.id.Number, b.id.Number))
	})
}
