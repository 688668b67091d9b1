package medlarfake

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"medlarwheel"
	"medlarwheel/medlarplatform"
)

// Store is the state of the platform in memory. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	version medlarwheel.RowVersion
	rows    map[string]medlarwheel.Row
	// changeLog has the keys in order of their changes. An entry is current when the row still has its version.
	changeLog      []logEntry
	operations     map[medlarwheel.OperationID]result
	operationOrder []medlarwheel.OperationID
	objects        map[string][]byte
}

type logEntry struct {
	version medlarwheel.RowVersion
	key     string
}

// result is the first result of an operation. Conflict is nil when it took effect.
type result struct {
	commit   medlarwheel.Commit
	conflict *medlarwheel.ConflictError
}

func (r result) unpack() (medlarwheel.Commit, error) {
	if r.conflict != nil {
		return medlarwheel.Commit{}, r.conflict
	}
	return r.commit, nil
}

const (
	// maxOperations bounds the remembered operations. At 1,000 writes a second they reach back more than 3 minutes,
	// well beyond the time that a client reads an operation back.
	maxOperations = 200_000
	// logCompactionSlack is the number of outdated log entries that are kept before the log is compacted.
	logCompactionSlack = 4096
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:       map[string]medlarwheel.Row{},
		operations: map[medlarwheel.OperationID]result{},
		objects:    map[string][]byte{},
	}
}

// Transact applies all writes or none. A repeated operation id returns the first result and has no further effect. The
// error is a *medlarwheel.ConflictError or the faults of the transaction.
func (s *Store) Transact(t medlarplatform.Transaction) (medlarwheel.Commit, error) {
	if err := t.Check().Err(); err != nil {
		return medlarwheel.Commit{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, ok := s.operations[t.Operation]; ok {
		return first.unpack()
	}
	r := result{conflict: s.findConflict(t)}
	if r.conflict == nil {
		r.commit = s.apply(t)
	}
	s.recordResult(t.Operation, r)
	return r.unpack()
}

// findConflict returns the rows that have another version than expected, or nil.
func (s *Store) findConflict(t medlarplatform.Transaction) *medlarwheel.ConflictError {
	var rows []medlarwheel.Row
	for _, w := range t.Writes {
		row := s.rows[w.Key]
		if row.Deleted || row.Key == "" {
			row = medlarwheel.Row{Key: w.Key}
		}
		if row.Version != w.ExpectedVersion {
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		return nil
	}
	return &medlarwheel.ConflictError{Operation: t.Operation, Rows: rows}
}

func (s *Store) apply(t medlarplatform.Transaction) medlarwheel.Commit {
	s.version++
	for _, w := range t.Writes {
		s.rows[w.Key] = medlarwheel.Row{
			Key: w.Key, Version: s.version, Value: slices.Clone(w.Value), Deleted: w.Delete,
		}
		s.changeLog = append(s.changeLog, logEntry{version: s.version, key: w.Key})
	}
	if len(s.changeLog) > 2*len(s.rows)+logCompactionSlack {
		s.changeLog = slices.DeleteFunc(s.changeLog, func(c logEntry) bool { return !s.isCurrent(c) })
	}
	return medlarwheel.Commit{Operation: t.Operation, Version: s.version}
}

func (s *Store) isCurrent(c logEntry) bool { return s.rows[c.key].Version == c.version }

func (s *Store) recordResult(op medlarwheel.OperationID, r result) {
	s.operations[op] = r
	s.operationOrder = append(s.operationOrder, op)
	if len(s.operationOrder) > maxOperations {
		delete(s.operations, s.operationOrder[0])
		s.operationOrder = s.operationOrder[1:]
	}
}

// Operation returns the result of an operation, or medlarwheel.ErrNotFound.
func (s *Store) Operation(op medlarwheel.OperationID) (medlarwheel.Commit, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.operations[op]
	if !ok {
		return medlarwheel.Commit{}, medlarwheel.ErrNotFound
	}
	return r.unpack()
}

// Row returns a row, or medlarwheel.ErrNotFound.
func (s *Store) Row(key string) (medlarwheel.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if !ok || row.Deleted {
		return medlarwheel.Row{}, medlarwheel.ErrNotFound
	}
	return row, nil
}

// Changes returns the rows below prefix that changed after a version, in order of their versions, with the tombstones
// of removed rows. A page never splits the rows of one version, so it may exceed limit.
func (s *Store) Changes(prefix string, after medlarwheel.RowVersion, limit int) medlarwheel.ChangePage {
	limit = min(max(limit, 1), medlarplatform.MaxPageRows)
	s.mu.Lock()
	defer s.mu.Unlock()
	start, _ := slices.BinarySearchFunc(s.changeLog, after+1, func(c logEntry, v medlarwheel.RowVersion) int {
		return cmp.Compare(c.version, v)
	})
	page := medlarwheel.ChangePage{Rows: []medlarwheel.Row{}, Next: max(after, s.version)}
	for _, c := range s.changeLog[start:] {
		if !strings.HasPrefix(c.key, prefix) || !s.isCurrent(c) {
			continue
		}
		if n := len(page.Rows); n >= limit && page.Rows[n-1].Version != c.version {
			page.More, page.Next = true, page.Rows[n-1].Version
			break
		}
		page.Rows = append(page.Rows, s.rows[c.key])
	}
	return page
}

// PutObject stores an object.
func (s *Store) PutObject(name string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = slices.Clone(data)
}

// Object returns an object, or medlarwheel.ErrNotFound.
func (s *Store) Object(name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	if !ok {
		return nil, errors.WithMessage(medlarwheel.ErrNotFound, "object "+name)
	}
	return slices.Clone(data), nil
}

// DeleteObject removes an object if it exists.
func (s *Store) DeleteObject(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
}
