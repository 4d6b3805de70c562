package frontend

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against reads that queue for the whole wait at a full replica, or are refused for
// want of a retry budget, while another replica has room.
func TestReadsMoveFromAFullReplicaWithoutRetryBudget(t *testing.T) {
	x := newFixture(t)
	x.f.opt.RouteByLoad = true
	x.sample(40)
	var waits []int64
	x.fleet.answer = func(host string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		if host == "home-r1" {
			waits = append(waits, req.GetWaitUs())
			return failureResponse(verdict.NotRun, verdict.QueueFull), nil
		}
		return nil, nil
	}
	for x.f.takeRetry(0) {
	}
	c := x.open("bounded")
	for range 40 {
		r := c.do(statement.Read, "READ a")
		assert.Assert(t, r.Err == nil, "%v", r.Err)
	}
	full := (&operation{s: newSession(x.f, nil, nil)}).maxSlotWait().Microseconds()
	assert.Assert(t, len(waits) > 0)
	for _, w := range waits {
		assert.Assert(t, w < full/2, "a read with an alternative waits %d µs", w)
	}
	for _, call := range x.fleet.recordedCalls() {
		assert.Assert(t, !call.req.GetPrimary(), "a read at the primary while a replica has room")
	}
}

// Guards against a read that the home host of the last replica takes for one that has an
// alternative, and refuses while the server is paced: its wait is limited by its deadline
// alone.
func TestReadAtTheLastReplicaMayWaitUntilItsDeadline(t *testing.T) {
	x := newFixture(t)
	x.f.opt.RouteByLoad = true
	x.sample(40)
	asked := map[string]bool{}
	last := 0
	x.fleet.answer = func(_ string, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
		if req.GetPrimary() {
			return nil, nil
		}
		first := len(asked) == 0
		asked[req.GetServer()] = true
		if first {
			assert.Check(t, req.GetWaitUs() < req.GetTimeoutUs())
			return failureResponse(verdict.NotRun, verdict.QueueFull), nil
		}
		last++
		assert.Check(t, req.GetWaitUs() == req.GetTimeoutUs(), "%d of %d µs", req.GetWaitUs(), req.GetTimeoutUs())
		return nil, nil
	}
	c := x.open("bounded")
	for range 10 {
		clear(asked)
		r := c.do(statement.Read, "READ a")
		assert.Assert(t, r.Err == nil, "%v", r.Err)
	}
	assert.Assert(t, last > 0)
}
