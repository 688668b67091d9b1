package medlaradmission

import (
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

var now = time.Unix(1_700_000_000, 0)

func longRunning(cores int64) *medlarsubmission.Submission {
	return &medlarsubmission.Submission{Steps: []medlarsubmission.Step{
		{Count: 2, Size: medlarsubmission.Size{MilliCPU: cores * 500}, LongRunning: true},
	}}
}

// TestAdmitRefusesLongRunningWithoutHeadroom guards against short urgent tasks that find no capacity for minutes because
// long-running tasks have taken it, and against refusals that are based on an old report or state no retry time.
func TestAdmitRefusesLongRunningWithoutHeadroom(t *testing.T) {
	c := DefaultConfig()
	load := Load{At: now.Add(-time.Second), LongRunningHeadroom: 10, LongRunningReleaseRate: 2}
	if d := c.Admit(now, longRunning(10), load); !d.Accept {
		t.Errorf("10 cores with a headroom of 10: got %+v, want acceptance", d)
	}
	d := c.Admit(now, longRunning(20), load)
	if d.Accept || d.RetryAfter != 5*time.Second || d.Age != time.Second {
		t.Errorf("20 cores with a headroom of 10 and 2 released per second: got %+v, want a refusal for 5 s", d)
	}
	load.LongRunningReleaseRate = 0
	if d := c.Admit(now, longRunning(20), load); d.RetryAfter != c.MaxRetryAfter {
		t.Errorf("no capacity is released: got %+v, want the longest retry time", d)
	}
	if d := c.Admit(now.Add(c.MaxAge), longRunning(20), load); !d.Accept {
		t.Errorf("old report: got %+v, want acceptance", d)
	}
	if d := c.Admit(now, longRunning(20), Load{}); !d.Accept {
		t.Errorf("no report: got %+v, want acceptance", d)
	}
	short := longRunning(20)
	short.Steps[0].LongRunning = false
	if d := c.Admit(now, short, load); !d.Accept {
		t.Errorf("short tasks: got %+v, want acceptance", d)
	}
}
