package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Kind is a kind of fault or planned change.
type Kind string

// Kinds of events. The kinds CutPeers to DelayPeers act on the relay in front of a
// host's peer listener, CutStore and SilenceStore on the relay between one host and the
// store, and StoreDown to StoreDropsHistory on the store itself.
const (
	KillHost             Kind = "kill_host"
	KillAll              Kind = "kill_all"
	StopHost             Kind = "stop_host"
	PauseHost            Kind = "pause_host"
	CutPeers             Kind = "cut_peers"
	SilencePeers         Kind = "silence_peers"
	OneWayPeers          Kind = "one_way_peers"
	DelayPeers           Kind = "delay_peers"
	CutStore             Kind = "cut_store"
	SilenceStore         Kind = "silence_store"
	StoreDown            Kind = "store_down"
	StoreSilent          Kind = "store_silent"
	StoreSlow            Kind = "store_slow"
	StoreLosesAnswers    Kind = "store_losing"  // the store applies a share of the writes late, without an answer
	StoreDropsHistory    Kind = "store_forgets" // the store drops its history of changes
	CrashPrimary         Kind = "crash_primary"
	CrashReplica         Kind = "crash_replica"
	PauseReplicaApply    Kind = "stuck_replica" // a database stops applying the log
	LoseAnswers          Kind = "lose_answers"  // the primary drops a share of its answers
	SlowDatabase         Kind = "slow_database"
	DrainDatabase        Kind = "drain_database"
	RepeatAnswers        Kind = "repeat_answers" // a database, or all of a group, sends a share of its answers twice
	RestoreStore         Kind = "restore_store"  // the store comes back from an older copy
	RestartEmpty         Kind = "restart_empty"  // a database starts again under its id, without its log
	LosePromotionAnswers Kind = "late_orders"    // promotions are carried out late, without an answer
	ZoneOut              Kind = "zone_out"
	WithdrawKey          Kind = "withdraw_key"
	WriteConfiguration   Kind = "configure"       // the next version of the configuration is written
	WriteMalformedEntry  Kind = "malformed_entry" // an unreadable registry entry is written
	// ReplacePrimariesWhilePaused pauses the hosts of a zone;
	// ReplacePrimariesWhileIsolated cuts them off from the store and from calls by
	// other hosts. At the same time the primaries of all groups are replaced, and
	// the old ones stop applying the log.
	ReplacePrimariesWhilePaused   Kind = "overtake_paused"
	ReplacePrimariesWhileIsolated Kind = "overtake_isolated"
	// WithdrawKeyWhileStoreSilent withdraws a customer's keys while no host can
	// reach the store.
	WithdrawKeyWhileStoreSilent Kind = "withdraw_unseen"
)

// kindSpec is a kind of event that a plan can contain.
type kindSpec struct {
	kind        Kind
	maxDuration time.Duration
}

// singleKinds are all kinds that inject a single fault or change, with their longest
// duration. It is 0 for events without a duration.
var singleKinds = []kindSpec{
	{KillHost, 3 * time.Second},
	{KillAll, time.Second},
	{StopHost, 0},
	{PauseHost, 6 * time.Second},
	{CutPeers, 6 * time.Second},
	{SilencePeers, 6 * time.Second},
	{OneWayPeers, 6 * time.Second},
	{DelayPeers, 5 * time.Second},
	{CutStore, 8 * time.Second},
	{SilenceStore, 8 * time.Second},
	{StoreDown, 5 * time.Second},
	{StoreSilent, 5 * time.Second},
	{StoreSlow, 5 * time.Second},
	{StoreLosesAnswers, 5 * time.Second},
	{StoreDropsHistory, 0},
	{CrashPrimary, 6 * time.Second},
	{CrashReplica, 6 * time.Second},
	{PauseReplicaApply, 5 * time.Second},
	{LoseAnswers, 4 * time.Second},
	{SlowDatabase, 4 * time.Second},
	{DrainDatabase, 6 * time.Second},
	{LosePromotionAnswers, 6 * time.Second},
	{ZoneOut, 7 * time.Second},
	{WithdrawKey, 0},
	{WriteConfiguration, 0},
	{WriteMalformedEntry, 0},
}

