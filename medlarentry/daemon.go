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
	"medlarwheel/medlarpeer"
	"medlarwheel/medlarplatform"
	"medlarwheel/medlarscheduler"
	"medlarwheel/medlarsetting"
	"medlarwheel/medlartransport"
	"medlarwheel/medlarupstream"
)

// Daemon is the process of one entry instance.
type Daemon struct {
	settings    medlarsetting.Settings
	clock       medlarwheel.Clock
	log         zerolog.Logger
	sampledLog  zerolog.Logger
	incarnation medlarwheel.Incarnation

	platform       *medlarplatform.Client
	operations     *medlarplatform.OperationIDGenerator
	peers          *medlarpeer.Client
	traffic        *medlarpeer.Traffic
	votes          *voteClient
	transport      *medlartransport.Transport
	routing        *routing
	admissions     *admissionSet
	results        *resultCache
	attempts       *attemptIDs
	voter          *localVoter
	metrics        *metricSet
	burnRate       *burnRate
	operatorRoutes []operatorRoute

	// snapshot is the control state that request handling reads. Only the control loop replaces it.
	snapshot     atomic.Pointer[snapshot]
	controlQueue chan controlFunc
	control      *control
	scheduler    *medlarscheduler.Scheduler

	configSignal   chan struct{}
	exchangeSignal chan struct{}

	// baseCtx ends when the instance has stopped serving.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	stop       chan struct{}
	stopOnce   sync.Once
	ready      atomic.Bool
	// registered is set once the platform has this instance in its list.
	registered     atomic.Bool
	backgroundWork sync.WaitGroup
}

const (
	// controlQueueSize is the capacity of the queue of the control loop.
	controlQueueSize = 1024
	// maxSampledLinesPerSecond bounds the log lines about failed requests, so that many failures do not flood the log.
	maxSampledLinesPerSecond = 100
)

// New returns an instance that has not opened any connection yet.
func New(settings medlarsetting.Settings, log zerolog.Logger, clock medlarwheel.Clock) *Daemon {
	// A later process of the same instance has a higher incarnation, because it starts later.
	incarnation := medlarwheel.Incarnation(clock.Now().UnixMilli())
	d := &Daemon{
		settings: settings, clock: clock, incarnation: incarnation,
		log:            log.With().Str("instance", string(settings.Instance)).Str("data-centre", string(settings.DataCentre)).Logger(),
		admissions:     newAdmissionSet(clock),
		results:        newResultCache(),
		attempts:       newAttemptIDs(settings.Instance, incarnation),
		metrics:        newMetricSet(),
		burnRate:       newBurnRate(),
		traffic:        &medlarpeer.Traffic{},
		operatorRoutes: operatorRoutes(),
		controlQueue:   make(chan controlFunc, controlQueueSize),

		configSignal: make(chan struct{}, 1), exchangeSignal: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	d.sampledLog = d.log.Sample(&zerolog.BurstSampler{Burst: maxSampledLinesPerSecond, Period: time.Second})
	d.baseCtx, d.cancelBase = context.WithCancel(context.Background())
	platform := medlarplatform.DefaultConfig(settings.Platform)
	platform.Timeout = settings.PlatformTimeout
	d.platform = medlarplatform.New(platform)
	d.operations = medlarplatform.NewOperationIDGenerator(settings.Instance, incarnation)
	d.peers = medlarpeer.NewClient(medlarpeer.ClientConfig{Key: settings.SystemKey, Timeout: settings.PeerTimeout, Traffic: d.traffic})
	d.votes = newVoteClient(d.baseCtx, d.peers)
	d.routing = newRouting(clock, medlarupstream.DefaultSharesConfig(settings.Instance, settings.DataCentre, incarnation), d.observeUpstreamLeaving)
	d.transport = medlartransport.New(medlartransport.DefaultConfig(d.routing))
	d.voter = newLocalVoter(d)
	d.control = newControl(d)
	d.scheduler = newScheduler(d)
	d.snapshot.Store(d.control.newSnapshot())
	return d
}

// Run serves until ctx ends or a drain is requested, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	clients, err := net.Listen("tcp", d.settings.Listen)
	if err != nil {
		return medlarwheel.WithOperation("listen for clients", d.settings.Listen, err)
	}
	peers, err := net.Listen("tcp", d.settings.ListenPeer)
	if err != nil {
		_ = clients.Close()
		return medlarwheel.WithOperation("listen for peers", d.settings.ListenPeer, err)
	}
	server := d.clientServer()
	peerServer := medlarpeer.NewServer(medlarpeer.ServerConfig{Key: d.settings.SystemKey, Traffic: d.traffic}, &peerHandler{d})
	var group errgroup.Group
	group.Go(func() error {
		return medlarwheel.WithOperation("serve clients", d.settings.Listen, server.Serve(clients))
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

func (d *Daemon) clientServer() *fasthttp.Server {
	return &fasthttp.Server{
		Name:               "medlarwheel",
		Handler:            d.handle,
		ReadTimeout:        d.settings.ReadTimeout,
		IdleTimeout:        idleClientTimeout,
		ReadBufferSize:     d.settings.MaxHeader,
		MaxRequestBodySize: d.settings.MaxBody,
		Concurrency:        d.settings.MaxConnections,
		CloseOnShutdown:    true,
		Logger:             httpServerLog{d.log},
	}
}

// idleClientTimeout is the time after which an idle connection of a client is closed.
const idleClientTimeout = 2 * time.Minute

// httpServerLog writes the messages of the HTTP server to the log at debug level.
type httpServerLog struct{ log zerolog.Logger }

// Printf implements fasthttp.Logger.
func (s httpServerLog) Printf(format string, arguments ...any) {
	s.log.Debug().Str("event", "http-server").Msgf(format, arguments...)
}

// background runs f in a goroutine. A shutdown waits for it, up to the stop timeout.
func (d *Daemon) background(f func()) { d.backgroundWork.Go(f) }

// requestStop starts a graceful shutdown.
func (d *Daemon) requestStop() { d.stopOnce.Do(func() { close(d.stop) }) }

// NewLogger returns a logger that writes one line of JSON per event to standard error.
func NewLogger(level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, errors.WithMessagef(err, "parse log level %q", level)
	}
	zerolog.DurationFieldUnit = time.Millisecond
	return zerolog.New(os.Stderr).Level(parsed).With().Timestamp().Logger(), nil
}
