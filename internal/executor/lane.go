package executor

import (
	"context"
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// openTimeout bounds the opening of a connection, which takes up to 30 ms.
	openTimeout = 400 * time.Millisecond
	// openPause is the pause after a connection could not be opened.
	openPause = 50 * time.Millisecond
	// verifyTimeout bounds the sign of life of a connection that may be silent.
	verifyTimeout = 100 * time.Millisecond
	// maxPrepared bounds the prepared statements of a connection.
	maxPrepared = 200
)

// lane is one life of a backend server at this host: its dispatcher and its
// connections.
type lane struct {
	x      *Executor
	server catalog.Server

	mu      sync.Mutex
	machine *backend.Dispatcher
	conns   map[backend.ConnID]*conn
	waiters map[backend.RequestID]chan backend.Action
	nextID  backend.RequestID
	// overdue is the time of the last answer that did not come. Connections that
	// have not answered since have to prove that they are not silent.
	overdue time.Duration
	retired bool
	// coldTokens are the requests that the server may get while it is cold, as of
	// coldAt.
	coldTokens float64
	coldAt     time.Duration
}

// conn is a backend connection with what this host knows of its state.
type conn struct {
	statement.Conn
	id       backend.ConnID
	customer string
	values   map[string]string
	prepared map[string]bool
	// uncertain is set when the values may differ from what is known.
	uncertain bool
	// answered is the time of the last answer.
	answered time.Duration
}

// forget notes that the connection was reset.
func (c *conn) forget() {
	clear(c.values)
	clear(c.prepared)
	c.uncertain = false
}

func newLane(x *Executor, s catalog.Server) *lane {
	return &lane{
		x: x, server: s, machine: backend.NewDispatcher(limits(s)),
		conns: map[backend.ConnID]*conn{}, waiters: map[backend.RequestID]chan backend.Action{},
	}
}

func limits(s catalog.Server) backend.Settings {
	return backend.Settings{Slots: s.Slots, Connections: s.Connections}
}

// apply carries out the dispatcher's actions. The caller holds the lock.
func (l *lane) apply(actions []backend.Action) {
	for _, a := range actions {
		switch a.Kind {
		case backend.Open:
			go l.open(a.Conn, a.Customer)
		case backend.Close:
			c := l.conns[a.Conn]
			delete(l.conns, a.Conn)
			go l.closeConn(c)
		default:
			if w, ok := l.waiters[a.Request]; ok {
				w <- a
			}
		}
	}
}

// do runs one call of the dispatcher under the lock.
func (l *lane) do(call func(now time.Duration) []backend.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(call(l.x.opt.Clock()))
}

func (l *lane) open(id backend.ConnID, customer string) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	began := l.x.opt.Clock()
	raw, err := l.x.opt.Dialer.Dial(ctx, statement.Target{
		Address: l.server.Address, Group: l.server.Group, Server: l.server.Name, Customer: customer,
	})
	now := l.x.opt.Clock()
	if err != nil {
		e := verdict.From(err)
		l.x.opt.Log.Info().Str("server", l.server.Name).Str("customer", customer).Dur("took", now-began).Err(err).Msg("backend connection failed")
		l.x.opt.Counters.Add("backend_connections_failed", 1)
		time.Sleep(openPause)
		l.do(func(now time.Duration) []backend.Action { return l.machine.OpenFailed(now, id, e.Reason) })
		return
	}
	l.x.opt.Counters.Add("backend_connections_opened", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[id] = &conn{Conn: raw, id: id, customer: customer, values: map[string]string{}, prepared: map[string]bool{}, answered: now}
	l.apply(l.machine.Opened(now, id))
	if l.retired {
		l.apply(l.machine.DropIdle(now, 0))
	}
}

func (l *lane) closeConn(c *conn) {
	if c != nil {
		c.Close()
	}
	l.do(func(now time.Duration) []backend.Action { return l.machine.Closed(now) })
}

