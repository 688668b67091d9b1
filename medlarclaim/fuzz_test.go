package medlarclaim_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// Guards against a key that is accepted out of its bounds, and against parts that are not in the text of the key.
func FuzzParseKey(f *testing.F) {
	for _, key := range []string{"", "plain", "dc-1:rest", "dc-1:1700000000000:rest", "dc-1:+5:x", ":", "a:999999999999999:", "DC:1:2", "\x7f", strings.Repeat("k", 201)} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, key string) {
		parts, faults := medlarclaim.ParseKey(medlarwheel.RequestKey(key))
		allowed := len(key) >= 1 && len(key) <= 200 && !strings.ContainsFunc(key, func(r rune) bool { return r < '!' || r > '~' })
		if allowed != (len(faults) == 0) {
			t.Fatalf("key %q allowed %v, faults %v", key, allowed, faults)
		}
		if len(faults) > 0 {
			if faults[0].Path == "" || parts != (medlarclaim.KeyParts{}) {
				t.Fatalf("refused key %q gave %+v and %+v", key, parts, faults)
			}
			return
		}
		fields := strings.SplitN(key, ":", 3)
		if home := string(parts.HomeDataCentre); home != "" && (len(fields) < 2 || fields[0] != home || len(medlarwheel.CheckName("home", home)) > 0) {
			t.Fatalf("key %q has home %q", key, home)
		}
		if parts.CreatedAt.IsZero() {
			return
		}
		if ms, err := strconv.ParseInt(fields[1], 10, 64); err != nil || len(fields) < 3 || ms != parts.CreatedAt.UnixMilli() || parts.HomeDataCentre == "" {
			t.Fatalf("key %q has creation time %v", key, parts.CreatedAt)
		}
	})
}

// Guards against a home that is not a known data centre, differs from the one that the key names, or depends on the order
// in which an instance lists the data centres.
func FuzzHomeDataCentre(f *testing.F) {
	f.Add("dc-1:rest", "dc-2,dc-1")
	f.Add("plain", "dc-1,dc-2,dc-3")
	f.Add("dc-9:1:x", "")
	f.Add("\xff", "dc-1,dc-1")
	f.Fuzz(func(t *testing.T, text, list string) {
		key := medlarwheel.RequestKey(text)
		var known []medlarwheel.DataCentreID
		for _, name := range strings.FieldsFunc(list, func(r rune) bool { return r == ',' }) {
			known = append(known, medlarwheel.DataCentreID(name))
		}
		home := medlarclaim.HomeDataCentre(key, known)
		if (home == "") != (len(known) == 0) || (home != "" && !slices.Contains(known, home)) {
			t.Fatalf("home %q of %v", home, known)
		}
		if parts, _ := medlarclaim.ParseKey(key); slices.Contains(known, parts.HomeDataCentre) && home != parts.HomeDataCentre {
			t.Fatalf("home %q, the key names %q", home, parts.HomeDataCentre)
		}
		slices.Reverse(known)
		if other := medlarclaim.HomeDataCentre(key, known); other != home {
			t.Fatalf("home %q, in reverse order %q", home, other)
		}
	})
}
