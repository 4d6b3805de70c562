package backend

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	openTime  = 12 * time.Millisecond
	closeTime = 2 * time.Millisecond
	// waitShare is the useful wait for a slot, as a multiple of the latency target, that
	// entry hosts ask for.
	waitShare = 1.5
)

// class is one kind of request in a load. Its rate is in requests per second.
type class struct {
	name                      string
	priority                  int
	service, target, deadline time.Duration
	rate                      func(at time.Duration, customer int) float64
	// statements is the number of statements of a transaction with pauses between them;
	// 0 for a single statement.
	statements int
	pause      time.Duration
}

// tally counts the outcomes of the requests of a class or a customer. A request that is
// refused before half of its target has passed counts as refused early.
type tally struct{ owed, inTarget, late, refusedEarly, refusedLate int }

func (t *tally) share() float64 { return float64(t.inTarget) / float64(max(t.owed, 1)) }

// loadSim runs the arrivals of several classes against one Dispatcher. Statements,
// openings and closings take their time; there are no failures.
type loadSim struct {
	d         *Dispatcher
	now       time.Duration
	events    simEvents
	requests  map[RequestID]*simRequest
	classes   map[string]*tally
	customers map[string]*tally
	opened    int
}

type simRequest struct {
	class
	id       RequestID
	customer string
	arrived  time.Duration
	left     int
	waiting  bool
	ended    bool
}

func (s *loadSim) at(d time.Duration, f func()) { heap.Push(&s.events, simEvent{s.now + d, f}) }

func (s *loadSim) apply(actions []Action) {
	for _, a := range slices.Clone(actions) {
		switch a.Kind {
		case ActionOpen:
			s.opened++
			s.at(openTime, func() { s.apply(s.d.RecordOpened(s.now, a.Conn)) })
		case ActionClose:
			s.at(closeTime, func() { s.apply(s.d.RecordClosed(s.now)) })
		case ActionRecheck:
			s.at(a.Delay, func() { s.apply(s.d.Recheck(s.now)) })
		case ActionGrant, ActionContinue:
			r := s.requests[a.Request]
			r.waiting = false
			s.at(r.service, func() { s.endStatement(r) })
		case ActionRefuse:
			s.end(s.requests[a.Request], false)
		}
	}
}

func (s *loadSim) endStatement(r *simRequest) {
	if r.left--; r.left > 0 {
		s.apply(s.d.Yield(s.now, r.id))
		s.at(r.pause, func() { s.apply(s.d.Resume(s.now, r.id)) })
		return
	}
	s.end(r, true)
	s.apply(s.d.Finish(s.now, r.id, true))
}

func (s *loadSim) end(r *simRequest, served bool) {
	r.ended = true
	took := s.now - r.arrived - time.Duration(max(r.statements-1, 0))*r.pause
	for _, t := range []*tally{s.classes[r.name], s.customers[r.customer]} {
		switch {
		case served && took <= r.target:
			t.inTarget++
		case served:
			t.late++
		case took <= r.target/2:
			t.refusedEarly++
		default:
			t.refusedLate++
		}
	}
}

// recheckAfter asks the dispatcher to decide again each time that wait has passed.
func (s *loadSim) recheckAfter(r *simRequest, wait time.Duration) {
	s.at(wait, func() {
		if r.waiting && !r.ended {
			s.apply(s.d.Recheck(s.now))
			s.recheckAfter(r, wait)
		}
	})
}

func (s *loadSim) arrive(id RequestID, c class, customer string) {
	r := &simRequest{class: c, id: id, customer: customer, arrived: s.now, left: max(c.statements, 1), waiting: true}
	s.requests[id] = r
	wait := min(c.deadline, time.Duration(waitShare*float64(c.target)))
	if s.d.settings.Scheduling == EarliestTarget {
		s.recheckAfter(r, wait)
	}
	s.at(c.deadline, func() {
		if r.waiting && !r.ended {
			s.end(r, false)
			s.apply(s.d.Cancel(s.now, id))
		}
	})
	for _, t := range []*tally{s.classes[c.name], s.customers[customer]} {
		t.owed++
	}
	s.apply(s.d.Request(s.now, id, Demand{
		Customer: customer, Priority: c.priority, Wait: wait, Target: s.now + c.target, Deadline: s.now + c.deadline,
		Transaction: c.statements > 0,
	}))
}

