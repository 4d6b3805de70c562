package limit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
)

// Guards, for the load pattern of callers that return while the minters start anew, against
// a request that is refused before the new minter can have a token, against one that waits
// past its latency target, and against a longer wait of a customer beyond its rate.
func TestRequestsWaitWhileMintersStart(t *testing.T) {
	limiters, peers := newTestLimiters(t, config.Limit{Customer: "acme", Rate: 20, Burst: 20}, "a")
	l := limiters["a"]
	l.opts.MaxWait, l.opts.GrantTimeout = 60*time.Millisecond, 30*time.Millisecond
	recovering := true
	l.opts.Recovering = func(string) bool { return recovering }
	m := peers.minters["a"]
	role := customer.MinterRole("a", "acme")
	restart := func() { delete(m.roles, role); m.ensureRole(m.clock(), role, 1) }

	restart()
	ctx := WithLatencyTarget(t.Context(), 600*time.Millisecond)
	assert.NilError(t, l.Admit(ctx, "acme"))

	restart()
	began := time.Now()
	ctx, cancel := context.WithTimeout(WithLatencyTarget(t.Context(), 200*time.Millisecond), 5*time.Second)
	defer cancel()
	assert.ErrorContains(t, l.Admit(ctx, "acme"), "rate")
	assert.Assert(t, time.Since(began) >= 150*time.Millisecond, "%v", time.Since(began))

	recovering = false
	restart()
	_, waits := l.admissionOf("acme").recoveryWait(ctx)
	assert.Assert(t, !waits)
	assert.ErrorContains(t, l.Admit(ctx, "acme"), "rate")
}

// Guards against a new minter that mints only from its takeover although its predecessor
// had ended before, and against one that trusts a time of another epoch or in the future.
func TestMinterMintsFromItsPredecessorsEnd(t *testing.T) {
	doc := &config.Document{Version: 1}
	doc.Inventory.Zones = []config.Zone{{Name: "a"}}
	fleet := &testFleet{zone: "a", doc: doc}
	now := time.Minute
	m := NewMinters(fleet, func() time.Duration { return now })
	assert.Equal(t, m.ensureRole(now, "r", 1).startedAt, now)
	ended := map[uint64]time.Duration{2: now - time.Second, 4: now + time.Second}
	m.SetPredecessorEnd(func(_ string, epoch uint64) (time.Duration, bool) { at, ok := ended[epoch]; return at, ok })
	assert.Equal(t, m.ensureRole(now, "r", 2).startedAt, now-time.Second)
	assert.Equal(t, m.ensureRole(now, "r", 3).startedAt, now)
	assert.Equal(t, m.ensureRole(now, "r", 4).startedAt, now)
}
