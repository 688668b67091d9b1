package medlarnode

import (
	"fmt"
	"slices"
	"time"

	"medlarwheel/internal/acceptance/medlargroupcommit"
	"medlarwheel/internal/acceptance/medlarroute"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/operation/medlarrecover"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
	"medlarwheel/platform"
)

// storeRetryAfter is the retry delay given to a client whose row is refused while the table responds.
const storeRetryAfter = time.Second

// replyMargin is the part of a client's deadline that is kept for sending the reply.
const replyMargin = 50 * time.Millisecond

// Routes returns the configuration in force.
func (n *Node) Routes() *medlarroute.Table { return n.routes.Load() }

// Submit accepts a submission once it is stored in the table.
func (n *Node) Submit(s medlarsubmission.Submission, deadline time.Time) platform.Reply {
	began := n.clock.Now()
	reply, reason := n.submit(&s, deadline)
	if reply.Outcome == platform.OutcomeRefused && n.isKnown(s.ID, reply.Overloaded) {
		// An earlier request, whose response was lost, has stored it.
		reply, reason = platform.Reply{Outcome: platform.OutcomeOK}, "stored before, would be refused: "+reason
	}
	n.meter.Time("submit", n.clock.Now().Sub(began))
	n.logReply("submit", s.ID, s.Route, reply, reason, n.clock.Now().Sub(began))
	return reply
}

// knownTimeout bounds how long a refusal waits for the answer to whether the submission is known. A refused client should come back
// soon.
const knownTimeout = 50 * time.Millisecond

// isKnown reports whether the owner knows a submission or, if the table responds, whether it is stored. It reports false if the
// answer does not come within knownTimeout.
func (n *Node) isKnown(id medlarsubmission.ID, tableResponds bool) bool {
	answer := make(chan bool, 1)
	go func() {
		// After a panic there is no answer.
		_ = medlarrecover.RunAndLog(n.log, n.meter, "known-submission", func() error {
			_, known := n.queryState(id)
			answer <- known || tableResponds && n.stateFromTable(id).Outcome == platform.OutcomeOK
			return nil
		})
	}()
	timer := time.NewTimer(knownTimeout)
	defer timer.Stop()
	select {
	case known := <-answer:
		return known
	case <-timer.C:
		return false
	}
}

func (n *Node) submit(s *medlarsubmission.Submission, deadline time.Time) (platform.Reply, string) {
	s.AcceptedAtTable = n.clocks.Now()
	row, err := medlarcellstore.SubmissionRow(n.config.Owner.Part, s)
	if err != nil {
		return platform.Reply{Outcome: platform.OutcomeRefused, RetryAfter: storeRetryAfter}, err.Error()
	}
	if size, most := len(row.Value), n.config.Owner.Cell.MaxRowBytes; size > most {
		// The table would refuse the row, and with it those of other submissions in the same transaction.
		return platform.Reply{Outcome: platform.OutcomeTooLarge}, fmt.Sprintf("%d bytes in its row, at most %d", size, most)
	}
	decision := n.admit(s)
	if !decision.Accept {
		n.planReturn(s, &decision)
	}
	if !decision.Accept {
		n.meter.Count("door.refused")
		n.meter.Count("door.refused." + string(decision.Cause))
		return platform.Reply{Outcome: platform.OutcomeRefused, Overloaded: true, RetryAfter: decision.RetryAfter},
			fmt.Sprintf("%s, report is %d ms old", decision.Reason, decision.Age.Milliseconds())
	}
	return n.storeRow(row, deadline)
}

func (n *Node) storeRow(row medlartable.Row, deadline time.Time) (platform.Reply, string) {
	in := n.insertOrWait(row, deadline)
	switch in.result {
	case medlargroupcommit.ResultStored:
		return platform.Reply{Outcome: platform.OutcomeOK}, "stored" + in.describe()
	case medlargroupcommit.ResultRefused:
		return platform.Reply{Outcome: platform.OutcomeRefused, RetryAfter: in.retryAfter}, "not stored" + in.describe()
	default:
		return platform.Reply{Outcome: platform.OutcomeUnknown}, "no answer from the table" + in.describe()
	}
}

// State returns the state of a submission from the owner of the cell or, if the owner does not know it or cannot be
// reached, from the table.
func (n *Node) State(id medlarsubmission.ID) platform.Reply {
	if state, known := n.queryState(id); known {
		return platform.Reply{Outcome: platform.OutcomeOK, State: state}
	}
	return n.stateFromTable(id)
}

