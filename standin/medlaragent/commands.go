package medlaragent

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
)

// refuse returns a refusal and counts it.
func (m *machine) refuse(reason medlaragentapi.RefusalReason, t *task) *medlaragentapi.RefusedError {
	m.refusals[reason]++
	refused := &medlaragentapi.RefusedError{Clock: m.clockReading(), Reason: reason}
	if t != nil {
		status := t.status()
		refused.Status = &status
	}
	return refused
}

func (t *task) status() medlaragentapi.TaskStatus {
	return medlaragentapi.TaskStatus{
		Task: t.ref, State: t.state, Progress: medlarwheel.Duration(t.progress), LeaseEnd: medlarwheel.Duration(t.leaseEnd),
		Share: t.share, Object: t.object,
	}
}

// isRunning reports whether t is the attempt ref and is running. It returns false for a nil t.
func (t *task) isRunning(ref medlaragentapi.TaskRef) bool {
	return t != nil && t.ref == ref && t.state == medlaragentapi.StateRunning
}

func (m *machine) respond(t *task) (medlaragentapi.TaskResponse, error) {
	return medlaragentapi.TaskResponse{Clock: m.clockReading(), Status: t.status()}, nil
}

// checkToken refuses a command with a stale fencing token or for another incarnation of the agent. Otherwise it records the
// token. If t is nil, only the token of the shard is checked and recorded.
func (m *machine) checkToken(c medlaragentapi.Command, t *task) error {
	if c.IssuedAt != nil && c.IssuedAt.Incarnation != m.incarnation {
		return m.refuse(medlaragentapi.RefusedStaleIncarnation, t)
	}
	highest := m.tokens[c.Shard]
	if t != nil {
		highest = max(highest, t.token)
	}
	if c.Token < highest {
		refused := m.refuse(medlaragentapi.RefusedStaleToken, t)
		refused.HighestToken = highest
		return refused
	}
	m.tokens[c.Shard] = c.Token
	if t != nil {
		t.token = c.Token
	}
	return nil
}

// leaseEnd returns the end of a lease, which begins when its command is issued.
func (m *machine) leaseEnd(c medlaragentapi.Command, term medlarwheel.Duration) time.Duration {
	if c.IssuedAt == nil {
		return m.now + term.Std()
	}
	return min(c.IssuedAt.Uptime.Std(), m.now) + term.Std()
}

// start starts an attempt from the progress of its checkpoint.
func (m *machine) start(r medlaragentapi.StartRequest, progress time.Duration) (medlaragentapi.TaskResponse, error) {
	t := m.tasks[r.Task.ID]
	if err := m.checkToken(r.Command, t); err != nil {
		return medlaragentapi.TaskResponse{}, err
	}
	leaseEnd := m.leaseEnd(r.Command, r.Lease)
	switch {
	case leaseEnd <= m.now:
		return medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedLeaseExpired, t)
	case t == nil:
	case t.isRunning(r.Task):
		t.leaseEnd = max(t.leaseEnd, leaseEnd)
		return m.respond(t)
	case r.Task.Attempt <= t.ref.Attempt:
		return medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedStaleAttempt, t)
	case t.state == medlaragentapi.StateRunning:
		return medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedAttemptRunning, t)
	}
	if m.leaving {
		return medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedLeaving, t)
	}
	if !m.committed().Plus(r.Size).Fits(m.config.Size) {
		return medlaragentapi.TaskResponse{}, m.refuse(medlaragentapi.RefusedNoCapacity, t)
	}
	t = m.newTask(r, leaseEnd, progress)
	m.tasks[r.Task.ID] = t
	m.recordEvent(m.now, EventStart, t)
	return m.respond(t)
}