// Bounds of the duration of compound events. They are longer than the grace period for
// keys, and longer than a lease, the detection of its lost holder and a promotion
// together, so that all of these end during the event. They are shorter than
// recoveryTime.
const (
	minCompoundDuration = 6 * time.Second
	maxCompoundDuration = 9 * time.Second
)

// compoundKinds inject several faults at once. They are drawn only for profiles that
// list them, so that the plans of previously recorded seeds do not change.
var compoundKinds = []kindSpec{
	{ReplacePrimariesWhilePaused, maxCompoundDuration},
	{ReplacePrimariesWhileIsolated, maxCompoundDuration},
	{WithdrawKeyWhileStoreSilent, maxCompoundDuration},
}

// additionalStream is added to the index of an additional kind for the random source of its
// events.
const additionalStream = 3 << 32

// additionalKinds are drawn for the profiles in databaseProfiles beside the events that the
// seed draws from the profile, which they do not change.
var additionalKinds = []kindSpec{
	{RestartEmpty, 800 * time.Millisecond}, // shorter than the time after which a silent primary is replaced
}

// databaseProfiles are the indexes of the profiles with faults of databases.
var databaseProfiles = []uint64{0, 3}

// optionalStream is added to the index of an optional kind for the random source of its
// events.
const optionalStream = 2 << 32

// optionalKinds are drawn only for plans that ask for them, beside the events that the
// seed draws without them.
var optionalKinds = []kindSpec{
	{RepeatAnswers, 5 * time.Second},
	{RestoreStore, 2 * time.Second},
}

// ParseOptionalKinds returns the kinds of a comma-separated list, or an error if one of
// them is not an optional kind. An empty list has no kinds.
func ParseOptionalKinds(list string) ([]Kind, error) {
	if list == "" {
		return nil, nil
	}
	var kinds []Kind
	for _, name := range strings.Split(list, ",") {
		if !slices.ContainsFunc(optionalKinds, func(k kindSpec) bool { return k.kind == Kind(name) }) {
			return nil, errors.Errorf("%q is not an optional kind of event", name)
		}
		kinds = append(kinds, Kind(name))
	}
	return kinds, nil
}

// plannedKinds are the kinds of planned operations. All other kinds are faults.
var plannedKinds = map[Kind]bool{StopHost: true, DrainDatabase: true, ZoneOut: true, WithdrawKey: true, WriteConfiguration: true, WriteMalformedEntry: true}

// profiles are the sets of kinds that a plan draws from; the seed selects one of them.
// Related kinds of events rarely coincide if every plan draws from all kinds.
var profiles = [][]Kind{
	nil, // all kinds except the compound ones
	{StopHost, DrainDatabase, ZoneOut, WriteConfiguration, WriteMalformedEntry, WithdrawKey},
	{CutStore, SilenceStore, StoreDown, StoreSlow, StoreLosesAnswers, StoreDropsHistory, WithdrawKey, PauseHost},
	{LoseAnswers, CrashPrimary, CrashReplica, PauseReplicaApply, SlowDatabase, LosePromotionAnswers, KillHost, SilencePeers},
	{ReplacePrimariesWhilePaused, ReplacePrimariesWhileIsolated, WithdrawKeyWhileStoreSilent},
	{StopHost},
}

// busyProfile is the index of the profile whose callers hardly pause, so that requests
// are in flight when a process ends.
const busyProfile = 5

// Event is one fault or planned change.
type Event struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Target selects the host, zone, group, database or customer of the event.
	Target   int           `json:"target"`
	Duration time.Duration `json:"for"`
}

func (e Event) String() string {
	return fmt.Sprintf("%v %s %d for %v", e.At, e.Kind, e.Target, e.Duration)
}

