package medlarquota

import (
	"container/list"

	"medlarwheel"
)

// team is the state of one team: what it uses and its pending items.
type team struct {
	name     TeamName
	limit    TeamLimit
	used     medlarwheel.Resources
	share    float64
	accounts map[medlarwheel.AccountID]*account
	// ready holds, for each class, the subqueues that are not blocked. position holds, for each class, the index of the team
	// in Queue.ready.
	ready    []*indexedHeap[*subqueue]
	position []int
	// blocked holds the subqueues whose first item was found to exceed a quota.
	blocked []*subqueue
}

// account is the state of one client account.
type account struct {
	limit AccountLimit
	used  medlarwheel.Resources
	// templates holds the resources that the tasks of each template use.
	templates map[medlarwheel.TemplateName]medlarwheel.Resources
	subqueues map[subqueueKey]*subqueue
}

type subqueueKey struct {
	template medlarwheel.TemplateName
	class    int
}

// subqueue holds the pending items of one account that have the same template and class, in the order in which they were
// added.
type subqueue struct {
	key      subqueueKey
	account  *account
	items    *list.List
	position int
	// blockedBy is the account if only a refund to the account can unblock the subqueue, and nil if any refund to the team
	// can.
	blockedBy *account
	blocked   bool
}

func newTeam(name TeamName, classes int) *team {
	t := &team{name: name, limit: TeamLimit{Weight: 1}, accounts: make(map[medlarwheel.AccountID]*account)}
	for range classes {
		t.ready = append(t.ready, &indexedHeap[*subqueue]{
			less: subqueueBefore, position: func(s *subqueue) *int { return &s.position },
		})
		t.position = append(t.position, noPosition)
	}
	return t
}

func subqueueBefore(a, b *subqueue) bool {
	x, y := a.first(), b.first()
	if !x.SubmittedAt.Equal(y.SubmittedAt) {
		return x.SubmittedAt.Before(y.SubmittedAt)
	}
	return x.ID < y.ID
}

func (s *subqueue) first() *Item { return s.items.Front().Value.(*Item) }

func (t *team) account(id medlarwheel.AccountID) *account {
	a := t.accounts[id]
	if a == nil {
		a = &account{
			templates: make(map[medlarwheel.TemplateName]medlarwheel.Resources), subqueues: make(map[subqueueKey]*subqueue),
		}
		t.accounts[id] = a
	}
	return a
}

func (a *account) subqueue(key subqueueKey) *subqueue {
	s := a.subqueues[key]
	if s == nil {
		s = &subqueue{key: key, account: a, items: list.New(), position: noPosition}
		a.subqueues[key] = s
	}
	return s
}

// withinQuotas reports whether the first item of a subqueue is within all quotas. If not, it records whether only a refund
// to the account can unblock the subqueue.
func (t *team) withinQuotas(s *subqueue) bool {
	item := s.first()
	a, amount := s.account, item.Usage.Resources
	used := a.templates[item.Usage.Template].Plus(amount)
	if !WithinQuota(used, a.limit.Templates[item.Usage.Template]) || !WithinQuota(a.used.Plus(amount), a.limit.Quota) {
		s.blockedBy = a
		return false
	}
	s.blockedBy = nil
	return WithinQuota(t.used.Plus(amount), t.limit.Quota)
}

func (t *team) charge(usage *Usage, capacity medlarwheel.Resources) {
	a := t.account(usage.Account)
	t.used = t.used.Plus(usage.Resources)
	a.used = a.used.Plus(usage.Resources)
	a.templates[usage.Template] = a.templates[usage.Template].Plus(usage.Resources)
	t.updateShare(capacity)
}

func (t *team) updateShare(capacity medlarwheel.Resources) {
	t.share = dominantShare(t.used, capacity) / float64(max(t.limit.Weight, 1))
}

// updateHeap restores the position of a subqueue in its heap after its first item has changed, and drops an empty subqueue.
func (t *team) updateHeap(s *subqueue) {
	heap := t.ready[s.key.class]
	switch {
	case s.items.Len() == 0:
		heap.remove(s)
		t.unblock(s)
		delete(s.account.subqueues, s.key)
	case !s.blocked:
		heap.insertOrFix(s)
	}
}

func (t *team) block(s *subqueue) {
	t.ready[s.key.class].remove(s)
	s.blocked = true
	t.blocked = append(t.blocked, s)
}

func (t *team) unblock(s *subqueue) {
	if !s.blocked {
		return
	}
	s.blocked = false
	for i, other := range t.blocked {
		if other == s {
			t.blocked = append(t.blocked[:i], t.blocked[i+1:]...)
			return
		}
	}
}

// unblockAffected unblocks the subqueues whose first item may be within all quotas after a refund to the account. A nil
// account stands for a change of limits, which may affect any of them.
func (t *team) unblockAffected(refunded *account) {
	kept := t.blocked[:0]
	for _, s := range t.blocked {
		if refunded != nil && s.blockedBy != nil && s.blockedBy != refunded {
			kept = append(kept, s)
			continue
		}
		s.blocked = false
		t.ready[s.key.class].insertOrFix(s)
	}
	clear(t.blocked[len(kept):])
	t.blocked = kept
}
