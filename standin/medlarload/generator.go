package medlarload

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
)

// generator executes one load run.
type generator struct {
	config   Config
	log      zerolog.Logger
	runID    string
	body     []byte
	clients  []*fasthttp.HostClient
	stats    *loadStats
	inFlight chan struct{}
	group    sync.WaitGroup
}

// Run sends the load and returns its report. If ctx is cancelled, it stops early and reports what was sent until then.
func Run(ctx context.Context, config Config, log zerolog.Logger) (Report, error) {
	if err := config.Check().Err(); err != nil {
		return Report{}, err
	}
	started := time.Now()
	g := &generator{
		config: config, log: log, stats: newLoadStats(), inFlight: make(chan struct{}, config.MaxInFlight),
		// Keys of different runs with the same seed must differ, because runners and entry instances keep them.
		runID: fmt.Sprintf("%d-%x", config.Seed, started.UnixNano()),
		body:  bytes.Repeat([]byte("x"), config.BodyBytes),
	}
	for _, target := range config.Targets {
		client := medlarprocess.NewHostClient(target, config.MaxInFlight)
		client.DialTimeout, client.MaxResponseBodySize = dial, 1<<20
		g.clients = append(g.clients, client)
	}
	log.Info().Uint64("seed", config.Seed).Float64("rate", config.Rate).Str("run", g.runID).Msg("starting the load")
	baseline, _ := g.readReports("/counters")
	sent := g.sendRequests(ctx)
	g.group.Wait()
	for _, client := range g.clients {
		client.CloseIdleConnections()
	}
	report := g.stats.report(config, sent)
	report.Audit = g.audit(started, baseline)
	return report, nil
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return connection, nil
}

// sendRequests starts requests as a Poisson process with the configured rate. It returns the time during which it sent.
func (g *generator) sendRequests(ctx context.Context) time.Duration {
	random := rand.New(rand.NewPCG(g.config.Seed, 3))
	start := time.Now()
	due := start
	for number := 0; number < g.config.MaxRequests; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.config.Rate * float64(time.Second)))
		if due.Sub(start) > g.config.Duration || !medlarprocess.Sleep(ctx.Done(), time.Until(due)) {
			break
		}
		kind := chooseKind(g.config.Mix, random)
		r := request{
			kind: kind, key: kind.key(g.runID, number, due), nonce: fmt.Sprintf("%s-n%d", g.runID, number), due: due,
			target: random.IntN(len(g.clients)),
		}
		g.startRequest(ctx, r)
		if kind.Keys == KeysDuplicated {
			r.target = (r.target + 1) % len(g.clients)
			g.startRequest(ctx, r)
		}
	}
	return min(time.Since(start), g.config.Duration)
}

// startRequest runs a request in the background, or counts it as skipped if too many are in flight.
func (g *generator) startRequest(ctx context.Context, r request) {
	select {
	case g.inFlight <- struct{}{}:
	default:
		g.stats.recordSkipped(&r)
		return
	}
	g.group.Go(func() {
		defer func() { <-g.inFlight }()
		g.runRequest(ctx, &r)
	})
}

// runRequest makes calls until the result is final, or the retries or the retry window are exhausted.
func (g *generator) runRequest(ctx context.Context, r *request) {
	var last result
	for attempt := 0; ; attempt++ {
		last = g.call(r, (r.target+attempt)%len(g.clients), attempt)
		g.stats.recordCall(r, last)
		if attempt >= g.config.Retries || !g.mayRetry(r, last) {
			break
		}
		delay := max(last.retryAfter, g.config.MinRetryDelay)
		if time.Since(r.due)+delay > g.config.RetryWindow || !medlarprocess.Sleep(ctx.Done(), delay) {
			break
		}
	}
	g.stats.recordFinal(r, last)
}

// mayRetry reports whether a call may be repeated. Without a key, or when it sends to a runner directly, only the generator
// itself prevents a duplicate run.
func (g *generator) mayRetry(r *request, last result) bool {
	switch last.outcome {
	case medlarwheel.OutcomeNotRun:
		return true
	case medlarwheel.OutcomeUnknown:
		return !r.kind.mutates() || r.key != "" && !g.config.Direct
	}
	return false
}
