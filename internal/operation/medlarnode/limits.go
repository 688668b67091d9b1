package medlarnode

import (
	"cmp"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"medlarwheel/internal/acceptance/medlaringress"
	"medlarwheel/internal/operation/medlarlistener"
	"medlarwheel/internal/operation/medlarmemory"
)

// defaultDescriptors is what is assumed of a machine whose settings do not state it: the smallest one of the platform's installations.
const defaultDescriptors = 4100

// Largest sizes of headers and bodies, which are above those in the operator's configuration.
const (
	maxHeader     = 32 << 10
	maxPeerHeader = 8 << 10
	maxBody       = 1 << 20
	maxProbe      = 4 << 10
)

// listenerShare is the share of a machine that the connections of a listener may take together.
type listenerShare struct {
	// descriptors is the part of the machine's, by which they are divided, and memory returns the share of its memory.
	descriptors int
	memory      func(medlarmemory.Plan) int64
	// maxConnections bounds the connections of large machines, so that all listeners together leave the owner its reserve.
	maxConnections int
	// header is the largest size of a header.
	header int
	// unavailable is the status of a refusal for want of memory or connections.
	unavailable int
}

// Clients get 504 since 503 means that a submission never runs: an earlier request for it may have stored it. To peers 503 means
// that this request has had no effect.
var (
	clientShare = listenerShare{
		descriptors: 5, maxConnections: 500, memory: func(p medlarmemory.Plan) int64 { return p.Clients }, header: maxHeader, unavailable: fasthttp.StatusGatewayTimeout,
	}
	peerShare = listenerShare{
		descriptors: 4, maxConnections: 850, memory: func(p medlarmemory.Plan) int64 { return p.Peers }, header: maxPeerHeader, unavailable: fasthttp.StatusServiceUnavailable,
	}
	probeShare = listenerShare{
		descriptors: 16, maxConnections: 32, memory: func(p medlarmemory.Plan) int64 { return p.Probe }, header: maxPeerHeader, unavailable: fasthttp.StatusServiceUnavailable,
	}
)

// limits returns the limits of a listener on a machine.
func (s listenerShare) limits(descriptors int, memoryMB int64) medlaringress.Limits {
	return medlaringress.Limits{
		Connections: max(1, min(cmp.Or(descriptors, defaultDescriptors)/s.descriptors, s.maxConnections)),
		Bytes:       s.memory(medlarmemory.NewPlan(memoryMB)),
	}
}

func maxPeerBody() int { return maxBody }

func maxProbeBody() int { return maxProbe }

// maxClientBody returns the limit of the operator's configuration. A larger one than the listener's memory cannot be served.
func (n *Node) maxClientBody() int {
	table := n.routes.Load()
	if table == nil || table.Limits.MaxBodyBytes <= 0 {
		return maxBody
	}
	budget := clientShare.limits(n.config.Settings.Descriptors, n.config.Settings.MemoryMB).Bytes
	return int(min(int64(table.Limits.MaxBodyBytes), budget/2))
}

// limitLogInterval is the least time between two log lines about the limits of a listener.
const limitLogInterval = time.Second

// noteLimit returns a function that counts and logs the events of a listener.
func (n *Node) noteLimit(name string) func(medlarlistener.Event) {
	var mu sync.Mutex
	var loggedAt time.Time
	count := 0
	return func(e medlarlistener.Event) {
		n.meter.Count("listener." + string(e) + "." + name)
		mu.Lock()
		defer mu.Unlock()
		count++
		now := n.clock.Now()
		if now.Sub(loggedAt) < limitLogInterval {
			return
		}
		n.log.Warn().Str("event", "listener-limit").Str("server", name).Str("reason", string(e)).Int("count", count).
			Msg("clients meet the limits of the listener; count is the number since the last such line")
		loggedAt, count = now, 0
	}
}
