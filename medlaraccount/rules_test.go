package medlaraccount_test

import (
	"fmt"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
)

// saturate offers one request for each listed lane in every step of 100 ms and ends each request after one step, so
// that all lanes always have waiting requests. It returns the number of requests of each lane that ended.
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

// Guards against weights being ignored when there are more lanes than slots, and against a class that gets no slot
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
		t.Errorf("lanes of weight 3 and 1 started %d and %d requests, want a ratio of 2.7 to 3.3", heavy, light)
	}

	a = medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
	flooding, other := medlaraccount.Lane{Class: urgent}, medlaraccount.Lane{Class: background}
	a.SetShare(other, medlaraccount.Share{Weight: 1, QueueLimit: 4, QueueTimeout: time.Minute})
	started = saturate(a, 1, 1000, flooding, other)
	if got := started[other]; got < 95 || got > 105 {
		t.Errorf("background work got %d of 1000 grants of a single slot, want 95 to 105 for its floor of 10%%", got)
	}
}

// Guards against guarantees that exceed the capacity and take away the floor of another class. Ten urgent lanes are
// guaranteed four times the capacity together.
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
		t.Errorf("background work got %d of 1000 grants with guarantees of four times the capacity, want at least 90", got)
	}
}

// Guards against queues too long for the deadlines of their requests, and against refused clients that all retry at the
// same time or before the queue has drained. The lane drains 100 requests a second, and 200 requests are refused at one
// instant.
func TestQueueLengthAndRetryAfterFollowDrainRate(t *testing.T) {
	a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
	key := medlaraccount.Lane{Class: standard}
	a.SetShare(key, medlaraccount.Share{Weight: 1, QueueLimit: 100})
	saturate(a, 10, 100, key, key, key, key, key, key, key, key, key, key, key, key, key, key, key) // drains 100 a second
	now := expireAll(a, simStart.Add(10*time.Second))
	previous, refusals := time.Duration(0), 0
	for id := medlaraccount.RequestID(1e6); refusals < 200; id++ {
		r := a.Offer(now, medlaraccount.Request{ID: id, Lane: key, Deadline: now.Add(400 * time.Millisecond)})
		if r.Decision != medlaraccount.Refused {
			continue
		}
		refusals++
		if r.Refusal.Reason != medlarwheel.ReasonDeadline || r.Refusal.RetryAfter < max(previous, medlaraccount.MinRetryAfter) {
			t.Fatalf("got refusal %+v, want reason %s and a retry-after time of at least %v", r.Refusal, medlarwheel.ReasonDeadline,
				max(previous, medlaraccount.MinRetryAfter))
		}
		previous = r.Refusal.RetryAfter
	}
	if got := a.Waiting(); got < 20 || got > 40 {
		t.Errorf("%d requests wait, want 20 to 40 because 30 can start within 300 ms", got)
	}
	if previous < 1500*time.Millisecond || previous > 4*time.Second {
		t.Errorf("retry-after time of refusal 200 is %v, want 1.5 s to 4 s at 100 requests a second", previous)
	}
}

// expireAll advances the time until all waiting requests have expired, and returns the new time.
func expireAll(a *medlaraccount.Admission, now time.Time) time.Time {
	for a.Waiting() > 0 {
		now = now.Add(time.Second)
		a.Expire(now)
	}
	return now
}

// Guards against requests that stay queued until their expiry after a loss of capacity, although they can no longer
// start in time. The capacity drops to zero while 40 requests wait, and the check follows 500 ms later, which is 300 ms
// before the latest start of these requests.
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
		t.Errorf("%d of 40 requests were refused and %d wait 500 ms after the loss of capacity, want at least 20 refused and some waiting",
			refusals, a.Waiting())
	}
}

// Guards against memory that grows with the number of unknown client accounts or of refused requests, and against more
// retries than the budget allows.
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
		t.Errorf("got %d lanes that report %d of %d waiting requests, want at most %d lanes that report all", got, inLanes, a.Waiting(), c.MaxLanes)
	}
	key := medlaraccount.Lane{Account: "0", Class: standard}
	a.SetShare(key, medlaraccount.Share{Weight: 1})
	id := medlaraccount.RequestID(5000)
	if got := testing.AllocsPerRun(1000, func() { id++; a.Offer(simStart, medlaraccount.Request{ID: id, Lane: key}) }); got > 0 {
		t.Errorf("%v allocations per refused request, want 0", got)
	}

	b, retries, now := medlaraccount.NewRetryBudget(medlaraccount.DefaultRetryBudgetConfig()), 0, simStart
	for range 10_000 { // 1,000 first attempts a second for 10 s, each followed by a retry
		now = now.Add(time.Millisecond)
		b.Deposit(now)
		if b.TryWithdraw(now) {
			retries++
		}
	}
	if retries < 1000 || retries > 1011 {
		t.Errorf("%d retries for 10,000 first attempts in 10 s, want 1,000 to 1,011 for 10%% and one a second", retries)
	}
}
