package medlarplatformserver

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/medlarplatform"
	"medlarwheel/medlarplatform/medlarfake"
	"medlarwheel/standin/medlarprocess"
)

// Config holds the settings of a Server.
type Config struct {
	// WritesPerSecond caps the writes of all clients together. Zero sets no cap.
	WritesPerSecond int
	// ReadsPerSecond caps the reads of all clients together. Zero sets no cap.
	ReadsPerSecond int
	// RegistryLag is the time until readers see a change of the list of instances.
	RegistryLag time.Duration
	// Clock tells the time of the caps and of the lag.
	Clock medlarwheel.Clock
}

// DefaultConfig has the rates of the platform that the design names, and a lag of 2 s.
func DefaultConfig() Config {
	return Config{
		WritesPerSecond: 500, ReadsPerSecond: 2000, RegistryLag: 2 * time.Second, Clock: medlarwheel.SystemClock{},
	}
}

// Server answers the platform's HTTP interface.
type Server struct {
	store        *medlarfake.Store
	registry     *medlarfake.InstanceRegistry
	clock        medlarwheel.Clock
	log          zerolog.Logger
	faults       *faultState
	counters     counters
	writeLimiter *rateLimiter
	readLimiter  *rateLimiter
}

// New returns a server with empty state.
func New(config Config, log zerolog.Logger) *Server {
	now := config.Clock.Now()
	return &Server{
		store: medlarfake.NewStore(), registry: medlarfake.NewInstanceRegistry(config.Clock, config.RegistryLag), clock: config.Clock,
		log: log, faults: newFaultState(),
		writeLimiter: newRateLimiter(config.WritesPerSecond, now), readLimiter: newRateLimiter(config.ReadsPerSecond, now),
	}
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.set(f)
	s.log.Info().Interface("faults", f).Msg("faults changed")
}

// Counters returns the counters.
func (s *Server) Counters() Counters { return s.counters.snapshot() }

// Handle answers one request. The control calls below /v1/faults and /v1/counters are exempt from faults and caps.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	path := medlarprocess.PathSegments(ctx)
	if len(path) < 2 || path[0] != "v1" {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	switch path[1] {
	case "faults":
		s.handleFaults(ctx)
		return
	case "counters":
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, s.Counters())
		return
	}
	if !s.admit(ctx) {
		return
	}
	s.counters.bytesIn.Add(uint64(len(ctx.PostBody())))
	s.dispatch(ctx, path[1], path[2:])
	s.counters.bytesOut.Add(uint64(len(ctx.Response.Body())))
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	f, err := medlarwheel.Decode[Faults](ctx.PostBody())
	if err != nil {
		medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	s.SetFaults(f)
}

// admit applies the faults and the caps. It reports false when the call ends here.
func (s *Server) admit(ctx *fasthttp.RequestCtx) bool {
	faults, changed := s.faults.get()
	switch faults.Outage {
	case OutageRefuse:
		s.reject(ctx, fasthttp.StatusServiceUnavailable, 0)
		return false
	case OutageUnresponsive:
		select {
		case <-changed:
		case <-ctx.Done():
		}
		medlarprocess.CloseConnection(ctx)
		return false
	case OutageClose:
		medlarprocess.CloseConnection(ctx)
		return false
	case OutageNone:
	}
	if faults.Reject {
		s.reject(ctx, fasthttp.StatusTooManyRequests, 0)
		return false
	}
	rate, count := s.writeLimiter, &s.counters.writes
	if ctx.IsGet() {
		rate, count = s.readLimiter, &s.counters.reads
	}
	if wait, ok := rate.allow(s.clock.Now()); !ok {
		s.reject(ctx, fasthttp.StatusTooManyRequests, wait)
		return false
	}
	count.Add(1)
	return medlarprocess.Sleep(ctx.Done(), faults.Delay.Std())
}

// reject answers a call that has no effect.
func (s *Server) reject(ctx *fasthttp.RequestCtx, status int, retryAfter time.Duration) {
	s.counters.rejected.Add(1)
	ctx.Response.Header.Set(medlarplatform.HeaderNotRun, "true")
	if retryAfter > 0 {
		ctx.Response.Header.Set(medlarplatform.HeaderRetryAfter, retryAfter.String())
	}
	medlarprocess.WriteError(ctx, status, errRejected)
}

var errRejected = errors.New("the platform takes no call at present")
