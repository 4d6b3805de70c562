// Package clock provides the clock for leases, ages and other durations on which
// guarantees depend. Boot reads it, AddDriftMargin and SubtractDriftMargin allow for
// the drift between the clocks of two hosts, and RemoteClock converts time stamps of
// another machine.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start. It is monotonic and includes
// the time during which the machine is suspended.
type Clock func() time.Duration

// Boot reads CLOCK_BOOTTIME. Go's own monotonic clock stops while the machine is
// suspended, so a lease or cached data measured with it would look younger than it
// is. Boot panics if the clock cannot be read.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel; without it no age can be
		// determined.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// driftMarginPercent is the maximum difference in rate between the clocks of two
// hosts.
const driftMarginPercent = 2

// AddDriftMargin returns d extended by the drift margin. When that time has passed
// on this host's clock, at least d has passed on every other host's clock.
func AddDriftMargin(d time.Duration) time.Duration { return d + d*driftMarginPercent/100 }

// SubtractDriftMargin returns d reduced by the drift margin. When that time has
// passed on this host's clock, at most d has passed on every other host's clock.
func SubtractDriftMargin(d time.Duration) time.Duration { return d * 100 / (100 + driftMarginPercent) }
