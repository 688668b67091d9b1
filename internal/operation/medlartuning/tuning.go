// Package medlartuning lists the settings of an instance that an operator may change, with unit, range and default, reads
// them from flags and environment, and checks them.
//
// The defaults are those of the configurations that they change, limited by the platform's settings file.
//
// # Usage
//
//	set := medlartuning.New()
//	set.Bind(command.Flags())
//	err := set.Apply(&config, os.LookupEnv)
package medlartuning

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"medlarwheel"
	"medlarwheel/internal/operation/medlarlog"
	"medlarwheel/internal/operation/medlarnode"
)

// environmentPrefix is the prefix of each setting's environment variable.
const environmentPrefix = "MEDLARWHEEL_EDGE_"

// Config holds the configurations that the settings change.
type Config struct {
	Node medlarnode.Config
	Log  medlarlog.Config
}

// Setting is one setting.
type Setting struct {
	Name, Unit, Help string
	// Min and Max are the bounds of the value in its unit.
	Min, Max float64
	get      func(*Config) float64
	set      func(*Config, float64)
}

// Set holds all settings and the values given by flags.
type Set struct {
	settings   []Setting
	flagValues map[string]*string
}

// New returns a set without values.
func New() *Set { return &Set{settings: allSettings(), flagValues: map[string]*string{}} }

func durationSetting(name, help string, low, high float64, field func(*Config) *time.Duration) Setting {
	return Setting{
		Name: name, Unit: "ms", Help: help, Min: low, Max: high,
		get: func(c *Config) float64 { return float64(*field(c)) / float64(time.Millisecond) },
		set: func(c *Config, v float64) { *field(c) = time.Duration(v * float64(time.Millisecond)) },
	}
}

func numberSetting(name, unit, help string, low, high float64, field func(*Config) *float64) Setting {
	return Setting{
		Name: name, Unit: unit, Help: help, Min: low, Max: high,
		get: func(c *Config) float64 { return *field(c) },
		set: func(c *Config, v float64) { *field(c) = v },
	}
}

func allSettings() []Setting {
	return []Setting{
		durationSetting("lease", "how long a worker keeps its tasks running without a renewal by its owner", 1000, 60000,
			func(c *Config) *time.Duration { return &c.Node.Owner.Cell.Lease }),
		durationSetting("lease-tail", "how far a lease may extend beyond the time for which the owner may give orders", 500, 60000,
			func(c *Config) *time.Duration { return &c.Node.Owner.Cell.LeaseTail }),
		durationSetting("hold-wait", "how long a worker may wait for a task to end before it responds to a renewal", 100, 2000,
			func(c *Config) *time.Duration { return &c.Node.Owner.Cell.RenewalWait }),
		durationSetting("order-timeout", "timeout of one order to a worker", 50, 5000,
			func(c *Config) *time.Duration { return &c.Node.OrderTimeout }),
		durationSetting("store-timeout", "timeout of one call to the platform's table", 100, 10000,
			func(c *Config) *time.Duration { return &c.Node.StoreTimeout }),
		durationSetting("flush-interval", "minimum interval between two writes of records", 0, 1000,
			func(c *Config) *time.Duration { return &c.Node.Owner.FlushInterval }),
		numberSetting("place-margin", "level", "how far below the utilisation of its tail target a serving task must stay when best-effort tasks are placed", -0.5, 0.5,
			func(c *Config) *float64 { return &c.Node.Owner.Cell.Interference.PlaceMargin }),
		numberSetting("pace-margin", "level", "the same when the CPU throttle of best-effort tasks is set", -0.5, 0.5,
			func(c *Config) *float64 { return &c.Node.Owner.Cell.Interference.PaceMargin }),
		numberSetting("short-headroom", "factor", "capacity reserved for short urgent tasks, as a multiple of their recent peak use", 0, 10,
			func(c *Config) *float64 { return &c.Node.Owner.Cell.Load.ReserveFactor }),
		numberSetting("late-factor", "factor", "multiple of its objective after which a submission is no longer worth running", 1, 100,
			func(c *Config) *float64 { return &c.Node.Owner.Cell.HardDeadlineFactor }),
		{
			Name: "metrics-port", Unit: "port", Help: "port of the metrics endpoint; must be the one in the deploy file", Min: 1, Max: 65535,
			get: func(c *Config) float64 {
				address, err := netip.ParseAddrPort(c.Node.Settings.Metrics)
				if err != nil {
					// The decoding of the settings file has checked the address.
					return 0
				}
				return float64(address.Port())
			},
			set: func(c *Config, v float64) {
				host, _, err := net.SplitHostPort(c.Node.Settings.Metrics)
				if err != nil {
					// The decoding of the settings file has checked the address.
					return
				}
				c.Node.Settings.Metrics = net.JoinHostPort(host, strconv.Itoa(int(v)))
			},
		},
		{
			Name: "log-lines-per-second", Unit: "lines", Help: "maximum log lines per second; further lines are dropped and counted", Min: 1, Max: 100000,
			get: func(c *Config) float64 { return float64(c.Log.LinesPerSecond) },
			set: func(c *Config, v float64) { c.Log.LinesPerSecond = int(v) },
		},
	}
}

// Bind adds a flag for each setting.
func (s *Set) Bind(flags *pflag.FlagSet) {
	for _, setting := range s.settings {
		s.flagValues[setting.Name] = flags.String(setting.Name, "", fmt.Sprintf("%s, in %s, %g to %g (environment %s)",
			setting.Help, setting.Unit, setting.Min, setting.Max, environmentVariable(setting.Name)))
	}
}

func environmentVariable(name string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

// Apply sets the given values in c, flags before environment variables, and reports all invalid values at once.
func (s *Set) Apply(c *Config, lookup func(string) (string, bool)) error {
	var faults medlarwheel.Faults
	for _, setting := range s.settings {
		text := ""
		if flag := s.flagValues[setting.Name]; flag != nil {
			text = *flag
		}
		if text == "" {
			text, _ = lookup(environmentVariable(setting.Name))
		}
		if text == "" {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || value < setting.Min || value > setting.Max {
			faults = faults.Add(setting.Name, text, fmt.Sprintf("%g to %g %s", setting.Min, setting.Max, setting.Unit))
			continue
		}
		setting.set(c, value)
	}
	return faults.Err()
}

// List writes all settings with their values in c.
func (s *Set) List(c *Config, out io.Writer) error {
	for _, setting := range s.settings {
		if _, err := fmt.Fprintf(out, "%-22s %8g %-7s %6g to %-7g %s\n", setting.Name, setting.get(c), setting.Unit, setting.Min,
			setting.Max, setting.Help); err != nil {
			return err
		}
	}
	return nil
}
