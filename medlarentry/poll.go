package medlarentry

import (
	"context"

	"medlarwheel"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlarplatform"
)

// rosterRowPrefix is the prefix of the roster rows in the table.
const rosterRowPrefix = "roster/"

// pollInstanceList reads the instance list when it has changed.
func (d *Daemon) pollInstanceList(ctx context.Context) {
	after := callControl(d, func(c *control) uint64 { return c.instanceListVersion })
	list, changed, err := d.platform.Instances(ctx, after)
	if err != nil {
		d.metrics.count("platform-failure.instances")
		return
	}
	if !changed {
		return
	}
	d.postToControl(func(c *control) { c.applyInstanceList(list) })
}

// applyInstanceList merges an instance list. It is kept for peers that can't reach the platform.
func (c *control) applyInstanceList(list medlarwheel.InstanceList) {
	if list.Version <= c.instanceListVersion {
		return
	}
	now := c.daemon.clock.Now()
	c.instanceListVersion, c.instanceList = list.Version, list
	c.directory.ApplyList(now, list)
	if err := c.membership.ApplyList(now, list); err != nil {
		c.stopSuperseded(err)
	}
	c.snapshotStale = true
}

// configPoller reads configuration and roster rows that have changed since its last read.
type configPoller struct {
	daemon                       *Daemon
	configVersion, rosterVersion medlarwheel.RowVersion
}

func (p *configPoller) poll(ctx context.Context) {
	p.pollConfig(ctx)
	p.pollRosters(ctx)
}

func (p *configPoller) pollConfig(ctx context.Context) {
	rows, next, err := medlarplatform.AllChanges(ctx, p.daemon.platform, medlarconfig.RowPrefix, p.configVersion)
	if err != nil {
		p.daemon.metrics.count("platform-failure.config")
		return
	}
	applied := callControl(p.daemon, func(c *control) bool { return c.applyConfigRows(rows) })
	if applied {
		p.configVersion = next
	}
}

// applyConfigRows merges rows of the table. The rows start where the last read ended, so they leave no gap.
func (c *control) applyConfigRows(rows []medlarwheel.Row) bool {
	delta, err := medlarconfig.DeltaFromRows(c.configStore.Version(), rows)
	if err != nil {
		c.daemon.log.Error().Str("event", "config-row-unreadable").AnErr("error", err).Send()
		return false
	}
	delta.After = min(delta.After, c.configStore.Version())
	return c.applyConfig(delta, "table")
}

func (c *control) applyConfig(delta medlarwheel.ConfigDelta, source string) bool {
	before, wasLoaded := c.configStore.Version(), c.configStore.IsLoaded()
	changed, err := c.configStore.Apply(delta)
	if err != nil {
		c.daemon.log.Error().Str("event", "config-refused").Str("source", source).AnErr("error", err).Send()
		return false
	}
	if c.configStore.Version() != before || !wasLoaded {
		c.activeConfig, c.snapshotStale = newActiveConfig(c.configStore), true
		c.daemon.log.Info().Str("event", "config-applied").Str("source", source).Int("changed", len(changed)).
			Uint64("version", uint64(c.configStore.Version())).Send()
	}
	return true
}

func (p *configPoller) pollRosters(ctx context.Context) {
	rows, next, err := medlarplatform.AllChanges(ctx, p.daemon.platform, rosterRowPrefix, p.rosterVersion)
	if err != nil {
		p.daemon.metrics.count("platform-failure.roster")
		return
	}
	p.rosterVersion = next
	for _, row := range rows {
		p.daemon.applyRosterRow(row)
	}
}

func (d *Daemon) applyRosterRow(row medlarwheel.Row) {
	if roster, err := d.decodeRoster(row.Key, row.Value); err == nil {
		d.postToControl(func(c *control) { c.applyRoster(roster, "table") })
	}
}
