package frontend

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// caller is a statement.Client that the test plays.
type caller struct {
	start   statement.Start
	in      chan statement.Statement
	out     chan statement.Result
	refused *verdict.Error
	wake    time.Time
	poke    chan struct{}
	// waits counts the waits for a statement.
	waits atomic.Int64
	// opened is closed once the session is accepted or refused.
	opened chan struct{}
}

type timeout struct{}

func (timeout) Error() string { return "timeout" }
func (timeout) Timeout() bool { return true }

func (c *caller) Start() (statement.Start, error) { return c.start, nil }

func (c *caller) Next() (statement.Statement, error) {
	c.waits.Add(1)
	var wake <-chan time.Time
	if !c.wake.IsZero() {
		wake = time.After(time.Until(c.wake))
	}
	select {
	case s, ok := <-c.in:
		if !ok {
			return s, io.EOF
		}
		return s, nil
	case <-wake:
		return statement.Statement{}, timeout{}
	case <-c.poke:
		return statement.Statement{}, timeout{}
	}
}

func (c *caller) Welcome() error                  { close(c.opened); return nil }
func (c *caller) Refuse(e *verdict.Error) error   { c.refused = e; close(c.opened); return nil }
func (c *caller) Answer(r statement.Result) error { c.out <- r; return nil }
func (c *caller) Pending() bool                   { return len(c.in) > 0 }
func (c *caller) WakeAt(t time.Time)              { c.wake = t }
func (c *caller) Interrupt()                      { c.poke <- struct{}{} }
func (c *caller) Close()                          {}

// call is one statement that reached a host.
type call struct {
	host string
	req  *peerpb.ExecuteRequest
}

// hosts is a Fleet with one group of three servers, of which p is the primary.
type hosts struct {
	mu     sync.Mutex
	calls  []call
	answer func(host string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error)
	owner  bool
	nextTx uint64
}

func (h *hosts) View(string) routing.View {
	v := routing.View{Primary: "p", Homes: map[string]routing.Host{}, Unreachable: map[string]bool{}}
	for _, n := range []string{"p", "r1", "r2"} {
		v.Group.Servers = append(v.Group.Servers, config.Server{Name: n})
		v.Homes[n] = routing.Host{Name: "home-" + n}
	}
	return v
}

func (h *hosts) Owner(string) (routing.Host, bool) { return routing.Host{Name: "owner"}, h.owner }

func (h *hosts) Execute(_ context.Context, host routing.Host, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call{host.Name, req})
	if h.answer != nil {
		if r, err := h.answer(host.Name, req); r != nil || err != nil {
			return r, err
		}
	}
	return h.success(req), nil
}

func (h *hosts) success(req *peerpb.ExecuteRequest) *peerpb.ExecuteResponse {
	r := &peerpb.ExecuteResponse{Signature: "sig", Rows: []string{"row"}, Position: &peerpb.Token{Term: 1, Position: 50}, Authoritative: req.GetPrimary()}
	if req.GetBeginText() != "" || req.GetTransaction() != 0 {
		h.nextTx = 9
		r.Transaction = h.nextTx
	}
	if k := statement.Kind(req.GetKind()); k == statement.Commit || k == statement.Rollback {
		r.Transaction = 0
	}
	return r
}

func (h *hosts) seen() []call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]call(nil), h.calls...)
}

func failure(v verdict.Verdict, r verdict.Reason) *peerpb.ExecuteResponse {
	code := uint32(0)
	if v == verdict.NotRun {
		code = uint32(verdict.NotRun)
	}
	return &peerpb.ExecuteResponse{Failure: &peerpb.Failure{Verdict: code, Reason: string(r), Message: "x"}}
}

func (l *limiter) Return(string) { l.admitted-- }

type limiter struct {
	admitted int
	refuse   bool
}

func (l *limiter) Admit(context.Context, string) error {
	if l.refuse {
		return verdict.New(verdict.NotRun, verdict.RateLimited, "over its rate")
	}
	l.admitted++
	return nil
}

// sources gives one configuration with a route for each mode and one key.
type sources struct{}

func (sources) ConfigurationSpace() string                          { return "conf" }
func (sources) RegistrySpace() string                               { return "reg" }
func (sources) IsConfiguration(string) bool                         { return true }
func (sources) ZoneOut(string) (string, bool)                       { return "", false }
func (sources) DecodeServer(string, []byte) (catalog.Server, error) { return catalog.Server{}, nil }

const keyDigest = "2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683" // sha256 of "key"

