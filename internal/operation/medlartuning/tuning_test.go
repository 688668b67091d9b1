package medlartuning

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarlog"
	"medlarwheel/internal/operation/medlarnode"
	"medlarwheel/platform"
)

func config() Config {
	return Config{Node: medlarnode.DefaultConfig(platform.Settings{MaxLease: time.Minute, Metrics: "127.0.0.1:9464"}), Log: medlarlog.DefaultConfig()}
}

// TestApplyPrefersFlagsAndReportsAllFaults guards against a setting that is given and has no effect, and against faults that are reported one at a time.
func TestApplyPrefersFlagsAndReportsAllFaults(t *testing.T) {
	set, c := New(), config()
	flags := pflag.NewFlagSet("edge", pflag.ContinueOnError)
	set.Bind(flags)
	if err := flags.Parse([]string{"--lease", "4000", "--metrics-port", "9500"}); err != nil {
		t.Fatal(err)
	}
	environment := map[string]string{"MEDLARWHEEL_EDGE_LEASE": "9000", "MEDLARWHEEL_EDGE_PLACE_MARGIN": "0.1"}
	lookup := func(name string) (string, bool) { v, ok := environment[name]; return v, ok }
	if err := set.Apply(&c, lookup); err != nil {
		t.Fatal(err)
	}
	if c.Node.Owner.Cell.Lease != 4*time.Second || c.Node.Owner.Cell.Interference.PlaceMargin != 0.1 {
		t.Errorf("lease %v, margin %v", c.Node.Owner.Cell.Lease, c.Node.Owner.Cell.Interference.PlaceMargin)
	}
	if c.Node.Site.Metrics != "127.0.0.1:9500" {
		t.Errorf("metrics at %s", c.Node.Site.Metrics)
	}
	environment["MEDLARWHEEL_EDGE_HOLD_WAIT"], environment["MEDLARWHEEL_EDGE_PACE_MARGIN"] = "soon", "7"
	var faults medlarwheel.Faults
	if err := set.Apply(&c, lookup); !errors.As(err, &faults) || len(faults) != 2 {
		t.Errorf("two faults were reported as %v", err)
	}
}

// TestDefaultsAreWithinBounds guards against a default that an operator could not set.
func TestDefaultsAreWithinBounds(t *testing.T) {
	set, c := New(), config()
	for _, s := range set.settings {
		if v := s.get(&c); v < s.Min || v > s.Max {
			t.Errorf("%s: default %g is not in %g to %g", s.Name, v, s.Min, s.Max)
		}
		if !slices.Contains([]string{"ms", "level", "factor", "lines", "port"}, s.Unit) {
			t.Errorf("%s: unit %q", s.Name, s.Unit)
		}
	}
	var out bytes.Buffer
	if err := set.List(&c, &out); err != nil || strings.Count(out.String(), "\n") != len(set.settings) {
		t.Errorf("%q, %v", out.String(), err)
	}
}
