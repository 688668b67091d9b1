package medlarproof

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlaroperator"
	"medlarwheel/standin/medlarplatformserver"
	"medlarwheel/standin/medlarprocess"
)

// Guards against a platform outage that interrupts requests, lets a publication appear to succeed, or keeps a template that
// was published just before the outage from an instance that can still reach a peer.
func TestPlatformOutageKeepsServingAndRefusesPublications(t *testing.T) {
	// The last instance loses its connection to the platform before the last publication, so it can only receive the template
	// from peers.
	s := newSystem(t, "entry-4")
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 20 * time.Millisecond}
	runners := s.addService(t, v)
	s.awaitCapacity(t, v)
	late := service{name: "late", slots: 4}
	postJSON(t, s.relayControlAddress, "/faults", relayFaults{Cut: true})
	version := publish(t, s.entries[0], late.template(), 0)
	s.setPlatformFaults(t, medlarplatformserver.Faults{Outage: medlarplatformserver.OutageRefuse})
	for _, e := range s.entries {
		took := await(t, 8*time.Second, "last configuration version at "+string(e.id), func() bool { return configVersion(e) == version })
		t.Logf("%s received the version published before the outage after %s", e.id, took.Round(time.Millisecond))
	}
	report := runLoad(t, s.loadConfig(v, runners, 60, 4*time.Second))
	if done, all := countFinals(&report, medlarwheel.OutcomeDone, ""), countRequests(&report); done*100 < all*99 {
		t.Errorf("%d of %d requests were done during the outage, want at least 99%%", done, all)
	}
	for _, e := range s.entries {
		_, err := tryPublish(e, (&service{name: "refused", slots: 4}).template(), 0, "operator")
		var responseErr *medlaroperator.Error
		if !errors.As(err, &responseErr) || responseErr.Code != medlaroperator.CodeUnavailable || responseErr.RetryAfter <= 0 {
			t.Errorf("publication through %s during the outage: %v, want code unavailable with a retry-after time", e.id, err)
		}
		if got := configVersion(e); got != version {
			t.Errorf("%s has configuration version %d after a refused publication, want %d", e.id, got, version)
		}
	}
	restartInOutage(t, s, s.entries[1], version)
}

// restartInOutage kills and restarts an instance while the platform is unavailable. The instance must become ready with the
// newest configuration and never serve an older one.
func restartInOutage(t *testing.T, s *system, e *entry, version medlarwheel.ConfigVersion) {
	t.Helper()
	e.kill()
	s.startEntry(t, e)
	took := await(t, restartLimit, "readiness after the restart", func() bool {
		if seen := configVersion(e); seen != 0 && seen != version {
			t.Errorf("the restarted instance serves configuration version %d, want %d or none", seen, version)
		}
		return e.isReady()
	})
	if got := configVersion(e); got != version {
		t.Errorf("the restarted instance is ready with configuration version %d, want %d", got, version)
	}
	t.Logf("ready %s after the restart", took.Round(time.Millisecond))
}

// restartLimit limits the time from a restart until an instance serves requests. The target of the design is 2 s; the rest
// is a margin for a busy machine.
const restartLimit = 5 * time.Second

// Guards against an instance that restarts during a platform outage and becomes ready with the configuration of a peer, but
// cannot serve requests because it received neither rosters nor upstreams from its peers.
func TestInstanceRestartedDuringOutageServes(t *testing.T) {
	s := newSystem(t, "")
	v := service{name: "holds", runners: 2, slots: 8, serviceTime: 20 * time.Millisecond}
	s.addService(t, v)
	s.awaitCapacity(t, v)
	version := configVersion(s.entries[0])
	s.setPlatformFaults(t, medlarplatformserver.Faults{Outage: medlarplatformserver.OutageRefuse})
	restarted := s.entries[1]
	restartInOutage(t, s, restarted, version)
	var last callResult
	t.Cleanup(func() {
		t.Logf("last call: outcome %s, reason %s, rosters %v, capacity gauge %d", last.outcome, last.reason, members(restarted).Rosters,
			restarted.gauge("capacity.holds"))
	})
	took := await(t, restartLimit, "successful GET through the restarted instance", func() bool {
		last = call(restarted, "GET", v.name, "restart", "", maxDeadline)
		return last.outcome == medlarwheel.OutcomeDone
	})
	t.Logf("serving requests %s after being ready", took.Round(time.Millisecond))
}

