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
func (s *Shares) Lend(now time.Time, borrower medlarwheel.InstanceID, r LoanRequest) LoanReply {
	s.advance(now)
	reply := LoanReply{Nonce: r.Nonce, Lender: s.config.Instance}
	if r.Nonce <= s.asked[borrower] {
		return reply
	}
	if len(s.asked) >= maxBorrowers {
		clear(s.asked)
	}
	s.asked[borrower] = r.Nonce
	p := s.pool(r.Service)
	if p == nil || !s.standing(now) || borrower == s.config.Instance {
		return reply
	}
	spare := p.total.freeOwn - p.service.waiting - int(s.config.KeepIdle*float64(p.total.owned))
	for n := min(spare, int(r.Slots)); n > 0 && len(p.own.members) > 0; n-- {
		h := p.own.members[int(r.Nonce%uint64(len(p.own.members)))]
		if l, ok := s.lendFrom(now, h, borrower, r.Run); ok {
			reply.Loans = append(reply.Loans, l)
		}
	}
	return reply
}

// lendFrom lends a free slot of h, unless h is on trial.
func (s *Shares) lendFrom(now time.Time, h *share, borrower medlarwheel.InstanceID, run time.Duration) (Loan, bool) {
	if h.health.State(now) != HealthOpen {
		return Loan{}, false
	}
	for i := range h.slots[:min(h.limit, len(h.slots))] {
		sl := &h.slots[i]
		if !sl.free(now) {
			continue
		}
		s.serial++
		run = max(0, min(run, h.spec.MaxRequest))
		l := &lending{id: LoanID{Incarnation: s.config.Incarnation, Number: s.serial}, borrower: borrower, share: h,
			index: i, until: now.Add(s.config.Term + run)}
		sl.lending = l
		h.lent++
		s.lendings[l.id] = l
		s.refresh(now, h)
		return Loan{ID: l.id, Upstream: h.upstream.ID, Slot: i, Run: run}, true
	}
	return Loan{}, false
}

// Renew answers a request for a further term. A term is never shortened, because messages may overtake each other.
func (s *Shares) Renew(now time.Time, borrower medlarwheel.InstanceID, r Renewal) RenewalReply {
	s.advance(now)
	reply := RenewalReply{Nonce: r.Nonce}
	l, ok := s.lendings[r.Loan]
	if !ok || l.borrower != borrower || l.recalled || !l.share.listed || !l.share.slots[l.index].owned || !s.standing(now) {
		return reply
	}
	reply.Granted, reply.Run = true, max(0, min(r.Run, l.share.spec.MaxRequest))
	if until := now.Add(s.config.Term + reply.Run); until.After(l.until) {
		l.until = until
		s.refresh(now, l.share)
	}
	return reply
}

// Return takes a lent slot back.
func (s *Shares) Return(now time.Time, borrower medlarwheel.InstanceID, r Return) {
	s.advance(now)
	l, ok := s.lendings[r.Loan]
	if !ok || l.borrower != borrower {
		return
	}
	s.endLending(&l.share.slots[l.index])
	s.refresh(now, l.share)
	s.forget(l.share)
}

// Recall asks for up to n lent slots of a service back. Their terms are not renewed; each returns when the request on it
// has ended. It returns how many were recalled now.
func (s *Shares) Recall(now time.Time, name medlarwheel.ServiceName, n int) int {
	s.advance(now)
	wanted, recalled := n, 0
	for _, l := range s.lendings {
		if l.recalled && l.share.upstream.Service == name {
			wanted--
		}
	}
	newestFirst := slices.SortedFunc(maps.Values(s.lendings), func(a, b *lending) int { return cmp.Compare(b.id.Number, a.id.Number) })
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

// Lent returns the number of slots that are lent out.
func (s *Shares) Lent() int { return len(s.lendings) }

func (s *Shares) endLending(sl *slot) {
	sl.lending.share.lent--
	delete(s.lendings, sl.lending.id)
	sl.lending = nil
}

// pool returns the pool of a service in the own data centre, or nil.
func (s *Shares) pool(name medlarwheel.ServiceName) *pool {
	if sv, ok := s.services[name]; ok && sv.pools[0].centre == s.config.DataCentre {
		return sv.pools[0]
	}
	return nil
}
