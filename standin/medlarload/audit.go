package medlarload

import (
	"slices"
	"strings"
	"time"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrunner"
)

// Audit compares what callers were told with what runners did.
type Audit struct {
	// Runners counts the ledgers that were read. Complete is false when a ledger is missing, began after the load or
	// was full; keys may then have been applied without a trace.
	Runners  int      `json:"runners"`
	Complete bool     `json:"complete"`
	Problems []string `json:"problems,omitempty"`
	// Keys counts the keys of the load whose runs count, Applied those of them that were applied.
	Keys    int `json:"keys"`
	Applied int `json:"applied"`
	// AppliedTwice counts the keys that were applied more than once.
	AppliedTwice int `json:"applied-twice"`
	// NotRunButApplied counts the keys that were applied although an answer said that they were not run and no call
	// began after it.
	NotRunButApplied int `json:"not-run-but-applied"`
	// DoneButNotApplied counts the keys that were reported as done by a runner with a complete ledger that lacks them.
	DoneButNotApplied int `json:"done-but-not-applied"`
	// Examples names some of the offending keys.
	Examples []Example `json:"examples,omitempty"`
	// SlotViolations, ConnectionViolations and Unkeyed are sums over the runners since the begin of the load.
	SlotViolations       uint64 `json:"slot-violations"`
	ConnectionViolations uint64 `json:"connection-violations"`
	Unkeyed              uint64 `json:"unkeyed"`
}

// Example is an offending key.
type Example struct {
	Key       medlarwheel.RequestKey `json:"key"`
	Violation string                 `json:"offence"`
	Applied   int                    `json:"applied"`
}

// Passed reports whether no guarantee was seen to be broken. Without entry instances nothing keeps to the limits of
// runners, so a direct run may violate them.
func (a *Audit) Passed(direct bool) bool {
	violations := a.SlotViolations + a.ConnectionViolations
	return a.AppliedTwice == 0 && a.NotRunButApplied == 0 && a.DoneButNotApplied == 0 && (direct || violations == 0)
}

const (
	ledgerTimeout = 10 * time.Second
	maxExamples   = 20
)

// readReports asks all runners for a report. It also returns what went wrong.
func (g *generator) readReports(path string) ([]medlarrunner.Report, []string) {
	reports := make([]medlarrunner.Report, 0, len(g.config.Runners))
	var problems []string
	for _, runner := range g.config.Runners {
		var report medlarrunner.Report
		if err := medlarprocess.GetJSON(runner, path, ledgerTimeout, &report); err != nil {
			problems = append(problems, err.Error())
			continue
		}
		reports = append(reports, report)
	}
	return reports, problems
}

// audit reads the ledgers of all runners and compares. Before has the counters from before the load.
func (g *generator) audit(started time.Time, before []medlarrunner.Report) *Audit {
	if len(g.config.Runners) == 0 {
		return nil
	}
	reports, problems := g.readReports("/ledger")
	g.stats.mu.Lock()
	defer g.stats.mu.Unlock()
	audit := compareLedgers(g.stats.keys, subtractBaseline(reports, before), started)
	audit.Problems = append(audit.Problems, problems...)
	audit.Complete = len(audit.Problems) == 0
	return audit
}

// subtractBaseline takes the counters from before the load off the reports. A runner that started again counts from zero.
func subtractBaseline(reports, before []medlarrunner.Report) []medlarrunner.Report {
	for i := range reports {
		now := &reports[i]
		for _, old := range before {
			if old.ID == now.ID && old.Started.Equal(now.Started) {
				now.Counters.SlotViolations -= old.Counters.SlotViolations
				now.Counters.ConnectionViolations -= old.Counters.ConnectionViolations
				now.Counters.Unkeyed -= old.Counters.Unkeyed
			}
		}
	}
	return reports
}

// compareLedgers judges the keys of the load by the ledgers.
func compareLedgers(keys map[medlarwheel.RequestKey]*keyRecord, reports []medlarrunner.Report, started time.Time) *Audit {
	a := &Audit{Runners: len(reports), Keys: len(keys), Complete: true}
	applied := map[medlarwheel.RequestKey]int{}
	complete := map[medlarwheel.UpstreamID]bool{}
	for _, report := range reports {
		a.SlotViolations += report.Counters.SlotViolations
		a.ConnectionViolations += report.Counters.ConnectionViolations
		a.Unkeyed += report.Counters.Unkeyed
		complete[report.ID] = report.Counters.Dropped == 0 && report.Started.Before(started)
		if !complete[report.ID] {
			a.Problems = append(a.Problems, "the ledger of "+string(report.ID)+" is incomplete")
		}
		for _, e := range report.Keys {
			applied[e.Key] += e.Applied
		}
	}
	for key, k := range keys {
		n := applied[key]
		if n > 0 {
			a.Applied++
		}
		if n > 1 {
			a.AppliedTwice++
			a.addExample(key, "applied twice", n)
		}
		if n > 0 && !k.lastNotRun.IsZero() && !k.lastStart.After(k.lastNotRun) {
			a.NotRunButApplied++
			a.addExample(key, "reported as not run", n)
		}
		if n == 0 && k.done && complete[k.doneBy] {
			a.DoneButNotApplied++
			a.addExample(key, "reported as done", n)
		}
	}
	a.Complete = len(a.Problems) == 0
	slices.SortFunc(a.Examples, func(x, y Example) int { return strings.Compare(string(x.Key), string(y.Key)) })
	return a
}

func (a *Audit) addExample(key medlarwheel.RequestKey, offence string, applied int) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, Example{Key: key, Violation: offence, Applied: applied})
	}
}
