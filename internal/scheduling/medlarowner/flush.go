package medlarowner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlarownership"
	"medlarwheel/internal/state/medlartable"
)

// flush stores changed records and renews the ownership. Only one batch is in flight at a time.
func (o *Owner) flush(ctx context.Context, now time.Time) {
	if o.flushing || o.releasing {
		return
	}
	if wait := o.config.FlushInterval - now.Sub(o.flushedAt); wait > 0 {
		o.scheduleFlush(wait)
		return
	}
	renew := now.Sub(o.RenewedAt()) >= o.config.Ownership.RenewInterval || o.cell.NeedsOwnershipCheck() || o.cell.HasSilenceChanged() || o.isolation.isProbing()
	limit := o.isolation.limit()
	var erased []medlarcellstore.ProgressKey
	if renew && !o.isolation.isActive() {
		o.erasePending()
	}
	if (renew || o.eraser.hasBacklog()) && !o.isolation.isActive() {
		erased = o.eraser.takeOrphanedProgress()
		limit -= len(erased)
	}
	if !renew && !o.cell.HasFlush() && len(erased) == 0 {
		if batch := o.cell.TakeFlush(0); !batch.IsEmpty() {
			// Ended runs that change no record may be acknowledged to their workers without a write.
			o.cell.FlushSucceeded(now, batch)
		}
		return
	}
	batch := o.cell.TakeFlush(limit)
	var renewal medlarownership.Renewal
	if renew {
		// A renewal never shortens the authority that an earlier one has granted.
		renewal = o.newRenewal(now, max(o.config.Ownership.TimeoutFor(o.writeDuration), o.cell.AuthorityEnd().Sub(now)))
		renewal.LeasesLeft = o.cell.TakeLeasesLeft(now)
	}
	transaction, err := o.chain.Next(batch, erased, renewal)
	if err != nil {
		o.Log.Error().Str("event", "flush-not-encoded").Err(err).
			Msg("batch of records not encoded and not stored; its records stay queued for the next batch")
		o.cell.FlushFailed(batch)
		return
	}
	if renew && !o.isolation.isActive() && now.Sub(o.modelSnapshotAt) >= o.config.ModelSnapshotInterval {
		o.modelSnapshotAt = now
		o.addModelSnapshot(&transaction)
	}
	o.flushing, o.flushedAt = true, now
	o.goInBackground("flush", func() { o.commitBatch(ctx, transaction, batch, renewal, o.Clock.Now()) })
}

// newRenewal returns a renewal with what its reader may conclude about promises and outage leases.
func (o *Owner) newRenewal(now time.Time, timeout time.Duration) medlarownership.Renewal {
	o.renewalPreparedAt = now
	return medlarownership.Renewal{
		Timeout: timeout, RegistryVersion: o.RegistryVersion(), ConfirmedAt: o.Clocks.At(o.RenewedAt()), OutageLeases: o.OutageLeases(),
	}
}

// maxModelSnapshotBytes is the largest row of the platform, less the overhead of its encoding.
const maxModelSnapshotBytes = 40 << 10

// addModelSnapshot adds a snapshot of the cell's learned models to a batch. The next owner can do without it, so it is
// omitted if it can't be encoded or is too large.
func (o *Owner) addModelSnapshot(t *medlartable.Transaction) {
	row, err := medlarcellstore.ModelSnapshotRow(o.config.Part, o.cell.SnapshotModels())
	if err != nil || len(row.Value) > maxModelSnapshotBytes {
		o.Log.Warn().Str("event", "learnt-not-stored").Int("bytes", len(row.Value)).Err(err).
			Msg("model snapshot not encoded or too large for a row; omitted from this batch")
		return
	}
	t.Put = append(t.Put, row)
}

// scheduleFlush wakes the control goroutine once the next batch may be sent.
func (o *Owner) scheduleFlush(wait time.Duration) {
	if o.flushScheduled || !o.cell.HasFlush() {
		return
	}
	o.flushScheduled = true
	time.AfterFunc(wait, func() { o.postToControl(func(time.Time) { o.flushScheduled = false }) })
}

// commitRenewal sends a renewal of the load repeatedly until its outcome is known.
func (o *Owner) commitRenewal(ctx context.Context, r *unconfirmedRenewal) {
	o.commitBatch(ctx, r.transaction, &medlarcell.Batch{}, medlarownership.Renewal{Timeout: r.timeout}, r.sentAt)
}

