package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Guards against a verdict that becomes NotRun when it is encoded for another host
// and decoded there, and against a changed reason or message.
func TestFailureVerdictRoundTrip(t *testing.T) {
	for v, want := range map[verdict.Verdict]verdict.Verdict{
		verdict.NotRun: verdict.NotRun, verdict.MayHaveRun: verdict.MayHaveRun, verdict.Ran: verdict.MayHaveRun,
	} {
		got := DecodeFailure(EncodeFailure(verdict.New(v, verdict.NoPrimary, "50%% %s", "x")))
		assert.Equal(t, got.Verdict, want)
		assert.Equal(t, got.Reason, verdict.NoPrimary)
		assert.Equal(t, got.Message, "50% x")
	}
}
