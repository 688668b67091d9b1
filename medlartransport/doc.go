// Package medlartransport sends HTTP requests to upstreams over pooled connections.
//
// It has its own connection pool, because HTTP client libraries resend a request on their own when a pooled connection
// closes before the first response byte, and a non-idempotent request must never be sent twice. A connection carries one
// request at a time. A response is returned only if it is complete and belongs to the attempt. Otherwise the connection is
// closed and the result is a *Failure that says whether bytes of the request may have reached the upstream.
//
// A connection whose state the upstream or a device on the path has lost returns no error. It is detected by a stall: if
// no response byte arrives within the stall timeout, the upstream is probed on a new connection. If it answers the probe,
// the connection counts as stalled, and the idle connections to the upstream that have completed no response since the
// request was sent are closed too. Connections in use are closed after their response.
//
// # Usage
//
//	t := medlartransport.New(medlartransport.DefaultConfig(budget))
//	defer t.Close()
//	info, err := t.Do(medlartransport.Call{Upstream: u, Attempt: id, Deadline: deadline, Request: req, Response: resp})
//	var failure *medlartransport.Failure
//	if errors.As(err, &failure) && !failure.Sent {
//		// Nothing reached the upstream, so the request may be sent to another one.
//	}
package medlartransport
