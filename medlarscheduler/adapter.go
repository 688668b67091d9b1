package medlarscheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
)

// command is an order to one worker with what the agent needs beyond it. Without an order it asks for a usage report.
type command struct {
	order medlarlease.Order
	// shard names the shard of the task, and work is the declared run time of a task that is started.
	shard   string
	runTime medlarwheel.Duration
	// unknownAttempt tells that the worker did not know the attempt that is stopped.
	unknownAttempt bool
	// speedShare is the share of full speed that a task gets. It goes with a Stop order that names the attempt and is not
	// sent.
	speedShare int
}

// callResult is what a worker answered to a command.
type callResult struct {
	worker medlarwheel.WorkerID
	// reading is the agent's clock, heard at heardAt. It is zero when the agent did not answer.
	reading    medlarlease.ClockReading
	receivedAt time.Time
	reports    []medlarwheel.TaskReport
	// leaving tells that the worker takes no new tasks.
	leaving bool
	usage   *medlaragentapi.UsageReport
	err     error
}

// agentAdapter translates orders into calls of an agent, and its answers into reports. A term counts from the reading of the
// agent's clock that the order's deadline was made from, so a command that is late grants less.
type agentAdapter struct {
	agent  Agent
	table  Table
	clock  medlarwheel.Clock
	term   time.Duration
	worker medlarwheel.WorkerID
}

// run carries out one command.
func (a *agentAdapter) run(ctx context.Context, c command) []callResult {
	switch order := c.order.(type) {
	case medlarlease.Start:
		return []callResult{a.start(ctx, c, order.Order())}
	case medlarlease.Checkpoint:
		return []callResult{a.checkpoint(ctx, c, order)}
	case medlarlease.Renew:
		return a.renew(ctx, order)
	case medlarlease.Stop:
		if c.speedShare > 0 {
			return []callResult{a.throttle(ctx, c, order)}
		}
		return []callResult{a.stop(ctx, c, order)}
	default:
		return []callResult{a.readUsage(ctx)}
	}
}

func (a *agentAdapter) start(ctx context.Context, c command, o medlarlease.StartOrder) callResult {
	r := medlaragentapi.StartRequest{
		Command: a.commandHeader(c.shard, o.Token, o.LeaseEnd), Task: taskRef(o.Attempt), Template: o.Template, Size: o.Size,
		Work: c.runTime, Lease: medlarwheel.Duration(a.term),
	}
	if o.ResumeFrom > 0 {
		r.Checkpoint = medlarlease.CheckpointObjectName(medlarwheel.TaskAttempt{Task: o.Attempt.Task, Attempt: o.ResumeFrom})
	}
	answer, err := a.agent.Start(ctx, r)
	if err == nil {
		return a.taskResult(ctx, answer, o.Token)
	}
	w, refused := a.refusal(err)
	if refused == nil {
		return w
	}
	switch refused.Reason {
	case medlaragentapi.RefusedAttempt:
		if refused.Status != nil && refused.Status.Task == r.Task {
			return a.addReport(ctx, w, *refused.Status, o.Token)
		}
	case medlaragentapi.RefusedIncarnation, medlaragentapi.RefusedRoom, medlaragentapi.RefusedRunning, medlaragentapi.RefusedLeaving:
		// The attempt will not start here. The answer to a stop proves it.
		stopped := a.stop(ctx, c, medlarlease.Stop{Worker: o.Worker, Attempt: o.Attempt, Token: o.Token})
		stopped.leaving = refused.Reason == medlaragentapi.RefusedLeaving
		return stopped
	}
	return w
}

func (a *agentAdapter) checkpoint(ctx context.Context, c command, o medlarlease.Checkpoint) callResult {
	r := medlaragentapi.CheckpointRequest{
		Command: medlaragentapi.Command{Shard: c.shard, Token: o.Token}, Task: taskRef(o.Attempt),
		Object: medlarlease.CheckpointObjectName(o.Attempt),
	}
	answer, err := a.agent.Checkpoint(ctx, r)
	if err == nil {
		return a.taskResult(ctx, answer, o.Token)
	}
	w, refused := a.refusal(err)
	if refused != nil && refused.Reason == medlaragentapi.RefusedNotRunning {
		return a.stop(ctx, c, medlarlease.Stop{Worker: o.Worker, Attempt: o.Attempt, Token: o.Token})
	}
	return w
}

