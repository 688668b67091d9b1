package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, from PROTOCOL.md and the settings.
const (
	rowBytes     = 65536
	maxEntries   = 100
	maxBodyBytes = 1 << 20
	pageRows     = 500
	pageBytes    = 1 << 20
	txDuration   = 3 * time.Millisecond
)

// storeRow is a row as it is written on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *storeRow) id() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type storeTx struct {
	Precondition []storeRow `json:"precondition"`
	Puts         []storeRow `json:"puts"`
	Remove       []storeRow `json:"remove"`
}

// store stands in for the platform's store, in table form.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]storeRow
	history map[string][]storeRow
	changed chan struct{}
	started time.Time
	parts   map[string]*sync.Mutex
	// loseWrite says whether a transaction gets no response, and after which time it is carried out.
	loseWrite func(t *storeTx) (after time.Duration, lost bool)
	// onRefusal is called when a transaction exceeds a limit.
	onRefusal func(reason string)
}

func newStore(address string) (*store, error) {
	s := &store{rows: map[rowKey]storeRow{}, history: map[string][]storeRow{}, changed: make(chan struct{}), started: time.Now(), parts: map[string]*sync.Mutex{}}
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.serveTx)
	mux.HandleFunc("GET /v1/rows-get", s.serveGet)
	mux.HandleFunc("GET /v1/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row as the operator and the runners do.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(storeRow{Table: table, Key: key, Value: value})
	s.notify()
}

// drop removes a row as the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.unset(storeRow{Table: table, Key: key})
	s.notify()
}

func (s *store) set(r storeRow) {
	r.Ver = s.ver
	s.rows[r.id()] = r
	s.history[r.Table] = append(s.history[r.Table], r)
}

func (s *store) unset(r storeRow) {
	if _, found := s.rows[r.id()]; found {
		delete(s.rows, r.id())
		s.history[r.Table] = append(s.history[r.Table], storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) writeRows(rw http.ResponseWriter, status int, rows []storeRow, more bool, ver uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(mustJSON(map[string]any{"rows": rows, "hasMore": more, "ver": ver, "nowMs": time.Since(s.started).Milliseconds()}))
}

// partLock returns the lock that makes the transactions of one part take place one after another.
func (s *store) partLock(part string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[part] == nil {
		s.parts[part] = &sync.Mutex{}
	}
	return s.parts[part]
}

func (s *store) serveTx(rw http.ResponseWriter, r *http.Request) {
	var t storeTx
	body := http.MaxBytesReader(rw, r.Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(&t); err != nil {
		s.refuse(rw, "call not readable or above 1 MB")
		return
	}
	entries := slices.Concat(t.Precondition, t.Puts, t.Remove)
	if len(entries) > maxEntries {
		s.refuse(rw, "more than 100 entries")
		return
	}
	for _, p := range t.Puts {
		if len(p.Value) > rowBytes {
			s.refuse(rw, "value of row "+p.Table+"/"+p.Part+"/"+p.Key+" has "+strconv.Itoa(len(p.Value))+" bytes, rowBytes is 65536")
			return
		}
	}
	if s.loseWrite != nil {
		if after, lost := s.loseWrite(&t); lost {
			time.AfterFunc(after, func() { s.apply(&t) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	if len(entries) > 0 {
		lock := s.partLock(entries[0].Part)
		lock.Lock()
		time.Sleep(txDuration)
		lock.Unlock()
	}
	present, conflict, ver := s.apply(&t)
	if conflict {
		s.writeRows(rw, http.StatusPreconditionFailed, present, false, ver)
		return
	}
	s.writeRows(rw, http.StatusOK, nil, false, ver)
}

func (s *store) refuse(rw http.ResponseWriter, reason string) {
	if s.onRefusal != nil {
		s.onRefusal(reason)
	}
	rw.WriteHeader(http.StatusBadRequest)
}

func (s *store) apply(t *storeTx) (present []storeRow, conflict bool, ver uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range t.Precondition {
		stored, found := s.rows[p.id()]
		conflict = conflict || stored.Ver != p.Ver
		if found {
			present = append(present, stored)
		}
	}
	if conflict {
		return present, true, s.ver
	}
	s.ver++
	for _, p := range t.Puts {
		s.set(p)
	}
	for _, p := range t.Remove {
		s.unset(p)
	}
	s.notify()
	return nil, false, s.ver
}

func (s *store) serveGet(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(txDuration)
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []storeRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, row)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	size, n := 0, 0
	for n < len(rows) && n < limit && (n == 0 || size+len(rows[n].Value) <= pageBytes) {
		size += len(rows[n].Value)
		n++
	}
	s.writeRows(rw, http.StatusOK, rows[:n], n < len(rows), ver)
}

func (s *store) serveFeed(rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(txDuration)
	for expired := false; ; {
		s.mu.Lock()
		all := s.history[q.Get("table")]
		i := sort.Search(len(all), func(i int) bool { return all[i].Ver > after })
		rows, ver, changed := slices.Clone(all[i:]), s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || expired {
			s.writeRows(rw, http.StatusOK, rows, false, ver)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
