package ownership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// probeTimeout is the time after which package host records a heartbeat as unanswered.
const probeTimeout = 250 * time.Millisecond

// probedFleet adds the probes of lost zones to a gossipFleet.
type probedFleet struct {
	*gossipFleet
	failures []failedProbe
	probes   int
}

type failedProbe struct {
	at     time.Duration
	host   *gossipHost
	target string
}

func newProbedFleet(t testing.TB, n int, watch bool) *probedFleet {
	f := &probedFleet{gossipFleet: newGossipFleet(t, n)}
	f.slow = map[string]bool{}
	for _, h := range f.hosts {
		if watch {
			h.EnableFastRecovery()
		}
	}
	f.advanceProbed(3*time.Second, func() {})
	return f
}

// advanceProbed runs the rounds of the next d with the probes that they cause.
func (f *probedFleet) advanceProbed(d time.Duration, check func()) {
	f.advance(d, func() {
		f.failures = slices.DeleteFunc(f.failures, func(p failedProbe) bool {
			if f.now < p.at {
				return false
			}
			p.host.RecordUnresponsive(f.now, p.target)
			return true
		})
		for _, h := range f.hosts {
			if h.dead {
				continue
			}
			if (f.now-h.offset)%gossipRound == 0 {
				f.probe(h)
			}
			h.UpdateLostZones(f.now)
		}
		check()
	})
}

func (f *probedFleet) probe(h *gossipHost) {
	for _, target := range h.ZoneProbes(f.now, f.rng) {
		f.probes++
		other := f.byKey[target.Name]
		cut := f.zoneCut != "" && (h.self.Zone == f.zoneCut) != (other.self.Zone == f.zoneCut)
		if other.dead || cut || f.slow[target.Name] || f.slow[h.self.Name] || f.rng.Float64() < f.lossRate {
			f.failures = append(f.failures, failedProbe{f.now + probeTimeout, h, target.Name})
			continue
		}
		other.RecordHeartbeats(f.now, []Heartbeat{h.OwnHeartbeat(f.now)})
		h.RecordHeartbeats(f.now, []Heartbeat{other.OwnHeartbeat(f.now)})
		h.RecordAnswer(f.now, target.Name)
	}
}

// lostHosts returns how many pairs of hosts are on different sides of the cut and how many
// of the hosts outside suspect the other one.
func (f *probedFleet) suspectedAcross(zone string) (pairs, suspected int) {
	for _, h := range f.hosts {
		if h.self.Zone == zone {
			continue
		}
		for _, other := range f.hosts {
			if other.self.Zone == zone {
				pairs++
				if !h.Alive(f.now, other.self.Name) {
					suspected++
				}
			}
		}
	}
	return pairs, suspected
}

// detectZone cuts a zone off and returns the time until half of the hosts outside and until
// all of them suspect all of its hosts.
func (f *probedFleet) detectZone(zone string) (half, all time.Duration) {
	f.zoneCut = zone
	cut := f.now
	for all == 0 && f.now-cut < lostHostBound {
		f.advanceProbed(gossipStep, func() {})
		pairs, suspected := f.suspectedAcross(zone)
		if half == 0 && 2*suspected >= pairs {
			half = f.now - cut
		}
		if suspected == pairs {
			all = f.now - cut
		}
	}
	return half, all
}

// Guards, for the load pattern of a zone that is cut off in a fleet of any size, against
// hosts outside that suspect its hosts one by one, after the time-out of a single host.
func TestLostZoneIsDetectedAsOneEvent(t *testing.T) {
	for _, n := range []int{9, 33, 90, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			halfBefore, before := newProbedFleet(t, n, false).detectZone("z2")
			f := newProbedFleet(t, n, true)
			half, all := f.detectZone("z2")
			t.Logf("%d hosts: half of the hosts outside after %v, all after %v; without the zone watch %v, %v", n, half, all, halfBefore, before)
			assert.Assert(t, all > 0 && all <= before, "%v", all)
			assert.Assert(t, all <= lostZoneBound, "%v", all)
			for _, h := range f.hosts {
				for _, other := range f.hosts {
					if h.self.Zone != "z2" && other.self.Zone != "z2" && h != other {
						assert.Assert(t, h.Alive(f.now, other.self.Name), "%s suspects %s", h.self.Name, other.self.Name)
					}
				}
			}
			f.zoneCut = ""
			f.advanceProbed(lostZoneProbePeriod+2*time.Second, func() {})
			_, suspected := f.suspectedAcross("z2")
			assert.Equal(t, suspected, 0, "after the zone is back")
		})
	}
}

// lostZoneBound is the goal for the time after which every host outside suspects a lost
// zone, at all sizes.
const lostZoneBound = 2500 * time.Millisecond

