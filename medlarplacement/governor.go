package medlarplacement

import (
	"time"

	"medlarwheel"
)

// InterferenceControllerConfig holds the settings of a Governor.
type InterferenceControllerConfig struct {
	// DegradedSlowdown is the slowdown from which a service task counts as suffering.
	DegradedSlowdown float64
	// HealthySlowdown is the slowdown below which every service task must be before a worker counts as quiet.
	HealthySlowdown float64
	// EscalateAfter is how long a task must suffer before the first step.
	EscalateAfter time.Duration
	// ReleaseAfter is how long a worker must be quiet before a throttle is released.
	ReleaseAfter time.Duration
	// MaxReleaseAfter bounds LeaveAfter, which doubles each time that suffering follows a release.
	MaxReleaseAfter time.Duration
	// MinActionInterval is the least time from a step on a worker to the measurement behind the next one.
	MinActionInterval time.Duration
	// EvictionGracePeriod is the time that an evicted task has to write its checkpoint and end before it is stopped.
	EvictionGracePeriod time.Duration
	// MaxThrottled is the number of tasks on a worker that are throttled before the first is evicted.
	MaxThrottled int
	// MaxThrottleTime is the time after which a task that cannot be released is evicted, because a throttled task makes little
	// progress and may run undisturbed elsewhere.
	MaxThrottleTime time.Duration
	// EvictionsPerMinute bounds the tasks evicted or stopped by this governor. Entry instances that share a fleet divide
	// the fleet's budget.
	EvictionsPerMinute int
	// WorkerEvictionsPerMinute bounds the tasks evicted or stopped on one worker.
	WorkerEvictionsPerMinute int
}

// DefaultInterferenceControllerConfig returns settings for usage reports every 10 s that arrive up to 30 s late.
func DefaultInterferenceControllerConfig() InterferenceControllerConfig {
	return InterferenceControllerConfig{
		DegradedSlowdown: 1.5, HealthySlowdown: 1.3, EscalateAfter: 10 * time.Second, ReleaseAfter: time.Minute,
		MaxReleaseAfter: 16 * time.Minute, MinActionInterval: 15 * time.Second, EvictionGracePeriod: 45 * time.Second, MaxThrottled: 1,
		MaxThrottleTime: 3 * time.Minute, EvictionsPerMinute: 200, WorkerEvictionsPerMinute: 1,
	}
}

