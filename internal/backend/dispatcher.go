package backend

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Dispatcher schedules the requests of one backend server whose connections
// belong to one customer each. It decides which waiting request gets a slot and
// a connection, and which connections are opened and closed. It does no I/O.
// Every method that changes its state returns actions, which are valid until
// the next call.
//
// Settings.Scheduling selects the order of the waiting requests. By default customers
// share the slots by start-time fair queueing: within a priority, the waiting request of
// the customer that has used the least service time goes first.
type Dispatcher struct {
	settings Settings

	conns    map[ConnID]*dispatchConn
	nextConn ConnID
	// closing counts connections that are being closed and still count towards
	// the server's connection limit.
	closing int
	// observedLimit caps the connection budget until observedLimitUntil. It is
	// set when the server rejects a connection at its connection limit, because
	// other hosts hold connections to it as well.
	observedLimit      int
	observedLimitUntil time.Duration

	requests map[RequestID]*dispatchRequest
	queue    []*dispatchRequest
	accounts map[string]*account
	// virtualTime is the virtual time of the fair queue: the service time of the
	// customer served last, when its request started.
	virtualTime time.Duration
	// slotsInUse counts running statements and connections being opened.
	slotsInUse  int
	meanService time.Duration
	contention  contention

	actions []Action
}

type dispatchConn struct {
	id       ConnID
	customer string
	busy     bool
	opening  bool
	// use counts the recent uses.
	use decayingSum
	// lastUsed is the time at which the connection last became idle. It determines
	// the least recently used connection. While the connection is being opened, it
	// is the time at which opening began.
	lastUsed time.Duration
}

type dispatchRequest struct {
	Demand
	id    RequestID
	state requestState
	conn  *dispatchConn
	since time.Duration
	// resumed is set from the second statement of a transaction on.
	resumed bool
	// expectedLate is set once the request was not expected to meet its latency target.
	expectedLate bool
}

// Demand describes a new request. The times of Target and Deadline are points in time on
// the clock of the Dispatcher.
type Demand struct {
	Customer string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Wait is the longest time for which waiting for a slot is useful.
	Wait time.Duration
	// Target is the time at which the latency target of the operation passes, Deadline
	// that at which its caller stops waiting; 0 for none.
	Target, Deadline time.Duration
	// Writes is set for a statement that writes, Transaction for a request that opens a
	// transaction.
	Writes, Transaction bool
}

// account is the use of the server by one customer.
type account struct {
	// serviceTime is the service time that the customer has used. It is raised
	// to virtualTime when a request starts.
	serviceTime time.Duration
	// heldConns counts the connections that the customer's requests hold.
	heldConns int
	// use is the expected service time of the customer's recent statements.
	use decayingSum
	// lastUsed is the time of the last change of serviceTime.
	lastUsed time.Duration
}

// NewDispatcher returns a Dispatcher without connections.
func NewDispatcher(s Settings) *Dispatcher {
	return &Dispatcher{
		settings: s, conns: map[ConnID]*dispatchConn{}, requests: map[RequestID]*dispatchRequest{}, accounts: map[string]*account{},
		contention: newContention(),
	}
}

// Configure replaces the limits.
func (d *Dispatcher) Configure(now time.Duration, s Settings) []Action {
	d.actions = d.actions[:0]
	d.settings = s
	return d.dispatch(now)
}

// accountTTL is the time after which the use of the server by a customer has decayed.
const accountTTL = 10 * customerWindow

// extraStatements is the number of statements that may run beyond the slots.
// They keep the server busy while a result and the next statement are in
// transit.
const extraStatements = 1

// slots returns the number of statements that may run. EarliestTarget runs none beyond the
// slots: the server may reject it, and a retried statement is served out of order.
func (d *Dispatcher) slots() int {
	if d.settings.Scheduling == EarliestTarget {
		return max(d.settings.Slots, 1)
	}
	return max(d.settings.Slots, 1) + extraStatements
}

