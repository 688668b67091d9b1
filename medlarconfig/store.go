// Package medlarconfig keeps the contracts between operators and the system: templates and the parameters of client
// accounts, as a book of entries that is merged by version.
//
// An entry is replaced only by an entry of a higher version, so deltas may arrive late, twice or out of order, from the
// platform's table or from peers, and nothing ever reverts. Withdrawn entries stay as markers for the same reason.
//
// # Usage
//
//	book := medlarconfig.NewStore()
//	changed, err := book.Apply(delta)
//	snapshot := book.Snapshot() // immutable, for the traffic path
//	template, ok := snapshot.Template("hut-hold")
//
// A change is committed through the table. Plan gives the conditional writes:
//
//	plan, err := medlarconfig.Plan(current, change)
//	commit, err := table.Transact(ctx, operation, plan.Writes)
//
// A Book is not safe for concurrent use; a Snapshot is.
package medlarconfig

import (
	"slices"

	"github.com/pkg/errors"

	"medlarwheel"
)

// ErrVersionGap reports a delta that starts after the version of the book, so that changes between would be missed.
var ErrVersionGap = errors.New("delta starts after the version of the book")

// Store holds the latest known version of every configuration entry.
type Store struct {
	version medlarwheel.ConfigVersion
	items   map[string]medlarwheel.ConfigItem
	loaded  bool
}

// NewStore returns an empty book that is not loaded yet.
func NewStore() *Store {
	return &Store{items: make(map[string]medlarwheel.ConfigItem)}
}

// Version returns the version up to which the book is complete.
func (b *Store) Version() medlarwheel.ConfigVersion { return b.version }

// IsLoaded reports whether the book has been filled from the table or a peer.
func (b *Store) IsLoaded() bool { return b.loaded }

// Apply merges a delta and returns the entries that it changed. It refuses a delta that would leave a gap.
func (b *Store) Apply(delta medlarwheel.ConfigDelta) ([]medlarwheel.ConfigItem, error) {
	if delta.After > b.version {
		return nil, errors.WithMessagef(ErrVersionGap, "book at %d, delta after %d", b.version, delta.After)
	}
	if err := delta.Check().Err(); err != nil {
		return nil, err
	}
	var changed []medlarwheel.ConfigItem
	for _, item := range delta.Items {
		if item.Version <= b.items[item.Key].Version {
			continue
		}
		b.items[item.Key] = item
		changed = append(changed, item)
	}
	b.version = max(b.version, delta.Head)
	b.loaded = true
	return changed, nil
}

// Delta returns the entries changed after a version, in order of their versions.
func (b *Store) Delta(after medlarwheel.ConfigVersion) medlarwheel.ConfigDelta {
	return deltaAfter(b.items, b.version, after)
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

// Snapshot returns an immutable copy for the traffic path.
func (b *Store) Snapshot() *Snapshot {
	s := &Snapshot{
		version:   b.version,
		loaded:    b.loaded,
		templates: make(map[medlarwheel.TemplateName]*medlarwheel.Template),
		accounts:  make(map[medlarwheel.AccountID]*medlarwheel.Account),
		items:     make(map[string]medlarwheel.ConfigItem, len(b.items)),
	}
	for key, item := range b.items {
		s.items[key] = item
		switch {
		case item.Withdrawn:
		case item.Template != nil:
			s.templates[item.Template.Name] = item.Template
		case item.Account != nil:
			s.accounts[item.Account.ID] = item.Account
		}
	}
	return s
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
