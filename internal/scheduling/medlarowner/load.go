package medlarowner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/operation/medlarclock"
	"medlarwheel/internal/scheduling/medlarcell"
	"medlarwheel/internal/state/medlarcellstore"
	"medlarwheel/internal/state/medlartable"
)

// unconfirmedRenewal is a renewal whose outcome is not known yet.
type unconfirmedRenewal struct {
	transaction medlartable.Transaction
	timeout     time.Duration
	// sentAt is when it was first sent.
	sentAt time.Time
}

// loadWhileRenewing loads the cell and meanwhile renews the claim: on a slow instance, loading a cell with a thousand
// submissions takes longer than one renewal lasts. It returns the last renewal if its outcome is not known yet.
func (o *Owner) loadWhileRenewing(ctx context.Context) (unconfirmed *unconfirmedRenewal, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loaded := make(chan error, 1)
	go func() { loaded <- o.runRecovered("load", func() error { return o.load(ctx) }) }()
	ticker := time.NewTicker(o.config.Ownership.RenewInterval)
	defer ticker.Stop()
	var authority time.Time
	for {
		select {
		case err := <-loaded:
			if err == nil {
				o.cell.Authorize(authority)
				o.excludeSuccessor(o.RenewedAt())
			}
			return unconfirmed, err
		case <-ticker.C:
		}
		var until time.Time
		if unconfirmed, until, err = o.renewClaim(unconfirmed); err != nil {
			return nil, err
		}
		if until.After(authority) {
			authority = until
		}
	}
}

// renewClaim writes a renewal without records, and returns the time until which the owner may then send orders. While its
// outcome is unknown, the renewal is returned and has to be sent again: the chain tells batches apart by their position
// only, so another batch in its place could be taken for it.
func (o *Owner) renewClaim(r *unconfirmedRenewal) (unconfirmed *unconfirmedRenewal, until time.Time, err error) {
	if r == nil {
		r = &unconfirmedRenewal{timeout: o.config.Ownership.TimeoutFor(o.writeDuration), sentAt: o.Clock.Now()}
		r.transaction, err = o.chain.Next(&medlarcell.Batch{}, nil, o.newRenewal(r.sentAt, r.timeout))
		if err != nil {
			return nil, until, err
		}
	}
	switch o.chain.Resolve(o.writer.Transact(r.transaction)) {
	case medlarcellstore.OutcomeSuperseded:
		return nil, until, ErrSuperseded
	case medlarcellstore.OutcomeRetry:
		return r, until, nil
	case medlarcellstore.OutcomeInvalid:
		return nil, until, nil
	default:
		// The first attempt may be the one that took effect.
		o.recordRenewal(r.sentAt)
		return nil, r.sentAt.Add(r.timeout), nil
	}
}

