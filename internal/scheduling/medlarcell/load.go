package medlarcell

import (
	"math"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// LoadConfig configures the load reports to admission control.
type LoadConfig struct {
	// Interval is the time between two measurements.
	Interval time.Duration
	// PeakDecay is the time constant of the exponential decay of a past peak of short urgent work.
	PeakDecay time.Duration
	// ReserveFactor times the recent peak of short urgent work is kept free of long-running tasks.
	ReserveFactor float64
	// MinReserve is the minimum share of the workers' CPU that is kept for short urgent work.
	MinReserve float64
	// ReleaseDecay is the time constant of the average of the rate at which long-running tasks release CPU.
	ReleaseDecay time.Duration
}

// DefaultLoadConfig returns the configuration for short tasks of about a second.
func DefaultLoadConfig() LoadConfig {
	return LoadConfig{
		Interval: 250 * time.Millisecond, PeakDecay: 10 * time.Second, ReserveFactor: 1.3, MinReserve: 0.04,
		ReleaseDecay: 15 * time.Second,
	}
}

// serviceLoad is the measured load of one service, in cores.
type serviceLoad struct {
	capacity, longRunning, longRunningWaiting, short float64
	// shortPeak is the recent peak of short urgent work, running and waiting.
	shortPeak float64
	// fragmented is the sum of the free CPU that remains on each worker when it is filled with short urgent tasks of the
	// usual size.
	fragmented float64
	// releaseRate is the rate at which long-running tasks release CPU, in cores per second.
	releaseRate float64
	bestEffort  bestEffortLoad
	// evacuated is the part of the workers in evacuated data centres.
	evacuated evacuatedLoad
}

// measureLoad updates the loads of all services once per interval.
func (c *Cell) measureLoad(now time.Time) {
	elapsed := now.Sub(c.loadMeasuredAt)
	if elapsed < c.config.Load.Interval {
		return
	}
	c.loadMeasuredAt = now
	before := c.loads
	c.loads = map[medlarwheel.ServiceName]*serviceLoad{}
	for _, w := range c.workers {
		l := c.loadOf(w.info.Service)
		l.fragmented += float64(w.fragmentedCPU(c.shortTaskSize[w.info.Service])) / milli
		l.longRunning += float64(w.longRunningCPU) / milli
		l.short += float64(w.committed.MilliCPU-w.longRunningCPU) / milli
		c.measureCapacity(l, w)
	}
	c.countReducedWorkers()
	for _, l := range c.loads {
		l.includeEvacuated()
	}
	for _, s := range c.queue {
		if s.spec.BestEffort {
			continue
		}
		l := c.loadOf(s.occurrence.job.submission.Service)
		cores := float64(len(s.ready)) * float64(s.spec.Size.MilliCPU) / milli
		if s.spec.LongRunning {
			l.longRunningWaiting += cores
		} else if s.occurrence.job.submission.Policy.Priority == 0 {
			l.short += cores
		}
	}
	c.measureBacklogs(now)
	for name, l := range c.loads {
		l.carryOver(before[name], elapsed, &c.config.Load)
		var earlier *bestEffortLoad
		if b := before[name]; b != nil {
			earlier = &b.bestEffort
		}
		l.bestEffort.carryOver(earlier, c.bestEffortDone[name], elapsed, c.reconciled)
	}
	clear(c.bestEffortDone)
}

// shortSizeWeight is the weight of one submission in the usual size of short urgent tasks.
const shortSizeWeight = 0.05

// observeShortTaskSize updates the usual size of short urgent tasks from a submission.
func (c *Cell) observeShortTaskSize(s *medlarsubmission.Submission) {
	if s.Policy.Priority > 0 {
		return
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.LongRunning || step.BestEffort {
			continue
		}
		size, cpu := c.shortTaskSize[s.Service], float64(step.Size.MilliCPU)
		if size == 0 {
			size = cpu
		}
		c.shortTaskSize[s.Service] = size + shortSizeWeight*(cpu-size)
	}
}

// fragmentedCPU returns the free CPU that remains on a worker when it is filled with tasks of the given size.
func (w *worker) fragmentedCPU(size float64) int64 {
	free := w.freeCapacity().MilliCPU
	if size < 1 || free <= 0 || !w.registered || !w.reported || w.info.Draining || w.evacuated {
		return 0
	}
	return free % int64(size)
}

func (c *Cell) loadOf(name medlarwheel.ServiceName) *serviceLoad {
	l := c.loads[name]
	if l == nil {
		l = &serviceLoad{}
		c.loads[name] = l
	}
	return l
}

// carryOver updates the decaying peak and the averaged release rate from the previous measurement.
func (l *serviceLoad) carryOver(before *serviceLoad, elapsed time.Duration, c *LoadConfig) {
	l.shortPeak = l.short
	if before == nil {
		return
	}
	l.shortPeak = max(l.short, before.shortPeak*math.Exp(-elapsed.Seconds()/c.PeakDecay.Seconds()))
	weight := 1 - math.Exp(-elapsed.Seconds()/c.ReleaseDecay.Seconds())
	released := max(0, before.longRunning-l.longRunning) / elapsed.Seconds()
	l.releaseRate = before.releaseRate + weight*(released-before.releaseRate)
}

// Load returns the load of a service for admission control. Its headroom is unlimited until the cell is reconciled, and for
// services without usable capacity.
func (c *Cell) Load(now time.Time, service medlarwheel.ServiceName) medlaradmission.Load {
	load := medlaradmission.Load{
		At: now, LongRunningHeadroom: math.MaxInt64, HeldMemory: c.heldAndReserved(now), MaxHeldMemory: c.maxReportedMemory(),
	}
	l := c.loads[service]
	if l == nil {
		return load
	}
	load.BestEffort = c.bestEffortReport(l)
	load.BestEffort.Reserved = medlaradmission.CoreSeconds(c.reservedForReturns(now, service, medlaradmission.CauseBacklog, load.BestEffort.DrainRate))
	if l.capacity == 0 || !c.reconciled {
		return load
	}
	reserve := l.reserveFor(l.shortPeak, &c.config.Load)
	// As a past peak fades, what is kept for short tasks falls to what the present ones need.
	load.LongRunningReleaseRate = l.releaseRate + (reserve-l.reserveFor(l.short, &c.config.Load))/c.config.Load.PeakDecay.Seconds()
	load.LongRunningReserved = c.reservedForReturns(now, service, medlaradmission.CauseLongRunning, load.LongRunningReleaseRate)
	load.LongRunningHeadroom = l.capacity - (l.longRunning - l.evacuated.longRunning) - l.longRunningWaiting - l.fragmented - reserve - load.LongRunningReserved
	return load
}

// reserveFor returns what is kept free for short urgent work that has needed the given number of cores.
func (l *serviceLoad) reserveFor(short float64, c *LoadConfig) float64 {
	return max(c.MinReserve*l.capacity, c.ReserveFactor*short)
}