// runLoad plays the same arrivals for every policy.
func runLoad(settings Settings, customers int, length time.Duration, classes []class) *loadSim {
	s := &loadSim{d: NewDispatcher(settings), requests: map[RequestID]*simRequest{}, classes: map[string]*tally{}, customers: map[string]*tally{}}
	rng := rand.New(rand.NewPCG(7, 7))
	const step = time.Millisecond
	var id RequestID
	for c := range customers {
		s.customers[fmt.Sprint(c)] = &tally{}
	}
	for _, c := range classes {
		s.classes[c.name] = &tally{}
		for at := time.Duration(0); at < length; at += step {
			for customer := range customers {
				if rng.Float64() < c.rate(at, customer)*step.Seconds() {
					id++
					next, name := id, fmt.Sprint(customer)
					s.events = append(s.events, simEvent{at, func() { s.arrive(next, c, name) }})
				}
			}
		}
	}
	heap.Init(&s.events)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// worstCustomer returns the least share in target of a customer.
func (s *loadSim) worstCustomer() float64 {
	worst := 1.0
	for _, t := range s.customers {
		if t.owed > 0 {
			worst = min(worst, t.share())
		}
	}
	return worst
}

// comparePolicies plays a load under each policy and logs the outcomes.
func comparePolicies(t *testing.T, settings Settings, customers int, length time.Duration, classes []class) map[Scheduling]*loadSim {
	t.Helper()
	results := map[Scheduling]*loadSim{}
	for _, p := range []Scheduling{arrivalOrder, LeastService, EarliestTarget} {
		settings.Scheduling = p
		s := runLoad(settings, customers, length, classes)
		results[p] = s
		for _, c := range classes {
			n := s.classes[c.name]
			assert.Equal(t, n.owed, n.inTarget+n.late+n.refusedEarly+n.refusedLate, "a request of class %s has no outcome", c.name)
			t.Logf("policy %d, %-12s in target %.3f, late %.3f, refused early %.3f, late %.3f", p, c.name, n.share(),
				float64(n.late)/float64(n.owed), float64(n.refusedEarly)/float64(n.owed), float64(n.refusedLate)/float64(n.owed))
		}
		t.Logf("policy %d, worst customer %.3f, %d connections opened", p, s.worstCustomer(), s.opened)
	}
	return results
}

func steady(perSecond float64, customers int) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return perSecond / float64(customers) }
}

// during multiplies a rate by factor between from and to.
func during(from, to time.Duration, factor float64, rate func(time.Duration, int) float64) func(time.Duration, int) float64 {
	return func(at time.Duration, customer int) float64 {
		if at >= from && at < to {
			return factor * rate(at, customer)
		}
		return rate(at, customer)
	}
}

const simClients = 40

func orders(rate func(time.Duration, int) float64) class {
	return class{name: "order", service: 6 * time.Millisecond, target: 150 * time.Millisecond, deadline: time.Second, rate: rate}
}

func orderTransactions(rate func(time.Duration, int) float64) class {
	c := orders(rate)
	c.name, c.statements, c.pause = "order tx", 4, 20*time.Millisecond
	return c
}

func replies(rate func(time.Duration, int) float64) class {
	return class{name: "reply", priority: 1, service: 18 * time.Millisecond, target: 250 * time.Millisecond, deadline: time.Second, rate: rate}
}

func browse(rate func(time.Duration, int) float64) class {
	return class{name: "browse", priority: 2, service: 30 * time.Millisecond, target: time.Second, deadline: 3 * time.Second, rate: rate}
}

var simServer = Settings{Slots: 4, Connections: 56}

// Answers a burst of long, stale-tolerant reads that moves from lagging replicas to a
// primary with short, urgent statements: 200 ms of reads a slot wait for each second that
// the primary can serve.
func TestBrowseBurstOnLaggingReplicas(t *testing.T) {
	results := comparePolicies(t, simServer, simClients, 6*time.Second, []class{
		orders(steady(25, simClients)), orderTransactions(steady(15, simClients)), replies(steady(60, simClients)),
		browse(during(time.Second, 4*time.Second, 20, steady(12, simClients))),
	})
	target := results[EarliestTarget]
	for _, name := range []string{"order", "order tx", "reply"} {
		assert.Assert(t, target.classes[name].share() >= results[LeastService].classes[name].share()-0.005)
		assert.Assert(t, target.classes[name].share() > 0.95)
	}
	assert.Assert(t, target.classes["browse"].share() > results[LeastService].classes["browse"].share())
	assert.Assert(t, target.worstCustomer() >= results[LeastService].worstCustomer())
}

