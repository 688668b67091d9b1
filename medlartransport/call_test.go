package medlartransport_test

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"medlarwheel"
	"medlarwheel/medlartransport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawUpstream answers each request with bytes of the test's choice.
type rawUpstream struct {
	listener net.Listener
	// respond returns the raw response to the numbered request, and whether to close the connection afterwards. An empty
	// response keeps the connection silent.
	respond  func(number int64, attempt string) (response string, closeAfter bool)
	requests atomic.Int64
	probes   atomic.Int64
	group    sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
}

func startUpstream(t *testing.T, respond func(int64, string) (string, bool)) (*rawUpstream, medlarwheel.Upstream) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &rawUpstream{listener: listener, respond: respond}
	u.group.Go(u.accept)
	t.Cleanup(u.stop)
	return u, medlarwheel.Upstream{ID: "u-1", DataCentre: "dc-1", Address: listener.Addr().String()}
}

func (u *rawUpstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, c)
		u.mu.Unlock()
		u.group.Go(func() { u.serve(c) })
	}
}

func (u *rawUpstream) stop() {
	_ = u.listener.Close()
	u.mu.Lock()
	for _, c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.group.Wait()
}

func (u *rawUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		var request fasthttp.Request
		if request.Read(reader) != nil {
			return
		}
		if string(request.URI().Path()) == medlartransport.ProbePath {
			u.probes.Add(1)
			_, _ = c.Write([]byte(completeResponse("", "ok")))
			continue
		}
		response, closeAfter := u.respond(u.requests.Add(1), string(request.Header.Peek(medlartransport.HeaderAttempt)))
		_, _ = c.Write([]byte(response))
		if closeAfter {
			return
		}
	}
}

func completeResponse(attempt, body string) string {
	lines := []string{"HTTP/1.1 200 OK", "Content-Length: " + itoa(len(body))}
	if attempt != "" {
		lines = append(lines, medlartransport.HeaderAttempt+": "+attempt)
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func itoa(n int) string { return string(fasthttp.AppendUint(nil, n)) }

// fixedBudget allows a fixed number of open connections.
type fixedBudget struct {
	mu          sync.Mutex
	open, limit int
}

func (b *fixedBudget) Open(medlarwheel.UpstreamID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.limit {
		return false
	}
	b.open++
	return true
}

func (b *fixedBudget) Closed(medlarwheel.UpstreamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

func newTransport(t *testing.T, u medlarwheel.Upstream) *medlartransport.Transport {
	t.Helper()
	config := medlartransport.DefaultConfig(&fixedBudget{limit: 8})
	config.MinStallTimeout = 50 * time.Millisecond
	links := medlartransport.New(config)
	t.Cleanup(links.Close)
	return links
}

func post(links *medlartransport.Transport, u medlarwheel.Upstream, idempotent bool) (string, error) {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + u.Address + "/hold")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBodyString("body")
	_, err := links.Do(medlartransport.Call{
		Upstream: u, Attempt: "a-1", Deadline: time.Now().Add(2 * time.Second), Idempotent: idempotent,
		Request: request, Response: response,
	})
	return string(response.Body()), err
}

func requireCause(t *testing.T, err error, cause medlartransport.Cause) *medlartransport.Failure {
	t.Helper()
	var failure *medlartransport.Failure
	if !errors.As(err, &failure) || failure.Cause != cause {
		t.Fatalf("got %v, want cause %s", err, cause)
	}
	return failure
}

// Guards against a library that resends a request when a pooled connection closes before the first response byte.
func TestRequestIsSentOnceWhenUpstreamClosesAfterReading(t *testing.T) {
	server, u := startUpstream(t, func(number int64, attempt string) (string, bool) {
		if number == 1 {
			return completeResponse(attempt, "first"), false
		}
		return "", true
	})
	links := newTransport(t, u)
	if body, err := post(links, u, false); err != nil || body != "first" {
		t.Fatalf("got %q, %v", body, err)
	}
	_, err := post(links, u, false)
	if failure := requireCause(t, err, medlartransport.CauseClosed); !failure.Sent {
		t.Fatal("the failure must say that the request may have been received")
	}
	if got := server.requests.Load(); got != 2 {
		t.Fatalf("upstream saw %d requests, want 2", got)
	}
}

// Guards against passing on a response that is cut short, has no marked end, is garbage or belongs to another attempt.
func TestIncompleteAndMismatchedResponsesAreRejected(t *testing.T) {
	cases := []struct {
		name     string
		response string
		cause    medlartransport.Cause
	}{
		{"cut short", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", medlartransport.CauseIncomplete},
		{"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nA\r\nhalf", medlartransport.CauseIncomplete},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", medlartransport.CauseIncomplete},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nmaybe all", medlartransport.CauseIncomplete},
		{"garbage", "\x00\x01garbage\r\n\r\n", medlartransport.CauseIncomplete},
		{"other attempt", completeResponse("a-0", "not yours"), medlartransport.CauseMismatch},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, u := startUpstream(t, func(int64, string) (string, bool) { return c.response, true })
			links := newTransport(t, u)
			_, err := post(links, u, false)
			requireCause(t, err, c.cause)
			if open := links.OpenConnections(u); open != 0 {
				t.Fatalf("%d connections left open", open)
			}
		})
	}
}

// Guards against waiting out the deadline on a connection whose peer has lost track of it, and against keeping the
// connections of the same age.
func TestStalledConnectionIsDetectedByProbeAndRetiresConnectionsOfSameAge(t *testing.T) {
	gate := make(chan struct{})
	server, u := startUpstream(t, func(number int64, attempt string) (string, bool) {
		if number <= 2 {
			<-gate
		}
		if number == 3 {
			return "", false
		}
		return completeResponse(attempt, "ok"), false
	})
	links := newTransport(t, u)
	var warm sync.WaitGroup
	for range 2 {
		warm.Go(func() { _, _ = post(links, u, false) })
	}
	for server.requests.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	close(gate)
	warm.Wait()
	start := time.Now()
	_, err := post(links, u, true)
	failure := requireCause(t, err, medlartransport.CauseStalled)
	if !failure.ProbeAnswered || server.probes.Load() != 1 {
		t.Fatalf("probe answered %v, probes %d", failure.ProbeAnswered, server.probes.Load())
	}
	if waited := time.Since(start); waited > time.Second {
		t.Fatalf("waited %s, want well below the deadline of 2 s", waited)
	}
	if open := links.OpenConnections(u); open != 0 {
		t.Fatalf("%d connections of the same age left open", open)
	}
	if body, err := post(links, u, true); err != nil || body != "ok" {
		t.Fatalf("a fresh connection must work: %q, %v", body, err)
	}
}
