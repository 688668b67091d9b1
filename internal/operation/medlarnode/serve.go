package medlarnode

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/platform"
)

// Limits of the servers.
const (
	// maxHeader and maxBody are above the limits in the operator's configuration.
	maxHeader = 32 << 10
	maxBody   = 1 << 20
	// readTimeout is the time that a client has to send a request.
	readTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 75 * time.Second
)

// server is a listener with its HTTP server.
type server struct {
	name     string
	listener net.Listener
	http     *fasthttp.Server
}

func (s *server) serve() error {
	return medlarwheel.WithOperation("serve "+s.name, s.listener.Addr().String(), s.http.Serve(s.listener))
}

func (s *server) shutdown(ctx context.Context) error {
	return medlarwheel.WithOperation("shut down "+s.name, "", s.http.ShutdownWithContext(ctx))
}

// listen opens all listeners, so that a port that is in use is reported before anything else starts.
func (n *Node) listen() ([]*server, error) {
	settings := &n.config.Settings
	var servers []*server
	for _, s := range []struct {
		name, address string
		handler       fasthttp.RequestHandler
	}{
		{"clients", settings.Serve, platform.NewClientHandler(n, n.clock.Now)},
		{"readiness", settings.Ready, platform.NewReadinessHandler(n.IsReady)},
		{"peers", settings.Peer, n.handlePeer},
		{"metrics", settings.Metrics, n.meter.Handler},
	} {
		listener, err := net.Listen("tcp4", s.address)
		if err != nil {
			return nil, medlarwheel.WithOperation("listen for "+s.name, s.address, err)
		}
		retrying := &retryListener{Listener: listener, name: s.name, log: n.log, meter: n.meter, clock: n.clock}
		servers = append(servers, &server{name: s.name, listener: retrying, http: &fasthttp.Server{
			Handler: n.recoverPanics(s.name, s.handler), ReadBufferSize: maxHeader, MaxRequestBodySize: maxBody, ReadTimeout: readTimeout,
			IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
			ReduceMemoryUsage: true, Logger: discardLogger{},
		}})
	}
	return servers, nil
}

// recoverPanics keeps the process running when a handler panics, which would otherwise end it. The response is 504,
// because the request may have had an effect.
func (n *Node) recoverPanics(name string, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		var p *medlarrecover.Panic
		if !errors.As(medlarrecover.Run(name, func() error { handler(ctx); return nil }), &p) {
			return
		}
		n.meter.Count("handler-panicked." + name)
		n.log.Error().Str("event", "handler-panicked").Str("server", name).Bytes("path", ctx.Path()).
			Interface("cause", p.Cause).Bytes("stack", p.Stack).
			Msg("request handler panicked; responded with status 504 and closing the connection")
		ctx.Response.Reset()
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
		ctx.SetConnectionClose()
	}
}

// discardLogger drops the log lines of fasthttp about connections that clients have broken.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// IsReady reports whether clients should connect to this instance. An instance that is stopping, or cannot store what it
// accepts, is not ready.
func (n *Node) IsReady() bool {
	maxAge := n.config.ReadyMaxTableAge
	if n.health.HasFailed() {
		maxAge = n.config.ReadyMaxFailedAge
	}
	return !n.stopping.Load() && n.routes.Load() != nil && n.clock.Now().Sub(n.health.LastSuccess()) < maxAge
}
