package medlarlease

import (
	"fmt"
	"slices"

	"medlarwheel"
)

// ShardMapKey returns the key of the row with the shard map of a data centre.
func ShardMapKey(dc medlarwheel.DataCentreID) string { return "shards/" + string(dc) }

// Member is one process of an entry instance. A restarted instance is a new member, because it has lost its state.
type Member struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
}

// Assignment records which instance owns a shard.
type Assignment struct {
	// Owner is empty while the shard has never been assigned.
	Owner medlarwheel.InstanceID `json:"owner,omitempty"`
	// Token is the epoch of the map that first had this assignment.
	Token medlarwheel.FencingToken `json:"token,omitempty"`
}

// ShardMap is the row that assigns the shards of a data centre to instances.
type ShardMap struct {
	DataCentre medlarwheel.DataCentreID `json:"data-centre"`
	Epoch      medlarwheel.Epoch        `json:"epoch"`
	// Members lists the live members at the last change, ordered by instance.
	Members []Member     `json:"members,omitempty"`
	Workers []Assignment `json:"workers"`
	Jobs    []Assignment `json:"jobs"`
}

// NewShardMap returns the map of a data centre before its first assignment.
func NewShardMap(dc medlarwheel.DataCentreID) ShardMap {
	return ShardMap{DataCentre: dc, Workers: make([]Assignment, ShardCount), Jobs: make([]Assignment, ShardCount)}
}

// DecodeShardMap decodes the row of a shard map.
func DecodeShardMap(row medlarwheel.Row) (ShardMap, error) {
	var m ShardMap
	if err := decodeRow(row, &m); err != nil {
		return ShardMap{}, err
	}
	return m, nil
}

// Write returns the compare-and-set write that replaces the row version from which m was planned.
func (m *ShardMap) Write(expectedVersion medlarwheel.RowVersion) (medlarwheel.Write, error) {
	value, err := encodeRow(m)
	return medlarwheel.Write{Key: ShardMapKey(m.DataCentre), ExpectedVersion: expectedVersion, Value: value}, err
}

// Assignment returns the assignment of a shard.
func (m *ShardMap) Assignment(kind ShardKind, index ShardIndex) Assignment {
	list := m.assignments(kind)
	if int(index) < 0 || int(index) >= len(list) {
		return Assignment{}
	}
	return list[index]
}

// IsMember reports whether m lists the member with the same incarnation.
func (m *ShardMap) IsMember(member Member) bool { return slices.Contains(m.Members, member) }

// Check reports every invalid value of m.
func (m *ShardMap) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("data-centre", string(m.DataCentre))
	for _, kind := range shardKinds() {
		list := m.assignments(kind)
		if len(list) != ShardCount {
			faults = faults.Add(string(kind), len(list), fmt.Sprintf("%d shards", ShardCount))
		}
		for i, a := range list {
			if a.Token > medlarwheel.FencingToken(m.Epoch) {
				faults = faults.Add(fmt.Sprintf("%s[%d].token", kind, i), a.Token, "at most the epoch")
			}
		}
	}
	return faults
}

func (m *ShardMap) assignments(kind ShardKind) []Assignment {
	if kind == ShardKindWorker {
		return m.Workers
	}
	return m.Jobs
}

func (m *ShardMap) clone() ShardMap {
	next := *m
	next.Members = slices.Clone(m.Members)
	next.Workers = slices.Clone(m.Workers)
	next.Jobs = slices.Clone(m.Jobs)
	return next
}

func shardKinds() []ShardKind { return []ShardKind{ShardKindWorker, ShardKindJob} }
