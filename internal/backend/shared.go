package backend

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// ReservedConnections is the part of a server's connection limit that is
// reserved for status polls, probes, fencing, takeovers and cancel requests.
const ReservedConnections = 4

const (
	// maxOpening limits the connections that are opened concurrently. It covers
	// the slots of a server, so opening more would not start statements earlier.
	maxOpening = 4
	// maxQueue limits the waiting requests of one server. At 200 statements/s,
	// the rate of 2 slots with statements of 10 ms, 1024 requests wait for 5 s,
	// which is the default deadline.
	maxQueue = 1024
	// stallTimeout is the time without a finished statement after which a
	// statement of an open transaction runs beyond the slots. The running
	// statements may all be waiting for a lock that this transaction holds.
	stallTimeout = 50 * time.Millisecond
)

// RequestID identifies a request, which is one transaction.
type RequestID uint64

// ConnID identifies a data connection.
type ConnID uint64

// Settings are the limits of a backend server.
type Settings struct {
	// Slots is the number of statements that the server runs concurrently.
	Slots int
	// Connections is the server's connection limit.
	Connections int
	// Scheduling is the order in which a Dispatcher serves waiting requests. A
	// SharedDispatcher does not use it.
	Scheduling Scheduling
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// ActionGrant starts a request on Conn. The request now holds the connection
	// and a slot.
	ActionGrant ActionKind = iota + 1
	// ActionContinue runs the next statement of a request with an open transaction.
	ActionContinue
	// ActionRefuse rejects a waiting request or statement for Reason. It did not run.
	ActionRefuse
	// ActionOpen opens one connection. The home host then calls RecordOpened or
	// RecordOpenFailed.
	ActionOpen
	// ActionClose closes the idle connection Conn. The home host then calls
	// RecordClosed.
	ActionClose
	// ActionRecheck asks the home host to call Recheck after Delay.
	ActionRecheck
)

// Action is one instruction to the home host.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Conn    ConnID
	Reason  verdict.Reason
	// Expected is the wait that a refused request of a Dispatcher would have had, 0 if its
	// useful wait had passed.
	Expected time.Duration
	Delay    time.Duration
	// Customer is the owner of the connection to open. It is empty if the
	// customers share the connections.
	Customer string
}

type requestState uint8

const (
	stateWaitingForConn    requestState = iota // queued, holds neither a connection nor a slot
	stateWaitingForSlot                        // queued, holds a connection
	stateRunning                               // statement running, holds a connection and a slot
	stateIdleInTransaction                     // between statements, holds a connection
)

type request struct {
	id       RequestID
	customer *customer
	state    requestState
	conn     ConnID
	deadline time.Duration
	// since is the time at which the current state was entered.
	since time.Duration
	// chargedService is the estimate that was charged for the running statement.
	chargedService time.Duration
	// cancelled is set for a waiter that has ended. It stays in its queue until
	// it reaches one of the ends.
	cancelled bool
}

// guard identifies a check of SharedDispatcher that a test can disable, to show
// that the tests detect the absence of the check.
type guard uint8

const (
	guardSlots guard = iota + 1
	guardBudget
	guardConnsPerCustomer
	guardFairness
	guardCancel
	guardStall
	guardDeadline
)

// SharedDispatcher schedules the requests of one backend server whose connections are
// shared by all customers. Every method that changes its state returns actions,
// which are valid until the next call.
type SharedDispatcher struct {
	settings Settings
	// otherConns counts the connections that do not belong to the home host,
	// beyond ReservedConnections. They are subtracted from the budget.
	otherConns int
	// draining is the reason for which new transactions are refused while the
	// server is draining. It is empty otherwise.
	draining verdict.Reason

	conns   map[ConnID]bool // value: in use
	idle    []ConnID        // the most recently used last
	opening int
	closing int

	requests  map[RequestID]*request
	customers map[string]*customer
	round     ring
	waiting   int
	running   int
	// meanService is the moving average of the service time of a statement.
	meanService time.Duration
	// lastProgress is the time at which a statement last ended or started beyond
	// the slots.
	lastProgress time.Duration

	actions []Action
	// disabledGuard is the check that a test has disabled, 0 outside of tests.
	disabledGuard guard
}

