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

// Guards against an instance that resumes with outdated claims and loans after it was removed from the roster, so that a key
// is applied twice, or is applied although its client was told that it was not run. One instance is frozen with SIGSTOP
// under load until the roster excludes it, and is then resumed.
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
	await(t, 10*time.Second, "requests at the runners", func() bool { return len(appliedCounts(t, runners)) > 50 })
	frozen, observer := s.entries[1], s.entries[0]
	epoch := rosterEpoch(observer, dataCentreOne)
	frozen.signal(t, syscall.SIGSTOP)
	took := await(t, 25*time.Second, "a roster without the frozen instance", func() bool {
		return rosterEpoch(observer, dataCentreOne) > epoch
	})
	t.Logf("the frozen instance left the roster after %s", took.Round(time.Millisecond))
	epoch = rosterEpoch(observer, dataCentreOne)
	frozen.signal(t, syscall.SIGCONT)
	await(t, 25*time.Second, "a roster with the resumed instance", func() bool {
		return rosterEpoch(observer, dataCentreOne) > epoch && rosterEpoch(frozen, dataCentreOne) > epoch
	})
	appliedKeys := len(appliedCounts(t, runners))
	await(t, 10*time.Second, "requests after the resumption", func() bool { return len(appliedCounts(t, runners)) > appliedKeys+50 })
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

// members returns the members and rosters known to the instance, or an empty list if it does not respond.
func members(e *entry) medlaroperator.MemberList {
	list, err := medlaroperator.Get[medlaroperator.MemberList](e.operator(), medlaroperator.PathMembers)
	if err != nil {
		return medlaroperator.MemberList{}
	}
	return list
}

// Guards against a faulty response of a runner that reaches a client with the outcome done, and against a second execution
// of a key whose response was lost. Runners first send faulty responses of every kind, then responses close to the deadline
// of the client, when the connection may already carry another request.
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
			t.Errorf("%s: %d calls ended without an outcome, want none", name, n)
		}
		if countCalls(&report, medlarwheel.OutcomeDone, "") == countRequests(&report) {
			t.Errorf("%s: every call succeeded, so the faults were not exercised", name)
		}
	}
	for _, r := range runners {
		postJSON(t, r.controlAddress, "/faults", medlarrunner.Faults{})
	}
}
