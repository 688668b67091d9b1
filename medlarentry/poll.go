package medlarentry

import (
	"context"

	"medlarwheel"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlarplatform"
)

// rosterPrefix is the prefix of the roster rows in the table.
const rosterPrefix = "roster/"

// pollList reads the instance list when it has changed.
func (d *Daemon) pollList(ctx context.Context) {
	after := ask(d, func(c *control) uint64 { return c.listVersion })
	list, changed, err := d.platform.Instances(ctx, after)
	if err != nil {
		d.metrics.count("platform-failure.instances")
		return
	}
	if !changed {
		return
	}
	d.post(func(c *control) { c.applyList(list) })
}

// applyList merges an instance list. It is kept for peers that can't reach the platform.
func (c *control) applyList(list medlarwheel.InstanceList) {
	if list.Version <= c.listVersion {
		return
	}
	now := c.d.clock.Now()
	c.listVersion, c.list = list.Version, list
	c.directory.ApplyList(now, list)
	if err := c.view.ApplyList(now, list); err != nil {
		c.superseded(err)
	}
	c.dirty = true
}

// configPoller reads configuration and roster rows that have changed since its last read.
type configPoller struct {
	d              *Daemon
	config, roster medlarwheel.RowVersion
}

func (p *configPoller) poll(ctx context.Context) {
	p.pollConfig(ctx)
	p.pollRosters(ctx)
}

func (p *configPoller) pollConfig(ctx context.Context) {
	rows, next, err := medlarplatform.AllChanges(ctx, p.d.platform, medlarconfig.RowPrefix, p.config)
	if err != nil {
		p.d.metrics.count("platform-failure.config")
		return
	}
	applied := ask(p.d, func(c *control) bool { return c.applyConfigRows(rows) })
	if applied {
		p.config = next
	}
}

// applyConfigRows merges rows of the table. The rows start where the last read ended, so they leave no gap.
func (c *control) applyConfigRows(rows []medlarwheel.Row) bool {
	delta, err := medlarconfig.DeltaFromRows(c.book.Version(), rows)
	if err != nil {
		c.d.log.Error().Str("event", "config-row-unreadable").AnErr("error", err).Send()
		return false
	}
	delta.After = min(delta.After, c.book.Version())
	return c.applyConfig(delta, "table")
}

func (c *control) applyConfig(delta medlarwheel.ConfigDelta, source string) bool {
	before, wasLoaded := c.book.Version(), c.book.IsLoaded()
	changed, err := c.book.Apply(delta)
	if err != nil {
		c.d.log.Error().Str("event", "config-refused").Str("source", source).AnErr("error", err).Send()
		return false
	}
	if c.book.Version() != before || !wasLoaded {
		c.contracts, c.dirty = contractsOf(c.book), true
		c.d.log.Info().Str("event", "config-applied").Str("source", source).Int("changed", len(changed)).
			Uint64("version", uint64(c.book.Version())).Send()
	}
	return true
}

func (p *configPoller) pollRosters(ctx context.Context) {
	rows, next, err := medlarplatform.AllChanges(ctx, p.d.platform, rosterPrefix, p.roster)
	if err != nil {
		p.d.metrics.count("platform-failure.roster")
		return
	}
	p.roster = next
	for _, row := range rows {
		p.d.applyRosterRow(row)
	}
}

func (d *Daemon) applyRosterRow(row medlarwheel.Row) {
	if roster, err := d.decodeRoster(row.Key, row.Value); err == nil {
		d.post(func(c *control) { c.applyRoster(roster, "table") })
	}
}
