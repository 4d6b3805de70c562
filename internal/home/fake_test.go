package home

import (
	"bytes"
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

// fakeBackend is a minimal backend server. The first word of a statement
// determines its answer, unless override answers it.
type fakeBackend struct {
	t  testing.TB
	ln net.Listener

	mu       sync.Mutex
	role     dbconn.Role
	term     uint64
	position uint64
	// override, if set, is called for each statement. It returns true if it has
	// answered the statement.
	override func(s *session, sql string) bool
	// refuseConnections makes the server close new connections instead of
	// accepting the login.
	refuseConnections bool
	// closeDelay is the time after which the server detects that a silent
	// connection was closed.
	closeDelay time.Duration
	// silentSessions holds the sessions whose messages are no longer answered.
	silentSessions map[*session]bool
	sessions       map[*session]bool
	maxSessions    int
	statements     []string
	applied        map[string]int
	cancelledPIDs  []uint32
	// repeats, if set, sends answers a second time.
	repeats *repeats
}

// repeats makes one session send its answers to the messages that of selects again, one
// after another, before the answer to a later message that before selects.
type repeats struct {
	of, before func(message string) bool
	// sent is the number of copies that were sent.
	sent int
}

// repeatInterval follows each repeated answer. It lets the home host react to it before the
// next message arrives.
const repeatInterval = 10 * time.Millisecond

// messageSync stands for a Sync in repeats. The other messages are statements.
const messageSync = "sync"

// recorder records the answer to one message.
type recorder struct {
	net.Conn
	answer []byte
}

func (r *recorder) Write(b []byte) (int, error) {
	r.answer = append(r.answer, b...)
	return r.Conn.Write(b)
}

type session struct {
	srv        *fakeBackend
	nc         net.Conn
	backend    *pgproto3.Backend
	pid        uint32
	txStatus   byte
	readOnly   bool
	epoch      uint64
	writes     []string
	prepared   map[string]string
	boundQuery string
	skipToSync bool
	recorder   *recorder
	recorded   [][]byte
}

func newFakeBackend(t testing.TB) *fakeBackend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &fakeBackend{t: t, ln: ln, role: dbconn.Primary, term: 1, silentSessions: map[*session]bool{}, sessions: map[*session]bool{}, applied: map[string]int{}}
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

func (b *fakeBackend) withLock(f func()) { b.mu.Lock(); defer b.mu.Unlock(); f() }

func (b *fakeBackend) closeAll() {
	b.withLock(func() {
		for s := range b.sessions {
			_ = s.nc.Close()
		}
	})
}

// evictOlder closes the data connections of older epochs.
func (b *fakeBackend) evictOlder(epoch uint64) {
	b.withLock(func() {
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

// awaitStatement waits until a statement with the prefix has arrived.
func (b *fakeBackend) awaitStatement(prefix string) {
	b.t.Helper()
	assert.Assert(b.t, eventually(func() bool { return b.countStatements(prefix) > 0 }), "%s did not arrive", prefix)
}

// block blocks statements with the prefix until the returned function is
// called.
func (b *fakeBackend) block(prefix string) (unblock func()) {
	gate := make(chan struct{})
	b.withLock(func() {
		b.override = func(_ *session, sql string) bool {
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

// silenceSessions stops answering on all open sessions.
func (b *fakeBackend) silenceSessions() {
	b.withLock(func() {
		for s := range b.sessions {
			b.silentSessions[s] = true
		}
	})
}

func (b *fakeBackend) openSessions() (n int) { b.withLock(func() { n = len(b.sessions) }); return n }

// countStatements returns the number of statements with the prefix that have
// arrived.
func (b *fakeBackend) countStatements(prefix string) (n int) {
	b.withLock(func() {
		for _, l := range b.statements {
			if strings.HasPrefix(l, prefix) {
				n++
			}
		}
	})
	return n
}

func (b *fakeBackend) serve(nc net.Conn, pid uint32) {
	defer func() { _ = nc.Close() }()
	rec := &recorder{Conn: nc}
	s := &session{srv: b, nc: nc, recorder: rec, backend: pgproto3.NewBackend(nc, rec), pid: pid, txStatus: 'I', prepared: map[string]string{}}
	start, err := s.backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if c, ok := start.(*pgproto3.CancelRequest); ok {
		b.withLock(func() { b.cancelledPIDs = append(b.cancelledPIDs, c.ProcessID) })
		return
	}
	app := start.(*pgproto3.StartupMessage).Parameters["application_name"]
	s.epoch, _ = strconv.ParseUint(app[strings.LastIndex(app, "/")+1:], 10, 64)
	refuse := false
	b.withLock(func() {
		refuse = b.refuseConnections
		b.sessions[s] = true
		b.maxSessions = max(b.maxSessions, len(b.sessions))
	})
	defer func() {
		if s.isSilent() {
			// The server detects the close of a silent connection late.
			time.Sleep(b.closeDelay)
		}
		b.withLock(func() { delete(b.sessions, s) })
	}()
	if refuse {
		return
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{1, 2, 3, 4}})
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if s.backend.Flush() != nil {
		return
	}
	for {
		m, err := s.backend.Receive()
		if err != nil || !s.stutter(m) {
			return
		}
	}
}

func (s *session) isSilent() (v bool) {
	s.srv.withLock(func() { v = s.srv.silentSessions[s] })
	return v
}

// stutter handles a message and sends earlier answers again as repeats says.
func (s *session) stutter(m pgproto3.FrontendMessage) bool {
	message := ""
	switch m := m.(type) {
	case *pgproto3.Query:
		message = m.String
	case *pgproto3.Sync:
		message = messageSync
	}
	var copies [][]byte
	s.srv.withLock(func() {
		if r := s.srv.repeats; r != nil && r.sent == 0 && r.before(message) {
			copies, r.sent = s.recorded, len(s.recorded)
		}
	})
	for _, answer := range copies {
		_, _ = s.nc.Write(answer)
		time.Sleep(repeatInterval)
	}
	s.recorder.answer = s.recorder.answer[:0]
	ok := s.handle(m)
	s.srv.withLock(func() {
		if r := s.srv.repeats; r != nil && r.sent == 0 && r.of(message) {
			s.recorded = append(s.recorded, bytes.Clone(s.recorder.answer))
		}
	})
	return ok
}

func (s *session) handle(m pgproto3.FrontendMessage) bool {
	if s.isSilent() {
		return true
	}
	if _, sync := m.(*pgproto3.Sync); s.skipToSync && !sync {
		return true
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		if s.answerStatement(m.String) {
			s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
		}
	case *pgproto3.Parse:
		if strings.HasPrefix(m.Query, "BAD") {
			s.sendError("42601")
			break
		}
		s.prepared[m.Name] = m.Query
		s.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Close:
		delete(s.prepared, m.Name)
		s.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Bind:
		q, ok := s.prepared[m.PreparedStatement]
		if !ok {
			s.sendError("26000")
			break
		}
		s.boundQuery = q
		s.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Execute:
		s.answerStatement(s.boundQuery)
	case *pgproto3.Sync:
		s.skipToSync = false
		s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus})
	case *pgproto3.Terminate:
		return false
	}
	return s.isSilent() || s.backend.Flush() == nil
}

func (s *session) sendError(code string) {
	s.skipToSync = true
	s.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: "refused"})
	if s.txStatus == 'T' {
		s.txStatus = 'E'
	}
}

// answerStatement answers one statement, except for ReadyForQuery. It returns
// false if no ReadyForQuery may follow.
func (s *session) answerStatement(sql string) bool {
	b := s.srv
	var override func(*session, string) bool
	b.withLock(func() { b.statements = append(b.statements, sql); override = b.override })
	if override != nil && override(s, sql) {
		s.skipToSync = false
		return !s.isSilent()
	}
	word, rest, _ := strings.Cut(sql, " ")
	switch {
	case isStatusQuery(sql):
		s.sendStatus(sql)
	case strings.Contains(sql, " cranberryhinge.evict("):
		epoch, _ := strconv.ParseUint(strings.Trim(sql[strings.LastIndex(sql, "("):], "()"), 10, 64)
		b.evictOlder(epoch)
		s.sendMarked(sql, "")
	case sql == resetQuery:
		s.readOnly = false
		for _, tag := range []string{"RESET", "CLOSE CURSOR ALL", "UNLISTEN", "DISCARD TEMP", "DISCARD SEQUENCES"} {
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		}
		s.sendRows("")
	case word == "SELECT":
		s.sendRows(rest)
	case word == "INSERT":
		var primary bool
		b.withLock(func() {
			if primary = b.role == dbconn.Primary && !s.readOnly; primary {
				s.applyWrite(sql)
			}
		})
		if !primary {
			s.sendError("25006")
			s.skipToSync = false
			return true
		}
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	case word == "BEGIN":
		s.txStatus, s.readOnly = 'T', s.readOnly && rest != "READ WRITE"
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case word == "COMMIT" || word == "ROLLBACK":
		if s.txStatus == 'E' {
			word = "ROLLBACK"
		}
		s.txStatus = 'I'
		b.withLock(func() {
			if word == "COMMIT" {
				for _, sql := range s.writes {
					s.applyWrite(sql)
				}
			}
			s.writes = nil
		})
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	case word == "COPY":
		s.copyFrom()
	default:
		s.readOnly = s.readOnly || sql == readOnlyQuery
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(word)})
	}
	return true
}

// applyWrite applies a write, or records it until the transaction commits.
func (s *session) applyWrite(sql string) {
	if s.txStatus != 'I' {
		s.writes = append(s.writes, sql)
		return
	}
	s.srv.position++
	s.srv.applied[sql]++
}

func (s *session) sendRows(values ...string) {
	s.backend.Send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v")}}})
	for _, v := range values {
		s.backend.Send(&pgproto3.DataRow{Values: [][]byte{[]byte(v)}})
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT " + strconv.Itoa(len(values)))})
}

// isStatusQuery reports whether a statement is the status query.
func isStatusQuery(sql string) bool { return strings.HasSuffix(sql, " cranberryhinge.status()") }

// sendMarked answers a call of the contract with one row. The mark of the call, if it
// has one, is the first column.
func (s *session) sendMarked(sql string, row ...string) {
	fields := make([]pgproto3.FieldDescription, len(row))
	if w := strings.Fields(sql); len(w) > 3 && w[2] == "AS" {
		row = append([]string{w[1]}, row...)
		fields = append([]pgproto3.FieldDescription{{Name: []byte(strings.Trim(w[3], ","))}}, fields...)
	}
	values := make([][]byte, len(row))
	for i, v := range row {
		values[i] = []byte(v)
	}
	s.backend.Send(&pgproto3.RowDescription{Fields: fields})
	s.backend.Send(&pgproto3.DataRow{Values: values})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
}

func (s *session) sendStatus(sql string) {
	b := s.srv
	var row []string
	b.withLock(func() {
		row = []string{
			"db", strconv.FormatUint(b.term, 10), string(b.role), strconv.FormatUint(b.position, 10),
			strconv.FormatUint(b.position, 10), strconv.Itoa(len(b.sessions)),
		}
	})
	s.sendMarked(sql, row...)
}

// copyFrom reads copy data. Like a PostgreSQL server, it ignores Sync while it
// does.
func (s *session) copyFrom() {
	s.backend.Send(&pgproto3.CopyInResponse{})
	_ = s.backend.Flush()
	n := 0
	for {
		m, err := s.backend.Receive()
		if err != nil {
			return
		}
		switch m.(type) {
		case *pgproto3.CopyData:
			n++
		case *pgproto3.CopyDone:
			s.srv.withLock(func() { s.srv.position++ })
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(n))})
			return
		}
	}
}

