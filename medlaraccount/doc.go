// Package medlaraccount implements admission control at an entry instance, with fair sharing of the capacity between
// classes and client accounts.
//
// An Admission limits the requests in flight to a capacity, which follows the number of slots that this instance holds.
// When no capacity is free, requests wait in bounded queues. A lane is the combination of a template, a client account and
// a class, and has its own queue. Each lane is guaranteed a number of slots, and each class a fraction of the capacity
// (ClassFloor). Capacity that these guarantees leave unused is lent: to the most urgent class first, and by weight between
// the lanes of a class. A slot that becomes free goes first to a lane below its guarantee, so that lent slots return as
// soon as the requests in them end. A request that cannot meet its deadline is refused immediately, with a retry-after
// time derived from the measured drain rate of its queue.
//
// A RetryBudget limits the retries that an instance sends to upstreams to a fraction of the first attempts.
//
// The package does no I/O, starts no goroutines and reads no clock. The caller serialises access with a lock. One
// Admission serves the templates of one upstream service, because the capacity of one service cannot serve another.
//
// # Usage
//
//	a := medlaraccount.NewAdmission(medlaraccount.DefaultAdmissionConfig())
//	a.SetCapacity(now, 58)
//	a.SetShare(lane, medlaraccount.Share{Guaranteed: 4, Weight: 2, QueueLimit: 32})
//	switch r := a.Offer(now, medlaraccount.Request{ID: 1, Lane: lane, Deadline: deadline}); r.Decision {
//	case medlaraccount.Admitted: // Send the request, and call Done when it has ended.
//	case medlaraccount.Queued: // Wait until Next or Expire returns the request.
//	case medlaraccount.Refused: // Respond with r.Refusal.
//	}
//
// After Done, Cancel, SetCapacity and SetShare, call Next and start the requests that it returns. Call Expire at the time
// that NextExpiry returns, and respond to the requests that it returns:
//
//	a.Done(now, 1, lane)
//	for _, g := range a.Next(now) {
//		start(g.ID)
//	}
//	for _, e := range a.Expire(now) {
//		respond(e.ID, e.Refusal)
//	}
package medlaraccount
