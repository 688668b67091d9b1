// Package medlarowner runs the scheduler of a cell on the instance that owns it: it loads the cell's records, follows new
// submissions and workers, carries out the commands of the scheduler, and stores its records.
//
// One goroutine owns the scheduler; everything else reaches it as events. Calls to workers and to the table are made by
// other goroutines, which report back with events.
//
// # Usage
//
//	owner, err := medlarowner.New(config, dependencies, tenure)
//	err = owner.Run(ctx) // until the context ends or another instance owns the cell
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
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/operation/medlarmetrics"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlarhedge"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// ErrSuperseded means that another instance owns the cell.
var ErrSuperseded = errors.New("another instance owns the cell")

// Store is the platform's table.
type Store interface {
	Transact(t medlartable.Transaction) (medlartable.Commit, error)
	TransactWithin(t medlartable.Transaction, timeout time.Duration) (medlartable.Commit, error)
	Read(r medlartable.Range) (medlartable.Page, error)
	Follow(f medlartable.FollowRequest) (medlartable.Page, error)
}

// Agent gives orders to one worker.
type Agent interface {
	Start(s medlarorder.Start) (medlarorder.Response, error)
	Stop(s medlarorder.Stop) (medlarorder.Response, error)
	Pace(p medlarorder.Pace) (medlarorder.Response, error)
	Renew(h medlarorder.Renew) (medlarorder.Report, error)
	// SetConnections bounds the open connections for orders.
	SetConnections(n int)
	Close()
}

// Registry reads the list of workers.
type Registry struct {
	// Range selects the rows in which workers register themselves.
	Range medlartable.Range
	// Decode reads one row.
	Decode func(id string, data []byte) (medlarorder.Worker, error)
}

// Config configures an owner.
type Config struct {
	// Part is the part of the table that holds the cell's rows, and the prefix of the parts that hold its submissions.
	Part   string
	Cell   medlarcell.Config
	Tenure medlarownership.Config
	// TickInterval is the time between two looks at what is due.
	TickInterval time.Duration
	// FlushInterval is the least time between two writes of records. It bounds the calls to the table.
	FlushInterval time.Duration
	// ModelSnapshotInterval is the time between two writes of what is learnt about interference.
	ModelSnapshotInterval time.Duration
	// FlushRetry is the pause after a write that the table has refused.
	FlushRetry time.Duration
	// Hedge configures when a write is sent again.
	Hedge medlarhedge.Config
	// FollowWait is how long the table may hold a read of changes. It bounds the time lost on a connection gone silent.
	FollowWait time.Duration
	// WorkersPause is the time after each change of the list of workers in which further ones gather. Every worker renews its
	// registration, so that hundreds of them would lead to a read for each renewal.
	WorkersPause time.Duration
	// FollowRetry is the pause after a failed read of changes.
	FollowRetry time.Duration
}

// DefaultConfig returns the configuration for a cell of some hundred workers.
func DefaultConfig() Config {
	return Config{
		Part: "c0", Cell: medlarcell.DefaultConfig(), Tenure: medlarownership.DefaultConfig(),
		TickInterval: 50 * time.Millisecond, FlushInterval: 15 * time.Millisecond, FlushRetry: 100 * time.Millisecond,
		ModelSnapshotInterval: 2 * time.Second,
		Hedge:                 medlarhedge.DefaultConfig(),
		FollowWait:            700 * time.Millisecond, FollowRetry: 100 * time.Millisecond,
		WorkersPause: 250 * time.Millisecond,
	}
}

// Dependencies are what an owner works with.
type Dependencies struct {
	Store    Store
	Registry Registry
	// Connect returns the agent of a worker, with a bound on its connections for orders.
	Connect func(id medlarwheel.WorkerID, address string, connections int) Agent
	// Connections returns the bound for each of a number of workers.
	Connections func(workers int) int
	Clock       medlarwheel.Clock
	Log         zerolog.Logger
	Meter       *medlarmetrics.Meter
}

// eventBuffer is the number of events that may wait for the control goroutine.
const eventBuffer = 1024

// Owner runs the scheduler of a cell.
type Owner struct {
	config Config
	Dependencies
	term   medlarownership.Term
	cell   *medlarcell.Cell
	chain  *medlarcellstore.Chain
	agents map[medlarwheel.WorkerID]*agentEntry
	// connectionLimit is the present bound on the connections for orders to each worker.
	connectionLimit int
	events          chan func(now time.Time)
	done            chan struct{}
	// failed holds the panic of a call beside the control goroutine.
	failed chan error

	// placedAt is when the last pass of placement ended, and placeTook how long it took.
	placedAt       time.Time
	placeDuration  time.Duration
	placeScheduled bool

	writer          *medlarhedge.Writer
	flushing        bool
	flushScheduled  bool
	flushedAt       time.Time
	modelSnapshotAt time.Time
	// renewedAt is when the last stored renewal was sent, in nanoseconds of the Unix time.
	renewedAt atomic.Int64
	// outageLeases is when the leases that were granted without the table have ended, in nanoseconds of the Unix time.
	outageLeases  atomic.Int64
	renewDuration time.Duration
	// turnaround tells whether this machine gives the owner its processor time.
	turnaround turnaround
	claimedAt  time.Time
	// submissionsVersion and workersFrom are the versions up to which submissions and workers are loaded.
	submissionsVersion, workersVersion medlarwheel.RowVersion
	eraser                             eraser
	eventLogLimit                      logLimit
	releasing                          bool
	superseded                         bool
}

