package bench

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"
)

// Guards against a refusal that is classified as an unknown outcome, and the reverse.
// Only 08007 and a missing answer leave the outcome unknown.
func TestClassifyDerivesOutcomeFromError(t *testing.T) {
	tests := []struct {
		err  error
		want result
	}{
		{nil, result{outcome: Served}},
		{&pgconn.PgError{Code: "08007", Severity: "ERROR", Message: "why"}, result{outcome: Unknown, state: "08007 why"}},
		{&pgconn.PgError{Code: "53400", Severity: "ERROR"}, result{outcome: Refused, state: "53400"}},
		{&pgconn.PgError{Code: "57P03", Severity: "ERROR"}, result{outcome: Refused, state: "57P03"}},
		{&pgconn.PgError{Code: "57P01", Severity: "FATAL"}, result{outcome: Refused, state: "57P01", sessionEnded: true}},
		{pgx.ErrTxCommitRollback, result{outcome: Refused, state: "rollback"}},
		{context.DeadlineExceeded, result{outcome: Lost, state: "lost"}},
	}
	for _, test := range tests {
		assert.Equal(t, classify(test.err), test.want)
	}
}

// Guards against a load generator that turns into a closed loop. Arrivals that no session
// takes must neither slow down the schedule nor be left out of the samples.
func TestArrivalRateIsIndependentOfSessions(t *testing.T) {
	l := &Load{seed: 1, start: time.Now()}
	halfPeak := func(time.Duration) float64 { return 500 }
	f := l.newFlow(0, Stream{Class: "a", Hosts: []string{"h"}, PeakRate: 1000, Rate: halfPeak, Sessions: 5})
	f.scheduleArrivals(context.Background(), time.Second)
	queued := len(f.arrivals)
	assert.Equal(t, queued, 5*backlogPerSession)
	total := queued + len(l.Samples())
	assert.Assert(t, total > 400 && total < 600, "%d arrivals", total)
	for _, s := range l.Samples() {
		assert.Equal(t, s.Outcome, Unsent)
	}
}

// Guards against a replay that accepts a burst above the limit or counts one within it.
func TestCountOverLimitIsExact(t *testing.T) {
	var burst, paced []time.Duration
	for i := range 12 {
		burst = append(burst, time.Second)
		paced = append(paced, time.Duration(i)*100*time.Millisecond)
	}
	assert.Equal(t, countOverLimit(10, 10, burst), 2)
	assert.Equal(t, countOverLimit(10, 1, paced), 0)
	assert.Equal(t, countOverLimit(9, 1, paced), 6)
}

// Guards against a missed target that is absent from the JSON or the text output, and
// against a figure that was not measured but counts as met.
func TestReportNamesMissedTargets(t *testing.T) {
	r := &Report{Scenario: "x"}
	r.addZeroTarget("lost", 0)
	r.addAtMost("gap", 6, 5)
	r.addAtLeast("share", math.NaN(), 0.8)
	data, err := json.Marshal(r)
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"scenario":"x","lost":0,"gap":6,"share":null,"missed":["gap","share"]}`)
	var text strings.Builder
	r.WriteText(&text)
	assert.Equal(t, strings.Count(text.String(), "MISSED"), 2)
}
