package ownership

import (
	"context"
	"math/rand/v2"
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
	// callTimeout bounds one write to the store. It is shorter than
	// writeTimeout, so that the same write is never in flight twice.
	callTimeout = 800 * time.Millisecond
	// firstLongPollDelay is the pause before the first long poll. Hosts that are started
	// together register within 0.3 s.
	firstLongPollDelay = 500 * time.Millisecond
	// fastFirstLongPollDelay is the same with FastRecovery: callers that wait for the new
	// holders of the roles are worth the calls. In a large fleet only relays make them.
	fastFirstLongPollDelay = 100 * time.Millisecond
)

// Options configure a Shell.
type Options struct {
	Self  Host
	Space string
	Table store.TableService
	// Watcher follows the rows of Space.
	Watcher     store.Watcher
	WantedRoles func() []RoleSpec
	Clock       clock.Clock
	Log         *log.Logger
	Counters    *telemetry.Counters
	// Latencies records the takeover waits under the name TakeoverWaitLatency.
	Latencies *telemetry.Latencies
	// CarriesStatements, if set, reports whether statements go through the holder of a
	// role. Such roles are assigned by SpareCapacity.
	CarriesStatements func(role string) bool
	// FastRecovery claims roles as soon as the rows allow it instead of at the next
	// interval, and suspects the hosts of a lost availability zone together.
	FastRecovery bool
}

// TakeoverWaitLatency names the histogram of the takeover waits: the time from
// reading the row that assigns a role to this host until the role may be used.
const TakeoverWaitLatency = "role_settling"

// Shell runs a Machine: it follows the rows, sends the writes to the store and
// logs every change of a role.
type Shell struct {
	opt Options

	follower *store.Follower

	mu          sync.Mutex
	machine     *Machine
	loggedRoles map[string]loggedRole
	leaseValid  bool
	// wake makes Run tick before the next interval.
	wake chan struct{}
}

// loggedRole is the state of a role as last logged.
type loggedRole struct {
	holder string
	epoch  uint64
	held   bool
	// takenAt is when this host first read a row with the epoch.
	takenAt time.Duration
}

// New returns a Shell. It does nothing until Run is called.
func New(opt Options) *Shell {
	s := &Shell{opt: opt, machine: NewMachine(opt.Clock(), opt.Self, opt.Space), loggedRoles: map[string]loggedRole{}, wake: make(chan struct{}, 1)}
	s.machine.carriesStatements = opt.CarriesStatements
	if opt.FastRecovery {
		s.machine.EnableFastRecovery()
	}
	firstLongPoll := firstLongPollDelay
	if opt.FastRecovery {
		firstLongPoll = fastFirstLongPollDelay
	}
	s.follower = &store.Follower{
		Watcher: opt.Watcher, Space: opt.Space, LongPollWait: PollWait, FirstLongPollDelay: firstLongPoll, MaxConfirmationAge: PollAge, Clock: opt.Clock,
		Log: opt.Log, Counters: opt.Counters, Apply: s.applyRows, NewEra: s.newEra, Direct: s.FollowsStore, IsRelay: s.IsRelay,
	}
	return s
}

// Follower returns the follower of the rows, for exchanging rows and
// confirmations with peers.
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
		case <-s.wake:
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

func (s *Shell) applyRows(rows []store.Change, full bool, confirmed time.Duration) {
	now := s.opt.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.rowsLoaded || !s.machine.registered {
		defer s.wakeForRecovery()
	}
	for _, key := range s.machine.ApplyRows(now, confirmed, rows, full) {
		s.opt.Counters.Add("rows_undecoded", 1)
		s.opt.Log.Warn().Str("key", key).Msg("row cannot be decoded")
	}
	s.reportEra()
	s.reportChanges(now)
}

func (s *Shell) newEra(e store.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.NewEra(s.opt.Clock(), e)
}

// Era returns the era of the store of which this host has the rows.
func (s *Shell) Era() store.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.eras.era
}

// reportEra logs and counts what became of this host's roles at the start of an era. The
// caller holds s.mu.
func (s *Shell) reportEra() {
	e, ok := s.machine.TakeEraEntry()
	if !ok {
		return
	}
	s.opt.Counters.Add("roles_kept_in_new_era", int64(e.Kept))
	s.opt.Counters.Add("roles_given_up_in_new_era", int64(e.GivenUp))
	s.opt.Log.Warn().Int64("era", e.Era.Number()).Int("kept", e.Kept).Int("given_up", e.GivenUp).Dur("wait", clock.AddDriftMargin(LeaseTTL)).
		Msg("roles read in a new store era; others are used after the wait")
}

func (s *Shell) tick(ctx context.Context) {
	now := s.opt.Clock()
	wanted := s.opt.WantedRoles()
	s.mu.Lock()
	s.machine.SetWantedRoles(wanted)
	s.updateLostZones(now)
	writes := s.machine.Tick(now)
	s.reportChanges(now)
	s.mu.Unlock()
	for _, w := range writes {
		go s.write(ctx, w)
	}
}

// write sends a write to the store. A successful write is applied to the
// Machine like a row that was read.
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
	s.opt.Log.Info().Str("key", w.Key).Str("why", w.Reason).Int64("era", w.Expect.Era().Number()).Uint64("expect", w.Expect.Version()).
		Uint64("revision", rev.Version()).Err(err).Msg("row written")
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && !s.machine.registered {
		defer s.wakeForRecovery()
	}
	if err == nil && !w.Remove {
		s.machine.ApplyRows(now, 0, []store.Change{{Row: store.Row{Key: w.Key, Value: w.Value, Revision: rev}}}, false)
		s.reportChanges(now)
	}
	if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrEraPassed) {
		s.machine.WriteDone(w.Key)
	}
	return err
}

