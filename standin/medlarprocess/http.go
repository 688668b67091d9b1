package medlarprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
)

const (
	// idleTimeout closes a connection without requests. It exceeds the idle time of the platform client, so that the
	// client closes first.
	idleTimeout = 30 * time.Second
	// shutdownTimeout bounds the wait for requests under way at a stop.
	shutdownTimeout = 10 * time.Second
	// maxBodyBytes bounds the body of a request in bytes.
	maxBodyBytes = 64 << 20
)

// NewServer returns an HTTP server for handler.
func NewServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, Name: "medlarstandin", IdleTimeout: idleTimeout, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true,
		Logger: discardLogger{},
	}
}

// discardLogger drops the library's lines about broken connections, which faults cause on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve answers requests at address until ctx ends, then finishes the requests under way.
func Serve(ctx context.Context, log zerolog.Logger, address string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen at %s: %w", address, err)
	}
	log.Info().Str("address", listener.Addr().String()).Msg("serving")
	return ServeListener(ctx, listener, handler)
}

// ServeListener is like Serve with a listener.
func ServeListener(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	server := NewServer(handler)
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-inner.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return server.ShutdownWithContext(stop)
	})
	return group.Wait()
}

// PathSegments returns the unescaped segments of the request's path. A segment may contain escaped slashes.
func PathSegments(ctx *fasthttp.RequestCtx) []string {
	segments := strings.Split(strings.Trim(string(ctx.URI().PathOriginal()), "/"), "/")
	for i, segment := range segments {
		if plain, err := url.PathUnescape(segment); err == nil {
			segments[i] = plain
		}
	}
	return segments
}

// WriteJSON answers with a status and a value.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// ErrorBody is the body of an answer without a more specific form.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteError answers with a status and an error. Faults are listed one by one.
func WriteError(ctx *fasthttp.RequestCtx, status int, err error) {
	if faults, ok := err.(medlarwheel.Faults); ok { //nolint:errorlint // Decode returns Faults unwrapped.
		WriteJSON(ctx, status, faults)
		return
	}
	WriteJSON(ctx, status, ErrorBody{Error: err.Error()})
}

// CloseConnection makes the server close the connection without an answer.
func CloseConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// Sleep waits for d. It reports false when done was closed first.
func Sleep(done <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
