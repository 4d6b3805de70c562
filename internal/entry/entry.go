package entry

import (
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

// Entry serves client connections.
type Entry struct {
	opts       Options
	sessions   *registry
	handshakes chan struct{}
	draining   atomic.Bool
	requestID  atomic.Uint64
	routes     atomic.Pointer[routeIndex]
	positions  *positionCache
	// base outlives Run's context until the sessions have ended.
	base context.Context
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// New returns an Entry. Run starts it.
func New(o Options) *Entry {
	o.setDefaults()
	base, stop := context.WithCancel(context.Background())
	e := &Entry{
		opts:       o,
		sessions:   newRegistry(hostBits(o.Host)),
		handshakes: make(chan struct{}, maxHandshakes),
		base:       base,
		stop:       stop,
	}
	e.positions = newPositionCache(base, o.Positions, e.wg.Go)
	return e
}

// Run accepts clients until ctx ends, then closes every session.
func (e *Entry) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	duties.Go(func() { e.watchKeys(ctx) })
	duties.Go(func() {
		<-ctx.Done()
		e.draining.Store(true)
		_ = e.opts.Listener.Close()
	})
	err := e.accept(ctx)
	e.stop()
	e.sessions.each(func(c *client) { c.kick(draining(), true) })
	e.wg.Wait()
	duties.Wait()
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
			// Accept fails when file descriptors run out; sessions that end
			// free some.
			e.opts.Counters.Add("accept_errors", 1)
			if !clock.Sleep(ctx, acceptPause) {
				return nil
			}
			continue
		}
		select {
		case e.handshakes <- struct{}{}:
			e.wg.Go(func() {
				defer func() { <-e.handshakes }()
				e.login(conn)
			})
		default:
			e.refused(verdict.New(verdict.NotRun, verdict.TooManyClients, "too many logins in progress"))
			_ = conn.Close()
		}
	}
}

// acceptPause is the pause after a failed accept.
const acceptPause = 10 * time.Millisecond

// Sessions returns the number of open sessions.
func (e *Entry) Sessions() int { return e.sessions.len() }

// Drain refuses new sessions, closes idle ones between transactions and lets
// open transactions end. It returns when no session is left or ctx has ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	for {
		e.sessions.each(func(c *client) { c.kick(draining(), false) })
		if e.sessions.len() == 0 {
			return nil
		}
		if !clock.Sleep(ctx, drainPoll) {
			return ctx.Err()
		}
	}
}

// drainPoll is the interval at which Drain looks for sessions that are left.
const drainPoll = 20 * time.Millisecond

func draining() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.Draining, "the host is shutting down")
}

// refused counts and logs a refusal. Refusals that leave an outcome open are
// logged as warnings; the others follow the load and would flood the log.
func (e *Entry) refused(err *verdict.Error) {
	e.opts.Counters.Refused(err.Reason)
	line := e.opts.Logger.Debug()
	if err.Verdict == verdict.MayHaveRun {
		line = e.opts.Logger.Warn()
	}
	line.Str("reason", string(err.Reason)).Str("verdict", err.Verdict.String()).Msg(err.Message)
}

// watchKeys ends sessions whose key is no longer accepted, and, between their
// transactions, all sessions of a host whose availability zone is out.
func (e *Entry) watchKeys(ctx context.Context) {
	ticker := time.NewTicker(keySweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-e.opts.KeysChanged:
		}
		e.sweepKeys()
		if doc := e.opts.Document(); doc != nil && e.zoneOut(doc) {
			e.sessions.each(func(c *client) { c.kick(zoneIsOut(), false) })
		}
	}
}

func zoneIsOut() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ZoneOut, "the availability zone of this host is out of service")
}

func (e *Entry) sweepKeys() {
	type proof struct{ route, customer, key string }
	checked := make(map[proof]error)
	e.sessions.each(func(c *client) {
		p := proof{c.routeName, c.customer, c.key}
		err, ok := checked[p]
		if !ok {
			err = e.opts.Keys.Check(p.route, p.customer, p.key)
			checked[p] = err
		}
		if err != nil {
			c.kick(verdict.From(err), true)
		}
	})
}

// routeIndex holds the routes of one document by name.
type routeIndex struct {
	document *config.Document
	routes   map[string]config.Route
}

// route returns a route of the configuration in force.
func (e *Entry) route(name string) (config.Route, *config.Document, bool) {
	doc := e.opts.Document()
	if doc == nil {
		return config.Route{}, nil, false
	}
	x := e.routes.Load()
	if x == nil || x.document != doc {
		x = &routeIndex{document: doc, routes: make(map[string]config.Route, len(doc.Rules.Routes))}
		for _, r := range doc.Rules.Routes {
			x.routes[r.Name] = r
		}
		e.routes.Store(x)
	}
	r, ok := x.routes[name]
	return r, doc, ok
}
