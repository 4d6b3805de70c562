package main

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// groupSettings describe a service: a primary and its replicas.
type groupSettings struct {
	name  string
	zones []string // one database in each, the first one is the primary
	slots int
	// connections is the limit of each database.
	connections  int
	syncReplicas int
	// work is the mean time of a statement, readWork that of a read outside of a plain
	// transaction, connect that of a new connection.
	work, readWork, connect time.Duration
	// lag is the time from a commit until a replica has received and applied it.
	lag     time.Duration
	promote time.Duration
}

// entry is a commit in the log.
type entry struct {
	ids    []string
	writes []string // item and data
}

// group is a stand-in of one service.
type group struct {
	groupSettings
	rec *recorder

	mu        sync.Mutex
	received  *sync.Cond // a replica has received an entry
	log       []entry
	term      int
	termStart map[int]int // length of the log at the start of each term
	fence     uint64
	primary   *database
	databases []*database
	runs      []run
}

// run is a statement that a database has run, or the end of a transaction.
type run struct {
	database, conn string
	tx             int // number of the transaction on the connection; 0 outside
	id, text       string
}

// database is one server of a group.
type database struct {
	id, zone string
	g        *group
	listener net.Listener
	slots    chan struct{}

	// Guarded by the lock of the group.
	held     int // entries of the log that it has received
	deafFrom int // receives nothing after this many entries; -1: receives all
	down     bool
	born     int64
	conns    map[net.Conn]bool
	nextConn int
	waiting  int
}

func newGroup(s groupSettings, rec *recorder) (*group, error) {
	g := &group{groupSettings: s, rec: rec, term: 3, termStart: map[int]int{3: 0}}
	g.received = sync.NewCond(&g.mu)
	for i, zone := range s.zones {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &database{id: fmt.Sprintf("i-%s-%d", s.name, i), zone: zone, g: g, listener: l, slots: make(chan struct{}, s.slots), deafFrom: -1, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}}
		g.databases = append(g.databases, d)
		go d.accept()
	}
	g.primary = g.databases[0]
	return g, nil
}

// entryOf returns the registry entry of a database.
func (d *database) entryOf() map[string]any {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	role := "replica"
	if d == d.g.primary {
		role = "primary"
	}
	return map[string]any{
		"service": d.g.name, "address": d.listener.Addr().String(), "zone": d.zone, "version": "v1", "slots": d.g.slots,
		"state": "ready", "cold_left_ms": 0, "db_role": role, "seq": 1, "born": d.born,
	}
}

// crash stops a database.
func (d *database) crash() {
	_ = d.listener.Close()
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.down = true
	for c := range d.conns {
		_ = c.Close()
	}
	d.g.received.Broadcast()
	d.g.rec.printf("database %s crashes with %d entries", d.id, d.held)
}

// restart starts a crashed database with its log, as a replica.
func (d *database) restart() error {
	l, err := net.Listen("tcp", d.listener.Addr().String())
	if err != nil {
		return err
	}
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.listener, d.down, d.deafFrom, d.born = l, false, -1, time.Now().UnixMilli()
	d.held = min(d.held, len(d.g.log))
	d.g.replicate(d, len(d.g.log))
	go d.accept()
	d.g.rec.printf("database %s starts again with %d entries", d.id, d.held)
	return nil
}

// leader returns the primary.
func (g *group) leader() *database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// deafen makes a replica receive nothing from now on.
func (d *database) deafen() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.deafFrom = d.held
	d.g.rec.printf("database %s receives nothing after %d entries", d.id, d.held)
}

// servePromote handles POST /promote for the groups.
func servePromote(groups []*group, rec *recorder) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order struct{ Service, ID string }
		token, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		code := http.StatusNotFound
		for _, g := range groups {
			if g.name == order.Service {
				code = g.order(order.ID, token)
			}
		}
		rec.printf("promote %s %s holder %s token %d -> %d", order.Service, order.ID, r.Header.Get("X-Lease-Holder"), token, code)
		w.WriteHeader(code)
	}
}

func (g *group) order(id string, token uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.fence {
		return http.StatusConflict
	}
	for _, d := range g.databases {
		if d.id == id && !d.down {
			g.fence = token
			if d != g.primary {
				time.AfterFunc(g.promote, func() { g.lead(d) })
			}
			return http.StatusOK
		}
	}
	return http.StatusConflict
}

// lead makes a database the primary of the next term with what it has received.
func (g *group) lead(d *database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if d == g.primary || d.down {
		return
	}
	for n := d.held; n < len(g.log); n++ {
		g.rec.printf("promotion of %s rolls back entry %d %v", d.id, n+1, g.log[n].ids)
	}
	g.log = g.log[:d.held]
	g.term++
	g.termStart[g.term] = len(g.log)
	for _, x := range g.databases {
		x.held, x.deafFrom = min(x.held, len(g.log)), -1
	}
	g.primary = d
	g.rec.printf("database %s leads term %d with %d entries", d.id, g.term, len(g.log))
	for _, x := range g.databases {
		if x != d {
			g.replicate(x, len(g.log))
		}
	}
}

