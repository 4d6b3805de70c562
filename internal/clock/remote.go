package clock

import "time"

// Remote converts the time at which another machine stamped an answer into the
// own clock. It errs on the early side. The zero Remote is ready for use.
type Remote struct {
	// offset is a lower bound of the own clock minus the remote one at the own
	// time at.
	offset, at time.Duration
	known      bool
}

// Before returns a time on the own clock that is not after the moment at which
// the answer to a call sent at the time was stamped.
func (r *Remote) Before(sent, received, stamp time.Duration) time.Duration {
	// The stamp was set after the call was sent, so that the offset is at least
	// this. Quick answers give a close bound, long polls a loose one.
	bound := sent - stamp
	if r.known {
		// The clocks may have drifted apart since the bound was found.
		old := r.offset - (received-r.at)*marginPercent/100
		bound = max(bound, old)
	}
	r.offset, r.at, r.known = bound, received, true
	return min(max(stamp+bound, sent), received)
}
