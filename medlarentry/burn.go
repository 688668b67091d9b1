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

// burnRate holds the counts of this instance and the snapshots of all.
type burnRate struct {
	recorder *medlarburnrate.Recorder

	mu        sync.Mutex
	sequence  uint64
	snapshots *medlarburnrate.SnapshotSet
}

func newBurnRate() *burnRate {
	return &burnRate{
		recorder:  medlarburnrate.NewRecorder(medlarburnrate.DefaultConfig()),
		snapshots: medlarburnrate.NewSnapshotSet(medlarburnrate.DefaultMaxSnapshots),
	}
}

// recordBurnRate counts the end of a request for the burn report.
func (d *Daemon) recordBurnRate(c *call, a *callResult, took time.Duration) {
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
		d.burnRate.recorder.Record(d.clock.Now(), pair, result)
	}
}

// burnRateSnapshot returns a snapshot of the counts of this instance.
func (d *Daemon) burnRateSnapshot() medlarburnrate.Snapshot {
	d.burnRate.mu.Lock()
	d.burnRate.sequence++
	source := medlarburnrate.Source{Instance: d.settings.Instance, Incarnation: d.incarnation, Sequence: d.burnRate.sequence}
	d.burnRate.mu.Unlock()
	return d.burnRate.recorder.Snapshot(d.clock.Now(), source)
}

// reportBurnRate asks every instance for its counts and answers with the report over all. Instances that can't be reached
// are in the report with their last known counts.
func (d *Daemon) reportBurnRate(ctx *fasthttp.RequestCtx, _ string) {
	d.addBurnRateSnapshot(d.burnRateSnapshot())
	var group errgroup.Group
	for instance, address := range d.snapshot.Load().addresses {
		if instance == d.settings.Instance {
			continue
		}
		group.Go(func() error {
			d.fetchBurnRate(d.baseCtx, address)
			return nil
		})
	}
	_ = group.Wait()
	objectives := make(medlarburnrate.Objectives)
	for _, t := range d.snapshot.Load().config.Templates() {
		if t.Objective != nil {
			objectives[t.Name] = *t.Objective
		}
	}
	d.burnRate.mu.Lock()
	snapshots := d.burnRate.snapshots.Snapshots()
	d.burnRate.mu.Unlock()
	writeJSON(ctx, medlarburnrate.NewReport(d.clock.Now(), snapshots, objectives))
}

func (d *Daemon) fetchBurnRate(ctx context.Context, address string) {
	counters, ok := fetchJSON(ctx, d, address, "burn", medlarburnrate.DecodeSnapshot,
		func(ctx context.Context, peer peerpb.Peer) ([]byte, error) {
			response, err := peer.FetchBurn(ctx, &peerpb.FetchBurnRequest{})
			return response.GetCounters(), err
		})
	if ok {
		d.addBurnRateSnapshot(counters)
	}
}

func (d *Daemon) addBurnRateSnapshot(counters medlarburnrate.Snapshot) {
	d.burnRate.mu.Lock()
	defer d.burnRate.mu.Unlock()
	if err := d.burnRate.snapshots.Add(d.clock.Now(), counters); err != nil {
		d.log.Error().Str("event", "burn-refused").Str("peer", string(counters.Instance)).AnErr("error", err).Send()
	}
}

// burnRateRoute is the route of the report.
func burnRateRoute() operatorRoute {
	return operatorRoute{fasthttp.MethodGet, medlaroperator.PathBurnRate, (*Daemon).reportBurnRate}
}
