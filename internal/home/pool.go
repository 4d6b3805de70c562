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
	// dialTimeout bounds one connection attempt.
	dialTimeout = 2 * time.Second
	// dialBackoff is the delay after a failed connection attempt or takeover.
	dialBackoff = 100 * time.Millisecond
	// resetTimeout bounds the write of the reset query.
	resetTimeout = time.Second
)

// pool holds the data connections to one backend server for one epoch of its
// home role. The dispatcher of package backend decides which stream gets a
// connection and a slot, and which connections are opened and closed; the pool
// performs the dispatcher's actions.
type pool struct {
	h          *Home
	group      string
	name       string
	address    string
	epoch      uint64
	clockStart time.Time

	ctx  context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
	// recountRequests signals the control goroutine to count the server's
	// connections.
	recountRequests chan struct{}
	// cancelLimiter limits the cancel requests in flight to one.
	cancelLimiter chan struct{}
	// probeRunning and recountRunning are set while a probe or a recount runs,
	// so that at most one of each does.
	probeRunning, recountRunning atomic.Bool
	// takeoverDone is set once the connections of older epochs have been
	// evicted.
	takeoverDone atomic.Bool
	status       atomic.Pointer[dbconn.Status]

	mu         sync.Mutex
	server     config.Server
	dispatcher *backend.SharedDispatcher
	conns      map[backend.ConnID]*conn
	streams    map[backend.RequestID]*runStream
	lastID     uint64
	// unreachable is set after a failed takeover, or a failed dial while no
	// connection is open.
	unreachable bool
	// unconfirmedCloses counts the connections that this host closed without a
	// confirmation from the server, which may still count them. It is valid
	// until unconfirmedUntil.
	unconfirmedCloses int
	unconfirmedUntil  time.Time
	draining          bool
	drained           chan struct{}
}

func newPool(h *Home, group string, server config.Server, epoch uint64) *pool {
	p := &pool{
		h: h, group: group, name: server.Name, address: server.Address,
		server: server, epoch: epoch, clockStart: time.Now(),
		recountRequests: make(chan struct{}, 1),
		cancelLimiter:   make(chan struct{}, 1),
		dispatcher:      backend.NewSharedDispatcher(dispatcherSettings(server)),
		conns:           make(map[backend.ConnID]*conn),
		streams:         make(map[backend.RequestID]*runStream),
		drained:         make(chan struct{}),
	}
	p.ctx, p.stop = context.WithCancel(h.ctx)
	// No connection may be opened until the takeover has counted those that are
	// already open.
	p.dispatcher.SetOtherConnections(0, server.Connections)
	return p
}

func dispatcherSettings(s config.Server) backend.Settings {
	return backend.Settings{Slots: s.Slots, Connections: s.Connections}
}

func (p *pool) now() time.Duration { return time.Since(p.clockStart) }

// reconfigure applies new settings. It returns false if the pool has to be
// replaced instead.
func (p *pool) reconfigure(group string, server config.Server, epoch uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining || p.group != group || p.epoch != epoch || p.address != server.Address {
		return false
	}
	p.server = server
	p.applyActions(p.dispatcher.Configure(p.now(), dispatcherSettings(server)))
	return true
}

// drain rejects new work with the reason and lets open transactions finish. It
// returns false if the pool is already draining.
func (p *pool) drain(reason verdict.Reason) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		return false
	}
	p.draining = true
	p.applyActions(p.dispatcher.Drain(p.now(), reason))
	p.signalIfDrained()
	return true
}

// signalIfDrained closes the drained channel once a draining pool has no
// connection left.
func (p *pool) signalIfDrained() {
	if p.draining && p.dispatcher.Drained() {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}

// run takes the server over, maintains the connections and returns when all of
// them are closed.
func (p *pool) run() {
	p.wg.Go(p.controlLoop)
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
		c.terminate()
	}
	p.wg.Wait()
}

