package medlarcell

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// heavySubmissions returns shapes of submissions that need much memory in different ways.
func heavySubmissions() map[string]medlarsubmission.Submission {
	shapes := largestSubmissions()
	small := testSubmission(testStep())
	small.Spec = strings.Repeat("x", 4000)
	shapes["one task with a spec of 4,000 bytes"] = small
	return shapes
}

// TestAcceptedSubmissionsFitInMemory guards against owners that end one after another for want of memory, because all that was
// accepted does not fit into one.
func TestAcceptedSubmissionsFitInMemory(t *testing.T) {
	admission := medlaradmission.DefaultConfig()
	for name, shape := range heavySubmissions() {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := New(DefaultConfig())
			c.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
			now, accepted := simEpoch, 0
			var decision medlaradmission.Decision
			for ; accepted < 50000; accepted++ {
				s := shape
				s.ID, s.Spec = medlarsubmission.ID(fmt.Sprintf("%016x", accepted)), strings.Clone(shape.Spec)
				s.Steps = append([]medlarsubmission.Step(nil), shape.Steps...)
				if decision = admission.Admit(now, &s, c.Load(now, "svc")); !decision.Accept {
					break
				}
				c.ReserveMemory(now, admission.MemoryToReserve(&s))
				c.Accept(now, s)
				c.TakeEvents()
				if accepted%20 == 0 {
					now = now.Add(c.config.Load.Interval)
					c.measureLoad(now)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			t.Logf("%d submissions take %d MB", accepted, held>>20)
			if decision.Accept || decision.RetryAfter <= 0 {
				t.Errorf("after %d submissions of %d MB the decision is %+v, want a refusal with a time to come back", accepted, held>>20, decision)
			}
			if most := c.config.MaxHeldMemory; held > most {
				t.Errorf("%d accepted submissions take %d MB, want at most %d", accepted, held>>20, most>>20)
			}
			runtime.KeepAlive(c)
		})
	}
}

// TestReservationCountsUntilItExpires guards against many instances that each admit a large submission on the same report.
func TestReservationCountsUntilItExpires(t *testing.T) {
	c := New(DefaultConfig())
	c.Begin(simEpoch, Ownership{Fence: 1 << 12, Term: 1})
	limit := c.config.MaxHeldMemory
	c.ReserveMemory(simEpoch, limit/2)
	c.ReserveMemory(simEpoch, limit)
	if held := c.Load(simEpoch, "svc").HeldMemory; held != limit/2 {
		t.Errorf("%d bytes are held after a reservation of %d and one that exceeds the limit", held, limit/2)
	}
	if held := c.Load(simEpoch.Add(reservationTime+time.Millisecond), "svc").HeldMemory; held != 0 {
		t.Errorf("%d bytes are held after the end of the reservation, want none", held)
	}
}
