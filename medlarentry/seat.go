package medlarentry

import (
	"context"
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/medlarclaim"
	"medlarwheel/medlardatacentre"
	"medlarwheel/medlarpeer/peerpb"
)

// recoveryInterval is the time between two rounds of a recovery.
const recoveryInterval = 100 * time.Millisecond

// localVoter holds this instance's seat in the claim group of its data centre.
type localVoter struct {
	daemon *Daemon

	mu       sync.Mutex
	voter    *medlarclaim.Voter
	recovery *medlarclaim.Recovery
	// votingSince and listed identify the seat in the roster for which the votes were last recovered.
	votingSince medlarwheel.Epoch
	// stopped tells that the seat does not vote any more.
	stopped           bool
	rosterIncarnation medlarwheel.Incarnation
	// addresses holds the peer addresses of the group.
	addresses map[medlarwheel.InstanceID]string
}

func newLocalVoter(d *Daemon) *localVoter { return &localVoter{daemon: d} }

// handle answers one question at this instance's seat.
func (h *localVoter) handle(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, q medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.voter == nil || h.stopped || dc != h.daemon.settings.DataCentre {
		return medlarclaim.VoteResponse{}, errNotVoter
	}
	return h.voter.Handle(h.daemon.clock.Now(), epoch, q), nil
}

// handleBatch answers a batch of questions.
func (h *localVoter) handleBatch(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, questions []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.voter == nil || h.stopped || dc != h.daemon.settings.DataCentre {
		return nil, errNotVoter
	}
	now := h.daemon.clock.Now()
	answers := make([]medlarclaim.VoteResponse, 0, len(questions))
	for _, q := range questions {
		answers = append(answers, h.voter.Handle(now, epoch, q))
	}
	return answers, nil
}

// readVotes returns a page of votes for a recovering seat.
func (h *localVoter) readVotes(dc medlarwheel.DataCentreID, request medlarclaim.FetchRequest) (medlarclaim.VotePage, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.voter == nil || dc != h.daemon.settings.DataCentre {
		return medlarclaim.VotePage{}, errNotVoter
	}
	return h.voter.ReadVotes(h.daemon.clock.Now(), request, votePageSize), nil
}

func (h *localVoter) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.voter != nil {
		h.voter.Expire(now)
	}
}

func (h *localVoter) voteCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.voter == nil {
		return 0
	}
	return h.voter.Len()
}

// mayVote reports whether the instance has a seat that answers questions.
func (h *localVoter) mayVote() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.voter != nil && !h.stopped && h.voter.MayVote()
}

// epoch returns the roster epoch of the seat.
func (h *localVoter) epoch() medlarwheel.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.voter == nil {
		return 0
	}
	return h.voter.Epoch()
}

// applyRoster takes over a roster of the own data centre. An instance that gets a seat recovers the votes of the group before
// it votes, unless it founded the group.
func (h *localVoter) applyRoster(r medlardatacentre.Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addresses = make(map[medlarwheel.InstanceID]string)
	for _, m := range r.Members {
		h.addresses[m.Instance] = m.PeerAddress
	}
	plan := r.Recovery(h.daemon.settings.Instance, h.daemon.incarnation)
	if !plan.IsVoter {
		h.retire(r.Epoch)
		return
	}
	now := h.daemon.clock.Now()
	if h.voter == nil {
		config := medlarclaim.DefaultVoterConfig(h.daemon.settings.Instance, h.daemon.incarnation)
		config.Epoch, config.Bootstrap = r.Epoch, plan.Bootstrap
		h.voter = medlarclaim.NewVoter(config, now)
	}
	h.voter.AdvanceEpoch(r.Epoch)
	if !plan.QuarantineFrom.IsZero() {
		h.voter.Quarantine(now, plan.QuarantineFrom)
	}
	own, _ := r.Voter(h.daemon.settings.Instance)
	if own.SinceEpoch == h.votingSince && own.Incarnation == h.rosterIncarnation {
		h.removeDepartedSources(&r)
		return
	}
	h.votingSince, h.rosterIncarnation = own.SinceEpoch, own.Incarnation
	if plan.Bootstrap {
		return
	}
	h.startRecovery(r.DataCentre, plan)
}

// stopVoting stops the seat from voting for good. Its votes can still be copied.
func (h *localVoter) stopVoting() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
}

func (h *localVoter) retire(epoch medlarwheel.Epoch) {
	h.recovery, h.votingSince = nil, 0
	if h.voter != nil {
		h.voter.Retire(epoch)
	}
}

// removeDepartedSources ends the wait of a running recovery for sources that have left the group.
func (h *localVoter) removeDepartedSources(r *medlardatacentre.Roster) {
	if h.recovery == nil {
		return
	}
	for _, fetch := range h.recovery.PendingFetches() {
		if _, ok := r.Voter(fetch.To); !ok {
			h.recovery.RemoveSource(fetch.To)
		}
	}
}

func (h *localVoter) startRecovery(dc medlarwheel.DataCentreID, plan medlardatacentre.RecoveryPlan) {
	running := h.recovery != nil
	h.recovery = h.voter.StartRecovery(plan.Sources, plan.Sufficient)
	if !running {
		h.daemon.background(func() { h.runRecovery(dc) })
	}
}

// runRecovery copies the votes of the other seats until the seat may vote.
func (h *localVoter) runRecovery(dc medlarwheel.DataCentreID) {
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	for {
		if h.runRecoveryRound(dc) {
			return
		}
		select {
		case <-ticker.C:
		case <-h.daemon.stop:
			// A stop waits for background work, and a recovery without its sources never ends.
			return
		case <-h.daemon.baseCtx.Done():
			return
		}
	}
}

// runRecoveryRound asks every source for its next page. It reports whether the recovery is over.
func (h *localVoter) runRecoveryRound(dc medlarwheel.DataCentreID) bool {
	h.mu.Lock()
	recovery := h.recovery
	if recovery == nil || recovery.TryFinish(h.daemon.clock.Now()) {
		h.recovery = nil
		h.mu.Unlock()
		if recovery != nil {
			h.daemon.log.Info().Str("event", "seat-recovered").Send()
		}
		return true
	}
	fetches := recovery.PendingFetches()
	h.mu.Unlock()
	for _, fetch := range fetches {
		page, err := h.fetchVotes(dc, fetch)
		if err != nil {
			continue
		}
		h.mu.Lock()
		recovery.HandlePage(h.daemon.clock.Now(), fetch.To, page)
		h.mu.Unlock()
	}
	return false
}

func (h *localVoter) fetchVotes(dc medlarwheel.DataCentreID, fetch medlarclaim.Fetch) (medlarclaim.VotePage, error) {
	ctx, cancel := context.WithTimeout(h.daemon.baseCtx, time.Second)
	defer cancel()
	h.mu.Lock()
	address := h.addresses[fetch.To]
	h.mu.Unlock()
	response, err := h.daemon.peers.Peer(address).FetchVotes(ctx, &peerpb.FetchVotesRequest{
		DataCentre: string(dc), Instance: string(fetch.Request.From), Incarnation: uint64(fetch.Request.Incarnation),
		Epoch: uint64(fetch.Request.Epoch), Offset: fetch.Request.Offset,
	})
	if err != nil {
		return medlarclaim.VotePage{}, medlarwheel.WithOperation("fetch votes", string(fetch.To), err)
	}
	return votePageFromWire(response)
}
