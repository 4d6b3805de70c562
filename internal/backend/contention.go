package backend

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Scheduling is the order in which a Dispatcher serves waiting requests.
type Scheduling uint8

const (
	// LeastService serves by priority, then the customer that has used the least
	// service time.
	LeastService Scheduling = iota
	// EarliestTarget serves by priority, then customers within an equal share of the
	// slots, then requests that can still meet their latency target, then the earliest
	// target. It refuses waiting requests as soon as they cannot be served in time.
	EarliestTarget
	// arrivalOrder serves in the order of arrival and refuses nothing. It is the
	// reference of comparisons.
	arrivalOrder
)

const (
	// starvationShare guarantees waiting requests of lower priorities the reciprocal of
	// it as their share of the service time.
	starvationShare = 16
	// customerWindow is the time constant over which the use by each customer is measured.
	customerWindow = time.Second
	// shareTolerance is the number of statements by which a customer may exceed an equal
	// share of the slots in customerWindow before its requests go behind those of others.
	shareTolerance = 2
	// maxPrecedingUse limits the share of the slots that requests which arrive later and
	// go first are expected to use while a request waits.
	maxPrecedingUse = 0.95
	// useWindow is the time constant over which the use by each priority is measured.
	useWindow = 250 * time.Millisecond
	// planInterval is the least time between two searches for waiting requests that cannot
	// be served, and between two computations of the reported waits. Both take time in
	// proportion to the queue, at hosts that may have a fraction of a core.
	planInterval = 5 * time.Millisecond
	// unservableMargin is the factor by which the expected wait of a waiting request must
	// exceed its useful wait before the request is refused.
	unservableMargin = 2
)

// serviceKind groups statements that are expected to take equally long.
type serviceKind struct {
	priority                     int
	writes, transaction, resumed bool
}

func (r *dispatchRequest) serviceKind() serviceKind {
	return serviceKind{r.Priority, r.Writes, r.Transaction, r.resumed}
}

// Counts are the numbers of decisions of a Dispatcher.
type Counts struct {
	// Expired counts waiting requests refused when their useful wait had passed,
	// Unservable those refused earlier because more urgent ones had arrived.
	Expired, Unservable uint64
	// Starved counts the times at which the starvation bound put a request first.
	Starved uint64
	// Displaced counts connections closed to make room for another customer,
	// OpeningsAvoided the times at which a request waited for a connection of its customer
	// instead of a new one, and TransactionsHeldBack those at which open transactions held
	// so many connections that another one had to wait.
	Displaced, OpeningsAvoided, TransactionsHeldBack uint64
}

// TakeCounts returns the decisions since the last call.
func (d *Dispatcher) TakeCounts() Counts {
	c := d.contention.counts
	d.contention.counts = Counts{}
	return c
}

// contention is the state that only EarliestTarget uses.
type contention struct {
	counts  Counts
	service map[serviceKind]time.Duration
	// use is the recent use of the slots: by openings of connections and open
	// transactions, which precede all new requests, and then by priority.
	use [priorityLevels + 1]decayingSum
	// passedOver is the expected service time of the requests that started, by priority,
	// while one of a lower priority waited, since such a one last started.
	passedOver time.Duration
	// resumedRunning counts the running statements of open transactions.
	resumedRunning int
	// transactionConns counts the connections that open transactions hold, openTime is
	// the mean time to open a connection.
	transactionConns int
	openTime         time.Duration
	// recheckAt is the time of the last ActionRecheck plus its delay.
	recheckAt time.Duration
	// recent is the newest request of each priority. The reported waits are those of
	// further requests like it.
	recent [priorityLevels]Demand
	// equalShare is the result of equalShare, computed at sharedAt.
	equalShare float64
	sharedAt   time.Duration
	// plannedAt is the time of the last search for requests that cannot be served.
	plannedAt time.Duration
	// waits are the expected waits by priority as reported, computed at waitsAt.
	waits   []time.Duration
	waitsAt time.Duration
}

func newContention() contention { return contention{service: map[serviceKind]time.Duration{}} }

// decayingSum is a sum that decays with a time constant, the window.
type decayingSum struct {
	sum float64
	at  time.Duration
}

func (s *decayingSum) value(now, window time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.at)/float64(window))
}

func (s *decayingSum) add(now, window time.Duration, x float64) {
	s.sum, s.at = s.value(now, window)+x, now
}

