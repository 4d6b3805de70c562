package backend

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Ways to share the slots of one backend server between hosts.
const (
	wayHome  = iota // one home host has the queue, the others forward to it
	wayFixed        // every slot belongs to a host with a queue of its own
	wayLease        // a slot moves to a host that asks for it, for at least leaseTime
)

const (
	simHosts     = 9
	simCustomers = 8
	simService   = 10 * time.Millisecond
	simHop       = time.Millisecond // one way between hosts
	leaseTime    = 50 * time.Millisecond
	simLength    = 200 * time.Second
)

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim runs the queues of one way. A connection of a queue stands for a slot.
type sim struct {
	way, slots int
	now        time.Duration
	events     simEvents
	rng        *rand.Rand
	queues     []*Server
	arrived    map[RequestID]time.Duration
	customer   map[RequestID]int
	extra      map[RequestID]time.Duration
	waits      [simCustomers][]time.Duration
	next       RequestID
	conns      ConnID
	free       int   // leased slots that no host has
	asking     []int // hosts that wait for a lease
	since      map[ConnID]time.Duration
}

func (s *sim) after(d time.Duration, f func()) { heap.Push(&s.events, simEvent{s.now + d, f}) }

func (s *sim) do(q int, actions []Action) {
	for _, a := range slices.Clone(actions) {
		if a.Kind != Grant {
			continue
		}
		c := s.customer[a.Request]
		s.waits[c] = append(s.waits[c], s.now-s.arrived[a.Request]+s.extra[a.Request])
		s.after(time.Duration(s.rng.ExpFloat64()*float64(simService)), func() { s.finish(q, a) })
	}
}

func (s *sim) finish(q int, a Action) {
	keep := s.way != wayLease || s.queues[q].Waiting() > 0 && (len(s.asking) == 0 || s.now-s.since[a.Conn] < leaseTime)
	s.do(q, s.queues[q].Finish(s.now, a.Request, keep))
	if !keep {
		s.do(q, s.queues[q].Closed(s.now, a.Conn))
		s.after(simHop, func() { s.free++; s.lend() })
	}
	s.ask(q)
}

// ask requests a lease for a host with waiters.
func (s *sim) ask(q int) {
	if s.way == wayLease && s.queues[q].Waiting() > 0 && !slices.Contains(s.asking, q) {
		s.asking = append(s.asking, q)
		s.after(simHop, s.lend)
	}
}

func (s *sim) lend() {
	for s.free > 0 && len(s.asking) > 0 {
		q := s.asking[0]
		s.asking = s.asking[1:]
		s.free--
		s.after(simHop, func() { s.open(q) })
	}
}

func (s *sim) open(q int) {
	s.conns++
	id := s.conns
	s.since[id] = s.now
	waited := s.queues[q].Waiting()
	s.do(q, s.queues[q].Opened(s.now, id))
	if s.way == wayLease && s.queues[q].Waiting() == waited {
		s.do(q, s.queues[q].Closed(s.now, id)) // nobody waits any more
		s.after(simHop, func() { s.free++; s.lend() })
	}
}

func (s *sim) arrive(customer, host int) {
	s.next++
	id := s.next
	s.arrived[id], s.customer[id] = s.now, customer
	q := host
	if s.way != wayLease {
		// The host of slot k, or the home host for 0, is host k.
		if q = 0; s.way == wayFixed {
			q = host % s.slots
		}
		if q != host {
			s.extra[id] = 2 * simHop
		}
	}
	s.do(q, s.queues[q].Request(s.now, id, fmt.Sprint(customer), time.Hour))
	s.ask(q)
}

func simulate(way, slots int, seed uint64) (mean, p99, worst time.Duration) {
	s := &sim{
		way: way, slots: slots, rng: rand.New(rand.NewPCG(seed, 1)), arrived: map[RequestID]time.Duration{},
		customer: map[RequestID]int{}, extra: map[RequestID]time.Duration{}, since: map[ConnID]time.Duration{},
	}
	for range simHosts {
		set := Settings{Slots: slots, Connections: MonitorConnections + 2*slots}
		if way == wayFixed {
			set.Slots = 1
		}
		s.queues = append(s.queues, New(set))
	}
	for k := range slots {
		switch way {
		case wayHome:
			s.open(0)
			s.open(0) // one customer may use all slots
		case wayFixed:
			s.open(k)
			s.open(k)
		default:
			s.free++
		}
	}
	// Demand of 0.7 of the slots; customer 0 sends 5 times as much as each other
	// one. Every second each customer's sessions move to another 2 hosts.
	rate := 0.7 * float64(slots) / simService.Seconds() / (simCustomers + 4)
	for c := range simCustomers {
		customerRate := rate
		if c == 0 {
			customerRate *= 5
		}
		rng := rand.New(rand.NewPCG(seed, uint64(c)+2))
		var hosts [2]int
		moved := -time.Second
		for at := time.Duration(0); at < simLength; at += time.Duration(rng.ExpFloat64() / customerRate * float64(time.Second)) {
			if at-moved >= time.Second {
				moved, hosts = at, [2]int{rng.IntN(simHosts), rng.IntN(simHosts)}
			}
			host := hosts[rng.IntN(2)]
			s.events = append(s.events, simEvent{at, func() { s.arrive(c, host) }})
		}
	}
	heap.Init(&s.events)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	var all []time.Duration
	for _, w := range s.waits {
		slices.Sort(w)
		worst = max(worst, w[len(w)*99/100])
		all = append(all, w...)
	}
	slices.Sort(all)
	for _, w := range all {
		mean += w / time.Duration(len(all))
	}
	return mean, all[len(all)*99/100], worst
}

// Guards the decision for one home host (docs/decisions/home-host.md): it has to
// be reconsidered if another way serves the worst customer better.
func TestHomeHostAgainstSplitSlots(t *testing.T) {
	for _, slots := range []int{2, 3} {
		var worst [3]time.Duration
		for way, name := range []string{"home host", "fixed split", "moving lease"} {
			mean, p99, w := simulate(way, slots, 1)
			worst[way] = w
			t.Logf("%d slots, %-12s mean %5.1f ms, p99 %6.1f ms, worst customer's p99 %6.1f ms", slots, name, ms(mean), ms(p99), ms(w))
		}
		assert.Assert(t, worst[wayHome] < worst[wayFixed] && worst[wayHome] < worst[wayLease])
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
