package executor

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/usage"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// fakeServer is a backend server that records the commands of its connections.
type fakeServer struct {
	mu              sync.Mutex
	conns           int
	commands        []string
	executed        []execution
	dialed          []*fakeConn
	failWith        func(c *fakeConn, cmd statement.Command) *verdict.Error
	dropsAnswer     func(cmd statement.Command) bool
	number          uint64
	resets          int
	unresponsive    bool
	idleConnsClosed bool // the server has closed its idle connections
	dialDelay       time.Duration
	dialErr         error
	maxOpen         int
	open            int
	// beginUnconfirmed is set if the answers to BEGIN may be repetitions.
	beginUnconfirmed bool
}

// execution is a prepared statement that the server ran.
type execution struct {
	id     string
	shape  statement.Shape
	values map[string]string
	conn   int
}

type fakeConn struct {
	s        *fakeServer
	id       int
	customer string
	state    statement.State
	values   map[string]string
	prepared map[string]statement.Shape
}

func (s *fakeServer) Dial(_ context.Context, t statement.Target) (statement.Conn, error) {
	time.Sleep(s.dialDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dialErr != nil {
		return nil, s.dialErr
	}
	s.conns++
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	c := &fakeConn{s: s, id: s.conns, customer: t.Customer, values: map[string]string{}, prepared: map[string]statement.Shape{}}
	s.dialed = append(s.dialed, c)
	return c, nil
}

// forgetPrepared drops the prepared statements of all connections.
func (s *fakeServer) forgetPrepared() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.dialed {
		clear(c.prepared)
	}
}

func (c *fakeConn) Run(deadline time.Time, commands ...statement.Command) ([]statement.Result, error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	var out []statement.Result
	for _, cmd := range commands {
		if c.s.unresponsive || c.s.dropsAnswer != nil && c.s.dropsAnswer(cmd) {
			return out, verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "lost")
		}
		c.s.commands = append(c.s.commands, fmt.Sprintf("%d:%s %s%s %v", c.id, cmd.Kind, cmd.Text, cmd.Name, c.values))
		out = append(out, c.runOne(cmd))
	}
	return out, nil
}

func (c *fakeConn) runOne(cmd statement.Command) statement.Result {
	if c.s.failWith != nil {
		if e := c.s.failWith(c, cmd); e != nil {
			if c.state == statement.InTransaction {
				c.state = statement.Failed
			}
			return statement.Result{Err: e, State: c.state}
		}
	}
	switch cmd.Kind {
	case statement.Begin, statement.BeginRead:
		c.state = statement.InTransaction
	case statement.Commit:
		c.s.number++
		c.state = statement.Idle
	case statement.Rollback:
		c.state = statement.Idle
	case statement.Set:
		c.values[cmd.Name] = cmd.Arguments
	case statement.Prepare:
		c.prepared[cmd.Name] = cmd.Shape
	case statement.Execute:
		shape, ok := c.prepared[cmd.Name]
		if !ok {
			if c.state == statement.InTransaction {
				c.state = statement.Failed
			}
			return statement.Result{Err: verdict.New(verdict.NotRun, verdict.UnknownStatement, "none"), State: c.state}
		}
		c.s.executed = append(c.s.executed, execution{id: cmd.ID, shape: shape, values: maps.Clone(c.values), conn: c.id})
	}
	r := statement.Result{State: c.state, Position: statement.Position{Term: 1, Number: c.s.number}}
	switch cmd.Kind {
	case statement.Read, statement.Write, statement.Execute, statement.Commit:
		r.Signature = "sig"
	case statement.Begin:
		r.Unconfirmed = c.s.beginUnconfirmed
	}
	return r
}

func (c *fakeConn) IsOpen() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return !c.s.idleConnsClosed
}

func (c *fakeConn) Status(time.Time) (statement.Status, error) { return statement.Status{}, nil }

func (c *fakeConn) Reset(time.Time) error {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.s.unresponsive {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "silent")
	}
	c.s.resets++
	clear(c.values)
	clear(c.prepared)
	return nil
}

func (c *fakeConn) Number() uint64 { return uint64(c.id) }

func (c *fakeConn) Close() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.open--
}

// fakeAuthority lets this host use "db" as the primary while hasPrimary is set.
type fakeAuthority struct {
	mu              sync.Mutex
	hasPrimary      bool
	rejectsCommits  bool
	notPrimaryCalls int
	position        statement.Position
	missingCalls    int
	positions       []statement.Position
}

func (a *fakeAuthority) AwaitPrimary(_ context.Context, g string, read bool, _ time.Duration) (string, bool) {
	return a.Primary(g, read)
}

