package medlarinterference

import (
	"time"

	"medlarwheel"
)

// Snapshot is the state of a model in a form from which the next owner of the cell can start.
type Snapshot struct {
	Serving map[Image]ServingSnapshot `json:"serving"`
}

// ServingSnapshot is the state of one serving image.
type ServingSnapshot struct {
	BaseLatency         time.Duration          `json:"base-ns"`
	BaselineUtilisation float64                `json:"high"`
	Pairs               map[Image]PairSnapshot `json:"pairs"`
}

// PairSnapshot is the interference coefficient of a best-effort image, and the weight of its observations.
type PairSnapshot struct {
	Coefficient float64 `json:"pressure"`
	Weight      float64 `json:"weight"`
}

// maxCoefficient bounds the absolute value of a coefficient in a decoded snapshot.
const maxCoefficient = 100

// Check reports every fault in s.
func (s *Snapshot) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	for image, serving := range s.Serving {
		if serving.BaseLatency < 0 || serving.BaselineUtilisation < 0 || serving.BaselineUtilisation > 1 {
			faults = faults.Add("serving."+string(image), serving.BaselineUtilisation, "a base latency of 0 or more and a baseline utilisation of 0 to 1")
		}
		for bestEffort, pair := range serving.Pairs {
			if pair.Weight < 0 || pair.Coefficient < -maxCoefficient || pair.Coefficient > maxCoefficient {
				faults = faults.Add("serving."+string(image)+"."+string(bestEffort), pair.Coefficient, "a weight of 0 or more and a coefficient from -100 to 100")
			}
		}
	}
	return faults
}

// Snapshot returns the state of the model.
func (m *Model) Snapshot() Snapshot {
	s := Snapshot{Serving: make(map[Image]ServingSnapshot, len(m.serving))}
	for image, f := range m.serving {
		serving := ServingSnapshot{BaseLatency: f.baseLatency, BaselineUtilisation: f.baseline, Pairs: make(map[Image]PairSnapshot, len(f.index))}
		for bestEffort, n := range f.index {
			serving.Pairs[bestEffort] = PairSnapshot{Coefficient: f.solution[n], Weight: f.squares[n][n]}
		}
		s.Serving[image] = serving
	}
	return s
}

// Restore replaces the state of the images in the snapshot.
func (m *Model) Restore(s Snapshot) {
	for image, serving := range s.Serving {
		f := &fit{baseLatency: serving.BaseLatency, baseline: serving.BaselineUtilisation, index: map[Image]int{}}
		m.serving[image] = f
		for bestEffort, pair := range serving.Pairs {
			n, ok := f.column(bestEffort, &m.config)
			if !ok {
				break
			}
			f.squares[n][n] = pair.Weight
			f.products[n] = pair.Weight * pair.Coefficient
			f.solution[n] = pair.Coefficient
		}
	}
}
