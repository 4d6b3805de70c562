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

// Guards against a session that misses its customer's acknowledged commit, and
// against one that has to wait for the commits of other customers.
func TestPositionCoversTheCustomersCommits(t *testing.T) {
	w := newWorld(t)
	w.eventually(t, "the primary is open", func() bool { return w.writable("a") })
	o := w.owner("a")
	base := positionOf(t, o, "quiet")
	w.set(func() { w.dbs["a"].status.Position = base + 5 })
	o.Committed("g", "busy", 1, base+5)
	assert.Equal(t, positionOf(t, o, "busy"), base+5)
	assert.Equal(t, positionOf(t, o, "quiet"), base)
	assert.Equal(t, positionOf(t, o, ""), base+5)
	o.Committed("g", "busy", 1, base+4)
	assert.Equal(t, positionOf(t, o, "busy"), base+5, "an older commit must not lower the position")
}

// Guards against a new owner that answers from memory although its predecessor
// has acknowledged commits that it does not know of.
func TestPositionForgetsWithOwnership(t *testing.T) {
	w := newWorld(t)
	w.eventually(t, "the primary is open", func() bool { return w.writable("a") })
	r := w.owner("a").runner("g")
	base := positionOf(t, w.owner("a"), "acme")
	r.mu.Lock()
	assert.Assert(t, r.commits.known)
	r.commits.owned = false // ownership was lost and is regained with the next step
	r.mu.Unlock()
	w.set(func() { w.dbs["a"].status.Position = base + 7 })
	assert.Equal(t, positionOf(t, w.owner("a"), "acme"), base+7)
}

// Guards against a base that is taken while the previous home host's connections
// can still commit.
func TestPositionWaitsForTakeover(t *testing.T) {
	w := newWorld(t)
	w.eventually(t, "the primary is open", func() bool { return w.writable("a") })
	o := w.owner("a")
	r := o.runner("g")
	r.mu.Lock()
	o.opt.TakenOver = func(string) bool { return false }
	r.commits.known = false // other hosts may have asked already
	r.mu.Unlock()
	base := positionOf(t, o, "acme")
	w.set(func() { w.dbs["a"].status.Position = base + 3 })
	assert.Equal(t, positionOf(t, o, "acme"), base+3)
}
