package admission

import (
	"math"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
)

const (
	// window is the time constant over which requests and acceptances are counted.
	window = time.Second
	// acceptMargin is the multiple of the recently accepted requests that is sent on, so
	// that a home host gets more than it served and room that becomes free is found.
	acceptMargin = 2.0
	// minServerRefused and minCustomerRefused are the numbers of recent refusals by a
	// server, or of a customer, that have no effect. The former is small because all entry
	// hosts together must not overload the home host with requests that it refuses.
	minServerRefused   = 1.0
	minCustomerRefused = 3.0
	// maxLoadAge is the age up to which a reported load is used. Heartbeats report loads
	// every 300 ms.
	maxLoadAge = 500 * time.Millisecond
	// maxKeys limits the counts that are kept. Beyond it, counts that have decayed are
	// removed.
	maxKeys = 4096
)

// Request is a request that is about to be sent to the home host of a server.
type Request struct {
	Server, Customer string
	Priority         int
	// Transaction is set for a request that opens a transaction.
	Transaction bool
	// Wait is the longest useful wait for a slot.
	Wait time.Duration
	// Load is the newest known load of the server and LoadAge its age; LoadKnown is false
	// if there is none.
	Load      serverload.Load
	LoadAge   time.Duration
	LoadKnown bool
}

// key names requests that are counted together: those of a priority at a server, or those
// of a priority and a customer. Transactions count separately, since they may be refused
// for want of connections while single statements are served.
type key struct {
	server, customer string
	priority         int
	transaction      bool
}

// counts are the decaying numbers of requests and of those that home hosts accepted.
type counts struct {
	requests, accepted float64
	at                 time.Duration
}

// excessShare returns the share of further requests that should not be sent, when so many
// refusals have no effect.
func (c *counts) excessShare(without float64) float64 {
	return max(c.requests-acceptMargin*c.accepted-without, 0) / (c.requests + 1)
}

// Throttle counts requests and refuses those that a home host would most likely refuse.
// It is not safe for concurrent use.
type Throttle struct {
	counts map[key]*counts
}

// NewThrottle returns a Throttle that refuses nothing yet.
func NewThrottle() *Throttle { return &Throttle{counts: map[key]*counts{}} }

func keysOf(r Request) (server, customer key) {
	k := key{priority: r.Priority, transaction: r.Transaction}
	server, customer = k, k
	server.server, customer.customer = r.Server, r.Customer
	return server, customer
}

func (t *Throttle) both(now time.Duration, r Request) (server, customer *counts) {
	serverKey, customerKey := keysOf(r)
	return t.get(now, serverKey), t.get(now, customerKey)
}

// Admit reports whether to send a request and counts it if not. random is in [0, 1).
//
// A request is refused in proportion to the refusals of its server and of its customer,
// whichever are fewer, so that a customer within its share is not refused for the surge
// of another. While the server reports that no further request of the priority can be
// served in time, the refusals of the server alone count. While it reports a free slot,
// every request is sent.
func (t *Throttle) Admit(now time.Duration, r Request, random float64) bool {
	if random >= t.RefusedShare(now, r) {
		return true
	}
	server, customer := t.both(now, r)
	server.requests++
	customer.requests++
	return false
}

// RefusedShare returns the share of such requests that Admit refuses. It counts nothing.
func (t *Throttle) RefusedShare(now time.Duration, r Request) float64 {
	recent := r.LoadKnown && r.LoadAge <= maxLoadAge
	if recent && r.Load.Waiting == 0 && r.Load.Running < r.Load.Slots {
		return 0
	}
	serverKey, customerKey := keysOf(r)
	server, customer := t.peek(now, serverKey), t.peek(now, customerKey)
	refuse := server.excessShare(minServerRefused)
	if !recent || r.Load.ExpectedWait(r.Priority) <= r.Wait {
		refuse = min(refuse, customer.excessShare(minCustomerRefused))
	}
	return refuse
}

// Record counts the answer to a request that was sent. accepted is false if the home host
// refused it because it could not serve it in time. Requests without an answer are not
// counted: they are no refusals.
func (t *Throttle) Record(now time.Duration, r Request, accepted bool) {
	server, customer := t.both(now, r)
	for _, c := range []*counts{server, customer} {
		c.requests++
		if accepted {
			c.accepted++
		}
	}
}

func (t *Throttle) get(now time.Duration, k key) *counts {
	c, ok := t.counts[k]
	if !ok {
		if len(t.counts) >= maxKeys {
			t.removeDecayed(now)
		}
		c = &counts{at: now}
		t.counts[k] = c
	}
	*c = c.decayed(now)
	return c
}

// peek returns the counts of a key without changing them.
func (t *Throttle) peek(now time.Duration, k key) counts {
	if c, ok := t.counts[k]; ok {
		return c.decayed(now)
	}
	return counts{at: now}
}

func (c *counts) decayed(now time.Duration) counts {
	f := math.Exp(-float64(now-c.at) / float64(window))
	return counts{requests: c.requests * f, accepted: c.accepted * f, at: now}
}

func (t *Throttle) removeDecayed(now time.Duration) {
	for k, c := range t.counts {
		if now-c.at > 4*window {
			delete(t.counts, k)
		}
	}
}
