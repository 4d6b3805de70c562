package fleet

import "time"

// duty is one client with at most one request in flight.
type duty struct {
	call     uint64
	busy     bool
	sent     time.Duration
	next     time.Duration
	failures int
}

func (f *Fleet) due(d Duty, now time.Duration) bool {
	return !f.duties[d].busy && now >= f.duties[d].next
}

// send marks the duty as busy and emits the call.
func (f *Fleet) send(d Duty, now time.Duration, c StoreCall) {
	f.nextCall++
	x := &f.duties[d]
	x.busy, x.call, x.sent = true, f.nextCall, now
	c.Call, c.Duty = f.nextCall, d
	f.emit(c)
}

// done frees the duty with the call and reports which one it was.
func (f *Fleet) done(call uint64) (Duty, bool) {
	for d := range f.duties {
		if f.duties[d].busy && f.duties[d].call == call {
			f.duties[d].busy = false
			return Duty(d), true
		}
	}
	return 0, false
}

// succeed schedules the duty's next request an interval after the last one,
// with a tenth of jitter so that hosts do not synchronise.
func (f *Fleet) succeed(d Duty, interval time.Duration) {
	x := &f.duties[d]
	x.failures = 0
	x.next = x.sent + interval - time.Duration(f.rng.Int64N(int64(interval)/10+1))
}

// fail schedules a retry with exponential back-off and full jitter. The jitter
// spreads the first requests after an outage over the cap.
func (f *Fleet) fail(d Duty, now time.Duration) {
	x := &f.duties[d]
	limit := min(backoffBase<<min(x.failures, 10), f.backoffCap())
	x.failures++
	x.next = now + time.Duration(f.rng.Int64N(int64(limit)+1))
}

// backoffCap grows with the fleet, so that the retries of one duty stay under
// leasePerSecond for the whole fleet.
func (f *Fleet) backoffCap() time.Duration {
	return max(backoffCap, 2*renewInterval(f.hosts()))
}
