package medlarnode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel/internal/acceptance/medlaradmission"
	"medlarwheel/internal/acceptance/medlarreturns"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/scheduling/medlarowner"
)

// planReturnTimeout bounds how long a refusal waits for the owner's calendar. Without an answer, the client is told the time that the
// instance has computed.
const planReturnTimeout = 50 * time.Millisecond

// maxReturnQueries bounds the queries beside each other. Without it, each refusal would start one while the owner does not answer, and
// they would take the connections that fetch the load.
const maxReturnQueries = 16

// errNothingTurnedAway means that a peer has asked for the return of no submission.
var errNothingTurnedAway = errors.New("the request names no submission that was turned away")

// planReturn asks the owner when a refused submission should come back. One that has come back as promised is accepted.
func (n *Node) planReturn(s *medlarsubmission.Submission, d *medlaradmission.Decision) {
	if d.TurnedAway.ID == "" {
		return
	}
	answer, known := n.askForReturn(peerRequest{Service: s.Service, TurnedAway: &d.TurnedAway, TurnedAwayBy: d.Cause})
	if !known {
		n.meter.Count("door.return-not-planned")
		return
	}
	if !answer.Returned {
		n.meter.Count("door.turned-away")
	} else {
		n.meter.Count("door.returned")
	}
	if answer.Admitted {
		n.meter.Count("door.returned-accepted")
		d.Accept = true
		n.addPending(s)
	} else {
		d.RetryAfter = max(answer.RetryAfter, n.config.Admission.MinRetryAfter)
		n.meter.Time("door.retry-after", d.RetryAfter)
	}
	n.log.Info().Str("event", "return-planned").Str("id", string(s.ID)).Str("limit", string(d.Cause)).Bool("accepted", d.Accept).
		Bool("returned", answer.Returned).Int64("first-turned-away-ms", answer.Age.Milliseconds()).
		Int64("retry-after-ms", answer.RetryAfter.Milliseconds()).Msg("")
}

// askForReturn calls the owner. It reports false if there is no answer within planReturnTimeout, and at once if maxReturnQueries have
// none yet.
func (n *Node) askForReturn(request peerRequest) (medlarreturns.Answer, bool) {
	if n.returnQueries.Add(1) > maxReturnQueries {
		n.returnQueries.Add(-1)
		return medlarreturns.Answer{}, false
	}
	responses := make(chan peerResponse, 1)
	go func() {
		defer n.returnQueries.Add(-1)
		// After a panic there is no response.
		_ = medlarrecover.RunAndLog(n.log, n.meter, "plan-return", func() error {
			response, err := n.queryOwner(peerPathTurnAway, request)
			if err != nil {
				n.log.Warn().Str("event", "return-not-planned").Str("id", string(request.TurnedAway.ID)).Err(err).
					Msg("cannot get a return time from the owner; using the time computed here")
			}
			responses <- response
			return nil
		})
	}()
	timer := time.NewTimer(planReturnTimeout)
	defer timer.Stop()
	select {
	case response := <-responses:
		return response.Return, response.Known
	case <-timer.C:
		return medlarreturns.Answer{}, false
	}
}

// addPending counts a submission that was accepted on its return until the report of the load includes it.
func (n *Node) addPending(s *medlarsubmission.Submission) {
	n.loadReports.mu.Lock()
	defer n.loadReports.mu.Unlock()
	entry := n.loadReports.byService[s.Service]
	entry.pending.Add(n.clock.Now(), &n.config.Admission.BestEffort, s, entry.load)
	n.loadReports.memory.Add(n.clock.Now(), s)
	n.loadReports.byService[s.Service] = entry
}

// turnAwayAtOwner answers the request of an instance.
func turnAwayAtOwner(ctx context.Context, owner *medlarowner.Owner, request *peerRequest) (medlarreturns.Answer, error) {
	if request.TurnedAway == nil {
		return medlarreturns.Answer{}, errNothingTurnedAway
	}
	if err := request.TurnedAway.Check().Err(); err != nil {
		return medlarreturns.Answer{}, err
	}
	return owner.TurnAway(ctx, request.Service, request.TurnedAwayBy, *request.TurnedAway)
}
