package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a role that is put out of use for the length of a store outage,
// because a host that knows that the store fails starts to hand it over.
func TestNoSpreadingMoveInStoreOutage(t *testing.T) {
	const noticed = time.Second // hosts poll the configuration pointer each second
	for seed := range uint64(20) {
		s := ready(t, seed, 3, 9, guards{})
		// Roles move back to hosts that return, once those have been live for a while.
		for _, h := range s.hosts[:3] {
			s.kill(h)
		}
		s.advance(10 * time.Second)
		for _, h := range s.hosts[:3] {
			s.boot(h)
		}
		s.advance(settleTime - time.Second + time.Duration(seed)*200*time.Millisecond)
		s.storeDown = true
		s.advance(noticed)
		before := releasing(s)
		s.advance(10 * time.Second)
		assert.Equal(t, releasing(s), before, "seed %d", seed)
	}
}

// releasing counts the roles that their holders have put out of use.
func releasing(s *sim) int {
	n := 0
	for _, h := range s.hosts {
		for _, r := range h.f.roles.order {
			if r.releasing {
				n++
			}
		}
	}
	return n
}
