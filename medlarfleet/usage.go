package medlarfleet

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarplacement"
	"medlarwheel/medlarworker"
)

// usageState holds what usage reports are turned into.
type usageState struct {
	filter   *medlarworker.Usage
	governor *medlarplacement.Governor
}

func newUsageState(c *Config, estimator medlarplacement.Estimator) *usageState {
	return &usageState{
		filter:   medlarworker.NewUsage(c.Worker),
		governor: medlarplacement.NewGovernor(c.Governor, estimator),
	}
}

func (u *usageState) forget(worker medlarwheel.WorkerID) {
	u.filter.Forget(worker)
	u.governor.Forget(worker)
}

func (s *state) pollUsage(time.Time) {}

func (s *state) observeUsage(medlarwheel.WorkerID, *medlaragentapi.UsageReport, time.Time) {}
