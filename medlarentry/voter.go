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

// localVoter holds the voter of this instance in the claim group of its data centre. There is none until a roster makes the
// instance a voter.
type localVoter struct {
	daemon *Daemon

	mu       sync.Mutex
	voter    *medlarclaim.Voter
	recovery *medlarclaim.Recovery
	// votingSince and rosterIncarnation identify the roster entry for which votes were last recovered.
	votingSince medlarwheel.Epoch
	// stopped is set once the voter must not vote any more.
	stopped           bool
	rosterIncarnation medlarwheel.Incarnation
	// addresses holds the peer addresses of the roster members.
	addresses map[medlarwheel.InstanceID]string
}

func newLocalVoter(d *Daemon) *localVoter { return &localVoter{daemon: d} }

// handle handles one vote request.
func (v *localVoter) handle(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, request medlarclaim.VoteRequest) (medlarclaim.VoteResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.voter == nil || v.stopped || dc != v.daemon.settings.DataCentre {
		return medlarclaim.VoteResponse{}, errNotVoter
	}
	return v.voter.Handle(v.daemon.clock.Now(), epoch, request), nil
}

// handleBatch handles a batch of vote requests.
func (v *localVoter) handleBatch(dc medlarwheel.DataCentreID, epoch medlarwheel.Epoch, requests []medlarclaim.VoteRequest) ([]medlarclaim.VoteResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.voter == nil || v.stopped || dc != v.daemon.settings.DataCentre {
		return nil, errNotVoter
	}
	now := v.daemon.clock.Now()
	responses := make([]medlarclaim.VoteResponse, 0, len(requests))
	for _, request := range requests {
		responses = append(responses, v.voter.Handle(now, epoch, request))
	}
	return responses, nil
}

// readVotes returns a page of votes for a recovering voter.
func (v *localVoter) readVotes(dc medlarwheel.DataCentreID, request medlarclaim.FetchRequest) (medlarclaim.VotePage, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.voter == nil || dc != v.daemon.settings.DataCentre {
		return medlarclaim.VotePage{}, errNotVoter
	}
	return v.voter.ReadVotes(v.daemon.clock.Now(), request, votePageSize), nil
}

func (v *localVoter) expire(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.voter != nil {
		v.voter.Expire(now)
	}
}

func (v *localVoter) voteCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.voter == nil {
		return 0
	}
	return v.voter.Len()
}

// mayVote reports whether the instance has a voter that currently votes.
func (v *localVoter) mayVote() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.voter != nil && !v.stopped && v.voter.MayVote()
}

// epoch returns the roster epoch of the voter, or 0 if there is no voter.
func (v *localVoter) epoch() medlarwheel.Epoch {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.voter == nil {
		return 0
	}
	return v.voter.Epoch()
}

// applyRoster applies a roster of the local data centre. An instance that becomes a voter recovers the votes of the group
// before it votes, unless it is a bootstrap voter.
func (v *localVoter) applyRoster(r medlardatacentre.Roster) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addresses = make(map[medlarwheel.InstanceID]string)
	for _, m := range r.Members {
		v.addresses[m.Instance] = m.PeerAddress
	}
	plan := r.Recovery(v.daemon.settings.Instance, v.daemon.incarnation)
	if !plan.IsVoter {
		v.retire(r.Epoch)
		return
	}
	now := v.daemon.clock.Now()
	if v.voter == nil {
		config := medlarclaim.DefaultVoterConfig(v.daemon.settings.Instance, v.daemon.incarnation)
		config.Epoch, config.Bootstrap = r.Epoch, plan.Bootstrap
		v.voter = medlarclaim.NewVoter(config, now)
	}
	v.voter.AdvanceEpoch(r.Epoch)
	if !plan.QuarantineFrom.IsZero() {
		v.voter.Quarantine(now, plan.QuarantineFrom)
	}
	entry, _ := r.Voter(v.daemon.settings.Instance)
	if entry.SinceEpoch == v.votingSince && entry.Incarnation == v.rosterIncarnation {
		v.removeDepartedSources(&r)
		return
	}
	v.votingSince, v.rosterIncarnation = entry.SinceEpoch, entry.Incarnation
	if plan.Bootstrap {
		return
	}
	v.startRecovery(r.DataCentre, plan)
}

// stopVoting permanently stops the voter from voting. Other voters can still copy its votes.
func (v *localVoter) stopVoting() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopped = true
}

func (v *localVoter) retire(epoch medlarwheel.Epoch) {
	v.recovery, v.votingSince = nil, 0
	if v.voter != nil {
		v.voter.Retire(epoch)
	}
}

// removeDepartedSources makes a running recovery stop waiting for sources that have left the group.
func (v *localVoter) removeDepartedSources(r *medlardatacentre.Roster) {
	if v.recovery == nil {
		return
	}
	for _, fetch := range v.recovery.PendingFetches() {
		if _, ok := r.Voter(fetch.To); !ok {
			v.recovery.RemoveSource(fetch.To)
		}
	}
}

func (v *localVoter) startRecovery(dc medlarwheel.DataCentreID, plan medlardatacentre.RecoveryPlan) {
	running := v.recovery != nil
	v.recovery = v.voter.StartRecovery(plan.Sources, plan.Sufficient)
	if !running {
		v.daemon.background(func() { v.runRecovery(dc) })
	}
}

// runRecovery copies the votes of the other voters until this voter may vote.
func (v *localVoter) runRecovery(dc medlarwheel.DataCentreID) {
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	for {
		if v.runRecoveryRound(dc) {
			return
		}
		select {
		case <-ticker.C:
		case <-v.daemon.stop:
			// A shutdown waits for background work, and a recovery whose sources are unavailable would never end.
			return
		case <-v.daemon.baseCtx.Done():
			return
		}
	}
}

// runRecoveryRound fetches the next page of votes from every source. It reports whether the recovery has ended.
func (v *localVoter) runRecoveryRound(dc medlarwheel.DataCentreID) bool {
	v.mu.Lock()
	recovery := v.recovery
	if recovery == nil || recovery.TryFinish(v.daemon.clock.Now()) {
		v.recovery = nil
		v.mu.Unlock()
		if recovery != nil {
			v.daemon.log.Info().Str("event", "seat-recovered").Send()
		}
		return true
	}
	fetches := recovery.PendingFetches()
	v.mu.Unlock()
	for _, fetch := range fetches {
		page, err := v.fetchVotes(dc, fetch)
		if err != nil {
			continue
		}
		v.mu.Lock()
		recovery.HandlePage(v.daemon.clock.Now(), fetch.To, page)
		v.mu.Unlock()
	}
	return false
}

func (v *localVoter) fetchVotes(dc medlarwheel.DataCentreID, fetch medlarclaim.Fetch) (medlarclaim.VotePage, error) {
	ctx, cancel := context.WithTimeout(v.daemon.baseCtx, time.Second)
	defer cancel()
	v.mu.Lock()
	address := v.addresses[fetch.To]
	v.mu.Unlock()
	response, err := v.daemon.peers.Peer(address).FetchVotes(ctx, &peerpb.FetchVotesRequest{
		DataCentre: string(dc), Instance: string(fetch.Request.From), Incarnation: uint64(fetch.Request.Incarnation),
		Epoch: uint64(fetch.Request.Epoch), Offset: fetch.Request.Offset,
	})
	if err != nil {
		return medlarclaim.VotePage{}, medlarwheel.WithOperation("fetch votes", string(fetch.To), err)
	}
	return votePageFromWire(response)
}
