package medlarproof

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarload"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrunner"
)

// Guards against an audit that misses broken guarantees, on which all other tests of this package rely. A handler that
// breaks one guarantee deliberately must be detected, and a correct one must pass.
func TestAuditDetectsInjectedViolations(t *testing.T) {
	s := &system{}
	t.Cleanup(s.stop)
	r := &runner{id: "audited", listenAddress: freeAddress(t), controlAddress: freeAddress(t)}
	s.add(startProcess(t, "audited", "medlarstandin", "runner", "--listen", r.listenAddress, "--control", r.controlAddress, "--id", "audited",
		"--service-time", "1ms", "--slots", "64"))
	await(t, 5*time.Second, "response of the runner", func() bool { _, err := r.report(); return err == nil })
	forward := func(ctx *fasthttp.RequestCtx) {
		request := &fasthttp.Request{}
		ctx.Request.CopyTo(request)
		request.SetRequestURI("http://" + r.listenAddress + string(ctx.Path()))
		request.SetConnectionClose()
		if err := medlarprocess.NewHostClient(r.listenAddress, 1).DoTimeout(request, &ctx.Response, time.Second); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadGateway)
			return
		}
		ctx.Response.Header.Set("Medlar-Outcome", "done")
	}
	cases := []struct {
		name       string
		entry      fasthttp.RequestHandler
		violations func(*medlarload.Audit) int
	}{
		{"correct", forward, nil},
		{"sends each request twice", func(ctx *fasthttp.RequestCtx) { forward(ctx); forward(ctx) },
			func(a *medlarload.Audit) int { return a.AppliedTwice }},
		{"reports a run request as not run", func(ctx *fasthttp.RequestCtx) {
			forward(ctx)
			ctx.Response.Reset()
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			ctx.Response.Header.Set("Medlar-Outcome", "not-run")
		}, func(a *medlarload.Audit) int { return a.NotRunButApplied }},
		{"reports done without a run", func(ctx *fasthttp.RequestCtx) {
			reply := medlarrunner.Reply{
				Upstream: "audited", Path: string(ctx.Path()),
				Key: medlarwheel.RequestKey(ctx.Request.Header.Peek(medlarrunner.HeaderRequestKey)),
			}
			body, _ := json.Marshal(reply)
			ctx.Response.Header.Set("Medlar-Outcome", "done")
			ctx.SetBody(body)
		}, func(a *medlarload.Audit) int { return a.DoneButNotApplied }},
	}
	for _, c := range cases {
		config := medlarload.DefaultConfig()
		config.Targets, config.Runners = []string{startServer(t, c.entry)}, []string{r.controlAddress}
		config.Rate, config.MaxRequests, config.Retries = 200, 30, 0
		config.Mix = []medlarload.RequestKind{{Template: "any", Account: "any", Method: "POST", Keys: medlarload.KeysPlain, Weight: 1}}
		report, err := medlarload.Run(t.Context(), config, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if passed := report.Audit.Passed(false); passed != (c.violations == nil) || !report.Audit.Complete {
			t.Errorf("%s: audit passed %v, want %v; audit %+v, want a complete one", c.name, passed, c.violations == nil, report.Audit)
		}
		if c.violations != nil && c.violations(report.Audit) != 30 {
			t.Errorf("%s: %d violations detected, want 30: %+v", c.name, c.violations(report.Audit), report.Audit)
		}
	}
}

// startServer serves requests on a free port until the test ends and returns its address.
func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := medlarprocess.NewServer(handler)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		<-ended
	})
	return listener.Addr().String()
}
