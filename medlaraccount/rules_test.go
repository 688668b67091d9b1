package medlaraccount_test

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
)

// saturate offers one request of each lane per step and ends each request after 100 ms, so that all lanes always wait.
func saturate(a *medlaraccount.Admission, capacity int, steps int, lanes ...medlaraccount.Lane) map[medlaraccount.Lane]int {
	now, ids := simStart, medlaraccount.RequestID(0)
	started := map[medlaraccount.Lane]int{}
	var running []medlaraccount.Grant
	a.SetCapacity(now, medlarwheel.Slots(capacity))
	for range steps {
		for _, key := range lanes {
			ids++
			if a.Offer(now, medlaraccount.Request{ID: ids, Lane: key}).Decision == medlaraccount.Admitted {
				running = append(running, medlaraccount.Grant{ID: ids, Lane: key})
			}
		}
		now = now.Add(100 * time.Millisecond)
		for _, g := range running {
			started[g.Lane]++
			a.Done(now, g.ID, g.Lane)
		}
		running = append(running[:0], a.Next(now)...)
		a.Expire(now)
	}
	return started
}

// Guards against weights that are ignored when there are more lanes than slots, and against a class that gets nothing
// because its floor is less than one slot.
func TestFewSlotsFollowWeightsAndClassFloors(t *testing.T) {
	a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
	lanes := make([]medlaraccount.Lane, 40)
	for i := range lanes {
		lanes[i] = medlaraccount.Lane{Account: medlarwheel.AccountID(fmt.Sprint(i)), Class: standard}
		a.SetShare(lanes[i], medlaraccount.Share{Weight: medlarwheel.Weight(1 + 2*(i%2)), QueueLimit: 4, QueueTimeout: time.Minute})
	}
	started := saturate(a, 4, 2000, lanes...)
	light, heavy := started[lanes[0]], started[lanes[1]]
	if light == 0 || heavy*10 < light*27 || heavy*10 > light*33 {
		t.Errorf("a lane of weight 3 got %d, one of weight 1 got %d", heavy, light)
	}

	a = medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
	flooding, other := medlaraccount.Lane{Class: urgent}, medlaraccount.Lane{Class: background}
	a.SetShare(other, medlaraccount.Share{Weight: 1, QueueLimit: 4, QueueTimeout: time.Minute})
	started = saturate(a, 1, 1000, flooding, other)
	if got := started[other]; got < 95 || got > 105 {
		t.Errorf("background work got %d of 1000 grants of a single slot, want its floor of 10%%", got)
	}
}

// Guards against guarantees beyond the capacity that take the floors of other classes.
func TestGuaranteesAboveCapacityKeepClassFloors(t *testing.T) {
	a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
	other := medlaraccount.Lane{Class: background}
	a.SetShare(other, medlaraccount.Share{Weight: 1, QueueLimit: 9, QueueTimeout: time.Minute})
	lanes := []medlaraccount.Lane{other}
	for i := range 10 {
		lanes = append(lanes, medlaraccount.Lane{Account: medlarwheel.AccountID(fmt.Sprint(i)), Class: urgent})
		a.SetShare(lanes[i+1], medlaraccount.Share{Guaranteed: 4, Weight: 1, QueueLimit: 9, QueueTimeout: time.Minute})
	}
	started := saturate(a, 10, 100, lanes...)
	if got := started[other]; got < 90 {
		t.Errorf("background work got %d of 1000 grants beside guarantees of four times the capacity, want 10%%", got)
	}
}

