package store

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// fakeWatcher is a Watcher of one space that keeps its history, as a store
// does.
type fakeWatcher struct {
	mu       sync.Mutex
	rows     map[string]Row
	history  []Change
	revision Revision
	// historyLostUpTo is the first revision after which Watch can return the
	// changes. For older ones it returns ErrHistoryLost.
	historyLostUpTo Revision
	silent          bool
	// failing is set if every call fails at once.
	failing bool
	// longPollsSilent is set if only long polls get no response.
	longPollsSilent bool
	calls           int
	// shortPolls counts the calls that do not wait for a change.
	shortPolls int
	clock      func() time.Duration
}

// restore makes the store come back in the next era without any row. Versions are given
// out again.
func (s *fakeWatcher) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.rows)
	s.history, s.revision = nil, NewRevision(s.revision.Era()+1, 0)
}

func (s *fakeWatcher) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := Row{Key: key, Revision: s.revision}
	s.rows[key] = r
	s.history = append(s.history, Change{Row: r})
}

func (s *fakeWatcher) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.rows, key)
	s.history = append(s.history, Change{Row: Row{Key: key, Revision: s.revision}, Removed: true})
}

func (s *fakeWatcher) ReadAll(ctx context.Context, _ string) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	c := Changes{Revision: s.revision, Stamp: s.clock()}
	for _, r := range s.rows {
		c.Rows = append(c.Rows, Change{Row: r})
	}
	return c, nil
}

func (s *fakeWatcher) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) (Changes, error) {
	s.mu.Lock()
	s.calls++
	if wait == 0 {
		s.shortPolls++
	}
	failing := s.failing
	s.mu.Unlock()
	if failing {
		return Changes{}, errors.New("store down")
	}
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		silent, lost := s.silent || s.longPollsSilent && wait > 0, after < s.historyLostUpTo
		c := Changes{Revision: s.revision, Stamp: s.clock()}
		for _, h := range s.history {
			if h.Revision > after {
				c.Rows = append(c.Rows, h)
			}
		}
		s.mu.Unlock()
		switch {
		case lost:
			return Changes{}, ErrHistoryLost
		case silent:
			<-ctx.Done()
			return Changes{}, ctx.Err()
		case len(c.Rows) > 0 || !time.Now().Before(end):
			return c, nil
		}
		time.Sleep(time.Millisecond)
	}
}

// testFollower is a Follower with the rows that it has applied.
type testFollower struct {
	*Follower
	mu          sync.Mutex
	rows        map[string]Revision
	confirmedAt time.Duration
}

// applyTo applies changes to the revisions of the rows that a host has.
func applyTo(revisions map[string]Revision, rows []Change, full bool) {
	if full {
		clear(revisions)
	}
	for _, r := range rows {
		if r.Removed {
			delete(revisions, r.Key)
		} else {
			revisions[r.Key] = r.Revision
		}
	}
}

func startFollower(t *testing.T, s *fakeWatcher) *testFollower {
	return startFollowerWith(t, s, func(*Follower) {})
}

