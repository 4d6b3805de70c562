package peer

import (
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// EncodeFailure encodes an error for another host. Every verdict other than NotRun
// is sent as MayHaveRun.
func EncodeFailure(e *verdict.Error) *peerpb.Failure {
	f := &peerpb.Failure{Verdict: uint32(verdict.MayHaveRun), Reason: string(e.Reason), Message: e.Message}
	if e.Verdict == verdict.NotRun {
		f.Verdict = uint32(verdict.NotRun)
	}
	return f
}

// DecodeFailure decodes an error from another host. Every verdict other than NotRun
// is read as MayHaveRun.
func DecodeFailure(f *peerpb.Failure) *verdict.Error {
	v := verdict.MayHaveRun
	if f.GetVerdict() == uint32(verdict.NotRun) {
		v = verdict.NotRun
	}
	return verdict.New(v, verdict.Reason(f.GetReason()), "%s", f.GetMessage())
}
