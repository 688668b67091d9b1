package medlarupstream

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"medlarwheel"
)

// Source is where an observation of an upstream came from.
type Source string

// The sources of observations.
const (
	SourceList     Source = "list"
	SourceUpstream Source = "upstream"
	SourcePeer     Source = "peer"
)

// Observation reports that one incarnation of an upstream exists, and whether it is leaving.
type Observation struct {
	Upstream    medlarwheel.UpstreamID  `json:"upstream"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Leaving     bool                    `json:"leaving"`
	Source      Source                  `json:"source"`
}

// DirectoryConfig holds the settings of a Directory.
type DirectoryConfig struct {
	// PropagateFor is how long the departure of an upstream is propagated to peers. Peers that start later learn it from the
	// list.
	PropagateFor time.Duration
	// MaxObservations is the largest number of observations in one exchange.
	MaxObservations int
	// MaxUnlisted is the largest number of upstreams that are kept while they are not in the list. The one that has been
	// unlisted longest is evicted first. A list that contained an evicted upstream again at its old incarnation would readmit
	// it, even if it had left.
	MaxUnlisted int
}

// DefaultDirectoryConfig returns the default settings. 128 observations of about 40 bytes in each of three exchanges per
// second reach the budget for control traffic of 15 KB/s, but only while that many upstreams leave at the same time.
func DefaultDirectoryConfig() DirectoryConfig {
	return DirectoryConfig{PropagateFor: time.Minute, MaxObservations: 128, MaxUnlisted: 16_384}
}

// record is what is known about one upstream.
type record struct {
	// upstream is the entry of the list. Its incarnation may be lower than the highest one observed.
	upstream medlarwheel.Upstream
	// incarnation is the highest incarnation observed, and leaving reports whether it is leaving or has left.
	incarnation medlarwheel.Incarnation
	leaving     bool
	// listed reports whether the last list contains the upstream. If not, unlistedElement is its element of
	// Directory.unlisted.
	listed          bool
	unlistedElement *list.Element
	leavingSince    time.Time
	source          Source
	timesSent       int
}

func (r *record) live() bool {
	return r.listed && !r.leaving && r.upstream.Incarnation == r.incarnation
}

// Directory merges the platform's upstream list, which lags behind, with the upstreams' own announcements and the
// observations of peers. Leaving is final for an incarnation: only a higher incarnation in the list readmits an upstream. An
// upstream gets no requests while it is not in the list.
type Directory struct {
	config  DirectoryConfig
	version uint64
	records map[medlarwheel.UpstreamID]*record
	// unlisted holds the records of upstreams that are not in the list, longest unlisted first.
	unlisted *list.List
	// leaving holds the records whose departure is still propagated to peers.
	leaving   []*record
	live      map[medlarwheel.ServiceName][]medlarwheel.Upstream
	liveStale bool
	revision  uint64
}

// NewDirectory returns an empty Directory.
func NewDirectory(c DirectoryConfig) *Directory {
	return &Directory{config: c, records: make(map[medlarwheel.UpstreamID]*record), unlisted: list.New()}
}

// ApplyList merges a list and reports whether it did so. It ignores a list that is not newer than the last one.
func (d *Directory) ApplyList(now time.Time, l medlarwheel.InstanceList) bool {
	if l.Version <= d.version {
		return false
	}
	d.version = l.Version
	inList := make(map[medlarwheel.UpstreamID]bool, len(l.Upstreams))
	for _, u := range l.Upstreams {
		inList[u.ID] = true
		r := d.recordFor(u.ID)
		if !r.listed {
			r.listed = true
			d.unlisted.Remove(r.unlistedElement)
			d.invalidateLive()
		}
		d.advanceIncarnation(r, u.Incarnation)
		if r.upstream != u {
			r.upstream = u
			d.invalidateLive()
		}
		if u.State == medlarwheel.StateLeaving && u.Incarnation == r.incarnation {
			d.markLeaving(now, r, SourceList)
		}
	}
	for id, r := range d.records {
		if r.listed && !inList[id] {
			// The upstream is not marked as leaving, so that a later list that contains it readmits it. Otherwise one wrong
			// list could remove every upstream permanently.
			d.markUnlisted(r)
			d.invalidateLive()
		}
	}
	d.evictUnlisted()
	return true
}

// Observe merges an observation by the upstream itself or by a peer.
func (d *Directory) Observe(now time.Time, o Observation) {
	r, ok := d.records[o.Upstream]
	if ok && (o.Incarnation < r.incarnation || (o.Incarnation == r.incarnation && (r.leaving || !o.Leaving))) {
		return
	}
	r = d.recordFor(o.Upstream)
	d.advanceIncarnation(r, o.Incarnation)
	if o.Leaving {
		d.markLeaving(now, r, o.Source)
	}
	d.evictUnlisted()
}

// Live returns the upstreams of a service that get new requests, sorted by id. The caller must not modify the slice.
func (d *Directory) Live(service medlarwheel.ServiceName) []medlarwheel.Upstream {
	if d.liveStale || d.live == nil {
		d.liveStale = false
		d.live = make(map[medlarwheel.ServiceName][]medlarwheel.Upstream)
		for _, r := range d.records {
			if r.live() {
				d.live[r.upstream.Service] = append(d.live[r.upstream.Service], r.upstream)
			}
		}
		for _, upstreams := range d.live {
			slices.SortFunc(upstreams, func(a, b medlarwheel.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
	return d.live[service]
}

// Revision increases with every change of what Live returns, so that a caller knows when to call Live again.
func (d *Directory) Revision() uint64 { return d.revision }

// Observations returns recent departures to send to a peer, those sent least often first.
func (d *Directory) Observations(now time.Time) []Observation {
	d.leaving = slices.DeleteFunc(d.leaving, func(r *record) bool { return !r.leaving || now.Sub(r.leavingSince) > d.config.PropagateFor })
	slices.SortStableFunc(d.leaving, func(a, b *record) int { return cmp.Compare(a.timesSent, b.timesSent) })
	observations := make([]Observation, 0, min(len(d.leaving), d.config.MaxObservations))
	for _, r := range d.leaving[:cap(observations)] {
		r.timesSent++
		observations = append(observations, Observation{Upstream: r.upstream.ID, Incarnation: r.incarnation, Leaving: true, Source: SourcePeer})
	}
	return observations
}

func (d *Directory) recordFor(id medlarwheel.UpstreamID) *record {
	r, ok := d.records[id]
	if !ok {
		r = &record{upstream: medlarwheel.Upstream{ID: id}}
		d.records[id] = r
		d.markUnlisted(r)
	}
	return r
}

// advanceIncarnation sets a higher incarnation, which supersedes everything known about lower ones.
func (d *Directory) advanceIncarnation(r *record, incarnation medlarwheel.Incarnation) {
	if incarnation > r.incarnation {
		r.incarnation, r.leaving = incarnation, false
		d.invalidateLive()
	}
}

func (d *Directory) markLeaving(now time.Time, r *record, source Source) {
	if r.leaving {
		return
	}
	r.leaving, r.leavingSince, r.source, r.timesSent = true, now, source, 0
	if !slices.Contains(d.leaving, r) {
		d.leaving = append(d.leaving, r)
	}
	d.invalidateLive()
}

func (d *Directory) markUnlisted(r *record) {
	r.listed = false
	r.unlistedElement = d.unlisted.PushBack(r)
}

func (d *Directory) evictUnlisted() {
	for d.unlisted.Len() > d.config.MaxUnlisted {
		r := d.unlisted.Remove(d.unlisted.Front()).(*record)
		d.leaving = slices.DeleteFunc(d.leaving, func(e *record) bool { return e == r })
		delete(d.records, r.upstream.ID)
	}
}

func (d *Directory) invalidateLive() {
	d.liveStale = true
	d.revision++
}
