package medlarrunner

import (
	"encoding/json"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"medlarwheel/standin/medlarprocess"
)

// respond sends the reply, or what mode makes of it.
func (r *Runner) respond(ctx *fasthttp.RequestCtx, reply *Reply, mode FaultMode, changed <-chan struct{}) {
	previous := r.previous.Swap(reply)
	switch mode {
	case ModeTruncated:
		body, _ := json.Marshal(reply)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
			HeaderAttempt, reply.Attempt, len(body))
		sendRaw(ctx, append([]byte(head), body[:len(body)/2]...))
	case ModeMalformed:
		sendRaw(ctx, []byte("\x00\xff\x17 no answer at all\r\n\r\n\x01\x02"))
	case ModeClose:
		medlarprocess.CloseConnection(ctx)
	case ModeNoResponse:
		select {
		case <-changed:
		case <-ctx.Done():
		}
		medlarprocess.CloseConnection(ctx)
	case ModeLarge:
		ctx.SetBodyStream(io.LimitReader(zeroReader{}, LargeBodyBytes), LargeBodyBytes)
	case ModeWrongResponse:
		if previous != nil {
			reply = previous
		}
		ctx.Response.Header.Set(HeaderAttempt, string(reply.Attempt))
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, reply)
	default:
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, reply)
	}
}

// sendRaw writes bytes in place of an answer and closes the connection.
func sendRaw(ctx *fasthttp.RequestCtx, data []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) { _, _ = connection.Write(data) })
}

// zeroReader is an endless reader of zero bytes.
type zeroReader struct{}

// Read fills p with zero bytes.
func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
