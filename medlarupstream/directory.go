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
	// TellFor is how long an end is told to peers. Peers that start later see it in the list.
	TellFor time.Duration
	// MaxTold bounds the observations of one exchange.
	MaxTold int
	// MaxUnlisted bounds the ended upstreams that are remembered after they left the list. The ones forgotten first are
	// those that left first; a list that showed one of them again at its old incarnation would readmit it.
	MaxUnlisted int
}

// DefaultDirectoryConfig returns the default settings. 128 observations of about 40 bytes in each of three exchanges a
// second are at the control budget of 15 KB/s only while that many upstreams leave at once.
func DefaultDirectoryConfig() DirectoryConfig {
	return DirectoryConfig{TellFor: time.Minute, MaxTold: 128, MaxUnlisted: 16_384}
}

// record is what is known about one upstream.
type record struct {
	// upstream is the listed upstream. Its incarnation may be lower than known.
	upstream medlarwheel.Upstream
	// known is the highest incarnation seen, and ended tells that it is leaving.
	known medlarwheel.Incarnation
	ended bool
	// listed tells that the last list showed the upstream. unlisted is its place among the others.
	listed   bool
	unlisted *list.Element
	since    time.Time
	source   Source
	told     int
}

func (r *record) live() bool { return r.listed && !r.ended && r.upstream.Incarnation == r.known }

// Directory merges the platform's lagging list, the upstreams' own announcements and the observations of peers. Leaving is
// final for an incarnation: only a higher incarnation in the list readmits an upstream. One that the list does not show
// gets no work as long as that is so.
type Directory struct {
	config  DirectoryConfig
	version uint64
	records map[medlarwheel.UpstreamID]*record
	// unlisted holds the records that are not in the list, first ended first.
	unlisted *list.List
	// ended holds the records whose end is still told to peers.
	ended   []*record
	live    map[medlarwheel.ServiceName][]medlarwheel.Upstream
	stale   bool
	changes uint64
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
		r := d.recordOf(u.ID)
		if !r.listed {
			r.listed = true
			d.unlisted.Remove(r.unlisted)
			d.changed()
		}
		d.raise(r, u.Incarnation)
		if r.upstream != u {
			r.upstream = u
			d.changed()
		}
		if u.State == medlarwheel.StateLeaving && u.Incarnation == r.known {
			d.end(now, r, SourceList)
		}
	}
	for id, r := range d.records {
		if r.listed && !shown[id] {
			// Not an end: a later list that shows the upstream again readmits it, so that one wrong list does not take
			// every upstream out for good.
			d.unlist(r)
			d.changed()
		}
	}
	d.forget()
	return true
}

// Observe merges one sign of an upstream itself or of a peer.
func (d *Directory) Observe(now time.Time, o Observation) {
	r, ok := d.records[o.Upstream]
	if ok && (o.Incarnation < r.known || (o.Incarnation == r.known && (r.ended || !o.Leaving))) {
		return
	}
	r = d.recordOf(o.Upstream)
	d.raise(r, o.Incarnation)
	if o.Leaving {
		d.end(now, r, o.Source)
	}
	d.forget()
}

// Live returns the upstreams of a service that get new work, in the order of their ids. The caller must not modify it.
func (d *Directory) Live(service medlarwheel.ServiceName) []medlarwheel.Upstream {
	if d.stale || d.live == nil {
		d.stale = false
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

// Changes counts the changes of what Live returns, so that a caller can tell whether to ask again.
func (d *Directory) Changes() uint64 { return d.changes }

// Observations returns the recent ends to tell a peer, those told least often first.
func (d *Directory) Observations(now time.Time) []Observation {
	d.ended = slices.DeleteFunc(d.ended, func(r *record) bool { return !r.ended || now.Sub(r.since) > d.config.TellFor })
	slices.SortStableFunc(d.ended, func(a, b *record) int { return cmp.Compare(a.told, b.told) })
	told := make([]Observation, 0, min(len(d.ended), d.config.MaxTold))
	for _, r := range d.ended[:cap(told)] {
		r.told++
		told = append(told, Observation{Upstream: r.upstream.ID, Incarnation: r.known, Leaving: true, Source: SourcePeer})
	}
	return told
}

func (d *Directory) recordOf(id medlarwheel.UpstreamID) *record {
	r, ok := d.records[id]
	if !ok {
		r = &record{upstream: medlarwheel.Upstream{ID: id}}
		d.records[id] = r
		d.unlist(r)
	}
	return r
}

// raise moves r to a higher incarnation, which supersedes whatever was known of the lower one.
func (d *Directory) raise(r *record, incarnation medlarwheel.Incarnation) {
	if incarnation > r.known {
		r.known, r.ended = incarnation, false
		d.changed()
	}
}

func (d *Directory) end(now time.Time, r *record, source Source) {
	if r.ended {
		return
	}
	r.ended, r.since, r.source, r.told = true, now, source, 0
	if !slices.Contains(d.ended, r) {
		d.ended = append(d.ended, r)
	}
	d.changed()
}

func (d *Directory) unlist(r *record) {
	r.listed = false
	r.unlisted = d.unlisted.PushBack(r)
}

func (d *Directory) forget() {
	for d.unlisted.Len() > d.config.MaxUnlisted {
		r := d.unlisted.Remove(d.unlisted.Front()).(*record)
		d.ended = slices.DeleteFunc(d.ended, func(e *record) bool { return e == r })
		delete(d.records, r.upstream.ID)
	}
}

func (d *Directory) changed() {
	d.stale = true
	d.changes++
}
