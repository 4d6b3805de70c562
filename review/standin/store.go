package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is a stand-in of the platform's store. It is always up.
type store struct {
	listener net.Listener
	started  time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	ver     uint64
	changed chan struct{}
}

const callTime = 4 * time.Millisecond

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, started: time.Now(), rows: map[string]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /api/rows-get", s.serveGet)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row on behalf of the operator or of a database.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(row{Table: table, Key: key, Value: data, Ver: s.ver})
}

// get returns the value of a row.
func (s *store) get(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[row{Table: table, Key: key}.id()]
	return r.Value, ok
}

// apply stores or removes a row. The caller holds the lock.
func (s *store) apply(r row) {
	if r.Tombstone {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, code int, rows []row, truncated bool, ver uint64) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "ver": ver, "now_ms": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected, Puts, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(callTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range append(append([]row{}, tx.Puts...), tx.Remove...) {
		if t.Table == "op" || t.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	conflict := false
	for _, e := range tx.Expected {
		now := s.rows[e.id()]
		current = append(current, now)
		conflict = conflict || now.Ver != e.Ver
	}
	if conflict {
		s.reply(w, http.StatusPreconditionFailed, current, false, s.ver)
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver = s.ver
		s.apply(p)
	}
	for _, p := range tx.Remove {
		p.Ver, p.Tombstone, p.Value = s.ver, true, nil
		s.apply(p)
	}
	s.reply(w, http.StatusOK, nil, false, s.ver)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.reply(w, http.StatusOK, rows, truncated, s.ver)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(callTime)
	for over := false; ; {
		s.mu.Lock()
		var rows []row
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				rows = append(rows, h)
			}
		}
		changed, ver := s.changed, s.ver
		if len(rows) > 0 || over {
			s.reply(w, http.StatusOK, rows, false, ver)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-expired:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
