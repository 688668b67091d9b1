package medlaradmission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"medlarwheel/internal/acceptance/medlarsubmission"
)

// The load of the tests: workers that do 400 cores of best-effort work, and submissions of very different sizes.
const (
	simRate      = 400.0
	simInstances = 8
	simTick      = 50 * time.Millisecond
	// simReportAge is how old the reports of the load are: the interval of the measurement and that of the requests.
	simReportAge = 500 * time.Millisecond
	simTasks     = 30
	simTaskCPU   = 1800
	simEstimate  = 1900 * time.Millisecond
	simTaskWork  = CoreSeconds(simTaskCPU / 1000.0 * 1.9)
	simMaxWork   = simTaskWork * simTasks
	simMeanWork  = simTaskWork * (simTasks + 1) / 2
	// simMaxWait is short against the times that the tests play.
	simMaxWait = 7 * time.Second
)

func simConfig() Config {
	c := DefaultConfig()
	c.BestEffort.MaxWait = simMaxWait
	return c
}

func bestEffort(id, tasks int, route string) *medlarsubmission.Submission {
	return &medlarsubmission.Submission{
		ID: medlarsubmission.ID(fmt.Sprintf("%016x", id)), Route: route, Policy: medlarsubmission.Policy{Priority: 2, Stretch: 2, Allowance: time.Second},
		Steps: []medlarsubmission.Step{{
			Count: tasks, Size: medlarsubmission.Size{MilliCPU: simTaskCPU}, Estimate: simEstimate, BestEffort: true,
		}},
	}
}

// doorSim plays instances that decide on submissions by reports of a backlog that is done at a constant rate.
type doorSim struct {
	rng     *rand.Rand
	config  Config
	now     time.Time
	backlog map[string]CoreSeconds
	// reports holds the load at each of the last ticks.
	reports []Load
	pending [simInstances]Pending
	next    int
	highest CoreSeconds
	done    CoreSeconds
	// offered and accepted count submissions by route and size class.
	offered, accepted map[string]float64
}

func newDoorSim(seed uint64) *doorSim {
	return &doorSim{
		rng: rand.New(rand.NewPCG(seed, 7)), config: simConfig(), now: now, backlog: map[string]CoreSeconds{},
		offered: map[string]float64{}, accepted: map[string]float64{},
	}
}

func (sim *doorSim) total() CoreSeconds {
	total := CoreSeconds(0)
	for _, work := range sim.backlog {
		total += work
	}
	return total
}

// tick plays one tick with arrivals of the given work a second by route.
func (sim *doorSim) tick(workPerSecond map[string]float64) {
	sim.now = sim.now.Add(simTick)
	budget := CoreSeconds(simRate * simTick.Seconds())
	if total := sim.total(); total > 0 {
		done := min(budget, total)
		sim.done += done
		for route, work := range sim.backlog {
			sim.backlog[route] = work - done*work/total
		}
	}
	load := Load{At: sim.now, BestEffort: BestEffortLoad{DrainRate: simRate, MeanWork: simMeanWork, Instances: simInstances}}
	for _, route := range []string{"a", "b"} {
		load.BestEffort.Backlog = append(load.BestEffort.Backlog, RouteBacklog{Route: route, Priority: 2, Work: sim.backlog[route]})
	}
	sim.reports = append(sim.reports, load)
	for _, route := range []string{"a", "b"} {
		mean := workPerSecond[route] / float64(simMeanWork) * simTick.Seconds()
		for n := 0; sim.rng.Float64() < mean/float64(n+1); n++ {
			sim.offer(1+sim.rng.IntN(simTasks), route)
		}
	}
	sim.highest = max(sim.highest, sim.total())
}

// offer hands a submission to one of the instances.
func (sim *doorSim) offer(tasks int, route string) {
	sim.next++
	s := bestEffort(sim.next, tasks, route)
	i := sim.rng.IntN(simInstances)
	report := sim.reports[max(0, len(sim.reports)-1-int(simReportAge/simTick))]
	load := sim.pending[i].Apply(&sim.config.BestEffort, report)
	class := fmt.Sprintf("%s-%d", route, (tasks-1)*3/simTasks)
	sim.offered[class]++
	if sim.config.Admit(sim.now, s, load).Accept {
		sim.pending[i].Add(sim.now, &sim.config.BestEffort, s, load)
		sim.backlog[route] += bestEffortWork(s, 0)
		sim.accepted[class]++
	}
}

