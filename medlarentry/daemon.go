package medlarentry

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlarlink"
	"medlarwheel/medlarpeer"
	"medlarwheel/medlarplatform"
	"medlarwheel/medlarscheduler"
	"medlarwheel/medlarsetting"
	"medlarwheel/medlarupstream"
)

// Daemon is one entry instance.
type Daemon struct {
	settings    medlarsetting.Settings
	clock       medlarwheel.Clock
	log         zerolog.Logger
	sampled     zerolog.Logger
	incarnation medlarwheel.Incarnation

	platform   *medlarplatform.Client
	operations *medlarplatform.Operations
	peers      *medlarpeer.Client
	traffic    *medlarpeer.Traffic
	votes      *voteClient
	links      *medlarlink.Links
	routing    *routing
	gates      *gates
	answers    *answers
	attempts   *attemptIDs
	seat       *seatHolder
	metrics    *meters
	burn       *burn
	routes     []route

	// snapshot is what the traffic path reads. Only the control loop replaces it.
	snapshot atomic.Pointer[snapshot]
	events   chan event
	control  *control
	fleet    *medlarscheduler.Scheduler

	configNow   chan struct{}
	exchangeSig chan struct{}

	// base ends when the instance has stopped serving.
	base    context.Context
	endBase context.CancelFunc
	stop    chan struct{}
	once    sync.Once
	ready   atomic.Bool
	// announced tells that the platform lists this instance.
	announced atomic.Bool
	work      sync.WaitGroup
}

const (
	// eventQueue bounds the events that wait for the control loop.
	eventQueue = 1024
	// burstPerSecond bounds the log lines of each kind of failure, so that a flood does not become a flood of lines.
	burstPerSecond = 100
)

// New returns an instance that has opened no connection yet.
func New(settings medlarsetting.Settings, log zerolog.Logger, clock medlarwheel.Clock) *Daemon {
	// A later process of the same instance has a higher incarnation, because it starts later.
	incarnation := medlarwheel.Incarnation(clock.Now().UnixMilli())
	d := &Daemon{
		settings: settings, clock: clock, incarnation: incarnation,
		log:      log.With().Str("instance", string(settings.Instance)).Str("data-centre", string(settings.DataCentre)).Logger(),
		gates:    newGates(clock),
		answers:  newAnswers(),
		attempts: newAttemptIDs(settings.Instance, incarnation),
		metrics:  newMeters(),
		burn:     newBurn(),
		traffic:  &medlarpeer.Traffic{},
		routes:   operatorRoutes(),
		events:   make(chan event, eventQueue),

		configNow: make(chan struct{}, 1), exchangeSig: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	d.sampled = d.log.Sample(&zerolog.BurstSampler{Burst: burstPerSecond, Period: time.Second})
	d.base, d.endBase = context.WithCancel(context.Background())
	platform := medlarplatform.DefaultConfig(settings.Platform)
	platform.Timeout = settings.PlatformTimeout
	d.platform = medlarplatform.New(platform)
	d.operations = medlarplatform.NewOperations(settings.Instance, incarnation)
	d.peers = medlarpeer.NewClient(medlarpeer.ClientConfig{Key: settings.SystemKey, Timeout: settings.PeerTimeout, Traffic: d.traffic})
	d.votes = newVoteClient(d.base, d.peers)
	d.routing = newRouting(clock, medlarupstream.DefaultSharesConfig(settings.Instance, settings.DataCentre, incarnation), d.upstreamLeaving)
	d.links = medlarlink.New(medlarlink.DefaultConfig(d.routing))
	d.seat = newSeatHolder(d)
	d.control = newControl(d)
	d.fleet = newFleet(d)
	d.snapshot.Store(d.control.snapshot())
	return d
}

// Run serves until ctx ends or a drain is requested, and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return medlarwheel.WithOperation("listen for callers", d.settings.Listen, err)
	}
	peers, err := net.Listen("tcp", d.settings.ListenPeer)
	if err != nil {
		_ = callers.Close()
		return medlarwheel.WithOperation("listen for peers", d.settings.ListenPeer, err)
	}
	server := d.callerServer()
	peerServer := medlarpeer.NewServer(medlarpeer.ServerConfig{Key: d.settings.SystemKey, Traffic: d.traffic}, &peerHandler{d})
	var group errgroup.Group
	group.Go(func() error {
		return medlarwheel.WithOperation("serve callers", d.settings.Listen, server.Serve(callers))
	})
	group.Go(func() error {
		return medlarwheel.WithOperation("serve peers", d.settings.ListenPeer, peerServer.Serve(peers))
	})
	d.startLoops(&group)
	d.log.Info().Str("event", "started").Str("listen", d.settings.Listen).Str("listen-peer", d.settings.ListenPeer).
		Uint64("incarnation", uint64(d.incarnation)).Send()
	select {
	case <-ctx.Done():
	case <-d.stop:
	}
	d.requestStop()
	d.shutdown(server, peerServer)
	return group.Wait()
}

func (d *Daemon) callerServer() *fasthttp.Server {
	return &fasthttp.Server{
		Name:               "medlarwheel",
		Handler:            d.handle,
		ReadTimeout:        d.settings.ReadTimeout,
		IdleTimeout:        idleCallerTimeout,
		ReadBufferSize:     d.settings.MaxHeader,
		MaxRequestBodySize: d.settings.MaxBody,
		Concurrency:        d.settings.MaxConnections,
		CloseOnShutdown:    true,
		Logger:             serverLog{d.log},
	}
}

// idleCallerTimeout is the time after which an idle connection of a caller is closed.
const idleCallerTimeout = 2 * time.Minute

// serverLog passes the messages of the HTTP server on as debug lines.
type serverLog struct{ log zerolog.Logger }

// Printf logs one message.
func (s serverLog) Printf(format string, arguments ...any) {
	s.log.Debug().Str("event", "http-server").Msgf(format, arguments...)
}

// background runs f, and a stop waits for it.
func (d *Daemon) background(f func()) { d.work.Go(f) }

// requestStop begins a planned stop.
func (d *Daemon) requestStop() { d.once.Do(func() { close(d.stop) }) }

// NewLogger returns a logger that writes one JSON line an event.
func NewLogger(level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, errors.WithMessage(err, "log level")
	}
	zerolog.DurationFieldUnit = time.Millisecond
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger(), nil
}
