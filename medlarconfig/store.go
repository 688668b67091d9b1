// Package medlarconfig holds the configuration that operators change at run time: templates and client accounts. Each
// item has a version.
//
// An item is replaced only by an item with a higher version. Deltas from the platform's table or from peers may
// therefore arrive late, twice or out of order without reverting an item. Withdrawn items stay as tombstones for the
// same reason.
//
// # Usage
//
//	store := medlarconfig.NewStore()
//	changed, err := store.Apply(delta)
//	snapshot := store.Snapshot() // immutable, for concurrent reads by request handlers
//	template, ok := snapshot.Template("hut-hold")
//
// A change is committed through the platform's table. Plan returns the conditional writes:
//
//	plan, err := medlarconfig.Plan(current, change)
//	commit, err := table.Transact(ctx, operation, plan.Writes)
//
// A Store is not safe for concurrent use; a Snapshot is.
package medlarconfig

import (
	"slices"

	"github.com/pkg/errors"

	"medlarwheel"
)

// ErrVersionGap reports a delta that starts after the version of the store, so that the changes in between would be
// missed.
var ErrVersionGap = errors.New("delta starts after the version of the store")

// Store holds the latest known version of every configuration item.
type Store struct {
	version medlarwheel.ConfigVersion
	items   map[string]medlarwheel.ConfigItem
	loaded  bool
}

// NewStore returns an empty store that is not loaded.
func NewStore() *Store {
	return &Store{items: make(map[string]medlarwheel.ConfigItem)}
}

// Version returns the version up to which the store is complete.
func (s *Store) Version() medlarwheel.ConfigVersion { return s.version }

// IsLoaded reports whether the store has applied a delta from the table or a peer.
func (s *Store) IsLoaded() bool { return s.loaded }

// Apply merges a delta and returns the items that it changed. It returns ErrVersionGap for a delta that would leave a
// gap.
func (s *Store) Apply(delta medlarwheel.ConfigDelta) ([]medlarwheel.ConfigItem, error) {
	if delta.After > s.version {
		return nil, errors.WithMessagef(ErrVersionGap, "store is at version %d, delta starts after version %d",
			s.version, delta.After)
	}
	if err := delta.Check().Err(); err != nil {
		return nil, err
	}
	var changed []medlarwheel.ConfigItem
	for _, item := range delta.Items {
		if item.Version <= s.items[item.Key].Version {
			continue
		}
		s.items[item.Key] = item
		changed = append(changed, item)
	}
	s.version = max(s.version, delta.Head)
	s.loaded = true
	return changed, nil
}

// Delta returns the items changed after a version, ordered by version.
func (s *Store) Delta(after medlarwheel.ConfigVersion) medlarwheel.ConfigDelta {
	return deltaAfter(s.items, s.version, after)
}

func deltaAfter(items map[string]medlarwheel.ConfigItem, version, after medlarwheel.ConfigVersion) medlarwheel.ConfigDelta {
	delta := medlarwheel.ConfigDelta{After: min(after, version), Head: version}
	for _, item := range items {
		if item.Version > after {
			delta.Items = append(delta.Items, item)
		}
	}
	slices.SortFunc(delta.Items, compareVersions)
	return delta
}

// Snapshot returns an immutable copy for concurrent reads by request handlers.
func (s *Store) Snapshot() *Snapshot {
	snapshot := &Snapshot{
		version:   s.version,
		loaded:    s.loaded,
		templates: make(map[medlarwheel.TemplateName]*medlarwheel.Template),
		accounts:  make(map[medlarwheel.AccountID]*medlarwheel.Account),
		items:     make(map[string]medlarwheel.ConfigItem, len(s.items)),
	}
	for key, item := range s.items {
		snapshot.items[key] = item
		switch {
		case item.Withdrawn:
		case item.Template != nil:
			snapshot.templates[item.Template.Name] = item.Template
		case item.Account != nil:
			snapshot.accounts[item.Account.ID] = item.Account
		}
	}
	return snapshot
}

func compareVersions(a, b medlarwheel.ConfigItem) int {
	switch {
	case a.Version < b.Version:
		return -1
	case a.Version > b.Version:
		return 1
	default:
		return 0
	}
}
