// Package medlarupstream decides which upstream gets a request.
//
// A Directory merges the platform's lagging list, the upstreams' own announcements and the observations of peers into the
// upstreams that get new work. Shares splits the slots and connections of every upstream over the entry instances of its
// data centre, with loans between instances, so that the requests in flight at one upstream never exceed its slots over
// all instances. A Router takes a slot for each request: in the own data centre first, at the less loaded of two random
// upstreams, leaving out upstreams that Health has ejected and slots above the limit that a Gradient derives from latency.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller serialises access: a Directory belongs to
// the control loop; a Router and its Shares share one lock.
//
// # Usage
//
//	shares := medlarupstream.NewShares(medlarupstream.DefaultSharesConfig("entry-1", "north", incarnation))
//	router := medlarupstream.NewRouter(shares)
//	shares.SetRoster(now, roster)
//	router.SetUpstreams(now, "hold", directory.Live("hold"), spec)
//
// For each request:
//
//	upstream, permit, ok := router.Pick(now, "hold", hash, deadline, nil)
//	// Send the request to upstream.Address and close the connection at the deadline.
//	router.Finish(now, permit, medlarupstream.RequestResult{Event: medlarupstream.EventSuccess, Latency: took})
//
// In the control loop, about every 50 ms, and with every answer of a roster peer or the platform:
//
//	shares.Contact(now, medlarupstream.Confirmation{Peer: peer, Epoch: epoch, InDoubt: inDoubt, Sent: sent})
//	shares.SetDemand(now, "hold", waiting, longestDeadline)
//	for _, r := range shares.WantBorrow(now) { // send to r.Lender, pass the answer to shares.Borrowed
//	}
//	for _, r := range shares.WantRenew(now) { // send to r.Lender, pass the answer to shares.Renewed
//	}
//	for _, r := range shares.WantReturn(now) { // send to r.Lender
//	}
//	capacity := shares.Capacity(now, "hold")
package medlarupstream
