package medlarplacement

import (
	"time"

	"medlarwheel"
)

// InterferenceControllerConfig holds the settings of an InterferenceController.
type InterferenceControllerConfig struct {
	// DegradedSlowdown is the slowdown, as a factor, from which a service task counts as degraded.
	DegradedSlowdown float64
	// HealthySlowdown is the slowdown, as a factor, below which every service task on a worker must be for the worker to
	// count as healthy. It is below DegradedSlowdown to give the controller hysteresis.
	HealthySlowdown float64
	// EscalateAfter is how long a worker must have degraded tasks before the first action.
	EscalateAfter time.Duration
	// ReleaseAfter is how long a worker must be healthy before a throttle is released.
	ReleaseAfter time.Duration
	// MaxReleaseAfter bounds ReleaseAfter, which doubles for a worker each time that a task on it is degraded again soon
	// after a release.
	MaxReleaseAfter time.Duration
	// MinActionInterval is the least time from an action on a worker to the measurement that the next action is based on.
	MinActionInterval time.Duration
	// EvictionGracePeriod is the time that an evicted task has to write its checkpoint and end. After it, the task is
	// stopped.
	EvictionGracePeriod time.Duration
	// MaxThrottled is the number of throttled tasks on a worker from which tasks are evicted instead of throttled.
	MaxThrottled int
	// MaxThrottleTime is the time after which a throttled task that cannot be released is evicted, because it makes little
	// progress and may run without a throttle elsewhere.
	MaxThrottleTime time.Duration
	// EvictionsPerMinute bounds the tasks evicted or stopped by this controller. Instances that share the workers divide
	// the limit for all workers between them.
	EvictionsPerMinute int
	// WorkerEvictionsPerMinute bounds the tasks evicted or stopped on one worker.
	WorkerEvictionsPerMinute int
}

// DefaultInterferenceControllerConfig returns settings for usage reports every 10 s that arrive up to 30 s late.
func DefaultInterferenceControllerConfig() InterferenceControllerConfig {
	return InterferenceControllerConfig{
		DegradedSlowdown: 1.5, HealthySlowdown: 1.3, EscalateAfter: 10 * time.Second, ReleaseAfter: time.Minute,
		MaxReleaseAfter: 16 * time.Minute, MinActionInterval: 15 * time.Second, EvictionGracePeriod: 45 * time.Second,
		MaxThrottled: 1, MaxThrottleTime: 3 * time.Minute, EvictionsPerMinute: 200, WorkerEvictionsPerMinute: 1,
	}
}

