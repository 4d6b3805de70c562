package executor

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/pace"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// newPace returns the pace of a server of which this host becomes the home host. It
// allows all slots if the former home host recently did.
func (x *Executor) newPace(s catalog.Server) *pace.Limit {
	l := pace.New(max(s.Slots, 1))
	if !x.opt.Supervision.Enabled {
		return l
	}
	if known, _, ok := x.opt.Supervision.Loads.Get(x.opt.Clock(), s.Name); !ok || known.Ejected || known.Pace > 0 {
		l.Restart()
	}
	return l
}

// admitPaced refuses a read beyond the pace of the server, so that it goes to another
// server at once. Requests of the primary and reads without an alternative wait for a slot
// instead.
func (p *serverPool) admitPaced(primary, hasAlternative bool) error {
	if !p.x.opt.Supervision.Enabled {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.x.opt.Clock()
	if primary && !p.isPrimary {
		p.restartPace(now, "promoted")
	}
	p.isPrimary = primary
	if p.pace.IsFull() {
		return nil
	}
	l := p.dispatcher.Load(now)
	if p.pace.RecordDemand(now, l.Running+l.Waiting) || primary || !hasAlternative {
		return nil
	}
	p.x.opt.Counters.Add("reads_refused_pace", 1)
	return verdict.New(verdict.NotRun, verdict.QueueFull, "backend server %s is limited to %d statements at a time", p.server.Name, p.pace.Allowed())
}

// recordPace tells the pace about an outcome. The caller must hold mu.
func (p *serverPool) recordPace(now time.Duration, kind pace.Kind, latency time.Duration, class outcomeClass, err error) {
	before := p.pace.Allowed()
	cause, cut := pace.Failure, false
	switch {
	case err == nil:
		cause, cut = p.pace.RecordAnswer(now, kind, latency)
	case class == failed && verdict.From(err).Reason == verdict.ServerBusy:
		cause, cut = pace.Busy, p.pace.RecordBusy(now)
	case class == failed:
		cut = p.pace.RecordFailure(now)
	}
	if cut {
		p.x.opt.Counters.Add("pace_cuts_"+string(cause), 1)
		p.logPace(before, string(cause))
	}
	p.applyPace(now, before)
}

// restartPace makes the pace start low again. The caller must hold mu.
func (p *serverPool) restartPace(now time.Duration, reason string) {
	before := p.pace.Allowed()
	p.pace.Restart()
	p.logPace(before, reason)
	p.applyPace(now, before)
}

func (p *serverPool) logPace(before int, reason string) {
	p.x.opt.Log.Info().Str("server", p.server.Name).Int("from", before).Int("to", p.pace.Allowed()).Int("slots", p.pace.Slots()).
		Str("reason", reason).Msg("server pace")
}

// applyPace limits the dispatcher to the pace if it has changed. The caller must hold mu.
func (p *serverPool) applyPace(now time.Duration, before int) {
	if p.pace.Allowed() == before {
		return
	}
	if p.pace.IsFull() {
		p.x.opt.Counters.Add("servers_at_full_pace", 1)
	}
	p.settings.Slots = p.pace.Allowed()
	p.applyActions(p.dispatcher.Configure(now, p.settings))
}

// configure sets the limits of the server.
func (p *serverPool) configure(s backend.Settings) {
	p.withDispatcher(func(now time.Duration) []backend.Action {
		p.pace.SetSlots(max(s.Slots, 1))
		p.settings = p.paced(s)
		return p.dispatcher.Configure(now, p.settings)
	})
}

// paced returns the settings with the slots that the pace allows.
func (p *serverPool) paced(s backend.Settings) backend.Settings {
	if !p.pace.IsFull() {
		s.Slots = p.pace.Allowed()
	}
	return s
}
