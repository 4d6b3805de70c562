package backend

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// minQuantum is the quantum before a service time was measured.
	minQuantum = time.Millisecond
	// maxDebt bounds, in quanta, how long a customer with long statements is
	// passed over, so that its wait stays bounded in rounds.
	maxDebt = 64
)

// customer is the queue and the account of one customer. Customers share the
// slots by deficit round robin in units of service time: a customer may start
// statements while its deficit is positive and gets one quantum a round. The
// cost is estimated at the start and corrected at the end, because it is only
// known then.
type customer struct {
	name    string
	starts  fifo // requests that need a connection
	resumes fifo // statements of open transactions
	// waiting counts the live waiters of both queues.
	waiting int
	// held counts the connections that the customer's requests hold.
	held int
	// deficit is the service time that the customer may still use this round;
	// negative when it is in debt.
	deficit time.Duration
	mean    time.Duration
	// left is the time at which the customer last had no waiter.
	left   time.Duration
	queued bool
}

// estimate is the expected service time of the customer's next statement.
func (c *customer) estimate(quantum time.Duration) time.Duration {
	if c.mean == 0 {
		return quantum
	}
	return c.mean
}

// charge takes service time from the deficit.
func (c *customer) charge(d, quantum time.Duration) {
	c.deficit = max(c.deficit-d, -maxDebt*quantum)
}

// quantum is the service time that a customer gets in one round.
func (s *Server) quantum() time.Duration { return max(s.mean, minQuantum) }

// customer returns the account of a customer.
func (s *Server) customer(name string) *customer {
	c, ok := s.customers[name]
	if !ok {
		c = &customer{name: name}
		s.customers[name] = c
	}
	return c
}

// forget drops the account of a customer that has neither waiters, connections
// nor debt.
func (s *Server) forget(c *customer) {
	if c.waiting == 0 && c.held == 0 && c.deficit >= 0 && !c.queued {
		delete(s.customers, c.name)
	}
}

// enqueue notes a new waiter of the customer.
func (s *Server) enqueue(now time.Duration, c *customer) {
	c.waiting++
	s.waiting++
	if c.queued {
		return
	}
	// Debt is paid off by the share of the server that the customer left to
	// others while it had no waiter; credit is not kept.
	share := (now - c.left) * time.Duration(s.slots()) / time.Duration(len(s.queue.items)+1)
	c.deficit = min(c.deficit+share, 0)
	c.queued = true
	s.queue.push(c)
}

// eligible returns the customer's next waiter that could run now.
func (s *Server) eligible(c *customer) *request {
	if r := c.resumes.peek(); r != nil {
		return r
	}
	r := c.starts.peek()
	if r == nil || len(s.idle) == 0 {
		return nil
	}
	if c.held >= s.pinCap() && s.off != guardPins {
		return nil
	}
	return r
}

// next takes the waiter that runs next out of the queue, nil when none can run.
func (s *Server) next(now time.Duration) *request {
	if s.waiting == 0 {
		s.clear(now)
		return nil
	}
	var blocked, indebted int
	for len(s.queue.items) > 0 {
		if blocked+indebted >= len(s.queue.items) {
			if indebted == 0 {
				return nil
			}
			s.skipRounds()
			blocked, indebted = 0, 0
		}
		c := s.queue.front()
		if c.waiting == 0 {
			s.leave(now, c)
			continue
		}
		r := s.eligible(c)
		switch {
		case r == nil:
			blocked++
			s.queue.rotate()
		case s.expired(now, r):
			blocked, indebted = 0, 0
		case c.deficit > 0 || s.off == guardFairness:
			s.take(c, r)
			return r
		default:
			indebted++
			c.deficit += s.quantum()
			s.queue.rotate()
			if c.deficit > 0 {
				// It gets its turn when the round comes back to it.
				blocked, indebted = 0, 0
			}
		}
	}
	return nil
}

// expired refuses a waiter whose deadline has passed.
func (s *Server) expired(now time.Duration, r *request) bool {
	if r.deadline > now {
		return false
	}
	s.refuseWaiter(r, verdict.DeadlineExceeded)
	return true
}

// take removes the head of the customer's queue.
func (s *Server) take(c *customer, r *request) {
	if r.state == waitsForSlot {
		c.resumes.pop()
	} else {
		c.starts.pop()
	}
}

// skipRounds passes as many rounds as the least indebted eligible customer
// needs, so that the cost of next does not grow with the debts.
func (s *Server) skipRounds() {
	quantum := s.quantum()
	rounds := time.Duration(maxDebt)
	for _, c := range s.queue.items {
		if c.waiting > 0 && s.eligible(c) != nil {
			rounds = min(rounds, -c.deficit/quantum+1)
		}
	}
	for _, c := range s.queue.items {
		if c.waiting > 0 && s.eligible(c) != nil {
			c.deficit += rounds * quantum
		}
	}
}

// leave takes the customer at the front, which has no waiter, out of the round.
func (s *Server) leave(now time.Duration, c *customer) {
	s.queue.remove()
	c.queued, c.left = false, now
	c.deficit = min(c.deficit, 0)
	c.starts.reset()
	c.resumes.reset()
	s.forget(c)
}

// clear takes every customer out of the round.
func (s *Server) clear(now time.Duration) {
	for len(s.queue.items) > 0 {
		s.leave(now, s.queue.front())
	}
}

// expectedWait estimates how long a new request of the customer waits: the work
// that the customer has queued, and as much of every other customer's work as
// the rounds serve before it.
func (s *Server) expectedWait(c *customer) time.Duration {
	if s.running < s.slots() || s.mean == 0 {
		return 0
	}
	own := time.Duration(c.waiting) * c.estimate(s.mean)
	turn := own + c.estimate(s.mean) + max(-c.deficit, 0)
	ahead := own
	for _, o := range s.queue.items {
		if o != c {
			ahead += min(time.Duration(o.waiting)*o.estimate(s.mean), turn)
		}
	}
	return ahead / time.Duration(s.slots())
}

// pushOut makes room for a waiter of the customer by refusing the newest waiter
// of the customer with the longest queue. It returns false if that is the
// customer itself.
func (s *Server) pushOut(c *customer) bool {
	longest := c
	for _, o := range s.queue.items {
		if o.starts.len() > longest.starts.len() {
			longest = o
		}
	}
	if longest == c {
		return false
	}
	r := longest.starts.popNewest()
	if r == nil {
		return false
	}
	s.refuseWaiter(r, verdict.QueueFull)
	return true
}

// fifo is a queue of waiters. Cancelled ones are dropped when they reach an end.
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

// popNewest removes the newest live waiter.
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

// ring holds the customers with waiters in the order of the round.
type ring struct {
	items []*customer
	at    int
}

func (q *ring) front() *customer { return q.items[q.at] }

// push adds a customer at the end of the round.
func (q *ring) push(c *customer) {
	q.items = append(q.items, nil)
	copy(q.items[q.at+1:], q.items[q.at:])
	q.items[q.at] = c
	q.at = (q.at + 1) % len(q.items)
}

func (q *ring) rotate() { q.at = (q.at + 1) % len(q.items) }

// remove takes the customer at the front out.
func (q *ring) remove() {
	q.items = append(q.items[:q.at], q.items[q.at+1:]...)
	if q.at == len(q.items) {
		q.at = 0
	}
}
