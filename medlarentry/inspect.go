package medlarentry

import (
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlaroperator"
)

func (d *Daemon) listMembers(ctx *fasthttp.RequestCtx, _ string) {
	s := d.snapshot.Load()
	list := medlaroperator.MemberList{
		ConfigVersion: s.config.Version(), Rosters: make(map[medlarwheel.DataCentreID]medlarwheel.Epoch), Members: []medlaroperator.Member{},
	}
	for dc, group := range s.groups {
		list.Rosters[dc] = group.epoch
	}
	for i := range s.members {
		list.Members = append(list.Members, operatorMember(&s.members[i], d.settings.Instance))
	}
	writeJSON(ctx, list)
}

func (d *Daemon) listUpstreams(ctx *fasthttp.RequestCtx, _ string) {
	list := medlaroperator.UpstreamList{Upstreams: []medlaroperator.UpstreamStatus{}}
	for _, s := range d.routing.upstreamStates() {
		list.Upstreams = append(list.Upstreams, medlaroperator.UpstreamStatus{
			Upstream: s.Upstream, Healthy: !s.Ejected, InFlight: medlarwheel.Slots(s.InFlight),
			OwnSlots: medlarwheel.Slots(s.Owned), Connections: d.transport.OpenConnections(s.Upstream),
		})
	}
	writeJSON(ctx, list)
}

// updateGauges sets the gauges that are computed from other state.
func (d *Daemon) updateGauges() {
	s := d.snapshot.Load()
	d.metrics.setGauge("config-version", int64(s.config.Version()))
	d.metrics.setGauge("members", int64(len(s.members)))
	d.metrics.setGauge("peer-bytes-in", d.traffic.BytesReceived())
	d.metrics.setGauge("peer-bytes-out", d.traffic.BytesSent())
	d.metrics.setGauge("claims", int64(d.voter.voteCount()))
	d.metrics.setGauge("seats", int64(len(s.groups[d.settings.DataCentre].voters)))
	votes := int64(0)
	if d.voter.mayVote() {
		votes = 1
	}
	d.metrics.setGauge("seat-votes", votes)
	for service, admission := range d.admissions.all() {
		report := admission.report()
		d.metrics.setGauge("capacity."+string(service), int64(report.Capacity))
		d.metrics.setGauge("in-flight."+string(service), int64(report.InFlight))
		d.metrics.setGauge("waiting."+string(service), int64(report.Waiting))
	}
}