// Answers a burst of urgent statements beyond the slots, in which those that would be
// late anyway take the slots of those that could still be in time.
func TestOrderBurstBeyondSlots(t *testing.T) {
	results := comparePolicies(t, simServer, simClients, 6*time.Second, []class{
		orders(during(time.Second, 3*time.Second, 8, steady(120, simClients))), replies(steady(60, simClients)), browse(steady(20, simClients)),
	})
	target := results[EarliestTarget]
	assert.Assert(t, target.classes["order"].share() >= results[LeastService].classes["order"].share())
	assert.Assert(t, target.classes["order"].share() > results[arrivalOrder].classes["order"].share())
	assert.Assert(t, target.classes["order"].refusedLate <= results[LeastService].classes["order"].refusedLate)
}

// Answers more customers than connections, most of whom come seldom: the connections of
// those who come often must stay, because opening one takes longer than a statement.
func TestMoreCustomersThanConnections(t *testing.T) {
	const customers = 87
	skewed := func(perSecond float64) func(time.Duration, int) float64 {
		return func(_ time.Duration, customer int) float64 { return perSecond / 5 / float64(customer+1) }
	}
	results := comparePolicies(t, simServer, customers, 20*time.Second, []class{
		orders(skewed(40)), orderTransactions(skewed(20)), replies(skewed(50)),
	})
	target, before := results[EarliestTarget], results[LeastService]
	assert.Assert(t, target.opened < before.opened, "%d connections opened, %d before", target.opened, before.opened)
	for name, n := range target.classes {
		assert.Assert(t, n.share() >= before.classes[name].share()-0.005 && n.share() > 0.97)
	}
	equal := comparePolicies(t, simServer, customers, 20*time.Second, []class{orders(steady(60, customers)), replies(steady(60, customers))})
	assert.Assert(t, equal[EarliestTarget].opened <= equal[LeastService].opened)
}

// Answers clients that rest inside transactions until these hold most connections.
func TestRestingTransactionsLeaveConnections(t *testing.T) {
	resting := orderTransactions(steady(20, simClients))
	resting.name, resting.pause, resting.statements, resting.priority = "resting", 1500*time.Millisecond, 3, 1
	resting.target, resting.deadline = time.Second, 3*time.Second
	results := comparePolicies(t, simServer, simClients, 8*time.Second, []class{orders(steady(60, simClients)), resting})
	target, before := results[EarliestTarget], results[LeastService]
	assert.Assert(t, target.classes["order"].share() > before.classes["order"].share())
	assert.Assert(t, target.classes["order"].share() > 0.95)
}

// Answers one customer that sends many times its usual while the others go on as before.
func TestHotCustomerSurge(t *testing.T) {
	surge := func(at time.Duration, customer int) float64 {
		rate := 100.0 / simClients
		if customer == 0 && at >= time.Second && at < 4*time.Second {
			rate = 250
		}
		return rate
	}
	results := comparePolicies(t, simServer, simClients, 6*time.Second, []class{replies(surge), orders(steady(40, simClients))})
	others := tally{}
	for name, c := range results[EarliestTarget].customers {
		if name != "0" {
			others.owed, others.inTarget = others.owed+c.owed, others.inTarget+c.inTarget
			assert.Assert(t, c.owed-c.inTarget <= 1, "customer %s: %d of %d missed", name, c.owed-c.inTarget, c.owed)
		}
	}
	assert.Assert(t, others.share() > 0.99, "%.3f", others.share())
	t.Logf("other customers in target %.4f", others.share())
}

// Guards the bound on starvation: while urgent requests fill the slots, the request of a
// lower priority that has waited longest gets its share of the service time. All
// statements take equally long here.
func TestLowerPriorityIsServedWithinBound(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 1, Connections: 12, Scheduling: EarliestTarget})
	h.apply(h.d.Request(h.now, 1, Demand{Customer: "a", Priority: 2, Wait: longWait}))
	h.completeOpensAndCloses()
	finish := func(id RequestID) {
		delete(h.running, id)
		h.now += time.Millisecond
		h.apply(h.d.Finish(h.now, id, true))
		h.completeOpensAndCloses()
	}
	finish(1)
	next := RequestID(1000)
	add := func() {
		next++
		h.apply(h.d.Request(h.now, next, Demand{Customer: "b", Wait: longWait}))
		h.completeOpensAndCloses()
	}
	for range 8 {
		add()
	}
	h.apply(h.d.Request(h.now, 2, Demand{Customer: "a", Priority: 2, Wait: longWait}))
	starts := 0
	for ; !h.running[2]; starts++ {
		add()
		for id := range h.running {
			finish(id)
			break
		}
	}
	assert.Assert(t, starts <= starvationShare, "%d requests went first", starts)
}

