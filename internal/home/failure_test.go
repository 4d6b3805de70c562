package home

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

func slots(n int) func(*config.Server, *Options) {
	return func(s *config.Server, _ *Options) { s.Slots = n }
}

// Guards against more statements at the server than it has slots, and against a
// request that waits in the queue past its deadline or is said to have run.
func TestSlotsAndQueueDeadline(t *testing.T) {
	f := newFixture(t, slots(1))
	unblock := f.srv.block("INSERT slow")
	slow := f.writer().query("INSERT slow")
	f.srv.busy("INSERT slow")
	r := f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 50_000}).query("INSERT late").result()
	wantFailure(t, r, failureNotRun, verdict.DeadlineExceeded)
	cancelled := f.writer().query("INSERT cancelled")
	assert.NilError(t, cancelled.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}}))
	wantFailure(t, cancelled.result(), failureNotRun, verdict.Cancelled)
	next := f.writer().query("INSERT next")
	assert.Equal(t, f.srv.ran("INSERT next")+f.srv.ran("INSERT late")+f.srv.ran("INSERT cancelled"), 0)
	unblock()
	assert.Assert(t, slow.result().ready != nil)
	assert.Assert(t, next.result().ready != nil)
}

// Guards against an overdue statement reported as "not run", a late answer that
// reaches another request, and a cancel request that hits another statement.
func TestOverdueAnswer(t *testing.T) {
	f := newFixture(t, slots(1))
	unblock := f.srv.block("SELECT slow")
	c := f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_READ, TimeoutUs: 100_000}).query("SELECT slow")
	wantFailure(t, c.result(), failureMayHaveRun, verdict.AnswerOverdue)
	unblock()
	for i := range 10 {
		r := f.reader(0, nil).query(fmt.Sprint("SELECT v", i)).result()
		assert.Assert(t, strings.Contains(string(r.backend), fmt.Sprint("v", i)), "%+v", r.failure)
	}
	assert.Assert(t, eventually(func() (n bool) { f.srv.with(func() { n = len(f.srv.cancels) == 1 }); return n }))
}

// Guards against a cancel request that reaches no or an unrelated statement.
func TestCancelRunningStatement(t *testing.T) {
	f := newFixture(t, nil)
	var pid uint32
	gate := make(chan struct{})
	f.srv.with(func() {
		f.srv.on = func(s *session, sql string) bool {
			if sql == "SELECT slow" {
				pid = s.pid
				<-gate
			}
			return false
		}
	})
	cancel := func(c *client) {
		assert.NilError(t, c.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}}))
	}
	idle := f.writer().query("BEGIN")
	assert.Assert(t, idle.result().ready != nil)
	cancel(idle)
	c := f.reader(0, nil).query("SELECT slow")
	f.srv.busy("SELECT slow")
	cancel(c)
	assert.Assert(t, eventually(func() (n bool) { f.srv.with(func() { n = len(f.srv.cancels) > 0 }); return n }))
	close(gate)
	assert.Assert(t, c.result().ready != nil)
	f.srv.with(func() { assert.DeepEqual(t, f.srv.cancels, []uint32{pid}) })
	// The cancel request that came between two statements has no later effect.
	for range 20 {
		assert.Assert(t, idle.query("INSERT a").result().ready != nil)
	}
}

// Guards against a cancel request that is lost while the statement of an open
// transaction waits for a slot.
func TestCancelBeforeStatementIsSent(t *testing.T) {
	f := newFixture(t, slots(1))
	tx := f.writer().query("BEGIN")
	assert.Assert(t, tx.result().ready != nil)
	// Both statements are held back, because a cancel request that the home
	// host reads only after the answer has no effect.
	unblock := f.srv.block("INSERT")
	slow := f.writer().query("INSERT slow")
	f.srv.busy("INSERT slow")
	tx.query("INSERT a")
	assert.NilError(t, tx.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}}))
	assert.Assert(t, eventually(f.cancelNoted))
	unblock()
	assert.Assert(t, slow.result().ready != nil)
	assert.Assert(t, tx.result().ready != nil)
	assert.Assert(t, eventually(func() (ok bool) { f.srv.with(func() { ok = len(f.srv.cancels) == 1 }); return ok }))
}

// cancelNoted reports whether a cancel request waits for its statement to be
// sent, or has reached the backend server.
func (f *fixture) cancelNoted() (ok bool) {
	f.srv.with(func() { ok = len(f.srv.cancels) > 0 })
	p := f.home.pools[testServer.Name]
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		r.activity.Lock()
		ok = ok || r.activity.cancel
		r.activity.Unlock()
	}
	return ok
}