func (sources) DecodeConfiguration(value []byte) (*catalog.Configuration, error) {
	doc := &config.Document{Version: config.Version(len(value))}
	doc.Inventory.Groups = []config.Group{{Name: "g"}}
	if string(value) != "withdrawn" {
		doc.Inventory.Customers = []config.Customer{{Name: "cust", Keys: []config.KeyRef{{SHA256: keyDigest}}}}
	}
	for name, mode := range map[string]config.RouteMode{"current": config.RouteCurrent, "bounded": config.RouteBounded, "own": config.RouteOwnWrites} {
		doc.Rules.Routes = append(doc.Rules.Routes, config.Route{
			Name: name, Group: "g", Mode: mode, Staleness: config.Duration(time.Second),
			Deadline: config.Duration(400 * time.Millisecond), Target: config.Duration(200 * time.Millisecond),
		})
	}
	return &catalog.Configuration{Document: doc, Groups: map[string]catalog.GroupSettings{"g": {}}, IdleTx: 80 * time.Millisecond}, nil
}

type fixture struct {
	t       *testing.T
	f       *Frontend
	hosts   *hosts
	limiter *limiter
	catalog *catalog.Catalog
	mu      sync.Mutex
	snap    *catalog.Snapshot
	fresh   bool
	start   time.Time
}

func newFixture(t *testing.T) *fixture {
	x := &fixture{t: t, hosts: &hosts{owner: true}, limiter: &limiter{}, fresh: true, start: time.Now()}
	x.catalog = catalog.New(sources{}, []string{"z"}, customer.Window{})
	x.configure("c")
	counters := telemetry.NewCounters()
	x.f = New(Options{
		Snapshot:  func() *catalog.Snapshot { x.mu.Lock(); defer x.mu.Unlock(); return x.snap },
		KeysFresh: func() (bool, time.Duration) { x.mu.Lock(); defer x.mu.Unlock(); return x.fresh, 0 },
		Fleet:     x.hosts, Limiter: x.limiter, Clock: x.now, Log: &log.Logger{Level: log.PanicLevel}, Counters: counters,
		Latencies: telemetry.NewLatencies(counters), MaxClients: 10, AbortAfter: time.Second,
	})
	return x
}

func (x *fixture) now() time.Duration { return time.Since(x.start) + time.Minute }

func (x *fixture) configure(value string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.catalog.ConfigurationRows([]store.Change{{Row: store.Row{Key: "conf/x", Value: []byte(value)}}}, true)
	x.snap = x.catalog.Snapshot()
}

// sample makes position n of term 1 known as of now.
func (x *fixture) sample(n uint64) { x.f.Observe("g", x.now(), statement.Position{Term: 1, Number: n}) }

func (x *fixture) open(route string) *caller {
	c := &caller{start: statement.Start{Route: route, Key: "key"}, in: make(chan statement.Statement, 4), out: make(chan statement.Result, 4), poke: make(chan struct{}, 1), opened: make(chan struct{})}
	s := newSession(x.f, c)
	done := make(chan struct{})
	go func() { s.serve(); close(done); close(c.out) }()
	<-c.opened
	x.t.Cleanup(func() {
		select {
		case <-done:
		default:
			close(c.in)
			<-done
		}
	})
	return c
}

func (c *caller) do(k statement.Kind, text string) statement.Result {
	c.in <- statement.Statement{ID: "id", Kind: k, Text: text}
	return <-c.out
}

func wantErr(t *testing.T, r statement.Result, v verdict.Verdict, reason verdict.Reason) {
	t.Helper()
	assert.Assert(t, r.Err != nil)
	assert.Equal(t, r.Err.Reason, reason)
	assert.Equal(t, r.Err.Verdict, v)
}

// Guards against a read at a replica without the position that its route promises.
func TestFloors(t *testing.T) {
	x := newFixture(t)
	x.sample(10)
	b := x.open("bounded")
	assert.Assert(t, b.do(statement.Read, "READ a").Err == nil)
	first := x.hosts.seen()[0]
	assert.Assert(t, first.host != "owner")
	assert.Equal(t, first.req.GetFloor().GetPosition(), uint64(10))
	own := x.open("own")
	assert.Assert(t, own.do(statement.Write, "WRITE a b").Err == nil) // commits position 50
	assert.Assert(t, own.do(statement.Read, "READ a").Err == nil)
	calls := x.hosts.seen()
	assert.Equal(t, calls[1].host, "owner")
	assert.Equal(t, calls[2].req.GetFloor().GetPosition(), uint64(50))
	current := x.open("current")
	assert.Assert(t, current.do(statement.Read, "READ a").Err == nil)
	calls = x.hosts.seen()
	assert.Assert(t, calls[3].req.GetPrimary() && calls[3].host == "owner")
}

