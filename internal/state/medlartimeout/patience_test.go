package medlartimeout

import (
	"testing"
	"time"
)

// TestFastResponsesGiveMinTimeout guards against a second lost for each answer that the table loses.
func TestFastResponsesGiveMinTimeout(t *testing.T) {
	c := DefaultConfig()
	p := New(c)
	for range 50 {
		p.Observe(10*time.Millisecond, true)
	}
	if got := p.Timeout(); got != c.Min {
		t.Errorf("timeout %v with answers in 10 ms, want %v", got, c.Min)
	}
}

// TestTimeoutGrowsForSlowTable guards against a table that is slow, but works, and is never waited for long enough.
func TestTimeoutGrowsForSlowTable(t *testing.T) {
	const slow = 700 * time.Millisecond
	p := New(DefaultConfig())
	calls := 0
	for ; p.Timeout() < slow && calls < 10; calls++ {
		p.Observe(p.Timeout(), false)
	}
	if calls > 3 {
		t.Errorf("%d calls in vain", calls)
	}
	for range 20 {
		p.Observe(slow, true)
		if got := p.Timeout(); got < slow {
			t.Fatalf("timeout %v although the table answers in %v", got, slow)
		}
		if p.Timeout() > DefaultConfig().Max {
			t.Fatalf("timeout %v", p.Timeout())
		}
	}
}