// reportChanges logs and counts changes of the lease and of the roles. The
// caller holds s.mu.
func (s *Shell) reportChanges(now time.Duration) {
	if leaseValid := now < s.machine.LeaseUntil(); leaseValid != s.leaseValid {
		s.leaseValid = leaseValid
		s.opt.Counters.Add("lease_changes", 1)
		s.opt.Log.Info().Bool("live", leaseValid).Dur("confirmed_ago", now-s.machine.confirmedAt).Msg("lease changed")
	}
	for name, r := range s.machine.roles {
		_, held := s.machine.UsableEpoch(now, name)
		next := loggedRole{holder: r.Holder, epoch: r.Epoch, held: held, takenAt: s.loggedRoles[name].takenAt}
		if s.loggedRoles[name] == next {
			continue
		}
		if next.epoch != s.loggedRoles[name].epoch {
			next.takenAt = now
		}
		if held && !s.loggedRoles[name].held {
			s.opt.Latencies.Record(TakeoverWaitLatency, now-next.takenAt)
		}
		if held != s.loggedRoles[name].held || s.machine.namesSelf(r) || s.loggedRoles[name].holder == s.opt.Self.Name {
			s.opt.Log.Info().Str("role", name).Str("holder", r.Holder).Uint64("epoch", r.Epoch).
				Uint64("revision", r.revision.Version()).Bool("held", held).Msg("role changed")
		}
		s.loggedRoles[name] = next
	}
}

// UsableEpoch returns the epoch of a role that this host may use now.
func (s *Shell) UsableEpoch(role string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.UsableEpoch(s.opt.Clock(), role)
}

// AssignedEpoch returns the epoch of a role that the rows assign to this host, also
// during the takeover wait.
func (s *Shell) AssignedEpoch(role string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.AssignedEpoch(s.opt.Clock(), role)
}

// Holder returns the host that the role's row names.
func (s *Shell) Holder(role string) (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Holder(role)
}

// FirstRanked returns the host that ranks first for a role that needs no lease.
func (s *Shell) FirstRanked(role, zone string) (Host, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.firstHome(s.opt.Clock(), role, zone)
}

// RequestNewEpoch requests a new epoch of a role that this host holds.
func (s *Shell) RequestNewEpoch(role string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.RequestNewEpoch(role)
}

// RecordHeartbeats records heartbeats received from another host.
func (s *Shell) RecordHeartbeats(in []Heartbeat, packed PackedHeartbeats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opt.Clock()
	s.machine.RecordHeartbeats(now, in)
	s.machine.RecordPackedHeartbeats(now, packed)
}

// Heartbeats returns the newest heartbeats of all hosts, that of this host first.
func (s *Shell) Heartbeats() []Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Heartbeats(s.opt.Clock())
}

// OwnHeartbeat returns a new heartbeat of this host.
func (s *Shell) OwnHeartbeat() Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.OwnHeartbeat(s.opt.Clock())
}

// PackHeartbeats returns the heartbeats for another host of a large fleet.
func (s *Shell) PackHeartbeats() ([]Heartbeat, PackedHeartbeats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.PackHeartbeats(s.opt.Clock())
}

// IsLargeFleet reports whether heartbeats and rows go through relays.
func (s *Shell) IsLargeFleet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsLargeFleet()
}

// IsRelay reports whether other hosts of a large fleet get the rows from this one.
func (s *Shell) IsRelay() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsLargeFleet() && s.machine.IsRelay(s.opt.Clock())
}

// FollowsStore reports whether this host follows the store itself.
func (s *Shell) FollowsStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.FollowsStore(s.opt.Clock())
}

// ExchangeTargets returns the hosts for the next round of exchanges in a large fleet.
func (s *Shell) ExchangeTargets(rng *rand.Rand) []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.ExchangeTargets(s.opt.Clock(), rng)
}

// RecordExchange records whether a host has answered a heartbeat. full is set for an
// exchange of all heartbeats and rows.
func (s *Shell) RecordExchange(host string, answered, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch now := s.opt.Clock(); {
	case !answered:
		s.machine.RecordUnresponsive(now, host)
	default:
		s.machine.RecordAnswer(now, host)
		if full {
			s.machine.RecordExchange(now, host)
		}
	}
}

// Others returns all other registered hosts, sorted by name.
func (s *Shell) Others() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Others()
}

// Alive reports whether the named host is registered and has sent a recent
// heartbeat.
func (s *Shell) Alive(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Alive(s.opt.Clock(), name)
}

// Replaced reports whether another process has registered under this host's
// name.
func (s *Shell) Replaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Replaced()
}

// Leave makes the host hand over its roles and claim no others.
func (s *Shell) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.Leave()
}

// RemainingRoles returns the number of roles whose rows still name this host.
func (s *Shell) RemainingRoles() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.RemainingRoles()
}

// Deregister removes the row of this host, the last step of a planned stop. It
// returns the error of the write to the store.
func (s *Shell) Deregister(ctx context.Context) error {
	s.mu.Lock()
	w, registered := s.machine.Deregister()
	s.mu.Unlock()
	if !registered {
		return nil
	}
	return s.write(ctx, w)
}
