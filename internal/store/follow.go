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
	// responseTimeout bounds a store call beyond the wait that it requests. The
	// store responds within some milliseconds, and within 300 ms when it is
	// slow.
	responseTimeout = 700 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause after a failed call. The
	// pause has full jitter, so that the calls of many hosts do not form a burst
	// when the store returns.
	minRetryPause = 50 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// minBatchDelay is the pause after a response with changes. It doubles up to
	// maxBatchDelay while every response has changes, so that changes in quick
	// succession, such as those at the start of all hosts, are batched.
	minBatchDelay = 30 * time.Millisecond
	maxBatchDelay = 240 * time.Millisecond
	// ageCheckInterval is the interval between checks whether a short poll is
	// needed.
	ageCheckInterval = 100 * time.Millisecond
	// catchUpDelay is how long a peer must have had newer rows before this host
	// makes a short poll for them. A long poll returns a change within
	// maxBatchDelay unless its connection is silent.
	catchUpDelay = 300 * time.Millisecond
	// directCheckInterval is the interval at which a host that gets the changes from
	// its peers checks whether it has to make long polls.
	directCheckInterval = 100 * time.Millisecond
	// maxIndirectPause bounds the pause between short polls of a host that gets the
	// changes from its peers, and maxIndirectDelay the random delay of the first one.
	// All hosts of a fleet need a short poll at the same time when the store is down,
	// and the few hosts that make long polls find out when it returns.
	maxIndirectPause = 2400 * time.Millisecond
	maxIndirectDelay = 600 * time.Millisecond
)

// SpaceSummary summarizes the rows of a space that a host has. Two hosts with the
// same digest have the same rows.
type SpaceSummary struct {
	Digest uint64
	// Revision is the revision of the store up to which the host has the changes
	// of the space.
	Revision Revision
	// Age is the time since the rows were last confirmed to be complete.
	Age time.Duration
}

// Follower reports the changes of a space of rows. A long poll returns changes
// as they are made. In a large fleet, only some hosts make long polls, and the
// others get the changes from them (see ChangesSince and ApplyPeerChanges).
//
// A confirmation is the time up to which no change is missing. It comes from
// responses of the store, whose stamps date them, and from peers that have the
// same rows and a more recent confirmation. If the last confirmation is older
// than MaxConfirmationAge, or if the long poll does not return rows that a peer
// has, the Follower makes a short poll, which does not wait for a change.
type Follower struct {
	Watcher Watcher
	Space   string
	// LongPollWait is the longest time for which the store may hold a long poll
	// without a change.
	LongPollWait time.Duration
	// FirstLongPollDelay is the pause between the first read of the whole space and the
	// first long poll. Hosts that start together write their rows within it, so that one
	// poll returns all of them.
	FirstLongPollDelay time.Duration
	// MaxConfirmationAge is the age of the last confirmation at which a short poll
	// is made.
	MaxConfirmationAge time.Duration
	// Direct reports whether this host makes long polls; if nil, it always does. A
	// host that does not gets the changes from its peers.
	Direct func() bool
	// IsRelay reports whether other hosts get the changes from this one; if nil, none
	// does. A relay makes short polls at half of MaxConfirmationAge.
	IsRelay func() bool
	// Siblings are the other followers of the same store. Revisions order the changes of
	// all spaces, so that a response for one space can confirm the rows of the others.
	Siblings []*Follower
	Clock    clock.Clock
	Log      *log.Logger
	Counters *telemetry.Counters
	// Apply applies changes. If full is set, rows are all rows of the space.
	// Every change made before the time confirmed has been passed to this or an
	// earlier call. Calls are never concurrent.
	Apply func(rows []Change, full bool, confirmed time.Duration)
	// NewEra, if set, is called before the call of Apply with the first rows of an era,
	// which are all rows of the space. Rows that are missing in it were not removed; they
	// may be written again. Calls are never concurrent with those of Apply.
	NewEra func(e Era)

	mu       sync.Mutex
	revision Revision
	// rows holds the last change of each row, including the recent removals.
	rows        rowCache
	digest      uint64
	confirmedAt time.Duration
	initialized bool
	// firstReadAt is when the first response was applied.
	firstReadAt time.Duration
	// historyAvailable is unset if the whole space has to be read.
	historyAvailable bool
	storeLost        bool
	// storeClock converts the stamps of responses to the time of this host.
	storeClock clock.RemoteClock
	// behindSince is the time since which a peer has had newer rows, 0 if no
	// peer has.
	behindSince time.Duration
	// skipped limits the log lines about rows that cannot be decoded.
	skipped SkippedRows
}

// Run follows the space until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { f.runShortPolls(ctx) })
	f.runLongPolls(ctx)
	wg.Wait()
}

