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

// ask is a request for loans that is not answered yet.
type ask struct {
	key   lenderKey
	slots int
	sent  time.Time
}

// renewal is a renewal that is not answered yet.
type renewal struct {
	loan *loan
	sent time.Time
}

// WantBorrow returns the requests for loans to send now. Members of the own data centre are asked first, others when none
// of those has anything. The caller sends each to its lender at once and passes the answer to Borrowed.
func (s *Shares) WantBorrow(now time.Time) []LoanRequest {
	s.advance(now)
	s.dropAsks(now)
	var requests []LoanRequest
	for _, name := range s.names {
		sv := s.services[name]
		need := sv.waiting - sv.asked
		for _, p := range sv.pools {
			need -= p.total.freeLoan
		}
		if need <= 0 {
			continue
		}
		for _, p := range sv.pools {
			members := s.roster.Members
			if p.centre != s.config.DataCentre {
				members = s.others[p.centre].Members
			}
			requests = s.askMembers(now, sv, members, &need, requests)
			if need <= 0 || sv.asked > 0 {
				break
			}
		}
	}
	return requests
}

// askMembers adds requests to members until the need is covered.
func (s *Shares) askMembers(now time.Time, sv *service, members []medlarwheel.InstanceID, need *int, requests []LoanRequest) []LoanRequest {
	for range members {
		if *need <= 0 {
			break
		}
		sv.next++
		key := lenderKey{members[sv.next%len(members)], sv.name}
		if key.lender == s.config.Instance || now.Before(s.askAfter[key]) {
			continue
		}
		s.serial++
		n := min(*need, s.config.MaxAsk)
		*need -= n
		sv.asked += n
		s.askAfter[key] = now.Add(s.config.Term)
		s.asks[s.serial] = ask{key: key, slots: n, sent: now}
		requests = append(requests, LoanRequest{Nonce: s.serial, Lender: key.lender, Service: sv.name,
			Slots: medlarwheel.Slots(n), Run: sv.run})
	}
	return requests
}

// dropAsks forgets requests whose answer would come too late to be of use.
func (s *Shares) dropAsks(now time.Time) {
	for nonce, a := range s.asks {
		if now.Sub(a.sent) >= s.config.Term {
			s.endAsk(nonce, a)
		}
	}
	for nonce, r := range s.renewals {
		if now.Sub(r.sent) >= s.config.Term {
			r.loan.renewing = false
			delete(s.renewals, nonce)
		}
	}
	for key, until := range s.askAfter {
		if !now.Before(until) {
			delete(s.askAfter, key)
		}
	}
}

func (s *Shares) endAsk(nonce uint64, a ask) {
	delete(s.asks, nonce)
	if sv, ok := s.services[a.key.service]; ok {
		sv.asked -= a.slots
	}
}

// Borrowed takes the answer to a request of WantBorrow. An answer that comes twice or too late adds no loan.
func (s *Shares) Borrowed(now time.Time, r LoanReply) {
	s.advance(now)
	a, ok := s.asks[r.Nonce]
	if ok {
		s.endAsk(r.Nonce, a)
		s.askAfter[a.key] = now
		if len(r.Loans) == 0 {
			s.askAfter[a.key] = now.Add(s.config.AskAgain)
		}
	}
	for _, given := range r.Loans {
		key := loanKey{r.Lender, given.ID}
		if _, held := s.loans[key]; held {
			continue
		}
		h, known := s.shares[given.Upstream]
		// The term counts from before the request was sent, because the lender's count starts later.
		startUntil := a.sent.Add(s.config.Term - s.config.Guard)
		if !ok || !known || !h.listed || !now.Before(startUntil) {
			s.returns = append(s.returns, Return{Lender: r.Lender, Loan: given.ID})
			continue
		}
		l := &loan{id: given.ID, lender: r.Lender, share: h, index: given.Slot, startUntil: startUntil,
			endBy: startUntil.Add(given.Run), lastUsed: now}
		s.loans[key] = l
		h.loans = append(h.loans, l)
		s.refresh(now, h)
	}
}

// WantRenew returns the renewals to send now: of loans in use whose term ends soon. A request that runs needs none,
// because the lender reserves the slot until its deadline; a renewal lets further requests start.
func (s *Shares) WantRenew(now time.Time) []Renewal {
	s.advance(now)
	s.dropAsks(now)
	var renewals []Renewal
	for _, l := range s.sortedLoans() {
		inUse := l.busy || now.Sub(l.lastUsed) < s.config.ReturnIdle
		if l.recalled || l.renewing || !inUse || l.startUntil.Sub(now) > s.config.RenewBefore {
			continue
		}
		s.serial++
		l.renewing = true
		s.renewals[s.serial] = renewal{loan: l, sent: now}
		run := max(l.share.pool.service.run, l.endBy.Sub(l.startUntil))
		renewals = append(renewals, Renewal{Nonce: s.serial, Lender: l.lender, Loan: l.id, Run: run})
	}
	return renewals
}

// Renewed takes the answer to a renewal.
func (s *Shares) Renewed(now time.Time, r RenewalReply) {
	s.advance(now)
	w, ok := s.renewals[r.Nonce]
	if !ok {
		return
	}
	delete(s.renewals, r.Nonce)
	l := w.loan
	l.renewing = false
	if !r.Granted {
		l.recalled = true
	} else if until := w.sent.Add(s.config.Term - s.config.Guard); until.After(l.startUntil) {
		l.startUntil = until
		if end := until.Add(r.Run); end.After(l.endBy) {
			l.endBy = end
		}
	}
	s.refresh(now, l.share)
}

// WantReturn returns the slots to give back now: those that are not in use and were recalled, expired or idle. They are
// not used any more. A loan keeps its connection, so one whose connection is still open is returned after Closed.
func (s *Shares) WantReturn(now time.Time) []Return {
	s.advance(now)
	returns := s.returns
	s.returns = nil
	for _, l := range s.sortedLoans() {
		idle := now.Sub(l.lastUsed) >= s.config.ReturnIdle
		if l.busy || (l.usable(now) && !idle) {
			continue
		}
		l.recalled = true
		h := l.share
		s.refresh(now, h)
		if s.Excess(now, h.upstream.ID) > 0 {
			continue
		}
		delete(s.loans, loanKey{l.lender, l.id})
		h.loans = slices.DeleteFunc(h.loans, func(x *loan) bool { return x == l })
		returns = append(returns, Return{Lender: l.lender, Loan: l.id})
		s.forget(h)
	}
	return returns
}

// sortedLoans lists the borrowed slots in a fixed order, so that messages do not depend on the order of a map.
func (s *Shares) sortedLoans() []*loan {
	return slices.SortedFunc(maps.Values(s.loans), func(a, b *loan) int {
		return cmp.Or(cmp.Compare(a.lender, b.lender), cmp.Compare(a.id.Number, b.id.Number))
	})
}