// applyActions performs the actions of the dispatcher. The caller holds mu.
func (p *pool) applyActions(actions []backend.Action) {
	for _, a := range actions {
		switch a.Kind {
		case backend.ActionGrant:
			r := p.streams[a.Request]
			r.conn = p.conns[a.Conn]
			r.decisions <- queueDecision{}
		case backend.ActionContinue:
			p.streams[a.Request].decisions <- queueDecision{}
		case backend.ActionRefuse:
			r := p.streams[a.Request]
			if r.conn == nil {
				delete(p.streams, a.Request)
			}
			r.decisions <- queueDecision{err: verdict.New(verdict.NotRun, a.Reason, "%s: request rejected while queued", p.name)}
		case backend.ActionOpen:
			p.startDial()
		case backend.ActionClose:
			// The connection may have closed in the meantime.
			if c, ok := p.conns[a.Conn]; ok {
				p.spawn(func() { c.terminate() })
			}
		}
	}
}

// spawn starts a goroutine unless the pool is stopping. The caller holds mu, so
// that no goroutine is added after run has started to wait for them.
func (p *pool) spawn(f func()) {
	if p.ctx.Err() == nil {
		p.wg.Go(f)
	}
}

// startDial opens one connection in the shared worker pool. The caller holds
// mu.
func (p *pool) startDial() {
	if p.ctx.Err() != nil {
		return
	}
	p.wg.Add(1)
	err := p.h.dialWorkers.Go(func() {
		defer p.wg.Done()
		p.dial()
	})
	if err != nil {
		p.wg.Done()
	}
}

// dial opens one connection and registers it with the dispatcher.
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
	p.wg.Go(c.readLoop)
	p.applyActions(p.dispatcher.RecordOpened(p.now(), c.id))
	if p.ctx.Err() != nil {
		p.wg.Go(func() { c.terminate() })
	}
	p.signalIfDrained()
}

// dialFailed handles a failed connection attempt. If no connection is open, it
// rejects the waiting requests so that they are retried on another server
// immediately. The caller holds mu.
func (p *pool) dialFailed(err error) {
	if p.ctx.Err() == nil {
		p.h.opt.Log.Warn().Str("server", p.name).Err(err).Msg("opening a backend connection failed")
	}
	p.h.opt.Counters.Add("backend_dial_failed", 1)
	if len(p.conns) == 0 {
		p.unreachable = true
		p.applyActions(p.dispatcher.RefuseWaiting(p.now(), verdict.BackendUnreachable))
	}
	p.requestRecount()
	if p.ctx.Err() != nil {
		p.applyActions(p.dispatcher.RecordOpenFailed(p.now()))
		return
	}
	time.AfterFunc(dialBackoff, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.applyActions(p.dispatcher.RecordOpenFailed(p.now()))
		p.signalIfDrained()
	})
}

func (p *pool) connect() (*conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
	defer cancel()
	dc, err := dbconn.Dial(ctx, p.address, p.h.opt.Credentials, p.h.applicationName(p.epoch))
	if err != nil {
		return nil, err
	}
	raw, err := dc.Hijack(ctx)
	if err != nil {
		_ = dc.Close()
		return nil, errors.Wrap(err, "hijack backend connection")
	}
	if raw.Frontend.ReadBufferLen() > 0 {
		_ = raw.Conn.Close()
		return nil, errors.New("backend server sent unexpected data after the startup sequence")
	}
	p.mu.Lock()
	p.lastID++
	id := backend.ConnID(p.lastID)
	p.mu.Unlock()
	return newConn(id, raw, p), nil
}

