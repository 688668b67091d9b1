package medlarscheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarjob"
	"medlarwheel/medlarplatform"
)

// transaction is the transaction that is under way.
type transaction struct {
	operation medlarwheel.OperationID
	writes    []medlarwheel.Write
	// intents go back into the queue unless the transaction took effect.
	intents []intent
}

// flush sends the decisions that are due in one transaction, unless one is under way.
func (s *state) flush(now time.Time) {
	if s.inFlight != nil || now.Before(s.retryAt) || len(s.intents.list) == 0 {
		return
	}
	batch, used := s.buildBatch(now)
	writes, err := batch.Writes()
	if err != nil {
		s.scheduler.deps.Log.Error().Str("event", "batch").Err(err).Send()
		return
	}
	s.startTransaction(writes, used)
}

// buildBatch applies intents to the newest rows until the transaction is full. Intents about shards that the instance may not
// act on are dropped: whoever owns the shard finds the same in the rows and in what the workers tell.
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

// startTransaction starts a transaction.
func (s *state) startTransaction(writes []medlarwheel.Write, intents []intent) {
	if len(writes) == 0 {
		return
	}
	s.inFlight = &transaction{operation: s.scheduler.deps.Operations.Next(), writes: writes, intents: intents}
	flight := s.inFlight
	s.spawn(func(ctx context.Context) {
		commit, err := s.scheduler.deps.Table.Transact(ctx, flight.operation, flight.writes)
		if err != nil && medlarplatform.MayHaveApplied(err) {
			rows, ok := s.scheduler.readBack(ctx, flight.writes)
			if ok {
				s.scheduler.post(ctx, func(s *state) { s.handleUnknownResult(rows) })
			}
			return
		}
		s.scheduler.post(ctx, func(s *state) { s.handleCommit(commit, err) })
	})
}

// handleCommit takes over the result of the transaction.
func (s *state) handleCommit(commit medlarwheel.Commit, err error) {
	flight := s.inFlight
	s.inFlight = nil
	var conflict *medlarwheel.ConflictError
	switch {
	case err == nil:
		for _, w := range flight.writes {
			s.applyRow(medlarwheel.Row{Key: w.Key, Version: commit.Version, Value: w.Value, Deleted: w.Delete})
		}
		s.sendOrders(s.scheduler.deps.Clock.Now())
		return
	case errors.As(err, &conflict):
		s.applyRows(conflict.Rows)
	default:
		pause := max(medlarplatform.RetryAfter(err), s.scheduler.config.MinRetryDelay)
		s.retryAt = s.scheduler.deps.Clock.Now().Add(pause)
		s.scheduler.deps.Log.Warn().Str("event", "transact").Err(err).Send()
	}
	s.requeueIntents(flight)
}

// handleUnknownResult takes over the rows that were read back after an unknown result. The intents that took effect change nothing
// when they are applied again. A transaction that arrives even later conflicts, or makes the next one conflict.
func (s *state) handleUnknownResult(rows []medlarwheel.Row) {
	flight := s.inFlight
	s.inFlight = nil
	s.applyRows(rows)
	s.requeueIntents(flight)
}

func (s *state) requeueIntents(flight *transaction) {
	newer := s.intents.takeAll()
	for _, i := range flight.intents {
		s.intents.add(i)
	}
	for _, i := range newer {
		s.intents.add(i)
	}
}

// readBack reads the rows of a transaction with an unknown result. It tries until ctx ends.
func (f *Scheduler) readBack(ctx context.Context, writes []medlarwheel.Write) ([]medlarwheel.Row, bool) {
	rows := make([]medlarwheel.Row, 0, len(writes))
	for len(rows) < len(writes) {
		key := writes[len(rows)].Key
		row, err := f.deps.Table.Row(ctx, key)
		if errors.Is(err, medlarwheel.ErrNotFound) {
			row, err = medlarwheel.Row{Key: key, Deleted: true}, nil
		}
		if err == nil {
			rows = append(rows, row)
			continue
		}
		if !sleep(ctx, max(medlarplatform.RetryAfter(err), f.config.MinRetryDelay)) {
			return nil, false
		}
	}
	return rows, true
}

// sleep waits and reports false when ctx has ended.
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
