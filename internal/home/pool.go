package home

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// dialBackoff is the wait after a failed attempt.
	dialBackoff = 100 * time.Millisecond
	// resetTimeout bounds the write of the reset query.
	resetTimeout = time.Second
)

// pool holds the data connections to one backend server for one epoch of the
// role. The state machine decides, the pool carries its actions out.
type pool struct {
	h       *Home
	group   string
	name    string
	address string
	epoch   uint64
	start   time.Time

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// kick asks the control goroutine to count the server's connections.
	kick chan struct{}
	// cancels bounds the cancel requests in flight to one.
	cancels chan struct{}
	// probing and counting are set while such a task runs.
	probing, counting atomic.Bool
	// taken is set once the connections of older epochs were evicted.
	taken  atomic.Bool
	status atomic.Pointer[dbconn.Status]

	mu      sync.Mutex
	server  config.Server
	machine *backend.Server
	conns   map[backend.ConnID]*conn
	runs    map[backend.RequestID]*run
	lastID  uint64
	// unreachable is set while no connection can be opened and none is open.
	unreachable bool
	// lost counts connections that were closed here but perhaps not at the
	// server, until lostUntil.
	lost      int
	lostUntil time.Time
	draining  bool
	drained   chan struct{}
}

func newPool(h *Home, group string, server config.Server, epoch uint64) *pool {
	p := &pool{
		h: h, group: group, name: server.Name, address: server.Address,
		server: server, epoch: epoch, start: time.Now(),
		kick:    make(chan struct{}, 1),
		cancels: make(chan struct{}, 1),
		machine: backend.New(settings(server)),
		conns:   make(map[backend.ConnID]*conn),
		runs:    make(map[backend.RequestID]*run),
		drained: make(chan struct{}),
	}
	p.ctx, p.stop = context.WithCancel(h.ctx)
	// Nothing is opened before the takeover has counted the open connections.
	p.machine.SetOthers(0, server.Connections)
	return p
}

func settings(s config.Server) backend.Settings {
	return backend.Settings{Slots: s.Slots, Connections: s.Connections}
}

func (p *pool) now() time.Duration { return time.Since(p.start) }

// hold changes the settings, or reports that the pool has to be replaced.
func (p *pool) hold(group string, server config.Server, epoch uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining || p.group != group || p.epoch != epoch || p.address != server.Address {
		return false
	}
	p.server = server
	p.apply(p.machine.Configure(p.now(), settings(server)))
	return true
}

// drain refuses new work for the reason and lets open work end. It returns false
// if the pool drains already.
func (p *pool) drain(reason verdict.Reason) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return false
	}
	p.draining = true
	p.apply(p.machine.Drain(p.now(), reason))
	p.checkDrained()
	return true
}

// checkDrained ends the pool once a draining one has no connection left.
func (p *pool) checkDrained() {
	if p.draining && p.machine.Drained() {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}

// run takes the server over, keeps the connections and returns when all have
// ended.
func (p *pool) run() {
	p.wg.Go(p.control)
	select {
	case <-p.drained:
	case <-p.ctx.Done():
	}
	p.stop()
	p.mu.Lock()
	open := make([]*conn, 0, len(p.conns))
	for _, c := range p.conns {
		open = append(open, c)
	}
	p.mu.Unlock()
	for _, c := range open {
		c.end()
	}
	p.wg.Wait()
}

// apply carries out the actions of the state machine. The lock is held.
func (p *pool) apply(actions []backend.Action) {
	for _, a := range actions {
		switch a.Kind {
		case backend.Grant:
			r := p.runs[a.Request]
			r.conn = p.conns[a.Conn]
			r.granted <- grant{}
		case backend.Continue:
			p.runs[a.Request].granted <- grant{}
		case backend.Refuse:
			r := p.runs[a.Request]
			if r.conn == nil {
				delete(p.runs, a.Request)
			}
			r.granted <- grant{err: verdict.New(verdict.NotRun, a.Reason, "%s: refused in the queue", p.name)}
		case backend.Open:
			p.open()
		case backend.Close:
			// The connection may have ended by itself in the meantime.
			if c, ok := p.conns[a.Conn]; ok {
				p.spawn(func() { c.end() })
			}
		}
	}
}

// spawn starts a goroutine unless the pool stops. The lock is held, so that no
// goroutine is added after run has begun to wait for them.
func (p *pool) spawn(f func()) {
	if p.ctx.Err() == nil {
		p.wg.Go(f)
	}
}

// open opens one connection on the shared worker pool. The lock is held.
func (p *pool) open() {
	if p.ctx.Err() != nil {
		return
	}
	p.wg.Add(1)
	err := p.h.openers.Go(func() {
		defer p.wg.Done()
		p.dial()
	})
	if err != nil {
		p.wg.Done()
	}
}

// dial opens one connection and hands it to the state machine.
func (p *pool) dial() {
	c, err := p.connect()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.dialFailed(err)
		return
	}
	p.unreachable = false
	p.conns[c.id] = c
	p.wg.Go(c.read)
	p.apply(p.machine.Opened(p.now(), c.id))
	if p.ctx.Err() != nil {
		p.wg.Go(func() { c.end() })
	}
	p.checkDrained()
}

