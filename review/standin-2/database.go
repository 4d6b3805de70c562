package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a commit in the log of a database.
type entry struct {
	Term   uint64     `json:"term"`
	Number uint64     `json:"number"`
	Writes [][]string `json:"writes"` // item, data
}

// database is a stand-in of one database, in a process of its own. It keeps its log in memory
// only, so that a process that starts again holds nothing of before.
type database struct {
	service, id, zone, address, store string
	slots, maxConns                   int
	workMS                            int
	handshakeMS                       int
	lagMS                             int
	largeRows, largeRowBytes          int
	// Each stutterEvery-th answer to a READ is sent again after stutterMS; 0 for none.
	stutterEvery, stutterMS int

	mu        sync.Mutex
	term      uint64
	primary   bool
	leader    string // control address of the database that it receives from
	leaderGen int
	log       []entry
	data      map[string]string
	conns     int
	busy      chan struct{}
	runs      uint64
	born      int64
	seq       int
	out       sync.Mutex
}

func runDatabase(args []string) {
	d := &database{data: map[string]string{}, born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("database", flag.ExitOnError)
	f.StringVar(&d.service, "service", "", "")
	f.StringVar(&d.id, "id", "", "")
	f.StringVar(&d.zone, "zone", "", "")
	f.StringVar(&d.address, "address", "", "")
	f.StringVar(&d.store, "store", "", "address at which the harness takes registry entries")
	control := f.String("control", "", "")
	f.IntVar(&d.slots, "slots", 2, "")
	f.IntVar(&d.maxConns, "max-conns", 34, "")
	f.IntVar(&d.workMS, "work-ms", 3, "")
	f.IntVar(&d.handshakeMS, "handshake-ms", 27, "")
	f.IntVar(&d.lagMS, "lag-ms", 8, "")
	f.IntVar(&d.largeRows, "large-rows", 0, "number of rows of an item whose name begins with large")
	f.IntVar(&d.largeRowBytes, "large-row-bytes", 0, "")
	f.IntVar(&d.stutterEvery, "stutter-every", 0, "")
	f.IntVar(&d.stutterMS, "stutter-ms", 0, "")
	f.BoolVar(&d.primary, "primary", false, "")
	_ = f.Parse(args)
	d.busy = make(chan struct{}, d.slots)
	if d.primary {
		d.term = 1
	}
	l, err := net.Listen("tcp", d.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /log", d.serveLog)
	mux.HandleFunc("GET /lead", d.serveLead)
	mux.HandleFunc("GET /follow", d.serveFollow)
	cl, err := net.Listen("tcp", *control)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go func() { _ = http.Serve(cl, mux) }()
	go d.beat()
	go d.receive()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go d.serve(nc)
	}
}

// event prints one line for the record.
func (d *database) event(format string, a ...any) {
	d.out.Lock()
	defer d.out.Unlock()
	fmt.Println(fmt.Sprintf(format, a...))
}

// beat writes the registry entry about every 1200 ms, and at once when the role changes.
func (d *database) beat() {
	last := ""
	for n := 0; ; n++ {
		d.mu.Lock()
		role := "replica"
		if d.primary {
			role = "primary"
		}
		if n%24 == 0 || role != last {
			d.seq++
			last = role
			body, _ := json.Marshal(map[string]any{
				"service": d.service, "address": d.address, "zone": d.zone, "version": "v1", "slots": d.slots, "state": "ready",
				"cold_left_ms": 0, "db_role": role, "seq": d.seq, "born": d.born,
			})
			d.mu.Unlock()
			resp, err := http.Post("http://"+d.store+"/beat/"+d.id, "application/json", strings.NewReader(string(body)))
			if err == nil {
				_ = resp.Body.Close()
			}
		} else {
			d.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (d *database) serveLog(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.primary {
		http.Error(w, "not the primary", http.StatusConflict)
		return
	}
	from = min(from, len(d.log))
	_ = json.NewEncoder(w).Encode(map[string]any{"term": d.term, "length": len(d.log), "entries": d.log[from:]})
}

// serveLead makes the database the primary of a term, with the log that it has.
func (d *database) serveLead(w http.ResponseWriter, r *http.Request) {
	term, _ := strconv.ParseUint(r.URL.Query().Get("term"), 10, 64)
	d.mu.Lock()
	d.primary, d.term, d.leader = true, term, ""
	n := len(d.log)
	d.mu.Unlock()
	d.event("lead term=%d number=%d", term, n)
	fmt.Fprint(w, n)
}

// serveFollow makes the database a replica of another one.
func (d *database) serveFollow(w http.ResponseWriter, r *http.Request) {
	term, _ := strconv.ParseUint(r.URL.Query().Get("term"), 10, 64)
	length, _ := strconv.Atoi(r.URL.Query().Get("length"))
	d.mu.Lock()
	defer d.mu.Unlock()
	if term > d.term || !d.primary {
		d.primary, d.term, d.leader = false, term, r.URL.Query().Get("leader")
		if len(d.log) > length {
			d.log = d.log[:length]
			d.rebuild()
		}
	}
}

// rebuild computes the data from the log. The caller holds the lock.
func (d *database) rebuild() {
	d.data = map[string]string{}
	for _, e := range d.log {
		for _, w := range e.Writes {
			d.data[w[0]] = w[1]
		}
	}
}

// receive copies the log of the primary.
func (d *database) receive() {
	for {
		time.Sleep(time.Duration(d.lagMS) * time.Millisecond)
		d.mu.Lock()
		leader, from := d.leader, len(d.log)
		d.mu.Unlock()
		if leader == "" {
			continue
		}
		body, err := get(leader, fmt.Sprintf("/log?from=%d", from))
		if err != nil {
			continue
		}
		var got struct {
			Term    uint64  `json:"term"`
			Entries []entry `json:"entries"`
		}
		if json.Unmarshal([]byte(body), &got) != nil {
			continue
		}
		d.mu.Lock()
		if d.leader == leader && len(d.log) == from && got.Term == d.term {
			d.log = append(d.log, got.Entries...)
			for _, e := range got.Entries {
				for _, w := range e.Writes {
					d.data[w[0]] = w[1]
				}
			}
		}
		d.mu.Unlock()
	}
}

// position returns the position of the log. The caller holds the lock.
func (d *database) position() string { return fmt.Sprintf("%d.%d", d.term, len(d.log)) }

// session is one connection.
type dbSession struct {
	d        *database
	nc       net.Conn
	out      *bufio.Writer
	who      string
	values   map[string]string
	prepared map[string]string
	reads    int
	// tx state
	open, readOnly, failed bool
	term                   uint64
	writes                 [][]string
	ids                    []string
}

func (d *database) serve(nc net.Conn) {
	defer nc.Close()
	d.mu.Lock()
	full := d.conns >= d.maxConns
	if !full {
		d.conns++
	}
	d.mu.Unlock()
	if full {
		fmt.Fprintf(nc, "ERROR TOOMANY %s\r\n", d.id)
		return
	}
	defer func() {
		d.mu.Lock()
		d.conns--
		d.mu.Unlock()
	}()
	s := &dbSession{d: d, nc: nc, out: bufio.NewWriterSize(nc, 64<<10), values: map[string]string{}, prepared: map[string]string{}}
	in := bufio.NewReaderSize(nc, 4096)
	line, err := readLine(in)
	f := strings.Split(line, " ")
	if err != nil || len(f) < 3 || f[0] != "STARTUP" {
		return
	}
	if f[1] != d.service || len(f) > 3 && f[3] != d.id {
		fmt.Fprintf(nc, "ERROR WRONGNODE %s\r\n", d.id)
		return
	}
	s.who = f[2]
	time.Sleep(time.Duration(d.handshakeMS) * time.Millisecond)
	if s.ready() != nil {
		return
	}
	for {
		line, err := readLine(in)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		s.query(id, text)
		if s.ready() != nil {
			return
		}
	}
}

// readLine reads a message up to CR LF.
func readLine(in *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := in.ReadBytes('\n')
		line = append(line, part...)
		if err != nil {
			if err == io.EOF && len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return "", err
		}
		if n := len(line); n >= 2 && line[n-2] == '\r' {
			return string(line[:n-2]), nil
		}
	}
}

func (s *dbSession) ready() error {
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.open:
		state = "T"
	}
	s.d.mu.Lock()
	p := s.d.position()
	s.d.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", state, p)
	return s.out.Flush()
}

func (s *dbSession) complete() { fmt.Fprint(s.out, "COMPLETE -\r\n") }

func (s *dbSession) fail(id, text, code string) {
	if s.open {
		s.failed = true
	}
	if id != "-" {
		s.d.event("refuse id=%s code=%s text=%q", id, code, text)
	}
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.d.id)
}

func (s *dbSession) end() {
	s.open, s.failed, s.readOnly, s.writes, s.ids = false, false, false, nil, nil
}

// query answers one statement up to READY.
func (s *dbSession) query(id, text string) {
	word, rest, _ := strings.Cut(text, " ")
	d := s.d
	if s.failed && word != "ROLLBACK" && word != "COMMIT" {
		s.fail(id, text, "MALFORMED")
		return
	}
	switch word {
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		s.complete()
		return
	case "RESET":
		clear(s.values)
		clear(s.prepared)
		s.complete()
		return
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		s.complete()
		return
	case "DEALLOC":
		delete(s.prepared, rest)
		s.complete()
		return
	case "ROLLBACK":
		s.end()
		s.complete()
		return
	case "STATUS":
		d.mu.Lock()
		role := "replica"
		if d.primary {
			role = "primary"
		}
		fmt.Fprintf(s.out, "DATAROW %s %d %s %d 0 %d %d\r\n", role, d.term, d.position(), d.term, len(d.busy), d.conns)
		d.mu.Unlock()
		s.complete()
		return
	case "AFTER":
		position, statement, _ := strings.Cut(rest, " ")
		if !d.holds(position) {
			s.fail(id, text, "LAGGING")
			return
		}
		text = statement
		word, rest, _ = strings.Cut(statement, " ")
	}
	if word == "BEGIN" {
		d.mu.Lock()
		primary, term := d.primary, d.term
		d.mu.Unlock()
		if rest != "READ" && !primary {
			s.fail(id, text, "READONLY")
			return
		}
		s.open, s.readOnly, s.term = true, rest == "READ", term
		s.complete()
		return
	}
	select {
	case d.busy <- struct{}{}:
	case <-time.After(100 * time.Millisecond):
		s.fail(id, text, "BUSY")
		return
	}
	defer func() { <-d.busy }()
	time.Sleep(time.Duration(d.workMS) * time.Millisecond)
	s.run(id, text, word, rest)
}

// holds reports whether the log has the position. Numbers are consecutive over all terms.
func (d *database) holds(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.Atoi(n)
	d.mu.Lock()
	defer d.mu.Unlock()
	return term <= d.term && number <= len(d.log)
}

// run runs a read, a write or a COMMIT.
func (s *dbSession) run(id, text, word, rest string) {
	d := s.d
	shape := ""
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		ok := false
		if shape, ok = s.prepared[name]; !ok {
			s.fail(id, text, "NOSTMT")
			return
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	item, data, _ := strings.Cut(rest, " ")
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := s.open && !s.readOnly && (!d.primary || d.term != s.term)
	switch {
	case word == "COMMIT" && (!s.open || s.failed):
		s.end()
		s.fail(id, text, "ABORTED")
		return
	case word == "COMMIT" && lost && len(s.writes) > 0, word != "COMMIT" && lost, word == "WRITE" && (!d.primary || s.readOnly):
		s.fail(id, text, "READONLY")
		return
	}
	rows := []string(nil)
	switch word {
	case "READ":
		value, ok := d.data[item]
		if !ok {
			value = "none"
		}
		for _, w := range s.writes {
			if w[0] == item {
				value = w[1]
			}
		}
		rows = []string{value}
		if strings.HasPrefix(item, "large") {
			rows = make([]string, d.largeRows)
			big := strings.Repeat("x", d.largeRowBytes)
			for i := range rows {
				rows[i] = big
			}
		}
	case "WRITE":
		if s.open {
			s.writes = append(s.writes, []string{item, data})
		} else {
			d.commit([][]string{{item, data}})
		}
	case "COMMIT":
		if len(s.writes) > 0 {
			d.commit(s.writes)
		}
		s.end()
	default:
		s.fail(id, text, "MALFORMED")
		return
	}
	d.runs++
	var nonce [8]byte
	_, _ = rand.Read(nonce[:])
	signature := fmt.Sprintf("%s.%d.%s", d.id, d.runs, hex.EncodeToString(nonce[:]))
	first := ""
	if len(rows) > 0 {
		first = rows[0][:min(40, len(rows[0]))]
	}
	d.event("run id=%s who=%s primary=%t at=%s signature=%s shape=%q text=%q rows=%d first=%q", id, s.who, d.primary, d.position(), signature, shape, text, len(rows), first)
	d.mu.Unlock()
	answer := ""
	for _, r := range rows {
		fmt.Fprintf(s.out, "DATAROW %s\r\n", r)
		answer += "DATAROW " + r + "\r\n"
	}
	fmt.Fprintf(s.out, "COMPLETE %s\r\n", signature)
	s.reads++
	if d.stutterEvery > 0 && word == "READ" && s.reads%d.stutterEvery == 0 {
		s.repeat(id, answer+"COMPLETE "+signature+"\r\n")
	}
	d.mu.Lock()
}

// repeat sends an answer a second time, late.
func (s *dbSession) repeat(id, answer string) {
	time.AfterFunc(time.Duration(s.d.stutterMS)*time.Millisecond, func() {
		s.d.mu.Lock()
		p := s.d.position()
		s.d.mu.Unlock()
		if _, err := s.nc.Write([]byte(answer + "READY I " + p + "\r\n")); err == nil {
			s.d.event("repeat of the answer to id=%s", id)
		}
	})
}

// commit appends to the log. The caller holds the lock.
func (d *database) commit(writes [][]string) {
	d.log = append(d.log, entry{Term: d.term, Number: uint64(len(d.log) + 1), Writes: writes})
	for _, w := range writes {
		d.data[w[0]] = w[1]
	}
}