// Guards against queues longer than the deadline allows, and against refused callers that all come back at the same
// moment or sooner than the queue drains.
func TestQueueLengthAndRetryAfterFollowDrainRate(t *testing.T) {
	a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
	key := medlaraccount.Lane{Class: standard}
	a.SetShare(key, medlaraccount.Share{Weight: 1, QueueLimit: 100})
	saturate(a, 10, 100, key, key, key, key, key, key, key, key, key, key, key, key, key, key, key) // drains 100 a second
	now := expireAll(a, simStart.Add(10*time.Second))
	before, refusals := time.Duration(0), 0
	for id := medlaraccount.RequestID(1e6); refusals < 200; id++ {
		r := a.Offer(now, medlaraccount.Request{ID: id, Lane: key, Deadline: now.Add(400 * time.Millisecond)})
		if r.Decision != medlaraccount.Refused {
			continue
		}
		refusals++
		if r.Refusal.Reason != medlarwheel.ReasonDeadline || r.Refusal.RetryAfter < max(before, medlaraccount.MinRetryAfter) {
			t.Fatalf("refusal %+v after %v", r.Refusal, before)
		}
		before = r.Refusal.RetryAfter
	}
	if got := a.Waiting(); got < 20 || got > 40 {
		t.Errorf("%d requests wait; 30 can start within 300 ms", got)
	}
	if before < 1500*time.Millisecond || before > 4*time.Second {
		t.Errorf("caller 200 comes back after %v; 100 requests a second drain", before)
	}
}

// expireAll lets all waiting requests expire.
func expireAll(a *medlaraccount.Admission, now time.Time) time.Time {
	for a.Waiting() > 0 {
		now = now.Add(time.Second)
		a.Expire(now)
	}
	return now
}

// Guards against waiting requests that are kept although a fall of the capacity has made them hopeless.
func TestCapacityLossRefusesRequestsThatWouldStartTooLate(t *testing.T) {
	a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
	key := medlaraccount.Lane{Class: standard}
	a.SetShare(key, medlaraccount.Share{Weight: 1, QueueLimit: 100})
	saturate(a, 10, 50, key, key, key, key, key, key, key, key, key, key, key, key)
	now := expireAll(a, simStart.Add(5*time.Second))
	for id := medlaraccount.RequestID(1e6); a.Waiting() < 40; id++ {
		a.Offer(now, medlaraccount.Request{ID: id, Lane: key, Deadline: now.Add(900 * time.Millisecond)})
	}
	a.SetCapacity(now, 0)
	refusals := 0
	for range 20 {
		now = now.Add(25 * time.Millisecond)
		refusals += len(a.Expire(now))
	}
	if refusals < 20 || a.Waiting() == 0 {
		t.Errorf("%d of 40 requests refused 500 ms after the capacity was lost, 300 ms before their last start", refusals)
	}
}

// Guards against memory that grows with refused requests or with unknown client accounts, and against retries that
// exceed their budget.
func TestLanesAllocationsAndRetriesAreBounded(t *testing.T) {
	c := medlaraccount.DefaultAdmissionConfig()
	c.MaxLanes = 8
	a := medlaraccount.NewAdmission(c)
	for id := range medlaraccount.RequestID(1000) {
		key := medlaraccount.Lane{Account: medlarwheel.AccountID(fmt.Sprint(id)), Class: standard}
		a.Offer(simStart, medlaraccount.Request{ID: id + 1, Lane: key})
	}
	inLanes := 0
	for _, l := range a.Report(simStart).Lanes {
		inLanes += l.Waiting
	}
	if got := len(a.Report(simStart).Lanes); got > c.MaxLanes || inLanes != a.Waiting() {
		t.Errorf("%d lanes with %d of %d waiting requests, want at most %d lanes", got, inLanes, a.Waiting(), c.MaxLanes)
	}
	key := medlaraccount.Lane{Account: "0", Class: standard}
	a.SetShare(key, medlaraccount.Share{Weight: 1})
	id := medlaraccount.RequestID(5000)
	if got := testing.AllocsPerRun(1000, func() { id++; a.Offer(simStart, medlaraccount.Request{ID: id, Lane: key}) }); got > 0 {
		t.Errorf("%v allocations per refused request", got)
	}

	b, retries, now := medlaraccount.NewRetryBudget(medlaraccount.DefaultRetryBudgetConfig()), 0, simStart
	for range 10_000 { // 1,000 requests a second for 10 s, each of which wants a retry
		now = now.Add(time.Millisecond)
		b.Deposit(now)
		if b.TryWithdraw(now) {
			retries++
		}
	}
	if retries < 1000 || retries > 1011 {
		t.Errorf("%d retries for 10,000 fresh requests in 10 s, want 10%% and one a second", retries)
	}
}
