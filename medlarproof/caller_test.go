package medlarproof

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarload"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrunner"
)

// callResult is what a caller learns from one call.
type callResult struct {
	// err is set when there was no whole answer.
	err     error
	status  int
	outcome medlarwheel.Outcome
	reason  medlarwheel.Reason
	body    string
	took    time.Duration
}

// runnerReply decodes the runner's answer. It is empty unless the outcome is done.
func (r *callResult) runnerReply() medlarrunner.Reply {
	var reply medlarrunner.Reply
	if r.outcome == medlarwheel.OutcomeDone {
		_ = json.Unmarshal([]byte(r.body), &reply)
	}
	return reply
}

// call sends one request over a connection of its own.
func call(e *entry, method, template, path string, key medlarwheel.RequestKey, deadline time.Duration) callResult {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + e.clientAddress + "/v1/call/" + template + "/" + path)
	request.Header.Set("Medlar-Deadline", deadline.String())
	request.SetConnectionClose()
	if key != "" {
		request.Header.Set(medlarrunner.HeaderRequestKey, string(key))
	}
	begin := time.Now()
	err := medlarprocess.NewHostClient(e.clientAddress, 1).DoTimeout(request, response, deadline+500*time.Millisecond)
	return callResult{
		err: err, status: response.StatusCode(), outcome: medlarwheel.Outcome(response.Header.Peek("Medlar-Outcome")),
		reason: medlarwheel.Reason(response.Header.Peek("Medlar-Reason")), body: string(response.Body()), took: time.Since(begin),
	}
}

// loadConfig returns a load on a service through all entry instances, with ledgers audited.
func (s *system) loadConfig(v service, runners []*runner, rate float64, duration time.Duration) medlarload.Config {
	config := medlarload.DefaultConfig()
	config.Targets, config.Rate, config.Duration = s.clientAddresses(), rate, duration
	config.Deadline = maxDeadline
	for _, r := range runners {
		config.Runners = append(config.Runners, r.controlAddress)
	}
	name := medlarwheel.TemplateName(v.name)
	config.Mix = []medlarload.RequestKind{
		{Template: name, Account: "plain", Method: "POST", Keys: medlarload.KeysPlain, Weight: 2},
		{Template: name, Account: "home", Method: "POST", Keys: medlarload.KeysDataCentre, DataCentre: dataCentreOne, Weight: 2},
		{Template: name, Account: "double", Method: "POST", Keys: medlarload.KeysDuplicated, Weight: 1},
		{Template: name, Account: "reads", Method: "GET", Keys: medlarload.KeysNone, Weight: 1},
	}
	return config
}

// runLoad sends a load, prints its report with the seed, and fails the test when the audit finds anything.
func runLoad(t testing.TB, config medlarload.Config) medlarload.Report {
	t.Helper()
	report, err := medlarload.Run(t.Context(), config, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	checkLoad(t, &report)
	return report
}

// checkLoad prints a report and fails the test when it shows a broken guarantee.
func checkLoad(t testing.TB, report *medlarload.Report) {
	t.Helper()
	var text logBuffer
	if err := report.WriteTable(&text); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", text.tail(1000))
	if report.Audit == nil || !report.Audit.Complete || !report.Audit.Passed(false) {
		t.Errorf("audit: %+v", report.Audit)
	}
	if n := countCalls(report, medlarwheel.OutcomeDone, "generator-wrong-answer"); n > 0 {
		t.Errorf("%d answers were passed on as done that belong to another request or are not whole", n)
	}
}

// countCalls sums up the calls with an outcome and a reason over all templates.
func countCalls(report *medlarload.Report, outcome medlarwheel.Outcome, reason medlarwheel.Reason) int {
	return sumCounts(report, func(t *medlarload.TemplateReport) []medlarload.Count { return t.Calls }, outcome, reason)
}

// countFinals sums up the last results of requests with an outcome and a reason over all templates.
func countFinals(report *medlarload.Report, outcome medlarwheel.Outcome, reason medlarwheel.Reason) int {
	return sumCounts(report, func(t *medlarload.TemplateReport) []medlarload.Count { return t.FinalResults }, outcome, reason)
}

func sumCounts(report *medlarload.Report, of func(*medlarload.TemplateReport) []medlarload.Count, outcome medlarwheel.Outcome, reason medlarwheel.Reason) int {
	n := 0
	for i := range report.Templates {
		for _, c := range of(&report.Templates[i]) {
			if c.Outcome == outcome && c.Reason == reason {
				n += c.Count
			}
		}
	}
	return n
}

// countRequests sums up the requests over all templates.
func countRequests(report *medlarload.Report) int {
	n := 0
	for i := range report.Templates {
		n += report.Templates[i].Requests
	}
	return n
}
