package medlarplacement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// referenceWorker records the reports and actions of one worker, for the checks.
type referenceWorker struct {
	throttled, evicting map[medlarwheel.TaskID]time.Time
	reports             []InterferenceReport
	// accepted are the reports delivered in the order of their sequence.
	accepted []InterferenceReport
	actedAt  time.Time
}

// checkController sends generated reports, in waves of degraded services, late, repeated and reordered, to a controller
// with the settings used. It fails if the controller violates the rate limits, the order of actions, the time between
// actions or the hysteresis according to the settings limits.
func checkController(tb testing.TB, limits, used InterferenceControllerConfig) {
	rapid.Check(tb, func(rt *rapid.T) {
		subject := NewInterferenceController(used, nil)
		workers := make([]referenceWorker, rapid.IntRange(1, 12).Draw(rt, "workers"))
		for i := range workers {
			workers[i].throttled, workers[i].evicting = map[medlarwheel.TaskID]time.Time{}, map[medlarwheel.TaskID]time.Time{}
		}
		var evictions []Action
		var evictedAt []time.Time
		wave := rapid.IntRange(0, 9).Draw(rt, "wave")
		for tick := range rapid.IntRange(10, 60).Draw(rt, "ticks") {
			now := epoch.Add(time.Duration(tick) * 10 * time.Second)
			for i := range workers {
				w := &workers[i]
				report := drawReport(rt, i, tick, now, wave, w)
				w.reports = append(w.reports, report)
				if rapid.IntRange(0, 4).Draw(rt, "late") == 0 {
					report = w.reports[rapid.IntRange(0, len(w.reports)-1).Draw(rt, "which")]
				}
				stale := len(w.accepted) > 0 && report.Sequence <= w.accepted[len(w.accepted)-1].Sequence
				if !stale {
					w.accepted = append(w.accepted, report)
				}
				a, ok := subject.HandleReport(now, report)
				if !ok {
					continue
				}
				if stale {
					rt.Fatalf("got action %+v on the repeated or reordered report %+v", a, report)
				}
				w.check(rt, now, limits, &report, a)
				if _, known := w.evicting[a.Task]; !known && (a.Kind == ActionEvict || a.Kind == ActionStop) {
					evictions, evictedAt = append(evictions, a), append(evictedAt, now)
					w.evicting[a.Task] = now
				}
			}
			if rapid.IntRange(0, 9).Draw(rt, "change") == 0 {
				wave = rapid.IntRange(0, 9).Draw(rt, "wave")
			}
		}
		checkEvictionRates(rt, limits, evictions, evictedAt)
	})
}

// drawReport draws a report of a worker. A wave of 0 degrades no service, and higher ones up to 9 degrade more. Tasks
// that were requested to end sometimes continue to run.
func drawReport(rt *rapid.T, i, tick int, now time.Time, wave int, w *referenceWorker) InterferenceReport {
	report := InterferenceReport{Worker: medlarwheel.WorkerID(fmt.Sprint("w", i)), Sequence: uint64(tick + 1), At: now, Load: 0.7}
	for j := range 2 {
		slowdown := rapid.SampledFrom([]float64{1, 1.1, 1.4}).Draw(rt, "slowdown")
		if rapid.IntRange(0, 9).Draw(rt, "degraded") < wave {
			slowdown = 3
		}
		report.Victims = append(report.Victims, Victim{Task: medlarwheel.TaskID(fmt.Sprint("s", j)), Class: medlarwheel.ClassStandard, Slowdown: slowdown})
	}
	for j := range 6 {
		id := medlarwheel.TaskID(fmt.Sprint("b", i, "-", j))
		if since, evicting := w.evicting[id]; evicting && (now.Sub(since) > 90*time.Second || rapid.Bool().Draw(rt, "left")) {
			continue
		}
		class := medlarwheel.ClassBackground
		if j == 0 {
			class = medlarwheel.ClassUrgent
		}
		_, throttled := w.throttled[id]
		report.Suspects = append(report.Suspects, Suspect{Task: id, Class: class, Used: medlarwheel.MilliCPU(100 * j), CanCheckpoint: j != 1, Throttled: throttled})
	}
	return report
}

