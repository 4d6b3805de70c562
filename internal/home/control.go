package home

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// monitorConnTimeout bounds the lifetime of a monitor connection: the dial
	// and its queries.
	monitorConnTimeout = time.Second
	// recountInterval is the initial delay between two counts of a server's
	// connections while some are not accounted for.
	recountInterval = 100 * time.Millisecond
	// maxRecountInterval limits that delay, which doubles after each count.
	maxRecountInterval = 2 * time.Second
	// unconfirmedCloseTTL is the time for which a connection that this host
	// closed without confirmation is counted separately from the monitor
	// connections of other hosts. The server's count does not distinguish the
	// two.
	unconfirmedCloseTTL = time.Minute
	// idleCheckInterval is the interval between two checks of the idle
	// connections.
	idleCheckInterval = 500 * time.Millisecond
	// pingAfter is the time without received data after which an idle
	// connection is pinged.
	pingAfter = time.Second
	// silenceTimeout is the time without received data after which an idle
	// connection with an outstanding answer, such as the answer to a ping, is
	// treated as silent.
	silenceTimeout = time.Second
)

// controlLoop takes the server over. It then advances the dispatcher's clock,
// checks the idle connections and starts recounts, until the pool has drained or
// stops.
func (p *pool) controlLoop() {
	for !p.takeOver() {
		if !p.sleep(dialBackoff) {
			return
		}
	}
	ticker := time.NewTicker(backend.TickInterval)
	defer ticker.Stop()
	checked := time.Now()
	for {
		select {
		case <-ticker.C:
			p.tick()
			if now := time.Now(); now.Sub(checked) >= idleCheckInterval {
				checked = now
				p.checkIdleConns(now)
			}
		case <-p.recountRequests:
			p.mu.Lock()
			p.spawn(p.recountLoop)
			p.mu.Unlock()
		case <-p.drained:
			return
		case <-p.ctx.Done():
			return
		}
	}
}

// sleep waits for the duration. It returns false if the pool drains or stops
// first.
func (p *pool) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-p.drained:
		return false
	case <-p.ctx.Done():
		return false
	}
}

// withMonitorConn runs f on a new monitor connection, which is not one of the
// data connections. Its application_name carries no epoch, so that an eviction
// does not close it.
func (p *pool) withMonitorConn(f func(ctx context.Context, c *dbconn.Conn) error) error {
	ctx, cancel := context.WithTimeout(p.ctx, monitorConnTimeout)
	defer cancel()
	c, err := dbconn.Dial(ctx, p.address, p.h.opt.ControlCredentials, "cranberryhinge/"+p.h.opt.Host+"/monitor")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	return f(ctx, c)
}

// takeOver evicts the connections of older epochs and counts the open ones
// before this host opens its first. This keeps the connections of two
// successive home hosts together within the connection limit. It returns false
// on failure.
func (p *pool) takeOver() bool {
	err := p.countConnections(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.h.opt.Log.Warn().Str("server", p.name).Uint64("epoch", p.epoch).Err(err).Msg("takeover of backend server failed")
		p.unreachable = true
		p.applyActions(p.dispatcher.RefuseWaiting(p.now(), verdict.BackendUnreachable))
		return false
	}
	p.unreachable = false
	p.takeoverDone.Store(true)
	return true
}

// countConnections counts the server's connections that do not belong to the
// pool. If evict is set, it first evicts those of older epochs.
func (p *pool) countConnections(evict bool) error {
	before := p.ownConnections()
	var s dbconn.Status
	err := p.withMonitorConn(func(ctx context.Context, c *dbconn.Conn) (err error) {
		if evict {
			if err := c.Evict(ctx, p.epoch); err != nil {
				return err
			}
		}
		s, err = c.Status(ctx)
		return err
	})
	if err != nil {
		return err
	}
	p.recordStatus(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	// Using the smaller number of own connections can only overestimate the
	// others, which keeps the total within the limit.
	own := min(before, p.dispatcher.Connections())
	foreign := max(s.Connections-own-1, 0) // minus the monitor connection that queried the status
	if time.Now().After(p.unconfirmedUntil) {
		p.unconfirmedCloses = 0
	}
	p.unconfirmedCloses = min(p.unconfirmedCloses, foreign)
	others := max(foreign-(backend.ReservedConnections-1), p.unconfirmedCloses)
	p.applyActions(p.dispatcher.SetOtherConnections(p.now(), others))
	if others > 0 {
		p.requestRecount()
	}
	return nil
}

func (p *pool) ownConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatcher.Connections()
}

