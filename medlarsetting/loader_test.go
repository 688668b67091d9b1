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
	loader := medlarsetting.NewLoader().BindFlags(flags)
	if err := flags.Parse(arguments); err != nil {
		t.Fatal(err)
	}
	settings, err := loader.Load(func(name string) (string, bool) {
		value, ok := environment[name]
		return value, ok
	})
	return settings, loader, err
}

// Guards against an error that reports only the first of several invalid settings, does not name the flag or environment
// variable, or contains a secret.
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
			t.Errorf("error does not contain %q:\n%s", want, text)
		}
	}
	if strings.Contains(text, "short") {
		t.Error("error contains the value of MEDLARWHEEL_SYSTEM_KEY, which is secret")
	}
}

// Guards against a default or an environment variable that overrides a flag, and a default that overrides an environment
// variable.
func TestFlagOverridesEnvironmentAndDefault(t *testing.T) {
	environment := map[string]string{
		"MEDLARWHEEL_SYSTEM_KEY": "0123456789abcdef", "MEDLARWHEEL_INSTANCE": "from-env", "MEDLARWHEEL_PEER_TIMEOUT": "30ms",
	}
	settings, loader, err := load(t, environment, "--instance", "from-flag")
	if err != nil {
		t.Fatal(err)
	}
	if settings.Instance != "from-flag" || settings.PeerTimeout.String() != "30ms" || settings.MaxBody != 1<<20 {
		t.Fatalf("got %+v, want instance from-flag, peer timeout 30ms and max body %d", settings, 1<<20)
	}
	sources := map[string]medlarsetting.Source{}
	for _, setting := range loader.ResolvedSettings() {
		sources[setting.Name] = setting.Source
	}
	if sources["instance"] != "flag" || sources["peer-timeout"] != "environment" || sources["max-body"] != "default" {
		t.Fatalf("got sources %v, want instance from flag, peer-timeout from environment and max-body from default", sources)
	}
}
