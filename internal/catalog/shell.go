package catalog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	// pollWait is how long the store may hold a poll. Changes are answered at
	// once; confirmations come from peers, too. The store keeps 20 s of history.
	pollWait = 15 * time.Second
	// registryAge bounds how long a connection that went silent hides a change of
	// the registry.
	registryAge = 4 * time.Second
	// confirmAge is the part of the key grace, in tenths, at which a host polls for
	// itself when peers confirm nothing. Two lost answers fit into the rest.
	confirmAge = 4
	// graceMarginPercent is kept back from the key grace for the difference of
	// clocks and the time from the check to the backend server.
	graceMarginPercent = 10
	// expireInterval is how often missing servers are looked for.
	expireInterval = 250 * time.Millisecond
)

// Options configure a Shell.
type Options struct {
	Sources Sources
	Zones   []string
	// Window is the window in which the limits of the configuration hold.
	Window   customer.Window
	Watcher  store.Watcher
	KeyGrace time.Duration
	Clock    clock.Clock
	Log      *log.Logger
	Counters *telemetry.Counters
}

// Shell follows the configuration and the registry.
type Shell struct {
	opt Options

	mu      sync.Mutex
	catalog *Catalog
	version config.Version
	zones   int

	configurations, servers *store.Follower

	snapshot atomic.Pointer[Snapshot]
	// confirmed is the time of the last confirmation of the configuration, 0
	// before the first.
	confirmed atomic.Int64
}

// NewShell returns a Shell with an empty snapshot.
func NewShell(opt Options) *Shell {
	s := &Shell{opt: opt, catalog: New(opt.Sources, opt.Zones, opt.Window)}
	s.snapshot.Store(s.catalog.Snapshot())
	follower := func(space string, age time.Duration, apply func([]store.Change, bool, time.Duration)) *store.Follower {
		return &store.Follower{
			Watcher: opt.Watcher, Space: space, Wait: pollWait, MaxAge: age, Clock: opt.Clock,
			Log: opt.Log, Counters: opt.Counters, Apply: apply,
		}
	}
	s.configurations = follower(opt.Sources.ConfigurationSpace(), opt.KeyGrace*confirmAge/10, s.configuration)
	s.servers = follower(opt.Sources.RegistrySpace(), registryAge, s.registry)
	return s
}

// Followers returns what follows the spaces, for the exchange with peers.
func (s *Shell) Followers() []*store.Follower {
	return []*store.Follower{s.configurations, s.servers}
}

// Snapshot returns the present view.
func (s *Shell) Snapshot() *Snapshot { return s.snapshot.Load() }

// KeysFresh reports whether keys may be accepted, and the age of the last
// confirmation of the configuration.
func (s *Shell) KeysFresh() (bool, time.Duration) {
	at := time.Duration(s.confirmed.Load())
	if at == 0 {
		return false, 0
	}
	age := s.opt.Clock() - at
	return age < s.opt.KeyGrace*(100-graceMarginPercent)/100 || !guard.On(guard.KeyAge), age
}

// Run follows the rows until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range s.Followers() {
		wg.Go(func() { f.Run(ctx) })
	}
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.C:
			s.expire()
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (s *Shell) configuration(rows []store.Change, full bool, confirmed time.Duration) {
	if len(rows) > 0 || full {
		s.mu.Lock()
		s.catalog.ConfigurationRows(rows, full)
		s.publish()
		s.mu.Unlock()
	}
	s.confirmed.Store(int64(confirmed))
}

func (s *Shell) registry(rows []store.Change, full bool, _ time.Duration) {
	if len(rows) == 0 && !full {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.RegistryRows(s.opt.Clock(), rows, full)
	for _, r := range rows {
		s.opt.Log.Info().Str("key", r.Key).Uint64("revision", uint64(r.Revision)).Bool("removed", r.Removed).Msg("registry entry changed")
	}
	s.publish()
}

func (s *Shell) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog.Expire(s.opt.Clock()) {
		s.opt.Log.Info().Msg("missing backend servers dropped")
		s.publish()
	}
}

// publish makes the present view the snapshot. The caller holds the lock.
func (s *Shell) publish() {
	for _, x := range s.catalog.Skipped() {
		s.opt.Counters.Add("rows_undecoded", 1)
		s.opt.Log.Warn().Str("key", x.Key).Err(x.Err).Msg("row skipped")
	}
	next := s.catalog.Snapshot()
	s.snapshot.Store(next)
	if next.Version() != s.version || len(next.ZonesOut) != s.zones {
		s.version, s.zones = next.Version(), len(next.ZonesOut)
		s.opt.Log.Info().Uint64("version", uint64(s.version)).Strs("zones_out", next.ZonesOut).Msg("configuration in force")
	}
}
