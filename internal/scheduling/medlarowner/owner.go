// Package medlarowner runs the scheduler of a cell on the instance that owns it: it loads the stored state of the cell,
// follows new submissions and workers, executes the commands of the scheduler, and stores its records.
//
// One control goroutine accesses the scheduler; all others communicate with it through functions that it runs. Calls to
// workers and to the table run on other goroutines, which post such functions to handle their results.
//
// # Usage
//
//	owner := medlarowner.New(config, dependencies, term, claimedAt, predecessor)
//	err := owner.Run(ctx) // until the context ends or another instance owns the cell
package medlarowner

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarreturns"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlarhedge"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// ErrSuperseded means that another instance owns the cell, or that the owner's control goroutine has ended.
var ErrSuperseded = errors.New("another instance owns the cell, or the control goroutine has ended")

// Store is the table of the platform.
type Store interface {
	Transact(t medlartable.Transaction) (medlartable.Commit, error)
	TransactWithin(t medlartable.Transaction, timeout time.Duration) (medlartable.Commit, error)
	Read(r medlartable.Range) (medlartable.Page, error)
	Follow(f medlartable.FollowRequest) (medlartable.Page, error)
}

// Agent sends orders to one worker.
type Agent interface {
	Start(s medlarorder.Start) (medlarorder.Response, error)
	Stop(s medlarorder.Stop) (medlarorder.Response, error)
	Pace(p medlarorder.Pace) (medlarorder.Response, error)
	Renew(r medlarorder.Renew) (medlarorder.Report, error)
	// SetConnections limits the open connections for orders.
	SetConnections(n int)
	Close()
}

// Registry reads the list of workers.
type Registry struct {
	// Range selects the rows in which workers register themselves.
	Range medlartable.Range
	// Decode decodes one row.
	Decode func(id string, data []byte) (medlarorder.Worker, error)
}

// Evacuations reads the list of evacuated data centres.
type Evacuations struct {
	// Range selects the rows, one for each evacuated data centre. An empty table stands for none.
	Range medlartable.Range
	// Decode decodes one row.
	Decode func(r medlartable.Row) (medlarwheel.DataCentreID, error)
}

// Config configures an owner.
type Config struct {
	// Part is the part of the table that holds the rows of the cell, and the prefix of the parts that hold its
	// submissions.
	Part      string
	Cell      medlarcell.Config
	Ownership medlarownership.Config
	// TickInterval is the interval at which the scheduler checks leases, retries and other timers.
	TickInterval time.Duration
	// FlushInterval is the minimum time between two writes of records. It limits the rate of calls to the table.
	FlushInterval time.Duration
	// ModelSnapshotInterval is the minimum time between two writes of the learned models.
	ModelSnapshotInterval time.Duration
	// FlushRetry is the pause before a write that the table has rejected is sent again.
	FlushRetry time.Duration
	// Hedge configures when a slow write is sent a second time.
	Hedge medlarhedge.Config
	// FollowWait is how long the table may delay its response to a long poll for changes. It bounds the time lost on a
	// stalled connection.
	FollowWait time.Duration
	// WorkersPause is the time after each change of the list of workers during which further changes are collected.
	// Every worker renews its registration, so without the pause hundreds of workers would cause a read for each
	// renewal.
	WorkersPause time.Duration
	// FollowRetry is the pause before a failed read of the table is repeated.
	FollowRetry time.Duration
}

// DefaultConfig returns the configuration for a cell of a few hundred workers.
func DefaultConfig() Config {
	return Config{
		Part: "c0", Cell: medlarcell.DefaultConfig(), Ownership: medlarownership.DefaultConfig(),
		TickInterval: 50 * time.Millisecond, FlushInterval: 15 * time.Millisecond, FlushRetry: 100 * time.Millisecond,
		ModelSnapshotInterval: 2 * time.Second,
		Hedge:                 medlarhedge.DefaultConfig(),
		FollowWait:            700 * time.Millisecond, FollowRetry: 100 * time.Millisecond,
		WorkersPause: 250 * time.Millisecond,
	}
}

