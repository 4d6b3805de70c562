package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a share that leaves out requests that were never sent, or that includes
// requests of other periods.
func TestServedShareCountsPeriod(t *testing.T) {
	at := func(scheduled time.Duration, o Outcome) Sample {
		return Sample{Scheduled: scheduled * time.Second, Outcome: o}
	}
	samples := []Sample{at(1, Refused), at(2, Served), at(3, Served), at(3, Unsent), at(3, Lost), at(4, Refused)}
	assert.Equal(t, servedShare(samples, 2*time.Second, 4*time.Second), 0.5)
}
