package medlarcell

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
)

// Parameters of the drain rate of best-effort work.
const (
	// drainRateDecay is the time constant of the average of the rate at which best-effort work is done.
	drainRateDecay = 5 * time.Second
	// drainRatePrior is the share of the unused cores that best-effort work is expected to get before it was measured. The rest is
	// lost to interference.
	drainRatePrior = 0.6
	// saturatedShare is the waiting work, as a share of the unused cores, from which the rate of the work that is done shows what
	// the workers can do.
	saturatedShare = 1
	// minDrainRate is the smallest rate that is reported, as a share of the capacity. Without it, a service whose cores were all in
	// use for a while would refuse everything, and its rate could not be measured.
	minDrainRate = 0.02
)

// bestEffortLoad is the best-effort work of one service.
type bestEffortLoad struct {
	// unused is the number of cores that other tasks leave unused, and waiting that of the tasks that wait for one.
	unused, waiting float64
	// drainRate is the averaged number of cores for which work is done.
	drainRate float64
	// meanWork is the mean work of a submission.
	meanWork medlaradmission.CoreSeconds
	backlog  map[string]*medlaradmission.RouteBacklog
}

func (s *step) remainingWork() medlaradmission.CoreSeconds {
	return medlaradmission.CoreSeconds(float64(s.remainingTasks) * coreSeconds(s.predictedRunTime, s.spec))
}

// bestEffortWork returns the predicted work of the best-effort tasks of a job that are due and not done.
func (j *job) bestEffortWork(now time.Time) medlaradmission.CoreSeconds {
	work := medlaradmission.CoreSeconds(0)
	for _, o := range j.occurrences {
		if o == nil || now.Before(o.startAt) {
			continue
		}
		for _, s := range o.steps {
			if s.isMeasuredBestEffort() {
				work += s.remainingWork()
			}
		}
	}
	return work
}

// isMeasuredBestEffort reports whether the tasks of the step are best-effort work that ends.
func (s *step) isMeasuredBestEffort() bool { return s.spec.BestEffort && !s.spec.LongRunning }

// measureBacklogs measures the best-effort work of all services.
func (c *Cell) measureBacklogs(now time.Time) {
	for _, j := range c.jobs {
		if !j.state.IsFinal() {
			c.addBacklog(j, j.bestEffortWork(now))
		}
	}
	for _, s := range c.queue {
		if s.isMeasuredBestEffort() && s.isEligible(now) {
			c.loadOf(s.occurrence.job.submission.Service).bestEffort.waiting += float64(len(s.ready)) * float64(s.spec.Size.MilliCPU) / milli
		}
	}
}

func (c *Cell) addBacklog(j *job, work medlaradmission.CoreSeconds) {
	if work <= 0 {
		return
	}
	l := &c.loadOf(j.submission.Service).bestEffort
	if l.backlog == nil {
		l.backlog = map[string]*medlaradmission.RouteBacklog{}
	}
	b := l.backlog[j.submission.Route]
	if b == nil {
		b = &medlaradmission.RouteBacklog{Route: j.submission.Route, Priority: j.submission.Policy.Priority}
		l.backlog[j.submission.Route] = b
	}
	b.Priority = max(b.Priority, j.submission.Policy.Priority)
	b.Work += work
}

// observeBestEffort records an accepted submission in the load, and predicts when its first task starts.
func (c *Cell) observeBestEffort(now time.Time, j *job) {
	work := j.bestEffortWork(now)
	if work <= 0 {
		return
	}
	l := c.loadOf(j.submission.Service)
	if l.bestEffort.meanWork == 0 {
		l.bestEffort.meanWork = work
	}
	l.bestEffort.meanWork += meanWorkWeight * (work - l.bestEffort.meanWork)
	report := c.bestEffortReport(l)
	if report.DrainRate > 0 {
		j.predictedWait = time.Duration(float64(report.Ahead(j.submission.Policy.Priority)) / report.DrainRate * float64(time.Second))
	}
	c.addBacklog(j, work)
}

// observeBestEffortDone records tasks of a step that are done.
func (c *Cell) observeBestEffortDone(s *step, tasks int) {
	if s.isMeasuredBestEffort() {
		c.bestEffortDone[s.occurrence.job.submission.Service] += float64(tasks) * coreSeconds(s.predictedRunTime, s.spec)
	}
}

// carryOver updates the averages from the previous measurement and the work done since.
func (l *bestEffortLoad) carryOver(before *bestEffortLoad, done float64, elapsed time.Duration, reconciled bool) {
	if before == nil {
		before = &bestEffortLoad{}
	}
	l.meanWork = before.meanWork
	l.drainRate = l.nextDrainRate(before, done/elapsed.Seconds(), elapsed, reconciled)
}

// nextDrainRate returns the drain rate after the work of one interval was done at the given rate. It is the prior until the cell is
// reconciled, since not all workers have reported until then. It falls only while much work waits: with little, fewer workers find
// work that suits them, and a door that followed that rate would close further with each refusal.
func (l *bestEffortLoad) nextDrainRate(before *bestEffortLoad, rate float64, elapsed time.Duration, reconciled bool) float64 {
	prior := drainRatePrior * l.unused
	if !reconciled || before.drainRate == 0 {
		return prior
	}
	if min(l.waiting, before.waiting) < saturatedShare*l.unused {
		rate = max(rate, prior, before.drainRate)
	}
	return before.drainRate + (1-math.Exp(-elapsed.Seconds()/drainRateDecay.Seconds()))*(rate-before.drainRate)
}

// drainRate returns the rate at which the best-effort work of a service is expected to be done. It is zero until the cell is
// reconciled: until then, work waits for workers whose state is not known.
func (c *Cell) drainRate(l *serviceLoad) float64 {
	if !c.reconciled || l.capacity == 0 {
		return 0
	}
	return max(min(l.bestEffort.drainRate, l.bestEffort.unused), minDrainRate*l.capacity)
}

// bestEffortReport returns the report for admission control.
func (c *Cell) bestEffortReport(l *serviceLoad) medlaradmission.BestEffortLoad {
	report := medlaradmission.BestEffortLoad{MeanWork: l.bestEffort.meanWork, DrainRate: c.drainRate(l)}
	for _, b := range l.bestEffort.backlog {
		report.Backlog = append(report.Backlog, *b)
	}
	slices.SortFunc(report.Backlog, func(a, b medlaradmission.RouteBacklog) int { return strings.Compare(a.Route, b.Route) })
	return report
}

// emitBestEffortLoad emits the backlog and the drain rate of each service.
func (c *Cell) emitBestEffortLoad() {
	var names []medlarwheel.ServiceName
	for name, l := range c.loads {
		if len(l.bestEffort.backlog) > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, cmp.Compare)
	for _, name := range names {
		l := &c.loads[name].bestEffort
		report := c.bestEffortReport(c.loads[name])
		text := fmt.Sprintf("service %s, drain rate %.0f of %.0f unused cores, waiting %.0f, core-seconds:", name, report.DrainRate, l.unused, l.waiting)
		for _, b := range report.Backlog {
			text += fmt.Sprintf(" %s %.0f", b.Route, b.Work)
		}
		c.emit(Event{Kind: EventBestEffortLoad, Reason: text})
	}
}
