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
	// maxDeferredRounds is the number of rounds for which an instance waits for the first live instance to write a change of
	// the shard map that is due. All instances see the same change at the same time, and all but one of their writes would
	// conflict.
	maxDeferredRounds = 2
)

// ownershipLoop renews the instance's lease and maintains the shard map. It runs on a goroutine of its own.
type ownershipLoop struct {
	scheduler *Scheduler
	// leaseRows holds the lease rows of all instances, read up to cursor.
	leaseRows map[string]medlarwheel.Row
	cursor    medlarwheel.RowVersion
	// deferredRounds counts the rounds for which a change of the map that is due was left to another instance.
	deferredRounds int
	// versionKnown is set once the version of the instance's lease row has been read.
	versionKnown bool
	// left is set once the instance has announced that it is leaving.
	left bool
}

func newOwnershipLoop(sc *Scheduler) *ownershipLoop {
	return &ownershipLoop{scheduler: sc, leaseRows: make(map[string]medlarwheel.Row)}
}

// run works until ctx ends or the instance has left. It returns an error only if a later process of the instance has taken
// over its lease.
func (o *ownershipLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(o.scheduler.config.Lease.RenewInterval)
	defer ticker.Stop()
	for {
		err := o.round(ctx)
		if errors.Is(err, medlarwheel.ErrStale) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			o.scheduler.deps.Log.Warn().Str("event", "ownership").Err(err).
				Msg("cannot renew the instance lease or maintain the shard map; retrying in the next round")
		}
		if o.left {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-o.scheduler.renewNow:
		}
	}
}

func (o *ownershipLoop) round(ctx context.Context) error {
	if err := o.renewLease(ctx); err != nil || o.left {
		return err
	}
	if err := o.readLeases(ctx); err != nil {
		return err
	}
	return o.maintainShardMap(ctx)
}

