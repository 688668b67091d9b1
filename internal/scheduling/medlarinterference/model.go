// Package medlarinterference learns by how much filling tasks slow the serving tasks beside them.
//
// The tail latency of a serving task grows like that of a queue: it is its base latency divided by the share of its speed
// that is left. The model therefore works with the level of a task, 1 - base/tail, which its own load and the pressure of
// each filling task beside it add up to. Pressure is proportional to the processors that a filling task uses, as a share of
// the worker, and depends on the pair of images. The load of a serving task swings by more than one filling task adds, and
// filling tasks are placed where it is low; the model is therefore fitted to changes between two reports that are close in
// time, by least squares with a prior and slow forgetting.
//
// It answers the load of filling work that arrives in bursts on workers which also serve: without it, filling work goes
// beside the tasks that it harms most as readily as beside those that hardly notice it.
//
// # Usage
//
//	model := medlarinterference.New(medlarinterference.DefaultConfig())
//	before, after := model.Level("web", 21*time.Millisecond), model.Level("web", 25*time.Millisecond)
//	model.Observe("web", after-before, []medlarinterference.ImageShare{{Image: "etl", Share: 0.1}})
//	model.Refit()
//	level := after + model.Pressure("etl", "web")*0.1
package medlarinterference

import "time"

// Image names what a task runs.
type Image string

// ImageShare is the part of a worker's processors that the filling tasks of an image use.
type ImageShare struct {
	Image Image
	Share float64
}

// Config configures a model.
type Config struct {
	// Prior is the pressure of a pair of images without observations.
	Prior float64
	// PriorWeight is the number of observations, at a tenth of a worker, that the prior counts as.
	PriorWeight float64
	// Forgetting is the factor by which older observations lose weight at each fit.
	Forgetting float64
	// MaxUtilisation bounds levels, since saturated tails carry no further information.
	MaxUtilisation float64
	// SaturatedUtilisation is the level from which on a change says little about its cause.
	SaturatedUtilisation float64
	// InitialBaseline is the first estimate of the level that a serving task rarely exceeds by itself, HighQuantile the share
	// of reports below it, and HighStep the step of its estimate.
	InitialBaseline, BaselineQuantile, BaselineStep float64
	// DefaultLimit is the level taken for a tail target while the base latency is not known.
	DefaultLimit float64
	// MaxImages bounds the filling images that are told apart for one serving image.
	MaxImages int
}

// DefaultConfig returns the configuration for one fit a second and a memory of about half a minute.
func DefaultConfig() Config {
	return Config{
		Prior: 0.8, PriorWeight: 10, Forgetting: 0.98, MaxUtilisation: 0.97, SaturatedUtilisation: 0.92,
		DefaultLimit: 0.7, InitialBaseline: 0.7, BaselineQuantile: 0.95, BaselineStep: 0.01, MaxImages: 48,
	}
}

// priorShare is the share of a worker at which the weight of the prior is defined.
const priorShare = 0.1

// Model holds what is known about pairs of images.
type Model struct {
	config  Config
	serving map[Image]*fit
}

// New returns a model without observations.
func New(c Config) *Model { return &Model{config: c, serving: map[Image]*fit{}} }

// fit is the least-squares fit of the changes of the level of one serving image.
type fit struct {
	// baseLatency is the smallest tail latency seen.
	baseLatency time.Duration
	// baseline is a level that the serving tasks rarely exceed by themselves.
	baseline float64
	// index gives each filling image its column.
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

// column returns the column of a filling image. It reports false if there are too many images.
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

// Utilisation returns the level of a serving task with the tail latency, and learns the base latency of its image.
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

// UtilisationLimit returns the level at which a serving task reaches its tail target.
func (m *Model) UtilisationLimit(serving Image, target time.Duration) float64 {
	f := m.serving[serving]
	if f == nil || f.baseLatency == 0 || target <= 0 {
		return m.config.DefaultLimit
	}
	return min(max(0, 1-float64(f.baseLatency)/float64(target)), m.config.MaxUtilisation)
}

// IsSaturated reports whether a level carries no information beyond being high.
func (m *Model) IsSaturated(level float64) bool { return level >= m.config.SaturatedUtilisation }

// Coefficient returns how much the level of the serving image rises for each whole worker's worth of the filling image.
func (m *Model) Coefficient(filling, serving Image) float64 {
	f := m.serving[serving]
	if f == nil {
		return m.config.Prior
	}
	n, known := f.index[filling]
	if !known {
		return m.config.Prior
	}
	return max(0, f.solution[n])
}

// ObserveBaseline takes in the level that a serving task has by itself.
func (m *Model) ObserveBaseline(serving Image, level float64) {
	f := m.fitOf(serving)
	// The estimate moves up by more than it moves down, so that it settles where the shares of both balance.
	if level > f.baseline {
		f.baseline += m.config.BaselineStep * m.config.BaselineQuantile
	} else {
		f.baseline -= m.config.BaselineStep * (1 - m.config.BaselineQuantile)
	}
}

// BaselineUtilisation returns a level that tasks of the serving image rarely exceed by themselves.
func (m *Model) BaselineUtilisation(serving Image) float64 {
	if f := m.serving[serving]; f != nil {
		return f.baseline
	}
	return m.config.InitialBaseline
}

// Observe takes in a change of the level of a serving task, and the changes of the shares of the filling images beside it.
func (m *Model) Observe(serving Image, change float64, filling []ImageShare) {
	f := m.fitOf(serving)
	columns := make([]int, len(filling))
	for i, s := range filling {
		n, ok := f.column(s.Image, &m.config)
		if !ok {
			return
		}
		columns[i] = n
	}
	for i, n := range columns {
		for k, o := range columns {
			f.squares[n][o] += filling[i].Share * filling[k].Share
		}
		f.products[n] += filling[i].Share * change
	}
}

// Refit solves for the pressures, and lets older observations fade.
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

// solve solves the normal equations with the prior by Gaussian elimination.
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
		// The prior keeps every pivot above zero.
		f.solution[i] = rows[i][n] / rows[i][i]
	}
}