func (p *pool) otherConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dispatcher.OtherConnections()
}

// requestRecount requests another count of the connections.
func (p *pool) requestRecount() {
	select {
	case p.recountRequests <- struct{}{}:
	default:
	}
}

// recountLoop counts until every connection is accounted for. It evicts the
// connections of older epochs each time, because the previous home host may
// have opened more.
func (p *pool) recountLoop() {
	if !p.recountRunning.CompareAndSwap(false, true) {
		return
	}
	defer func() {
		p.recountRunning.Store(false)
		if p.otherConnections() > 0 {
			p.requestRecount() // another connection appeared after the last count
		}
	}()
	for wait := recountInterval; p.sleep(wait); wait = min(2*wait, maxRecountInterval) {
		if p.otherConnections() == 0 {
			return
		}
		if err := p.countConnections(true); err != nil && p.ctx.Err() == nil {
			p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("counting backend connections failed")
		}
	}
}

// tick advances the dispatcher's clock while requests are waiting.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dispatcher.Waiting() > 0 {
		p.applyActions(p.dispatcher.Tick(p.now()))
	}
}

// openConns returns the connections that are currently open.
func (p *pool) openConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make([]*conn, 0, len(p.conns))
	for _, c := range p.conns {
		open = append(open, c)
	}
	return open
}

// checkIdleConns pings idle connections and probes the server if one of them
// does not answer.
func (p *pool) checkIdleConns(now time.Time) {
	for _, c := range p.openConns() {
		since, unanswered := c.unansweredSince()
		switch {
		case !c.isIdle() || !c.isUsable():
		case unanswered && now.Sub(since) >= silenceTimeout:
			p.handleOverdueAnswer(c)
		case !unanswered && c.timeSinceRead(now) >= pingAfter:
			p.pingIdleConn(c, now)
		}
	}
}

// pingIdleConn pings a connection if it is idle. The connection is closed if
// the ping cannot be sent.
func (p *pool) pingIdleConn(c *conn, now time.Time) {
	if err := c.pingIfIdle(now.Add(terminateTimeout)); err != nil {
		p.h.opt.Counters.Add("backend_probe_failed", 1)
		p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("ping not sent, backend connection closed")
	}
}

// handleOverdueAnswer handles an overdue answer on a connection. It probes the
// server on a new monitor connection. If the probe succeeds, it retires the
// connections that have been silent for at least as long as this one, so that
// they are replaced.
func (p *pool) handleOverdueAnswer(c *conn) {
	p.h.opt.Counters.Add("backend_answer_overdue", 1)
	since, unanswered := c.unansweredSince()
	if !unanswered {
		since = time.Now()
	}
	if !p.probeRunning.CompareAndSwap(false, true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.spawn(func() {
		defer p.probeRunning.Store(false)
		err := p.withMonitorConn(func(ctx context.Context, c *dbconn.Conn) error {
			s, err := c.Status(ctx)
			if err == nil {
				p.recordStatus(s)
			}
			return err
		})
		if err != nil {
			p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("probe after an overdue answer failed")
			return
		}
		p.retireSilentConns(since)
	})
}

// retireSilentConns retires the connections on which an answer has been
// outstanding since the given time or longer, and pings the idle ones without
// an outstanding answer.
func (p *pool) retireSilentConns(since time.Time) {
	now := time.Now()
	for _, c := range p.openConns() {
		start, unanswered := c.unansweredSince()
		switch {
		case !unanswered && c.isIdle():
			p.pingIdleConn(c, now)
		case !unanswered || start.After(since):
		case c.isIdle():
			p.h.opt.Counters.Add("backend_silent_retired", 1)
			c.terminate()
		default:
			// The statement may only be slow, and it has a deadline of its own.
			c.markRetired()
		}
	}
}
