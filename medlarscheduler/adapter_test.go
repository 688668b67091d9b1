package medlarscheduler

import (
	"context"
	"testing"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform/medlarfake"
)

// fakeAgent is an agent that knows no attempt and answers a stop as scripted.
type fakeAgent struct {
	Agent
	stop        func() (medlaragentapi.TaskAnswer, error)
	lastRenewal medlaragentapi.RenewRequest
}

func (s *fakeAgent) Renew(_ context.Context, r medlaragentapi.RenewRequest) (medlaragentapi.RenewAnswer, error) {
	s.lastRenewal = r
	answer := medlaragentapi.RenewAnswer{Stamp: medlaragentapi.Stamp{Incarnation: 7}}
	for _, task := range r.Tasks {
		answer.Tasks = append(answer.Tasks, medlaragentapi.TaskStatus{Task: task, State: medlaragentapi.StateUnknown})
	}
	return answer, nil
}

func (s *fakeAgent) Stop(context.Context, medlaragentapi.StopRequest) (medlaragentapi.TaskAnswer, error) {
	return s.stop()
}

// Guards against taking "unknown" for the end of an attempt, against losing a checkpoint that an attempt wrote before its
// agent forgot it, and against a term that counts from the arrival of a renewal.
func TestUnknownAttemptEndsOnlyByStop(t *testing.T) {
	task := medlarwheel.TaskAttempt{Task: "05-0123456789abcdef.0", Attempt: 3}
	answer := func(state medlaragentapi.State) func() (medlaragentapi.TaskAnswer, error) {
		return func() (medlaragentapi.TaskAnswer, error) {
			status := medlaragentapi.TaskStatus{Task: taskRef(task), State: state}
			return medlaragentapi.TaskAnswer{Stamp: medlaragentapi.Stamp{Incarnation: 7}, Status: status}, nil
		}
	}
	refuse := func() (medlaragentapi.TaskAnswer, error) {
		return medlaragentapi.TaskAnswer{}, &medlaragentapi.RefusedError{Reason: medlaragentapi.RefusedToken}
	}
	cases := []struct {
		name  string
		stop  func() (medlaragentapi.TaskAnswer, error)
		saved bool
		want  medlarwheel.TaskPhase
	}{
		{"stopped", answer(medlaragentapi.StateStopped), false, medlarwheel.PhaseAbsent},
		{"stopped with a checkpoint", answer(medlaragentapi.StateStopped), true, medlarwheel.PhaseAbsent},
		{"done", answer(medlaragentapi.StateDone), false, medlarwheel.PhaseDone},
		{"superseded by a later attempt", answer(medlaragentapi.StateUnknown), false, ""},
		{"superseded by a later owner", refuse, false, ""},
	}
	for _, c := range cases {
		platform := medlarfake.New(medlarwheel.SystemClock{})
		if c.saved {
			platform.Store.PutObject(medlarlease.CheckpointObjectName(task), []byte("{}"))
		}
		agent := &fakeAgent{stop: c.stop}
		term := medlarlease.DefaultConfig().TaskTerm
		a := &agentAdapter{agent: agent, table: platform, clock: medlarwheel.SystemClock{}, term: term, worker: "w0"}
		heard := medlarlease.ClockReading{Incarnation: 7, Uptime: medlarwheel.Duration(term)}
		until := medlarlease.ClockReading{Incarnation: 7, Uptime: heard.Uptime + medlarwheel.Duration(term)}
		words := a.run(t.Context(), command{order: medlarlease.Renew{
			Worker: "w0", LeaseEnd: until, Tasks: []medlarlease.RenewAttempt{{Attempt: task, Token: 9}},
		}})
		if issued := agent.lastRenewal.Command.Issued; issued == nil || issued.Now != heard.Uptime || agent.lastRenewal.Lease.Std() != term {
			t.Errorf("%s: renewal %+v, want a term from the clock reading %v", c.name, agent.lastRenewal, heard)
		}
		var reports []medlarwheel.TaskReport
		for _, w := range words {
			reports = append(reports, w.reports...)
		}
		switch {
		case c.want == "" && len(reports) > 0:
			t.Errorf("%s: reports %+v, want none", c.name, reports)
		case c.want != "" && (len(reports) != 1 || reports[0].Phase != c.want || reports[0].CheckpointWritten != c.saved || reports[0].Token != 9):
			t.Errorf("%s: reports %+v, want phase %s, saved %v", c.name, reports, c.want, c.saved)
		}
	}
}
