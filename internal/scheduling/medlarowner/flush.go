package medlarowner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// flush stores changed records and renews the ownership, one batch at a time.
func (o *Owner) flush(ctx context.Context, now time.Time) {
	if o.flushing || o.releasing {
		return
	}
	if wait := o.config.FlushInterval - now.Sub(o.flushedAt); wait > 0 {
		o.scheduleFlush(wait)
		return
	}
	renew := now.Sub(o.RenewedAt()) >= o.config.Tenure.RenewInterval || o.cell.NeedsOwnershipCheck()
	limit := medlarcellstore.MaxRecords
	var erased []medlarsubmission.ID
	if renew {
		erased = o.eraser.takeOrphanedProgress()
		limit -= len(erased)
		o.erasePending()
	}
	if !renew && !o.cell.HasFlush() {
		if batch := o.cell.TakeFlush(0); !batch.IsEmpty() {
			// Ends that change no record need no write before they are forgotten.
			o.cell.FlushSucceeded(now, batch)
		}
		return
	}
	batch := o.cell.TakeFlush(limit)
	var renewal medlarownership.Renewal
	if renew {
		// A renewal never shortens the time that an earlier one has claimed.
		renewal.Timeout = max(o.config.Tenure.TimeoutFor(o.renewDuration), o.cell.AuthorityEnd().Sub(now))
	}
	transaction, err := o.chain.Next(batch, erased, renewal)
	if err != nil {
		o.Log.Error().Str("event", "flush-not-encoded").Err(err).Msg("")
		o.cell.FlushFailed(batch)
		return
	}
	if renew && now.Sub(o.modelSnapshotAt) >= o.config.ModelSnapshotInterval {
		o.modelSnapshotAt = now
		o.addModelSnapshot(&transaction)
	}
	o.flushing, o.flushedAt = true, now
	o.goInBackground("flush", func() { o.commitBatch(ctx, transaction, batch, renewal) })
}

// maxModelSnapshotBytes is the size of a row on the platform, less its encoding.
const maxModelSnapshotBytes = 40 << 10

// addModelSnapshot adds what the cell has learnt to a batch. It is only a help to the next owner, so that it is left out if it
// can't be encoded or is too large.
func (o *Owner) addModelSnapshot(t *medlartable.Transaction) {
	row, err := medlarcellstore.ModelSnapshotRow(o.config.Part, o.cell.SnapshotModels())
	if err != nil || len(row.Value) > maxModelSnapshotBytes {
		o.Log.Warn().Str("event", "learnt-not-stored").Int("bytes", len(row.Value)).Err(err).Msg("")
		return
	}
	t.Put = append(t.Put, row)
}

// scheduleFlush makes the control goroutine look again once the next batch may be sent.
func (o *Owner) scheduleFlush(wait time.Duration) {
	if o.flushScheduled || !o.cell.HasFlush() {
		return
	}
	o.flushScheduled = true
	time.AfterFunc(wait, func() { o.post(func(time.Time) { o.flushScheduled = false }) })
}

// commitBatch sends a batch until its outcome is known.
func (o *Owner) commitBatch(ctx context.Context, t medlartable.Transaction, batch *medlarcell.Batch, renewal medlarownership.Renewal) {
	// The renewal counts from the first try: any of them may be the one that the table has carried out.
	firstSentAt := o.Clock.Now()
	for {
		sentAt := o.Clock.Now()
		commit, err := o.writer.Transact(t)
		o.Meter.Time("owner.flush", o.Clock.Now().Sub(sentAt))
		outcome := o.chain.Resolve(commit, err)
		if outcome != medlarcellstore.OutcomeRetry {
			o.post(func(now time.Time) { o.handleCommit(now, batch, outcome, firstSentAt, renewal) })
			return
		}
		o.Log.Warn().Str("event", "flush-failed").Int("records", len(batch.Records)).Err(err).Msg("")
		pause := o.config.FlushRetry
		if !medlarwheel.HasNoEffect(err) {
			// A lost answer has taken its time already.
			pause = 0
		}
		if !medlarclock.Sleep(ctx, pause) {
			return
		}
	}
}

func (o *Owner) handleCommit(now time.Time, batch *medlarcell.Batch, outcome medlarcellstore.Outcome, sentAt time.Time, renewal medlarownership.Renewal) {
	o.flushing = false
	if outcome == medlarcellstore.OutcomeSuperseded {
		o.Log.Warn().Str("event", "owner-superseded").Uint64("term", o.term.Number).Dur("flush-age", now.Sub(sentAt)).Msg("")
		o.superseded = true
		return
	}
	o.cell.FlushSucceeded(now, batch)
	o.cell.OwnershipConfirmed(now, sentAt)
	// The longest write of late counts, so that one fast answer does not hide that the table is slow.
	o.renewDuration = max(now.Sub(sentAt), time.Duration(renewDurationDecay*float64(o.renewDuration)))
	if renewal.Timeout > 0 {
		o.recordRenewal(sentAt)
		o.cell.Authorize(sentAt.Add(renewal.Timeout))
	}
}

// recordRenewal notes when a stored renewal was sent.
func (o *Owner) recordRenewal(sentAt time.Time) { o.renewedAt.Store(sentAt.UnixNano()) }

// renewDurationDecay is the part of the longest duration of a write that is remembered at the next one.
const renewDurationDecay = 0.8

// Release gives the cell back, so that another instance can claim it at once. The owner gives no more orders.
func (o *Owner) Release(ctx context.Context) error {
	if !o.Stop(ctx) {
		return nil
	}
	return o.releaseTerm()
}

// Stop ends the ownership. When it returns true, the owner gives no more orders.
func (o *Owner) Stop(ctx context.Context) bool {
	stopped := make(chan struct{})
	if !o.post(func(time.Time) { o.releasing = true; o.superseded = true; close(stopped) }) {
		return false
	}
	select {
	case <-stopped:
	case <-o.done:
	case <-ctx.Done():
		return false
	}
	return true
}

// releaseTerm marks the claim as released.
func (o *Owner) releaseTerm() error {
	term := o.term
	term.Released, term.OutageLeases = true, o.OutageLeases()
	value, err := json.Marshal(term)
	if err != nil {
		return errors.Wrap(err, "release of a claim")
	}
	row := medlartable.Row{Table: medlarownership.Table, Part: o.config.Part, Key: medlarownership.KeyTerm}
	t := medlartable.Transaction{Require: []medlartable.Row{row}, Put: []medlartable.Row{row}}
	t.Require[0].Version = term.Version
	t.Put[0].Value = value
	_, err = o.Store.Transact(t)
	return medlarwheel.AtStep("release cell", "", err)
}
