package medlaragent

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// Checkpoint is the content of a checkpoint object.
type Checkpoint struct {
	Task     medlaragentapi.TaskRef `json:"task"`
	Progress medlarwheel.Duration   `json:"progress"`
}

// Check reports every fault of c.
func (c *Checkpoint) Check() medlarwheel.Faults {
	if c.Progress < 0 {
		return medlarwheel.Faults{}.Add("progress", c.Progress, "0 or more")
	}
	return nil
}

// beginCheckpoint pauses a running attempt and returns what to write. It returns nothing to write for an attempt that
// was checkpointed to the same object before.
func (m *machine) beginCheckpoint(r medlaragentapi.CheckpointRequest) (*Checkpoint, medlaragentapi.TaskResponse, error) {
	if t := m.tasks[r.Task.ID]; t != nil && t.ref == r.Task && t.state == medlaragentapi.StateCheckpointed {
		if err := m.checkToken(r.Command, t); err != nil || t.object != r.Object {
			return nil, medlaragentapi.TaskResponse{}, errOrNotRunning(err, m, t)
		}
		answer, err := m.respond(t)
		return nil, answer, err
	}
	t, err := m.runningTask(r.Command, r.Task)
	if err != nil {
		return nil, medlaragentapi.TaskResponse{}, err
	}
	if t.paused {
		return nil, medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedCheckpointFailed, t)
	}
	t.paused = true
	return &Checkpoint{Task: t.ref, Progress: medlarwheel.Duration(t.progress)}, medlaragentapi.TaskResponse{}, nil
}

func errOrNotRunning(err error, m *machine, t *task) error {
	if err != nil {
		return err
	}
	return m.refuse(medlaragentapi.RefusedNotRunning, t)
}

// endCheckpoint ends the paused attempt after its object was written, or lets it run on.
func (m *machine) endCheckpoint(r medlaragentapi.CheckpointRequest, written bool) (medlaragentapi.TaskResponse, error) {
	t := m.tasks[r.Task.ID]
	if !t.isRunning(r.Task) {
		return medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedNotRunning, t)
	}
	t.paused = false
	if !written {
		return medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedCheckpointFailed, t)
	}
	t.object = r.Object
	m.finish(t, medlaragentapi.StateCheckpointed)
	return m.respond(t)
}

// measureUsage takes a usage measurement when one is due.
func (m *machine) measureUsage() {
	if m.now < m.usage.next {
		return
	}
	m.usage.next = m.now + m.config.UsageInterval
	speeds := m.speeds()
	tasks := make([]medlaragentapi.TaskUsage, 0, len(speeds))
	for t, speed := range speeds {
		tasks = append(tasks, medlaragentapi.TaskUsage{
			Task: t.ref, Template: t.template, Speed: int(speed * medlaragentapi.FullSpeed), Used: medlarwheel.Resources{
				CPU: medlarwheel.MilliCPU(min(m.demand(t), float64(m.config.Size.CPU))), Memory: t.actualNeed.Memory,
				Accelerators: t.actualNeed.Accelerators,
			},
		})
	}
	m.usage.add(m.now, tasks)
}

// usageReport returns a usage report, which the faults may make false.
func (m *machine) usageReport() medlaragentapi.UsageReport {
	r := m.usage.report(m.now, m.faults.Usage)
	r.Clock = m.clockReading()
	return r
}

// sinceStart is a clock reading as the machine takes it.
func (m *machine) sinceStart(now time.Time) time.Duration { return now.Sub(m.started) }
