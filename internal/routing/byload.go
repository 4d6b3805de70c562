package routing

import (
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
)

// ReadDemand describes a read whose candidates are ordered by known load.
type ReadDemand struct {
	Priority int
	// Budget is the time in which a server should answer, wait and service together.
	Budget time.Duration
}

// Spill names why a read leaves the order by zone.
type Spill string

// Reasons for a spill. SpillNone leaves the order as it is.
const (
	SpillNone    Spill = ""
	SpillWait    Spill = "wait"     // the first server would probably answer after the budget
	SpillPace    Spill = "pace"     // the first server is paced by its home host
	SpillEjected Spill = "ejected"  // the first server is ejected by its home host
	SpillPrimary Spill = "replicas" // all replicas are full, and the primary has room
)

// minServingShare is the share of a group's replicas that are not ejected below which
// ejections are ignored: the remaining replicas could not serve the group.
const minServingShare = 0.5

// LoadOrder orders the candidates for reads by the known load of their servers. Hosts
// with the same old knowledge must not all choose the same server, so each decision is
// drawn at random with a probability that grows with the excess, and knowledge loses
// weight with its age. LoadOrder is not safe for concurrent use.
type LoadOrder struct {
	balancer *Balancer
	loads    *serverload.Table
	// inFlight holds the times at which this host sent the requests that a server has
	// not answered yet.
	inFlight map[string][]time.Duration
}

// NewLoadOrder returns a LoadOrder on top of the order of b.
func NewLoadOrder(b *Balancer, loads *serverload.Table) *LoadOrder {
	return &LoadOrder{balancer: b, loads: loads, inFlight: map[string][]time.Duration{}}
}

// RecordSent records that this host has sent a request to the server.
func (o *LoadOrder) RecordSent(now time.Duration, server string) {
	o.inFlight[server] = append(o.inFlight[server], now)
}

// RecordDone records the end of the request that was sent at the given time.
func (o *LoadOrder) RecordDone(sent time.Duration, server string) {
	times := o.inFlight[server]
	if i := slices.Index(times, sent); i >= 0 {
		times = slices.Delete(times, i, i+1)
	}
	if len(times) == 0 {
		delete(o.inFlight, server)
		return
	}
	o.inFlight[server] = times
}

// estimate is what a host expects of a server now.
type estimate struct {
	known, ejected bool
	// room is the expected number of free slots, wait the expected wait for a slot, and
	// response the wait and the service together.
	room           float64
	wait, response time.Duration
	// excluded is the share of the reads that the pace of the server keeps out.
	excluded float64
}

func (o *LoadOrder) estimate(now time.Duration, server string, priority int) estimate {
	l, age, ok := o.loads.Get(now, server)
	if !ok || l.Slots <= 0 {
		return estimate{}
	}
	sent := 0
	for _, at := range o.inFlight[server] {
		if at > l.MeasuredAt {
			sent++
		}
	}
	slots := l.Slots
	if l.Pace > 0 {
		slots = min(slots, l.Pace)
	}
	paced := 1 - float64(slots)/float64(l.Slots)
	// The knowledge fades to that of a server which is half in use.
	trust := 1 - float64(max(age, 0))/float64(serverload.MaxAge)
	occupied := l.Running + l.Waiting + sent
	e := estimate{known: true, ejected: l.Ejected, excluded: trust * paced}
	e.room = trust*float64(max(slots-occupied, 0)) + (1-trust)*float64(slots)/2
	wait := l.ExpectedWait(priority)
	if occupied > slots {
		wait += time.Duration(sent) * l.Service / time.Duration(slots)
	}
	e.wait = time.Duration(trust * float64(wait))
	e.response = e.wait + l.Service
	return e
}

// spillShare returns the share of the reads that should avoid the server: the part by
// which its answers would exceed the budget, or the excluded part.
func (e estimate) spillShare(budget time.Duration) (share float64, cause Spill) {
	if e.known && e.response > budget {
		if over := 1 - float64(budget)/float64(e.response); over > e.excluded {
			return over, SpillWait
		}
	}
	return e.excluded, SpillPace
}

// loadedCandidate is a candidate with its estimate.
type loadedCandidate struct {
	Candidate
	estimate
}

