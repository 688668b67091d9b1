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

// generator runs one load.
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

// Run sends the load and returns its report. It ends early with ctx, and reports what was sent until then.
func Run(ctx context.Context, config Config, log zerolog.Logger) (Report, error) {
	if err := config.Check().Err(); err != nil {
		return Report{}, err
	}
	started := time.Now()
	g := &generator{
		config: config, log: log, stats: newLoadStats(), inFlight: make(chan struct{}, config.MaxInFlight),
		// Keys of different runs with the same seed must differ, because runners and entry instances remember them.
		runID: fmt.Sprintf("%d-%x", config.Seed, started.UnixNano()),
		body:  bytes.Repeat([]byte("x"), config.BodyBytes),
	}
	for _, target := range config.Targets {
		client := medlarprocess.NewHostClient(target, config.MaxInFlight)
		client.DialTimeout, client.MaxResponseBodySize = dial, 1<<20
		g.clients = append(g.clients, client)
	}
	log.Info().Uint64("seed", config.Seed).Float64("rate", config.Rate).Str("run", g.runID).Msg("load begins")
	before, _ := g.readReports("/counters")
	sent := g.sendRequests(ctx)
	g.group.Wait()
	for _, client := range g.clients {
		client.CloseIdleConnections()
	}
	report := g.stats.report(config, sent)
	report.Audit = g.audit(started, before)
	return report, nil
}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return connection, nil
}

// sendRequests starts requests at random times with the set mean rate. It returns the time during which it did.
func (g *generator) sendRequests(ctx context.Context) time.Duration {
	random := rand.New(rand.NewPCG(g.config.Seed, 3))
	begin := time.Now()
	due := begin
	for number := 0; number < g.config.MaxRequests; number++ {
		due = due.Add(time.Duration(random.ExpFloat64() / g.config.Rate * float64(time.Second)))
		if due.Sub(begin) > g.config.Duration || !medlarprocess.Sleep(ctx.Done(), time.Until(due)) {
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
	return min(time.Since(begin), g.config.Duration)
}

// startRequest runs a request in the background, or counts it when too many are under way.
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

// runRequest makes calls until the request is done, or its retries or time are used up.
func (g *generator) runRequest(ctx context.Context, r *request) {
	var last result
	for attempt := 0; ; attempt++ {
		last = g.call(r, (r.target+attempt)%len(g.clients), attempt)
		g.stats.recordCall(r, last)
		if attempt >= g.config.Retries || !g.mayRetry(r, last) {
			break
		}
		pause := max(last.retryAfter, g.config.MinRetryDelay)
		if time.Since(r.due)+pause > g.config.RetryWindow || !medlarprocess.Sleep(ctx.Done(), pause) {
			break
		}
	}
	g.stats.recordFinal(r, last)
}

// mayRetry reports whether a call may be repeated. Without a key, or towards a bare runner, nothing but the generator
// prevents a second run.
func (g *generator) mayRetry(r *request, last result) bool {
	switch last.outcome {
	case medlarwheel.OutcomeNotRun:
		return true
	case medlarwheel.OutcomeUnknown:
		return !r.kind.mutates() || r.key != "" && !g.config.Direct
	}
	return false
}