func (a *agentAdapter) stop(ctx context.Context, c command, o medlarlease.Stop) callResult {
	answer, err := a.agent.Stop(ctx, medlaragentapi.StopRequest{
		Command: medlaragentapi.Command{Shard: c.shard, Token: o.Token}, Task: taskRef(o.Attempt),
	})
	if err != nil {
		w, _ := a.refusal(err)
		return w
	}
	w := a.taskResult(ctx, answer, o.Token)
	for i := range w.reports {
		if c.unknownAttempt && w.reports[i].Phase == medlarwheel.PhaseStopped {
			w.reports[i].Phase = medlarwheel.PhaseAbsent
		}
	}
	return w
}

func (a *agentAdapter) throttle(ctx context.Context, c command, o medlarlease.Stop) callResult {
	answer, err := a.agent.Throttle(ctx, medlaragentapi.ThrottleRequest{
		Command: medlaragentapi.Command{Shard: c.shard, Token: o.Token}, Task: taskRef(o.Attempt), Share: c.speedShare,
	})
	if err != nil {
		w, _ := a.refusal(err)
		return w
	}
	return a.taskResult(ctx, answer, o.Token)
}

// readUsage reads the usage report.
func (a *agentAdapter) readUsage(ctx context.Context) callResult {
	report, err := a.agent.Usage(ctx)
	if err != nil {
		w, _ := a.refusal(err)
		return w
	}
	w := a.newResult(report.Stamp)
	w.usage = &report
	return w
}

// renew extends leases with one call for each shard, because the agent fences by shard.
func (a *agentAdapter) renew(ctx context.Context, o medlarlease.Renew) []callResult {
	if o.LeaseEnd.IsZero() || len(o.Tasks) == 0 {
		return []callResult{a.readClock(ctx, o)}
	}
	var words []callResult
	for _, group := range groupByShard(o.Tasks) {
		r := medlaragentapi.RenewRequest{
			Command: a.commandHeader(group.shard, group.token, o.LeaseEnd), Tasks: group.tasks, Lease: medlarwheel.Duration(a.term),
		}
		answer, err := a.agent.Renew(ctx, r)
		if err != nil {
			w, refused := a.refusal(err)
			words = append(words, w)
			if refused != nil && refused.Reason == medlaragentapi.RefusedIncarnation {
				words = append(words, a.stopUnknown(ctx, group, group.tasks)...)
			}
			continue
		}
		w := a.newResult(answer.Stamp)
		var unknown []medlaragentapi.TaskRef
		for _, status := range answer.Tasks {
			if status.State == medlaragentapi.StateUnknown {
				unknown = append(unknown, status.Task)
			} else {
				w = a.addReport(ctx, w, status, group.token)
			}
		}
		words = append(words, w)
		words = append(words, a.stopUnknown(ctx, group, unknown)...)
	}
	return words
}

// readClock reads the agent's clock. What the list says about ended attempts is no proof, because it does not tell which owner
// the agent has heard last; the next renewal asks for that.
func (a *agentAdapter) readClock(ctx context.Context, o medlarlease.Renew) callResult {
	list, err := a.agent.Tasks(ctx)
	if err != nil {
		w, _ := a.refusal(err)
		return w
	}
	w := a.newResult(list.Stamp)
	for _, status := range list.Tasks {
		for _, renewed := range o.Tasks {
			if status.Task == taskRef(renewed.Attempt) && status.State == medlaragentapi.StateRunning {
				w = a.addReport(ctx, w, status, renewed.Token)
			}
		}
	}
	return w
}

// stopUnknown fences attempts that the agent does not know. Unknown alone is no proof that an attempt has ended: its
// start may still be on its way.
func (a *agentAdapter) stopUnknown(ctx context.Context, group shardRenewal, tasks []medlaragentapi.TaskRef) []callResult {
	words := make([]callResult, 0, len(tasks))
	for _, task := range tasks {
		c := command{shard: group.shard, unknownAttempt: true}
		attempt := medlarwheel.TaskAttempt{Task: task.ID, Attempt: medlarwheel.AttemptNumber(task.Attempt)}
		words = append(words, a.stop(ctx, c, medlarlease.Stop{Worker: a.worker, Attempt: attempt, Token: group.token}))
	}
	return words
}

// commandHeader addresses an agent as the owner of a shard.
func (a *agentAdapter) commandHeader(shard string, token medlarwheel.FencingToken, until medlarlease.ClockReading) medlaragentapi.Command {
	issued := medlaragentapi.Stamp{
		Incarnation: until.Incarnation, Now: max(0, until.Uptime-medlarwheel.Duration(a.term)),
	}
	return medlaragentapi.Command{Shard: shard, Token: token, Issued: &issued}
}

