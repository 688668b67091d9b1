package medlarproof

import (
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/medlaroperator"
	"medlarwheel/standin/medlarload"
	"medlarwheel/standin/medlarrunner"
)

// Guards against an instance that was frozen, replaced in the roster, and resumed with old claims and loans: a key that
// is applied twice, or applied although its caller was told that it was not run.
func TestResumedInstanceDoesNotRepeatRequests(t *testing.T) {
	s := newSystem(t, "")
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 50 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	ctx, stop := cancellableContext(t)
	config := s.loadConfig(v, runners, 80, time.Minute)
	config.Retries = 3
	type loadResult struct {
		report medlarload.Report
		err    error
	}
	loaded := make(chan loadResult, 1)
	go func() {
		report, err := medlarload.Run(ctx, config, zerolog.Nop())
		loaded <- loadResult{report, err}
	}()
	await(t, 10*time.Second, "load at the runners", func() bool { return len(appliedCounts(t, runners)) > 50 })
	frozen, witness := s.entries[1], s.entries[0]
	epoch := rosterEpoch(witness, dataCentreOne)
	frozen.signal(t, syscall.SIGSTOP)
	took := await(t, 25*time.Second, "a roster without the frozen instance", func() bool {
		return rosterEpoch(witness, dataCentreOne) > epoch
	})
	t.Logf("the frozen instance left the roster after %s", took.Round(time.Millisecond))
	epoch = rosterEpoch(witness, dataCentreOne)
	frozen.signal(t, syscall.SIGCONT)
	await(t, 25*time.Second, "a roster with the resumed instance", func() bool {
		return rosterEpoch(witness, dataCentreOne) > epoch && rosterEpoch(frozen, dataCentreOne) > epoch
	})
	ledger := len(appliedCounts(t, runners))
	await(t, 10*time.Second, "load after the return", func() bool { return len(appliedCounts(t, runners)) > ledger+50 })
	stop()
	result := <-loaded
	if result.err != nil {
		t.Fatal(result.err)
	}
	checkLoad(t, &result.report)
}

func rosterEpoch(e *entry, dc medlarwheel.DataCentreID) medlarwheel.Epoch {
	return members(e).Rosters[dc]
}

// members returns the members and rosters that the instance knows. The list is empty when it can't be asked.
func members(e *entry) medlaroperator.MemberList {
	list, err := medlaroperator.Get[medlaroperator.MemberList](e.operator(), medlaroperator.PathMembers)
	if err != nil {
		return medlaroperator.MemberList{}
	}
	return list
}

// Guards against a broken answer of a runner that reaches a caller as done, and against a second run of a key whose
// answer was lost. The late answers arrive around the callers' deadline, when the connection may carry another request.
func TestFaultyRunnerResponsesAreNotReportedAsDone(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "bad-answers", runners: 2, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	everyMode := medlarrunner.Faults{}
	for _, mode := range []medlarrunner.FaultMode{
		medlarrunner.ModeClose, medlarrunner.ModeTruncated, medlarrunner.ModeMalformed, medlarrunner.ModeWrongResponse,
		medlarrunner.ModeNoResponse,
	} {
		everyMode.Responses = append(everyMode.Responses, medlarrunner.ResponseFault{Mode: mode, Probability: 0.08})
	}
	late := medlarrunner.Faults{ResponseDelay: medlarwheel.Duration(maxDeadline - 20*time.Millisecond)}
	for _, c := range []struct {
		name   string
		faults medlarrunner.Faults
	}{{"broken", everyMode}, {"late", late}} {
		name := c.name
		for _, r := range runners {
			postJSON(t, r.controlAddress, "/faults", c.faults)
		}
		report := runLoad(t, s.loadConfig(v, runners, 60, 4*time.Second))
		if n := countCalls(&report, medlarwheel.OutcomeUnknown, "generator-no-outcome") + countCalls(&report, medlarwheel.OutcomeUnknown, "generator-connection-lost"); n > 0 {
			t.Errorf("%s: %d calls got no outcome", name, n)
		}
		if countCalls(&report, medlarwheel.OutcomeDone, "") == countRequests(&report) {
			t.Errorf("%s: every call succeeded, so the faults did not act", name)
		}
	}
	for _, r := range runners {
		postJSON(t, r.controlAddress, "/faults", medlarrunner.Faults{})
	}
}
