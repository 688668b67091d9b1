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

// Guards against a panic on a setting's value, and against a value that is neither refused with its place nor in force.
func FuzzLoad(f *testing.F) {
	for _, value := range []string{"", "dc-1", "dc-1, dc-2", "127.0.0.1:7000", "[::1%eth0]:1, ", "1s", "-1ns", "5000", "info", fuzzSystemKey, "\x00\xff"} {
		f.Add(value)
	}
	set := medlarsetting.NewLoader()
	if _, err := set.Load(func(name string) (string, bool) { return fuzzSystemKey, name == fuzzKeyVariable }); err != nil {
		f.Fatal(err)
	}
	entries := set.ResolvedSettings()
	f.Fuzz(func(t *testing.T, value string) {
		for _, entry := range entries {
			settings, err := medlarsetting.NewLoader().Load(func(name string) (string, bool) {
				if name == entry.Environment {
					return value, true
				}
				return fuzzSystemKey, name == fuzzKeyVariable
			})
			var faults medlarwheel.Faults
			if err == nil {
				requireLoaded(t, entry.Name, value, settings)
			} else if !errors.As(err, &faults) || len(faults) == 0 || faults[0].Path == "" || faults[0].Accepted == "" {
				t.Fatalf("%s: got %v, want Faults", entry.Name, err)
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
		t.Fatalf("%s: value %q is accepted, but %v is in force", name, value, field)
	}
}
