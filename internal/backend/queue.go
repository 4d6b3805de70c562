package backend

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// minQuantum is the least quantum, which also applies before a service time
	// has been measured.
	minQuantum = time.Millisecond
	// maxDebtQuanta limits the debt of a customer, in quanta, so that a customer
	// with long statements waits for a bounded number of rounds.
	maxDebtQuanta = 64
)

// customer holds the queues and the service time account of one customer.
// Customers share the slots by deficit round robin in units of service time: a
// customer may start statements while its deficit is positive, and it receives
// one quantum per round. The cost of a statement is known only at its end, so an
// estimate is charged at the start and corrected at the end.
type customer struct {
	name           string
	newRequests    fifo // new requests, which need a connection
	nextStatements fifo // next statements of open transactions
	// waiting counts the waiters of both queues that are not cancelled.
	waiting int
	// heldConns counts the connections that the customer's requests hold.
	heldConns int
	// deficit is the service time that the customer may still use in this round.
	// It is negative if the customer is in debt.
	deficit     time.Duration
	meanService time.Duration
	// idleSince is the time at which the customer last left the round because it
	// had no waiter.
	idleSince time.Duration
	inRound   bool
}

// estimatedService returns the expected service time of the customer's next
// statement.
func (c *customer) estimatedService(quantum time.Duration) time.Duration {
	if c.meanService == 0 {
		return quantum
	}
	return c.meanService
}

// charge subtracts service time from the deficit, down to the largest debt.
func (c *customer) charge(d, quantum time.Duration) {
	c.deficit = max(c.deficit-d, -maxDebtQuanta*quantum)
}

// quantum returns the service time that a customer receives per round.
func (s *SharedDispatcher) quantum() time.Duration { return max(s.meanService, minQuantum) }

// customer returns the entry of the named customer and creates it if there is
// none.
func (s *SharedDispatcher) customer(name string) *customer {
	c, ok := s.customers[name]
	if !ok {
		c = &customer{name: name}
		s.customers[name] = c
	}
	return c
}

// removeIfUnused deletes the entry of a customer that has no waiters, connections
// or debt and is not in the round.
func (s *SharedDispatcher) removeIfUnused(c *customer) {
	if c.waiting == 0 && c.heldConns == 0 && c.deficit >= 0 && !c.inRound {
		delete(s.customers, c.name)
	}
}

// addWaiter counts a new waiter of the customer and adds the customer to the
// round.
func (s *SharedDispatcher) addWaiter(now time.Duration, c *customer) {
	c.waiting++
	s.waiting++
	if c.inRound {
		return
	}
	// While the customer had no waiter, other customers could use its share of the
	// slots. This share reduces its debt. Unused service time is not carried over.
	share := (now - c.idleSince) * time.Duration(s.slots()) / time.Duration(len(s.round.items)+1)
	c.deficit = min(c.deficit+share, 0)
	c.inRound = true
	s.round.push(c)
}

// eligibleWaiter returns the customer's next waiter that could run now, or nil.
func (s *SharedDispatcher) eligibleWaiter(c *customer) *request {
	if r := c.nextStatements.peek(); r != nil {
		return r
	}
	r := c.newRequests.peek()
	if r == nil || len(s.idle) == 0 {
		return nil
	}
	if c.heldConns >= s.maxConnsPerCustomer() && s.disabledGuard != guardConnsPerCustomer {
		return nil
	}
	return r
}

// dequeueNext removes the waiter that runs next from its queue and returns it.
// It returns nil if no waiter can run.
func (s *SharedDispatcher) dequeueNext(now time.Duration) *request {
	if s.waiting == 0 {
		s.clearRound(now)
		return nil
	}
	var blocked, indebted int
	for len(s.round.items) > 0 {
		if blocked+indebted >= len(s.round.items) {
			if indebted == 0 {
				return nil
			}
			s.skipRounds()
			blocked, indebted = 0, 0
		}
		c := s.round.front()
		if c.waiting == 0 {
			s.leaveRound(now, c)
			continue
		}
		r := s.eligibleWaiter(c)
		switch {
		case r == nil:
			blocked++
			s.round.rotate()
		case s.refuseIfExpired(now, r):
			blocked, indebted = 0, 0
		case c.deficit > 0 || s.disabledGuard == guardFairness:
			s.popWaiter(c, r)
			return r
		default:
			indebted++
			c.deficit += s.quantum()
			s.round.rotate()
			if c.deficit > 0 {
				// The customer can be served when the round reaches it again, so
				// the counts restart at zero.
				blocked, indebted = 0, 0
			}
		}
	}
	return nil
}

// refuseIfExpired refuses a waiter whose deadline has passed, and reports
// whether it did.
func (s *SharedDispatcher) refuseIfExpired(now time.Duration, r *request) bool {
	if r.deadline > now {
		return false
	}
	s.refuseWaiter(r, verdict.DeadlineExceeded)
	return true
}