// acquire waits for a slot and a connection of the customer.
func (l *lane) acquire(ctx context.Context, customer string, priority int, wait time.Duration, deadline time.Duration) (backend.RequestID, *conn, error) {
	w := make(chan backend.Action, 1)
	l.mu.Lock()
	if l.retired {
		l.mu.Unlock()
		return 0, nil, verdict.New(verdict.NotRun, verdict.ServerLeaving, "%s is gone", l.server.Name)
	}
	l.nextID++
	id := l.nextID
	l.waiters[id] = w
	l.apply(l.machine.Request(l.x.opt.Clock(), id, customer, priority, wait))
	l.mu.Unlock()
	return l.await(ctx, id, w, deadline)
}

// resume waits for a slot for the next statement of a request that holds a
// connection.
func (l *lane) resume(ctx context.Context, id backend.RequestID, deadline time.Duration) error {
	w := make(chan backend.Action, 1)
	l.mu.Lock()
	l.waiters[id] = w
	l.apply(l.machine.Resume(l.x.opt.Clock(), id))
	l.mu.Unlock()
	_, _, err := l.await(ctx, id, w, deadline)
	return err
}

func (l *lane) await(ctx context.Context, id backend.RequestID, w chan backend.Action, deadline time.Duration) (backend.RequestID, *conn, error) {
	t := time.NewTimer(deadline - l.x.opt.Clock())
	defer t.Stop()
	var a backend.Action
	reason := verdict.DeadlineExceeded
	select {
	case a = <-w:
	case <-t.C:
	case <-ctx.Done():
		reason = verdict.Cancelled
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiters, id)
	if a.Kind == 0 {
		select {
		case a = <-w: // decided just before the lock was taken
		default:
			l.apply(l.machine.Cancel(l.x.opt.Clock(), id))
			return 0, nil, verdict.New(verdict.NotRun, reason, "no slot of %s became free in time", l.server.Name)
		}
	}
	if a.Kind == backend.Refuse {
		return 0, nil, verdict.New(verdict.NotRun, a.Reason, "%s cannot serve the request in time", l.server.Name)
	}
	return id, l.conns[a.Conn], nil
}

// yield gives the slot back and keeps the connection.
func (l *lane) yield(id backend.RequestID) {
	l.do(func(now time.Duration) []backend.Action { return l.machine.Yield(now, id) })
}

// finish ends a request. A connection that is not reusable is closed.
func (l *lane) finish(id backend.RequestID, c *conn, reuse bool) {
	l.mu.Lock()
	reuse = reuse && !l.retired
	if !reuse {
		delete(l.conns, c.id)
	}
	l.apply(l.machine.Finish(l.x.opt.Clock(), id, reuse))
	l.mu.Unlock()
	if !reuse {
		l.closeConn(c)
	}
}

// retire ends the lane: it takes no new requests, and its connections close when
// their transactions end.
func (l *lane) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	l.apply(l.machine.DropIdle(l.x.opt.Clock(), 0))
}

// coldRate returns the number of requests a second that the server takes while it
// is cold, 0 when it is not.
func (l *lane) coldRate() float64 {
	s, ok := l.x.opt.Snapshot().Server(l.server.Name)
	if !ok || l.x.opt.Clock() >= s.ColdUntil {
		return 0
	}
	return s.ColdRate
}

// admitCold reports whether a server may get another request now. A server that
// has just started gets few, so that it is not overrun.
func (l *lane) admitCold() bool {
	rate := l.coldRate()
	if rate <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.x.opt.Clock()
	l.coldTokens = min(1, l.coldTokens+rate*(now-l.coldAt).Seconds())
	l.coldAt = now
	if l.coldTokens < 1 {
		return false
	}
	l.coldTokens--
	return true
}

// noteOverdue remembers that an answer did not come.
func (l *lane) noteOverdue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.overdue = l.x.opt.Clock()
}

// suspicious reports whether the connection may be silent.
func (l *lane) suspicious(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.answered < l.overdue
}
