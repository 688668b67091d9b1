package medlarconfig_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"medlarwheel"
	"medlarwheel/medlarconfig"
)

func withdrawnItem(key string, version medlarwheel.ConfigVersion) medlarwheel.ConfigItem {
	return medlarwheel.ConfigItem{Key: key, Version: version, Author: "op", Withdrawn: true}
}

// Guards against a book that reverts when deltas arrive late, twice or out of order: it must always equal the naive
// replay of the full history up to its version.
func TestStoreNeverRevertsEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := []string{"template/a", "template/b", "account/c"}
		length := rapid.IntRange(1, 20).Draw(t, "history")
		history := medlarconfig.NewStore()
		var past []medlarwheel.ConfigDelta
		for v := range length {
			version := medlarwheel.ConfigVersion(v + 1)
			key := rapid.SampledFrom(keys).Draw(t, "key")
			delta := medlarwheel.ConfigDelta{After: version - 1, Head: version, Items: []medlarwheel.ConfigItem{withdrawnItem(key, version)}}
			if _, err := history.Apply(delta); err != nil {
				t.Fatal(err)
			}
			past = append(past, history.Delta(medlarwheel.ConfigVersion(rapid.IntRange(0, v).Draw(t, "after"))))
		}
		book := medlarconfig.NewStore()
		best := medlarwheel.ConfigVersion(0)
		for range 40 {
			delta := rapid.SampledFrom(past).Draw(t, "delivered")
			_, err := book.Apply(delta)
			if delta.After > best {
				if !errors.Is(err, medlarconfig.ErrVersionGap) {
					t.Fatalf("gap accepted: %v", err)
				}
				continue
			}
			best = max(best, delta.Head)
			if book.Version() != best {
				t.Fatalf("version %d, want %d", book.Version(), best)
			}
			requireNoRevert(t, past, book, best)
		}
	})
}

func requireNoRevert(t *rapid.T, past []medlarwheel.ConfigDelta, book *medlarconfig.Store, version medlarwheel.ConfigVersion) {
	naive := map[string]medlarwheel.ConfigVersion{}
	for _, delta := range past {
		for _, item := range delta.Items {
			if item.Version <= version && item.Version > naive[item.Key] {
				naive[item.Key] = item.Version
			}
		}
	}
	for _, item := range book.Delta(0).Items {
		if item.Version < naive[item.Key] {
			t.Fatalf("%s reverted to %d, want %d", item.Key, item.Version, naive[item.Key])
		}
	}
}

// Guards against a lost update: of two operators who saw the same version, the second gets a conflict naming the first.
func TestPlanConflictNamesTheCommittedChange(t *testing.T) {
	first := medlarconfig.Change{Author: "first", Key: "template/a", Withdrawn: true}
	plan, err := medlarconfig.Plan(medlarconfig.CurrentRows{}, first)
	if err != nil {
		t.Fatal(err)
	}
	current := medlarconfig.CurrentRows{
		Head: medlarwheel.Row{Key: medlarconfig.HeadKey, Version: 7, Value: plan.Writes[0].Value},
		Item: medlarwheel.Row{Key: "config/template/a", Version: 7, Value: plan.Writes[1].Value},
	}
	second := medlarconfig.Change{Author: "second", Key: "template/a", ExpectedVersion: 9, Withdrawn: true}
	_, err = medlarconfig.Plan(current, second)
	var conflict *medlarconfig.VersionConflict
	if !errors.As(err, &conflict) || conflict.Author != "first" || conflict.Actual != 1 {
		t.Fatalf("got %v, want a conflict with version 1 by first", err)
	}
}
