package fleet

import "time"

// duty is the schedule of one Duty and its request in flight, if any.
type duty struct {
	call     uint64
	inFlight bool
	sentAt   time.Duration
	nextAt   time.Duration
	failures int
}

func (f *Fleet) isDue(d Duty, now time.Duration) bool {
	return !f.duties[d].inFlight && now >= f.duties[d].nextAt
}

// startStoreCall marks the duty as in flight and emits the store call.
func (f *Fleet) startStoreCall(d Duty, now time.Duration, c StoreCall) {
	f.nextCall++
	x := &f.duties[d]
	x.inFlight, x.call, x.sentAt = true, f.nextCall, now
	c.Call, c.Duty = f.nextCall, d
	f.emit(c)
}

// endCall marks the duty of the call as idle and returns the duty. It returns
// false for an unknown call.
func (f *Fleet) endCall(call uint64) (Duty, bool) {
	for d := range f.duties {
		if f.duties[d].inFlight && f.duties[d].call == call {
			f.duties[d].inFlight = false
			return Duty(d), true
		}
	}
	return 0, false
}

// scheduleNext schedules the duty's next request one interval after the last
// one, less a jitter of up to a tenth so that hosts do not synchronise.
func (f *Fleet) scheduleNext(d Duty, interval time.Duration) {
	x := &f.duties[d]
	x.failures = 0
	x.nextAt = x.sentAt + interval - time.Duration(f.rng.Int64N(int64(interval)/10+1))
}

// scheduleRetry schedules a retry with exponential backoff and full jitter. The
// jitter spreads the first requests after an outage over the maximum backoff.
func (f *Fleet) scheduleRetry(d Duty, now time.Duration) {
	x := &f.duties[d]
	limit := min(backoffBase<<min(x.failures, 10), f.maxBackoff())
	x.failures++
	x.nextAt = now + time.Duration(f.rng.Int64N(int64(limit)+1))
}

// maxBackoff returns the upper bound of the backoff. It grows with the fleet,
// so that the retries of one duty stay below maxWritesPerSecond for the whole
// fleet.
func (f *Fleet) maxBackoff() time.Duration {
	return max(minBackoffCap, 2*renewInterval(f.hostCount()))
}
