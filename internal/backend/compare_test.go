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

// Schemes for sharing the slots of one backend server between hosts.
const (
	schemeHomeHost    = iota // one home host has the queue, other hosts forward requests to it
	schemeFixedSplit         // every slot belongs to one host, which has a queue of its own
	schemeMovingLease        // a slot is leased to a host on request, for at least minLeaseTime
)

const (
	simHosts       = 9
	simCustomers   = 8
	simService     = 10 * time.Millisecond
	simOneWayDelay = time.Millisecond // between two hosts
	minLeaseTime   = 50 * time.Millisecond
	simLength      = 200 * time.Second
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

// sim simulates the queues of one scheme. In the moving lease scheme, a connection
// of a queue represents a leased slot.
type sim struct {
	scheme, slots int
	now           time.Duration
	events        simEvents
	rng           *rand.Rand
	queues        []*SharedDispatcher
	arrivedAt     map[RequestID]time.Duration
	customer      map[RequestID]int
	forwardDelay  map[RequestID]time.Duration
	waits         [simCustomers][]time.Duration
	next          RequestID
	conns         ConnID
	freeSlots     int   // slots that are not leased
	leaseRequests []int // hosts that wait for a slot
	leasedAt      map[ConnID]time.Duration
}

func (s *sim) schedule(d time.Duration, f func()) { heap.Push(&s.events, simEvent{s.now + d, f}) }

func (s *sim) apply(q int, actions []Action) {
	for _, a := range slices.Clone(actions) {
		if a.Kind != ActionGrant {
			continue
		}
		c := s.customer[a.Request]
		s.waits[c] = append(s.waits[c], s.now-s.arrivedAt[a.Request]+s.forwardDelay[a.Request])
		s.schedule(time.Duration(s.rng.ExpFloat64()*float64(simService)), func() { s.finish(q, a) })
	}
}

func (s *sim) finish(q int, a Action) {
	keepSlot := s.scheme != schemeMovingLease || s.queues[q].Waiting() > 0 && (len(s.leaseRequests) == 0 || s.now-s.leasedAt[a.Conn] < minLeaseTime)
	s.apply(q, s.queues[q].Finish(s.now, a.Request, keepSlot))
	if !keepSlot {
		s.apply(q, s.queues[q].RecordClosed(s.now, a.Conn))
		s.schedule(simOneWayDelay, func() { s.freeSlots++; s.grantLeases() })
	}
	s.requestLease(q)
}

// requestLease requests a slot for a host with waiters.
func (s *sim) requestLease(q int) {
	if s.scheme == schemeMovingLease && s.queues[q].Waiting() > 0 && !slices.Contains(s.leaseRequests, q) {
		s.leaseRequests = append(s.leaseRequests, q)
		s.schedule(simOneWayDelay, s.grantLeases)
	}
}

func (s *sim) grantLeases() {
	for s.freeSlots > 0 && len(s.leaseRequests) > 0 {
		q := s.leaseRequests[0]
		s.leaseRequests = s.leaseRequests[1:]
		s.freeSlots--
		s.schedule(simOneWayDelay, func() { s.open(q) })
	}
}

func (s *sim) open(q int) {
	s.conns++
	id := s.conns
	s.leasedAt[id] = s.now
	waiting := s.queues[q].Waiting()
	s.apply(q, s.queues[q].RecordOpened(s.now, id))
	if s.scheme == schemeMovingLease && s.queues[q].Waiting() == waiting {
		s.apply(q, s.queues[q].RecordClosed(s.now, id)) // no request waits any more
		s.schedule(simOneWayDelay, func() { s.freeSlots++; s.grantLeases() })
	}
}

func (s *sim) arrive(customer, host int) {
	s.next++
	id := s.next
	s.arrivedAt[id], s.customer[id] = s.now, customer
	q := host
	if s.scheme != schemeMovingLease {
		// Slot k belongs to host k; the home host is host 0.
		if q = 0; s.scheme == schemeFixedSplit {
			q = host % s.slots
		}
		if q != host {
			s.forwardDelay[id] = 2 * simOneWayDelay
		}
	}
	s.apply(q, s.queues[q].Request(s.now, id, fmt.Sprint(customer), time.Hour))
	s.requestLease(q)
}

func simulate(scheme, slots int, seed uint64) (mean, p99, worst time.Duration) {
	s := &sim{
		scheme: scheme, slots: slots, rng: rand.New(rand.NewPCG(seed, 1)), arrivedAt: map[RequestID]time.Duration{},
		customer: map[RequestID]int{}, forwardDelay: map[RequestID]time.Duration{}, leasedAt: map[ConnID]time.Duration{},
	}
	for range simHosts {
		settings := Settings{Slots: slots, Connections: ReservedConnections + 2*slots}
		if scheme == schemeFixedSplit {
			settings.Slots = 1
		}
		s.queues = append(s.queues, NewSharedDispatcher(settings))
	}
	for k := range slots {
		switch scheme {
		case schemeHomeHost:
			s.open(0)
			s.open(0) // one customer may use all slots
		case schemeFixedSplit:
			s.open(k)
			s.open(k)
		default:
			s.freeSlots++
		}
	}
	// The load is 0.7 of the slots. Customer 0 sends 5 times as many requests as
	// each other customer. Every second, each customer's sessions move to two other
	// hosts.
	rate := 0.7 * float64(slots) / simService.Seconds() / (simCustomers + 4)
	for c := range simCustomers {
		customerRate := rate
		if c == 0 {
			customerRate *= 5
		}
		rng := rand.New(rand.NewPCG(seed, uint64(c)+2))
		var hosts [2]int
		movedAt := -time.Second
		for at := time.Duration(0); at < simLength; at += time.Duration(rng.ExpFloat64() / customerRate * float64(time.Second)) {
			if at-movedAt >= time.Second {
				movedAt, hosts = at, [2]int{rng.IntN(simHosts), rng.IntN(simHosts)}
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

// Guards the decision that one home host schedules all requests of a backend
// server (docs/decisions/home-host.md). The decision has to be reconsidered if
// the worst-served customer has a lower p99 of the waiting time in another scheme.
func TestHomeHostServesWorstCustomerBest(t *testing.T) {
	for _, slots := range []int{2, 3} {
		var worst [3]time.Duration
		for scheme, name := range []string{"home host", "fixed split", "moving lease"} {
			mean, p99, w := simulate(scheme, slots, 1)
			worst[scheme] = w
			t.Logf("%d slots, %-12s mean %5.1f ms, p99 %6.1f ms, worst customer's p99 %6.1f ms", slots, name, ms(mean), ms(p99), ms(w))
		}
		assert.Assert(t, worst[schemeHomeHost] < worst[schemeFixedSplit] && worst[schemeHomeHost] < worst[schemeMovingLease])
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
