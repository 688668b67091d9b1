package medlaragentapi

import (
	"fmt"
	"time"

	"medlarwheel"
)

// Bounds of the messages.
const (
	// MaxShardNameLength bounds the name of a shard in bytes.
	MaxShardNameLength = 200
	// MaxTaskIDLength bounds a task id in bytes.
	MaxTaskIDLength = 200
	// MaxObjectNameLength bounds the name of a checkpoint in bytes.
	MaxObjectNameLength = 512
	// MaxBatchTasks bounds the tasks of one message.
	MaxBatchTasks = 4096
	// FullSpeed is the share of an unthrottled task in millionths.
	FullSpeed = 1_000_000

	minLease = medlarwheel.Duration(100 * time.Millisecond)
	maxLease = medlarwheel.Duration(time.Hour)
	maxWork  = medlarwheel.Duration(30 * 24 * time.Hour)
)

// Check reports every fault of c.
func (c *Command) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	faults = checkLength(faults, "command.shard", c.Shard, MaxShardNameLength)
	if c.Token == 0 {
		faults = faults.Add("command.token", c.Token, "1 or more")
	}
	if c.IssuedAt != nil && c.IssuedAt.Uptime < 0 {
		faults = faults.Add("command.issued.now", c.IssuedAt.Uptime, "0 or more")
	}
	return faults
}

func checkLength(faults medlarwheel.Faults, path, text string, limit int) medlarwheel.Faults {
	if text != "" && len(text) <= limit {
		return faults
	}
	return faults.Add(path, fmt.Sprintf("%q", text), fmt.Sprintf("1 to %d bytes", limit))
}

// check reports every fault of t, with paths below path.
func (t TaskRef) check(path string) medlarwheel.Faults {
	faults := checkLength(nil, path+".id", string(t.ID), MaxTaskIDLength)
	if t.Attempt == 0 {
		faults = faults.Add(path+".attempt", t.Attempt, "1 or more")
	}
	return faults
}

// Check reports every fault of s.
func (s *StartRequest) Check() medlarwheel.Faults {
	faults := append(s.Command.Check(), s.Task.check("task")...)
	faults = append(faults, medlarwheel.CheckName("template", string(s.Template))...)
	faults = append(faults, s.Size.Check("size")...)
	faults = faults.CheckDurationRange("work", s.Work, 0, maxWork)
	if len(s.Checkpoint) > MaxObjectNameLength {
		faults = checkLength(faults, "checkpoint", s.Checkpoint, MaxObjectNameLength)
	}
	return faults.CheckDurationRange("lease", s.Lease, minLease, maxLease)
}

// Check reports every fault of r.
func (r *RenewRequest) Check() medlarwheel.Faults {
	faults := r.Command.Check()
	faults = faults.CheckRange("tasks", int64(len(r.Tasks)), 1, MaxBatchTasks)
	for i, task := range r.Tasks {
		faults = append(faults, task.check(fmt.Sprintf("tasks[%d]", i))...)
	}
	return faults.CheckDurationRange("lease", r.Lease, minLease, maxLease)
}

// Check reports every fault of t.
func (t *ThrottleRequest) Check() medlarwheel.Faults {
	faults := append(t.Command.Check(), t.Task.check("task")...)
	return faults.CheckRange("share-millionths", int64(t.Share), 1, FullSpeed)
}

// Check reports every fault of c.
func (c *CheckpointRequest) Check() medlarwheel.Faults {
	faults := append(c.Command.Check(), c.Task.check("task")...)
	return checkLength(faults, "object", c.Object, MaxObjectNameLength)
}

// Check reports every fault of s.
func (s *StopRequest) Check() medlarwheel.Faults {
	return append(s.Command.Check(), s.Task.check("task")...)
}

// Check reports every fault of t.
func (t *TaskStatus) Check() medlarwheel.Faults {
	faults := t.Task.check("task")
	switch t.State {
	case StateRunning, StateDone, StateFailed, StateStopped, StateCheckpointed, StateExpired, StateUnknown:
	default:
		faults = faults.Add("state", fmt.Sprintf("%q", string(t.State)), "a known state")
	}
	if t.Progress < 0 {
		faults = faults.Add("progress", t.Progress, "0 or more")
	}
	return faults.CheckRange("share-millionths", int64(t.Share), 0, FullSpeed)
}

// Check reports every fault of t.
func (t *TaskResponse) Check() medlarwheel.Faults { return t.Status.Check() }

// Check reports every fault of t.
func (t *TaskList) Check() medlarwheel.Faults { return checkAll(t.Tasks) }

// Check reports every fault of r.
func (r *RenewResponse) Check() medlarwheel.Faults { return checkAll(r.Tasks) }

func checkAll(tasks []TaskStatus) medlarwheel.Faults {
	var faults medlarwheel.Faults
	for i := range tasks {
		faults = append(faults, tasks[i].Check()...)
	}
	return faults
}

// Check reports every fault of u. A report with values that no worker can have is rejected as a whole.
func (u *UsageReport) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	if u.MeasuredAt < 0 || u.MeasuredAt > u.Clock.Uptime {
		faults = faults.Add("measured", u.MeasuredAt, "0 to the time of the answer")
	}
	for i, task := range u.Tasks {
		path := fmt.Sprintf("tasks[%d]", i)
		faults = append(faults, task.Task.check(path+".task")...)
		faults = append(faults, task.Used.Check(path+".used")...)
		faults = faults.CheckRange(path+".speed-millionths", int64(task.Speed), 0, FullSpeed)
	}
	return faults
}

// Check reports every fault of a.
func (a *Announcement) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("id", string(a.ID))
	faults = append(faults, medlarwheel.CheckName("rack", string(a.Rack))...)
	faults = append(faults, medlarwheel.CheckName("data-centre", string(a.DataCentre))...)
	faults = append(faults, medlarwheel.CheckAddress("address", a.Address)...)
	faults = append(faults, a.Size.Check("size")...)
	if a.State != medlarwheel.StateLive && a.State != medlarwheel.StateLeaving {
		faults = faults.Add("state", fmt.Sprintf("%q", string(a.State)), "live or leaving")
	}
	return faults
}
