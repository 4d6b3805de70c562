package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault or a change.
type Kind string

// Kinds of events.
const (
	KillHost      Kind = "kill_host"
	KillAll       Kind = "kill_all"
	StopHost      Kind = "stop_host"
	PauseHost     Kind = "pause_host"
	CutPeers      Kind = "cut_peers"
	SilencePeers  Kind = "silence_peers"
	OneWayPeers   Kind = "one_way_peers"
	DelayPeers    Kind = "delay_peers"
	CutStore      Kind = "cut_store"
	SilenceStore  Kind = "silence_store"
	StoreDown     Kind = "store_down"
	StoreSilent   Kind = "store_silent"
	StoreSlow     Kind = "store_slow"
	StoreLosing   Kind = "store_losing"
	StoreForgets  Kind = "store_forgets"
	CrashPrimary  Kind = "crash_primary"
	CrashReplica  Kind = "crash_replica"
	StuckReplica  Kind = "stuck_replica"
	LoseAnswers   Kind = "lose_answers"
	SlowDatabase  Kind = "slow_database"
	DrainDatabase Kind = "drain_database"
	LateOrders    Kind = "late_orders"
	ZoneOut       Kind = "zone_out"
	WithdrawKey   Kind = "withdraw_key"
	Configure     Kind = "configure"
	Malformed     Kind = "malformed_entry"
	// OvertakePaused pauses the hosts of a zone, OvertakeIsolated cuts them off from
	// the store and from calls of other hosts. Meanwhile the primaries of all groups
	// are replaced, and the old ones receive nothing more.
	OvertakePaused   Kind = "overtake_paused"
	OvertakeIsolated Kind = "overtake_isolated"
	// WithdrawUnseen withdraws keys while no host reaches the store.
	WithdrawUnseen Kind = "withdraw_unseen"
)

type drawnKind struct {
	kind Kind
	most time.Duration
}

// kinds are all kinds with the longest time that they last; 0 for those that take
// no time.
var kinds = []drawnKind{
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
	{StoreLosing, 5 * time.Second},
	{StoreForgets, 0},
	{CrashPrimary, 6 * time.Second},
	{CrashReplica, 6 * time.Second},
	{StuckReplica, 5 * time.Second},
	{LoseAnswers, 4 * time.Second},
	{SlowDatabase, 4 * time.Second},
	{DrainDatabase, 6 * time.Second},
	{LateOrders, 6 * time.Second},
	{ZoneOut, 7 * time.Second},
	{WithdrawKey, 0},
	{Configure, 0},
	{Malformed, 0},
}

// Bounds of the time of compound kinds. The key grace, and a lease with the notice
// that its holder is gone and a promotion, are shorter; recovery is longer.
const (
	overtakeLeast = 6 * time.Second
	overtakeTime  = 9 * time.Second
)

// compound kinds bring several troubles about at once. Only profiles that name
// them draw them, so that the plans of recorded seeds stay as they were.
var compound = []drawnKind{
	{OvertakePaused, overtakeTime},
	{OvertakeIsolated, overtakeTime},
	{WithdrawUnseen, overtakeTime},
}

// planned kinds are planned work; the others are faults.
var planned = map[Kind]bool{StopHost: true, DrainDatabase: true, ZoneOut: true, WithdrawKey: true, Configure: true, Malformed: true}

// profiles are the kinds that the runs of a seed draw from. Pairs of troubles that
// belong together are rare when all kinds are drawn at once.
var profiles = [][]Kind{
	nil, // all but the compound ones
	{StopHost, DrainDatabase, ZoneOut, Configure, Malformed, WithdrawKey},
	{CutStore, SilenceStore, StoreDown, StoreSlow, StoreLosing, StoreForgets, WithdrawKey, PauseHost},
	{LoseAnswers, CrashPrimary, CrashReplica, StuckReplica, SlowDatabase, LateOrders, KillHost, SilencePeers},
	{OvertakePaused, OvertakeIsolated, WithdrawUnseen},
	{StopHost},
}

// busyProfile is the profile whose callers hardly pause, so that the end of a
// process meets requests.
const busyProfile = 5

// Event is one fault or change.
type Event struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Target chooses among hosts, databases or customers.
	Target int           `json:"target"`
	For    time.Duration `json:"for"`
}

func (e Event) String() string { return fmt.Sprintf("%v %s %d for %v", e.At, e.Kind, e.Target, e.For) }

// Plan is what a seed draws.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Hosts    int           `json:"hosts"`
	Groups   int           `json:"groups"`
	Callers  int           `json:"callers"`
	Duration time.Duration `json:"duration"`
	// Rate is the rate of each customer.
	Rate float64 `json:"rate"`
	// Think is the mean pause between two operations of a caller; 0, as in results
	// of earlier versions, stands for thinkTime.
	Think  time.Duration `json:"think"`
	Events []Event       `json:"events"`
}

const (
	// ampleRate leaves room, so that refusals come from faults; with tightRate the
	// callers want more than they may.
	ampleRate = 150
	tightRate = 20
	// busyRate is above what callers without pauses reach.
	busyRate = 5000
	// thinkTime is the mean pause of callers, busyThinkTime that of busy ones.
	thinkTime     = 40 * time.Millisecond
	busyThinkTime = 2 * time.Millisecond
	// warmUp is the time without events at the beginning, for the hosts to take
	// their roles.
	warmUp = 4 * time.Second
	// recovery is the time without events before the last judgement.
	recovery = 14 * time.Second
	// judged is the last part of the run, in which service has to be back.
	judged = 3 * time.Second
)

// drawnFrom returns the kinds that a profile names, and all but the compound
// ones for a profile without names.
func drawnFrom(profile []Kind) []drawnKind {
	if len(profile) == 0 {
		return kinds
	}
	return slices.DeleteFunc(slices.Concat(kinds, compound), func(k drawnKind) bool { return !slices.Contains(profile, k.kind) })
}

// NewPlan draws a plan. Events come alone, in series and overlapping.
func NewPlan(seed uint64, hosts, callers int, duration time.Duration) Plan {
	r := rand.New(rand.NewPCG(seed, 0))
	p := Plan{Seed: seed, Hosts: hosts, Groups: 2, Callers: callers, Duration: duration, Rate: ampleRate, Think: thinkTime}
	profile := seed % uint64(len(profiles))
	switch {
	case profile == busyProfile:
		p.Rate, p.Think = busyRate, busyThinkTime
	case seed%3 == 0:
		p.Rate = tightRate
	}
	drawn := drawnFrom(profiles[profile])
	for at := warmUp; at < duration-recovery; {
		k := drawn[r.IntN(len(drawn))]
		series := 1
		if r.IntN(4) == 0 {
			series = 2 + r.IntN(2)
		}
		for range series {
			e := Event{At: at, Kind: k.kind, Target: r.IntN(1 << 16)}
			if k.most > 0 {
				e.For = k.most/4 + time.Duration(r.Int64N(int64(k.most*3/4)))
			}
			if k.most == overtakeTime {
				e.For = max(e.For, overtakeLeast)
			}
			p.Events = append(p.Events, e)
			at += time.Duration(r.Int64N(int64(700 * time.Millisecond)))
		}
		at += time.Duration(r.Int64N(int64(2500 * time.Millisecond)))
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
	return p
}
