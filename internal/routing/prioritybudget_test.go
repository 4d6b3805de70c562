package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against failures of unimportant requests that use up the retries of urgent ones.
func TestLowPriorityLeavesRetriesToHigherOnes(t *testing.T) {
	taken := func(b *RetryBudget, priority int) (n float64) {
		for b.TakeRetryOf(0, priority) {
			n++
		}
		return n
	}
	b := NewRetryBudget()
	assert.Equal(t, taken(b, 9), maxSavedRetries/4)
	assert.Equal(t, taken(b, 2), maxSavedRetries/4)
	assert.Equal(t, taken(b, 1), maxSavedRetries/4)
	assert.Equal(t, taken(b, 0), maxSavedRetries/4)
	assert.Equal(t, taken(b, 0), 0.0)
}
