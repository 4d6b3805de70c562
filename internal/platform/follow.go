package platform

import (
	"context"
	"math/rand/v2"
	"time"

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
	// mergePause is the pause after an answer with changes. Changes that come in
	// quick succession, as when all hosts start, then share an answer.
	mergePause = 30 * time.Millisecond
	// quickInterval is how often a poll asks for no wait, which dates the answers
	// of the others closely.
	quickInterval = 15 * time.Second
)

// Follower keeps up with a space of rows by long polls. An answer shows the space
// as it was when the store stamped it; the stamp tells when that was on the own
// clock.
type Follower struct {
	Watcher Watcher
	Space   string
	// Wait is how long the store may hold a poll without a change. The age of
	// the last confirmation is at most Wait and one answer in a calm system.
	Wait     time.Duration
	Clock    clock.Clock
	Log      *log.Logger
	Counters *telemetry.Counters
	// Apply takes changes in. Full says that the rows are all there are. All
	// changes that were made before the time confirmed are among them.
	Apply func(rows []Change, full bool, confirmed time.Duration)

	revision Revision
	lost     bool
	// store dates the answers.
	store clock.Remote
	// quick is the time of the last call that asked for no wait.
	quick time.Duration
}

// Run follows the space until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	pause := retryBase
	for ctx.Err() == nil {
		sent := f.Clock()
		err := f.step(ctx, sent)
		switch {
		case err == nil:
			pause = retryBase
			f.note(nil, sent)
			continue
		case errors.Is(err, ErrHistoryLost):
			f.Log.Info().Str("space", f.Space).Uint64("revision", uint64(f.revision)).Msg("store history lost, reading the whole space")
			f.revision = 0
			continue
		case ctx.Err() != nil:
			return
		}
		f.Counters.Add("store_failures_"+f.Space, 1)
		f.note(err, sent)
		sleep(ctx, time.Duration(rand.Int64N(int64(pause))))
		pause = min(2*pause, retryCap)
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context, sent time.Duration) error {
	wait := f.Wait
	if f.revision == 0 || sent-f.quick >= quickInterval {
		wait, f.quick = 0, sent
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTimeout)
	defer cancel()
	f.Counters.Add("store_reads", 1)
	if f.revision == 0 {
		c, err := f.Watcher.ReadAll(ctx, f.Space)
		if err != nil {
			return err
		}
		f.revision = c.Revision
		f.Apply(c.Rows, true, f.store.Before(sent, f.Clock(), c.Stamp))
		return nil
	}
	c, err := f.Watcher.Watch(ctx, f.Space, f.revision, wait)
	if err != nil {
		return err
	}
	f.revision = max(f.revision, c.Revision)
	f.Apply(c.Rows, false, f.store.Before(sent, f.Clock(), c.Stamp))
	if len(c.Rows) > 0 {
		sleep(ctx, mergePause)
	}
	return nil
}

// note logs a lost and a regained store.
func (f *Follower) note(err error, sent time.Duration) {
	if (err != nil) == f.lost {
		return
	}
	f.lost = err != nil
	if f.lost {
		f.Log.Warn().Str("space", f.Space).Err(err).Dur("after", f.Clock()-sent).Msg("store lost")
		return
	}
	f.Log.Info().Str("space", f.Space).Uint64("revision", uint64(f.revision)).Msg("store regained")
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