// startFollowerWith starts a follower after configure has changed its fields.
func startFollowerWith(t *testing.T, s *fakeWatcher, configure func(*Follower)) *testFollower {
	start := time.Now()
	s.clock = func() time.Duration { return time.Since(start) + time.Hour }
	x := &testFollower{rows: map[string]Revision{}}
	x.Follower = &Follower{
		Watcher: s, Space: "s", LongPollWait: 200 * time.Millisecond, MaxConfirmationAge: 400 * time.Millisecond,
		Clock: func() time.Duration { return time.Since(start) + time.Minute },
		Log:   &log.Logger{Level: log.PanicLevel}, Counters: telemetry.NewCounters(),
	}
	x.Apply = func(rows []Change, full bool, confirmed time.Duration) {
		x.mu.Lock()
		defer x.mu.Unlock()
		applyTo(x.rows, rows, full)
		x.confirmedAt = confirmed
	}
	configure(x.Follower)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { x.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return x
}

func (x *testFollower) has(key string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.rows[key]
	return ok
}

func (x *testFollower) age() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Clock() - x.confirmedAt
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

func newFakeWatcher() *fakeWatcher { return &fakeWatcher{rows: map[string]Row{}} }

// Guards against polling an empty space without pause, and against missing
// changes that are lost with the store's history.
func TestFollowerAppliesChangesAndRecoversLostHistory(t *testing.T) {
	s := newFakeWatcher()
	x := startFollower(t, s)
	time.Sleep(300 * time.Millisecond)
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	assert.Assert(t, calls < 8, "%d calls for an empty space", calls)
	s.put("a")
	waitFor(t, "a is missing", func() bool { return x.has("a") })
	s.mu.Lock()
	s.historyLostUpTo = s.revision + 1
	s.mu.Unlock()
	s.put("b")
	s.remove("a")
	s.mu.Lock()
	s.historyLostUpTo = s.revision
	s.mu.Unlock()
	waitFor(t, "the change of the lost history is missing", func() bool { return x.has("b") && !x.has("a") })
}

// Guards against accepting a confirmation from a peer that does not have the
// same rows, and against dating a peer's confirmation too late.
func TestPeerConfirmationRequiresSameRows(t *testing.T) {
	s := newFakeWatcher()
	s.put("a")
	x := startFollower(t, s)
	waitFor(t, "a is missing", func() bool { return x.has("a") })
	own, _ := x.Summary()
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	old := x.age()
	sentAt := x.Clock()
	x.ProcessPeerSummary(sentAt, SpaceSummary{Digest: own.Digest + 1, Revision: own.Revision + 5, Age: 0})
	assert.Assert(t, x.age() >= old, "accepted the confirmation of a peer with other rows")
	x.ProcessPeerSummary(sentAt, SpaceSummary{Digest: own.Digest, Revision: own.Revision, Age: 100 * time.Millisecond})
	assert.Assert(t, x.age() >= 100*time.Millisecond && x.age() < old, "age %v", x.age())
}

// Guards against a digest that depends on the changes by which the rows were
// reached.
func TestDigestDependsOnlyOnCurrentRows(t *testing.T) {
	a, b := &Follower{rows: newRowCache(0)}, &Follower{rows: newRowCache(0)}
	row := func(key string, rev Revision, removed bool) Change {
		return Change{Row: Row{Key: key, Revision: rev}, Removed: removed}
	}
	for _, r := range []Change{row("x", 1, false), row("y", 2, false), row("x", 3, true), row("z", 4, false), row("y", 5, false)} {
		a.recordRow(r)
	}
	for _, r := range []Change{row("z", 4, false), row("y", 5, false)} {
		b.recordRow(r)
	}
	assert.Equal(t, a.digest, b.digest)
	b.recordRow(row("y", 6, false))
	assert.Assert(t, a.digest != b.digest)
}

// Guards, for the load pattern of all hosts that start together, against a response for
// each row that is written meanwhile, and against a host that stays behind.
func TestFirstLongPollReturnsRowsOfOtherStartingHosts(t *testing.T) {
	s := newFakeWatcher()
	s.put("first")
	x := startFollowerWith(t, s, func(f *Follower) {
		f.FirstLongPollDelay, f.MaxConfirmationAge = 400*time.Millisecond, 2*time.Second
	})
	waitFor(t, "first is missing", func() bool { return x.has("first") })
	for i := range 20 {
		s.put(string(rune('a' + i)))
		time.Sleep(10 * time.Millisecond)
	}
	waitFor(t, "the last row is missing", func() bool { return x.has(string(rune('a' + 19))) })
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.calls <= 3, "%d calls", s.calls)
}

// Guards against a short poll for changes that the long poll is about to
// return. Without the delay before a short poll, the hosts of a large fleet read
// every change twice at their start if a peer reported it first. A host that is held up for
// the rest of the delay may make one, so that the test runs on a simulated clock, long enough
// for the checks to meet every part of the longest pause between long polls.
func TestNoShortPollWhileLongPollDeliversChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeWatcher()
		s.put("first")
		x := startFollower(t, s)
		waitFor(t, "first is missing", func() bool { return x.has("first") })
		for i := range 400 {
			time.Sleep(25 * time.Millisecond)
			s.put(string(rune('a' + i)))
			s.mu.Lock()
			newest := s.revision
			s.mu.Unlock()
			x.ProcessPeerSummary(x.Clock(), SpaceSummary{Digest: 1, Revision: newest})
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.shortPolls, 0)
	})
}

// Guards against missing a change that a peer has, because the connection of
// the long poll is silent.
func TestShortPollReplacesSilentLongPoll(t *testing.T) {
	s := newFakeWatcher()
	s.put("first")
	x := startFollower(t, s)
	waitFor(t, "first is missing", func() bool { return x.has("first") })
	s.mu.Lock()
	s.longPollsSilent = true
	s.mu.Unlock()
	time.Sleep(x.LongPollWait)
	s.put("hidden")
	x.ProcessPeerSummary(x.Clock(), SpaceSummary{Digest: 1, Revision: 2})
	waitFor(t, "the hidden change is missing", func() bool { return x.has("hidden") })
}