// observedLimitTTL is how long a rejected connection caps the connection
// budget. A former home host closes its connections within that time.
const observedLimitTTL = time.Second

// budget returns the number of connections that may be open.
func (d *Dispatcher) budget(now time.Duration) int {
	n := max(d.settings.Connections-ReservedConnections, 1)
	if now < d.observedLimitUntil {
		n = min(n, max(d.observedLimit, 1))
	}
	return n
}

// connections returns the number of connections, including those that are being
// opened or closed.
func (d *Dispatcher) connections() int { return len(d.conns) + d.closing }

// ExpectedWait estimates how long a new request of the given priority would
// wait for a slot.
func (d *Dispatcher) ExpectedWait(now time.Duration, priority int) time.Duration {
	if d.settings.Scheduling == EarliestTarget {
		return d.contendedWait(now, d.typicalRequest(now, priority))
	}
	if d.slotsInUse < d.slots() {
		return 0
	}
	ahead := 1
	for _, r := range d.queue {
		if r.Priority <= priority {
			ahead++
		}
	}
	return time.Duration(ahead) * d.meanService / time.Duration(d.slots())
}

// priorityLevels is the number of priorities for which the expected wait is reported.
// Lower priorities wait as long as the last one.
const priorityLevels = 4

// Load returns the occupancy of the slots and connections, without the name of the
// server and the time.
func (d *Dispatcher) Load(now time.Duration) serverload.Load {
	busy := 0
	for _, c := range d.conns {
		if c.busy {
			busy++
		}
	}
	l := serverload.Load{
		Slots: d.settings.Slots, Running: d.slotsInUse, Waiting: len(d.queue), Service: d.meanService,
		FreeConnections: max(d.budget(now)-busy-d.closing, 0),
	}
	if d.settings.Scheduling == EarliestTarget {
		l.Wait = d.reportedWaits(now)
		return l
	}
	for priority := range priorityLevels {
		l.Wait = append(l.Wait, d.ExpectedWait(now, priority))
	}
	return l
}

// Request queues a new request. It refuses the request at once if the queue is
// full, or if the expected wait for a slot is longer than is useful.
func (d *Dispatcher) Request(now time.Duration, id RequestID, demand Demand) []Action {
	d.actions = d.actions[:0]
	d.recordDemand(now, demand)
	r := &dispatchRequest{Demand: demand, id: id, state: stateWaitingForConn, since: now}
	if reason, expected := d.admissionRefusal(now, r); reason != "" {
		d.actions = append(d.actions, Action{Kind: ActionRefuse, Request: id, Reason: reason, Expected: expected})
		return d.actions
	}
	d.requests[id] = r
	d.queue = append(d.queue, r)
	return d.dispatch(now)
}

// admissionRefusal returns the reason for which a new request is refused at once, or "",
// and its expected wait.
func (d *Dispatcher) admissionRefusal(now time.Duration, r *dispatchRequest) (reason verdict.Reason, expected time.Duration) {
	var useful time.Duration
	if d.settings.Scheduling == EarliestTarget {
		expected, useful = d.contendedWait(now, r), d.latestStart(r)-now
	} else {
		expected, useful = d.ExpectedWait(now, r.Priority), r.Wait
	}
	switch {
	case expected > useful && d.settings.Scheduling != arrivalOrder:
		return verdict.DeadlineExpected, expected
	case len(d.queue) >= maxQueue:
		return verdict.QueueFull, expected
	}
	return "", expected
}

// Resume queues the next statement of a request that holds a connection.
func (d *Dispatcher) Resume(now time.Duration, id RequestID) []Action {
	d.actions = d.actions[:0]
	if r, ok := d.requests[id]; ok && r.state == stateIdleInTransaction {
		r.state, r.since, r.resumed = stateWaitingForSlot, now, true
		d.queue = append(d.queue, r)
	}
	return d.dispatch(now)
}

