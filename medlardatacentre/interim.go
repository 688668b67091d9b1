// Package medlardatacentre keeps the membership of entry instances and the roster of each data centre.
//
// # Usage
//
//	view := medlardatacentre.NewView(self, medlardatacentre.DefaultViewConfig())
//	view.Merge(now, digest)
package medlardatacentre

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"medlarwheel"
)

// Status is the state of a member.
type Status string

// The states of a member.
const (
	StatusAlive   Status = "alive"
	StatusSuspect Status = "suspect"
	StatusDead    Status = "dead"
	StatusLeaving Status = "leaving"
)

// Member is one entry instance.
type Member struct {
	medlarwheel.EntryInstance
	Heartbeat uint64
	Status    Status
}

// ViewConfig holds the settings of a View.
type ViewConfig struct{ SuspectAfter, DeadAfter time.Duration }

// DefaultViewConfig returns the default settings.
func DefaultViewConfig() ViewConfig {
	return ViewConfig{SuspectAfter: 5 * time.Second, DeadAfter: 15 * time.Second}
}

type known struct {
	Member
	seen time.Time
}

// View is the membership as this instance sees it.
type View struct {
	self    Member
	config  ViewConfig
	members map[medlarwheel.InstanceID]*known
	seeds   []string
}

// NewView returns a view of this instance alone.
func NewView(self medlarwheel.EntryInstance, config ViewConfig) *View {
	return &View{self: Member{EntryInstance: self}, config: config, members: map[medlarwheel.InstanceID]*known{}}
}

// Beat raises the own heartbeat.
func (v *View) Beat(time.Time) { v.self.Heartbeat++ }

// Leave marks this instance as leaving.
func (v *View) Leave(time.Time) { v.self.State = medlarwheel.StateLeaving }

// AddSeed adds a peer address.
func (v *View) AddSeed(address string) { v.seeds = append(v.seeds, address) }

// Merge merges a digest.
func (v *View) Merge(now time.Time, members []Member) {
	for _, m := range members {
		if m.ID == v.self.ID {
			continue
		}
		k := v.members[m.ID]
		if k == nil || m.Incarnation > k.Incarnation || (m.Incarnation == k.Incarnation && m.Heartbeat > k.Heartbeat) {
			v.members[m.ID] = &known{Member: m, seen: now}
		}
	}
}

// ApplyList merges the instance list.
func (v *View) ApplyList(now time.Time, l medlarwheel.InstanceList) {
	for _, e := range l.Entries {
		if _, ok := v.members[e.ID]; !ok && e.ID != v.self.ID {
			v.members[e.ID] = &known{Member: Member{EntryInstance: e}, seen: now}
		}
	}
}

// Members lists the members.
func (v *View) Members(now time.Time) []Member {
	self := v.self
	self.Status = StatusAlive
	if self.State == medlarwheel.StateLeaving {
		self.Status = StatusLeaving
	}
	list := []Member{self}
	for _, k := range v.members {
		m := k.Member
		switch {
		case m.State == medlarwheel.StateLeaving:
			m.Status = StatusLeaving
		case now.Sub(k.seen) > v.config.DeadAfter:
			m.Status = StatusDead
		case now.Sub(k.seen) > v.config.SuspectAfter:
			m.Status = StatusSuspect
		default:
			m.Status = StatusAlive
		}
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Digest lists the members for a peer.
func (v *View) Digest(now time.Time) []Member { return v.Members(now) }

// Target is a peer to exchange with.
type Target struct {
	Instance medlarwheel.InstanceID
	Address  string
}

// Targets returns the peers of one round.
func (v *View) Targets(now time.Time, random *rand.Rand) []Target {
	var targets []Target
	for _, m := range v.Members(now) {
		if m.ID != v.self.ID {
			targets = append(targets, Target{m.ID, m.PeerAddress})
		}
	}
	random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if len(targets) > 3 {
		targets = targets[:3]
	}
	if len(targets) == 0 {
		for _, s := range v.seeds {
			targets = append(targets, Target{Address: s})
		}
	}
	return targets
}
