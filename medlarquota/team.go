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
	ready    []*indexedHeap[*line]
	position []int
	// blocked lists the lines whose first item was found to exceed a quota.
	blocked []*line
}

// account is what one client account has.
type account struct {
	limit AccountLimit
	used  medlarwheel.Resources
	// templates counts what the tasks of each template have.
	templates map[medlarwheel.TemplateName]medlarwheel.Resources
	lines     map[lineKey]*line
}

type lineKey struct {
	template medlarwheel.TemplateName
	class    int
}

// line is the pending items of one template of one account, in the order of submission.
type line struct {
	key      lineKey
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
		t.ready = append(t.ready, &indexedHeap[*line]{
			less: lineBefore, position: func(l *line) *int { return &l.position },
		})
		t.position = append(t.position, noPosition)
	}
	return t
}

func lineBefore(a, b *line) bool {
	x, y := a.first(), b.first()
	if !x.SubmittedAt.Equal(y.SubmittedAt) {
		return x.SubmittedAt.Before(y.SubmittedAt)
	}
	return x.ID < y.ID
}

func (l *line) first() *Item { return l.items.Front().Value.(*Item) }

func (t *team) account(id medlarwheel.AccountID) *account {
	a := t.accounts[id]
	if a == nil {
		a = &account{
			templates: make(map[medlarwheel.TemplateName]medlarwheel.Resources), lines: make(map[lineKey]*line),
		}
		t.accounts[id] = a
	}
	return a
}

func (a *account) line(key lineKey) *line {
	l := a.lines[key]
	if l == nil {
		l = &line{key: key, account: a, items: list.New(), position: noPosition}
		a.lines[key] = l
	}
	return l
}

// fits reports whether the first item of a line keeps all quotas. If not, it remembers whose refund can help.
func (t *team) fits(l *line) bool {
	item := l.first()
	a, amount := l.account, item.Use.Resources
	used := a.templates[item.Use.Template].Plus(amount)
	if !Within(used, a.limit.Templates[item.Use.Template]) || !Within(a.used.Plus(amount), a.limit.Quota) {
		l.blockedBy = a
		return false
	}
	l.blockedBy = nil
	return Within(t.used.Plus(amount), t.limit.Quota)
}

func (t *team) charge(use *Use, capacity medlarwheel.Resources) {
	a := t.account(use.Account)
	t.used = t.used.Plus(use.Resources)
	a.used = a.used.Plus(use.Resources)
	a.templates[use.Template] = a.templates[use.Template].Plus(use.Resources)
	t.weigh(capacity)
}

func (t *team) weigh(capacity medlarwheel.Resources) {
	t.share = dominantShare(t.used, capacity) / float64(max(t.limit.Weight, 1))
}

// settle puts a line where it belongs after its first item has changed.
func (t *team) settle(l *line) {
	heap := t.ready[l.key.class]
	switch {
	case l.items.Len() == 0:
		heap.remove(l)
		t.unblock(l)
		delete(l.account.lines, l.key)
	case !l.blocked:
		heap.set(l)
	}
}

func (t *team) block(l *line) {
	t.ready[l.key.class].remove(l)
	l.blocked = true
	t.blocked = append(t.blocked, l)
}

func (t *team) unblock(l *line) {
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

// retry makes the lines ready again that a refund of the account, or any change if nil, can help.
func (t *team) retry(refunded *account) {
	kept := t.blocked[:0]
	for _, l := range t.blocked {
		if refunded != nil && l.blockedBy != nil && l.blockedBy != refunded {
			kept = append(kept, l)
			continue
		}
		l.blocked = false
		t.ready[l.key.class].set(l)
	}
	clear(t.blocked[len(kept):])
	t.blocked = kept
}