// ReadCandidates returns the candidates for a read in the order in which to try them,
// and why the order departs from that by zone. Servers of which no load is known keep
// the place that Balancer.ReadCandidates gives them.
func (o *LoadOrder) ReadCandidates(now time.Duration, v GroupView, d ReadDemand) ([]Candidate, Spill) {
	base := o.balancer.ReadCandidates(now, v, false)
	var replicas, avoided, primary, ejected []loadedCandidate
	outliers, total := 0, 0
	list := make([]loadedCandidate, len(base))
	for i, c := range base {
		list[i] = loadedCandidate{c, o.estimate(now, c.Server, d.Priority)}
		if !c.Primary {
			total++
			if list[i].ejected {
				outliers++
			}
		}
	}
	eject := ejectionsHold(total, outliers)
	for _, c := range list {
		switch {
		case c.Primary:
			primary = append(primary, c)
		case o.balancer.avoids(now, v, c.Candidate):
			avoided = append(avoided, c)
		case c.ejected && eject:
			ejected = append(ejected, c)
		default:
			replicas = append(replicas, c)
		}
	}
	spill := SpillNone
	if len(base) > 0 && len(ejected) > 0 && ejected[0].Server == base[0].Server {
		spill = SpillEjected
	}
	if cause := o.moveToRoom(replicas, v, d); spill == SpillNone {
		spill = cause
	}
	if len(primary) > 0 && o.primaryFirst(replicas, primary[0], d) {
		replicas, primary, spill = slices.Concat(primary, replicas), nil, SpillPrimary
	}
	order := slices.Concat(replicas, avoided, primary, ejected)
	out := make([]Candidate, len(order))
	for i, c := range order {
		out[i] = c.Candidate
	}
	return out, spill
}

// ejectionsHold reports whether the ejections of so many of a group's replicas are heeded.
func ejectionsHold(replicas, ejected int) bool {
	return float64(replicas-ejected) >= minServingShare*float64(replicas)
}

// moveToRoom moves a server with room to the front when the first server would probably
// answer too late, or when no server is in the own zone. It returns why a read leaves a
// server of its own zone.
func (o *LoadOrder) moveToRoom(replicas []loadedCandidate, v GroupView, d ReadDemand) Spill {
	if len(replicas) < 2 {
		return SpillNone
	}
	first := replicas[0]
	share, cause := first.spillShare(d.Budget)
	local := serverZones(v)[first.Server] == v.OwnZone
	if local && o.balancer.rand.Float64() >= share {
		return SpillNone
	}
	start := 0
	if local {
		start = 1
	}
	best := o.betterOfTwo(replicas[start:])
	if best < 0 {
		return SpillNone
	}
	best += start
	if best == 0 || cause == SpillWait && local && replicas[best].response >= first.response {
		return SpillNone
	}
	c := replicas[best]
	copy(replicas[1:best+1], replicas[:best])
	replicas[0] = c
	if !local {
		return SpillNone
	}
	return cause
}

func serverZones(v GroupView) map[string]string {
	zones := make(map[string]string, len(v.Group.Servers))
	for _, s := range v.Group.Servers {
		zones[s.Name] = s.Zone
	}
	return zones
}

// betterOfTwo draws two candidates with a probability in proportion to their room and
// returns the index of the one that would answer sooner. It returns -1 if a load is
// unknown, so that the order by zone and latency holds.
func (o *LoadOrder) betterOfTwo(list []loadedCandidate) int {
	sum := 0.0
	for _, c := range list {
		if !c.known {
			return -1
		}
		sum += c.room
	}
	x, y := o.drawByRoom(list, sum), o.drawByRoom(list, sum)
	if list[y].response < list[x].response {
		return y
	}
	return x
}

func (o *LoadOrder) drawByRoom(list []loadedCandidate, sum float64) int {
	if sum <= 0 {
		return o.balancer.rand.IntN(len(list))
	}
	at := o.balancer.rand.Float64() * sum
	for i, c := range list {
		if at -= c.room; at < 0 {
			return i
		}
	}
	return len(list) - 1
}

// primaryFirst reports whether a read goes to the primary because each replica would
// probably answer after the budget and the primary has a free slot.
func (o *LoadOrder) primaryFirst(replicas []loadedCandidate, primary loadedCandidate, d ReadDemand) bool {
	if len(replicas) == 0 || !primary.known || primary.ejected || primary.room < 1 || primary.wait > 0 {
		return false
	}
	share := 1.0
	for _, c := range replicas {
		excess, cause := c.spillShare(d.Budget)
		if excess == 0 || cause != SpillWait {
			return false
		}
		share = min(share, excess)
	}
	return o.balancer.rand.Float64() < share
}

// WaitLimit returns how long a read should wait for a slot of the server: no longer than
// it would wait at one of the alternatives, but at least patience. It returns limit if
// there is no alternative. The home host knows the wait at this moment, so a refusal
// there corrects a choice by old knowledge.
func (o *LoadOrder) WaitLimit(now time.Duration, alternatives []Candidate, d ReadDemand, patience, limit time.Duration) time.Duration {
	best, found := limit, false
	for _, c := range alternatives {
		e := o.estimate(now, c.Server, d.Priority)
		if c.Primary || e.ejected {
			continue
		}
		best, found = min(best, e.wait), true
	}
	if !found {
		return limit
	}
	return min(max(best, patience), limit)
}
