package medlarburn

import (
	"slices"
	"time"

	"medlarwheel"
)

// Objectives holds the objective of each template that has one.
type Objectives map[medlarwheel.TemplateName]medlarwheel.Objective

// Report shows how fast each pair uses up its error budget.
type Report struct {
	At time.Time `json:"at"`
	// Instances is the number of instances with a snapshot in the report.
	Instances int   `json:"instances"`
	Rows      []Row `json:"rows"`
}

// Row is one pair and window.
type Row struct {
	Pair
	Window Window `json:"window"`
	Counts
	// TargetMillionths is the objective's share of good results. Zero means that the template has no objective.
	TargetMillionths int `json:"target-millionths"`
	// BurnRate is the share of bad results divided by the share that the objective allows.
	BurnRate *float64 `json:"burn-rate"`
	// BudgetLeft is the share of the window's error budget that is left. It is negative if the budget is overspent.
	BudgetLeft *float64 `json:"budget-left"`
}

const millionths = 1_000_000

// NewReport sums snapshots and compares them with the objectives. Of several snapshots of one incarnation only the
// newest counts. A window leaves out snapshots that are older than the window: all that they counted lies before it.
// A younger snapshot counts in full, although its oldest results may lie before the window by the snapshot's age.
func NewReport(now time.Time, snapshots []Counters, objectives Objectives) Report {
	r := Report{At: now, Rows: []Row{}}
	sums := make(map[Pair]*[windowCount]Counts)
	instances := make(map[medlarwheel.InstanceID]bool)
	for _, s := range newest(snapshots) {
		instances[s.Instance] = true
		for _, p := range s.Pairs {
			sum := sums[p.Pair]
			if sum == nil {
				sum = new([windowCount]Counts)
				sums[p.Pair] = sum
			}
			for i, spec := range windowSpecs {
				if now.Sub(s.At) < spec.name.Length() {
					sum[i] = sum[i].Plus(p.window(spec.name))
				}
			}
		}
	}
	r.Instances = len(instances)
	for pair, sum := range sums {
		for i, spec := range windowSpecs {
			if sum[i].Total() > 0 {
				r.Rows = append(r.Rows, newRow(pair, spec.name, sum[i], objectives))
			}
		}
	}
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		if order := a.compare(b.Pair); order != 0 {
			return order
		}
		return int((a.Window.Length() - b.Window.Length()) / time.Second)
	})
	return r
}

// newest returns the newest snapshot of each incarnation.
func newest(snapshots []Counters) []Counters {
	best := make(map[origin]int, len(snapshots))
	for i, s := range snapshots {
		from := origin{instance: s.Instance, incarnation: s.Incarnation}
		if at, known := best[from]; !known || snapshots[at].Sequence < s.Sequence {
			best[from] = i
		}
	}
	var kept []Counters
	for i, s := range snapshots {
		if best[origin{instance: s.Instance, incarnation: s.Incarnation}] == i {
			kept = append(kept, s)
		}
	}
	return kept
}

func newRow(pair Pair, window Window, counts Counts, objectives Objectives) Row {
	row := Row{Pair: pair, Window: window, Counts: counts}
	objective, known := objectives[pair.Template]
	if !known || objective.Target <= 0 || objective.Target >= millionths {
		return row
	}
	row.TargetMillionths = objective.Target
	allowed := float64(counts.Total()) * float64(millionths-objective.Target) / millionths
	burn := round(float64(counts.Bad()) / allowed)
	left := round(1 - burn)
	row.BurnRate, row.BudgetLeft = &burn, &left
	return row
}
