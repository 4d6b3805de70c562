package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a role that is unavailable for a whole store outage, because its
// holder started to hand it over after its store calls had begun to fail.
func TestNoRebalancingInStoreOutage(t *testing.T) {
	const detectionTime = time.Second // hosts poll the configuration pointer every second
	for seed := range uint64(20) {
		s := newReadyFleet(t, seed, 3, 9, disabledGuards{})
		// Roles move back to restarted hosts once these have been live for
		// minLiveTimeForMove.
		for _, h := range s.hosts[:3] {
			s.kill(h)
		}
		s.advance(10 * time.Second)
		for _, h := range s.hosts[:3] {
			s.startProcess(h)
		}
		s.advance(minLiveTimeForMove - time.Second + time.Duration(seed)*200*time.Millisecond)
		s.storeDown = true
		s.advance(detectionTime)
		before := countReleasing(s)
		s.advance(10 * time.Second)
		assert.Equal(t, countReleasing(s), before, "seed %d", seed)
	}
}

// countReleasing counts the roles that their holders have stopped using for a
// hand-over.
func countReleasing(s *sim) int {
	n := 0
	for _, h := range s.hosts {
		for _, r := range h.f.roles.sorted {
			if r.releasing {
				n++
			}
		}
	}
	return n
}
