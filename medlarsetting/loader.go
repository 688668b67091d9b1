package medlarsetting

import (
	"slices"
	"strings"

	"github.com/spf13/pflag"

	"medlarwheel"
)

// EnvironmentPrefix begins the name of every environment variable.
const EnvironmentPrefix = "MEDLARWHEEL_"

// Source tells where a value came from.
type Source string

// The sources of a value, from the lowest to the highest precedence.
const (
	SourceDefault     Source = "default"
	SourceEnvironment Source = "environment"
	SourceFlag        Source = "flag"
)

// ResolvedSetting is one setting with its value and source, for the list that an operator sees.
type ResolvedSetting struct {
	Name        string `json:"name"`
	Environment string `json:"environment"`
	Value       string `json:"value"`
	Source      Source `json:"source"`
	Help        string `json:"help"`
}

// Loader reads settings. Use NewSet.
type Loader struct {
	settings    Settings
	definitions []definition
	flags       *pflag.FlagSet
	resolved    []ResolvedSetting
}

// LookupEnvironment returns the value of an environment variable, like os.LookupEnv.
type LookupEnvironment func(name string) (string, bool)

// NewLoader returns a set with every setting of an entry instance.
func NewLoader() *Loader {
	s := &Loader{}
	s.definitions = definitions(&s.settings)
	return s
}

// BindFlags adds a flag for every setting that is not a secret.
func (s *Loader) BindFlags(flags *pflag.FlagSet) *Loader {
	s.flags = flags
	for _, d := range s.definitions {
		if !d.secret {
			flags.String(d.name, d.defaultValue, d.help+" (environment "+environmentName(d.name)+")")
		}
	}
	return s
}

// Load reads and checks every setting. All faults are reported at once as medlarwheel.Faults.
func (s *Loader) Load(lookup LookupEnvironment) (Settings, error) {
	var faults medlarwheel.Faults
	s.resolved = s.resolved[:0]
	for _, d := range s.definitions {
		value, source := s.resolve(d, lookup)
		s.resolved = append(s.resolved, newResolvedSetting(d, value, source))
		if accepted, ok := d.parse(value); !ok {
			faults = faults.Add(faultPath(d, source), displayValue(d, value), accepted)
		}
	}
	faults = append(faults, s.checkDataCentres()...)
	if s.settings.AdvertisePeer == "" {
		s.settings.AdvertisePeer = s.settings.ListenPeer
	}
	return s.settings, faults.Err()
}

// ResolvedSettings lists every setting with its source, as read by Load.
func (s *Loader) ResolvedSettings() []ResolvedSetting { return slices.Clone(s.resolved) }

func (s *Loader) checkDataCentres() medlarwheel.Faults {
	if len(s.settings.DataCentres) == 0 || slices.Contains(s.settings.DataCentres, s.settings.DataCentre) {
		return nil
	}
	return medlarwheel.Faults{{
		Path: "--data-centres", Value: "a list without " + string(s.settings.DataCentre), Accepted: "a list with the value of --data-centre",
	}}
}

func (s *Loader) resolve(d definition, lookup LookupEnvironment) (string, Source) {
	if s.flags != nil && !d.secret && s.flags.Changed(d.name) {
		if value, err := s.flags.GetString(d.name); err == nil {
			return value, SourceFlag
		}
	}
	if value, ok := lookup(environmentName(d.name)); ok {
		return value, SourceEnvironment
	}
	return d.defaultValue, SourceDefault
}

func environmentName(name string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func faultPath(d definition, source Source) string {
	if source == SourceEnvironment || d.secret {
		return environmentName(d.name)
	}
	return "--" + d.name
}

func displayValue(d definition, value string) string {
	if d.secret {
		return "(secret)"
	}
	return "\"" + value + "\""
}

func newResolvedSetting(d definition, value string, source Source) ResolvedSetting {
	if d.secret && value != "" {
		value = "(secret)"
	}
	return ResolvedSetting{Name: d.name, Environment: environmentName(d.name), Value: value, Source: source, Help: d.help}
}
