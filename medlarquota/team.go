package medlarquota

import (
	"container/list"

	"medlarwheel"
)

// team is what one team has and waits for.
type team struct {
	name     TeamName
	limit    TeamLimit
	used     medlarwheel.Resources
	share    float64
	accounts map[medlarwheel.AccountID]*account
	// ready holds the lines of each class whose first item may be tried, and position the team's place in the queue.
	ready    []*indexedHeap[*subqueue]
	position []int
	// blocked lists the lines whose first item was found to exceed a quota.
	blocked []*subqueue
}

// account is what one client account has.
type account struct {
	limit AccountLimit
	used  medlarwheel.Resources
	// templates counts what the tasks of each template have.
	templates map[medlarwheel.TemplateName]medlarwheel.Resources
	subqueues map[subqueueKey]*subqueue
}

type subqueueKey struct {
	template medlarwheel.TemplateName
	class    int
}

// subqueue is the pending items of one template of one account, in the order of submission.
type subqueue struct {
	key      subqueueKey
	account  *account
	items    *list.List
	position int
	// blockedBy is the account if only a refund of the account can help, and nil if one of the team can.
	blockedBy *account
	blocked   bool
}

func newTeam(name TeamName, classes int) *team {
	t := &team{name: name, limit: TeamLimit{Weight: 1}, accounts: make(map[medlarwheel.AccountID]*account)}
	for range classes {
		t.ready = append(t.ready, &indexedHeap[*subqueue]{
			less: subqueueBefore, position: func(l *subqueue) *int { return &l.position },
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

func (l *subqueue) first() *Item { return l.items.Front().Value.(*Item) }

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
	l := a.subqueues[key]
	if l == nil {
		l = &subqueue{key: key, account: a, items: list.New(), position: noPosition}
		a.subqueues[key] = l
	}
	return l
}

// withinQuotas reports whether the first item of a line keeps all quotas. If not, it remembers whose refund can help.
func (t *team) withinQuotas(l *subqueue) bool {
	item := l.first()
	a, amount := l.account, item.Usage.Resources
	used := a.templates[item.Usage.Template].Plus(amount)
	if !WithinQuota(used, a.limit.Templates[item.Usage.Template]) || !WithinQuota(a.used.Plus(amount), a.limit.Quota) {
		l.blockedBy = a
		return false
	}
	l.blockedBy = nil
	return WithinQuota(t.used.Plus(amount), t.limit.Quota)
}

func (t *team) charge(use *Usage, capacity medlarwheel.Resources) {
	a := t.account(use.Account)
	t.used = t.used.Plus(use.Resources)
	a.used = a.used.Plus(use.Resources)
	a.templates[use.Template] = a.templates[use.Template].Plus(use.Resources)
	t.updateShare(capacity)
}

func (t *team) updateShare(capacity medlarwheel.Resources) {
	t.share = dominantShare(t.used, capacity) / float64(max(t.limit.Weight, 1))
}

// updateHeap puts a line where it belongs after its first item has changed.
func (t *team) updateHeap(l *subqueue) {
	heap := t.ready[l.key.class]
	switch {
	case l.items.Len() == 0:
		heap.remove(l)
		t.unblock(l)
		delete(l.account.subqueues, l.key)
	case !l.blocked:
		heap.insertOrFix(l)
	}
}

func (t *team) block(l *subqueue) {
	t.ready[l.key.class].remove(l)
	l.blocked = true
	t.blocked = append(t.blocked, l)
}

func (t *team) unblock(l *subqueue) {
	if !l.blocked {
		return
	}
	l.blocked = false
	for i, other := range t.blocked {
		if other == l {
			t.blocked = append(t.blocked[:i], t.blocked[i+1:]...)
			return
		}
	}
}

// unblockAffected makes the lines ready again that a refund of the account, or any change if nil, can help.
func (t *team) unblockAffected(refunded *account) {
	kept := t.blocked[:0]
	for _, l := range t.blocked {
		if refunded != nil && l.blockedBy != nil && l.blockedBy != refunded {
			kept = append(kept, l)
			continue
		}
		l.blocked = false
		t.ready[l.key.class].insertOrFix(l)
	}
	clear(t.blocked[len(kept):])
	t.blocked = kept
}