func (a *fakeAuthority) Primary(string, bool) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return "db", a.hasPrimary
}

func (a *fakeAuthority) RecordAnswer(_, _ string, _ time.Duration, p statement.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.positions = append(a.positions, p)
}

func (a *fakeAuthority) ConfirmCommit(context.Context, string, string, statement.Position, time.Duration) bool {
	return !a.rejectsCommits
}

func (a *fakeAuthority) Position(string, string) statement.Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.position
}

func (a *fakeAuthority) RecordMissingPosition(string, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.missingCalls++
}

func (a *fakeAuthority) RecordNotPrimary(string, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notPrimaryCalls++
}

// fakeSource registers one server, which is cold for coldFor after its registration.
type fakeSource struct{ coldFor time.Duration }

func (fakeSource) ConfigurationSpace() string    { return "conf" }
func (fakeSource) RegistrySpace() string         { return "reg" }
func (fakeSource) IsConfiguration(string) bool   { return true }
func (fakeSource) ZoneOut(string) (string, bool) { return "", false }

func (fakeSource) DecodeConfiguration([]byte) (*catalog.Configuration, error) {
	doc := &config.Document{Version: 1}
	doc.Inventory.Groups = []config.Group{{Name: "g"}}
	return &catalog.Configuration{Document: doc, Groups: map[string]catalog.GroupSettings{"g": {Connections: 12, ColdRate: 20}}, IdleTransactionTimeout: 100 * time.Millisecond}, nil
}

func (o fakeSource) DecodeServer(string, []byte) (catalog.Server, error) {
	return catalog.Server{Server: config.Server{Name: "db", Address: "a:1", Slots: 2}, Group: "g", ColdRemaining: o.coldFor}, nil
}

type fixture struct {
	t         *testing.T
	server    *fakeServer
	authority *fakeAuthority
	x         *Executor
}

func newFixture(t *testing.T) *fixture { return newColdFixture(t, 0) }

func newColdFixture(t *testing.T, cold time.Duration) *fixture {
	f := &fixture{t: t, server: &fakeServer{}, authority: &fakeAuthority{hasPrimary: true}}
	c := catalog.New(fakeSource{coldFor: cold}, []string{"z"}, customer.Window{})
	change := func(key string) []store.Change { return []store.Change{{Row: store.Row{Key: key}}} }
	c.ApplyConfigurationRows(change("conf/x"), true)
	c.ApplyRegistryRows(0, change("reg/db"), true)
	snapshot := c.Snapshot()
	start := time.Now()
	f.x = New(Options{
		Dialer: f.server, Authority: f.authority, Snapshot: func() *catalog.Snapshot { return snapshot },
		IsHomeHost: func(string) bool { return true }, Clock: func() time.Duration { return time.Since(start) },
		Log: &log.Logger{Level: log.PanicLevel}, Counters: telemetry.NewCounters(),
	}, 100)
	return f
}

func (f *fixture) do(req *peerpb.ExecuteRequest) *peerpb.ExecuteResponse {
	return f.doWithin(context.Background(), req)
}

func (f *fixture) doWithin(ctx context.Context, req *peerpb.ExecuteRequest) *peerpb.ExecuteResponse {
	if req.Customer == "" {
		req.Customer = "c"
	}
	req.Server, req.Group = "db", "g"
	req.TimeoutUs, req.WaitUs = (2 * time.Second).Microseconds(), time.Second.Microseconds()
	return f.x.Execute(ctx, req)
}

func read() *peerpb.ExecuteRequest {
	return &peerpb.ExecuteRequest{Kind: uint32(statement.Read), Id: "1", Text: "READ a"}
}

func write() *peerpb.ExecuteRequest {
	return &peerpb.ExecuteRequest{Kind: uint32(statement.Write), Id: "1", Text: "WRITE a b", Primary: true}
}

func (f *fixture) wantFailure(r *peerpb.ExecuteResponse, v verdict.Verdict, reason verdict.Reason) {
	f.t.Helper()
	assert.Assert(f.t, r.GetFailure() != nil)
	assert.Equal(f.t, r.GetFailure().GetReason(), string(reason), r.GetFailure().GetMessage())
	want := uint32(0)
	if v == verdict.NotRun {
		want = uint32(verdict.NotRun)
	}
	assert.Equal(f.t, r.GetFailure().GetVerdict(), want)
}

