package medlarscheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarplatform"
)

// transaction is the transaction in flight.
type transaction struct {
	operation medlarwheel.OperationID
	writes    []medlarwheel.Write
	// intents are queued again unless the transaction was committed.
	intents []intent
}

// flush turns the queued intents into one transaction and sends it, unless a transaction is in flight.
func (s *state) flush(now time.Time) {
	if s.inFlight != nil || now.Before(s.retryAt) || len(s.intents.list) == 0 {
		return
	}
	batch, used := s.buildBatch(now)
	writes, err := batch.Writes()
	if err != nil {
		s.scheduler.deps.Log.Error().Str("event", "batch").Err(err).
			Msg("cannot encode the writes of a transaction; dropping its decisions")
		return
	}
	s.startTransaction(writes, used)
}

// buildBatch applies intents to the newest rows until the transaction is full. Intents for shards that the instance may not
// act on are dropped: the owner of the shard derives the same intents from the rows and from the reports of workers.
func (s *state) buildBatch(now time.Time) (*medlarjob.Batch, []intent) {
	batch, view := medlarjob.NewBatch(s.scheduler.config.Job), newWorkerView(s)
	records := make(map[medlarwheel.JobID]medlarjob.Record)
	var used []intent
	waiting := s.intents.takeAll()
	for at, i := range waiting {
		entry := s.jobs[i.job]
		if entry == nil {
			continue
		}
		owned, ok := s.mayAct(entry.shard, now)
		if !ok {
			continue
		}
		record, known := records[i.job]
		if !known {
			record = entry.record
		}
		view.begin()
		decision, err := i.apply(&record, view, owned, now)
		if err == nil && !decision.IsEmpty() {
			err = batch.Add(decision)
		}
		switch {
		case errors.Is(err, medlarjob.ErrBatchFull):
			view.undo()
			for _, rest := range waiting[at:] {
				s.intents.add(rest)
			}
			return batch, used
		case err != nil:
			view.undo()
			s.scheduler.deps.Log.Debug().Str("event", "not-decided").Str("intent", i.key).Err(err).Send()
		case !decision.IsEmpty():
			records[i.job] = decision.Record()
			used = append(used, i)
		}
	}
	return batch, used
}

// startTransaction sends writes in one transaction and records it as in flight. After an unknown result it reads the rows
// back.
func (s *state) startTransaction(writes []medlarwheel.Write, intents []intent) {
	if len(writes) == 0 {
		return
	}
	s.inFlight = &transaction{operation: s.scheduler.deps.OperationIDs.Next(), writes: writes, intents: intents}
	t := s.inFlight
	s.spawn(func(ctx context.Context) {
		commit, err := s.scheduler.deps.Table.Transact(ctx, t.operation, t.writes)
		if err != nil && medlarplatform.MayHaveApplied(err) {
			rows, ok := s.scheduler.readBack(ctx, t.writes)
			if ok {
				s.scheduler.postToControl(ctx, func(s *state) { s.handleUnknownResult(rows) })
			}
			return
		}
		s.scheduler.postToControl(ctx, func(s *state) { s.handleCommit(commit, err) })
	})
}

// handleCommit applies the committed rows, or after a failure the newer rows named in a conflict, and queues the intents of
// a failed transaction again.
func (s *state) handleCommit(commit medlarwheel.Commit, err error) {
	t := s.inFlight
	s.inFlight = nil
	var conflict *medlarwheel.ConflictError
	switch {
	case err == nil:
		for _, w := range t.writes {
			s.applyRow(medlarwheel.Row{Key: w.Key, Version: commit.Version, Value: w.Value, Deleted: w.Delete})
		}
		s.sendOrders(s.scheduler.deps.Clock.Now())
		return
	case errors.As(err, &conflict):
		s.applyRows(conflict.Rows)
	default:
		pause := max(medlarplatform.RetryAfter(err), s.scheduler.config.MinRetryDelay)
		s.retryAt = s.scheduler.deps.Clock.Now().Add(pause)
		s.scheduler.deps.Log.Warn().Str("event", "transact").Err(err).
			Msg("transaction failed; retrying its decisions after a delay")
	}
	s.requeueIntents(t)
}

// handleUnknownResult applies the rows that were read back after an unknown result and queues the intents again. Intents
// whose writes were committed change nothing when they are applied again. If the table executes the transaction after the
// rows were read back, it either conflicts or causes a conflict of the next transaction.
func (s *state) handleUnknownResult(rows []medlarwheel.Row) {
	t := s.inFlight
	s.inFlight = nil
	s.applyRows(rows)
	s.requeueIntents(t)
}

func (s *state) requeueIntents(t *transaction) {
	newer := s.intents.takeAll()
	for _, i := range t.intents {
		s.intents.add(i)
	}
	for _, i := range newer {
		s.intents.add(i)
	}
}

// readBack reads the rows of a transaction with an unknown result. It retries until ctx ends and then reports false.
func (sc *Scheduler) readBack(ctx context.Context, writes []medlarwheel.Write) ([]medlarwheel.Row, bool) {
	rows := make([]medlarwheel.Row, 0, len(writes))
	for len(rows) < len(writes) {
		key := writes[len(rows)].Key
		row, err := sc.deps.Table.Row(ctx, key)
		if errors.Is(err, medlarwheel.ErrNotFound) {
			row, err = medlarwheel.Row{Key: key, Deleted: true}, nil
		}
		if err == nil {
			rows = append(rows, row)
			continue
		}
		if !sleep(ctx, max(medlarplatform.RetryAfter(err), sc.config.MinRetryDelay)) {
			return nil, false
		}
	}
	return rows, true
}

// sleep waits for a duration. It reports false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
