package medlarscheduler

import (
	"time"

	"medlarwheel/medlarlease"
)

// refreshShards updates the held shards from the shard map. A shard is held as long as the instance may renew its task
// leases, which is longer than it may act on the shard. So the jobs are kept during an outage of the table.
func (s *state) refreshShards(now time.Time) {
	for index := range medlarlease.ShardIndex(medlarlease.ShardCount) {
		shard := medlarlease.ShardID{
			DataCentre: s.scheduler.config.Instance.DataCentre, Kind: medlarlease.ShardKindJob, Index: index,
		}
		owned, ok := s.ownership.MayRenew(shard, now)
		held := s.shards[shard]
		if held != nil && (!ok || held.token != owned.Token) {
			s.removeShard(shard)
			held = nil
		}
		if held == nil && ok {
			s.shards[shard] = &heldShard{token: owned.Token}
		}
		s.refreshShardLeases(shard, now)
	}
}

// refreshShardLeases refreshes the task leases of a shard on which the instance may act. Leases that earlier owners have
// granted begin to expire only once those owners have stopped.
func (s *state) refreshShardLeases(shard medlarlease.ShardID, now time.Time) {
	if owned, ok := s.ownership.MayAct(shard, now); ok {
		s.taskLeases.RefreshShard(owned, s.instanceLeases, now)
	}
}

// removeShard removes a shard that the instance no longer holds, with its jobs and task leases.
func (s *state) removeShard(shard medlarlease.ShardID) {
	delete(s.shards, shard)
	s.taskLeases.RemoveShard(shard)
	for id, job := range s.jobs {
		if job.shard == shard {
			s.removeJob(id)
		}
	}
}

// shardsToLoad lists the shards whose jobs have not been read since they were acquired.
func (s *state) shardsToLoad() []medlarlease.OwnedShard {
	now := s.scheduler.deps.Clock.Now()
	var list []medlarlease.OwnedShard
	for shard, held := range s.shards {
		if owned, ok := s.ownership.MayAct(shard, now); ok && !held.loaded && owned.Token == held.token {
			list = append(list, owned)
		}
	}
	return list
}

// markLoaded records that all jobs of the shards have been read since the shards were acquired.
func (s *state) markLoaded(shards []medlarlease.OwnedShard) {
	for _, owned := range shards {
		if held := s.shards[owned.Shard]; held != nil && held.token == owned.Token {
			held.loaded = true
		}
	}
	s.nextPlacement = time.Time{}
}