// Guards against running a statement with the session values of another session, and
// against executing a prepared statement that the connection does not have.
func TestStatementRunsWithStateOfItsSession(t *testing.T) {
	f := newFixture(t)
	readWithValues := func(values map[string]string) *peerpb.ExecuteRequest {
		r := read()
		r.Values = values
		return r
	}
	assert.Assert(t, f.do(readWithValues(map[string]string{"v": "1"})).GetFailure() == nil)
	assert.Assert(t, f.do(readWithValues(map[string]string{"v": "2"})).GetFailure() == nil)
	assert.Equal(t, f.server.commands[len(f.server.commands)-1], "1:read READ a map[v:2]")
	assert.Assert(t, f.do(readWithValues(nil)).GetFailure() == nil)
	assert.Equal(t, f.server.commands[len(f.server.commands)-1], "1:read READ a map[]")
	e := &peerpb.ExecuteRequest{Kind: uint32(statement.Execute), Id: "2", Arguments: "a", Shape: "q"}
	assert.Assert(t, f.do(e).GetFailure() == nil)
	before := len(f.server.commands)
	assert.Assert(t, f.do(e).GetFailure() == nil)
	assert.Equal(t, len(f.server.commands), before+1, "prepared again")
	assert.Equal(t, f.server.conns, 1)
}

// Guards against sharing a connection between two customers.
func TestConnectionsBelongToOneCustomer(t *testing.T) {
	f := newFixture(t)
	for _, c := range []string{"a", "b", "a", "b"} {
		r := read()
		r.Customer = c
		assert.Assert(t, f.do(r).GetFailure() == nil)
	}
	assert.Equal(t, f.server.conns, 2)
}

// Guards against running the statements of a transaction on different connections, and
// against reusing its connection before the transaction has ended.
func TestTransactionKeepsItsConnection(t *testing.T) {
	f := newFixture(t)
	first := write()
	first.BeginId, first.BeginText = "0", "BEGIN"
	r := f.do(first)
	assert.Assert(t, r.GetTransaction() != 0)
	assert.Assert(t, f.do(read()).GetFailure() == nil) // another session
	next := write()
	next.Transaction = r.GetTransaction()
	assert.Assert(t, f.do(next).GetFailure() == nil)
	commit := &peerpb.ExecuteRequest{Kind: uint32(statement.Commit), Id: "3", Text: "COMMIT", Transaction: r.GetTransaction()}
	done := f.do(commit)
	assert.Assert(t, done.GetFailure() == nil && done.GetTransaction() == 0)
	assert.Equal(t, f.server.commands[0], "1:begin BEGIN map[]")
	assert.Equal(t, f.server.commands[len(f.server.commands)-1], "1:commit COMMIT map[]")
	f.wantFailure(f.do(next), verdict.NotRun, verdict.TransactionAborted)
}

// Guards against reporting the success of a statement whose transaction was rolled back,
// because the caller's context ended while the statement ran: the caller would run the
// rest of the transaction, and its COMMIT, in another one.
func TestRolledBackTransactionIsNotReportedAsSuccess(t *testing.T) {
	for _, statements := range []int{1, 2} {
		f := newFixture(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		writes := 0
		f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
			if cmd.Kind == statement.Write {
				if writes++; writes == statements {
					cancel()
				}
			}
			return nil
		}
		req := write()
		req.BeginId, req.BeginText = "0", "BEGIN"
		r := f.doWithin(ctx, req)
		for range statements - 1 {
			assert.Assert(t, r.GetTransaction() != 0)
			next := write()
			next.Transaction = r.GetTransaction()
			r = f.doWithin(ctx, next)
		}
		f.wantFailure(r, verdict.NotRun, verdict.TransactionAborted)
		assert.Equal(t, r.GetTransaction(), uint64(0))
		assert.Equal(t, f.x.Transactions(), 0)
		assert.Equal(t, f.server.commands[len(f.server.commands)-1], "1:rollback  map[]")
	}
}

// Guards against a wrong verdict about a lost or failed statement: NotRun although it
// may have run, or MayHaveRun although it certainly did not.
func TestVerdictOfLostOrFailedStatement(t *testing.T) {
	f := newFixture(t)
	ofKind := func(k statement.Kind) func(statement.Command) bool {
		return func(c statement.Command) bool { return c.Kind == k }
	}
	f.server.dropsAnswer = ofKind(statement.Write)
	f.wantFailure(f.do(write()), verdict.MayHaveRun, verdict.AnswerOverdue)
	inTx := write()
	inTx.BeginText = "BEGIN"
	f.wantFailure(f.do(inTx), verdict.NotRun, verdict.TransactionAborted)
	f.server.dropsAnswer = ofKind(statement.Begin)
	f.wantFailure(f.do(inTx), verdict.NotRun, verdict.AnswerOverdue)
	f.server.dropsAnswer = ofKind(statement.Commit)
	r := f.do(inTx)
	assert.Assert(t, r.GetTransaction() != 0)
	commit := &peerpb.ExecuteRequest{Kind: uint32(statement.Commit), Text: "COMMIT", Transaction: r.GetTransaction()}
	f.wantFailure(f.do(commit), verdict.MayHaveRun, verdict.AnswerOverdue)
	f.server.dropsAnswer = nil
	f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
		if cmd.Kind == statement.Write {
			return verdict.New(verdict.NotRun, verdict.ReadOnly, "the server is not the primary")
		}
		return nil
	}
	f.wantFailure(f.do(write()), verdict.NotRun, verdict.ReadOnly)
	assert.Equal(t, f.authority.notPrimaryCalls, 1)
}

