package bench

import (
	"slices"
	"time"
)

// tokenBucket is an exact token bucket: it holds fractions of tokens. It starts full.
type tokenBucket struct {
	rate, burst, tokens float64
	lastRefill          time.Duration
}

// roundingTolerance absorbs rounding errors of the number of tokens.
const roundingTolerance = 1e-6

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// take refills the bucket up to now and takes one token. It reports false if less than
// one token is available.
func (b *tokenBucket) take(now time.Duration) bool {
	if now > b.lastRefill {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.lastRefill).Seconds())
		b.lastRefill = now
	}
	if b.tokens < 1-roundingTolerance {
		return false
	}
	b.tokens--
	return true
}

// countOverLimit replays admission times through one token bucket and returns how many
// of the admissions exceed the limit. It sorts times.
func countOverLimit(rate, burst float64, times []time.Duration) int {
	slices.Sort(times)
	b := newTokenBucket(rate, burst)
	if len(times) > 0 {
		b.lastRefill = times[0]
	}
	over := 0
	for _, at := range times {
		if !b.take(at) {
			over++
		}
	}
	return over
}
