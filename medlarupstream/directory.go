package medlarupstream

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"medlarwheel"
)

// Source tells where a sign about an upstream came from.
type Source string

// The sources of signs.
const (
	SourceList     Source = "list"
	SourceUpstream Source = "upstream"
	SourcePeer     Source = "peer"
)

// Observation is a sign about one incarnation of an upstream.
type Observation struct {
	Upstream    medlarwheel.UpstreamID  `json:"upstream"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Leaving     bool                    `json:"leaving"`
	Source      Source                  `json:"source"`
}

// DirectoryConfig holds the settings of a Directory.
type DirectoryConfig struct {
	// PropagateFor is how long an end is told to peers. Peers that start later see it in the list.
	PropagateFor time.Duration
	// MaxObservations bounds the observations of one exchange.
	MaxObservations int
	// MaxUnlisted bounds the ended upstreams that are remembered after they left the list. The ones forgotten first are
	// those that left first; a list that showed one of them again at its old incarnation would readmit it.
	MaxUnlisted int
}

// DefaultDirectoryConfig returns the default settings. 128 observations of about 40 bytes in each of three exchanges a
// second are at the control budget of 15 KB/s only while that many upstreams leave at once.
func DefaultDirectoryConfig() DirectoryConfig {
	return DirectoryConfig{PropagateFor: time.Minute, MaxObservations: 128, MaxUnlisted: 16_384}
}

// record is what is known about one upstream.
type record struct {
	// upstream is the listed upstream. Its incarnation may be lower than known.
	upstream medlarwheel.Upstream
	// incarnation is the highest incarnation seen, and ended tells that it is leaving.
	incarnation medlarwheel.Incarnation
	leaving     bool
	// listed tells that the last list showed the upstream. unlisted is its place among the others.
	listed          bool
	unlistedElement *list.Element
	leavingSince    time.Time
	source          Source
	timesSent       int
}

func (r *record) live() bool {
	return r.listed && !r.leaving && r.upstream.Incarnation == r.incarnation
}

// Directory merges the platform's lagging list, the upstreams' own announcements and the observations of peers. Leaving is
// final for an incarnation: only a higher incarnation in the list readmits an upstream. One that the list does not show
// gets no work as long as that is so.
type Directory struct {
	config  DirectoryConfig
	version uint64
	records map[medlarwheel.UpstreamID]*record
	// unlisted holds the records that are not in the list, first ended first.
	unlisted *list.List
	// leaving holds the records whose end is still told to peers.
	leaving   []*record
	live      map[medlarwheel.ServiceName][]medlarwheel.Upstream
	liveStale bool
	revision  uint64
}

// NewDirectory returns an empty Directory.
func NewDirectory(c DirectoryConfig) *Directory {
	return &Directory{config: c, records: make(map[medlarwheel.UpstreamID]*record), unlisted: list.New()}
}

// ApplyList merges a list. A list that is not newer than the last one is ignored. It reports whether the list was used.
func (d *Directory) ApplyList(now time.Time, l medlarwheel.InstanceList) bool {
	if l.Version <= d.version {
		return false
	}
	d.version = l.Version
	shown := make(map[medlarwheel.UpstreamID]bool, len(l.Upstreams))
	for _, u := range l.Upstreams {
		shown[u.ID] = true
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
		if r.listed && !shown[id] {
			// Not an end: a later list that shows the upstream again readmits it, so that one wrong list does not take
			// every upstream out for good.
			d.markUnlisted(r)
			d.invalidateLive()
		}
	}
	d.evictUnlisted()
	return true
}

// Observe merges one sign of an upstream itself or of a peer.
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

// Live returns the upstreams of a service that get new work, in the order of their ids. The caller must not modify it.
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

// Revision counts the changes of what Live returns, so that a caller can tell whether to ask again.
func (d *Directory) Revision() uint64 { return d.revision }

// Observations returns the recent ends to tell a peer, those told least often first.
func (d *Directory) Observations(now time.Time) []Observation {
	d.leaving = slices.DeleteFunc(d.leaving, func(r *record) bool { return !r.leaving || now.Sub(r.leavingSince) > d.config.PropagateFor })
	slices.SortStableFunc(d.leaving, func(a, b *record) int { return cmp.Compare(a.timesSent, b.timesSent) })
	told := make([]Observation, 0, min(len(d.leaving), d.config.MaxObservations))
	for _, r := range d.leaving[:cap(told)] {
		r.timesSent++
		told = append(told, Observation{Upstream: r.upstream.ID, Incarnation: r.incarnation, Leaving: true, Source: SourcePeer})
	}
	return told
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

// advanceIncarnation moves r to a higher incarnation, which supersedes whatever was known of the lower one.
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
