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
// every CI run does the same. A longer run with fresh seeds:
//
//	go test ./internal/group -run TestRandomFaults -rapid.seed=0 -rapid.checks=20000 -timeout 2h
func TestMain(m *testing.M) {
	fixedseed.Defaults(map[string]string{"rapid.seed": "20260", "rapid.checks": "100"})
	os.Exit(m.Run())
}

// fault is one fault of a run.
type fault struct {
	kind     string
	at, last time.Duration
	a, b     int
	primary  bool
}

var faultKinds = []string{
	"cut", "isolate", "isolate from all", "pause", "crash host", "crash database", "crash zone", "store down", "lost answers",
	"lag", "slow", "out", CountClaimed, CountFenced, CountAssigned, CountHandedOn, CountPromoted, CountOpened,
}

const (
	faultsUntil = 16 * time.Second
	healedAt    = 25 * time.Second
	endAt       = 36 * time.Second
)

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind: rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			at:   time.Duration(rapid.IntRange(1000, int(faultsUntil.Milliseconds())).Draw(t, "at")) * time.Millisecond,
			last: time.Duration(rapid.IntRange(100, 8000).Draw(t, "last")) * time.Millisecond,
			a:    rapid.IntRange(0, simMax).Draw(t, "a"),
			b:    rapid.IntRange(0, simMax-1).Draw(t, "b"),

			primary: rapid.Bool().Draw(t, "primary"),
		}
	}), 1, 7).Draw(t, "faults")
}

// inject schedules a fault and its end.
func (s *sim) inject(f fault) {
	s.after(f.at-s.now, func() { s.begin(f) })
}

// begin starts a fault. Faults of the primary hit the zone and the host that
// have it at that time.
func (s *sim) begin(f fault) {
	zone, host := f.a%s.n, s.hosts[f.a%(s.n+1)]
	if row, err := DecodeRow(s.groupRow.Value); f.primary && err == nil {
		host = s.hosts[idOf(row.Owner)]
		zone = host.zone
		if row.Primary != "" {
			zone = idOf(row.Primary)
		}
	}
	count := func(n *int) {
		*n++
		s.after(f.last, func() { *n-- })
	}
	flag := func(b *bool) {
		*b = true
		s.after(f.last, func() { *b = false })
	}
	cut := func(a, b int) {
		if a != b {
			count(&s.cut[a][b])
			count(&s.cut[b][a])
		}
	}
	switch f.kind {
	case "cut":
		cut(zone, f.b%s.n)
	case "isolate", "isolate from all":
		for other := range s.n {
			cut(zone, other)
		}
		if f.kind == "isolate from all" {
			count(&s.storeCut[zone])
		}
	case "pause":
		host.pausedUntil = s.now + f.last
	case "crash host":
		s.crash(host, f.last)
	case "crash database":
		flag(&s.dbs[zone].down)
	case "crash zone":
		flag(&s.dbs[zone].down)
		for _, h := range s.hosts {
			if h.zone == zone {
				s.crash(h, f.last)
			}
		}
	case "store down":
		count(&s.storeDown)
	case "lost answers":
		count(&s.lossy)
	case "lag":
		flag(&s.dbs[zone].lagging)
	case "slow":
		count(&s.slow)
	case "out":
		flag(&s.out[zone])
	default:
		s.crashAt = f.kind
	}
}

func run(seed uint64, n int, d config.Durability, u unsafe, faults ...fault) *sim {
	s := newSim(seed, n, d, u)
	s.startClients(6, endAt)
	for _, f := range faults {
		s.inject(f)
	}
	s.runUntil(healedAt)
	s.crashAt = ""
	s.runUntil(endAt)
	return s
}

// check fails on a violation, and when the group does not serve writes again
// after the last fault.
func check(t assert.TestingT, s *sim) {
	assert.Assert(t, s.oracle.violation == "", "%s", s.oracle.violation)
	last := time.Duration(0)
	for _, a := range s.oracle.acked {
		last = max(last, a.at)
	}
	assert.Assert(t, last > endAt-2*time.Second, "last acknowledged write at %v of %v; row %s", last, endAt, s.groupRow.Value)
}

func durability(t *rapid.T) config.Durability {
	return rapid.SampledFrom([]config.Durability{config.DurabilityReplicated, config.DurabilityPrimary}).Draw(t, "durability")
}

// Guards against lost, stale and falsely acknowledged answers and against a
// group that stays without a primary, under random faults.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{3, 3, 3, 5}).Draw(t, "databases")
		s := run(rapid.Uint64().Draw(t, "seed"), n, durability(t), unsafe{}, drawFaults(t)...)
		check(t, s)
	})
}

// Guards against an oracle that sees nothing: a run without faults must
// exercise every kind of answer.
func TestHealthyGroup(t *testing.T) {
	t.Parallel()
	for _, d := range []config.Durability{config.DurabilityReplicated, config.DurabilityPrimary} {
		s := run(1, 3, d, unsafe{})
		check(t, s)
		o := s.oracle
		t.Logf("%+v %v", []int{o.acks, o.primaryReads, o.replicaReads, o.connects, o.aged}, s.steps)
		assert.Assert(t, o.acks > 300 && o.primaryReads > 50 && o.replicaReads > 50 && o.connects > 50 && o.aged > 200)
		assert.Equal(t, s.steps[CountClaimed], 0, "a healthy group must not change its primary")
	}
}