// renewLease renews the instance's lease in one write. After a lost response or a conflict it reads the row back.
func (o *ownershipLoop) renewLease(ctx context.Context) error {
	if !o.versionKnown {
		row, err := o.rowOrEmpty(ctx, medlarlease.InstanceKey(o.scheduler.config.Instance.DataCentre, o.scheduler.config.Instance.ID))
		if err != nil {
			return err
		}
		if !o.callControl(ctx, func(s *state) { s.ownership.SetRowVersion(row.Version) }) {
			return ctx.Err()
		}
		o.versionKnown = true
	}
	type renewal struct {
		write   medlarwheel.Write
		err     error
		leaving chan struct{}
	}
	r, ok := callControl(ctx, o.scheduler, func(s *state) renewal {
		write, err := s.ownership.Renewal()
		return renewal{write: write, err: err, leaving: s.leaving}
	})
	if !ok || r.err != nil {
		return errors.Wrapf(r.err, "renew lease of instance %s", o.scheduler.config.Instance.ID)
	}
	sent := o.scheduler.deps.Clock.Now()
	commit, err := o.scheduler.deps.Table.Transact(ctx, o.scheduler.deps.OperationIDs.Next(), []medlarwheel.Write{r.write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) || err != nil && medlarplatform.MayHaveApplied(err) {
		return o.resolveRenewal(ctx, r.write.Key, sent)
	}
	if err != nil {
		return medlarwheel.WithOperation("renew lease "+r.write.Key, "", err)
	}
	o.callControl(ctx, func(s *state) {
		s.ownership.RecordRenewal(sent, commit.Version)
		s.left = s.left || r.leaving != nil
	})
	if r.leaving != nil {
		o.left = true
		defer close(r.leaving)
		return o.removeLease(ctx, medlarwheel.Write{Key: r.write.Key, ExpectedVersion: commit.Version, Delete: true})
	}
	return nil
}

// removeLease deletes the lease row of an instance that has stopped acting. As long as the row exists, the next owners have
// to wait for the outage renewal limit before they know that this instance renews no more task leases.
func (o *ownershipLoop) removeLease(ctx context.Context, write medlarwheel.Write) error {
	_, err := o.scheduler.deps.Table.Transact(ctx, o.scheduler.deps.OperationIDs.Next(), []medlarwheel.Write{write})
	return medlarwheel.WithOperation("remove lease "+write.Key, "", err)
}

func (o *ownershipLoop) resolveRenewal(ctx context.Context, key string, sent time.Time) error {
	row, err := o.rowOrEmpty(ctx, key)
	if err != nil {
		return err
	}
	result, ok := callControl(ctx, o.scheduler, func(s *state) error {
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

// readLeases reads the leases of the instances of the data centre.
func (o *ownershipLoop) readLeases(ctx context.Context) error {
	sent := o.scheduler.deps.Clock.Now()
	changes, next, err := medlarplatform.AllChanges(ctx, o.scheduler.deps.Table, medlarlease.InstancePrefix(o.scheduler.config.Instance.DataCentre), o.cursor)
	if err != nil {
		return medlarwheel.WithOperation("read instance leases of "+string(o.scheduler.config.Instance.DataCentre), "", err)
	}
	o.cursor = next
	for _, row := range changes {
		if row.Deleted {
			delete(o.leaseRows, row.Key)
		} else {
			o.leaseRows[row.Key] = row
		}
	}
	done := o.scheduler.deps.Clock.Now()
	var rows []medlarwheel.Row
	for _, row := range o.leaseRows {
		lease, err := medlarlease.DecodeInstanceLease(row)
		if err != nil {
			o.scheduler.deps.Log.Warn().Str("event", "lease-row").Str("key", row.Key).Err(err).
				Msg("cannot decode the lease row of an instance; ignoring it")
			continue
		}
		if lease.Instance.DataCentre == o.scheduler.config.Instance.DataCentre {
			rows = append(rows, row)
		}
	}
	err, _ = callControl(ctx, o.scheduler, func(s *state) error { return s.instanceLeases.Observe(rows, sent, done) })
	return err
}

// maintainShardMap reads the shard map and commits the next version when a change is due.
func (o *ownershipLoop) maintainShardMap(ctx context.Context) error {
	sent := o.scheduler.deps.Clock.Now()
	dc := o.scheduler.config.Instance.DataCentre
	row, err := o.rowOrEmpty(ctx, medlarlease.ShardMapKey(dc))
	if err != nil {
		return err
	}
	current := medlarlease.NewShardMap(dc)
	if row.Version > 0 {
		if current, err = medlarlease.DecodeShardMap(row); err != nil {
			return err
		}
		o.recordShardMap(ctx, current, sent)
	}
	live, _ := callControl(ctx, o.scheduler, func(s *state) []medlarlease.Member { return s.instanceLeases.Live() })
	next, changed := o.scheduler.config.Lease.PlanShards(current, live)
	if !changed {
		o.deferredRounds = 0
		return nil
	}
	if live[0].Instance != o.scheduler.config.Instance.ID && o.deferredRounds < maxDeferredRounds {
		o.deferredRounds++
		return nil
	}
	o.deferredRounds = 0
	write, err := next.Write(row.Version)
	if err != nil {
		return err
	}
	sent = o.scheduler.deps.Clock.Now()
	_, err = o.scheduler.deps.Table.Transact(ctx, o.scheduler.deps.OperationIDs.Next(), []medlarwheel.Write{write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		// Another instance has committed a version first. The next round reads it.
		return nil
	}
	if err != nil {
		return medlarwheel.WithOperation("commit shard map "+write.Key, "", err)
	}
	o.scheduler.deps.Log.Info().Str("event", "shard-map").Uint64("epoch", uint64(next.Epoch)).Int("members", len(next.Members)).Send()
	o.recordShardMap(ctx, next, sent)
	return nil
}

func (o *ownershipLoop) recordShardMap(ctx context.Context, m medlarlease.ShardMap, sent time.Time) {
	o.callControl(ctx, func(s *state) {
		s.ownership.RecordShardMap(m, sent)
		s.refreshShards(o.scheduler.deps.Clock.Now())
	})
}

func (o *ownershipLoop) rowOrEmpty(ctx context.Context, key string) (medlarwheel.Row, error) {
	row, err := medlarplatform.RowOrEmpty(ctx, o.scheduler.deps.Table, key)
	return row, medlarwheel.WithOperation("read "+key, "", err)
}

// callControl runs a function on the control loop and waits until it returns. It reports false if ctx or the loop ends
// first.
func (o *ownershipLoop) callControl(ctx context.Context, work controlFunc) bool {
	_, ok := callControl(ctx, o.scheduler, func(s *state) struct{} { work(s); return struct{}{} })
	return ok
}
