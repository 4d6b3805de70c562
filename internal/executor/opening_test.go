package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is given up at an idle server because opening its
// connection takes longer than its useful wait.
func TestRequestIsServedLateWhenItsConnectionOpensLate(t *testing.T) {
	f := newFixture(t)
	f.x.opt.ContentionControl = true
	f.server.dialDelay = 40 * time.Millisecond
	r := read()
	r.Customer, r.Server, r.Group = "c", "db", "g"
	r.TimeoutUs, r.WaitUs, r.TargetUs = (2 * time.Second).Microseconds(), (15 * time.Millisecond).Microseconds(), (10 * time.Millisecond).Microseconds()
	resp := f.x.Execute(t.Context(), r)
	assert.Assert(t, resp.GetFailure() == nil, resp.GetFailure().GetMessage())

	// Without a connection in time, the request is given up long before its deadline.
	f.server.dialDelay = 1500 * time.Millisecond
	r.Customer = "other"
	began := time.Now()
	resp = f.x.Execute(t.Context(), r)
	assert.Assert(t, resp.GetFailure() != nil)
	assert.Assert(t, time.Since(began) < time.Second, "took %v", time.Since(began))
}
