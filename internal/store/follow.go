package store

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	// answerTimeout bounds a store call beyond the wait that it asks for. The
	// store answers within some milliseconds, and within 300 ms when it is slow.
	answerTimeout = 700 * time.Millisecond
	// retryBase and retryCap bound the pause after a failed call. The pause has
	// full jitter, so that a returning store meets no burst.
	retryBase = 50 * time.Millisecond
	retryCap  = 500 * time.Millisecond
	// mergePause is the first pause after an answer with changes. It doubles up to
	// mergeCap while every answer has some, so that changes in quick succession,
	// as when all hosts start, share answers.
	mergePause = 30 * time.Millisecond
	mergeCap   = 240 * time.Millisecond
	// watchInterval is how often the age of the confirmation is looked at.
	watchInterval = 100 * time.Millisecond
	// catchUpAfter is how long a peer knows more before this host asks for itself.
	// A long poll brings the change within mergeCap unless its connection is silent.
	catchUpAfter = 300 * time.Millisecond
)

// Knowledge is what a host knows of a space. Two hosts with the same digest know
// the same rows.
type Knowledge struct {
	Digest uint64
	// Revision is the store's revision up to which the space is known.
	Revision Revision
	// Age is the time since the knowledge was known to be complete.
	Age time.Duration
}

// Follower keeps up with a space of rows. A long poll brings changes as they are
// made. The confirmation that nothing is missing comes from the answers, which
// the store's clock dates, and from peers that know the same rows and had an
// answer more recently. When both are missing, short polls follow.
type Follower struct {
	Watcher Watcher
	Space   string
	// Wait is how long the store may hold a poll without a change.
	Wait time.Duration
	// MaxAge is the age of the confirmation at which a short poll is made.
	MaxAge   time.Duration
	Clock    clock.Clock
	Log      *log.Logger
	Counters *telemetry.Counters
	// Apply takes changes in. Full says that the rows are all there are. All
	// changes that were made before the time confirmed are among them. Calls
	// follow one another.
	Apply func(rows []Change, full bool, confirmed time.Duration)

	mu        sync.Mutex
	revision  Revision
	known     map[string]Revision
	digest    uint64
	confirmed time.Duration
	started   bool
	// complete is unset when the space has to be read as a whole.
	complete bool
	lost     bool
	// store dates the answers.
	store clock.Remote
	// behind is the time since which a peer has known more, 0 when none does.
	behind time.Duration
}

// Run follows the space until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.watchAge(ctx) })
	f.longPolls(ctx)
	wg.Wait()
}

// longPolls brings changes as they are made.
func (f *Follower) longPolls(ctx context.Context) {
	pause, merge := retryBase, mergePause
	for ctx.Err() == nil {
		// Hosts that start together would otherwise poll together.
		wait := f.Wait/2 + time.Duration(rand.Int64N(int64(f.Wait/2)+1))
		changed, err := f.call(ctx, wait)
		switch {
		case err == nil && changed:
			clock.Sleep(ctx, merge)
			merge = min(2*merge, mergeCap)
			pause = retryBase
		case err == nil:
			pause, merge = retryBase, mergePause
		default:
			clock.Sleep(ctx, time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, retryCap)
		}
	}
}

// watchAge makes a short poll when the confirmation gets old, or when a peer
// knows more.
func (f *Follower) watchAge(ctx context.Context) {
	pause := retryBase
	for ctx.Err() == nil {
		clock.Sleep(ctx, watchInterval)
		if !f.due() {
			continue
		}
		if _, err := f.call(ctx, 0); err != nil {
			clock.Sleep(ctx, time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, retryCap)
			continue
		}
		pause = retryBase
	}
}

func (f *Follower) due() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	if !f.started {
		return false // the first long poll reads everything
	}
	switch {
	case now-f.confirmed >= f.MaxAge:
		f.Counters.Add("store_reads_old", 1)
	case f.behind != 0 && now-f.behind >= catchUpAfter:
		f.Counters.Add("store_reads_behind", 1)
	default:
		return false
	}
	f.behind = 0
	return true
}