// authority is an Authority whose results are set by a test.
type authority struct {
	mu          sync.Mutex
	term        uint64
	writableErr error
	writeErr    error
	readErr     error
	age         time.Duration
	ageUnknown  bool
	confirmed   []uint64
	blockWrites chan struct{}
}

func (a *authority) WritableTerm(string, string) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.term, a.writableErr
}

func (a *authority) RecordCommit(string, string, uint64, uint64) {}

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

func (a *authority) DataAge(_ string, term, _ uint64) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.age, !a.ageUnknown && term == a.term
}

// fixture is a Home that serves one backend server.
type fixture struct {
	t    testing.TB
	home *Home
	srv  *fakeBackend
	auth *authority
}

// Values of Failure.verdict.
const (
	failureMayHaveRun = 0
	failureNotRun     = 1
)

var testServer = config.Server{Name: "db", Slots: 2, Connections: 8}

func newFixture(t testing.TB, edit func(*config.Server, *Options)) *fixture {
	f := &fixture{t: t, srv: newFakeBackend(t), auth: &authority{term: 1}}
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
	f.home.ServeBackend("g", server, 1)
	return f
}

// entryClient is the entry host's side of a stream.
type entryClient struct {
	t      testing.TB
	s      *peer.PipeClient
	cancel context.CancelFunc
}

