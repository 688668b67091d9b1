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

// leavingLimit is the time from the first sign of leaving after which an upstream gets no new work.
const leavingLimit = 3 * time.Second

// Guards against work for an upstream that has announced in an answer that it leaves. The platform is down, so the other
// instances can learn it from the first one only.
func TestUpstreamAnnouncingItsLeaveGetsNoRequests(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "leaving", runners: 4, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	s.setPlatformFaults(t, medlarplatformserver.Faults{Outage: medlarplatformserver.OutageRefuse})
	defer s.setPlatformFaults(t, medlarplatformserver.Faults{})
	leaver := runners[0]
	ctx, stop := cancellableContext(t)
	config := s.loadConfig(v, runners, 60, time.Minute)
	config.Targets = config.Targets[:1]
	ended := make(chan error, 1)
	go func() { _, err := medlarload.Run(ctx, config, zerolog.Nop()); ended <- err }()
	await(t, 5*time.Second, "work at the leaver", func() bool { return leaver.counters(t).Requests > 5 })
	postJSON(t, leaver.controlAddress, "/faults", medlarrunner.Faults{Leaving: true})
	announced := time.Now()
	await(t, 5*time.Second, "an answer that announces it", func() bool { return leaver.counters(t).AfterLeaving > 0 })
	s.awaitNotRouted(t, leaver, leavingLimit)
	await(t, 10*time.Second, "the limit has passed", func() bool { return time.Since(announced) > leavingLimit })
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	before := leaver.counters(t)
	t.Logf("%d requests in %s after the announcement", before.AfterLeaving, before.LastAfterLeaving)
	if before.LastAfterLeaving.Std() > leavingLimit {
		t.Errorf("the leaver got work %s after its announcement", before.LastAfterLeaving)
	}
	runLoad(t, s.loadConfig(v, runners, 60, 3*time.Second))
	if after := leaver.counters(t); after.AfterLeaving != before.AfterLeaving {
		t.Errorf("the leaver got %d more requests through other instances", after.AfterLeaving-before.AfterLeaving)
	}
}

// Guards against work for an upstream that the platform's list reports as leaving although it answers as before.
func TestUpstreamListedAsLeavingGetsNoRequests(t *testing.T) {
	s := sharedSystem(t)
	v := service{name: "leaving-list", runners: 4, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	leaver := runners[0]
	client := medlarplatform.New(medlarplatform.DefaultConfig(s.platformAddress))
	defer client.Close()
	var listed medlarwheel.Upstream
	list, _, err := client.Instances(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, u := range list.Upstreams {
		if u.ID == leaver.id {
			listed = u
		}
	}
	listed.State = medlarwheel.StateLeaving
	s.registerUpstream(t, listed)
	await(t, 10*time.Second, "the list shows it", func() bool {
		list, _, err := client.Instances(t.Context(), 0)
		if err != nil {
			return false
		}
		for _, u := range list.Upstreams {
			if u.ID == leaver.id && u.State == medlarwheel.StateLeaving {
				return true
			}
		}
		return false
	})
	s.awaitNotRouted(t, leaver, leavingLimit)
	before := leaver.counters(t).Requests
	runLoad(t, s.loadConfig(v, runners, 60, 3*time.Second))
	if after := leaver.counters(t).Requests; after != before {
		t.Errorf("the leaver got %d requests", after-before)
	}
}

// awaitNotRouted waits until no instance routes to the runner.
func (s *system) awaitNotRouted(t *testing.T, r *runner, limit time.Duration) {
	t.Helper()
	took := await(t, limit, "no instance routes to "+string(r.id), func() bool {
		for _, e := range s.entries {
			if u, ok := e.upstream(r.id); ok && u.State == medlarwheel.StateLive {
				return false
			}
		}
		return true
	})
	t.Logf("no instance routes to %s after %s", r.id, took.Round(time.Millisecond))
}

// Guards against a planned stop that cuts off a request. The callers go by readyz, as a load balancer does, and go on
// through the other instances.
func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	s := newSystem(t, "")
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 200 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	b := newBalancedClients(s)
	stopped := s.entries[0]
	stop := make(chan struct{})
	var group sync.WaitGroup
	for worker := range 12 {
		group.Go(func() { b.sendUntil(t, worker, v.name, stop) })
	}
	await(t, 10*time.Second, "answers through the instance", func() bool { return b.count(stopped, medlarwheel.OutcomeDone) > 10 })
	stopped.signal(t, syscall.SIGTERM)
	begin := time.Now()
	select {
	case <-stopped.exited:
	case <-time.After(20 * time.Second):
		t.Fatal("the instance did not end")
	}
	t.Logf("the instance ended %s after the signal", time.Since(begin).Round(time.Millisecond))
	after := b.count(s.entries[2], medlarwheel.OutcomeDone)
	await(t, 20*time.Second, "answers through another instance", func() bool {
		return b.count(s.entries[2], medlarwheel.OutcomeDone) > after+10
	})
	close(stop)
	group.Wait()
	b.report(t)
	if stopped.err != nil || len(stopped.logs.linesContaining(`"event":"stopped"`)) != 1 {
		t.Errorf("the instance did not stop in order: %v", stopped.err)
	}
	if len(stopped.logs.linesContaining(`"event":"stop-timeout"`)) > 0 {
		t.Error("the instance gave up on requests in flight")
	}
	if n := b.count(stopped, outcomeConnectionLost); n > 0 {
		t.Errorf("%d requests were cut off", n)
	}
	if n := b.count(stopped, medlarwheel.OutcomeUnknown); n > 0 {
		t.Errorf("%d requests in flight at the stop ended as unknown", n)
	}
	for key, n := range appliedCounts(t, runners) {
		if n > 1 {
			t.Errorf("%s was applied %d times", key, n)
		}
	}
}
