package medlarscheduler

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

// fullReadThreshold is the number of shards from which one read of all jobs of the data centre replaces a read of each shard.
const fullReadThreshold = 8

// follower reads changed rows. Jobs are read before workers, so that a request to evict is known before the room that
// the eviction makes.
type follower struct {
	scheduler *Scheduler
	// jobs, workers and agents are the versions up to which rows have been read.
	jobs, workers, announcements medlarwheel.RowVersion
	// followsJobs is set by the first complete read of a shard. Before it there are no jobs to follow.
	followsJobs       bool
	nextAnnouncements time.Time
	failing           bool
}

func newFollower(f *Scheduler) *follower { return &follower{scheduler: f} }

func (w *follower) run(ctx context.Context) {
	ticker := time.NewTicker(w.scheduler.config.PollInterval)
	defer ticker.Stop()
	for {
		more, err := w.poll(ctx)
		if err != nil && ctx.Err() == nil && !w.failing {
			w.scheduler.deps.Log.Warn().Str("event", "follow").Err(err).Send()
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
	if now := w.scheduler.deps.Clock.Now(); !now.Before(w.nextAnnouncements) {
		again, err := w.readPage(ctx, medlaragentapi.AnnouncementPrefix, &w.announcements)
		if err != nil {
			return false, err
		}
		more = more || again
		if !again {
			w.nextAnnouncements = now.Add(w.scheduler.config.AnnouncementInterval)
		}
	}
	if err := w.loadShards(ctx); err != nil {
		return false, err
	}
	if w.followsJobs {
		again, err := w.readPage(ctx, jobsPrefix(w.scheduler.config.Instance.DataCentre), &w.jobs)
		if err != nil {
			return false, err
		}
		more = more || again
	}
	again, err := w.readPage(ctx, workerPrefix, &w.workers)
	return more || again, err
}

// readPage reads one page of changes and moves the cursor behind it.
func (w *follower) readPage(ctx context.Context, prefix string, cursor *medlarwheel.RowVersion) (bool, error) {
	page, err := w.scheduler.deps.Table.Changes(ctx, prefix, *cursor, medlarplatform.MaxPage)
	if err != nil {
		return false, medlarwheel.WithOperation("read changes of "+prefix, "", err)
	}
	*cursor = page.Next
	if len(page.Rows) > 0 {
		w.scheduler.post(ctx, func(s *state) { s.applyRows(page.Rows) })
	}
	return page.More, nil
}

// loadShards reads the jobs of shards that the instance has acquired.
func (w *follower) loadShards(ctx context.Context) error {
	shards, _ := runOnLoop(ctx, w.scheduler, (*state).shardsToLoad)
	if len(shards) == 0 {
		return nil
	}
	prefixes := []string{jobsPrefix(w.scheduler.config.Instance.DataCentre)}
	if len(shards) < fullReadThreshold {
		prefixes = prefixes[:0]
		for _, owned := range shards {
			prefixes = append(prefixes, medlarlease.JobPrefix(owned.Shard))
		}
	}
	for _, prefix := range prefixes {
		if err := w.loadPrefix(ctx, prefix); err != nil {
			return err
		}
	}
	w.scheduler.post(ctx, func(s *state) { s.markLoaded(shards) })
	return nil
}

func (w *follower) loadPrefix(ctx context.Context, prefix string) error {
	var cursor medlarwheel.RowVersion
	for {
		more, err := w.readPage(ctx, prefix, &cursor)
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
