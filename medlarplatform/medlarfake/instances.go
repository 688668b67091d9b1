package medlarfake

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"medlarwheel"
)

// InstanceRegistry is the platform's list of instances. Readers see a change only after a lag. It is safe for concurrent use.
type InstanceRegistry struct {
	mu      sync.Mutex
	clock   medlarwheel.Clock
	lag     time.Duration
	current medlarwheel.InstanceList
	// published has the published lists from the one that readers see to the present one.
	published []publishedList
}

type publishedList struct {
	publishedAt time.Time
	list        medlarwheel.InstanceList
}

// NewInstanceRegistry returns an empty list of version 0.
func NewInstanceRegistry(clock medlarwheel.Clock, lag time.Duration) *InstanceRegistry {
	return &InstanceRegistry{clock: clock, lag: lag, published: []publishedList{{}}}
}

// SetLag changes the lag for changes that are not visible yet and for later ones.
func (i *InstanceRegistry) SetLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

// List returns the newest list whose changes are all older than the lag.
func (i *InstanceRegistry) List() medlarwheel.InstanceList {
	i.mu.Lock()
	defer i.mu.Unlock()
	visible := i.clock.Now().Add(-i.lag)
	for len(i.published) > 1 && !i.published[1].publishedAt.After(visible) {
		i.published = i.published[1:]
	}
	return i.published[0].list
}

// PutUpstream adds or changes an upstream. Repeating it makes no new version. It returns medlarwheel.ErrStale when the
// listed incarnation is higher.
func (i *InstanceRegistry) PutUpstream(u medlarwheel.Upstream) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	list, err := upsert(i.current.Upstreams, u, upstreamID, func(o medlarwheel.Upstream) bool { return o.Incarnation > u.Incarnation })
	if err == nil && !slices.Equal(list, i.current.Upstreams) {
		i.publish(list, i.current.Entries)
	}
	return err
}

// PutEntry adds or changes an entry instance. Repeating it makes no new version. It returns medlarwheel.ErrStale when the
// listed incarnation is higher.
func (i *InstanceRegistry) PutEntry(e medlarwheel.EntryInstance) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	list, err := upsert(i.current.Entries, e, entryID, func(o medlarwheel.EntryInstance) bool { return o.Incarnation > e.Incarnation })
	if err == nil && !slices.Equal(list, i.current.Entries) {
		i.publish(i.current.Upstreams, list)
	}
	return err
}

// RemoveUpstream removes an upstream if it is listed.
func (i *InstanceRegistry) RemoveUpstream(id medlarwheel.UpstreamID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if list, removed := remove(i.current.Upstreams, id, upstreamID); removed {
		i.publish(list, i.current.Entries)
	}
}

// RemoveEntry removes an entry instance if it is listed.
func (i *InstanceRegistry) RemoveEntry(id medlarwheel.InstanceID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if list, removed := remove(i.current.Entries, id, entryID); removed {
		i.publish(i.current.Upstreams, list)
	}
}

// publish makes a new version. The slices are never changed in place, because readers hold earlier lists.
func (i *InstanceRegistry) publish(upstreams []medlarwheel.Upstream, entries []medlarwheel.EntryInstance) {
	i.current = medlarwheel.InstanceList{Version: i.current.Version + 1, Upstreams: upstreams, Entries: entries}
	i.published = append(i.published, publishedList{publishedAt: i.clock.Now(), list: i.current})
}

func upstreamID(u medlarwheel.Upstream) medlarwheel.UpstreamID { return u.ID }

func entryID(e medlarwheel.EntryInstance) medlarwheel.InstanceID { return e.ID }

// upsert returns a copy of list, which is sorted by id, with value in its place.
func upsert[T any, K cmp.Ordered](list []T, value T, id func(T) K, newer func(T) bool) ([]T, error) {
	at, found := find(list, id(value), id)
	if !found {
		return slices.Insert(slices.Clone(list), at, value), nil
	}
	if newer(list[at]) {
		return nil, medlarwheel.ErrStale
	}
	list = slices.Clone(list)
	list[at] = value
	return list, nil
}

func remove[T any, K cmp.Ordered](list []T, key K, id func(T) K) ([]T, bool) {
	at, found := find(list, key, id)
	if !found {
		return nil, false
	}
	return slices.Delete(slices.Clone(list), at, at+1), true
}

func find[T any, K cmp.Ordered](list []T, key K, id func(T) K) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(v T, k K) int { return cmp.Compare(id(v), k) })
}
