package medlarburnrate

import (
	"time"

	"medlarwheel"
)

// Result classifies a request by the objective of its template.
type Result int

// The results.
const (
	// ResultGood is a response within the objective's latency.
	ResultGood Result = iota
	// ResultSlow is a response after the objective's latency.
	ResultSlow
	// ResultRefused is a request that was not run.
	ResultRefused
	// ResultUnknown is a request that may or may not have run.
	ResultUnknown
	resultCount
)

// Classify returns the result of a request. It returns false for a request that can never be served, because it says
// nothing about the service.
func Classify(outcome medlarwheel.Outcome, reason medlarwheel.Reason, latency time.Duration, objective medlarwheel.Objective) (Result, bool) {
	switch outcome {
	case medlarwheel.OutcomeDone:
		if latency <= objective.Latency.Std() {
			return ResultGood, true
		}
		return ResultSlow, true
	case medlarwheel.OutcomeNotRun:
		ok := reason != medlarwheel.ReasonBadRequest && reason != medlarwheel.ReasonUnknownTemplate
		return ResultRefused, ok
	default:
		return ResultUnknown, true
	}
}

// Counts holds the number of requests with each result in a period.
type Counts struct {
	Good    uint64 `json:"good"`
	Slow    uint64 `json:"slow"`
	Refused uint64 `json:"refused"`
	Unknown uint64 `json:"unknown"`
}

// Plus returns the sum of c and o.
func (c Counts) Plus(o Counts) Counts {
	return Counts{Good: c.Good + o.Good, Slow: c.Slow + o.Slow, Refused: c.Refused + o.Refused, Unknown: c.Unknown + o.Unknown}
}

// Bad returns the number of results that count against the error budget.
func (c Counts) Bad() uint64 { return c.Slow + c.Refused + c.Unknown }

// Total returns the number of all results.
func (c Counts) Total() uint64 { return c.Good + c.Bad() }
