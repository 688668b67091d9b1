package medlardatacentre

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"medlarwheel"
)

// View holds what one instance knows about all entry instances.
type View struct {
	config  ViewConfig
	self    Member
	entries map[medlarwheel.InstanceID]*entry
	// tombstones holds the last state of removed members.
	tombstones      map[medlarwheel.InstanceID]tombstone
	retained        map[medlarwheel.InstanceID]struct{}
	seeds           []string
	lastList        listState
	lastHeartbeatAt time.Time
	// cursor and remoteCursor are where the rotating part of the next digest to another and to the local data centre starts.
	cursor       int
	remoteCursor int
}

type entry struct {
	Member
	// progressedAt is when the member's heartbeat counter or incarnation last grew.
	progressedAt time.Time
}

type tombstone struct {
	incarnation medlarwheel.Incarnation
	heartbeat   Heartbeat
	leaving     bool
	removedAt   time.Time
}

// listState is the content of the platform's last instance list.
type listState struct {
	version    uint64
	receivedAt time.Time
	// live holds the live instances.
	live map[medlarwheel.InstanceID]struct{}
}

// NewView returns a view that contains only the local instance.
func NewView(self medlarwheel.EntryInstance, config ViewConfig) *View {
	return &View{
		config: config,
		self: Member{
			Instance:    self.ID,
			DataCentre:  self.DataCentre,
			PeerAddress: self.PeerAddress,
			Incarnation: self.Incarnation,
			Leaving:     self.State == medlarwheel.StateLeaving,
		},
		entries:    make(map[medlarwheel.InstanceID]*entry),
		tombstones: make(map[medlarwheel.InstanceID]tombstone),
		retained:   make(map[medlarwheel.InstanceID]struct{}),
	}
}

// IncrementHeartbeat increments the heartbeat counter of this instance and removes members without progress for longer than
// RemoveAfter. After a pause of this process longer than MaxPause, the times of progress are moved on by the pause.
func (v *View) IncrementHeartbeat(now time.Time) {
	if pause := now.Sub(v.lastHeartbeatAt); !v.lastHeartbeatAt.IsZero() && pause > v.config.MaxPause {
		for _, e := range v.entries {
			e.progressedAt = e.progressedAt.Add(pause)
		}
	}
	v.lastHeartbeatAt = now
	v.self.Heartbeat++
	v.removeExpired(now)
}

// Leave announces that this instance is leaving. This cannot be reverted.
func (v *View) Leave(now time.Time) {
	v.self.Leaving = true
	v.IncrementHeartbeat(now)
}

// AddSeed adds the peer address of an instance from the settings.
func (v *View) AddSeed(address string) {
	if !slices.Contains(v.seeds, address) {
		v.seeds = append(v.seeds, address)
	}
}

// Retain sets the instances that are never removed from the view, replacing those set before. They are the members of the
// data centre's roster: PlanRoster treats an unknown member as running.
func (v *View) Retain(instances []medlarwheel.InstanceID) {
	clear(v.retained)
	for _, id := range instances {
		v.retained[id] = struct{}{}
	}
}

// Merge merges members received from a peer. It returns ErrSuperseded if they include a higher incarnation of this
// instance.
func (v *View) Merge(now time.Time, members []Member) error {
	var err error
	for i := range members {
		if e := v.merge(now, &members[i]); e != nil {
			err = e
		}
	}
	return err
}

// ApplyList merges the entry instances of the platform's list. A list older than the last one is ignored. The list can add
// an instance, raise its incarnation and mark it as leaving. It never counts as progress of a known incarnation.
func (v *View) ApplyList(now time.Time, list medlarwheel.InstanceList) error {
	if list.Version < v.lastList.version {
		return nil
	}
	v.lastList = listState{version: list.Version, receivedAt: now, live: make(map[medlarwheel.InstanceID]struct{})}
	var err error
	for i := range list.Entries {
		listed := &list.Entries[i]
		if listed.State == medlarwheel.StateLive {
			v.lastList.live[listed.ID] = struct{}{}
		}
		e := v.merge(now, &Member{
			Instance:    listed.ID,
			DataCentre:  listed.DataCentre,
			PeerAddress: listed.PeerAddress,
			Incarnation: listed.Incarnation,
			Leaving:     listed.State == medlarwheel.StateLeaving,
		})
		if e != nil {
			err = e
		}
	}
	return err
}

