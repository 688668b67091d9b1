// Package medlarinterference learns how much best-effort tasks slow the serving tasks on the same worker.
//
// The tail latency of a serving task grows as in a queue: it is the base latency divided by 1 - utilisation. The model
// therefore converts tail latencies to an effective utilisation, 1 - base/tail, which is the sum of the load of the
// serving task itself (its baseline) and the interference of each best-effort task on the same worker. Interference is
// proportional to the processors that the best-effort task uses, as a share of the worker, with a coefficient for each
// pair of images.
//
// The baseline of a serving task varies by more than one best-effort task adds, and best-effort tasks are placed where
// it is low. The model is therefore fitted to changes between two reports that are close in time, by regularised least
// squares with slow exponential forgetting.
//
// Without the model, a burst of best-effort work would be placed beside the serving tasks that it slows most as readily
// as beside those that it hardly affects.
//
// The load of a serving task without interference has two parts. All tasks of a step share a slow wave, which a Trend
// follows. Besides, each task has short peaks of its own, which are over before anything can be done about them;
// Deviations holds how often they reach which height, and so the risk that a task with a given headroom exceeds its target.
//
// # Usage
//
//	model := medlarinterference.New(medlarinterference.DefaultConfig())
//	before, after := model.Utilisation("web", 21*time.Millisecond), model.Utilisation("web", 25*time.Millisecond)
//	model.Observe("web", after-before, []medlarinterference.ImageShare{{Image: "etl", Share: 0.1}})
//	model.Refit()
//	utilisation := after + model.Coefficient("etl", "web")*0.1
//
//	var load medlarinterference.Trend
//	load.Observe(&trendConfig, now, after)
//	deviations.Observe(after - load.At(&trendConfig, now))
//	risk := deviations.Exceeding(model.UtilisationLimit("web", target) - load.At(&trendConfig, now.Add(time.Second)))
package medlarinterference

import "time"

// Image is the name of the container image that a task runs.
type Image string

// ImageShare is the share of a worker's processors that the best-effort tasks of an image use, or a change of that share.
type ImageShare struct {
	Image Image
	Share float64
}

// Config configures a model.
type Config struct {
	// Prior is the coefficient of a pair of images without observations.
	Prior float64
	// PriorWeight is the weight of the prior, in observations of a best-effort share of a tenth of a worker.
	PriorWeight float64
	// Forgetting is the factor by which the weight of earlier observations is multiplied at each fit.
	Forgetting float64
	// MaxUtilisation is the upper bound of utilisations: the tail latency of a saturated task carries no further
	// information.
	MaxUtilisation float64
	// SaturatedUtilisation is the utilisation at or above which a change says little about its cause.
	SaturatedUtilisation float64
	// InitialBaseline is the initial estimate of the high baseline utilisation of a serving task, BaselineQuantile the
	// share of reports below that estimate, and BaselineStep the step by which it is adjusted.
	InitialBaseline, BaselineQuantile, BaselineStep float64
	// DefaultLimit is the utilisation limit of a serving task while its base latency is not known.
	DefaultLimit float64
	// MaxImages is the maximum number of best-effort images that are distinguished for one serving image.
	MaxImages int
}

// DefaultConfig returns the configuration for one fit a second, at which observations decay within about half a minute.
func DefaultConfig() Config {
	return Config{
		Prior: 0.8, PriorWeight: 10, Forgetting: 0.98, MaxUtilisation: 0.97, SaturatedUtilisation: 0.92,
		DefaultLimit: 0.7, InitialBaseline: 0.7, BaselineQuantile: 0.95, BaselineStep: 0.01, MaxImages: 48,
	}
}

// priorShare is the share of a worker for which the weight of the prior is defined.
const priorShare = 0.1

// Model holds the fits of all serving images.
type Model struct {
	config  Config
	serving map[Image]*fit
}

// New returns a model without observations.
func New(c Config) *Model { return &Model{config: c, serving: map[Image]*fit{}} }

// fit is the least-squares fit of the changes of the utilisation of one serving image.
type fit struct {
	// baseLatency is the smallest tail latency observed.
	baseLatency time.Duration
	// baseline is a utilisation that the serving tasks rarely exceed without interference.
	baseline float64
	// index maps each best-effort image to its column.
	index map[Image]int
	// squares and products are the weighted sums of the normal equations.
	squares  [][]float64
	products []float64
	solution []float64
}

func (m *Model) fitOf(image Image) *fit {
	f := m.serving[image]
	if f == nil {
		f = &fit{index: map[Image]int{}, baseline: m.config.InitialBaseline}
		m.serving[image] = f
	}
	return f
}

