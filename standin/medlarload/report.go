package medlarload

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"medlarwheel"
)

// Report is the result of a load run.
type Report struct {
	Seed uint64  `json:"seed"`
	Rate float64 `json:"rate"`
	// SendDuration is the time during which requests were sent.
	SendDuration medlarwheel.Duration `json:"sending"`
	Templates    []TemplateReport     `json:"templates"`
	// Audit is nil if no runners were configured.
	Audit *Audit `json:"audit,omitempty"`
}

// TemplateReport is the result for one template.
type TemplateReport struct {
	Template medlarwheel.TemplateName `json:"template"`
	Requests int                      `json:"requests"`
	// Skipped counts the requests that were not sent because too many were in flight.
	Skipped int `json:"skipped"`
	// Goodput is the number of requests with a complete and correct response, per second of sending.
	Goodput float64 `json:"goodput"`
	// FinalResults counts requests by their last result, Calls counts all calls by their results.
	FinalResults []Count `json:"finals"`
	Calls        []Count `json:"calls"`
	// Done describes the times from when a request was due to its response, Refused those from the start of a call to its
	// refusal.
	Done    Quantiles `json:"done"`
	Refused Quantiles `json:"refused"`
}

// Count is the number of results with the same outcome and reason.
type Count struct {
	Outcome medlarwheel.Outcome `json:"outcome"`
	Reason  medlarwheel.Reason  `json:"reason,omitempty"`
	Count   int                 `json:"count"`
}

// Quantiles summarises a set of durations.
type Quantiles struct {
	Count int                  `json:"count"`
	P50   medlarwheel.Duration `json:"p50"`
	P90   medlarwheel.Duration `json:"p90"`
	P99   medlarwheel.Duration `json:"p99"`
	P999  medlarwheel.Duration `json:"p999"`
	Max   medlarwheel.Duration `json:"max"`
}

func (s *loadStats) report(config Config, sending time.Duration) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Seed: config.Seed, Rate: config.Rate, SendDuration: medlarwheel.Duration(sending.Round(time.Millisecond))}
	for name, t := range s.templates {
		r.Templates = append(r.Templates, TemplateReport{
			Template: name, Requests: t.requests, Skipped: t.skipped, Goodput: float64(t.good) / sending.Seconds(),
			FinalResults: counts(t.finalResults), Calls: counts(t.calls), Done: quantiles(t.done), Refused: quantiles(t.refused),
		})
	}
	slices.SortFunc(r.Templates, func(a, b TemplateReport) int { return cmp.Compare(a.Template, b.Template) })
	return r
}

func counts(byOutcome map[outcomeKey]int) []Count {
	list := make([]Count, 0, len(byOutcome))
	for key, n := range byOutcome {
		list = append(list, Count{Outcome: key.outcome, Reason: key.reason, Count: n})
	}
	slices.SortFunc(list, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// WriteJSON writes the report as one line of JSON.
func (r *Report) WriteJSON(w io.Writer) error { return json.NewEncoder(w).Encode(r) }

// WriteTable writes the report as a table for people to read.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := printer{w: t}
	p.line("seed %d, %.0f requests a second for %s", r.Seed, r.Rate, r.SendDuration)
	p.line("template\trequests\tskipped\tgoodput/s\tdone p50\tp99\tp99.9\tmax\trefused\tp50\tp99\tmax")
	for i := range r.Templates {
		c := &r.Templates[i]
		p.line("%s\t%d\t%d\t%.1f\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s", c.Template, c.Requests, c.Skipped, c.Goodput,
			c.Done.P50, c.Done.P99, c.Done.P999, c.Done.Max, c.Refused.Count, c.Refused.P50, c.Refused.P99, c.Refused.Max)
	}
	p.line("")
	p.line("template\toutcome\treason\trequests")
	for i := range r.Templates {
		for _, c := range r.Templates[i].FinalResults {
			p.line("%s\t%s\t%s\t%d", r.Templates[i].Template, c.Outcome, c.Reason, c.Count)
		}
	}
	if a := r.Audit; a != nil {
		p.line("")
		p.line("audit of %d ledgers, complete: %v", a.Runners, a.Complete)
		p.line("keys\tapplied\tapplied twice\tnot run but applied\tdone but not applied\tslot violations\tconnection violations")
		p.line("%d\t%d\t%d\t%d\t%d\t%d\t%d", a.Keys, a.Applied, a.AppliedTwice, a.NotRunButApplied, a.DoneButNotApplied,
			a.SlotViolations, a.ConnectionViolations)
		for _, problem := range a.Problems {
			p.line("%s", problem)
		}
	}
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// printer writes lines and keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, arguments ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", arguments...)
	}
}
