package medlarfake

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlarplatform"
)

// The seed is fixed for CI; the flag -rapid.seed overrides it. Failures print it.
func init() { _ = flag.Set("rapid.seed", "7") }

// Guards against pages that leave out, repeat or reorder changes, or split the rows of one transaction: pages read with
// any limit must add up to what a scan of all rows finds.
func TestChangesMatchScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewStore()
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for i := range steps {
			key := rapid.SampledFrom([]string{"a/1", "a/2", "a/3", "b/1"}).Draw(t, "key")
			w := []medlarwheel.Write{{Key: key, ExpectedVersion: s.rows[key].Version, Value: json.RawMessage("1")}}
			if s.rows[key].Deleted {
				w[0].ExpectedVersion = 0
			} else if w[0].ExpectedVersion > 0 && rapid.Bool().Draw(t, "delete") {
				w[0].Delete, w[0].Value = true, nil
			}
			if other := "a/9"; rapid.Bool().Draw(t, "two") {
				w = append(w, medlarwheel.Write{Key: other, ExpectedVersion: s.rows[other].Version, Value: json.RawMessage("2")})
			}
			op := medlarwheel.OperationID(fmt.Sprint(i))
			if _, err := s.Transact(medlarplatform.Transaction{Operation: op, Writes: w}); err != nil {
				t.Fatal(err)
			}
		}
		after := medlarwheel.RowVersion(rapid.IntRange(0, steps).Draw(t, "after"))
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		var want, got []medlarwheel.Row
		for key, row := range s.rows {
			if strings.HasPrefix(key, "a/") && row.Version > after {
				want = append(want, row)
			}
		}
		for page := s.Changes("a/", after, limit); ; page = s.Changes("a/", page.Next, limit) {
			got = append(got, page.Rows...)
			if !page.More {
				break
			}
		}
		if !slices.IsSortedFunc(got, func(a, b medlarwheel.Row) int { return cmp.Compare(a.Version, b.Version) }) {
			t.Errorf("not in order of versions: %v", got)
		}
		byKey := func(a, b medlarwheel.Row) int { return strings.Compare(a.Key, b.Key) }
		slices.SortFunc(got, byKey)
		slices.SortFunc(want, byKey)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("pages have %v, scan has %v", got, want)
		}
	})
}

// Guards against a repeated operation id taking effect again or getting another result, and against partial
// application.
func TestRepeatedOperationReturnsFirstResult(t *testing.T) {
	s := NewStore()
	one := medlarplatform.Transaction{Operation: "o1", Writes: []medlarwheel.Write{{Key: "k", Value: json.RawMessage("1")}}}
	two := medlarplatform.Transaction{Operation: "o2", Writes: []medlarwheel.Write{
		{Key: "other", Value: json.RawMessage("1")}, {Key: "k", Value: json.RawMessage("2")},
	}}
	first, err := s.Transact(one)
	if err != nil {
		t.Fatal(err)
	}
	var conflict *medlarwheel.ConflictError
	if _, err := s.Transact(two); !errors.As(err, &conflict) || conflict.Rows[0].Key != "k" {
		t.Errorf("second writer: %v, want a conflict on k", err)
	}
	if _, err := s.Row("other"); !errors.Is(err, medlarwheel.ErrNotFound) {
		t.Errorf("row of a failed transaction: %v, want not found", err)
	}
	removal := []medlarwheel.Write{{Key: "k", ExpectedVersion: first.Version, Delete: true}}
	if _, err := s.Transact(medlarplatform.Transaction{Operation: "o3", Writes: removal}); err != nil {
		t.Fatal(err)
	}
	if again, err := s.Transact(one); err != nil || again != first {
		t.Errorf("repeated: %v, %v; want the first result", again, err)
	}
	if _, err := s.Transact(two); !errors.As(err, &conflict) {
		t.Errorf("repeated conflict: %v, want the same conflict", err)
	}
	if _, err := s.Row("k"); !errors.Is(err, medlarwheel.ErrNotFound) {
		t.Errorf("removed row came back: %v", err)
	}
}
