package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/pace"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/supervise"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// openTimeout limits the time to open a connection. It normally takes up to 30 ms.
	openTimeout = 400 * time.Millisecond
	// openFailureDelay is the time between a failure to open a connection and its
	// report to the dispatcher, which may then open another one.
	openFailureDelay = 50 * time.Millisecond
	// probeTimeout limits the wait for the answer of a connection that may be
	// unresponsive.
	probeTimeout = 100 * time.Millisecond
	// minRecheck is the least time after which a waiting request is decided again.
	minRecheck = 5 * time.Millisecond
	// maxPrepared limits the prepared statements of a connection.
	maxPrepared = 200
)

// serverPool holds the dispatcher and the connections of a backend server. A server
// that is registered again or changes its address gets a new pool.
type serverPool struct {
	x      *Executor
	server catalog.Server

	mu         sync.Mutex
	dispatcher *backend.Dispatcher
	conns      map[backend.ConnID]*conn
	waiters    map[backend.RequestID]chan backend.Action
	lastID     backend.RequestID
	// lastOverdue is the time at which the server last failed to answer in time. A
	// connection that has not answered since then is probed before it is used.
	lastOverdue time.Duration
	retired     bool
	// detector decides whether the server gets reads.
	detector *supervise.Detector
	// pace limits the concurrent statements, settings are those of the dispatcher.
	// isPrimary is set while the requests use the server as the primary.
	pace      *pace.Limit
	settings  backend.Settings
	isPrimary bool
	// coldTokens is the content of the token bucket that limits the requests to a cold
	// server, one that has just started; coldRefilledAt is the time of the last refill.
	coldTokens     float64
	coldRefilledAt time.Duration
}

// conn is a backend connection and its state as recorded by this host.
type conn struct {
	statement.Conn
	id       backend.ConnID
	customer string
	values   map[string]string
	// prepared holds the names of the prepared statements.
	prepared map[string]bool
	// valuesUncertain is set when the session values at the server may differ from
	// values.
	valuesUncertain bool
	// lastAnswer is the time of the last answer on the connection.
	lastAnswer time.Duration
	// answeredError is set once the server has answered a statement with an error.
	answeredError bool
}

// clearState clears the recorded state after the connection was reset.
func (c *conn) clearState() {
	clear(c.values)
	clear(c.prepared)
	c.valuesUncertain = false
}

func newServerPool(x *Executor, s catalog.Server) *serverPool {
	p := &serverPool{
		x: x, server: s, conns: map[backend.ConnID]*conn{}, waiters: map[backend.RequestID]chan backend.Action{},
		detector: x.newDetector(s), pace: x.newPace(s),
	}
	p.settings = p.paced(x.dispatcherSettings(s))
	p.dispatcher = backend.NewDispatcher(p.settings)
	return p
}

func (x *Executor) dispatcherSettings(s catalog.Server) backend.Settings {
	settings := backend.Settings{Slots: s.Slots, Connections: s.Connections}
	if x.opt.ContentionControl {
		settings.Scheduling = backend.EarliestTarget
	}
	return settings
}

// applyActions executes the dispatcher's actions. The caller must hold mu.
func (p *serverPool) applyActions(actions []backend.Action) {
	for _, a := range actions {
		switch a.Kind {
		case backend.ActionOpen:
			go p.openConn(a.Conn, a.Customer)
		case backend.ActionClose:
			c := p.conns[a.Conn]
			delete(p.conns, a.Conn)
			go p.closeConn(c)
		case backend.ActionRecheck:
			time.AfterFunc(a.Delay, func() { p.withDispatcher(p.dispatcher.Recheck) })
		default:
			if w, ok := p.waiters[a.Request]; ok {
				w <- a
			}
		}
	}
}

// withDispatcher runs call, which calls the dispatcher, under the lock and executes the
// resulting actions.
func (p *serverPool) withDispatcher(call func(now time.Duration) []backend.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyActions(call(p.x.opt.Clock()))
}