// refusal returns what an error tells, with the refusal if it is one.
func (a *agentAdapter) refusal(err error) (callResult, *medlaragentapi.RefusedError) {
	var refused *medlaragentapi.RefusedError
	if !errors.As(err, &refused) {
		return callResult{worker: a.worker, err: err}, nil
	}
	w := a.newResult(refused.Stamp)
	w.err = err
	return w, refused
}

func (a *agentAdapter) newResult(stamp medlaragentapi.Stamp) callResult {
	return callResult{
		worker: a.worker, receivedAt: a.clock.Now(),
		reading: medlarlease.ClockReading{Incarnation: stamp.Incarnation, Uptime: stamp.Now},
	}
}

func (a *agentAdapter) taskResult(ctx context.Context, answer medlaragentapi.TaskAnswer, token medlarwheel.FencingToken) callResult {
	return a.addReport(ctx, a.newResult(answer.Stamp), answer.Status, token)
}

// addReport appends the report of an attempt. token is the one of the command that the agent accepted.
func (a *agentAdapter) addReport(ctx context.Context, w callResult, status medlaragentapi.TaskStatus, token medlarwheel.FencingToken) callResult {
	phase, reason := phaseOf(status.State)
	if phase == "" {
		return w
	}
	report := medlarwheel.TaskReport{
		Worker: a.worker, Incarnation: w.reading.Incarnation, Uptime: w.reading.Uptime, Task: status.Task.ID,
		Attempt: medlarwheel.AttemptNumber(status.Task.Attempt), Token: token, Phase: phase, Reason: reason,
		CheckpointWritten: phase == medlarwheel.PhaseCheckpointed,
	}
	if phase == medlarwheel.PhaseStopped || phase == medlarwheel.PhaseAbsent {
		saved, err := hasCheckpoint(ctx, a.table, medlarwheel.TaskAttempt{Task: report.Task, Attempt: report.Attempt})
		if err != nil {
			// Without the object store a checkpoint could be overlooked. The worker says the same when it is asked again.
			w.err = err
			return w
		}
		report.CheckpointWritten = saved
	}
	w.reports = append(w.reports, report)
	return w
}

// hasCheckpoint reports whether an attempt has written its checkpoint object.
func hasCheckpoint(ctx context.Context, table Table, attempt medlarwheel.TaskAttempt) (bool, error) {
	_, err := table.Object(ctx, medlarlease.CheckpointObjectName(attempt))
	if errors.Is(err, medlarwheel.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

func phaseOf(state medlaragentapi.State) (medlarwheel.TaskPhase, string) {
	switch state {
	case medlaragentapi.StateRunning:
		return medlarwheel.PhaseRunning, ""
	case medlaragentapi.StateDone:
		return medlarwheel.PhaseDone, ""
	case medlaragentapi.StateFailed:
		return medlarwheel.PhaseFailed, "failed on the worker"
	case medlaragentapi.StateStopped:
		return medlarwheel.PhaseStopped, "stopped"
	case medlaragentapi.StateCheckpointed:
		return medlarwheel.PhaseCheckpointed, "checkpointed"
	case medlaragentapi.StateExpired:
		return medlarwheel.PhaseStopped, "lease ran out on the worker"
	default:
		return "", ""
	}
}

func taskRef(a medlarwheel.TaskAttempt) medlaragentapi.TaskRef {
	return medlaragentapi.TaskRef{ID: a.Task, Attempt: medlaragentapi.Attempt(a.Attempt)}
}

// shardRenewal is the part of a renewal that is for one shard.
type shardRenewal struct {
	shard string
	token medlarwheel.FencingToken
	tasks []medlaragentapi.TaskRef
}

// groupByShard groups attempts by the shard of their jobs, in the order of the attempts.
func groupByShard(attempts []medlarlease.RenewAttempt) []shardRenewal {
	var groups []shardRenewal
	for _, r := range attempts {
		shard := shardName(r.Attempt.Task)
		at := len(groups) - 1
		if at < 0 || groups[at].shard != shard || groups[at].token != r.Token {
			groups = append(groups, shardRenewal{shard: shard, token: r.Token})
			at++
		}
		groups[at].tasks = append(groups[at].tasks, taskRef(r.Attempt))
	}
	return groups
}

// shardName names the shard of a task to an agent, which has tasks of one data centre only. Task ids begin with it.
func shardName(task medlarwheel.TaskID) string {
	return "jobs." + string(task[:min(len(task), medlarlease.JobShardDigits)])
}
