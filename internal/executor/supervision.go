package executor

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/pace"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/supervise"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Supervision switches the supervision of servers on.
type Supervision struct {
	Enabled bool
	// Loads holds the known loads of servers, as their home hosts report them.
	Loads *serverload.Table
}

// newDetector returns the detector of a server of which this host becomes the home host.
// It starts with probes if the former home host has ejected the server.
func (x *Executor) newDetector(s catalog.Server) *supervise.Detector {
	d := &supervise.Detector{}
	if !x.opt.Supervision.Enabled {
		return d
	}
	now := x.opt.Clock()
	if l, _, ok := x.opt.Supervision.Loads.Get(now, s.Name); ok && l.Ejected {
		d.Inherit(now)
	}
	return d
}

// groupOf describes the group of the server for the cap on ejections.
func (x *Executor) groupOf(group, server string) supervise.Group {
	now := x.opt.Clock()
	var g supervise.Group
	for _, other := range x.opt.Snapshot().Group(group) {
		g.Servers++
		if l, _, ok := x.opt.Supervision.Loads.Get(now, other.Name); ok && l.Ejected && other.Name != server {
			g.OthersEjected++
		}
	}
	return g
}

// admitSupervised refuses a read at a server that is ejected or has as many probes under
// way as it may get. Requests of the primary are always admitted.
func (p *serverPool) admitSupervised(primary bool) (supervise.Probe, error) {
	if !p.x.opt.Supervision.Enabled || primary {
		return 0, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if probe, ok := p.detector.AdmitRead(p.x.opt.Clock()); ok {
		return probe, nil
	}
	p.x.opt.Counters.Add("reads_refused_ejected", 1)
	return 0, verdict.New(verdict.NotRun, verdict.QueueFull, "backend server %s is ejected", p.server.Name)
}

// endProbe tells the detector the last outcome of the call if its read is a probe.
func (c *call) endProbe(p *serverPool) {
	if c.probe == 0 {
		return
	}
	group := c.x.groupOf(p.server.Group, p.server.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.x.opt.Clock()
	if change, changed := p.detector.EndProbe(now, c.probe, c.probeOutcome, group); changed {
		p.applyChange(now, change)
	}
}

// recordOutcome tells the detector and the pace how the server answered a statement of
// the given kind that was sent at sent. err is nil for a success.
func (c *call) recordOutcome(p *serverPool, kind statement.Kind, sent time.Duration, err error) {
	if !c.x.opt.Supervision.Enabled {
		return
	}
	var group supervise.Group
	if err != nil {
		group = c.x.groupOf(p.server.Group, p.server.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.x.opt.Clock()
	customer, class := c.req.GetCustomer(), p.classify(err)
	p.recordPace(now, pace.Kind{Statement: kind.String(), Priority: int(c.req.GetPriority())}, now-sent, class, err)
	var change supervise.Change
	var changed bool
	c.probeOutcome = supervise.Undecided
	switch class {
	case answered:
		p.detector.RecordSuccess(now, customer)
		c.probeOutcome = supervise.Succeeded
	case overdue:
		if !p.detector.HasAnsweredSince(sent) {
			c.probeOutcome = supervise.Failed
		}
		change, changed = p.detector.RecordOverdue(now, sent, customer, group)
	case failed:
		change, changed = p.detector.RecordFailure(now, customer, group)
		c.probeOutcome = supervise.Failed
	}
	if changed {
		p.applyChange(now, change)
	}
}

// recordOpenFailure records a server that accepts no connection as one failure, however
// many requests wait for the connection.
func (p *serverPool) recordOpenFailure(customer string, err *verdict.Error) {
	if !p.x.opt.Supervision.Enabled || err.Reason != verdict.BackendUnreachable {
		return
	}
	group := p.x.groupOf(p.server.Group, p.server.Name)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.x.opt.Clock()
	p.recordPace(now, pace.Kind{}, 0, failed, err)
	if change, changed := p.detector.RecordFailure(now, customer, group); changed {
		p.applyChange(now, change)
	}
}

// applyChange reports a change of the server's state, and paces a server that serves
// again. The caller must hold mu.
func (p *serverPool) applyChange(now time.Duration, change supervise.Change) {
	p.reportChange(now, change)
	if change.State == supervise.Serving && !change.Capped {
		p.restartPace(now, "recovered")
	}
}

func (p *serverPool) reportChange(now time.Duration, change supervise.Change) {
	counter := "servers_restored"
	switch {
	case change.Capped:
		counter = "ejections_capped"
	case change.State == supervise.Ejected:
		counter = "servers_ejected"
	}
	p.x.opt.Counters.Add(counter, 1)
	p.x.opt.Log.Info().Str("server", p.server.Name).Str("group", p.server.Group).Str("state", change.State.String()).
		Bool("capped", change.Capped).Int("failures", change.Failures).Int("requests", change.Requests).
		Dur("for", max(change.Until-now, 0)).Msg("server supervision")
}

// outcomeClass is what an outcome says about the server.
type outcomeClass int

const (
	neutral outcomeClass = iota
	answered
	overdue
	failed
)

// classify returns what an outcome says about the server. BUSY is a failure only while
// this host uses no more than the server's slots. The caller must hold mu.
func (p *serverPool) classify(err error) outcomeClass {
	if err == nil {
		return answered
	}
	switch verdict.From(err).Reason {
	case verdict.StatementFailed, verdict.BackendUnreachable, verdict.ConnectionLost, verdict.ProtocolViolation, verdict.AnswerMismatch:
		return failed
	case verdict.AnswerOverdue:
		return overdue
	case verdict.ServerBusy:
		if p.dispatcher.Load(p.x.opt.Clock()).Running < p.pace.Slots() {
			return failed
		}
		return neutral
	case verdict.NoFreshReplica, verdict.ReadOnly, verdict.UnknownStatement:
		return answered
	}
	return neutral
}

// outcomeOf returns the error that an exchange says about the server: that of the
// connection, or of the last result.
func outcomeOf(results []statement.Result, err error) error {
	if err != nil || len(results) == 0 {
		return err
	}
	if e := results[len(results)-1].Err; e != nil {
		return e
	}
	return nil
}

// addSupervision adds what supervision decides about the server to its load: no reads
// while it is ejected, and as many at a time as there may be probes after that. The
// caller must hold mu.
func (p *serverPool) addSupervision(now time.Duration, l *serverload.Load) {
	if !p.x.opt.Supervision.Enabled {
		return
	}
	l.Slots = p.pace.Slots()
	if !p.pace.IsFull() {
		l.Pace = p.pace.Allowed()
	}
	switch p.detector.State(now) {
	case supervise.Ejected:
		l.Ejected = true
	case supervise.Probing:
		l.Pace = supervise.MaxProbes
	}
}
