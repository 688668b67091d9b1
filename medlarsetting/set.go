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

// Entry is one setting with its value and source, for the list that an operator sees.
type Entry struct {
	Name        string `json:"name"`
	Environment string `json:"environment"`
	Value       string `json:"value"`
	Source      Source `json:"source"`
	Help        string `json:"help"`
}

// Set reads settings. Use NewSet.
type Set struct {
	settings    Settings
	definitions []definition
	flags       *pflag.FlagSet
	entries     []Entry
}

// Lookup returns the value of an environment variable, like os.LookupEnv.
type Lookup func(name string) (string, bool)

// NewSet returns a set with every setting of an entry instance.
func NewSet() *Set {
	s := &Set{}
	s.definitions = definitions(&s.settings)
	return s
}

// Bind adds a flag for every setting that is not a secret.
func (s *Set) Bind(flags *pflag.FlagSet) *Set {
	s.flags = flags
	for _, d := range s.definitions {
		if !d.secret {
			flags.String(d.name, d.defaultValue, d.help+" (environment "+environmentName(d.name)+")")
		}
	}
	return s
}

// Load reads and checks every setting. All faults are reported at once as medlarwheel.Faults.
func (s *Set) Load(lookup Lookup) (Settings, error) {
	var faults medlarwheel.Faults
	s.entries = s.entries[:0]
	for _, d := range s.definitions {
		value, source := s.valueOf(d, lookup)
		s.entries = append(s.entries, entryOf(d, value, source))
		if accepted, ok := d.parse(value); !ok {
			faults = faults.Add(placeOf(d, source), shown(d, value), accepted)
		}
	}
	faults = append(faults, s.checkTogether()...)
	if s.settings.AdvertisePeer == "" {
		s.settings.AdvertisePeer = s.settings.ListenPeer
	}
	return s.settings, faults.Err()
}

// Entries lists every setting with its source, as read by Load.
func (s *Set) Entries() []Entry { return slices.Clone(s.entries) }

func (s *Set) checkTogether() medlarwheel.Faults {
	if len(s.settings.DataCentres) == 0 || slices.Contains(s.settings.DataCentres, s.settings.DataCentre) {
		return nil
	}
	return medlarwheel.Faults{{
		Path: "--data-centres", Value: "a list without " + string(s.settings.DataCentre), Accepted: "a list with the value of --data-centre",
	}}
}

func (s *Set) valueOf(d definition, lookup Lookup) (string, Source) {
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

func placeOf(d definition, source Source) string {
	if source == SourceEnvironment || d.secret {
		return environmentName(d.name)
	}
	return "--" + d.name
}

func shown(d definition, value string) string {
	if d.secret {
		return "(secret)"
	}
	return "\"" + value + "\""
}

func entryOf(d definition, value string, source Source) Entry {
	if d.secret && value != "" {
		value = "(secret)"
	}
	return Entry{Name: d.name, Environment: environmentName(d.name), Value: value, Source: source, Help: d.help}
}
