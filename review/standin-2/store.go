package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
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

// store is a stand-in of the platform's store: rows with transactions under conditions, paged
// reads and a feed of changes.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	changes []row
	ver     uint64
	changed chan struct{}
	started time.Time
	address string
}

const maxRows = 500

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now(), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.serveTx)
	mux.HandleFunc("GET /api/rows-get", s.serveGet)
	mux.HandleFunc("GET /api/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func rowName(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a database does.
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

// apply stores or removes a row. The caller holds the lock.
func (s *store) apply(r row) {
	if r.Tombstone {
		delete(s.rows, rowName(r.Table, r.Part, r.Key))
	} else {
		s.rows[rowName(r.Table, r.Part, r.Key)] = r
	}
	s.changes = append(s.changes, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes an answer with rows. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, code int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	data, _ := json.Marshal(map[string]any{"rows": rows, "truncated": truncated, "ver": s.ver, "now_ms": time.Since(s.started).Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	failed := false
	for _, e := range tx.Expected {
		now, ok := s.rows[rowName(e.Table, e.Part, e.Key)]
		if ok {
			current = append(current, now)
		}
		failed = failed || now.Ver != e.Ver
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, p := range tx.Puts {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Ver: s.ver})
	}
	for _, p := range tx.Remove {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Ver: s.ver, Tombstone: true})
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows {
		to := q.Get("to")
		if x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (to == "" || x.Key < to) {
			rows = append(rows, x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	truncated := len(rows) > limit
	if truncated {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, truncated)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(waitMS, 30_000))*time.Millisecond + 4*time.Millisecond)
	defer end.Stop()
	for done := false; ; {
		s.mu.Lock()
		var rows []row
		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.Ver > after {
				rows = append(rows, c)
			}
		}
		if len(rows) > 0 || done {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

// cloud is a stand-in of the platform's service that promotes databases.
type cloud struct {
	mu      sync.Mutex
	token   map[string]uint64
	groups  map[string]*group
	record  *record
	address string
}

func newCloud(rec *record) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{token: map[string]uint64{}, groups: map[string]*group{}, record: rec, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", c.servePromote)
	go func() { _ = http.Serve(l, mux) }()
	return c, nil
}

func (c *cloud) servePromote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	code := http.StatusConflict
	g := c.groups[order.Service]
	if g != nil && token >= c.token[order.Service] && g.running(order.ID) {
		c.token[order.Service], code = token, http.StatusOK
		g.promote(order.ID)
	}
	c.record.add("platform", fmt.Sprintf("promote service=%s id=%s holder=%s token=%d answer=%d", order.Service, order.ID, r.Header.Get("X-Lease-Holder"), token, code))
	w.WriteHeader(code)
}

// get calls a control address of a stand-in database.
func get(address, path string) (string, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var b strings.Builder
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			break
		}
	}
	if resp.StatusCode != http.StatusOK {
		return b.String(), fmt.Errorf("status %d", resp.StatusCode)
	}
	return b.String(), nil
}
