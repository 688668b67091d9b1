// Package medlarreturns decides when submissions that were turned away should come back, and which of them comes first.
//
// It handles many refusals at once: clients that are all told the same time come back together, most of them are refused again, and
// those that have just arrived take what the others have waited for. A calendar therefore promises for each second what is expected
// to be free in it. What becomes free while a submission waits is kept for it, and of those that compete for it, the one that was
// first turned away comes first. A wide one comes before those that were turned away shortly before it, since they would find room
// all the time while its own collects.
//
// The scheduler of a cell keeps one calendar for each limit, since a client that comes back reaches another instance.
//
// # Usage
//
//	answer := calendar.TurnAway(now, medlarreturns.Request{ID: id, Needed: 20, Missing: 5, Rate: 2, Wait: 3 * time.Second})
//	if answer.Admitted {
//		// It has come back as promised, and there is room.
//	}
//	// Otherwise, refuse it with answer.RetryAfter.
package medlarreturns

import (
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Amount is an amount of what a limit bounds, such as cores or core-seconds.
type Amount float64

// Request describes a submission that an instance is about to turn away.
type Request struct {
	ID medlarsubmission.ID `json:"id"`
	// Needed is what the submission needs, and Missing the part of it that is not free.
	Needed  Amount `json:"needed"`
	Missing Amount `json:"missing"`
	// Reserved is what the instance took as kept for submissions that come back.
	Reserved Amount `json:"reserved,omitempty"`
	// Rate is the expected amount that becomes free in a second.
	Rate Amount `json:"rate,omitempty"`
	// Wait is the time in which the missing amount is expected to become free.
	Wait time.Duration `json:"wait-ns"`
}

// Check returns all faults of the request.
func (r *Request) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	if !r.ID.IsValid() {
		faults = faults.Add("id", r.ID, "16 hexadecimal digits")
	}
	if r.Wait < 0 {
		faults = faults.Add("wait-ns", r.Wait, "0 or more")
	}
	for _, amount := range []Amount{r.Needed, r.Missing, r.Reserved, r.Rate} {
		if amount < 0 {
			faults = faults.Add("amount", float64(amount), "0 or more")
		}
	}
	return faults
}

// lead returns how much earlier the submission counts as turned away.
func (r *Request) lead() time.Duration {
	if r.Rate <= 0 {
		return 0
	}
	return time.Duration(min(leadFactor*float64(r.Needed/r.Rate), maxLead.Seconds()) * float64(time.Second))
}

// Answer tells an instance what to do with the submission.
type Answer struct {
	// Admitted is true if the submission has come back as promised and fits into what is kept for it.
	Admitted bool `json:"admitted,omitempty"`
	// RetryAfter is when it should come back otherwise, in whole seconds.
	RetryAfter time.Duration `json:"retry-after-ns,omitempty"`
	// Returned is true if it was turned away before, and Age how long ago that was for the first time.
	Returned bool          `json:"returned,omitempty"`
	Age      time.Duration `json:"age-ns,omitempty"`
}

const (
	// slotLength is the length of the parts of a calendar. Clients are told whole seconds.
	slotLength = time.Second
	// slots is the number of parts ahead. It bounds the time that a client is told.
	slots = 11
	// dueTolerance is how much earlier than promised a submission may come back, and keptAfterDue how much later. One that comes later
	// still is a new one.
	dueTolerance = 100 * time.Millisecond
	keptAfterDue = time.Second
	// maxSilence is how long room is kept for a submission whose client asks before its time: such a client does not go by the time
	// that it was told, and has left once it no longer asks.
	maxSilence = 1500 * time.Millisecond
	// maxAge is how long room is kept for a submission. A client that asks again and again for what does not become free would close the
	// door for all others.
	maxAge = 30 * time.Second
	// maxKept bounds what is kept for all submissions, as the time in which it becomes free, unless the first one needs more. Clients
	// that do not come back close no more than that for others.
	maxKept = 2500 * time.Millisecond
	// leadFactor times the time in which the need of a submission becomes free, but at most maxLead, is how much earlier it counts as
	// turned away.
	leadFactor = 4
	maxLead    = 10 * time.Second
	// maxPromises bounds the memory of a calendar. Further submissions are turned away without a promise.
	maxPromises = 4096
)

// promise is what a submission that was turned away was told.
type promise struct {
	id medlarsubmission.ID
	// firstAt is when it was turned away for the first time. It was told at lastAt to come back at dueAt.
	firstAt, lastAt, dueAt time.Time
	// askedEarlyAt is when its client has last asked before its time, or zero.
	askedEarlyAt time.Time
	// placeAt is firstAt less the lead of the submission.
	placeAt time.Time
	needed  Amount
}

// isDue reports whether the submission may come back now.
func (p *promise) isDue(now time.Time) bool { return !now.Before(p.dueAt.Add(-dueTolerance)) }

// kept returns what is kept for the submission: what becomes free while it waits, so that others do not take it piece by piece.
func (p *promise) kept(now time.Time) Amount {
	if now.Sub(p.firstAt) > maxAge {
		return 0
	}
	if p.isDue(now) {
		return p.needed
	}
	return p.needed * Amount(now.Sub(p.lastAt).Seconds()/p.dueAt.Sub(p.lastAt).Seconds())
}

func (p *promise) hasExpired(now time.Time) bool {
	hasLeft := !p.askedEarlyAt.IsZero() && now.After(p.askedEarlyAt.Add(maxSilence))
	return hasLeft || now.After(p.dueAt.Add(keptAfterDue))
}

