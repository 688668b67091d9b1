package medlarproof

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"medlarwheel"
	"medlarwheel/medlarplatform"
	"medlarwheel/standin/medlarload"
	"medlarwheel/standin/medlarplatformserver"
	"medlarwheel/standin/medlarrunner"
)

// leavingLimit limits the time for which an upstream may receive new requests after it first announced that it is leaving.
const leavingLimit = 3 * time.Second

// Guards against requests to an upstream that announced in a response that it is leaving. The platform is unavailable, so
// the other instances can only learn of it from the instance that received the response.
func TestUpstreamAnnouncingItsLeaveGetsNoRequests(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "leaving", runners: 4, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	s.setPlatformFaults(t, medlarplatformserver.Faults{Outage: medlarplatformserver.OutageRefuse})
	defer s.setPlatformFaults(t, medlarplatformserver.Faults{})
	leaving := runners[0]
	ctx, stop := cancellableContext(t)
	config := s.loadConfig(v, runners, 60, time.Minute)
	config.Targets = config.Targets[:1]
	ended := make(chan error, 1)
	go func() { _, err := medlarload.Run(ctx, config, zerolog.Nop()); ended <- err }()
	await(t, 5*time.Second, "requests at the leaving upstream", func() bool { return leaving.counters(t).Requests > 5 })
	postJSON(t, leaving.controlAddress, "/faults", medlarrunner.Faults{Leaving: true})
	announced := time.Now()
	await(t, 5*time.Second, "response that announces the leave", func() bool { return leaving.counters(t).AfterLeaving > 0 })
	s.awaitNotRouted(t, leaving, leavingLimit)
	await(t, 10*time.Second, "end of the leaving limit", func() bool { return time.Since(announced) > leavingLimit })
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	before := leaving.counters(t)
	t.Logf("%d requests in %s after the announcement", before.AfterLeaving, before.LastAfterLeaving)
	if before.LastAfterLeaving.Std() > leavingLimit {
		t.Errorf("the leaving upstream received a request %s after its announcement, want none after %s", before.LastAfterLeaving, leavingLimit)
	}
	runLoad(t, s.loadConfig(v, runners, 60, 3*time.Second))
	if after := leaving.counters(t); after.AfterLeaving != before.AfterLeaving {
		t.Errorf("the leaving upstream received %d requests through other instances, want none", after.AfterLeaving-before.AfterLeaving)
	}
}

// Guards against requests to an upstream that the platform's list of instances reports as leaving, while the upstream itself
// responds as before.
func TestUpstreamListedAsLeavingGetsNoRequests(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "leaving-list", runners: 4, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	leaving := runners[0]
	client := medlarplatform.New(medlarplatform.DefaultConfig(s.platformAddress))
	defer client.Close()
	var listed medlarwheel.Upstream
	list, _, err := client.Instances(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range list.Upstreams {
		if u.ID == leaving.id {
			listed = u
		}
	}
	listed.State = medlarwheel.StateLeaving
	s.registerUpstream(t, listed)
	await(t, 10*time.Second, "upstream listed as leaving", func() bool {
		list, _, err := client.Instances(t.Context(), 0)
		if err != nil {
			return false
		}
		for _, u := range list.Upstreams {
			if u.ID == leaving.id && u.State == medlarwheel.StateLeaving {
				return true
			}
		}
		return false
	})
	s.awaitNotRouted(t, leaving, leavingLimit)
	before := leaving.counters(t).Requests
	runLoad(t, s.loadConfig(v, runners, 60, 3*time.Second))
	if after := leaving.counters(t).Requests; after != before {
		t.Errorf("the leaving upstream received %d requests, want none", after-before)
	}
}

// awaitNotRouted waits until no instance routes to the runner.
func (s *system) awaitNotRouted(t *testing.T, r *runner, limit time.Duration) {
	t.Helper()
	took := await(t, limit, "end of routing to "+string(r.id), func() bool {
		for _, e := range s.entries {
			if u, ok := e.upstream(r.id); ok && u.State == medlarwheel.StateLive {
				return false
			}
		}
		return true
	})
	t.Logf("no instance routes to %s after %s", r.id, took.Round(time.Millisecond))
}

// Guards against a graceful shutdown that interrupts requests in flight. The clients select instances by their readiness
// probe, as a load balancer does, and continue through the other instances after the SIGTERM.
func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	s := newSystem(t, "")
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 200 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	clients := newBalancedClients(s)
	stopped := s.entries[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	for client := range 12 {
		group.Go(func() { clients.sendUntil(t, client, v.name, stop) })
	}
	await(t, 10*time.Second, "responses through the instance to stop", func() bool { return clients.count(stopped, medlarwheel.OutcomeDone) > 10 })
	stopped.signal(t, syscall.SIGTERM)
	begin := time.Now()
	select {
	case <-stopped.exited:
	case <-time.After(20 * time.Second):
		t.Fatal("the instance did not exit within 20 s of SIGTERM")
	}
	t.Logf("the instance exited %s after SIGTERM", time.Since(begin).Round(time.Millisecond))
	after := clients.count(s.entries[2], medlarwheel.OutcomeDone)
	await(t, 20*time.Second, "responses through another instance", func() bool {
		return clients.count(s.entries[2], medlarwheel.OutcomeDone) > after+10
	})
	close(stop)
	group.Wait()
	clients.report(t)
	if stopped.err != nil || len(stopped.logs.linesContaining(`"event":"stopped"`)) != 1 {
		t.Errorf("exit error %v, %d stopped events in the log, want no error and 1 event", stopped.err, len(stopped.logs.linesContaining(`"event":"stopped"`)))
	}
	if len(stopped.logs.linesContaining(`"event":"stop-timeout"`)) > 0 {
		t.Error("the instance reached its stop timeout with requests in flight")
	}
	if n := clients.count(stopped, outcomeConnectionLost); n > 0 {
		t.Errorf("connections of %d requests were closed before the response, want none", n)
	}
	if n := clients.count(stopped, medlarwheel.OutcomeUnknown); n > 0 {
		t.Errorf("%d requests in flight at the shutdown ended with an unknown outcome, want none", n)
	}
	for key, n := range appliedCounts(t, runners) {
		if n > 1 {
			t.Errorf("key %s was applied %d times, want at most once", key, n)
		}
	}
}
