package backend

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// MonitorConnections is the part of a server's connection limit that is left to
// status polls, probes, takeovers and cancel requests.
const MonitorConnections = 4

const (
	// maxOpening bounds the connections that are opened at the same time. It
	// covers the slots of a server, so that more would not start work earlier.
	maxOpening = 4
	// maxQueue bounds the waiting requests of one server. At 200 statements/s,
	// which 2 slots of 10 ms give, 1024 requests wait 5 s, the default deadline.
	maxQueue = 1024
	// stallAfter is the time without any finished statement after which a
	// statement of an open transaction runs beyond the slots, because the
	// running ones may all wait for a lock that its transaction holds.
	stallAfter = 50 * time.Millisecond
)

// RequestID identifies a request, which is one transaction.
type RequestID uint64

// ConnID identifies a data connection.
type ConnID uint64

// Settings are the limits of a backend server.
type Settings struct {
	// Slots is the number of statements that the server runs at once.
	Slots int
	// Connections is the server's connection limit.
	Connections int
}

// ActionKind says what the home host has to do.
type ActionKind uint8

const (
	// Grant starts a request on Conn: it now holds the connection and a slot.
	Grant ActionKind = iota + 1
	// Continue lets a request with an open transaction run its next statement.
	Continue
	// Refuse ends a waiting request for Reason. It did not run.
	Refuse
	// Open opens one connection and reports Opened or OpenFailed.
	Open
	// Close closes the idle connection Conn and reports Closed.
	Close
)

// Action is one instruction to the home host.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Conn    ConnID
	Reason  verdict.Reason
	// Customer owns the connection to open, where connections belong to customers.
	Customer string
}

type requestState uint8

const (
	waitsForConn requestState = iota // in queue, holds nothing
	waitsForSlot                     // in queue, holds a connection
	running                          // holds a connection and a slot
	open                             // transaction open between statements
)

type request struct {
	id       RequestID
	customer *customer
	state    requestState
	conn     ConnID
	deadline time.Duration
	// since is the time at which the present state was entered.
	since time.Duration
	// charged is the service time already taken from the customer's deficit.
	charged time.Duration
	// cancelled waiters stay in their queue until they reach its head.
	cancelled bool
}

// guard names a check that tests switch off to show that their oracle notices.
type guard uint8

const (
	guardSlots guard = iota + 1
	guardBudget
	guardPins
	guardFairness
	guardCancel
	guardStall
	guardDeadline
)

// Server is the state of one backend server at its home host. Every method that
// changes it returns actions that are valid until the next call.
type Server struct {
	settings Settings
	// others counts the connections that are not the home host's own, beyond
	// MonitorConnections. They are taken from the budget.
	others   int
	draining verdict.Reason

	conns   map[ConnID]bool // value: in use
	idle    []ConnID        // the most recently used last
	opening int
	closing int

	requests  map[RequestID]*request
	customers map[string]*customer
	queue     ring
	waiting   int
	running   int
	// mean is the moving average of the service time of a statement.
	mean time.Duration
	// progress is the time at which a statement last ended or ran beyond the slots.
	progress time.Duration

	out []Action
	// off is the guard that a test has removed, 0 outside of tests.
	off guard
}

// New returns a server without connections. Its first actions come from Tick.
func New(s Settings) *Server {
	return &Server{
		settings:  s,
		conns:     make(map[ConnID]bool),
		requests:  make(map[RequestID]*request),
		customers: make(map[string]*customer),
	}
}

// Budget returns the number of data connections that may be open.
func (s *Server) Budget() int {
	if s.draining != "" {
		return 0
	}
	return max(max(s.settings.Connections-MonitorConnections, 1)-s.others, 0)
}

// pinCap returns the number of connections that one customer may hold.
func (s *Server) pinCap() int { return max(s.Budget()/2, 1) }

func (s *Server) slots() int { return max(s.settings.Slots, 1) }

// Connections returns the number of open connections, including those that are
// being closed.
func (s *Server) Connections() int { return len(s.conns) + s.closing }

// Waiting returns the number of waiting requests.
func (s *Server) Waiting() int { return s.waiting }

// Running returns the number of running statements.
func (s *Server) Running() int { return s.running }

// Drained reports whether a draining server has no open connection left.
func (s *Server) Drained() bool { return s.draining != "" && s.Connections()+s.opening == 0 }

// Configure changes the limits.
func (s *Server) Configure(now time.Duration, settings Settings) []Action {
	s.begin()
	s.settings = settings
	return s.dispatch(now)
}

