package medlarentry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlarpeer"
	"medlarwheel/medlarpeer/peerpb"
)

// maxBallotRounds bounds how often a ballot is run when voters report a newer roster.
const maxBallotRounds = 3

// voteRoute is the destination of vote requests: a voter of a claim group in one epoch. Requests with the same route are
// sent in batches.
type voteRoute struct {
	voter      medlarwheel.InstanceID
	address    string
	dataCentre medlarwheel.DataCentreID
	epoch      medlarwheel.Epoch
}

type voteBatcher = medlarpeer.Batcher[medlarclaim.VoteRequest, medlarclaim.VoteResponse]

// voteClient sends vote requests to the voters of other instances.
type voteClient struct {
	peers *medlarpeer.Client
	ctx   context.Context

	mu       sync.Mutex
	batchers map[voteRoute]*voteBatcher
}

func newVoteClient(base context.Context, peers *medlarpeer.Client) *voteClient {
	return &voteClient{peers: peers, ctx: base, batchers: make(map[voteRoute]*voteBatcher)}
}

// requestVote sends one vote request and waits for the response, at most until the call timeout of the peer client.
func (v *voteClient) requestVote(route voteRoute, request medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	ctx, cancel := v.peers.Context(v.ctx)
	defer cancel()
	return v.batcher(route).Do(ctx, request)
}

func (v *voteClient) batcher(route voteRoute) *voteBatcher {
	v.mu.Lock()
	defer v.mu.Unlock()
	batcher, ok := v.batchers[route]
	if !ok {
		batcher = medlarpeer.NewBatcher(func(requests []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
			return v.sendBatch(route, requests)
		})
		v.dropOlderEpochs(route)
		v.batchers[route] = batcher
	}
	return batcher
}

// dropOlderEpochs removes the batchers for earlier epochs of the route's claim group. The caller holds the lock.
func (v *voteClient) dropOlderEpochs(route voteRoute) {
	maps.DeleteFunc(v.batchers, func(other voteRoute, _ *voteBatcher) bool {
		return other.dataCentre == route.dataCentre && other.epoch < route.epoch
	})
}

func (v *voteClient) sendBatch(route voteRoute, requests []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
	message := &peerpb.VoteRequest{
		DataCentre: string(route.dataCentre), Epoch: uint64(route.epoch), Seat: string(route.voter),
		Items: make([]*peerpb.BallotItem, 0, len(requests)),
	}
	for _, request := range requests {
		message.Items = append(message.Items, voteRequestToWire(request))
	}
	ctx, cancel := v.peers.Context(v.ctx)
	defer cancel()
	response, err := v.peers.Peer(route.address).Vote(ctx, message)
	if err != nil {
		if ctx.Err() != nil {
			// The connection may have stalled; close it so that the next call opens a new one.
			v.peers.CloseIdle()
		}
		return nil, medlarwheel.WithOperation("vote", string(route.voter), err)
	}
	incarnations := incarnationsFromWire(response.Known)
	responses := make([]medlarclaim.VoteResponse, 0, len(response.Items))
	for _, item := range response.Items {
		vote, err := voteResponseFromWire(item, incarnations)
		if err != nil {
			return nil, medlarwheel.WithOperation("vote", string(route.voter), err)
		}
		responses = append(responses, vote)
	}
	return responses, nil
}

// runBallot runs a ballot among the voters of the key's claim group and returns the decision. If a voter reports a newer
// roster, the ballot is repeated with the same attempt once that roster has arrived.
func (d *Daemon) runBallot(kind medlarclaim.BallotKind, c *call) medlarclaim.Decision {
	var decision medlarclaim.Decision
	for range maxBallotRounds {
		group := d.snapshot.Load().groups[c.homeDataCentre]
		decision = d.runBallotRound(group, kind, c)
		if decision.Kind != medlarclaim.DecisionStaleEpoch || !d.awaitNewerRoster(c.homeDataCentre, group.epoch) {
			break
		}
	}
	d.metrics.countBallot(kind, decision.Kind)
	return decision
}

func (d *Daemon) runBallotRound(group claimGroup, kind medlarclaim.BallotKind, c *call) medlarclaim.Decision {
	started := d.clock.Now()
	request := medlarclaim.VoteRequest{
		Key: c.keyHash, Attempt: c.attempt, Holder: d.settings.Instance, Waited: started.Sub(c.arrivedAt), KeyCreatedAt: c.keyCreatedAt,
	}
	ballot := medlarclaim.NewBallot(kind, group.voterInstances(), request, started)
	for {
		decision, decided := ballot.Decision()
		if decided {
			return decision
		}
		voter, next, ok := ballot.NextRequest()
		if !ok {
			return medlarclaim.Decision{Kind: medlarclaim.DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, time.Second)}
		}
		response, err := d.requestVote(group, voter, next)
		now := d.clock.Now()
		if err != nil {
			ballot.HandleFailure(now, voter)
			continue
		}
		ballot.HandleResponse(now, voter, response)
	}
}

var errNotVoter = errors.New("this instance is not an active voter of the requested claim group")

func (d *Daemon) requestVote(group claimGroup, voter medlarwheel.InstanceID, request medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	if voter == d.settings.Instance {
		return d.voter.handle(group.dataCentre, group.epoch, request)
	}
	route := voteRoute{voter: voter, address: group.voterAddress(voter), dataCentre: group.dataCentre, epoch: group.epoch}
	return d.votes.requestVote(route, request)
}
