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

// Guards against more concurrent statements on the server than it has slots,
// and against a queued request that waits past its deadline or gets the verdict
// MayHaveRun.
func TestSlotLimitAndQueueDeadline(t *testing.T) {
	f := newFixture(t, slots(1))
	unblock := f.srv.block("INSERT slow")
	slow := f.writer().query("INSERT slow")
	f.srv.awaitStatement("INSERT slow")
	r := f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 50_000}).query("INSERT late").result()
	assertFailure(t, r, failureNotRun, verdict.DeadlineExceeded)
	cancelled := f.writer().query("INSERT cancelled")
	assert.NilError(t, cancelled.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}}))
	assertFailure(t, cancelled.result(), failureNotRun, verdict.Cancelled)
	next := f.writer().query("INSERT next")
	assert.Equal(t, f.srv.countStatements("INSERT next")+f.srv.countStatements("INSERT late")+f.srv.countStatements("INSERT cancelled"), 0)
	unblock()
	assert.Assert(t, slow.result().ready != nil)
	assert.Assert(t, next.result().ready != nil)
}

// Guards against the verdict NotRun for an overdue statement, a late answer that
// is delivered to another request, and a cancel request that is missing or is
// also sent for another statement.
func TestOverdueStatementMayHaveRun(t *testing.T) {
	f := newFixture(t, slots(1))
	// The deadline must not pass while the first connection is being opened: a request that
	// is still queued then is refused with NotRun.
	assert.Assert(t, f.reader(0, nil).query("SELECT 1").result().ready != nil)
	unblock := f.srv.block("SELECT slow")
	c := f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_READ, TimeoutUs: 100_000}).query("SELECT slow")
	assertFailure(t, c.result(), failureMayHaveRun, verdict.AnswerOverdue)
	unblock()
	for i := range 10 {
		r := f.reader(0, nil).query(fmt.Sprint("SELECT v", i)).result()
		assert.Assert(t, strings.Contains(string(r.backend), fmt.Sprint("v", i)), "%+v", r.failure)
	}
	assert.Assert(t, eventually(func() (n bool) { f.srv.withLock(func() { n = len(f.srv.cancelledPIDs) == 1 }); return n }))
}

// Guards against a cancel request that reaches no statement or the wrong one.
func TestCancelRunningStatement(t *testing.T) {
	f := newFixture(t, nil)
	var pid uint32
	gate := make(chan struct{})
	f.srv.withLock(func() {
		f.srv.override = func(s *session, sql string) bool {
			if sql == "SELECT slow" {
				pid = s.pid
				<-gate
			}
			return false
		}
	})
	cancel := func(c *entryClient) {
		assert.NilError(t, c.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}}))
	}
	idle := f.writer().query("BEGIN")
	assert.Assert(t, idle.result().ready != nil)
	cancel(idle)
	c := f.reader(0, nil).query("SELECT slow")
	f.srv.awaitStatement("SELECT slow")
	cancel(c)
	assert.Assert(t, eventually(func() (n bool) { f.srv.withLock(func() { n = len(f.srv.cancelledPIDs) > 0 }); return n }))
	close(gate)
	assert.Assert(t, c.result().ready != nil)
	f.srv.withLock(func() { assert.DeepEqual(t, f.srv.cancelledPIDs, []uint32{pid}) })
	// The cancel request that arrived between two statements must have no
	// effect.
	for range 20 {
		assert.Assert(t, idle.query("INSERT a").result().ready != nil)
	}
}

// Guards against losing a cancel request that arrives while the statement of an
// open transaction waits for a slot.
func TestCancelBeforeStatementIsSent(t *testing.T) {
	f := newFixture(t, slots(1))
	tx := f.writer().query("BEGIN")
	assert.Assert(t, tx.result().ready != nil)
	// Both statements are blocked, because a cancel request that the home host
	// reads after the answer has no effect.
	unblock := f.srv.block("INSERT")
	slow := f.writer().query("INSERT slow")
	f.srv.awaitStatement("INSERT slow")
	tx.query("INSERT a")
	assert.NilError(t, tx.s.Send(&peerpb.RunRequest{Kind: &peerpb.RunRequest_Cancel{Cancel: true}}))
	assert.Assert(t, eventually(f.cancelRecorded))
	unblock()
	assert.Assert(t, slow.result().ready != nil)
	assert.Assert(t, tx.result().ready != nil)
	assert.Assert(t, eventually(func() (ok bool) { f.srv.withLock(func() { ok = len(f.srv.cancelledPIDs) == 1 }); return ok }))
}

// cancelRecorded reports whether a cancel request is pending until its
// statement is sent, or has reached the backend server.
func (f *fixture) cancelRecorded() (ok bool) {
	f.srv.withLock(func() { ok = len(f.srv.cancelledPIDs) > 0 })
	p := f.home.pools[testServer.Name]
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.streams {
		r.cancelState.Lock()
		ok = ok || r.cancelState.pending
		r.cancelState.Unlock()
	}
	return ok
}

