package medlarentry

import (
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlaroperator"
)

func (d *Daemon) listMembers(ctx *fasthttp.RequestCtx, _ string) {
	s := d.snapshot.Load()
	list := medlaroperator.MemberList{
		ConfigVersion: s.book.Version(), Rosters: make(map[medlarwheel.DataCentreID]medlarwheel.Epoch), Members: []medlaroperator.Member{},
	}
	for dc, group := range s.groups {
		list.Rosters[dc] = group.epoch
	}
	for i := range s.members {
		list.Members = append(list.Members, memberOf(&s.members[i], d.settings.Instance))
	}
	writeJSON(ctx, list)
}

func (d *Daemon) listUpstreams(ctx *fasthttp.RequestCtx, _ string) {
	list := medlaroperator.UpstreamList{Upstreams: []medlaroperator.UpstreamStatus{}}
	for _, s := range d.routing.states() {
		list.Upstreams = append(list.Upstreams, medlaroperator.UpstreamStatus{
			Upstream: s.Upstream, Healthy: !s.Ejected, InFlight: medlarwheel.Slots(s.InFlight),
			OwnSlots: medlarwheel.Slots(s.Owned), Connections: d.links.Open(s.Upstream),
		})
	}
	writeJSON(ctx, list)
}

// updateGauges refreshes the gauges that are derived from other state.
func (d *Daemon) updateGauges() {
	s := d.snapshot.Load()
	d.metrics.gauge("config-version", int64(s.book.Version()))
	d.metrics.gauge("members", int64(len(s.members)))
	d.metrics.gauge("peer-bytes-in", d.traffic.In())
	d.metrics.gauge("peer-bytes-out", d.traffic.Out())
	d.metrics.gauge("claims", int64(d.seat.len()))
	d.metrics.gauge("seats", int64(len(s.groups[d.settings.DataCentre].seats)))
	votes := int64(0)
	if d.seat.mayVote() {
		votes = 1
	}
	d.metrics.gauge("seat-votes", votes)
	for service, gate := range d.gates.all() {
		report := gate.report()
		d.metrics.gauge("capacity."+string(service), int64(report.Capacity))
		d.metrics.gauge("in-flight."+string(service), int64(report.InFlight))
		d.metrics.gauge("waiting."+string(service), int64(report.Waiting))
	}
}
