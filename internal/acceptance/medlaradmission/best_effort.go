package medlaradmission

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"medlarwheel/internal/acceptance/medlarreturns"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// CoreSeconds is an amount of work: the predicted run time of tasks times their cores.
type CoreSeconds float64

// BestEffortLoad is the report on the best-effort work of one service.
type BestEffortLoad struct {
	// DrainRate is the number of cores for which best-effort work is done while enough of it waits. Zero means that it is not known.
	DrainRate float64 `json:"drain-rate,omitempty"`
	// Backlog is the accepted work that is not done, by route.
	Backlog []RouteBacklog `json:"backlog,omitempty"`
	// Reserved is the work that is kept for submissions which were turned away and are expected back.
	Reserved CoreSeconds `json:"reserved,omitempty"`
	// MeanWork is the mean work of a submission.
	MeanWork CoreSeconds `json:"mean-work,omitempty"`
	// Instances is the number of instances that accept submissions beside each other. Zero means that it is not known; everything is
	// then accepted.
	Instances int `json:"instances,omitempty"`
}

// RouteBacklog is the best-effort work of one route that is not done.
type RouteBacklog struct {
	Route    string      `json:"route"`
	Priority int         `json:"priority"`
	Work     CoreSeconds `json:"core-seconds"`
}

// Ahead returns the work of routes whose priority is at least as high as the given one.
func (l *BestEffortLoad) Ahead(priority int) CoreSeconds {
	total := CoreSeconds(0)
	for _, b := range l.Backlog {
		if b.Priority <= priority {
			total += b.Work
		}
	}
	return total
}

// add adds a multiple of the work of a submission to the backlog of its route.
func (l *BestEffortLoad) add(w *pendingWork, times CoreSeconds) {
	for i := range l.Backlog {
		if l.Backlog[i].Route == w.route {
			l.Backlog[i].Work += times * w.work
			return
		}
	}
	l.Backlog = append(l.Backlog, RouteBacklog{Route: w.route, Priority: w.priority, Work: times * w.work})
}

// BestEffortConfig configures the admission of best-effort work.
type BestEffortConfig struct {
	// MaxWait bounds the time in which the backlog is done at the drain rate. It is many times what a client waits for: fresh work
	// comes before work that is late, so that a shorter backlog would refuse work that can be in time. Accepted work has something
	// running whatever the backlog, so that the bound does not have to ensure it.
	MaxWait time.Duration
	// OpenShare is the share of the limit up to which every submission is accepted. Between it and the limit, a falling share is, so
	// that the door neither closes nor opens for all at once.
	OpenShare float64
	// MaxAge is the greatest age of a report that is used. Without an owner, the last report and the work accepted since stand for
	// the backlog.
	MaxAge time.Duration
	// VisibilityDelay is the time after which an accepted submission is included in the reports.
	VisibilityDelay time.Duration
	// MaxRetryAfter bounds the retry delay.
	MaxRetryAfter time.Duration
}

// DefaultBestEffortConfig returns the configuration for tasks of seconds.
func DefaultBestEffortConfig() BestEffortConfig {
	return BestEffortConfig{
		MaxWait: 120 * time.Second, OpenShare: 0.7, MaxAge: 10 * time.Second, VisibilityDelay: 500 * time.Millisecond,
		MaxRetryAfter: 10 * time.Second,
	}
}

// Bounds of the work of a submission, relative to the mean, in the decision. Large submissions are refused earlier than small ones,
// but some of them are accepted as long as some small ones are.
const (
	minRelativeWork = 0.25
	maxRelativeWork = 1.5
)

// admit decides whether the best-effort work of a submission is accepted.
func (c *BestEffortConfig) admit(s *medlarsubmission.Submission, load *BestEffortLoad, retryFrom time.Duration) Decision {
	work := bestEffortWork(s, load.MeanWork)
	if work == 0 || load.DrainRate <= 0 || load.Instances == 0 {
		return Decision{Accept: true}
	}
	limit := CoreSeconds(load.DrainRate * c.MaxWait.Seconds())
	ahead := load.Ahead(s.Policy.Priority) + load.Reserved
	// A submission that exceeds the limit alone is accepted beside a small backlog.
	needed := min(work, limit*CoreSeconds(c.OpenShare))
	after := ahead + needed
	threshold := limit * CoreSeconds(c.threshold(s, work, load.MeanWork))
	if after <= threshold || c.isWithinRouteShare(s, work, limit, load) {
		return Decision{Accept: true}
	}
	wait := time.Duration(float64(after-threshold) / load.DrainRate * float64(time.Second))
	wait = min(max(wait, retryFrom), c.MaxRetryAfter)
	return Decision{
		RetryAfter: wait, Cause: CauseBacklog,
		TurnedAway: medlarreturns.Request{
			ID: s.ID, Needed: medlarreturns.Amount(needed), Missing: medlarreturns.Amount(after - threshold),
			Reserved: medlarreturns.Amount(load.Reserved), Rate: medlarreturns.Amount(load.DrainRate), Wait: wait,
		},
		Reason: fmt.Sprintf("best-effort backlog is too large: %.0f core-seconds before it at %.0f a second, needs %.0f, at most %.0f in %d ms",
			ahead, load.DrainRate, work, threshold, c.MaxWait.Milliseconds()),
	}
}

