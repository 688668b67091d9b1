package medlarwheel

import "fmt"

// Class is the priority class of a service or job.
type Class string

// The classes from most to least urgent.
const (
	ClassUrgent     Class = "urgent"
	ClassStandard   Class = "standard"
	ClassBackground Class = "background"
)

// Classes lists every class from most to least urgent.
func Classes() []Class { return []Class{ClassUrgent, ClassStandard, ClassBackground} }

// Rank returns 0 for the most urgent class and grows as urgency falls. An unknown class ranks last.
func (c Class) Rank() int {
	for i, known := range Classes() {
		if c == known {
			return i
		}
	}
	return len(Classes())
}

// Check reports a fault at path unless c is a known class.
func (c Class) Check(path string) Faults {
	if c.Rank() < len(Classes()) {
		return nil
	}
	return Faults{{Path: path, Value: fmt.Sprintf("%q", string(c)), Accepted: "urgent, standard or background"}}
}

// Kind distinguishes latency-critical services from batch jobs.
type Kind string

// The kinds of template.
const (
	KindService Kind = "service"
	KindBatch   Kind = "batch"
)

// Check reports a fault at path unless k is a known kind.
func (k Kind) Check(path string) Faults {
	if k == KindService || k == KindBatch {
		return nil
	}
	return Faults{{Path: path, Value: fmt.Sprintf("%q", string(k)), Accepted: "service or batch"}}
}
