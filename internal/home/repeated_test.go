package home

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// newStutteringFixture returns a fixture with one data connection, whose server
// repeats answers.
func newStutteringFixture(t *testing.T, of, before func(string) bool) *fixture {
	f := newFixture(t, func(s *config.Server, _ *Options) {
		s.Slots, s.Connections = 1, backend.ReservedConnections+1
	})
	f.srv.withLock(func() { f.srv.repeats = &repeats{of: of, before: before} })
	return f
}

// repeated returns the number of answers that have been sent again.
func (f *fixture) repeated() (n int) {
	f.srv.withLock(func() { n = f.srv.repeats.sent })
	return n
}

// statementIs selects the statements with the prefix.
func statementIs(prefix string) func(string) bool {
	return func(message string) bool { return strings.HasPrefix(message, prefix) }
}

func eitherOf(a, b func(string) bool) func(string) bool {
	return func(message string) bool { return a(message) || b(message) }
}

// assertOwnOrFailed checks that a request got no answer but its own, which contains want,
// and that a failure makes no false promise.
func assertOwnOrFailed(t *testing.T, r result, want string) {
	t.Helper()
	if r.ready != nil {
		assert.Assert(t, strings.Contains(string(r.backend), want), "%q got %q", want, r.backend)
		return
	}
	assert.Assert(t, r.failure != nil)
	assert.Equal(t, r.failure.Verdict, uint32(failureMayHaveRun), r.failure.Message)
}

// Guards against a status row that a caller gets as the answer to its read, because the
// server sent the answer to the status query twice.
func TestRepeatedStatusIsNotDelivered(t *testing.T) {
	f := newStutteringFixture(t, isStatusQuery, statementIs("SELECT v"))
	assertOwnOrFailed(t, f.reader(0, nil).query("SELECT v1").result(), "v1")
	assert.Assert(t, f.repeated() > 0)
	for _, sql := range []string{"SELECT v2", "SELECT v3"} {
		assertOwnOrFailed(t, f.reader(0, nil).query(sql).result(), strings.TrimPrefix(sql, "SELECT "))
	}
}

// Guards against a write that is acknowledged with the answer to the write before it and
// that write's position, because the server sent both answers twice.
func TestRepeatedPositionConfirmsNoWrite(t *testing.T) {
	f := newStutteringFixture(t, eitherOf(statementIs("INSERT a"), isStatusQuery), statementIs("INSERT b"))
	f.srv.withLock(func() {
		f.srv.override = func(s *session, sql string) bool {
			if sql == "INSERT b" {
				s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 2")})
				return true
			}
			return false
		}
	})
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
	assertOwnOrFailed(t, f.writer().query("INSERT b").result(), "INSERT 0 2")
	assert.Equal(t, f.repeated(), 2)
}

// Guards against taking a repeated answer for the answer to the reset query: the next caller
// would get the connection one answer behind, and its request would fail.
func TestRepeatedAnswerEndsNoReset(t *testing.T) {
	f := newStutteringFixture(t, statementIs("SELECT v1"), statementIs(resetQuery))
	assertOwnOrFailed(t, f.reader(0, nil).query("SELECT v1").result(), "v1")
	r := f.writer().query("INSERT b").result()
	assert.Assert(t, r.ready != nil, "%v", r.failure)
	assert.Equal(t, f.repeated(), 1)
}

// Guards against taking a repeated answer for the answer to a ping: a write would end with
// the answer to the ping, as a success without a command.
func TestRepeatedAnswerIsNoPong(t *testing.T) {
	f := newStutteringFixture(t, statementIs("INSERT a"), func(m string) bool { return m == messageSync })
	assert.Assert(t, f.writer().query("INSERT a").result().ready != nil)
	time.Sleep(2 * verifyAfter)
	r := f.writer().query("INSERT b").result()
	assert.Equal(t, f.repeated(), 1)
	assert.Assert(t, r.ready == nil, "%q", r.backend)
	f.srv.withLock(func() { assert.Equal(t, f.srv.applied["INSERT b"] > 0, r.failure.Verdict == failureMayHaveRun) })
}

// Guards against the error of an earlier write that a caller gets for a write that the server
// ran: the caller repeats it, and it takes effect twice.
func TestRepeatedErrorRefusesNoWrite(t *testing.T) {
	errors := map[string]string{"not the primary": "25006", "retryable": "40001"}
	for name, code := range errors {
		t.Run(name, func(t *testing.T) {
			f := newStutteringFixture(t, eitherOf(statementIs("INSERT refused"), isStatusQuery), statementIs("INSERT b"))
			f.srv.withLock(func() {
				f.srv.override = func(s *session, sql string) bool {
					if sql != "INSERT refused" {
						return false
					}
					s.sendError(code)
					return true
				}
			})
			r := f.writer().query("INSERT refused").result()
			assert.Assert(t, r.types() == "E" || r.failure.GetVerdict() == failureNotRun)
			r = f.writer().query("INSERT b").result()
			assert.Assert(t, f.repeated() > 0)
			assert.Equal(t, r.types(), "")
			assertFailure(t, r, failureMayHaveRun, verdict.ConnectionLost)
			assert.Assert(t, eventually(func() (ran bool) {
				f.srv.withLock(func() { ran = f.srv.applied["INSERT b"] == 1 })
				return ran
			}))
		})
	}
}

