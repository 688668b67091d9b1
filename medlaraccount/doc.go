// Package medlaraccount admits requests per class and client account at one entry instance.
//
// An Admission limits the requests in flight to a capacity that changes with the slots this instance holds. Requests that
// find no free capacity wait in one bounded queue per lane, a lane being a template, a client account and a class. Each
// lane keeps a guaranteed number of slots and each class a share of the capacity (ClassFloor). What they leave idle is
// lent: to the most urgent class first, and by weight within a class. A slot that becomes free goes first to a lane below
// its guarantee, so that lent slots return as soon as requests on them end. Requests that cannot meet their deadline are
// refused at once with a time to come back that follows from the measured drain rate.
//
// A RetryBudget bounds the retries that an instance sends to upstreams to a ratio of the fresh requests.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller serialises access with a lock. One Admission
// serves the templates of one upstream service, because capacity of one service is of no use to another.
//
// # Usage
//
//	a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
//	a.SetCapacity(now, 58)
//	a.SetShare(lane, medlaraccount.Share{Guaranteed: 4, Weight: 2, QueueLimit: 32})
//	switch r := a.Offer(now, medlaraccount.Request{ID: 1, Lane: lane, Deadline: deadline}); r.Decision {
//	case medlaraccount.Admitted: // Send the request and call Done at its end.
//	case medlaraccount.Queued: // Wait until Next or Expire names the request.
//	case medlaraccount.Refused: // Answer with r.Refusal.
//	}
//
// After Done, Cancel, SetCapacity and SetShare call Next, and wake the requests that it grants. Call Expire at the time
// that NextExpiry names, and answer the requests that it returns:
//
//	a.Done(now, 1, lane)
//	for _, g := range a.Next(now) {
//		wake(g.ID)
//	}
//	for _, e := range a.Expire(now) {
//		answer(e.ID, e.Refusal)
//	}
package medlaraccount