// handleConnEnd implements connOwner.
func (p *pool) handleConnEnd(c *conn, err error, confirmed bool) {
	var fatal *serverError
	if errors.As(err, &fatal) && fatal.code == sqlStateAdminShutdown {
		p.handleEviction()
	}
	if m := asMisplaced(err); m != nil {
		p.h.opt.Counters.Add("backend_answer_misplaced", 1)
		p.h.opt.Log.Warn().Str("server", p.name).Uint64("connection", uint64(c.id)).Uint64("request", m.requestID).
			Str("reason", m.reason).Msg("backend connection closed after a misplaced answer")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if id := c.resetFor.Load(); id != 0 {
		p.applyActions(p.dispatcher.Finish(p.now(), backend.RequestID(id), false))
	}
	p.applyActions(p.dispatcher.RecordClosed(p.now(), c.id))
	if !confirmed {
		// The server may still count the connection; a recount determines
		// whether it does.
		p.unconfirmedCloses, p.unconfirmedUntil = p.unconfirmedCloses+1, time.Now().Add(unconfirmedCloseTTL)
		p.applyActions(p.dispatcher.SetOtherConnections(p.now(), p.dispatcher.OtherConnections()+1))
		p.requestRecount()
	}
	// Remove the connection last, because the actions above may refer to it.
	delete(p.conns, c.id)
	p.signalIfDrained()
}

// hasActiveStream reports whether a stream holds a connection.
func (p *pool) hasActiveStream() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.streams {
		if r.conn != nil {
			return true
		}
	}
	return false
}

// handleEviction drains the pool after another home host has taken the server
// over. The server is not served again until the next call of ServeBackend.
func (p *pool) handleEviction() {
	if p.ctx.Err() != nil || !p.drain(verdict.WrongHome) {
		return
	}
	p.h.opt.Counters.Add("home_evicted", 1)
	p.h.opt.Log.Warn().Str("server", p.name).Uint64("epoch", p.epoch).Msg("backend connections evicted by another home host")
	p.h.removePool(p)
	if p.h.opt.OnEvicted != nil {
		p.h.opt.OnEvicted(p.name)
	}
}

// acquire waits for a connection and a slot for the stream.
func (p *pool) acquire(r *runStream) error {
	p.mu.Lock()
	if err := p.admissionError(); err != nil {
		p.mu.Unlock()
		return err
	}
	p.lastID++
	r.id = backend.RequestID(p.lastID)
	p.streams[r.id] = r
	p.applyActions(p.dispatcher.Request(p.now(), r.id, r.start.Customer, p.dispatcherDeadline(r)))
	p.mu.Unlock()
	if err := p.awaitGrant(r, r.cancelled); err != nil {
		p.dequeue(r)
		return err
	}
	r.holdsSlot = true
	return nil
}

// admissionError returns the reason for which the server accepts no new work,
// or nil. The caller holds mu.
func (p *pool) admissionError() error {
	switch {
	case p.server.Leaving:
		return verdict.New(verdict.NotRun, verdict.ServerLeaving, "%s is leaving", p.name)
	case p.unreachable:
		return verdict.New(verdict.NotRun, verdict.BackendUnreachable, "%s cannot be reached", p.name)
	default:
		return nil
	}
}

// dispatcherDeadline returns the deadline of a stream on the clock of the
// dispatcher.
func (p *pool) dispatcherDeadline(r *runStream) time.Duration { return r.deadline.Sub(p.clockStart) }

// awaitGrant waits for the decision of the dispatcher. It returns an error if
// the request is refused, or if cancelled is closed, the deadline passes or the
// entry host disconnects first.
func (p *pool) awaitGrant(r *runStream, cancelled <-chan struct{}) error {
	select {
	case g := <-r.decisions:
		return g.err
	case <-cancelled:
		return r.notRunError(verdict.Cancelled, "cancelled while queued")
	case <-r.timer.C:
		return r.notRunError(verdict.DeadlineExceeded, "deadline passed while queued")
	case <-r.stream.Context().Done():
		return r.notRunError(verdict.Cancelled, "entry host disconnected")
	}
}

// dequeue ends the request of a stream that was not admitted, or that was
// admitted after it had stopped waiting. It does nothing if the dispatcher has
// already refused the request.
func (p *pool) dequeue(r *runStream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.streams[r.id]; !ok {
		return
	}
	p.finishRequest(r, true)
}

// reacquireSlot waits for a slot for the next statement of an open transaction.
func (p *pool) reacquireSlot(r *runStream) error {
	p.mu.Lock()
	p.applyActions(p.dispatcher.Resume(p.now(), r.id, p.dispatcherDeadline(r)))
	p.mu.Unlock()
	if err := p.awaitGrant(r, nil); err != nil {
		return err
	}
	r.holdsSlot = true
	return nil
}

