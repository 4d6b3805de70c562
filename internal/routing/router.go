package routing

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Directory tells where roles and primaries are.
type Directory interface {
	// Document returns the configuration in force, nil before the first.
	Document() *config.Document
	// Primary returns the group's primary as far as this host knows.
	Primary(group string) (server string, term uint64, ok bool)
	// Home returns the live holder of the server's home role.
	Home(server string) (Host, bool)
	// Host returns a live host by name.
	Host(name string) (Host, bool)
	// Reachable reports whether the host answers.
	Reachable(host string) bool
}

// Dialer opens a Run stream at a host, which can be the own one. An error means
// that the host has received nothing.
type Dialer interface {
	Dial(ctx context.Context, host Host) (peer.RunStream, error)
}

// Options configure a Router.
type Options struct {
	Zone      string
	Directory Directory
	Dialer    Dialer
	Counters  *telemetry.Counters
	// Seed makes the choice among equal servers reproducible.
	Seed uint64
}

// Router opens Run streams. It implements the entry host's Opener.
type Router struct {
	opts  Options
	epoch time.Time

	mu     sync.Mutex
	board  *Board
	budget *Budget
}

// New returns a Router.
func New(o Options) *Router {
	if o.Counters == nil {
		o.Counters = telemetry.NewCounters()
	}
	return &Router{
		opts:   o,
		epoch:  time.Now(),
		board:  NewBoard(rand.New(rand.NewPCG(o.Seed, 0))),
		budget: NewBudget(),
	}
}

func (r *Router) now() time.Duration { return time.Since(r.epoch) }

// Open opens a stream for the request and sends start. It waits for a primary up
// to the request's deadline. The stream repeats the request at another server
// where the verdict allows it.
func (r *Router) Open(ctx context.Context, start *peerpb.Start) (peer.RunStream, error) {
	s := &stream{
		router:   r,
		ctx:      ctx,
		start:    start,
		deadline: r.now() + time.Duration(start.TimeoutUs)*time.Microsecond,
		read:     start.Intent == peerpb.Intent_INTENT_READ,
	}
	s.repeatable = s.read && r.repeatable(start.Route)
	r.mu.Lock()
	r.budget.First()
	r.mu.Unlock()
	if refused := s.connect(nil); refused != nil {
		return nil, refused
	}
	return s, nil
}

func (r *Router) repeatable(route string) bool {
	doc := r.opts.Directory.Document()
	if doc == nil {
		return false
	}
	x, ok := doc.Route(route)
	return ok && x.Repeatable
}

// view collects what is known about the group.
func (r *Router) view(group string) (View, bool) {
	d := r.opts.Directory
	doc := d.Document()
	if doc == nil {
		return View{}, false
	}
	g, ok := doc.Group(group)
	if !ok {
		return View{}, false
	}
	v := View{
		OwnZone: r.opts.Zone, Group: g, ZonesOut: doc.Rules.ZonesOut,
		Homes: make(map[string]Host, len(g.Servers)), Unreachable: make(map[string]bool),
	}
	if server, term, ok := d.Primary(group); ok {
		v.Primary, v.Term = server, term
	}
	for _, s := range g.Servers {
		if h, ok := d.Home(s.Name); ok {
			v.Homes[s.Name] = h
			v.Unreachable[h.Name] = !d.Reachable(h.Name)
		}
	}
	return v, true
}

// choose returns the next candidate, or the time to wait for one.
func (r *Router) choose(s *stream) (Candidate, time.Duration, *verdict.Error) {
	v, ok := r.view(s.start.Group)
	if !ok {
		return Candidate{}, coolMax, verdict.New(verdict.NotRun, verdict.UnknownRoute, "group %q does not exist", s.start.Group)
	}
	for server, h := range s.hints {
		v.Homes[server] = h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.read {
		return r.board.Write(r.now(), v)
	}
	current := s.start.StalenessUs == 0 || s.stale >= maxStaleReplicas
	for _, c := range r.board.Read(r.now(), v, current) {
		if !s.tried[c.Server] {
			return c, 0, nil
		}
	}
	clear(s.tried)
	s.stale = 0
	s.rounds++
	return Candidate{}, r.board.backoff(s.rounds), verdict.New(verdict.NotRun, verdict.NoFreshReplica, "no server of group %q accepts the read", s.start.Group)
}

func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Retry(r.now())
}

func (r *Router) succeeded(c Candidate, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.Succeeded(r.now(), c, latency)
}

func (r *Router) failed(c Candidate, reason verdict.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.Failed(r.now(), c, reason)
}

// retryable reports whether another attempt can help. Refusals that are about
// the customer's own load are final, because a retry would add to it.
func retryable(reason verdict.Reason, read bool) bool {
	switch reason {
	case verdict.QueueFull, verdict.DeadlineExpected:
		return read
	}
	return blamesServer(reason)
}

// asRefusal returns the refusal in err's chain.
func asRefusal(err error) (*verdict.Error, bool) {
	var e *verdict.Error
	ok := errors.As(err, &e)
	return e, ok
}