// Dependencies are the services that an owner uses.
type Dependencies struct {
	Store    Store
	Registry Registry
	// Evacuations are read before the first task is started.
	Evacuations Evacuations
	// Connect returns the agent of a worker, with a limit on its connections for orders.
	Connect func(id medlarwheel.WorkerID, address string, connections int) Agent
	// Connections returns the connection limit per worker for a number of workers.
	Connections func(workers int) int
	Clock       medlarwheel.Clock
	// Clocks relates Clock to those of other processes. Without it, rows are taken to be stamped by Clock.
	Clocks Clocks
	// RegistryVersion returns the version of the table of the copy of the instance registry by which promises are requested.
	RegistryVersion func() medlarwheel.RowVersion
	Log             zerolog.Logger
	Meter           *medlarmetrics.Meter
}

// controlFuncBuffer is the number of functions that can be queued for the control goroutine.
const controlFuncBuffer = 1024

// Owner runs the scheduler of a cell.
type Owner struct {
	config Config
	Dependencies
	term   medlarownership.Term
	cell   *medlarcell.Cell
	chain  *medlarcellstore.Chain
	agents map[medlarwheel.WorkerID]*agentEntry
	// connectionLimit is the current limit on the connections for orders to each worker.
	connectionLimit int
	controlFuncs    chan func(now time.Time)
	done            chan struct{}
	// failed receives the panic of a call outside the control goroutine, as an error.
	failed chan error

	// placedAt is when the last placement pass ended, and placeDuration how long it took.
	placedAt       time.Time
	placeDuration  time.Duration
	placeScheduled bool

	writer          *medlarhedge.Writer
	isolation       isolation
	flushing        bool
	flushScheduled  bool
	flushedAt       time.Time
	modelSnapshotAt time.Time
	// renewedAt is when the last confirmed renewal was sent, in nanoseconds since the Unix epoch.
	renewedAt atomic.Int64
	// renewalPreparedAt is when the last renewal was prepared.
	renewalPreparedAt time.Time
	// outageLeases is when all leases that were granted while the table was unavailable have ended, in nanoseconds since
	// the Unix epoch.
	outageLeases atomic.Int64
	// ordersInFlight is the number of orders to workers that are being sent or wait for a response.
	ordersInFlight atomic.Int64
	// holdings is what the owner held at the last tick.
	holdings atomic.Pointer[Holdings]
	// writeDuration is a decaying maximum of the time that a write of records takes.
	writeDuration time.Duration
	// turnaround shows whether the machine gives the owner enough processor time.
	turnaround turnaround
	claimedAt  time.Time
	// submissionsVersion and workersVersion are the table versions up to which submissions and workers are loaded.
	submissionsVersion, workersVersion medlarwheel.RowVersion
	// evacuationsVersion is the table version of the known evacuations.
	evacuationsVersion medlarwheel.RowVersion
	// grace is how long after the claim the previous owner may still send orders. graceVersion is a table version after
	// that, or zero while none is known.
	grace         time.Duration
	graceVersion  medlarwheel.RowVersion
	known         *knownSubmissions
	eraser        eraser
	eventLogLimit logLimit
	releasing     bool
	superseded    bool
}

type agentEntry struct {
	agent   Agent
	address string
}

// New returns the owner of a cell after its claim was stored with the version of term. The predecessor says what the
// previous owner may still do.
func New(c Config, d Dependencies, term medlarownership.Term, claimedAt time.Time, predecessor medlarownership.Predecessor) *Owner {
	if d.Clocks == nil {
		d.Clocks = unrelatedClocks{d.Clock}
	}
	if d.RegistryVersion == nil {
		d.RegistryVersion = func() medlarwheel.RowVersion { return 0 }
	}
	known := newKnownSubmissions(d.Clock)
	o := &Owner{
		config: c, known: known, Dependencies: d, term: term, cell: medlarcell.New(c.Cell),
		chain:  medlarcellstore.NewChain(c.Part, term.Number, term.Version),
		agents: map[medlarwheel.WorkerID]*agentEntry{}, controlFuncs: make(chan func(time.Time), controlFuncBuffer),
		done: make(chan struct{}), failed: make(chan error, 1), claimedAt: claimedAt,
		writer: medlarhedge.New(c.Hedge, d.Store, d.Clock, func(bool) {}), eraser: newEraser(known), grace: predecessor.Grace,
	}
	o.cell.Begin(claimedAt, medlarcell.Ownership{
		Fence: medlarownership.FirstFencingToken(term.Version), Term: term.Number, Expired: predecessor.Expired, Grace: predecessor.Grace,
		PreviousLease: predecessor.Lease, PreviousLeaseTail: predecessor.LeaseTail, OutageLeaseRemaining: predecessor.OutageLeases,
		LeaseEnds: predecessor.LeaseEnds,
	})
	o.recordOutageLeases()
	o.recordRenewal(claimedAt)
	o.cell.Authorize(claimedAt.Add(c.Ownership.OwnerTimeout))
	o.excludeSuccessor(claimedAt)
	return o
}

