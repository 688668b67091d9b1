package medlarscheduler_test

import (
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/standin/medlaragent"
)

// Guards against usage reports that have no effect: a batch task that slows a service down must be throttled, and if that
// does not help it must resume on another worker from its checkpoint.
func TestBatchTaskDegradingServiceIsThrottledThenMoved(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 0, large)
	c.configureAgent = func(c *medlaragent.Config) {
		c.Interference, c.UsageInterval, c.UsageLag = 0.99, 200*time.Millisecond, 200*time.Millisecond
	}
	c.addAgent("w0", large)
	config := fastConfig("entry-1")
	config.UsageInterval = 200 * time.Millisecond
	config.InterferenceController.EscalateAfter, config.InterferenceController.MinActionInterval = 400*time.Millisecond, 400*time.Millisecond
	half := medlarwheel.Resources{CPU: 2000, Memory: 2000}
	i := c.startWith(config, []medlarwheel.Template{batchTemplate("noise", half, 8*time.Second), serviceTemplate("hold", half)}, nil)
	hold := c.submit(i, medlarwheel.JobRequest{Name: "hold", Template: "hold"})
	noise := c.submit(i, medlarwheel.JobRequest{Name: "noise", Template: "noise", Tasks: 1})
	eventually(t, "both run", 20*time.Second, func() bool { return c.running(hold.ID)+c.running(noise.ID) == 2 })
	eventually(t, "batch task throttled", 20*time.Second, func() bool {
		for _, task := range c.agents[0].Tasks().Tasks {
			if task.Task.ID == noise.TaskID(0) {
				return task.Share < medlaragentapi.FullSpeed
			}
		}
		return false
	})
	c.addAgent("w1", large)
	eventually(t, "batch job done", 40*time.Second, func() bool { return c.job(noise.ID).State == medlarwheel.JobDone })
	c.checkHistory()
	history := c.job(noise.ID).Tasks[0].History
	last := history[len(history)-1]
	if len(history) < 2 || last.Worker != "w1" || last.ResumeFrom == 0 {
		t.Errorf("history %+v, want the last attempt on w1 from a checkpoint", history)
	}
}
