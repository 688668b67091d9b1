package medlarnode

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// Paths of the requests between instances. State, waiting and load go to the owner of the cell.
const (
	peerPathState       = "/peer/state"
	peerPathQueueLength = "/peer/waiting"
	peerPathLoad        = "/peer/load"
	peerPathProcess     = "/peer/process"
	peerPathPromise     = "/peer/promise"
	// peerPathTakeOver asks an instance to claim the cell because its owner has stopped giving orders.
	peerPathTakeOver = "/peer/take-over"
)

// peerRequest is a request to another instance.
type peerRequest struct {
	Submission medlarsubmission.ID `json:"submission,omitempty"`
	Route      string              `json:"route,omitempty"`
	// Term is the number of the claim that is given up, or for which a promise is requested.
	Term uint64 `json:"term,omitempty"`
	// Service is the service whose load is requested.
	Service medlarwheel.ServiceName `json:"service,omitempty"`
	// OutageLease is the length of the worker leases that the owner grants once every instance has promised.
	OutageLease time.Duration `json:"outage-lease-ns,omitempty"`
	// LeasesLeft is how much longer such leases may last at a handover.
	LeasesLeft time.Duration `json:"leases-left-ns,omitempty"`
}

// peerResponse is the response of another instance.
type peerResponse struct {
	Known       bool                   `json:"known,omitempty"`
	State       medlarsubmission.State `json:"state,omitempty"`
	QueueLength int                    `json:"waiting,omitempty"`
	Load        medlaradmission.Load   `json:"load,omitzero"`
	// Process is the name of the responding process.
	Process string `json:"process,omitempty"`
	// Promise is true if the responding instance will not claim the cell within the owner's timeout.
	Promise bool `json:"promise,omitempty"`
	// TableReachable is true if the responding instance can read the claim from the table.
	TableReachable bool `json:"served,omitempty"`
}

// Check reports every fault of a.
func (a *peerResponse) Check() medlarwheel.Faults {
	if a.Known && a.State != "" && !a.State.IsValid() {
		return medlarwheel.Faults{}.Add("state", a.State, "a state of a submission")
	}
	return nil
}

// errNoOwner means that no owner of the cell is known, or that the instance asked is not the owner.
var errNoOwner = errors.New("no owner of the cell is known")

// peerConnections limits the connections to one instance.
const peerConnections = 32

// peerIdleLifetime is how long an idle connection is kept. It is well below the idle timeout of the server.
const peerIdleLifetime = 20 * time.Second

// peerClient calls other instances. It keeps the client of one address only, since there is one owner at a time.
type peerClient struct {
	timeout time.Duration
	mu      sync.Mutex
	client  *fasthttp.HostClient
	// backoffUntil is the time until which an address that timed out is not called again, so that not every request
	// waits for its own timeout.
	backoffUntil time.Time
}

// peerBackoff is how long an address that timed out is not called.
const peerBackoff = 250 * time.Millisecond

// errPeerUnresponsive means that the call was skipped because the address timed out within peerBackoff.
var errPeerUnresponsive = errors.New("call skipped, the previous call timed out a moment ago")

func newPeerClient(timeout time.Duration) *peerClient { return &peerClient{timeout: timeout} }

// peerClients keeps a client for each address, so that successive requests use one connection.
type peerClients struct {
	mu        sync.Mutex
	byAddress map[string]*peerClient
}

func (p *peerClients) clientFor(address string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.byAddress[address]
	if client == nil {
		client = newPeerClient(promiseTimeout)
		if p.byAddress == nil {
			p.byAddress = map[string]*peerClient{}
		}
		p.byAddress[address] = client
	}
	return client
}

func (p *peerClient) hostClient(address string) *fasthttp.HostClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client == nil || p.client.Addr != address {
		p.backoffUntil = time.Time{}
		p.client = &fasthttp.HostClient{
			Addr: address, MaxConns: peerConnections, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
			MaxIdleConnDuration: peerIdleLifetime,
			DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
				return net.DialTimeout("tcp4", address, min(timeout, p.timeout))
			},
		}
	}
	return p.client
}

func (p *peerClient) isBackingOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.backoffUntil)
}

func (p *peerClient) startBackoff() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backoffUntil = time.Now().Add(peerBackoff)
}

func (p *peerClient) call(address, path string, q peerRequest) (peerResponse, error) {
	var answer peerResponse
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	body, err := json.Marshal(q)
	if err != nil {
		return answer, medlarwheel.WithOperation("call peer "+path, address, err)
	}
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + path)
	request.SetBody(body)
	client := p.hostClient(address)
	if p.isBackingOff() {
		return answer, medlarwheel.WithOperation("call peer "+path, address, errPeerUnresponsive)
	}
	if err := client.DoTimeout(request, response, p.timeout); err != nil {
		if errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, fasthttp.ErrDialTimeout) {
			p.startBackoff()
		}
		return answer, medlarwheel.WithOperation("call peer "+path, address, err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return answer, medlarwheel.WithOperation("call peer "+path, address,
			errors.Errorf("status %d, want %d", response.StatusCode(), fasthttp.StatusOK))
	}
	answer, err = medlarwheel.Decode[peerResponse](response.Body())
	return answer, medlarwheel.WithOperation("call peer "+path, address, err)
}