// Run runs the scheduler until the context ends or another instance owns the cell.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	// Routes that are set before the load apply to what is loaded.
	o.drainControlFuncs()
	renewal, err := o.loadWhileRenewing(ctx)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	if renewal != nil {
		// The next batch waits for its outcome, and the control loop does not: the table may be away.
		o.flushing = true
		o.goInBackground("flush", func() { o.commitRenewal(ctx, renewal) })
	}
	o.goInGroup(group, "follow-submissions", func() error { return o.followSubmissions(ctx) })
	o.goInGroup(group, "follow-workers", func() error { return o.followWorkers(ctx) })
	if o.grace > 0 {
		o.goInGroup(group, "end-grace", func() error { return o.findGraceVersion(ctx) })
	}
	o.goInGroup(group, "control", func() error { return o.control(ctx) })
	err = group.Wait()
	for _, a := range o.agents {
		a.agent.Close()
	}
	return err
}

// control runs the control loop. Only its goroutine accesses the scheduler.
func (o *Owner) control(ctx context.Context) error {
	ticker := time.NewTicker(o.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-o.failed:
			return err
		case run := <-o.controlFuncs:
			run(o.Clock.Now())
			o.drainControlFuncs()
		case <-ticker.C:
			now := o.Clock.Now()
			o.updateTimeOfDay(now)
			o.cell.Tick(now)
			o.reportWorkerGauges()
			o.reportHoldings()
		}
		if o.superseded {
			return ErrSuperseded
		}
		now := o.Clock.Now()
		o.place(now)
		o.executeCommands(ctx)
		o.flush(ctx, now)
		o.logSchedulerEvents()
	}
}

// placePauseFactor is the pause between two placement passes as a multiple of the duration of the first. It limits
// placement to a fifth of the control goroutine's time, so that a long queue on a small instance does not delay the
// renewal of leases.
const placePauseFactor = 4

// place runs a placement pass unless the pause after the previous one has not ended yet.
func (o *Owner) place(now time.Time) {
	if wait := o.placedAt.Add(placePauseFactor * o.placeDuration).Sub(now); wait > 0 {
		o.schedulePlace(wait)
		return
	}
	began := time.Now()
	o.cell.Place(now)
	o.placeDuration = time.Since(began)
	o.placedAt = o.Clock.Now()
	o.Meter.Time("owner.place", o.placeDuration)
}

// schedulePlace wakes the control goroutine once the next placement pass may run.
func (o *Owner) schedulePlace(wait time.Duration) {
	if o.placeScheduled {
		return
	}
	o.placeScheduled = true
	time.AfterFunc(wait, func() { o.postToControl(func(time.Time) { o.placeScheduled = false }) })
}

// drainControlFuncs runs the functions that are already queued, so that one placement pass serves them all.
func (o *Owner) drainControlFuncs() {
	for range controlFuncBuffer {
		select {
		case run := <-o.controlFuncs:
			run(o.Clock.Now())
		default:
			return
		}
	}
}

// postToControl queues a function for the control goroutine. It reports false if that goroutine has ended.
func (o *Owner) postToControl(run func(now time.Time)) bool {
	select {
	case o.controlFuncs <- run:
		return true
	case <-o.done:
		return false
	}
}

// callControl runs a read of the scheduler on the control goroutine and returns its result. The read may still run after the context has
// ended, and then has no one to return to.
func callControl[T any](ctx context.Context, o *Owner, read func() T) (result T, err error) {
	finished := make(chan T, 1)
	if !o.postToControl(func(time.Time) { finished <- read() }) {
		return result, ErrSuperseded
	}
	select {
	case result = <-finished:
		return result, nil
	case <-o.done:
		return result, ErrSuperseded
	case <-ctx.Done():
		return result, ctx.Err()
	}
}

// State returns the state of a submission, if the owner knows it.
func (o *Owner) State(ctx context.Context, id medlarsubmission.ID) (state medlarsubmission.State, known bool, err error) {
	type answer struct {
		state medlarsubmission.State
		known bool
	}
	a, err := callControl(ctx, o, func() (a answer) {
		a.state, a.known = o.cell.State(id)
		return a
	})
	return a.state, a.known, err
}

