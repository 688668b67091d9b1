package medlarinterference

import (
	"math"
	"testing"
)

// TestDeviationsLearnTheShareOfPeaks guards against a risk that stays at the prior when tasks have peaks more often, or
// less often, than assumed.
func TestDeviationsLearnTheShareOfPeaks(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.2} {
		d := NewDeviations(0.03)
		for i := range 10000 {
			deviation := -0.01
			if float64(i%100) < 100*share {
				deviation = 0.15
			}
			d.Observe(deviation)
		}
		if got := d.Exceeding(0.1); math.Abs(got-share) > 0.01 {
			t.Errorf("with peaks in %.2f of the reports, %.3f exceed 0.1", share, got)
		}
		if got := d.Exceeding(0.2); got > 0.01 {
			t.Errorf("with peaks of 0.15, %.3f of the reports exceed 0.2", got)
		}
	}
}

// TestExceedingFallsWithTheDeviation guards against a rise of the risk with the headroom, which would place work where
// it does the most harm.
func TestExceedingFallsWithTheDeviation(t *testing.T) {
	d := NewDeviations(0.03)
	before := 1.0
	for deviation := -0.1; deviation < 1; deviation += 0.005 {
		share := d.Exceeding(deviation)
		if share > before || share < 0 {
			t.Fatalf("%.4f of the deviations exceed %.3f, and %.4f exceed less", share, deviation, before)
		}
		before = share
	}
	if d.Exceeding(0) != 1 {
		t.Error("a task without headroom must count as over its target")
	}
}
