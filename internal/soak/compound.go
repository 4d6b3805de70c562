package soak

import (
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
)

// compoundEvent brings troubles about that only matter together.
func (r *run) compoundEvent(e Event) {
	zone := zones[e.Target%len(zones)]
	var wg sync.WaitGroup
	defer wg.Wait()
	if e.Kind != WithdrawUnseen {
		wg.Go(func() { r.overtake(e.For) })
	}
	for _, p := range r.processes {
		switch {
		case e.Kind == WithdrawUnseen:
			wg.Go(func() { during(p.store, faultnet.Silent, e.For) })
		case p.settings.Zone != zone:
		case e.Kind == OvertakePaused:
			wg.Go(func() { p.pause(e.For) })
		default:
			wg.Go(func() { during(p.peers, faultnet.Silent, e.For) })
			wg.Go(func() { during(p.store, faultnet.Silent, e.For) })
		}
	}
	if e.Kind == WithdrawUnseen {
		r.event(Event{Kind: WithdrawKey, Target: e.Target})
	}
}

// overtake has the primaries of all groups replaced. The old ones receive nothing
// until some time after the end.
func (r *run) overtake(d time.Duration) {
	var wg sync.WaitGroup
	for _, g := range r.world.Groups {
		old := g.Primary()
		r.world.Register(g, old, "draining")
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(promotion / 10) {
				if g.Primary() != old {
					old.SetStuck(true)
				}
			}
			time.Sleep(sound / 2)
			old.SetStuck(false)
			r.world.Register(g, old, "ready")
		})
	}
	wg.Wait()
}
