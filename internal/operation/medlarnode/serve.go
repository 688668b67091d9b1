package medlarnode

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarlistener"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/platform"
)

// Times of the servers.
const (
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
		share         listenerShare
		maxBody       func() int
	}{
		{"clients", settings.Serve, platform.NewClientHandler(n, n.clock.Now), clientShare, n.maxClientBody},
		{"readiness", settings.Ready, platform.NewReadinessHandler(n.IsReady), probeShare, maxProbeBody},
		{"peers", settings.Peer, n.handlePeer, peerShare, maxPeerBody},
		{"metrics", settings.Metrics, n.meter.Handler, probeShare, maxProbeBody},
	} {
		listener, err := medlarlistener.Listen(s.address)
		if err != nil {
			return nil, medlarwheel.WithOperation("listen for "+s.name, s.address, err)
		}
		retrying := &retryListener{Listener: listener, name: s.name, log: n.log, meter: n.meter, clock: n.clock}
		limited := medlarlistener.New(retrying, medlarlistener.Config{
			Limits: s.share.limits(settings.Descriptors, settings.MemoryMB), ReaderBytes: s.share.header, MaxBody: s.maxBody,
			Clock: medlarwheel.SystemClock{}, OnEvent: n.noteLimit(s.name),
		})
		http := &fasthttp.Server{
			Handler: limited.ReadBodies(n.recoverPanics(s.name, s.handler)), ReadBufferSize: s.share.header, ReadTimeout: readTimeout,
			IdleTimeout: idleTimeout, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true,
			ReduceMemoryUsage: true, Logger: discardLogger{},
		}
		limited.Configure(http)
		servers = append(servers, &server{name: s.name, listener: limited, http: http})
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