// replicate lets a replica receive the first n entries after the lag. The caller holds
// the lock.
func (g *group) replicate(d *database, n int) {
	term := g.term
	time.AfterFunc(g.lag/2+time.Duration(rand.Int63n(int64(g.lag)+1)), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if term != g.term || d.down || d.deafFrom >= 0 {
			return
		}
		d.held = max(d.held, n)
		g.received.Broadcast()
	})
}

// commit appends an entry and waits for the replicas that the service asks for. It
// returns false if the database was lost meanwhile. The caller holds the lock.
func (g *group) commit(d *database, e entry) bool {
	g.log = append(g.log, e)
	n, term := len(g.log), g.term
	d.held = n
	for _, x := range g.databases {
		if x != d {
			g.replicate(x, n)
		}
	}
	for g.syncReplicas > 0 && term == g.term && !d.down {
		for _, x := range g.databases {
			if x != d && !x.down && x.held >= n {
				return true
			}
		}
		g.received.Wait()
	}
	return term == g.term && !d.down
}

// holds reports whether the log of the database holds a position. The caller holds the
// lock.
func (d *database) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.Atoi(t)
	number, _ := strconv.Atoi(n)
	for later := term + 1; later <= d.g.term; later++ {
		if number > d.g.termStart[later] {
			return false
		}
	}
	return term <= d.g.term && number <= d.held
}

func (d *database) accept() {
	for {
		nc, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(nc)
	}
}

// dbSession is a connection to a database.
type dbSession struct {
	*lineConn
	d        *database
	name     string
	values   map[string]string
	prepared map[string]string
	txs      int // transactions begun
	tx       *openTx
}

type openTx struct {
	number   int
	readOnly bool
	failed   bool
	term     int
	e        entry
}

func (d *database) serve(nc net.Conn) {
	s := &dbSession{lineConn: newLineConn(nc), d: d, values: map[string]string{}, prepared: map[string]string{}}
	defer func() { _ = nc.Close() }()
	line, err := s.readMessage()
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	if f[1] != d.g.name || len(f) > 3 && f[3] != d.id {
		_ = s.write("ERROR WRONGNODE " + d.id + "\r\n")
		return
	}
	d.g.mu.Lock()
	full := len(d.conns) >= d.g.connections
	if !full {
		d.conns[nc] = true
		d.nextConn++
		s.name = fmt.Sprintf("c%d", d.nextConn)
	}
	d.g.mu.Unlock()
	if full {
		_ = s.write("ERROR TOOMANY " + d.id + "\r\n")
		return
	}
	defer func() {
		d.g.mu.Lock()
		delete(d.conns, nc)
		if s.tx != nil {
			d.g.rec.printf("database %s %s: connection ends, transaction %d of %v is rolled back", d.id, s.name, s.tx.number, s.tx.e.ids)
		}
		d.g.mu.Unlock()
	}()
	d.slots <- struct{}{}
	time.Sleep(d.g.connect)
	<-d.slots
	for out := ""; ; {
		if s.write(out+s.ready()) != nil {
			return
		}
		line, err := s.readMessage()
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		out = s.query(id, text)
	}
}

func (s *dbSession) ready() string {
	state := "I"
	if s.tx != nil {
		state = "T"
		if s.tx.failed {
			state = "E"
		}
	}
	s.d.g.mu.Lock()
	defer s.d.g.mu.Unlock()
	return fmt.Sprintf("READY %s %d.%d\r\n", state, s.d.g.term, s.d.held)
}

const done = "COMPLETE -\r\n"

// fail returns ERROR. A transaction fails with the statement, unless nothing ran.
func (s *dbSession) fail(code string) string {
	if s.tx != nil && code != "BUSY" && code != "NOSTMT" {
		s.tx.failed = true
	}
	return "ERROR " + code + " " + s.d.id + "\r\n"
}

// takeSlot waits for a slot. It returns false if too many others wait.
func (s *dbSession) takeSlot() bool {
	const queue = 16
	s.d.g.mu.Lock()
	full := s.d.waiting >= queue
	if !full {
		s.d.waiting++
	}
	s.d.g.mu.Unlock()
	if full {
		return false
	}
	s.d.slots <- struct{}{}
	s.d.g.mu.Lock()
	s.d.waiting--
	s.d.g.mu.Unlock()
	return true
}