func (p *serverPool) openConn(id backend.ConnID, customer string) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	began := p.x.opt.Clock()
	raw, err := p.x.opt.Dialer.Dial(ctx, statement.Target{
		Address: p.server.Address, Group: p.server.Group, Server: p.server.Name, Customer: customer,
	})
	now := p.x.opt.Clock()
	if err != nil {
		e := verdict.From(err)
		p.x.opt.Log.Info().Str("server", p.server.Name).Str("customer", customer).Dur("took", now-began).Err(err).Msg("backend connection failed")
		p.x.opt.Counters.Add("backend_connections_failed", 1)
		p.recordOpenFailure(customer, e)
		time.Sleep(openFailureDelay)
		p.withDispatcher(func(now time.Duration) []backend.Action { return p.dispatcher.RecordOpenFailed(now, id, e.Reason) })
		return
	}
	p.x.opt.Counters.Add("backend_connections_opened", 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[id] = &conn{Conn: raw, id: id, customer: customer, values: map[string]string{}, prepared: map[string]bool{}, lastAnswer: now}
	p.applyActions(p.dispatcher.RecordOpened(now, id))
	if p.retired {
		p.applyActions(p.dispatcher.DropIdle(now, 0))
	}
}

func (p *serverPool) closeConn(c *conn) {
	if c != nil {
		c.Close()
	}
	p.withDispatcher(func(now time.Duration) []backend.Action { return p.dispatcher.RecordClosed(now) })
}

// acquire waits for a slot and a connection of the customer. The dispatcher refuses the
// request when it expects a wait that is longer than useful.
func (p *serverPool) acquire(ctx context.Context, demand backend.Demand) (backend.RequestID, *conn, error) {
	w := make(chan backend.Action, 1)
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return 0, nil, verdict.New(verdict.NotRun, verdict.ServerLeaving, "backend server %s was replaced or removed", p.server.Name)
	}
	p.lastID++
	id := p.lastID
	p.waiters[id] = w
	now := p.x.opt.Clock()
	p.applyActions(p.dispatcher.Request(now, id, demand))
	p.mu.Unlock()
	recheckAfter := demand.Deadline - now
	if p.x.opt.ContentionControl {
		recheckAfter = max(demand.Wait, minRecheck)
	}
	return p.awaitGrant(ctx, id, w, demand.Deadline, recheckAfter)
}

// resume waits for a slot for the next statement of a request that holds a connection.
func (p *serverPool) resume(ctx context.Context, id backend.RequestID, deadline time.Duration) error {
	w := make(chan backend.Action, 1)
	p.mu.Lock()
	p.waiters[id] = w
	p.applyActions(p.dispatcher.Resume(p.x.opt.Clock(), id))
	p.mu.Unlock()
	_, _, err := p.awaitGrant(ctx, id, w, deadline, deadline-p.x.opt.Clock())
	return err
}

// awaitGrant waits for the dispatcher's decision, and cancels the request at its deadline.
// It asks the dispatcher to decide again each time that recheckAfter has passed.
func (p *serverPool) awaitGrant(ctx context.Context, id backend.RequestID, w chan backend.Action, deadline, recheckAfter time.Duration) (backend.RequestID, *conn, error) {
	a, reason := p.awaitDecision(ctx, w, deadline, recheckAfter)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
	if a.Kind == 0 {
		select {
		case a = <-w: // the dispatcher decided just before the lock was taken
		default:
			p.applyActions(p.dispatcher.Cancel(p.x.opt.Clock(), id))
			return 0, nil, verdict.New(verdict.NotRun, reason, "no slot of backend server %s became free in time", p.server.Name)
		}
	}
	if a.Kind == backend.ActionRefuse {
		return 0, nil, verdict.New(verdict.NotRun, a.Reason, "backend server %s cannot serve the request in time, its expected wait is %v", p.server.Name, a.Expected.Round(time.Millisecond))
	}
	return id, p.conns[a.Conn], nil
}