// Cancel removes a waiting request from the queue. A request that holds a
// connection keeps it.
func (d *Dispatcher) Cancel(now time.Duration, id RequestID) []Action {
	d.actions = d.actions[:0]
	r, ok := d.requests[id]
	if !ok || r.state != stateWaitingForConn && r.state != stateWaitingForSlot {
		return d.actions
	}
	d.dequeue(r)
	if r.state == stateWaitingForSlot {
		r.state = stateIdleInTransaction
	} else {
		delete(d.requests, id)
	}
	return d.dispatch(now)
}

func (d *Dispatcher) dequeue(r *dispatchRequest) {
	for i, q := range d.queue {
		if q == r {
			d.queue = append(d.queue[:i], d.queue[i+1:]...)
			return
		}
	}
}

// Yield releases the slot of a request. The request keeps its connection.
func (d *Dispatcher) Yield(now time.Duration, id RequestID) []Action {
	d.actions = d.actions[:0]
	if r, ok := d.requests[id]; ok && r.state == stateRunning {
		d.freeSlot(now, r)
		r.state, r.since = stateIdleInTransaction, now
	}
	return d.dispatch(now)
}

// Finish ends a request and releases its connection. Unless reuse is set, the
// home host closes the connection and calls RecordClosed.
func (d *Dispatcher) Finish(now time.Duration, id RequestID, reuse bool) []Action {
	d.actions = d.actions[:0]
	r, ok := d.requests[id]
	if !ok {
		return d.actions
	}
	switch r.state {
	case stateRunning:
		d.freeSlot(now, r)
	case stateWaitingForConn, stateWaitingForSlot:
		d.dequeue(r)
	}
	delete(d.requests, id)
	if r.conn != nil {
		d.account(r.Customer).heldConns--
		if r.Transaction {
			d.contention.transactionConns--
		}
		r.conn.busy, r.conn.lastUsed = false, now
		if !reuse {
			d.markClosing(r.conn)
		}
	}
	return d.dispatch(now)
}

// markClosing moves a connection from the open ones to those being closed.
func (d *Dispatcher) markClosing(c *dispatchConn) {
	delete(d.conns, c.id)
	d.closing++
}

// RecordOpened records that a connection has been opened.
func (d *Dispatcher) RecordOpened(now time.Duration, id ConnID) []Action {
	d.actions = d.actions[:0]
	if c, ok := d.conns[id]; ok && c.opening {
		d.account(c.customer).addService(now, now-c.lastUsed)
		d.recordUse(now, 0, now-c.lastUsed)
		d.contention.openTime = average(d.contention.openTime, now-c.lastUsed)
		c.opening, c.lastUsed = false, now
		d.slotsInUse--
	}
	return d.dispatch(now)
}

// RecordOpenFailed records that a connection could not be opened. If its customer
// has no other connection, open or being opened, RecordOpenFailed refuses the
// customer's new requests that are waiting.
func (d *Dispatcher) RecordOpenFailed(now time.Duration, id ConnID, reason verdict.Reason) []Action {
	d.actions = d.actions[:0]
	c, ok := d.conns[id]
	if !ok {
		return d.actions
	}
	delete(d.conns, id)
	d.slotsInUse--
	if reason == verdict.ConnectionLimit {
		d.observedLimit, d.observedLimitUntil = len(d.conns), now+observedLimitTTL
	}
	if !d.hasConn(c.customer) {
		for _, r := range append([]*dispatchRequest(nil), d.queue...) {
			if r.Customer == c.customer && r.state == stateWaitingForConn {
				d.refuse(r, reason, 0)
			}
		}
	}
	return d.dispatch(now)
}

func (d *Dispatcher) hasConn(customer string) bool {
	for _, c := range d.conns {
		if c.customer == customer {
			return true
		}
	}
	return false
}

