package medlarworker

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Errors of UsageFilter.Accept. Each report that is refused has one of them as its cause.
var (
	// ErrOutOfOrder means that a report with the same or a later sequence number was accepted before.
	ErrOutOfOrder = errors.New("usage report is repeated or out of order")
	// ErrLate means that the report took too long to arrive.
	ErrLate = errors.New("usage report arrived too late")
	// ErrImplausible means that the report contains values that cannot be correct.
	ErrImplausible = errors.New("usage report is implausible")
)

// UsageFilter filters the usage reports of workers and keeps the peak usage of running attempts.
type UsageFilter struct {
	config  Config
	workers map[medlarwheel.WorkerID]*workerUsage
}

type workerUsage struct {
	incarnation medlarwheel.Incarnation
	sequence    uint64
	uptime      time.Duration
	acceptedAt  time.Time
	// startedAt is when the agent started, computed from the report that took the least time to arrive. A slower report
	// gives a later time.
	startedAt time.Time
	peaks     map[medlarwheel.TaskAttempt]Measurement
}

// Measurement is the peak usage of an attempt and its run time.
type Measurement struct {
	Peak    medlarwheel.Resources
	RunTime medlarwheel.Duration
}

// NewUsageFilter returns a filter that has seen no reports.
func NewUsageFilter(config Config) *UsageFilter {
	return &UsageFilter{config: config, workers: make(map[medlarwheel.WorkerID]*workerUsage)}
}

// Accept returns the report without the attempts that are not committed on the worker, or an error with the reason why the
// report is refused.
func (u *UsageFilter) Accept(
	report medlarwheel.UsageReport, worker *medlarwheel.Worker, now time.Time,
) (medlarwheel.UsageReport, error) {
	if err := u.checkPlausible(&report, worker); err != nil {
		return medlarwheel.UsageReport{}, err
	}
	known := u.workers[report.Worker]
	if known == nil || report.Incarnation > known.incarnation || now.Sub(known.acceptedAt) > u.config.UsageRestart {
		known = &workerUsage{incarnation: report.Incarnation, peaks: make(map[medlarwheel.TaskAttempt]Measurement)}
	} else if err := u.checkOrder(&report, known, now); err != nil {
		return medlarwheel.UsageReport{}, err
	}
	u.workers[report.Worker] = known
	known.accept(&report, now)
	report.Tasks = filterCommitted(report.Tasks, worker)
	known.updatePeaks(report.Tasks, worker)
	return report, nil
}

// TakeMeasurement returns the measurement of an attempt and removes it.
func (u *UsageFilter) TakeMeasurement(worker medlarwheel.WorkerID, attempt medlarwheel.TaskAttempt) (Measurement, bool) {
	known := u.workers[worker]
	if known == nil {
		return Measurement{}, false
	}
	m, ok := known.peaks[attempt]
	delete(known.peaks, attempt)
	return m, ok
}

// Forget removes the state of a worker whose shard the owner has lost.
func (u *UsageFilter) Forget(worker medlarwheel.WorkerID) { delete(u.workers, worker) }

// checkPlausible refuses a report with values that no correct report of the worker can have.
func (u *UsageFilter) checkPlausible(report *medlarwheel.UsageReport, worker *medlarwheel.Worker) error {
	if faults := report.Check(); len(faults) > 0 || report.Worker != worker.ID {
		return errors.Wrapf(ErrImplausible, "report of worker %s for worker %s: %s", report.Worker, worker.ID, faults.Error())
	}
	if report.Sequence > uint64(report.Uptime.Std()/u.config.MinUsageInterval)+1 {
		return errors.Wrapf(ErrImplausible, "sequence number %d after an uptime of %v", report.Sequence, report.Uptime.Std())
	}
	limit := scaled(worker.Size, u.config.UsageTolerance)
	if !report.Used.Fits(limit) {
		return errors.Wrapf(ErrImplausible, "%+v in use on a worker of %+v", report.Used, worker.Size)
	}
	var sum medlarwheel.Resources
	for i := range report.Tasks {
		sum = sum.Plus(report.Tasks[i].Used)
		if !sum.Fits(limit) {
			return errors.Wrapf(ErrImplausible, "tasks use %+v or more on a worker of %+v", sum, worker.Size)
		}
	}
	return nil
}

