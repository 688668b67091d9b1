package medlarclaim_test

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"medlarwheel"
	"medlarwheel/medlarclaim"
)

// Guards against keys that are accepted outside their bounds, and against parts that do not occur in the text of the
// key. Both come about when the cuts at the colons and the checks of the prefixes disagree.
func FuzzParseKey(f *testing.F) {
	for _, key := range []string{"", "plain", "dc-1:rest", "dc-1:1700000000000:rest", "dc-1:+5:x", ":", "a:999999999999999:", "DC:1:2", "\x7f", strings.Repeat("k", 201)} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, key string) {
		parts, faults := medlarclaim.ParseKey(medlarwheel.RequestKey(key))
		allowed := len(key) >= 1 && len(key) <= 200 && !strings.ContainsFunc(key, func(r rune) bool { return r < '!' || r > '~' })
		if allowed != (len(faults) == 0) {
			t.Fatalf("key %q: allowed %v, but faults %v", key, allowed, faults)
		}
		if len(faults) > 0 {
			if faults[0].Path == "" || parts != (medlarclaim.KeyParts{}) {
				t.Fatalf("refused key %q: got parts %+v and faults %+v, want no parts and a fault with a path", key, parts, faults)
			}
			return
		}
		fields := strings.SplitN(key, ":", 3)
		if home := string(parts.HomeDataCentre); home != "" && (len(fields) < 2 || fields[0] != home || len(medlarwheel.CheckName("home", home)) > 0) {
			t.Fatalf("key %q: got home %q, want the valid name before the first colon", key, home)
		}
		if parts.CreatedAt.IsZero() {
			return
		}
		if ms, err := strconv.ParseInt(fields[1], 10, 64); err != nil || len(fields) < 3 || ms != parts.CreatedAt.UnixMilli() || parts.HomeDataCentre == "" {
			t.Fatalf("key %q: got creation time %v, want the milliseconds between the colons", key, parts.CreatedAt)
		}
	})
}

// Guards against a home that is not a known data centre or differs from the one that the key names, and against
// instances that choose different homes for a key because they list the data centres in different orders.
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
			t.Fatalf("key %q: got home %q, want one of %v", text, home, known)
		}
		if parts, _ := medlarclaim.ParseKey(key); slices.Contains(known, parts.HomeDataCentre) && home != parts.HomeDataCentre {
			t.Fatalf("key %q: got home %q, want %q as the key names it", text, home, parts.HomeDataCentre)
		}
		slices.Reverse(known)
		if other := medlarclaim.HomeDataCentre(key, known); other != home {
			t.Fatalf("key %q: got home %q, and %q with the data centres in reverse order", text, home, other)
		}
	})
}