func (s *dbSession) query(id, text string) string {
	g := s.d.g
	word, rest, _ := strings.Cut(text, " ")
	if s.tx != nil && s.tx.failed && word != "COMMIT" && word != "ROLLBACK" {
		return s.fail("MALFORMED")
	}
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return done
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		return done
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return done
	case "DEALLOC":
		delete(s.prepared, rest)
		return done
	case "ROLLBACK":
		if s.tx != nil {
			g.rec.printf("database %s %s: ROLLBACK of transaction %d of %v", s.d.id, s.name, s.tx.number, s.tx.e.ids)
		}
		s.tx = nil
		return done
	case "STATUS":
		return s.status()
	}
	if word == "AFTER" {
		position, statement, _ := strings.Cut(rest, " ")
		g.mu.Lock()
		ok := s.d.holds(position)
		g.mu.Unlock()
		if !ok {
			return s.fail("LAGGING")
		}
		text = statement
		word, rest, _ = strings.Cut(statement, " ")
	}
	if word == "BEGIN" {
		return s.begin(id, text, rest)
	}
	if !s.takeSlot() {
		return s.fail("BUSY")
	}
	defer func() { <-s.d.slots }()
	work := g.work
	if word == "READ" && (s.tx == nil || s.tx.readOnly) {
		work = g.readWork
	}
	time.Sleep(drawWork(work))
	return s.run(id, text, word, rest)
}

func (s *dbSession) status() string {
	if !s.takeSlot() {
		return "ERROR BUSY " + s.d.id + "\r\n"
	}
	defer func() { <-s.d.slots }()
	time.Sleep(time.Millisecond)
	g := s.d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	role := "replica"
	if s.d == g.primary {
		role = "primary"
	}
	g.rec.printf("database %s: STATUS %s %d.%d", s.d.id, role, g.term, s.d.held)
	return fmt.Sprintf("DATAROW %s %d %d.%d %d 0 %d %d\r\n%s", role, g.term, g.term, s.d.held, g.term, len(s.d.slots), len(s.d.conns), done)
}

func (s *dbSession) begin(id, text, rest string) string {
	g := s.d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.tx != nil {
		return s.fail("MALFORMED")
	}
	if rest != "READ" && s.d != g.primary {
		return s.fail("READONLY")
	}
	s.txs++
	s.tx = &openTx{number: s.txs, readOnly: rest == "READ", term: g.term}
	g.rec.printf("database %s %s: %s %s, transaction %d", s.d.id, s.name, id, text, s.txs)
	return done
}

// drawWork draws the time of a statement as the site file states it: a log-normal
// distribution with the spread 0.7 and a limit of nearly four times the mean.
func drawWork(mean time.Duration) time.Duration {
	const spread, limit = 0.7, 3.7
	return time.Duration(float64(mean) * min(math.Exp(spread*rand.NormFloat64()-spread*spread/2), limit))
}

// run runs a read, a write or COMMIT.
func (s *dbSession) run(id, text, word, rest string) string {
	g := s.d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.d.down {
		return s.fail("FAILED")
	}
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return s.fail("NOSTMT")
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	writes := word == "WRITE"
	lostLead := s.tx != nil && !s.tx.readOnly && (s.d != g.primary || s.tx.term != g.term)
	commitsNothing := word == "COMMIT" && s.tx != nil && len(s.tx.e.ids) == 0
	if (lostLead || writes && s.d != g.primary) && !commitsNothing {
		return s.fail("READONLY")
	}
	number := 0
	if s.tx != nil {
		number = s.tx.number
	}
	g.runs = append(g.runs, run{s.d.id, s.name, number, id, text})
	g.rec.printf("database %s %s: runs %s %q, transaction %d", s.d.id, s.name, id, text, number)
	out := ""
	switch {
	case word == "READ":
		out = "DATAROW " + s.read(rest) + "\r\n"
	case writes && s.tx != nil:
		s.tx.e.ids, s.tx.e.writes = append(s.tx.e.ids, id), append(s.tx.e.writes, rest)
	case writes:
		if !g.commit(s.d, entry{[]string{id}, []string{rest}}) {
			return s.fail("FAILED")
		}
	case word == "COMMIT" && s.tx == nil:
		return s.fail("MALFORMED")
	case word == "COMMIT":
		tx := s.tx
		s.tx = nil
		if tx.failed {
			return s.fail("ABORTED")
		}
		g.rec.printf("database %s %s: commits transaction %d with %v", s.d.id, s.name, tx.number, tx.e.ids)
		if len(tx.e.ids) > 0 && !g.commit(s.d, tx.e) {
			return s.fail("FAILED")
		}
	default:
		return s.fail("MALFORMED")
	}
	return out + fmt.Sprintf("COMPLETE %s.%s.%x\r\n", s.d.id, id, rand.Uint32())
}

// read returns the newest data of an item. The caller holds the lock.
func (s *dbSession) read(item string) string {
	for i := s.d.held - 1; i >= 0; i-- {
		for j := len(s.d.g.log[i].writes) - 1; j >= 0; j-- {
			if name, data, _ := strings.Cut(s.d.g.log[i].writes[j], " "); name == item {
				return data
			}
		}
	}
	return "-"
}

// committed returns the ids of the writes in the log of the primary.
func (g *group) committed() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]bool{}
	for _, e := range g.log {
		for _, id := range e.ids {
			out[id] = true
		}
	}
	return out
}

// allRuns returns what the databases have run.
func (g *group) allRuns() []run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]run(nil), g.runs...)
}
