package peer

import (
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Failure encodes an error for another host. What did not certainly not run may
// have run.
func Failure(e *verdict.Error) *peerpb.Failure {
	f := &peerpb.Failure{Verdict: uint32(verdict.MayHaveRun), Reason: string(e.Reason), Message: e.Message}
	if e.Verdict == verdict.NotRun {
		f.Verdict = uint32(verdict.NotRun)
	}
	return f
}

// Refusal decodes the error of another host.
func Refusal(f *peerpb.Failure) *verdict.Error {
	v := verdict.MayHaveRun
	if f.GetVerdict() == uint32(verdict.NotRun) {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.Reason(f.GetReason()), "%s", f.GetMessage())
}
