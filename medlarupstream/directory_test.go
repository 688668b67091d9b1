package medlarupstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
)

// directoryModel is the naive directory: it keeps everything that it was told and works out the answer from all of it.
type directoryModel struct {
	lists        []medlarwheel.InstanceList
	observations []Observation
}

func (h *directoryModel) live(id medlarwheel.UpstreamID) (medlarwheel.Upstream, bool) {
	var newest medlarwheel.Incarnation
	ended := map[medlarwheel.Incarnation]bool{}
	var shown *medlarwheel.Upstream
	for _, l := range h.lists {
		shown = nil
		for i, u := range l.Upstreams {
			if u.ID != id {
				continue
			}
			shown = &l.Upstreams[i]
			newest = max(newest, u.Incarnation)
			if u.State == medlarwheel.StateLeaving {
				ended[u.Incarnation] = true
			}
		}
	}
	for _, o := range h.observations {
		if o.Upstream == id {
			newest = max(newest, o.Incarnation)
			ended[o.Incarnation] = ended[o.Incarnation] || o.Leaving
		}
	}
	if shown == nil || shown.Incarnation < newest || ended[newest] {
		return medlarwheel.Upstream{}, false
	}
	return *shown, true
}

// Guards against an upstream that gets work after any source has said that it leaves, and against one that stays out
// although a new process of it is listed, by comparison with a version that keeps the whole history.
func TestDirectoryMatchesFullHistory(t *testing.T) {
	ids := []medlarwheel.UpstreamID{"u1", "u2", "u3"}
	states := []medlarwheel.InstanceState{medlarwheel.StateLive, medlarwheel.StateLive, medlarwheel.StateLeaving}
	rapid.Check(t, func(t *rapid.T) {
		d, h, now := NewDirectory(DefaultDirectoryConfig()), &directoryModel{}, testStart
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
					t.Fatalf("list of version %d after %d", l.Version, version)
				}
				if l.Version > version {
					version = l.Version
					h.lists = append(h.lists, l)
				}
			},
			"observe": func(t *rapid.T) {
				o := Observation{Upstream: rapid.SampledFrom(ids).Draw(t, "id"), Leaving: rapid.Bool().Draw(t, "leaving"),
					Incarnation: medlarwheel.Incarnation(rapid.IntRange(0, 4).Draw(t, "incarnation")), Source: SourcePeer}
				d.Observe(now, o)
				h.observations = append(h.observations, o)
			},
			"": func(t *rapid.T) {
				var want []medlarwheel.Upstream
				for _, id := range ids {
					if u, ok := h.live(id); ok {
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

// Guards against ends that peers never hear of, ends that are told for ever, and memory that grows with unknown upstreams.
func TestDirectoryPropagatesAndEvicts(t *testing.T) {
	c := DefaultDirectoryConfig()
	c.MaxObservations, c.MaxUnlisted = 10, 100
	d := NewDirectory(c)
	for i := range 1000 {
		d.Observe(at(0), Observation{Upstream: medlarwheel.UpstreamID(fmt.Sprint("u", i)), Incarnation: 1, Leaving: true})
	}
	if len(d.records) != 100 || len(d.leaving) != 100 {
		t.Errorf("%d records and %d ends kept, want 100", len(d.records), len(d.leaving))
	}
	told := map[medlarwheel.UpstreamID]bool{}
	for range 10 {
		for _, o := range d.Observations(at(time.Second)) {
			told[o.Upstream] = true
		}
	}
	if len(told) != 100 {
		t.Errorf("%d of 100 ends told in 10 exchanges of 10", len(told))
	}
	if got := d.Observations(at(time.Hour)); len(got) != 0 || len(d.leaving) != 0 {
		t.Errorf("%d ends still told after an hour", len(got))
	}
}
