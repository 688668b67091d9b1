package medlarquota

import (
	"container/list"

	"medlarwheel"
)

// Queue holds pending items and gives them out by class and fair share.
type Queue struct {
	capacity medlarwheel.Resources
	teams    map[TeamName]*team
	// ready holds, for each class, the teams with a line to be tried.
	ready []*indexedHeap[*team]
	items map[medlarwheel.TaskID]*list.Element
}

// NewQueue returns an empty queue for a data centre with the capacity.
func NewQueue(capacity medlarwheel.Resources) *Queue {
	q := &Queue{
		capacity: capacity, teams: make(map[TeamName]*team), items: make(map[medlarwheel.TaskID]*list.Element),
	}
	for class := range classCount() {
		q.ready = append(q.ready, &indexedHeap[*team]{
			less: teamBefore, position: func(t *team) *int { return &t.position[class] },
		})
	}
	return q
}

// Order returns the pending items in the order in which they are admitted on top of what is used. Items that exceed a
// quota are left out and stay queued.
func (q *Queue) Order(pending []Item, usage []Usage) []Item {
	for _, use := range usage {
		q.Charge(use)
	}
	for _, item := range pending {
		q.Add(item)
	}
	ordered := make([]Item, 0, len(pending))
	for item, ok := q.Next(); ok; item, ok = q.Next() {
		ordered = append(ordered, item)
	}
	return ordered
}

// SetCapacity changes the capacity that shares are reckoned of. It costs O(n log n) for n teams.
func (q *Queue) SetCapacity(capacity medlarwheel.Resources) {
	q.capacity = capacity
	for _, t := range q.teams {
		t.updateShare(capacity)
		q.updateHeaps(t)
	}
}

// SetTeam changes the limits of a team.
func (q *Queue) SetTeam(name TeamName, limit TeamLimit) {
	t := q.team(name)
	t.limit = limit
	t.updateShare(q.capacity)
	t.unblockAffected(nil)
	q.updateHeaps(t)
}

// SetAccount changes the limits of a client account of a team.
func (q *Queue) SetAccount(name TeamName, id medlarwheel.AccountID, limit AccountLimit) {
	t := q.team(name)
	t.account(id).limit = limit
	t.unblockAffected(nil)
	q.updateHeaps(t)
}

// Add puts an item at the end of its line. An item that is queued already stays where it is.
func (q *Queue) Add(item Item) { q.insert(item, (*list.List).PushBack) }

// Requeue gives back an item that Next gave out and that could not be placed. It comes first in its line again.
func (q *Queue) Requeue(item Item) {
	q.Refund(item.Usage)
	q.insert(item, (*list.List).PushFront)
}

// Remove takes a pending item out, for example when its job is cancelled.
func (q *Queue) Remove(id medlarwheel.TaskID) {
	element := q.items[id]
	if element == nil {
		return
	}
	item := element.Value.(*Item)
	t := q.team(item.Usage.Team)
	q.removeItem(t, t.account(item.Usage.Account).subqueue(subqueueKeyOf(item)), element)
}

// Charge counts resources that a task has without having gone through the queue.
func (q *Queue) Charge(use Usage) {
	t := q.team(use.Team)
	t.charge(&use, q.capacity)
	q.updateHeaps(t)
}

// Refund counts resources that a task has given back.
func (q *Queue) Refund(use Usage) {
	t := q.team(use.Team)
	use.Resources = medlarwheel.Resources{}.Minus(use.Resources)
	t.charge(&use, q.capacity)
	t.unblockAffected(t.account(use.Account))
	q.updateHeaps(t)
}

// Next takes out the item that is due and charges it. It returns false if every item exceeds a quota.
func (q *Queue) Next() (Item, bool) {
	for class, teams := range q.ready {
		for {
			t, ok := teams.top()
			if !ok {
				break
			}
			l, _ := t.ready[class].top()
			if !t.withinQuotas(l) {
				t.block(l)
				q.updateHeaps(t)
				continue
			}
			item := *l.first()
			t.charge(&item.Usage, q.capacity)
			q.removeItem(t, l, l.items.Front())
			return item, true
		}
	}
	return Item{}, false
}

// Len returns the number of pending items.
func (q *Queue) Len() int { return len(q.items) }

func (q *Queue) insert(item Item, push func(*list.List, any) *list.Element) {
	if q.items[item.ID] != nil {
		return
	}
	t := q.team(item.Usage.Team)
	l := t.account(item.Usage.Account).subqueue(subqueueKeyOf(&item))
	q.items[item.ID] = push(l.items, &item)
	t.updateHeap(l)
	q.updateHeaps(t)
}

func (q *Queue) removeItem(t *team, l *subqueue, element *list.Element) {
	item := l.items.Remove(element).(*Item)
	delete(q.items, item.ID)
	if l.blocked {
		// Another item may be first now, and it may be smaller.
		t.unblock(l)
	}
	t.updateHeap(l)
	q.updateHeaps(t)
}

// updateHeaps puts a team where it belongs in the heap of each class.
func (q *Queue) updateHeaps(t *team) {
	for class, teams := range q.ready {
		if len(t.ready[class].items) == 0 {
			teams.remove(t)
		} else {
			teams.insertOrFix(t)
		}
	}
}

func (q *Queue) team(name TeamName) *team {
	t := q.teams[name]
	if t == nil {
		t = newTeam(name, classCount())
		q.teams[name] = t
	}
	return t
}

func teamBefore(a, b *team) bool {
	if a.share != b.share {
		return a.share < b.share
	}
	return a.name < b.name
}

func subqueueKeyOf(item *Item) subqueueKey {
	return subqueueKey{template: item.Usage.Template, class: min(item.Class.Rank(), classCount()-1)}
}

func classCount() int { return len(medlarwheel.Classes()) }
