package medlarfleet

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform"
)

// workerPrefix starts the keys of the rows of workers.
const workerPrefix = "worker/"

// manyShards is the number of shards from which one read of all jobs of the data centre replaces a read of each shard.
const manyShards = 8

// follower reads changed rows. Jobs are read before workers, so that a request to evict is known before the room that
// the eviction makes.
type follower struct {
	f *Fleet
	// jobs, workers and agents are the versions up to which rows have been read.
	jobs, workers, agents medlarwheel.RowVersion
	// followsJobs is set by the first complete read of a shard. Before it there are no jobs to follow.
	followsJobs bool
	agentsDue   time.Time
	failing     bool
}

func newFollower(f *Fleet) *follower { return &follower{f: f} }

func (w *follower) run(ctx context.Context) {
	ticker := time.NewTicker(w.f.config.PollEvery)
	defer ticker.Stop()
	for {
		more, err := w.poll(ctx)
		if err != nil && ctx.Err() == nil && !w.failing {
			w.f.ports.Log.Warn().Str("event", "follow").Err(err).Send()
		}
		w.failing = err != nil
		if more && err == nil {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// poll reads at most one page of each kind of row. It reports whether further rows are there already.
func (w *follower) poll(ctx context.Context) (bool, error) {
	more := false
	if now := w.f.ports.Clock.Now(); !now.Before(w.agentsDue) {
		again, err := w.page(ctx, medlaragentapi.AnnouncementPrefix, &w.agents)
		if err != nil {
			return false, err
		}
		more = more || again
		if !again {
			w.agentsDue = now.Add(w.f.config.AnnouncementsEvery)
		}
	}
	if err := w.loadShards(ctx); err != nil {
		return false, err
	}
	if w.followsJobs {
		again, err := w.page(ctx, jobsPrefix(w.f.config.Instance.DataCentre), &w.jobs)
		if err != nil {
			return false, err
		}
		more = more || again
	}
	again, err := w.page(ctx, workerPrefix, &w.workers)
	return more || again, err
}

// page reads one page of changes and moves the cursor behind it.
func (w *follower) page(ctx context.Context, prefix string, cursor *medlarwheel.RowVersion) (bool, error) {
	page, err := w.f.ports.Table.Changes(ctx, prefix, *cursor, medlarplatform.MaxPageRows)
	if err != nil {
		return false, medlarwheel.WithOperation("read changes of "+prefix, "", err)
	}
	*cursor = page.Next
	if len(page.Rows) > 0 {
		w.f.post(ctx, func(s *state) { s.applyRows(page.Rows) })
	}
	return page.More, nil
}

// loadShards reads the jobs of shards that the instance has acquired.
func (w *follower) loadShards(ctx context.Context) error {
	shards, _ := ask(ctx, w.f, (*state).unloaded)
	if len(shards) == 0 {
		return nil
	}
	prefixes := []string{jobsPrefix(w.f.config.Instance.DataCentre)}
	if len(shards) < manyShards {
		prefixes = prefixes[:0]
		for _, owned := range shards {
			prefixes = append(prefixes, medlarlease.JobPrefix(owned.Shard))
		}
	}
	for _, prefix := range prefixes {
		if err := w.loadAll(ctx, prefix); err != nil {
			return err
		}
	}
	w.f.post(ctx, func(s *state) { s.loaded(shards) })
	return nil
}

func (w *follower) loadAll(ctx context.Context, prefix string) error {
	var cursor medlarwheel.RowVersion
	for {
		more, err := w.page(ctx, prefix, &cursor)
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	if !w.followsJobs {
		w.followsJobs, w.jobs = true, cursor
	}
	return nil
}

// jobsPrefix starts the keys of the rows of all jobs of a data centre.
func jobsPrefix(dc medlarwheel.DataCentreID) string { return "job/" + string(dc) + "." }
