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
	fixedseed.Defaults(map[string]string{"rapid.seed": "1", "rapid.checks": "60"})
	os.Exit(m.Run())
}

// pick chooses a number below n.
type pick func(what string, n int) int

// disturbances are what may happen to a fleet at any moment.
var disturbances = map[string]func(*sim, pick){
	"advance":  func(s *sim, p pick) { s.advance(time.Duration(p("ms", 40)+1) * 50 * time.Millisecond) },
	"advance2": func(s *sim, p pick) { s.advance(time.Duration(p("ms", 40)+1) * 100 * time.Millisecond) },
	"pause":    func(s *sim, p pick) { s.pause(s.any(p)) },
	"resume": func(s *sim, _ pick) {
		for _, h := range s.hosts {
			s.resume(h)
		}
	},
	"kill": func(s *sim, p pick) { s.kill(s.any(p)) },
	"restart": func(s *sim, p pick) {
		h := s.any(p)
		s.kill(h)
		s.boot(h)
	},
	"boot": func(s *sim, _ pick) {
		for _, h := range s.hosts {
			if h.down {
				s.boot(h)
			}
		}
	},
	"store":   func(s *sim, p pick) { s.storeDown = p("down", 3) > 0 },
	"answers": func(s *sim, p pick) { s.loseAnswers = []int{0, 20, 60}[p("lost", 3)] },
	"link": func(s *sim, p pick) {
		a, b := s.any(p), s.any(p)
		s.cut[[2]string{a.name, b.name}] = p("cut", 2) > 0
	},
	"storeLink": func(s *sim, p pick) {
		l := [2]string{s.any(p).name, "store"}
		if p("from", 2) > 0 {
			l[0], l[1] = l[1], l[0]
		}
		s.cut[l] = p("cut", 2) > 0
	},
	"zone":    func(s *sim, p pick) { s.cutZone(s.any(p).zone, p("cut", 2) > 0) },
	"latency": func(s *sim, p pick) { s.latency = []time.Duration{4, 50, 400}[p("ms", 3)] * time.Millisecond },
	"heal":    func(s *sim, _ pick) { s.heal() },
	"publish": func(s *sim, p pick) {
		h := s.any(p)
		if h.down || h.paused {
			return
		}
		base := h.f.version()
		if p("stale", 4) == 0 && base > 0 {
			base--
		}
		var out []string
		if p("out", 3) == 0 {
			out = []string{s.any(p).zone}
		}
		s.seq++
		s.publish(h, uint64(s.seq), base, s.document(fmt.Sprintf("v%d", s.seq), out...))
	},
	"leave": func(s *sim, p pick) {
		h := s.any(p)
		if h.down || h.paused {
			return
		}
		s.input(h, Leave{})
		s.advance(2 * time.Second)
		if h.down || h.paused || len(h.f.Held(h.clock(s.now))) > 0 {
			return
		}
		s.input(h, GiveUpLease{})
		s.advance(time.Second)
		s.kill(h)
	},
}

func (s *sim) any(p pick) *simHost { return s.hosts[p("host", len(s.hosts))] }

func (s *sim) heal() {
	s.storeDown, s.loseAnswers, s.latency = false, 0, 4*time.Millisecond
	clear(s.cut)
}

// settle ends every disturbance, and checks that the fleet serves again.
func (s *sim) settle() {
	s.heal()
	for _, h := range s.hosts {
		s.resume(h)
		if h.down || h.f.leaving {
			s.kill(h)
			s.boot(h)
		}
	}
	s.advance(25 * time.Second)
	if s.oracle.fault != "" || len(s.oracle.pointers) == 0 {
		return
	}
	current := s.oracle.pointers[len(s.oracle.pointers)-1].Version
	served := map[string]bool{}
	for _, h := range s.hosts {
		if h.f.version() != current || !h.f.KeysFresh(h.clock(s.now)) {
			s.oracle.fail("%s: version %d, current is %d, keys fresh: %v", h.name, h.f.version(), current, h.f.KeysFresh(h.clock(s.now)))
		}
		for r := range valid(s, h) {
			served[r] = true
		}
	}
	for _, r := range s.hosts[0].f.roles.order {
		if r.wanted && !served[r.name] {
			s.oracle.fail("role %s has no valid holder after the disturbances; row %+v", r.name, r.row)
		}
	}
}

