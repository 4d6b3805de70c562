package frontend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/admission"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Answers the failure of an overloaded home host: it refuses, then it is gone, and its
// successor has free slots. Guards against an entry host that goes on refusing by what it
// knew of the failed host, and against one that throttles an open transaction.
func TestHomeHostFailsDuringOverload(t *testing.T) {
	x := newFixture(t)
	x.f.opt.ContentionControl, x.f.opt.Loads = true, serverload.NewTable()
	c := x.open("current")
	tx := x.open("current")
	assert.Assert(t, tx.do(statement.Begin, "BEGIN").Err == nil)
	assert.Assert(t, tx.do(statement.Write, "WRITE a b").Err == nil)

	answer := failureResponse(verdict.NotRun, verdict.DeadlineExpected)
	x.fleet.answer = func(_ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		if req.GetTransaction() != 0 {
			return nil, nil
		}
		return answer, nil
	}
	x.f.opt.Loads.Record(serverload.Load{Server: "p", Slots: 4, Running: 4, Waiting: 40, Wait: []time.Duration{time.Second}, MeasuredAt: x.now()})
	for range 100 {
		wantErr(t, c.do(statement.Read, "READ a"), verdict.NotRun, verdict.DeadlineExpected)
	}
	assert.Assert(t, len(x.fleet.recordedCalls()) < 50, "%d of 100 requests sent to a host that refuses all", len(x.fleet.recordedCalls()))
	assert.Assert(t, x.f.opt.Counters.Get("requests_throttled") > 50)
	assert.Assert(t, tx.do(statement.Write, "WRITE a b").Err == nil)

	// The host fails; its successor has room and reports so with its first heartbeat.
	x.fleet.mu.Lock()
	x.fleet.answer = nil
	x.fleet.mu.Unlock()
	x.f.opt.Loads.Record(serverload.Load{Server: "p", Slots: 4, MeasuredAt: x.now()})
	for range 20 {
		assert.Assert(t, c.do(statement.Read, "READ a").Err == nil)
	}
}

// Guards against latency targets that do not reach the home host.
func TestHomeHostLearnsTarget(t *testing.T) {
	x := newFixture(t)
	x.f.opt.ContentionControl, x.f.opt.Loads = true, serverload.NewTable()
	assert.Assert(t, x.open("current").do(statement.Read, "READ a").Err == nil)
	target := x.fleet.recordedCalls()[0].req.GetTargetUs()
	assert.Assert(t, target > 0 && target <= (200*time.Millisecond).Microseconds())
}

// Guards against "has not run" for a read that may have run at the first attempt, when this
// host refuses the second one.
func TestThrottledRetryDoesNotHideAttempt(t *testing.T) {
	x := newFixture(t)
	x.f.opt.ContentionControl, x.f.opt.Loads = true, serverload.NewTable()
	x.fleet.answer = func(_ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		x.f.mu.Lock()
		defer x.f.mu.Unlock()
		for range 10_000 {
			x.f.throttle.Record(x.now(), admission.Request{Server: "p", Customer: req.GetCustomer(), Priority: int(req.GetPriority())}, false)
		}
		return failureResponse(verdict.MayHaveRun, verdict.ConnectionLost), nil
	}
	wantErr(t, x.open("current").do(statement.Read, "READ a"), verdict.Ran, verdict.StatementFailed)
	assert.Equal(t, len(x.fleet.recordedCalls()), 1)
	assert.Equal(t, x.f.opt.Counters.Get("requests_throttled"), int64(1))
}
