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
	// fuzzDeadlineSlack allows for a busy machine. A call that ignored its deadline would block forever.
	fuzzDeadlineSlack = 5 * time.Second
	// fuzzMaxBody limits the memory of one run.
	fuzzMaxBody = 64 << 10
)

// Guards against returning a response that is shorter or longer than announced, a call that exceeds its deadline, and a
// closed connection that still counts against the budget. The upstream sends arbitrary bytes.
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
	f.Fuzz(func(t *testing.T, raw []byte, stallAfter bool) {
		budget := &fixedBudget{limit: 4}
		config := medlartransport.DefaultConfig(budget)
		config.MinStallTimeout, config.ProbeTimeout, config.MaxResponseBody = 5*time.Millisecond, 5*time.Millisecond, fuzzMaxBody
		var group sync.WaitGroup
		config.Dialer = medlartransport.DialerFunc(func(string, time.Duration) (net.Conn, error) {
			client, server := net.Pipe()
			group.Go(func() { respondRaw(server, raw, stallAfter) })
			return client, nil
		})
		transport := medlartransport.New(config)
		request, response := &fasthttp.Request{}, &fasthttp.Response{}
		request.SetRequestURI("http://127.0.0.1:1/hold")
		start := time.Now()
		_, err := transport.Do(medlartransport.Call{
			Upstream: medlarwheel.Upstream{ID: "u-1", DataCentre: "dc-1", Address: "127.0.0.1:1"}, Attempt: "a-1",
			Deadline: start.Add(fuzzDeadline), Request: request, Response: response,
		})
		if waited := time.Since(start); waited > fuzzDeadline+fuzzDeadlineSlack {
			t.Errorf("call took %s, want at most its deadline of %s and %s slack", waited, fuzzDeadline, fuzzDeadlineSlack)
		}
		transport.Close()
		group.Wait()
		if budget.open != 0 {
			t.Errorf("%d connections counted as open after Close, want 0", budget.open)
		}
		var failure *medlartransport.Failure
		if err != nil {
			if !errors.As(err, &failure) {
				t.Fatalf("got error %v of type %T, want a *Failure", err, err)
			}
			return
		}
		if want, ok := announcedBody(raw); ok && !bytes.Equal(want, response.Body()) {
			t.Fatalf("got body %q, want the announced %q", response.Body(), want)
		}
	})
}

// respondRaw reads the request and writes raw. Then it closes the connection, or with stallAfter sends nothing more until
// the client closes.
func respondRaw(c net.Conn, raw []byte, stallAfter bool) {
	defer func() { _ = c.Close() }()
	var buffer [4 << 10]byte
	if _, err := c.Read(buffer[:]); err != nil {
		return
	}
	if _, err := c.Write(raw); err != nil {
		return
	}
	if stallAfter {
		_, _ = io.Copy(io.Discard, c)
	}
}

// announcedBody parses raw with net/http. It returns false unless the final response announces its length. A truncated body
// is padded with zeros to the announced length, so that no shorter body is equal to it.
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
