package home

import (
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
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
	time.Sleep(verifyAfter)
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
