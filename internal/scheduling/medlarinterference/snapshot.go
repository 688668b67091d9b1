package medlarinterference

import (
	"time"

	"medlarwheel"
)

// Snapshot is what a model has learnt, in a form that the next owner of the cell can start from.
type Snapshot struct {
	Serving map[Image]ServingSnapshot `json:"serving"`
}

// ServingSnapshot is what is known about one serving image.
type ServingSnapshot struct {
	BaseLatency         time.Duration          `json:"base-ns"`
	BaselineUtilisation float64                `json:"high"`
	Pairs               map[Image]PairSnapshot `json:"pairs"`
}

// PairSnapshot is the pressure of one filling image, and the weight of the observations behind it.
type PairSnapshot struct {
	Coefficient float64 `json:"pressure"`
	Weight      float64 `json:"weight"`
}

// maxCoefficient bounds a pressure that is read back.
const maxCoefficient = 100

// Check reports every fault of s.
func (s *Snapshot) Check() medlarwheel.Faults {
	var faults medlarwheel.Faults
	for image, serving := range s.Serving {
		if serving.BaseLatency < 0 || serving.BaselineUtilisation < 0 || serving.BaselineUtilisation > 1 {
			faults = faults.Add("serving."+string(image), serving.BaselineUtilisation, "a base of 0 or more and a level of 0 to 1")
		}
		for filling, pair := range serving.Pairs {
			if pair.Weight < 0 || pair.Coefficient < -maxCoefficient || pair.Coefficient > maxCoefficient {
				faults = faults.Add("serving."+string(image)+"."+string(filling), pair.Coefficient, "a weight of 0 or more and a bounded pressure")
			}
		}
	}
	return faults
}

// Snapshot returns what the model has learnt.
func (m *Model) Snapshot() Snapshot {
	s := Snapshot{Serving: make(map[Image]ServingSnapshot, len(m.serving))}
	for image, f := range m.serving {
		serving := ServingSnapshot{BaseLatency: f.baseLatency, BaselineUtilisation: f.baseline, Pairs: make(map[Image]PairSnapshot, len(f.index))}
		for filling, n := range f.index {
			serving.Pairs[filling] = PairSnapshot{Coefficient: f.solution[n], Weight: f.squares[n][n]}
		}
		s.Serving[image] = serving
	}
	return s
}

// Restore makes the model start from a snapshot. What it has learnt about the same images is replaced.
func (m *Model) Restore(s Snapshot) {
	for image, serving := range s.Serving {
		f := &fit{baseLatency: serving.BaseLatency, baseline: serving.BaselineUtilisation, index: map[Image]int{}}
		m.serving[image] = f
		for filling, pair := range serving.Pairs {
			n, ok := f.column(filling, &m.config)
			if !ok {
				break
			}
			f.squares[n][n] = pair.Weight
			f.products[n] = pair.Weight * pair.Coefficient
			f.solution[n] = pair.Coefficient
		}
	}
}
