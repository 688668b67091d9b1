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

// TestAdmitRefusesLongRunningWithoutHeadroom guards against short urgent work that finds no room for minutes because tasks that last have taken it, and
// against refusals that rest on an old report or name no time to come back.
func TestAdmitRefusesLongRunningWithoutHeadroom(t *testing.T) {
	c := DefaultConfig()
	load := Load{At: now.Add(-time.Second), LongRunningHeadroom: 10, LongRunningReleaseRate: 2}
	if v := c.Admit(now, longRunning(10), load); !v.Accept {
		t.Errorf("refused although there is room: %+v", v)
	}
	v := c.Admit(now, longRunning(20), load)
	if v.Accept || v.RetryAfter != 5*time.Second || v.Age != time.Second {
		t.Errorf("10 cores are missing and 2 a second come free: %+v", v)
	}
	load.LongRunningReleaseRate = 0
	if v := c.Admit(now, longRunning(20), load); v.RetryAfter != c.MaxRetryAfter {
		t.Errorf("nothing comes free: %+v", v)
	}
	if v := c.Admit(now.Add(c.MaxAge), longRunning(20), load); !v.Accept {
		t.Errorf("an old report decides: %+v", v)
	}
	if v := c.Admit(now, longRunning(20), Load{}); !v.Accept {
		t.Errorf("no report decides: %+v", v)
	}
	short := longRunning(20)
	short.Steps[0].LongRunning = false
	if v := c.Admit(now, short, load); !v.Accept {
		t.Errorf("short work is refused: %+v", v)
	}
}
