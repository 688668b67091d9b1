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

// TestApplyPrefersFlagsAndReportsAllFaults guards against a given setting that has no effect, against an environment
// variable that overrides a flag, and against invalid values that are reported one at a time.
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
		t.Errorf("got lease %v and place margin %v, want 4s from the flag and 0.1 from the environment",
			c.Node.Owner.Cell.Lease, c.Node.Owner.Cell.Interference.PlaceMargin)
	}
	if c.Node.Settings.Metrics != "127.0.0.1:9500" {
		t.Errorf("got metrics address %s, want 127.0.0.1:9500", c.Node.Settings.Metrics)
	}
	environment["MEDLARWHEEL_EDGE_HOLD_WAIT"], environment["MEDLARWHEEL_EDGE_PACE_MARGIN"] = "soon", "7"
	var faults medlarwheel.Faults
	if err := set.Apply(&c, lookup); !errors.As(err, &faults) || len(faults) != 2 {
		t.Errorf("got %v, want the two faults at once", err)
	}
}

// TestDefaultsAreWithinBounds guards against a default value that an operator could not set.
func TestDefaultsAreWithinBounds(t *testing.T) {
	set, c := New(), config()
	for _, s := range set.settings {
		if v := s.get(&c); v < s.Min || v > s.Max {
			t.Errorf("%s: default %g, want %g to %g", s.Name, v, s.Min, s.Max)
		}
		if !slices.Contains([]string{"ms", "level", "factor", "lines", "port"}, s.Unit) {
			t.Errorf("%s: unknown unit %q", s.Name, s.Unit)
		}
	}
	var out bytes.Buffer
	if err := set.List(&c, &out); err != nil || strings.Count(out.String(), "\n") != len(set.settings) {
		t.Errorf("got list %q and error %v, want one line for each setting", out.String(), err)
	}
}
