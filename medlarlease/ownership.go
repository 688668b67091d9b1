package medlarlease

import (
	"fmt"
	"time"

	"medlarwheel"
)

// OwnedShard is a shard that an instance may act on.
type OwnedShard struct {
	Shard ShardID
	Token medlarwheel.FencingToken
	// ConfirmedAt is when the latest read was sent that returned the shard as assigned to the instance with Token.
	ConfirmedAt time.Time
}

// Ownership tracks an instance's own lease and the shard map as it has read it.
type Ownership struct {
	config   Config
	instance medlarwheel.EntryInstance
	holder   Holder
	// taskRenewalHolder is the same lease with the term Config.OutageRenewalLimit. It bounds the renewal of task leases.
	taskRenewalHolder Holder
	rowVersion        medlarwheel.RowVersion
	renewalCounter    uint64
	shardMap          ShardMap
	mapReadAt         time.Time
}

// NewOwnership returns the ownership of an instance that has just started.
func NewOwnership(config Config, instance medlarwheel.EntryInstance) *Ownership {
	return &Ownership{
		config: config, instance: instance, holder: NewHolder(config.Term), taskRenewalHolder: NewHolder(config.OutageRenewalLimit),
		shardMap: NewShardMap(instance.DataCentre),
	}
}

// SetRowVersion sets the version of the lease row that an earlier incarnation of the instance wrote.
func (o *Ownership) SetRowVersion(version medlarwheel.RowVersion) { o.rowVersion = version }

// Leave makes later renewals announce that the instance is leaving, so that planners reassign its shards.
func (o *Ownership) Leave() { o.instance.State = medlarwheel.StateLeaving }

// Renewal returns the write that renews the instance's lease.
func (o *Ownership) Renewal() (medlarwheel.Write, error) {
	o.renewalCounter++
	lease := InstanceLease{Instance: o.instance, Counter: o.renewalCounter, MapEpoch: o.shardMap.Epoch}
	value, err := encodeRow(&lease)
	return medlarwheel.Write{Key: InstanceKey(o.instance.DataCentre, o.instance.ID), ExpectedVersion: o.rowVersion, Value: value}, err
}

// RecordRenewal records that the renewal sent at sentAt succeeded.
func (o *Ownership) RecordRenewal(sentAt time.Time, version medlarwheel.RowVersion) {
	if version > o.rowVersion {
		o.rowVersion = version
	}
	o.holder.RecordRenewal(sentAt)
	o.taskRenewalHolder.RecordRenewal(sentAt)
}

// ResolveRenewal determines from the current row whether a renewal succeeded whose response was lost or that met a
// conflict. It returns ErrStale if a later incarnation has written the row; the instance must then stop.
func (o *Ownership) ResolveRenewal(row medlarwheel.Row, sentAt time.Time) error {
	lease, err := DecodeInstanceLease(row)
	if err != nil {
		return err
	}
	if lease.Instance.Incarnation > o.instance.Incarnation {
		o.holder.Release()
		o.taskRenewalHolder.Release()
		o.shardMap = NewShardMap(o.instance.DataCentre)
		return medlarwheel.WithOperation(fmt.Sprintf("renew lease of instance %s: row has incarnation %d, expected %d",
			o.instance.ID, lease.Instance.Incarnation, o.instance.Incarnation), "", medlarwheel.ErrStale)
	}
	if lease.Instance.Incarnation == o.instance.Incarnation && lease.Counter == o.renewalCounter {
		o.RecordRenewal(sentAt, row.Version)
	}
	o.rowVersion = row.Version
	return nil
}

// RecordShardMap records a read of the shard map that was sent at sentAt. A map older than the current one is ignored.
func (o *Ownership) RecordShardMap(m ShardMap, sentAt time.Time) {
	if m.Epoch < o.shardMap.Epoch || sentAt.Before(o.mapReadAt) {
		return
	}
	o.shardMap, o.mapReadAt = m, sentAt
}

// OwnedShards lists the shards that the instance may act on at now. It is empty unless the lease is valid and the map was
// read within the term and after the lease last expired.
func (o *Ownership) OwnedShards(now time.Time) []OwnedShard {
	if !o.mayAct(now) {
		return nil
	}
	var owned []OwnedShard
	for _, kind := range shardKinds() {
		for i := range o.shardMap.assignments(kind) {
			if shard, ok := o.ownedShard(ShardID{DataCentre: o.instance.DataCentre, Kind: kind, Index: ShardIndex(i)}); ok {
				owned = append(owned, shard)
			}
		}
	}
	return owned
}

// MayAct returns the shard with its token if the instance may act on it at now.
func (o *Ownership) MayAct(shard ShardID, now time.Time) (OwnedShard, bool) {
	if !o.mayAct(now) {
		return OwnedShard{}, false
	}
	return o.ownedShard(shard)
}

// MayRenew returns the shard with its token if the instance may renew the leases of its tasks at now. While the table is
// unavailable, renewal continues up to Config.OutageRenewalLimit, so that tasks survive the outage. Once the limit has
// passed, the map has to be read again first, because other instances rely on this one having stopped.
func (o *Ownership) MayRenew(shard ShardID, now time.Time) (OwnedShard, bool) {
	if !o.taskRenewalHolder.MayAct(now) || o.mapReadAt.Before(o.taskRenewalHolder.HeldSince()) {
		return OwnedShard{}, false
	}
	return o.ownedShard(shard)
}

func (o *Ownership) mayAct(now time.Time) bool {
	return o.holder.MayAct(now) && !o.mapReadAt.Before(o.holder.HeldSince()) &&
		o.holder.advanceTime(now).Before(o.mapReadAt.Add(o.config.Term))
}

func (o *Ownership) ownedShard(shard ShardID) (OwnedShard, bool) {
	self := Member{Instance: o.instance.ID, Incarnation: o.instance.Incarnation}
	a := o.shardMap.Assignment(shard.Kind, shard.Index)
	if a.Owner != self.Instance || shard.DataCentre != o.instance.DataCentre || !o.shardMap.IsMember(self) {
		return OwnedShard{}, false
	}
	return OwnedShard{Shard: shard, Token: a.Token, ConfirmedAt: o.mapReadAt}, true
}
