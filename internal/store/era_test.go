package store

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against revisions of two eras that compare by their versions, and against an era
// or a version that is lost in a Revision.
func TestRevisionsOfLaterErasAreHigher(t *testing.T) {
	r := NewRevision(MaxEra, MaxVersion)
	assert.Assert(t, r.Era() == MaxEra && r.Version() == MaxVersion)
	assert.Assert(t, NewRevision(2, 0) > NewRevision(1, MaxVersion))
	assert.Equal(t, NewRevision(0, 7), Revision(7))
}

// Guards against a follower that goes on from a version of an earlier era, and against one
// that drops what it has before it has read the new rows.
func TestFollowerReadsAllRowsOfNewEra(t *testing.T) {
	s := newFakeWatcher()
	s.revision = NewRevision(1, 0)
	s.put("gone")
	s.put("kept")
	var mu sync.Mutex
	var eras []Era
	var rowsAtNewEra []int
	x := startFollowerWith(t, s, func(f *Follower) {
		apply := f.Apply
		var x map[string]bool
		f.Apply = func(rows []Change, full bool, confirmed time.Duration) {
			mu.Lock()
			if full || x == nil {
				x = map[string]bool{}
			}
			for _, r := range rows {
				x[r.Key] = !r.Removed
			}
			mu.Unlock()
			apply(rows, full, confirmed)
		}
		f.NewEra = func(e Era) {
			mu.Lock()
			defer mu.Unlock()
			eras, rowsAtNewEra = append(eras, e), append(rowsAtNewEra, len(x))
		}
	})
	waitFor(t, "the rows are missing", func() bool { return x.has("gone") && x.has("kept") })
	s.restore()
	s.put("kept")
	s.put("other")
	s.put("last") // beyond the version up to which the follower has the changes
	waitFor(t, "the rows of the new era are missing", func() bool { return !x.has("gone") && x.has("kept") && x.has("other") && x.has("last") })
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, slices.Equal(eras, []Era{1, 2}) && slices.Equal(rowsAtNewEra, []int{0, 2}), "%v %v", eras, rowsAtNewEra)
	assert.Equal(t, x.Revision().Era(), Era(2))
}

// Guards against a response of an earlier era that takes the rows back, and against its
// confirmation.
func TestResponseOfEarlierEraChangesNothing(t *testing.T) {
	s := newFakeWatcher()
	s.revision = NewRevision(2, 0)
	s.put("a")
	x := startFollower(t, s)
	waitFor(t, "a is missing", func() bool { return x.has("a") })
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	time.Sleep(x.LongPollWait + 20*time.Millisecond)
	old := Changes{Revision: NewRevision(1, 50), Stamp: s.clock(), Rows: []Change{{Row: Row{Key: "old", Revision: NewRevision(1, 50)}}}}
	for _, full := range []bool{true, false} {
		before := x.age()
		x.processResponse(t.Context(), old, full, x.Clock())
		assert.Assert(t, !x.has("old") && x.has("a") && x.age() >= before, "full %t", full)
	}
	x.confirmUpTo(NewRevision(1, 1), x.Clock())
	assert.Assert(t, x.age() > 10*time.Millisecond, "a sibling's response of an earlier era confirms the rows")
}

// Guards against rows and confirmations of a peer that is in another era, also for a space
// without rows.
func TestPeersOfOtherErasConfirmNothing(t *testing.T) {
	s := newFakeWatcher()
	s.revision = NewRevision(2, 5)
	x := startFollower(t, s)
	waitFor(t, "the space is not read", func() bool { return x.Revision() != 0 })
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	time.Sleep(x.LongPollWait + 20*time.Millisecond)
	stale := x.age()
	earlier := &Follower{Clock: x.Clock, Apply: func([]Change, bool, time.Duration) {}}
	earlier.ApplyPeerChanges(x.Clock(), 0, PeerChanges{Full: true, Revision: NewRevision(1, 9)})
	summary, ok := earlier.Summary()
	assert.Assert(t, ok)
	x.ProcessPeerSummary(x.Clock(), summary)
	x.ApplyPeerChanges(x.Clock(), NewRevision(1, 9), PeerChanges{Full: true, Revision: NewRevision(1, 9), Rows: []Change{{Row: Row{Key: "old", Revision: NewRevision(1, 9)}}}})
	x.ApplyPeerChanges(x.Clock(), x.Revision(), PeerChanges{Revision: NewRevision(3, 1), Rows: []Change{{Row: Row{Key: "half", Revision: NewRevision(3, 1)}}}})
	assert.Assert(t, !x.has("old") && !x.has("half") && x.age() >= stale)
	changes, ok := x.ChangesSince(NewRevision(1, 9))
	assert.Assert(t, ok && changes.Full, "a peer of an earlier era gets only some rows")
	x.ApplyPeerChanges(x.Clock(), x.Revision(), PeerChanges{Full: true, Revision: NewRevision(3, 1), Rows: []Change{{Row: Row{Key: "new", Revision: NewRevision(3, 1)}}}})
	assert.Assert(t, x.has("new"))
}
