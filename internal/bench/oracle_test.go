package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a check that cannot fail. Each constructed history violates at most one
// guarantee, and the oracle must report exactly that violation.
func TestOracleFindsEachViolation(t *testing.T) {
	const s = time.Second
	write := func(seq int, sent, done time.Duration, o Outcome) Write {
		return Write{Group: "g", Key: "k", Seq: seq, Session: 1, Sent: sent, Done: done, Outcome: o}
	}
	read := func(session, seq int, sent, coveredUntil, bound time.Duration) Read {
		return Read{Group: "g", Key: "k", Seq: seq, Session: session, Sent: sent, Done: sent, CoveredUntil: coveredUntil, Bound: bound}
	}
	one, two := write(1, 0, s, Served), write(2, 2*s, 3*s, Served)
	tests := []struct {
		name   string
		writes []Write
		reads  []Read
		value  string
		log    []string
		want   Findings
	}{
		{"no violation", []Write{one, two}, []Read{read(2, 1, 4*s, 0, 2*s)}, "k#2", []string{"k#1", "k#2"}, Findings{Reads: 1, Acked: 2}},
		{"acknowledged write missing", []Write{one, two}, nil, "k#1", []string{"k#1"}, Findings{Acked: 2, Lost: 1}},
		{"value overwritten by an older one", []Write{one, two}, nil, "k#1", []string{"k#1", "k#2"}, Findings{Acked: 2, Lost: 1}},
		{"acknowledged write ran twice", []Write{one}, nil, "k#1", []string{"k#1", "k#1"}, Findings{Acked: 1, Duplicates: 1}},
		{"write with unknown outcome ran twice", []Write{write(1, 0, s, Unknown)}, nil, "k#1", []string{"k#1", "k#1"}, Findings{Duplicates: 1}},
		{"write with unknown outcome ran once", []Write{write(1, 0, s, Unknown)}, nil, "k#1", []string{"k#1"}, Findings{}},
		{"value never sent", nil, nil, "k#9", []string{"k#9"}, Findings{Duplicates: 1}},
		{"refused write ran", []Write{write(1, 0, s, Refused)}, nil, "k#1", []string{"k#1"}, Findings{FalseNotRun: 1}},
		{"read misses own write", []Write{one}, []Read{read(1, 0, s, 0, time.Hour)}, "k#1", []string{"k#1"}, Findings{Reads: 1, Acked: 1, Stale: 1}},
		{"read older than the staleness bound", []Write{one, two}, []Read{read(2, 1, 5*s, 0, s)}, "k#2", []string{"k#1", "k#2"}, Findings{Reads: 1, Acked: 2, Stale: 1}},
		{"read older than the session's token", []Write{one, two}, []Read{read(2, 1, 4*s, 3*s, time.Hour)}, "k#2", []string{"k#1", "k#2"}, Findings{Reads: 1, Acked: 2, Stale: 1}},
		{"read misses a covered write of its customer", []Write{one, two}, []Read{{Group: "g", Key: "k", Seq: 1, Session: 2, Sent: 4 * s, OwnCustomerCoveredUntil: 3 * s, Bound: time.Hour}}, "k#2", []string{"k#1", "k#2"}, Findings{Reads: 1, Acked: 2, Stale: 1}},
		{"read misses another customer's write within the bound", []Write{one, two}, []Read{{Group: "g", Key: "k", Customer: "other", Seq: 1, Session: 2, Sent: 4 * s, OwnCustomerCoveredUntil: 3 * s, Bound: time.Hour}}, "k#2", []string{"k#1", "k#2"}, Findings{Reads: 1, Acked: 2}},
		{"read returns the value of another key", []Write{one}, []Read{read(2, -1, 4*s, 0, s)}, "k#1", []string{"k#1"}, Findings{Reads: 1, Acked: 1, Stale: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var h History
			for _, w := range test.writes {
				h.AddWrite(w)
			}
			for _, r := range test.reads {
				h.AddRead(r)
			}
			got := h.Check(map[string]Contents{"g": {Values: map[string]string{"k": test.value}, Log: test.log}})
			assert.Equal(t, len(got.Examples) > 0, got.Lost+got.Duplicates+got.Stale+got.FalseNotRun > 0)
			got.Examples = nil
			assert.DeepEqual(t, got, test.want)
		})
	}
}

// Guards against a gap that seems shorter because writes of other groups or attempts
// without an acknowledgement count.
func TestLongestWriteGapCountsAcknowledgedWrites(t *testing.T) {
	var h History
	for _, w := range []Write{
		{Group: "g", Done: 1 * time.Second},
		{Group: "g", Done: 2 * time.Second, Outcome: Unknown},
		{Group: "other", Done: 3 * time.Second},
		{Group: "g", Done: 5 * time.Second},
	} {
		h.AddWrite(w)
	}
	gap, end := h.longestWriteGap("g", 0, 6*time.Second)
	assert.Equal(t, gap, 4*time.Second)
	assert.Equal(t, end, 5*time.Second)
}
