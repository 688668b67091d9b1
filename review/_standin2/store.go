package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

func (r *row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store: rows, transactions and a feed with its whole history.
type store struct {
	mu      sync.Mutex
	changed chan struct{}
	ver     uint64
	rows    map[rowID]row
	history []row
	started time.Time
}

func newStore() *store {
	return &store{changed: make(chan struct{}), rows: map[rowID]row{}, started: time.Now()}
}

// txTime is how long a transaction takes, and readTime a read (DEPLOY.md, txMs).
const txTime, readTime = 3 * time.Millisecond, time.Millisecond

// Limits of the store (PROTOCOL.md).
const maxPageRows, maxEntries, maxRowBytes = 500, 100, 65536

type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

type transaction struct {
	Precondition []row `json:"precondition"`
	Puts         []row `json:"puts"`
	Remove       []row `json:"remove"`
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(&transaction{Puts: []row{{Table: table, Key: key, Value: data}}})
}

// remove removes a row as the operator or a server does.
func (s *store) remove(table, key string) {
	s.apply(&transaction{Remove: []row{{Table: table, Key: key}}})
}

// get returns the value of a row.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID{table, part, key}].Value
}

// apply carries out a transaction if its preconditions hold. It returns the rows of the preconditions otherwise.
func (s *store) apply(t *transaction) (current []row, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	applied = true
	for _, p := range t.Precondition {
		r, found := s.rows[p.id()]
		applied = applied && r.Ver == p.Ver
		if found {
			current = append(current, r)
		}
	}
	if !applied {
		return current, false
	}
	s.ver++
	for _, r := range t.Puts {
		r.Ver = s.ver
		s.rows[r.id()] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		if _, found := s.rows[r.id()]; found {
			delete(s.rows, r.id())
			s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

func (s *store) answer(w http.ResponseWriter, status int, p page) {
	if p.Rows == nil {
		p.Rows = []row{}
	}
	p.NowMs = time.Since(s.started).Milliseconds()
	reply(w, status, p)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// ServeHTTP serves the calls of PROTOCOL.md that the system makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-tx":
		var t transaction
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Precondition)+len(t.Puts)+len(t.Remove) > maxEntries {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for i := range t.Puts {
			if len(t.Puts[i].Value) > maxRowBytes || t.Puts[i].Table == "op" || t.Puts[i].Table == "servers" {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		time.Sleep(txTime)
		if current, ok := s.apply(&t); !ok {
			s.answer(w, http.StatusPreconditionFailed, page{Rows: current, Ver: s.version()})
			return
		}
		s.answer(w, http.StatusOK, page{Ver: s.version()})
	case "/v1/rows-get":
		time.Sleep(readTime)
		s.serveRows(w, query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to"))
	case "/v1/rows-feed":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveFeed(w, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ver
}

func (s *store) serveRows(w http.ResponseWriter, table, part, from, to string) {
	s.mu.Lock()
	var rows []row
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	ver := s.ver
	s.mu.Unlock()
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	more := len(rows) > maxPageRows
	s.answer(w, http.StatusOK, page{Rows: rows[:min(len(rows), maxPageRows)], HasMore: more, Ver: ver})
}

func (s *store) serveFeed(w http.ResponseWriter, table string, after uint64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		var rows []row
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, r := range s.history[first:] {
			if r.Table == table {
				rows = append(rows, r)
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, page{Rows: rows, Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			s.answer(w, http.StatusOK, page{Ver: ver})
			return
		}
	}
}