// checkOrder refuses a report that does not follow the last accepted one of the same agent, or that arrived too late.
func (u *UsageFilter) checkOrder(report *medlarwheel.UsageReport, known *workerUsage, now time.Time) error {
	uptime := report.Uptime.Std()
	if report.Incarnation < known.incarnation || report.Sequence <= known.sequence || uptime < known.uptime {
		return errors.Wrapf(ErrOutOfOrder, "got incarnation %d, sequence number %d, uptime %v; the last one had %d, %d, %v",
			report.Incarnation, report.Sequence, uptime, known.incarnation, known.sequence, known.uptime)
	}
	startedAt := now.Add(-uptime)
	if startedAt.Sub(known.startedAt) > u.config.MaxUsageLag {
		return errors.Wrapf(ErrLate, "%v slower than the fastest report, at most %v are accepted", startedAt.Sub(known.startedAt),
			u.config.MaxUsageLag)
	}
	if known.startedAt.Sub(startedAt) > u.config.MaxUsageLag {
		return errors.Wrapf(ErrImplausible, "uptime is %v ahead of the earlier reports, at most %v are accepted",
			known.startedAt.Sub(startedAt), u.config.MaxUsageLag)
	}
	return nil
}

// inverseClockDrift is the inverse of the largest tolerated drift of an agent's clock: one part in 5000. Without this
// tolerance the reports of an agent with a slow clock would seem to arrive later and later, until they are refused.
const inverseClockDrift = 5000

func (k *workerUsage) accept(report *medlarwheel.UsageReport, now time.Time) {
	startedAt := now.Add(-report.Uptime.Std())
	if !k.startedAt.IsZero() {
		k.startedAt = k.startedAt.Add(now.Sub(k.acceptedAt) / inverseClockDrift)
	}
	if k.startedAt.IsZero() || startedAt.Before(k.startedAt) {
		k.startedAt = startedAt
	}
	k.sequence, k.uptime, k.acceptedAt = report.Sequence, report.Uptime.Std(), now
}

// updatePeaks raises the peak usage of the reported attempts and removes attempts that have left the worker.
func (k *workerUsage) updatePeaks(tasks []medlarwheel.TaskUsage, worker *medlarwheel.Worker) {
	for i := range tasks {
		attempt := medlarwheel.TaskAttempt{Task: tasks[i].Task, Attempt: tasks[i].Attempt}
		m := k.peaks[attempt]
		m.Peak.CPU = max(m.Peak.CPU, tasks[i].Used.CPU)
		m.Peak.Memory = max(m.Peak.Memory, tasks[i].Used.Memory)
		m.Peak.Accelerators = max(m.Peak.Accelerators, tasks[i].Used.Accelerators)
		m.RunTime = max(m.RunTime, tasks[i].RunTime)
		k.peaks[attempt] = m
	}
	for attempt := range k.peaks {
		if !isCommitted(worker, attempt) {
			delete(k.peaks, attempt)
		}
	}
}

func filterCommitted(tasks []medlarwheel.TaskUsage, worker *medlarwheel.Worker) []medlarwheel.TaskUsage {
	kept := make([]medlarwheel.TaskUsage, 0, len(tasks))
	for i := range tasks {
		if isCommitted(worker, medlarwheel.TaskAttempt{Task: tasks[i].Task, Attempt: tasks[i].Attempt}) {
			kept = append(kept, tasks[i])
		}
	}
	return kept
}

func isCommitted(worker *medlarwheel.Worker, attempt medlarwheel.TaskAttempt) bool {
	r := Record{worker: *worker}
	at, found := r.findCommitment(attempt.Task)
	return found && worker.Commitments[at].Attempt == attempt.Attempt
}

func scaled(r medlarwheel.Resources, factor float64) medlarwheel.Resources {
	return medlarwheel.Resources{
		CPU:          medlarwheel.MilliCPU(float64(r.CPU) * factor),
		Memory:       medlarwheel.MegaBytes(float64(r.Memory) * factor),
		Accelerators: r.Accelerators,
	}
}
