package medlarfleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform"
)

const (
	// patience is the number of rounds that an instance other than the first live one leaves a due change of the shard
	// map to that one. All instances find the same change at the same time, and all but one of the writes would conflict.
	patience = 2
)

// keeper renews the instance's lease and keeps the shard map. It runs on a goroutine of its own.
type keeper struct {
	f *Fleet
	// entries holds the lease rows of all instances, read up to cursor.
	entries map[string]medlarwheel.Row
	cursor  medlarwheel.RowVersion
	// waited counts the rounds in which a change of the map was left to another instance.
	waited  int
	adopted bool
	// left is set once the instance has announced that it leaves.
	left bool
}

func newKeeper(f *Fleet) *keeper { return &keeper{f: f, entries: make(map[string]medlarwheel.Row)} }

// run returns an error only when a later process of the instance has taken over.
func (k *keeper) run(ctx context.Context) error {
	ticker := time.NewTicker(k.f.config.Lease.RenewInterval)
	defer ticker.Stop()
	for {
		err := k.round(ctx)
		if errors.Is(err, medlarwheel.ErrStale) {
			return err
		}
		if err != nil && ctx.Err() == nil {
			k.f.ports.Log.Warn().Str("event", "ownership").Err(err).Send()
		}
		if k.left {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-k.f.renewNow:
		}
	}
}

func (k *keeper) round(ctx context.Context) error {
	if err := k.renew(ctx); err != nil || k.left {
		return err
	}
	if err := k.observe(ctx); err != nil {
		return err
	}
	return k.maintainMap(ctx)
}

