package medlarupstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"medlarwheel"
)

// maxBorrowers bounds the borrowers whose last nonce is remembered. Forgetting them loses no slot: a repeated request is
// then answered again, and its loans expire.
const maxBorrowers = 4096

// Lend answers a request for loans with idle slots of the own share. A request that arrives again, or after a later one of
// the same borrower, gets none.
func (s *Shares) Lend(now time.Time, borrower medlarwheel.InstanceID, r LoanRequest) LoanResponse {
	s.advance(now)
	reply := LoanResponse{Nonce: r.Nonce, Lender: s.config.Instance}
	if r.Nonce <= s.lastNonces[borrower] {
		return reply
	}
	if len(s.lastNonces) >= maxBorrowers {
		clear(s.lastNonces)
	}
	s.lastNonces[borrower] = r.Nonce
	p := s.localPool(r.Service)
	if p == nil || !s.membershipValid(now) || borrower == s.config.Instance {
		return reply
	}
	spare := p.total.freeOwned - p.service.waiting - int(s.config.IdleReserve*float64(p.total.owned))
	for n := min(spare, int(r.Slots)); n > 0 && len(p.withFreeOwned.members) > 0; n-- {
		h := p.withFreeOwned.members[int(r.Nonce%uint64(len(p.withFreeOwned.members)))]
		if l, ok := s.lendFrom(now, h, borrower, r.MaxRunTime); ok {
			reply.Loans = append(reply.Loans, l)
		}
	}
	return reply
}

// lendFrom lends a free slot of h, unless h is on trial.
func (s *Shares) lendFrom(now time.Time, h *share, borrower medlarwheel.InstanceID, run time.Duration) (Loan, bool) {
	if h.health.State(now) != HealthAvailable {
		return Loan{}, false
	}
	for i := range h.slots[:min(h.limit, len(h.slots))] {
		sl := &h.slots[i]
		if !sl.isFree(now) {
			continue
		}
		s.lastID++
		run = max(0, min(run, h.spec.MaxRequest))
		l := &lentSlot{id: LoanID{Incarnation: s.config.Incarnation, Number: s.lastID}, borrower: borrower, share: h,
			index: i, reservedUntil: now.Add(s.config.LoanTerm + run)}
		sl.lent = l
		h.lent++
		s.lentSlots[l.id] = l
		s.refresh(now, h)
		return Loan{ID: l.id, Upstream: h.upstream.ID, Slot: i, MaxRunTime: run}, true
	}
	return Loan{}, false
}

// Renew answers a request for a further term. A term is never shortened, because messages may overtake each other.
func (s *Shares) Renew(now time.Time, borrower medlarwheel.InstanceID, r RenewalRequest) RenewalResponse {
	s.advance(now)
	reply := RenewalResponse{Nonce: r.Nonce}
	l, ok := s.lentSlots[r.Loan]
	if !ok || l.borrower != borrower || l.recalled || !l.share.listed || !l.share.slots[l.index].owned || !s.membershipValid(now) {
		return reply
	}
	reply.Granted, reply.MaxRunTime = true, max(0, min(r.MaxRunTime, l.share.spec.MaxRequest))
	if until := now.Add(s.config.LoanTerm + reply.MaxRunTime); until.After(l.reservedUntil) {
		l.reservedUntil = until
		s.refresh(now, l.share)
	}
	return reply
}

// Return takes a lent slot back.
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

// Recall asks for up to n lent slots of a service back. Their terms are not renewed; each returns when the request on it
// has ended. It returns how many were recalled now.
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

// localPool returns the pool of a service in the own data centre, or nil.
func (s *Shares) localPool(name medlarwheel.ServiceName) *pool {
	if sv, ok := s.services[name]; ok && sv.pools[0].centre == s.config.DataCentre {
		return sv.pools[0]
	}
	return nil
}
