package soak

import (
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
)

// runCompoundEvent injects several faults at once that are harmless one by one.
func (r *run) runCompoundEvent(e Event) {
	zone := zones[e.Target%len(zones)]
	var wg sync.WaitGroup
	defer wg.Wait()
	if e.Kind != WithdrawKeyWhileStoreSilent {
		wg.Go(func() { r.replacePrimaries(e.Duration) })
	}
	for _, p := range r.processes {
		switch {
		case e.Kind == WithdrawKeyWhileStoreSilent:
			wg.Go(func() { setModeFor(p.storeRelay, faultnet.Silent, e.Duration) })
		case p.settings.Zone != zone:
		case e.Kind == ReplacePrimariesWhilePaused:
			wg.Go(func() { p.pause(e.Duration) })
		default:
			wg.Go(func() { setModeFor(p.peerRelay, faultnet.Silent, e.Duration) })
			wg.Go(func() { setModeFor(p.storeRelay, faultnet.Silent, e.Duration) })
		}
	}
	if e.Kind == WithdrawKeyWhileStoreSilent {
		r.runEvent(Event{Kind: WithdrawKey, Target: e.Target})
	}
}

// replacePrimaries drains the primaries of all groups so that they are replaced. Each
// old primary applies no further log entries from its replacement until
// faultSettleTime/2 after d has passed.
func (r *run) replacePrimaries(d time.Duration) {
	var wg sync.WaitGroup
	for _, g := range r.env.Groups {
		old := g.Primary()
		r.env.Register(g, old, "draining")
		wg.Go(func() {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(promotionTime / 10) {
				if g.Primary() != old {
					old.SetApplyPaused(true)
				}
			}
			time.Sleep(faultSettleTime / 2)
			old.SetApplyPaused(false)
			r.env.Register(g, old, "ready")
		})
	}
	wg.Wait()
}
