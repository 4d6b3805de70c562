package host

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against replacing the connection to a host that is slow: every call in
// flight fails, is repeated, and the host gets slower. A grown fleet with one such
// home host lost a third of its service for the rest of the day.
func TestSlowHostKeepsItsConnection(t *testing.T) {
	var l links
	now := time.Minute
	for range 50 {
		now += 300 * time.Millisecond
		assert.Assert(t, !l.silent("a", now))
		l.answered("a", now+200*time.Millisecond) // a statement was answered meanwhile
	}
}

// Guards against calls that wait on a silent connection for ever.
func TestSilentConnectionIsReplaced(t *testing.T) {
	var l links
	now := time.Minute
	l.answered("a", now)
	replaced := 0
	for range 6 {
		now += 300 * time.Millisecond
		if l.silent("a", now) {
			replaced++
		}
	}
	assert.Assert(t, replaced >= 1 && replaced <= 3, "%d times", replaced)
}
