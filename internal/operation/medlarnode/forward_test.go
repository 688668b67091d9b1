package medlarnode

import (
	"encoding/json"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlargroupcommit"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// newForwardingNode returns a node that the table does not respond to, and whose owner answers with handler.
func newForwardingNode(t *testing.T, handler fasthttp.RequestHandler) *Node {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = fasthttp.Serve(listener, handler) }()
	clock := bootClock(t)
	n := &Node{
		clock: clock, log: zerolog.Nop(), meter: medlarmetrics.New(), process: "b-1", health: medlargroupcommit.NewTableHealth(clock),
		forwardClient: newPeerClient(time.Second),
	}
	n.health.Report(false)
	n.term.Store(&medlarownership.Term{Number: 1, Instance: "a", Process: "a-1", Address: "10.0.0.1:80"})
	client := n.forwardClient.hostClient("10.0.0.1:80")
	client.Dial = func(string) (net.Conn, error) { return listener.Dial() }
	client.DialTimeout = nil
	return n
}

// TestRowIsStoredThroughTheOwner guards against submissions that are refused for seconds by an instance that the table turns
// away, while it serves the owner of the cell.
func TestRowIsStoredThroughTheOwner(t *testing.T) {
	row := medlartable.Row{Part: "c0-7", Key: "00000000000000aa", Value: []byte(`{"id":"00000000000000aa"}`)}
	for answer, want := range map[string]medlargroupcommit.Result{
		`{"stored":"stored"}`: medlargroupcommit.ResultStored, `{"stored":"refused"}`: medlargroupcommit.ResultRefused,
		`{"stored":"unknown"}`: medlargroupcommit.ResultUnknown, `{"stored":"?"}`: medlargroupcommit.ResultUnknown, `{}`: medlargroupcommit.ResultUnknown,
	} {
		var received peerRequest
		n := newForwardingNode(t, func(ctx *fasthttp.RequestCtx) {
			if string(ctx.Path()) != peerPathStore || json.Unmarshal(ctx.PostBody(), &received) != nil {
				ctx.Error("unexpected request", fasthttp.StatusBadRequest)
				return
			}
			ctx.SetBodyString(answer)
		})
		result, forwarded := n.insert(row, n.clock.Now().Add(2*time.Second))
		if result != want || !forwarded {
			t.Errorf("owner answers %s: got result %v, forwarded %v, want %v, true", answer, result, forwarded, want)
		}
		if received.Row == nil || received.Row.Key != row.Key || received.Row.Part != row.Part || string(received.Row.Value) != string(row.Value) {
			t.Errorf("the owner received row %+v, want the submission's", received.Row)
		}
		if received.Remaining <= 0 || received.Remaining > forwardTimeout {
			t.Errorf("the owner received a remaining time of %v, want more than 0 and at most %v", received.Remaining, forwardTimeout)
		}
	}
}

// TestForwardedRowIsRefusedOnlyIfNotStored guards against "not accepted" for a submission whose row the owner has stored, when
// its answer is lost, and against "unknown" when no request has reached the owner.
func TestForwardedRowIsRefusedOnlyIfNotStored(t *testing.T) {
	row := medlartable.Row{Part: "c0-7", Key: "00000000000000aa", Value: []byte("{}")}
	cut := newForwardingNode(t, func(ctx *fasthttp.RequestCtx) { ctx.HijackSetNoResponse(true); ctx.Hijack(func(net.Conn) {}) })
	if result, _ := cut.insert(row, cut.clock.Now().Add(2*time.Second)); result != medlargroupcommit.ResultUnknown {
		t.Errorf("answer lost: got result %v, want unknown", result)
	}
	rejecting := newForwardingNode(t, func(ctx *fasthttp.RequestCtx) { ctx.Error("no", fasthttp.StatusServiceUnavailable) })
	if result, _ := rejecting.insert(row, rejecting.clock.Now().Add(2*time.Second)); result != medlargroupcommit.ResultRefused {
		t.Errorf("rejected by the owner: got result %v, want refused", result)
	}
	unreachable := newForwardingNode(t, nil)
	unreachable.forwardClient.hostClient("10.0.0.1:80").Dial = func(string) (net.Conn, error) {
		return nil, medlarwheel.WithoutEffect(syscall.ECONNREFUSED)
	}
	if result, _ := unreachable.insert(row, unreachable.clock.Now().Add(2*time.Second)); result != medlargroupcommit.ResultRefused {
		t.Errorf("owner unreachable: got result %v, want refused", result)
	}
	expired := newForwardingNode(t, nil)
	if result, _ := expired.insert(row, expired.clock.Now()); result != medlargroupcommit.ResultRefused {
		t.Errorf("no time left: got result %v, want refused", result)
	}
}

// TestInstanceWithoutTableStoresNothingForOthers guards against rows that are passed on in a circle, or that wait until their
// client has left, while the table responds to no instance.
func TestInstanceWithoutTableStoresNothingForOthers(t *testing.T) {
	n := newForwardingNode(t, nil)
	if got := n.storeForPeer(peerRequest{Row: &peerRow{Key: "00000000000000aa"}, Remaining: time.Second}); got != medlargroupcommit.ResultRefused {
		t.Errorf("got %q, want %q", got, medlargroupcommit.ResultRefused)
	}
	n.health.Report(true)
	if got := n.storeForPeer(peerRequest{Remaining: time.Second}); got != medlargroupcommit.ResultRefused {
		t.Errorf("request without a row: got %q, want %q", got, medlargroupcommit.ResultRefused)
	}
}