// dialFailed refuses what waits for a connection when there is none at all, so
// that requests are tried elsewhere at once. The lock is held.
func (p *pool) dialFailed(err error) {
	if p.ctx.Err() == nil {
		p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("open backend connection")
	}
	p.h.opt.Counters.Add("backend_dial_failed", 1)
	if len(p.conns) == 0 {
		p.unreachable = true
		p.apply(p.machine.RefuseWaiting(p.now(), verdict.BackendUnreachable))
	}
	p.recount()
	if p.ctx.Err() != nil {
		p.apply(p.machine.OpenFailed(p.now()))
		return
	}
	time.AfterFunc(dialBackoff, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.apply(p.machine.OpenFailed(p.now()))
		p.checkDrained()
	})
}

func (p *pool) connect() (*conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	dc, err := dbconn.Dial(ctx, p.address, p.h.opt.Credentials, p.h.application(p.epoch))
	if err != nil {
		return nil, err
	}
	raw, err := dc.Hijack(ctx)
	if err != nil {
		_ = dc.Close()
		return nil, errors.Wrap(err, "take over the connection")
	}
	if raw.Frontend.ReadBufferLen() > 0 {
		_ = raw.Conn.Close()
		return nil, errors.New("the backend server sent more than its greeting")
	}
	p.mu.Lock()
	p.lastID++
	id := backend.ConnID(p.lastID)
	p.mu.Unlock()
	return newConn(id, raw, p), nil
}

// ended implements owner.
func (p *pool) ended(c *conn, err error, confirmed bool) {
	var fatal *serverError
	if errors.As(err, &fatal) && fatal.code == sqlStateAdminShutdown {
		p.evicted()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if id := c.resetFor.Load(); id != 0 {
		p.apply(p.machine.Finish(p.now(), backend.RequestID(id), false))
	}
	p.apply(p.machine.Closed(p.now(), c.id))
	if !confirmed {
		// The server may still count it; the next counts settle that.
		p.lost, p.lostUntil = p.lost+1, time.Now().Add(lostFor)
		p.apply(p.machine.SetOthers(p.now(), p.machine.Others()+1))
		p.recount()
	}
	// Only now, because the actions above may name the connection.
	delete(p.conns, c.id)
	p.checkDrained()
}

// busy reports whether a stream holds a connection.
func (p *pool) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.conn != nil {
			return true
		}
	}
	return false
}

// evicted stops the pool, because another home host took the server over. The
// server is served again after the next Hold.
func (p *pool) evicted() {
	if p.ctx.Err() != nil || !p.drain(verdict.WrongHome) {
		return
	}
	p.h.opt.Counters.Add("home_evicted", 1)
	p.h.opt.Log.Warn().Str("server", p.name).Uint64("epoch", p.epoch).Msg("connections were evicted")
	p.h.forget(p)
	if p.h.opt.OnEvicted != nil {
		p.h.opt.OnEvicted(p.name)
	}
}

// acquire waits for a connection and a slot for the stream.
func (p *pool) acquire(r *run) error {
	p.mu.Lock()
	if err := p.refusal(); err != nil {
		p.mu.Unlock()
		return err
	}
	p.lastID++
	r.id = backend.RequestID(p.lastID)
	p.runs[r.id] = r
	p.apply(p.machine.Request(p.now(), r.id, r.start.Customer, p.deadline(r)))
	p.mu.Unlock()
	if err := p.await(r, r.cancelled); err != nil {
		p.leave(r)
		return err
	}
	r.slot = true
	return nil
}

