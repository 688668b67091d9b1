package medlarworker_test

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlarworker"
)

// TestUsageFilterRefusesInvalidReportsAndRecovers guards against reports that are repeated, out of order, late or
// implausible, against usage of attempts that are not committed on the worker, and against a filter that refuses all correct
// reports after one wrong one.
func TestUsageFilterRefusesInvalidReportsAndRecovers(t *testing.T) {
	config := medlarworker.Default()
	record := newRecord(t, 1000)
	if _, err := record.Commit(ref("j.0", 2), cores(500), 1); err != nil {
		t.Fatal(err)
	}
	filter := medlarworker.NewUsageFilter(config)
	type edit func(*medlarwheel.UsageReport)
	accept := func(sequence uint64, uptime, delay time.Duration, edits ...edit) error {
		report := medlarwheel.UsageReport{
			Worker: "w1", Incarnation: 3, Sequence: sequence, Uptime: medlarwheel.Duration(uptime), Used: cores(400),
			Tasks: []medlarwheel.TaskUsage{{Task: "j.0", Attempt: 2, Used: cores(400)}, {Task: "k.0", Attempt: 1}},
		}
		for _, e := range edits {
			e(&report)
		}
		got, err := filter.Accept(report, record.Worker(), start.Add(uptime+delay))
		if err == nil && len(got.Tasks) != 1 {
			t.Fatalf("kept an attempt that is not committed: %v", got.Tasks)
		}
		return err
	}
	minute, second := time.Minute, time.Second
	for _, c := range []struct {
		name string
		err  error
		want error
	}{
		{name: "first", err: accept(10, minute, second)},
		{name: "repeated", err: accept(10, minute, 2*second), want: medlarworker.ErrOutOfOrder},
		{name: "next", err: accept(11, minute+5*second, second)},
		{name: "out of order", err: accept(10, minute+4*second, 5*second), want: medlarworker.ErrOutOfOrder},
		{name: "late", err: accept(12, minute+10*second, 40*second), want: medlarworker.ErrLate},
		{name: "clock jumps", err: accept(12, 2*minute, -40*second), want: medlarworker.ErrImplausible},
		{name: "sequence jumps", err: accept(1<<40, minute+20*second, 0), want: medlarworker.ErrImplausible},
		{name: "beyond the worker", err: accept(13, minute+20*second, 0, func(r *medlarwheel.UsageReport) {
			r.Used = cores(1101)
		}), want: medlarworker.ErrImplausible},
		{name: "tasks beyond the worker", err: accept(13, minute+20*second, 0, func(r *medlarwheel.UsageReport) {
			r.Tasks = []medlarwheel.TaskUsage{{Used: cores(600)}, {Used: cores(600)}}
		}), want: medlarworker.ErrImplausible},
		{name: "negative", err: accept(13, minute+20*second, 0, func(r *medlarwheel.UsageReport) {
			r.Used = cores(-1)
		}), want: medlarworker.ErrImplausible},
		{name: "earlier incarnation", err: accept(13, minute+20*second, 0, func(r *medlarwheel.UsageReport) {
			r.Incarnation = 2
		}), want: medlarworker.ErrOutOfOrder},
		{name: "later", err: accept(14, minute+25*second, 0)},
	} {
		if !errors.Is(c.err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, c.err, c.want)
		}
	}
	if m, ok := filter.TakeMeasurement("w1", medlarwheel.TaskAttempt{Task: "j.0", Attempt: 2}); !ok || m.Peak.CPU != 400 {
		t.Errorf("peak: got %v", m)
	}
	slow := func(uptime time.Duration) time.Duration { return uptime / 6000 }
	for at := 2 * minute; at < 100*time.Hour; at += minute {
		if err := accept(uint64(at/minute)+20, at, slow(at)); err != nil {
			t.Fatalf("report of a slow agent clock after %v: %v", at, err)
		}
	}
	filter.Forget("w1")
	wrongFirst := func(r *medlarwheel.UsageReport) { r.Worker, r.Incarnation = "w1", 1<<60 }
	if err := accept(20, minute+60*second, 0, wrongFirst); err != nil {
		t.Fatal(err)
	}
	if err := accept(30, minute+60*second+config.UsageRestart, 0); !errors.Is(err, medlarworker.ErrOutOfOrder) {
		t.Errorf("earlier incarnation within the restart time: got %v", err)
	}
	if err := accept(31, minute+61*second+config.UsageRestart, 0); err != nil {
		t.Errorf("correct report after the restart time is refused: %v", err)
	}
}

// TestCorrectorMatchesSortedSamplesWithinLimits guards against a quantile that differs from that of the sorted samples,
// against corrections beyond the limits or the largest worker, and against large corrections from few samples.
func TestCorrectorMatchesSortedSamplesWithinLimits(t *testing.T) {
	config := medlarworker.Default()
	rapid.Check(t, func(t *rapid.T) {
		declared := medlarwheel.Resources{CPU: 10_000, Memory: 5_000, Accelerators: 1}
		largest := medlarwheel.Resources{CPU: 32_000, Memory: 64_000, Accelerators: 4}
		samples := rapid.SliceOfN(rapid.IntRange(0, 100_000), 1, 400).Draw(t, "peaks")
		corrector := medlarworker.NewCorrector(config)
		for _, peak := range samples {
			corrector.ObserveSize("round", declared, medlarwheel.Resources{CPU: medlarwheel.MilliCPU(peak), Memory: 5_000})
		}
		slices.Sort(samples)
		rank := max(int(math.Ceil(config.CPUQuantile*float64(len(samples))))-1, 0)
		ratio := min(max(float64(samples[rank])/float64(declared.CPU), 1.0/16), 16)
		weight := float64(len(samples)) / (float64(len(samples)) + config.PriorSamples)
		factor := min(max(math.Pow(ratio, weight), config.MinFactor), config.MaxFactor)
		want := min(factor*float64(declared.CPU), float64(largest.CPU))
		got := corrector.Size("round", declared, largest)
		if bucket := math.Exp2(1.0 / 8); float64(got.CPU) > want*bucket+1 || float64(got.CPU) < want/bucket-1 {
			t.Fatalf("%d samples: corrected to %d, want %.0f within a bucket", len(samples), got.CPU, want)
		}
		if got.Accelerators != declared.Accelerators {
			t.Fatalf("corrected accelerators to %d", got.Accelerators)
		}
	})
	corrector := medlarworker.NewCorrector(config)
	corrector.ObserveRunTime("round", medlarwheel.Duration(time.Hour), medlarwheel.Duration(10*time.Hour))
	if got := corrector.RunTime("round", medlarwheel.Duration(time.Hour)).Std(); got < time.Hour || got > 75*time.Minute {
		t.Errorf("one sample of ten times the declared run time corrects to %v", got)
	}
	for range 8000 {
		corrector.ObserveRunTime("round", medlarwheel.Duration(time.Hour), medlarwheel.Duration(10*time.Hour))
	}
	if got := corrector.RunTime("round", medlarwheel.Duration(time.Hour)).Std(); got != 4*time.Hour {
		t.Errorf("many samples correct to %v, want the limit of 4 hours", got)
	}
	for range 20_000 {
		corrector.ObserveRunTime("round", medlarwheel.Duration(time.Hour), medlarwheel.Duration(time.Hour))
	}
	if got := corrector.RunTime("round", medlarwheel.Duration(time.Hour)).Std(); got > 66*time.Minute {
		t.Errorf("old samples do not lose weight: corrected to %v, want at most 66 minutes", got)
	}
}