// call makes one call and takes its answer in. It reports whether there were
// changes.
func (f *Follower) call(ctx context.Context, wait time.Duration) (changed bool, err error) {
	f.mu.Lock()
	after, full := f.revision, !f.complete
	f.mu.Unlock()
	if full {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	f.Counters.Add("store_reads", 1)
	sent := f.Clock()
	var c Changes
	if full {
		c, err = f.Watcher.ReadAll(ctx, f.Space)
	} else {
		c, err = f.Watcher.Watch(ctx, f.Space, after, wait)
	}
	f.Log.Debug().Str("space", f.Space).Dur("wait", wait).Dur("took", f.Clock()-sent).Int("rows", len(c.Rows)).Err(err).Msg("store read")
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note(ctx, err, sent)
	switch {
	case err == nil:
		return f.take(c, full, sent), nil
	case errors.Is(err, ErrHistoryLost):
		f.Log.Info().Str("space", f.Space).Uint64("revision", uint64(after)).Msg("store history lost, reading the whole space")
		f.complete = false
		return false, nil
	}
	f.Counters.Add("store_failures_"+f.Space, 1)
	return false, err
}

// take applies an answer. Rows that are known already are left out, because the
// answers of two calls may overlap. The caller holds the lock.
func (f *Follower) take(c Changes, full bool, sent time.Duration) (changed bool) {
	confirmed := f.store.Before(sent, f.Clock(), c.Stamp)
	if full && c.Revision < f.revision {
		return false // a later answer was taken in meanwhile
	}
	rows := c.Rows
	if full {
		f.known, f.digest = make(map[string]Revision, len(rows)), 0
	} else {
		rows = f.unknown(rows)
	}
	for _, r := range rows {
		f.remember(r)
	}
	f.revision = max(f.revision, c.Revision)
	f.started, f.complete, f.behind = true, true, 0
	f.confirm(rows, full, confirmed)
	return len(rows) > 0
}

func (f *Follower) unknown(rows []Change) []Change {
	var out []Change
	for _, r := range rows {
		if r.Revision > f.known[r.Key] {
			out = append(out, r)
		}
	}
	return out
}

// remember updates the digest, which covers the rows that exist.
func (f *Follower) remember(r Change) {
	if old, ok := f.known[r.Key]; ok {
		f.digest ^= rowDigest(r.Key, old)
		delete(f.known, r.Key)
	}
	if !r.Removed {
		f.known[r.Key] = r.Revision
		f.digest ^= rowDigest(r.Key, r.Revision)
	}
}

func rowDigest(key string, rev Revision) uint64 {
	return xxhash.Sum64String(key + "\x00" + strconv.FormatUint(uint64(rev), 10))
}

func (f *Follower) confirm(rows []Change, full bool, at time.Duration) {
	f.confirmed = max(f.confirmed, at)
	f.Apply(rows, full, f.confirmed)
}

// Knowledge returns what this host knows, for its peers. ok is false before the
// first answer.
func (f *Follower) Knowledge() (k Knowledge, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Knowledge{Digest: f.digest, Revision: f.revision, Age: f.Clock() - f.confirmed}, f.started
}

// PeerKnows takes the answer of a peer in that was asked at the time. If it
// knows the same rows, its confirmation holds here, too.
func (f *Follower) PeerKnows(asked time.Duration, k Knowledge) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.started:
	case k.Digest == f.digest:
		f.behind = 0
		if at := asked - clock.Longer(k.Age); at > f.confirmed {
			f.confirm(nil, false, at)
		}
	case k.Revision > f.revision && f.behind == 0:
		f.behind = f.Clock()
	}
}

// note logs a lost and a regained store. The caller holds the lock.
func (f *Follower) note(ctx context.Context, err error, sent time.Duration) {
	failed := err != nil && !errors.Is(err, ErrHistoryLost)
	if failed == f.lost || failed && ctx.Err() == context.Canceled {
		return
	}
	f.lost = failed
	if failed {
		f.Log.Warn().Str("space", f.Space).Err(err).Dur("after", f.Clock()-sent).Msg("store lost")
		return
	}
	f.Log.Info().Str("space", f.Space).Uint64("revision", uint64(f.revision)).Msg("store regained")
}