// popWaiter removes r from the head of its queue.
func (s *SharedDispatcher) popWaiter(c *customer, r *request) {
	if r.state == stateWaitingForSlot {
		c.nextStatements.pop()
	} else {
		c.newRequests.pop()
	}
}

// skipRounds adds the quanta of as many rounds as the eligible customer with
// the least debt needs, so that the cost of dequeueNext does not grow with the
// debts.
func (s *SharedDispatcher) skipRounds() {
	quantum := s.quantum()
	rounds := time.Duration(maxDebtQuanta)
	for _, c := range s.round.items {
		if c.waiting > 0 && s.eligibleWaiter(c) != nil {
			rounds = min(rounds, -c.deficit/quantum+1)
		}
	}
	for _, c := range s.round.items {
		if c.waiting > 0 && s.eligibleWaiter(c) != nil {
			c.deficit += rounds * quantum
		}
	}
}

// leaveRound removes the customer at the front, which has no waiter, from the
// round.
func (s *SharedDispatcher) leaveRound(now time.Duration, c *customer) {
	s.round.removeFront()
	c.inRound, c.idleSince = false, now
	c.deficit = min(c.deficit, 0)
	c.newRequests.reset()
	c.nextStatements.reset()
	s.removeIfUnused(c)
}

// clearRound removes all customers, none of which has a waiter, from the round.
func (s *SharedDispatcher) clearRound(now time.Duration) {
	for len(s.round.items) > 0 {
		s.leaveRound(now, s.round.front())
	}
}

// expectedWait estimates how long a new request of the customer would wait: the
// time for the work that the customer has queued, and for as much of every
// other customer's queued work as the rounds serve before the new request.
func (s *SharedDispatcher) expectedWait(c *customer) time.Duration {
	if s.running < s.slots() || s.meanService == 0 {
		return 0
	}
	own := time.Duration(c.waiting) * c.estimatedService(s.meanService)
	serviceUntilTurn := own + c.estimatedService(s.meanService) + max(-c.deficit, 0)
	ahead := own
	for _, o := range s.round.items {
		if o != c {
			ahead += min(time.Duration(o.waiting)*o.estimatedService(s.meanService), serviceUntilTurn)
		}
	}
	return ahead / time.Duration(s.slots())
}

// evictFromLongestQueue makes room for a waiter of c by refusing the newest new
// request of the customer with the longest queue. It returns false if c itself
// has the longest queue.
func (s *SharedDispatcher) evictFromLongestQueue(c *customer) bool {
	longest := c
	for _, o := range s.round.items {
		if o.newRequests.len() > longest.newRequests.len() {
			longest = o
		}
	}
	if longest == c {
		return false
	}
	r := longest.newRequests.popNewest()
	if r == nil {
		return false
	}
	s.refuseWaiter(r, verdict.QueueFull)
	return true
}

// fifo is a first-in, first-out queue of waiters. A cancelled waiter stays in the
// queue until it reaches one of the ends.
type fifo struct {
	items []*request
	head  int
}

func (q *fifo) push(r *request) {
	if q.head > 0 && q.head*2 >= len(q.items) {
		n := copy(q.items, q.items[q.head:])
		clear(q.items[n:])
		q.items, q.head = q.items[:n], 0
	}
	q.items = append(q.items, r)
}

func (q *fifo) len() int { return len(q.items) - q.head }

func (q *fifo) peek() *request {
	for q.head < len(q.items) {
		if r := q.items[q.head]; !r.cancelled {
			return r
		}
		q.pop()
	}
	return nil
}

func (q *fifo) pop() {
	q.items[q.head] = nil
	q.head++
}

// popNewest removes and returns the newest waiter that is not cancelled, or
// returns nil if there is none.
func (q *fifo) popNewest() *request {
	for q.len() > 0 {
		last := len(q.items) - 1
		r := q.items[last]
		q.items = q.items[:last]
		if !r.cancelled {
			return r
		}
	}
	return nil
}

func (q *fifo) reset() {
	clear(q.items)
	q.items, q.head = q.items[:0], 0
}

// ring holds the customers with waiters in round-robin order. The customer at
// the index head is at the front.
type ring struct {
	items []*customer
	head  int
}

func (q *ring) front() *customer { return q.items[q.head] }

// push adds a customer at the end of the round, which is just before the front.
func (q *ring) push(c *customer) {
	q.items = append(q.items, nil)
	copy(q.items[q.head+1:], q.items[q.head:])
	q.items[q.head] = c
	q.head = (q.head + 1) % len(q.items)
}

func (q *ring) rotate() { q.head = (q.head + 1) % len(q.items) }

func (q *ring) removeFront() {
	q.items = append(q.items[:q.head], q.items[q.head+1:]...)
	if q.head == len(q.items) {
		q.head = 0
	}
}
