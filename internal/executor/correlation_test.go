package executor

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against a second error on a connection that a write is retried on: it could be a
// repetition of the first one, while the write runs.
func TestBusyWriteIsRetriedOnAnotherConnection(t *testing.T) {
	f := newFixture(t)
	var conns []int
	f.server.failWith = func(c *fakeConn, cmd statement.Command) *verdict.Error {
		if conns = append(conns, c.id); len(conns) < 3 {
			return verdict.New(verdict.NotRun, verdict.ServerBusy, "no slot")
		}
		return nil
	}
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	assert.DeepEqual(t, conns, []int{1, 2, 3})
}

// Guards against a write on a connection whose next error could be a repetition.
func TestPrimaryConnectionIsNotReusedAfterAnError(t *testing.T) {
	f := newFixture(t)
	f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
		return verdict.New(verdict.MayHaveRun, verdict.StatementFailed, "failed")
	}
	f.wantFailure(f.do(write()), verdict.MayHaveRun, verdict.StatementFailed)
	f.server.failWith = nil
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	assert.Assert(t, f.do(write()).GetFailure() == nil)
	assert.Equal(t, f.server.conns, 2)
}

// Guards against the promise that a write of a transaction is not kept, when its BEGIN may
// have failed behind a repeated answer, so that the write may have run by itself.
func TestWriteAfterUnconfirmedBeginMayHaveRun(t *testing.T) {
	for unconfirmed, want := range map[bool]verdict.Verdict{true: verdict.MayHaveRun, false: verdict.NotRun} {
		f := newFixture(t)
		f.server.beginUnconfirmed = unconfirmed
		f.server.dropsAnswer = func(cmd statement.Command) bool { return cmd.Kind == statement.Write }
		first := write()
		first.BeginId, first.BeginText = "0", "BEGIN"
		r := f.do(first)
		assert.Assert(t, r.GetFailure() != nil)
		assert.Equal(t, r.GetFailure().GetVerdict(), uint32(want))
	}
}

// Guards against a read that runs outside its transaction on a replica that lacks the
// position, when its BEGIN may have failed behind a repeated answer.
func TestReadAfterUnconfirmedBeginRequiresPosition(t *testing.T) {
	f := newFixture(t)
	f.server.beginUnconfirmed = true
	floors := map[statement.Kind]statement.Position{}
	f.server.failWith = func(_ *fakeConn, cmd statement.Command) *verdict.Error {
		floors[cmd.Kind] = cmd.Floor
		return nil
	}
	first := read()
	first.BeginId, first.BeginText, first.BeginReads = "0", "BEGIN READ", true
	first.Floor = &peerpb.Token{Group: "g", Term: 1, Position: 7}
	r := f.do(first)
	assert.Assert(t, r.GetFailure() == nil)
	assert.Equal(t, floors[statement.Read], statement.Position{Term: 1, Number: 7})
	next := read()
	next.Transaction, next.Floor = r.GetTransaction(), first.Floor
	assert.Assert(t, f.do(next).GetFailure() == nil)
	assert.Equal(t, floors[statement.Read], statement.Position{})
}

// Guards against a log position from a repeated answer, which is older than the statement
// that it is taken for: reads would miss commits.
func TestPositionOfUnsignedAnswerIsNotRecorded(t *testing.T) {
	f := newFixture(t)
	f.server.number = 9
	r := read()
	r.Values = map[string]string{"v": "1"}
	assert.Assert(t, f.do(r).GetFailure() == nil)
	// The first answer is that to SET.
	assert.DeepEqual(t, f.authority.positions, []statement.Position{{}, {Term: 1, Number: 9}})
}