// recovered reports whether all connections are open and none of them is
// silent.
func (f *fixture) recovered() (ok bool) {
	f.srv.withLock(func() {
		ok = len(f.srv.sessions) == testServer.Connections-backend.ReservedConnections
		for s := range f.srv.sessions {
			ok = ok && !f.srv.silentSessions[s]
		}
	})
	return ok
}

// Guards against requests lost on a silent connection: the statement running on
// it may have run, and later statements must not be sent on a silent
// connection.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	full := testServer.Connections - backend.ReservedConnections
	// The home host counts a connection once its login has ended, the server as soon as
	// it is accepted.
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == full }))
	// After verifyAfter without received data, a connection is pinged before a
	// request is sent on it.
	time.Sleep(verifyAfter)
	f.srv.silenceSessions()
	assertFailure(t, f.writer().query("INSERT a").result(), failureNotRun, verdict.AnswerOverdue)
	assert.Equal(t, f.srv.countStatements("INSERT"), 0)
	assert.Assert(t, eventually(func() bool { return f.writer().query("INSERT b").result().ready != nil }))
	var c *entryClient
	assert.Assert(t, eventually(func() bool {
		c = f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, TimeoutUs: 800_000}).query("BEGIN")
		return c.result().ready != nil
	}))
	f.srv.silenceSessions()
	assertFailure(t, c.query("INSERT c").result(), failureMayHaveRun, verdict.AnswerOverdue)
	assert.Assert(t, eventually(f.recovered), "%d open", f.srv.openSessions())
	assert.Assert(t, f.writer().query("INSERT d").result().ready != nil)
	f.srv.withLock(func() {
		assert.Assert(t, f.srv.maxSessions <= testServer.Connections, "%d connections were open", f.srv.maxSessions)
	})
}

// Guards against replacing silent connections while the server still counts
// them.
func TestSilentConnectionsCountUntilServerClosesThem(t *testing.T) {
	t.Parallel()
	f := newFixture(t, nil)
	full := testServer.Connections - backend.ReservedConnections
	assert.Assert(t, eventually(func() bool { return f.srv.openSessions() == full }))
	f.srv.withLock(func() { f.srv.closeDelay = 3 * closeTimeout })
	f.srv.silenceSessions()
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") < full }))
	assert.Assert(t, eventually(f.recovered), "%d open", f.srv.openSessions())
	f.srv.withLock(func() {
		assert.Assert(t, f.srv.maxSessions <= testServer.Connections, "%d connections were open", f.srv.maxSessions)
	})
}

// Guards against two home hosts that together exceed the connection limit, and
// against a home host that keeps serving after its eviction.
func TestTakeoverEvictsPreviousHomeHost(t *testing.T) {
	evicted := make(chan string, 1)
	f := newFixture(t, func(_ *config.Server, o *Options) { o.OnEvicted = func(s string) { evicted <- s } })
	full := testServer.Connections - backend.ReservedConnections
	assert.Assert(t, eventually(func() bool { return f.srv.openSessions() == full }))
	tx := f.writer().query("BEGIN")
	assert.Assert(t, tx.result().ready != nil)

	ctx, cancel := context.WithCancel(context.Background())
	second := New(Options{Host: "h2", Authority: f.auth})
	ended := make(chan struct{})
	go func() { _ = second.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	server := testServer
	server.Address = f.srv.ln.Addr().String()
	second.ServeBackend("g", server, 2)
	assert.Equal(t, <-evicted, "db")
	assert.Assert(t, eventually(func() bool { return second.Connections("db") == full }))
	f.srv.withLock(func() {
		assert.Assert(t, f.srv.maxSessions <= testServer.Connections, "%d connections were open", f.srv.maxSessions)
	})
	assertFailure(t, tx.query("COMMIT").result(), failureMayHaveRun, verdict.ConnectionLost)
	assertFailure(t, f.writer().query("INSERT a").result(), failureNotRun, verdict.WrongHome)

	// After ServeBackend with a newer epoch, the first host serves again.
	f.home.ServeBackend("g", server, 3)
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
}

// Guards against exceeding the connection limit while other clients hold
// connections.
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
	f.srv.withLock(func() { f.srv.maxSessions = 0 })
	server := testServer
	server.Address = f.srv.ln.Addr().String()
	f.home.ServeBackend("g", server, 2)
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == 1 }))
	time.Sleep(3 * recountInterval)
	assert.Equal(t, f.home.Connections("db"), 1)
	f.srv.withLock(func() { assert.Assert(t, f.srv.maxSessions <= testServer.Connections, "%d", f.srv.maxSessions) })
	for _, c := range foreign {
		_ = c.Close()
	}
	full := testServer.Connections - backend.ReservedConnections
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == full }))
}