// InterferenceReport is one measurement of the tasks on a worker, as input of an InterferenceController.
type InterferenceReport struct {
	Worker      medlarwheel.WorkerID
	Incarnation medlarwheel.Incarnation
	// Sequence grows with every measurement of one incarnation of the worker.
	Sequence uint64
	// At is the time of the measurement, not of its arrival.
	At time.Time
	// Load is the fraction of the worker's processors in use.
	Load float64
	// Victims are the service tasks, whether degraded or not.
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

// Suspect is a batch task that may cause the slowdown of victims.
type Suspect struct {
	Task          medlarwheel.TaskID
	Template      medlarwheel.TemplateName
	Class         medlarwheel.Class
	Used          medlarwheel.MilliCPU
	Throttled     bool
	CanCheckpoint bool
	// LostProgress is the run time that is lost if the task is stopped without a checkpoint.
	LostProgress time.Duration
}

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of actions, in order of cost. ActionRelease ends an ActionThrottle.
const (
	ActionThrottle ActionKind = "throttle"
	// ActionEvict requests that the task writes a checkpoint and ends; it continues on another worker.
	ActionEvict ActionKind = "evict"
	// ActionStop ends the task immediately. Its progress since the last checkpoint is lost.
	ActionStop    ActionKind = "stop"
	ActionRelease ActionKind = "release"
)

// Action is what to do with one task.
type Action struct {
	Worker medlarwheel.WorkerID
	Task   medlarwheel.TaskID
	Kind   ActionKind
}

// InterferenceController decides on actions against batch tasks that slow down services.
type InterferenceController struct {
	config          InterferenceControllerConfig
	estimator       Estimator
	evictionLimiter rateLimiter
	workers         map[medlarwheel.WorkerID]*controlState
}

// controlState is the controller's state of one worker.
type controlState struct {
	version measurementVersion
	// degradedSince and healthySince are times of measurements. At most one of them is set.
	degradedSince time.Time
	healthySince  time.Time
	actedAt       time.Time
	releasedAt    time.Time
	releaseAfter  time.Duration
	// throttled holds the throttled tasks in the order in which they were throttled.
	throttled []throttledTask
	// evicting holds the tasks that were requested to end and have not ended yet.
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

// NewInterferenceController returns a controller. With a nil estimator, suspects are ranked by their processor use.
func NewInterferenceController(config InterferenceControllerConfig, estimator Estimator) *InterferenceController {
	if estimator == nil {
		estimator = &noInterference{templateIDs: newTemplateIDs()}
	}
	return &InterferenceController{
		config: config, estimator: estimator, evictionLimiter: newRateLimiter(config.EvictionsPerMinute),
		workers: make(map[medlarwheel.WorkerID]*controlState),
	}
}

// Forget deletes the state of a worker that was removed.
func (c *InterferenceController) Forget(worker medlarwheel.WorkerID) { delete(c.workers, worker) }

// HandleReport applies a report and returns at most one action on its worker. It returns no action for a report that is
// repeated or out of order. A report from before the last action took effect causes no action either, except the stop
// of a task whose grace period is over.
func (c *InterferenceController) HandleReport(now time.Time, report InterferenceReport) (Action, bool) {
	state := c.workers[report.Worker]
	v := measurementVersion{incarnation: report.Incarnation, sequence: report.Sequence}
	if state != nil && !v.after(state.version) {
		return Action{}, false
	}
	victims := c.degraded(&report)
	if state == nil {
		state = &controlState{
			releaseAfter: c.config.ReleaseAfter, evictionLimiter: newRateLimiter(c.config.WorkerEvictionsPerMinute),
		}
		c.workers[report.Worker] = state
	}
	state.version = v
	state.reconcile(&report)
	c.trackHealth(state, &report, len(victims) > 0)
	if task, overdue := state.overdue(now, c.config.EvictionGracePeriod); overdue {
		return Action{Worker: report.Worker, Task: task, Kind: ActionStop}, true
	}
	if !state.actedAt.IsZero() && report.At.Sub(state.actedAt) < c.config.MinActionInterval {
		return Action{}, false
	}
	task, kind := c.decide(now, state, &report, victims)
	if kind == "" {
		return Action{}, false
	}
	state.actedAt = now
	return Action{Worker: report.Worker, Task: task, Kind: kind}, true
}

// degraded returns the victims whose slowdown is at least DegradedSlowdown.
func (c *InterferenceController) degraded(report *InterferenceReport) []Victim {
	var victims []Victim
	for _, v := range report.Victims {
		if v.Slowdown >= c.config.DegradedSlowdown {
			victims = append(victims, v)
		}
	}
	return victims
}

// trackHealth updates the times since when the worker is degraded or healthy. A worker between the two thresholds is
// not healthy, and remains degraded if it was.
func (c *InterferenceController) trackHealth(state *controlState, report *InterferenceReport, degraded bool) {
	healthy := true
	for _, v := range report.Victims {
		healthy = healthy && v.Slowdown < c.config.HealthySlowdown
	}
	switch {
	case degraded:
		state.healthySince = time.Time{}
		if state.degradedSince.IsZero() {
			state.degradedSince = report.At
			if !state.releasedAt.IsZero() && report.At.Sub(state.releasedAt) < 2*state.releaseAfter {
				state.releaseAfter = min(2*state.releaseAfter, c.config.MaxReleaseAfter)
			}
		}
	case healthy:
		state.degradedSince = time.Time{}
		if state.healthySince.IsZero() {
			state.healthySince = report.At
		}
	default:
		state.healthySince = time.Time{}
	}
}

// decide returns the next action, or none.
func (c *InterferenceController) decide(
	now time.Time, state *controlState, report *InterferenceReport, victims []Victim,
) (medlarwheel.TaskID, ActionKind) {
	switch {
	case len(state.evicting) > 0:
		// The effect of the last eviction is not visible yet.
		return "", ""
	case len(victims) > 0 && report.At.Sub(state.degradedSince) >= c.config.EscalateAfter:
		return c.escalate(now, state, report, victims)
	case len(state.throttled) == 0:
		return "", ""
	case !state.healthySince.IsZero() && report.At.Sub(state.healthySince) >= state.releaseAfter:
		last := len(state.throttled) - 1
		task := state.throttled[last].task
		state.throttled = state.throttled[:last]
		state.releasedAt, state.healthySince = now, report.At
		return task, ActionRelease
	case state.healthySince.IsZero() && now.Sub(state.throttled[0].since) >= c.config.MaxThrottleTime:
		return c.evict(now, state, report.suspect(state.throttled[0].task))
	}
	return "", ""
}

// escalate throttles the most likely aggressor that is not throttled yet. If MaxThrottled tasks are throttled or none
// is left to throttle, it evicts the most likely aggressor.
func (c *InterferenceController) escalate(
	now time.Time, state *controlState, report *InterferenceReport, victims []Victim,
) (medlarwheel.TaskID, ActionKind) {
	ranked := c.rankSuspects(report, victims)
	if len(ranked) == 0 {
		return "", ""
	}
	if len(state.throttled) >= c.config.MaxThrottled {
		return c.evict(now, state, &ranked[0])
	}
	for i := range ranked {
		if task := ranked[i].Task; !state.isThrottled(task) {
			state.throttled = append(state.throttled, throttledTask{task: task, since: now})
			return task, ActionThrottle
		}
	}
	return c.evict(now, state, &ranked[0])
}

// evict ends a task if the rate limits allow it. A task that cannot write a checkpoint is stopped immediately, because
// waiting for it would save no progress.
func (c *InterferenceController) evict(now time.Time, state *controlState, s *Suspect) (medlarwheel.TaskID, ActionKind) {
	if s == nil || !state.evictionLimiter.allows(now) || !c.evictionLimiter.allows(now) {
		return "", ""
	}
	state.evictionLimiter.record(now)
	c.evictionLimiter.record(now)
	state.evicting = append(state.evicting, evictingTask{task: s.Task, since: now})
	if s.CanCheckpoint {
		return s.Task, ActionEvict
	}
	return s.Task, ActionStop
}
