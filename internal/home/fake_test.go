package home

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// backendServer is a minimal backend server. A statement's first word decides
// its answer; on overrides it.
type backendServer struct {
	t  testing.TB
	ln net.Listener

	mu       sync.Mutex
	role     dbconn.Role
	term     uint64
	position uint64
	// on, if set, may answer a statement instead; it returns false to decline.
	on func(s *session, sql string) bool
	// refuse makes new connections fail.
	refuse bool
	// linger is the time after which the end of a silent link is noticed.
	linger time.Duration
	// silent sessions get no answers any more.
	silent   map[*session]bool
	sessions map[*session]bool
	maxOpen  int
	log      []string
	applied  map[string]int
	cancels  []uint32
}

type session struct {
	srv      *backendServer
	nc       net.Conn
	be       *pgproto3.Backend
	pid      uint32
	tx       byte
	readOnly bool
	epoch    uint64
	writes   []string
	prepared map[string]string
	bound    string
	failed   bool
}

func newBackendServer(t testing.TB) *backendServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &backendServer{t: t, ln: ln, role: dbconn.Primary, term: 1, silent: map[*session]bool{}, sessions: map[*session]bool{}, applied: map[string]int{}}
	go func() {
		for pid := uint32(1); ; pid++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc, pid)
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); s.closeAll() })
	return s
}

func (b *backendServer) with(f func()) { b.mu.Lock(); defer b.mu.Unlock(); f() }

func (b *backendServer) closeAll() {
	b.with(func() {
		for s := range b.sessions {
			_ = s.nc.Close()
		}
	})
}

// evict closes the data connections of older epochs.
func (b *backendServer) evict(epoch uint64) {
	b.with(func() {
		for s := range b.sessions {
			if s.epoch == 0 || s.epoch >= epoch {
				continue
			}
			fatal, _ := (&pgproto3.ErrorResponse{Severity: "FATAL", SeverityUnlocalized: "FATAL", Code: "57P01"}).Encode(nil)
			_, _ = s.nc.Write(fatal)
			_ = s.nc.Close()
			delete(b.sessions, s)
		}
	})
}

// busy waits until a statement with the prefix has arrived.
func (b *backendServer) busy(prefix string) {
	b.t.Helper()
	assert.Assert(b.t, eventually(func() bool { return b.ran(prefix) > 0 }), "%s did not arrive", prefix)
}

// block makes statements with the prefix wait until the returned function is
// called.
func (b *backendServer) block(prefix string) (unblock func()) {
	gate := make(chan struct{})
	b.with(func() {
		b.on = func(_ *session, sql string) bool {
			if strings.HasPrefix(sql, prefix) {
				<-gate
			}
			return false
		}
	})
	unblock = sync.OnceFunc(func() { close(gate) })
	b.t.Cleanup(unblock)
	return unblock
}

// silence makes all open links silent.
func (b *backendServer) silence() {
	b.with(func() {
		for s := range b.sessions {
			b.silent[s] = true
		}
	})
}

func (b *backendServer) open() (n int) { b.with(func() { n = len(b.sessions) }); return n }

// ran counts the statements with the prefix that arrived.
func (b *backendServer) ran(prefix string) (n int) {
	b.with(func() {
		for _, l := range b.log {
			if strings.HasPrefix(l, prefix) {
				n++
			}
		}
	})
	return n
}

func (b *backendServer) serve(nc net.Conn, pid uint32) {
	defer func() { _ = nc.Close() }()
	s := &session{srv: b, nc: nc, be: pgproto3.NewBackend(nc, nc), pid: pid, tx: 'I', prepared: map[string]string{}}
	start, err := s.be.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if c, ok := start.(*pgproto3.CancelRequest); ok {
		b.with(func() { b.cancels = append(b.cancels, c.ProcessID) })
		return
	}
	app := start.(*pgproto3.StartupMessage).Parameters["application_name"]
	s.epoch, _ = strconv.ParseUint(app[strings.LastIndex(app, "/")+1:], 10, 64)
	refuse := false
	b.with(func() {
		refuse = b.refuse
		b.sessions[s] = true
		b.maxOpen = max(b.maxOpen, len(b.sessions))
	})
	defer func() {
		if s.isSilent() {
			// The end of a silent link reaches the server late.
			time.Sleep(b.linger)
		}
		b.with(func() { delete(b.sessions, s) })
	}()
	if refuse {
		return
	}
	s.be.Send(&pgproto3.AuthenticationOk{})
	s.be.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{1, 2, 3, 4}})
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if s.be.Flush() != nil {
		return
	}
	for {
		m, err := s.be.Receive()
		if err != nil || !s.handle(m) {
			return
		}
	}
}