// Guards against an entry host that has to wait for the next change of the role rows after
// it has asked a host that is no longer the home host.
func TestRefusalNamesHomeHost(t *testing.T) {
	home := "h2"
	f := newFixture(t, func(_ *config.Server, o *Options) { o.HomeHost = func(string) string { return home } })
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
	f.home.Release("db")
	refusal := f.writer().query("INSERT b").result().failure
	assert.Equal(t, refusal.Reason+" "+refusal.Home, string(verdict.WrongHome)+" h2")
	home = "h1" // the role row still names this host
	assert.Equal(t, f.writer().query("INSERT c").result().failure.Home, "")
}

// Guards against a release that aborts open transactions or admits new ones.
func TestReleaseDrains(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("BEGIN")
	assert.Assert(t, c.result().ready != nil)
	f.home.Release("db")
	assertFailure(t, f.writer().query("INSERT a").result(), failureNotRun, verdict.WrongHome)
	assert.Assert(t, c.query("INSERT b").result().ready != nil)
	assert.Equal(t, c.query("COMMIT").result().ready.Token.Position, uint64(1))
	assert.Assert(t, eventually(func() bool { return f.home.Connections("db") == 0 && f.srv.openSessions() == 0 }))
}

// Guards against requests that wait for an unreachable server.
func TestUnreachableServerRefusesImmediately(t *testing.T) {
	f := newFixture(t, nil)
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
	f.srv.withLock(func() { f.srv.refuseConnections = true })
	f.srv.closeAll()
	assert.Assert(t, eventually(func() bool {
		r := f.writer().query("INSERT b").result()
		return r.failure != nil && r.failure.Reason == string(verdict.BackendUnreachable)
	}))
	f.srv.withLock(func() { f.srv.refuseConnections = false })
	assert.Assert(t, eventually(func() bool { return f.writer().query("INSERT c").result().ready != nil }))
}

// Guards against unbounded memory use by answers that are held for a commit.
func TestHeldAnswerIsBounded(t *testing.T) {
	f := newFixture(t, nil)
	f.srv.withLock(func() {
		f.srv.override = func(s *session, sql string) bool {
			if sql != "INSERT many" {
				return false
			}
			s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
			for range maxHeldBytes/readBufferSize + 1 {
				s.backend.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, readBufferSize)}})
			}
			return true
		}
	})
	assertFailure(t, f.writer().query("INSERT many").result(), failureMayHaveRun, verdict.ResultTooBig)
}

// Guards against corrupted or reordered messages in large results.
func TestLargeResult(t *testing.T) {
	f := newFixture(t, nil)
	row := strings.Repeat("x", 3*readBufferSize+7)
	f.srv.withLock(func() {
		f.srv.override = func(s *session, sql string) bool {
			if sql != "SELECT many" {
				return false
			}
			s.sendRows(row, "y", row, row)
			return true
		}
	})
	r := f.reader(0, nil).query("SELECT many").result()
	assert.Equal(t, r.types(), "TDDDDC")
	assert.Equal(t, strings.Count(string(r.backend), "x"), 3*len(row))
}

// Guards against pipelined batches that are lost, or that are answered as one
// batch.
func TestPipelinedBatchesAreAnsweredSeparately(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("BEGIN").query("INSERT a").query("COMMIT")
	for _, want := range []byte("TTI") {
		r := c.result()
		assert.Assert(t, r.ready != nil, "%+v", r.failure)
		assert.Equal(t, byte(r.ready.Status), want)
	}
	assert.Assert(t, c.streamEnded())
	f.auth.mu.Lock()
	defer f.auth.mu.Unlock()
	assert.DeepEqual(t, f.auth.confirmed, []uint64{1})
}

// Guards against session state that leaks into the next session.
func TestResetBetweenStreams(t *testing.T) {
	f := newFixture(t, nil)
	for range 5 {
		assert.Assert(t, f.writer().query("SET x = 1").result().ready != nil)
	}
	assert.Assert(t, eventually(func() bool { return f.srv.countStatements(resetQuery) == 5 }))
}

// Guards against exceeding the slots under load, including by statements of
// open transactions.
func TestSlotsUnderLoad(t *testing.T) {
	f := newFixture(t, nil)
	var running, maxRunning int
	f.srv.withLock(func() {
		f.srv.override = func(_ *session, sql string) bool {
			if strings.HasPrefix(sql, "INSERT") {
				f.srv.withLock(func() { running++; maxRunning = max(maxRunning, running) })
				time.Sleep(time.Millisecond)
				f.srv.withLock(func() { running-- })
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
	f.srv.withLock(func() { assert.Equal(t, maxRunning, testServer.Slots) })
}