// Calendar holds the promises for one limit. The zero Calendar is empty.
type Calendar struct {
	byID map[medlarsubmission.ID]*promise
	// promises lists them by placeAt.
	promises []*promise
	// booked is what is promised for the parts from firstSlot on, which is counted from the Unix epoch.
	booked    [slots]Amount
	firstSlot int64
	// missedShare is the averaged share of the submissions that have not come back at their time.
	missedShare float64
}

// missedWeight is the weight of one submission in the average of those that come back.
const missedWeight = 0.1

// observeReturn records whether a submission has come back at its time. Where few do, little is kept: it would be lost.
func (c *Calendar) observeReturn(missed float64) {
	c.missedShare += missedWeight * (missed - c.missedShare)
}

// expectedShare returns the share of what submissions need that is kept for them.
func (c *Calendar) expectedShare() Amount { return Amount(1 - c.missedShare) }

// TurnAway returns what to do with a submission that does not fit into what is free.
func (c *Calendar) TurnAway(now time.Time, r Request) Answer {
	c.advance(now)
	p := c.byID[r.ID]
	if p == nil {
		return Answer{RetryAfter: c.promise(now, &r)}
	}
	answer := Answer{Returned: true, Age: now.Sub(p.firstAt)}
	answer.Admitted = r.Missing <= c.keptFor(now, p, &r)
	isDue := p.isDue(now)
	if isDue {
		c.observeReturn(0)
	} else {
		p.askedEarlyAt = now
	}
	if answer.Admitted {
		return answer
	}
	if isDue {
		c.renew(now, p, &r)
	}
	answer.RetryAfter = wholeSlots(p.dueAt.Sub(now))
	return answer
}

// keptFor returns the part of what is kept that a submission may take: all but what is kept for those before it.
// One that is due also takes what is kept for those that are not, since it would be lost if their clients had gone.
func (c *Calendar) keptFor(now time.Time, p *promise, r *Request) Amount {
	left := r.Reserved
	for _, other := range c.promises {
		if other == p {
			break
		}
		if other.isDue(now) || !p.isDue(now) {
			left -= other.kept(now) * c.expectedShare()
		}
	}
	return left
}

// renew promises another time to a submission that was due and has found no room. It keeps its place before those that were turned
// away later, so that its time does not depend on theirs.
func (c *Calendar) renew(now time.Time, p *promise, r *Request) {
	after := wholeSlots(r.Wait)
	p.lastAt, p.dueAt, p.askedEarlyAt, p.needed = now, now.Add(after), time.Time{}, r.Needed
	c.book(after, r)
}

// Forget drops the promise to a submission that has been accepted.
func (c *Calendar) Forget(id medlarsubmission.ID) {
	if p := c.byID[id]; p != nil {
		delete(c.byID, id)
		c.promises = slices.DeleteFunc(c.promises, func(other *promise) bool { return other == p })
	}
}

// Reserved returns what is kept for submissions that are expected back, if the given amount becomes free in a second.
func (c *Calendar) Reserved(now time.Time, rate Amount) Amount {
	c.advance(now)
	most, total := rate*Amount(maxKept.Seconds()), Amount(0)
	for i, p := range c.promises {
		if i == 0 {
			most = max(most, p.kept(now))
		}
		total += p.kept(now)
	}
	return min(total*c.expectedShare(), most)
}

// promise records a submission that is turned away for the first time, and returns when it should come back.
func (c *Calendar) promise(now time.Time, r *Request) time.Duration {
	after := c.firstFree(r)
	c.book(after, r)
	if len(c.promises) >= maxPromises {
		return after
	}
	p := &promise{id: r.ID, firstAt: now, lastAt: now, dueAt: now.Add(after), placeAt: now.Add(-r.lead()), needed: r.Needed}
	if c.byID == nil {
		c.byID = map[medlarsubmission.ID]*promise{}
	}
	place, _ := slices.BinarySearchFunc(c.promises, p.placeAt, func(other *promise, at time.Time) int {
		if other.placeAt.After(at) {
			return 1
		}
		return -1
	})
	c.byID[r.ID], c.promises = p, slices.Insert(c.promises, place, p)
	return after
}

// firstFree returns when the first part begins, not before the wait, that is not fully booked. If there is none, it is the one of the
// later half for which the least is promised.
func (c *Calendar) firstFree(r *Request) time.Duration {
	first := int(wholeSlots(r.Wait) / slotLength)
	least := max(first, slots/2)
	for n := first; n < slots; n++ {
		if c.booked[n] == 0 || c.booked[n] < r.Rate {
			return time.Duration(n) * slotLength
		}
		if n > least && c.booked[n] < c.booked[least] {
			least = n
		}
	}
	return time.Duration(least) * slotLength
}

// book records what a submission needs from the given time on. What exceeds the rate goes to the following parts that are free.
func (c *Calendar) book(after time.Duration, r *Request) {
	first, left := int(after/slotLength), r.Needed
	for n := first; n < slots && left > 0; n++ {
		here := min(left, max(0, r.Rate-c.booked[n]))
		c.booked[n] += here
		left -= here
	}
	c.booked[first] += left
}

// wholeSlots rounds a wait up to whole parts, within those of the calendar.
func wholeSlots(wait time.Duration) time.Duration {
	return min(max((wait+slotLength-1)/slotLength, 1), slots-1) * slotLength
}

// advance drops the parts that have passed and the promises that have expired.
func (c *Calendar) advance(now time.Time) {
	slot := now.Unix()
	if passed := slot - c.firstSlot; passed > 0 {
		kept := copy(c.booked[:], c.booked[min(passed, slots):])
		clear(c.booked[kept:])
		c.firstSlot = slot
	}
	c.promises = slices.DeleteFunc(c.promises, func(p *promise) bool {
		if p.hasExpired(now) {
			delete(c.byID, p.id)
			c.observeReturn(1)
			return true
		}
		return false
	})
}
