package telemetry

import (
	"expvar"
	"sync"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Counters holds one host's counters. Several hosts can live in one process, so
// that counters are not package-level variables.
type Counters struct {
	root     *expvar.Map
	refusals *expvar.Map
	retries  *expvar.Map
}

// NewCounters returns counters with every refusal and retry reason at zero.
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

// Refused counts a request that was refused or failed for the reason.
func (c *Counters) Refused(r verdict.Reason) { c.refusals.Add(string(r), 1) }

// Retried counts an automatic retry for the reason.
func (c *Counters) Retried(r verdict.Reason) { c.retries.Add(string(r), 1) }

// Add adds to a named counter.
func (c *Counters) Add(name string, delta int64) { c.root.Add(name, delta) }

// Get returns a named counter's value.
func (c *Counters) Get(name string) int64 {
	if v, ok := c.root.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// RefusedFor returns the number of refusals for a reason.
func (c *Counters) RefusedFor(r verdict.Reason) int64 { return intOf(c.refusals, r) }

// RetriedFor returns the number of retries for a reason.
func (c *Counters) RetriedFor(r verdict.Reason) int64 { return intOf(c.retries, r) }

func intOf(m *expvar.Map, r verdict.Reason) int64 {
	if v, ok := m.Get(string(r)).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// String returns the counters as JSON, in the form of expvar.
func (c *Counters) String() string { return c.root.String() }

var publishOnce sync.Once

// Publish exposes the counters under expvar's /debug/vars. Only the first call
// in a process has an effect, because expvar names are global.
func (c *Counters) Publish() {
	publishOnce.Do(func() { expvar.Publish("cranberryhinge", c.root) })
}