// ClaimedAt returns when the cell was claimed.
func (o *Owner) ClaimedAt() time.Time { return o.claimedAt }

// TermNumber returns the number of the owner's term. Each claim of the cell has the next higher number.
func (o *Owner) TermNumber() uint64 { return o.term.Number }

// RenewedAt returns when the last renewal that the table has confirmed was sent.
func (o *Owner) RenewedAt() time.Time { return time.Unix(0, o.renewedAt.Load()) }

// excludeSuccessor records what a renewal that was sent at sentAt, and is stored, says of a successor: no instance claims the cell before
// it has seen none for SuspectTimeout.
func (o *Owner) excludeSuccessor(sentAt time.Time) {
	o.cell.ExcludeSuccessor(sentAt.Add(o.config.Ownership.SuspectTimeout))
}

// ExtendAuthority lets the owner send orders until the given time without a renewal, since no other instance claims the cell before it,
// and, if lease is above zero, grant leases of at least that length until then. The promises were requested at askedAt; a renewal that was
// prepared since states no leases that follow from them. An authority that has lapsed before is not extended, unless no instance that may
// have claimed the cell meanwhile is missing among those that have promised.
func (o *Owner) ExtendAuthority(askedAt, until time.Time, lease time.Duration, isNoneMissing bool) {
	o.postToControl(func(time.Time) {
		if askedAt.After(o.cell.AuthorityEnd()) && !isNoneMissing {
			o.Log.Warn().Str("event", "authority-not-resumed").Uint64("term", o.term.Number).
				Int64("lapsed-ms", askedAt.Sub(o.cell.AuthorityEnd()).Milliseconds()).
				Msg("the authority has lapsed, and an instance that may have claimed the cell since has not promised; waiting for a renewal")
			return
		}
		o.cell.Authorize(until)
		o.cell.ExcludeSuccessor(until)
		if lease > 0 && askedAt.After(o.renewalPreparedAt) {
			o.cell.AllowOutageLease(until, lease)
			o.recordOutageLeases()
		}
	})
}

// OutageLeases returns the remaining time of the longest lease that this owner, or a previous one, has granted while the
// table was unavailable.
func (o *Owner) OutageLeases() time.Duration {
	return max(0, time.Unix(0, o.outageLeases.Load()).Sub(o.Clock.Now()))
}

// recordOutageLeases publishes the end of the outage leases for calls from other goroutines.
func (o *Owner) recordOutageLeases() { o.outageLeases.Store(o.cell.OutageLeasesEnd().UnixNano()) }

// SetRoutes passes the services of the routes, by a version of the configuration, to the scheduler.
func (o *Owner) SetRoutes(version medlarwheel.ConfigVersion, services map[string]medlarwheel.ServiceName) {
	o.postToControl(func(now time.Time) { o.cell.SetRoutes(now, version, services) })
}

// SetMemoryLimits changes what the scheduler may hold.
func (o *Owner) SetMemoryLimits(l medlarcell.MemoryLimits) {
	o.postToControl(func(time.Time) { o.cell.SetMemoryLimits(l) })
}

// Load returns the load of a service, and keeps the given memory, in bytes, free for the submission id.
func (o *Owner) Load(ctx context.Context, service medlarwheel.ServiceName, id medlarsubmission.ID, memory int64) (medlaradmission.Load, error) {
	return callControl(ctx, o, func() medlaradmission.Load {
		now := o.Clock.Now()
		load := o.cell.Load(now, service)
		o.cell.ReserveMemory(now, id, memory)
		return load
	})
}

// TurnAway returns when a submission that is about to be refused should come back, or that it has and is to be accepted.
func (o *Owner) TurnAway(ctx context.Context, service medlarwheel.ServiceName, cause medlaradmission.Cause, r medlarreturns.Request) (medlarreturns.Answer, error) {
	return callControl(ctx, o, func() medlarreturns.Answer { return o.cell.TurnAway(o.Clock.Now(), service, cause, r) })
}

// QueueLength returns the number of submissions of a route of which no task has started yet.
func (o *Owner) QueueLength(ctx context.Context, route string) (int, error) {
	return callControl(ctx, o, func() int { return o.cell.QueueLength(route) })
}
