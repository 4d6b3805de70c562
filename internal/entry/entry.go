package entry

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Entry serves the client connections of one entry host.
type Entry struct {
	opts      Options
	sessions  *registry
	logins    *logins
	draining  atomic.Bool
	requestID atomic.Uint64
	routes    atomic.Pointer[routeIndex]
	positions *positionCoalescer
	// sessionCtx is the parent of the contexts of all sessions. Run cancels it after
	// its own context has ended.
	sessionCtx     context.Context
	cancelSessions context.CancelFunc
	wg             sync.WaitGroup
}

// New returns an Entry. Call Run to serve clients.
func New(o Options) *Entry {
	o.setDefaults()
	sessionCtx, cancelSessions := context.WithCancel(context.Background())
	e := &Entry{
		opts:           o,
		sessions:       newRegistry(processIDPrefix(o.Host)),
		logins:         newLogins(min(maxConcurrentLogins, max(o.MaxClients, minConcurrentLogins))),
		sessionCtx:     sessionCtx,
		cancelSessions: cancelSessions,
	}
	e.positions = newPositionCoalescer(sessionCtx, o.Positions, e.wg.Go)
	return e
}

// Run accepts clients until ctx ends, then closes every session and waits for
// their goroutines.
func (e *Entry) Run(ctx context.Context) error {
	var background sync.WaitGroup
	background.Go(func() { e.enforceConfiguration(ctx) })
	background.Go(func() {
		<-ctx.Done()
		e.draining.Store(true)
		_ = e.opts.Listener.Close()
	})
	err := e.accept(ctx)
	e.cancelSessions()
	e.sessions.forEach(func(c *client) { c.requestClose(drainingError(), true) })
	e.wg.Wait()
	background.Wait()
	return err
}

func (e *Entry) accept(ctx context.Context) error {
	for {
		conn, err := e.opts.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				<-ctx.Done()
				return nil
			}
			// Accept fails when file descriptors run out; they become free as
			// sessions end.
			e.opts.Counters.Add("accept_errors", 1)
			if !clock.Sleep(ctx, acceptRetryDelay) {
				return nil
			}
			continue
		}
		end, surplus := e.logins.begin(conn, time.Now())
		if surplus != nil {
			e.recordRefusal(verdict.New(verdict.NotRun, verdict.TooManyClients, "too many logins in progress; one was closed"))
			_ = surplus.Close()
		}
		if end == nil {
			continue
		}
		e.wg.Go(func() {
			defer end()
			e.login(conn)
		})
	}
}

// logins holds the connections whose login is in progress, oldest first.
type logins struct {
	max   int
	mu    sync.Mutex
	order *list.List
}

type pendingLogin struct {
	conn  net.Conn
	began time.Time
}

// loginGrace is how long a login may be in progress before it is closed for a new one.
const loginGrace = 2 * time.Second

func newLogins(limit int) *logins { return &logins{max: limit, order: list.New()} }

// begin adds a login and returns the function that ends it. If there are too many,
// surplus must be closed: the oldest login, or the new one, which then has no end, if the
// oldest has not had loginGrace.
func (l *logins) begin(conn net.Conn, now time.Time) (end func(), surplus net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.order.Len() >= l.max {
		oldest := l.order.Front()
		login := oldest.Value.(pendingLogin)
		if now.Sub(login.began) < loginGrace {
			return nil, conn
		}
		l.order.Remove(oldest)
		surplus = login.conn
	}
	entry := l.order.PushBack(pendingLogin{conn, now})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.order.Remove(entry) // no effect if it was the oldest one before
	}, surplus
}

// acceptRetryDelay is the delay before the next Accept after a failed one.
const acceptRetryDelay = 10 * time.Millisecond

// Sessions returns the number of open sessions.
func (e *Entry) Sessions() int { return e.sessions.len() }

// Drain refuses new sessions, closes sessions that have no open transaction, and
// lets open transactions finish. It returns nil when no session is left, or the
// error of ctx if ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	for {
		e.sessions.forEach(func(c *client) { c.requestClose(drainingError(), false) })
		if e.sessions.len() == 0 {
			return nil
		}
		if !clock.Sleep(ctx, drainPollInterval) {
			return ctx.Err()
		}
	}
}

// drainPollInterval is the interval at which Drain checks for remaining sessions.
const drainPollInterval = 20 * time.Millisecond

func drainingError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Draining, "the host is shutting down")
}

// recordRefusal counts and logs a refusal. A refusal with an unknown outcome is
// logged as a warning, any other at debug level: their number grows with the load
// and would flood the log.
func (e *Entry) recordRefusal(err *verdict.Error) {
	e.opts.Counters.CountRefusal(err.Reason)
	event := e.opts.Logger.Debug()
	if err.Verdict == verdict.MayHaveRun {
		event = e.opts.Logger.Warn()
	}
	event.Str("reason", string(err.Reason)).Str("verdict", err.Verdict.String()).Msg(err.Message)
}

// enforceConfiguration closes sessions whose key is no longer accepted. If the
// availability zone of this host is out of service, it closes all sessions as soon
// as they have no open transaction.
func (e *Entry) enforceConfiguration(ctx context.Context) {
	ticker := time.NewTicker(keyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.opts.KeysChanged:
		}
		e.checkKeys()
		if doc := e.opts.Document(); doc != nil && e.zoneOutOfService(doc) {
			e.sessions.forEach(func(c *client) { c.requestClose(zoneOutOfServiceError(), false) })
		}
	}
}

func zoneOutOfServiceError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ZoneOut, "the availability zone of this host is out of service")
}

func (e *Entry) checkKeys() {
	type credential struct{ route, customer, key string }
	checked := make(map[credential]error)
	e.sessions.forEach(func(c *client) {
		cred := credential{c.routeName, c.customer, c.keyID}
		err, ok := checked[cred]
		if !ok {
			err = e.opts.Keys.CheckSession(cred.route, cred.customer, cred.key)
			checked[cred] = err
		}
		if err != nil {
			c.requestClose(verdict.From(err), true)
		}
	})
}

// routeIndex holds the routes of one configuration document by name.
type routeIndex struct {
	document *config.Document
	routes   map[string]config.Route
}

// route returns the named route and its document from the configuration in force.
func (e *Entry) route(name string) (config.Route, *config.Document, bool) {
	doc := e.opts.Document()
	if doc == nil {
		return config.Route{}, nil, false
	}
	index := e.routes.Load()
	if index == nil || index.document != doc {
		index = &routeIndex{document: doc, routes: make(map[string]config.Route, len(doc.Rules.Routes))}
		for _, r := range doc.Rules.Routes {
			index.routes[r.Name] = r
		}
		e.routes.Store(index)
	}
	r, ok := index.routes[name]
	return r, doc, ok
}
