package fleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberryhinge/cranberryhinge/internal/fixedseed"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
)

// TestMain fixes rapid's seed and the number of its checks unless the command
// line sets them. A longer run:
//
//	go test ./internal/fleet -run TestFleetProperties -rapid.checks=3000 -rapid.seed=0 -timeout=30m
func TestMain(m *testing.M) {
	fixedseed.SetDefaults(map[string]string{"rapid.seed": "1", "rapid.checks": "60"})
	os.Exit(m.Run())
}

// pick chooses a number in [0, n).
type pick func(what string, n int) int

// simOperations are the faults and operations that may hit a fleet at any time.
var simOperations = map[string]func(*sim, pick){
	"advance":  func(s *sim, p pick) { s.advance(time.Duration(p("ms", 40)+1) * 50 * time.Millisecond) },
	"advance2": func(s *sim, p pick) { s.advance(time.Duration(p("ms", 40)+1) * 100 * time.Millisecond) },
	"pause":    func(s *sim, p pick) { s.pause(s.pickHost(p)) },
	"resume": func(s *sim, _ pick) {
		for _, h := range s.hosts {
			s.resume(h)
		}
	},
	"kill": func(s *sim, p pick) { s.kill(s.pickHost(p)) },
	"restart": func(s *sim, p pick) {
		h := s.pickHost(p)
		s.kill(h)
		s.startProcess(h)
	},
	"boot": func(s *sim, _ pick) {
		for _, h := range s.hosts {
			if h.down {
				s.startProcess(h)
			}
		}
	},
	"store":   func(s *sim, p pick) { s.storeDown = p("down", 3) > 0 },
	"answers": func(s *sim, p pick) { s.loseAnswers = []int{0, 20, 60}[p("lost", 3)] },
	"link": func(s *sim, p pick) {
		a, b := s.pickHost(p), s.pickHost(p)
		s.blockedLinks[[2]string{a.name, b.name}] = p("cut", 2) > 0
	},
	"storeLink": func(s *sim, p pick) {
		l := [2]string{s.pickHost(p).name, "store"}
		if p("from", 2) > 0 {
			l[0], l[1] = l[1], l[0]
		}
		s.blockedLinks[l] = p("cut", 2) > 0
	},
	"zone":    func(s *sim, p pick) { s.partitionZone(s.pickHost(p).zone, p("cut", 2) > 0) },
	"latency": func(s *sim, p pick) { s.latency = []time.Duration{4, 50, 400}[p("ms", 3)] * time.Millisecond },
	"heal":    func(s *sim, _ pick) { s.clearFaults() },
	"publish": func(s *sim, p pick) {
		h := s.pickHost(p)
		if h.down || h.paused {
			return
		}
		base := h.f.documentVersion()
		if p("stale", 4) == 0 && base > 0 {
			base--
		}
		var out []string
		if p("out", 3) == 0 {
			out = []string{s.pickHost(p).zone}
		}
		s.seq++
		s.publish(h, uint64(s.seq), base, s.document(fmt.Sprintf("v%d", s.seq), out...))
	},
	"leave": func(s *sim, p pick) {
		h := s.pickHost(p)
		if h.down || h.paused {
			return
		}
		s.step(h, Leave{})
		s.advance(2 * time.Second)
		if h.down || h.paused || len(h.f.HeldRoles(h.clock(s.now))) > 0 {
			return
		}
		s.step(h, ReleaseLease{})
		s.advance(time.Second)
		s.kill(h)
	},
}

func (s *sim) pickHost(p pick) *simHost { return s.hosts[p("host", len(s.hosts))] }

func (s *sim) clearFaults() {
	s.storeDown, s.loseAnswers, s.latency = false, 0, 4*time.Millisecond
	clear(s.blockedLinks)
}

