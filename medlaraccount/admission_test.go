package medlaraccount_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/internal/testing/medlarseed"
	"medlarwheel/medlaraccount"
)

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) { medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "11"}) }

// referenceModel is the naive version: it keeps every request in a list and decides by scanning all of them.
type referenceModel struct {
	a        *medlaraccount.Admission
	order    medlaraccount.Order
	now      time.Time
	capacity int
	shares   map[medlaraccount.Lane]medlaraccount.Share
	waiting  []medlaraccount.Request
	expiries map[medlaraccount.RequestID]time.Time
	running  []medlaraccount.Grant
	expired  []medlaraccount.RequestID
	lastID   medlaraccount.RequestID
}

func (l *referenceModel) inFlight(match func(medlaraccount.Lane) bool) int {
	n := 0
	for _, r := range l.running {
		if match(r.Lane) {
			n++
		}
	}
	return n
}

func (l *referenceModel) inFlightOfLane(key medlaraccount.Lane) int {
	return l.inFlight(func(k medlaraccount.Lane) bool { return k == key })
}

func (l *referenceModel) inFlightOfClass(c medlarwheel.Class) int {
	return l.inFlight(func(k medlaraccount.Lane) bool { return k.Class == c })
}

func (l *referenceModel) floorSlots(c medlarwheel.Class) float64 {
	f := medlaraccount.DefaultAdmissionConfig().ClassFloor
	return float64(l.capacity) * []float64{f.Urgent, f.Standard, f.Background}[c.Rank()]
}

// coversGuarantees reports whether the capacity covers all guarantees and floors.
func (l *referenceModel) coversGuarantees() bool {
	need := 0.0
	for _, c := range medlarwheel.Classes() {
		sum := 0.0
		for key, s := range l.shares {
			if key.Class == c {
				sum += float64(s.Guaranteed)
			}
		}
		need += max(sum, l.floorSlots(c))
	}
	return need <= float64(l.capacity)
}

func (l *referenceModel) dropExpired() {
	l.waiting = slices.DeleteFunc(l.waiting, func(r medlaraccount.Request) bool {
		late := l.now.After(l.expiries[r.ID])
		if late {
			l.expired = append(l.expired, r.ID)
		}
		return late
	})
}

// checkGrant checks one grant against the rules, given the requests that wait and run before it.
func (l *referenceModel) checkGrant(t *rapid.T, key medlaraccount.Lane) {
	var belowGuarantee, belowFloor bool
	mostUrgent := key.Class
	for _, r := range l.waiting {
		c := r.Lane.Class
		belowGuarantee = belowGuarantee || l.inFlightOfLane(r.Lane) < int(l.shares[r.Lane].Guaranteed)
		belowFloor = belowFloor || float64(l.inFlightOfClass(c)+1) <= l.floorSlots(c)
		if c.Rank() < mostUrgent.Rank() {
			mostUrgent = c
		}
	}
	if l.coversGuarantees() && belowGuarantee {
		if l.inFlightOfLane(key) >= int(l.shares[key].Guaranteed) {
			t.Fatalf("%v was granted beyond its guarantee while a lane below its guarantee waited", key)
		}
		return
	}
	underFloor := float64(l.inFlightOfClass(key.Class)) < l.floorSlots(key.Class)
	if l.coversGuarantees() && belowFloor && !underFloor {
		t.Fatalf("%v was granted beyond its class floor while a class below its floor waited", key)
	}
	if l.coversGuarantees() && mostUrgent != key.Class && !underFloor {
		t.Fatalf("%v was lent a slot while %s work waited", key, mostUrgent)
	}
}

// first returns the index of the waiting request of a lane that comes first in the order.
func (l *referenceModel) first(key medlaraccount.Lane, order medlaraccount.Order) int {
	found := -1
	for i, r := range l.waiting {
		if r.Lane == key && (found < 0 || order == medlaraccount.NewestFirst) {
			found = i
		}
	}
	return found
}

func (l *referenceModel) next(t *rapid.T) {
	l.dropExpired()
	for _, g := range l.a.Next(l.now) {
		i := l.first(g.Lane, l.order)
		if i < 0 || l.waiting[i].ID != g.ID {
			t.Fatalf("granted %v, which is not the first waiting request of its lane", g)
		}
		l.checkGrant(t, g.Lane)
		l.waiting = slices.Delete(l.waiting, i, i+1)
		l.running = append(l.running, g)
		if len(l.running) > l.capacity {
			t.Fatalf("%d requests in flight, capacity %d", len(l.running), l.capacity)
		}
	}
	if len(l.waiting) > 0 && len(l.running) < l.capacity {
		t.Fatalf("%d requests wait beside %d free slots", len(l.waiting), l.capacity-len(l.running))
	}
}

