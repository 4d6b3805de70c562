package store

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// space is a space of rows with a history, as a store keeps it.
type space struct {
	mu       sync.Mutex
	rows     map[string]Row
	history  []Change
	revision Revision
	// forgotten is the revision up to which the history is lost.
	forgotten Revision
	silent    bool
	// deaf is set when only long polls are silent.
	deaf  bool
	calls int
	// short counts the calls that do not wait for a change.
	short int
	clock func() time.Duration
}

func (s *space) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	r := Row{Key: key, Revision: s.revision}
	s.rows[key] = r
	s.history = append(s.history, Change{Row: r})
}

func (s *space) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.rows, key)
	s.history = append(s.history, Change{Row: Row{Key: key, Revision: s.revision}, Removed: true})
}

func (s *space) ReadAll(ctx context.Context, _ string) (Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	c := Changes{Revision: s.revision, Stamp: s.clock()}
	for _, r := range s.rows {
		c.Rows = append(c.Rows, Change{Row: r})
	}
	return c, nil
}

func (s *space) Watch(ctx context.Context, _ string, after Revision, wait time.Duration) (Changes, error) {
	s.mu.Lock()
	s.calls++
	if wait == 0 {
		s.short++
	}
	s.mu.Unlock()
	for end := time.Now().Add(wait); ; {
		s.mu.Lock()
		silent, lost := s.silent || s.deaf && wait > 0, after < s.forgotten
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

// followed is a Follower with what it applied.
type followed struct {
	*Follower
	mu   sync.Mutex
	rows map[string]Revision
	at   time.Duration
}

func follow(t *testing.T, s *space) *followed {
	start := time.Now()
	s.clock = func() time.Duration { return time.Since(start) + time.Hour }
	x := &followed{rows: map[string]Revision{}}
	x.Follower = &Follower{
		Watcher: s, Space: "s", Wait: 200 * time.Millisecond, MaxAge: 400 * time.Millisecond,
		Clock: func() time.Duration { return time.Since(start) + time.Minute },
		Log:   &log.Logger{Level: log.PanicLevel}, Counters: telemetry.NewCounters(),
	}
	x.Apply = func(rows []Change, full bool, confirmed time.Duration) {
		x.mu.Lock()
		defer x.mu.Unlock()
		if full {
			clear(x.rows)
		}
		for _, r := range rows {
			if r.Removed {
				delete(x.rows, r.Key)
			} else {
				x.rows[r.Key] = r.Revision
			}
		}
		x.at = confirmed
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { x.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	return x
}

func (x *followed) has(key string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.rows[key]
	return ok
}

func (x *followed) age() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.Clock() - x.at
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !done(); time.Sleep(2 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

func newSpace() *space { return &space{rows: map[string]Row{}} }

// Guards against an empty store that is read again and again, and against changes
// that are lost with the history.
func TestFollowerKeepsUp(t *testing.T) {
	s := newSpace()
	x := follow(t, s)
	time.Sleep(300 * time.Millisecond)
	s.mu.Lock()
	calls := s.calls
	s.mu.Unlock()
	assert.Assert(t, calls < 8, "%d calls for an empty space", calls)
	s.put("a")
	eventually(t, "a is missing", func() bool { return x.has("a") })
	s.mu.Lock()
	s.forgotten = s.revision + 1
	s.mu.Unlock()
	s.put("b")
	s.remove("a")
	s.mu.Lock()
	s.forgotten = s.revision
	s.mu.Unlock()
	eventually(t, "the change of the lost history is missing", func() bool { return x.has("b") && !x.has("a") })
}

// Guards against a confirmation from a peer that does not know the same rows, or
// that is dated too late.
func TestConfirmationFromPeers(t *testing.T) {
	s := newSpace()
	s.put("a")
	x := follow(t, s)
	eventually(t, "a is missing", func() bool { return x.has("a") })
	mine, _ := x.Knowledge()
	s.mu.Lock()
	s.silent = true
	s.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	old := x.age()
	asked := x.Clock()
	x.PeerKnows(asked, Knowledge{Digest: mine.Digest + 1, Revision: mine.Revision + 5, Age: 0})
	assert.Assert(t, x.age() >= old, "a peer with other rows confirmed")
	x.PeerKnows(asked, Knowledge{Digest: mine.Digest, Revision: mine.Revision, Age: 100 * time.Millisecond})
	assert.Assert(t, x.age() >= 100*time.Millisecond && x.age() < old, "age %v", x.age())
}

// Guards against digests that depend on the way by which the rows became known.
func TestDigestCoversTheRows(t *testing.T) {
	a, b := &Follower{known: map[string]Revision{}}, &Follower{known: map[string]Revision{}}
	row := func(key string, rev Revision, removed bool) Change {
		return Change{Row: Row{Key: key, Revision: rev}, Removed: removed}
	}
	for _, r := range []Change{row("x", 1, false), row("y", 2, false), row("x", 3, true), row("z", 4, false), row("y", 5, false)} {
		a.remember(r)
	}
	for _, r := range []Change{row("z", 4, false), row("y", 5, false)} {
		b.remember(r)
	}
	assert.Equal(t, a.digest, b.digest)
	b.remember(row("y", 6, false))
	assert.Assert(t, a.digest != b.digest)
}

// Guards against a second call for changes that the long poll is about to bring.
// When a large fleet starts, every change was asked for twice by hosts that heard
// of it from a peer first.
func TestChangesUnderWayAreNotAskedForAgain(t *testing.T) {
	s := newSpace()
	s.put("first")
	x := follow(t, s)
	eventually(t, "first is missing", func() bool { return x.has("first") })
	for i := range 20 {
		time.Sleep(25 * time.Millisecond)
		s.put(string(rune('a' + i)))
		s.mu.Lock()
		newest := s.revision
		s.mu.Unlock()
		x.PeerKnows(x.Clock(), Knowledge{Digest: 1, Revision: newest})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, s.short, 0)
}

// Guards against a change that stays unknown because the long poll's connection
// went silent, although a peer knows it.
func TestPeersShowWhatASilentPollHides(t *testing.T) {
	s := newSpace()
	s.put("first")
	x := follow(t, s)
	eventually(t, "first is missing", func() bool { return x.has("first") })
	s.mu.Lock()
	s.deaf = true
	s.mu.Unlock()
	time.Sleep(x.Wait)
	s.put("hidden")
	x.PeerKnows(x.Clock(), Knowledge{Digest: 1, Revision: 2})
	eventually(t, "the hidden change is missing", func() bool { return x.has("hidden") })
}
