package medlarnode

import (
	"context"
	"encoding/json"
	"math"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlargroupcommit"
	"medlarwheel/internal/acceptance/medlarreturns"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/operation/medlarmemory"
)

// Paths of the requests between instances. State, queue length, load and return times are requested from the owner of the cell.
const (
	peerPathState       = "/peer/state"
	peerPathQueueLength = "/peer/waiting"
	peerPathLoad        = "/peer/load"
	peerPathTurnAway    = "/peer/turn-away"
	peerPathProcess     = "/peer/process"
	peerPathPromise     = "/peer/promise"
	// peerPathTakeOver asks an instance to claim the cell because its owner has stopped giving orders.
	peerPathTakeOver = "/peer/take-over"
	// peerPathStore asks an instance to store a row for one that the table does not respond to.
	peerPathStore = "/peer/store"
	// peerPathTable asks an instance whether the table responds to it.
	peerPathTable = "/peer/table"
)

// peerRequest is a request to another instance.
type peerRequest struct {
	Submission medlarsubmission.ID `json:"submission,omitempty"`
	Route      string              `json:"route,omitempty"`
	// Term is the number of the claim that is given up, or for which a promise is requested.
	Term uint64 `json:"term,omitempty"`
	// Service is the service whose load is requested.
	Service medlarwheel.ServiceName `json:"service,omitempty"`
	// Memory is the memory in bytes that Submission needs, which the owner keeps free for a while.
	Memory int64 `json:"memory,omitempty"`
	// TurnedAway is a submission of Service that is about to be refused because of the limit TurnedAwayBy.
	TurnedAway   *medlarreturns.Request `json:"turned-away,omitempty"`
	TurnedAwayBy medlaradmission.Cause  `json:"turned-away-by,omitempty"`
	// OutageLease is the length of the worker leases that the owner grants once every instance has promised.
	OutageLease time.Duration `json:"outage-lease-ns,omitempty"`
	// LeasesLeft is how much longer such leases may last at a handover.
	LeasesLeft time.Duration `json:"leases-left-ns,omitempty"`
	// Row is a row to be stored, and Remaining the time in which its result is of use.
	Row       *peerRow      `json:"row,omitempty"`
	Remaining time.Duration `json:"remaining-ns,omitempty"`
	// Instances requests the addresses of the registered instances.
	Instances bool `json:"instances,omitempty"`
}

// peerResponse is the response of another instance.
type peerResponse struct {
	Known       bool                   `json:"known,omitempty"`
	State       medlarsubmission.State `json:"state,omitempty"`
	QueueLength int                    `json:"waiting,omitempty"`
	Load        medlaradmission.Load   `json:"load,omitzero"`
	Return      medlarreturns.Answer   `json:"return,omitzero"`
	// Process is the name of the responding process.
	Process string `json:"process,omitempty"`
	// Promise is true if the responding instance will not claim the cell within the owner's timeout.
	Promise bool `json:"promise,omitempty"`
	// TableReachable is true if the responding instance can read the claim from the table, or for peerPathTable, if its last call
	// had a response.
	TableReachable bool `json:"served,omitempty"`
	// Instances holds the addresses of the registered instances, if they were requested from the owner.
	Instances []string `json:"instances,omitempty"`
	// Stored is the result of storing a row.
	Stored medlargroupcommit.Result `json:"stored,omitempty"`
}

// Check returns all faults of the response.
func (r *peerResponse) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	if r.Known && r.State != "" && !r.State.IsValid() {
		faults = faults.Add("state", r.State, "a state of a submission")
	}
	if r.Stored != "" && !r.Stored.IsValid() {
		faults = faults.Add("stored", r.Stored, "a result of storing a row")
	}
	return faults
}

// errNoOwner means that no owner of the cell is known, or that the called instance is not the owner.
var errNoOwner = errors.New("no owner of the cell is known")

// peerDialTimeout bounds the time to connect to another instance. Data centres are milliseconds apart.
const peerDialTimeout = 300 * time.Millisecond

// peerConnections limits the connections to one instance.
const peerConnections = 32

// peerIdleLifetime is how long an idle connection is kept. It is well below the idle timeout of the server, and short, since the owner of a
// large cell holds connections from all instances.
const peerIdleLifetime = 5 * time.Second

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

// errPeerStatus means that the instance has answered with an error.
var errPeerStatus = errors.New("unexpected status")

func newPeerClient(timeout time.Duration) *peerClient { return &peerClient{timeout: timeout} }

// peerClients keeps a client for each address, so that successive requests use one connection.
type peerClients struct {
	timeout   time.Duration
	mu        sync.Mutex
	byAddress map[string]*peerClient
}

