// Package medlarentry implements the entry instance: the daemon that forwards the requests of clients to upstreams.
//
// One goroutine, the control loop, owns the control state: membership, rosters, configuration and the directory of
// upstreams. It publishes an immutable snapshot, which the goroutines that serve requests read. Admission, routing and
// the local voter of the claim group change with each request and are guarded by short locks of their own.
//
// # Usage
//
//	daemon := medlarentry.New(settings, log, medlarwheel.SystemClock{})
//	err := daemon.Run(ctx) // serves until ctx ends, then shuts down gracefully
package medlarentry
