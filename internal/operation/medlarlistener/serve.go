package medlarlistener

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel/internal/acceptance/medlaringress"
)

// writeTimeout is the time that a client has to read a response.
const writeTimeout = 10 * time.Second

// smallBody is the size up to which a body takes no memory beyond the buffers that the header's bytes include.
const smallBody = 8 << 10

// smallBodies pools the buffers of small bodies.
var smallBodies = sync.Pool{New: func() any { return new([smallBody]byte) }}

// Configure sets up the server of the listener. Its handler must come from ReadBodies.
func (l *Listener) Configure(s *fasthttp.Server) {
	s.StreamRequestBody, s.DisablePreParseMultipartForm = true, true
	s.WriteTimeout = writeTimeout
	s.ConnState = l.noteState
	s.ErrorHandler = l.handleError
	s.ExpectHandler = func(ctx *fasthttp.RequestCtx) int {
		if ctx.Request.Header.ContentLength() > l.config.MaxBody() {
			l.config.OnEvent(BodyRefused)
			return fasthttp.StatusRequestEntityTooLarge
		}
		return fasthttp.StatusContinue
	}
}

func (l *Listener) noteState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.enter(medlaringress.Receiving)
		if !c.readerCounted {
			c.readerCounted = true
			if !c.grow(l.config.ReaderBytes + smallBody) {
				l.config.OnEvent(MemoryRefused)
				refuseConnection(c.Conn)
			}
		}
	case fasthttp.StateIdle:
		c.enter(medlaringress.Idle)
	}
}

// handleError responds to requests that could not be read.
func (l *Listener) handleError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		ctx.Error("headers are too large", fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		l.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, BodyRefused)
	case errors.As(err, &timeout) && timeout.Timeout():
		ctx.Error("request was not received in time", fasthttp.StatusRequestTimeout)
	default:
		ctx.Error("cannot read the request", fasthttp.StatusBadRequest)
	}
}

// refuse responds to a request that has not been handled and closes the connection, whose unread bytes are dropped.
func (l *Listener) refuse(ctx *fasthttp.RequestCtx, status int, event Event) {
	l.config.OnEvent(event)
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, "1")
	}
	ctx.SetConnectionClose()
}

// ReadBodies returns a handler that reads the whole body within the limits before it calls next, and refuses the request
// otherwise.
func (l *Listener) ReadBodies(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		c, ok := ctx.Conn().(*conn)
		if !ok {
			next(ctx)
			return
		}
		small, _ := smallBodies.Get().(*[smallBody]byte)
		defer smallBodies.Put(small)
		body, err := l.readBody(ctx, c, small[:0])
		if err == nil && !c.enter(medlaringress.Running) {
			err = errEvicted
		}
		switch {
		case err == nil:
			ctx.Request.SetBodyRaw(body)
			next(ctx)
			// The buffer goes to other requests.
			ctx.Request.SetBodyRaw(nil)
			c.enter(medlaringress.Responding)
		case errors.Is(err, errEvicted):
			l.refuse(ctx, fasthttp.StatusServiceUnavailable, MemoryRefused)
		case errors.Is(err, fasthttp.ErrBodyTooLarge):
			l.refuse(ctx, fasthttp.StatusRequestEntityTooLarge, BodyRefused)
		default:
			l.handleError(ctx, err)
			ctx.SetConnectionClose()
		}
	}
}

// readBody reads the body into buffer, or into a larger one of which each growth is admitted first.
func (l *Listener) readBody(ctx *fasthttp.RequestCtx, c *conn, buffer []byte) ([]byte, error) {
	limit := l.config.MaxBody()
	announced := ctx.Request.Header.ContentLength()
	if announced > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	stream := ctx.RequestBodyStream()
	if stream == nil {
		return nil, nil
	}
	for {
		if len(buffer) == cap(buffer) {
			larger := min(2*cap(buffer), limit+1)
			if announced > 0 {
				larger = min(larger, announced+1)
			}
			if !c.grow(larger - cap(buffer)) {
				return nil, errEvicted
			}
			c.bodyBytes += int64(larger - cap(buffer))
			buffer = append(make([]byte, 0, larger), buffer...)
		}
		n, err := stream.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if len(buffer) > limit {
			return nil, fasthttp.ErrBodyTooLarge
		}
		if errors.Is(err, io.EOF) {
			if announced > len(buffer) {
				return nil, io.ErrUnexpectedEOF
			}
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
