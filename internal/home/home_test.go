package home

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

func assertFailure(t *testing.T, r result, v uint32, reason verdict.Reason) {
	t.Helper()
	assert.Assert(t, r.failure != nil, "no failure: %+v", r)
	assert.Equal(t, r.failure.Reason, string(reason), r.failure.Message)
	assert.Equal(t, r.failure.Verdict, v, r.failure.Message)
}

// Guards against acknowledging a write without its position, and against a
// stream that stays open after its transaction.
func TestWriteCarriesToken(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("INSERT a")
	r := c.result()
	assert.Equal(t, r.types(), "C", "%+v", r.failure)
	assert.Equal(t, byte(r.ready.Status), byte('I'))
	assert.Equal(t, r.ready.Token.Position, uint64(1))
	assert.Assert(t, c.streamEnded())
	assert.DeepEqual(t, f.auth.confirmed, []uint64{1})
}

// Guards against acknowledging a write before it is confirmed.
func TestWriteIsHeldUntilConfirmed(t *testing.T) {
	f := newFixture(t, nil)
	f.auth.blockWrites = make(chan struct{})
	c := f.writer().query("INSERT a")
	got := make(chan result, 1)
	go func() { got <- c.result() }()
	select {
	case r := <-got:
		t.Fatalf("answered before the confirmation: %+v", r)
	case <-time.After(50 * time.Millisecond):
	}
	close(f.auth.blockWrites)
	assert.Equal(t, (<-got).types(), "C")
}

// Guards against a former primary that acknowledges a write.
func TestUnconfirmedWriteMayHaveRun(t *testing.T) {
	f := newFixture(t, nil)
	f.auth.writeErr = verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "lease lapsed")
	r := f.writer().query("INSERT a").result()
	assert.Equal(t, r.types(), "")
	assertFailure(t, r, failureMayHaveRun, verdict.AuthorityLost)
}

// Guards against the verdict MayHaveRun for a write that the backend server
// rejected because it is not the primary. That verdict would prevent a retry on
// the new primary.
func TestWriteOnDemotedPrimaryIsNotRun(t *testing.T) {
	f := newFixture(t, nil)
	f.srv.withLock(func() { f.srv.role = dbconn.Replica })
	assertFailure(t, f.writer().query("INSERT a").result(), failureNotRun, verdict.NoPrimary)
}

// Guards against a transaction whose statements run on different connections,
// and against a connection that stays open after its entry host disconnected.
func TestTransactionKeepsConnectionAndClosesItWithEntryHost(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("BEGIN")
	assert.Equal(t, byte(c.result().ready.Status), byte('T'))
	assert.Equal(t, byte(c.query("INSERT a").result().ready.Status), byte('T'))
	r := c.query("COMMIT").result()
	assert.Equal(t, byte(r.ready.Status), byte('I'))
	assert.Equal(t, r.ready.Token.Position, uint64(1))

	c = f.writer().query("BEGIN")
	assert.Equal(t, byte(c.result().ready.Status), byte('T'))
	var txSession *session
	f.srv.withLock(func() {
		for s := range f.srv.sessions {
			if s.txStatus == 'T' {
				txSession = s
			}
		}
	})
	c.cancel()
	assert.Assert(t, eventually(func() (gone bool) {
		f.srv.withLock(func() { gone = !f.srv.sessions[txSession] })
		return gone
	}))
}

// Guards against a planned promotion that rejects the next statement of the
// open transaction for which it waits.
func TestOpenTransactionContinuesWhileNewWorkIsRefused(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("BEGIN")
	assert.Equal(t, byte(c.result().ready.Status), byte('T'))
	f.auth.mu.Lock()
	f.auth.writableErr = verdict.New(verdict.NotRun, verdict.NoPrimary, "no new work")
	f.auth.mu.Unlock()
	assert.Equal(t, byte(c.query("INSERT a").result().ready.Status), byte('T'))
	assert.Equal(t, byte(c.query("COMMIT").result().ready.Status), byte('I'))
	assert.Equal(t, f.writer().query("INSERT b").result().failure.GetReason(), string(verdict.NoPrimary))
}