// recoverAndCheck clears all faults, restarts stopped hosts and checks that
// every role is held and every host has the current version and fresh keys.
func (s *sim) recoverAndCheck() {
	s.clearFaults()
	for _, h := range s.hosts {
		s.resume(h)
		if h.down || h.f.leaving {
			s.kill(h)
			s.startProcess(h)
		}
	}
	s.advance(25 * time.Second)
	if s.oracle.fault != "" || len(s.oracle.pointers) == 0 {
		return
	}
	current := s.oracle.pointers[len(s.oracle.pointers)-1].Version
	held := map[string]bool{}
	for _, h := range s.hosts {
		if h.f.documentVersion() != current || !h.f.KeysFresh(h.clock(s.now)) {
			s.oracle.fail("%s: version %d, current is %d, keys fresh: %v", h.name, h.f.documentVersion(), current, h.f.KeysFresh(h.clock(s.now)))
		}
		for r := range usableRoles(s, h) {
			held[r] = true
		}
	}
	for _, r := range s.hosts[0].f.roles.sorted {
		if r.configured && !held[r.name] {
			s.oracle.fail("role %s has no valid holder after the faults; row %+v", r.name, r.row)
		}
	}
}

func newSmallFleet(seed uint64, g disabledGuards) *sim {
	s := newSim(seed, 2, 5, g)
	s.advance(2 * time.Second)
	s.publish(s.hosts[0], 1, 0, s.document("v1"))
	s.advance(5 * time.Second)
	return s
}

// Guards against two valid holders of a role, a version that decreases on a host, a
// publication that overwrites a version it was not edited from, and withdrawn keys
// in use, under any sequence of faults.
func TestFleetProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSmallFleet(rapid.Uint64().Draw(rt, "seed"), disabledGuards{})
		acts := map[string]func(*rapid.T){"": func(rt *rapid.T) {
			if s.oracle.fault != "" {
				rt.Fatal(s.oracle.fault)
			}
		}}
		for name, do := range simOperations {
			acts[name] = func(rt *rapid.T) {
				do(s, func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, what) })
			}
		}
		rt.Repeat(acts)
		s.recoverAndCheck()
		if s.oracle.fault != "" {
			rt.Fatal(s.oracle.fault)
		}
	})
}

// runRandom runs a fleet under random operations and returns the first
// violation.
func runRandom(seed uint64, steps int, g disabledGuards) string {
	s := newSmallFleet(seed, g)
	rng := rand.New(rand.NewPCG(seed, 2))
	names := []string{
		"advance", "advance", "advance2", "advance2", "pause", "resume", "kill", "restart", "boot", "store", "answers",
		"link", "storeLink", "zone", "latency", "heal", "publish", "publish", "leave",
	}
	for range steps {
		simOperations[names[rng.IntN(len(names))]](s, func(_ string, n int) int { return rng.IntN(n) })
		if s.oracle.fault != "" {
			return s.oracle.fault
		}
	}
	s.recoverAndCheck()
	return s.oracle.fault
}

// isolate blocks the links between a host and all other hosts, but not those to
// the store.
func (s *sim) isolate(h *simHost) {
	for _, p := range s.hosts {
		s.blockedLinks[[2]string{p.name, h.name}], s.blockedLinks[[2]string{h.name, p.name}] = true, true
	}
}

// lateRenewalAnswer delivers the answer to a lease renewal shortly before the
// old lease ends, and isolates the host so that it cannot renew again.
func lateRenewalAnswer(g disabledGuards) string {
	s := newSmallFleet(1, g)
	h := holderOf(s, MinterRole("z0", 0))
	for !h.f.duties[DutyLease].inFlight {
		s.advance(5 * time.Millisecond)
	}
	s.pause(h)
	s.advance(1700 * time.Millisecond)
	s.isolate(h)
	s.blockedLinks[[2]string{h.name, "store"}] = true
	s.resume(h)
	s.advance(5 * time.Second)
	return s.oracle.fault
}