// Guards against acknowledging a commit that a change of the primary may roll back.
func TestUnconfirmedCommitMayHaveRun(t *testing.T) {
	f := newFixture(t)
	f.authority.rejectsCommits = true
	f.wantFailure(f.do(write()), verdict.MayHaveRun, verdict.AuthorityLost)
	inTx := write()
	inTx.BeginText = "BEGIN"
	r := f.do(inTx)
	assert.Assert(t, r.GetTransaction() != 0)
	commit := &peerpb.ExecuteRequest{Kind: uint32(statement.Commit), Text: "COMMIT", Transaction: r.GetTransaction()}
	f.wantFailure(f.do(commit), verdict.MayHaveRun, verdict.AuthorityLost)
	current := read()
	current.Primary = true
	assert.Assert(t, f.do(current).GetFailure() == nil)
	assert.Equal(t, f.x.Transactions(), 0)
}

// Guards against a host that uses a server as the primary without owning the group.
func TestPrimaryRequiresAuthority(t *testing.T) {
	f := newFixture(t)
	f.authority.hasPrimary = false
	f.wantFailure(f.do(write()), verdict.NotRun, verdict.NoPrimary)
	assert.Equal(t, len(f.server.commands), 0)
}

// Guards against failing a statement because the server had no free slot for a moment,
// and against retrying a statement that may have run.
func TestStatementIsRetriedAtBusyServer(t *testing.T) {
	f := newFixture(t)
	tries := 0
	f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
		if tries++; tries < 3 {
			return verdict.New(verdict.NotRun, verdict.ServerBusy, "no slot")
		}
		return nil
	}
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	assert.Equal(t, tries, 3)
	f.server.failWith = func(*fakeConn, statement.Command) *verdict.Error {
		tries++
		return verdict.New(verdict.MayHaveRun, verdict.StatementFailed, "failed")
	}
	tries = 0
	f.wantFailure(f.do(write()), verdict.MayHaveRun, verdict.StatementFailed)
	assert.Equal(t, tries, 1)
}

// Guards against sending a write on an unresponsive connection. After an answer of the
// server was overdue, its other connections may be unresponsive, too.
func TestUnresponsiveConnectionIsDetectedBeforeWrite(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	p := f.x.pools["db"]
	time.Sleep(2 * time.Millisecond)
	p.recordOverdueAnswer()
	f.server.mu.Lock()
	f.server.unresponsive = true
	f.server.mu.Unlock()
	f.wantFailure(f.do(write()), verdict.NotRun, verdict.ConnectionLost)
	f.server.mu.Lock()
	f.server.unresponsive = false
	f.server.mu.Unlock()
	assert.Assert(t, f.do(write()).GetFailure() == nil)
}

// Guards against a transaction that holds its connection after its entry host failed.
func TestAbandonedTransactionEnds(t *testing.T) {
	f := newFixture(t)
	first := write()
	first.BeginText = "BEGIN"
	assert.Assert(t, f.do(first).GetTransaction() != 0)
	assert.Equal(t, f.x.Transactions(), 1)
	time.Sleep(100*time.Millisecond + idleTransactionMargin + 20*time.Millisecond)
	f.x.sweep()
	assert.Equal(t, f.x.Transactions(), 0)
	assert.Equal(t, f.server.open, 0)
}

// Guards against reporting that a write may have run when it was only sent on a
// connection that the server had closed while it was idle.
func TestClosedIdleConnectionIsDetectedBeforeUse(t *testing.T) {
	f := newFixture(t)
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	f.server.mu.Lock()
	f.server.idleConnsClosed = true
	f.server.mu.Unlock()
	f.wantFailure(f.do(write()), verdict.NotRun, verdict.ConnectionLost)
	assert.Equal(t, f.server.number+uint64(len(f.server.commands)), uint64(1))
}

