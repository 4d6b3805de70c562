package bench

import (
	"slices"
	"time"
)

// bucket is an exact token bucket. It starts full.
type bucket struct {
	rate, burst, level float64
	last               time.Duration
}

// bucketSlack absorbs rounding of the floating-point level.
const bucketSlack = 1e-6

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst}
}

// take spends a token, or reports false and leaves the bucket as it is.
func (b *bucket) take(now time.Duration) bool {
	if now > b.last {
		b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
		b.last = now
	}
	if b.level < 1-bucketSlack {
		return false
	}
	b.level--
	return true
}

// overLimit replays admissions through one bucket and returns how many found
// it empty.
func overLimit(rate, burst float64, times []time.Duration) int {
	slices.Sort(times)
	b := newBucket(rate, burst)
	if len(times) > 0 {
		b.last = times[0]
	}
	over := 0
	for _, at := range times {
		if !b.take(at) {
			over++
		}
	}
	return over
}
