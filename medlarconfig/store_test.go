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

// Guards against an entry that reverts to an older version when deltas arrive late, twice or out of order. Each entry
// must be at least as new as in a replay of all deltas up to the version of the store, and a delta that would leave a gap
// must be rejected.
func TestStoreNeverRevertsItems(t *testing.T) {
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
		store := medlarconfig.NewStore()
		best := medlarwheel.ConfigVersion(0)
		for range 40 {
			delta := rapid.SampledFrom(past).Draw(t, "delivered")
			_, err := store.Apply(delta)
			if delta.After > best {
				if !errors.Is(err, medlarconfig.ErrVersionGap) {
					t.Fatalf("delta after %d applied to a store at version %d: got %v, want ErrVersionGap", delta.After, best, err)
				}
				continue
			}
			best = max(best, delta.Head)
			if store.Version() != best {
				t.Fatalf("store is at version %d, want %d", store.Version(), best)
			}
			requireNoRevert(t, past, store, best)
		}
	})
}

func requireNoRevert(t *rapid.T, past []medlarwheel.ConfigDelta, store *medlarconfig.Store, version medlarwheel.ConfigVersion) {
	replayed := map[string]medlarwheel.ConfigVersion{}
	for _, delta := range past {
		for _, item := range delta.Items {
			if item.Version <= version && item.Version > replayed[item.Key] {
				replayed[item.Key] = item.Version
			}
		}
	}
	for _, item := range store.Delta(0).Items {
		if item.Version < replayed[item.Key] {
			t.Fatalf("%s reverted to %d, want %d", item.Key, item.Version, replayed[item.Key])
		}
	}
}

// Guards against a lost update by two operators who read the same version: the second must get a conflict that names the
// first as the author.
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