// RecordClosed records that a connection has been closed, after an ActionClose or
// after a call of Finish without reuse.
func (d *Dispatcher) RecordClosed(now time.Duration) []Action {
	d.actions = d.actions[:0]
	d.closing = max(d.closing-1, 0)
	return d.dispatch(now)
}

// Recheck starts waiting requests after an ActionRecheck.
func (d *Dispatcher) Recheck(now time.Duration) []Action {
	d.actions = d.actions[:0]
	return d.dispatch(now)
}

// DropIdle closes the connections that have been idle for at least the given
// time, and drops the accounts of former customers.
func (d *Dispatcher) DropIdle(now, idle time.Duration) []Action {
	d.actions = d.actions[:0]
	for _, c := range d.conns {
		if !c.busy && !c.opening && now-c.lastUsed >= idle {
			d.close(c)
		}
	}
	d.dropAccounts(now)
	return d.dispatch(now)
}

// dropAccounts drops the accounts of customers without requests and connections whose use
// has decayed. An account in debt is kept until the customer has paused for as long.
func (d *Dispatcher) dropAccounts(now time.Duration) {
	inUse := map[string]bool{}
	for _, r := range d.requests {
		inUse[r.Customer] = true
	}
	for _, c := range d.conns {
		inUse[c.customer] = true
	}
	maps.DeleteFunc(d.accounts, func(customer string, a *account) bool {
		return !inUse[customer] && now-a.lastUsed >= max(accountTTL, a.serviceTime-d.virtualTime)
	})
}

func (d *Dispatcher) close(c *dispatchConn) {
	d.markClosing(c)
	d.actions = append(d.actions, Action{Kind: ActionClose, Conn: c.id})
}

// addService adds service time that ends now.
func (a *account) addService(now, service time.Duration) {
	a.serviceTime += service
	a.lastUsed = now
}

func (d *Dispatcher) account(customer string) *account {
	a, ok := d.accounts[customer]
	if !ok {
		a = &account{serviceTime: d.virtualTime}
		d.accounts[customer] = a
	}
	return a
}

// freeSlot releases the slot of a statement and adds its service time to the
// customer's account.
func (d *Dispatcher) freeSlot(now time.Duration, r *dispatchRequest) {
	d.slotsInUse--
	service := now - r.since
	d.recordService(now, r, service)
	d.meanService = average(d.meanService, service)
	d.account(r.Customer).addService(now, service)
}

// dispatch starts waiting requests in the free slots. If the customer of a
// request has no idle connection, a connection is opened in the slot instead,
// so that a customer without connections does not starve.
func (d *Dispatcher) dispatch(now time.Duration) []Action {
	d.refuseExpired(now)
	for d.slotsInUse < d.slots() && d.startNext(now) {
	}
	d.refuseExpired(now) // those kept for a slot that another request took
	d.refuseUnservable(now)
	return d.actions
}

// startNext starts one waiting request or opens one connection. It returns false
// if it could do neither.
func (d *Dispatcher) startNext(now time.Duration) bool {
	opening := map[string]int{}
	for _, c := range d.conns {
		if c.opening {
			opening[c.customer]++
		}
	}
	soon, roomExpected := d.connsFreeSoon(now), d.roomExpected(now)
	for _, r := range d.waitersInOrder(now) {
		if r.state == stateWaitingForSlot {
			d.start(now, r, r.conn)
			return true
		}
		if d.heldBack(now, r) {
			d.contention.counts.TransactionsHeldBack++
			continue
		}
		if c := d.idleConn(r.Customer); c != nil {
			d.start(now, r, c)
			return true
		}
		if opening[r.Customer] > 0 {
			opening[r.Customer]--
			continue
		}
		if soon[r.Customer] > 0 {
			soon[r.Customer]--
			d.avoidOpening(now)
			continue
		}
		if d.account(r.Customer).heldConns >= d.maxConnsPerCustomer(now) {
			continue
		}
		if d.connections() >= d.budget(now) && roomExpected > 0 {
			roomExpected--
			continue
		}
		if d.makeRoom(now, r.Customer) {
			d.open(now, r.Customer)
			return true
		}
	}
	return false
}

