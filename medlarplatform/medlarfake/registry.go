package medlarfake

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"medlarwheel"
)

// InstanceRegistry is the platform's list of instances. Readers see a change only after the lag. It is safe for concurrent
// use.
type InstanceRegistry struct {
	mu      sync.Mutex
	clock   medlarwheel.Clock
	lag     time.Duration
	current medlarwheel.InstanceList
	// published holds the lists from the one that readers see to the current one, oldest first.
	published []publishedList
}

type publishedList struct {
	publishedAt time.Time
	list        medlarwheel.InstanceList
}

// NewInstanceRegistry returns an empty registry of version 0.
func NewInstanceRegistry(clock medlarwheel.Clock, lag time.Duration) *InstanceRegistry {
	return &InstanceRegistry{clock: clock, lag: lag, published: []publishedList{{}}}
}

// SetLag sets the lag, also for changes that are not visible yet.
func (r *InstanceRegistry) SetLag(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = lag
}

// List returns the newest list that was published at least the lag ago.
func (r *InstanceRegistry) List() medlarwheel.InstanceList {
	r.mu.Lock()
	defer r.mu.Unlock()
	visible := r.clock.Now().Add(-r.lag)
	for len(r.published) > 1 && !r.published[1].publishedAt.After(visible) {
		r.published = r.published[1:]
	}
	return r.published[0].list
}

// PutUpstream adds or updates an upstream. An update without a change keeps the version. It returns medlarwheel.ErrStale if
// the listed incarnation is higher.
func (r *InstanceRegistry) PutUpstream(u medlarwheel.Upstream) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, err := upsert(r.current.Upstreams, u, upstreamID, func(o medlarwheel.Upstream) bool { return o.Incarnation > u.Incarnation })
	if err == nil && !slices.Equal(list, r.current.Upstreams) {
		r.publish(list, r.current.Entries)
	}
	return err
}

// PutEntry adds or updates an entry instance. An update without a change keeps the version. It returns
// medlarwheel.ErrStale if the listed incarnation is higher.
func (r *InstanceRegistry) PutEntry(e medlarwheel.EntryInstance) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, err := upsert(r.current.Entries, e, entryID, func(o medlarwheel.EntryInstance) bool { return o.Incarnation > e.Incarnation })
	if err == nil && !slices.Equal(list, r.current.Entries) {
		r.publish(r.current.Upstreams, list)
	}
	return err
}

// RemoveUpstream removes an upstream if it is listed.
func (r *InstanceRegistry) RemoveUpstream(id medlarwheel.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, removed := remove(r.current.Upstreams, id, upstreamID); removed {
		r.publish(list, r.current.Entries)
	}
}

// RemoveEntry removes an entry instance if it is listed.
func (r *InstanceRegistry) RemoveEntry(id medlarwheel.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, removed := remove(r.current.Entries, id, entryID); removed {
		r.publish(r.current.Upstreams, list)
	}
}

// publish adds a new version of the list. The slices are never modified in place, because readers hold earlier lists.
func (r *InstanceRegistry) publish(upstreams []medlarwheel.Upstream, entries []medlarwheel.EntryInstance) {
	r.current = medlarwheel.InstanceList{Version: r.current.Version + 1, Upstreams: upstreams, Entries: entries}
	r.published = append(r.published, publishedList{publishedAt: r.clock.Now(), list: r.current})
}

func upstreamID(u medlarwheel.Upstream) medlarwheel.UpstreamID { return u.ID }

func entryID(e medlarwheel.EntryInstance) medlarwheel.InstanceID { return e.ID }

// upsert returns a copy of list, which is sorted by id, with value inserted or replaced. It returns medlarwheel.ErrStale
// if the listed element is newer.
func upsert[T any, K cmp.Ordered](list []T, value T, id func(T) K, newer func(T) bool) ([]T, error) {
	index, found := find(list, id(value), id)
	if !found {
		return slices.Insert(slices.Clone(list), index, value), nil
	}
	if newer(list[index]) {
		return nil, medlarwheel.ErrStale
	}
	list = slices.Clone(list)
	list[index] = value
	return list, nil
}

func remove[T any, K cmp.Ordered](list []T, key K, id func(T) K) ([]T, bool) {
	index, found := find(list, key, id)
	if !found {
		return nil, false
	}
	return slices.Delete(slices.Clone(list), index, index+1), true
}

func find[T any, K cmp.Ordered](list []T, key K, id func(T) K) (int, bool) {
	return slices.BinarySearchFunc(list, key, func(v T, k K) int { return cmp.Compare(id(v), k) })
}
