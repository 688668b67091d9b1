package medlarplacement

import (
	"time"

	"medlarwheel"
)

// GovernorConfig holds the settings of a Governor.
type GovernorConfig struct {
	// EnterSlowdown is the slowdown from which a service task counts as suffering.
	EnterSlowdown float64
	// LeaveSlowdown is the slowdown below which every service task must be before a worker counts as quiet.
	LeaveSlowdown float64
	// EnterAfter is how long a task must suffer before the first step.
	EnterAfter time.Duration
	// LeaveAfter is how long a worker must be quiet before a throttle is released.
	LeaveAfter time.Duration
	// MaxLeaveAfter bounds LeaveAfter, which doubles each time that suffering follows a release.
	MaxLeaveAfter time.Duration
	// MinStep is the least time from a step on a worker to the measurement behind the next one.
	MinStep time.Duration
	// StopAfter is the time that an evicted task has to write its checkpoint and end before it is stopped.
	StopAfter time.Duration
	// MaxThrottled is the number of tasks on a worker that are throttled before the first is evicted.
	MaxThrottled int
	// ThrottleFor is the time after which a task that cannot be released is evicted, because a throttled task makes little
	// progress and may run undisturbed elsewhere.
	ThrottleFor time.Duration
	// EvictionsPerMinute bounds the tasks evicted or stopped by this governor. Entry instances that share a fleet divide
	// the fleet's budget.
	EvictionsPerMinute int
	// WorkerEvictionsPerMinute bounds the tasks evicted or stopped on one worker.
	WorkerEvictionsPerMinute int
}

// DefaultGovernorConfig returns settings for usage reports every 10 s that arrive up to 30 s late.
func DefaultGovernorConfig() GovernorConfig {
	return GovernorConfig{
		EnterSlowdown: 1.5, LeaveSlowdown: 1.3, EnterAfter: 10 * time.Second, LeaveAfter: time.Minute,
		MaxLeaveAfter: 16 * time.Minute, MinStep: 15 * time.Second, StopAfter: 45 * time.Second, MaxThrottled: 1,
		ThrottleFor: 3 * time.Minute, EvictionsPerMinute: 200, WorkerEvictionsPerMinute: 1,
	}
}

// Condition is one measurement of a worker as the governor needs it.
type Condition struct {
	Worker      medlarwheel.WorkerID
	Incarnation medlarwheel.Incarnation
	// Sequence grows with every measurement of one incarnation of the worker.
	Sequence uint64
	// At is the time of the measurement, not of its arrival.
	At time.Time
	// Load is the share of the worker's processors in use.
	Load float64
	// Victims are the service tasks.
	Victims []Victim
	// Suspects are the batch tasks.
	Suspects []Suspect
}

// Victim is a service task with its measured slowdown, as a factor.
type Victim struct {
	Task     medlarwheel.TaskID
	Template medlarwheel.TemplateName
	Class    medlarwheel.Class
	Slowdown float64
}

// Suspect is a batch task that may slow victims down.
type Suspect struct {
	Task          medlarwheel.TaskID
	Template      medlarwheel.TemplateName
	Class         medlarwheel.Class
	Used          medlarwheel.MilliCPU
	Throttled     bool
	CanCheckpoint bool
	// LostProgress is the run time that a stop would lose.
	LostProgress time.Duration
}

// Step is what to do with a task.
type Step string

// The steps in order of cost, and the release of the first.
const (
	StepThrottle Step = "throttle"
	// StepEvict asks for a checkpoint and ends the task; it continues elsewhere.
	StepEvict Step = "evict"
	// StepStop ends the task at once. Progress since its last checkpoint is lost.
	StepStop    Step = "stop"
	StepRelease Step = "release"
)

// Action is a step on one task.
type Action struct {
	Worker medlarwheel.WorkerID
	Task   medlarwheel.TaskID
	Step   Step
}

// Governor decides on steps against batch tasks that slow services down.
type Governor struct {
	config    GovernorConfig
	estimator Estimator
	fleet     budget
	workers   map[medlarwheel.WorkerID]*watch
}

// watch is the governor's record of one worker.
type watch struct {
	version version
	// sufferingSince and quietSince are times of measurements. At most one of them is set.
	sufferingSince time.Time
	quietSince     time.Time
	steppedAt      time.Time
	releasedAt     time.Time
	leaveAfter     time.Duration
	// throttled is in the order of the throttling.
	throttled []throttled
	// leaving holds the tasks that were told to checkpoint and end.
	leaving []leaving
	budget  budget
}

type throttled struct {
	task  medlarwheel.TaskID
	since time.Time
}

type leaving struct {
	task  medlarwheel.TaskID
	since time.Time
}

// NewGovernor returns a governor. Without an estimator the task that uses most processor time is the first suspect.
func NewGovernor(config GovernorConfig, estimator Estimator) *Governor {
	if estimator == nil {
		estimator = &noInterference{kinds: newKinds()}
	}
	return &Governor{
		config: config, estimator: estimator, fleet: newBudget(config.EvictionsPerMinute),
		workers: make(map[medlarwheel.WorkerID]*watch),
	}
}