// awaitDecision returns the dispatcher's decision, or the reason why there is none.
func (p *serverPool) awaitDecision(ctx context.Context, w chan backend.Action, deadline, recheckAfter time.Duration) (backend.Action, verdict.Reason) {
	for {
		now := p.x.opt.Clock()
		t := time.NewTimer(min(deadline-now, recheckAfter))
		select {
		case a := <-w:
			t.Stop()
			return a, ""
		case <-ctx.Done():
			t.Stop()
			return backend.Action{}, verdict.Cancelled
		case <-t.C:
		}
		if p.x.opt.Clock() >= deadline {
			return backend.Action{}, verdict.DeadlineExceeded
		}
		p.withDispatcher(p.dispatcher.Recheck)
	}
}

// yieldSlot releases the slot of a request, which keeps its connection.
func (p *serverPool) yieldSlot(id backend.RequestID) {
	p.withDispatcher(func(now time.Duration) []backend.Action { return p.dispatcher.Yield(now, id) })
}

// finish ends a request and closes its connection unless reuse is set.
func (p *serverPool) finish(id backend.RequestID, c *conn, reuse bool) {
	p.mu.Lock()
	reuse = reuse && !p.retired
	if !reuse {
		delete(p.conns, c.id)
	}
	p.applyActions(p.dispatcher.Finish(p.x.opt.Clock(), id, reuse))
	p.mu.Unlock()
	if !reuse {
		p.closeConn(c)
	}
}

// retire stops the pool: it accepts no new requests, and its connections are closed
// when their transactions end.
func (p *serverPool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.applyActions(p.dispatcher.DropIdle(p.x.opt.Clock(), 0))
}

// coldRate returns the number of requests per second to which a cold server is
// limited, 0 when the server is not cold.
func (p *serverPool) coldRate() float64 {
	s, ok := p.x.opt.Snapshot().Server(p.server.Name)
	if !ok || p.x.opt.Clock() >= s.ColdUntil {
		return 0
	}
	return s.ColdRate
}

// admitCold takes a token from the token bucket of a cold server and reports whether
// there was one. Servers that have just started receive few requests, because they
// would be overloaded otherwise. It always returns true for other servers.
func (p *serverPool) admitCold() bool {
	rate := p.coldRate()
	if rate <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.x.opt.Clock()
	p.coldTokens = min(1, p.coldTokens+rate*(now-p.coldRefilledAt).Seconds())
	p.coldRefilledAt = now
	if p.coldTokens < 1 {
		return false
	}
	p.coldTokens--
	return true
}

// countDecisions adds the dispatcher's decisions since the last call to the counters.
func (p *serverPool) countDecisions() {
	p.mu.Lock()
	d := p.dispatcher.TakeCounts()
	p.mu.Unlock()
	for name, n := range map[string]uint64{
		"waiting_requests_expired": d.Expired, "waiting_requests_unservable": d.Unservable, "starved_requests_first": d.Starved,
		"backend_connections_displaced": d.Displaced, "backend_openings_avoided": d.OpeningsAvoided, "transactions_held_back": d.TransactionsHeldBack,
	} {
		if n > 0 {
			p.x.opt.Counters.Add(name, int64(n))
		}
	}
}

// recordOverdueAnswer records that the server did not answer in time.
func (p *serverPool) recordOverdueAnswer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastOverdue = p.x.opt.Clock()
}

// mayBeUnresponsive reports whether the connection has not answered since another
// answer of the server was overdue.
func (p *serverPool) mayBeUnresponsive(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.lastAnswer < p.lastOverdue
}

// load returns the load of the server at this moment.
func (p *serverPool) load() serverload.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.x.opt.Clock()
	l := p.dispatcher.Load(now)
	l.Server, l.MeasuredAt = p.server.Name, now
	p.addSupervision(now, &l)
	return l
}
