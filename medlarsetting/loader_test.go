package medlarsetting_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/spf13/pflag"

	"medlarwheel"
	"medlarwheel/medlarsetting"
)

func load(t *testing.T, environment map[string]string, arguments ...string) (medlarsetting.Settings, *medlarsetting.Loader, error) {
	t.Helper()
	flags := pflag.NewFlagSet("test", pflag.ContinueOnError)
	set := medlarsetting.NewLoader().BindFlags(flags)
	if err := flags.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	settings, err := set.Load(func(name string) (string, bool) {
		value, ok := environment[name]
		return value, ok
	})
	return settings, set, err
}

// Guards against a start that stops at the first bad setting, or that prints a secret.
func TestLoadReportsEveryBadSettingWithItsSource(t *testing.T) {
	environment := map[string]string{
		"MEDLARWHEEL_SYSTEM_KEY": "short", "MEDLARWHEEL_PEER_TIMEOUT": "1h", "MEDLARWHEEL_DATA_CENTRE": "dc-9",
	}
	_, _, err := load(t, environment, "--listen", "localhost:1", "--max-body", "-1")
	var faults medlarwheel.Faults
	if !errors.As(err, &faults) || len(faults) != 5 {
		t.Fatalf("got %v, want 5 faults", err)
	}
	text := err.Error()
	for _, want := range []string{"--listen", "MEDLARWHEEL_SYSTEM_KEY", "MEDLARWHEEL_PEER_TIMEOUT", "--max-body", "5ms to 5s", "--data-centres"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	if strings.Contains(text, "short") {
		t.Error("the message shows a secret")
	}
}

// Guards against a wrong order of flag, environment and default.
func TestFlagOverridesEnvironmentAndDefault(t *testing.T) {
	environment := map[string]string{
		"MEDLARWHEEL_SYSTEM_KEY": "0123456789abcdef", "MEDLARWHEEL_INSTANCE": "from-env", "MEDLARWHEEL_PEER_TIMEOUT": "30ms",
	}
	settings, set, err := load(t, environment, "--instance", "from-flag")
	if err != nil {
		t.Fatal(err)
	}
	if settings.Instance != "from-flag" || settings.PeerTimeout.String() != "30ms" || settings.MaxBody != 1<<20 {
		t.Fatalf("got %+v", settings)
	}
	sources := map[string]medlarsetting.Source{}
	for _, entry := range set.ResolvedSettings() {
		sources[entry.Name] = entry.Source
	}
	if sources["instance"] != "flag" || sources["peer-timeout"] != "environment" || sources["max-body"] != "default" {
		t.Fatalf("got %v", sources)
	}
}
