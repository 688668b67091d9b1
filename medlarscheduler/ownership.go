package medlarscheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform"
)

const (
	// maxDeferredRounds is the number of rounds that an instance other than the first live one leaves a due change of the shard
	// map to that one. All instances find the same change at the same time, and all but one of the writes would conflict.
	maxDeferredRounds = 2
)

// ownershipLoop renews the instance's lease and keeps the shard map. It runs on a goroutine of its own.
type ownershipLoop struct {
	scheduler *Scheduler
	// leaseRows holds the lease rows of all instances, read up to cursor.
	leaseRows map[string]medlarwheel.Row
	cursor    medlarwheel.RowVersion
	// deferredRounds counts the rounds in which a change of the map was left to another instance.
	deferredRounds int
	versionKnown   bool
	// left is set once the instance has announced that it leaves.
	left bool
}

func newOwnershipLoop(f *Scheduler) *ownershipLoop {
	return &ownershipLoop{scheduler: f, leaseRows: make(map[string]medlarwheel.Row)}
}

// run returns an error only when a later process of the instance has taken over.
func (k *ownershipLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(k.scheduler.config.Lease.RenewInterval)
	defer ticker.Stop()
	for {
		err := k.round(ctx)
		if errors.Is(err, medlarwheel.ErrStale) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			k.scheduler.deps.Log.Warn().Str("event", "ownership").Err(err).Send()
		}
		if k.left {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.scheduler.renewNow:
		}
	}
}

func (k *ownershipLoop) round(ctx context.Context) error {
	if err := k.renewLease(ctx); err != nil || k.left {
		return err
	}
	if err := k.readLeases(ctx); err != nil {
		return err
	}
	return k.maintainShardMap(ctx)
}

