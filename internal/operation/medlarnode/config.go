package medlarnode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// followConfig keeps the operator's configuration up to date. A version never replaces a higher one.
func (n *Node) followConfig(ctx context.Context) error {
	var from medlarwheel.RowVersion
	loaded := false
	for ctx.Err() == nil {
		var rows []medlartable.Row
		var version medlarwheel.RowVersion
		var err error
		if loaded {
			var page medlartable.Page
			page, err = n.store.Follow(medlartable.Follow{Table: platform.ConfigRange().Table, After: from, Wait: n.config.FollowWait})
			rows, version = page.Rows, page.Version
		} else {
			rows, version, err = medlartable.ReadAll(n.store, platform.ConfigRange())
		}
		n.health.Report(err == nil || errors.Is(err, medlartable.ErrHistoryGone))
		if err != nil {
			loaded = loaded && !errors.Is(err, medlartable.ErrHistoryGone)
			n.log.Warn().Str("event", "config-read-failed").Err(err).Msg("")
			sleep(ctx, n.config.FollowRetry)
			continue
		}
		loaded, from = true, max(from, version)
		for _, r := range rows {
			if platform.IsConfig(r) && !r.Deleted {
				n.applyConfig(r)
			}
		}
	}
	return ctx.Err()
}

func (n *Node) applyConfig(r medlartable.Row) {
	table, err := platform.DecodeConfig(r.Value)
	if err != nil {
		n.log.Error().Str("event", "config-refused").Uint64("row-version", uint64(r.Version)).Err(err).Msg("")
		return
	}
	present := n.routes.Load()
	if present != nil && present.Version >= table.Version {
		return
	}
	n.routes.Store(table)
	n.meter.Gauge("config.version", int64(table.Version))
	n.log.Info().Str("event", "config-in-force").Uint64("version", uint64(table.Version)).Int("routes", len(table.Routes)).Msg("")
}

// sleep waits and reports whether the context is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