// recovered reports whether all connections are open and none is silent.
func (f *fixture) recovered() (ok bool) {
	f.srv.with(func() {
		ok = len(f.srv.sessions) == testServer.Connections-backend.MonitorConnections
		for s := range f.srv.sessions {
			ok = ok && !f.srv.silent[s]
		}
	})
	return ok
}

// Guards against requests lost on a silent link: the statement on it may have
// run, all later ones must not meet a silent connection.
func TestSilentLinks(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	full := testServer.Connections - backend.MonitorConnections
	assert.Assert(t, eventually(func() bool { return f.srv.open() == full }))
	// A quiet connection is asked for a sign of life first.
	time.Sleep(verifyAfter)
	f.srv.silence()
	wantFailure(t, f.writer().query("INSERT a").result(), failureNotRun, verdict.AnswerOverdue)
	assert.Equal(t, f.srv.ran("INSERT"), 0)
	assert.Assert(t, eventually(func() bool { return f.writer().query("INSERT b").result().ready != nil }))
	var c *client
	assert.Assert(t, eventually(func() bool {
		c = f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 800_000}).query("BEGIN")
		return c.result().ready != nil
	}))
	f.srv.silence()
	wantFailure(t, c.query("INSERT c").result(), failureMayHaveRun, verdict.AnswerOverdue)
	assert.Assert(t, eventually(f.recovered), "%d open", f.srv.open())
	assert.Assert(t, f.writer().query("INSERT d").result().ready != nil)
	f.srv.with(func() {
		assert.Assert(t, f.srv.maxOpen <= testServer.Connections, "%d connections were open", f.srv.maxOpen)
	})
}

// Guards against replacing silent connections that the server still counts.
func TestSilentLinksCountUntilTheServerEndsThem(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	full := testServer.Connections - backend.MonitorConnections
	assert.Assert(t, eventually(func() bool { return f.srv.open() == full }))
	f.srv.with(func() { f.srv.linger = 3 * lingerTimeout })
	f.srv.silence()
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") < full }))
	assert.Assert(t, eventually(f.recovered), "%d open", f.srv.open())
	f.srv.with(func() {
		assert.Assert(t, f.srv.maxOpen <= testServer.Connections, "%d connections were open", f.srv.maxOpen)
	})
}

// Guards against two home hosts that exceed the connection limit together, and
// against an old home host that keeps working after its eviction.
func TestTakeover(t *testing.T) {
	evicted := make(chan string, 1)
	f := newFixture(t, func(_ *config.Server, o *Options) { o.OnEvicted = func(s string) { evicted <- s } })
	full := testServer.Connections - backend.MonitorConnections
	assert.Assert(t, eventually(func() bool { return f.srv.open() == full }))
	tx := f.writer().query("BEGIN")
	assert.Assert(t, tx.result().ready != nil)

	ctx, cancel := context.WithCancel(context.Background())
	second := New(Options{Host: "h2", Authority: f.auth})
	ended := make(chan struct{})
	go func() { _ = second.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	server := testServer
	server.Address = f.srv.ln.Addr().String()
	second.Hold("g", server, 2)
	assert.Equal(t, <-evicted, "db")
	assert.Assert(t, eventually(func() bool { return second.Connections("db") == full }))
	f.srv.with(func() {
		assert.Assert(t, f.srv.maxOpen <= testServer.Connections, "%d connections were open", f.srv.maxOpen)
	})
	wantFailure(t, tx.query("COMMIT").result(), failureMayHaveRun, verdict.ConnectionLost)
	wantFailure(t, f.writer().query("INSERT a").result(), failureNotRun, verdict.WrongHome)

	// With the role confirmed under a newer epoch the first host works again.
	f.home.Hold("g", server, 3)
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
}

// Guards against opening connections while others hold the budget.
func TestTakeoverCountsForeignConnections(t *testing.T) {
	f := newFixture(t, nil)
	f.home.Release("db")
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == 0 }))
	ctx := context.Background()
	var foreign []*dbconn.Conn
	for range 6 {
		c, err := dbconn.Dial(ctx, f.srv.ln.Addr().String(), dbconn.Credentials{}, "other/9")
		assert.NilError(t, err)
		foreign = append(foreign, c)
	}
	f.srv.with(func() { f.srv.maxOpen = 0 })
	server := testServer
	server.Address = f.srv.ln.Addr().String()
	f.home.Hold("g", server, 2)
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == 1 }))
	time.Sleep(3 * recountInterval)
	assert.Equal(t, f.home.Connections("db"), 1)
	f.srv.with(func() { assert.Assert(t, f.srv.maxOpen <= testServer.Connections, "%d", f.srv.maxOpen) })
	for _, c := range foreign {
		_ = c.Close()
	}
	full := testServer.Connections - backend.MonitorConnections
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == full }))
}