func started(seed uint64, g guards) *sim {
	s := newSim(seed, 2, 5, g)
	s.advance(2 * time.Second)
	s.publish(s.hosts[0], 1, 0, s.document("v1"))
	s.advance(5 * time.Second)
	return s
}

// Guards against two valid holders of a role, against a version that falls or
// overwrites another unseen, and against withdrawn keys in use, whatever fails.
func TestFleetProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := started(rapid.Uint64().Draw(rt, "seed"), guards{})
		acts := map[string]func(*rapid.T){"": func(rt *rapid.T) {
			if s.oracle.fault != "" {
				rt.Fatal(s.oracle.fault)
			}
		}}
		for name, do := range disturbances {
			acts[name] = func(rt *rapid.T) {
				do(s, func(what string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, what) })
			}
		}
		rt.Repeat(acts)
		s.settle()
		if s.oracle.fault != "" {
			rt.Fatal(s.oracle.fault)
		}
	})
}

// random runs a fleet under random disturbances and returns the first fault.
func random(seed uint64, steps int, g guards) string {
	s := started(seed, g)
	rng := rand.New(rand.NewPCG(seed, 2))
	names := []string{
		"advance", "advance", "advance2", "advance2", "pause", "resume", "kill", "restart", "boot", "store", "answers",
		"link", "storeLink", "zone", "latency", "heal", "publish", "publish", "leave",
	}
	for range steps {
		disturbances[names[rng.IntN(len(names))]](s, func(_ string, n int) int { return rng.IntN(n) })
		if s.oracle.fault != "" {
			return s.oracle.fault
		}
	}
	s.settle()
	return s.oracle.fault
}

// isolate cuts a host off from every other host, but not from the store.
func (s *sim) isolate(h *simHost) {
	for _, p := range s.hosts {
		s.cut[[2]string{p.name, h.name}], s.cut[[2]string{h.name, p.name}] = true, true
	}
}

// lateAnswer lets the answer to a renewal reach its host shortly before the old
// lease ends, and cuts the host off, so that it sends no further renewal.
func lateAnswer(g guards) string {
	s := started(1, g)
	h := holderOf(s, RateRole("z0", 0))
	for !h.f.duties[DutyLease].busy {
		s.advance(5 * time.Millisecond)
	}
	s.pause(h)
	s.advance(1700 * time.Millisecond)
	s.isolate(h)
	s.cut[[2]string{h.name, "store"}] = true
	s.resume(h)
	s.advance(5 * time.Second)
	return s.oracle.fault
}

// restartedMate restarts a zone mate that has promised and lets only the new
// process reach the store. The lapse wait of the new process, which is longer
// than the quiet period, is off, so that the quiet period alone is tested.
func restartedMate(g guards) string {
	s := newSim(1, 2, 4, g)
	s.advance(2 * time.Second)
	s.publish(s.hosts[0], 1, 0, s.document("v1"))
	s.advance(5 * time.Second)
	h := holderOf(s, RateRole("z0", 0))
	for _, p := range s.hosts {
		s.cut[[2]string{p.name, "store"}] = true
		p.f.guards.noLapseWait = true
	}
	s.advance(6 * time.Second)
	for _, p := range s.hosts {
		if p != h && p.zone == h.zone {
			s.kill(p)
			s.boot(p)
			p.f.guards.noLapseWait = true
			s.isolate(p)
			s.cut[[2]string{p.name, "store"}] = false
		}
	}
	s.advance(6 * time.Second)
	return s.oracle.fault
}

// oldAnswer lets a peer answer a fetch with an older document, as a peer does
// that has restarted in between.
func oldAnswer(g guards) string {
	s := started(1, g)
	s.publish(s.hosts[0], 2, 1, s.document("v2"))
	s.advance(2 * time.Second)
	h := s.hosts[1]
	_, acts := h.f.Receive(h.clock(s.now), &peerpb.Vector{From: "h000", ConfigVersion: 3})
	for _, a := range acts {
		if a, ok := a.(FetchFromPeer); ok {
			s.input(h, DocumentDone{Call: a.Call, Version: 1, Document: s.document("v1"), Data: []byte("v1")})
		}
	}
	return s.oracle.fault
}

