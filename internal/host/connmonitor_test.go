package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replacing the connection to a slow host: every call in flight
// would fail and be retried, which makes the host slower still. In a fleet that had
// been enlarged, one such home host reduced the service by a third for the rest of
// the day.
func TestSlowHostKeepsConnection(t *testing.T) {
	var m connMonitor
	now := time.Minute
	for range 50 {
		now += 300 * time.Millisecond
		assert.Assert(t, !m.recordMissedHeartbeat("a", now))
		m.recordAnswer("a", now+200*time.Millisecond) // a statement is answered in between
	}
}

// Guards against calls that wait forever on a connection that no longer delivers
// answers.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var m connMonitor
	now := time.Minute
	m.recordAnswer("a", now)
	replacements := 0
	for range 6 {
		now += 300 * time.Millisecond
		if m.recordMissedHeartbeat("a", now) {
			replacements++
		}
	}
	assert.Assert(t, replacements >= 1 && replacements <= 3, "connection replaced %d times", replacements)
}
