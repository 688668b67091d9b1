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

// maxBallotRounds bounds the repetitions of a ballot that met a newer roster.
const maxBallotRounds = 3

// voteRoute is where the questions of one claim group and epoch go. Questions of one route share a call.
type voteRoute struct {
	voter      medlarwheel.InstanceID
	address    string
	dataCentre medlarwheel.DataCentreID
	epoch      medlarwheel.Epoch
}

type voteBatcher = medlarpeer.Batcher[medlarclaim.VoteRequest, medlarclaim.VoteResponse]

// voteClient asks seats of other instances.
type voteClient struct {
	peers *medlarpeer.Client
	ctx   context.Context

	mu       sync.Mutex
	batchers map[voteRoute]*voteBatcher
}

func newVoteClient(base context.Context, peers *medlarpeer.Client) *voteClient {
	return &voteClient{peers: peers, ctx: base, batchers: make(map[voteRoute]*voteBatcher)}
}

// requestVote asks one question and waits for the answer, at most until the call timeout of the peer client.
func (v *voteClient) requestVote(route voteRoute, q medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	ctx, cancel := v.peers.Context(v.ctx)
	defer cancel()
	return v.batcher(route).Do(ctx, q)
}

func (v *voteClient) batcher(route voteRoute) *voteBatcher {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.batchers[route]
	if !ok {
		b = medlarpeer.NewBatcher(func(questions []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
			return v.sendBatch(route, questions)
		})
		v.dropOlderEpochs(route)
		v.batchers[route] = b
	}
	return b
}

// dropOlderEpochs drops the batchers of earlier epochs of the route's claim group. It needs the lock.
func (v *voteClient) dropOlderEpochs(route voteRoute) {
	maps.DeleteFunc(v.batchers, func(other voteRoute, _ *voteBatcher) bool {
		return other.dataCentre == route.dataCentre && other.epoch < route.epoch
	})
}

func (v *voteClient) sendBatch(route voteRoute, questions []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
	request := &peerpb.VoteRequest{
		DataCentre: string(route.dataCentre), Epoch: uint64(route.epoch), Seat: string(route.voter),
		Items: make([]*peerpb.BallotItem, 0, len(questions)),
	}
	for _, q := range questions {
		request.Items = append(request.Items, voteRequestToWire(q))
	}
	ctx, cancel := v.peers.Context(v.ctx)
	defer cancel()
	response, err := v.peers.Peer(route.address).Vote(ctx, request)
	if err != nil {
		if ctx.Err() != nil {
			// The connection may have gone silent; the next call opens a fresh one.
			v.peers.CloseIdle()
		}
		return nil, medlarwheel.WithOperation("vote", string(route.voter), err)
	}
	known := incarnationsFromWire(response.Known)
	answers := make([]medlarclaim.VoteResponse, 0, len(response.Items))
	for _, item := range response.Items {
		a, err := voteResponseFromWire(item, known)
		if err != nil {
			return nil, medlarwheel.WithOperation("vote", string(route.voter), err)
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// runBallot asks the seats of the key's claim group and returns their decision. It repeats with the same attempt when its
// roster turns out to be old.
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
	question := medlarclaim.VoteRequest{
		Key: c.keyHash, Attempt: c.attempt, Holder: d.settings.Instance, Waited: started.Sub(c.arrivedAt), KeyCreatedAt: c.keyCreatedAt,
	}
	ballot := medlarclaim.NewBallot(kind, group.voterInstances(), question, started)
	for {
		decision, decided := ballot.Decision()
		if decided {
			return decision
		}
		seat, q, ok := ballot.NextRequest()
		if !ok {
			return medlarclaim.Decision{Kind: medlarclaim.DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, time.Second)}
		}
		answer, err := d.requestVote(group, seat, q)
		now := d.clock.Now()
		if err != nil {
			ballot.HandleFailure(now, seat)
			continue
		}
		ballot.HandleResponse(now, seat, answer)
	}
}

var errNotVoter = errors.New("the seat is held by another instance")

func (d *Daemon) requestVote(group claimGroup, seat medlarwheel.InstanceID, q medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	if seat == d.settings.Instance {
		return d.voter.handle(group.dataCentre, group.epoch, q)
	}
	route := voteRoute{voter: seat, address: group.voterAddress(seat), dataCentre: group.dataCentre, epoch: group.epoch}
	return d.votes.requestVote(route, q)
}
