package medlarcell

import (
	"container/heap"
	"time"
)

// candidate is a worker that may run a task of a step.
type candidate struct {
	worker *worker
	score  float64
	// position is the worker's index among the usable ones. Ties go to the lowest index.
	position int
}

// candidates is a heap of the workers that may run a task of a step, the best one first. A start changes only the score
// of its own worker, so that all tasks of a step can be placed with one scan of the workers.
type candidates []candidate

func (h candidates) Len() int { return len(h) }

func (h candidates) Less(i, k int) bool {
	if h[i].score != h[k].score {
		return h[i].score > h[k].score
	}
	return h[i].position < h[k].position
}

func (h candidates) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *candidates) Push(x any) { *h = append(*h, x.(candidate)) }

// Pop implements heap.Interface.
func (h *candidates) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	*h = (*h)[:last]
	return popped
}

// hasOwnConstraints reports whether the task avoids, excludes or prefers workers that other tasks of its step do not.
func (t *task) hasOwnConstraints() bool {
	return t.avoidWorker != "" || t.isSuspect() || len(t.runs) > 0
}

// placeStep starts waiting tasks of a step on the given workers until none fits the next task.
func (c *Cell) placeStep(now time.Time, s *step, workers []*worker) {
	c.placeTasks(now, s, workers, len(s.ready))
}

// placeTasks does the same for up to limit tasks.
func (c *Cell) placeTasks(now time.Time, s *step, workers []*worker, limit int) {
	isCurrent := false
	for ; len(s.ready) > 0 && limit > 0 && c.mayStartMore(); limit-- {
		index := s.ready[0]
		t := &s.tasks[index]
		if t.hasOwnConstraints() {
			w := c.bestWorker(s, t, workers)
			if w == nil {
				return
			}
			c.startTask(now, w, s, index, 0)
			isCurrent = false
			continue
		}
		if isCurrent {
			c.updateTopCandidate(s, t)
		} else {
			c.collectCandidates(s, t, workers)
			isCurrent = true
		}
		if len(c.candidates) == 0 {
			return
		}
		c.startTask(now, c.candidates[0].worker, s, index, 0)
	}
}

// collectCandidates fills the heap with the workers that may run a task.
func (c *Cell) collectCandidates(s *step, t *task, workers []*worker) {
	c.candidates = c.candidates[:0]
	for i, w := range workers {
		if score, ok := c.evaluate(s, t, w); ok {
			c.candidates = append(c.candidates, candidate{worker: w, score: score, position: i})
		}
	}
	heap.Init(&c.candidates)
}

// updateTopCandidate recomputes the score of the first candidate after a task was started there.
func (c *Cell) updateTopCandidate(s *step, t *task) {
	score, ok := c.evaluate(s, t, c.candidates[0].worker)
	if !ok {
		heap.Pop(&c.candidates)
		return
	}
	c.candidates[0].score = score
	heap.Fix(&c.candidates, 0)
}

// bestWorker returns the feasible worker with the highest score for a task, or nil.
func (c *Cell) bestWorker(s *step, t *task, workers []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if score, ok := c.evaluate(s, t, w); ok && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// evaluate returns the score of a worker for a task, and whether the worker may run it at all.
func (c *Cell) evaluate(s *step, t *task, w *worker) (score float64, ok bool) {
	if !c.isFeasible(s, t, w) || !c.mayStartCold(w) || !s.spec.Gang && !c.hasOrderRoom(w) {
		return 0, false
	}
	cost := 0.0
	if s.spec.BestEffort {
		var harm float64
		if cost, harm, ok = c.interferenceOn(s, w); !ok {
			return 0, false
		}
		if !c.isHarmAcceptable(s, harm) {
			c.leastRefusedHarm = min(c.leastRefusedHarm, harm)
			return 0, false
		}
	}
	return c.score(s, t, w) + w.coldScore() - cost, true
}
