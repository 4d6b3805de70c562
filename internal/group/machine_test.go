package group

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
)

// TestMain fixes the seed of rapid unless the command line sets one, so that
// every CI run executes the same cases. A longer run with random seeds:
//
//	go test ./internal/group -run TestRandomFaults -rapid.seed=0 -rapid.checks=20000 -timeout 2h
func TestMain(m *testing.M) {
	fixedseed.SetDefaults(map[string]string{"rapid.seed": "20260", "rapid.checks": "100"})
	os.Exit(m.Run())
}

// fault is one fault in a simulated run. Which zones, host or database it affects
// follows from a and b, or from the current primary if primary is set.
type fault struct {
	kind         string
	at, duration time.Duration
	a, b         int
	primary      bool
}

var faultKinds = []string{
	"cut link", "isolate", "isolate from zones and store", "pause", "crash host", "crash database", "crash zone", "store down", "lost store answers",
	"replica apply lag", "slow network", "zone out of service", CountClaimed, CountFenced, CountAssigned, CountHandedOn, CountPromoted, CountOpened,
}

const (
	lastFaultAt = 16 * time.Second
	faultsEndAt = 25 * time.Second
	endAt       = 36 * time.Second
)

// drawFaults draws one to seven random faults.
func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			at:       time.Duration(rapid.IntRange(1000, int(lastFaultAt.Milliseconds())).Draw(t, "at")) * time.Millisecond,
			duration: time.Duration(rapid.IntRange(100, 8000).Draw(t, "last")) * time.Millisecond,
			a:        rapid.IntRange(0, simMaxDatabases).Draw(t, "a"),
			b:        rapid.IntRange(0, simMaxDatabases-1).Draw(t, "b"),

			primary: rapid.Bool().Draw(t, "primary"),
		}
	}), 1, 7).Draw(t, "faults")
}

// scheduleFault schedules the start of a fault.
func (s *sim) scheduleFault(f fault) {
	s.schedule(f.at-s.now, func() { s.startFault(f) })
}

// startFault starts a fault and schedules its end. If primary is set, the fault
// affects the zone of the primary and the host of the owner at that time.
func (s *sim) startFault(f fault) {
	zone, host := f.a%s.n, s.hosts[f.a%(s.n+1)]
	if row, err := DecodeRow(s.groupRow.Value); f.primary && err == nil {
		host = s.hosts[idFromName(row.Owner)]
		zone = host.zone
		if row.Primary != "" {
			zone = idFromName(row.Primary)
		}
	}
	countDuringFault := func(n *int) {
		*n++
		s.schedule(f.duration, func() { *n-- })
	}
	setDuringFault := func(b *bool) {
		*b = true
		s.schedule(f.duration, func() { *b = false })
	}
	cutLink := func(a, b int) {
		if a != b {
			countDuringFault(&s.linkCuts[a][b])
			countDuringFault(&s.linkCuts[b][a])
		}
	}
	switch f.kind {
	case "cut link":
		cutLink(zone, f.b%s.n)
	case "isolate", "isolate from zones and store":
		for other := range s.n {
			cutLink(zone, other)
		}
		if f.kind == "isolate from zones and store" {
			countDuringFault(&s.storeCuts[zone])
		}
	case "pause":
		host.pausedUntil = s.now + f.duration
	case "crash host":
		s.crash(host, f.duration)
	case "crash database":
		setDuringFault(&s.dbs[zone].down)
	case "crash zone":
		setDuringFault(&s.dbs[zone].down)
		for _, h := range s.hosts {
			if h.zone == zone {
				s.crash(h, f.duration)
			}
		}
	case "store down":
		countDuringFault(&s.storeOutages)
	case "lost store answers":
		countDuringFault(&s.lostStoreAnswers)
	case "replica apply lag":
		setDuringFault(&s.dbs[zone].lagging)
	case "slow network":
		countDuringFault(&s.slowNetworks)
	case "zone out of service":
		setDuringFault(&s.outOfService[zone])
	default:
		s.crashAt = f.kind
	}
}

// runFaults simulates a group with n databases, clients and the faults.
func runFaults(seed uint64, n int, d config.Durability, disabled disabledGuards, faults ...fault) *sim {
	s := newSim(seed, n, d, disabled)
	s.startClients(6, endAt)
	for _, f := range faults {
		s.scheduleFault(f)
	}
	s.runUntil(faultsEndAt)
	s.crashAt = ""
	s.runUntil(endAt)
	return s
}

// checkRun fails if the oracle found a violation, or if the group does not
// acknowledge writes again after the last fault.
func checkRun(t assert.TestingT, s *sim) {
	assert.Assert(t, s.oracle.violation == "", "%s", s.oracle.violation)
	last := time.Duration(0)
	for _, a := range s.oracle.ackedWrites {
		last = max(last, a.at)
	}
	assert.Assert(t, last > endAt-2*time.Second, "last acknowledged write at %v of %v; row %s", last, endAt, s.groupRow.Value)
}

// drawDurability draws one of the two durability settings.
func drawDurability(t *rapid.T) config.Durability {
	return rapid.SampledFrom([]config.Durability{config.DurabilityReplicated, config.DurabilityPrimary}).Draw(t, "durability")
}

// Guards against lost writes, stale reads and wrong acknowledgements, and against a
// group that stays without a primary, under random faults.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "databases")
		s := runFaults(rapid.Uint64().Draw(t, "seed"), n, drawDurability(t), disabledGuards{}, drawFaults(t)...)
		checkRun(t, s)
	})
}

// Guards against an oracle that checks nothing: a run without faults must exercise
// every kind of answer.
func TestRunWithoutFaults(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{config.DurabilityReplicated, config.DurabilityPrimary} {
		s := runFaults(1, 3, d, disabledGuards{})
		checkRun(t, s)
		o := s.oracle
		t.Logf("%+v %v", []int{o.ackCount, o.primaryReadCount, o.replicaReadCount, o.connectCount, o.ageCount}, s.steps)
		assert.Assert(t, o.ackCount > 300 && o.primaryReadCount > 50 && o.replicaReadCount > 50 && o.connectCount > 50 && o.ageCount > 200)
		assert.Equal(t, s.steps[CountClaimed], 0, "a healthy group must not change its primary")
	}
}
