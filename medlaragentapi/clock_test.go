package medlaragentapi

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// The seed is fixed for CI; the flag -rapid.seed overrides it. Failures print it.
func init() { _ = flag.Set("rapid.seed", "7") }

// Guards against an estimate that runs ahead of the agent's clock: a lease counted from it would end later than its
// owner takes it to end. Answers may be delayed and arrive out of order, and the agent may restart.
func TestClockEstimateIsNeverAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := time.Unix(1000, 0)
		var e ClockEstimator
		started, incarnation := time.Duration(0), medlarwheel.Incarnation(1)
		at := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			at += time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				started, incarnation = at, incarnation+1
			}
			stamp := ClockReading{Incarnation: incarnation, Uptime: medlarwheel.Duration(at - started)}
			received := at + time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay"))*time.Millisecond
			e.Observe(begin.Add(received), stamp)
			later := received + time.Duration(rapid.IntRange(0, 5000).Draw(t, "later"))*time.Millisecond
			got, ok := e.At(begin.Add(later))
			if ok && got.Incarnation == incarnation && got.Uptime > medlarwheel.Duration(later-started) {
				t.Fatalf("estimate %s at %s, the agent's clock shows %s", got.Uptime, later, later-started)
			}
			if ok && got.Incarnation == incarnation && got.Uptime < stamp.Uptime {
				t.Fatalf("estimate %s is behind the stamp %s just observed", got.Uptime, stamp.Uptime)
			}
		}
	})
}
