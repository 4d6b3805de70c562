package frontend

import (
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// readBudgetShare is the fraction of the latency target in which the first server
	// should answer a read. The rest is left for another attempt.
	readBudgetShare = 0.5
	// spillWaitShare is the wait for a slot, as a fraction of the latency target, that a
	// read accepts although another server may have a free slot.
	spillWaitShare = 0.2
)

func (o *operation) readDemand() routing.ReadDemand {
	return routing.ReadDemand{
		Priority: max(o.route.Priority, 0), Budget: time.Duration(readBudgetShare * float64(o.latencyTarget())),
	}
}

// readCandidates returns the candidates for a read. The caller must hold the frontend's
// lock.
func (o *operation) readCandidates(v routing.GroupView) []routing.Candidate {
	candidates, spill := o.orderReads(o.now(), o.s.f.loadOrder, v)
	if o.s.f.opt.RouteByLoad && o.attempts == 0 && len(candidates) > 0 {
		o.countOrder(candidates[0], spill)
	}
	return candidates
}

// orderReads returns the candidates for a read in the given order, and why it departs from
// that by zone. It changes nothing but the random state of the order. The caller must hold
// the frontend's lock.
func (o *operation) orderReads(now time.Duration, order *routing.LoadOrder, v routing.GroupView) ([]routing.Candidate, routing.Spill) {
	if !o.s.f.opt.RouteByLoad {
		return order.ByZone(now, v), routing.SpillNone
	}
	return order.ReadCandidates(now, v, o.readDemand())
}

// firstUntried returns the index of the first candidate that the operation would try, -1
// for none. The caller must hold the frontend's lock.
func (o *operation) firstUntried(candidates []routing.Candidate) int {
	return slices.IndexFunc(candidates, o.isUntried)
}

// countOrder counts why the first server was chosen and how old the knowledge of it is.
func (o *operation) countOrder(first routing.Candidate, spill routing.Spill) {
	f := o.s.f
	if spill != routing.SpillNone {
		f.opt.Counters.Add("reads_spilled_"+string(spill), 1)
	}
	if _, age, ok := f.opt.Loads.Get(o.now(), first.Server); ok {
		f.opt.Latencies.Record("load_age", age)
	} else {
		f.opt.Counters.Add("reads_load_unknown", 1)
	}
}

// isUntried reports whether the operation has not tried the server and the server does
// not lag. The caller must hold the frontend's lock.
func (o *operation) isUntried(c routing.Candidate) bool {
	return !o.triedServers[c.Server] && (c.Primary || !o.s.f.balancer.Lags(o.now(), c))
}

// limitWait limits the wait for a slot at the next server to what the candidates after
// it offer. The caller must hold the frontend's lock.
func (o *operation) limitWait(others []routing.Candidate) {
	f := o.s.f
	if !f.opt.RouteByLoad {
		return
	}
	var untried []routing.Candidate
	for _, c := range others {
		if o.isUntried(c) {
			untried = append(untried, c)
		}
	}
	target := float64(o.latencyTarget())
	o.waitLimit = f.loadOrder.WaitLimit(o.now(), untried, o.readDemand(), time.Duration(spillWaitShare*target), time.Duration(slotWaitShare*target))
}

// maxSlotWait returns the longest useful wait for a slot of the next server.
func (o *operation) maxSlotWait() time.Duration {
	if o.waitLimit > 0 {
		return o.waitLimit
	}
	return time.Duration(slotWaitShare * float64(o.latencyTarget()))
}

// isSpill reports whether a refusal moves a read to another server at no cost for the
// servers, so that it needs no retry budget. The number of servers bounds such moves.
func (o *operation) isSpill(e *verdict.Error) bool {
	return o.s.f.opt.RouteByLoad && e.Verdict == verdict.NotRun && (e.Reason == verdict.DeadlineExpected || e.Reason == verdict.QueueFull)
}

func (o *operation) recordSent(at time.Duration, c routing.Candidate) {
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadOrder.RecordSent(at, c.Server)
}