// InterferenceReport is one measurement of a worker as the governor needs it.
type InterferenceReport struct {
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

// ActionKind is what to do with a task.
type ActionKind string

// The steps in order of cost, and the release of the first.
const (
	ActionThrottle ActionKind = "throttle"
	// ActionEvict asks for a checkpoint and ends the task; it continues elsewhere.
	ActionEvict ActionKind = "evict"
	// ActionStop ends the task at once. Progress since its last checkpoint is lost.
	ActionStop    ActionKind = "stop"
	ActionRelease ActionKind = "release"
)

// Action is a step on one task.
type Action struct {
	Worker medlarwheel.WorkerID
	Task   medlarwheel.TaskID
	Kind   ActionKind
}

// InterferenceController decides on steps against batch tasks that slow services down.
type InterferenceController struct {
	config          InterferenceControllerConfig
	estimator       Estimator
	evictionLimiter rateLimiter
	workers         map[medlarwheel.WorkerID]*controlState
}

// controlState is the governor's record of one worker.
type controlState struct {
	version measurementVersion
	// degradedSince and quietSince are times of measurements. At most one of them is set.
	degradedSince time.Time
	healthySince  time.Time
	actedAt       time.Time
	releasedAt    time.Time
	releaseAfter  time.Duration
	// throttled is in the order of the throttling.
	throttled []throttledTask
	// evicting holds the tasks that were told to checkpoint and end.
	evicting        []evictingTask
	evictionLimiter rateLimiter
}

type throttledTask struct {
	task  medlarwheel.TaskID
	since time.Time
}

type evictingTask struct {
	task  medlarwheel.TaskID
	since time.Time
}

// NewInterferenceController returns a governor. Without an estimator the task that uses most processor time is the first suspect.
func NewInterferenceController(config InterferenceControllerConfig, estimator Estimator) *InterferenceController {
	if estimator == nil {
		estimator = &noInterference{templateIDs: newTemplateIDs()}
	}
	return &InterferenceController{
		config: config, estimator: estimator, evictionLimiter: newRateLimiter(config.EvictionsPerMinute),
		workers: make(map[medlarwheel.WorkerID]*controlState),
	}
}

// Forget drops what is known of a worker that was removed.
func (g *InterferenceController) Forget(worker medlarwheel.WorkerID) { delete(g.workers, worker) }

// HandleReport takes in a measurement and returns at most one action on its worker. Measurements that are repeated, out of order
// or from before the last step has taken effect cause none.
func (g *InterferenceController) HandleReport(now time.Time, c InterferenceReport) (Action, bool) {
	w := g.workers[c.Worker]
	v := measurementVersion{incarnation: c.Incarnation, sequence: c.Sequence}
	if w != nil && !v.after(w.version) {
		return Action{}, false
	}
	victims := g.degraded(&c)
	if w == nil {
		w = &controlState{releaseAfter: g.config.ReleaseAfter, evictionLimiter: newRateLimiter(g.config.WorkerEvictionsPerMinute)}
		g.workers[c.Worker] = w
	}
	w.version = v
	w.reconcile(&c)
	g.trackHealth(w, &c, len(victims) > 0)
	if task, late := w.overdue(now, g.config.EvictionGracePeriod); late {
		return Action{Worker: c.Worker, Task: task, Kind: ActionStop}, true
	}
	if !w.actedAt.IsZero() && c.At.Sub(w.actedAt) < g.config.MinActionInterval {
		return Action{}, false
	}
	task, step := g.decide(now, w, &c, victims)
	if step == "" {
		return Action{}, false
	}
	w.actedAt = now
	return Action{Worker: c.Worker, Task: task, Kind: step}, true
}

// degraded returns the victims above the upper threshold.
func (g *InterferenceController) degraded(c *InterferenceReport) []Victim {
	var victims []Victim
	for _, v := range c.Victims {
		if v.Slowdown >= g.config.DegradedSlowdown {
			victims = append(victims, v)
		}
	}
	return victims
}

// trackHealth keeps the times since when the worker suffers or is quiet. Between the thresholds neither changes to the other.
func (g *InterferenceController) trackHealth(w *controlState, c *InterferenceReport, suffers bool) {
	quiet := true
	for _, v := range c.Victims {
		quiet = quiet && v.Slowdown < g.config.HealthySlowdown
	}
	switch {
	case suffers:
		w.healthySince = time.Time{}
		if w.degradedSince.IsZero() {
			w.degradedSince = c.At
			if !w.releasedAt.IsZero() && c.At.Sub(w.releasedAt) < 2*w.releaseAfter {
				w.releaseAfter = min(2*w.releaseAfter, g.config.MaxReleaseAfter)
			}
		}
	case quiet:
		w.degradedSince = time.Time{}
		if w.healthySince.IsZero() {
			w.healthySince = c.At
		}
	default:
		w.healthySince = time.Time{}
	}
}

// decide returns the next step, or none.
func (g *InterferenceController) decide(now time.Time, w *controlState, c *InterferenceReport, victims []Victim) (medlarwheel.TaskID, ActionKind) {
	switch {
	case len(w.evicting) > 0:
		// The effect of the last eviction is not visible yet.
		return "", ""
	case len(victims) > 0 && c.At.Sub(w.degradedSince) >= g.config.EscalateAfter:
		return g.escalate(now, w, c, victims)
	case len(w.throttled) == 0:
		return "", ""
	case !w.healthySince.IsZero() && c.At.Sub(w.healthySince) >= w.releaseAfter:
		last := len(w.throttled) - 1
		task := w.throttled[last].task
		w.throttled = w.throttled[:last]
		w.releasedAt, w.healthySince = now, c.At
		return task, ActionRelease
	case w.healthySince.IsZero() && now.Sub(w.throttled[0].since) >= g.config.MaxThrottleTime:
		return g.evict(now, w, c.suspect(w.throttled[0].task))
	}
	return "", ""
}

// escalate throttles the most likely aggressor. If enough tasks are throttled, it evicts the most likely one.
func (g *InterferenceController) escalate(now time.Time, w *controlState, c *InterferenceReport, victims []Victim) (medlarwheel.TaskID, ActionKind) {
	ranked := g.rankSuspects(c, victims)
	if len(ranked) == 0 {
		return "", ""
	}
	if len(w.throttled) >= g.config.MaxThrottled {
		return g.evict(now, w, &ranked[0])
	}
	for i := range ranked {
		if task := ranked[i].Task; !w.isThrottled(task) {
			w.throttled = append(w.throttled, throttledTask{task: task, since: now})
			return task, ActionThrottle
		}
	}
	return g.evict(now, w, &ranked[0])
}

// evict makes a task end if the budgets allow. A task that cannot write a checkpoint is stopped at once, because waiting
// for it would save nothing.
func (g *InterferenceController) evict(now time.Time, w *controlState, s *Suspect) (medlarwheel.TaskID, ActionKind) {
	if s == nil || !w.evictionLimiter.allows(now) || !g.evictionLimiter.allows(now) {
		return "", ""
	}
	w.evictionLimiter.record(now)
	g.evictionLimiter.record(now)
	w.evicting = append(w.evicting, evictingTask{task: s.Task, since: now})
	if s.CanCheckpoint {
		return s.Task, ActionEvict
	}
	return s.Task, ActionStop
}