// stateFromTable reads the state of a submission if the owner does not know it or cannot be reached. Only the table
// can show that a submission does not exist.
func (n *Node) stateFromTable(id medlarsubmission.ID) platform.Reply {
	refused := platform.Reply{Outcome: platform.OutcomeRefused, RetryAfter: time.Second}
	if n.health.HasFailed() {
		return refused
	}
	entries, err := n.store.Read(medlarcellstore.SubmissionRange(n.config.Owner.Part, id))
	n.health.Report(err == nil)
	if err != nil {
		n.log.Warn().Str("event", "state-read-failed").Str("id", string(id)).Err(err).
			Msg("cannot read the submission from the table; refusing the request")
		return refused
	}
	isStored := func(r medlartable.Row) bool { return r.Key == string(id) }
	if !slices.ContainsFunc(entries.Rows, isStored) {
		return platform.Reply{Outcome: platform.OutcomeNotFound}
	}
	if len(entries.Rows) > 1 {
		return platform.Reply{Outcome: platform.OutcomeOK, State: medlarsubmission.StateCancelled}
	}
	progress, err := n.store.Read(medlarcellstore.ProgressRange(n.config.Owner.Part, id))
	if err != nil {
		n.log.Warn().Str("event", "state-read-failed").Str("id", string(id)).Err(err).
			Msg("cannot read the progress of the submission from the table; refusing the request")
		return refused
	}
	state := medlarsubmission.StateQueued
	for _, r := range progress.Rows {
		state = medlarsubmission.StateRunning
		if p, err := medlarcellstore.DecodeProgress(r); err != nil {
			n.log.Error().Str("event", "row-refused").Str("table", r.Table).Str("id", r.Key).Err(err).
				Msg("cannot decode a progress row; the state is derived from the other rows")
		} else if p.State != "" {
			state = p.State
		}
	}
	return platform.Reply{Outcome: platform.OutcomeOK, State: state}
}

// Cancel stores the cancellation of a submission that is not final. It also does so if the submission does not exist, since
// a write of it without a response may still be carried out.
func (n *Node) Cancel(id medlarsubmission.ID, deadline time.Time) platform.Reply {
	began := n.clock.Now()
	reply, reason := n.cancel(id, deadline)
	n.logReply("cancel", id, "", reply, reason, n.clock.Now().Sub(began))
	return reply
}

func (n *Node) cancel(id medlarsubmission.ID, deadline time.Time) (platform.Reply, string) {
	state := n.State(id)
	if state.Outcome == platform.OutcomeRefused && n.health.HasFailed() {
		// Neither the owner nor the table can be asked. The state may be known once the table responds again.
		if wait := n.waitForTable(medlarcellstore.CancelRow(n.config.Owner.Part, id), deadline, false); wait.retry {
			state = n.State(id)
		}
	}
	exists := state.Outcome == platform.OutcomeOK
	if !exists && state.Outcome != platform.OutcomeNotFound || state.State.IsFinal() {
		return state, "state " + string(state.State)
	}
	reply, reason := n.storeRow(medlarcellstore.CancelRow(n.config.Owner.Part, id), deadline)
	if !exists && reply.Outcome == platform.OutcomeOK {
		return state, "not found, cancellation " + reason
	}
	return reply, reason
}

// QueueLength returns the number of submissions of a route of which no task has started.
func (n *Node) QueueLength(route *medlarroute.Route) platform.Reply {
	length, err := n.queryQueueLength(route.Name)
	if err != nil {
		n.log.Warn().Str("event", "waiting-unknown").Str("route", route.Name).Err(err).
			Msg("cannot get the number of waiting submissions from the owner; refusing the request")
		return platform.Reply{Outcome: platform.OutcomeRefused, RetryAfter: time.Second}
	}
	return platform.Reply{Outcome: platform.OutcomeOK, QueueLength: length}
}

func (n *Node) logReply(request string, id medlarsubmission.ID, route string, r platform.Reply, reason string, took time.Duration) {
	outcome := outcomeNames[r.Outcome]
	n.meter.Count(request + "." + outcome)
	n.log.Info().Str("event", request).Str("id", string(id)).Str("route", route).Str("outcome", outcome).
		Str("reason", reason).Int64("took-ms", took.Milliseconds()).Msg("")
}

var outcomeNames = map[platform.Outcome]string{
	platform.OutcomeOK: "accepted", platform.OutcomeRefused: "refused", platform.OutcomeUnknown: "unknown",
	platform.OutcomeNotFound: "gone", platform.OutcomeTooLarge: "too-large",
}
