package medlarburn

import (
	"fmt"
	"time"

	"medlarwheel"
)

// Source identifies a snapshot. Of two snapshots of one incarnation the one with the higher sequence holds everything
// that the other holds and more.
type Source struct {
	Instance    medlarwheel.InstanceID  `json:"instance"`
	Incarnation medlarwheel.Incarnation `json:"incarnation"`
	Sequence    uint64                  `json:"sequence"`
}

// Counters is the snapshot of one entry instance.
type Counters struct {
	Source `json:"source"`
	// At is the end of all windows.
	At    time.Time    `json:"at"`
	Pairs []PairCounts `json:"pairs,omitempty"`
}

// PairCounts are the results of one pair. Windows without results are left out.
type PairCounts struct {
	Pair    `json:"pair"`
	Windows []WindowCounts `json:"windows"`
}

// WindowCounts are the results of one window.
type WindowCounts struct {
	Window Window `json:"window"`
	Counts `json:"counts"`
}

// maxCount bounds a number in a snapshot, so that sums over many snapshots do not overflow.
const maxCount = 1 << 48

// DecodeCounters reads a snapshot from JSON and reports every fault at once.
func DecodeCounters(data []byte) (Counters, error) { return medlarwheel.Decode[Counters](data) }

// Check reports every fault of c.
func (c *Counters) Check() medlarwheel.Faults {
	faults := medlarwheel.CheckName("source.instance", string(c.Instance))
	if c.Sequence == 0 {
		faults = faults.Add("source.sequence", 0, "1 or more")
	}
	if c.At.IsZero() {
		faults = faults.Add("at", c.At.Format(time.RFC3339), "a time")
	}
	seen := make(map[Pair]bool, len(c.Pairs))
	for i := range c.Pairs {
		path := fmt.Sprintf("pairs[%d]", i)
		if seen[c.Pairs[i].Pair] {
			faults = faults.Add(path+".pair", c.Pairs[i].Pair, "each pair once")
		}
		seen[c.Pairs[i].Pair] = true
		faults = append(faults, c.Pairs[i].check(path)...)
	}
	return faults
}

func (p *PairCounts) check(path string) medlarwheel.Faults {
	faults := medlarwheel.CheckName(path+".pair.template", string(p.Template))
	faults = append(faults, medlarwheel.CheckName(path+".pair.account", string(p.Account))...)
	seen := make(map[Window]bool, windowCount)
	for i, w := range p.Windows {
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

// newPairCounts returns the counts of a pair without its empty windows.
func newPairCounts(p Pair, all [windowCount]Counts) PairCounts {
	counts := PairCounts{Pair: p}
	for i, c := range all {
		if c.Total() > 0 {
			counts.Windows = append(counts.Windows, WindowCounts{Window: windowSpecs[i].name, Counts: c})
		}
	}
	return counts
}

// add adds the windows of o to those of p.
func (p *PairCounts) add(o PairCounts) {
	var all [windowCount]Counts
	for i, s := range windowSpecs {
		all[i] = p.window(s.name).Plus(o.window(s.name))
	}
	p.Windows = newPairCounts(p.Pair, all).Windows
}

func (p *PairCounts) window(name Window) Counts {
	for _, w := range p.Windows {
		if w.Window == name {
			return w.Counts
		}
	}
	return Counts{}
}