// recordStart counts the start of a waiting request.
func (d *Dispatcher) recordStart(now time.Duration, r *dispatchRequest) {
	if d.settings.Scheduling != EarliestTarget {
		return
	}
	d.account(r.Customer).use.add(now, customerWindow, float64(d.expectedService(r)))
	precedes := r.resumed && d.continuesFirst()
	if r.resumed {
		d.contention.resumedRunning++
	}
	if precedes {
		return
	}
	higher, lower := false, false
	for _, q := range d.queue {
		if d.ranksByPriority(now, q) {
			higher = higher || q.Priority < r.Priority
			lower = lower || q.Priority > r.Priority
		}
	}
	d.contention.passedOver += d.expectedService(r)
	if higher || !lower {
		d.contention.passedOver = 0
	}
}

// continuesFirst reports whether the next statements of open transactions go before all
// new requests.
func (d *Dispatcher) continuesFirst() bool {
	return d.contention.resumedRunning < max(d.slots()-1, 1)
}

// ranksByPriority reports whether a waiting request may run, but only after requests of
// higher priorities.
func (d *Dispatcher) ranksByPriority(now time.Duration, r *dispatchRequest) bool {
	if r.state == stateWaitingForSlot {
		return !d.continuesFirst()
	}
	return !d.heldBack(now, r)
}

// recordService records the service time of a statement that has ended.
func (d *Dispatcher) recordService(now time.Duration, r *dispatchRequest, service time.Duration) {
	if d.settings.Scheduling != EarliestTarget {
		return
	}
	if r.resumed {
		d.contention.resumedRunning--
	}
	k := r.serviceKind()
	d.contention.service[k] = average(d.contention.service[k], service)
	level := 0
	if !r.resumed {
		level = useLevel(r.Priority) + 1
	}
	d.recordUse(now, level, service)
}

// recordUse records the use of a slot that has just ended. What a long use did before the
// window has decayed already.
func (d *Dispatcher) recordUse(now time.Duration, level int, length time.Duration) {
	d.contention.use[level].add(now, useWindow, float64(useWindow)*-math.Expm1(-float64(length)/float64(useWindow)))
}

// expectedService returns the expected service time of the next statement of a request.
func (d *Dispatcher) expectedService(r *dispatchRequest) time.Duration {
	if s, ok := d.contention.service[r.serviceKind()]; ok {
		return s
	}
	return d.meanService
}

// useLevel maps a priority to an index of precedingUse.
func useLevel(priority int) int { return min(max(priority, 0), priorityLevels-1) }

// precedingUse returns, by priority, the share of the slots that is used by what precedes
// new requests of the priority. The last entry counts everything.
func (d *Dispatcher) precedingUse(now time.Duration) (use [priorityLevels + 1]float64) {
	var used float64
	for i := range use {
		used += d.contention.use[i].value(now, useWindow)
		use[i] = min(used/float64(useWindow)/float64(d.slots()), maxPrecedingUse)
	}
	return use
}

// latestStart returns the latest time at which it is useful to start a request. A
// service time longer than half of the request's time is taken as half, so that a server
// that was slow is tried again.
func (d *Dispatcher) latestStart(r *dispatchRequest) time.Duration {
	return min(r.since+r.Wait, d.deadlineStart(r))
}

// deadlineStart returns the latest time at which a request may start and still be answered
// before its deadline.
func (d *Dispatcher) deadlineStart(r *dispatchRequest) time.Duration {
	if r.Deadline == 0 {
		return math.MaxInt64
	}
	return r.Deadline - min(d.expectedService(r), (r.Deadline-r.since)/2)
}

// waiter is a waiting request at its place in the order of EarliestTarget.
type waiter struct {
	*dispatchRequest
	// continues is set for the next statement of an open transaction while these use
	// less than all slots.
	continues bool
	// late is set when the request is not expected to meet its latency target.
	late bool
	// overShare is set for a customer that has recently used more than an equal share.
	overShare bool
	due       time.Duration
	// wait is the expected wait for a slot: for the running statements, the waiting
	// requests that go first, and those that arrive in the meantime and go first.
	wait time.Duration
}

