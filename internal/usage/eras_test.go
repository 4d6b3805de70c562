package usage

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Guards against counts of a row that a late write has brought into the next era, against the
// loss of those that this process has fixed, and against a skip that a second change of the
// era forgets.
func TestRecordOfEarlierEraTakesOnlyKnownCounts(t *testing.T) {
	s := Settings{Window: 5 * time.Second, Late: 10 * time.Second, Lease: 3 * time.Second, Machine: "a"}
	counts := func(w, n int64) []Counts { return []Counts{{Window: w, Requests: map[string]int64{"c": n}}} }
	read := Record{Era: 1, Epoch: 7, Machine: "b", Window: s.Window, Next: 10, Fixed: counts(9, 1)}
	const now = time.Hour
	fresh := NewMachine(s).recordOfEarlierEra(now, read, RowRead{})
	assert.Assert(t, len(fresh.Fixed) == 0 && fresh.Next == 10 && fresh.SkipEndedStore > now && fresh.QuietUntilStore > now+s.Lease)
	m := NewMachine(s)
	m.revision = store.NewRevision(1, 5)
	m.record = Record{Era: 1, Epoch: 8, Machine: "a", Window: s.Window, Next: 12, Fixed: counts(11, 2), SkipEndedStore: 2 * now}
	known := m.recordOfEarlierEra(now, read, RowRead{})
	assert.DeepEqual(t, known.Fixed, counts(11, 2))
	assert.Assert(t, known.Next == 12 && known.Machine == "a" && known.SkipEndedStore >= 2*now)
}
