package medlarrunner

import (
	"slices"
	"strings"
	"sync"

	"medlarwheel"
)

// Entry is what the ledger knows of one request key.
type Entry struct {
	Key medlarwheel.RequestKey `json:"key"`
	// Applied counts how often the key was applied.
	Applied int `json:"applied"`
	// Attempts has the first attempts with this key in order of arrival.
	Attempts []Attempt `json:"attempts"`
}

// Attempt is one arrival of a request key.
type Attempt struct {
	ID medlarwheel.AttemptID `json:"id"`
	// Applied is false for an attempt that was refused because no slot was free.
	Applied bool `json:"applied"`
}

// maxAttemptsPerKey bounds the attempts recorded for one key.
const maxAttemptsPerKey = 16

// Ledger counts how often each request key was applied. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	maxKeys int
	entries map[medlarwheel.RequestKey]*Entry
	dropped int
}

// NewLedger returns an empty ledger for at most limit keys.
func NewLedger(limit int) *Ledger {
	return &Ledger{maxKeys: limit, entries: map[medlarwheel.RequestKey]*Entry{}}
}

// Record counts an arrival of a key and returns how often the key was applied so far.
func (l *Ledger) Record(key medlarwheel.RequestKey, attempt medlarwheel.AttemptID, applied bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.entries[key]
	if !ok {
		if len(l.entries) >= l.maxKeys {
			l.dropped++
			return 0
		}
		e = &Entry{Key: key}
		l.entries[key] = e
	}
	if applied {
		e.Applied++
	}
	if len(e.Attempts) < maxAttemptsPerKey {
		e.Attempts = append(e.Attempts, Attempt{ID: attempt, Applied: applied})
	}
	return e.Applied
}

// Entries returns the entries in order of their keys, and the number of arrivals that did not fit.
func (l *Ledger) Entries() ([]Entry, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := make([]Entry, 0, len(l.entries))
	for _, e := range l.entries {
		entries = append(entries, Entry{Key: e.Key, Applied: e.Applied, Attempts: slices.Clone(e.Attempts)})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return entries, l.dropped
}

// Dropped returns the number of arrivals that did not fit.
func (l *Ledger) Dropped() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