func (v *View) merge(now time.Time, m *Member) error {
	if m.Instance == v.self.Instance {
		if m.Incarnation > v.self.Incarnation {
			return medlarwheel.WithOperation(fmt.Sprintf("merge members: instance %s has incarnation %d, expected at most %d",
				m.Instance, m.Incarnation, v.self.Incarnation), m.PeerAddress, ErrSuperseded)
		}
		return nil
	}
	if t, removed := v.tombstones[m.Instance]; removed {
		if !t.isOlderThan(m) {
			return nil
		}
		delete(v.tombstones, m.Instance)
	}
	e := v.entries[m.Instance]
	switch {
	case e == nil || m.Incarnation > e.Incarnation:
		v.entries[m.Instance] = &entry{Member: *m, progressedAt: now}
	case m.Incarnation < e.Incarnation:
	default:
		leaving := e.Leaving || m.Leaving
		if m.Heartbeat > e.Heartbeat {
			e.Member, e.progressedAt = *m, now
		}
		e.Leaving = leaving
	}
	return nil
}

// isOlderThan reports whether m is newer than the removed state, so that the member is added again.
func (t *tombstone) isOlderThan(m *Member) bool {
	if m.Incarnation != t.incarnation {
		return m.Incarnation > t.incarnation
	}
	return !t.leaving && m.Heartbeat > t.heartbeat
}

// Members returns all known members with their status, ordered by instance.
func (v *View) Members(now time.Time) []Member {
	members := []Member{v.selfMember()}
	for _, e := range v.entries {
		m := e.Member
		m.Status = v.status(now, e)
		m.Unlisted = m.Status == StatusDead && v.unlisted(e)
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return members
}

func (v *View) selfMember() Member {
	m := v.self
	m.Status = StatusAlive
	if m.Leaving {
		m.Status = StatusLeaving
	}
	return m
}

func (v *View) status(now time.Time, e *entry) Status {
	sinceProgress := now.Sub(e.progressedAt)
	switch {
	case e.Leaving:
		return StatusLeaving
	case sinceProgress >= v.timeoutFor(e, v.config.DeadAfter):
		return StatusDead
	case sinceProgress >= v.timeoutFor(e, v.config.SuspectAfter):
		return StatusSuspect
	default:
		return StatusAlive
	}
}

// timeoutFor returns limit for a member of the local data centre and limit times RemoteTimeoutFactor for any other.
func (v *View) timeoutFor(e *entry, limit time.Duration) time.Duration {
	if e.DataCentre == v.self.DataCentre {
		return limit
	}
	return limit * time.Duration(max(1, v.config.RemoteTimeoutFactor))
}

// unlisted reports whether the last list does not contain the member as live and was received at least MaxListLag after its
// last progress. A list without this instance itself proves nothing, nor does one with an earlier incarnation of the member.
func (v *View) unlisted(e *entry) bool {
	if _, complete := v.lastList.live[v.self.Instance]; !complete {
		return false
	}
	_, live := v.lastList.live[e.Instance]
	return !live && v.lastList.receivedAt.Sub(e.progressedAt) >= v.config.MaxListLag
}

// removeExpired replaces members without progress for RemoveAfter by tombstones.
func (v *View) removeExpired(now time.Time) {
	for id, e := range v.entries {
		if _, keep := v.retained[id]; !keep && now.Sub(e.progressedAt) >= v.config.RemoveAfter {
			delete(v.entries, id)
			v.tombstones[id] = tombstone{incarnation: e.Incarnation, heartbeat: e.Heartbeat, leaving: e.Leaving, removedAt: now}
		}
	}
	maps.DeleteFunc(v.tombstones, func(_ medlarwheel.InstanceID, t tombstone) bool {
		return now.Sub(t.removedAt) >= v.config.TombstoneRetention
	})
	for len(v.tombstones) > v.config.MaxTombstones {
		v.dropOldestTombstone()
	}
}

func (v *View) dropOldestTombstone() {
	var oldest medlarwheel.InstanceID
	for id, t := range v.tombstones {
		if o := v.tombstones[oldest]; oldest == "" || t.removedAt.Before(o.removedAt) || (t.removedAt.Equal(o.removedAt) && id < oldest) {
			oldest = id
		}
	}
	delete(v.tombstones, oldest)
}