// renewLease renews the instance's lease in one write. A lost answer or a conflict is resolved by reading the row back.
func (k *ownershipLoop) renewLease(ctx context.Context) error {
	if !k.versionKnown {
		row, err := k.rowOrEmpty(ctx, medlarlease.InstanceKey(k.scheduler.config.Instance.DataCentre, k.scheduler.config.Instance.ID))
		if err != nil {
			return err
		}
		if !k.runOnLoop(ctx, func(s *state) { s.ownership.SetRowVersion(row.Version) }) {
			return ctx.Err()
		}
		k.versionKnown = true
	}
	type renewal struct {
		write   medlarwheel.Write
		err     error
		leaving chan struct{}
	}
	r, ok := runOnLoop(ctx, k.scheduler, func(s *state) renewal {
		write, err := s.ownership.Renewal()
		return renewal{write: write, err: err, leaving: s.leaving}
	})
	if !ok || r.err != nil {
		return errors.Wrap(r.err, "renew lease")
	}
	sent := k.scheduler.deps.Clock.Now()
	commit, err := k.scheduler.deps.Table.Transact(ctx, k.scheduler.deps.Operations.Next(), []medlarwheel.Write{r.write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) || err != nil && medlarplatform.MayHaveApplied(err) {
		return k.resolveRenewal(ctx, r.write.Key, sent)
	}
	if err != nil {
		return medlarwheel.WithOperation("renew lease", "", err)
	}
	k.runOnLoop(ctx, func(s *state) {
		s.ownership.RecordRenewal(sent, commit.Version)
		s.left = s.left || r.leaving != nil
	})
	if r.leaving != nil {
		k.left = true
		defer close(r.leaving)
		return k.removeLease(ctx, medlarwheel.Write{Key: r.write.Key, ExpectedVersion: commit.Version, Delete: true})
	}
	return nil
}

// removeLease deletes the lease row of an instance that has stopped acting. While the row is there, the next owners can't
// tell before the horizon that this instance renews no more task leases.
func (k *ownershipLoop) removeLease(ctx context.Context, write medlarwheel.Write) error {
	_, err := k.scheduler.deps.Table.Transact(ctx, k.scheduler.deps.Operations.Next(), []medlarwheel.Write{write})
	return medlarwheel.WithOperation("remove lease", "", err)
}

func (k *ownershipLoop) resolveRenewal(ctx context.Context, key string, sent time.Time) error {
	row, err := k.rowOrEmpty(ctx, key)
	if err != nil {
		return err
	}
	result, ok := runOnLoop(ctx, k.scheduler, func(s *state) error {
		if row.Version == 0 {
			s.ownership.SetRowVersion(0)
			return nil
		}
		return s.ownership.ResolveRenewal(row, sent)
	})
	if !ok {
		return ctx.Err()
	}
	return result
}

// readLeases reads the leases of the members of the data centre.
func (k *ownershipLoop) readLeases(ctx context.Context) error {
	sent := k.scheduler.deps.Clock.Now()
	changes, next, err := medlarplatform.AllChanges(ctx, k.scheduler.deps.Table, medlarlease.InstancePrefix(k.scheduler.config.Instance.DataCentre), k.cursor)
	if err != nil {
		return medlarwheel.WithOperation("read leases", "", err)
	}
	k.cursor = next
	for _, row := range changes {
		if row.Deleted {
			delete(k.leaseRows, row.Key)
		} else {
			k.leaseRows[row.Key] = row
		}
	}
	done := k.scheduler.deps.Clock.Now()
	var rows []medlarwheel.Row
	for _, row := range k.leaseRows {
		lease, err := medlarlease.DecodeInstanceLease(row)
		if err != nil {
			k.scheduler.deps.Log.Warn().Str("event", "lease-row").Str("key", row.Key).Err(err).Send()
			continue
		}
		if lease.Instance.DataCentre == k.scheduler.config.Instance.DataCentre {
			rows = append(rows, row)
		}
	}
	err, _ = runOnLoop(ctx, k.scheduler, func(s *state) error { return s.instanceLeases.Observe(rows, sent, done) })
	return err
}

// maintainShardMap reads the shard map and commits the next one when it is due.
func (k *ownershipLoop) maintainShardMap(ctx context.Context) error {
	sent := k.scheduler.deps.Clock.Now()
	dc := k.scheduler.config.Instance.DataCentre
	row, err := k.rowOrEmpty(ctx, medlarlease.ShardMapKey(dc))
	if err != nil {
		return err
	}
	current := medlarlease.NewShardMap(dc)
	if row.Version > 0 {
		if current, err = medlarlease.DecodeShardMap(row); err != nil {
			return err
		}
		k.recordShardMap(ctx, current, sent)
	}
	live, _ := runOnLoop(ctx, k.scheduler, func(s *state) []medlarlease.Member { return s.instanceLeases.Live() })
	next, changed := k.scheduler.config.Lease.PlanShards(current, live)
	if !changed {
		k.deferredRounds = 0
		return nil
	}
	if live[0].Instance != k.scheduler.config.Instance.ID && k.deferredRounds < maxDeferredRounds {
		k.deferredRounds++
		return nil
	}
	k.deferredRounds = 0
	write, err := next.Write(row.Version)
	if err != nil {
		return err
	}
	sent = k.scheduler.deps.Clock.Now()
	_, err = k.scheduler.deps.Table.Transact(ctx, k.scheduler.deps.Operations.Next(), []medlarwheel.Write{write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		// Another instance was first. The next round reads its map.
		return nil
	}
	if err != nil {
		return medlarwheel.WithOperation("commit shard map", "", err)
	}
	k.scheduler.deps.Log.Info().Str("event", "shard-map").Uint64("epoch", uint64(next.Epoch)).Int("members", len(next.Members)).Send()
	k.recordShardMap(ctx, next, sent)
	return nil
}

func (k *ownershipLoop) recordShardMap(ctx context.Context, m medlarlease.ShardMap, sent time.Time) {
	k.runOnLoop(ctx, func(s *state) {
		s.ownership.RecordShardMap(m, sent)
		s.refreshShards(k.scheduler.deps.Clock.Now())
	})
}

func (k *ownershipLoop) rowOrEmpty(ctx context.Context, key string) (medlarwheel.Row, error) {
	row, err := medlarplatform.RowOrEmpty(ctx, k.scheduler.deps.Table, key)
	return row, medlarwheel.WithOperation("read "+key, "", err)
}

// runOnLoop runs a function on the control loop and waits for its end.
func (k *ownershipLoop) runOnLoop(ctx context.Context, work event) bool {
	_, ok := runOnLoop(ctx, k.scheduler, func(s *state) struct{} { work(s); return struct{}{} })
	return ok
}
