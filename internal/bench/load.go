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
	// requestTimeout is longer than every deadline of the example routes plus the
	// proxy's grace period, so that the proxy answers before the client times out.
	requestTimeout = 8 * time.Second
	// backlogPerSession bounds the arrivals of a stream that wait for a session; the
	// bound is this number times the stream's sessions.
	backlogPerSession = 4
	// keysPerGroup bounds the keys of a group that reads choose from.
	keysPerGroup = 64
	// warmUpConcurrency is the number of sessions that connect in parallel before the
	// load starts.
	warmUpConcurrency = 32
)

// Stream is an open-loop flow of one customer's requests to one group.
type Stream struct {
	// Class is the name of the stream in the report.
	Class    string
	Customer string
	Group    string
	// WriteRoute and ReadRoutes are the routes that the sessions use.
	WriteRoute string
	ReadRoutes []string
	// WriteShare is the share of requests that write.
	WriteShare float64
	// Sessions is the number of sessions, which limits the requests in flight.
	Sessions int
	// Hosts are the hosts between which the balancer distributes the sessions.
	Hosts []string
	// ReconnectInterval is the mean time after which a session reconnects through
	// another host; 0 means never.
	ReconnectInterval time.Duration
	// PeakRate is the highest value of Rate, in requests per second.
	PeakRate float64
	// Rate returns the rate at a time after the start; nil means always PeakRate.
	Rate func(time.Duration) float64
}

// Sample is the result of one scheduled request.
type Sample struct {
	Class, Customer, Host, Group string
	Write                        bool
	// Scheduled is the scheduled time. Latency is measured from it, so that it
	// includes the time for which requests wait for a session of a stalled system.
	Scheduled, Sent, Done time.Duration
	Outcome               Outcome
	// State is the SQLSTATE of the answer, followed by its message if the outcome is
	// Unknown, or a word for the reason if there was no answer. It is empty if the
	// request was served.
	State string
	// WithinRate is set if the request was within the customer's rate when it was
	// sent.
	WithinRate bool
}

// Load generates requests and records what the clients observe.
type Load struct {
	History History

	cluster *cluster.Cluster
	doc     *config.Document
	seed    uint64
	start   time.Time

	mu          sync.Mutex
	samples     []Sample
	rateBuckets map[string]*tokenBucket
	writtenKeys map[string][]string // by group
	nextID      int
}

// NewLoad returns a load generator for a running deployment.
func NewLoad(c *cluster.Cluster, seed uint64) *Load {
	l := &Load{cluster: c, doc: c.Document(), seed: seed, start: time.Now(), rateBuckets: map[string]*tokenBucket{}, writtenKeys: map[string][]string{}}
	for _, limit := range l.doc.Rules.Limits {
		l.rateBuckets[limit.Customer] = newTokenBucket(limit.Rate, limit.Burst)
	}
	return l
}

// Now returns the time since the start of the load.
func (l *Load) Now() time.Duration { return time.Since(l.start) }

// Samples returns a copy of the samples recorded so far.
func (l *Load) Samples() []Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.samples)
}

// Run connects the sessions of all streams, calls onStart at time 0 and sends requests
// for the duration d. It returns when every request has ended. Its error is that of a
// failed connection or of ctx.
func (l *Load) Run(ctx context.Context, streams []Stream, d time.Duration, onStart func()) error {
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
	l.startClock(flows)
	onStart()
	var running sync.WaitGroup
	for _, f := range flows {
		running.Go(func() { f.scheduleArrivals(ctx, d) })
		for _, s := range f.sessions {
			running.Go(func() { s.run(ctx) })
		}
	}
	running.Wait()
	return ctx.Err()
}

// startClock sets time 0, which also becomes the time of connection of all open
// connections.
func (l *Load) startClock(flows []*flow) {
	l.start = time.Now()
	for _, f := range flows {
		for _, s := range f.sessions {
			for _, conn := range s.conns {
				conn.connectedAt = 0
			}
		}
	}
}

func (l *Load) warmUp(ctx context.Context, flows []*flow) error {
	var group errgroup.Group
	group.SetLimit(warmUpConcurrency)
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

// scheduleArrivals schedules requests at exponential intervals until d. For a varying
// rate, it draws the times at the peak rate and thins them out, so that they do not
// depend on how fast the system answers.
func (f *flow) scheduleArrivals(ctx context.Context, d time.Duration) {
	defer close(f.arrivals)
	for scheduled := f.nextInterval(); scheduled < d; scheduled += f.nextInterval() {
		if f.Rate != nil && f.rng.Float64()*f.PeakRate >= f.Rate(scheduled) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(scheduled - f.load.Now()):
		}
		select {
		case f.arrivals <- scheduled:
		default:
			f.load.recordSample(Sample{
				Class: f.Class, Customer: f.Customer, Host: f.Hosts[0], Group: f.Group, Scheduled: scheduled, Sent: scheduled, Done: scheduled, Outcome: Unsent, State: "backlog",
			})
		}
	}
}

func (f *flow) nextInterval() time.Duration {
	return time.Duration(f.rng.ExpFloat64() / f.PeakRate * float64(time.Second))
}

func (l *Load) recordSample(s Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, s)
}

// takeRateToken takes a token of the customer's rate. It reports whether there was one,
// that is, whether a request sent now is within the rate.
func (l *Load) takeRateToken(customer string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.rateBuckets[customer]
	return ok && b.take(now)
}

// addWrittenKey adds a key to those that reads choose from. It drops the oldest key when
// there are more than keysPerGroup.
func (l *Load) addWrittenKey(group, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.writtenKeys[group]
	if slices.Contains(keys, key) {
		return
	}
	if len(keys) == keysPerGroup {
		keys = keys[1:]
	}
	l.writtenKeys[group] = append(keys, key)
}

// randomKey returns a key of the group that has been written, or a key without a value
// if there is none.
func (l *Load) randomKey(group string, rng *rand.Rand) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := l.writtenKeys[group]
	if len(keys) == 0 {
		return "none"
	}
	return keys[rng.IntN(len(keys))]
}

// randomReadyHost returns one of the hosts that pass the balancer's readiness check and
// differ from last, or any of the hosts if there is none.
func (l *Load) randomReadyHost(hosts []string, last string, rng *rand.Rand) string {
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
