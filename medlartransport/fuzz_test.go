package medlartransport_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlartransport"
)

const (
	fuzzDeadline = 40 * time.Millisecond
	// fuzzDeadlineSlack allows for a busy machine; a call without a deadline would hang for good.
	fuzzDeadlineSlack = 5 * time.Second
	// fuzzMaxBody keeps the memory of one run small.
	fuzzMaxBody = 64 << 10
)

// Guards against passing on a response that is shorter or longer than announced, a call that outlives its deadline, and a
// connection that stays counted.
func FuzzDo(f *testing.F) {
	for _, raw := range []string{
		completeResponse("a-1", "body"), completeResponse("a-0", "foreign"), "HTTP/1.1 100 Continue\r\n\r\n" + completeResponse("a-1", "late"), "",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 200 OK\r\n\r\nno length", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", completeResponse("a-1", "one") + completeResponse("a-1", "two"),
	} {
		f.Add([]byte(raw), false)
		f.Add([]byte(raw), true)
	}
	f.Fuzz(func(t *testing.T, raw []byte, silentAfter bool) {
		limit := &fixedBudget{limit: 4}
		config := medlartransport.DefaultConfig(limit)
		config.MinStallTimeout, config.ProbeTimeout, config.MaxResponseBody = 5*time.Millisecond, 5*time.Millisecond, fuzzMaxBody
		var group sync.WaitGroup
		config.Dialer = medlartransport.DialerFunc(func(string, time.Duration) (net.Conn, error) {
			client, server := net.Pipe()
			group.Go(func() { respondRaw(server, raw, silentAfter) })
			return client, nil
		})
		links := medlartransport.New(config)
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("http://127.0.0.1:1/hold")
		start := time.Now()
		_, err := links.Do(medlartransport.Call{
			Upstream: medlarwheel.Upstream{ID: "u-1", DataCentre: "dc-1", Address: "127.0.0.1:1"}, Attempt: "a-1",
			Deadline: start.Add(fuzzDeadline), Request: request, Response: response,
		})
		if waited := time.Since(start); waited > fuzzDeadline+fuzzDeadlineSlack {
			t.Errorf("took %s with a deadline of %s", waited, fuzzDeadline)
		}
		links.Close()
		group.Wait()
		if limit.open != 0 {
			t.Errorf("%d connections still counted", limit.open)
		}
		var failure *medlartransport.Failure
		if err != nil {
			if !errors.As(err, &failure) {
				t.Fatalf("got %v, want a *Failure", err)
			}
			return
		}
		if want, ok := announcedBody(raw); ok && !bytes.Equal(want, response.Body()) {
			t.Fatalf("body %q, announced %q", response.Body(), want)
		}
	})
}

// respondRaw reads the request and writes raw. Afterwards it closes the connection, or is silent until the client closes.
func respondRaw(c net.Conn, raw []byte, silentAfter bool) {
	defer func() { _ = c.Close() }()
	var buffer [4 << 10]byte
	if _, err := c.Read(buffer[:]); err != nil {
		return
	}
	if _, err := c.Write(raw); err != nil {
		return
	}
	if silentAfter {
		_, _ = io.Copy(io.Discard, c)
	}
}

// announcedBody reads raw with another parser. It returns false unless the final response announces its length. What is
// missing of a body that is cut short is filled with zeros, so that no shorter body is equal.
func announcedBody(raw []byte) ([]byte, bool) {
	if bytes.Contains(bytes.ToLower(raw), []byte("transfer-encoding")) {
		return nil, false
	}
	reader := bufio.NewReader(bytes.NewReader(raw))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, false
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.ContentLength < 0 || response.ContentLength > fuzzMaxBody {
			_ = response.Body.Close()
			return nil, false
		}
		body := make([]byte, response.ContentLength)
		_, _ = io.ReadFull(response.Body, body)
		_ = response.Body.Close()
		return body, true
	}
}
