package medlarentry

import (
	"time"

	"medlarwheel"
	"medlarwheel/medlaraccount"
	"medlarwheel/medlarconfig"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarupstream"
)

// applyRouting passes the live upstreams and limits of every service to the router and, when the configuration has
// changed, the shares of every client account to the admission.
func (c *control) applyRouting() {
	var live []medlarwheel.Upstream
	c.daemon.routing.withLock(func(now time.Time, _ *medlarupstream.Shares, router *medlarupstream.Router) {
		for service, spec := range c.activeConfig.upstreamSpecs {
			upstreams := c.directory.Live(service)
			router.SetUpstreams(now, service, upstreams, spec)
			live = append(live, upstreams...)
		}
	})
	c.daemon.transport.RetainOnly(live)
	if c.routedConfig != c.configStore.Version() {
		c.applyShares()
	}
	c.routedRevision, c.routedConfig = c.directory.Revision(), c.configStore.Version()
	c.snapshotStale = true
}

// activeConfig is the current configuration in the form that request handling reads. It is immutable.
type activeConfig struct {
	config *medlarconfig.Snapshot
	// upstreamSpecs holds the limits of the upstreams of each service.
	upstreamSpecs map[medlarwheel.ServiceName]medlarupstream.Spec
}

func newActiveConfig(store *medlarconfig.Store) activeConfig {
	snapshot := store.Snapshot()
	return activeConfig{config: snapshot, upstreamSpecs: serviceSpecs(snapshot)}
}

// serviceSpecs returns the limits of each service. If templates of one service differ, the lowest limits and the longest
// deadline apply.
func serviceSpecs(config *medlarconfig.Snapshot) map[medlarwheel.ServiceName]medlarupstream.Spec {
	specs := make(map[medlarwheel.ServiceName]medlarupstream.Spec)
	for _, t := range config.Templates() {
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

// applyShares sets the share of every configured client account, and of the default account, for every template.
func (c *control) applyShares() {
	config := c.activeConfig.config
	c.sharesInstanceCount = c.liveInstances()
	accounts := []*medlarwheel.Account{{ID: defaultAccount}}
	for _, item := range config.Items() {
		if item.Account != nil {
			accounts = append(accounts, item.Account)
		}
	}
	for service, shares := range laneShares(config, accounts, c.sharesInstanceCount) {
		c.daemon.admissions.forService(service).setShares(shares)
	}
}

// liveInstances returns the number of instances that serve clients, including this one.
func (c *control) liveInstances() int {
	live := 0
	for _, m := range c.membership.Members(c.daemon.clock.Now()) {
		if m.Status == medlardatacentre.StatusAlive || m.Status == medlardatacentre.StatusSuspect {
			live++
		}
	}
	return max(1, live)
}

func laneShares(config *medlarconfig.Snapshot, accounts []*medlarwheel.Account, instances int) map[medlarwheel.ServiceName]map[medlaraccount.Lane]medlaraccount.Share {
	byService := make(map[medlarwheel.ServiceName]map[medlaraccount.Lane]medlaraccount.Share)
	for _, t := range config.Templates() {
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

// localShare returns this instance's share of an account. The guaranteed slots apply to all entry instances together and
// are split evenly, rounded up.
func localShare(parameters medlarwheel.Parameters, spec *medlarwheel.ServiceSpec, instances int) medlaraccount.Share {
	guaranteed := (int(parameters.GuaranteedSlots) + instances - 1) / instances
	return medlaraccount.Share{
		Guaranteed: medlarwheel.Slots(guaranteed), Weight: parameters.Weight, QueueLimit: parameters.QueueLimit,
		QueueTimeout: spec.QueueTimeout.Std(),
	}
}

// rebalanceSlots updates the demand of each service, exchanges slot loans with peers, and passes the resulting capacity to
// the admission.
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

// admissionOverlapDivisor sets how many requests are admitted beyond the capacity, as a fraction of it. These requests
// claim their keys while others are at an upstream; the permits of the router still bound the load on the upstreams.
const admissionOverlapDivisor = 4

func admissionLimit(capacity medlarwheel.Slots) medlarwheel.Slots {
	return capacity + (capacity+admissionOverlapDivisor-1)/admissionOverlapDivisor
}
