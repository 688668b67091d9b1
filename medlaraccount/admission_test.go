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

// TestMain sets a fixed seed for the property tests unless the command line sets one.
func TestMain(m *testing.M) { medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "11"}) }

// referenceModel is a naive implementation of admission control that keeps the requests in lists and checks each
// decision of the Admission by scanning all of them.
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

func (m *referenceModel) inFlight(match func(medlaraccount.Lane) bool) int {
	n := 0
	for _, r := range m.running {
		if match(r.Lane) {
			n++
		}
	}
	return n
}

func (m *referenceModel) inFlightOfLane(key medlaraccount.Lane) int {
	return m.inFlight(func(k medlaraccount.Lane) bool { return k == key })
}

func (m *referenceModel) inFlightOfClass(c medlarwheel.Class) int {
	return m.inFlight(func(k medlaraccount.Lane) bool { return k.Class == c })
}

func (m *referenceModel) floorSlots(c medlarwheel.Class) float64 {
	f := medlaraccount.DefaultAdmissionConfig().ClassFloor
	return float64(m.capacity) * []float64{f.Urgent, f.Standard, f.Background}[c.Rank()]
}

// coversGuarantees reports whether the capacity covers all guarantees and class floors.
func (m *referenceModel) coversGuarantees() bool {
	need := 0.0
	for _, c := range medlarwheel.Classes() {
		sum := 0.0
		for key, s := range m.shares {
			if key.Class == c {
				sum += float64(s.Guaranteed)
			}
		}
		need += max(sum, m.floorSlots(c))
	}
	return need <= float64(m.capacity)
}

func (m *referenceModel) dropExpired() {
	m.waiting = slices.DeleteFunc(m.waiting, func(r medlaraccount.Request) bool {
		expired := m.now.After(m.expiries[r.ID])
		if expired {
			m.expired = append(m.expired, r.ID)
		}
		return expired
	})
}

// checkGrant checks that a grant to key follows guarantees, class floors and urgency, given the requests that were
// waiting and in flight before it.
func (m *referenceModel) checkGrant(t *rapid.T, key medlaraccount.Lane) {
	var belowGuarantee, belowFloor bool
	mostUrgent := key.Class
	for _, r := range m.waiting {
		c := r.Lane.Class
		belowGuarantee = belowGuarantee || m.inFlightOfLane(r.Lane) < int(m.shares[r.Lane].Guaranteed)
		belowFloor = belowFloor || float64(m.inFlightOfClass(c)+1) <= m.floorSlots(c)
		if c.Rank() < mostUrgent.Rank() {
			mostUrgent = c
		}
	}
	if m.coversGuarantees() && belowGuarantee {
		if m.inFlightOfLane(key) >= int(m.shares[key].Guaranteed) {
			t.Fatalf("%v was granted beyond its guarantee while a lane below its guarantee waited", key)
		}
		return
	}
	usesFloor := float64(m.inFlightOfClass(key.Class)) < m.floorSlots(key.Class)
	if m.coversGuarantees() && belowFloor && !usesFloor {
		t.Fatalf("%v was granted beyond its class floor while a class below its floor waited", key)
	}
	if m.coversGuarantees() && mostUrgent != key.Class && !usesFloor {
		t.Fatalf("%v was lent a slot while %s work waited", key, mostUrgent)
	}
}

// first returns the index of the waiting request of a lane that starts next in the given order, or -1 if there is none.
func (m *referenceModel) first(key medlaraccount.Lane, order medlaraccount.Order) int {
	found := -1
	for i, r := range m.waiting {
		if r.Lane == key && (found < 0 || order == medlaraccount.NewestFirst) {
			found = i
		}
	}
	return found
}

func (m *referenceModel) next(t *rapid.T) {
	m.dropExpired()
	for _, g := range m.a.Next(m.now) {
		i := m.first(g.Lane, m.order)
		if i < 0 || m.waiting[i].ID != g.ID {
			t.Fatalf("granted %v, which is not the next waiting request of its lane", g)
		}
		m.checkGrant(t, g.Lane)
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.running = append(m.running, g)
		if len(m.running) > m.capacity {
			t.Fatalf("%d requests in flight, capacity %d", len(m.running), m.capacity)
		}
	}
	if len(m.waiting) > 0 && len(m.running) < m.capacity {
		t.Fatalf("%d requests still wait while %d slots are free", len(m.waiting), m.capacity-len(m.running))
	}
}

