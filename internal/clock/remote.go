package clock

import "time"

// RemoteClock converts time stamps of one other machine to the local clock,
// rounding towards the past. The zero RemoteClock is ready for use. It is not safe
// for concurrent use.
type RemoteClock struct {
	// offset is a lower bound of the local clock minus the remote clock. It was
	// determined at the local time offsetAt.
	offset, offsetAt time.Duration
	hasOffset        bool
}

// EarliestLocal returns a local time that is not after the moment at which the other
// machine stamped its answer. The call was sent and its answer received at the given
// local times; stamp is the remote time in the answer.
func (r *RemoteClock) EarliestLocal(sent, received, stamp time.Duration) time.Duration {
	// The stamp was set after the call was sent, so the offset is at least
	// sent - stamp. Quick answers give a tight bound, long polls a loose one.
	bound := sent - stamp
	if r.hasOffset {
		// The clocks may have drifted apart since the old bound was determined.
		drifted := r.offset - (received-r.offsetAt)*driftMarginPercent/100
		bound = max(bound, drifted)
	}
	r.offset, r.offsetAt, r.hasOffset = bound, received, true
	return min(max(stamp+bound, sent), received)
}
