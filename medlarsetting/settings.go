package medlarsetting

import (
	"time"

	"medlarwheel"
)

// Settings are the validated settings of an entry instance.
type Settings struct {
	// Instance is the id of this entry instance.
	Instance medlarwheel.InstanceID
	// DataCentre is where this instance runs.
	DataCentre medlarwheel.DataCentreID
	// DataCentres lists every data centre of the system. It must be the same on every instance.
	DataCentres []medlarwheel.DataCentreID
	// Listen is the listen address for clients and operators.
	Listen string
	// ListenPeer is the listen address for other entry instances.
	ListenPeer string
	// AdvertisePeer is the address under which other entry instances reach ListenPeer.
	AdvertisePeer string
	// Platform is the address of the platform's services.
	Platform string
	// Seeds are the addresses of peers that are contacted when the instance list is unavailable.
	Seeds []string
	// SystemKey authenticates entry instances to each other.
	SystemKey string
	// OperatorKey authenticates operators. If it is empty, operator commands need no key.
	OperatorKey string
	// LogLevel is the minimum level that is logged.
	LogLevel string
	// ListInterval is the time between reads of the instance list.
	ListInterval time.Duration
	// ConfigInterval is the time between reads of configuration changes.
	ConfigInterval time.Duration
	// ExchangeInterval is the time between exchanges with peers.
	ExchangeInterval time.Duration
	// PlatformTimeout limits the duration of one call to the platform.
	PlatformTimeout time.Duration
	// PeerTimeout limits the duration of one call to a peer.
	PeerTimeout time.Duration
	// BalancerDelay is the time between failing the readiness probe of the load balancer and refusing connections during a
	// graceful shutdown.
	BalancerDelay time.Duration
	// StopTimeout limits the time that a graceful shutdown waits for requests in flight.
	StopTimeout time.Duration
	// ReadTimeout limits the time in which a client must send its whole request.
	ReadTimeout time.Duration
	// MaxHeader is the maximum size of a request header in bytes.
	MaxHeader int
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int
	// MaxConnections limits the open connections of clients.
	MaxConnections int
}
