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

// Directory looks up the configuration, the primaries of groups and the hosts.
type Directory interface {
	// Document returns the configuration in force, nil before the first one has
	// been read.
	Document() *config.Document
	// Primary returns the group's primary and its term as last reported to this
	// host. ok is false while no primary is known.
	Primary(group string) (server string, term uint64, ok bool)
	// Home returns the live host that holds the server's home role.
	Home(server string) (Host, bool)
	// Host returns a live host by name.
	Host(name string) (Host, bool)
	// Reachable reports whether the host answers.
	Reachable(host string) bool
}

// Dialer opens Run streams at hosts, this host included.
type Dialer interface {
	// Dial opens a Run stream. An error means that the host has received
	// nothing.
	Dial(ctx context.Context, host Host) (peer.RunStream, error)
}

// Options configure a Router.
type Options struct {
	Zone      string
	Directory Directory
	Dialer    Dialer
	Counters  *telemetry.Counters
	// Seed makes the choice among equally ranked servers reproducible.
	Seed uint64
}

// Router opens Run streams. It implements entry.Opener.
type Router struct {
	opts      Options
	startedAt time.Time

	mu          sync.Mutex
	balancer    *Balancer
	retryBudget *RetryBudget
}

// New returns a Router.
func New(o Options) *Router {
	if o.Counters == nil {
		o.Counters = telemetry.NewCounters()
	}
	return &Router{
		opts:        o,
		startedAt:   time.Now(),
		balancer:    NewBalancer(rand.New(rand.NewPCG(o.Seed, 0))),
		retryBudget: NewRetryBudget(),
	}
}

func (r *Router) now() time.Duration { return time.Since(r.startedAt) }

// Open opens a stream for the request and sends start. It waits for a primary
// until the deadline of the request. The stream retries the request at another
// server where the verdict allows it.
func (r *Router) Open(ctx context.Context, start *peerpb.Start) (peer.RunStream, error) {
	s := &stream{
		router:   r,
		ctx:      ctx,
		start:    start,
		deadline: r.now() + time.Duration(start.TimeoutUs)*time.Microsecond,
		read:     start.Intent == peerpb.Intent_INTENT_READ,
	}
	s.repeatable = s.read && r.isRepeatable(start.Route)
	r.mu.Lock()
	r.retryBudget.AddFirstAttempt()
	r.mu.Unlock()
	if refusal := s.connect(nil); refusal != nil {
		return nil, refusal
	}
	return s, nil
}

func (r *Router) isRepeatable(route string) bool {
	doc := r.opts.Directory.Document()
	if doc == nil {
		return false
	}
	x, ok := doc.Route(route)
	return ok && x.Repeatable
}

// groupView returns the state of the group. It returns false if there is no
// configuration or if the configuration does not contain the group.
func (r *Router) groupView(group string) (GroupView, bool) {
	d := r.opts.Directory
	doc := d.Document()
	if doc == nil {
		return GroupView{}, false
	}
	g, ok := doc.Group(group)
	if !ok {
		return GroupView{}, false
	}
	v := GroupView{
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

// chooseCandidate returns the next candidate, or a refusal and the time to wait
// before the next choice.
func (r *Router) chooseCandidate(s *stream) (Candidate, time.Duration, *verdict.Error) {
	v, ok := r.groupView(s.start.Group)
	if !ok {
		return Candidate{}, backoffMax, verdict.New(verdict.NotRun, verdict.UnknownRoute, "group %q does not exist", s.start.Group)
	}
	for server, h := range s.homeHints {
		v.Homes[server] = h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.read {
		return r.balancer.WriteCandidate(r.now(), v)
	}
	primaryOnly := s.start.StalenessUs == 0 || s.staleReplicas >= maxStaleReplicas
	for _, c := range r.balancer.ReadCandidates(r.now(), v, primaryOnly) {
		if !s.triedServers[c.Server] {
			return c, 0, nil
		}
	}
	clear(s.triedServers)
	s.staleReplicas = 0
	s.rounds++
	return Candidate{}, r.balancer.backoff(s.rounds), verdict.New(verdict.NotRun, verdict.NoFreshReplica, "no server of group %q accepts the read", s.start.Group)
}

func (r *Router) takeRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryBudget.TakeRetry(r.now())
}

func (r *Router) recordSuccess(c Candidate, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordSuccess(r.now(), c, latency)
}

func (r *Router) recordFailure(c Candidate, reason verdict.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordFailure(r.now(), c, reason)
}

// isRetryable reports whether another attempt can succeed. Refusals because of
// the customer's own load are not retried, because a retry would add to that
// load; reads refused by one server's queue may be retried at another server.
func isRetryable(reason verdict.Reason, read bool) bool {
	switch reason {
	case verdict.QueueFull, verdict.DeadlineExpected:
		return read
	}
	return predictsServerFailure(reason)
}

// asRefusal returns the verdict.Error in the chain of err.
func asRefusal(err error) (*verdict.Error, bool) {
	var e *verdict.Error
	ok := errors.As(err, &e)
	return e, ok
}
