package medlarentry

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarupstream"
)

// applyRouting gives the router the live upstreams and limits of every service, and the gates the shares of every
// client account.
func (c *control) applyRouting() {
	var live []medlarwheel.Upstream
	c.daemon.routing.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) {
		for service, spec := range c.activeConfig.upstreamSpecs {
			upstreams := c.directory.Live(service)
			router.SetUpstreams(now, service, upstreams, spec)
			live = append(live, upstreams...)
		}
	})
	c.daemon.links.RetainOnly(live)
	if c.routedConfig != c.configStore.Version() {
		c.applyShares()
	}
	c.routedRevision, c.routedConfig = c.directory.Revision(), c.configStore.Version()
	c.snapshotStale = true
}

// activeConfig is what the templates and client accounts in force say, for the traffic path. It is immutable.
type activeConfig struct {
	config *medlarconfig.Snapshot
	// upstreamSpecs holds the limits of the upstreams of each service.
	upstreamSpecs map[medlarwheel.ServiceName]medlarupstream.Spec
}

func newActiveConfig(book *medlarconfig.Store) activeConfig {
	s := book.Snapshot()
	return activeConfig{config: s, upstreamSpecs: serviceSpecs(s)}
}

// serviceSpecs returns the limits of each service. Where templates of one service differ, the lowest limit and the
// longest deadline hold.
func serviceSpecs(book *medlarconfig.Snapshot) map[medlarwheel.ServiceName]medlarupstream.Spec {
	specs := make(map[medlarwheel.ServiceName]medlarupstream.Spec)
	for _, t := range book.Templates() {
		if t.Service == nil {
			continue
		}
		spec, ok := specs[t.Service.Upstream]
		if !ok {
			spec = medlarupstream.Spec{Slots: t.Service.Slots, Connections: t.Service.Connections}
		}
		spec.Slots = min(spec.Slots, t.Service.Slots)
		spec.Connections = min(spec.Connections, t.Service.Connections)
		spec.MaxRequest = max(spec.MaxRequest, t.Service.MaxDeadline.Std())
		specs[t.Service.Upstream] = spec
	}
	return specs
}

// applyShares sets the share of every client account at every template, and of the account for all others.
func (c *control) applyShares() {
	book := c.activeConfig.config
	c.sharesInstanceCount = c.liveInstances()
	accounts := []*medlarwheel.Account{{ID: defaultAccount}}
	for _, item := range book.Items() {
		if item.Account != nil {
			accounts = append(accounts, item.Account)
		}
	}
	for service, shares := range laneShares(book, accounts, c.sharesInstanceCount) {
		c.daemon.admissions.forService(service).setShares(shares)
	}
}

// liveInstances counts the instances that take calls, this one included.
func (c *control) liveInstances() int {
	live := 0
	for _, m := range c.membership.Members(c.daemon.clock.Now()) {
		if m.Status == medlardatacentre.StatusAlive || m.Status == medlardatacentre.StatusSuspect {
			live++
		}
	}
	return max(1, live)
}

func laneShares(book *medlarconfig.Snapshot, accounts []*medlarwheel.Account, instances int) map[medlarwheel.ServiceName]map[medlaraccount.Lane]medlaraccount.Share {
	byService := make(map[medlarwheel.ServiceName]map[medlaraccount.Lane]medlaraccount.Share)
	for _, t := range book.Templates() {
		if t.Service == nil {
			continue
		}
		shares := byService[t.Service.Upstream]
		if shares == nil {
			shares = make(map[medlaraccount.Lane]medlaraccount.Share)
			byService[t.Service.Upstream] = shares
		}
		for _, account := range accounts {
			lane := medlaraccount.Lane{Template: t.Name, Account: account.ID, Class: t.Class}
			shares[lane] = localShare(account.ParametersFor(t), t.Service, instances)
		}
	}
	return byService
}

// localShare splits the guarantee, which holds over all entry instances, evenly.
func localShare(p medlarwheel.Parameters, spec *medlarwheel.ServiceSpec, instances int) medlaraccount.Share {
	guaranteed := (int(p.GuaranteedSlots) + instances - 1) / instances
	return medlaraccount.Share{
		Guaranteed: medlarwheel.Slots(guaranteed), Weight: p.Weight, QueueLimit: p.QueueLimit,
		QueueTimeout: spec.QueueTimeout.Std(),
	}
}

// rebalanceSlots tells the shares what waits at each service, exchanges loans, and gives the gates their capacity.
func (d *Daemon) rebalanceSlots() {
	specs := d.snapshot.Load().upstreamSpecs
	waiting := make(map[medlarwheel.ServiceName]int, len(specs))
	for service := range specs {
		_, waiting[service] = d.admissions.forService(service).demand()
	}
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		for service, spec := range specs {
			shares.SetDemand(now, service, waiting[service], spec.MaxRequest)
		}
	})
	d.exchangeLoans(d.baseCtx)
	d.applyCapacity(specs)
}

func (d *Daemon) applyCapacity(specs map[medlarwheel.ServiceName]medlarupstream.Spec) {
	capacity := make(map[medlarwheel.ServiceName]medlarwheel.Slots, len(specs))
	d.routing.withLock(func(now time.Time, shares *medlarupstream.Shares, _ *medlarupstream.Router) {
		for service := range specs {
			capacity[service] = shares.Capacity(now, service)
		}
	})
	for service, n := range capacity {
		d.admissions.forService(service).setCapacity(admissionLimit(n))
	}
}

// admissionOverlapDivisor is the part of the capacity, as a divisor, that is admitted on top of it. Those requests claim their keys
// while others are being served; the permits of the router remain the bound towards the upstreams.
const admissionOverlapDivisor = 4

func admissionLimit(capacity medlarwheel.Slots) medlarwheel.Slots {
	return capacity + (capacity+admissionOverlapDivisor-1)/admissionOverlapDivisor
}
