package medlarsetting_test

import (
	"errors"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"medlarwheel"
	"medlarwheel/medlarsetting"
)

const (
	fuzzKeyVariable = "MEDLARWHEEL_SYSTEM_KEY"
	fuzzSystemKey   = "0123456789abcdef"
)

// Guards against a setting's value that makes Load panic, that is rejected without its flag or environment variable, or
// that is accepted but not loaded.
func FuzzLoad(f *testing.F) {
	for _, value := range []string{"", "dc-1", "dc-1, dc-2", "127.0.0.1:7000", "[::1%eth0]:1, ", "1s", "-1ns", "5000", "info", fuzzSystemKey, "\x00\xff"} {
		f.Add(value)
	}
	loader := medlarsetting.NewLoader()
	if _, err := loader.Load(func(name string) (string, bool) { return fuzzSystemKey, name == fuzzKeyVariable }); err != nil {
		f.Fatal(err)
	}
	resolved := loader.ResolvedSettings()
	f.Fuzz(func(t *testing.T, value string) {
		for _, setting := range resolved {
			settings, err := medlarsetting.NewLoader().Load(func(name string) (string, bool) {
				if name == setting.Environment {
					return value, true
				}
				return fuzzSystemKey, name == fuzzKeyVariable
			})
			var faults medlarwheel.Faults
			if err == nil {
				requireLoaded(t, setting.Name, value, settings)
			} else if !errors.As(err, &faults) || len(faults) == 0 || faults[0].Path == "" || faults[0].Accepted == "" {
				t.Fatalf("%s: got %v, want Faults with a path and the accepted values", setting.Name, err)
			}
		}
	})
}

func requireLoaded(t *testing.T, name, value string, settings medlarsetting.Settings) {
	t.Helper()
	field := reflect.ValueOf(settings).FieldByNameFunc(func(n string) bool { return strings.EqualFold(n, strings.ReplaceAll(name, "-", "")) })
	var ok bool
	switch got := field.Interface().(type) {
	case time.Duration:
		want, err := time.ParseDuration(value)
		ok = err == nil && got == want
	case int:
		want, err := strconv.Atoi(value)
		ok = err == nil && got == want
	case []string:
		ok = len(got) <= strings.Count(value, ",")+1
	case []medlarwheel.DataCentreID:
		ok = len(got) == strings.Count(value, ",")+1
	default:
		ok = field.String() == value || (name == "advertise-peer" && value == "" && field.String() == settings.ListenPeer)
	}
	if !ok {
		t.Fatalf("%s: value %q is accepted, but %v is loaded", name, value, field)
	}
}
