package medlarsetting

import (
	"time"

	"medlarwheel"
)

// Settings are the checked settings of an entry instance.
type Settings struct {
	// Instance is the id of this entry instance.
	Instance medlarwheel.InstanceID
	// DataCentre is where this instance runs.
	DataCentre medlarwheel.DataCentreID
	// DataCentres lists every data centre of the system. It must be the same on every instance.
	DataCentres []medlarwheel.DataCentreID
	// Listen is the address for callers and operators.
	Listen string
	// ListenPeer is the address for other entry instances.
	ListenPeer string
	// AdvertisePeer is the address under which other entry instances reach ListenPeer.
	AdvertisePeer string
	// Platform is the address of the platform's services.
	Platform string
	// Seeds are peer addresses that are asked when the instance list is out of reach.
	Seeds []string
	// SystemKey authenticates entry instances to each other.
	SystemKey string
	// OperatorKey authenticates operators. Empty allows every operator command.
	OperatorKey string
	// LogLevel is the least level that is logged.
	LogLevel string
	// ListInterval is the time between reads of the instance list.
	ListInterval time.Duration
	// ConfigInterval is the time between reads of configuration changes.
	ConfigInterval time.Duration
	// ExchangeInterval is the time between exchanges with peers.
	ExchangeInterval time.Duration
	// PlatformTimeout bounds one call to the platform.
	PlatformTimeout time.Duration
	// PeerTimeout bounds one call to a peer.
	PeerTimeout time.Duration
	// BalancerDelay is the time between failing readiness and refusing connections on a planned stop.
	BalancerDelay time.Duration
	// StopTimeout bounds the time that a planned stop waits for requests in flight.
	StopTimeout time.Duration
	// ReadTimeout bounds the time in which a caller must send its whole request.
	ReadTimeout time.Duration
	// MaxHeader bounds the header of a request in bytes.
	MaxHeader int
	// MaxBody bounds the body of a request in bytes.
	MaxBody int
	// MaxConnections bounds the open connections of callers.
	MaxConnections int
}
