// Package medlarentry is the daemon: an entry instance between callers and upstreams.
//
// One goroutine, the control loop, owns the control state: membership, rosters, configuration and the directory of
// upstreams. It publishes an immutable snapshot that the goroutines which carry traffic read. Admission, routing and the
// seat of the claim group change with each request and have short locks of their own.
//
// # Usage
//
//	daemon := medlarentry.New(settings, log, medlarwheel.SystemClock{})
//	err := daemon.Run(ctx) // serves until ctx ends, then stops gracefully
package medlarentry