// load reads the stored state of the cell and the list of workers.
func (o *Owner) load(ctx context.Context) error {
	var submissions []storedSubmission
	var progress []storedProgress
	var workers, recordedWorkers []medlarorder.Worker
	var modelSnapshots, evacuations []medlartable.Row
	var evacuationsVersion medlarwheel.RowVersion
	began := o.Clock.Now()
	group, ctx := errgroup.WithContext(ctx)
	o.goInGroup(group, "load-submissions", func() (err error) {
		submissions, o.submissionsVersion, err = readSubmissions(ctx, o, o.decodeSubmissions)
		return err
	})
	o.goInGroup(group, "load-progress", func() (err error) {
		progress, _, err = readPages(ctx, o, medlartable.Range{Table: medlarcellstore.TableProgress, Part: o.config.Part}, o.decodeProgress)
		return err
	})
	o.goInGroup(group, "load-workers", func() (err error) {
		workers, o.workersVersion, err = readPages(ctx, o, o.Registry.Range, o.decodeWorkers)
		return err
	})
	o.goInGroup(group, "load-records", func() (err error) {
		recordedWorkers, _, err = readPages(ctx, o, medlarcellstore.WorkerRange(o.config.Part), o.decodeRecordedWorkers)
		return err
	})
	o.goInGroup(group, "load-models", func() (err error) {
		modelSnapshots, _, err = o.readAll(ctx, medlarcellstore.ModelSnapshotRange(o.config.Part))
		return err
	})
	if o.Evacuations.Range.Table != "" {
		o.goInGroup(group, "load-evacuations", func() (err error) {
			evacuations, evacuationsVersion, err = o.readAll(ctx, o.Evacuations.Range)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	now := o.Clock.Now()
	for _, snapshot := range decodeRows(modelSnapshots, medlarcellstore.DecodeModelSnapshot, o.unreadableRowLogger(zerolog.WarnLevel)) {
		o.cell.RestoreModels(snapshot)
	}
	o.updateTimeOfDay(now)
	o.restoreSubmissions(now, submissions, progress)
	o.cell.SetWorkers(now, workers)
	o.cell.RestoreWorkers(now, recordedWorkers)
	o.setEvacuations(evacuationsVersion, o.decodeEvacuations(evacuations))
	o.Log.Info().Str("event", "cell-loaded").Uint64("term", o.term.Number).Uint64("version", uint64(o.submissionsVersion)).
		Int("submission-rows", len(submissions)).
		Int("workers", len(workers)).Int("recorded-workers", len(recordedWorkers)).Int("evacuations", len(evacuations)).
		Int64("longest-wait-ms", o.cell.ReconcileDeadline().Sub(o.claimedAt).Milliseconds()).Dur("took", now.Sub(began)).Msg("")
	return nil
}

// readSubmissions reads all submissions, and returns what convert keeps of them and the version from which their changes can be followed.
func readSubmissions[T any](ctx context.Context, o *Owner, convert func(rows []medlartable.Row) []T) ([]T, medlarwheel.RowVersion, error) {
	return medlartable.ReadParts(medlarcellstore.Submissions(o.config.Part), func(r medlartable.Range) ([]T, medlarwheel.RowVersion, error) {
		return readPages(ctx, o, r, convert)
	})
}

// readUnknownSubmissions reads the submissions that this owner has not heard of, and all cancellations.
func (o *Owner) readUnknownSubmissions(ctx context.Context) ([]medlartable.Row, medlarwheel.RowVersion, error) {
	return readSubmissions(ctx, o, func(rows []medlartable.Row) []medlartable.Row {
		return slices.DeleteFunc(rows, func(r medlartable.Row) bool {
			return o.known.has(medlarsubmission.ID(r.Key), r.Version)
		})
	})
}

// errStaleRead means that the table has returned rows from before the claim of this owner. Ends and submissions that the previous owner
// has stored may be missing in them.
var errStaleRead = errors.New("rows are older than the claim of the cell")

// readAll reads a range of the table. It retries until the read succeeds and is not older than the claim, or the context ends.
func (o *Owner) readAll(ctx context.Context, r medlartable.Range) ([]medlartable.Row, medlarwheel.RowVersion, error) {
	return readPages(ctx, o, r, func(rows []medlartable.Row) []medlartable.Row { return rows })
}

// readPages does the same, and returns what convert keeps of each page. The rows of a large cell take as much memory as the cell itself.
func readPages[T any](ctx context.Context, o *Owner, r medlartable.Range, convert func(rows []medlartable.Row) []T) ([]T, medlarwheel.RowVersion, error) {
	for {
		rows, version, err := medlartable.ReadPages(o.Store, r, convert)
		if err == nil && version < o.term.Version {
			err = errors.WithMessagef(errStaleRead, "version %d, claim has version %d", version, o.term.Version)
		}
		if err == nil {
			return rows, version, nil
		}
		o.Log.Warn().Str("event", "table-read-failed").Str("table", r.Table).Err(err).
			Msg("table not read; retrying after a pause")
		if !medlarclock.Sleep(ctx, o.config.FollowRetry) {
			return nil, 0, ctx.Err()
		}
	}
}

// storedSubmission is a row of the table of submissions. It has no entry if it can't be decoded.
type storedSubmission struct {
	key   string
	entry *medlarcellstore.Entry
}

// storedProgress is a row of progress. It has no progress if it can't be decoded.
type storedProgress struct {
	key      medlarcellstore.ProgressKey
	progress *medlarcell.Progress
}

func (o *Owner) decodeSubmissions(rows []medlartable.Row) []storedSubmission {
	logUnreadable := o.unreadableRowLogger(zerolog.ErrorLevel)
	decoded := make([]storedSubmission, 0, len(rows))
	for _, r := range rows {
		s := storedSubmission{key: r.Key}
		if e, err := medlarcellstore.DecodeEntry(r); err != nil {
			logUnreadable(r, err)
		} else {
			s.entry = &e
		}
		decoded = append(decoded, s)
	}
	return decoded
}

func (o *Owner) decodeProgress(rows []medlartable.Row) []storedProgress {
	logUnreadable := o.unreadableRowLogger(zerolog.ErrorLevel)
	decoded := make([]storedProgress, 0, len(rows))
	for _, r := range rows {
		s := storedProgress{key: medlarcellstore.ProgressKey(r.Key)}
		if p, err := medlarcellstore.DecodeProgress(r); err != nil {
			logUnreadable(r, err)
		} else {
			s.progress = &p
		}
		decoded = append(decoded, s)
	}
	return decoded
}

// mergeProgress returns the progress of each submission.
func (o *Owner) mergeProgress(progress []storedProgress) map[medlarsubmission.ID]medlarcell.Progress {
	logUnreadable := o.unreadableRowLogger(zerolog.ErrorLevel)
	states := make(map[medlarsubmission.ID]medlarcell.Progress, len(progress))
	for i := range progress {
		if progress[i].progress == nil {
			continue
		}
		// The rows of a submission come in the order of their keys, the first segment first.
		id := progress[i].key.Submission()
		merged := states[id]
		err := merged.Merge(*progress[i].progress)
		if states[id] = merged; err != nil {
			logUnreadable(medlartable.Row{Table: medlarcellstore.TableProgress, Key: string(progress[i].key)}, err)
		}
	}
	return states
}

// restoreSubmissions passes the stored submissions and their progress to the scheduler, and queues progress without a
// submission for removal.
func (o *Owner) restoreSubmissions(now time.Time, submissions []storedSubmission, progress []storedProgress) {
	states := o.mergeProgress(progress)
	var entries []*medlarcellstore.Entry
	cancelled := map[medlarsubmission.ID]bool{}
	for _, s := range submissions {
		switch {
		case s.entry == nil:
		case s.entry.Cancel:
			cancelled[s.entry.ID] = true
		default:
			entries = append(entries, s.entry)
		}
	}
	slices.SortStableFunc(entries, func(a, b *medlarcellstore.Entry) int {
		hasStarted := func(e *medlarcellstore.Entry) int {
			if p := states[e.ID]; p.HasStarted() {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(hasStarted(a), hasStarted(b)), cmp.Compare(a.Version, b.Version))
	})
	logUnreadable := o.unreadableRowLogger(zerolog.ErrorLevel)
	for _, e := range entries {
		o.known.set(e.ID, e.Version)
		if err := o.cell.Restore(now, o.toLocalClock(now, e.Submission), states[e.ID], cancelled[e.ID]); err != nil {
			logUnreadable(medlartable.Row{Table: medlarcellstore.TableProgress, Key: string(e.ID)}, err)
		}
	}
	for id := range cancelled {
		o.cell.Cancel(now, id)
	}
	o.eraser.findOrphanedProgress(submissions, progress)
}

// unreadableRowLogger returns a function that logs a row that can't be decoded or restored.
func (o *Owner) unreadableRowLogger(level zerolog.Level) func(r medlartable.Row, err error) {
	return func(r medlartable.Row, err error) {
		o.Log.WithLevel(level).Str("event", "row-refused").Str("table", r.Table).Str("id", r.Key).Err(err).
			Msg("row not decoded or not restored; skipping it")
	}
}

// decodeRows decodes rows. It skips those that can't be decoded and passes them to skipped.
func decodeRows[T any](rows []medlartable.Row, decode func(medlartable.Row) (T, error), skipped func(medlartable.Row, error)) []T {
	values := make([]T, 0, len(rows))
	for _, r := range rows {
		if v, err := decode(r); err != nil {
			skipped(r, err)
		} else {
			values = append(values, v)
		}
	}
	return values
}

// decodeEntries decodes the rows of accepted submissions and of cancellations.
func (o *Owner) decodeEntries(rows []medlartable.Row) (accepted []medlarcellstore.Entry, cancelled map[medlarsubmission.ID]bool) {
	cancelled = map[medlarsubmission.ID]bool{}
	present := slices.DeleteFunc(slices.Clone(rows), func(r medlartable.Row) bool { return r.Deleted })
	for _, e := range decodeRows(present, medlarcellstore.DecodeEntry, o.unreadableRowLogger(zerolog.ErrorLevel)) {
		if e.Cancel {
			cancelled[e.ID] = true
		} else {
			accepted = append(accepted, e)
		}
	}
	return accepted, cancelled
}

// decodeWorkers decodes registrations of workers. Other systems may write such rows too, so one that can't be decoded is
// only a warning.
func (o *Owner) decodeWorkers(rows []medlartable.Row) []medlarorder.Worker {
	decode := func(r medlartable.Row) (medlarorder.Worker, error) { return o.Registry.Decode(r.Key, r.Value) }
	return decodeRows(rows, decode, o.unreadableRowLogger(zerolog.WarnLevel))
}

// decodeRecordedWorkers decodes the list of workers that may run tasks. A worker whose row can't be decoded may run some too, so
// its id is kept.
func (o *Owner) decodeRecordedWorkers(rows []medlartable.Row) []medlarorder.Worker {
	workers := make([]medlarorder.Worker, 0, len(rows))
	logUnreadable := o.unreadableRowLogger(zerolog.ErrorLevel)
	for _, r := range rows {
		w, err := medlarcellstore.DecodeWorker(r)
		if err != nil {
			logUnreadable(r, err)
			w = medlarorder.Worker{ID: medlarwheel.WorkerID(r.Key)}
		}
		workers = append(workers, w)
	}
	return workers
}

// followSubmissions passes newly accepted submissions and cancellations to the scheduler.
func (o *Owner) followSubmissions(ctx context.Context) error {
	return o.follow(ctx, medlarcellstore.TableSubmissions, o.submissionsVersion, 0, o.readUnknownSubmissions, func(rows []medlartable.Row, whole bool) {
		entries, cancelled := o.decodeEntries(rows)
		if whole {
			slices.SortFunc(entries, func(a, b medlarcellstore.Entry) int { return cmp.Compare(a.Version, b.Version) })
		}
		o.postToControl(func(now time.Time) {
			for i := range entries {
				o.known.set(entries[i].ID, entries[i].Version)
				if o.graceVersion > 0 && entries[i].Version > o.graceVersion {
					o.cell.EndGrace()
				}
				o.cell.Accept(now, o.toLocalClock(now, entries[i].Submission))
			}
			for id := range cancelled {
				o.cell.Cancel(now, id)
			}
		})
	})
}

// findGraceVersion reads a version of the table once the previous owner may send no more orders.
func (o *Owner) findGraceVersion(ctx context.Context) error {
	if !medlarclock.Sleep(ctx, o.claimedAt.Add(o.grace).Sub(o.Clock.Now())) {
		return ctx.Err()
	}
	noRows := medlarcellstore.ProgressRange(o.config.Part, "")
	_, version, err := o.readAll(ctx, noRows)
	if err == nil {
		o.postToControl(func(time.Time) { o.graceVersion = version })
	}
	return err
}

// followWorkers passes changes of the list of workers to the scheduler.
func (o *Owner) followWorkers(ctx context.Context) error {
	readAll := func(ctx context.Context) ([]medlartable.Row, medlarwheel.RowVersion, error) {
		return o.readAll(ctx, o.Registry.Range)
	}
	return o.follow(ctx, o.Registry.Range.Table, o.workersVersion, o.config.WorkersPause, readAll, func(rows []medlartable.Row, whole bool) {
		if whole {
			workers := o.decodeWorkers(rows)
			o.postToControl(func(now time.Time) { o.cell.SetWorkers(now, workers) })
			return
		}
		changes := o.decodeWorkerChanges(rows)
		o.postToControl(func(now time.Time) {
			for _, c := range changes {
				if c.registered {
					o.cell.SetWorker(now, c.worker)
				} else {
					o.cell.Unregister(now, c.worker.ID)
				}
			}
		})
	})
}

// workerChange is a change of one registration.
type workerChange struct {
	worker     medlarorder.Worker
	registered bool
}

// decodeWorkerChanges decodes changed rows of the list of workers. A registration that has become unreadable counts as
// removed, as it does when the whole list is read.
func (o *Owner) decodeWorkerChanges(rows []medlartable.Row) []workerChange {
	logUnreadable := o.unreadableRowLogger(zerolog.WarnLevel)
	changes := make([]workerChange, 0, len(rows))
	for _, r := range rows {
		c := workerChange{worker: medlarorder.Worker{ID: medlarwheel.WorkerID(r.Key)}}
		if !r.Deleted {
			if worker, err := o.Registry.Decode(r.Key, r.Value); err != nil {
				logUnreadable(r, err)
			} else {
				c = workerChange{worker: worker, registered: true}
			}
		}
		changes = append(changes, c)
	}
	return changes
}

// follow follows the changes of a table from the version up to which it was read.
func (o *Owner) follow(ctx context.Context, table string, from medlarwheel.RowVersion, pause time.Duration, readAll readFunc, handle medlartable.Handler) error {
	f := medlartable.Follower{
		Store: o.Store, Table: table, StartVersion: from, BatchDelay: pause, RetryDelay: o.config.FollowRetry,
		ReadAll: func() ([]medlartable.Row, medlarwheel.RowVersion, error) { return readAll(ctx) },
		Wait:    func() time.Duration { return o.config.FollowWait },
		OnError: func(err error) {
			o.Log.Warn().Str("event", "table-follow-failed").Str("table", table).Err(err).
				Msg("changes of the table not read; retrying after a pause")
		},
	}
	return f.Run(ctx, func(rows []medlartable.Row, whole bool) {
		if len(rows) > 0 || whole {
			handle(rows, whole)
		}
	})
}

// readFunc reads all rows of a table, and returns the version from which their changes can be followed.
type readFunc func(ctx context.Context) ([]medlartable.Row, medlarwheel.RowVersion, error)