// Guards against the answer to an earlier message that a caller gets for its statement, where
// the tag, the transaction status or the missing result shows that it is another one's.
func TestRepeatedAnswerOfOtherShapeIsNotDelivered(t *testing.T) {
	isPing := func(m string) bool { return m == messageSync }
	for _, c := range []struct {
		name       string
		of, before func(string) bool
		first      string
		statements []string
	}{
		{"tag", statementIs("BEGIN"), statementIs("INSERT b"), "SELECT v1", []string{"BEGIN", "INSERT b"}},
		{"status", statementIs("SELECT v1"), statementIs("SELECT v2"), "SELECT v1", []string{"BEGIN", "SELECT v2"}},
		{"rollback", statementIs("ROLLBACK"), statementIs("COMMIT"), "ROLLBACK", []string{"BEGIN", "INSERT b", "COMMIT"}},
		{"no result", isPing, statementIs("INSERT b"), "SELECT v1", []string{"INSERT b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newStutteringFixture(t, c.of, c.before)
			assert.Assert(t, f.writer().query(c.first).result().ready != nil)
			if c.name == "no result" {
				time.Sleep(2 * verifyAfter)
			}
			w := f.writer()
			if c.name == "status" {
				w = f.reader(0, nil)
			}
			var r result
			for _, sql := range c.statements {
				r = w.query(sql).result()
			}
			assert.Equal(t, f.repeated(), 1)
			assert.Assert(t, r.ready == nil, "%q, status %q", r.backend, r.ready.GetStatus())
			assertFailure(t, r, failureMayHaveRun, verdict.ConnectionLost)
		})
	}
}

// Guards against answers to messages of the extended protocol that do not fit the batch, and
// against refusing those that do.
func TestBatchShapeOfExtendedProtocol(t *testing.T) {
	words := newStatementWords()
	words.addPrepared([]*peerpb.Prepared{{Name: "s1", Query: " insert into t values ($1)"}})
	var sent []byte
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{},
		&pgproto3.Parse{Query: "SELECT 1"}, &pgproto3.Bind{}, &pgproto3.Execute{},
	} {
		sent = encode(sent, m)
	}
	var s batchShape
	s.add(sent, words)
	assert.DeepEqual(t, s.words, []string{"INSERT", "SELECT"})
	count := func(types string) *messageCounts {
		var c messageCounts
		for _, kind := range []byte(types) {
			c.add(kind)
		}
		return &c
	}
	assert.ErrorContains(t, s.checkEnd(count("2nC12DC")), "before the request")
	s.add(syncBytes, words)
	for types, ok := range map[string]bool{"2nC12DDC": true, "2nE": true, "E": true, "2nI12C": true, "2nC12E": true, "": false, "C": false, "2nC": false, "2nC12CC": false, "22nC12C": false, "2nTC12C": false, "2nC12CE3": false} {
		assert.Equal(t, s.checkEnd(count(types)) == nil, ok, types)
	}
	for _, c := range []struct {
		tag   string
		index int
		ok    bool
	}{{"INSERT 0 1", 0, true}, {"SELECT 1", 0, false}, {"SELECT 1", 1, true}, {"UPDATE 1", 1, false}} {
		assert.Equal(t, s.checkTag([]byte(c.tag), c.index, txStatusIdle) == nil, c.ok, c.tag)
	}
}

// Guards against refusing a transaction status that a PostgreSQL server can report.
func TestPossibleTransactionStatus(t *testing.T) {
	for _, c := range []struct {
		tags     []string
		from, to byte
		failed   bool
		ok       bool
	}{
		{nil, 'I', 'I', true, true},
		{[]string{"BEGIN"}, 'I', 'T', false, true},
		{[]string{"START TRANSACTION"}, 'I', 'E', true, true},
		{[]string{"COMMIT", "BEGIN"}, 'T', 'T', false, true}, // COMMIT AND CHAIN has one tag
		{[]string{"ROLLBACK"}, 'E', 'T', false, true},        // to a savepoint
		{[]string{"ROLLBACK"}, 'E', 'I', false, true},
		{nil, 'T', 'I', true, true}, // a deferred constraint at COMMIT
		{nil, 'T', 'E', true, true},
		{nil, 'E', 'E', true, true},
		{[]string{"SELECT 1"}, 'T', 'I', false, false},
		{[]string{"SELECT 1"}, 'I', 'T', false, false},
		{[]string{"SELECT 1"}, 'T', 'E', false, false},
		{nil, 'T', 'T', true, false},
		{nil, 'I', 'x', false, false},
	} {
		var tags txTags
		for _, tag := range c.tags {
			tags.add([]byte(tag))
		}
		assert.Equal(t, tags.canFollow(c.from, c.to, c.failed), c.ok, "%+v", c)
	}
}