// SetOthers sets the number of connections that other hosts hold beyond the
// monitor connections.
func (s *Server) SetOthers(now time.Duration, n int) []Action {
	s.begin()
	s.others = max(n, 0)
	return s.dispatch(now)
}

// Request queues a new transaction.
func (s *Server) Request(now time.Duration, id RequestID, customerName string, deadline time.Duration) []Action {
	s.begin()
	if s.draining != "" {
		return s.refuse(id, s.draining)
	}
	c := s.customer(customerName)
	if s.off != guardDeadline && now+s.expectedWait(c) > deadline {
		s.forget(c)
		return s.refuse(id, verdict.DeadlineExpected)
	}
	if s.waiting >= maxQueue && !s.pushOut(c) {
		s.forget(c)
		return s.refuse(id, verdict.QueueFull)
	}
	r := &request{id: id, customer: c, state: waitsForConn, deadline: deadline, since: now}
	s.requests[id] = r
	c.starts.push(r)
	s.enqueue(now, c)
	return s.dispatch(now)
}

// Resume queues the next statement of an open transaction.
func (s *Server) Resume(now time.Duration, id RequestID, deadline time.Duration) []Action {
	s.begin()
	r, ok := s.requests[id]
	if !ok || r.state != open {
		return s.out
	}
	r.state, r.since, r.deadline = waitsForSlot, now, deadline
	r.customer.resumes.push(r)
	s.enqueue(now, r.customer)
	return s.dispatch(now)
}

// Yield gives the slot of a statement back. The transaction stays open.
func (s *Server) Yield(now time.Duration, id RequestID) []Action {
	s.begin()
	if r, ok := s.requests[id]; ok && r.state == running {
		s.freeSlot(now, r)
		r.state, r.since = open, now
	}
	return s.dispatch(now)
}

// Finish ends a request. Its connection serves others if reuse is set; else the
// home host closes it and reports Closed.
func (s *Server) Finish(now time.Duration, id RequestID, reuse bool) []Action {
	s.begin()
	r, ok := s.requests[id]
	if !ok {
		return s.out
	}
	delete(s.requests, id)
	switch r.state {
	case waitsForConn:
		if s.off != guardCancel {
			s.drop(r)
		}
		return s.dispatch(now)
	case waitsForSlot:
		s.drop(r)
	case running:
		s.freeSlot(now, r)
	}
	r.customer.held--
	if s.conns[r.conn] {
		s.giveBack(r.conn, reuse)
	}
	s.forget(r.customer)
	return s.dispatch(now)
}

// giveBack takes the connection of an ended request back.
func (s *Server) giveBack(id ConnID, reuse bool) {
	if !reuse {
		delete(s.conns, id)
		s.closing++
		return
	}
	s.conns[id] = false
	s.idle = append(s.idle, id)
}

// drop takes a waiter out of the queue.
func (s *Server) drop(r *request) {
	r.cancelled = true
	r.customer.waiting--
	s.waiting--
	s.forget(r.customer)
}

// Opened reports a new connection.
func (s *Server) Opened(now time.Duration, id ConnID) []Action {
	s.begin()
	s.opening--
	s.conns[id] = false
	s.idle = append(s.idle, id)
	return s.dispatch(now)
}

// OpenFailed reports that a connection could not be opened. The home host calls
// it after its back-off.
func (s *Server) OpenFailed(now time.Duration) []Action {
	s.begin()
	s.opening--
	return s.dispatch(now)
}