// releaseSlot releases the stream's slot on the backend server.
func (p *pool) releaseSlot(r *runStream) {
	if !r.holdsSlot {
		return
	}
	r.holdsSlot = false
	p.mu.Lock()
	p.applyActions(p.dispatcher.Yield(p.now(), r.id))
	p.mu.Unlock()
}

// discardConn closes the stream's connection and sends a cancel request for the
// running statement, because the backend server detects a closed connection
// only between statements.
func (p *pool) discardConn(r *runStream) {
	r.setPhase(phaseIdle)
	c := r.conn
	closeStarted := c.terminate()
	c.attach(nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if closeStarted {
		p.spawn(func() { p.sendCancel(c) })
	}
	p.finishRequest(r, false)
}

// finishRequest ends a stream's request in the dispatcher. The caller holds mu.
func (p *pool) finishRequest(r *runStream, reuse bool) {
	r.holdsSlot = false
	delete(p.streams, r.id)
	p.applyActions(p.dispatcher.Finish(p.now(), r.id, reuse))
}

// resetConn resets the stream's connection for reuse. The connection becomes
// available to the dispatcher when the reset query has been answered, which also
// shows that the connection still works.
func (p *pool) resetConn(r *runStream) {
	p.releaseSlot(r)
	c := r.conn
	c.attach(nil)
	if c.isUsable() {
		c.resetFor.Store(uint64(r.id))
		if _, err := c.sendRequest(resetQueryBytes, time.Now().Add(resetTimeout), expectedAnswer{kind: answerReset}); err == nil {
			p.mu.Lock()
			delete(p.streams, r.id)
			p.mu.Unlock()
			return
		}
	}
	c.terminate()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishRequest(r, false)
}

// handleResetDone implements connOwner.
func (p *pool) handleResetDone(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reuse := c.isUsable()
	p.applyActions(p.dispatcher.Finish(p.now(), backend.RequestID(c.resetFor.Swap(0)), reuse))
	if !reuse {
		p.spawn(func() { c.terminate() })
	}
}

var resetQueryBytes = encode(nil, &pgproto3.Query{String: resetQuery})

// recordStatus stores the latest status of the server.
func (p *pool) recordStatus(s dbconn.Status) { p.status.Store(&s) }

func (p *pool) lastStatus() dbconn.Status {
	if s := p.status.Load(); s != nil {
		return *s
	}
	return dbconn.Status{}
}

// wasPrimary reports whether the server was the primary in its latest status.
func (p *pool) wasPrimary() bool { return p.lastStatus().Role == dbconn.Primary }

// lastStatusSatisfies reports whether the latest known status of the server
// satisfies a read, so that the status query can be sent together with the
// request.
func (p *pool) lastStatusSatisfies(r *runStream) bool {
	s := p.lastStatus()
	switch {
	case s.Role == dbconn.Primary:
		return r.term != 0 && s.Term == r.term
	case s.Role != dbconn.Replica || r.requiresPrimary():
		return false
	}
	_, err := p.checkFreshness(s, r.start)
	return err == nil
}

// checkFreshness checks a replica's status against the floor and the staleness
// bound of a read. It returns the age of the replica's data.
func (p *pool) checkFreshness(s dbconn.Status, start *peerpb.Start) (time.Duration, error) {
	// Compare both term and position: positions continue from term to term, so
	// a replica in a newer term may not have applied the floor's position yet.
	if f := start.Floor; f != nil && (s.Term < f.Term || s.Position < f.Position) {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "%s is at position %d:%d, the session requires %d:%d", s.Server, s.Term, s.Position, f.Term, f.Position)
	}
	age, ok := p.h.opt.Authority.DataAge(start.Group, s.Term, s.Position)
	if !ok {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "the age of %s at %d:%d is unknown", s.Server, s.Term, s.Position)
	}
	if bound := time.Duration(start.StalenessUs) * time.Microsecond; age > bound {
		return 0, verdict.New(verdict.MayHaveRun, verdict.NoFreshReplica, "the data of %s is %v old, %v is accepted", s.Server, age, bound)
	}
	return age, nil
}