// column returns the column of a best-effort image and adds it if needed. It reports false if there are too many images.
func (f *fit) column(image Image, c *Config) (int, bool) {
	if n, known := f.index[image]; known {
		return n, true
	}
	n := len(f.products)
	if n >= c.MaxImages {
		return 0, false
	}
	f.index[image] = n
	for i := range f.squares {
		f.squares[i] = append(f.squares[i], 0)
	}
	f.squares = append(f.squares, make([]float64, n+1))
	f.products = append(f.products, 0)
	f.solution = append(f.solution, c.Prior)
	return n, true
}

// Utilisation converts a tail latency of a serving task to a utilisation, and updates the base latency of its image.
func (m *Model) Utilisation(serving Image, tail time.Duration) float64 {
	if tail <= 0 {
		return 0
	}
	f := m.fitOf(serving)
	if f.baseLatency == 0 || tail < f.baseLatency {
		f.baseLatency = tail
	}
	return min(1-float64(f.baseLatency)/float64(tail), m.config.MaxUtilisation)
}

// UtilisationLimit returns the utilisation at which a serving task reaches its tail-latency target.
func (m *Model) UtilisationLimit(serving Image, target time.Duration) float64 {
	f := m.serving[serving]
	if f == nil || f.baseLatency == 0 || target <= 0 {
		return m.config.DefaultLimit
	}
	return min(max(0, 1-float64(f.baseLatency)/float64(target)), m.config.MaxUtilisation)
}

// IsSaturated reports whether a utilisation is so high that its changes carry no information.
func (m *Model) IsSaturated(utilisation float64) bool {
	return utilisation >= m.config.SaturatedUtilisation
}

// Coefficient returns the increase in the utilisation of a task of the serving image if tasks of the best-effort image
// used all processors of its worker.
func (m *Model) Coefficient(bestEffort, serving Image) float64 {
	f := m.serving[serving]
	if f == nil {
		return m.config.Prior
	}
	n, known := f.index[bestEffort]
	if !known {
		return m.config.Prior
	}
	return max(0, f.solution[n])
}

// ObserveBaseline adds the utilisation of a serving task without interference to the estimate of the high baseline.
func (m *Model) ObserveBaseline(serving Image, utilisation float64) {
	f := m.fitOf(serving)
	// Steps up are larger than steps down, so that the estimate converges to the quantile.
	if utilisation > f.baseline {
		f.baseline += m.config.BaselineStep * m.config.BaselineQuantile
	} else {
		f.baseline -= m.config.BaselineStep * (1 - m.config.BaselineQuantile)
	}
}

// BaselineUtilisation returns a utilisation that tasks of the serving image rarely exceed without interference.
func (m *Model) BaselineUtilisation(serving Image) float64 {
	if f := m.serving[serving]; f != nil {
		return f.baseline
	}
	return m.config.InitialBaseline
}

// Observe adds a change of the utilisation of a serving task, and the changes of the shares of the best-effort images on
// its worker.
func (m *Model) Observe(serving Image, change float64, bestEffort []ImageShare) {
	f := m.fitOf(serving)
	columns := make([]int, len(bestEffort))
	for i, s := range bestEffort {
		n, ok := f.column(s.Image, &m.config)
		if !ok {
			return
		}
		columns[i] = n
	}
	for i, n := range columns {
		for k, o := range columns {
			f.squares[n][o] += bestEffort[i].Share * bestEffort[k].Share
		}
		f.products[n] += bestEffort[i].Share * change
	}
}

// Refit solves for the coefficients and decays earlier observations.
func (m *Model) Refit() {
	for _, f := range m.serving {
		f.solve(&m.config)
		for i := range f.squares {
			for j := range f.squares[i] {
				f.squares[i][j] *= m.config.Forgetting
			}
			f.products[i] *= m.config.Forgetting
		}
	}
}

// solve solves the regularised normal equations by Gaussian elimination.
func (f *fit) solve(c *Config) {
	n := len(f.products)
	rows := make([][]float64, n)
	weight := c.PriorWeight * priorShare * priorShare
	for i := range rows {
		rows[i] = append(append(make([]float64, 0, n+1), f.squares[i]...), f.products[i])
		rows[i][i] += weight
		rows[i][n] += weight * c.Prior
	}
	for i := range rows {
		for r := range rows {
			if r == i || rows[r][i] == 0 {
				continue
			}
			factor := rows[r][i] / rows[i][i]
			for k := i; k <= n; k++ {
				rows[r][k] -= factor * rows[i][k]
			}
		}
	}
	for i := range rows {
		// The prior keeps every pivot positive.
		f.solution[i] = rows[i][n] / rows[i][i]
	}
}
