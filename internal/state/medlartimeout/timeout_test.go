package medlartimeout

import (
	"testing"
	"time"
)

// TestFastResponsesGiveMinTimeout guards against a timeout of a second or more for each lost response while the table is
// fast.
func TestFastResponsesGiveMinTimeout(t *testing.T) {
	c := DefaultConfig()
	e := New(c)
	for range 50 {
		e.Observe(10*time.Millisecond, true)
	}
	if got := e.Timeout(); got != c.Min {
		t.Errorf("timeout after responses in 10 ms: got %v, want %v", got, c.Min)
	}
}

// TestTimeoutGrowsForSlowTable guards against calls that all time out because the timeout does not grow while the table is
// slow.
func TestTimeoutGrowsForSlowTable(t *testing.T) {
	const slow = 700 * time.Millisecond
	e := New(DefaultConfig())
	calls := 0
	for ; e.Timeout() < slow && calls < 10; calls++ {
		e.Observe(e.Timeout(), false)
	}
	if calls > 3 {
		t.Errorf("%d calls timed out before the timeout exceeded the response time, want at most 3", calls)
	}
	for range 20 {
		e.Observe(slow, true)
		if got := e.Timeout(); got < slow {
			t.Fatalf("timeout after slow responses: got %v, want at least the response time %v", got, slow)
		}
		if e.Timeout() > DefaultConfig().Max {
			t.Fatalf("timeout: got %v, want at most %v", e.Timeout(), DefaultConfig().Max)
		}
	}
}
