package medlarupstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// directoryModel is a reference implementation that keeps all lists and observations and derives its results from them.
type directoryModel struct {
	lists        []medlarwheel.InstanceList
	observations []Observation
}

func (m *directoryModel) live(id medlarwheel.UpstreamID) (medlarwheel.Upstream, bool) {
	var newest medlarwheel.Incarnation
	left := map[medlarwheel.Incarnation]bool{}
	var listed *medlarwheel.Upstream
	for _, l := range m.lists {
		listed = nil
		for i, u := range l.Upstreams {
			if u.ID != id {
				continue
			}
			listed = &l.Upstreams[i]
			newest = max(newest, u.Incarnation)
			if u.State == medlarwheel.StateLeaving {
				left[u.Incarnation] = true
			}
		}
	}
	for _, o := range m.observations {
		if o.Upstream == id {
			newest = max(newest, o.Incarnation)
			left[o.Incarnation] = left[o.Incarnation] || o.Leaving
		}
	}
	if listed == nil || listed.Incarnation < newest || left[newest] {
		return medlarwheel.Upstream{}, false
	}
	return *listed, true
}

// Guards against an upstream that gets requests after any source has reported that it is leaving, and against one that gets
// none although a new process of it is in the list. Compares with a model that keeps the full history.
func TestDirectoryMatchesFullHistory(t *testing.T) {
	ids := []medlarwheel.UpstreamID{"u1", "u2", "u3"}
	states := []medlarwheel.InstanceState{medlarwheel.StateLive, medlarwheel.StateLive, medlarwheel.StateLeaving}
	rapid.Check(t, func(t *rapid.T) {
		d, m, now := NewDirectory(DefaultDirectoryConfig()), &directoryModel{}, testStart
		version := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				l := medlarwheel.InstanceList{Version: uint64(rapid.IntRange(max(0, int(version)-2), int(version)+2).Draw(t, "version"))}
				for _, id := range ids {
					if n := rapid.IntRange(-1, 3).Draw(t, string(id)); n >= 0 {
						l.Upstreams = append(l.Upstreams, medlarwheel.Upstream{ID: id, Service: "s", Incarnation: medlarwheel.Incarnation(n),
							Address: fmt.Sprint(l.Version), State: rapid.SampledFrom(states).Draw(t, "state")})
					}
				}
				if d.ApplyList(now, l) != (l.Version > version) {
					t.Fatalf("wrong result of ApplyList for version %d after version %d", l.Version, version)
				}
				if l.Version > version {
					version = l.Version
					m.lists = append(m.lists, l)
				}
			},
			"observe": func(t *rapid.T) {
				o := Observation{Upstream: rapid.SampledFrom(ids).Draw(t, "id"), Leaving: rapid.Bool().Draw(t, "leaving"),
					Incarnation: medlarwheel.Incarnation(rapid.IntRange(0, 4).Draw(t, "incarnation")), Source: SourcePeer}
				d.Observe(now, o)
				m.observations = append(m.observations, o)
			},
			"": func(t *rapid.T) {
				var want []medlarwheel.Upstream
				for _, id := range ids {
					if u, ok := m.live(id); ok {
						want = append(want, u)
					}
				}
				if got := d.Live("s"); !slices.Equal(got, want) {
					t.Fatalf("live %v, want %v", got, want)
				}
			},
		})
	})
}

// Guards against departures that are never sent to peers or are sent without end, and against memory that grows with
// the number of unknown upstreams.
func TestDirectoryPropagatesAndEvicts(t *testing.T) {
	c := DefaultDirectoryConfig()
	c.MaxObservations, c.MaxUnlisted = 10, 100
	d := NewDirectory(c)
	for i := range 1000 {
		d.Observe(at(0), Observation{Upstream: medlarwheel.UpstreamID(fmt.Sprint("u", i)), Incarnation: 1, Leaving: true})
	}
	if len(d.records) != 100 || len(d.leaving) != 100 {
		t.Errorf("%d records and %d departures kept, want 100", len(d.records), len(d.leaving))
	}
	sent := map[medlarwheel.UpstreamID]bool{}
	for range 10 {
		for _, o := range d.Observations(at(time.Second)) {
			sent[o.Upstream] = true
		}
	}
	if len(sent) != 100 {
		t.Errorf("%d of 100 departures sent in 10 exchanges of 10", len(sent))
	}
	if got := d.Observations(at(time.Hour)); len(got) != 0 || len(d.leaving) != 0 {
		t.Errorf("%d departures still sent after an hour, want 0", len(got))
	}
}
