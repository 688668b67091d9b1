package medlarnode

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/state/medlarownership"
)

// TestStaleLoadIsRefreshedBeforeAdmission guards against admission that accepts every submission, because the instance
// has not asked the owner for its load since its last submission seconds ago.
func TestStaleLoadIsRefreshedBeforeAdmission(t *testing.T) {
	listener := fasthttputil.NewInmemoryListener()
	defer func() { _ = listener.Close() }()
	var requests atomic.Int32
	go func() {
		_ = fasthttp.Serve(listener, func(ctx *fasthttp.RequestCtx) {
			requests.Add(1)
			ctx.SetBodyString(`{"known":true,"load":{"at":"2026-01-01T00:00:00Z","lasting-room":-5,"lasting-release":1}}`)
		})
	}()
	n := &Node{
		clock: bootClock(t), config: Config{Admission: medlaradmission.DefaultConfig()}, process: "b-1",
		loadReports: loadCache{byService: map[medlarwheel.ServiceName]loadEntry{}},
		ownerClient: newPeerClient(time.Second),
	}
	n.term.Store(&medlarownership.Term{Number: 1, Instance: "a", Process: "a-1", Address: "10.0.0.1:80"})
	n.ownerClient.hostClient("10.0.0.1:80").Dial = func(string) (net.Conn, error) { return listener.Dial() }
	n.ownerClient.hostClient("10.0.0.1:80").DialTimeout = nil
	longRunning := &medlarsubmission.Submission{Service: "svc", Steps: []medlarsubmission.Step{
		{Count: 1, Size: medlarsubmission.Size{MilliCPU: 1000}, LongRunning: true},
	}}
	if decision := n.config.Admission.Admit(n.clock.Now(), longRunning, n.admissionLoad(longRunning)); decision.Accept {
		t.Errorf("accepted without free capacity: %+v", decision)
	}
	if n.admissionLoad(longRunning); requests.Load() != 1 {
		t.Errorf("the owner was asked %d times within the refresh age, want once", requests.Load())
	}
}
