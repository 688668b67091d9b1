package medlarscheduler

import (
	"context"
	"time"

	"medlarwheel"
	"medlarwheel/medlaragentapi"
	"medlarwheel/medlarlease"
	"medlarwheel/medlarplatform"
)

// workerPrefix is the prefix of the keys of workers' rows.
const workerPrefix = "worker/"

// fullReadThreshold is the number of newly acquired shards from which all jobs of the data centre are read together
// instead of shard by shard.
const fullReadThreshold = 8

// follower polls the table for changed rows. It reads jobs before workers, so that an eviction request is known before the
// capacity that the eviction frees.
type follower struct {
	scheduler *Scheduler
	// jobs, workers and announcements are the versions up to which rows have been read.
	jobs, workers, announcements medlarwheel.RowVersion
	// jobsLoaded is set by the first complete read of a shard. Before that there are no jobs to follow.
	jobsLoaded        bool
	nextAnnouncements time.Time
	// lastPollFailed is set while polls fail. Only the first failure is logged.
	lastPollFailed bool
}

func newFollower(sc *Scheduler) *follower { return &follower{scheduler: sc} }

func (f *follower) run(ctx context.Context) {
	ticker := time.NewTicker(f.scheduler.config.PollInterval)
	defer ticker.Stop()
	for {
		more, err := f.poll(ctx)
		if err != nil && ctx.Err() == nil && !f.lastPollFailed {
			f.scheduler.deps.Log.Warn().Str("event", "follow").Err(err).
				Msg("cannot read changed rows; retrying at every poll, without further warnings until a poll succeeds")
		}
		f.lastPollFailed = err != nil
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

// poll reads at most one page of each kind of row. It reports whether more rows are available.
func (f *follower) poll(ctx context.Context) (bool, error) {
	more := false
	if now := f.scheduler.deps.Clock.Now(); !now.Before(f.nextAnnouncements) {
		again, err := f.readPage(ctx, medlaragentapi.AnnouncementPrefix, &f.announcements)
		if err != nil {
			return false, err
		}
		more = more || again
		if !again {
			f.nextAnnouncements = now.Add(f.scheduler.config.AnnouncementInterval)
		}
	}
	if err := f.loadShards(ctx); err != nil {
		return false, err
	}
	if f.jobsLoaded {
		again, err := f.readPage(ctx, jobsPrefix(f.scheduler.config.Instance.DataCentre), &f.jobs)
		if err != nil {
			return false, err
		}
		more = more || again
	}
	again, err := f.readPage(ctx, workerPrefix, &f.workers)
	return more || again, err
}

// readPage reads one page of changes and advances the cursor past it.
func (f *follower) readPage(ctx context.Context, prefix string, cursor *medlarwheel.RowVersion) (bool, error) {
	page, err := f.scheduler.deps.Table.Changes(ctx, prefix, *cursor, medlarplatform.MaxPageRows)
	if err != nil {
		return false, medlarwheel.WithOperation("read changes of "+prefix, "", err)
	}
	*cursor = page.Next
	if len(page.Rows) > 0 {
		f.scheduler.postToControl(ctx, func(s *state) { s.applyRows(page.Rows) })
	}
	return page.More, nil
}

// loadShards reads the jobs of shards that the instance has acquired.
func (f *follower) loadShards(ctx context.Context) error {
	shards, _ := callControl(ctx, f.scheduler, (*state).shardsToLoad)
	if len(shards) == 0 {
		return nil
	}
	prefixes := []string{jobsPrefix(f.scheduler.config.Instance.DataCentre)}
	if len(shards) < fullReadThreshold {
		prefixes = prefixes[:0]
		for _, owned := range shards {
			prefixes = append(prefixes, medlarlease.JobPrefix(owned.Shard))
		}
	}
	for _, prefix := range prefixes {
		if err := f.loadPrefix(ctx, prefix); err != nil {
			return err
		}
	}
	f.scheduler.postToControl(ctx, func(s *state) { s.markLoaded(shards) })
	return nil
}

// loadPrefix reads all rows below a prefix.
func (f *follower) loadPrefix(ctx context.Context, prefix string) error {
	var cursor medlarwheel.RowVersion
	for {
		more, err := f.readPage(ctx, prefix, &cursor)
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	if !f.jobsLoaded {
		f.jobsLoaded, f.jobs = true, cursor
	}
	return nil
}

// jobsPrefix returns the prefix of the keys of all jobs' rows of a data centre.
func jobsPrefix(dc medlarwheel.DataCentreID) string { return "job/" + string(dc) + "." }