func (m *machine) newTask(r medlaragentapi.StartRequest, leaseEnd, progress time.Duration) *task {
	cpuFactor, memoryFactor := m.actualFactor("cpu", r.Task.ID), m.actualFactor("memory", r.Task.ID)
	t := &task{
		ref: r.Task, shard: r.Command.Shard, token: r.Command.Token, template: r.Template, declared: r.Size,
		actualNeed: medlarwheel.Resources{
			CPU:          medlarwheel.MilliCPU(float64(r.Size.CPU) * cpuFactor),
			Memory:       medlarwheel.MegaBytes(float64(r.Size.Memory) * memoryFactor),
			Accelerators: r.Size.Accelerators,
		},
		runTime:  time.Duration(float64(r.Work) * m.actualFactor("work", r.Task.ID)),
		progress: progress, leaseEnd: leaseEnd, share: medlaragentapi.FullSpeed, state: medlaragentapi.StateRunning,
	}
	if m.faults.FailStarts {
		t.failAt = m.now + failAfter
	}
	return t
}

// committed returns the sum of the declared sizes of all running tasks.
func (m *machine) committed() medlarwheel.Resources {
	var sum medlarwheel.Resources
	for _, t := range m.tasks {
		if t.state == medlaragentapi.StateRunning {
			sum = sum.Plus(t.declared)
		}
	}
	return sum
}

// renew extends the leases of the given attempts that are running and whose fencing token allows the command.
func (m *machine) renew(r medlaragentapi.RenewRequest) (medlaragentapi.RenewResponse, error) {
	if err := m.checkToken(r.Command, nil); err != nil {
		return medlaragentapi.RenewResponse{}, err
	}
	leaseEnd := m.leaseEnd(r.Command, r.Lease)
	response := medlaragentapi.RenewResponse{Clock: m.clockReading(), Tasks: make([]medlaragentapi.TaskStatus, 0, len(r.Tasks))}
	for _, ref := range r.Tasks {
		t := m.tasks[ref.ID]
		if t == nil || t.ref != ref || m.checkToken(r.Command, t) != nil {
			response.Tasks = append(response.Tasks, medlaragentapi.TaskStatus{Task: ref, State: medlaragentapi.StateUnknown})
			continue
		}
		if t.state == medlaragentapi.StateRunning {
			t.leaseEnd = max(t.leaseEnd, leaseEnd)
		}
		response.Tasks = append(response.Tasks, t.status())
	}
	return response, nil
}

// throttle limits the speed of a running attempt.
func (m *machine) throttle(r medlaragentapi.ThrottleRequest) (medlaragentapi.TaskResponse, error) {
	t, err := m.runningTask(r.Command, r.Task)
	if err != nil {
		return medlaragentapi.TaskResponse{}, err
	}
	t.share = r.Share
	return m.respond(t)
}

// runningTask returns the given attempt if it is running and the command has a valid fencing token.
func (m *machine) runningTask(c medlaragentapi.Command, ref medlaragentapi.TaskRef) (*task, error) {
	t := m.tasks[ref.ID]
	if err := m.checkToken(c, t); err != nil {
		return nil, err
	}
	if !t.isRunning(ref) {
		return nil, m.refuse(medlaragentapi.RefusedNotRunning, t)
	}
	return t, nil
}

// stop ends the given attempt and all earlier ones. It records the stop of an unknown attempt, so that a delayed start of
// it is refused.
func (m *machine) stop(r medlaragentapi.StopRequest) (medlaragentapi.TaskResponse, error) {
	t := m.tasks[r.Task.ID]
	if err := m.checkToken(r.Command, t); err != nil {
		return medlaragentapi.TaskResponse{}, err
	}
	if t != nil && t.ref.Attempt > r.Task.Attempt {
		other := medlaragentapi.TaskStatus{Task: r.Task, State: medlaragentapi.StateUnknown}
		return medlaragentapi.TaskResponse{Clock: m.clockReading(), Status: other}, nil
	}
	if t != nil && t.state == medlaragentapi.StateRunning {
		m.finish(t, medlaragentapi.StateStopped)
	}
	if t == nil || t.ref != r.Task {
		t = &task{ref: r.Task, shard: r.Command.Shard, token: r.Command.Token, state: medlaragentapi.StateStopped}
		m.tasks[r.Task.ID] = t
		m.queueForRemoval(r.Task.ID)
	}
	return m.respond(t)
}

// stopAll ends all running attempts.
func (m *machine) stopAll() {
	for _, t := range m.tasks {
		if t.state == medlaragentapi.StateRunning {
			m.finish(t, medlaragentapi.StateStopped)
		}
	}
}
