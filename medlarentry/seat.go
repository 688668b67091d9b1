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

// recoveryPause is the time between two rounds of a recovery.
const recoveryPause = 100 * time.Millisecond

// seatHolder holds this instance's seat in the claim group of its data centre.
type seatHolder struct {
	d *Daemon

	mu       sync.Mutex
	seat     *medlarclaim.Voter
	recovery *medlarclaim.Recovery
	// since and listed identify the seat in the roster for which the votes were last recovered.
	since medlarwheel.Epoch
	// ended tells that the seat does not vote any more.
	ended  bool
	listed medlarwheel.Incarnation
	// addresses holds the peer addresses of the group.
	addresses map[medlarwheel.InstanceID]string
}

func newSeatHolder(d *Daemon) *seatHolder { return &seatHolder{d: d} }

// answer answers one question at this instance's seat.
func (h *seatHolder) answer(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, q medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil || h.ended || dc != h.d.settings.DataCentre {
		return medlarclaim.VoteResponse{}, errSeatElsewhere
	}
	return h.seat.Handle(h.d.clock.Now(), epoch, q), nil
}

// answerAll answers a batch of questions.
func (h *seatHolder) answerAll(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, questions []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil || h.ended || dc != h.d.settings.DataCentre {
		return nil, errSeatElsewhere
	}
	now := h.d.clock.Now()
	answers := make([]medlarclaim.VoteResponse, 0, len(questions))
	for _, q := range questions {
		answers = append(answers, h.seat.Handle(now, epoch, q))
	}
	return answers, nil
}

// page returns a page of votes for a recovering seat.
func (h *seatHolder) page(dc medlarwheel.DataCentreID, request medlarclaim.FetchRequest) (medlarclaim.VotePage, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil || dc != h.d.settings.DataCentre {
		return medlarclaim.VotePage{}, errSeatElsewhere
	}
	return h.seat.ReadVotes(h.d.clock.Now(), request, votePage), nil
}

func (h *seatHolder) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat != nil {
		h.seat.Expire(now)
	}
}

func (h *seatHolder) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil {
		return 0
	}
	return h.seat.Len()
}

// mayVote reports whether the instance has a seat that answers questions.
func (h *seatHolder) mayVote() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seat != nil && !h.ended && h.seat.MayVote()
}

// epoch returns the roster epoch of the seat.
func (h *seatHolder) epoch() medlarwheel.Epoch {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seat == nil {
		return 0
	}
	return h.seat.Epoch()
}

// adopt takes over a roster of the own data centre. An instance that gets a seat recovers the votes of the group before
// it votes, unless it founded the group.
func (h *seatHolder) adopt(r medlardatacentre.Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addresses = make(map[medlarwheel.InstanceID]string)
	for _, m := range r.Members {
		h.addresses[m.Instance] = m.PeerAddress
	}
	plan := r.Recovery(h.d.settings.Instance, h.d.incarnation)
	if !plan.IsVoter {
		h.retire(r.Epoch)
		return
	}
	now := h.d.clock.Now()
	if h.seat == nil {
		config := medlarclaim.DefaultVoterConfig(h.d.settings.Instance, h.d.incarnation)
		config.Epoch, config.Bootstrap = r.Epoch, plan.Bootstrap
		h.seat = medlarclaim.NewVoter(config, now)
	}
	h.seat.AdvanceEpoch(r.Epoch)
	if !plan.QuarantineFrom.IsZero() {
		h.seat.Quarantine(now, plan.QuarantineFrom)
	}
	own, _ := r.Voter(h.d.settings.Instance)
	if own.SinceEpoch == h.since && own.Incarnation == h.listed {
		h.loseSources(&r)
		return
	}
	h.since, h.listed = own.SinceEpoch, own.Incarnation
	if plan.Bootstrap {
		return
	}
	h.startRecovery(r.DataCentre, plan)
}

// end stops the seat from voting for good. Its votes can still be copied.
func (h *seatHolder) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
}

func (h *seatHolder) retire(epoch medlarwheel.Epoch) {
	h.recovery, h.since = nil, 0
	if h.seat != nil {
		h.seat.Retire(epoch)
	}
}

// loseSources ends the wait of a running recovery for sources that have left the group.
func (h *seatHolder) loseSources(r *medlardatacentre.Roster) {
	if h.recovery == nil {
		return
	}
	for _, fetch := range h.recovery.PendingFetches() {
		if _, ok := r.Voter(fetch.To); !ok {
			h.recovery.RemoveSource(fetch.To)
		}
	}
}

func (h *seatHolder) startRecovery(dc medlarwheel.DataCentreID, plan medlardatacentre.RecoveryPlan) {
	running := h.recovery != nil
	h.recovery = h.seat.StartRecovery(plan.Sources, plan.Sufficient)
	if !running {
		h.d.background(func() { h.recover(dc) })
	}
}

// recover copies the votes of the other seats until the seat may vote.
func (h *seatHolder) recover(dc medlarwheel.DataCentreID) {
	ticker := time.NewTicker(recoveryPause)
	defer ticker.Stop()
	for {
		if h.recoverRound(dc) {
			return
		}
		select {
		case <-ticker.C:
		case <-h.d.stop:
			// A stop waits for background work, and a recovery without its sources never ends.
			return
		case <-h.d.base.Done():
			return
		}
	}
}

// recoverRound asks every source for its next page. It reports whether the recovery is over.
func (h *seatHolder) recoverRound(dc medlarwheel.DataCentreID) bool {
	h.mu.Lock()
	recovery := h.recovery
	if recovery == nil || recovery.TryFinish(h.d.clock.Now()) {
		h.recovery = nil
		h.mu.Unlock()
		if recovery != nil {
			h.d.log.Info().Str("event", "seat-recovered").Send()
		}
		return true
	}
	fetches := recovery.PendingFetches()
	h.mu.Unlock()
	for _, fetch := range fetches {
		page, err := h.fetch(dc, fetch)
		if err != nil {
			continue
		}
		h.mu.Lock()
		recovery.HandlePage(h.d.clock.Now(), fetch.To, page)
		h.mu.Unlock()
	}
	return false
}

func (h *seatHolder) fetch(dc medlarwheel.DataCentreID, fetch medlarclaim.Fetch) (medlarclaim.VotePage, error) {
	ctx, cancel := context.WithTimeout(h.d.base, time.Second)
	defer cancel()
	h.mu.Lock()
	address := h.addresses[fetch.To]
	h.mu.Unlock()
	response, err := h.d.peers.Peer(address).FetchVotes(ctx, &peerpb.FetchVotesRequest{
		DataCentre: string(dc), Instance: string(fetch.Request.From), Incarnation: uint64(fetch.Request.Incarnation),
		Epoch: uint64(fetch.Request.Epoch), Offset: fetch.Request.Offset,
	})
	if err != nil {
		return medlarclaim.VotePage{}, medlarwheel.WithOperation("fetch votes", string(fetch.To), err)
	}
	return pageFromWire(response)
}
