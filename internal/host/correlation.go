package host

import (
	"github.com/cranberryhinge/cranberryhinge/internal/correlation"
)

// recordCorrelation counts and logs an answer of a backend server that may not belong to
// its statement.
func (h *Host) recordCorrelation(e correlation.Event) {
	h.counters.Add("answers_"+e.Decision.String()+"_"+string(e.Reason), 1)
	h.log.Info().Str("id", e.RequestID).Str("server", e.Server).Uint64("connection", e.Connection).Str("kind", e.Kind.String()).
		Str("decision", e.Decision.String()).Str("reason", string(e.Reason)).Str("error", string(e.Error)).Msg("answer not matched")
}