// restartedZonePeer restarts a host that has promised, and lets only the new
// process reach the store. The lapse wait of the new process is longer than the
// quiet period; it is disabled so that only the quiet period is tested.
func restartedZonePeer(g disabledGuards) string {
	s := newSim(1, 2, 4, g)
	s.advance(2 * time.Second)
	s.publish(s.hosts[0], 1, 0, s.document("v1"))
	s.advance(5 * time.Second)
	h := holderOf(s, MinterRole("z0", 0))
	for _, p := range s.hosts {
		s.blockedLinks[[2]string{p.name, "store"}] = true
		p.f.disabled.skipLapseWait = true
	}
	s.advance(6 * time.Second)
	for _, p := range s.hosts {
		if p != h && p.zone == h.zone {
			s.kill(p)
			s.startProcess(p)
			p.f.disabled.skipLapseWait = true
			s.isolate(p)
			s.blockedLinks[[2]string{p.name, "store"}] = false
		}
	}
	s.advance(6 * time.Second)
	return s.oracle.fault
}

// olderDocumentFetched lets a peer answer a fetch with an older document, as a peer
// may that has restarted since its version was seen.
func olderDocumentFetched(g disabledGuards) string {
	s := newSmallFleet(1, g)
	s.publish(s.hosts[0], 2, 1, s.document("v2"))
	s.advance(2 * time.Second)
	h := s.hosts[1]
	_, acts := h.f.HandleExchange(h.clock(s.now), &peerpb.Vector{From: "h000", ConfigVersion: 3})
	for _, a := range acts {
		if a, ok := a.(FetchFromPeer); ok {
			s.step(h, DocumentDone{Call: a.Call, Version: 1, Document: s.document("v1"), Data: []byte("v1")})
		}
	}
	return s.oracle.fault
}

// acceptedByStoppedMajority lets the hosts of z0, a majority, accept a version
// while z1 is partitioned, stops them together with the store, and ends the
// partition. With restart, the hosts of z0 run again as new processes that have
// not seen the version.
func acceptedByStoppedMajority(restart bool) func(disabledGuards) string {
	return func(g disabledGuards) string {
		s := newSmallFleet(1, g)
		s.partitionZone("z1", true)
		s.publish(s.hosts[0], 2, 1, s.document("v2"))
		s.advance(3 * time.Second)
		if len(s.oracle.accepted) != 2 {
			return "version 2 was not accepted"
		}
		s.storeDown = true
		for _, h := range s.hosts {
			if h.zone == "z0" {
				s.kill(h)
			}
		}
		s.advance(100 * time.Millisecond) // requests in flight are lost
		for _, h := range s.hosts {
			if h.down && restart {
				s.startProcess(h)
			}
		}
		s.partitionZone("z1", false)
		s.advance(10 * time.Second)
		return s.oracle.fault
	}
}

// publishedByIsolatedHost publishes from a host that reaches only the store,
// and restarts that host in a store outage, so that no process has seen the
// version.
func publishedByIsolatedHost(g disabledGuards) string {
	s := newSmallFleet(1, g)
	h := s.hosts[0]
	s.storeDown = true
	s.advance(1500 * time.Millisecond)
	for _, p := range s.hosts[1:] {
		s.blockedLinks[[2]string{p.name, "store"}] = true
	}
	s.isolate(h)
	s.storeDown = false
	s.advance(1200 * time.Millisecond)
	s.publish(h, 2, 1, s.document("v2"))
	s.advance(time.Second)
	s.storeDown = true
	s.kill(h)
	s.startProcess(h)
	clear(s.blockedLinks)
	s.advance(10 * time.Second)
	return s.oracle.fault
}

// delayedExchangeAnswers pauses a host while answers to its exchanges are in
// transit, and lets the other hosts accept a version before the host resumes
// and processes them.
func delayedExchangeAnswers(g disabledGuards) string {
	s := newSmallFleet(1, g)
	h := s.hosts[1]
	for len(h.f.peerCalls) == 0 {
		s.advance(time.Millisecond / 10)
	}
	s.pause(h)
	s.publish(s.hosts[0], 2, 1, s.document("v2"))
	s.advance(8 * time.Second)
	s.resume(h)
	return s.oracle.fault
}