func (m *referenceModel) offer(t *rapid.T, key medlaraccount.Lane) {
	m.lastID++
	r := medlaraccount.Request{ID: m.lastID, Lane: key,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline")) * time.Millisecond),
		Expected: time.Duration(rapid.IntRange(1, 100).Draw(t, "expected")) * time.Millisecond}
	queued := 0
	for _, w := range m.waiting {
		if w.Lane == r.Lane {
			queued++
		}
	}
	latest := r.Deadline.Add(-r.Expected)
	got := m.a.Offer(m.now, r)
	switch got.Decision {
	case medlaraccount.Admitted:
		if len(m.waiting) > 0 || len(m.running) >= m.capacity || m.now.After(latest) {
			t.Fatalf("admitted %v with %d waiting and %d of %d in flight", r, len(m.waiting), len(m.running), m.capacity)
		}
		m.running = append(m.running, medlaraccount.Grant{ID: r.ID, Lane: r.Lane})
	case medlaraccount.Queued:
		full := queued >= m.shares[r.Lane].QueueLimit
		if (full && (m.order == medlaraccount.OldestFirst || queued == 0)) || m.now.After(latest) {
			t.Fatalf("queued %v behind %d others although the queue limit is %d or the deadline cannot be met", r, queued,
				m.shares[r.Lane].QueueLimit)
		}
		if full {
			i := m.first(r.Lane, medlaraccount.OldestFirst)
			m.expired = append(m.expired, m.waiting[i].ID)
			m.waiting = slices.Delete(m.waiting, i, i+1)
		}
		m.expiries[r.ID] = latest
		if end := m.now.Add(medlaraccount.DefaultAdmissionConfig().QueueTimeout); end.Before(latest) {
			m.expiries[r.ID] = end
		}
		m.waiting = append(m.waiting, r)
	case medlaraccount.Refused:
		if got.Refusal.Outcome != medlarwheel.OutcomeNotRun || got.Refusal.RetryAfter < medlaraccount.MinRetryAfter {
			t.Fatalf("got refusal %+v, want outcome %s and a retry-after time of at least %s", got.Refusal, medlarwheel.OutcomeNotRun,
				medlaraccount.MinRetryAfter)
		}
		if len(m.waiting) == 0 && len(m.running) < m.capacity && !m.now.After(latest) {
			t.Fatalf("refused %v although a slot is free and the deadline can be met", r)
		}
	}
}

func (m *referenceModel) expire(t *rapid.T) {
	m.dropExpired()
	for _, e := range m.a.Expire(m.now) {
		m.expired = slices.DeleteFunc(m.expired, func(id medlaraccount.RequestID) bool { return id == e.ID })
		m.waiting = slices.DeleteFunc(m.waiting, func(r medlaraccount.Request) bool { return r.ID == e.ID })
	}
	if len(m.expired) > 0 {
		t.Fatalf("requests %v have expired or were displaced, but Expire did not return them", m.expired)
	}
}

// Guards against lost or duplicated requests, slots that stay free while requests wait, violated guarantees and class
// floors, and expired requests that stay queued. Random calls of an Admission are checked against the reference model.
func TestAdmissionMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := medlaraccount.DefaultAdmissionConfig()
		c.Order = rapid.SampledFrom([]medlaraccount.Order{medlaraccount.OldestFirst, medlaraccount.NewestFirst}).Draw(t, "order")
		m := &referenceModel{a: medlaraccount.NewAdmission(c), order: c.Order, now: simStart,
			shares: map[medlaraccount.Lane]medlaraccount.Share{}, expiries: map[medlaraccount.RequestID]time.Time{}}
		var keys []medlaraccount.Lane
		share := func(t *rapid.T, key medlaraccount.Lane) {
			m.shares[key] = medlaraccount.Share{Guaranteed: medlarwheel.Slots(rapid.IntRange(0, 2).Draw(t, "guaranteed")),
				Weight:     medlarwheel.Weight(rapid.IntRange(1, 4).Draw(t, "weight")),
				QueueLimit: rapid.IntRange(0, 5).Draw(t, "limit")}
			m.a.SetShare(key, m.shares[key])
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
				m.offer(t, key)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": offer, "offer again": offer,
			"done": func(t *rapid.T) {
				if len(m.running) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
				g := m.running[i]
				if !m.a.Done(m.now, g.ID, g.Lane) || m.a.Done(m.now, g.ID, g.Lane) {
					t.Fatalf("Done of request %d must return true on the first call and false on the second", g.ID)
				}
				m.running = slices.Delete(m.running, i, i+1)
				m.next(t)
			},
			"cancel": func(t *rapid.T) {
				if len(m.waiting) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(m.waiting)-1).Draw(t, "waiting")
				if !m.a.Cancel(m.now, m.waiting[i].ID) {
					t.Fatalf("Cancel of waiting request %d returned false, want true", m.waiting[i].ID)
				}
				m.waiting = slices.Delete(m.waiting, i, i+1)
			},
			"capacity": func(t *rapid.T) {
				m.capacity = rapid.IntRange(0, 12).Draw(t, "capacity")
				m.a.SetCapacity(m.now, medlarwheel.Slots(m.capacity))
				if rapid.Bool().Draw(t, "next") {
					m.next(t)
				}
			},
			"share": func(t *rapid.T) { share(t, rapid.SampledFrom(keys).Draw(t, "lane")); m.next(t) },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
				m.next(t)
				m.expire(t)
			},
			"": func(t *rapid.T) {
				if m.a.InFlight() != len(m.running) || m.a.Waiting() != len(m.waiting) {
					t.Fatalf("got %d requests in flight and %d waiting, want %d and %d", m.a.InFlight(), m.a.Waiting(), len(m.running), len(m.waiting))
				}
			},
		})
	})
}