// renew renews the instance's lease in one write. A lost answer or a conflict is resolved by reading the row back.
func (k *keeper) renew(ctx context.Context) error {
	if !k.adopted {
		row, err := k.rowOrEmpty(ctx, medlarlease.InstanceKey(k.f.config.Instance.DataCentre, k.f.config.Instance.ID))
		if err != nil {
			return err
		}
		if !k.do(ctx, func(s *state) { s.own.SetRowVersion(row.Version) }) {
			return ctx.Err()
		}
		k.adopted = true
	}
	type renewal struct {
		write   medlarwheel.Write
		err     error
		leaving chan struct{}
	}
	r, ok := ask(ctx, k.f, func(s *state) renewal {
		write, err := s.own.Renewal()
		return renewal{write: write, err: err, leaving: s.leaving}
	})
	if !ok || r.err != nil {
		return errors.Wrap(r.err, "renew lease")
	}
	sent := k.f.ports.Clock.Now()
	commit, err := k.f.ports.Table.Transact(ctx, k.f.ports.Operations.Next(), []medlarwheel.Write{r.write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) || err != nil && medlarplatform.MayHaveApplied(err) {
		return k.readBack(ctx, r.write.Key, sent)
	}
	if err != nil {
		return medlarwheel.WithOperation("renew lease", "", err)
	}
	k.do(ctx, func(s *state) {
		s.own.RecordRenewal(sent, commit.Version)
		s.left = s.left || r.leaving != nil
	})
	if r.leaving != nil {
		k.left = true
		defer close(r.leaving)
		return k.remove(ctx, medlarwheel.Write{Key: r.write.Key, ExpectedVersion: commit.Version, Delete: true})
	}
	return nil
}

// remove deletes the lease row of an instance that has stopped acting. While the row is there, the next owners can't
// tell before the horizon that this instance renews no more task leases.
func (k *keeper) remove(ctx context.Context, write medlarwheel.Write) error {
	_, err := k.f.ports.Table.Transact(ctx, k.f.ports.Operations.Next(), []medlarwheel.Write{write})
	return medlarwheel.WithOperation("remove lease", "", err)
}

func (k *keeper) readBack(ctx context.Context, key string, sent time.Time) error {
	row, err := k.rowOrEmpty(ctx, key)
	if err != nil {
		return err
	}
	result, ok := ask(ctx, k.f, func(s *state) error {
		if row.Version == 0 {
			s.own.SetRowVersion(0)
			return nil
		}
		return s.own.ResolveRenewal(row, sent)
	})
	if !ok {
		return ctx.Err()
	}
	return result
}

// observe reads the leases of the members of the data centre.
func (k *keeper) observe(ctx context.Context) error {
	sent := k.f.ports.Clock.Now()
	changes, next, err := medlarplatform.AllChanges(ctx, k.f.ports.Table, medlarlease.InstancePrefix(k.f.config.Instance.DataCentre), k.cursor)
	if err != nil {
		return medlarwheel.WithOperation("read leases", "", err)
	}
	k.cursor = next
	for _, row := range changes {
		if row.Deleted {
			delete(k.entries, row.Key)
		} else {
			k.entries[row.Key] = row
		}
	}
	done := k.f.ports.Clock.Now()
	var rows []medlarwheel.Row
	for _, row := range k.entries {
		lease, err := medlarlease.DecodeInstanceLease(row)
		if err != nil {
			k.f.ports.Log.Warn().Str("event", "lease-row").Str("key", row.Key).Err(err).Send()
			continue
		}
		if lease.Instance.DataCentre == k.f.config.Instance.DataCentre {
			rows = append(rows, row)
		}
	}
	err, _ = ask(ctx, k.f, func(s *state) error { return s.watch.Observe(rows, sent, done) })
	return err
}

// maintainMap reads the shard map and commits the next one when it is due.
func (k *keeper) maintainMap(ctx context.Context) error {
	sent := k.f.ports.Clock.Now()
	dc := k.f.config.Instance.DataCentre
	row, err := k.rowOrEmpty(ctx, medlarlease.ShardMapKey(dc))
	if err != nil {
		return err
	}
	current := medlarlease.NewShardMap(dc)
	if row.Version > 0 {
		if current, err = medlarlease.DecodeShardMap(row); err != nil {
			return err
		}
		k.sawMap(ctx, current, sent)
	}
	live, _ := ask(ctx, k.f, func(s *state) []medlarlease.Member { return s.watch.Live() })
	next, changed := k.f.config.Lease.PlanShards(current, live)
	if !changed {
		k.waited = 0
		return nil
	}
	if live[0].Instance != k.f.config.Instance.ID && k.waited < patience {
		k.waited++
		return nil
	}
	k.waited = 0
	write, err := next.Write(row.Version)
	if err != nil {
		return err
	}
	sent = k.f.ports.Clock.Now()
	_, err = k.f.ports.Table.Transact(ctx, k.f.ports.Operations.Next(), []medlarwheel.Write{write})
	var conflict *medlarwheel.ConflictError
	if errors.As(err, &conflict) {
		// Another instance was first. The next round reads its map.
		return nil
	}
	if err != nil {
		return medlarwheel.WithOperation("commit shard map", "", err)
	}
	k.f.ports.Log.Info().Str("event", "shard-map").Uint64("epoch", uint64(next.Epoch)).Int("members", len(next.Members)).Send()
	k.sawMap(ctx, next, sent)
	return nil
}

func (k *keeper) sawMap(ctx context.Context, m medlarlease.ShardMap, sent time.Time) {
	k.do(ctx, func(s *state) {
		s.own.RecordShardMap(m, sent)
		s.refreshShards(k.f.ports.Clock.Now())
	})
}

func (k *keeper) rowOrEmpty(ctx context.Context, key string) (medlarwheel.Row, error) {
	row, err := medlarplatform.RowOrEmpty(ctx, k.f.ports.Table, key)
	return row, medlarwheel.WithOperation("read "+key, "", err)
}

// do runs a function on the control loop and waits for its end.
func (k *keeper) do(ctx context.Context, work event) bool {
	_, ok := ask(ctx, k.f, func(s *state) struct{} { work(s); return struct{}{} })
	return ok
}