// forgetful lets the hosts of z0, a majority, accept a version while z1 is cut
// off, takes them down together with the store, and ends the partition. With
// restart, the hosts of z0 come back without their memory.
func forgetful(restart bool) func(guards) string {
	return func(g guards) string {
		s := started(1, g)
		s.cutZone("z1", true)
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
				s.boot(h)
			}
		}
		s.cutZone("z1", false)
		s.advance(10 * time.Second)
		return s.oracle.fault
	}
}

// loner lets a host publish that only the store hears, and restarts it without
// its memory in a store outage.
func loner(g guards) string {
	s := started(1, g)
	h := s.hosts[0]
	s.storeDown = true
	s.advance(1500 * time.Millisecond)
	for _, p := range s.hosts[1:] {
		s.cut[[2]string{p.name, "store"}] = true
	}
	s.isolate(h)
	s.storeDown = false
	s.advance(1200 * time.Millisecond)
	s.publish(h, 2, 1, s.document("v2"))
	s.advance(time.Second)
	s.storeDown = true
	s.kill(h)
	s.boot(h)
	clear(s.cut)
	s.advance(10 * time.Second)
	return s.oracle.fault
}

// longTransit pauses a host while answers to its exchanges are on their way, and
// lets the others accept a version before it takes them.
func longTransit(g guards) string {
	s := started(1, g)
	h := s.hosts[1]
	for len(h.f.pendingCalls) == 0 {
		s.advance(time.Millisecond / 10)
	}
	s.pause(h)
	s.publish(s.hosts[0], 2, 1, s.document("v2"))
	s.advance(8 * time.Second)
	s.resume(h)
	return s.oracle.fault
}

// lostAnswer loses the answer to the compare-and-swap of the pointer.
func lostAnswer(g guards) string {
	for seed := uint64(1); seed <= 5; seed++ { // in some runs the effect is late
		s := started(seed, g)
		p := s.hosts[1]
		s.publish(p, 2, 1, s.document("v2"))
		for p.f.publish.state != publishSwaps || !p.f.duties[DutyPublish].busy {
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

// cutOff lets the rest of the fleet accept a version while a zone is cut off.
func cutOff(g guards) string {
	g.noWitness, g.noMajority = true, true
	s := started(1, g)
	s.cutZone("z1", true)
	s.publish(s.hosts[0], 2, 1, s.document("v2"))
	s.advance(10 * time.Second)
	return s.oracle.fault
}

// randomFrom runs fleets under random disturbances from a seed on. The first
// seeds are the first ones that show the fault, to bound the time.
func randomFrom(seed uint64) func(guards) string {
	return func(g guards) string {
		for i := range uint64(10) {
			if fault := random(seed+i, 60, g); fault != "" || g == (guards{}) {
				return fault
			}
		}
		return ""
	}
}

// Each safety rule is switched off in turn. The oracle must notice, or it would
// not notice a fault in the rule either. With the rule on, the same run must show
// no fault. A run may switch further rules off that would protect as well.
func TestOracleNoticesMissingGuards(t *testing.T) {
	for _, c := range []struct {
		name   string
		guards guards
		run    func(guards) string
		fault  string
	}{
		{"lapse wait", guards{noLapseWait: true}, randomFrom(1), "both hold"},
		{"new incarnation", guards{noNewIncarnation: true}, randomFrom(1), "both hold"},
		{"lease from request", guards{leaseFromAnswer: true}, lateAnswer, "both hold"},
		{"promise", guards{noPromise: true}, randomFrom(1), "both hold"},
		{"quiet period", guards{noQuietPeriod: true}, restartedMate, "both hold"},
		{"transit", guards{noTransit: true}, longTransit, "are in use"},
		{"base version", guards{noBaseCheck: true}, randomFrom(1), "overwrote"},
		{"read back", guards{noReadBack: true}, lostAnswer, "was reported as"},
		{"versions grow", guards{versionsMayFall: true}, oldAnswer, "version fell"},
		{"witness", guards{noWitness: true}, loner, "are in use"},
		{"informed", guards{noInformed: true}, forgetful(true), "are in use"},
		{"majority", guards{noMajority: true}, forgetful(false), "are in use"},
		{"silent hosts", guards{ignoreSilent: true}, cutOff, "are in use"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fault := c.run(c.guards)
			assert.Assert(t, strings.Contains(fault, c.fault), "fault: %q", fault)
			assert.Equal(t, c.run(guards{}), "", "with the rule on")
		})
	}
}