// Forget drops what is known of a worker that was removed.
func (g *Governor) Forget(worker medlarwheel.WorkerID) { delete(g.workers, worker) }

// Step takes in a measurement and returns at most one action on its worker. Measurements that are repeated, out of order
// or from before the last step has taken effect cause none.
func (g *Governor) Step(now time.Time, c Condition) (Action, bool) {
	w := g.workers[c.Worker]
	v := version{incarnation: c.Incarnation, sequence: c.Sequence}
	if w != nil && !v.after(w.version) {
		return Action{}, false
	}
	victims := g.suffering(&c)
	if w == nil {
		w = &watch{leaveAfter: g.config.LeaveAfter, budget: newBudget(g.config.WorkerEvictionsPerMinute)}
		g.workers[c.Worker] = w
	}
	w.version = v
	w.reconcile(&c)
	g.track(w, &c, len(victims) > 0)
	if task, late := w.overdue(now, g.config.StopAfter); late {
		return Action{Worker: c.Worker, Task: task, Step: StepStop}, true
	}
	if !w.steppedAt.IsZero() && c.At.Sub(w.steppedAt) < g.config.MinStep {
		return Action{}, false
	}
	task, step := g.decide(now, w, &c, victims)
	if step == "" {
		return Action{}, false
	}
	w.steppedAt = now
	return Action{Worker: c.Worker, Task: task, Step: step}, true
}

// suffering returns the victims above the upper threshold.
func (g *Governor) suffering(c *Condition) []Victim {
	var victims []Victim
	for _, v := range c.Victims {
		if v.Slowdown >= g.config.EnterSlowdown {
			victims = append(victims, v)
		}
	}
	return victims
}

// track keeps the times since when the worker suffers or is quiet. Between the thresholds neither changes to the other.
func (g *Governor) track(w *watch, c *Condition, suffers bool) {
	quiet := true
	for _, v := range c.Victims {
		quiet = quiet && v.Slowdown < g.config.LeaveSlowdown
	}
	switch {
	case suffers:
		w.quietSince = time.Time{}
		if w.sufferingSince.IsZero() {
			w.sufferingSince = c.At
			if !w.releasedAt.IsZero() && c.At.Sub(w.releasedAt) < 2*w.leaveAfter {
				w.leaveAfter = min(2*w.leaveAfter, g.config.MaxLeaveAfter)
			}
		}
	case quiet:
		w.sufferingSince = time.Time{}
		if w.quietSince.IsZero() {
			w.quietSince = c.At
		}
	default:
		w.quietSince = time.Time{}
	}
}

// decide returns the next step, or none.
func (g *Governor) decide(now time.Time, w *watch, c *Condition, victims []Victim) (medlarwheel.TaskID, Step) {
	switch {
	case len(w.leaving) > 0:
		// The effect of the last eviction is not visible yet.
		return "", ""
	case len(victims) > 0 && c.At.Sub(w.sufferingSince) >= g.config.EnterAfter:
		return g.escalate(now, w, c, victims)
	case len(w.throttled) == 0:
		return "", ""
	case !w.quietSince.IsZero() && c.At.Sub(w.quietSince) >= w.leaveAfter:
		last := len(w.throttled) - 1
		task := w.throttled[last].task
		w.throttled = w.throttled[:last]
		w.releasedAt, w.quietSince = now, c.At
		return task, StepRelease
	case w.quietSince.IsZero() && now.Sub(w.throttled[0].since) >= g.config.ThrottleFor:
		return g.evict(now, w, c.suspect(w.throttled[0].task))
	}
	return "", ""
}

// escalate throttles the most likely aggressor. If enough tasks are throttled, it evicts the most likely one.
func (g *Governor) escalate(now time.Time, w *watch, c *Condition, victims []Victim) (medlarwheel.TaskID, Step) {
	ranked := g.rank(c, victims)
	if len(ranked) == 0 {
		return "", ""
	}
	if len(w.throttled) >= g.config.MaxThrottled {
		return g.evict(now, w, &ranked[0])
	}
	for i := range ranked {
		if task := ranked[i].Task; !w.isThrottled(task) {
			w.throttled = append(w.throttled, throttled{task: task, since: now})
			return task, StepThrottle
		}
	}
	return g.evict(now, w, &ranked[0])
}

// evict makes a task end if the budgets allow. A task that cannot write a checkpoint is stopped at once, because waiting
// for it would save nothing.
func (g *Governor) evict(now time.Time, w *watch, s *Suspect) (medlarwheel.TaskID, Step) {
	if s == nil || !w.budget.allows(now) || !g.fleet.allows(now) {
		return "", ""
	}
	w.budget.spend(now)
	g.fleet.spend(now)
	w.leaving = append(w.leaving, leaving{task: s.Task, since: now})
	if s.CanCheckpoint {
		return s.Task, StepEvict
	}
	return s.Task, StepStop
}
