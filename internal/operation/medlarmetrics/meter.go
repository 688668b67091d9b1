// Package medlarmetrics counts decisions and measures latencies, and serves them as text.
//
// # Usage
//
//	meter := medlarmetrics.New()
//	meter.Count("submission.accepted")
//	meter.Time("store.transact", took)
//	go fasthttp.ListenAndServe(address, meter.Handler)
package medlarmetrics

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

const (
	// sampleSize and sampleAlpha are the usual settings of an exponentially decaying sample of about five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// quantiles are the shares of a histogram that are served.
var quantiles = []float64{0.5, 0.9, 0.99}

// Meter holds the metrics of an instance.
type Meter struct{ registry metrics.Registry }

// New returns a meter without values.
func New() *Meter { return &Meter{registry: metrics.NewRegistry()} }

// Count adds one to a counter.
func (m *Meter) Count(name string) { m.Add(name, 1) }

// Add adds n to a counter.
func (m *Meter) Add(name string, n int64) { metrics.GetOrRegisterCounter(name, m.registry).Inc(n) }

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// Time records a duration in microseconds.
func (m *Meter) Time(name string, d time.Duration) {
	h, ok := m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
	if ok {
		h.Update(d.Microseconds())
	}
}

// Handler serves all metrics as text, one value a line, sorted by name.
func (m *Meter) Handler(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(m.Text())
}

// Text returns all metrics as text.
func (m *Meter) Text() string {
	var lines []string
	m.registry.Each(func(name string, value any) {
		name = strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch v := value.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("medlar_%s_total %d", name, v.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("medlar_%s %d", name, v.Value()))
		case metrics.Histogram:
			s := v.Snapshot()
			for i, p := range s.Percentiles(quantiles) {
				lines = append(lines, fmt.Sprintf("medlar_%s_microseconds{quantile=\"%g\"} %.0f", name, quantiles[i], p))
			}
			lines = append(lines, fmt.Sprintf("medlar_%s_microseconds_count %d", name, s.Count()))
		}
	})
	slices.Sort(lines)
	return strings.Join(lines, "\n") + "\n"
}
