package medlarburnrate

import (
	"time"

	"medlarwheel"
)

// Window is the name of a period over which results are counted.
type Window string

// The windows. Short ones show a sudden fault, long ones a slow consumption of the budget.
const (
	Window5Minutes Window = "5m"
	Window1Hour    Window = "1h"
	Window6Hours   Window = "6h"
	Window3Days    Window = "3d"
)

// windowCount is the number of windows.
const windowCount = 4

// windowSpec defines the buckets of a window. Because the current bucket is incomplete, a window covers between its length
// minus one bucket and its length.
type windowSpec struct {
	window       Window
	bucketLength time.Duration
	bucketCount  int
}

// windowSpecs lists the windows from shortest to longest. A bucket is about 3% of its window.
var windowSpecs = [windowCount]windowSpec{
	{window: Window5Minutes, bucketLength: 10 * time.Second, bucketCount: 30},
	{window: Window1Hour, bucketLength: 2 * time.Minute, bucketCount: 30},
	{window: Window6Hours, bucketLength: 12 * time.Minute, bucketCount: 30},
	{window: Window3Days, bucketLength: 144 * time.Minute, bucketCount: 30},
}

// Length returns the length of w, or 0 for an unknown window.
func (w Window) Length() time.Duration {
	for _, s := range windowSpecs {
		if s.window == w {
			return s.bucketLength * time.Duration(s.bucketCount)
		}
	}
	return 0
}

// Check reports a fault at path unless w is a known window.
func (w Window) Check(path string) medlarwheel.Faults {
	if w.Length() > 0 {
		return nil
	}
	return medlarwheel.Faults{{Path: path, Value: string(w), Accepted: "5m, 1h, 6h or 3d"}}
}