func eventually(ok func() bool) bool {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// Guards against stale reads, and against the verdict NotRun for a read that
// was sent.
func TestReplicaReadChecks(t *testing.T) {
	f := newFixture(t, nil)
	f.srv.withLock(func() { f.srv.role, f.srv.position = dbconn.Replica, 10 })
	f.auth.age = 100 * time.Millisecond
	floor := func(term, position uint64) *peerpb.Token { return &peerpb.Token{Term: term, Position: position} }

	r := f.reader(time.Second, floor(1, 10)).query("SELECT a").result()
	assert.Equal(t, r.types(), "TDC", "%+v", r.failure)
	assert.Equal(t, r.accepted.AgeUs, int64(100_000))
	assertFailure(t, f.reader(time.Second, floor(1, 11)).query("SELECT b").result(), failureNotRun, verdict.NoFreshReplica)
	assertFailure(t, f.reader(time.Second, floor(2, 1)).query("SELECT b").result(), failureNotRun, verdict.NoFreshReplica)
	assertFailure(t, f.reader(50*time.Millisecond, nil).query("SELECT b").result(), failureNotRun, verdict.NoFreshReplica)
	assert.Equal(t, f.srv.countStatements("SELECT b"), 0)

	// The server's position went back after its last known status: the request
	// is sent together with the status query, and its answer must not be
	// relayed.
	f.srv.withLock(func() { f.srv.position = 5 })
	r = f.reader(time.Second, floor(1, 10)).query("SELECT c").result()
	assertFailure(t, r, failureMayHaveRun, verdict.NoFreshReplica)
	assert.Equal(t, r.types(), "")
}

// Guards against a write on a stream with read intent, including on a connection
// that served a write before, and against a connection that stays read-only for
// the next write.
func TestReadIntentCannotWrite(t *testing.T) {
	f := newFixture(t, nil)
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
	r := f.reader(0, nil).query("INSERT b").result()
	assert.Equal(t, r.types(), "E", "%+v", r.failure)
	assert.Assert(t, f.writer().query("INSERT c").result().ready != nil)
	f.srv.withLock(func() { assert.Equal(t, f.srv.position, uint64(2)) })
}

// Guards against acknowledging an unconfirmed write on a stream with read intent.
func TestReadWriteTransactionOfReadIntentIsConfirmed(t *testing.T) {
	f := newFixture(t, nil)
	c := f.reader(0, nil).query("BEGIN READ WRITE").query("INSERT a").query("COMMIT")
	for range 2 {
		assert.Assert(t, c.result().ready.Token == nil)
	}
	assert.Equal(t, c.result().ready.Token.Position, uint64(1))
	f.auth.mu.Lock()
	f.auth.writeErr = verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "lease lapsed")
	f.auth.mu.Unlock()
	c = f.reader(0, nil).query("BEGIN READ WRITE").query("INSERT a").query("COMMIT")
	for range 2 {
		assert.Assert(t, c.result().ready != nil)
	}
	r := c.result()
	assertFailure(t, r, failureMayHaveRun, verdict.AuthorityLost)
	assert.Equal(t, r.types(), "")
}

// Guards against rejecting reads on a replica permanently because it was the
// primary in its last known status.
func TestReadAfterDemotion(t *testing.T) {
	f := newFixture(t, nil)
	assert.Equal(t, f.reader(time.Second, nil).query("SELECT a").result().types(), "TDC")
	f.srv.withLock(func() { f.srv.role = dbconn.Replica })
	f.auth.mu.Lock()
	f.auth.writableErr = verdict.New(verdict.NotRun, verdict.NoPrimary, "not the primary")
	f.auth.mu.Unlock()
	r := f.reader(time.Second, nil).query("SELECT a").result()
	assert.Equal(t, r.types(), "TDC", "%+v", r.failure)
}

// Guards against a former primary that answers a read which requires current
// data.
func TestCurrentReadNeedsConfirmation(t *testing.T) {
	f := newFixture(t, nil)
	assert.Equal(t, f.reader(0, nil).query("SELECT a").result().types(), "TDC")
	f.auth.mu.Lock()
	f.auth.readErr = verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "no majority")
	f.auth.mu.Unlock()
	r := f.reader(0, nil).query("SELECT a").result()
	assertFailure(t, r, failureMayHaveRun, verdict.AuthorityLost)
	assert.Equal(t, r.types(), "")
}

// Guards against prepared statements that are missing on a connection or
// prepared twice, and against relaying answers to the home host's own Parse
// messages to the client.
func TestPreparedStatements(t *testing.T) {
	f := newFixture(t, nil)
	for range 20 {
		c := f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, Prepared: []*peerpb.Prepared{{Name: "p1", Query: "INSERT a"}}})
		r := c.send(&pgproto3.Bind{PreparedStatement: "p1"}, &pgproto3.Execute{}, &pgproto3.Sync{}).result()
		assert.Equal(t, r.types(), "2C", "%+v", r.failure)
	}
	c := f.start(&peerpb.Start{Intent: peerpb.Intent_INTENT_WRITE, Prepared: []*peerpb.Prepared{{Name: "p2", Query: "BAD"}}})
	r := c.send(&pgproto3.Bind{PreparedStatement: "p2"}, &pgproto3.Execute{}, &pgproto3.Sync{}).result()
	assert.Equal(t, r.types(), "E")
}

// Guards against a COPY that hangs because a Sync is held, or that ends early
// because the ignored Sync is counted.
func TestCopyIn(t *testing.T) {
	f := newFixture(t, nil)
	c := f.writer().query("COPY t FROM STDIN").send(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{})
	assert.Equal(t, c.result().types(), "GC")
	c = f.writer().send(&pgproto3.Parse{Query: "COPY t FROM STDIN"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{})
	c.send(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyDone{}, &pgproto3.Sync{})
	r := c.result()
	assert.Equal(t, r.types(), "12GC", "%+v", r.failure)
	assert.Assert(t, c.streamEnded())
}