// Guards against a waiting request that is kept until its deadline although requests that
// arrived later have taken the slots it would have had.
func TestUnservableWaiterIsRefusedBeforeItsDeadline(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 1, Connections: 12, Scheduling: EarliestTarget})
	h.apply(h.d.Request(h.now, 1, Demand{Customer: "a", Wait: longWait}))
	h.completeOpensAndCloses()
	h.now += 100 * time.Millisecond
	delete(h.running, 1)
	h.apply(h.d.Finish(h.now, 1, true)) // the expected service time is now 100 ms
	for id := RequestID(2); id < 5; id++ {
		h.apply(h.d.Request(h.now, id, Demand{Customer: "a", Wait: longWait}))
	}
	h.completeOpensAndCloses()
	h.apply(h.d.Request(h.now, 10, Demand{Customer: "a", Priority: 1, Wait: 2 * time.Second}))
	assert.Equal(t, h.refused[10], verdict.Reason(""))
	for id := RequestID(20); id < 60; id++ {
		h.now += time.Millisecond
		h.apply(h.d.Request(h.now, id, Demand{Customer: "a", Wait: longWait}))
	}
	assert.Equal(t, h.refused[10], verdict.DeadlineExpected)
}

// Guards against a request that waits, with free slots and room for a connection, for a
// statement of its customer that takes much longer than expected.
func TestRequestDoesNotWaitForOverdueStatement(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 4, Connections: 12, Scheduling: EarliestTarget})
	for id := RequestID(1); id < 10; id++ {
		h.apply(h.d.Request(h.now, id, Demand{Customer: "a", Wait: longWait}))
		h.now += 10 * time.Millisecond
		h.completeOpensAndCloses()
		h.now += 10 * time.Millisecond
		h.apply(h.d.Finish(h.now, id, true))
	}
	h.apply(h.d.Request(h.now, 10, Demand{Customer: "a", Wait: longWait}))
	h.now += time.Second
	h.apply(h.d.Request(h.now, 11, Demand{Customer: "a", Wait: 300 * time.Millisecond}))
	h.completeOpensAndCloses()
	_, granted := h.granted[11]
	assert.Assert(t, granted)

	// The statement becomes overdue while the request waits and nothing else happens.
	h.apply(h.d.Finish(h.now, 10, true))
	h.apply(h.d.Finish(h.now, 11, true))
	h.apply(h.d.DropIdle(h.now, 0))
	h.completeOpensAndCloses()
	h.apply(h.d.Request(h.now, 20, Demand{Customer: "a", Wait: longWait}))
	h.completeOpensAndCloses()
	h.now += h.d.expectedService(h.d.requests[20])
	var recheck []time.Duration
	for _, a := range h.d.Request(h.now, 21, Demand{Customer: "a", Wait: longWait}) {
		if a.Kind == ActionRecheck {
			recheck = append(recheck, a.Delay)
		}
	}
	assert.Equal(t, len(recheck), 1)
	h.now += recheck[0]
	h.apply(h.d.Recheck(h.now))
	h.completeOpensAndCloses()
	assert.Assert(t, h.running[21])
}

// Guards against a connection that is closed before the request for which it was opened
// gets a slot.
func TestUnusedConnectionIsKeptForItsRequest(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 1, Connections: 2 + ReservedConnections, Scheduling: EarliestTarget})
	h.apply(h.d.Request(h.now, 1, Demand{Customer: "a", Wait: longWait}))
	h.completeOpensAndCloses()
	h.now += time.Millisecond
	h.apply(h.d.Finish(h.now, 1, true))
	h.apply(h.d.Request(h.now, 2, Demand{Customer: "low", Priority: 2, Wait: longWait}))
	h.apply(h.d.Request(h.now, 3, Demand{Customer: "a", Wait: longWait}))
	h.apply(h.d.Request(h.now, 4, Demand{Customer: "b", Wait: longWait}))
	h.completeOpensAndCloses()
	assert.Assert(t, h.running[3])
	h.now += time.Millisecond
	h.apply(h.d.Finish(h.now, 3, true))
	assert.Assert(t, h.running[2])
	h.now += time.Millisecond
	h.apply(h.d.Finish(h.now, 2, true))
	h.completeOpensAndCloses()
	assert.Assert(t, h.running[4])
	assert.Equal(t, h.openCount, 3)
}

