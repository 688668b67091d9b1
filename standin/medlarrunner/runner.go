package medlarrunner

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/standin/medlarprocess"
)

// Runner serves requests as an upstream.
type Runner struct {
	config Config
	log    zerolog.Logger
	ledger *Ledger
	faults *faultState
	// simulateWork passes the service time.
	simulateWork func(time.Duration)
	started      time.Time
	// leavingSince is the time in nanoseconds when the runner announced that it leaves, or zero.
	leavingSince atomic.Int64
	leaving      chan struct{}
	// previous is the last answer, for answers that belong to another request.
	previous atomic.Pointer[Reply]

	openConnections, busy, peakBusy, peakConnections, lastAfterLeaving    atomic.Int64
	requests, slotViolations, connectionViolations, unkeyed, afterLeaving atomic.Uint64
}

// Reply is the body of a runner's answer. It tells to which request it belongs.
type Reply struct {
	Upstream medlarwheel.UpstreamID `json:"upstream"`
	Key      medlarwheel.RequestKey `json:"key,omitempty"`
	Attempt  medlarwheel.AttemptID  `json:"attempt,omitempty"`
	Method   string                 `json:"method"`
	Path     string                 `json:"path"`
	// BodyHash is the xxhash of the request's body.
	BodyHash uint64 `json:"body-hash"`
	// Applied counts how often the key was applied on this runner, including this time.
	Applied int `json:"applied,omitempty"`
}

// New returns a runner that does not listen yet.
func New(config Config, log zerolog.Logger) *Runner {
	return &Runner{
		config: config, log: log.With().Str("runner", string(config.ID)).Logger(),
		ledger: NewLedger(config.MaxLedgerKeys), faults: newFaultState(config.Clock, config.Seed), leaving: make(chan struct{}),
		simulateWork: time.Sleep, started: config.Clock.Now(),
	}
}

// SetFaults replaces the faults.
func (r *Runner) SetFaults(f Faults) {
	r.faults.set(f)
	r.log.Info().Interface("faults", f).Msg("faults changed")
	if f.Leaving {
		r.Leave()
	}
}

// Leave announces that the runner leaves. It goes on to serve.
func (r *Runner) Leave() {
	if r.leavingSince.CompareAndSwap(0, r.config.Clock.Now().UnixNano()) {
		close(r.leaving)
		r.log.Info().Msg("leaving")
	}
}

// Handle answers one request.
func (r *Runner) Handle(ctx *fasthttp.RequestCtx) {
	if r.leavingSince.Load() != 0 {
		ctx.Response.Header.Set(HeaderLeaving, "true")
	}
	if !r.HandleControl(ctx) {
		r.serve(ctx)
	}
}

// HandleControl answers a control request. It reports false for any other.
func (r *Runner) HandleControl(ctx *fasthttp.RequestCtx) bool {
	switch string(ctx.Path()) {
	case "/healthz":
		if f, _ := r.faults.get(); f.Unhealthy {
			medlarprocess.WriteError(ctx, fasthttp.StatusServiceUnavailable, errUnhealthy)
			return true
		}
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
	case "/ledger":
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, r.Report())
	case "/counters":
		medlarprocess.WriteJSON(ctx, fasthttp.StatusOK, r.Summary())
	case "/faults":
		f, err := medlarwheel.Decode[Faults](ctx.PostBody())
		if err != nil {
			medlarprocess.WriteError(ctx, fasthttp.StatusBadRequest, err)
			return true
		}
		r.SetFaults(f)
	default:
		return false
	}
	return true
}

var (
	errUnhealthy = errors.New("unhealthy")
	errNoSlot    = errors.New("no slot is free")
)

// serve runs a request in a slot, or refuses it when none is free.
func (r *Runner) serve(ctx *fasthttp.RequestCtx) {
	r.countAfterLeaving()
	reply := &Reply{
		Upstream: r.config.ID, Method: string(ctx.Method()), Path: string(ctx.Path()), BodyHash: xxhash.Sum64(ctx.PostBody()),
		Key:     medlarwheel.RequestKey(ctx.Request.Header.Peek(HeaderRequestKey)),
		Attempt: medlarwheel.AttemptID(ctx.Request.Header.Peek(HeaderAttempt)),
	}
	ctx.Response.Header.Set(HeaderAttempt, string(reply.Attempt))
	busy := r.busy.Add(1)
	updateMax(&r.peakBusy, busy)
	free := busy <= int64(r.config.Slots)
	r.record(reply, free)
	if !free {
		r.busy.Add(-1)
		r.slotViolations.Add(1)
		ctx.Response.Header.Set(HeaderNotRun, "true")
		medlarprocess.WriteError(ctx, fasthttp.StatusServiceUnavailable, errNoSlot)
		return
	}
	faults, changed := r.faults.get()
	// The work goes on during a graceful stop.
	r.simulateWork(r.faults.serviceTime(r.config.ServiceTime, r.config.ServiceTimeSpread, faults.Slowdown))
	r.busy.Add(-1)
	medlarprocess.Sleep(ctx.Done(), faults.ResponseDelay.Std())
	r.respond(ctx, reply, r.faults.pickMode(faults.Responses), changed)
}

// record counts the request. Only methods that may change something count in the ledger.
func (r *Runner) record(reply *Reply, free bool) {
	if free {
		r.requests.Add(1)
	}
	switch {
	case reply.Method == fasthttp.MethodGet || reply.Method == fasthttp.MethodHead:
	case reply.Key != "":
		reply.Applied = r.ledger.Record(reply.Key, reply.Attempt, free)
	case free:
		r.unkeyed.Add(1)
	}
}

// countAfterLeaving counts a request that came after the runner announced that it leaves.
func (r *Runner) countAfterLeaving() {
	if at := r.leavingSince.Load(); at != 0 {
		r.afterLeaving.Add(1)
		updateMax(&r.lastAfterLeaving, r.config.Clock.Now().UnixNano()-at)
	}
}
