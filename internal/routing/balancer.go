package routing

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Host is a host that holds the home role of a backend server.
type Host struct {
	Name        string
	Zone        string
	Address     string
	Incarnation uint64
}

// GroupView is the state of one group when a candidate is chosen.
type GroupView struct {
	OwnZone  string
	Group    config.Group
	ZonesOut []string
	// Primary is empty while no primary is known.
	Primary string
	Term    uint64
	// Homes holds the home host of each server that has one. Unreachable holds
	// the names of hosts that do not answer.
	Homes       map[string]Host
	Unreachable map[string]bool
}

// Candidate is a backend server together with its home host.
type Candidate struct {
	Server  string
	Home    Host
	Primary bool
	Term    uint64
}

const (
	// backoffBase and backoffMax bound the backoff of a server that failed.
	// Until it ends, reads try the server after all others, and writes wait
	// before they probe a primary.
	backoffBase = 20 * time.Millisecond
	backoffMax  = 250 * time.Millisecond
	// primaryPollStep is the step of the exponential backoff at which waiting
	// writes look for a primary: 20 to 40 ms, which is short compared with a
	// promotion of about a second.
	primaryPollStep = 2
	// latencyWeight is the weight of a new measurement in the moving average.
	latencyWeight = 0.2
	// maxConsecutiveStale is the number of consecutive reads that a replica may
	// refuse as too stale before it is tried after the others.
	maxConsecutiveStale = 8
	// healthTTL is the time after which the health of an unused server expires,
	// so that a server that was slow once is tried again.
	healthTTL = 10 * time.Second
)

// health is the outcome of recent attempts at a server through one home host.
type health struct {
	latency          time.Duration
	measuredAt       time.Duration
	failures         int
	consecutiveStale int
	backoffUntil     time.Duration
}

type healthKey struct {
	server, home string
	term         uint64
}

// Balancer orders candidates by recent latency and failures. It is not safe for
// concurrent use.
type Balancer struct {
	rand      *rand.Rand
	health    map[healthKey]*health
	lastSweep time.Duration
}

// NewBalancer returns a Balancer that uses r as its source of random numbers.
func NewBalancer(r *rand.Rand) *Balancer {
	return &Balancer{rand: r, health: make(map[healthKey]*health)}
}

func newHealthKey(c Candidate) healthKey {
	k := healthKey{server: c.Server, home: c.Home.Name}
	if c.Primary {
		k.term = c.Term
	}
	return k
}

// RecordSuccess records an attempt that was accepted after the given latency.
func (b *Balancer) RecordSuccess(now time.Duration, c Candidate, latency time.Duration) {
	h := b.healthOf(now, c)
	if h.measuredAt == 0 || now-h.measuredAt > healthTTL {
		h.latency = latency
	} else {
		h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
	}
	h.measuredAt, h.failures, h.consecutiveStale, h.backoffUntil = now, 0, 0, 0
}

// RecordFailure records an attempt that failed. Reasons that do not predict another
// failure of the same server are ignored.
func (b *Balancer) RecordFailure(now time.Duration, c Candidate, reason verdict.Reason) {
	if !predictsServerFailure(reason) {
		return
	}
	h := b.healthOf(now, c)
	if reason == verdict.NoFreshReplica {
		// One read can require a newer position than the next, so only
		// consecutive refusals show that the replica is behind.
		if h.consecutiveStale++; h.consecutiveStale < maxConsecutiveStale {
			return
		}
	}
	if now < h.backoffUntil {
		// Requests in flight at the same time fail together and count as one failure.
		return
	}
	h.failures++
	h.backoffUntil = now + b.backoff(h.failures)
}

// Lags reports whether a replica has refused so many consecutive reads as too stale that
// the next one would probably only lose time there.
func (b *Balancer) Lags(now time.Duration, c Candidate) bool {
	h := b.health[newHealthKey(c)]
	return h != nil && h.consecutiveStale >= maxConsecutiveStale && now < h.backoffUntil
}

// predictsServerFailure reports whether the reason predicts that the next
// attempt at the same server fails, too. A full queue, for example, only
// predicts failures for this customer.
func predictsServerFailure(r verdict.Reason) bool {
	switch r {
	case verdict.WrongHome, verdict.HomeUnreachable, verdict.BackendUnreachable, verdict.ConnectionLost,
		verdict.AuthorityLost, verdict.AnswerOverdue, verdict.NoPrimary, verdict.ServerLeaving, verdict.ZoneOut,
		verdict.Draining, verdict.NoFreshReplica:
		return true
	}
	return false
}

// backoff returns a random time between half of the exponential step and the
// whole step.
func (b *Balancer) backoff(failures int) time.Duration {
	step := backoffMax
	if shift := failures - 1; shift < 8 {
		step = min(backoffMax, backoffBase<<shift)
	}
	return step/2 + time.Duration(b.rand.Int64N(int64(step/2)+1))
}

// healthOf returns the health of a candidate and creates it if necessary.
func (b *Balancer) healthOf(now time.Duration, c Candidate) *health {
	b.sweep(now)
	k := newHealthKey(c)
	h := b.health[k]
	if h == nil {
		h = &health{}
		b.health[k] = h
	}
	return h
}

// sweep removes the health of servers, homes and terms that are no longer in
// use. It runs at most once per healthTTL.
func (b *Balancer) sweep(now time.Duration) {
	if now-b.lastSweep < healthTTL {
		return
	}
	b.lastSweep = now
	for k, h := range b.health {
		if now-max(h.measuredAt, h.backoffUntil) > healthTTL {
			delete(b.health, k)
		}
	}
}

