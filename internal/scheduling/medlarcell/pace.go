package medlarcell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"medlarwheel"
	"medlarwheel/internal/execution/medlarorder"
)

// The paces answer a load at which best-effort work fills most workers while the load of the serving tasks beside it rises:
// the work was placed beside them when they had headroom.

// pacedRun is a best-effort run whose pace is being chosen.
type pacedRun struct {
	run *run
	// rises holds by how much the run raises the utilisation of each serving run at full pace.
	rises []float64
}

// interferenceAt returns by how much the run raises the utilisation of a serving run at a pace.
func (p *pacedRun) interferenceAt(pace, serving int) float64 {
	return p.rises[serving] * float64(pace) / fullPace
}

// protectedRun is a serving run beside best-effort runs.
type protectedRun struct {
	// headroom is how far its utilisation without interference lies below that of its tail target, and harm is what is
	// lost while it exceeds the target, in cores of best-effort work.
	headroom, harm float64
	// interference is that of all best-effort runs at the paces chosen so far.
	interference float64
}

// setPaces slows best-effort runs where the serving runs beside them lose more than the slowed work is worth. Short peaks
// of a single serving run are over before a new pace has an effect, so that the paces depend on the load that the tasks of
// a step share, and on how often peaks come.
func (c *Cell) setPaces(now time.Time, w *worker, bestEffort []*run) {
	if c.mustHalt(now, w) {
		for _, b := range bestEffort {
			c.setPace(now, b, 0)
		}
		return
	}
	paced, protected := c.pacedAndProtected(now, w, bestEffort)
	slices.SortStableFunc(paced, func(a, b pacedRun) int { return cmp.Compare(b.intensity(), a.intensity()) })
	for i := range paced {
		c.setPace(now, paced[i].run, c.choosePace(&paced[i], protected))
	}
}

// mustHalt reports whether a serving run has exceeded its target for so long that all best-effort work beside it is halted,
// whatever the model says.
func (c *Cell) mustHalt(now time.Time, w *worker) bool {
	for _, r := range w.runs {
		if !r.overTargetSince.IsZero() && now.Sub(r.overTargetSince) >= c.config.Interference.HaltAfter {
			return true
		}
	}
	return false
}

// pacedAndProtected returns the best-effort runs on a worker and the serving runs beside them, with the interference at the highest
// paces.
func (c *Cell) pacedAndProtected(now time.Time, w *worker, bestEffort []*run) ([]pacedRun, []protectedRun) {
	var protected []protectedRun
	paced := make([]pacedRun, len(bestEffort))
	for i, b := range bestEffort {
		paced[i].run = b
	}
	config := &c.config.Interference
	for _, r := range w.runs {
		if !r.isServing() || !r.hasLoad {
			continue
		}
		p := protectedRun{headroom: c.limit(r) - config.PaceMargin - r.step.load.At(&config.LoadTrend, now), harm: c.harmOf(r)}
		for i, b := range bestEffort {
			rise := c.riseOf(b, r)
			paced[i].rises = append(paced[i].rises, rise)
			p.interference += paced[i].interferenceAt(b.maxPace(), len(protected))
		}
		protected = append(protected, p)
	}
	return paced, protected
}

// harmOf returns what is lost while a serving run exceeds its target, in cores of best-effort work.
func (c *Cell) harmOf(r *run) float64 {
	return c.config.Interference.HarmFactor * float64(r.step.spec.Size.MilliCPU) / milli
}

// intensity returns the interference of the run for each core that it asks for.
func (p *pacedRun) intensity() float64 {
	sum := 0.0
	for _, rise := range p.rises {
		sum += rise
	}
	return sum / float64(max(1, p.run.step.spec.Size.MilliCPU))
}

// paceStep is the difference between two paces that are considered, in percent.
const paceStep = 20

// choosePace returns the pace of a run at which its work is worth most against the harm to the serving runs, given the
// paces of the others, and updates their interference.
func (c *Cell) choosePace(p *pacedRun, protected []protectedRun) int {
	cores := float64(p.run.step.spec.Size.MilliCPU) / milli
	best, bestGain, maxPace := 0, math.Inf(-1), p.run.maxPace()
	for pace := maxPace; ; pace = max(0, pace-paceStep) {
		gain := cores * float64(pace) / fullPace
		for i := range protected {
			r := &protected[i]
			if r.headroom > 0 {
				// A run without headroom exceeds its target with or without best-effort work.
				gain -= r.harm * c.loadDeviations.Exceeding(r.headroom-r.interference+p.interferenceAt(maxPace-pace, i))
			}
		}
		if gain > bestGain {
			best, bestGain = pace, gain
		}
		if pace == 0 {
			break
		}
	}
	for i := range protected {
		protected[i].interference -= p.interferenceAt(maxPace-best, i)
	}
	return best
}

// setPace orders a new pace for a run, in percent. It lowers the pace at once and raises it after RaiseInterval. If the pace of
// the run is not known, the order is repeated after RaiseInterval.
func (c *Cell) setPace(now time.Time, r *run, percent int) {
	if r.phase != runConfirmed || percent == r.pace && !r.paceUncertain {
		return
	}
	if percent >= r.pace && now.Sub(r.pacedAt) < c.config.Interference.RaiseInterval {
		return
	}
	r.updateRunTime(now)
	r.pace, r.pacedAt = percent, now
	r.worker.shareHistory.changePace(now, r)
	if !r.pacePending {
		r.pacePending = true
		c.order(now, pendingOrder{kind: orderPace, run: r})
	}
}

// HandlePaceResponse handles the response to a pace order. One without a response may still be carried out, after later ones, so
// that the worker's token is raised before the next.
func (c *Cell) HandlePaceResponse(now time.Time, id medlarwheel.WorkerID, p medlarorder.Pace, response medlarorder.Response, err error) {
	defer c.orderAnswered(now, id, orderPace, orderOverhead, err)
	w := c.workers[id]
	if w == nil {
		return
	}
	r := w.findRun(p.Task, p.Run)
	switch {
	case r == nil:
	case err != nil:
		if !medlarwheel.HasNoEffect(err) && p.Fence == w.fence {
			w.fence++
		}
		r.paceUncertain = true
	case response.Verdict == medlarorder.VerdictFenced:
		c.handleFenced(now, w, p.Fence)
		r.paceUncertain = true
	case response.Verdict != medlarorder.VerdictAccepted:
		r.paceUncertain = true
	case p.Percent == r.pace:
		r.paceUncertain = false
	}
}