func (sim *doorSim) play(d time.Duration, workPerSecond map[string]float64) {
	sim.offered, sim.accepted = map[string]float64{}, map[string]float64{}
	for range d / simTick {
		sim.tick(workPerSecond)
	}
}

// share returns the share of the offered submissions of a route and size class, 0 to 2, that were accepted.
func (sim *doorSim) share(route string, size int) float64 {
	class := fmt.Sprintf("%s-%d", route, size)
	return sim.accepted[class] / sim.offered[class]
}

// TestBurstLeavesOnlyWorkThatCanBeDone guards against accepted work that cannot be done in time, because instances accept each up to
// the limit by reports of different age.
func TestBurstLeavesOnlyWorkThatCanBeDone(t *testing.T) {
	limit := CoreSeconds(simRate * simMaxWait.Seconds())
	for _, factor := range []float64{1.5, 2.6, 5, 20} {
		for seed := uint64(1); seed <= 20; seed++ {
			sim := newDoorSim(seed)
			sim.play(24*time.Second, map[string]float64{"a": factor * simRate})
			// Each instance may accept two submissions beyond the limit.
			if most := limit + 2*simInstances*simMaxWork; sim.highest > most {
				t.Errorf("%v times the rate, seed %d: backlog of %.0f core-seconds, want at most %.0f", factor, seed, sim.highest, most)
			}
			if sim.total() < limit/4 {
				t.Errorf("%v times the rate, seed %d: backlog of %.0f core-seconds in a burst, want over %.0f", factor, seed, sim.total(), limit/4)
			}
		}
	}
}

// TestDoorStaysOpenWhileWorkCanBeDone guards against refusals while there is room.
func TestDoorStaysOpenWhileWorkCanBeDone(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newDoorSim(seed)
		sim.play(60*time.Second, map[string]float64{"a": 0.8 * simRate})
		offered, accepted := 0.0, 0.0
		for size := range 3 {
			class := fmt.Sprintf("a-%d", size)
			offered, accepted = offered+sim.offered[class], accepted+sim.accepted[class]
		}
		if accepted < 0.99*offered {
			t.Errorf("seed %d: %.0f of %.0f submissions accepted at 0.8 of the rate, want 0.99", seed, accepted, offered)
		}
	}
}

// TestSmallWorkPassesAndLargeIsNotStarved guards against a door that is closed for small work because of a burst of large work, and
// against one that lets only small work pass.
func TestSmallWorkPassesAndLargeIsNotStarved(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newDoorSim(seed)
		sim.play(60*time.Second, map[string]float64{"a": 2.6 * simRate})
		small, large := sim.share("a", 0), sim.share("a", 2)
		if small < 1.3*large {
			t.Errorf("seed %d: %.2f of the small and %.2f of the large submissions accepted, want clearly more of the small ones", seed, small, large)
		}
		if large < 0.1 {
			t.Errorf("seed %d: %.2f of the large submissions accepted, want at least a tenth", seed, large)
		}
	}
}

// TestBurstOfOneRouteLeavesOthersOpen guards against a route whose burst closes the door for the others.
func TestBurstOfOneRouteLeavesOthersOpen(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newDoorSim(seed)
		sim.play(60*time.Second, map[string]float64{"a": 3 * simRate, "b": 0.2 * simRate})
		for size := range 3 {
			if share := sim.share("b", size); share < 0.9 {
				t.Errorf("seed %d: %.2f of the submissions of size class %d of the small route accepted, want 0.9", seed, share, size)
			}
		}
	}
}

// TestDoorReopensSmoothly guards against a door that opens for all at once and closes again, so that the workers idle in between, and
// against one that stays closed after a burst.
func TestDoorReopensSmoothly(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		sim := newDoorSim(seed)
		sim.play(20*time.Second, map[string]float64{"a": 3 * simRate})
		lowest, highest := sim.total(), sim.total()
		for range 30 * time.Second / simTick {
			sim.tick(map[string]float64{"a": 2 * simRate})
			lowest, highest = min(lowest, sim.total()), max(highest, sim.total())
		}
		if highest-lowest > 0.5*highest {
			t.Errorf("seed %d: the backlog swings between %.0f and %.0f core-seconds at a constant load", seed, lowest, highest)
		}
		sim.play(15*time.Second, nil)
		if sim.total() > 0 {
			t.Errorf("seed %d: %.0f core-seconds left 15 s after the load, want none", seed, sim.total())
		}
		sim.play(2*time.Second, map[string]float64{"a": simRate})
		if share := sim.share("a", 1); share < 1 {
			t.Errorf("seed %d: %.2f of the submissions accepted after the burst, want all", seed, share)
		}
	}
}