// commitBatch sends a batch repeatedly until its outcome is known. The renewal counts from the first attempt, because
// any of them may be the one that the table has executed.
func (o *Owner) commitBatch(
	ctx context.Context, t medlartable.Transaction, batch *medlarcell.Batch, renewal medlarownership.Renewal, firstSentAt time.Time,
) {
	for {
		sentAt := o.Clock.Now()
		commit, err := o.writer.Transact(t)
		o.Meter.Time("owner.flush", o.Clock.Now().Sub(sentAt))
		outcome := o.chain.Resolve(commit, err)
		if outcome != medlarcellstore.OutcomeRetry {
			o.postToControl(func(now time.Time) { o.handleCommit(now, batch, outcome, firstSentAt, renewal) })
			return
		}
		o.Log.Warn().Str("event", "flush-failed").Int("records", len(batch.Records)).Err(err).
			Msg("batch of records not confirmed by the table; sending it again")
		pause := o.config.FlushRetry
		if !medlarwheel.HasNoEffect(err) {
			// After a lost response, the call has already waited for its time-out.
			pause = 0
		}
		if !medlarclock.Sleep(ctx, pause) {
			return
		}
	}
}

// handleCommit processes the outcome of a batch on the control goroutine.
func (o *Owner) handleCommit(now time.Time, batch *medlarcell.Batch, outcome medlarcellstore.Outcome, sentAt time.Time, renewal medlarownership.Renewal) {
	o.flushing = false
	switch outcome {
	case medlarcellstore.OutcomeInvalid:
		o.handleInvalidBatch(now, batch)
		return
	case medlarcellstore.OutcomeSuperseded:
		o.Log.Warn().Str("event", "owner-superseded").Uint64("term", o.term.Number).Uint64("version", uint64(o.term.Version)).
			Dur("flush-age", now.Sub(sentAt)).
			Msg("another instance has claimed the cell; ending the ownership")
		o.superseded = true
		return
	}
	o.isolation.batchStored()
	o.cell.FlushSucceeded(now, batch)
	o.cell.OwnershipConfirmed(now, sentAt)
	// A decaying maximum keeps one fast response from hiding that the table is slow.
	o.writeDuration = max(now.Sub(sentAt), time.Duration(writeDurationDecay*float64(o.writeDuration)))
	if renewal.Timeout > 0 {
		o.recordRenewal(sentAt)
		o.cell.Authorize(sentAt.Add(renewal.Timeout))
		o.excludeSuccessor(sentAt)
		o.cell.ConfirmLeasesLeft(now, renewal.LeasesLeft)
	}
}

// recordRenewal publishes when the last confirmed renewal was sent, for calls from other goroutines.
func (o *Owner) recordRenewal(sentAt time.Time) { o.renewedAt.Store(sentAt.UnixNano()) }

// writeDurationDecay is the factor by which the longest observed duration of a write decays with each further write.
const writeDurationDecay = 0.8

// Release gives up the cell, so that another instance can claim it at once. The owner sends no more orders.
func (o *Owner) Release(ctx context.Context) error {
	if !o.Stop(ctx) {
		return nil
	}
	return o.releaseTerm()
}

// Decline gives up the cell in the place of Run.
func (o *Owner) Decline() error { return o.releaseTerm() }

// Stop ends the ownership. Once it has returned true, the owner sends no more orders.
func (o *Owner) Stop(ctx context.Context) bool {
	stopped := make(chan struct{})
	if !o.postToControl(func(time.Time) { o.releasing = true; o.superseded = true; close(stopped) }) {
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

// releaseTerm records in the table that the claim is released.
func (o *Owner) releaseTerm() error {
	term := o.term
	term.Released, term.OutageLeases = true, o.OutageLeases()
	term.Grace = max(0, o.claimedAt.Add(o.grace).Sub(o.Clock.Now()))
	value, err := json.Marshal(term)
	if err != nil {
		return errors.Wrapf(err, "encoding the release of cell %s in term %d", o.config.Part, o.term.Number)
	}
	row := medlartable.Row{Table: medlarownership.Table, Part: o.config.Part, Key: medlarownership.KeyTerm}
	t := medlartable.Transaction{Require: []medlartable.Row{row}, Put: []medlartable.Row{row}}
	t.Require[0].Version = term.Version
	t.Put[0].Value = value
	_, err = o.Store.Transact(t)
	return medlarwheel.WithOperation("release cell", "", err)
}