func (f *fixture) start(start *peerpb.Start) *entryClient {
	ctx, cancel := context.WithCancel(context.Background())
	c, s := peer.Pipe(ctx)
	start.Group, start.Server = "g", "db"
	if start.Customer == "" {
		start.Customer = "c1"
	}
	go func() { _ = f.home.Serve(s); s.Finish() }()
	f.t.Cleanup(cancel)
	assert.NilError(f.t, c.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Start{Start: start}}))
	return &entryClient{t: f.t, s: c, cancel: cancel}
}

func (f *fixture) writer() *entryClient {
	return f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 3e6})
}

func (f *fixture) reader(staleness time.Duration, floor *peerpb.Token) *entryClient {
	return f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_READ, TimeoutUs: 3e6, StalenessUs: staleness.Microseconds(), Floor: floor})
}

func (c *entryClient) send(ms ...pgproto3.FrontendMessage) *entryClient {
	var b []byte
	for _, m := range ms {
		b = encode(b, m)
	}
	_ = c.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Frontend{Frontend: b}})
	return c
}

func (c *entryClient) query(sql string) *entryClient { return c.send(&pgproto3.Query{String: sql}) }

// result holds the messages of a stream up to a Ready or a Failure.
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

func (c *entryClient) result() result {
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

// streamEnded reports whether the stream ended without a further message.
func (c *entryClient) streamEnded() bool {
	_, err := c.s.Recv()
	return err != nil
}
