package usage

import (
	"sort"
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// maxCountedRequests bounds the requests that a Counter remembers: twice those of a host
// with 2,000 requests a second and the longest retention in use.
const maxCountedRequests = 1 << 17

// Ticket identifies a counted request.
type Ticket uint64

// Counter remembers when requests began to run at the backend servers of this host. It
// is safe for concurrent use. A nil Counter counts nothing.
type Counter struct {
	clock     clock.Clock
	retention time.Duration
	counters  *telemetry.Counters

	mu sync.Mutex
	// requests are ordered by their start. The ticket of requests[0] is first.
	requests []countedRequest
	first    Ticket
}

type countedRequest struct {
	at       time.Duration
	customer string
	notRun   bool
}

// NewCounter returns a Counter that remembers requests for the time retention.
func NewCounter(c clock.Clock, retention time.Duration, counters *telemetry.Counters) *Counter {
	return &Counter{clock: c, retention: retention, counters: counters}
}

// Begin counts a request that is being sent to a server.
func (c *Counter) Begin(customer string) Ticket {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.drop(now)
	c.requests = append(c.requests, countedRequest{at: now, customer: customer})
	return c.first + Ticket(len(c.requests)) - 1
}

// drop forgets the requests that are older than the retention, half of the slice or more
// at a time.
func (c *Counter) drop(now time.Duration) {
	old := c.search(now - c.retention)
	if full := len(c.requests) >= maxCountedRequests; full && old < len(c.requests)/2 {
		old = len(c.requests) / 2
		c.counters.Add("usage_requests_forgotten", int64(old))
	}
	if old == 0 || old < len(c.requests)/2 {
		return
	}
	c.requests = append([]countedRequest(nil), c.requests[old:]...)
	c.first += Ticket(old)
}

// search returns the index of the first request at or after a time.
func (c *Counter) search(at time.Duration) int {
	return sort.Search(len(c.requests), func(i int) bool { return c.requests[i].at >= at })
}

// NotRun records that the server did not run a request after all.
func (c *Counter) NotRun(t Ticket) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t >= c.first {
		c.requests[t-c.first].notRun = true
	}
}

// Count returns the requests by customer that began in [from, to).
func (c *Counter) Count(from, to time.Duration) map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int64{}
	for _, r := range c.requests[c.search(from):] {
		if r.at >= to {
			break
		}
		if !r.notRun {
			counts[r.customer]++
		}
	}
	return counts
}
