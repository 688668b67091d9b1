package medlarplacement

import (
	"flag"
	"runtime"
	"testing"

	"medlarwheel/internal/testing/medlarseed"
)

// TestMain fixes the seed of the random tests unless the command line names one.
func TestMain(m *testing.M) {
	medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "20260801", "rapid.checks": "1000"})
}

// failureRecorder is a test that records failure, so that a check can be shown to find a planted fault.
type failureRecorder struct {
	testing.TB
	failed bool
}

func (r *failureRecorder) Errorf(string, ...any) { r.failed = true }
func (r *failureRecorder) Error(...any)          { r.failed = true }
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) Failed() bool          { return r.failed }
func (r *failureRecorder) Logf(string, ...any)   {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) FailNow()              { r.failed = true; runtime.Goexit() }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }
func (r *failureRecorder) Fatal(...any)          { r.FailNow() }

// mustDetect fails t unless the check fails.
func mustDetect(t *testing.T, fault string, check func(tb testing.TB)) {
	t.Run(fault, func(t *testing.T) {
		// The smallest example of a planted fault is of no interest.
		shrink := flag.Lookup("rapid.shrinktime").Value.String()
		_ = flag.Set("rapid.shrinktime", "0s")
		defer func() { _ = flag.Set("rapid.shrinktime", shrink) }()
		r := &failureRecorder{TB: t}
		done := make(chan struct{})
		go func() {
			defer close(done)
			check(r)
		}()
		<-done
		if !r.failed {
			t.Fatalf("the check did not find the planted fault: %s", fault)
		}
	})
}
