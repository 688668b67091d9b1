package medlarburnrate

import (
	"fmt"
	"time"

	"medlarwheel"
)

// Source identifies a snapshot. Of two snapshots of one incarnation, the one with the higher sequence was taken later and
// includes all results of the other.
type Source struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Sequence    uint64                  `json:"sequence"`
}

// Snapshot holds the counts of all series of one entry instance at one time.
type Snapshot struct {
	Source `json:"source"`
	// At is the time at which all windows end.
	At     time.Time      `json:"at"`
	Series []SeriesCounts `json:"pairs,omitempty"`
}

// SeriesCounts holds the counts of one series. Windows without results are omitted.
type SeriesCounts struct {
	SeriesKey `json:"pair"`
	Windows   []WindowCounts `json:"windows"`
}

// WindowCounts holds the counts of one window.
type WindowCounts struct {
	Window Window `json:"window"`
	Counts `json:"counts"`
}

// maxCount is the largest count accepted in a snapshot, so that sums over many snapshots do not overflow.
const maxCount = 1 << 48

// DecodeSnapshot decodes a snapshot from JSON and reports its faults together.
func DecodeSnapshot(data []byte) (Snapshot, error) { return medlarwheel.Decode[Snapshot](data) }

// Check reports every fault of s.
func (s *Snapshot) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("source.instance", string(s.Instance))
	if s.Sequence == 0 {
		faults = faults.Add("source.sequence", 0, "1 or more")
	}
	if s.At.IsZero() {
		faults = faults.Add("at", s.At.Format(time.RFC3339), "a time")
	}
	seen := make(map[SeriesKey]bool, len(s.Series))
	for i := range s.Series {
		path := fmt.Sprintf("pairs[%d]", i)
		if seen[s.Series[i].SeriesKey] {
			faults = faults.Add(path+".pair", s.Series[i].SeriesKey, "each pair once")
		}
		seen[s.Series[i].SeriesKey] = true
		faults = append(faults, s.Series[i].check(path)...)
	}
	return faults
}

func (c *SeriesCounts) check(path string) medlarwheel.Faults {
	faults := medlarwheel.CheckName(path+".pair.template", string(c.Template))
	faults = append(faults, medlarwheel.CheckName(path+".pair.account", string(c.Account))...)
	seen := make(map[Window]bool, windowCount)
	for i, w := range c.Windows {
		at := fmt.Sprintf("%s.windows[%d]", path, i)
		faults = append(faults, w.Window.Check(at+".window")...)
		if seen[w.Window] {
			faults = faults.Add(at+".window", w.Window, "each window once")
		}
		seen[w.Window] = true
		for _, n := range []uint64{w.Good, w.Slow, w.Refused, w.Unknown} {
			if n > maxCount {
				faults = faults.Add(at+".counts", n, fmt.Sprintf("0 to %d", uint64(maxCount)))
			}
		}
	}
	return faults
}

// newSeriesCounts returns the counts of a series without its empty windows.
func newSeriesCounts(key SeriesKey, all [windowCount]Counts) SeriesCounts {
	counts := SeriesCounts{SeriesKey: key}
	for i, c := range all {
		if c.Total() > 0 {
			counts.Windows = append(counts.Windows, WindowCounts{Window: windowSpecs[i].window, Counts: c})
		}
	}
	return counts
}

// add adds the windows of o to those of c.
func (c *SeriesCounts) add(o SeriesCounts) {
	var all [windowCount]Counts
	for i, s := range windowSpecs {
		all[i] = c.window(s.window).Plus(o.window(s.window))
	}
	c.Windows = newSeriesCounts(c.SeriesKey, all).Windows
}

func (c *SeriesCounts) window(name Window) Counts {
	for _, w := range c.Windows {
		if w.Window == name {
			return w.Counts
		}
	}
	return Counts{}
}