// waitersInOrder returns the waiting requests in the order in which they are
// scheduled: statements of open transactions before new requests, and new
// requests by priority and by the service time that the customer has used.
func (d *Dispatcher) waitersInOrder(now time.Duration) []*dispatchRequest {
	switch d.settings.Scheduling {
	case EarliestTarget:
		return d.waitersByTarget(now)
	case arrivalOrder:
		return d.queue
	}
	waiters := slices.Clone(d.queue)
	slices.SortStableFunc(waiters, func(a, b *dispatchRequest) int {
		switch {
		case a.state != b.state:
			return int(b.state) - int(a.state)
		case a.state == stateWaitingForSlot:
			return 0
		case d.precedes(a, b):
			return -1
		case d.precedes(b, a):
			return 1
		}
		return 0
	})
	return waiters
}

// precedes reports whether the new request a is scheduled before b.
func (d *Dispatcher) precedes(a, b *dispatchRequest) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return d.account(a.Customer).serviceTime < d.account(b.Customer).serviceTime
}

// idleConn returns the most recently used idle connection of the customer, or
// nil if it has none.
func (d *Dispatcher) idleConn(customer string) *dispatchConn {
	var best *dispatchConn
	for _, c := range d.conns {
		if c.customer == customer && !c.busy && !c.opening && (best == nil || c.lastUsed > best.lastUsed || c.lastUsed == best.lastUsed && c.id > best.id) {
			best = c
		}
	}
	return best
}

// start runs the next statement of a waiting request on the connection.
func (d *Dispatcher) start(now time.Duration, r *dispatchRequest, c *dispatchConn) {
	d.recordStart(now, r)
	d.dequeue(r)
	d.slotsInUse++
	kind := ActionContinue
	a := d.account(r.Customer)
	if r.state == stateWaitingForConn {
		kind = ActionGrant
		r.conn, c.busy = c, true
		c.use.add(now, connUseWindow, 1)
		a.heldConns++
		if r.Transaction {
			d.contention.transactionConns++
		}
	}
	// A customer gets no credit for the time in which it had no requests.
	a.serviceTime, a.lastUsed = max(a.serviceTime, d.virtualTime), now
	d.virtualTime = a.serviceTime
	r.state, r.since = stateRunning, now
	d.actions = append(d.actions, Action{Kind: kind, Request: r.id, Conn: c.id})
}

// open opens a connection for the customer. The connection occupies a slot while
// it is being opened.
func (d *Dispatcher) open(now time.Duration, customer string) {
	d.nextConn++
	d.conns[d.nextConn] = &dispatchConn{id: d.nextConn, customer: customer, opening: true, lastUsed: now}
	d.slotsInUse++
	d.actions = append(d.actions, Action{Kind: ActionOpen, Conn: d.nextConn, Customer: customer})
}

// maxConnsPerCustomer returns the number of connections that the requests of
// one customer may hold, so that its open transactions leave connections for
// other customers.
func (d *Dispatcher) maxConnsPerCustomer(now time.Duration) int { return max(d.budget(now)/2, 1) }

// makeRoom reports whether the budget allows another connection now. If the
// budget is used up, it closes the least valuable idle connection of another
// customer and returns false.
func (d *Dispatcher) makeRoom(now time.Duration, customer string) bool {
	if d.connections() < d.budget(now) {
		return true
	}
	var victim *dispatchConn
	for _, c := range d.conns {
		if !c.busy && !c.opening && c.customer != customer && !d.awaitsUse(c) && (victim == nil || d.leastValuable(now, c, victim)) {
			victim = c
		}
	}
	if victim != nil {
		// The connection counts until the server has closed it, so none may be
		// opened yet.
		d.contention.counts.Displaced++
		d.close(victim)
	}
	return false
}