// TestBacklogOfLessUrgentWorkIsNoReasonToRefuse guards against urgent best-effort work that is refused for work that comes after it.
func TestBacklogOfLessUrgentWorkIsNoReasonToRefuse(t *testing.T) {
	c := DefaultConfig()
	load := Load{At: now, BestEffort: BestEffortLoad{
		DrainRate: simRate, MeanWork: simMeanWork, Instances: 1, Backlog: []RouteBacklog{{Route: "a", Priority: 2, Work: 100 * simRate}},
	}}
	urgent := bestEffort(1, 4, "b")
	urgent.Policy.Priority = 0
	if d := c.Admit(now, urgent, load); !d.Accept {
		t.Errorf("urgent best-effort work: got %+v, want acceptance", d)
	}
	served := bestEffort(2, 4, "b")
	served.Steps[0].BestEffort = false
	if d := c.Admit(now, served, load); !d.Accept {
		t.Errorf("work that is not best-effort: got %+v, want acceptance", d)
	}
	large := bestEffort(3, 4, "a")
	d := c.Admit(now, large, load)
	if d.Accept || d.RetryAfter < c.MinRetryAfter || d.RetryAfter > c.BestEffort.MaxRetryAfter || d.Cause != CauseBacklog {
		t.Errorf("best-effort work behind 100 s of backlog: got %+v, want a refusal with a retry delay within the bounds", d)
	}
}

// TestRepeatedRequestGetsTheSameDecision guards against submissions that are accepted by sending them often, and against refusals that
// depend on the instance.
func TestRepeatedRequestGetsTheSameDecision(t *testing.T) {
	c := DefaultConfig()
	limit, middle := CoreSeconds(simRate*c.BestEffort.MaxWait.Seconds()), CoreSeconds(1+c.BestEffort.OpenShare)/2
	load := Load{At: now, BestEffort: BestEffortLoad{
		DrainRate: simRate, MeanWork: simMeanWork, Instances: 1, Backlog: []RouteBacklog{{Route: "a", Priority: 2, Work: limit * middle}},
	}}
	accepted := 0
	for id := range 400 {
		first := c.Admit(now, bestEffort(id, 15, "a"), load)
		if again := c.Admit(now.Add(time.Second), bestEffort(id, 15, "a"), load); again.Accept != first.Accept {
			t.Errorf("submission %d: first %+v, then %+v", id, first, again)
		}
		if first.Accept {
			accepted++
		}
	}
	if accepted < 120 || accepted > 280 {
		t.Errorf("%d of 400 accepted between the open share and the limit, want about 200", accepted)
	}
}

// TestBacklogIsBoundedWithoutOwner guards against a door that is wide open while no owner reports the load.
func TestBacklogIsBoundedWithoutOwner(t *testing.T) {
	c := simConfig()
	report := Load{At: now, BestEffort: BestEffortLoad{DrainRate: simRate, MeanWork: simMeanWork, Instances: simInstances}}
	limit := CoreSeconds(simRate * c.BestEffort.MaxWait.Seconds())
	var pending [simInstances]Pending
	total := CoreSeconds(0)
	for n := range 4000 {
		at, i := now.Add(time.Duration(n)*2*time.Millisecond), n%simInstances
		s, load := bestEffort(n, 1+n*7%simTasks, "a"), pending[i].Apply(&c.BestEffort, report)
		if c.Admit(at, s, load).Accept {
			pending[i].Add(at, &c.BestEffort, s, load)
			total += bestEffortWork(s, 0)
		}
	}
	if most := limit + 2*simInstances*simMaxWork; total > most || total < limit/2 {
		t.Errorf("%.0f core-seconds accepted in 8 s without a report, want %.0f to %.0f", total, limit/2, most)
	}
	if d := c.Admit(now.Add(time.Minute), bestEffort(1, 30, "a"), report); !d.Accept {
		t.Errorf("report of a minute ago: got %+v, want acceptance", d)
	}
}
