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

// burnRate holds the error budget counters of this instance and the latest snapshots of all instances.
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

// recordBurnRate counts a finished request in the burn rate of its template and client account.
func (d *Daemon) recordBurnRate(c *call, result *callResult, took time.Duration) {
	outcome, reason := medlarwheel.OutcomeDone, medlarwheel.Reason("")
	if result.refusal != nil {
		outcome, reason = result.refusal.Outcome, result.refusal.Reason
	}
	// Without an objective, every complete response counts as good.
	objective := medlarwheel.Objective{Latency: math.MaxInt64}
	if c.template.Objective != nil {
		objective = *c.template.Objective
	}
	if class, ok := medlarburnrate.Classify(outcome, reason, took, objective); ok {
		series := medlarburnrate.SeriesKey{Template: c.template.Name, Account: c.account}
		d.burnRate.recorder.Record(d.clock.Now(), series, class)
	}
}

// burnRateSnapshot returns a snapshot of the counters of this instance.
func (d *Daemon) burnRateSnapshot() medlarburnrate.Snapshot {
	d.burnRate.mu.Lock()
	d.burnRate.sequence++
	source := medlarburnrate.Source{Instance: d.settings.Instance, Incarnation: d.incarnation, Sequence: d.burnRate.sequence}
	d.burnRate.mu.Unlock()
	return d.burnRate.recorder.Snapshot(d.clock.Now(), source)
}

// reportBurnRate fetches the counters of every instance and responds with the report over all of them. Instances that
// can't be reached are included with their last known counters.
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
	snapshot, ok := fetchJSON(ctx, d, address, "burn", medlarburnrate.DecodeSnapshot,
		func(ctx context.Context, peer peerpb.Peer) ([]byte, error) {
			response, err := peer.FetchBurn(ctx, &peerpb.FetchBurnRequest{})
			return response.GetCounters(), err
		})
	if ok {
		d.addBurnRateSnapshot(snapshot)
	}
}

func (d *Daemon) addBurnRateSnapshot(snapshot medlarburnrate.Snapshot) {
	d.burnRate.mu.Lock()
	defer d.burnRate.mu.Unlock()
	if err := d.burnRate.snapshots.Add(d.clock.Now(), snapshot); err != nil {
		d.log.Error().Str("event", "burn-refused").Str("peer", string(snapshot.Instance)).AnErr("error", err).
			Msg("burn rate snapshot rejected; the report keeps the previous snapshot of this peer, if there is one")
	}
}

// burnRateRoute returns the operator route of the burn rate report.
func burnRateRoute() operatorRoute {
	return operatorRoute{fasthttp.MethodGet, medlaroperator.PathBurnRate, (*Daemon).reportBurnRate}
}