// Closed reports the end of a connection, whoever closed it.
func (s *Server) Closed(now time.Duration, id ConnID) []Action {
	s.begin()
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

// Others returns the number that SetOthers set.
func (s *Server) Others() int { return s.others }

// RefuseWaiting refuses every new transaction that waits, for the reason.
func (s *Server) RefuseWaiting(now time.Duration, reason verdict.Reason) []Action {
	s.begin()
	for _, r := range s.requests {
		if r.state == waitsForConn {
			s.refuseWaiter(r, reason)
		}
	}
	return s.dispatch(now)
}

// Drain refuses waiting and new transactions for the reason, lets open ones end
// and closes every connection.
func (s *Server) Drain(now time.Duration, reason verdict.Reason) []Action {
	s.begin()
	s.draining = reason
	for _, r := range s.requests {
		if r.state == waitsForConn {
			s.refuseWaiter(r, reason)
		}
	}
	return s.dispatch(now)
}

// Tick refuses waiters whose deadline has passed and resolves stalls. It is to
// be called at least every TickInterval while requests wait.
func (s *Server) Tick(now time.Duration) []Action {
	s.begin()
	for name, c := range s.customers {
		s.expire(now, &c.starts)
		s.expire(now, &c.resumes)
		if !c.queued && c.held == 0 && now-c.left > maxDebt*s.quantum() {
			delete(s.customers, name) // its debt is old enough to be void
		}
	}
	s.resolveStall(now)
	return s.dispatch(now)
}

// TickInterval is the longest time between two calls of Tick.
const TickInterval = stallAfter / 2

// expire refuses the waiters of a queue whose deadline has passed.
func (s *Server) expire(now time.Duration, q *fifo) {
	for _, r := range q.items[q.head:] {
		if r.cancelled || r.deadline > now {
			continue
		}
		s.refuseWaiter(r, verdict.DeadlineExceeded)
	}
}

// refuseWaiter refuses a waiter. A transaction that is open stays open.
func (s *Server) refuseWaiter(r *request, reason verdict.Reason) {
	id := r.id
	s.drop(r)
	if r.state == waitsForSlot {
		// A new record, because the old one stays in the queue as cancelled.
		s.requests[id] = &request{id: id, customer: r.customer, state: open, conn: r.conn, since: r.since}
	} else {
		delete(s.requests, id)
	}
	s.out = append(s.out, Action{Kind: Refuse, Request: id, Reason: reason})
}

// resolveStall lets the longest waiting statement of an open transaction run
// beyond the slots when no statement has ended for stallAfter. Without it, open
// transactions whose locks the running statements wait for could never end. At
// most one statement per stallAfter is let through.
func (s *Server) resolveStall(now time.Duration) {
	if s.running < s.slots() || s.off == guardStall || now-s.progress < stallAfter {
		return
	}
	var oldest *request
	for _, c := range s.customers {
		if r := c.resumes.peek(); r != nil && now-r.since >= stallAfter && (oldest == nil || r.since < oldest.since) {
			oldest = r
		}
	}
	if oldest != nil {
		oldest.customer.resumes.pop()
		s.start(now, oldest)
		s.progress = now
	}
}

func (s *Server) begin() { s.out = s.out[:0] }

func (s *Server) refuse(id RequestID, reason verdict.Reason) []Action {
	s.out = append(s.out, Action{Kind: Refuse, Request: id, Reason: reason})
	return s.out
}

// freeSlot ends a statement and settles its service time.
func (s *Server) freeSlot(now time.Duration, r *request) {
	s.running--
	s.progress = now
	took := now - r.since
	s.mean = average(s.mean, took)
	r.customer.mean = average(r.customer.mean, took)
	r.customer.charge(took-r.charged, s.quantum())
	r.charged = 0
}

// averageWeight is the weight of the past in the moving averages of service times.
const averageWeight = 7

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return (mean*averageWeight + sample) / (averageWeight + 1)
}

// dispatch starts what can run now and keeps the connections warm.
func (s *Server) dispatch(now time.Duration) []Action {
	for s.running < s.slots() || s.off == guardSlots {
		r := s.next(now)
		if r == nil {
			break
		}
		s.start(now, r)
	}
	s.warm()
	return s.out
}

// start lets a waiter run.
func (s *Server) start(now time.Duration, r *request) {
	c := r.customer
	c.waiting--
	s.waiting--
	s.running++
	kind := Continue
	if r.state == waitsForConn {
		kind = Grant
		last := len(s.idle) - 1
		r.conn = s.idle[last]
		s.idle = s.idle[:last]
		s.conns[r.conn] = true
		c.held++
	}
	r.state, r.since = running, now
	r.charged = c.estimate(s.quantum())
	c.charge(r.charged, s.quantum())
	s.out = append(s.out, Action{Kind: kind, Request: r.id, Conn: r.conn})
}

// warm opens connections up to the budget, or closes idle ones above it.
func (s *Server) warm() {
	budget := s.Budget()
	for s.Connections()+s.opening < budget || s.off == guardBudget {
		if s.opening >= maxOpening {
			break
		}
		s.opening++
		s.out = append(s.out, Action{Kind: Open})
	}
	for len(s.conns)+s.opening > budget && len(s.idle) > 0 {
		id := s.idle[0]
		s.idle = s.idle[1:]
		delete(s.conns, id)
		s.closing++
		s.out = append(s.out, Action{Kind: Close, Conn: id})
	}
}