// WriteCandidate returns the candidate for a write. If there is a refusal, wait is
// the time after which to call it again: the primary is unknown, or it failed
// recently and another write is probing it.
func (b *Balancer) WriteCandidate(now time.Duration, v GroupView) (c Candidate, wait time.Duration, refusal *verdict.Error) {
	c, refusal = primaryCandidate(v)
	if refusal != nil {
		return Candidate{}, b.backoff(primaryPollStep), refusal
	}
	h := b.health[newHealthKey(c)]
	if h == nil || h.failures == 0 {
		return c, 0, nil
	}
	if now < h.backoffUntil {
		return Candidate{}, h.backoffUntil - now, verdict.New(verdict.NotRun, verdict.NoPrimary, "the primary of group %q does not accept requests", v.Group.Name)
	}
	// This write probes the primary; other writes wait for its outcome.
	h.backoffUntil = now + b.backoff(h.failures)
	return c, 0, nil
}

func primaryCandidate(v GroupView) (Candidate, *verdict.Error) {
	for _, s := range v.Group.Servers {
		if s.Name != v.Primary || v.Primary == "" {
			continue
		}
		if refusal := unusableError(v, s); refusal != nil {
			return Candidate{}, refusal
		}
		home, ok := v.Homes[s.Name]
		if !ok {
			return Candidate{}, verdict.New(verdict.NotRun, verdict.NoPrimary, "the primary of group %q has no home host", v.Group.Name)
		}
		return Candidate{Server: s.Name, Home: home, Primary: true, Term: v.Term}, nil
	}
	return Candidate{}, verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has no primary", v.Group.Name)
}

// unusableError returns the reason why a server gets no new work, or nil.
func unusableError(v GroupView, s config.Server) *verdict.Error {
	if s.Leaving {
		return verdict.New(verdict.NotRun, verdict.ServerLeaving, "backend server %q is leaving", s.Name)
	}
	if slices.Contains(v.ZonesOut, s.Zone) {
		return verdict.New(verdict.NotRun, verdict.ZoneOut, "availability zone %q is out of service", s.Zone)
	}
	return nil
}

// ReadCandidates returns the candidates for a read in the order in which to try
// them. If primaryOnly is set, because the read must not be stale, only the primary
// is a candidate.
func (b *Balancer) ReadCandidates(now time.Duration, v GroupView, primaryOnly bool) []Candidate {
	type ranked struct {
		Candidate
		rank [4]int
		tie  uint64
	}
	var list []ranked
	for _, s := range v.Group.Servers {
		home, ok := v.Homes[s.Name]
		isPrimary := s.Name == v.Primary
		if !ok || unusableError(v, s) != nil || primaryOnly && !isPrimary {
			continue
		}
		c := Candidate{Server: s.Name, Home: home, Primary: isPrimary}
		if isPrimary {
			c.Term = v.Term
		}
		r := ranked{Candidate: c, tie: b.rand.Uint64()}
		r.rank = [4]int{
			boolRank(isPrimary),
			boolRank(b.avoids(now, v, c)),
			boolRank(s.Zone != v.OwnZone),
			latencyClass(now, b.health[newHealthKey(c)]),
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y ranked) int {
		return cmp.Or(slices.Compare(x.rank[:], y.rank[:]), cmp.Compare(x.tie, y.tie))
	})
	out := make([]Candidate, len(list))
	for i, r := range list {
		out[i] = r.Candidate
	}
	return out
}

// avoids reports whether the candidate is tried after the others, because its home host
// does not answer or because an attempt failed recently.
func (b *Balancer) avoids(now time.Duration, v GroupView, c Candidate) bool {
	return v.Unreachable[c.Home.Name] || b.backoffLeft(now, c) > 0
}

// backoffLeft returns how long the server is tried after the others because an attempt
// failed.
func (b *Balancer) backoffLeft(now time.Duration, c Candidate) time.Duration {
	if h := b.health[newHealthKey(c)]; h != nil {
		return max(h.backoffUntil-now, 0)
	}
	return 0
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// latencyClass groups latencies by powers of two. Servers of one class share
// the load at random; a finer order would make all hosts choose the same
// server.
func latencyClass(now time.Duration, h *health) int {
	if h == nil || h.measuredAt == 0 || now-h.measuredAt > healthTTL {
		return 0
	}
	return bits.Len64(uint64(h.latency / time.Millisecond))
}

// RetryBudget is a token bucket that bounds retries to a share of the first
// attempts, so that a failing backend server does not receive a multiple of its
// load. It is not safe for concurrent use.
type RetryBudget struct {
	tokens     float64
	lastRefill time.Duration
}

const (
	// retriesPerAttempt is the number of retries that each first attempt adds
	// to the budget.
	retriesPerAttempt = 0.2
	// retriesPerSecond is the number of retries per second that are added
	// regardless of traffic, so that hosts with little traffic can retry at
	// all.
	retriesPerSecond = 10.0
	// maxSavedRetries is the capacity of the budget. It covers the requests
	// that one host has in flight at a home host when that host fails.
	maxSavedRetries = 200.0
)

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxSavedRetries} }

// AddFirstAttempt adds the share of one first attempt to the budget.
func (b *RetryBudget) AddFirstAttempt() { b.tokens = min(maxSavedRetries, b.tokens+retriesPerAttempt) }

// TakeRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) TakeRetry(now time.Duration) bool {
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerSecond*(now-b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
