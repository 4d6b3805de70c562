package store

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// appliedRows is a Follower that is driven by hand, with the rows that it has applied.
type appliedRows struct {
	*Follower
	rows        map[string]Revision
	confirmedAt time.Duration
}

func newAppliedRows(now func() time.Duration) *appliedRows {
	x := &appliedRows{rows: map[string]Revision{}}
	x.Follower = &Follower{Space: "s", Clock: now, Log: &log.Logger{Level: log.PanicLevel}, Counters: telemetry.NewCounters()}
	x.Apply = func(rows []Change, full bool, confirmed time.Duration) {
		applyTo(x.rows, rows, full)
		x.confirmedAt = confirmed
	}
	return x
}

// storeModel is a store whose clock is that of the hosts.
type storeModel struct {
	now      time.Duration
	revision Revision
	rows     map[string]Revision
	history  []Change
	// states holds the rows after each write.
	states []storeState
}

type storeState struct {
	at   time.Duration
	rows map[string]Revision
}

func newStoreModel() *storeModel {
	return &storeModel{now: time.Minute, rows: map[string]Revision{}, states: []storeState{{rows: map[string]Revision{}}}}
}

func (s *storeModel) change(key string, removed bool) {
	s.revision++
	if removed {
		delete(s.rows, key)
	} else {
		s.rows[key] = s.revision
	}
	s.history = append(s.history, Change{Row: Row{Key: key, Revision: s.revision}, Removed: removed})
	s.states = append(s.states, storeState{at: s.now, rows: maps.Clone(s.rows)})
}

// read makes the host read the store, in full or the changes since its revision.
func (s *storeModel) read(x *appliedRows, full bool) {
	c := Changes{Revision: s.revision, Stamp: s.now}
	x.mu.Lock()
	defer x.mu.Unlock()
	if full || !x.initialized {
		for key, rev := range s.rows {
			c.Rows = append(c.Rows, Change{Row: Row{Key: key, Revision: rev}})
		}
		x.applyResponse(c, true, s.now)
		return
	}
	for _, h := range s.history {
		if h.Revision > x.revision {
			c.Rows = append(c.Rows, h)
		}
	}
	x.applyResponse(c, false, s.now)
}

// isPastState reports whether the rows are a state that the store had at the time
// since or later.
func (s *storeModel) isPastState(rows map[string]Revision, since time.Duration) bool {
	for i, state := range s.states {
		current := i == len(s.states)-1 || s.states[i+1].at >= since
		if current && maps.Equal(state.rows, rows) {
			return true
		}
	}
	return false
}

// Guards, for the load pattern of hundreds of hosts that follow the store through a few
// of them, against rows or confirmations that a host does not have: whatever a relay
// knows, however long it was suspended or cut off, and whenever its answer arrives, the
// rows of a host are a state of the store that is not older than its confirmation.
func TestConfirmationsThroughRelaysAreNeverTooYoung(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStoreModel()
		now := func() time.Duration { return s.now }
		hosts := make([]*appliedRows, 4)
		for i := range hosts {
			hosts[i] = newAppliedRows(now)
		}
		type answer struct {
			to     *appliedRows
			sentAt time.Duration
			since  Revision
			c      PeerChanges
		}
		var inFlight []answer
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			from := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "from")]
			to := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "to")]
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				s.change(fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key")), rapid.Bool().Draw(t, "removed"))
			case 2:
				// Only two of the hosts reach the store.
				if from == hosts[0] || from == hosts[1] {
					s.read(from, rapid.IntRange(0, 9).Draw(t, "full") == 0)
				}
			case 3:
				sentAt, since := s.now, to.Revision()
				// The peer is suspended or slow before it answers.
				s.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay")) * time.Millisecond
				if c, ok := from.ChangesSince(since); ok {
					inFlight = append(inFlight, answer{to, sentAt, since, c})
				}
			default:
				if len(inFlight) > 0 {
					i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")
					a := inFlight[i]
					inFlight = append(inFlight[:i], inFlight[i+1:]...)
					a.to.ApplyPeerChanges(a.sentAt, a.since, a.c)
				}
			}
			for i, x := range hosts {
				if x.initialized && !s.isPastState(x.rows, x.confirmedAt) {
					t.Fatalf("host %d has rows %v, confirmed at %v; the store has %v", i, x.rows, x.confirmedAt, s.states)
				}
			}
		}
	})
}

// Guards against a removed row that comes back with the late answer of an earlier call.
func TestLateAnswerDoesNotRestoreRemovedRow(t *testing.T) {
	x := newAppliedRows(func() time.Duration { return time.Minute })
	x.mu.Lock()
	defer x.mu.Unlock()
	written := Change{Row: Row{Key: "k", Revision: 2}}
	x.applyResponse(Changes{Revision: 1}, true, time.Second)
	x.applyResponse(Changes{Revision: 3, Rows: []Change{written, {Row: Row{Key: "k", Revision: 3}, Removed: true}}}, false, time.Second)
	x.applyResponse(Changes{Revision: 2, Rows: []Change{written}}, false, time.Second)
	assert.Equal(t, len(x.rows), 0)
}