func stepWork(s *medlarsubmission.Step) CoreSeconds {
	return CoreSeconds(float64(s.Count) * float64(s.Size.MilliCPU) / medlarsubmission.MilliCPUPerCore * s.Estimate.Seconds())
}

// threshold returns the share of the limit up to which a submission is accepted. It spreads submissions evenly over the range from
// OpenShare to 1. Repeated requests and all instances get the same value, so that a submission is not accepted by trying often.
func (c *BestEffortConfig) threshold(s *medlarsubmission.Submission, work, mean CoreSeconds) float64 {
	exponent := 1.0
	if mean > 0 {
		exponent = min(max(float64(work/mean), minRelativeWork), maxRelativeWork)
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(s.ID))
	// The finalizer of MurmurHash3 spreads ids that differ in their last digits only.
	h := hash.Sum32()
	h = (h ^ h>>16) * 0x85ebca6b
	h = (h ^ h>>13) * 0xc2b2ae35
	h ^= h >> 16
	return c.OpenShare + (1-c.OpenShare)*math.Pow(float64(h)/math.MaxUint32, exponent)
}

// isWithinRouteShare reports whether the route of a submission has less work than its even share of OpenShare, so that the burst of
// one route does not close the door for the others. All shares together exceed the limit by OpenShare at most.
func (c *BestEffortConfig) isWithinRouteShare(s *medlarsubmission.Submission, work, limit CoreSeconds, load *BestEffortLoad) bool {
	routes, ofRoute := 1, CoreSeconds(0)
	for _, b := range load.Backlog {
		switch {
		case b.Route == s.Route:
			ofRoute = b.Work
		case b.Work > 0 && b.Priority <= s.Policy.Priority:
			routes++
		}
	}
	return routes > 1 && ofRoute+work <= limit*CoreSeconds(c.OpenShare)/CoreSeconds(routes)
}

// bestEffortWork returns the best-effort work of a submission that is to be done now. Steps without an estimate stand for a mean
// submission.
func bestEffortWork(s *medlarsubmission.Submission, mean CoreSeconds) CoreSeconds {
	if s.OccurrenceCount > 0 {
		return 0
	}
	total, unknown := CoreSeconds(0), false
	for i := range s.Steps {
		step := &s.Steps[i]
		if !step.BestEffort || step.LongRunning {
			continue
		}
		unknown = unknown || step.Estimate <= 0
		total += stepWork(step)
	}
	if unknown {
		total = max(total, mean)
	}
	return total
}

// Pending holds the best-effort work that an instance has accepted and that may be missing in the report of the load.
type Pending struct{ accepted []pendingWork }

type pendingWork struct {
	at       time.Time
	route    string
	priority int
	work     CoreSeconds
}

// Add records an accepted submission.
func (p *Pending) Add(now time.Time, c *BestEffortConfig, s *medlarsubmission.Submission, load Load) {
	p.dropBefore(now.Add(-c.MaxAge - c.VisibilityDelay))
	if work := bestEffortWork(s, load.BestEffort.MeanWork); work > 0 {
		p.accepted = append(p.accepted, pendingWork{at: now, route: s.Route, priority: s.Policy.Priority, work: work})
	}
}

// Apply returns the report with the work that may be missing in it. The other instances are taken to have accepted as much as this
// one, but for its largest submission, so that single submissions do not count many times. All instances together exceed the limit
// by at most two submissions each.
func (p *Pending) Apply(c *BestEffortConfig, load Load) Load {
	p.dropBefore(load.At.Add(-c.VisibilityDelay))
	load.BestEffort.Backlog = slices.Clone(load.BestEffort.Backlog)
	largest, others := 0, CoreSeconds(max(0, load.BestEffort.Instances-1))
	for i, w := range p.accepted {
		if w.work > p.accepted[largest].work {
			largest = i
		}
	}
	for i := range p.accepted {
		times := CoreSeconds(1)
		if i != largest {
			times += others
		}
		load.BestEffort.add(&p.accepted[i], times)
	}
	return load
}

func (p *Pending) dropBefore(t time.Time) {
	for len(p.accepted) > 0 && p.accepted[0].at.Before(t) {
		p.accepted = p.accepted[1:]
	}
}
