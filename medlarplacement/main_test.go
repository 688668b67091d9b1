package medlarplacement

import (
	"flag"
	"runtime"
	"testing"

	"medlarwheel/internal/testing/medlarseed"
)

// TestMain fixes the seed of the random tests unless it is set on the command line.
func TestMain(m *testing.M) {
	medlarseed.Main(m, medlarseed.Flags{"rapid.seed": "20260801", "rapid.checks": "1000"})
}

// failureRecorder records the failure of a check instead of failing the test, to show that the check detects an
// injected fault.
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

// mustDetect fails t unless the check fails with an injected fault.
func mustDetect(t *testing.T, fault string, check func(tb testing.TB)) {
	t.Run(fault, func(t *testing.T) {
		// A minimal example of an injected fault is not needed, so shrinking would only take time.
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
			t.Fatalf("the check passed with the injected fault %q, want a failure", fault)
		}
	})
}