// Guards against a peer that stays behind because the removals that it lacks are no
// longer cached, and against a cache that grows with every removal.
func TestPeerBehindCachedRemovalsGetsAllRows(t *testing.T) {
	now := time.Minute
	relay, host := newAppliedRows(func() time.Duration { return now }), newAppliedRows(func() time.Duration { return now })
	s := newStoreModel()
	s.change("old", false)
	s.read(relay, true)
	s.read(host, true)
	s.change("old", true)
	for i := range 2 * maxCachedRemovals {
		key := fmt.Sprint("k", i)
		s.change(key, false)
		s.change(key, true)
	}
	s.change("new", false)
	s.read(relay, false)
	assert.Assert(t, len(relay.Follower.rows.changes) <= maxCachedRemovals+2)
	since := host.Revision()
	c, ok := relay.ChangesSince(since)
	assert.Assert(t, ok && c.Full)
	host.ApplyPeerChanges(now, since, c)
	assert.DeepEqual(t, host.rows, relay.rows)
}

// Guards against a heartbeat whose answer is too large to arrive within its timeout.
func TestLargeChangesAreNotSentToPeers(t *testing.T) {
	x := newAppliedRows(func() time.Duration { return time.Minute })
	x.mu.Lock()
	x.applyResponse(Changes{Revision: 1}, true, time.Second)
	x.applyResponse(Changes{Revision: 2, Rows: []Change{{Row: Row{Key: "k", Revision: 2, Value: make([]byte, maxPeerChangeBytes+1)}}}}, false, time.Second)
	x.mu.Unlock()
	_, ok := x.ChangesSince(1)
	assert.Assert(t, !ok)
	_, ok = x.ChangesSince(2)
	assert.Assert(t, ok, "a peer that has the row gets the confirmation")
}

// Guards, for the load pattern of a store that is down for all hosts at once, against a
// short poll of each host every few hundred milliseconds: only relays find out quickly
// when the store returns.
func TestHostsBehindRelaysPollSlowlyWhileStoreIsDown(t *testing.T) {
	s := newFakeWatcher()
	s.put("first")
	x := startIndirectFollower(t, s)
	waitFor(t, "first is missing", func() bool { return x.has("first") })
	s.mu.Lock()
	s.failing = true
	before := s.calls
	s.mu.Unlock()
	time.Sleep(3 * time.Second)
	s.mu.Lock()
	calls := s.calls - before
	s.failing = false
	s.mu.Unlock()
	assert.Assert(t, calls >= 1 && calls <= 8, "%d calls in 3 s", calls)
	waitFor(t, "the rows are not confirmed again", func() bool { return x.age() < 300*time.Millisecond })
}

// Guards against a host behind relays that makes long polls, and against one that does
// not read the store at all when no peer confirms its rows.
func TestHostBehindRelaysReadsStoreOnlyWithoutConfirmation(t *testing.T) {
	s := newFakeWatcher()
	s.put("first")
	x := startIndirectFollower(t, s)
	waitFor(t, "first is missing", func() bool { return x.has("first") })
	relay := newAppliedRows(x.Clock)
	s.put("second")
	for end := time.Now().Add(900 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		relay.mu.Lock()
		s.mu.Lock()
		c := Changes{Revision: s.revision, Stamp: s.clock()}
		for _, r := range s.rows {
			c.Rows = append(c.Rows, Change{Row: r})
		}
		s.mu.Unlock()
		relay.applyResponse(c, true, relay.Clock())
		relay.mu.Unlock()
		sentAt, since := x.Clock(), x.Revision()
		changes, ok := relay.ChangesSince(since)
		assert.Assert(t, ok)
		x.ApplyPeerChanges(sentAt, since, changes)
	}
	assert.Assert(t, x.has("second"))
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	assert.Equal(t, calls, 1, "only the first read goes to the store")
	s.put("third")
	waitFor(t, "the row that no peer sent is missing", func() bool { return x.has("third") })
}

// startIndirectFollower starts a follower that gets its changes from relays.
func startIndirectFollower(t *testing.T, s *fakeWatcher) *testFollower {
	return startFollowerWith(t, s, func(f *Follower) { f.Direct = func() bool { return false } })
}

// Guards against a confirmation by the response for another space that does not hold:
// after a change of this space that the host lacks, or of rows that it has not read.
func TestResponseConfirmsOtherSpaces(t *testing.T) {
	now := time.Minute
	x := newAppliedRows(func() time.Duration { return now })
	x.confirmUpTo(0, now)
	assert.Equal(t, x.confirmedAt, time.Duration(0), "nothing was read yet")
	x.mu.Lock()
	x.applyResponse(Changes{Revision: 7, Stamp: now}, true, now)
	x.mu.Unlock()
	first := x.confirmedAt
	now += time.Second
	x.confirmUpTo(8, now)
	assert.Equal(t, x.confirmedAt, first, "revision 8 may be a change of this space")
	x.confirmUpTo(7, now)
	assert.Equal(t, x.confirmedAt, now)
	x.confirmUpTo(6, now-time.Second)
	assert.Equal(t, x.confirmedAt, now, "a confirmation must not go back")
	x.mu.Lock()
	x.historyAvailable = false
	x.mu.Unlock()
	x.confirmUpTo(7, now+time.Second)
	assert.Equal(t, x.confirmedAt, now)
}
