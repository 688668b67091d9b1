package medlaragentapi

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// Fixes the seed so that CI runs are reproducible. The flag -rapid.seed overrides it, and failures print it.
func init() { _ = flag.Set("rapid.seed", "7") }

// Guards against an estimate ahead of the agent's clock: a lease that starts at it would end on the agent later than its
// owner assumes. Responses are delayed, so they may arrive out of order, and the agent restarts at random.
func TestClockEstimateIsNeverAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := time.Unix(1000, 0)
		var estimator ClockEstimator
		startedAt, incarnation := time.Duration(0), medlarwheel.Incarnation(1)
		at := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "responses") {
			at += time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				startedAt, incarnation = at, incarnation+1
			}
			reading := ClockReading{Incarnation: incarnation, Uptime: medlarwheel.Duration(at - startedAt)}
			received := at + time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay"))*time.Millisecond
			estimator.Observe(origin.Add(received), reading)
			later := received + time.Duration(rapid.IntRange(0, 5000).Draw(t, "later"))*time.Millisecond
			got, ok := estimator.At(origin.Add(later))
			if ok && got.Incarnation == incarnation && got.Uptime > medlarwheel.Duration(later-startedAt) {
				t.Fatalf("estimate %s at %s is ahead of the agent's clock, which shows %s", got.Uptime, later, later-startedAt)
			}
			if ok && got.Incarnation == incarnation && got.Uptime < reading.Uptime {
				t.Fatalf("estimate %s is behind the clock reading %s just observed", got.Uptime, reading.Uptime)
			}
		}
	})
}
