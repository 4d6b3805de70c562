package frontend

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against clients that connect, send nothing, and keep ordinary callers out, and
// against one customer that takes all sessions.
func TestAdmissionMakesRoom(t *testing.T) {
	x := newFixture(t) // 10 clients
	closed := map[string]bool{}
	now := time.Minute
	connect := func(name string) (*session, bool) {
		s := newSession(x.f, &closeRecorder{fakeClient: &fakeClient{}, closed: func() { closed[name] = true }}, nil)
		stalest, ok := x.f.register(s)
		if stalest != nil {
			stalest.client.Close()
			x.f.unregister(stalest)
		}
		return s, ok
	}
	x.f.opt.Clock = func() time.Duration { return now }
	for i := range 10 {
		_, ok := connect(fmt.Sprint("silent ", i))
		assert.Assert(t, ok)
	}
	_, ok := connect("too many that have just connected")
	assert.Assert(t, !ok)
	assert.Equal(t, len(closed), 0)
	now += startingGrace
	for i := range 9 {
		connect(fmt.Sprint("later ", i))
		assert.Assert(t, closed[fmt.Sprint("silent ", i)])
	}
	now += startingGrace
	accepted := 0
	for range 9 {
		s, ok := connect("crowd")
		s.customer = "crowd"
		if ok && x.f.accept(s) {
			accepted++
		} else {
			x.f.unregister(s)
		}
	}
	assert.Equal(t, accepted, 7)
	s, ok := connect("ordinary")
	s.customer = "ordinary"
	assert.Assert(t, ok && x.f.accept(s))
	assert.Assert(t, !closed["crowd"] && !closed["ordinary"])
	x.f.unregister(s)
	assert.Equal(t, x.f.byCustomer["ordinary"], 0)
}

type closeRecorder struct {
	*fakeClient
	closed func()
}

func (c *closeRecorder) Close() { c.closed() }

// Guards against state and statements that are kept without a reservation, against
// reservations that are not given back, and against a refusal that breaks the session.
func TestSessionMemoryIsBounded(t *testing.T) {
	x := newFixture(t)
	counters := telemetry.NewCounters()
	b := budget.New(10<<20, x.now, &log.Logger{Level: log.PanicLevel}, counters) // state 0.8 MiB, statements 1.2 MiB
	s := newSession(x.f, nil, b.Open("cust", nil))
	large := strings.Repeat("x", 300<<10)
	set := func(name, value string) *verdict.Error {
		return s.set(statement.Statement{Name: name, Arguments: value}).Err
	}
	assert.Assert(t, set("a", large) == nil)
	err := set("b", large) // more than half of the account
	assert.Equal(t, err.Reason, verdict.MemoryLimit)
	assert.Equal(t, err.Verdict, verdict.NotRun)
	assert.Equal(t, len(s.values), 1)
	assert.Assert(t, set("a", "small") == nil)
	assert.Assert(t, s.prepare(statement.Statement{Name: "p", Shape: statement.Shape{Text: large}}).Err == nil)
	assert.Assert(t, s.deallocate(statement.Statement{Name: "p"}).Err == nil)
	assert.Equal(t, s.reservedBytes, 0)
	assert.Assert(t, set("b", large) == nil)

	release, refused := s.reserveStatement(statement.Statement{Text: large})
	assert.Assert(t, release == nil)
	assert.Equal(t, refused.Reason, verdict.MemoryLimit)
	assert.Assert(t, set("b", "small") == nil)
	for range 3 {
		release, refused = s.reserveStatement(statement.Statement{Text: large[:200<<10]})
		assert.Assert(t, refused == nil)
		release()
	}
	assert.Equal(t, counters.Get("memory_state_refused"), int64(1))
	assert.Equal(t, counters.Get("memory_statements_refused"), int64(1))
}

// Guards against an open transaction that goes on after one of its statements was refused.
func TestRefusedStatementFailsTransaction(t *testing.T) {
	x := newFixture(t)
	b := budget.New(1<<20, x.now, &log.Logger{Level: log.PanicLevel}, telemetry.NewCounters())
	s := newSession(x.f, nil, b.Open("cust", nil))
	s.tx = &transaction{lastUsed: time.Second}
	r := s.runStatement(statement.Statement{Kind: statement.Read, Text: strings.Repeat("x", 100<<10)}, s.tx.route, x.now())
	assert.Equal(t, r.Err.Reason, verdict.MemoryLimit)
	assert.Equal(t, s.state(), statement.Failed)
	assert.Equal(t, len(x.fleet.recordedCalls()), 0)
}

// Guards against values that no message to a home host can carry, so that each later
// statement of the session would seem to be in doubt.
func TestValuesFitIntoMessageBetweenHosts(t *testing.T) {
	s := newSession(newFixture(t).f, nil, nil)
	megabyte := strings.Repeat("x", 1<<20)
	var refused *verdict.Error
	for i := 0; i < 10 && refused == nil; i++ {
		refused = s.set(statement.Statement{Name: fmt.Sprint("v", i), Arguments: megabyte}).Err
	}
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Verdict, verdict.NotRun)
	o := s.newOperation(statement.Statement{
		Kind: statement.Execute, Text: megabyte, Arguments: megabyte, Shape: statement.Shape{Text: megabyte},
	}, config.Route{}, 0)
	assert.Assert(t, proto.Size(o.newRequest()) <= peer.MaxTypedMessageBytes)
}

// Guards against acknowledging a PREPARE that cannot be sent on, because the name at the
// backend server is longer than that of the client: no EXECUTE of it could ever run.
func TestShapeThatCannotBeSentOnIsNotAcknowledged(t *testing.T) {
	x := newFixture(t)
	c := x.open("current")
	prepare := func(size int) statement.Result {
		c.in <- statement.Statement{ID: "id", Kind: statement.Prepare, Name: "s", Shape: statement.Shape{Text: strings.Repeat("q", size)}}
		return <-c.out
	}
	const largest = 1<<20 - len("QUERY 1 PREPARE s READ \r\n")
	wantErr(t, prepare(largest), verdict.NotRun, verdict.ProtocolViolation)
	wantErr(t, prepare(statement.MaxShapeBytes+1), verdict.NotRun, verdict.ProtocolViolation)
	assert.Assert(t, prepare(statement.MaxShapeBytes).Err == nil)
}