// Guards against overloading a server that has just started.
func TestColdServerGetsFewRequests(t *testing.T) {
	f := newColdFixture(t, 400*time.Millisecond)
	begin, served := time.Now(), 0
	for time.Since(begin) < 300*time.Millisecond {
		if f.do(read()).GetFailure() == nil {
			served++
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, served >= 2 && served <= 7, "%d served in 0.3 s at 20 a second", served)
	time.Sleep(150 * time.Millisecond)
	for range 20 {
		assert.Assert(t, f.do(read()).GetFailure() == nil)
	}
}

// Guards against usage counts that count a transaction or a retried statement more than
// once, or a statement that did not run.
func TestUsageCountsOperationsThatRun(t *testing.T) {
	f := newFixture(t)
	f.x.opt.Usage = usage.NewCounter(f.x.opt.Clock, time.Minute, telemetry.NewCounters())
	var refusals int
	var refuse *verdict.Error
	f.server.failWith = func(*fakeConn, statement.Command) *verdict.Error {
		if refusals == 0 {
			return nil
		}
		refusals--
		return refuse
	}
	count := func() int64 { return f.x.opt.Usage.Count(0, time.Hour)["c"] }
	f.do(read())
	assert.Equal(t, count(), int64(1))
	// A transaction of two statements and a COMMIT.
	first := read()
	first.BeginId, first.BeginText = "0", "BEGIN READ"
	resp := f.do(first)
	assert.Assert(t, resp.GetTransaction() != 0)
	f.do(&peerpb.ExecuteRequest{Kind: uint32(statement.Read), Id: "2", Text: "READ b", Transaction: resp.GetTransaction()})
	f.do(&peerpb.ExecuteRequest{Kind: uint32(statement.Commit), Id: "3", Text: "COMMIT", Transaction: resp.GetTransaction()})
	assert.Equal(t, count(), int64(2))
	// The server has no free slot twice and runs the third try.
	refusals, refuse = 2, verdict.New(verdict.NotRun, verdict.ServerBusy, "busy")
	f.do(read())
	assert.Equal(t, count(), int64(3))
	// The replica is behind: nothing ran.
	refusals, refuse = 1, verdict.New(verdict.NotRun, verdict.ReadOnly, "read-only")
	f.do(write())
	assert.Equal(t, count(), int64(3))
	// The statement ran and failed, or its answer was lost.
	refusals, refuse = 1, verdict.New(verdict.Ran, verdict.StatementFailed, "failed")
	f.do(read())
	f.server.dropsAnswer = func(statement.Command) bool { return true }
	f.do(read())
	assert.Equal(t, count(), int64(5))
}

// Guards against a read on the primary that lacks acknowledged commits, because its server has
// started again without its log and the host does not know it yet.
func TestReadsOfThePrimaryRequireItsKnownPosition(t *testing.T) {
	known := statement.Position{Term: 1, Number: 10}
	readTx := read()
	readTx.BeginId, readTx.BeginText, readTx.BeginReads = "0", "BEGIN READ", true
	writeTx := read()
	writeTx.BeginId, writeTx.BeginText = "0", "BEGIN"
	prepared := execute("q")
	for name, req := range map[string]*peerpb.ExecuteRequest{"read": read(), "execute": prepared, "read-only transaction": readTx, "transaction": writeTx} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			req.Primary = true
			f.authority.position = known
			ran := 0
			f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
				if cmd.Kind == statement.Prepare {
					return nil
				}
				assert.Equal(t, cmd.Floor, known)
				if f.server.number < cmd.Floor.Number {
					return verdict.New(verdict.NotRun, verdict.NoFreshReplica, "behind")
				}
				ran++
				return nil
			}
			f.wantFailure(f.do(req), verdict.NotRun, verdict.NoFreshReplica)
			assert.Equal(t, ran, 0)
			assert.Equal(t, f.authority.missingCalls, 1)
		})
	}
}

// Guards against a write that is sent with a log position, which the protocol does not allow,
// and against one on the statements of a transaction.
func TestWritesRequireNoPosition(t *testing.T) {
	f := newFixture(t)
	f.authority.position = statement.Position{Term: 1, Number: 10}
	f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
		assert.Assert(t, cmd.Kind == statement.Begin || cmd.Floor.IsZero(), "%s", cmd.Kind)
		return nil
	}
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	prepared := execute("q")
	prepared.ShapeWrites, prepared.Primary = true, true
	assert.Assert(t, f.do(prepared).GetFailure() == nil)
	first := write()
	first.BeginText = "BEGIN"
	next := read()
	next.Transaction = f.do(first).GetTransaction()
	assert.Assert(t, next.Transaction != 0)
	assert.Assert(t, f.do(next).GetFailure() == nil)
}
