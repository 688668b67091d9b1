package medlarscheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
)

// command is an order to one worker, with the parameters that the agent needs in addition. A command without an order reads
// the worker's usage report.
type command struct {
	order medlarlease.Order
	// shard names the shard of the task, and runTime is the declared run time of a task that is started.
	shard   string
	runTime medlarwheel.Duration
	// unknownAttempt is set when the worker has reported that it does not know the attempt to stop.
	unknownAttempt bool
	// speedShare is the speed that a task is limited to, in millionths of full speed. If it is set, the order is a Stop
	// that only names the attempt: the agent gets a throttle request and no stop.
	speedShare int
}

// callResult is the outcome of one call to the agent of a worker.
type callResult struct {
	worker medlarwheel.WorkerID
	// reading is the agent's clock, received at receivedAt. It is zero if the agent did not respond.
	reading    medlarlease.ClockReading
	receivedAt time.Time
	reports    []medlarwheel.TaskReport
	// leaving is set if the worker accepts no new tasks.
	leaving bool
	usage   *medlaragentapi.UsageReport
	err     error
}

// agentAdapter translates orders into calls to an agent, and its responses into reports. The term of a task lease counts
// from the reading of the agent's clock from which the lease end in the order was computed, so a delayed command extends the
// lease by less.
type agentAdapter struct {
	agent  Agent
	table  Table
	clock  medlarwheel.Clock
	term   time.Duration
	worker medlarwheel.WorkerID
}

// run executes one command.
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
	response, err := a.agent.Start(ctx, r)
	if err == nil {
		return a.taskResult(ctx, response, o.Token)
	}
	result, refusal := a.refusal(err)
	if refusal == nil {
		return result
	}
	switch refusal.Reason {
	case medlaragentapi.RefusedStaleAttempt:
		if refusal.Status != nil && refusal.Status.Task == r.Task {
			return a.addReport(ctx, result, *refusal.Status, o.Token)
		}
	case medlaragentapi.RefusedStaleIncarnation, medlaragentapi.RefusedNoCapacity, medlaragentapi.RefusedAttemptRunning, medlaragentapi.RefusedLeaving:
		// The attempt will not start on this worker. The response to a stop proves it.
		stopped := a.stop(ctx, c, medlarlease.Stop{Worker: o.Worker, Attempt: o.Attempt, Token: o.Token})
		stopped.leaving = refusal.Reason == medlaragentapi.RefusedLeaving
		return stopped
	}
	return result
}

func (a *agentAdapter) checkpoint(ctx context.Context, c command, o medlarlease.Checkpoint) callResult {
	r := medlaragentapi.CheckpointRequest{
		Command: medlaragentapi.Command{Shard: c.shard, Token: o.Token}, Task: taskRef(o.Attempt),
		Object: medlarlease.CheckpointObjectName(o.Attempt),
	}
	response, err := a.agent.Checkpoint(ctx, r)
	if err == nil {
		return a.taskResult(ctx, response, o.Token)
	}
	result, refusal := a.refusal(err)
	if refusal != nil && refusal.Reason == medlaragentapi.RefusedNotRunning {
		return a.stop(ctx, c, medlarlease.Stop{Worker: o.Worker, Attempt: o.Attempt, Token: o.Token})
	}
	return result
}

func (a *agentAdapter) stop(ctx context.Context, c command, o medlarlease.Stop) callResult {
	response, err := a.agent.Stop(ctx, medlaragentapi.StopRequest{
		Command: medlaragentapi.Command{Shard: c.shard, Token: o.Token}, Task: taskRef(o.Attempt),
	})
	if err != nil {
		result, _ := a.refusal(err)
		return result
	}
	result := a.taskResult(ctx, response, o.Token)
	for i := range result.reports {
		if c.unknownAttempt && result.reports[i].Phase == medlarwheel.PhaseStopped {
			result.reports[i].Phase = medlarwheel.PhaseAbsent
		}
	}
	return result
}

func (a *agentAdapter) throttle(ctx context.Context, c command, o medlarlease.Stop) callResult {
	response, err := a.agent.Throttle(ctx, medlaragentapi.ThrottleRequest{
		Command: medlaragentapi.Command{Shard: c.shard, Token: o.Token}, Task: taskRef(o.Attempt), Share: c.speedShare,
	})
	if err != nil {
		result, _ := a.refusal(err)
		return result
	}
	return a.taskResult(ctx, response, o.Token)
}

func (a *agentAdapter) readUsage(ctx context.Context) callResult {
	report, err := a.agent.Usage(ctx)
	if err != nil {
		result, _ := a.refusal(err)
		return result
	}
	result := a.newResult(report.Clock)
	result.usage = &report
	return result
}

