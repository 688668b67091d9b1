package medlarcell

import (
	"maps"
	"slices"
	"strings"
	"time"

	"medlarwheel/internal/execution/medlarorder"
	"medlarwheel/internal/scheduling/medlarrank"
)

// Place starts waiting tasks on workers with room, in the order of the queue. Steps that have found no room are tried again
// only on workers that have changed since, so that a pass costs what the events before it have made possible.
func (c *Cell) Place(now time.Time) {
	if len(c.queue)+len(c.fresh) == 0 || now.After(c.authority) {
		c.misses.forget()
		return
	}
	c.order(now)
	c.updatePrices(now)
	c.misses.begin(now)
	var usable []*worker
	failed := 0
	for _, s := range c.queue {
		if failed >= maxMisses {
			break
		}
		isKnown := s.miss.covers(s, c.misses.sweep)
		if isKnown && s.miss.seen == len(c.misses.changes) || s.isIdle() || !c.isOpen(now, s) {
			continue
		}
		workers := usable
		if isKnown && !s.spec.Gang {
			workers = c.since(now, s.miss.seen)
		} else if usable == nil {
			usable = c.usable(now)
			workers = usable
		}
		if s.spec.Gang {
			c.placeGang(now, s, workers)
		} else {
			c.placeStep(now, s, workers)
		}
		if len(s.ready) > 0 {
			failed++
			c.misses.record(s)
		}
	}
}

// maxMisses bounds the steps without room that one pass looks at.
const maxMisses = 60

func (c *Cell) isOpen(now time.Time, s *step) bool {
	if s.occurrence.job.inherited && !c.settled {
		return false
	}
	return s.isOpen(now)
}

// isIdle reports whether no task of the step waits for a worker.
func (s *step) isIdle() bool { return len(s.ready) == 0 || s.occurrence.job.state.IsFinal() }

// compact drops steps without waiting tasks from the queue.
func (c *Cell) compact() {
	if c.hasIdle {
		c.queue, c.hasIdle = dropIdle(c.queue), false
	}
}

func dropIdle(steps []*step) []*step {
	return slices.DeleteFunc(steps, func(s *step) bool {
		if !s.isIdle() {
			return false
		}
		s.queued = false
		return true
	})
}

// usable returns the workers that may get new tasks, by id, so that equal inputs lead to equal placements.
func (c *Cell) usable(now time.Time) []*worker {
	if c.sorted == nil {
		c.sorted = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int {
			return strings.Compare(string(a.info.ID), string(b.info.ID))
		})
	}
	c.usableNow = c.usableNow[:0]
	for _, w := range c.sorted {
		if w.isUsable(now, &c.config) {
			c.usableNow = append(c.usableNow, w)
		}
	}
	return c.usableNow
}

// placeGang starts all tasks of a step or none.
func (c *Cell) placeGang(now time.Time, s *step, usable []*worker) {
	if len(s.ready) < len(s.tasks) {
		return
	}
	var chosen []*run
	number := c.firstRun
	for i := range s.tasks {
		number = max(number, s.tasks[i].lastRun+1)
	}
	for i := range s.tasks {
		w := c.choose(s, &s.tasks[i], usable)
		if w == nil {
			break
		}
		r := &run{step: s, index: i, number: number, worker: w, sentAt: now, pace: fullPace}
		w.add(r)
		chosen = append(chosen, r)
	}
	for _, r := range chosen {
		r.worker.remove(r)
	}
	if len(chosen) < len(s.tasks) {
		return
	}
	checkpoint := s.tasks[0].checkpoint
	for _, r := range chosen {
		s.tasks[r.index].checkpoint = checkpoint
		c.start(now, r.worker, s, r.index, number)
	}
}

// start sends a task to a worker. Number zero means the next run number of the task.
func (c *Cell) start(now time.Time, w *worker, s *step, index int, number medlarorder.RunNumber) {
	t := &s.tasks[index]
	if number == 0 {
		number = max(c.firstRun, t.lastRun+1)
	}
	t.lastRun = number
	r := &run{step: s, index: index, number: number, worker: w, sentAt: now, pace: fullPace, usage: -1}
	c.begin(r)
	order := medlarorder.Start{
		Task: s.name(index), Run: number, Spec: s.occurrence.job.submission.Spec, Fence: w.fence,
		LeaseEnd: c.leaseOf(now, w), Checkpoint: t.checkpoint,
	}
	w.granted(order.LeaseEnd, &c.config)
	c.asked(now, w)
	c.commands = append(c.commands, Command{Kind: CommandStart, Worker: w.info.ID, Address: w.info.Address, Start: order})
}

// fits reports whether the worker may and can run the task.
func (c *Cell) fits(s *step, t *task, w *worker) bool {
	spec := s.spec
	if w.info.Service != s.occurrence.job.submission.Service || spec.Requires != "" && !w.info.HasLabel(spec.Requires) {
		return false
	}
	if spec.MaxPerWorker > 0 && s.perWorker[w] >= spec.MaxPerWorker {
		return false
	}
	for _, r := range t.runs {
		if r.worker == w {
			return false
		}
	}
	need := spec.Size
	if spec.Fills {
		need.MilliCPU = 0
		if w.filling+spec.Size.MilliCPU > c.leftover(w) {
			return false
		}
	}
	return need.Fits(w.free())
}