// NewSharedDispatcher returns a SharedDispatcher without connections. Tick returns
// its first actions.
func NewSharedDispatcher(s Settings) *SharedDispatcher {
	return &SharedDispatcher{
		settings:  s,
		conns:     make(map[ConnID]bool),
		requests:  make(map[RequestID]*request),
		customers: make(map[string]*customer),
	}
}

// Budget returns the number of data connections that may be open.
func (s *SharedDispatcher) Budget() int {
	if s.draining != "" {
		return 0
	}
	return max(max(s.settings.Connections-ReservedConnections, 1)-s.otherConns, 0)
}

// maxConnsPerCustomer returns the number of connections that the requests of
// one customer may hold.
func (s *SharedDispatcher) maxConnsPerCustomer() int { return max(s.Budget()/2, 1) }

func (s *SharedDispatcher) slots() int { return max(s.settings.Slots, 1) }

// Connections returns the number of open connections, including those that are
// being closed.
func (s *SharedDispatcher) Connections() int { return len(s.conns) + s.closing }

// Waiting returns the number of waiting requests.
func (s *SharedDispatcher) Waiting() int { return s.waiting }

// Running returns the number of running statements.
func (s *SharedDispatcher) Running() int { return s.running }

// Drained reports whether a draining server has no open connection left.
func (s *SharedDispatcher) Drained() bool { return s.draining != "" && s.Connections()+s.opening == 0 }

// Configure replaces the limits.
func (s *SharedDispatcher) Configure(now time.Duration, settings Settings) []Action {
	s.resetActions()
	s.settings = settings
	return s.dispatch(now)
}

// SetOtherConnections sets the number of connections that other hosts hold beyond
// ReservedConnections.
func (s *SharedDispatcher) SetOtherConnections(now time.Duration, n int) []Action {
	s.resetActions()
	s.otherConns = max(n, 0)
	return s.dispatch(now)
}

// Request queues a new transaction. It refuses the transaction at once if the
// server is draining, if the expected wait ends after the deadline, or if the
// queue is full and no waiter of another customer can be evicted.
func (s *SharedDispatcher) Request(now time.Duration, id RequestID, customerName string, deadline time.Duration) []Action {
	s.resetActions()
	if s.draining != "" {
		return s.refuse(id, s.draining)
	}
	c := s.customer(customerName)
	if s.disabledGuard != guardDeadline && now+s.expectedWait(c) > deadline {
		s.removeIfUnused(c)
		return s.refuse(id, verdict.DeadlineExpected)
	}
	if s.waiting >= maxQueue && !s.evictFromLongestQueue(c) {
		s.removeIfUnused(c)
		return s.refuse(id, verdict.QueueFull)
	}
	r := &request{id: id, customer: c, state: stateWaitingForConn, deadline: deadline, since: now}
	s.requests[id] = r
	c.newRequests.push(r)
	s.addWaiter(now, c)
	return s.dispatch(now)
}

// Resume queues the next statement of an open transaction.
func (s *SharedDispatcher) Resume(now time.Duration, id RequestID, deadline time.Duration) []Action {
	s.resetActions()
	r, ok := s.requests[id]
	if !ok || r.state != stateIdleInTransaction {
		return s.actions
	}
	r.state, r.since, r.deadline = stateWaitingForSlot, now, deadline
	r.customer.nextStatements.push(r)
	s.addWaiter(now, r.customer)
	return s.dispatch(now)
}

// Yield releases the slot of a statement. The transaction stays open.
func (s *SharedDispatcher) Yield(now time.Duration, id RequestID) []Action {
	s.resetActions()
	if r, ok := s.requests[id]; ok && r.state == stateRunning {
		s.freeSlot(now, r)
		r.state, r.since = stateIdleInTransaction, now
	}
	return s.dispatch(now)
}

