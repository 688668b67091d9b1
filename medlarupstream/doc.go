// Package medlarupstream decides which upstream gets a request.
//
// A Directory merges the platform's upstream list, which lags behind, with the upstreams' own announcements and the
// observations of peers, and returns the upstreams that get new requests. Shares divides the slots and connections of every
// upstream among the entry instances of its data centre. Instances lend each other idle slots, so the requests in flight at
// one upstream never exceed its slots, counted over all instances. A Router takes a slot for each request: in the local data
// centre first, at the less loaded of two random upstreams. It skips upstreams that Health has ejected and slots above the
// limit that a ConcurrencyLimiter derives from latency.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller serialises access: a Directory is used only by
// the control loop; a Router and its Shares are guarded by one lock.
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
// In the control loop, about every 50 ms, and after every response of a roster peer or the platform:
//
//	shares.HandleConfirmation(now, medlarupstream.Confirmation{Peer: peer, Epoch: epoch, Isolated: isolated, Sent: sent})
//	shares.SetDemand(now, "hold", waiting, longestDeadline)
//	for _, r := range shares.NextLoanRequests(now) { // Send to r.Lender, pass the response to shares.HandleLoanResponse.
//	}
//	for _, r := range shares.NextRenewalRequests(now) { // Send to r.Lender, pass the response to shares.HandleRenewalResponse.
//	}
//	for _, r := range shares.NextReturns(now) { // Send to r.Lender.
//	}
//	capacity := shares.Capacity(now, "hold")
package medlarupstream