// runLongPolls reads changes as they are made.
func (f *Follower) runLongPolls(ctx context.Context) {
	pause, batchDelay, first := minRetryPause, minBatchDelay, true
	for ctx.Err() == nil {
		if !f.direct() {
			clock.Sleep(ctx, directCheckInterval)
			continue
		}
		// Without jitter, hosts that start at the same time would poll at the
		// same time.
		wait := f.LongPollWait/2 + time.Duration(rand.Int64N(int64(f.LongPollWait/2)+1))
		changed, err := f.poll(ctx, wait)
		switch {
		case err == nil && first:
			first = false
			clock.Sleep(ctx, f.FirstLongPollDelay)
		case err == nil && changed:
			clock.Sleep(ctx, batchDelay)
			batchDelay = min(2*batchDelay, maxBatchDelay)
			pause = minRetryPause
		case err == nil:
			pause, batchDelay = minRetryPause, minBatchDelay
		default:
			clock.Sleep(ctx, time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, maxRetryPause)
		}
	}
}

// direct reports whether this host makes long polls. The first long poll reads
// everything.
func (f *Follower) direct() bool {
	if f.Direct == nil || f.Direct() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.initialized
}

// runShortPolls makes a short poll whenever one is needed.
func (f *Follower) runShortPolls(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		clock.Sleep(ctx, ageCheckInterval)
		if f.shortPollCause() == "" {
			pause = minRetryPause
			continue
		}
		maxPause := maxRetryPause
		if !f.direct() {
			maxPause = maxIndirectPause
			clock.Sleep(ctx, time.Duration(rand.Int64N(int64(maxIndirectDelay))))
		}
		// A peer may have confirmed the rows in the meantime.
		cause := f.shortPollCause()
		if cause == "" {
			continue
		}
		f.Counters.Add(cause, 1)
		if _, err := f.poll(ctx, 0); err != nil {
			clock.Sleep(ctx, time.Duration(rand.Int64N(int64(pause))))
			pause = min(2*pause, maxPause)
		}
	}
}

