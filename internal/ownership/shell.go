package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	tickInterval = 100 * time.Millisecond
	// callTimeout bounds one write. It is under writeTimeout, so that a write is
	// not sent twice at once.
	callTimeout = 800 * time.Millisecond
)

// Options configure a Shell.
type Options struct {
	Self  Host
	Space string
	Table store.TableService
	// Watcher follows the space.
	Watcher  store.Watcher
	Wanted   func() []Spec
	Clock    clock.Clock
	Log      *log.Logger
	Counters *telemetry.Counters
	// Latencies takes the waits from a taken role to its use, as SettlingLatency.
	Latencies *telemetry.Latencies
}

// SettlingLatency names the histogram of the times from the row that gives this
// host a role to the end of the last holder's lease.
const SettlingLatency = "role_settling"

// Shell drives a Machine: it follows the rows, carries the writes out and logs
// every change of a role.
type Shell struct {
	opt Options

	follower *store.Follower

	mu      sync.Mutex
	machine *Machine
	shown   map[string]shownRole
	live    bool
}

// shownRole is the state of a role that was logged last.
type shownRole struct {
	holder string
	epoch  uint64
	held   bool
	// taken is when this host became the holder in the epoch.
	taken time.Duration
}

// New returns a Shell. Nothing happens before Run.
func New(opt Options) *Shell {
	s := &Shell{opt: opt, machine: NewMachine(opt.Clock(), opt.Self, opt.Space), shown: map[string]shownRole{}}
	s.follower = &store.Follower{
		Watcher: opt.Watcher, Space: opt.Space, Wait: PollWait, MaxAge: PollAge, Clock: opt.Clock,
		Log: opt.Log, Counters: opt.Counters, Apply: s.apply,
	}
	return s
}

// Follower returns what follows the rows, for the exchange with peers.
func (s *Shell) Follower() *store.Follower { return s.follower }

// Run follows the rows and claims roles until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.follower.Run(ctx) })
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		s.tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (s *Shell) apply(rows []store.Change, full bool, confirmed time.Duration) {
	now := s.opt.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range s.machine.Rows(now, confirmed, rows, full) {
		s.opt.Counters.Add("rows_undecoded", 1)
		s.opt.Log.Warn().Str("key", key).Msg("row cannot be decoded")
	}
	s.report(now)
}

func (s *Shell) tick(ctx context.Context) {
	now := s.opt.Clock()
	wanted := s.opt.Wanted()
	s.mu.Lock()
	s.machine.Want(wanted)
	writes := s.machine.Tick(now)
	s.report(now)
	s.mu.Unlock()
	for _, w := range writes {
		go s.write(ctx, w)
	}
}

// write carries a write out. Its success is taken in like a followed row.
func (s *Shell) write(ctx context.Context, w Write) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.opt.Counters.Add("store_writes", 1)
	var rev store.Revision
	var err error
	if w.Remove {
		err = s.opt.Table.Delete(ctx, w.Key, w.Expect)
	} else {
		rev, err = s.opt.Table.CompareAndSwap(ctx, w.Key, w.Expect, w.Value)
	}
	now := s.opt.Clock()
	s.opt.Log.Info().Str("key", w.Key).Str("why", w.Why).Uint64("expect", uint64(w.Expect)).
		Uint64("revision", uint64(rev)).Err(err).Msg("row written")
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && !w.Remove {
		s.machine.Rows(now, 0, []store.Change{{Row: store.Row{Key: w.Key, Value: w.Value, Revision: rev}}}, false)
		s.report(now)
	}
	if err == nil || errors.Is(err, store.ErrConflict) {
		s.machine.Done(w.Key)
	}
	return err
}

// report logs the roles that changed. The caller holds the lock.
func (s *Shell) report(now time.Duration) {
	if live := now < s.machine.LeaseUntil(); live != s.live {
		s.live = live
		s.opt.Counters.Add("lease_changes", 1)
		s.opt.Log.Info().Bool("live", live).Dur("confirmed_ago", now-s.machine.confirmed).Msg("lease changed")
	}
	for name, r := range s.machine.roles {
		_, held := s.machine.Held(now, name)
		next := shownRole{holder: r.Holder, epoch: r.Epoch, held: held, taken: s.shown[name].taken}
		if s.shown[name] == next {
			continue
		}
		if next.epoch != s.shown[name].epoch {
			next.taken = now
		}
		if held && !s.shown[name].held {
			s.opt.Latencies.Record(SettlingLatency, now-next.taken)
		}
		if held != s.shown[name].held || s.machine.own(r) || s.shown[name].holder == s.opt.Self.Name {
			s.opt.Log.Info().Str("role", name).Str("holder", r.Holder).Uint64("epoch", r.Epoch).
				Uint64("revision", uint64(r.revision)).Bool("held", held).Msg("role changed")
		}
		s.shown[name] = next
	}
}

// Held returns the epoch of a role that this host may use now.
func (s *Shell) Held(role string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Held(s.opt.Clock(), role)
}

// Claimed returns the epoch of a role that this host holds by the rows.
func (s *Shell) Claimed(role string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Claimed(s.opt.Clock(), role)
}

// Holder returns the process that holds a role.
func (s *Shell) Holder(role string) (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Holder(role)
}

// Home returns the host that ranks first for a role that needs no lease.
func (s *Shell) Home(role, zone string) (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranked := s.machine.Rank(s.opt.Clock(), role, zone)
	if len(ranked) == 0 {
		return Host{}, false
	}
	return ranked[0], true
}

// Advance asks for a new epoch of a held role.
func (s *Shell) Advance(role string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Advance(role)
}

// Exchange takes the signs of life of another host in and returns all known ones.
func (s *Shell) Exchange(in []Beat) []Beat {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock()
	s.machine.Beats(now, in)
	return s.machine.Statements(now)
}

// Others returns all other hosts.
func (s *Shell) Others() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Others()
}

// Alive reports whether a host shows signs of life.
func (s *Shell) Alive(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Alive(s.opt.Clock(), name)
}

// Replaced reports whether another process has taken this host's name.
func (s *Shell) Replaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Replaced()
}

// Leave makes the host give its roles up.
func (s *Shell) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Leave()
}

// Remaining returns the number of roles that still name this host.
func (s *Shell) Remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Remaining()
}

// Deregister removes the host's row. It is the last step of a planned stop.
func (s *Shell) Deregister(ctx context.Context) error {
	s.mu.Lock()
	w, due := s.machine.Deregister()
	s.mu.Unlock()
	if !due {
		return nil
	}
	return s.write(ctx, w)
}