// Plan holds the size, the load and the events of a run, drawn from a seed.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Hosts    int           `json:"hosts"`
	Groups   int           `json:"groups"`
	Callers  int           `json:"callers"`
	Duration time.Duration `json:"duration"`
	// Rate is the rate limit of each customer, in requests per second.
	Rate float64 `json:"rate"`
	// ThinkTime is the mean pause between two operations of a caller. 0 stands for
	// thinkTime; results of earlier versions have no such field.
	ThinkTime time.Duration `json:"think"`
	Events    []Event       `json:"events"`
	// OptionalKinds are the kinds of events that were drawn in addition.
	OptionalKinds []Kind `json:"optional_kinds,omitempty"`
	// Requirements are the host's setting of that name.
	Requirements []string `json:"requirements,omitempty"`
}

const (
	// nonLimitingRate is above the demand of the callers, so that only faults lead to
	// refusals. limitingRate is below it. Both are in requests per second.
	nonLimitingRate = 150
	limitingRate    = 20
	// busyRate is above the demand of callers that hardly pause.
	busyRate = 5000
	// thinkTime is the mean pause of callers, busyThinkTime that in busyProfile.
	thinkTime     = 40 * time.Millisecond
	busyThinkTime = 2 * time.Millisecond
	// warmUpTime is the time without events at the start of a run, in which the hosts
	// acquire their roles.
	warmUpTime = 4 * time.Second
	// No event starts in the last recoveryTime of a run.
	recoveryTime = 14 * time.Second
	// finalWindow is the last part of a run. Service must have recovered by its start.
	finalWindow = 3 * time.Second
)

// profileKinds returns the kinds that a profile lists. An empty profile stands for all
// kinds except the compound ones.
func profileKinds(profile []Kind) []kindSpec {
	if len(profile) == 0 {
		return singleKinds
	}
	return slices.DeleteFunc(slices.Concat(singleKinds, compoundKinds), func(k kindSpec) bool { return !slices.Contains(profile, k.kind) })
}

// NewPlan draws a plan; the same arguments always give the same plan. Events are drawn
// singly or in series of two or three of the same kind, and may overlap. The events of the
// optional kinds do not change those that the seed draws without them.
func NewPlan(seed uint64, hosts, callers int, duration time.Duration, optional ...Kind) Plan {
	p := Plan{Seed: seed, Hosts: hosts, Groups: 2, Callers: callers, Duration: duration, Rate: nonLimitingRate, ThinkTime: thinkTime, OptionalKinds: optional}
	profile := seed % uint64(len(profiles))
	switch {
	case profile == busyProfile:
		p.Rate, p.ThinkTime = busyRate, busyThinkTime
	case seed%3 == 0:
		p.Rate = limitingRate
	}
	p.Events = drawEvents(rand.New(rand.NewPCG(seed, 0)), profileKinds(profiles[profile]), duration)
	for i, k := range additionalKinds {
		if slices.Contains(databaseProfiles, profile) {
			p.Events = append(p.Events, drawEvents(rand.New(rand.NewPCG(seed, additionalStream+uint64(i))), []kindSpec{k}, duration)...)
		}
	}
	for i, k := range optionalKinds {
		if slices.Contains(optional, k.kind) {
			p.Events = append(p.Events, drawEvents(rand.New(rand.NewPCG(seed, optionalStream+uint64(i))), []kindSpec{k}, duration)...)
		}
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}

// drawEvents draws events of the candidates for a run.
func drawEvents(r *rand.Rand, candidates []kindSpec, duration time.Duration) []Event {
	var events []Event
	for at := warmUpTime; at < duration-recoveryTime; {
		k := candidates[r.IntN(len(candidates))]
		series := 1
		if r.IntN(4) == 0 {
			series = 2 + r.IntN(2)
		}
		for range series {
			e := Event{At: at, Kind: k.kind, Target: r.IntN(1 << 16)}
			if k.maxDuration > 0 {
				e.Duration = k.maxDuration/4 + time.Duration(r.Int64N(int64(k.maxDuration*3/4)))
			}
			if k.maxDuration == maxCompoundDuration {
				e.Duration = max(e.Duration, minCompoundDuration)
			}
			events = append(events, e)
			at += time.Duration(r.Int64N(int64(700 * time.Millisecond)))
		}
		at += time.Duration(r.Int64N(int64(2500 * time.Millisecond)))
	}
	return events
}
