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
	// pollWait is how long the store may hold a long poll. Changes are answered
	// at once, and confirmations also arrive from peers. It is below the 20 s
	// of history that the store keeps.
	pollWait = 15 * time.Second
	// registryMaxAge is the age of the last confirmation of the registry at
	// which a host sends a short poll in addition to the long one. It bounds
	// the delay of a change when a connection to the store stops answering.
	registryMaxAge = 4 * time.Second
	// confirmAgeTenths is the part of the key grace, in tenths, after which a
	// host sends a short poll in addition to the long one if no confirmation
	// has arrived. Two lost answers fit into the rest.
	confirmAgeTenths = 4
	// keyGraceMarginPercent is the part of the key grace, in percent, that is
	// reserved for clock differences and for the time from the check of the key
	// to the backend server.
	keyGraceMarginPercent = 10
	// firstLongPollDelay is the pause before the first long poll. A host of a large fleet
	// knows by then, from the rows of the hosts, that it gets the changes from relays.
	firstLongPollDelay = 800 * time.Millisecond
	// missingCheckInterval is the interval between checks for missing servers.
	missingCheckInterval = 250 * time.Millisecond
)

// Options configure a Shell.
type Options struct {
	Sources Sources
	Zones   []string
	// Window is the window over which the rate limits of the configuration
	// apply.
	Window  customer.Window
	Watcher store.Watcher
	// KeyGrace is the key grace: the age of the last confirmation of the
	// configuration up to which keys may be accepted, before
	// keyGraceMarginPercent is subtracted.
	KeyGrace time.Duration
	// FollowsStore and IsRelay select how the host follows the store, see store.Follower.
	FollowsStore, IsRelay func() bool
	Clock                 clock.Clock
	Log                   *log.Logger
	Counters              *telemetry.Counters
}

// Shell follows the configuration and the registry in the store and keeps the
// current snapshot.
type Shell struct {
	opt Options

	mu      sync.Mutex
	catalog *Catalog
	// loggedVersion and loggedZonesOut are the version and the number of zones
	// out of service as last logged.
	loggedVersion  config.Version
	loggedZonesOut int

	configurationFollower, registryFollower *store.Follower

	snapshot atomic.Pointer[Snapshot]
	// confirmedAt is the time of the last confirmation of the configuration, 0
	// before the first.
	confirmedAt atomic.Int64
}

// NewShell returns a Shell with an empty snapshot.
func NewShell(opt Options) *Shell {
	s := &Shell{opt: opt, catalog: New(opt.Sources, opt.Zones, opt.Window)}
	s.snapshot.Store(s.catalog.Snapshot())
	newFollower := func(space string, maxAge time.Duration, apply func([]store.Change, bool, time.Duration)) *store.Follower {
		return &store.Follower{
			Watcher: opt.Watcher, Space: space, LongPollWait: pollWait, FirstLongPollDelay: firstLongPollDelay, MaxConfirmationAge: maxAge, Clock: opt.Clock,
			Log: opt.Log, Counters: opt.Counters, Apply: apply, Direct: opt.FollowsStore, IsRelay: opt.IsRelay,
		}
	}
	s.configurationFollower = newFollower(opt.Sources.ConfigurationSpace(), opt.KeyGrace*confirmAgeTenths/10, s.applyConfiguration)
	s.registryFollower = newFollower(opt.Sources.RegistrySpace(), registryMaxAge, s.applyRegistry)
	s.configurationFollower.NewEra = func(store.Era) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.catalog.EnterConfigurationEra(s.opt.Clock())
	}
	s.registryFollower.NewEra = func(store.Era) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.catalog.EnterRegistryEra()
	}
	return s
}

// Followers returns the followers of both spaces, for exchanging rows and
// confirmations with peers.
func (s *Shell) Followers() []*store.Follower {
	return []*store.Follower{s.configurationFollower, s.registryFollower}
}

// Snapshot returns the current snapshot.
func (s *Shell) Snapshot() *Snapshot { return s.snapshot.Load() }

// KeysFresh reports whether the configuration was confirmed recently enough to
// accept keys, and returns the age of the last confirmation.
func (s *Shell) KeysFresh() (bool, time.Duration) {
	at := time.Duration(s.confirmedAt.Load())
	if at == 0 {
		return false, 0
	}
	age := s.opt.Clock() - at
	return age < s.opt.KeyGrace*(100-keyGraceMarginPercent)/100 || !guard.Enabled(guard.KeyAge), age
}

// Run follows the rows in the store until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range s.Followers() {
		wg.Go(func() { f.Run(ctx) })
	}
	t := time.NewTicker(missingCheckInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.C:
			s.removeMissingServers()
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (s *Shell) applyConfiguration(rows []store.Change, full bool, confirmed time.Duration) {
	if len(rows) > 0 || full {
		s.mu.Lock()
		s.catalog.ApplyConfigurationRows(rows, full)
		s.publish()
		s.mu.Unlock()
	}
	s.confirmedAt.Store(int64(confirmed))
}

func (s *Shell) applyRegistry(rows []store.Change, full bool, _ time.Duration) {
	if len(rows) == 0 && !full {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.catalog.ApplyRegistryRows(s.opt.Clock(), rows, full)
	for _, r := range rows {
		s.opt.Log.Info().Str("key", r.Key).Uint64("revision", uint64(r.Revision)).Bool("removed", r.Removed).Msg("registry entry changed")
	}
	s.publish()
}

func (s *Shell) removeMissingServers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.catalog.RemoveMissingServers(s.opt.Clock()) {
		s.opt.Log.Info().Msg("missing backend servers or zones out of service dropped")
		s.publish()
	}
}

// publish logs the skipped rows and makes the state of the catalog the current
// snapshot. The caller holds s.mu.
func (s *Shell) publish() {
	for _, skipped := range s.catalog.TakeSkippedRows() {
		s.opt.Counters.Add("rows_undecoded", 1)
		key, reason := skipped.LogFields()
		s.opt.Log.Warn().Str("key", key).Uint64("revision", uint64(skipped.Revision)).Str("error", reason).Msg("row skipped")
	}
	next := s.catalog.Snapshot()
	s.snapshot.Store(next)
	if next.Version() != s.loggedVersion || len(next.ZonesOut) != s.loggedZonesOut {
		s.loggedVersion, s.loggedZonesOut = next.Version(), len(next.ZonesOut)
		s.opt.Log.Info().Uint64("version", uint64(s.loggedVersion)).Strs("zones_out", next.ZonesOut).Msg("configuration in force")
	}
}