// Guards against a stale read when the samples are older than the bound.
func TestReadWithoutRecentSampleGoesToThePrimary(t *testing.T) {
	x := newFixture(t)
	x.f.Observe("g", x.now()-2*time.Second, statement.Position{Term: 1, Number: 10})
	assert.Assert(t, x.open("bounded").do(statement.Read, "READ a").Err == nil)
	assert.Equal(t, x.hosts.seen()[0].host, "owner")
}

// Guards against a write that runs twice, and a read that fails although another
// server could serve it.
func TestRepetition(t *testing.T) {
	x := newFixture(t)
	x.sample(10)
	x.hosts.answer = func(host string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		if len(x.hosts.calls) == 1 {
			return failure(verdict.MayHaveRun, verdict.ConnectionLost), nil
		}
		return nil, nil
	}
	assert.Assert(t, x.open("bounded").do(statement.Read, "READ a").Err == nil)
	assert.Equal(t, len(x.hosts.seen()), 2)
	x.hosts.calls = nil
	wantErr(t, x.open("bounded").do(statement.Write, "WRITE a b"), verdict.MayHaveRun, verdict.ConnectionLost)
	assert.Equal(t, len(x.hosts.seen()), 1)
	x.hosts.calls = nil
	x.hosts.answer = func(string, *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		if len(x.hosts.calls) < 3 {
			return failure(verdict.NotRun, verdict.NoPrimary), nil
		}
		return nil, nil
	}
	assert.Assert(t, x.open("bounded").do(statement.Write, "WRITE a b").Err == nil)
	assert.Equal(t, len(x.hosts.seen()), 3)
}

// Guards against a refusal that comes late when no primary can be found.
func TestRefusalWithoutPrimaryComesEarly(t *testing.T) {
	x := newFixture(t)
	x.hosts.owner = false
	began := time.Now()
	wantErr(t, x.open("current").do(statement.Read, "READ a"), verdict.NotRun, verdict.NoPrimary)
	assert.Assert(t, time.Since(began) < 150*time.Millisecond, "%v", time.Since(began))
}

// Guards against a failed transaction that goes on, and one that is not rolled
// back.
func TestTransactions(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	assert.Equal(t, c.do(statement.Begin, "BEGIN").State, statement.InTransaction)
	assert.Equal(t, len(x.hosts.seen()), 0, "BEGIN alone reached a server")
	r := c.do(statement.Write, "WRITE a b")
	assert.Equal(t, r.State, statement.InTransaction)
	assert.Equal(t, x.hosts.seen()[0].req.GetBeginText(), "BEGIN")
	x.hosts.answer = func(_ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		if statement.Kind(req.GetKind()) == statement.Read {
			return failure(verdict.NotRun, verdict.TransactionAborted), nil
		}
		return nil, nil
	}
	r = c.do(statement.Read, "READ a")
	wantErr(t, r, verdict.NotRun, verdict.TransactionAborted)
	assert.Equal(t, r.State, statement.Failed)
	wantErr(t, c.do(statement.Set, "SET a b"), verdict.NotRun, verdict.ProtocolViolation)
	r = c.do(statement.Rollback, "ROLLBACK")
	assert.Assert(t, r.Err == nil && r.State == statement.Idle)
	assert.Equal(t, x.limiter.admitted, 1)
}

// Guards against a promise after a COMMIT of which nothing is known.
func TestLostCommitIsInDoubt(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	c.do(statement.Begin, "BEGIN")
	c.do(statement.Write, "WRITE a b")
	x.hosts.answer = func(string, *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "no answer")
	}
	r := c.do(statement.Commit, "COMMIT")
	wantErr(t, r, verdict.MayHaveRun, verdict.AnswerOverdue)
	assert.Equal(t, r.State, statement.Idle)
}

// Guards against a transaction that holds its connection while its caller rests.
func TestRestingTransactionEnds(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	c.do(statement.Begin, "BEGIN")
	c.do(statement.Write, "WRITE a b")
	time.Sleep(200 * time.Millisecond)
	calls := x.hosts.seen()
	assert.Equal(t, statement.Kind(calls[len(calls)-1].req.GetKind()), statement.Rollback)
	wantErr(t, c.do(statement.Read, "READ a"), verdict.NotRun, verdict.ProtocolViolation)
	wantErr(t, c.do(statement.Commit, "COMMIT"), verdict.NotRun, verdict.TransactionAborted)
}