// leftover estimates the processors that the tasks on a worker which don't fill leave unused.
func (c *Cell) leftover(w *worker) int64 {
	serving := float64(w.serving) * c.config.ServingLoad
	return w.info.Capacity.MilliCPU - (w.committed.MilliCPU - w.serving) - int64(serving)
}

// Weights of the parts of a score. The parts are shares of a worker's capacity, from 0 to 1.
const (
	remotePenalty       = 2.0
	avoidPenalty        = 4.0
	slownessPenalty     = 3.0
	servingPenalty      = 0.5
	harmPenalty         = 2.0
	sameImageBonus      = 1.0
	sameSubmissionBonus = 1.0
	emptyPenalty        = 0.2
	// priceWeight weighs the cost of a placement to filling work of other images against the room that is left.
	priceWeight = 0.3
)

// score rates a worker that fits. Higher is better.
func (c *Cell) score(s *step, t *task, w *worker) float64 {
	capacity := float64(max(1, w.info.Capacity.MilliCPU))
	score := 0.0
	switch {
	case s.spec.Fills:
		score = float64(c.leftover(w)-w.filling)/capacity - priceWeight*c.othersPrice(s, w)
	case s.spec.LongRunning:
		// Serving tasks stay with others of their image: filling work is then beside one image, and is placed where that
		// one bears it. Beside several images, it would have to suit them all.
		// Tasks of one submission also have their peaks at the same time.
		same := float64(w.servingBy[s.spec.Image])
		score = sameSubmissionBonus * float64(w.servingOf(s.occurrence.job)) / capacity
		score += (sameImageBonus*same-(float64(w.serving)-same))/capacity - float64(w.filling)/capacity -
			emptyPenalty*float64(w.free().MilliCPU)/capacity
	default:
		score = float64(w.free().MilliCPU)/capacity - servingPenalty*float64(w.filling)/capacity
	}
	if s.spec.Rack != "" && s.spec.Rack != w.info.Rack {
		score -= remotePenalty
	}
	if t.avoid == w.info.ID {
		score -= avoidPenalty
	}
	score -= float64(len(w.failedJobs)) + slownessPenalty*max(0, 1-w.rate)
	return score
}

// rankInterval is how often the ranks of waiting steps are computed anew. They change with the slack, over seconds.
const rankInterval = 100 * time.Millisecond

// order brings the queue into the order of ranks. New steps are merged into it; the others keep their ranks for a while.
func (c *Cell) order(now time.Time) {
	c.compact()
	c.fresh = dropIdle(c.fresh)
	for _, s := range c.fresh {
		s.rank = c.rankOf(now, s)
	}
	if now.Sub(c.rankedAt) >= rankInterval {
		c.rankedAt = now
		for _, s := range c.queue {
			s.rank = c.rankOf(now, s)
		}
		c.queue = append(c.queue, c.fresh...)
		slices.SortStableFunc(c.queue, compareSteps)
	} else if len(c.fresh) > 0 {
		slices.SortStableFunc(c.fresh, compareSteps)
		c.queue = merge(c.queue, c.fresh)
	}
	c.fresh = c.fresh[:0]
}

func compareSteps(a, b *step) int {
	if d := a.rank.Compare(b.rank); d != 0 {
		return d
	}
	return a.occurrence.job.due.Compare(b.occurrence.job.due)
}

// merge merges two ordered lists.
func merge(a, b []*step) []*step {
	merged := make([]*step, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compareSteps(b[0], a[0]) < 0 {
			merged, b = append(merged, b[0]), b[1:]
		} else {
			merged, a = append(merged, a[0]), a[1:]
		}
	}
	return append(append(merged, a...), b...)
}

func (c *Cell) rankOf(now time.Time, s *step) medlarrank.Rank {
	j := s.occurrence.job
	if s.spec.LongRunning {
		return medlarrank.Rank{Priority: j.submission.Terms.Priority, Score: lastingScore}
	}
	return medlarrank.Of(now, c.config.Rank, j.submission.Terms.Priority, medlarrank.Work{
		SoftDeadline: j.due, HardDeadline: j.useless, CriticalPath: j.chain[s.index], Value: c.valueOf(j), RemainingCoreSeconds: j.remaining,
	})
}

// lastingScore puts tasks that last behind short tasks of their priority that can still be in time, and before all
// others. For the room that a task that lasts takes for minutes, many short tasks can be served.
const lastingScore = 0

// Parts of the value of a submission: one for each, and one in proportion to its work against the mean of its route.
const (
	fixedValue = 0.3
	sizedValue = 0.7
)

func (c *Cell) valueOf(j *job) float64 {
	mean := c.meanWork[j.submission.Route]
	if mean <= 0 {
		return 1
	}
	return fixedValue + sizedValue*j.work/mean
}

// meanWorkWeight is the weight of one submission in the mean work of its route.
const meanWorkWeight = 0.05

// learnWork takes in the size of a submission.
func (c *Cell) learnWork(j *job) {
	mean, known := c.meanWork[j.submission.Route]
	if !known {
		mean = j.work
	}
	c.meanWork[j.submission.Route] = mean + meanWorkWeight*(j.work-mean)
}
