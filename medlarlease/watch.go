package medlarlease

import (
	"time"

	"medlarwheel"
)

// InstanceLeases is an instance's view of the leases of the other instances of its data centre.
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

// NewInstanceLeases returns a view that has seen no rows yet.
func NewInstanceLeases(config Config, self medlarwheel.InstanceID) *InstanceLeases {
	return &InstanceLeases{config: config, self: self, instances: make(map[medlarwheel.InstanceID]*observedInstance)}
}

// Observe records a complete read of the rows of the data centre's instances, sent at sentAt and answered at doneAt. An
// instance whose row is gone has ended.
func (w *InstanceLeases) Observe(rows []medlarwheel.Row, sentAt, doneAt time.Time) error {
	present := make(map[medlarwheel.InstanceID]bool, len(rows))
	for _, row := range rows {
		lease, err := DecodeInstanceLease(row)
		if err != nil {
			return err
		}
		id := lease.Instance.ID
		present[id] = true
		if w.instances[id] == nil {
			w.instances[id] = &observedInstance{}
		}
		w.instances[id].lease = lease
		w.instances[id].observer.Observe(row.Version, sentAt, doneAt, w.config.MaxReadInterval)
	}
	for id := range w.instances {
		if !present[id] {
			delete(w.instances, id)
		}
	}
	if sentAt.After(w.readAt) {
		w.readAt = sentAt
	}
	return nil
}

// Live lists the members whose lease has not run out and who are not leaving, for PlanShards.
func (w *InstanceLeases) Live() []Member {
	var live []Member
	for id, seen := range w.instances {
		if seen.lease.Instance.State == medlarwheel.StateLive && !seen.observer.Expired(w.config.Term, w.config.Margin) {
			live = append(live, Member{Instance: id, Incarnation: seen.lease.Instance.Incarnation})
		}
	}
	return sortedMembers(live)
}

// EarlierOwnersStopped reports whether every earlier owner of a shard has stopped renewing the leases of its tasks. token is the
// shard's token, and acquiredAt is when the watching instance first saw that it owns the shard. An instance has stopped
// when it acts by a map at least as new, or when it has been silent beyond the horizon.
func (w *InstanceLeases) EarlierOwnersStopped(token medlarwheel.FencingToken, acquiredAt time.Time) bool {
	if !w.readAt.After(acquiredAt) {
		return false
	}
	for id, seen := range w.instances {
		if id == w.self || seen.lease.MapEpoch >= medlarwheel.Epoch(token) {
			continue
		}
		if !seen.observer.Unresponsive(w.config.OutageRenewalLimit, w.config.Margin) {
			return false
		}
	}
	return true
}