// check fails if one action violates the rules.
func (w *referenceWorker) check(rt *rapid.T, now time.Time, limits InterferenceControllerConfig, report *InterferenceReport, a Action) {
	fail := func(rule string) { rt.Fatalf("%s: %+v at %v on %+v", rule, a, now.Sub(epoch), report) }
	notHealthy := func(worst float64) bool { return worst >= limits.HealthySlowdown }
	healthy := func(worst float64) bool { return worst < limits.HealthySlowdown }
	requestedAt, requested := w.evicting[a.Task]
	_, wasThrottled := w.throttled[a.Task]
	if a.Kind != ActionStop || !requested {
		if !w.actedAt.IsZero() && report.At.Sub(w.actedAt) < limits.MinActionInterval {
			fail("actions too close together")
		}
		w.actedAt = now
	}
	switch a.Kind {
	case ActionThrottle:
		if !w.heldFor(limits.EscalateAfter, notHealthy) || max(report.Victims[0].Slowdown, report.Victims[1].Slowdown) < limits.DegradedSlowdown {
			fail("throttle of a worker that was not degraded for long enough")
		}
		w.throttled[a.Task] = now
	case ActionRelease:
		if !wasThrottled || !w.heldFor(limits.ReleaseAfter, healthy) {
			fail("release on a worker that was not healthy for long enough")
		}
		delete(w.throttled, a.Task)
	case ActionEvict, ActionStop:
		if len(w.throttled) == 0 && !requested {
			fail("eviction before any throttle")
		}
		if a.Kind == ActionStop && report.suspect(a.Task).CanCheckpoint && (!requested || now.Sub(requestedAt) < limits.EvictionGracePeriod) {
			fail("stop before the grace period for a checkpoint is over")
		}
	}
	if s := report.suspect(a.Task); s != nil && s.Class == medlarwheel.ClassUrgent {
		fail("action against a task of a more urgent class than every victim")
	}
}

// heldFor reports whether the condition holds for all accepted reports of the period that ends with the last one.
func (w *referenceWorker) heldFor(period time.Duration, holds func(worst float64) bool) bool {
	last := w.accepted[len(w.accepted)-1].At
	for _, report := range slices.Backward(w.accepted) {
		if !holds(max(report.Victims[0].Slowdown, report.Victims[1].Slowdown)) {
			return false
		}
		if last.Sub(report.At) >= period {
			return true
		}
	}
	return false
}

func checkEvictionRates(rt *rapid.T, limits InterferenceControllerConfig, evictions []Action, at []time.Time) {
	for i := range evictions {
		total, worker := 0, 0
		for j := i; j < len(evictions) && at[j].Sub(at[i]) < time.Minute; j++ {
			total++
			if evictions[j].Worker == evictions[i].Worker {
				worker++
			}
		}
		if total > limits.EvictionsPerMinute || worker > limits.WorkerEvictionsPerMinute {
			rt.Fatalf("%d evictions on all workers and %d on worker %s in a minute, want at most %d and %d",
				total, worker, evictions[i].Worker, limits.EvictionsPerMinute, limits.WorkerEvictionsPerMinute)
		}
	}
}

// Guards against evictions beyond the rate limits when many services are degraded at once, actions out of the order of
// cost, actions on a single report or on stale ones, and releases after a single healthy report.
func TestControllerKeepsLimitsDuringInterferenceWaves(t *testing.T) {
	limits := DefaultInterferenceControllerConfig()
	limits.EvictionsPerMinute = 3
	checkController(t, limits, limits)
	for fault, change := range map[string]func(*InterferenceControllerConfig){
		"rate limit for all workers is doubled": func(c *InterferenceControllerConfig) { c.EvictionsPerMinute *= 2 },
		"rate limit for each worker is doubled": func(c *InterferenceControllerConfig) { c.WorkerEvictionsPerMinute *= 2 },
		"no delay before escalation":            func(c *InterferenceControllerConfig) { c.EscalateAfter = 0 },
		"no delay before release":               func(c *InterferenceControllerConfig) { c.ReleaseAfter = 0 },
		"no time between actions":               func(c *InterferenceControllerConfig) { c.MinActionInterval = 0 },
		"no grace period":                       func(c *InterferenceControllerConfig) { c.EvictionGracePeriod = 0 },
		"eviction without a throttle first":     func(c *InterferenceControllerConfig) { c.MaxThrottled = 0 },
	} {
		used := limits
		change(&used)
		mustDetect(t, fault, func(tb testing.TB) { checkController(tb, limits, used) })
	}
}

// Guards against a task that stays throttled forever because the instance that throttled it was replaced: the new
// owner has to take over the throttle from the usage report.
func TestControllerReleasesThrottleOfPreviousOwner(t *testing.T) {
	controller := NewInterferenceController(DefaultInterferenceControllerConfig(), nil)
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * 10 * time.Second)
		a, ok := controller.HandleReport(now, InterferenceReport{Worker: "w", Sequence: uint64(i + 1), At: now,
			Victims: []Victim{{Task: "s", Slowdown: 1}}, Suspects: []Suspect{{Task: "b", Throttled: true}}})
		if ok && a.Kind == ActionRelease && a.Task == "b" {
			return
		}
	}
	t.Fatal("got no release of task b in 100 s of healthy reports, want one")
}
