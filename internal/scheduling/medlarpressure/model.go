// Package medlarpressure learns by how much filling tasks slow the serving tasks beside them.
//
// The tail latency of a serving task grows like that of a queue: it is its base latency divided by the share of its speed
// that is left. The model therefore works with the level of a task, 1 - base/tail, which its own load and the pressure of
// each filling task beside it add up to. Pressure is proportional to the processors that a filling task uses, as a share of
// the worker, and depends on the pair of images. It is fitted by least squares with a prior and slow forgetting.
//
// It answers the load of filling work that arrives in bursts on workers which also serve: without it, filling work goes
// beside the tasks that it harms most as readily as beside those that hardly notice it.
//
// # Usage
//
//	model := medlarpressure.New(medlarpressure.DefaultConfig())
//	model.Observe("web", 21*time.Millisecond, []medlarpressure.Share{{Image: "etl", Share: 0.1}})
//	model.Refit()
//	level := model.Level("web", 21*time.Millisecond) + model.Pressure("etl", "web")*0.1
package medlarpressure

import (
	"time"
)

// Image names what a task runs.
type Image string

// Share is the part of a worker's processors that the filling tasks of an image use.
type Share struct {
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
	// MaxLevel bounds levels, since saturated tails carry no further information.
	MaxLevel float64
	// MaxImages bounds the filling images that are told apart for one serving image.
	MaxImages int
}

// DefaultConfig returns the configuration for one fit a second and a memory of about half a minute.
func DefaultConfig() Config {
	return Config{Prior: 0.8, PriorWeight: 10, Forgetting: 0.98, MaxLevel: 0.97, MaxImages: 48}
}

// typicalShare is the share of a worker at which the weight of the prior is defined.
const typicalShare = 0.1

// Model holds what is known about pairs of images.
type Model struct {
	config  Config
	serving map[Image]*fit
}

// New returns a model without observations.
func New(c Config) *Model { return &Model{config: c, serving: map[Image]*fit{}} }

// fit is the least-squares fit of the level of one serving image.
type fit struct {
	// base is the smallest tail latency seen.
	base time.Duration
	// index gives each filling image its column. Column 0 is the constant.
	index map[Image]int
	// squares and products are the weighted sums of the normal equations.
	squares  [][]float64
	products []float64
	solution []float64
}

func (m *Model) fitOf(image Image) *fit {
	f := m.serving[image]
	if f == nil {
		f = &fit{index: map[Image]int{}, squares: [][]float64{{0}}, products: []float64{0}, solution: []float64{0}}
		m.serving[image] = f
	}
	return f
}

// column returns the column of a filling image, or 0 if there are too many images.
func (f *fit) column(image Image, c *Config) int {
	if n, known := f.index[image]; known {
		return n
	}
	if len(f.index) >= c.MaxImages {
		return 0
	}
	n := len(f.products)
	f.index[image] = n
	for i := range f.squares {
		f.squares[i] = append(f.squares[i], 0)
	}
	f.squares = append(f.squares, make([]float64, n+1))
	f.products = append(f.products, 0)
	f.solution = append(f.solution, c.Prior)
	return n
}

// Level returns the level of a serving task with the tail latency.
func (m *Model) Level(serving Image, tail time.Duration) float64 {
	f := m.serving[serving]
	if f == nil || f.base == 0 || tail <= 0 {
		return 0
	}
	return min(max(0, 1-float64(f.base)/float64(tail)), m.config.MaxLevel)
}

// Pressure returns how much the level of the serving image rises for each whole worker's worth of the filling image.
func (m *Model) Pressure(filling, serving Image) float64 {
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

// OwnLevel returns the mean level of the serving image without filling tasks beside it.
func (m *Model) OwnLevel(serving Image) float64 {
	if f := m.serving[serving]; f != nil {
		return f.solution[0]
	}
	return 0
}

// Observe takes in the tail latency of a serving task beside filling tasks, none of which has just started or ended.
func (m *Model) Observe(serving Image, tail time.Duration, filling []Share) {
	if tail <= 0 {
		return
	}
	f := m.fitOf(serving)
	if f.base == 0 || tail < f.base {
		f.base = tail
	}
	level := m.Level(serving, tail)
	row := make([]float64, len(f.products), len(f.products)+len(filling))
	row[0] = 1
	for _, s := range filling {
		n := f.column(s.Image, &m.config)
		if n == 0 {
			return
		}
		for len(row) <= n {
			row = append(row, 0)
		}
		row[n] += s.Share
	}
	for i, x := range row {
		if x == 0 {
			continue
		}
		for j, y := range row {
			f.squares[i][j] += x * y
		}
		f.products[i] += x * level
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
	weight := c.PriorWeight * typicalShare * typicalShare
	for i := range rows {
		rows[i] = append(append(make([]float64, 0, n+1), f.squares[i]...), f.products[i])
		if i > 0 {
			rows[i][i] += weight
			rows[i][n] += weight * c.Prior
		}
	}
	for i := range rows {
		if rows[i][i] < minPivot {
			// No observation yet.
			continue
		}
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
		if rows[i][i] >= minPivot {
			f.solution[i] = rows[i][n] / rows[i][i]
		}
	}
}

// minPivot is the smallest pivot that is divided by. The matrix is symmetric and positive with its prior.
const minPivot = 1e-9
