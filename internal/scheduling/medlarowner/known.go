package medlarowner

import (
	"sync"
	"time"

	"medlarwheel"
	"medlarwheel/internal/acceptance/medlarsubmission"
)

// knownSubmissions holds the version of the row of each submission that the scheduler knows, and of those whose rows were removed lately: one
// that was finished and forgotten must not be taken in again. A cancellation whose submission was not stored has none. It is safe for
// concurrent use, since a reader of the whole table skips what is known.
type knownSubmissions struct {
	clock    medlarwheel.Clock
	mu       sync.Mutex
	versions map[medlarsubmission.ID]medlarwheel.RowVersion
	// removed holds the versions of removed rows, and removals lists their submissions, oldest first.
	removed  map[medlarsubmission.ID]medlarwheel.RowVersion
	removals []removal
}

type removal struct {
	id      medlarsubmission.ID
	version medlarwheel.RowVersion
	at      time.Time
}

// removedRetention is how long the version of a removed row is kept. A read of the table that began before the removal ends earlier.
const removedRetention = 30 * time.Second

func newKnownSubmissions(clock medlarwheel.Clock) *knownSubmissions {
	return &knownSubmissions{
		clock: clock, versions: map[medlarsubmission.ID]medlarwheel.RowVersion{}, removed: map[medlarsubmission.ID]medlarwheel.RowVersion{},
	}
}

func (k *knownSubmissions) set(id medlarsubmission.ID, version medlarwheel.RowVersion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.versions[id] = version
}

// version returns the version of the row of a submission, or zero if there is none.
func (k *knownSubmissions) version(id medlarsubmission.ID) medlarwheel.RowVersion {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.versions[id]
}

// has reports whether the row of that version is known.
func (k *knownSubmissions) has(id medlarsubmission.ID, version medlarwheel.RowVersion) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return version != 0 && (k.versions[id] == version || k.removed[id] == version)
}

// remove records that the row of that version is removed. A later submission with the same id stays known.
func (k *knownSubmissions) remove(id medlarsubmission.ID, version medlarwheel.RowVersion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.versions[id] == version {
		delete(k.versions, id)
	}
	now := k.clock.Now()
	k.removed[id] = version
	k.removals = append(k.removals, removal{id: id, version: version, at: now})
	for len(k.removals) > 0 && now.Sub(k.removals[0].at) > removedRetention {
		if oldest := k.removals[0]; k.removed[oldest.id] == oldest.version {
			delete(k.removed, oldest.id)
		}
		k.removals = k.removals[1:]
	}
}
