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
	// maxResultWait bounds the time that a peer's question for an answer waits for a running attempt.
	maxResultWait = 5 * time.Second
	// votePageSize is the number of votes in one page of a recovery.
	votePageSize = 5000
)

// peerHandler answers other entry instances.
type peerHandler struct {
	daemon *Daemon
}

// Exchange merges the state of a peer and returns this instance's.
func (h *peerHandler) Exchange(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	if request.Sender == nil {
		return nil, twirp.RequiredArgumentError("sender")
	}
	return callControl(h.daemon, func(c *control) *peerpb.ExchangeResponse { return c.handleExchange(request) }), nil
}

// FetchConfig returns the configuration entries changed after a version.
func (h *peerHandler) FetchConfig(_ context.Context, request *peerpb.FetchConfigRequest) (*peerpb.FetchConfigResponse, error) {
	book := h.daemon.snapshot.Load().config
	if !book.IsLoaded() {
		return nil, twirp.NewError(twirp.FailedPrecondition, "no configuration yet")
	}
	data, err := json.Marshal(book.Delta(medlarwheel.ConfigVersion(request.After)))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchConfigResponse{Delta: data}, nil
}

// FetchList returns the last instance list of this instance.
func (h *peerHandler) FetchList(context.Context, *peerpb.FetchListRequest) (*peerpb.FetchListResponse, error) {
	list := callControl(h.daemon, func(c *control) medlarwheel.InstanceList { return c.instanceList })
	data, err := json.Marshal(list)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchListResponse{List: data}, nil
}

// Vote answers a batch of ballots at this instance's seat.
func (h *peerHandler) Vote(_ context.Context, request *peerpb.VoteRequest) (*peerpb.VoteResponse, error) {
	if medlarwheel.InstanceID(request.Seat) != h.daemon.settings.Instance {
		return nil, twirp.NewError(twirp.FailedPrecondition, errNotVoter.Error())
	}
	questions := make([]medlarclaim.VoteRequest, 0, len(request.Items))
	for _, item := range request.Items {
		q, err := voteRequestFromWire(item)
		if err != nil {
			return nil, twirp.InvalidArgumentError("items", err.Error())
		}
		questions = append(questions, q)
	}
	answers, err := h.daemon.voter.handleBatch(medlarwheel.DataCentreID(request.DataCentre), medlarwheel.Epoch(request.Epoch), questions)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	if medlarwheel.Epoch(request.Epoch) > h.daemon.voter.epoch() {
		// The asking instance has a newer roster, in which this seat can't vote yet.
		h.daemon.pollConfigNow()
	}
	response := &peerpb.VoteResponse{Items: make([]*peerpb.VoteItem, 0, len(answers))}
	for _, a := range answers {
		response.Items = append(response.Items, voteResponseToWire(a))
	}
	if len(answers) > 0 {
		response.Known = incarnationsToWire(answers[len(answers)-1].KnownIncarnations)
	}
	return response, nil
}

// FetchVotes returns a page of votes to a recovering seat.
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

// Borrow answers a borrower's messages about slot loans.
func (h *peerHandler) Borrow(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowResponse, error) {
	if medlarwheel.InstanceID(request.Lender) != h.daemon.settings.Instance {
		return nil, twirp.NewError(twirp.FailedPrecondition, "another lender is meant")
	}
	return h.daemon.handleLoanMessages(medlarwheel.InstanceID(request.Instance), request), nil
}

// FetchAnswer returns the recorded answer of an attempt, waiting for a running one for a bounded time.
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

// FetchBurn returns the counters of the burn report.
func (h *peerHandler) FetchBurn(context.Context, *peerpb.FetchBurnRequest) (*peerpb.FetchBurnResponse, error) {
	data, err := json.Marshal(h.daemon.burnRateSnapshot())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerpb.FetchBurnResponse{Counters: data}, nil
}
