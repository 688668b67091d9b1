package medlarrunner

import (
	"encoding/json"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"medlarwheel/standin/medlarprocess"
)

// answer sends the reply, or what mode makes of it.
func (r *Runner) answer(ctx *fasthttp.RequestCtx, reply *Reply, mode Mode, changed <-chan struct{}) {
	previous := r.previous.Swap(reply)
	switch mode {
	case ModeCutShort:
		body, _ := json.Marshal(reply)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
			HeaderAttempt, reply.Attempt, len(body))
		sendRaw(ctx, append([]byte(head), body[:len(body)/2]...))
	case ModeGarbage:
		sendRaw(ctx, []byte("\x00\xff\x17 no answer at all\r\n\r\n\x01\x02"))
	case ModeClose:
		medlarprocess.Close(ctx)
	case ModeNoAnswer:
		select {
		case <-changed:
		case <-ctx.Done():
		}
		medlarprocess.Close(ctx)
	case ModeLarge:
		ctx.SetBodyStream(io.LimitReader(zeros{}, LargeBody), LargeBody)
	case ModeWrongEcho:
		if previous != nil {
			reply = previous
		}
		ctx.Response.Header.Set(HeaderAttempt, string(reply.Attempt))
		medlarprocess.JSON(ctx, fasthttp.StatusOK, reply)
	default:
		medlarprocess.JSON(ctx, fasthttp.StatusOK, reply)
	}
}

// sendRaw writes bytes in place of an answer and closes the connection.
func sendRaw(ctx *fasthttp.RequestCtx, data []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(connection net.Conn) { _, _ = connection.Write(data) })
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read fills p with zero bytes.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
