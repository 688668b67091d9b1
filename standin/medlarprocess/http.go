package medlarprocess

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
)

const (
	// idleTimeout is the time after which the server closes an idle connection. It exceeds the idle timeout of the
	// platform client, so that the client closes first.
	idleTimeout = 30 * time.Second
	// shutdownTimeout limits the wait for requests in flight at shutdown.
	shutdownTimeout = 10 * time.Second
	// maxBodyBytes limits the size of a request body.
	maxBodyBytes = 64 << 20
)

// NewServer returns an HTTP server for handler.
func NewServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, Name: "medlarstandin", IdleTimeout: idleTimeout, MaxRequestBodySize: maxBodyBytes, CloseOnShutdown: true,
		Logger: discardLogger{},
	}
}

// discardLogger drops fasthttp's log lines about broken connections, which injected faults cause on purpose.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve serves requests on address until ctx is cancelled, then waits for the requests in flight.
func Serve(ctx context.Context, log zerolog.Logger, address string, handler fasthttp.RequestHandler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	log.Info().Str("address", listener.Addr().String()).Msg("serving")
	return ServeListener(ctx, listener, handler)
}

// ServeListener is like Serve but takes an open listener, which it closes.
func ServeListener(ctx context.Context, listener net.Listener, handler fasthttp.RequestHandler) error {
	server := NewServer(handler)
	group, inner := errgroup.WithContext(ctx)
	group.Go(func() error { return errors.WithMessagef(server.Serve(listener), "serve on %s", listener.Addr()) })
	group.Go(func() error {
		<-inner.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return errors.WithMessagef(server.ShutdownWithContext(stop), "shut down the server on %s", listener.Addr())
	})
	return group.Wait()
}

// PathSegments splits the request's path at its slashes and unescapes each segment. A segment may contain escaped slashes.
func PathSegments(ctx *fasthttp.RequestCtx) []string {
	segments := strings.Split(strings.Trim(string(ctx.URI().PathOriginal()), "/"), "/")
	for i, segment := range segments {
		if unescaped, err := url.PathUnescape(segment); err == nil {
			segments[i] = unescaped
		}
	}
	return segments
}

// WriteJSON sets the response to a status and the JSON encoding of a value.
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

// ErrorBody is the body of an error response without a more specific form.
type ErrorBody struct {
	Error string `json:"error"`
}

// WriteError sets the response to a status and an error. Faults from validation are listed one by one.
func WriteError(ctx *fasthttp.RequestCtx, status int, err error) {
	if faults, ok := err.(medlarwheel.Faults); ok { //nolint:errorlint // Decode returns Faults unwrapped.
		WriteJSON(ctx, status, faults)
		return
	}
	WriteJSON(ctx, status, ErrorBody{Error: err.Error()})
}

// CloseConnection makes the server close the connection without a response.
func CloseConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// Sleep waits for d. It reports false if done was closed first.
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