func (s *session) isSilent() (v bool) { s.srv.with(func() { v = s.srv.silent[s] }); return v }

func (s *session) handle(m pgproto3.FrontendMessage) bool {
	if s.isSilent() {
		return true
	}
	if _, sync := m.(*pgproto3.Sync); s.failed && !sync {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		if s.statement(m.String) {
			s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
		}
	case *pgproto3.Parse:
		if strings.HasPrefix(m.Query, "BAD") {
			s.fail("42601")
			break
		}
		s.prepared[m.Name] = m.Query
		s.be.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Close:
		delete(s.prepared, m.Name)
		s.be.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Bind:
		q, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.fail("26000")
			break
		}
		s.bound = q
		s.be.Send(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		s.statement(s.bound)
	case *pgproto3.Sync:
		s.failed = false
		s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.tx})
	case *pgproto3.Terminate:
		return false
	}
	return s.isSilent() || s.be.Flush() == nil
}

func (s *session) fail(code string) {
	s.failed = true
	s.be.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: "refused"})
	if s.tx == 'T' {
		s.tx = 'E'
	}
}

// statement answers one statement, without ReadyForQuery. It returns false when
// nothing follows.
func (s *session) statement(sql string) bool {
	b := s.srv
	var on func(*session, string) bool
	b.with(func() { b.log = append(b.log, sql); on = b.on })
	if on != nil && on(s, sql) {
		s.failed = false
		return !s.isSilent()
	}
	word, rest, _ := strings.Cut(sql, " ")
	switch {
	case sql == dbconn.StatusQuery:
		s.status()
	case strings.HasPrefix(sql, "SELECT cranberryhinge.evict("):
		epoch, _ := strconv.ParseUint(strings.Trim(sql[len("SELECT cranberryhinge.evict"):], "()"), 10, 64)
		b.evict(epoch)
		s.rows("")
	case word == "SELECT":
		s.rows(rest)
	case word == "INSERT":
		var primary bool
		b.with(func() {
			if primary = b.role == dbconn.Primary && !s.readOnly; primary {
				s.apply(sql)
			}
		})
		if !primary {
			s.fail("25006")
			s.failed = false
			return true
		}
		s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	case word == "BEGIN":
		s.tx, s.readOnly = 'T', s.readOnly && rest != "READ WRITE"
		s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case word == "COMMIT" || word == "ROLLBACK":
		if s.tx == 'E' {
			word = "ROLLBACK"
		}
		s.tx = 'I'
		b.with(func() {
			if word == "COMMIT" {
				for _, sql := range s.writes {
					s.apply(sql)
				}
			}
			s.writes = nil
		})
		s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	case word == "COPY":
		s.copyFrom()
	default:
		s.readOnly = sql == readOnlyQuery || (s.readOnly && sql != resetQuery)
		s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	}
	return true
}

// apply commits a write, or notes it until the transaction commits.
func (s *session) apply(sql string) {
	if s.tx != 'I' {
		s.writes = append(s.writes, sql)
		return
	}
	s.srv.position++
	s.srv.applied[sql]++
}

func (s *session) rows(values ...string) {
	s.be.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v")}}})
	for _, v := range values {
		s.be.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(v)}})
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT " + strconv.Itoa(len(values)))})
}

func (s *session) status() {
	b := s.srv
	var row [][]byte
	b.with(func() {
		for _, v := range []string{
			"db", strconv.FormatUint(b.term, 10), string(b.role), strconv.FormatUint(b.position, 10),
			strconv.FormatUint(b.position, 10), strconv.Itoa(len(b.sessions)),
		} {
			row = append(row, []byte(v))
		}
	})
	fields := make([]pgproto3.FieldDescription, len(row))
	s.be.Send(&pgproto3.RowDescription{Fields: fields})
	s.be.Send(&pgproto3.DataRow{Values: row})
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

// copyFrom reads copy data. Like a PostgreSQL server it ignores Sync meanwhile.
func (s *session) copyFrom() {
	s.be.Send(&pgproto3.CopyInResponse{})
	_ = s.be.Flush()
	n := 0
	for {
		m, err := s.be.Receive()
		if err != nil {
			return
		}
		switch m.(type) {
		case *pgproto3.CopyData:
			n++
		case *pgproto3.CopyDone:
			s.srv.with(func() { s.srv.position++ })
			s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(n))})
			return
		}
	}
}

