package home

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// controlTimeout bounds one connection of the home host's own with its queries.
	controlTimeout = time.Second
	// recountInterval is the wait between two counts of a server's connections
	// while some are not accounted for.
	recountInterval = 100 * time.Millisecond
	// maxRecountInterval bounds that wait, which doubles.
	maxRecountInterval = 2 * time.Second
	// lostFor is the time for which a connection that was closed here, but
	// perhaps not at the server, is told from the monitor connections of other
	// hosts. They cannot be told apart in the server's count.
	lostFor = time.Minute
	// checkInterval is the time between two looks at the idle connections.
	checkInterval = 500 * time.Millisecond
	// pingAfter is the silence after which an idle connection is asked for a
	// sign of life.
	pingAfter = time.Second
	// silentAfter is the wait for a short answer, such as to a ping, after
	// which a connection counts as silent.
	silentAfter = time.Second
)

// control takes the server over and then looks after waiting requests, idle
// connections and the connection count.
func (p *pool) control() {
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
			if now := time.Now(); now.Sub(checked) >= checkInterval {
				checked = now
				p.checkIdle(now)
			}
		case <-p.kick:
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

// sleep waits and returns false if the pool stops meanwhile.
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

// monitor runs f on a fresh connection that is not one of the data connections.
// Its application name carries no epoch, so that evict leaves it alone.
func (p *pool) monitor(f func(ctx context.Context, c *dbconn.Conn) error) error {
	ctx, cancel := context.WithTimeout(p.ctx, controlTimeout)
	defer cancel()
	c, err := dbconn.Dial(ctx, p.address, p.h.opt.Control, "cranberryhinge/"+p.h.opt.Host+"/monitor")
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	return f(ctx, c)
}

// takeOver evicts the connections of older epochs and counts those that are
// open, before the first own one is opened. Two home hosts together thus never
// exceed the limit.
func (p *pool) takeOver() bool {
	err := p.count(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.h.opt.Log.Warn().Str("server", p.name).Uint64("epoch", p.epoch).Err(err).Msg("take over backend server")
		p.unreachable = true
		p.apply(p.machine.RefuseWaiting(p.now(), verdict.BackendUnreachable))
		return false
	}
	p.unreachable = false
	p.taken.Store(true)
	return true
}

// count sets the number of connections that are not the pool's own.
func (p *pool) count(evict bool) error {
	before := p.own()
	var s dbconn.Status
	err := p.monitor(func(ctx context.Context, c *dbconn.Conn) (err error) {
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
	p.observe(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	// The smaller number of own connections gives the larger number of others,
	// which is the safe error.
	own := min(before, p.machine.Connections())
	foreign := max(s.Connections-own-1, 0) // without the one that asked
	if time.Now().After(p.lostUntil) {
		p.lost = 0
	}
	p.lost = min(p.lost, foreign)
	others := max(foreign-(backend.MonitorConnections-1), p.lost)
	p.apply(p.machine.SetOthers(p.now(), others))
	if others > 0 {
		p.recount()
	}
	return nil
}

func (p *pool) own() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Connections()
}

func (p *pool) others() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Others()
}

// recount asks for another count.
func (p *pool) recount() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// recountLoop counts until every connection is accounted for. Old ones are
// evicted again, because an old home host may have opened some since.
func (p *pool) recountLoop() {
	if !p.counting.CompareAndSwap(false, true) {
		return
	}
	defer func() {
		p.counting.Store(false)
		if p.others() > 0 {
			p.recount() // one appeared after the last look
		}
	}()
	for wait := recountInterval; p.sleep(wait); wait = min(2*wait, maxRecountInterval) {
		if p.others() == 0 {
			return
		}
		if err := p.count(true); err != nil && p.ctx.Err() == nil {
			p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("count backend connections")
		}
	}
}

// tick lets the state machine look at its waiters.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.machine.Waiting() > 0 {
		p.apply(p.machine.Tick(p.now()))
	}
}

// openConns returns the connections that are open at this moment.
func (p *pool) openConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make([]*conn, 0, len(p.conns))
	for _, c := range p.conns {
		open = append(open, c)
	}
	return open
}

// checkIdle asks idle connections for a sign of life and has the server probed
// when one does not answer.
func (p *pool) checkIdle(now time.Time) {
	for _, c := range p.openConns() {
		since, owes := c.silentSince()
		switch {
		case !c.idle() || !c.usable():
		case owes && now.Sub(since) >= silentAfter:
			p.overdue(c)
		case !owes && c.quietFor(now) >= pingAfter:
			p.probe(c, now)
		}
	}
}

// probe asks an idle connection for a sign of life.
func (p *pool) probe(c *conn, now time.Time) {
	if err := c.probe(now.Add(terminateTimeout)); err != nil {
		p.h.opt.Counters.Add("backend_probe_failed", 1)
		p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("probe failed, backend connection closed")
	}
}

// overdue is called when an answer on a connection is overdue. It probes the
// server over a fresh connection; if that works, the connections that have been
// silent as long are not used any more and replaced.
func (p *pool) overdue(c *conn) {
	p.h.opt.Counters.Add("backend_answer_overdue", 1)
	since, owes := c.silentSince()
	if !owes {
		since = time.Now()
	}
	if !p.probing.CompareAndSwap(false, true) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.spawn(func() {
		defer p.probing.Store(false)
		err := p.monitor(func(ctx context.Context, c *dbconn.Conn) error {
			s, err := c.Status(ctx)
			if err == nil {
				p.observe(s)
			}
			return err
		})
		if err != nil {
			p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("probe after an overdue answer")
			return
		}
		p.retireSilent(since)
	})
}

// retireSilent retires the connections that have owed an answer since the time
// or longer, and asks idle ones for a sign of life.
func (p *pool) retireSilent(since time.Time) {
	now := time.Now()
	for _, c := range p.openConns() {
		start, owes := c.silentSince()
		switch {
		case !owes && c.idle():
			p.probe(c, now)
		case !owes || start.After(since):
		case c.idle():
			p.h.opt.Counters.Add("backend_silent_retired", 1)
			c.end()
		default:
			// Its statement may only be slow and has a deadline of its own.
			c.markRetired()
		}
	}
}