// renew extends task leases with one call for each shard, because the agent checks fencing tokens by shard.
func (a *agentAdapter) renew(ctx context.Context, o medlarlease.Renew) []callResult {
	if o.LeaseEnd.IsZero() || len(o.Tasks) == 0 {
		return []callResult{a.readClock(ctx, o)}
	}
	var results []callResult
	for _, group := range groupByShard(o.Tasks) {
		r := medlaragentapi.RenewRequest{
			Command: a.commandHeader(group.shard, group.token, o.LeaseEnd), Tasks: group.tasks, Lease: medlarwheel.Duration(a.term),
		}
		response, err := a.agent.Renew(ctx, r)
		if err != nil {
			result, refusal := a.refusal(err)
			results = append(results, result)
			if refusal != nil && refusal.Reason == medlaragentapi.RefusedStaleIncarnation {
				results = append(results, a.stopUnknown(ctx, group, group.tasks)...)
			}
			continue
		}
		result := a.newResult(response.Clock)
		var unknown []medlaragentapi.TaskRef
		for _, status := range response.Tasks {
			if status.State == medlaragentapi.StateUnknown {
				unknown = append(unknown, status.Task)
			} else {
				result = a.addReport(ctx, result, status, group.token)
			}
		}
		results = append(results, result)
		results = append(results, a.stopUnknown(ctx, group, unknown)...)
	}
	return results
}

// readClock reads the agent's clock from its task list. The list is no proof that an attempt has ended, because it does not
// say which owner's token the agent has seen last. The next renewal provides that proof.
func (a *agentAdapter) readClock(ctx context.Context, o medlarlease.Renew) callResult {
	list, err := a.agent.Tasks(ctx)
	if err != nil {
		result, _ := a.refusal(err)
		return result
	}
	result := a.newResult(list.Clock)
	for _, status := range list.Tasks {
		for _, renewed := range o.Tasks {
			if status.Task == taskRef(renewed.Attempt) && status.State == medlaragentapi.StateRunning {
				result = a.addReport(ctx, result, status, renewed.Token)
			}
		}
	}
	return result
}

// stopUnknown stops attempts that the agent does not know, so that it refuses to start them later. That the agent does not
// know an attempt is no proof that the attempt has ended: its start request may still be in transit.
func (a *agentAdapter) stopUnknown(ctx context.Context, group shardRenewal, tasks []medlaragentapi.TaskRef) []callResult {
	results := make([]callResult, 0, len(tasks))
	for _, task := range tasks {
		c := command{shard: group.shard, unknownAttempt: true}
		attempt := medlarwheel.TaskAttempt{Task: task.ID, Attempt: medlarwheel.AttemptNumber(task.Attempt)}
		results = append(results, a.stop(ctx, c, medlarlease.Stop{Worker: a.worker, Attempt: attempt, Token: group.token}))
	}
	return results
}

// commandHeader returns the common part of the commands that the owner of a shard sends. The time of issue is the agent's
// clock one lease term before the lease ends.
func (a *agentAdapter) commandHeader(shard string, token medlarwheel.FencingToken, leaseEnd medlarlease.ClockReading) medlaragentapi.Command {
	issued := medlaragentapi.ClockReading{
		Incarnation: leaseEnd.Incarnation, Uptime: max(0, leaseEnd.Uptime-medlarwheel.Duration(a.term)),
	}
	return medlaragentapi.Command{Shard: shard, Token: token, IssuedAt: &issued}
}

// refusal returns the result of a failed call, and the refusal if the agent refused the command.
func (a *agentAdapter) refusal(err error) (callResult, *medlaragentapi.RefusedError) {
	var refusal *medlaragentapi.RefusedError
	if !errors.As(err, &refusal) {
		return callResult{worker: a.worker, err: err}, nil
	}
	result := a.newResult(refusal.Clock)
	result.err = err
	return result, refusal
}

func (a *agentAdapter) newResult(clock medlaragentapi.ClockReading) callResult {
	return callResult{
		worker: a.worker, receivedAt: a.clock.Now(),
		reading: medlarlease.ClockReading{Incarnation: clock.Incarnation, Uptime: clock.Uptime},
	}
}

func (a *agentAdapter) taskResult(ctx context.Context, response medlaragentapi.TaskResponse, token medlarwheel.FencingToken) callResult {
	return a.addReport(ctx, a.newResult(response.Clock), response.Status, token)
}

// addReport appends the report of an attempt. token is the fencing token of the command that the agent accepted.
func (a *agentAdapter) addReport(ctx context.Context, result callResult, status medlaragentapi.TaskStatus, token medlarwheel.FencingToken) callResult {
	phase, reason := phaseOf(status.State)
	if phase == "" {
		return result
	}
	report := medlarwheel.TaskReport{
		Worker: a.worker, Incarnation: result.reading.Incarnation, Uptime: result.reading.Uptime, Task: status.Task.ID,
		Attempt: medlarwheel.AttemptNumber(status.Task.Attempt), Token: token, Phase: phase, Reason: reason,
		CheckpointWritten: phase == medlarwheel.PhaseCheckpointed,
	}
	if phase == medlarwheel.PhaseStopped || phase == medlarwheel.PhaseAbsent {
		checkpointExists, err := hasCheckpoint(ctx, a.table, medlarwheel.TaskAttempt{Task: report.Task, Attempt: report.Attempt})
		if err != nil {
			// The checkpoint may exist although the object store did not respond, so the report is dropped. The worker
			// reports the same state on the next call.
			result.err = err
			return result
		}
		report.CheckpointWritten = checkpointExists
	}
	result.reports = append(result.reports, report)
	return result
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

// shardRenewal holds the attempts of one shard in a renewal.
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

// shardName returns the name of a task's shard in commands to agents. An agent has tasks of one data centre only, so the
// digits of the shard at the start of the task id suffice.
func shardName(task medlarwheel.TaskID) string {
	return "jobs." + string(task[:min(len(task), medlarlease.JobShardDigits)])
}
