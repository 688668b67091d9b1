package medlarload

import (
	"slices"
	"strings"
	"time"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrunner"
)

// Audit compares the outcomes reported to clients with the ledgers of the runners.
type Audit struct {
	// Runners counts the ledgers that were read. Complete is false if a ledger is missing, began after the load or was
	// full; keys may then have been applied without an entry.
	Runners  int      `json:"runners"`
	Complete bool     `json:"complete"`
	Problems []string `json:"problems,omitempty"`
	// Keys counts the request keys of the load that belong to mutating requests, Applied those that were applied.
	Keys    int `json:"keys"`
	Applied int `json:"applied"`
	// AppliedTwice counts the keys that were applied more than once.
	AppliedTwice int `json:"applied-twice"`
	// NotRunButApplied counts the keys that were applied although a response reported them as not run and no call
	// started after it.
	NotRunButApplied int `json:"not-run-but-applied"`
	// DoneButNotApplied counts the keys that were reported as done but are missing from the complete ledger of the runner
	// that reported them.
	DoneButNotApplied int `json:"done-but-not-applied"`
	// Examples lists some of the keys that violate a guarantee.
	Examples []Example `json:"examples,omitempty"`
	// SlotViolations, ConnectionViolations and Unkeyed are sums over the runners since the start of the load.
	SlotViolations       uint64 `json:"slot-violations"`
	ConnectionViolations uint64 `json:"connection-violations"`
	Unkeyed              uint64 `json:"unkeyed"`
}

// Example is a key that violates a guarantee.
type Example struct {
	Key       medlarwheel.RequestKey `json:"key"`
	Violation string                 `json:"offence"`
	Applied   int                    `json:"applied"`
}

// Passed reports whether the audit found no violated guarantee. Without entry instances nothing enforces the limits of the
// runners, so a direct run may exceed them.
func (a *Audit) Passed(direct bool) bool {
	violations := a.SlotViolations + a.ConnectionViolations
	return a.AppliedTwice == 0 && a.NotRunButApplied == 0 && a.DoneButNotApplied == 0 && (direct || violations == 0)
}

const (
	ledgerTimeout = 10 * time.Second
	maxExamples   = 20
)

// readReports reads the reports of all runners. It also returns a description of each failure.
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

// audit compares the results of the load with the ledgers of all runners. The baseline holds the reports
// from before the load.
func (g *generator) audit(started time.Time, baseline []medlarrunner.Report) *Audit {
	if len(g.config.Runners) == 0 {
		return nil
	}
	reports, problems := g.readReports("/ledger")
	g.stats.mu.Lock()
	defer g.stats.mu.Unlock()
	audit := compareLedgers(g.stats.keys, subtractBaseline(reports, baseline), started)
	audit.Problems = append(audit.Problems, problems...)
	audit.Complete = len(audit.Problems) == 0
	return audit
}

// subtractBaseline subtracts the counters of the baseline. A runner that was restarted since counts from zero.
func subtractBaseline(reports, baseline []medlarrunner.Report) []medlarrunner.Report {
	for i := range reports {
		current := &reports[i]
		for _, earlier := range baseline {
			if earlier.ID == current.ID && earlier.Started.Equal(current.Started) {
				current.Counters.SlotViolations -= earlier.Counters.SlotViolations
				current.Counters.ConnectionViolations -= earlier.Counters.ConnectionViolations
				current.Counters.Unkeyed -= earlier.Counters.Unkeyed
			}
		}
	}
	return reports
}

// compareLedgers checks the outcomes of the keys against the ledgers.
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

func (a *Audit) addExample(key medlarwheel.RequestKey, violation string, applied int) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, Example{Key: key, Violation: violation, Applied: applied})
	}
}
