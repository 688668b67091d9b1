package medlarburnrate

import (
	"slices"
	"time"

	"medlarwheel"
)

// Objectives holds the objective of each template that has one.
type Objectives map[medlarwheel.TemplateName]medlarwheel.Objective

// Report shows how fast each series consumes its error budget.
type Report struct {
	At time.Time `json:"at"`
	// Instances is the number of instances with a snapshot in the report.
	Instances int   `json:"instances"`
	Rows      []Row `json:"rows"`
}

// Row is the result of one series in one window.
type Row struct {
	SeriesKey
	Window Window `json:"window"`
	Counts
	// TargetMillionths is the objective's share of good results. Zero means that the template has no objective.
	TargetMillionths int `json:"target-millionths"`
	// BurnRate is the share of bad results divided by the share that the objective allows.
	BurnRate *float64 `json:"burn-rate"`
	// BudgetLeft is the remaining share of the window's error budget. It is negative if the budget is overspent.
	BudgetLeft *float64 `json:"budget-left"`
}

const millionths = 1_000_000

// NewReport sums snapshots and compares them with the objectives. Of several snapshots of one incarnation only the
// newest counts. A window excludes snapshots that are older than the window, because all their results lie before it.
// A younger snapshot counts in full, although its oldest results may lie before the window by the snapshot's age.
func NewReport(now time.Time, snapshots []Snapshot, objectives Objectives) Report {
	r := Report{At: now, Rows: []Row{}}
	sums := make(map[SeriesKey]*[windowCount]Counts)
	instances := make(map[medlarwheel.InstanceID]bool)
	for _, s := range newestSnapshots(snapshots) {
		instances[s.Instance] = true
		for _, series := range s.Series {
			sum := sums[series.SeriesKey]
			if sum == nil {
				sum = new([windowCount]Counts)
				sums[series.SeriesKey] = sum
			}
			for i, spec := range windowSpecs {
				if now.Sub(s.At) < spec.window.Length() {
					sum[i] = sum[i].Plus(series.window(spec.window))
				}
			}
		}
	}
	r.Instances = len(instances)
	for key, sum := range sums {
		for i, spec := range windowSpecs {
			if sum[i].Total() > 0 {
				r.Rows = append(r.Rows, newRow(key, spec.window, sum[i], objectives))
			}
		}
	}
	slices.SortStableFunc(r.Rows, func(a, b Row) int {
		if order := a.compare(b.SeriesKey); order != 0 {
			return order
		}
		return int((a.Window.Length() - b.Window.Length()) / time.Second)
	})
	return r
}

// newestSnapshots returns the newest snapshot of each incarnation.
func newestSnapshots(snapshots []Snapshot) []Snapshot {
	newest := make(map[sourceKey]int, len(snapshots))
	for i, s := range snapshots {
		key := sourceKey{instance: s.Instance, incarnation: s.Incarnation}
		if index, known := newest[key]; !known || snapshots[index].Sequence < s.Sequence {
			newest[key] = i
		}
	}
	var kept []Snapshot
	for i, s := range snapshots {
		if newest[sourceKey{instance: s.Instance, incarnation: s.Incarnation}] == i {
			kept = append(kept, s)
		}
	}
	return kept
}

func newRow(key SeriesKey, window Window, counts Counts, objectives Objectives) Row {
	row := Row{SeriesKey: key, Window: window, Counts: counts}
	objective, known := objectives[key.Template]
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
