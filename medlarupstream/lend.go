package medlarupstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// maxBorrowers is the largest number of borrowers whose last nonce is kept. Discarding the nonces loses no slot: a duplicate
// request is then granted again, and its loans expire.
const maxBorrowers = 4096

// Lend handles a loan request and lends idle slots that this instance owns. A duplicate request, or one that arrives after a
// later request of the same borrower, gets none.
func (s *Shares) Lend(now time.Time, borrower medlarwheel.InstanceID, r LoanRequest) LoanResponse {
	s.advance(now)
	response := LoanResponse{Nonce: r.Nonce, Lender: s.config.Instance}
	if r.Nonce <= s.lastNonces[borrower] {
		return response
	}
	if len(s.lastNonces) >= maxBorrowers {
		clear(s.lastNonces)
	}
	s.lastNonces[borrower] = r.Nonce
	p := s.localPool(r.Service)
	if p == nil || !s.membershipValid(now) || borrower == s.config.Instance {
		return response
	}
	spare := p.total.freeOwned - p.service.waiting - int(s.config.IdleReserve*float64(p.total.owned))
	for n := min(spare, int(r.Slots)); n > 0 && len(p.withFreeOwned.members) > 0; n-- {
		h := p.withFreeOwned.members[int(r.Nonce%uint64(len(p.withFreeOwned.members)))]
		if l, ok := s.lendFrom(now, h, borrower, r.MaxRunTime); ok {
			response.Loans = append(response.Loans, l)
		}
	}
	return response
}

// lendFrom lends a free slot of h if the health of the upstream allows any number of requests.
func (s *Shares) lendFrom(now time.Time, h *share, borrower medlarwheel.InstanceID, maxRunTime time.Duration) (Loan, bool) {
	if h.health.State(now) != HealthAvailable {
		return Loan{}, false
	}
	for i := range h.slots[:min(h.limit, len(h.slots))] {
		sl := &h.slots[i]
		if !sl.isFree(now) {
			continue
		}
		s.lastID++
		maxRunTime = max(0, min(maxRunTime, h.spec.MaxRequest))
		l := &lentSlot{id: LoanID{Incarnation: s.config.Incarnation, Number: s.lastID}, borrower: borrower, share: h,
			index: i, reservedUntil: now.Add(s.config.LoanTerm + maxRunTime)}
		sl.lent = l
		h.lent++
		s.lentSlots[l.id] = l
		s.refresh(now, h)
		return Loan{ID: l.id, Upstream: h.upstream.ID, Slot: i, MaxRunTime: maxRunTime}, true
	}
	return Loan{}, false
}

// Renew handles a renewal request. It never shortens a term, because messages may arrive out of order.
func (s *Shares) Renew(now time.Time, borrower medlarwheel.InstanceID, r RenewalRequest) RenewalResponse {
	s.advance(now)
	response := RenewalResponse{Nonce: r.Nonce}
	l, ok := s.lentSlots[r.Loan]
	if !ok || l.borrower != borrower || l.recalled || !l.share.listed || !l.share.slots[l.index].owned || !s.membershipValid(now) {
		return response
	}
	response.Granted, response.MaxRunTime = true, max(0, min(r.MaxRunTime, l.share.spec.MaxRequest))
	if until := now.Add(s.config.LoanTerm + response.MaxRunTime); until.After(l.reservedUntil) {
		l.reservedUntil = until
		s.refresh(now, l.share)
	}
	return response
}

// Return handles the return of a lent slot. It ignores a return by an instance that is not the borrower.
func (s *Shares) Return(now time.Time, borrower medlarwheel.InstanceID, r Return) {
	s.advance(now)
	l, ok := s.lentSlots[r.Loan]
	if !ok || l.borrower != borrower {
		return
	}
	s.endLoan(&l.share.slots[l.index])
	s.refresh(now, l.share)
	s.discardUnused(l.share)
}

// Recall recalls lent slots of a service, latest loans first, until n are recalled. Their terms are not renewed, and each is
// returned when the request on it has ended. It returns the number of slots that this call has recalled.
func (s *Shares) Recall(now time.Time, name medlarwheel.ServiceName, n int) int {
	s.advance(now)
	wanted, recalled := n, 0
	for _, l := range s.lentSlots {
		if l.recalled && l.share.upstream.Service == name {
			wanted--
		}
	}
	newestFirst := slices.SortedFunc(maps.Values(s.lentSlots), func(a, b *lentSlot) int { return cmp.Compare(b.id.Number, a.id.Number) })
	for _, l := range newestFirst {
		if recalled >= wanted {
			break
		}
		if !l.recalled && l.share.upstream.Service == name {
			l.recalled = true
			recalled++
		}
	}
	return recalled
}

// LentSlots returns the number of slots that are lent out.
func (s *Shares) LentSlots() int { return len(s.lentSlots) }

func (s *Shares) endLoan(sl *slot) {
	sl.lent.share.lent--
	delete(s.lentSlots, sl.lent.id)
	sl.lent = nil
}

// localPool returns the pool of a service in the local data centre, or nil.
func (s *Shares) localPool(name medlarwheel.ServiceName) *pool {
	if sv, ok := s.services[name]; ok && sv.pools[0].dataCentre == s.config.DataCentre {
		return sv.pools[0]
	}
	return nil
}
