package medlarentry

import (
	"encoding/json"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlaroperator"
	"medlarwheel/medlartransport"
)

const (
	// sampleSize and sampleAlpha are the usual settings of an exponentially decaying sample of about five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// metricSet holds the metrics of an instance. Their names are listed in docs/OPERATIONS.md.
type metricSet struct {
	registry metrics.Registry
}

func newMetricSet() *metricSet { return &metricSet{registry: metrics.NewRegistry()} }

func (m *metricSet) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *metricSet) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// recordDuration records a time in microseconds.
func (m *metricSet) recordDuration(name string, d time.Duration) {
	h := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	h.Update(d.Microseconds())
}

func (m *metricSet) countBallot(kind medlarclaim.BallotKind, result medlarclaim.DecisionKind) {
	m.count("ballot." + string(kind) + "." + string(result))
}

// recordResult counts the end of a request and logs it.
func (d *Daemon) recordResult(c *call, a *callResult) {
	outcome, reason := medlarwheel.OutcomeDone, medlarwheel.Reason("")
	if a.refusal != nil {
		outcome, reason = a.refusal.Outcome, a.refusal.Reason
		d.metrics.count("refusal." + string(reason))
	}
	d.metrics.count("outcome." + string(outcome))
	if c == nil {
		return
	}
	took := d.clock.Now().Sub(c.arrivedAt)
	d.metrics.recordDuration("answer-time."+string(outcome)+".us", took)
	d.recordBurnRate(c, a, took)
	event := d.log.Debug()
	if outcome == medlarwheel.OutcomeUnknown {
		event = d.sampledLog.Warn()
	}
	event.Str("event", "request").Str("template", string(c.template.Name)).Str("account", string(c.account)).
		Str("request-key", string(c.key)).Str("attempt", string(c.attempt)).Str("outcome", string(outcome)).
		Str("reason", string(reason)).Dur("took", took).Send()
}

func (d *Daemon) recordUpstreamFailure(c *call, failure *medlartransport.Failure) {
	d.metrics.count("upstream-failure." + string(failure.Cause))
	d.sampledLog.Info().Str("event", "upstream-failure").Str("upstream", string(failure.Upstream)).
		Str("cause", string(failure.Cause)).Bool("sent", failure.Sent).Str("request-key", string(c.key)).
		Str("attempt", string(c.attempt)).AnErr("error", failure.Err).Send()
}

func (d *Daemon) writeMetrics(ctx *fasthttp.RequestCtx, _ string) {
	d.updateGauges()
	data, err := json.Marshal(d.metrics.registry)
	if err != nil {
		writeError(ctx, &medlaroperator.Error{Code: medlaroperator.CodeInternal, Message: err.Error()})
		return
	}
	ctx.SetContentType(contentTypeJSON)
	ctx.SetBody(data)
}
