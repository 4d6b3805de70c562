package store

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
)

const (
	// maxCachedRemovals is the number of removals that a rowCache keeps. A peer that is
	// further behind gets all rows.
	maxCachedRemovals = 512
	// maxPeerChangeBytes bounds the values of the rows that are sent to a peer at once.
	// A peer that needs more reads them from the store. The answer to a heartbeat has to
	// arrive within its timeout, also over a slow link.
	maxPeerChangeBytes = 64 << 10
)

// rowCache holds the last change of each row of a space.
type rowCache struct {
	changes map[string]Change
	// removals is the number of removals among the changes.
	removals int
	// since is the revision after which no change is missing.
	since Revision
}

// newRowCache returns an empty cache for all rows of a space at a revision.
func newRowCache(at Revision) rowCache {
	return rowCache{changes: map[string]Change{}, since: at}
}

func (c *rowCache) record(r Change) {
	if old, ok := c.changes[r.Key]; ok && old.Removed {
		c.removals--
	}
	if r.Removed {
		r.Value = nil
		c.removals++
	}
	c.changes[r.Key] = r
	if c.removals > maxCachedRemovals {
		c.dropRemovals()
	}
}

// dropRemovals forgets all removals.
func (c *rowCache) dropRemovals() {
	for key, r := range c.changes {
		if r.Removed {
			c.since = max(c.since, r.Revision)
			delete(c.changes, key)
		}
	}
	c.removals = 0
}

// after returns the changes after a revision. full reports that they are all rows.
func (c *rowCache) after(rev Revision) (rows []Change, full bool) {
	full = rev < c.since
	for _, r := range c.changes {
		if full && !r.Removed || !full && r.Revision > rev {
			rows = append(rows, r)
		}
	}
	return rows, full
}

// PeerChanges are the changes of a space that a host sends to a peer.
type PeerChanges struct {
	// Rows are all changes after the revision that the peer has, or all rows if Full is
	// set.
	Rows []Change
	Full bool
	// Revision is the revision up to which the changes are complete.
	Revision Revision
	// Age is the time since the sender's rows were last confirmed to be complete.
	Age time.Duration
}

// Revision returns the revision up to which this host has all changes, 0 before the
// first response of the store.
func (f *Follower) Revision() Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.historyAvailable {
		return 0
	}
	return f.revision
}

// ChangesSince returns the changes after the revision that a peer has. It returns false
// if this host is not newer, or if the changes are too large for a peer.
func (f *Follower) ChangesSince(after Revision) (PeerChanges, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.initialized || f.revision < after {
		return PeerChanges{}, false
	}
	c := PeerChanges{Revision: f.revision, Age: f.Clock() - f.confirmedAt}
	if f.revision > after {
		c.Rows, c.Full = f.rows.after(after)
	}
	size := 0
	for _, r := range c.Rows {
		size += len(r.Value)
	}
	return c, size <= maxPeerChangeBytes
}

// ApplyPeerChanges applies the answer of a peer to a request for the changes after the
// revision since, which was sent at sentAt. The rows are as complete as the peer's, so
// the peer's confirmation holds for this host, too, with its age counted from before
// the request was sent.
func (f *Follower) ApplyPeerChanges(sentAt time.Duration, since Revision, c PeerChanges) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Revision < f.revision {
		return // this host has applied newer changes in the meantime
	}
	if !c.Full && (!f.initialized || since > f.revision) {
		return // the changes up to since are missing
	}
	if !c.Full && c.Revision.Era() != f.revision.Era() {
		return // an era begins with all rows
	}
	f.enterEra(c.Revision.Era())
	f.applyChanges(c.Rows, c.Full, c.Revision, sentAt-clock.AddDriftMargin(c.Age))
}
