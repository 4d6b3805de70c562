package backend

import (
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Dispatcher is the state of one backend server whose connections belong to one
// customer each. It decides which waiting request gets a slot and a connection,
// and which connections are opened and closed. It does no I/O. Every method that
// changes it returns actions that are valid until the next call.
//
// Customers share the slots by start-time fair queueing: the waiter of the
// customer that has used the least service goes first within a priority.
type Dispatcher struct {
	settings Settings

	conns    map[ConnID]*dispatchConn
	nextConn ConnID
	// gone counts connections that are being closed and still count at the server.
	gone int
	// learned bounds the connections until learnedUntil, after the server has
	// rejected one because of those of other hosts.
	learned      int
	learnedUntil time.Duration

	requests map[RequestID]*dispatchRequest
	queue    []*dispatchRequest
	accounts map[string]*account
	// virtual is the service that the customer served last had used.
	virtual time.Duration
	// running counts slots in use: statements and connections being opened.
	running int
	mean    time.Duration

	out []Action
}

type dispatchConn struct {
	id       ConnID
	customer string
	busy     bool
	opening  bool
	// used is the time of the last use, for closing the least recently used.
	used time.Duration
}

type dispatchRequest struct {
	id       RequestID
	customer string
	priority int
	state    requestState
	conn     *dispatchConn
	since    time.Duration
}

type account struct {
	used time.Duration
	// held counts the connections that the customer's requests hold.
	held int
}

// NewDispatcher returns a Dispatcher without connections.
func NewDispatcher(s Settings) *Dispatcher {
	return &Dispatcher{
		settings: s, conns: map[ConnID]*dispatchConn{}, requests: map[RequestID]*dispatchRequest{}, accounts: map[string]*account{},
	}
}

// Configure changes the limits.
func (d *Dispatcher) Configure(now time.Duration, s Settings) []Action {
	d.out = d.out[:0]
	d.settings = s
	return d.dispatch(now)
}

// overlap is the number of statements beyond the slots that are under way. They
// keep the server busy while an answer and the next statement travel.
const overlap = 1

func (d *Dispatcher) slots() int { return max(d.settings.Slots, 1) + overlap }

// learnedFor is how long a rejected connection bounds the number of connections.
// A host that is no longer the home host closes its own within that time.
const learnedFor = time.Second

func (d *Dispatcher) budget(now time.Duration) int {
	n := max(d.settings.Connections-MonitorConnections, 1)
	if now < d.learnedUntil {
		n = min(n, max(d.learned, 1))
	}
	return n
}

// connections returns the number of connections, including those being opened or
// closed.
func (d *Dispatcher) connections() int { return len(d.conns) + d.gone }

// ExpectedWait estimates how long a new request of the priority would wait for
// a slot.
func (d *Dispatcher) ExpectedWait(priority int) time.Duration {
	if d.running < d.slots() {
		return 0
	}
	ahead := 1
	for _, r := range d.queue {
		if r.priority <= priority {
			ahead++
		}
	}
	return time.Duration(ahead) * d.mean / time.Duration(d.slots())
}

// Request queues a new request. It is refused at once when the expected wait
// exceeds the longest useful one.
func (d *Dispatcher) Request(now time.Duration, id RequestID, customer string, priority int, wait time.Duration) []Action {
	d.out = d.out[:0]
	if expected := d.ExpectedWait(priority); expected > wait || len(d.queue) >= maxQueue {
		reason := verdict.DeadlineExpected
		if expected <= wait {
			reason = verdict.QueueFull
		}
		d.out = append(d.out, Action{Kind: Refuse, Request: id, Reason: reason})
		return d.out
	}
	r := &dispatchRequest{id: id, customer: customer, priority: priority, state: waitsForConn, since: now}
	d.requests[id] = r
	d.queue = append(d.queue, r)
	return d.dispatch(now)
}

// Resume queues the next statement of a request that holds a connection.
func (d *Dispatcher) Resume(now time.Duration, id RequestID) []Action {
	d.out = d.out[:0]
	if r, ok := d.requests[id]; ok && r.state == open {
		r.state, r.since = waitsForSlot, now
		d.queue = append(d.queue, r)
	}
	return d.dispatch(now)
}

// Cancel takes a waiting request out of the queue. A request that holds a
// connection keeps it.
func (d *Dispatcher) Cancel(now time.Duration, id RequestID) []Action {
	d.out = d.out[:0]
	r, ok := d.requests[id]
	if !ok || r.state != waitsForConn && r.state != waitsForSlot {
		return d.out
	}
	d.dequeue(r)
	if r.state == waitsForSlot {
		r.state = open
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

// Yield gives the slot of a statement back. The request keeps its connection.
func (d *Dispatcher) Yield(now time.Duration, id RequestID) []Action {
	d.out = d.out[:0]
	if r, ok := d.requests[id]; ok && r.state == running {
		d.freeSlot(now, r)
		r.state, r.since = open, now
	}
	return d.dispatch(now)
}

// Finish ends a request that holds a connection. Without reuse the home host
// closes the connection and reports Closed.
func (d *Dispatcher) Finish(now time.Duration, id RequestID, reuse bool) []Action {
	d.out = d.out[:0]
	r, ok := d.requests[id]
	if !ok {
		return d.out
	}
	switch r.state {
	case running:
		d.freeSlot(now, r)
	case waitsForConn, waitsForSlot:
		d.dequeue(r)
	}
	delete(d.requests, id)
	if r.conn != nil {
		d.account(r.customer).held--
		r.conn.busy, r.conn.used = false, now
		if !reuse {
			d.remove(r.conn)
		}
	}
	return d.dispatch(now)
}

func (d *Dispatcher) remove(c *dispatchConn) {
	delete(d.conns, c.id)
	d.gone++
}

// Opened reports that a connection is open.
func (d *Dispatcher) Opened(now time.Duration, id ConnID) []Action {
	d.out = d.out[:0]
	if c, ok := d.conns[id]; ok && c.opening {
		d.account(c.customer).used += now - c.used
		c.opening, c.used = false, now
		d.running--
	}
	return d.dispatch(now)
}

// OpenFailed reports that a connection could not be opened. Waiting requests of
// its customer for which no other connection is there or comes are refused.
func (d *Dispatcher) OpenFailed(now time.Duration, id ConnID, reason verdict.Reason) []Action {
	d.out = d.out[:0]
	c, ok := d.conns[id]
	if !ok {
		return d.out
	}
	delete(d.conns, id)
	d.running--
	if reason == verdict.ConnectionLimit {
		d.learned, d.learnedUntil = len(d.conns), now+learnedFor
	}
	if !d.hasConn(c.customer) {
		for _, r := range append([]*dispatchRequest(nil), d.queue...) {
			if r.customer == c.customer && r.state == waitsForConn {
				d.dequeue(r)
				delete(d.requests, r.id)
				d.out = append(d.out, Action{Kind: Refuse, Request: r.id, Reason: reason})
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

// Closed reports the end of a connection that Close named or that Finish gave up.
func (d *Dispatcher) Closed(now time.Duration) []Action {
	d.out = d.out[:0]
	d.gone = max(d.gone-1, 0)
	return d.dispatch(now)
}

// DropIdle closes the connections that have been idle for the time.
func (d *Dispatcher) DropIdle(now, idle time.Duration) []Action {
	d.out = d.out[:0]
	for _, c := range d.conns {
		if !c.busy && !c.opening && now-c.used >= idle {
			d.close(c)
		}
	}
	return d.dispatch(now)
}

func (d *Dispatcher) close(c *dispatchConn) {
	d.remove(c)
	d.out = append(d.out, Action{Kind: Close, Conn: c.id})
}

func (d *Dispatcher) account(customer string) *account {
	a, ok := d.accounts[customer]
	if !ok {
		a = &account{used: d.virtual}
		d.accounts[customer] = a
	}
	return a
}

// freeSlot ends a statement and books its service time.
func (d *Dispatcher) freeSlot(now time.Duration, r *dispatchRequest) {
	d.running--
	took := now - r.since
	d.mean = average(d.mean, took)
	d.account(r.customer).used += took
}

// dispatch gives the free slots to the waiters that go next. A waiter whose
// customer has no idle connection gets one opened in its slot, so that a customer
// without connections is not passed over for ever.
func (d *Dispatcher) dispatch(now time.Duration) []Action {
	for d.running < d.slots() && d.startNext(now) {
	}
	return d.out
}

// startNext starts one waiter, or opens one connection, and reports whether it
// did.
func (d *Dispatcher) startNext(now time.Duration) bool {
	coming := map[string]int{}
	for _, c := range d.conns {
		if c.opening {
			coming[c.customer]++
		}
	}
	for _, r := range d.ordered() {
		if r.state == waitsForSlot {
			d.start(now, r, r.conn)
			return true
		}
		if c := d.idle(r.customer); c != nil {
			d.start(now, r, c)
			return true
		}
		if coming[r.customer] > 0 {
			coming[r.customer]--
			continue
		}
		if d.account(r.customer).held < d.pinCap(now) && d.makeRoom(now, r.customer) {
			d.open(now, r.customer)
			return true
		}
	}
	return false
}

// ordered returns the waiters in the order in which they go: statements of open
// transactions before new requests, then by priority and the customer's use.
func (d *Dispatcher) ordered() []*dispatchRequest {
	all := slices.Clone(d.queue)
	slices.SortStableFunc(all, func(a, b *dispatchRequest) int {
		switch {
		case a.state != b.state:
			return int(b.state) - int(a.state)
		case a.state == waitsForSlot:
			return 0
		case d.before(a, b):
			return -1
		case d.before(b, a):
			return 1
		}
		return 0
	})
	return all
}

func (d *Dispatcher) before(a, b *dispatchRequest) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return d.account(a.customer).used < d.account(b.customer).used
}

// idle returns the customer's idle connection that was used last.
func (d *Dispatcher) idle(customer string) *dispatchConn {
	var best *dispatchConn
	for _, c := range d.conns {
		if c.customer == customer && !c.busy && !c.opening && (best == nil || c.used > best.used || c.used == best.used && c.id > best.id) {
			best = c
		}
	}
	return best
}

func (d *Dispatcher) start(now time.Duration, r *dispatchRequest, c *dispatchConn) {
	d.dequeue(r)
	d.running++
	kind := Continue
	a := d.account(r.customer)
	if r.state == waitsForConn {
		kind = Grant
		r.conn, c.busy = c, true
		a.held++
	}
	// A customer that was idle gets no credit for the past.
	a.used = max(a.used, d.virtual)
	d.virtual = a.used
	r.state, r.since = running, now
	d.out = append(d.out, Action{Kind: kind, Request: r.id, Conn: c.id})
}

// open opens a connection, which takes a slot of the server.
func (d *Dispatcher) open(now time.Duration, customer string) {
	d.nextConn++
	d.conns[d.nextConn] = &dispatchConn{id: d.nextConn, customer: customer, opening: true, used: now}
	d.running++
	d.out = append(d.out, Action{Kind: Open, Conn: d.nextConn, Customer: customer})
}

// pinCap is the number of connections that one customer may hold, so that its
// open transactions leave room for the others.
func (d *Dispatcher) pinCap(now time.Duration) int { return max(d.budget(now)/2, 1) }

// makeRoom closes the least recently used idle connection of another customer
// when the budget is used up, and reports whether a connection may be opened.
func (d *Dispatcher) makeRoom(now time.Duration, customer string) bool {
	if d.connections() < d.budget(now) {
		return true
	}
	var oldest *dispatchConn
	for _, c := range d.conns {
		if !c.busy && !c.opening && c.customer != customer && (oldest == nil || c.used < oldest.used) {
			oldest = c
		}
	}
	if oldest != nil {
		// The place is free once the server has seen the end of the connection.
		d.close(oldest)
	}
	return false
}
