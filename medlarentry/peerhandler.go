package medlarentry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/twitchtv/twirp"

	"medlarwheel"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlarpeer/peerpb"
)

const (
	// maxResultWait bounds the time for which a peer's request for a result waits for an attempt in progress.
	maxResultWait = 5 * time.Second
	// votePageSize is the maximum number of votes in one response to a recovering voter.
	votePageSize = 5000
)

// peerHandler serves the calls of other entry instances.
type peerHandler struct {
	daemon *Daemon
}

// Exchange merges the state of a peer and returns the state of this instance.
func (h *peerHandler) Exchange(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if request.Sender == nil {
		return nil, twirp.RequiredArgumentError("sender")
	}
	return callControl(h.daemon, func(c *control) *peerpb.ExchangeResponse { return c.handleExchange(request) }), nil
}

// FetchConfig returns the configuration entries that changed after a version.
func (h *peerHandler) FetchConfig(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	config := h.daemon.snapshot.Load().config
	if !config.IsLoaded() {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "instance %s has no configuration yet", h.daemon.settings.Instance)
	}
	data, err := json.Marshal(config.Delta(medlarwheel.ConfigVersion(request.After)))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchConfigResponse{Delta: data}, nil
}

// FetchList returns the latest instance list that this instance has.
func (h *peerHandler) FetchList(context.Context, *peerpb.FetchListRequest) (*peerpb.FetchListResponse, error) {
	list := callControl(h.daemon, func(c *control) medlarwheel.InstanceList { return c.instanceList })
	data, err := json.Marshal(list)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchListResponse{List: data}, nil
}

// Vote handles a batch of vote requests to the voter of this instance.
func (h *peerHandler) Vote(_ context.Context, request *peerpb.VoteRequest) (*peerpb.VoteResponse, error) {
	if medlarwheel.InstanceID(request.Seat) != h.daemon.settings.Instance {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "vote request for voter %s arrived at instance %s",
			request.Seat, h.daemon.settings.Instance)
	}
	votes := make([]medlarclaim.VoteRequest, 0, len(request.Items))
	for _, item := range request.Items {
		vote, err := voteRequestFromWire(item)
		if err != nil {
			return nil, twirp.InvalidArgumentError("items", err.Error())
		}
		votes = append(votes, vote)
	}
	responses, err := h.daemon.voter.handleBatch(medlarwheel.DataCentreID(request.DataCentre), medlarwheel.Epoch(request.Epoch), votes)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	if medlarwheel.Epoch(request.Epoch) > h.daemon.voter.epoch() {
		// The sender has a newer roster. This voter can't vote in its epoch before it has that roster as well.
		h.daemon.pollConfigNow()
	}
	response := &peerpb.VoteResponse{Items: make([]*peerpb.VoteItem, 0, len(responses))}
	for _, r := range responses {
		response.Items = append(response.Items, voteResponseToWire(r))
	}
	if len(responses) > 0 {
		response.Known = incarnationsToWire(responses[len(responses)-1].KnownIncarnations)
	}
	return response, nil
}

// FetchVotes returns a page of votes to a recovering voter.
func (h *peerHandler) FetchVotes(_ context.Context, request *peerpb.FetchVotesRequest) (*peerpb.FetchVotesResponse, error) {
	page, err := h.daemon.voter.readVotes(medlarwheel.DataCentreID(request.DataCentre), medlarclaim.FetchRequest{
		From:        medlarwheel.InstanceID(request.Instance),
		Incarnation: medlarwheel.Incarnation(request.Incarnation),
		Epoch:       medlarwheel.Epoch(request.Epoch),
		Offset:      request.Offset,
	})
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return votePageToWire(page), nil
}

// Borrow handles the messages of a borrower about slot loans.
func (h *peerHandler) Borrow(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if medlarwheel.InstanceID(request.Lender) != h.daemon.settings.Instance {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "loan request for lender %s arrived at instance %s",
			request.Lender, h.daemon.settings.Instance)
	}
	return h.daemon.handleLoanMessages(medlarwheel.InstanceID(request.Instance), request), nil
}

// FetchAnswer returns the cached result of an attempt. It waits for an attempt in progress, for a bounded time.
func (h *peerHandler) FetchAnswer(ctx context.Context, request *peerpb.FetchAnswerRequest) (*peerpb.FetchAnswerResponse, error) {
	key, err := keyHashFromWire(request.Key)
	if err != nil {
		return nil, twirp.InvalidArgumentError("key", err.Error())
	}
	limited, cancel := context.WithTimeout(ctx, min(maxResultWait, max(0, time.Duration(request.WaitNs))))
	defer cancel()
	found, running := h.daemon.results.wait(limited, attemptKey{key: key, attempt: medlarclaim.AttemptHash(request.Attempt)})
	return resultToWire(found, running), nil
}

// FetchBurn returns the burn rate counters of this instance.
func (h *peerHandler) FetchBurn(context.Context, *peerpb.FetchBurnRequest) (*peerpb.FetchBurnResponse, error) {
	data, err := json.Marshal(h.daemon.burnRateSnapshot())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchBurnResponse{Counters: data}, nil
}
