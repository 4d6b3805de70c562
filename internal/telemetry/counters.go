package telemetry

import (
	"expvar"
	"sync"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Counters holds the counters of one host. They are not package-level variables,
// because one process can run several hosts.
type Counters struct {
	root     *expvar.Map
	refusals *expvar.Map
	retries  *expvar.Map
}

// NewCounters returns counters in which every reason for refusals and retries is
// present at zero.
func NewCounters() *Counters {
	c := &Counters{
		root:     new(expvar.Map).Init(),
		refusals: new(expvar.Map).Init(),
		retries:  new(expvar.Map).Init(),
	}
	c.root.Set("refusals", c.refusals)
	c.root.Set("retries", c.retries)
	for _, r := range verdict.Reasons() {
		c.refusals.Add(string(r), 0)
		c.retries.Add(string(r), 0)
	}
	return c
}

// CountRefusal counts one request that was refused or failed for the given reason.
func (c *Counters) CountRefusal(r verdict.Reason) { c.refusals.Add(string(r), 1) }

// CountRetry counts one automatic retry for the given reason.
func (c *Counters) CountRetry(r verdict.Reason) { c.retries.Add(string(r), 1) }

// Add adds delta to the named counter, which it creates if necessary.
func (c *Counters) Add(name string, delta int64) { c.root.Add(name, delta) }

// Get returns the value of the named counter, 0 if it does not exist.
func (c *Counters) Get(name string) int64 {
	if v, ok := c.root.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Refusals returns the number of requests that were refused or failed for the
// given reason.
func (c *Counters) Refusals(r verdict.Reason) int64 { return counterValue(c.refusals, r) }

// Retries returns the number of automatic retries for the given reason.
func (c *Counters) Retries(r verdict.Reason) int64 { return counterValue(c.retries, r) }

func counterValue(m *expvar.Map, r verdict.Reason) int64 {
	if v, ok := m.Get(string(r)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as JSON, in expvar's format.
func (c *Counters) String() string { return c.root.String() }

var publishOnce sync.Once

// Publish registers the counters with expvar, which serves them under /debug/vars.
// Only the first call in a process has an effect, because expvar names are global.
func (c *Counters) Publish() {
	publishOnce.Do(func() { expvar.Publish("cranberryhinge", c.root) })
}
