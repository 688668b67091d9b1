// Package medlartransport carries requests over connections to upstreams.
//
// It keeps its own pool, because an HTTP client library resends a request by itself when a pooled connection closes
// before the first response byte, and a non-idempotent request must never be sent twice. A connection carries one
// request at a time. A response is passed on only when it is complete and belongs to the attempt; otherwise the
// connection is closed and the result is a *Failure that says whether bytes may have reached the upstream.
//
// A connection whose peer has lost track of it gives no error. It is found by its lack of progress: when no byte arrives
// for the silence limit, a probe is sent on a fresh connection. If the probe is answered, the connection is suspect and
// the idle connections that have made no progress since are retired with it.
//
// # Usage
//
//	links := medlartransport.New(medlartransport.DefaultConfig(budget))
//	defer links.Close()
//	report, err := links.Do(medlartransport.Call{Upstream: u, Attempt: id, Deadline: deadline, Request: req, Response: resp})
//	var failure *medlartransport.Failure
//	if errors.As(err, &failure) && !failure.Sent {
//		// Nothing reached the upstream: another upstream may be tried.
//	}
package medlartransport
