package backend

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against accounts that are kept for every customer that has ever used the server,
// and walked for every equal share.
func TestAccountsOfFormerCustomersAreDropped(t *testing.T) {
	for _, scheduling := range []Scheduling{LeastService, EarliestTarget} {
		h := newDispatcherHarness(Settings{Slots: 2, Connections: 12, Scheduling: scheduling})
		h.apply(h.d.Request(h.now, 1, Demand{Customer: "in transaction", Wait: longWait, Transaction: true}))
		h.completeOpensAndCloses()
		h.apply(h.d.Yield(h.now, 1))
		for id := RequestID(2); id < 500; id++ {
			h.apply(h.d.Request(h.now, id, Demand{Customer: fmt.Sprint(id), Wait: longWait}))
			h.completeOpensAndCloses()
			h.now += 100 * time.Millisecond
			h.apply(h.d.Finish(h.now, id, true))
			if id%10 == 0 {
				h.apply(h.d.DropIdle(h.now, 30*time.Second))
				h.completeOpensAndCloses()
			}
		}
		assert.Assert(t, len(h.d.accounts) < 150, "%d accounts", len(h.d.accounts))
		assert.Equal(t, h.d.accounts["in transaction"].heldConns, 1)
		h.now += time.Minute
		h.apply(h.d.DropIdle(h.now, 30*time.Second))
		h.completeOpensAndCloses()
		h.apply(h.d.DropIdle(h.now, 30*time.Second))
		assert.Equal(t, len(h.d.accounts), 1)
		h.apply(h.d.Finish(h.now, 1, true))
	}
}

// Guards against a customer that is freed of what it used by a pause shorter than that.
func TestAccountInDebtIsKept(t *testing.T) {
	h := newDispatcherHarness(Settings{Slots: 1, Connections: 12})
	h.apply(h.d.Request(h.now, 1, Demand{Customer: "a", Wait: longWait}))
	h.completeOpensAndCloses()
	h.now += time.Minute
	h.apply(h.d.Finish(h.now, 1, true))
	h.now += 50 * time.Second
	for range 2 {
		h.apply(h.d.DropIdle(h.now, 0))
		h.completeOpensAndCloses()
	}
	assert.Equal(t, len(h.d.accounts), 1)
	h.now += 20 * time.Second
	h.apply(h.d.DropIdle(h.now, 0))
	assert.Equal(t, len(h.d.accounts), 0)
}