func (d *Dispatcher) newWaiter(now time.Duration, r *dispatchRequest) waiter {
	w := waiter{dispatchRequest: r, due: r.Target}
	if r.state == stateWaitingForSlot {
		w.continues, w.due = d.continuesFirst(), r.since
		return w
	}
	if r.Target == 0 {
		w.due = math.MaxInt64
	} else if r.expectedLate || now+d.expectedService(r) > r.Target {
		w.setLate()
	}
	if a, ok := d.accounts[r.Customer]; ok {
		w.overShare = a.use.value(now, customerWindow) > d.equalShare(now)
	}
	return w
}

// equalShare returns the service time in customerWindow that a customer may use before
// its requests go behind those of others.
func (d *Dispatcher) equalShare(now time.Duration) float64 {
	c := &d.contention
	if c.equalShare == 0 || now-c.sharedAt >= planInterval {
		active := 0
		for _, a := range d.accounts {
			if a.use.value(now, customerWindow) > float64(d.meanService)/2 {
				active++
			}
		}
		c.sharedAt = now
		c.equalShare = float64(d.slots())*float64(customerWindow)/float64(max(active, 1)) + shareTolerance*float64(d.meanService)
	}
	return c.equalShare
}

// setLate records that the request is not expected to meet its latency target. It stays
// behind those that are.
func (w *waiter) setLate() { w.late, w.due, w.expectedLate = true, w.Deadline, true }

