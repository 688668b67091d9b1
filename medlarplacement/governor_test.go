package medlarplacement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// referenceWorker is the naive record of one worker for the checks.
type referenceWorker struct {
	throttled, evicting map[medlarwheel.TaskID]time.Time
	reports             []InterferenceReport
	// accepted are the reports delivered in the order of their sequence.
	accepted []InterferenceReport
	actedAt  time.Time
}

// checkController sends generated waves of suffering with late, repeated and reordered reports. It fails when a budget, the
// order of steps, the time between steps or the hysteresis is broken.
func checkController(tb testing.TB, limits, used InterferenceControllerConfig) {
	rapid.Check(tb, func(rt *rapid.T) {
		subject := NewInterferenceController(used, nil)
		workers := make([]referenceWorker, rapid.IntRange(1, 12).Draw(rt, "workers"))
		for i := range workers {
			workers[i].throttled, workers[i].evicting = map[medlarwheel.TaskID]time.Time{}, map[medlarwheel.TaskID]time.Time{}
		}
		var moves []Action
		var movedAt []time.Time
		wave := rapid.IntRange(0, 9).Draw(rt, "wave")
		for tick := range rapid.IntRange(10, 60).Draw(rt, "ticks") {
			now := epoch.Add(time.Duration(tick) * 10 * time.Second)
			for i := range workers {
				w := &workers[i]
				c := drawReport(rt, i, tick, now, wave, w)
				w.reports = append(w.reports, c)
				if rapid.IntRange(0, 4).Draw(rt, "late") == 0 {
					c = w.reports[rapid.IntRange(0, len(w.reports)-1).Draw(rt, "which")]
				}
				stale := len(w.accepted) > 0 && c.Sequence <= w.accepted[len(w.accepted)-1].Sequence
				if !stale {
					w.accepted = append(w.accepted, c)
				}
				a, ok := subject.HandleReport(now, c)
				if !ok {
					continue
				}
				if stale {
					rt.Fatalf("%+v on a repeated or reordered report", a)
				}
				w.check(rt, now, limits, &c, a)
				if _, known := w.evicting[a.Task]; !known && (a.Kind == ActionEvict || a.Kind == ActionStop) {
					moves, movedAt = append(moves, a), append(movedAt, now)
					w.evicting[a.Task] = now
				}
			}
			if rapid.IntRange(0, 9).Draw(rt, "change") == 0 {
				wave = rapid.IntRange(0, 9).Draw(rt, "wave")
			}
		}
		checkEvictionRates(rt, limits, moves, movedAt)
	})
}

// drawReport reports a worker; a wave of 9 makes all services suffer and one of 0 none. Tasks that were told to leave
// sometimes stay.
func drawReport(rt *rapid.T, i, tick int, now time.Time, wave int, w *referenceWorker) InterferenceReport {
	c := InterferenceReport{Worker: medlarwheel.WorkerID(fmt.Sprint("w", i)), Sequence: uint64(tick + 1), At: now, Load: 0.7}
	for j := range 2 {
		slowdown := rapid.SampledFrom([]float64{1, 1.1, 1.4}).Draw(rt, "calm")
		if rapid.IntRange(0, 9).Draw(rt, "suffers") < wave {
			slowdown = 3
		}
		c.Victims = append(c.Victims, Victim{Task: medlarwheel.TaskID(fmt.Sprint("s", j)), Class: medlarwheel.ClassStandard, Slowdown: slowdown})
	}
	for j := range 6 {
		id := medlarwheel.TaskID(fmt.Sprint("b", i, "-", j))
		if since, leaving := w.evicting[id]; leaving && (now.Sub(since) > 90*time.Second || rapid.Bool().Draw(rt, "left")) {
			continue
		}
		class := medlarwheel.ClassBackground
		if j == 0 {
			class = medlarwheel.ClassUrgent
		}
		_, throttled := w.throttled[id]
		c.Suspects = append(c.Suspects, Suspect{Task: id, Class: class, Used: medlarwheel.MilliCPU(100 * j), CanCheckpoint: j != 1, Throttled: throttled})
	}
	return c
}

