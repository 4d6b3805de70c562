package customer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortenTimeouts sets the timeouts that entry hosts of the line protocol use.
func (m *model) shortenTimeouts() {
	for _, h := range m.spenders {
		h.spender.SetTimeouts(60*time.Millisecond, 30*time.Millisecond)
	}
}

// arriveAtRate lets requests of the customer arrive at random hosts.
func (m *model) arriveAtRate(from, to time.Duration, rate float64) (sent int) {
	for at := from; at < to; at += time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second)) {
		h := m.spenders[m.rng.IntN(len(m.spenders))]
		m.scheduleAt(at, func() { m.arrive(h) })
		sent++
	}
	return sent
}

// Load: one customer sends 6.6 times its rate through 90 hosts. Guards against hosts that
// ask every zone for tokens in a loop, and against tokens that nobody fetches.
func TestHotCustomerOnManyHosts(t *testing.T) {
	const length = 10 * time.Second
	limit := Limit{Rate: 40, Burst: 20}
	m := newModel(1, limit, 4, 90, allProtections)
	m.shortenTimeouts()
	sent := m.arriveAtRate(0, length, 6.6*limit.Rate)
	m.runUntil(length + time.Second)
	t.Logf("%d arrived, %d admitted, %d calls of minters", sent, len(m.admitted), m.minterCalls)
	assert.Assert(t, float64(len(m.admitted)) >= 0.97*limit.Rate*length.Seconds())
	assert.Assert(t, !exceedsLimit(m.admitted, limit))
	assert.Assert(t, m.minterCalls <= 8*sent)
}

// Load: a customer uses 0.8 of its rate through 90 hosts. Guards against refusals within
// the rate, and against more than one call of a minter for nearly every request.
func TestCustomerWithinItsRateOnManyHosts(t *testing.T) {
	const length = 20 * time.Second
	limit := Limit{Rate: 40, Burst: 20}
	m := newModel(2, limit, 4, 90, allProtections)
	m.shortenTimeouts()
	m.runUntil(time.Second)
	sent := m.arriveAtRate(time.Second, length, 0.8*limit.Rate)
	m.runUntil(length + time.Second)
	t.Logf("%d arrived, %d refused, %d calls of minters", sent, m.refused, m.minterCalls)
	assert.Assert(t, m.refused <= sent/100)
	assert.Assert(t, m.minterCalls <= 2*sent)
}