// Guards against a released server that cuts open transactions or takes new ones.
func TestReleaseDrains(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("BEGIN")
	assert.Assert(t, c.result().ready != nil)
	f.home.Release("db")
	wantFailure(t, f.writer().query("INSERT a").result(), failureNotRun, verdict.WrongHome)
	assert.Assert(t, c.query("INSERT b").result().ready != nil)
	assert.Equal(t, c.query("COMMIT").result().ready.Token.Position, uint64(1))
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == 0 && f.srv.open() == 0 }))
}

// Guards against requests that wait for a server that cannot be reached.
func TestUnreachableServerRefusesAtOnce(t *testing.T) {
	f := newFixture(t, nil)
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
	f.srv.with(func() { f.srv.refuse = true })
	f.srv.closeAll()
	assert.Assert(t, eventually(func() bool {
		r := f.writer().query("INSERT b").result()
		return r.failure != nil && r.failure.Reason == string(verdict.BackendUnreachable)
	}))
	f.srv.with(func() { f.srv.refuse = false })
	assert.Assert(t, eventually(func() bool { return f.writer().query("INSERT c").result().ready != nil }))
}

// Guards against memory use without bound for answers that wait for a commit.
func TestHeldAnswerIsBounded(t *testing.T) {
	f := newFixture(t, nil)
	f.srv.with(func() {
		f.srv.on = func(s *session, sql string) bool {
			if sql != "INSERT many" {
				return false
			}
			s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
			for range maxHeld/readBuffer + 1 {
				s.be.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, readBuffer)}})
			}
			return true
		}
	})
	wantFailure(t, f.writer().query("INSERT many").result(), failureMayHaveRun, verdict.ResultTooBig)
}

// Guards against large results that are damaged or reordered on the way.
func TestLargeResult(t *testing.T) {
	f := newFixture(t, nil)
	row := strings.Repeat("x", 3*readBuffer+7)
	f.srv.with(func() {
		f.srv.on = func(s *session, sql string) bool {
			if sql != "SELECT many" {
				return false
			}
			s.rows(row, "y", row, row)
			return true
		}
	})
	r := f.reader(0, nil).query("SELECT many").result()
	assert.Equal(t, r.types(), "TDDDDC")
	assert.Equal(t, strings.Count(string(r.backend), "x"), 3*len(row))
}

// Guards against batches sent ahead being lost or acknowledged together.
func TestBatchesSentAhead(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("BEGIN").query("INSERT a").query("COMMIT")
	for _, want := range []byte("TTI") {
		r := c.result()
		assert.Assert(t, r.ready != nil, "%+v", r.failure)
		assert.Equal(t, byte(r.ready.Status), want)
	}
	assert.Assert(t, c.ended())
	f.auth.mu.Lock()
	defer f.auth.mu.Unlock()
	assert.DeepEqual(t, f.auth.confirmed, []uint64{1})
}

// Guards against session state that reaches the next session.
func TestResetBetweenStreams(t *testing.T) {
	f := newFixture(t, nil)
	for range 5 {
		assert.Assert(t, f.writer().query("SET x = 1").result().ready != nil)
	}
	assert.Assert(t, eventually(func() bool { return f.srv.ran(resetQuery) == 5 }))
}

// Guards against slots exceeded under load, also by statements of open
// transactions.
func TestSlotsUnderLoad(t *testing.T) {
	f := newFixture(t, nil)
	var now, most int
	f.srv.with(func() {
		f.srv.on = func(_ *session, sql string) bool {
			if strings.HasPrefix(sql, "INSERT") {
				f.srv.with(func() { now++; most = max(most, now) })
				time.Sleep(time.Millisecond)
				f.srv.with(func() { now-- })
			}
			return false
		}
	})
	var wg sync.WaitGroup
	for w := range 12 {
		wg.Go(func() {
			for range 10 {
				c := f.start(&peerpb.Start{Customer: fmt.Sprint("c", w%4), Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 5e6})
				for _, sql := range []string{"BEGIN", "INSERT a", "INSERT b", "COMMIT"} {
					r := c.query(sql).result()
					assert.Check(t, r.ready != nil, "%+v", r.failure)
				}
			}
		})
	}
	wg.Wait()
	f.srv.with(func() { assert.Equal(t, most, testServer.Slots) })
}