// authority is an Authority whose answers a test sets.
type authority struct {
	mu          sync.Mutex
	term        uint64
	writable    error
	writeErr    error
	readErr     error
	age         time.Duration
	ageUnknown  bool
	confirmed   []uint64
	blockWrites chan struct{}
}

func (a *authority) Writable(string, string) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.term, a.writable
}

func (a *authority) Committed(string, string, uint64, uint64) {}

func (a *authority) ConfirmWrite(ctx context.Context, _ string, _, position uint64) error {
	a.mu.Lock()
	block := a.blockWrites
	a.mu.Unlock()
	if block != nil {
		select {
		case <-block:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirmed = append(a.confirmed, position)
	return a.writeErr
}

func (a *authority) ConfirmRead(context.Context, string, uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readErr
}

func (a *authority) Age(_ string, term, _ uint64) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.age, !a.ageUnknown && term == a.term
}

// fixture is a Home that serves one backend server.
type fixture struct {
	t    testing.TB
	home *Home
	srv  *backendServer
	auth *authority
}

// Values of Failure.verdict.
const (
	failureMayHaveRun = 0
	failureNotRun     = 1
)

var testServer = config.Server{Name: "db", Slots: 2, Connections: 8}

func newFixture(t testing.TB, edit func(*config.Server, *Options)) *fixture {
	f := &fixture{t: t, srv: newBackendServer(t), auth: &authority{term: 1}}
	server, opt := testServer, Options{Host: "h1", Authority: f.auth}
	if edit != nil {
		edit(&server, &opt)
	}
	server.Address = f.srv.ln.Addr().String()
	f.home = New(opt)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { _ = f.home.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	f.home.Hold("g", server, 1)
	return f
}

// client is the entry end of a stream.
type client struct {
	t      testing.TB
	s      *peer.PipeClient
	cancel context.CancelFunc
}

func (f *fixture) start(start *peerpb.Start) *client {
	ctx, cancel := context.WithCancel(context.Background())
	c, s := peer.Pipe(ctx)
	start.Group, start.Server = "g", "db"
	if start.Customer == "" {
		start.Customer = "c1"
	}
	go func() { _ = f.home.Serve(s); s.Finish() }()
	f.t.Cleanup(cancel)
	assert.NilError(f.t, c.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Start{Start: start}}))
	return &client{t: f.t, s: c, cancel: cancel}
}

func (f *fixture) writer() *client {
	return f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 3e6})
}

func (f *fixture) reader(staleness time.Duration, floor *peerpb.Token) *client {
	return f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_READ, TimeoutUs: 3e6, StalenessUs: staleness.Microseconds(), Floor: floor})
}

func (c *client) send(ms ...pgproto3.FrontendMessage) *client {
	var b []byte
	for _, m := range ms {
		b = encode(b, m)
	}
	_ = c.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Frontend{Frontend: b}})
	return c
}

func (c *client) query(sql string) *client { return c.send(&pgproto3.Query{String: sql}) }

// result is what a stream answered up to a ready or a failure.
type result struct {
	backend  []byte
	accepted *peerpb.Accepted
	ready    *peerpb.Ready
	failure  *peerpb.Failure
}

func (r result) types() string {
	var types []byte
	for b := r.backend; len(b) >= headerSize; {
		types = append(types, b[0])
		b = b[1+int(uint32(b[1])<<24|uint32(b[2])<<16|uint32(b[3])<<8|uint32(b[4])):]
	}
	return string(types)
}

func (c *client) result() result {
	var r result
	for {
		m, err := c.s.Recv()
		if err != nil {
			return r
		}
		switch k := m.Kind.(type) {
		case *peerpb.RunResponse_Accepted:
			r.accepted = k.Accepted
		case *peerpb.RunResponse_Backend:
			r.backend = append(r.backend, k.Backend...)
		case *peerpb.RunResponse_Ready:
			r.ready = k.Ready
			return r
		case *peerpb.RunResponse_Failure:
			r.failure = k.Failure
			return r
		}
	}
}

// ended reports whether the stream ended without a further message.
func (c *client) ended() bool {
	_, err := c.s.Recv()
	return err != nil
}
