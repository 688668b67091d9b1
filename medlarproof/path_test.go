package medlarproof

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarload"
	"medlarwheel/standin/medlarprocess"
	"medlarwheel/standin/medlarrunner"
)

// Targets of the request path from docs/design.md, section 1.3.
const (
	targetGoodputShare   = 0.95
	targetTailRatio      = 1.5
	targetRefusalLatency = 5 * time.Millisecond
)

// BenchmarkPath measures the request path with real processes on loopback. Its results apply to a machine that runs clients,
// instances and runners together. The overhead of an instance is the difference between calls through it and direct calls.
func BenchmarkPath(b *testing.B) {
	for b.Loop() {
		s := newStoppedSystem("")
		s.start(b)
		s.benchProxyOverhead(b)
		s.benchFlood(b)
		s.stop()
	}
}

// benchProxyOverhead compares calls through an instance with direct calls of a runner, and measures the throughput.
func (s *system) benchProxyOverhead(b *testing.B) {
	const calls, clients, duration = 3000, 48, 3 * time.Second
	// With this service time, the noise of the machine is small compared with the latency of a call.
	v := service{name: "path", runners: 2, slots: 64, serviceTime: 2 * time.Millisecond}
	runners := s.addService(b, v)
	s.awaitCapacity(b, v)
	printFigure("one client, %d calls each, service time %s", calls, v.serviceTime)
	for _, method := range []string{"GET", "POST"} {
		direct := measure(b, &keepAliveClient{address: runners[0].listenAddress, path: "/holds/", method: method, prefix: "direct"}, calls)
		proxied := measure(b, &keepAliveClient{address: s.entries[0].clientAddress, path: "/v1/call/path/", method: method, prefix: "dc-1:hop"}, calls)
		printFigure("%-4s direct p50 %s p99 %s; through an instance p50 %s p99 %s; overhead p50 %s p99 %s", method,
			direct.p50, direct.p99, proxied.p50, proxied.p99, proxied.p50-direct.p50, proxied.p99-direct.p99)
		b.ReportMetric(float64((proxied.p50 - direct.p50).Microseconds()), method+"-overhead-p50-us")
		b.ReportMetric(float64((proxied.p99 - direct.p99).Microseconds()), method+"-overhead-p99-us")
	}
	for _, method := range []string{"GET", "POST"} {
		rate, notDone := s.throughput(method, clients, duration)
		printFigure("%-4s %.0f requests a second done by %d clients through %d instances, %d not done", method, rate, clients, len(s.entries), notDone)
		b.ReportMetric(rate, method+"-per-second")
	}
}

// keepAliveClient sends requests over one keep-alive connection.
type keepAliveClient struct {
	address, path, method, prefix string
	client                        *fasthttp.HostClient
	sent                          int
}

// send makes one call. It returns an error unless the response status is 200.
func (c *keepAliveClient) send() error {
	if c.client == nil {
		c.client = medlarprocess.NewHostClient(c.address, 1)
	}
	c.sent++
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(c.method)
	request.SetRequestURI("http://" + c.address + c.path)
	request.Header.Set(medlarrunner.HeaderAttempt, fmt.Sprint(c.prefix, c.sent))
	if c.method == fasthttp.MethodPost {
		request.Header.Set(medlarrunner.HeaderRequestKey, fmt.Sprintf("%s-%p-%d", c.prefix, c, c.sent))
	}
	if err := c.client.DoTimeout(request, response, 2*maxDeadline); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("response status %d, reason %q, want 200", response.StatusCode(), response.Header.Peek("Medlar-Reason"))
	}
	return nil
}

// printFigure prints a line to standard output, because the log of a benchmark is truncated after ten lines.
func printFigure(format string, values ...any) { fmt.Printf(format+"\n", values...) }

type quantiles struct{ p50, p99 time.Duration }

func measure(b *testing.B, c *keepAliveClient, calls int) quantiles {
	b.Helper()
	const warmUp = 200
	times := make([]time.Duration, 0, calls)
	for i := range calls + warmUp {
		begin := time.Now()
		if err := c.send(); err != nil {
			b.Fatalf("%s %s: %v", c.method, c.path, err)
		}
		if i >= warmUp {
			times = append(times, time.Since(begin))
		}
	}
	slices.Sort(times)
	at := func(q float64) time.Duration { return times[int(q*float64(len(times)))].Round(time.Microsecond) }
	return quantiles{p50: at(0.5), p99: at(0.99)}
}

// throughput returns the rate of successful requests per second and the number of requests that were not done. Each
// client sends its requests sequentially.
func (s *system) throughput(method string, clients int, duration time.Duration) (rate float64, notDone int64) {
	var done, failed atomic.Int64
	var group sync.WaitGroup
	begin := time.Now()
	for i := range clients {
		e := s.entries[i%len(s.entries)]
		group.Go(func() {
			c := &keepAliveClient{address: e.clientAddress, path: "/v1/call/path/", method: method, prefix: string(e.dataCentre) + ":load"}
			for time.Since(begin) < duration {
				if c.send() == nil {
					done.Add(1)
				} else {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	return float64(done.Load()) / time.Since(begin).Seconds(), failed.Load()
}

// benchFlood measures a load of 10 times the capacity and compares the results with the targets.
func (s *system) benchFlood(b *testing.B) {
	const duration = 6 * time.Second
	f := startFlood(b, s)
	normal := f.run(b, 0.8, duration)
	peak := goodput(&normal)
	for _, multiple := range []float64{1, 1.25, 2} {
		report := f.run(b, multiple, duration)
		peak = max(peak, goodput(&report))
	}
	flooded := f.run(b, 10, duration)
	before, after := f.protected(&normal), f.protected(&flooded)
	printFigure("seed %d, capacity %.0f requests a second", flooded.Seed, f.capacity)
	share := goodput(&flooded) / peak
	printFigure("goodput in the flood %.0f a second, peak %.0f: %.3f, target at least %.2f: %s", goodput(&flooded), peak, share,
		targetGoodputShare, targetResult(share >= targetGoodputShare))
	tail := float64(after.Done.P99) / float64(before.Done.P99)
	printFigure("p99 of the protected class %s in the flood, %s without: %.2f times, target at most %.1f: %s", after.Done.P99,
		before.Done.P99, tail, targetTailRatio, targetResult(tail <= targetTailRatio))
	b.ReportMetric(share, "flood-goodput-share")
	b.ReportMetric(tail, "flood-tail-ratio")
	for i := range flooded.Templates {
		r := &flooded.Templates[i]
		printFigure("refusals of %s: p50 %s, p99 %s, target at most %s: %s", r.Template, r.Refused.P50, r.Refused.P99,
			targetRefusalLatency, targetResult(r.Refused.P99.Std() <= targetRefusalLatency))
		for _, c := range r.Calls {
			printFigure("  %s %s: %d", c.Outcome, c.Reason, c.Count)
		}
	}
}

func targetResult(met bool) string {
	if met {
		return "met"
	}
	return "MISSED"
}

func goodput(report *medlarload.Report) float64 {
	total := 0.0
	for i := range report.Templates {
		total += report.Templates[i].Goodput
	}
	return total
}

// protected returns the results of the urgent template, whose class is protected from the flood.
func (f *flood) protected(report *medlarload.Report) medlarload.TemplateReport {
	for i := range report.Templates {
		if report.Templates[i].Template == medlarwheel.TemplateName(f.urgent.name) {
			return report.Templates[i]
		}
	}
	return medlarload.TemplateReport{}
}