func (l *referenceModel) offer(t *rapid.T, key medlaraccount.Lane) {
	l.lastID++
	r := medlaraccount.Request{ID: l.lastID, Lane: key,
		Deadline: l.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond),
		Expected: time.Duration(rapid.IntRange(1, 100).Draw(t, "expected")) * time.Millisecond}
	queued := 0
	for _, w := range l.waiting {
		if w.Lane == r.Lane {
			queued++
		}
	}
	latest := r.Deadline.Add(-r.Expected)
	got := l.a.Offer(l.now, r)
	switch got.Decision {
	case medlaraccount.Admitted:
		if len(l.waiting) > 0 || len(l.running) >= l.capacity || l.now.After(latest) {
			t.Fatalf("admitted %v with %d waiting and %d of %d in flight", r, len(l.waiting), len(l.running), l.capacity)
		}
		l.running = append(l.running, medlaraccount.Grant{ID: r.ID, Lane: r.Lane})
	case medlaraccount.Queued:
		full := queued >= l.shares[r.Lane].QueueLimit
		if (full && (l.order == medlaraccount.OldestFirst || queued == 0)) || l.now.After(latest) {
			t.Fatalf("queued %v behind %d others", r, queued)
		}
		if full {
			i := l.first(r.Lane, medlaraccount.OldestFirst)
			l.expired = append(l.expired, l.waiting[i].ID)
			l.waiting = slices.Delete(l.waiting, i, i+1)
		}
		l.expiries[r.ID] = latest
		if end := l.now.Add(medlaraccount.DefaultAdmissionConfig().QueueTimeout); end.Before(latest) {
			l.expiries[r.ID] = end
		}
		l.waiting = append(l.waiting, r)
	case medlaraccount.Refused:
		if got.Refusal.Outcome != medlarwheel.OutcomeNotRun || got.Refusal.RetryAfter < medlaraccount.MinRetryAfter {
			t.Fatalf("refusal %+v", got.Refusal)
		}
		if len(l.waiting) == 0 && len(l.running) < l.capacity && !l.now.After(latest) {
			t.Fatalf("refused %v beside a free slot", r)
		}
	}
}

func (l *referenceModel) expire(t *rapid.T) {
	l.dropExpired()
	for _, e := range l.a.Expire(l.now) {
		l.expired = slices.DeleteFunc(l.expired, func(id medlaraccount.RequestID) bool { return id == e.ID })
		l.waiting = slices.DeleteFunc(l.waiting, func(r medlaraccount.Request) bool { return r.ID == e.ID })
	}
	if len(l.expired) > 0 {
		t.Fatalf("requests %v are overdue and were not refused", l.expired)
	}
}

// Guards against lost or doubled requests, idle slots beside waiting requests, broken guarantees and floors, and overdue
// requests that are kept, by comparison with a naive version that scans everything.
func TestAdmissionMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := medlaraccount.DefaultAdmissionConfig()
		c.Order = rapid.SampledFrom([]medlaraccount.Order{medlaraccount.OldestFirst, medlaraccount.NewestFirst}).Draw(t, "order")
		l := &referenceModel{a: medlaraccount.NewAdmission(c), order: c.Order, now: simStart,
			shares: map[medlaraccount.Lane]medlaraccount.Share{}, expiries: map[medlaraccount.RequestID]time.Time{}}
		var keys []medlaraccount.Lane
		share := func(t *rapid.T, key medlaraccount.Lane) {
			l.shares[key] = medlaraccount.Share{Guaranteed: medlarwheel.Slots(rapid.IntRange(0, 2).Draw(t, "guaranteed")),
				Weight:     medlarwheel.Weight(rapid.IntRange(1, 4).Draw(t, "weight")),
				QueueLimit: rapid.IntRange(0, 5).Draw(t, "limit")}
			l.a.SetShare(key, l.shares[key])
		}
		for i, c := range medlarwheel.Classes() {
			for _, account := range []medlarwheel.AccountID{"a", "b"} {
				keys = append(keys, medlaraccount.Lane{Template: medlarwheel.TemplateName(fmt.Sprint(i)), Account: account, Class: c})
				share(t, keys[len(keys)-1])
			}
		}
		offer := func(t *rapid.T) {
			key := rapid.SampledFrom(keys).Draw(t, "lane")
			for range rapid.IntRange(1, 8).Draw(t, "requests") {
				l.offer(t, key)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": offer, "offer again": offer,
			"done": func(t *rapid.T) {
				if len(l.running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(l.running)-1).Draw(t, "running")
				g := l.running[i]
				if !l.a.Done(l.now, g.ID, g.Lane) || l.a.Done(l.now, g.ID, g.Lane) {
					t.Fatal("a request must end exactly once")
				}
				l.running = slices.Delete(l.running, i, i+1)
				l.next(t)
			},
			"cancel": func(t *rapid.T) {
				if len(l.waiting) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(l.waiting)-1).Draw(t, "waiting")
				if !l.a.Cancel(l.now, l.waiting[i].ID) {
					t.Fatal("a waiting request must be cancelled")
				}
				l.waiting = slices.Delete(l.waiting, i, i+1)
			},
			"capacity": func(t *rapid.T) {
				l.capacity = rapid.IntRange(0, 12).Draw(t, "capacity")
				l.a.SetCapacity(l.now, medlarwheel.Slots(l.capacity))
				if rapid.Bool().Draw(t, "next") {
					l.next(t)
				}
			},
			"share": func(t *rapid.T) { share(t, rapid.SampledFrom(keys).Draw(t, "lane")); l.next(t) },
			"time": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				l.next(t)
				l.expire(t)
			},
			"": func(t *rapid.T) {
				if l.a.InFlight() != len(l.running) || l.a.Waiting() != len(l.waiting) {
					t.Fatalf("in flight %d, waiting %d; want %d and %d", l.a.InFlight(), l.a.Waiting(), len(l.running), len(l.waiting))
				}
			},
		})
	})
}