type agentEntry struct {
	agent   Agent
	address string
}

// New returns the owner of a cell after its claim was stored with the version of term.
func New(c Config, d Dependencies, term medlarownership.Term, claimedAt time.Time, before medlarownership.Predecessor) *Owner {
	o := &Owner{
		config: c, Dependencies: d, term: term, cell: medlarcell.New(c.Cell),
		chain:  medlarcellstore.NewChain(c.Part, term.Number, term.Version),
		agents: map[medlarwheel.WorkerID]*agentEntry{}, events: make(chan func(time.Time), eventBuffer),
		done: make(chan struct{}), failed: make(chan error, 1), claimedAt: claimedAt,
		writer: medlarhedge.New(c.Hedge, d.Store, d.Clock, func(bool) {}), eraser: newEraser(),
	}
	o.cell.Begin(claimedAt, medlarcell.Ownership{
		Fence: medlarownership.FirstFencingToken(term.Version), Term: term.Number, Expired: before.Expired, Grace: before.Grace,
		OutageLeaseRemaining: before.OutageLeases,
	})
	o.recordOutageLeases()
	o.recordRenewal(claimedAt)
	o.cell.Authorize(claimedAt.Add(c.Tenure.OwnerTimeout))
	return o
}

// Run works until the context ends or another instance owns the cell.
func (o *Owner) Run(ctx context.Context) error {
	defer close(o.done)
	if err := o.loadWhileRenewing(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	o.goInGroup(group, "follow-submissions", func() error { return o.followSubmissions(ctx) })
	o.goInGroup(group, "follow-workers", func() error { return o.followWorkers(ctx) })
	o.goInGroup(group, "control", func() error { return o.control(ctx) })
	err := group.Wait()
	for _, a := range o.agents {
		a.agent.Close()
	}
	return err
}

// control is the only goroutine that touches the scheduler.
func (o *Owner) control(ctx context.Context) error {
	ticker := time.NewTicker(o.config.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-o.failed:
			return err
		case event := <-o.events:
			event(o.Clock.Now())
			o.drainEvents()
		case <-ticker.C:
			o.cell.Tick(o.Clock.Now())
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

// placePauseFactor is the inverse of the greatest part of the processor's time that placement may take, so that a long queue on a
// small instance does not delay the renewal of leases.
const placePauseFactor = 4

// place runs a pass of placement unless the last one has just ended.
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

// schedulePlace makes the control goroutine look again once the next pass may run.
func (o *Owner) schedulePlace(wait time.Duration) {
	if o.placeScheduled {
		return
	}
	o.placeScheduled = true
	time.AfterFunc(wait, func() { o.post(func(time.Time) { o.placeScheduled = false }) })
}

// drainEvents handles the events that have come in meanwhile, so that one pass of placement serves them all.
func (o *Owner) drainEvents() {
	for range eventBuffer {
		select {
		case event := <-o.events:
			event(o.Clock.Now())
		default:
			return
		}
	}
}

// post hands an event to the control goroutine. It reports false once that has ended.
func (o *Owner) post(event func(now time.Time)) bool {
	select {
	case o.events <- event:
		return true
	case <-o.done:
		return false
	}
}

// query runs a read of the scheduler on the control goroutine.
func (o *Owner) query(ctx context.Context, read func()) error {
	answered := make(chan struct{})
	if !o.post(func(time.Time) { read(); close(answered) }) {
		return ErrSuperseded
	}
	select {
	case <-answered:
		return nil
	case <-o.done:
		return ErrSuperseded
	case <-ctx.Done():
		return ctx.Err()
	}
}

// State returns the state of a submission, if the owner knows it.
func (o *Owner) State(ctx context.Context, id medlarsubmission.ID) (state medlarsubmission.State, known bool, err error) {
	err = o.query(ctx, func() { state, known = o.cell.State(id) })
	return state, known, err
}

// ClaimedAt returns when the cell was claimed.
func (o *Owner) ClaimedAt() time.Time { return o.claimedAt }

// TermNumber returns the number of the owner's claim.
func (o *Owner) TermNumber() uint64 { return o.term.Number }

// RenewedAt returns when the last renewal that the table has stored was sent.
func (o *Owner) RenewedAt() time.Time { return time.Unix(0, o.renewedAt.Load()) }

// ExtendAuthority lets the owner give orders until the given time, and grant leases of at least the given length until then.
func (o *Owner) ExtendAuthority(until time.Time, lease time.Duration) {
	o.post(func(time.Time) {
		o.cell.Authorize(until)
		if lease > 0 {
			o.cell.AllowOutageLease(until, lease)
			o.recordOutageLeases()
		}
	})
}

// OutageLeases returns how much longer leases may last that this owner, or one before it, has granted without the table.
func (o *Owner) OutageLeases() time.Duration {
	return max(0, time.Unix(0, o.outageLeases.Load()).Sub(o.Clock.Now()))
}

func (o *Owner) recordOutageLeases() { o.outageLeases.Store(o.cell.OutageLeasesEnd().UnixNano()) }

// Load returns the load of a service.
func (o *Owner) Load(ctx context.Context, service medlarwheel.ServiceName) (load medlaradmission.Load, err error) {
	err = o.query(ctx, func() { load = o.cell.Load(o.Clock.Now(), service) })
	return load, err
}

// Waiting returns the number of submissions of a route of which no task has started.
func (o *Owner) Waiting(ctx context.Context, route string) (n int, err error) {
	err = o.query(ctx, func() { n = o.cell.QueueLength(route) })
	return n, err
}
