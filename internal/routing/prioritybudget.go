package routing

import "time"

// retryReserve is the share of the saved retries that each priority leaves to the
// priorities above it, up to maxRetryReserve.
const (
	retryReserve    = 0.25
	maxRetryReserve = 0.75
)

// TakeRetryOf takes one retry of a request of the given priority and reports whether one
// was available. Lower priorities may not use the last part of the saved retries, so that
// their failures leave retries for more urgent requests.
func (b *RetryBudget) TakeRetryOf(now time.Duration, priority int) bool {
	reserve := min(retryReserve*float64(max(priority, 0)), maxRetryReserve) * maxSavedRetries
	b.tokens -= reserve
	ok := b.TakeRetry(now)
	b.tokens = min(b.tokens+reserve, maxSavedRetries)
	return ok
}