// Guards against several connections closed for one waiting request because other
// requests end while the first one is still being closed.
func TestOneConnectionIsDisplacedForOneRequest(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 4, Connections: 6 + ReservedConnections, Scheduling: EarliestTarget})
	for id := RequestID(1); id <= 6; id++ {
		h.apply(h.d.Request(h.now, id, Demand{Customer: string(rune('a' + id)), Wait: longWait}))
		h.completeOpensAndCloses()
		h.now += time.Millisecond
		h.apply(h.d.Finish(h.now, id, true))
	}
	h.apply(h.d.Request(h.now, 10, Demand{Customer: "new", Wait: longWait}))
	assert.Equal(t, h.closing, 1)
	h.apply(h.d.DropIdle(h.now, time.Hour))
	h.apply(h.d.DropIdle(h.now, time.Hour))
	assert.Equal(t, h.closing, 1)
	h.apply(h.d.Request(h.now, 11, Demand{Customer: "another", Wait: longWait}))
	assert.Equal(t, h.closing, 2)
	h.completeOpensAndCloses()
	assert.Assert(t, h.running[10] && h.running[11])
}

// Guards against a starvation bound that serves nobody: the request that has waited
// longest may not take a connection, as open transactions hold too many.
func TestHeldBackTransactionDoesNotTakeStarvationBound(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 1, Connections: 4 + ReservedConnections, Scheduling: EarliestTarget})
	run := func(id RequestID, end func(time.Duration, RequestID)) {
		h.completeOpensAndCloses()
		h.now += time.Millisecond
		delete(h.running, id)
		end(h.now, id)
		h.completeOpensAndCloses()
	}
	yield := func(now time.Duration, id RequestID) { h.apply(h.d.Yield(now, id)) }
	finish := func(now time.Duration, id RequestID) { h.apply(h.d.Finish(now, id, true)) }
	for id := RequestID(1); id <= 3; id++ {
		h.apply(h.d.Request(h.now, id, Demand{Customer: string(rune('a' + id)), Wait: longWait, Transaction: true}))
		run(id, yield)
	}
	next := RequestID(1000)
	add := func() {
		next++
		h.apply(h.d.Request(h.now, next, Demand{Customer: "s", Wait: longWait}))
		h.completeOpensAndCloses()
	}
	for range 8 {
		add()
	}
	h.apply(h.d.Request(h.now, 10, Demand{Customer: "s", Priority: 2, Wait: longWait, Transaction: true}))
	h.apply(h.d.Request(h.now, 11, Demand{Customer: "s", Priority: 2, Wait: longWait}))
	for starts := 0; !h.running[11]; starts++ {
		assert.Assert(t, starts <= 2*starvationShare, "not served")
		add()
		for id := range h.running {
			run(id, finish)
			break
		}
	}
}

// Guards against the statement of an open transaction of a low priority that never runs
// because others of the transactions use their slots and new requests the last one.
func TestLowerPriorityStatementOfTransactionIsServedWithinBound(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 2, Connections: 12, Scheduling: EarliestTarget})
	for id, priority := range []int{0, 2} {
		id := RequestID(id + 1)
		h.apply(h.d.Request(h.now, id, Demand{Customer: string(rune('a' + id)), Priority: priority, Wait: longWait, Transaction: true}))
		h.completeOpensAndCloses()
		h.now += time.Millisecond
		delete(h.running, id)
		h.apply(h.d.Yield(h.now, id))
	}
	h.apply(h.d.Resume(h.now, 1)) // runs for long
	next := RequestID(1000)
	add := func() {
		next++
		h.apply(h.d.Request(h.now, next, Demand{Customer: "s", Wait: longWait}))
		h.completeOpensAndCloses()
	}
	for range 8 {
		add()
	}
	h.apply(h.d.Resume(h.now, 2))
	for starts := 0; !h.running[2]; starts++ {
		assert.Assert(t, starts <= 2*starvationShare, "not served")
		add()
		h.now += time.Millisecond
		for id := range h.running {
			if id != 1 {
				delete(h.running, id)
				h.apply(h.d.Finish(h.now, id, true))
				break
			}
		}
		h.completeOpensAndCloses()
	}
}

// Guards against one long statement that counts as the use of all slots.
func TestLongStatementUsesOneSlot(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 4, Connections: 12, Scheduling: EarliestTarget})
	h.apply(h.d.Request(h.now, 1, Demand{Customer: "a", Wait: longWait}))
	h.completeOpensAndCloses()
	h.now += 5 * time.Second
	h.apply(h.d.Finish(h.now, 1, true))
	use := h.d.precedingUse(h.now)
	assert.Assert(t, use[1] <= 0.25, "use %.2f", use[1])
}
