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
	seat       medlarwheel.InstanceID
	address    string
	dataCentre medlarwheel.DataCentreID
	epoch      medlarwheel.Epoch
}

type voteBatcher = medlarpeer.Batcher[medlarclaim.VoteRequest, medlarclaim.VoteResponse]

// voteClient asks seats of other instances.
type voteClient struct {
	peers *medlarpeer.Client
	base  context.Context

	mu       sync.Mutex
	batchers map[voteRoute]*voteBatcher
}

func newVoteClient(base context.Context, peers *medlarpeer.Client) *voteClient {
	return &voteClient{peers: peers, base: base, batchers: make(map[voteRoute]*voteBatcher)}
}

// ask asks one question and waits for the answer, at most until the call timeout of the peer client.
func (v *voteClient) ask(route voteRoute, q medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	ctx, cancel := v.peers.Context(v.base)
	defer cancel()
	return v.batcher(route).Do(ctx, q)
}

func (v *voteClient) batcher(route voteRoute) *voteBatcher {
	v.mu.Lock()
	defer v.mu.Unlock()
	b, ok := v.batchers[route]
	if !ok {
		b = medlarpeer.NewBatcher(func(questions []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
			return v.send(route, questions)
		})
		v.dropOlder(route)
		v.batchers[route] = b
	}
	return b
}

// dropOlder drops the batchers of earlier epochs of the route's claim group. It needs the lock.
func (v *voteClient) dropOlder(route voteRoute) {
	maps.DeleteFunc(v.batchers, func(other voteRoute, _ *voteBatcher) bool {
		return other.dataCentre == route.dataCentre && other.epoch < route.epoch
	})
}

func (v *voteClient) send(route voteRoute, questions []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
	request := &peerpb.VoteRequest{
		DataCentre: string(route.dataCentre), Epoch: uint64(route.epoch), Seat: string(route.seat),
		Items: make([]*peerpb.BallotItem, 0, len(questions)),
	}
	for _, q := range questions {
		request.Items = append(request.Items, questionToWire(q))
	}
	ctx, cancel := v.peers.Context(v.base)
	defer cancel()
	response, err := v.peers.Peer(route.address).Vote(ctx, request)
	if err != nil {
		if ctx.Err() != nil {
			// The connection may have gone silent; the next call opens a fresh one.
			v.peers.CloseIdle()
		}
		return nil, medlarwheel.WithOperation("vote", string(route.seat), err)
	}
	known := vectorFromWire(response.Known)
	answers := make([]medlarclaim.VoteResponse, 0, len(response.Items))
	for _, item := range response.Items {
		a, err := answerFromWire(item, known)
		if err != nil {
			return nil, medlarwheel.WithOperation("vote", string(route.seat), err)
		}
		answers = append(answers, a)
	}
	return answers, nil
}

// ballot asks the seats of the key's claim group and returns their decision. It repeats with the same attempt when its
// roster turns out to be old.
func (d *Daemon) ballot(kind medlarclaim.BallotKind, c *call) medlarclaim.Decision {
	var decision medlarclaim.Decision
	for range maxBallotRounds {
		group := d.snapshot.Load().groups[c.home]
		decision = d.ballotIn(group, kind, c)
		if decision.Kind != medlarclaim.DecisionStaleEpoch || !d.awaitEpoch(c.home, group.epoch) {
			break
		}
	}
	d.metrics.ballot(kind, decision.Kind)
	return decision
}

func (d *Daemon) ballotIn(group claimGroup, kind medlarclaim.BallotKind, c *call) medlarclaim.Decision {
	started := d.clock.Now()
	question := medlarclaim.VoteRequest{
		Key: c.hash, Attempt: c.attempt, Holder: d.settings.Instance, Waited: started.Sub(c.arrived), KeyCreatedAt: c.minted,
	}
	ballot := medlarclaim.NewBallot(kind, group.instances(), question, started)
	for {
		decision, decided := ballot.Decision()
		if decided {
			return decision
		}
		seat, q, ok := ballot.NextRequest()
		if !ok {
			return medlarclaim.Decision{Kind: medlarclaim.DecisionUnknown, Refusal: medlarwheel.Unknown(medlarwheel.ReasonNoMajority, time.Second)}
		}
		answer, err := d.askSeat(group, seat, q)
		now := d.clock.Now()
		if err != nil {
			ballot.HandleFailure(now, seat)
			continue
		}
		ballot.HandleResponse(now, seat, answer)
	}
}

var errSeatElsewhere = errors.New("the seat is held by another instance")

func (d *Daemon) askSeat(group claimGroup, seat medlarwheel.InstanceID, q medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	if seat == d.settings.Instance {
		return d.seat.answer(group.dataCentre, group.epoch, q)
	}
	route := voteRoute{seat: seat, address: group.address(seat), dataCentre: group.dataCentre, epoch: group.epoch}
	return d.votes.ask(route, q)
}
