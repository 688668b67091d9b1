package medlarlease

import (
	"time"

	"medlarwheel"
)

// InstanceLeases tracks the leases of the instances of a data centre, as one of them reads their rows.
type InstanceLeases struct {
	config    Config
	self      medlarwheel.InstanceID
	instances map[medlarwheel.InstanceID]*observedInstance
	// readAt is when the latest complete read was sent.
	readAt time.Time
}

type observedInstance struct {
	observer Observer
	lease    InstanceLease
}

// NewInstanceLeases returns an InstanceLeases that has observed no rows.
func NewInstanceLeases(config Config, self medlarwheel.InstanceID) *InstanceLeases {
	return &InstanceLeases{config: config, self: self, instances: make(map[medlarwheel.InstanceID]*observedInstance)}
}

// Observe records a complete read of the rows of the data centre's instances that was sent at sentAt and whose response
// arrived at doneAt. An instance without a row has ended.
func (l *InstanceLeases) Observe(rows []medlarwheel.Row, sentAt, doneAt time.Time) error {
	present := make(map[medlarwheel.InstanceID]bool, len(rows))
	for _, row := range rows {
		lease, err := DecodeInstanceLease(row)
		if err != nil {
			return err
		}
		id := lease.Instance.ID
		present[id] = true
		if l.instances[id] == nil {
			l.instances[id] = &observedInstance{}
		}
		l.instances[id].lease = lease
		l.instances[id].observer.Observe(row.Version, sentAt, doneAt, l.config.MaxReadInterval)
	}
	for id := range l.instances {
		if !present[id] {
			delete(l.instances, id)
		}
	}
	if sentAt.After(l.readAt) {
		l.readAt = sentAt
	}
	return nil
}

// Live lists the members for PlanShards: those whose lease has not expired and that are not leaving.
func (l *InstanceLeases) Live() []Member {
	var live []Member
	for id, seen := range l.instances {
		if seen.lease.Instance.State == medlarwheel.StateLive && !seen.observer.Expired(l.config.Term, l.config.Margin) {
			live = append(live, Member{Instance: id, Incarnation: seen.lease.Instance.Incarnation})
		}
	}
	return sortedMembers(live)
}

// EarlierOwnersStopped reports whether every earlier owner of a shard has stopped renewing the leases of its tasks. token is
// the token of the shard, and acquiredAt is when this instance first read that it owns the shard. An instance has stopped
// if it uses a map with at least the epoch of the token, or if it has not renewed for OutageRenewalLimit+Margin.
func (l *InstanceLeases) EarlierOwnersStopped(token medlarwheel.FencingToken, acquiredAt time.Time) bool {
	if !l.readAt.After(acquiredAt) {
		return false
	}
	for id, seen := range l.instances {
		if id == l.self || seen.lease.MapEpoch >= medlarwheel.Epoch(token) {
			continue
		}
		if !seen.observer.Unresponsive(l.config.OutageRenewalLimit, l.config.Margin) {
			return false
		}
	}
	return true
}
