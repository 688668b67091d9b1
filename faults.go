package medlarwheel

import (
	"fmt"
	"strings"
)

// Fault is one validation error of an external input.
type Fault struct {
	// Path locates the value, such as "service.queue-limit".
	Path string `json:"path"`
	// Value is the rejected value as text.
	Value string `json:"value"`
	// Accepted describes what would have been accepted.
	Accepted string `json:"accepted"`
}

// Faults lists all validation errors of one input. It is an error when it is not empty.
type Faults []Fault

// Error lists the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fmt.Sprintf("%s: %s is not accepted; accepted: %s", fault.Path, fault.Value, fault.Accepted))
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil when f is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Add returns f with an additional fault.
func (f Faults) Add(path string, value any, accepted string) Faults {
	return append(f, Fault{Path: path, Value: fmt.Sprint(value), Accepted: accepted})
}

// CheckRange returns f, with an additional fault if value is outside [low, high].
func (f Faults) CheckRange(path string, value, low, high int64) Faults {
	if value >= low && value <= high {
		return f
	}
	return f.Add(path, value, fmt.Sprintf("%d to %d", low, high))
}

// CheckDurationRange returns f, with an additional fault if value is outside [low, high].
func (f Faults) CheckDurationRange(path string, value, low, high Duration) Faults {
	if value >= low && value <= high {
		return f
	}
	return f.Add(path, value, fmt.Sprintf("%s to %s", low, high))
}