// Finish ends a request. If reuse is set, its connection becomes idle;
// otherwise the home host closes the connection and calls RecordClosed.
func (s *SharedDispatcher) Finish(now time.Duration, id RequestID, reuse bool) []Action {
	s.resetActions()
	r, ok := s.requests[id]
	if !ok {
		return s.actions
	}
	delete(s.requests, id)
	switch r.state {
	case stateWaitingForConn:
		if s.disabledGuard != guardCancel {
			s.removeWaiter(r)
		}
		return s.dispatch(now)
	case stateWaitingForSlot:
		s.removeWaiter(r)
	case stateRunning:
		s.freeSlot(now, r)
	}
	r.customer.heldConns--
	if s.conns[r.conn] {
		s.releaseConn(r.conn, reuse)
	}
	s.removeIfUnused(r.customer)
	return s.dispatch(now)
}

// releaseConn makes the connection of an ended request idle, or counts it as
// closing unless reuse is set.
func (s *SharedDispatcher) releaseConn(id ConnID, reuse bool) {
	if !reuse {
		delete(s.conns, id)
		s.closing++
		return
	}
	s.conns[id] = false
	s.idle = append(s.idle, id)
}

// removeWaiter marks a waiter as cancelled and stops counting it. The queue skips
// cancelled waiters.
func (s *SharedDispatcher) removeWaiter(r *request) {
	r.cancelled = true
	r.customer.waiting--
	s.waiting--
	s.removeIfUnused(r.customer)
}

// RecordOpened records a new connection.
func (s *SharedDispatcher) RecordOpened(now time.Duration, id ConnID) []Action {
	s.resetActions()
	s.opening--
	s.conns[id] = false
	s.idle = append(s.idle, id)
	return s.dispatch(now)
}

// RecordOpenFailed records that a connection could not be opened. The home host calls
// it after its backoff, because the returned actions may open the connection
// again.
func (s *SharedDispatcher) RecordOpenFailed(now time.Duration) []Action {
	s.resetActions()
	s.opening--
	return s.dispatch(now)
}

// RecordClosed records the end of a connection, whichever side closed it.
func (s *SharedDispatcher) RecordClosed(now time.Duration, id ConnID) []Action {
	s.resetActions()
	if _, ok := s.conns[id]; !ok {
		s.closing = max(s.closing-1, 0)
		return s.dispatch(now)
	}
	delete(s.conns, id)
	for i, c := range s.idle {
		if c == id {
			s.idle = append(s.idle[:i], s.idle[i+1:]...)
			break
		}
	}
	return s.dispatch(now)
}

// OtherConnections returns the number that was set by SetOtherConnections.
func (s *SharedDispatcher) OtherConnections() int { return s.otherConns }

// RefuseWaiting refuses all waiting new transactions for the given reason.
func (s *SharedDispatcher) RefuseWaiting(now time.Duration, reason verdict.Reason) []Action {
	s.resetActions()
	for _, r := range s.requests {
		if r.state == stateWaitingForConn {
			s.refuseWaiter(r, reason)
		}
	}
	return s.dispatch(now)
}

// Drain refuses waiting and new transactions for the given reason, lets open
// transactions end, and closes every connection.
func (s *SharedDispatcher) Drain(now time.Duration, reason verdict.Reason) []Action {
	s.resetActions()
	s.draining = reason
	for _, r := range s.requests {
		if r.state == stateWaitingForConn {
			s.refuseWaiter(r, reason)
		}
	}
	return s.dispatch(now)
}

// Tick refuses waiters whose deadline has passed and resolves stalls. The home
// host calls it at least every TickInterval while requests wait.
func (s *SharedDispatcher) Tick(now time.Duration) []Action {
	s.resetActions()
	for name, c := range s.customers {
		s.refuseExpired(now, &c.newRequests)
		s.refuseExpired(now, &c.nextStatements)
		if !c.inRound && c.heldConns == 0 && now-c.idleSince > maxDebtQuanta*s.quantum() {
			delete(s.customers, name) // its debt has expired: no debt exceeds maxDebtQuanta
		}
	}
	s.resolveStall(now)
	return s.dispatch(now)
}

// TickInterval is the longest time between two calls of Tick.
const TickInterval = stallTimeout / 2

// refuseExpired refuses the waiters of a queue whose deadline has passed.
func (s *SharedDispatcher) refuseExpired(now time.Duration, q *fifo) {
	for _, r := range q.items[q.head:] {
		if r.cancelled || r.deadline > now {
			continue
		}
		s.refuseWaiter(r, verdict.DeadlineExceeded)
	}
}

