package medlarentry

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarwheel"
	"medlarwheel/medlarburnrate"
	"medlarwheel/medlaroperator"
	"medlarwheel/medlarpeer/peerpb"
)

// burn holds the counts of this instance and the snapshots of all.
type burn struct {
	recorder *medlarburnrate.Recorder

	mu         sync.Mutex
	sequence   uint64
	collection *medlarburnrate.SnapshotSet
}

func newBurn() *burn {
	return &burn{
		recorder:   medlarburnrate.NewRecorder(medlarburnrate.DefaultConfig()),
		collection: medlarburnrate.NewSnapshotSet(medlarburnrate.DefaultMaxSnapshots),
	}
}

// recordBurn counts the end of a request for the burn report.
func (d *Daemon) recordBurn(c *call, a *answer, took time.Duration) {
	outcome, reason := medlarwheel.OutcomeDone, medlarwheel.Reason("")
	if a.refusal != nil {
		outcome, reason = a.refusal.Outcome, a.refusal.Reason
	}
	// Without an objective every complete response counts as good.
	objective := medlarwheel.Objective{Latency: math.MaxInt64}
	if c.template.Objective != nil {
		objective = *c.template.Objective
	}
	if result, ok := medlarburnrate.Classify(outcome, reason, took, objective); ok {
		pair := medlarburnrate.SeriesKey{Template: c.template.Name, Account: c.account}
		d.burn.recorder.Record(d.clock.Now(), pair, result)
	}
}

// burnCounters returns a snapshot of the counts of this instance.
func (d *Daemon) burnCounters() medlarburnrate.Snapshot {
	d.burn.mu.Lock()
	d.burn.sequence++
	source := medlarburnrate.Source{Instance: d.settings.Instance, Incarnation: d.incarnation, Sequence: d.burn.sequence}
	d.burn.mu.Unlock()
	return d.burn.recorder.Snapshot(d.clock.Now(), source)
}

// reportBurn asks every instance for its counts and answers with the report over all. Instances that can't be reached
// are in the report with their last known counts.
func (d *Daemon) reportBurn(ctx *fasthttp.RequestCtx, _ string) {
	d.addBurn(d.burnCounters())
	var group errgroup.Group
	for instance, address := range d.snapshot.Load().addresses {
		if instance == d.settings.Instance {
			continue
		}
		group.Go(func() error {
			d.fetchBurn(d.base, address)
			return nil
		})
	}
	_ = group.Wait()
	objectives := make(medlarburnrate.Objectives)
	for _, t := range d.snapshot.Load().book.Templates() {
		if t.Objective != nil {
			objectives[t.Name] = *t.Objective
		}
	}
	d.burn.mu.Lock()
	snapshots := d.burn.collection.Snapshots()
	d.burn.mu.Unlock()
	writeJSON(ctx, medlarburnrate.NewReport(d.clock.Now(), snapshots, objectives))
}

func (d *Daemon) fetchBurn(ctx context.Context, address string) {
	counters, ok := fetch(ctx, d, address, "burn", medlarburnrate.DecodeSnapshot,
		func(ctx context.Context, peer peerpb.Peer) ([]byte, error) {
			response, err := peer.FetchBurn(ctx, &peerpb.FetchBurnRequest{})
			return response.GetCounters(), err
		})
	if ok {
		d.addBurn(counters)
	}
}

func (d *Daemon) addBurn(counters medlarburnrate.Snapshot) {
	d.burn.mu.Lock()
	defer d.burn.mu.Unlock()
	if err := d.burn.collection.Add(d.clock.Now(), counters); err != nil {
		d.log.Error().Str("event", "burn-refused").Str("peer", string(counters.Instance)).AnErr("error", err).Send()
	}
}

// burnRoute is the route of the report.
func burnRoute() route {
	return route{fasthttp.MethodGet, medlaroperator.PathBurnRate, (*Daemon).reportBurn}
}