// handlePeer serves the requests of other instances.
func (n *Node) handlePeer(ctx *fasthttp.RequestCtx) {
	var q peerRequest
	if err := json.Unmarshal(ctx.PostBody(), &q); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	answer, err := n.processPeerRequest(string(ctx.Path()), q)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

func (n *Node) processPeerRequest(path string, q peerRequest) (peerResponse, error) {
	a := peerResponse{}
	if path == peerPathProcess {
		a.Process = n.process
		return a, nil
	}
	if path == peerPathPromise {
		a.Promise = n.grantPromise(q.Term, q.OutageLease)
		a.TableReachable = n.canReadClaim()
		return a, nil
	}
	if path == peerPathTakeOver {
		go n.takeOver(q.Term, q.LeasesLeft)
		return a, nil
	}
	owner := n.owner.Load()
	if owner == nil {
		return a, errNoOwner
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.config.PeerTimeout)
	defer cancel()
	var err error
	switch path {
	case peerPathState:
		a.State, a.Known, err = owner.State(ctx, q.Submission)
	case peerPathLoad:
		a.Load, err = owner.Load(ctx, q.Service)
		a.Known = !a.Load.At.IsZero()
	case peerPathQueueLength:
		a.Known = true
		a.QueueLength, err = owner.QueueLength(ctx, q.Route)
	default:
		err = errors.Errorf("unknown peer request path %q", path)
	}
	return a, err
}

// queryOwner calls the owner of the cell, which may be this instance.
func (n *Node) queryOwner(path string, q peerRequest) (peerResponse, error) {
	if n.owner.Load() != nil {
		return n.processPeerRequest(path, q)
	}
	term := n.term.Load()
	if term == nil || term.Released || term.Process == n.process {
		return peerResponse{}, errNoOwner
	}
	return n.ownerClient.call(term.Address, path, q)
}

func (n *Node) queryState(id medlarsubmission.ID) (medlarsubmission.State, bool) {
	a, err := n.queryOwner(peerPathState, peerRequest{Submission: id})
	if err != nil {
		n.log.Warn().Str("event", "owner-not-asked").Str("id", string(id)).Err(err).
			Msg("cannot get the state of the submission from the owner; reading it from the table")
		return "", false
	}
	return a.State, a.Known
}

func (n *Node) queryQueueLength(route string) (int, error) {
	a, err := n.queryOwner(peerPathQueueLength, peerRequest{Route: route})
	return a.QueueLength, err
}

// loadCache keeps the last load report of each service. Submissions that arrive while a report is being fetched use the
// previous one, unless admissionLoad fetches a report for them.
type loadCache struct {
	mu        sync.Mutex
	byService map[medlarwheel.ServiceName]loadEntry
}

type loadEntry struct {
	load        medlaradmission.Load
	fetching    bool
	requestedAt time.Time
}

// lastReport returns the last load report of a service.
func (c *loadCache) lastReport(service medlarwheel.ServiceName) medlaradmission.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byService[service].load
}

// loadRefreshAge is the age from which a load report is fetched anew for the next submission.
const loadRefreshAge = 250 * time.Millisecond

// admissionLoad returns the load for the admission decision on a submission. If the decision depends on the load and the
// last report is old, it waits for a new one: with many instances, most submissions are the first at their instance for
// seconds.
func (n *Node) admissionLoad(s *medlarsubmission.Submission) medlaradmission.Load {
	if !n.config.Admission.DependsOnLoad(s) {
		return n.cachedLoad(s.Service)
	}
	if now := n.clock.Now(); now.Sub(n.loadReports.lastReport(s.Service).At) >= loadRefreshAge {
		n.fetchLoad(s.Service, now)
	}
	return n.loadReports.lastReport(s.Service)
}

// cachedLoad returns the last known load of a service, and fetches a new report in the background if it is old.
func (n *Node) cachedLoad(service medlarwheel.ServiceName) medlaradmission.Load {
	now := n.clock.Now()
	n.loadReports.mu.Lock()
	defer n.loadReports.mu.Unlock()
	entry := n.loadReports.byService[service]
	if !entry.fetching && now.Sub(entry.requestedAt) >= loadRefreshAge {
		entry.fetching, entry.requestedAt = true, now
		n.loadReports.byService[service] = entry
		go n.fetchLoad(service, now)
	}
	return entry.load
}

func (n *Node) fetchLoad(service medlarwheel.ServiceName, asked time.Time) {
	a, err := n.queryOwner(peerPathLoad, peerRequest{Service: service})
	if err != nil {
		n.log.Warn().Str("event", "load-unknown").Str("service", string(service)).Err(err).
			Msg("cannot get the load from the owner; keeping the last report")
	}
	n.loadReports.mu.Lock()
	defer n.loadReports.mu.Unlock()
	entry := n.loadReports.byService[service]
	entry.fetching = false
	if err == nil && a.Known {
		entry.load = a.Load
		// The clocks of two instances may differ, so the age counts from the local time of the request.
		entry.load.At = asked
	}
	n.loadReports.byService[service] = entry
}
