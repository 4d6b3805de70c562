package verdict

import (
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against an error without a verdict being reported as "not run".
func TestFromTreatsUnknownErrorsAsMayHaveRun(t *testing.T) {
	e := From(errors.New("boom"))
	assert.Equal(t, e.Verdict, MayHaveRun)
	assert.Equal(t, e.SQLState(), "08007")
}

// Guards against losing the verdict when a caller wraps the error.
func TestFromKeepsWrappedVerdict(t *testing.T) {
	e := From(errors.Wrap(New(NotRun, RateLimited, "over the rate"), "admit"))
	assert.Equal(t, e.Verdict, NotRun)
	assert.Equal(t, e.SQLState(), "53400")
}

// Guards against an automatic second run of a write.
func TestRetryable(t *testing.T) {
	cases := []struct {
		name                      string
		verdict                   Verdict
		repeatable, answerStarted bool
		want                      bool
	}{
		{"not run", NotRun, false, false, true},
		{"may have run write", MayHaveRun, false, false, false},
		{"may have run repeatable read", MayHaveRun, true, false, true},
		{"repeatable read already answered in part", MayHaveRun, true, true, false},
		{"ran", Ran, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := New(c.verdict, ConnectionLost, "x").Retryable(c.repeatable, c.answerStarted)
			assert.Equal(t, got, c.want)
		})
	}
}

// Guards against a reason without a SQLSTATE.
func TestEveryReasonHasSQLState(t *testing.T) {
	for _, r := range Reasons() {
		assert.Equal(t, len(New(NotRun, r, "x").SQLState()), 5, "reason %s", r)
	}
}
