package medlarscheduler

import (
	"context"
	"testing"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform/medlarfake"
)

// fakeAgent is an agent that reports every attempt as unknown in a renewal and responds to a stop with a given function.
type fakeAgent struct {
	Agent
	stop        func() (medlaragentapi.TaskResponse, error)
	lastRenewal medlaragentapi.RenewRequest
}

func (a *fakeAgent) Renew(_ context.Context, r medlaragentapi.RenewRequest) (medlaragentapi.RenewResponse, error) {
	a.lastRenewal = r
	response := medlaragentapi.RenewResponse{Clock: medlaragentapi.ClockReading{Incarnation: 7}}
	for _, task := range r.Tasks {
		response.Tasks = append(response.Tasks, medlaragentapi.TaskStatus{Task: task, State: medlaragentapi.StateUnknown})
	}
	return response, nil
}

func (a *fakeAgent) Stop(context.Context, medlaragentapi.StopRequest) (medlaragentapi.TaskResponse, error) {
	return a.stop()
}

// Guards against three failures in the renewal of an attempt that the agent does not know: the attempt counts as ended
// without the response to a stop, the checkpoint that it has written is overlooked, or its lease term counts from the
// arrival of the renewal instead of the clock reading in it.
func TestUnknownAttemptEndsOnlyByStop(t *testing.T) {
	task := medlarwheel.TaskAttempt{Task: "05-0123456789abcdef.0", Attempt: 3}
	respond := func(state medlaragentapi.State) func() (medlaragentapi.TaskResponse, error) {
		return func() (medlaragentapi.TaskResponse, error) {
			status := medlaragentapi.TaskStatus{Task: taskRef(task), State: state}
			return medlaragentapi.TaskResponse{Clock: medlaragentapi.ClockReading{Incarnation: 7}, Status: status}, nil
		}
	}
	refuse := func() (medlaragentapi.TaskResponse, error) {
		return medlaragentapi.TaskResponse{}, &medlaragentapi.RefusedError{Reason: medlaragentapi.RefusedStaleToken}
	}
	cases := []struct {
		name       string
		stop       func() (medlaragentapi.TaskResponse, error)
		checkpoint bool
		want       medlarwheel.TaskPhase
	}{
		{"stopped", respond(medlaragentapi.StateStopped), false, medlarwheel.PhaseAbsent},
		{"stopped with a checkpoint", respond(medlaragentapi.StateStopped), true, medlarwheel.PhaseAbsent},
		{"done", respond(medlaragentapi.StateDone), false, medlarwheel.PhaseDone},
		{"superseded by a later attempt", respond(medlaragentapi.StateUnknown), false, ""},
		{"superseded by a later owner", refuse, false, ""},
	}
	for _, c := range cases {
		platform := medlarfake.New(medlarwheel.SystemClock{})
		if c.checkpoint {
			platform.Store.PutObject(medlarlease.CheckpointObjectName(task), []byte("{}"))
		}
		agent := &fakeAgent{stop: c.stop}
		term := medlarlease.DefaultConfig().TaskTerm
		a := &agentAdapter{agent: agent, table: platform, clock: medlarwheel.SystemClock{}, term: term, worker: "w0"}
		reading := medlarlease.ClockReading{Incarnation: 7, Uptime: medlarwheel.Duration(term)}
		leaseEnd := medlarlease.ClockReading{Incarnation: 7, Uptime: reading.Uptime + medlarwheel.Duration(term)}
		results := a.run(t.Context(), command{order: medlarlease.Renew{
			Worker: "w0", LeaseEnd: leaseEnd, Tasks: []medlarlease.RenewAttempt{{Attempt: task, Token: 9}},
		}})
		if issued := agent.lastRenewal.Command.IssuedAt; issued == nil || issued.Uptime != reading.Uptime || agent.lastRenewal.Lease.Std() != term {
			t.Errorf("%s: renewal %+v, want a term from the clock reading %v", c.name, agent.lastRenewal, reading)
		}
		var reports []medlarwheel.TaskReport
		for _, result := range results {
			reports = append(reports, result.reports...)
		}
		switch {
		case c.want == "" && len(reports) > 0:
			t.Errorf("%s: reports %+v, want none", c.name, reports)
		case c.want != "" && (len(reports) != 1 || reports[0].Phase != c.want || reports[0].CheckpointWritten != c.checkpoint || reports[0].Token != 9):
			t.Errorf("%s: reports %+v, want phase %s, checkpoint %v", c.name, reports, c.want, c.checkpoint)
		}
	}
}