// Guards against a publication that is applied twice or reported as failed when the platform's response is lost after the
// commit.
func TestPublicationWithLostResponseIsAppliedOnce(t *testing.T) {
	s := sharedSystem(t)
	for i, e := range s.entries {
		name := "lost-answer-" + string(e.id)
		s.setPlatformFaults(t, medlarplatformserver.Faults{DropResponses: 1})
		before := medlarwheel.ConfigVersion(0)
		for _, other := range s.entries {
			before = max(before, configVersion(other))
		}
		published, err := tryPublish(e, (&service{name: name, slots: 4}).template(), 0, "operator")
		s.setPlatformFaults(t, medlarplatformserver.Faults{})
		if err != nil || published.Version != before+1 {
			t.Errorf("published %+v, %v, want version %d", published, err, before+1)
		}
		await(t, 8*time.Second, "same configuration version at every instance", func() bool {
			for _, other := range s.entries {
				if configVersion(other) != before+1 {
					return false
				}
			}
			return true
		})
		item, err := s.entries[(i+1)%len(s.entries)].operator().Item(medlaroperator.PathTemplates, name)
		if err != nil || item.Version != before+1 || item.Author != "operator" {
			t.Errorf("item %s: %+v, %v, want version %d of operator", name, item, err, before+1)
		}
	}
	if counters := s.platformCounters(t); counters.DroppedResponses < uint64(len(s.entries)) {
		t.Errorf("%d responses were dropped, want at least %d, so the fault was not exercised", counters.DroppedResponses, len(s.entries))
	}
}

// Guards against concurrent changes of a template that are both reported as successful, and against a conflict that does not
// name the author and version of the change that won. Several operators change the same version at the same time.
func TestConcurrentPublicationsHaveOneWinner(t *testing.T) {
	const operators = 8
	s := sharedSystem(t)
	template := (&service{name: "race", slots: 4}).template()
	base := publish(t, s.entries[0], template, 0)
	type attempt struct {
		author    medlarwheel.Author
		published medlaroperator.WriteResult
		err       error
	}
	attempts := make(chan attempt, operators)
	for i := range operators {
		go func() {
			changed := (&service{name: "race", slots: 5 + i}).template()
			author := medlarwheel.Author("operator-" + string(rune('a'+i)))
			published, err := tryPublish(s.entries[i%len(s.entries)], changed, base, author)
			attempts <- attempt{author, published, err}
		}()
	}
	var winner *attempt
	var rejected []attempt
	for range operators {
		a := <-attempts
		if a.err != nil {
			rejected = append(rejected, a)
			continue
		}
		if winner != nil {
			t.Errorf("changes of both %s and %s were reported as published", winner.author, a.author)
		}
		winner = &a
	}
	if winner == nil {
		t.Fatalf("no change was published: %v", rejected)
	}
	for _, a := range rejected {
		var responseErr *medlaroperator.Error
		if !errors.As(a.err, &responseErr) || responseErr.Code != medlaroperator.CodeConflict || responseErr.Conflict == nil {
			t.Errorf("change of %s: %v, want a version conflict", a.author, a.err)
			continue
		}
		if responseErr.Conflict.Author != winner.author || responseErr.Conflict.Actual != winner.published.Version {
			t.Errorf("change of %s: conflict with version %d of %s, want version %d of %s", a.author, responseErr.Conflict.Actual,
				responseErr.Conflict.Author, winner.published.Version, winner.author)
		}
	}
	for _, e := range s.entries {
		await(t, 8*time.Second, "published change at "+string(e.id), func() bool {
			item, err := e.operator().Item(medlaroperator.PathTemplates, "race")
			return err == nil && item.Author == winner.author && item.Version == winner.published.Version
		})
	}
}

// setPlatformFaults replaces the injected faults of the platform.
func (s *system) setPlatformFaults(t *testing.T, f medlarplatformserver.Faults) {
	t.Helper()
	postJSON(t, s.platformAddress, "/v1/faults", f)
}

// configVersion returns the configuration version that the instance serves, or zero if it does not respond.
func configVersion(e *entry) medlarwheel.ConfigVersion {
	list, err := medlaroperator.Get[medlaroperator.ConfigList](e.operator(), medlaroperator.PathTemplates)
	if err != nil {
		return 0
	}
	return list.Version
}

func (s *system) platformCounters(t *testing.T) medlarplatformserver.Counters {
	t.Helper()
	var counters medlarplatformserver.Counters
	if err := medlarprocess.GetJSON(s.platformAddress, "/v1/counters", readTimeout, &counters); err != nil {
		t.Fatal(err)
	}
	return counters
}