// check compares one action with the rules.
func (w *referenceWorker) check(rt *rapid.T, now time.Time, limits InterferenceControllerConfig, c *InterferenceReport, a Action) {
	fail := func(rule string) { rt.Fatalf("%s: %+v at %v on %+v", rule, a, now.Sub(epoch), c) }
	notQuiet := func(worst float64) bool { return worst >= limits.HealthySlowdown }
	quiet := func(worst float64) bool { return worst < limits.HealthySlowdown }
	toldAt, told := w.evicting[a.Task]
	_, wasThrottled := w.throttled[a.Task]
	if a.Kind != ActionStop || !told {
		if !w.actedAt.IsZero() && c.At.Sub(w.actedAt) < limits.MinActionInterval {
			fail("steps too close together")
		}
		w.actedAt = now
	}
	switch a.Kind {
	case ActionThrottle:
		if !w.heldFor(limits.EscalateAfter, notQuiet) || max(c.Victims[0].Slowdown, c.Victims[1].Slowdown) < limits.DegradedSlowdown {
			fail("throttle without lasting suffering")
		}
		w.throttled[a.Task] = now
	case ActionRelease:
		if !wasThrottled || !w.heldFor(limits.ReleaseAfter, quiet) {
			fail("release without lasting quiet")
		}
		delete(w.throttled, a.Task)
	case ActionEvict, ActionStop:
		if len(w.throttled) == 0 && !told {
			fail("eviction before any throttle")
		}
		if a.Kind == ActionStop && c.suspect(a.Task).CanCheckpoint && (!told || now.Sub(toldAt) < limits.EvictionGracePeriod) {
			fail("stop without the time to checkpoint")
		}
	}
	if s := c.suspect(a.Task); s != nil && s.Class == medlarwheel.ClassUrgent {
		fail("step against a more urgent task than every victim")
	}
}

// heldFor reports whether all accepted reports of a period that ends with the last one satisfy the condition.
func (w *referenceWorker) heldFor(period time.Duration, holds func(worst float64) bool) bool {
	last := w.accepted[len(w.accepted)-1].At
	for _, c := range slices.Backward(w.accepted) {
		if !holds(max(c.Victims[0].Slowdown, c.Victims[1].Slowdown)) {
			return false
		}
		if last.Sub(c.At) >= period {
			return true
		}
	}
	return false
}

func checkEvictionRates(rt *rapid.T, limits InterferenceControllerConfig, moves []Action, at []time.Time) {
	for i := range moves {
		fleet, worker := 0, 0
		for j := i; j < len(moves) && at[j].Sub(at[i]) < time.Minute; j++ {
			fleet++
			if moves[j].Worker == moves[i].Worker {
				worker++
			}
		}
		if fleet > limits.EvictionsPerMinute || worker > limits.WorkerEvictionsPerMinute {
			rt.Fatalf("%d evictions of the fleet and %d of %s in a minute", fleet, worker, moves[i].Worker)
		}
	}
}

// Guards against evictions beyond the budgets in a wave of noisy tasks, steps out of the order of cost, steps on one
// report or on stale ones, and releases that follow a single quiet report.
func TestControllerKeepsLimitsDuringInterferenceWaves(t *testing.T) {
	limits := DefaultInterferenceControllerConfig()
	limits.EvictionsPerMinute = 3
	checkController(t, limits, limits)
	for fault, change := range map[string]func(*InterferenceControllerConfig){
		"fleet budget is doubled":  func(c *InterferenceControllerConfig) { c.EvictionsPerMinute *= 2 },
		"worker budget is doubled": func(c *InterferenceControllerConfig) { c.WorkerEvictionsPerMinute *= 2 },
		"no hysteresis on entry":   func(c *InterferenceControllerConfig) { c.EscalateAfter = 0 },
		"no hysteresis on release": func(c *InterferenceControllerConfig) { c.ReleaseAfter = 0 },
		"no time between steps":    func(c *InterferenceControllerConfig) { c.MinActionInterval = 0 },
		"no time to checkpoint":    func(c *InterferenceControllerConfig) { c.EvictionGracePeriod = 0 },
		"no throttle first":        func(c *InterferenceControllerConfig) { c.MaxThrottled = 0 },
	} {
		used := limits
		change(&used)
		mustDetect(t, fault, func(tb testing.TB) { checkController(tb, limits, used) })
	}
}

// Guards against a task that stays throttled for ever because the instance that throttled it was replaced.
func TestControllerReleasesThrottleOfPreviousOwner(t *testing.T) {
	g := NewInterferenceController(DefaultInterferenceControllerConfig(), nil)
	for i := range 10 {
		now := epoch.Add(time.Duration(i) * 10 * time.Second)
		a, ok := g.HandleReport(now, InterferenceReport{Worker: "w", Sequence: uint64(i + 1), At: now,
			Victims: []Victim{{Task: "s", Slowdown: 1}}, Suspects: []Suspect{{Task: "b", Throttled: true}}})
		if ok && a.Kind == ActionRelease && a.Task == "b" {
			return
		}
	}
	t.Fatal("no release in 100 s of quiet")
}
