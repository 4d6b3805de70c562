package backend

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against an idle server that refuses every request of a little used customer,
// because its connection opens in no less than the useful wait.
func TestRequestIsKeptWhileItsConnectionIsOpening(t *testing.T) {
	for _, slots := range []int{1, 4} {
		h := newDispatcherHarness(Settings{Slots: slots, Connections: 12, Scheduling: EarliestTarget})
		for id := RequestID(1); id <= 3; id++ {
			h.apply(h.d.Request(h.now, id, Demand{
				Customer: "a", Wait: 30 * time.Millisecond, Target: h.now + 20*time.Millisecond, Deadline: h.now + time.Second,
			}))
			h.now += 30 * time.Millisecond
			h.apply(h.d.Recheck(h.now))
			h.now += time.Millisecond
			h.completeOpensAndCloses()
			assert.Assert(t, h.running[id], "request %d refused: %s", id, h.refused[id])
			h.now += 10 * time.Millisecond
			h.apply(h.d.Finish(h.now, id, true))
			h.now += 40 * time.Second
			h.apply(h.d.DropIdle(h.now, 30*time.Second))
			h.completeOpensAndCloses()
		}
	}
}

// Guards against a request that waits for its deadline at a server that does not accept
// connections, or whose slots others use.
func TestRequestIsNotKeptForAnOverdueOpeningOrWithoutSlots(t *testing.T) {
	demand := Demand{Customer: "a", Wait: 30 * time.Millisecond, Target: 20 * time.Millisecond, Deadline: time.Second}
	h := newDispatcherHarness(Settings{Slots: 4, Connections: 12, Scheduling: EarliestTarget})
	h.apply(h.d.Request(h.now, 1, demand))
	h.now += overdueOpening
	h.apply(h.d.Recheck(h.now))
	assert.Equal(t, h.refused[1], verdict.DeadlineExceeded)

	h = newDispatcherHarness(Settings{Slots: 1, Connections: 12, Scheduling: EarliestTarget})
	h.apply(h.d.Request(h.now, 1, demand))
	urgent := Demand{Customer: "b", Wait: time.Hour, Deadline: time.Hour}
	demand.Priority = 1
	h.apply(h.d.Request(h.now, 2, urgent))
	h.apply(h.d.Request(h.now, 3, urgent))
	h.now += 30 * time.Millisecond
	h.apply(h.d.Recheck(h.now))
	assert.Equal(t, h.refused[1], verdict.DeadlineExceeded)
	assert.Equal(t, h.d.contention.counts.Expired, uint64(1))
}