func compareWaiters(a, b waiter) int {
	return cmp.Or(
		falseFirst(!a.continues, !b.continues), cmp.Compare(a.Priority, b.Priority), falseFirst(a.overShare, b.overShare),
		falseFirst(a.late, b.late), cmp.Compare(a.due, b.due),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// plan returns the waiting requests in the order of EarliestTarget.
func (d *Dispatcher) plan(now time.Duration) []waiter {
	waiters := make([]waiter, len(d.queue))
	for i, r := range d.queue {
		waiters[i] = d.newWaiter(now, r)
	}
	slices.SortStableFunc(waiters, compareWaiters)
	return waiters
}

// expectWaits sets the expected waits of waiters that are in order. It marks those that
// are not expected to meet their targets, and leaves out their service times.
func (d *Dispatcher) expectWaits(now time.Duration, waiters []waiter) {
	use := d.precedingUse(now)
	work := d.runningWork()
	for i := range waiters {
		w := &waiters[i]
		service := d.expectedService(w.dispatchRequest)
		w.wait = d.waitBehind(work, use, w)
		if !w.late && w.state == stateWaitingForConn && w.Target > 0 && now+w.wait+service > w.Target {
			w.setLate()
			w.wait = d.waitBehind(work, use, w)
			continue
		}
		work += service
	}
}

// runningWork estimates the service time that the running statements still need.
func (d *Dispatcher) runningWork() time.Duration {
	return time.Duration(d.slotsInUse) * d.meanService / 2
}

// waitBehind returns the expected wait behind work, while requests that arrive later and
// go first use a share of the slots.
func (d *Dispatcher) waitBehind(work time.Duration, use [priorityLevels + 1]float64, w *waiter) time.Duration {
	level := useLevel(w.Priority)
	if w.late {
		level++ // later requests of its own priority go first, too
	}
	return time.Duration(float64(work) / float64(d.slots()) / (1 - use[level]))
}

// waitersByTarget returns the waiting requests in the order of EarliestTarget.
func (d *Dispatcher) waitersByTarget(now time.Duration) []*dispatchRequest {
	var waiters []*dispatchRequest
	for _, w := range d.plan(now) {
		waiters = append(waiters, w.dispatchRequest)
	}
	d.promoteStarved(now, waiters)
	return waiters
}

// promoteStarved moves the request that has waited longest, of those below the
// highest waiting priority, to the front once it has been passed over for long enough.
func (d *Dispatcher) promoteStarved(now time.Duration, waiters []*dispatchRequest) {
	highest, starved := math.MaxInt, -1
	for i, r := range waiters {
		if !d.ranksByPriority(now, r) {
			continue
		}
		highest = min(highest, r.Priority)
		if r.Priority > highest && (starved < 0 || r.since < waiters[starved].since) {
			starved = i
		}
	}
	if starved <= 0 || d.contention.passedOver < (starvationShare-1)*d.expectedService(waiters[starved]) {
		return
	}
	d.contention.counts.Starved++
	r := waiters[starved]
	copy(waiters[1:], waiters[:starved])
	waiters[0] = r
}

// contendedWait estimates how long a new request would wait for a slot.
func (d *Dispatcher) contendedWait(now time.Duration, r *dispatchRequest) time.Duration {
	if d.slotsInUse < d.slots() {
		return 0
	}
	use := d.precedingUse(now)
	own := d.newWaiter(now, r)
	wait := d.waitBehind(d.workAhead(now, own), use, &own)
	if !own.late && r.Target > 0 && now+wait+d.expectedService(r) > r.Target {
		own.setLate()
		wait = d.waitBehind(d.workAhead(now, own), use, &own)
	}
	return wait
}

// workAhead returns the expected service time of what goes before a new request.
func (d *Dispatcher) workAhead(now time.Duration, own waiter) time.Duration {
	work := d.runningWork()
	for _, q := range d.queue {
		if compareWaiters(d.newWaiter(now, q), own) <= 0 {
			work += d.expectedService(q)
		}
	}
	return work
}

// reportedWaits returns the expected waits by priority.
func (d *Dispatcher) reportedWaits(now time.Duration) []time.Duration {
	c := &d.contention
	if c.waits != nil && now-c.waitsAt < planInterval {
		return c.waits
	}
	c.waits, c.waitsAt = make([]time.Duration, priorityLevels), now
	for priority := range c.waits {
		c.waits[priority] = d.ExpectedWait(now, priority)
	}
	return c.waits
}

// typicalRequest returns a new request like the newest one of the priority, of a customer
// that has used no more than its share.
func (d *Dispatcher) typicalRequest(now time.Duration, priority int) *dispatchRequest {
	r := &dispatchRequest{Demand: d.contention.recent[useLevel(priority)], since: now}
	r.Customer, r.Priority = "", priority
	if r.Target != 0 {
		r.Target += now
	}
	r.Deadline += now
	return r
}

// recordDemand keeps a request for typicalRequest, with times relative to its arrival.
func (d *Dispatcher) recordDemand(now time.Duration, demand Demand) {
	if demand.Target != 0 {
		demand.Target -= now
	}
	demand.Deadline -= now
	d.contention.recent[useLevel(demand.Priority)] = demand
}

// refuseExpired refuses the new requests whose useful wait has passed. It keeps those for
// which a connection is being opened, or has been and is unused, while slots are free:
// another server would have to open one, too.
func (d *Dispatcher) refuseExpired(now time.Duration) {
	if d.settings.Scheduling != EarliestTarget {
		return
	}
	var conns map[string]int
	for _, r := range slices.Clone(d.queue) {
		if r.state != stateWaitingForConn || now < d.latestStart(r) {
			continue
		}
		if conns == nil {
			conns = d.connsForWaiters(now)
		}
		if d.isKept(now, r, conns) {
			continue
		}
		d.contention.counts.Expired++
		d.refuse(r, verdict.DeadlineExceeded, 0)
	}
}

// isKept reports whether a request is kept although it will start late, for one of conns,
// which it takes out.
func (d *Dispatcher) isKept(now time.Duration, r *dispatchRequest, conns map[string]int) bool {
	if conns[r.Customer] == 0 || now >= d.deadlineStart(r) || d.heldBack(now, r) {
		return false
	}
	conns[r.Customer]--
	return true
}

// refuseUnservable refuses the waiting new requests that cannot be started in time,
// because more urgent ones have arrived.
func (d *Dispatcher) refuseUnservable(now time.Duration) {
	if d.settings.Scheduling != EarliestTarget || d.slotsInUse < d.slots() || len(d.queue) == 0 || now-d.contention.plannedAt < planInterval {
		return
	}
	d.contention.plannedAt = now
	waiters := d.plan(now)
	d.expectWaits(now, waiters)
	conns := d.connsForWaiters(now)
	for _, w := range waiters {
		if w.state == stateWaitingForConn && w.wait > unservableMargin*(d.latestStart(w.dispatchRequest)-now) && !d.isKept(now, w.dispatchRequest, conns) {
			d.contention.counts.Unservable++
			d.refuse(w.dispatchRequest, verdict.DeadlineExpected, w.wait)
		}
	}
}

func (d *Dispatcher) refuse(r *dispatchRequest, reason verdict.Reason, expected time.Duration) {
	d.dequeue(r)
	delete(d.requests, r.id)
	d.actions = append(d.actions, Action{Kind: ActionRefuse, Request: r.id, Reason: reason, Expected: expected})
}
