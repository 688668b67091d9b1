package medlarlease

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"medlarwheel"
)

// ShardCount is the number of shards of each kind in a data centre. With the 9 instances of a data centre each has 7, so
// that a dead member's share spreads over all others.
const ShardCount = 64

// ShardKind is what a shard owns.
type ShardKind string

// The kinds of shard.
const (
	ShardKindWorker ShardKind = "worker"
	ShardKindJob    ShardKind = "job"
)

// ShardIndex numbers the shards of one kind in a data centre from 0.
type ShardIndex int

// String formats i with two digits, as in keys.
func (i ShardIndex) String() string { return fmt.Sprintf("%02d", int(i)) }

// ShardID names a shard.
type ShardID struct {
	DataCentre medlarwheel.DataCentreID `json:"data-centre"`
	Kind       ShardKind                `json:"kind"`
	Index      ShardIndex               `json:"index"`
}

// ShardOf returns the shard that owns the id.
func ShardOf(id string) ShardIndex { return ShardIndex(xxhash.Sum64String(id) % ShardCount) }

// JobShardDigits is the number of digits of the shard at the start of a job id.
const JobShardDigits = 2

// NewJobID returns the id of the job that an account submits under a name. All jobs of a team have the shard of the
// team, so that one owner admits against the team's quota. The id starts with the shard, so that the key of the job's
// row follows from the id alone.
func NewJobID(dc medlarwheel.DataCentreID, team string, account medlarwheel.AccountID, name string) medlarwheel.JobID {
	sum := xxhash.Sum64String(string(dc) + "/" + team + "/" + string(account) + "/" + name)
	return medlarwheel.JobID(fmt.Sprintf("%s-%016x", ShardOf(team), sum))
}

// ShardOfJob returns the shard that a job id names.
func ShardOfJob(dc medlarwheel.DataCentreID, id medlarwheel.JobID) (ShardID, error) {
	if len(id) > JobShardDigits && id[JobShardDigits] == '-' {
		index, err := strconv.ParseUint(string(id[:JobShardDigits]), 10, 8)
		if err == nil && index < ShardCount {
			return ShardID{DataCentre: dc, Kind: ShardKindJob, Index: ShardIndex(index)}, nil
		}
	}
	return ShardID{}, medlarwheel.WithOperation("shard of job "+string(id), "", medlarwheel.ErrNotFound)
}

// JobPrefix returns the start of the keys of all jobs of a shard.
func JobPrefix(shard ShardID) string {
	return fmt.Sprintf("job/%s.%s/", shard.DataCentre, shard.Index)
}

// JobKey returns the key of a job's row.
func JobKey(dc medlarwheel.DataCentreID, id medlarwheel.JobID) (string, error) {
	shard, err := ShardOfJob(dc, id)
	if err != nil {
		return "", err
	}
	return JobPrefix(shard) + string(id), nil
}

// ShardOfWorker returns the shard that owns a worker.
func ShardOfWorker(dc medlarwheel.DataCentreID, id medlarwheel.WorkerID) ShardID {
	return ShardID{DataCentre: dc, Kind: ShardKindWorker, Index: ShardOf(string(id))}
}