// refuseWaiter refuses a waiter. An open transaction stays open.
func (s *SharedDispatcher) refuseWaiter(r *request, reason verdict.Reason) {
	id := r.id
	s.removeWaiter(r)
	if r.state == stateWaitingForSlot {
		// The transaction gets a new record, because the old one stays in the
		// queue as cancelled.
		s.requests[id] = &request{id: id, customer: r.customer, state: stateIdleInTransaction, conn: r.conn, since: r.since}
	} else {
		delete(s.requests, id)
	}
	s.actions = append(s.actions, Action{Kind: ActionRefuse, Request: id, Reason: reason})
}

// resolveStall runs the longest waiting statement of an open transaction beyond
// the slots if no statement has ended for stallTimeout. Otherwise an open
// transaction could never end if the statements in all slots wait for its locks.
// At most one statement per stallTimeout is started in this way.
func (s *SharedDispatcher) resolveStall(now time.Duration) {
	if s.running < s.slots() || s.disabledGuard == guardStall || now-s.lastProgress < stallTimeout {
		return
	}
	var oldest *request
	for _, c := range s.customers {
		if r := c.nextStatements.peek(); r != nil && now-r.since >= stallTimeout && (oldest == nil || r.since < oldest.since) {
			oldest = r
		}
	}
	if oldest != nil {
		oldest.customer.nextStatements.pop()
		s.start(now, oldest)
		s.lastProgress = now
	}
}

func (s *SharedDispatcher) resetActions() { s.actions = s.actions[:0] }

func (s *SharedDispatcher) refuse(id RequestID, reason verdict.Reason) []Action {
	s.actions = append(s.actions, Action{Kind: ActionRefuse, Request: id, Reason: reason})
	return s.actions
}

// freeSlot releases the slot of a statement and corrects the charge to the
// actual service time.
func (s *SharedDispatcher) freeSlot(now time.Duration, r *request) {
	s.running--
	s.lastProgress = now
	service := now - r.since
	s.meanService = average(s.meanService, service)
	r.customer.meanService = average(r.customer.meanService, service)
	r.customer.charge(service-r.chargedService, s.quantum())
	r.chargedService = 0
}

// averageWeight is the weight of the previous mean in the moving averages of
// service times. A new sample has the weight 1.
const averageWeight = 7

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return (mean*averageWeight + sample) / (averageWeight + 1)
}

// dispatch starts the waiters that can run now and adjusts the number of
// connections.
func (s *SharedDispatcher) dispatch(now time.Duration) []Action {
	for s.running < s.slots() || s.disabledGuard == guardSlots {
		r := s.dequeueNext(now)
		if r == nil {
			break
		}
		s.start(now, r)
	}
	s.adjustConns()
	return s.actions
}

// start runs the next statement of a waiter.
func (s *SharedDispatcher) start(now time.Duration, r *request) {
	c := r.customer
	c.waiting--
	s.waiting--
	s.running++
	kind := ActionContinue
	if r.state == stateWaitingForConn {
		kind = ActionGrant
		last := len(s.idle) - 1
		r.conn = s.idle[last]
		s.idle = s.idle[:last]
		s.conns[r.conn] = true
		c.heldConns++
	}
	r.state, r.since = stateRunning, now
	r.chargedService = c.estimatedService(s.quantum())
	c.charge(r.chargedService, s.quantum())
	s.actions = append(s.actions, Action{Kind: kind, Request: r.id, Conn: r.conn})
}

// adjustConns opens connections up to the budget, or closes idle ones above it.
func (s *SharedDispatcher) adjustConns() {
	budget := s.Budget()
	for s.Connections()+s.opening < budget || s.disabledGuard == guardBudget {
		if s.opening >= maxOpening {
			break
		}
		s.opening++
		s.actions = append(s.actions, Action{Kind: ActionOpen})
	}
	for len(s.conns)+s.opening > budget && len(s.idle) > 0 {
		id := s.idle[0]
		s.idle = s.idle[1:]
		delete(s.conns, id)
		s.closing++
		s.actions = append(s.actions, Action{Kind: ActionClose, Conn: id})
	}
}
