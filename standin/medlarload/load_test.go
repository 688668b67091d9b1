package medlarload

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrunner"
)

func TestMain(m *testing.M) {
	// The HTTP library keeps these goroutines for good, or for an idle period after its last connection.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

func listen(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- medlarprocess.ServeListener(ctx, listener, handler) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

// Guards against an audit that misses a broken guarantee or reports a kept one: the soak tests rest on it.
func TestCompareLedgersDetectsEachViolation(t *testing.T) {
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	keys := map[medlarwheel.RequestKey]*keyRecord{
		"good":          {lastStart: at(1), done: true, doneBy: "r1"},
		"twice":         {lastStart: at(1), done: true, doneBy: "r1"},
		"refused":       {lastStart: at(1), lastNotRun: at(2)},
		"false-refusal": {lastStart: at(1), lastNotRun: at(2)},
		"retried":       {lastStart: at(3), lastNotRun: at(2)},
		"false-done":    {lastStart: at(1), done: true, doneBy: "r1"},
		"untraceable":   {lastStart: at(1), done: true, doneBy: "r2"},
	}
	one := func(key medlarwheel.RequestKey) medlarrunner.Entry { return medlarrunner.Entry{Key: key, Applied: 1} }
	reports := []medlarrunner.Report{
		{ID: "r1", Started: at(0), Keys: []medlarrunner.Entry{one("good"), one("twice"), one("false-refusal"), one("other")}},
		{ID: "r2", Started: at(9), Keys: []medlarrunner.Entry{one("twice"), one("retried"), {Key: "refused"}}},
	}
	a := compareLedgers(keys, reports, at(1))
	if a.AppliedTwice != 1 || a.NotRunButApplied != 1 || a.DoneButNotApplied != 1 || a.Complete || a.Applied != 4 {
		t.Errorf("audit %+v, want one offence of each kind and an incomplete ledger", a)
	}
	offences := ""
	for _, e := range a.Examples {
		offences += string(e.Key) + " "
	}
	if offences != "false-done false-refusal twice " {
		t.Errorf("offending keys %s", offences)
	}
}

// Guards against a generator that retries with another key, through the same entry, before the time to come back, or
// after a result that must not be repeated.
func TestRetriesUseAnotherEntryInstance(t *testing.T) {
	const pause = 30 * time.Millisecond
	var mu sync.Mutex
	seen := map[string][]string{}
	times := map[string][]time.Time{}
	entry := func(name string) string {
		return listen(t, func(ctx *fasthttp.RequestCtx) {
			key, path := string(ctx.Request.Header.Peek("Medlar-Request-Key")), string(ctx.Path())
			id := key + path
			mu.Lock()
			seen[id] = append(seen[id], name)
			times[id] = append(times[id], time.Now())
			calls := len(seen[id])
			mu.Unlock()
			unkeyed := strings.HasPrefix(path, "/v1/call/unkeyed/")
			switch {
			case unkeyed:
				ctx.Response.Header.Set("Medlar-Outcome", "unknown")
			case calls == 1:
				ctx.Response.Header.Set("Medlar-Outcome", "not-run")
				ctx.Response.Header.Set("Medlar-Retry-After", pause.String())
			default:
				ctx.Response.Header.Set("Medlar-Outcome", "done")
				body, _ := json.Marshal(medlarrunner.Reply{
					Key: medlarwheel.RequestKey(key), Path: path, BodyHash: xxhash.Sum64(nil),
				})
				ctx.SetBody(body)
			}
		})
	}
	config := DefaultConfig()
	config.Targets, config.Rate, config.MaxRequests = []string{entry("a"), entry("b")}, 400, 40
	config.Mix = []RequestKind{
		{Template: "keyed", Account: "a", Method: "POST", Keys: KeysDataCentre, DataCentre: "d1", Weight: 1},
		{Template: "unkeyed", Account: "a", Method: "POST", Keys: KeysNone, Weight: 1},
	}
	report, err := Run(t.Context(), config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d", config.Seed)
	keyed, unkeyed := report.Templates[0], report.Templates[1]
	if want := fmt.Sprint([]Count{{Outcome: "done", Count: keyed.Requests}}); fmt.Sprint(keyed.FinalResults) != want || keyed.Requests < 5 {
		t.Errorf("keyed: %+v, want all done", keyed)
	}
	if keyed.Refused.Count != keyed.Requests || keyed.Done.P50.Std() < pause || unkeyed.Done.Count != 0 {
		t.Errorf("latencies: %+v and %+v", keyed, unkeyed)
	}
	for id, names := range seen {
		switch {
		case strings.Contains(id, "/unkeyed/"):
			if len(names) != 1 {
				t.Errorf("request without a key and with an unknown result was sent %d times", len(names))
			}
		case len(names) != 2 || names[0] == names[1] || times[id][1].Sub(times[id][0]) < pause:
			t.Errorf("%s went to %v at %v, want another entry after %s", id, names, times[id], pause)
		}
	}
}

// Guards against a baseline that does not reach the runners, an audit that reads other ledgers, and violations of earlier
// runs that are counted again.
func TestDirectLoadAuditsRunnerLedgers(t *testing.T) {
	runner := medlarrunner.DefaultConfig()
	runner.ID, runner.ServiceTime, runner.Slots = "r1", 5*time.Millisecond, 1
	address := listen(t, medlarrunner.New(runner, zerolog.Nop()).Handle)
	config := DefaultConfig()
	config.Direct, config.Targets, config.Runners = true, []string{address}, []string{address}
	config.Rate, config.MaxRequests = 500, 50
	config.Mix = []RequestKind{{Template: "holds", Account: "a", Method: "POST", Keys: KeysPlain, Weight: 1}}
	for range 2 {
		report, err := Run(t.Context(), config, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		a, calls := report.Audit, report.Templates[0].Calls
		if a == nil || !a.Complete || !a.Passed(true) || a.Keys != 50 || a.Applied != report.Templates[0].Done.Count {
			t.Errorf("audit %+v of %+v", a, report.Templates)
		}
		refused := uint64(0)
		for _, c := range calls {
			if c.Outcome == medlarwheel.OutcomeNotRun {
				refused += uint64(c.Count)
			}
		}
		if a.SlotViolations != refused || refused == 0 {
			t.Errorf("%d slot violations in this run, %d refusals", a.SlotViolations, refused)
		}
	}
}
