package frontend

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against the promise that nothing is kept, at COMMIT, after the first write
// of the transaction may have run outside it (BEGIN was answered by a repetition).
func TestCommitAfterAWriteThatMayHaveRunIsNoPromise(t *testing.T) {
	x := newFixture(t)
	x.fleet.answer = func(_ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		return failureResponse(verdict.MayHaveRun, verdict.AnswerMismatch), nil
	}
	c := x.open("current")
	assert.Assert(t, c.do(statement.Begin, "BEGIN").Err == nil)
	r := c.do(statement.Write, "WRITE a b")
	assert.Equal(t, r.Err.Verdict, verdict.MayHaveRun)
	r = c.do(statement.Commit, "COMMIT")
	assert.Assert(t, r.Err != nil)
	assert.Assert(t, r.Err.Verdict != verdict.NotRun, "%v", r.Err)
}