// refusal says why the server gets no new work. The lock is held.
func (p *pool) refusal() error {
	switch {
	case p.server.Leaving:
		return verdict.New(verdict.NotRun, verdict.ServerLeaving, "%s is leaving", p.name)
	case p.unreachable:
		return verdict.New(verdict.NotRun, verdict.BackendUnreachable, "%s cannot be reached", p.name)
	default:
		return nil
	}
}

// deadline is the deadline of a stream on the clock of the state machine.
func (p *pool) deadline(r *run) time.Duration { return r.deadline.Sub(p.start) }

// await waits for a decision of the queue, or for cancelled to be closed.
func (p *pool) await(r *run, cancelled <-chan struct{}) error {
	select {
	case g := <-r.granted:
		return g.err
	case <-cancelled:
		return r.notSent(verdict.Cancelled, "cancelled in the queue")
	case <-r.timer.C:
		return r.notSent(verdict.DeadlineExceeded, "deadline passed in the queue")
	case <-r.stream.Context().Done():
		return r.notSent(verdict.Cancelled, "entry host is gone")
	}
}

// leave takes a stream that was not granted anything, or did not use it, out of
// the queue.
func (p *pool) leave(r *run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.runs[r.id]; !ok {
		return
	}
	p.finish(r, true)
}

// resume waits for a slot for the next statement of a transaction.
func (p *pool) resume(r *run) error {
	p.mu.Lock()
	p.apply(p.machine.Resume(p.now(), r.id, p.deadline(r)))
	p.mu.Unlock()
	if err := p.await(r, nil); err != nil {
		return err
	}
	r.slot = true
	return nil
}

// yield gives the slot of a stream back.
func (p *pool) yield(r *run) {
	if !r.slot {
		return
	}
	r.slot = false
	p.mu.Lock()
	p.apply(p.machine.Yield(p.now(), r.id))
	p.mu.Unlock()
}

// abandon closes the connection of a stream and cancels what runs on it, because
// the backend server notices the end only between statements.
func (p *pool) abandon(r *run) {
	r.enter(phaseIdle)
	c := r.conn
	ending := c.end()
	c.attach(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if ending {
		p.spawn(func() { p.sendCancel(c) })
	}
	p.finish(r, false)
}

// finish ends a stream's request in the state machine. The lock is held.
func (p *pool) finish(r *run, reuse bool) {
	r.slot = false
	delete(p.runs, r.id)
	p.apply(p.machine.Finish(p.now(), r.id, reuse))
}

// release takes the clean connection of a stream back. It is reset first; the
// state machine gets it back once the reset is answered, which also shows that
// the connection still works.
func (p *pool) release(r *run) {
	p.yield(r)
	c := r.conn
	c.attach(nil)
	if c.usable() {
		c.resetFor.Store(uint64(r.id))
		if _, err := c.request(resetBytes, time.Now().Add(resetTimeout), answer{kind: answerReset}); err == nil {
			p.mu.Lock()
			delete(p.runs, r.id)
			p.mu.Unlock()
			return
		}
	}
	c.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(r, false)
}

// clean implements owner.
func (p *pool) clean(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reuse := c.usable()
	p.apply(p.machine.Finish(p.now(), backend.RequestID(c.resetFor.Swap(0)), reuse))
	if !reuse {
		p.spawn(func() { c.end() })
	}
}

// resetBytes is the encoded reset query.
var resetBytes = encode(nil, &pgproto3.Query{String: resetQuery})

// observe notes the newest status of the server.
func (p *pool) observe(s dbconn.Status) { p.status.Store(&s) }

func (p *pool) lastStatus() dbconn.Status {
	if s := p.status.Load(); s != nil {
		return *s
	}
	return dbconn.Status{}
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
	age, ok := p.h.opt.Authority.Age(start.Group, s.Term, s.Position)
	if !ok {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "the age of %s at %d:%d is unknown", s.Server, s.Term, s.Position)
	}
	if bound := time.Duration(start.StalenessUs) * time.Microsecond; age > bound {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "the data of %s is %v old, %v is accepted", s.Server, age, bound)
	}
	return age, nil
}
