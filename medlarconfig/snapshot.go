package medlarconfig

import (
	"slices"

	"medlarwheel"
)

// Snapshot is an immutable copy of a Store. The nil Snapshot is empty and not loaded.
type Snapshot struct {
	version   medlarwheel.ConfigVersion
	loaded    bool
	templates map[medlarwheel.TemplateName]*medlarwheel.Template
	accounts  map[medlarwheel.AccountID]*medlarwheel.Account
	items     map[string]medlarwheel.ConfigItem
}

// Version returns the version up to which the snapshot is complete.
func (s *Snapshot) Version() medlarwheel.ConfigVersion {
	if s == nil {
		return 0
	}
	return s.version
}

// IsLoaded reports whether the store was loaded when the snapshot was taken.
func (s *Snapshot) IsLoaded() bool { return s != nil && s.loaded }

// Template returns the current template with the name.
func (s *Snapshot) Template(name medlarwheel.TemplateName) (*medlarwheel.Template, bool) {
	if s == nil {
		return nil, false
	}
	t, ok := s.templates[name]
	return t, ok
}

// Account returns the current client account with the id.
func (s *Snapshot) Account(id medlarwheel.AccountID) (*medlarwheel.Account, bool) {
	if s == nil {
		return nil, false
	}
	a, ok := s.accounts[id]
	return a, ok
}

// Item returns the item with the key, including a withdrawn one.
func (s *Snapshot) Item(key string) (medlarwheel.ConfigItem, bool) {
	if s == nil {
		return medlarwheel.ConfigItem{}, false
	}
	item, ok := s.items[key]
	return item, ok
}

// Items returns every item that is not withdrawn, ordered by key.
func (s *Snapshot) Items() []medlarwheel.ConfigItem {
	if s == nil {
		return nil
	}
	items := make([]medlarwheel.ConfigItem, 0, len(s.items))
	for _, item := range s.items {
		if !item.Withdrawn {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b medlarwheel.ConfigItem) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return items
}

// Templates returns the current templates, ordered by name.
func (s *Snapshot) Templates() []*medlarwheel.Template {
	var templates []*medlarwheel.Template
	for _, item := range s.Items() {
		if item.Template != nil {
			templates = append(templates, item.Template)
		}
	}
	return templates
}

// Delta returns the items changed after a version, ordered by version.
func (s *Snapshot) Delta(after medlarwheel.ConfigVersion) medlarwheel.ConfigDelta {
	return deltaAfter(s.items, s.version, after)
}