// Guards against a session that waits in a busy loop after its idle limit has
// passed. Callers that rest inside transactions used up the processor of every
// host of their zone that way.
func TestRestingTransactionTakesNoProcessorTime(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	c.do(statement.Begin, "BEGIN")
	c.do(statement.Write, "WRITE a b")
	time.Sleep(200 * time.Millisecond)
	// Two statements, the end of the transaction, and what follows it.
	assert.Assert(t, c.waits.Load() <= 6, "%d waits", c.waits.Load())
}

// Guards against work for a key that was withdrawn, or that may have been, and
// against telling a caller that its key or route is unknown when only the own
// knowledge is old.
func TestKeys(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	assert.Assert(t, c.do(statement.Read, "READ a").Err == nil)
	x.mu.Lock()
	x.fresh = false
	x.mu.Unlock()
	wantErr(t, c.do(statement.Read, "READ a"), verdict.NotRun, verdict.StaleConfiguration)
	x.mu.Lock()
	x.fresh = true
	x.mu.Unlock()
	c = x.open("current")
	x.configure("withdrawn")
	wantErr(t, c.do(statement.Read, "READ a"), verdict.NotRun, verdict.BadKey)
	_, goesOn := <-c.out
	assert.Assert(t, !goesOn, "the session of a withdrawn key goes on")
	assert.Equal(t, len(x.hosts.seen()), 1)
}

// Guards against a session that a planned stop cuts in the middle of its
// transaction, and one that it leaves open.
func TestPlannedStop(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	c.do(statement.Begin, "BEGIN")
	c.do(statement.Write, "WRITE a b")
	x.f.mu.Lock()
	x.f.closing = true
	x.f.mu.Unlock()
	c.Interrupt()
	assert.Assert(t, c.do(statement.Commit, "COMMIT").Err == nil)
	_, goesOn := <-c.out
	assert.Assert(t, !goesOn)
}

// Guards against bad input that harms the session or reaches a server.
func TestBadInput(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	wantErr(t, c.do(statement.Unknown, "DROP"), verdict.NotRun, verdict.ProtocolViolation)
	wantErr(t, c.do(statement.Commit, "COMMIT"), verdict.NotRun, verdict.ProtocolViolation)
	wantErr(t, c.do(statement.Execute, "EXECUTE x y"), verdict.NotRun, verdict.UnknownStatement)
	c.do(statement.Begin, "BEGIN")
	wantErr(t, c.do(statement.Begin, "BEGIN"), verdict.NotRun, verdict.ProtocolViolation)
	assert.Equal(t, len(x.hosts.seen()), 0)
	x.limiter.refuse = true
	wantErr(t, x.open("current").do(statement.Read, "READ a"), verdict.NotRun, verdict.RateLimited)
	nobody := x.open("nothing")
	<-nobody.out
	assert.Equal(t, nobody.refused.Reason, verdict.UnknownRoute)
}

// Guards against an operation that did not run and still counts against its
// customer's rate: with retries, a failover would use the rate up.
func TestTokenOfAnOperationThatDidNotRunIsReturned(t *testing.T) {
	x := newFixture(t)
	x.hosts.owner = false
	c := x.open("current")
	wantErr(t, c.do(statement.Read, "READ a"), verdict.NotRun, verdict.NoPrimary)
	assert.Equal(t, x.limiter.admitted, 0)
	c.do(statement.Begin, "BEGIN")
	wantErr(t, c.do(statement.Read, "READ a"), verdict.NotRun, verdict.NoPrimary)
	c.do(statement.Rollback, "ROLLBACK")
	assert.Equal(t, x.limiter.admitted, 0)
	x.hosts.owner = true
	c.do(statement.Begin, "BEGIN")
	c.do(statement.Read, "READ a")
	c.do(statement.Rollback, "ROLLBACK")
	assert.Equal(t, x.limiter.admitted, 1)
}

// Guards against a session that is accepted when the others have ended and is cut
// by the end of the process (soak seed 204).
func TestNoSessionIsAcceptedAfterADrain(t *testing.T) {
	x := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	x.f.opt.Listener = listener
	done := make(chan error)
	go func() { done <- x.f.Run() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	x.f.Drain(ctx)
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.Assert(t, err != nil, "a session was accepted")
	assert.NilError(t, <-done)
}