// lostSwapAnswer drops the answer to the compare-and-swap of the pointer.
func lostSwapAnswer(g disabledGuards) string {
	for seed := uint64(1); seed <= 5; seed++ { // with some seeds the write takes effect late
		s := newSmallFleet(seed, g)
		p := s.hosts[1]
		s.publish(p, 2, 1, s.document("v2"))
		for p.f.publication.state != publishSwapPointer || !p.f.duties[DutyPublish].inFlight {
			s.advance(time.Millisecond / 10)
		}
		s.loseAnswers = 100
		s.advance(10 * time.Millisecond)
		s.loseAnswers = 0
		s.advance(8 * time.Second)
		if s.oracle.fault != "" {
			return s.oracle.fault
		}
	}
	return ""
}

// acceptedDuringPartition lets the other zone accept a version while z1 is
// partitioned.
func acceptedDuringPartition(g disabledGuards) string {
	g.skipMajorityWait, g.skipAttestationQuorum = true, true
	s := newSmallFleet(1, g)
	s.partitionZone("z1", true)
	s.publish(s.hosts[0], 2, 1, s.document("v2"))
	s.advance(10 * time.Second)
	return s.oracle.fault
}

// runRandomSeeds runs fleets under random operations with up to ten consecutive
// seeds, starting at the given one. Callers pass the first seed that shows the
// violation, to limit the run time.
func runRandomSeeds(seed uint64) func(disabledGuards) string {
	return func(g disabledGuards) string {
		for i := range uint64(10) {
			if fault := runRandom(seed+i, 60, g); fault != "" || g == (disabledGuards{}) {
				return fault
			}
		}
		return ""
	}
}

// Guards against an oracle that would miss a fault in a safety rule. Each rule
// is disabled in turn, and the oracle must report a violation; with the rule
// enabled, the same run must report none. A run may disable further rules that
// would also prevent the violation.
func TestOracleDetectsMissingGuards(t *testing.T) {
	for _, c := range []struct {
		name   string
		guards disabledGuards
		run    func(disabledGuards) string
		fault  string
	}{
		{"lapse wait", disabledGuards{skipLapseWait: true}, runRandomSeeds(1), "both hold"},
		{"new incarnation", disabledGuards{keepIncarnation: true}, runRandomSeeds(1), "both hold"},
		{"lease from request", disabledGuards{leaseFromAnswer: true}, lateRenewalAnswer, "both hold"},
		{"promise", disabledGuards{skipPromise: true}, runRandomSeeds(1), "both hold"},
		{"quiet period", disabledGuards{skipQuietPeriod: true}, restartedZonePeer, "both hold"},
		{"transit time", disabledGuards{ignoreTransitTime: true}, delayedExchangeAnswers, "are in use"},
		{"base version", disabledGuards{skipBaseCheck: true}, runRandomSeeds(1), "overwrote"},
		{"read back", disabledGuards{skipReadBack: true}, lostSwapAnswer, "was reported as"},
		{"older version", disabledGuards{allowOlderVersion: true}, olderDocumentFetched, "version fell"},
		{"majority wait", disabledGuards{skipMajorityWait: true}, publishedByIsolatedHost, "are in use"},
		{"informed", disabledGuards{attestUninformed: true}, acceptedByStoppedMajority(true), "are in use"},
		{"attestation quorum", disabledGuards{skipAttestationQuorum: true}, acceptedByStoppedMajority(false), "are in use"},
		{"silent hosts", disabledGuards{ignoreSilentHosts: true}, acceptedDuringPartition, "are in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fault := c.run(c.guards)
			assert.Assert(t, strings.Contains(fault, c.fault), "fault: %q", fault)
			assert.Equal(t, c.run(disabledGuards{}), "", "with the rule on")
		})
	}
}
