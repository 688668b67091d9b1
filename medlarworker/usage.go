package medlarworker

import (
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
)

// Errors of Usage.Accept. Each report that is refused has one of them as its cause.
var (
	// ErrOutOfOrder means that a report with the same or a later sequence was accepted before.
	ErrOutOfOrder = errors.New("usage report is repeated or out of order")
	// ErrLate means that the report was on its way for too long.
	ErrLate = errors.New("usage report is late")
	// ErrImplausible means that the report cannot be true.
	ErrImplausible = errors.New("usage report is absurd")
)

// UsageFilter filters the usage reports of workers and keeps the peaks of running attempts.
type UsageFilter struct {
	config  Config
	workers map[medlarwheel.WorkerID]*workerUsage
}

type workerUsage struct {
	incarnation medlarwheel.Incarnation
	sequence    uint64
	uptime      time.Duration
	acceptedAt  time.Time
	// startedAt is when the agent started by the fastest report. Slower reports make it look later.
	startedAt time.Time
	peaks     map[medlarwheel.TaskAttempt]Measurement
}

// Measurement is what an attempt has used at most and how long it has run.
type Measurement struct {
	Peak    medlarwheel.Resources
	RunTime medlarwheel.Duration
}

// NewUsageFilter returns a filter that has seen no reports.
func NewUsageFilter(config Config) *UsageFilter {
	return &UsageFilter{config: config, workers: make(map[medlarwheel.WorkerID]*workerUsage)}
}

// Accept returns the report, without attempts that are not committed on the worker, or the reason for refusing it.
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

// TakeMeasurement returns what was measured of an attempt and forgets it.
func (u *UsageFilter) TakeMeasurement(worker medlarwheel.WorkerID, attempt medlarwheel.TaskAttempt) (Measurement, bool) {
	known := u.workers[worker]
	if known == nil {
		return Measurement{}, false
	}
	m, ok := known.peaks[attempt]
	delete(known.peaks, attempt)
	return m, ok
}

// Forget drops a worker whose shard the owner has lost.
func (u *UsageFilter) Forget(worker medlarwheel.WorkerID) { delete(u.workers, worker) }

// checkPlausible refuses what cannot be true of any report of the worker.
func (u *UsageFilter) checkPlausible(report *medlarwheel.UsageReport, worker *medlarwheel.Worker) error {
	if faults := report.Check(); len(faults) > 0 || report.Worker != worker.ID {
		return errors.Wrap(ErrImplausible, faults.Error())
	}
	if report.Sequence > uint64(report.Uptime.Std()/u.config.MinUsageInterval)+1 {
		return errors.Wrap(ErrImplausible, "more reports than the agent had time for")
	}
	limit := scaled(worker.Size, u.config.UsageTolerance)
	if !report.Used.Fits(limit) {
		return errors.Wrap(ErrImplausible, "more in use than the worker has")
	}
	var sum medlarwheel.Resources
	for i := range report.Tasks {
		sum = sum.Plus(report.Tasks[i].Used)
		if !sum.Fits(limit) {
			return errors.Wrap(ErrImplausible, "tasks use more than the worker has")
		}
	}
	return nil
}

// checkOrder refuses a report that does not come after the last one of the same agent.
func (u *UsageFilter) checkOrder(report *medlarwheel.UsageReport, known *workerUsage, now time.Time) error {
	uptime := report.Uptime.Std()
	if report.Incarnation < known.incarnation || report.Sequence <= known.sequence || uptime < known.uptime {
		return ErrOutOfOrder
	}
	startedAt := now.Add(-uptime)
	if startedAt.Sub(known.startedAt) > u.config.MaxUsageLag {
		return ErrLate
	}
	if known.startedAt.Sub(startedAt) > u.config.MaxUsageLag {
		return errors.Wrap(ErrImplausible, "the agent's clock jumps")
	}
	return nil
}

// clockDrift is the slowest agent clock that is not mistaken for late reports: one part in 5000.
const clockDrift = 5000

func (k *workerUsage) accept(report *medlarwheel.UsageReport, now time.Time) {
	startedAt := now.Add(-report.Uptime.Std())
	if !k.startedAt.IsZero() {
		k.startedAt = k.startedAt.Add(now.Sub(k.acceptedAt) / clockDrift)
	}
	if k.startedAt.IsZero() || startedAt.Before(k.startedAt) {
		k.startedAt = startedAt
	}
	k.sequence, k.uptime, k.acceptedAt = report.Sequence, report.Uptime.Std(), now
}

// updatePeaks raises the peaks of the reported attempts and drops those of attempts that have left the worker.
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