func (p *peerClients) clientFor(address string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.byAddress[address]
	if client == nil {
		client = newPeerClient(p.timeout)
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
			MaxIdleConnDuration: peerIdleLifetime, MaxResponseBodySize: maxBody,
			DialTimeout: func(address string, timeout time.Duration) (net.Conn, error) {
				conn, err := net.DialTimeout("tcp4", address, min(timeout, p.timeout, peerDialTimeout))
				return conn, medlarwheel.WithoutEffect(err)
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

// call makes a request to the instance at the address. If medlarwheel.HasNoEffect holds for the error, the instance has not
// carried out the request.
func (p *peerClient) call(address, path string, request peerRequest) (peerResponse, error) {
	var response peerResponse
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	body, err := json.Marshal(request)
	if err != nil {
		return response, medlarwheel.WithOperation("call peer "+path, address, err)
	}
	httpRequest.Header.SetMethod(fasthttp.MethodPost)
	httpRequest.SetRequestURI("http://" + address + path)
	httpRequest.SetBody(body)
	client := p.hostClient(address)
	if p.isBackingOff() {
		return response, medlarwheel.WithoutEffect(medlarwheel.WithOperation("call peer "+path, address, errPeerUnresponsive))
	}
	if err := client.DoTimeout(httpRequest, httpResponse, p.timeout); err != nil {
		if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
			p.startBackoff()
		}
		if errors.Is(err, fasthttp.ErrNoFreeConns) {
			err = medlarwheel.WithoutEffect(err)
		}
		return response, medlarwheel.WithOperation("call peer "+path, address, err)
	}
	if httpResponse.StatusCode() != fasthttp.StatusOK {
		return response, statusError(path, address, httpResponse.StatusCode())
	}
	response, err = medlarwheel.Decode[peerResponse](httpResponse.Body())
	return response, medlarwheel.WithOperation("call peer "+path, address, err)
}

// statusError returns the error for a response with an unexpected status. The instance responds with 400, 408, 413 or 503 if it has
// not carried out the request; a handler that panics may have done so.
func statusError(path, address string, status int) error {
	err := medlarwheel.WithOperation("call peer "+path, address, errors.WithMessagef(errPeerStatus, "status %d, want %d", status, fasthttp.StatusOK))
	switch status {
	case fasthttp.StatusBadRequest, fasthttp.StatusRequestTimeout, fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusServiceUnavailable:
		return medlarwheel.WithoutEffect(err)
	}
	return err
}

// handlePeer serves the requests of other instances.
func (n *Node) handlePeer(ctx *fasthttp.RequestCtx) {
	var request peerRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	response, err := n.processPeerRequest(string(ctx.Path()), request)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(response)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

func (n *Node) processPeerRequest(path string, request peerRequest) (peerResponse, error) {
	response := peerResponse{}
	if path == peerPathProcess {
		response.Process = n.process
		return response, nil
	}
	if path == peerPathPromise {
		response.Promise = n.grantPromise(request.Term, request.OutageLease)
		response.TableReachable = n.canReadClaim()
		return response, nil
	}
	if path == peerPathTakeOver {
		go n.takeOver(request.Term, request.LeasesLeft)
		return response, nil
	}
	if path == peerPathStore {
		response.Stored = n.storeForPeer(request)
		return response, nil
	}
	if path == peerPathTable {
		response.TableReachable, response.Instances = n.tableReport(request.Instances)
		return response, nil
	}
	owner := n.owner.Load()
	if owner == nil {
		return response, errNoOwner
	}
	ctx, cancel := context.WithTimeout(context.Background(), n.config.PeerTimeout)
	defer cancel()
	var err error
	switch path {
	case peerPathState:
		response.State, response.Known, err = owner.State(ctx, request.Submission)
	case peerPathLoad:
		response.Load, err = owner.Load(ctx, request.Service, request.Submission, request.Memory)
		response.Load.BestEffort.Instances = n.registeredInstances()
		response.Known = !response.Load.At.IsZero()
	case peerPathTurnAway:
		response.Return, err = turnAwayAtOwner(ctx, owner, &request)
		response.Known = err == nil
	case peerPathQueueLength:
		response.Known = true
		response.QueueLength, err = owner.QueueLength(ctx, request.Route)
	default:
		err = errors.Errorf("unknown peer request path %q", path)
	}
	return response, err
}

// queryOwner calls the owner of the cell, which may be this instance.
func (n *Node) queryOwner(path string, request peerRequest) (peerResponse, error) {
	if n.owner.Load() != nil {
		return n.processPeerRequest(path, request)
	}
	term := n.term.Load()
	if term == nil || term.Released || term.Process == n.process {
		return peerResponse{}, errNoOwner
	}
	return n.ownerClient.call(term.Address, path, request)
}

func (n *Node) queryState(id medlarsubmission.ID) (medlarsubmission.State, bool) {
	response, err := n.queryOwner(peerPathState, peerRequest{Submission: id})
	if err != nil {
		n.log.Warn().Str("event", "owner-not-asked").Str("id", string(id)).Err(err).
			Msg("cannot get the state of the submission from the owner; reading it from the table")
		return "", false
	}
	return response.State, response.Known
}

func (n *Node) queryQueueLength(route string) (int, error) {
	response, err := n.queryOwner(peerPathQueueLength, peerRequest{Route: route})
	return response.QueueLength, err
}

// loadCache keeps the last load report of each service. Submissions that arrive while a report is being fetched use the
// previous one, unless admissionLoad fetches a report for them.
type loadCache struct {
	mu        sync.Mutex
	byService map[medlarwheel.ServiceName]loadEntry
	memory    medlaradmission.MemoryDoor
}

type loadEntry struct {
	load        medlaradmission.Load
	pending     medlaradmission.Pending
	fetching    bool
	requestedAt time.Time
}

// lastReport returns the last load report of a service.
func (c *loadCache) lastReport(service medlarwheel.ServiceName) medlaradmission.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byService[service].load
}

// loadRefreshAge is the age from which a load report is fetched again for the next submission.
const loadRefreshAge = 250 * time.Millisecond

// admit decides whether a submission is accepted.
func (n *Node) admit(s *medlarsubmission.Submission) medlaradmission.Decision {
	report, isReserved := n.admissionLoad(s)
	around := n.surroundings(report.BestEffort.Instances)
	n.loadReports.mu.Lock()
	defer n.loadReports.mu.Unlock()
	entry := n.loadReports.byService[s.Service]
	now, load := n.clock.Now(), entry.pending.Apply(&n.config.Admission.BestEffort, report)
	decision := n.loadReports.memory.Admit(now, &n.config.Admission, s, around, isReserved)
	if decision.Accept {
		decision = n.config.Admission.Admit(now, s, load)
	}
	if decision.Accept {
		entry.pending.Add(now, &n.config.Admission.BestEffort, s, load)
		if !isReserved {
			n.loadReports.memory.Add(now, s)
		}
	}
	n.loadReports.byService[s.Service] = entry
	n.meter.Gauge("door.long-running-reserved", int64(load.LongRunningReserved))
	n.meter.Gauge("door.best-effort-backlog", int64(load.BestEffort.Ahead(math.MaxInt)))
	n.meter.Gauge("door.best-effort-drain-rate", int64(load.BestEffort.DrainRate))
	return decision
}

// admissionLoad returns the load for the admission decision on a submission. If the decision depends on the load and the
// last report is old, it waits for a new one: with many instances, most submissions are the first at their instance for
// seconds. For a submission that needs much memory it always does, since the owner keeps the memory free for it. isReserved reports
// whether the owner was asked to.
func (n *Node) admissionLoad(s *medlarsubmission.Submission) (load medlaradmission.Load, isReserved bool) {
	now := n.clock.Now()
	last := n.loadReports.lastReport(s.Service)
	around := n.surroundings(last.BestEffort.Instances)
	n.loadReports.mu.Lock()
	reserved := n.loadReports.memory.ToReserve(now, &n.config.Admission, s, around)
	n.loadReports.mu.Unlock()
	if reserved == 0 && !n.config.Admission.DependsOnLoad(s) {
		return n.cachedLoad(s.Service), false
	}
	if reserved > 0 || now.Sub(last.At) >= loadRefreshAge {
		isReserved = n.fetchLoad(s.Service, s.ID, reserved, now) && reserved > 0
	}
	return n.loadReports.lastReport(s.Service), isReserved
}

// surroundings returns what this instance knows of the others, given the number of instances in the last report of the load.
func (n *Node) surroundings(reported int) medlaradmission.Surroundings {
	n.registry.mu.Lock()
	defer n.registry.mu.Unlock()
	instances, leastMemoryMB := reported, n.config.Settings.MemoryMB
	if n.registry.instances != nil {
		instances = max(instances, n.registry.instances.Len())
		leastMemoryMB = n.registry.instances.LeastMemoryMB(n.registry.lastReadAt, leastMemoryMB)
	}
	return medlaradmission.Surroundings{Instances: instances, Memory: medlarmemory.NewPlan(leastMemoryMB).Submissions}
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
		go n.fetchLoad(service, "", 0, now)
	}
	return entry.load
}

// fetchLoad fetches a load report, and lets the owner keep the given memory free for the submission id. It reports whether the owner has
// answered.
func (n *Node) fetchLoad(service medlarwheel.ServiceName, id medlarsubmission.ID, memory int64, requestedAt time.Time) bool {
	response, err := n.queryOwner(peerPathLoad, peerRequest{Submission: id, Service: service, Memory: memory})
	if err != nil {
		n.log.Warn().Str("event", "load-unknown").Str("service", string(service)).Err(err).
			Msg("cannot get the load from the owner; keeping the last report")
	}
	n.loadReports.mu.Lock()
	defer n.loadReports.mu.Unlock()
	entry := n.loadReports.byService[service]
	entry.fetching = false
	if err == nil && response.Known {
		rate := entry.load.BestEffort.DrainRate
		entry.load = response.Load
		if entry.load.BestEffort.DrainRate == 0 {
			// A new owner does not know the rate before the workers have reported.
			entry.load.BestEffort.DrainRate = rate
		}
		// The clocks of two instances may differ, so the age counts from the local time of the request.
		entry.load.At = requestedAt
		n.loadReports.memory.Observe(&n.config.Admission, &entry.load)
	}
	n.loadReports.byService[service] = entry
	return err == nil && response.Known
}
