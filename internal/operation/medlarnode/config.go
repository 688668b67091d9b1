package medlarnode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// followConfig watches the rows of the operator: the configuration, of which a version never replaces a higher one, and the evacuations
// of data centres.
func (n *Node) followConfig(ctx context.Context) error {
	f := medlartable.Follower{
		Store: n.store, Table: platform.ConfigRange().Table, RetryDelay: n.config.FollowRetryDelay,
		ReadAll: func() ([]medlartable.Row, medlarwheel.RowVersion, error) {
			return medlartable.ReadAll(n.store, platform.ConfigRange())
		},
		Wait: func() time.Duration { return n.config.ConfigLongPollWait },
		OnError: func(err error) {
			n.health.Report(errors.Is(err, medlartable.ErrHistoryTruncated))
			n.log.Warn().Str("event", "config-read-failed").Err(err).
				Msg("cannot read the operator's configuration; keeping the configuration in force and retrying")
		},
	}
	return f.Run(ctx, func(rows []medlartable.Row, whole bool) {
		n.health.Report(true)
		for _, r := range rows {
			if platform.IsConfigRow(r) && !r.Deleted {
				n.applyConfig(r)
			}
		}
		n.applyEvacuations(rows, whole, f.Version())
	})
}

func (n *Node) applyConfig(r medlartable.Row) {
	table, err := platform.DecodeConfig(r.Value)
	if err != nil {
		n.log.Error().Str("event", "config-refused").Uint64("row-version", uint64(r.Version)).Err(err).
			Msg("operator's configuration is invalid; keeping the configuration in force")
		return
	}
	current := n.routes.Load()
	if current != nil && current.Version >= table.Version {
		return
	}
	n.routes.Store(table)
	if owner := n.owner.Load(); owner != nil {
		owner.SetRoutes(table.Version, table.RouteServices())
	}
	n.meter.Gauge("config.version", int64(table.Version))
	n.log.Info().Str("event", "config-in-force").Uint64("version", uint64(table.Version)).Int("routes", len(table.Routes)).Msg("")
}