// shortPollCause returns the counter of the reason for a short poll: the last
// confirmation is too old, or a peer has had newer rows for too long. It returns an
// empty string if no short poll is needed.
func (f *Follower) shortPollCause() string {
	maxAge := f.MaxConfirmationAge
	if f.IsRelay != nil && f.IsRelay() {
		maxAge /= 2
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock()
	switch {
	case !f.initialized:
		return "" // the first long poll reads everything
	case now-f.confirmedAt >= maxAge:
		return "store_reads_old"
	case f.behindSince != 0 && now-max(f.behindSince, f.firstReadAt+f.FirstLongPollDelay) >= catchUpDelay:
		return "store_reads_behind"
	}
	return ""
}

// poll makes one call and applies its response. It reports whether there were
// changes.
func (f *Follower) poll(ctx context.Context, wait time.Duration) (changed bool, err error) {
	f.mu.Lock()
	after, full := f.revision, !f.historyAvailable
	f.mu.Unlock()
	if full {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
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
	if err == nil && !full && c.Revision.Era() != after.Era() {
		err = ErrHistoryLost // versions of one era say nothing about those of another one
	}
	if err != nil {
		return false, f.processFailure(ctx, err, sent)
	}
	confirmed, changed := f.processResponse(ctx, c, full, sent)
	for _, sibling := range f.Siblings {
		sibling.confirmUpTo(c.Revision, confirmed)
	}
	return changed, nil
}

// processFailure records that a call which was sent at sent failed. It returns nil if the
// store has answered that the history is lost.
func (f *Follower) processFailure(ctx context.Context, err error, sent time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logAvailability(ctx, err, sent)
	if errors.Is(err, ErrHistoryLost) {
		f.Log.Info().Str("space", f.Space).Int64("era", f.revision.Era().Number()).Uint64("revision", f.revision.Version()).
			Msg("store history lost, reading the whole space")
		f.historyAvailable = false
		return nil
	}
	f.Counters.Add("store_failures_"+f.Space, 1)
	return err
}

// processResponse applies the response to a call that was sent at sent. It returns the
// time up to which the response contains every change, and whether there were new ones.
func (f *Follower) processResponse(ctx context.Context, c Changes, full bool, sent time.Duration) (confirmed time.Duration, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logAvailability(ctx, nil, sent)
	f.logSkipped(c.Skipped)
	return f.applyResponse(c, full, sent)
}

// confirmUpTo confirms the rows at a time at which the newest revision of the store was
// rev, if this host has every change up to it.
func (f *Follower) confirmUpTo(rev Revision, at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.historyAvailable && f.revision >= rev && f.revision.Era() == rev.Era() && at > f.confirmedAt {
		f.applyConfirmed(nil, false, at)
	}
}

// applyResponse applies a response. It skips rows that have been applied
// already, because the responses of two concurrent calls may overlap. It returns the
// time up to which the response contains every change, and whether there were new ones.
// The caller holds the lock.
func (f *Follower) applyResponse(c Changes, full bool, sent time.Duration) (confirmed time.Duration, changed bool) {
	if f.initialized && c.Revision.Era() < f.revision.Era() {
		return f.confirmedAt, false // the response of a concurrent call was of a later era
	}
	f.enterEra(c.Revision.Era())
	confirmed = f.storeClock.EarliestLocal(sent, f.Clock(), c.Stamp)
	if full && c.Revision < f.revision {
		return confirmed, false // the response of a concurrent call was later and is already applied
	}
	return confirmed, f.applyChanges(c.Rows, full, c.Revision, confirmed)
}

// enterEra prepares for the first rows of an era. The store's clock may be another one
// from then on. The caller holds the lock.
func (f *Follower) enterEra(e Era) {
	if f.initialized && e <= f.revision.Era() {
		return
	}
	f.storeClock = clock.RemoteClock{}
	if f.NewEra != nil {
		f.NewEra(e)
	}
}

// applyChanges applies changes up to a revision that is not older than this host's.
// It reports whether there were new ones. The caller holds the lock.
func (f *Follower) applyChanges(rows []Change, full bool, revision Revision, confirmed time.Duration) (changed bool) {
	if full {
		// Without the era, two spaces without rows would look the same in all eras.
		f.rows, f.digest = newRowCache(revision), eraDigest(revision.Era())
	} else {
		rows = f.newRows(rows)
	}
	for _, r := range rows {
		f.recordRow(r)
	}
	f.revision = max(f.revision, revision)
	if !f.initialized {
		f.firstReadAt = f.Clock()
	}
	f.initialized, f.historyAvailable, f.behindSince = true, true, 0
	f.applyConfirmed(rows, full, confirmed)
	return len(rows) > 0
}

// newRows returns the rows that are newer than those applied. A change up to the
// revision of this host is either applied or superseded, although its row may be gone.
func (f *Follower) newRows(rows []Change) []Change {
	var out []Change
	for _, r := range rows {
		if r.Revision > f.revision && r.Revision > f.rows.changes[r.Key].Revision {
			out = append(out, r)
		}
	}
	return out
}

// recordRow updates the cached row and the digest, which covers the existing rows.
func (f *Follower) recordRow(r Change) {
	if old, ok := f.rows.changes[r.Key]; ok && !old.Removed {
		f.digest ^= rowDigest(r.Key, old.Revision)
	}
	if !r.Removed {
		f.digest ^= rowDigest(r.Key, r.Revision)
	}
	f.rows.record(r)
}

func rowDigest(key string, rev Revision) uint64 {
	return xxhash.Sum64String(key + "\x00" + strconv.FormatUint(uint64(rev), 10))
}

// eraDigest returns the digest of a space without rows.
func eraDigest(e Era) uint64 {
	if e == 0 {
		return 0
	}
	return rowDigest("", NewRevision(e, 0))
}

// applyConfirmed applies rows and advances the confirmation.
func (f *Follower) applyConfirmed(rows []Change, full bool, at time.Duration) {
	f.confirmedAt = max(f.confirmedAt, at)
	f.Apply(rows, full, f.confirmedAt)
}

// Summary returns the summary of this host's rows for its peers. ok is false
// before the first response of the store.
func (f *Follower) Summary() (s SpaceSummary, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return SpaceSummary{Digest: f.digest, Revision: f.revision, Age: f.Clock() - f.confirmedAt}, f.initialized
}

// ProcessPeerSummary processes the summary in a peer's response to a request that was
// sent at sentAt. If the peer has the same rows, its confirmation holds
// for this host, too.
func (f *Follower) ProcessPeerSummary(sentAt time.Duration, s SpaceSummary) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !f.initialized:
	case s.Digest == f.digest:
		f.behindSince = 0
		if at := sentAt - clock.AddDriftMargin(s.Age); at > f.confirmedAt {
			f.applyConfirmed(nil, false, at)
		}
	case s.Revision > f.revision && f.behindSince == 0:
		f.behindSince = f.Clock()
	}
}

// logSkipped logs and counts the rows that cannot be decoded, once for each revision.
// The caller holds the lock.
func (f *Follower) logSkipped(rows []SkippedRow) {
	for _, r := range rows {
		if f.skipped.IsNew(r.Key, r.Revision) {
			key, reason := r.LogFields()
			f.Counters.Add("rows_undecoded", 1)
			f.Log.Warn().Str("space", f.Space).Str("key", key).Uint64("revision", r.Revision.Version()).Str("error", reason).Msg("row skipped")
		}
	}
}

// logAvailability logs when calls to the store start to fail and when they succeed
// again. The caller holds the lock.
func (f *Follower) logAvailability(ctx context.Context, err error, sent time.Duration) {
	failed := err != nil && !errors.Is(err, ErrHistoryLost)
	if failed == f.storeLost || failed && ctx.Err() == context.Canceled {
		return
	}
	f.storeLost = failed
	if failed {
		f.Log.Warn().Str("space", f.Space).Err(err).Dur("after", f.Clock()-sent).Msg("store lost")
		return
	}
	f.Log.Info().Str("space", f.Space).Int64("era", f.revision.Era().Number()).Uint64("revision", f.revision.Version()).Msg("store regained")
}
