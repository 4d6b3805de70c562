package owner

import (
	"testing"

	"gotest.tools/v3/assert"
)

func positionOf(t *testing.T, o *Owner, customer string) uint64 {
	t.Helper()
	resp, err := o.Position(t.Context(), "g", customer)
	assert.NilError(t, err)
	assert.Assert(t, resp.GetKnown(), "%v", resp)
	return resp.GetPosition().GetPosition()
}

// Guards against a position for a new session that does not cover an acknowledged
// commit of the session's customer, and against one that makes the session wait
// for commits of other customers.
func TestPositionCoversCommitsOfCustomer(t *testing.T) {
	tc := newTestCluster(t)
	tc.eventually(t, "the primary is open", func() bool { return tc.writable("a") })
	o := tc.owner("a")
	base := positionOf(t, o, "quiet")
	tc.withLock(func() { tc.dbs["a"].status.Position = base + 5 })
	o.RecordCommit("g", "busy", 1, base+5)
	assert.Equal(t, positionOf(t, o, "busy"), base+5)
	assert.Equal(t, positionOf(t, o, "quiet"), base)
	assert.Equal(t, positionOf(t, o, ""), base+5)
	o.RecordCommit("g", "busy", 1, base+4)
	assert.Equal(t, positionOf(t, o, "busy"), base+5, "an older commit must not lower the position")
}

// Guards against an owner that returns positions which it recorded during an
// earlier ownership, although another owner has acknowledged commits since.
func TestOwnershipChangeResetsCommitPositions(t *testing.T) {
	tc := newTestCluster(t)
	tc.eventually(t, "the primary is open", func() bool { return tc.writable("a") })
	r := tc.owner("a").runner("g")
	base := positionOf(t, tc.owner("a"), "acme")
	r.mu.Lock()
	assert.Assert(t, r.commits.baseKnown)
	r.commits.ownsGroup = false // ownership was lost and is regained with the next step
	r.mu.Unlock()
	tc.withLock(func() { tc.dbs["a"].status.Position = base + 7 })
	assert.Equal(t, positionOf(t, tc.owner("a"), "acme"), base+7)
}

// Guards against a base position that is sampled while connections of the previous
// home host can still commit.
func TestPositionWaitsForTakeover(t *testing.T) {
	// The takeover is pending from the start: a request of another host that finds it
	// done could store a base position at any later time.
	tc := newConfiguredTestCluster(t, func(o *Options) { o.TakeoverDone = func(string) bool { return false } })
	tc.eventually(t, "the primary is open", func() bool { return tc.writable("a") })
	o := tc.owner("a")
	base := positionOf(t, o, "acme")
	tc.withLock(func() { tc.dbs["a"].status.Position = base + 3 })
	assert.Equal(t, positionOf(t, o, "acme"), base+3)
}
