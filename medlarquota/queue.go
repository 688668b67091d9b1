package medlarquota

import (
	"container/list"

	"medlarwheel"
)

// Queue holds pending items and returns them by class and fair share.
type Queue struct {
	capacity medlarwheel.Resources
	teams    map[TeamName]*team
	// ready holds, for each class, the teams that have a subqueue that is not blocked, lowest share first.
	ready []*indexedHeap[*team]
	items map[medlarwheel.TaskID]*list.Element
}

// NewQueue returns an empty queue for a data centre with the given capacity.
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

// Order charges the usages, adds the pending items and returns them in the order of admission. Items that exceed a quota
// are left out and stay queued.
func (q *Queue) Order(pending []Item, usages []Usage) []Item {
	for _, usage := range usages {
		q.Charge(usage)
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

// SetCapacity changes the capacity from which shares are computed. It costs O(n log n) for n teams.
func (q *Queue) SetCapacity(capacity medlarwheel.Resources) {
	q.capacity = capacity
	for _, t := range q.teams {
		t.updateShare(capacity)
		q.updateHeaps(t)
	}
}

// SetTeam changes the quota and weight of a team.
func (q *Queue) SetTeam(name TeamName, limit TeamLimit) {
	t := q.team(name)
	t.limit = limit
	t.updateShare(q.capacity)
	t.unblockAffected(nil)
	q.updateHeaps(t)
}

// SetAccount changes the quotas of a client account of a team.
func (q *Queue) SetAccount(name TeamName, id medlarwheel.AccountID, limit AccountLimit) {
	t := q.team(name)
	t.account(id).limit = limit
	t.unblockAffected(nil)
	q.updateHeaps(t)
}

// Add appends an item to its subqueue. An item that is already queued keeps its position.
func (q *Queue) Add(item Item) { q.insert(item, (*list.List).PushBack) }

// Requeue refunds an item that Next returned and that could not be placed, and puts it back at the front of its subqueue.
func (q *Queue) Requeue(item Item) {
	q.Refund(item.Usage)
	q.insert(item, (*list.List).PushFront)
}

// Remove removes a pending item, for example when its job is cancelled.
func (q *Queue) Remove(id medlarwheel.TaskID) {
	element := q.items[id]
	if element == nil {
		return
	}
	item := element.Value.(*Item)
	t := q.team(item.Usage.Team)
	q.removeItem(t, t.account(item.Usage.Account).subqueue(subqueueKeyOf(item)), element)
}

// Charge adds the usage of a task that did not come from Next, such as one that already ran when the queue was built.
func (q *Queue) Charge(usage Usage) {
	t := q.team(usage.Team)
	t.charge(&usage, q.capacity)
	q.updateHeaps(t)
}

// Refund subtracts resources that a task has released.
func (q *Queue) Refund(usage Usage) {
	t := q.team(usage.Team)
	usage.Resources = medlarwheel.Resources{}.Minus(usage.Resources)
	t.charge(&usage, q.capacity)
	t.unblockAffected(t.account(usage.Account))
	q.updateHeaps(t)
}

// Next removes the first item in the order of class and fair share that is within all quotas, and charges its usage. It
// returns false if there is none.
func (q *Queue) Next() (Item, bool) {
	for class, teams := range q.ready {
		for {
			t, ok := teams.top()
			if !ok {
				break
			}
			s, _ := t.ready[class].top()
			if !t.withinQuotas(s) {
				t.block(s)
				q.updateHeaps(t)
				continue
			}
			item := *s.first()
			t.charge(&item.Usage, q.capacity)
			q.removeItem(t, s, s.items.Front())
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
	s := t.account(item.Usage.Account).subqueue(subqueueKeyOf(&item))
	q.items[item.ID] = push(s.items, &item)
	t.updateHeap(s)
	q.updateHeaps(t)
}

func (q *Queue) removeItem(t *team, s *subqueue, element *list.Element) {
	item := s.items.Remove(element).(*Item)
	delete(q.items, item.ID)
	if s.blocked {
		// The subqueue may now start with another, smaller item.
		t.unblock(s)
	}
	t.updateHeap(s)
	q.updateHeaps(t)
}

// updateHeaps restores the position of a team in the heap of each class after a change.
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
