package customer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// restartedRun is a faultyRun in which the processes of minters end and are replaced. The
// successor mints from a time that is early before its predecessor ended at the latest; 0
// is the rule, and a test may break it.
func restartedRun(seed uint64, limit Limit, zones, hosts int, early time.Duration) *model {
	const length = 4 * time.Second
	m := newModel(seed, limit, zones, hosts, allProtections)
	m.lossyNetwork = true
	for t := time.Duration(0); t < length; t += time.Duration(50+m.rng.IntN(600)) * time.Millisecond {
		m.burst(t)
	}
	for range 1 + m.rng.IntN(5) {
		first, all := m.rng.IntN(zones), m.rng.IntN(2) == 0
		down := time.Duration(m.rng.IntN(300)) * time.Millisecond
		m.scheduleAt(time.Duration(m.rng.Int64N(int64(length))), func() {
			for i, zone := range m.zones {
				if all || i == first {
					m.restartMinter(zone, down, early)
				}
			}
		})
	}
	m.runUntil(length)
	return m
}

// restartMinter ends the minter of a zone, sets another one in its place after the time
// down, and dates that one by the end of the first.
func (m *model) restartMinter(zone string, down, early time.Duration) {
	ended, share := m.now, m.limit.Share(len(m.zones))
	old := m.minters[zone]
	if old.limit == (Limit{}) {
		return // the next process has not started yet
	}
	next := old.nextGrant + 1_000
	m.minters[zone] = NewMinter(Limit{}, ended, next) // grants nothing
	m.scheduleAt(ended+down, func() {
		m.minters[zone] = NewMinter(share, ended-early, next+1_000)
	})
}

// Guards against the admission of more than the limit in any window after restarts of
// single minters and of all at once, while hosts still hold grants of the processes that
// have ended.
// A longer run: go test ./internal/customer -run RestartedMinters -rapid.checks=5000
func TestRestartedMintersKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{
			Rate:  float64(rapid.IntRange(5, 200).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(1, 100).Draw(t, "burst")),
		}
		zones := rapid.IntRange(1, 5).Draw(t, "zones")
		m := restartedRun(rapid.Uint64().Draw(t, "seed"), limit, zones, rapid.IntRange(1, 9).Draw(t, "hosts"), 0)
		if exceedsLimit(m.admitted, limit) {
			t.Fatalf("%d admitted over the limit", len(m.admitted))
		}
	})
}

// Guards against an oracle that cannot fail: a minter that mints from half a second before
// its predecessor ended must exceed the limit within 400 runs.
func TestOracleDetectsMinterDatedTooEarly(t *testing.T) {
	limit := Limit{Rate: 200, Burst: 20}
	for seed := range uint64(400) {
		if exceedsLimit(restartedRun(seed, limit, 1, 3, 500*time.Millisecond).admitted, limit) {
			return
		}
	}
	t.Fatal("the oracle found no excess")
}

// Guards, for the load pattern of callers that repeat their requests while all minters
// start anew, against refusals of a customer within its rate: the minters are down for
// 0.2 s and mint from their predecessors' end. What they cannot mint within the wait is
// still refused.
func TestRequestsWaitForRestartedMinters(t *testing.T) {
	limit := Limit{Rate: 40, Burst: 20}
	run := func(wait, late time.Duration) (admitted, refused int) {
		m := newModel(11, limit, 3, 33, allProtections)
		m.runUntil(time.Second)
		for _, zone := range m.zones {
			m.restartMinter(zone, 200*time.Millisecond, -late)
		}
		for at := time.Second; at < 2*time.Second; at += time.Second / 30 {
			h := m.spenders[m.rng.IntN(len(m.spenders))]
			h.spender.SetTimeouts(60*time.Millisecond, 30*time.Millisecond)
			m.scheduleAt(at, func() {
				h.nextID++
				id := h.nextID
				m.deliver(h, 0, func() []Action { return h.spender.AddPatientRequest(m.now, id, wait) })
			})
		}
		m.runUntil(3 * time.Second)
		return len(m.admitted), m.refused
	}
	_, refusedBefore := run(60*time.Millisecond, 200*time.Millisecond)
	admitted, refused := run(400*time.Millisecond, 0)
	t.Logf("refused %d before, %d now; admitted %d", refusedBefore, refused, admitted)
	assert.Assert(t, refusedBefore >= 8, "the load does not show the failure")
	assert.Assert(t, refused <= refusedBefore/2)
}
