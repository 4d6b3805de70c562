package bench

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

const (
	// connectTimeout bounds one attempt to open a session.
	connectTimeout = 2 * time.Second
	// requestTimeout is above every deadline of the example routes plus the
	// proxy's own grace, so that the proxy answers first.
	requestTimeout = 8 * time.Second
	// backlogPerSession bounds the arrivals of a stream that wait for a session.
	backlogPerSession = 4
	// keysPerGroup bounds the keys that reads choose from.
	keysPerGroup = 64
	// warmUpDials is the number of sessions that connect at once before the load.
	warmUpDials = 32
)

// Stream is an open-loop flow of one customer's requests to one group.
type Stream struct {
	// Class names the stream in figures.
	Class    string
	Customer string
	Group    string
	// WriteRoute and ReadRoutes are the routes that the sessions use.
	WriteRoute string
	ReadRoutes []string
	// WriteShare is the share of requests that write.
	WriteShare float64
	// Sessions is the number of sessions, and so of requests in flight.
	Sessions int
	// Hosts are the hosts between which the balancer distributes the sessions.
	Hosts []string
	// MoveEvery is the mean time after which a session reconnects through
	// another host; 0 means never.
	MoveEvery time.Duration
	// Peak is the highest value of Rate, in requests per second.
	Peak float64
	// Rate is the rate at a time after the start; nil means Peak.
	Rate func(time.Duration) float64
}

// Sample is the result of one scheduled request.
type Sample struct {
	Class, Customer, Host, Group string
	Write                        bool
	// Due is the scheduled time. Latency counts from it, so that a stalled
	// system cannot hide requests that wait for a session.
	Due, Sent, Done time.Duration
	Outcome         Outcome
	// State is the SQLSTATE of a refusal.
	State string
	// Within is set when the request was within the customer's rate when sent.
	Within bool
}

// Load generates requests and records what the clients see.
type Load struct {
	History History

	cluster *cluster.Cluster
	doc     *config.Document
	seed    uint64
	start   time.Time

	mu      sync.Mutex
	samples []Sample
	offered map[string]*bucket
	keys    map[string][]string // by group
	nextID  int
}

// NewLoad returns a load on a running deployment.
func NewLoad(c *cluster.Cluster, seed uint64) *Load {
	l := &Load{cluster: c, doc: c.Document(), seed: seed, start: time.Now(), offered: map[string]*bucket{}, keys: map[string][]string{}}
	for _, limit := range l.doc.Rules.Limits {
		l.offered[limit.Customer] = newBucket(limit.Rate, limit.Burst)
	}
	return l
}

// Now returns the time since the start.
func (l *Load) Now() time.Duration { return time.Since(l.start) }

// Samples returns what was recorded so far.
func (l *Load) Samples() []Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.samples)
}

// Run connects the sessions of all streams, calls started at time 0, and sends
// for the duration. It returns when every request has ended.
func (l *Load) Run(ctx context.Context, streams []Stream, d time.Duration, started func()) error {
	flows := make([]*flow, len(streams))
	for i, stream := range streams {
		flows[i] = l.newFlow(i, stream)
	}
	defer func() {
		for _, f := range flows {
			for _, s := range f.sessions {
				s.close()
			}
		}
	}()
	if err := l.warmUp(ctx, flows); err != nil {
		return err
	}
	l.begin(flows)
	started()
	var running sync.WaitGroup
	for _, f := range flows {
		running.Go(func() { f.arrive(ctx, d) })
		for _, s := range f.sessions {
			running.Go(func() { s.run(ctx) })
		}
	}
	running.Wait()
	return ctx.Err()
}

// begin sets time 0. Connections that are open count from it.
func (l *Load) begin(flows []*flow) {
	l.start = time.Now()
	for _, f := range flows {
		for _, s := range f.sessions {
			for _, link := range s.links {
				link.since = 0
			}
		}
	}
}

func (l *Load) warmUp(ctx context.Context, flows []*flow) error {
	var group errgroup.Group
	group.SetLimit(warmUpDials)
	for _, f := range flows {
		for _, s := range f.sessions {
			group.Go(func() error { return s.warmUp(ctx) })
		}
	}
	return group.Wait()
}

// flow is a running Stream.
type flow struct {
	Stream
	load     *Load
	rng      *rand.Rand
	arrivals chan time.Duration
	sessions []*session
}

func (l *Load) newFlow(index int, stream Stream) *flow {
	f := &flow{
		Stream: stream, load: l, rng: rand.New(rand.NewPCG(l.seed, uint64(index))),
		arrivals: make(chan time.Duration, stream.Sessions*backlogPerSession),
	}
	for range stream.Sessions {
		l.nextID++
		f.sessions = append(f.sessions, newSession(f, l.nextID))
	}
	return f
}

// arrive schedules requests at exponential intervals. Times of a varying rate
// are drawn at its peak and thinned out, so that the drawn times do not depend
// on how fast the system answers.
func (f *flow) arrive(ctx context.Context, d time.Duration) {
	defer close(f.arrivals)
	for due := f.gap(); due < d; due += f.gap() {
		if f.Rate != nil && f.rng.Float64()*f.Peak >= f.Rate(due) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(due - f.load.Now()):
		}
		select {
		case f.arrivals <- due:
		default:
			f.load.record(Sample{
				Class: f.Class, Customer: f.Customer, Host: f.Hosts[0], Group: f.Group, Due: due, Sent: due, Done: due, Outcome: Unsent, State: "backlog",
			})
		}
	}
}

func (f *flow) gap() time.Duration {
	return time.Duration(f.rng.ExpFloat64() / f.Peak * float64(time.Second))
}

func (l *Load) record(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// offer reports whether a request sent now is within the customer's rate.
func (l *Load) offer(customer string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.offered[customer]
	return ok && b.take(now)
}

// publish makes a key known to readers.
func (l *Load) publish(group, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.keys[group]
	if slices.Contains(keys, key) {
		return
	}
	if len(keys) == keysPerGroup {
		keys = keys[1:]
	}
	l.keys[group] = append(keys, key)
}

// anyKey returns a key of the group that has been written.
func (l *Load) anyKey(group string, rng *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.keys[group]
	if len(keys) == 0 {
		return "none"
	}
	return keys[rng.IntN(len(keys))]
}

// anyHost returns one of the hosts that fulfil the balancer's readiness check,
// preferably another one than the last.
func (l *Load) anyHost(hosts []string, last string, rng *rand.Rand) string {
	var ready []string
	for _, name := range hosts {
		if h, ok := l.cluster.Hosts[name]; ok && name != last && h.Server.Ready() {
			ready = append(ready, name)
		}
	}
	if len(ready) == 0 {
		return hosts[rng.IntN(len(hosts))]
	}
	return ready[rng.IntN(len(ready))]
}
