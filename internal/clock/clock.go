// Package clock reads the clock that every age a promise rests on is taken from.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start. It never goes back, and it
// goes on while the machine is suspended.
type Clock func() time.Duration

// Boot reads CLOCK_BOOTTIME. Go's own monotonic clock stands still while the
// machine is suspended, so a lease or the age of some knowledge measured with it
// would look younger than it is.
func Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel; without it no age is known.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// marginPercent bounds the difference in rate between the clocks of two hosts.
const marginPercent = 2

// Longer returns the duration that is at least d on every other host's clock.
func Longer(d time.Duration) time.Duration { return d + d*marginPercent/100 }

// Shorter returns the duration that is at most d on every other host's clock.
func Shorter(d time.Duration) time.Duration { return d * 100 / (100 + marginPercent) }