// Guards against a zone that counts as lost although it lives: with two machines of it
// frozen, with several that answer too late, with a tenth of the rounds stalled and a
// twentieth of the exchanges lost, and for a host that is slow itself.
func TestZoneWithSlowOrFrozenHostsIsNotLost(t *testing.T) {
	for _, n := range []int{9, 33, 90, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newProbedFleet(t, n, true)
			f.lossRate, f.stallRate = 0.05, 0.1
			frozen := 0
			for _, h := range f.hosts {
				if h.self.Zone == "z1" && frozen < 2 && n > 9 {
					h.dead = true
					frozen++
				}
			}
			f.slow["h2"], f.slow["h0"] = true, true
			f.advanceProbed(6*time.Second, func() {
				for _, h := range f.hosts {
					for _, zone := range h.otherZones() {
						assert.Assert(t, h.dead || !h.zoneWatch.isLost(zone), "%s counts %s as lost", h.self.Name, zone)
					}
				}
			})
			t.Logf("%.2f probes a host and second", float64(f.probes)/float64(n)/9)
		})
	}
}

// Guards against a host inside the lost zone that takes the others for lost, while it is cut
// off and when it hears of them one after the other again.
func TestCutOffHostsCountNoZoneAsLost(t *testing.T) {
	for _, n := range []int{9, 33, 90} {
		f := newProbedFleet(t, n, true)
		f.zoneCut = "z2"
		healed := f.now + 4*time.Second
		f.advanceProbed(7*time.Second, func() {
			if f.now >= healed {
				f.zoneCut = ""
			}
			for _, h := range f.hosts {
				if h.self.Zone != "z2" {
					continue
				}
				for _, zone := range h.otherZones() {
					assert.Assert(t, !h.zoneWatch.isLost(zone), "%s counts %s as lost", h.self.Name, zone)
				}
			}
		})
	}
}

// Guards against a host that comes back from a cut and takes the zone that answers last for
// lost, because its hosts left probes unanswered during the cut.
func TestEvidenceFromOwnCutIsForgotten(t *testing.T) {
	f := newProbedFleet(t, 33, true)
	h := f.hosts[0] // in z0
	cut := f.now
	for _, other := range h.Others() {
		if other.Zone != h.self.Zone {
			h.RecordUnresponsive(cut, other.Name)
		}
	}
	for ; f.now < cut+2*time.Second; f.now += gossipStep {
		assert.Equal(t, len(h.UpdateLostZones(f.now)), 0, "while no zone answers")
	}
	for _, zone := range h.otherZones()[1:] {
		h.RecordAnswer(f.now, h.sampleZone(zone, 1, f.rng, nil)[0].Name)
		assert.Equal(t, len(h.UpdateLostZones(f.now)), 0, "while %s answers", zone)
	}
	for end := f.now + zoneProbePeriod; f.now <= end; f.now += gossipStep {
		assert.Equal(t, len(h.UpdateLostZones(f.now)), 0, "without new evidence")
	}
}

// Guards against the same in a fleet whose zones have one or two hosts: there, fewer
// unanswered probes show that this host was cut off.
func TestEvidenceFromOwnCutIsForgottenInSmallZones(t *testing.T) {
	const cut = time.Minute
	f := newSimulatedFleet(t, 0)
	m := NewMachine(cut-time.Second, Host{Name: "self", Zone: "z0", Incarnation: 1}, "rows")
	m.EnableFastRecovery()
	for i, h := range []Host{{Name: "a1", Zone: "z1"}, {Name: "a2", Zone: "z1"}, {Name: "b1", Zone: "z2"}, {Name: "c1", Zone: "z3"}, {Name: "c2", Zone: "z3"}} {
		f.store.rows[m.hostKey(h.Name)] = store.Row{Key: m.hostKey(h.Name), Value: encode(h), Revision: store.Revision(i + 1)}
	}
	m.ApplyRows(cut-time.Second, cut-time.Second, f.store.allRows(), true)
	m.UpdateLostZones(cut)
	for _, h := range m.Others() {
		m.RecordUnresponsive(cut, h.Name)
	}
	now := time.Duration(cut)
	for ; now < cut+2*time.Second; now += gossipStep {
		assert.Equal(t, len(m.UpdateLostZones(now)), 0, "while no zone answers")
	}
	for _, answering := range []string{"b1", "a1"} {
		m.RecordAnswer(now, answering)
		assert.Equal(t, len(m.UpdateLostZones(now)), 0, "while %s answers", answering)
	}
	for end := now + zoneProbePeriod; now <= end; now += gossipStep {
		assert.Equal(t, len(m.UpdateLostZones(now)), 0, "without new evidence")
	}
}

// Guards against a host that was frozen itself and takes a zone for lost right after: two
// machines of the zone are frozen, too, and the heartbeat to the third expired meanwhile.
func TestEvidenceFromBeforeOwnFreezeIsForgotten(t *testing.T) {
	f := newProbedFleet(t, 9, true)
	h := f.hosts[0] // in z0
	var z1 []Host
	for _, other := range h.Others() {
		if other.Zone == "z1" {
			z1 = append(z1, other)
		}
	}
	h.RecordUnresponsive(f.now, z1[0].Name)
	h.RecordUnresponsive(f.now, z1[1].Name)
	h.RecordAnswer(f.now, h.sampleZone("z2", 1, f.rng, nil)[0].Name)
	assert.Equal(t, len(h.UpdateLostZones(f.now)), 0)
	f.now += 800 * time.Millisecond
	h.RecordUnresponsive(f.now, z1[2].Name)
	assert.Equal(t, len(h.UpdateLostZones(f.now)), 0, "after the freeze")
}
