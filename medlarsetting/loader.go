package medlarsetting

import (
	"slices"
	"strings"

	"github.com/spf13/pflag"

	"medlarwheel"
)

// EnvironmentPrefix is the prefix of the name of every environment variable.
const EnvironmentPrefix = "MEDLARWHEEL_"

// Source is the origin of a setting's value.
type Source string

// The sources of a value, from the lowest to the highest precedence.
const (
	SourceDefault     Source = "default"
	SourceEnvironment Source = "environment"
	SourceFlag        Source = "flag"
)

// ResolvedSetting is one setting with its value and source, as it is listed to operators.
type ResolvedSetting struct {
	Name        string `json:"name"`
	Environment string `json:"environment"`
	Value       string `json:"value"`
	Source      Source `json:"source"`
	Help        string `json:"help"`
}

// Loader reads and validates settings. Create one with NewLoader.
type Loader struct {
	settings    Settings
	definitions []definition
	flags       *pflag.FlagSet
	resolved    []ResolvedSetting
}

// LookupEnvironment returns the value of an environment variable, like os.LookupEnv.
type LookupEnvironment func(name string) (string, bool)

// NewLoader returns a loader of the settings of an entry instance.
func NewLoader() *Loader {
	l := &Loader{}
	l.definitions = definitions(&l.settings)
	return l
}

// BindFlags adds a flag for every setting that is not a secret.
func (l *Loader) BindFlags(flags *pflag.FlagSet) *Loader {
	l.flags = flags
	for _, d := range l.definitions {
		if !d.secret {
			flags.String(d.name, d.defaultValue, d.help+" (environment "+environmentName(d.name)+")")
		}
	}
	return l
}

// Load reads and validates every setting. All faults are returned together as medlarwheel.Faults.
func (l *Loader) Load(lookup LookupEnvironment) (Settings, error) {
	var faults medlarwheel.Faults
	l.resolved = l.resolved[:0]
	for _, d := range l.definitions {
		value, source := l.resolve(d, lookup)
		l.resolved = append(l.resolved, newResolvedSetting(d, value, source))
		if accepted, ok := d.parse(value); !ok {
			faults = faults.Add(faultPath(d, source), displayValue(d, value), accepted)
		}
	}
	faults = append(faults, l.checkDataCentres()...)
	if l.settings.AdvertisePeer == "" {
		l.settings.AdvertisePeer = l.settings.ListenPeer
	}
	return l.settings, faults.Err()
}

// ResolvedSettings returns every setting with the value and source that Load has read.
func (l *Loader) ResolvedSettings() []ResolvedSetting { return slices.Clone(l.resolved) }

func (l *Loader) checkDataCentres() medlarwheel.Faults {
	if len(l.settings.DataCentres) == 0 || slices.Contains(l.settings.DataCentres, l.settings.DataCentre) {
		return nil
	}
	return medlarwheel.Faults{{
		Path: "--data-centres", Value: "a list without " + string(l.settings.DataCentre), Accepted: "a list with the value of --data-centre",
	}}
}

func (l *Loader) resolve(d definition, lookup LookupEnvironment) (string, Source) {
	if l.flags != nil && !d.secret && l.flags.Changed(d.name) {
		if value, err := l.flags.GetString(d.name); err == nil {
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
