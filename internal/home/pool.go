package home

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// monitorConnections is the part of a server's connection limit that is
	// left to status polls, probes, takeovers and cancel requests.
	monitorConnections = 4
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// dialBackoff is the wait after a failed attempt.
	dialBackoff = 100 * time.Millisecond
	// resetTimeout bounds the write of the reset query.
	resetTimeout = time.Second
)

// pool holds the data connections to one backend server.
type pool struct {
	h      *Home
	group  string
	server config.Server
	epoch  uint64

	ctx  context.Context
	stop context.CancelFunc

	idle  chan *conn
	slots chan struct{}

	mu     sync.Mutex
	status dbconn.Status
	all    map[*conn]struct{}
	wg     sync.WaitGroup
}

func newPool(h *Home, group string, server config.Server, epoch uint64) *pool {
	p := &pool{
		h: h, group: group, server: server, epoch: epoch,
		idle:  make(chan *conn, max(server.Connections, 1)),
		slots: make(chan struct{}, max(server.Slots, 1)),
		all:   make(map[*conn]struct{}),
	}
	p.ctx, p.stop = context.WithCancel(h.ctx)
	return p
}

// hold updates the pool, or reports that it has to be replaced.
func (p *pool) hold(group string, server config.Server, epoch uint64) bool {
	return p.group == group && p.server == server && p.epoch == epoch
}

func (p *pool) drain() { p.stop() }

// run opens the connections and returns when all have ended.
func (p *pool) run() {
	for range max(p.server.Connections-monitorConnections, 1) {
		p.wg.Go(p.keepOpen)
	}
	<-p.ctx.Done()
	p.mu.Lock()
	for c := range p.all {
		c.close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// keepOpen keeps one connection open.
func (p *pool) keepOpen() {
	for p.ctx.Err() == nil {
		c, err := p.open()
		if err != nil {
			p.h.opt.Log.Warn().Str("server", p.server.Name).Err(err).Msg("open backend connection")
			select {
			case <-time.After(dialBackoff):
			case <-p.ctx.Done():
			}
			continue
		}
		p.mu.Lock()
		p.all[c] = struct{}{}
		p.mu.Unlock()
		if p.ctx.Err() != nil {
			c.close()
		}
		p.idle <- c
		c.read()
	}
}

func (p *pool) open() (*conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	dc, err := dbconn.Dial(ctx, p.server.Address, p.h.opt.Credentials, p.h.application(p.epoch))
	if err != nil {
		return nil, err
	}
	raw, err := dc.Hijack()
	if err != nil {
		_ = dc.Close()
		return nil, err
	}
	return newConn(raw.Conn, raw.PID, raw.SecretKey, p.ended), nil
}

// ended is called when a connection has ended.
func (p *pool) ended(c *conn, _ error) {
	p.mu.Lock()
	delete(p.all, c)
	p.mu.Unlock()
}

// acquire waits for a slot and a connection for the stream.
func (p *pool) acquire(r *run) error {
	if err := p.resume(r); err != nil {
		return err
	}
	for {
		select {
		case c := <-p.idle:
			if c.usable() {
				r.conn = c
				return nil
			}
		case <-r.cancelled:
			p.yield(r)
			return r.notSent(verdict.Cancelled, "cancelled in the queue")
		case <-r.timer.C:
			p.yield(r)
			return r.notSent(verdict.DeadlineExceeded, "deadline passed in the queue")
		case <-r.stream.Context().Done():
			p.yield(r)
			return r.stream.Context().Err()
		case <-p.ctx.Done():
			p.yield(r)
			return r.notSent(verdict.Draining, "the home host of %s is stopping", p.server.Name)
		}
	}
}

// resume waits for a slot for a stream.
func (p *pool) resume(r *run) error {
	select {
	case p.slots <- struct{}{}:
		r.slot = true
		return nil
	case <-r.timer.C:
		return r.notSent(verdict.DeadlineExceeded, "deadline passed in the queue")
	case <-r.stream.Context().Done():
		return r.stream.Context().Err()
	}
}

// yield gives the slot of a stream back.
func (p *pool) yield(r *run) {
	if r.slot {
		<-p.slots
		r.slot = false
	}
}

// release takes the connection of a stream back.
func (p *pool) release(r *run, reuse bool) {
	p.yield(r)
	c := r.conn
	c.attach(nil)
	if !reuse || !c.usable() {
		c.close()
		return
	}
	c.expect(answer{kind: answerDiscard})
	if err := c.write(resetBytes, time.Now().Add(resetTimeout)); err != nil {
		c.close()
		return
	}
	p.idle <- c
}

// resetBytes is the encoded reset query.
var resetBytes = encode(nil, &pgproto3.Query{String: resetQuery})

func (p *pool) overdue(*run) {}

// observe notes the newest status of the server.
func (p *pool) observe(s dbconn.Status) {
	p.mu.Lock()
	p.status = s
	p.mu.Unlock()
}

func (p *pool) lastStatus() dbconn.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

// primary reports whether the server last said that it is the primary.
func (p *pool) primary() bool { return p.lastStatus().Role == dbconn.Primary }

// satisfies reports whether the last known status of the server satisfies a
// read, so that its status query can go out together with the request.
func (p *pool) satisfies(r *run) bool {
	s := p.lastStatus()
	switch {
	case s.Role == dbconn.Primary:
		return r.term != 0 && s.Term == r.term
	case s.Role != dbconn.Replica || r.current():
		return false
	}
	_, err := p.freshness(s, r.start)
	return err == nil
}

// freshness checks a replica's status against the floor and the staleness bound
// of a read and returns the age of its data.
func (p *pool) freshness(s dbconn.Status, start *peerpb.Start) (time.Duration, error) {
	// A replica of a newer term may not have applied the floor's position yet,
	// because positions continue from term to term. Both are compared.
	if f := start.Floor; f != nil && (s.Term < f.Term || s.Position < f.Position) {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "%s is at %d:%d, the session needs %d:%d", s.Server, s.Term, s.Position, f.Term, f.Position)
	}
	age, ok := p.h.opt.Authority.Age(p.group, s.Term, s.Position)
	if !ok {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "the age of %s at %d:%d is unknown", s.Server, s.Term, s.Position)
	}
	if bound := time.Duration(start.StalenessUs) * time.Microsecond; age > bound {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "the data of %s is %v old, %v is accepted", s.Server, age, bound)
	}
	return age, nil
}
