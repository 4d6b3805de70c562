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

// View is what is known about one group at the time of a choice.
type View struct {
	OwnZone  string
	Group    config.Group
	ZonesOut []string
	// Primary is empty while no primary is known.
	Primary string
	Term    uint64
	// Homes holds the home host of each server that has one, Unreachable the
	// names of hosts that do not answer.
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
	// coolBase and coolMax bound the time for which a server that failed is tried
	// after all others, and for which writes wait before they probe a primary.
	coolBase = 20 * time.Millisecond
	coolMax  = 250 * time.Millisecond
	// primaryPoll is the back-off step at which waiting writes look for a primary:
	// 20 to 40 ms, which adds little to a promotion of about a second.
	primaryPoll = 2
	// latencyWeight is the share of a new measurement in the average.
	latencyWeight = 0.2
	// staleSeries is the number of reads in a row that a replica may turn down as
	// too stale before it is tried after the others.
	staleSeries = 8
	// healthTTL is the time after which an unused measurement is forgotten, so
	// that a server that was slow once is tried again.
	healthTTL = 10 * time.Second
)

// health is what recent attempts showed about a server at a home host.
type health struct {
	latency   time.Duration
	measured  time.Duration
	failures  int
	stale     int
	coolUntil time.Duration
}

type healthKey struct {
	server, home string
	term         uint64
}

// Board orders candidates by recent latency and failures. It is not safe for
// concurrent use.
type Board struct {
	rand   *rand.Rand
	health map[healthKey]*health
	swept  time.Duration
}

// NewBoard returns a Board that draws its random numbers from r.
func NewBoard(r *rand.Rand) *Board {
	return &Board{rand: r, health: make(map[healthKey]*health)}
}

func key(c Candidate) healthKey {
	k := healthKey{server: c.Server, home: c.Home.Name}
	if c.Primary {
		k.term = c.Term
	}
	return k
}

// Succeeded notes an attempt that was accepted after the latency.
func (b *Board) Succeeded(now time.Duration, c Candidate, latency time.Duration) {
	h := b.entry(now, c)
	if h.measured == 0 || now-h.measured > healthTTL {
		h.latency = latency
	} else {
		h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
	}
	h.measured, h.failures, h.stale, h.coolUntil = now, 0, 0, 0
}

// Failed notes an attempt that failed.
func (b *Board) Failed(now time.Duration, c Candidate, reason verdict.Reason) {
	if !blamesServer(reason) {
		return
	}
	h := b.entry(now, c)
	if reason == verdict.NoFreshReplica {
		// One read can demand more than the next. Only a series shows that the
		// replica is behind.
		if h.stale++; h.stale < staleSeries {
			return
		}
	}
	if now < h.coolUntil {
		// Requests that were in flight together fail together; they are one event.
		return
	}
	h.failures++
	h.coolUntil = now + b.backoff(h.failures)
}

// blamesServer reports whether the reason predicts that the next attempt at the
// same server fails, too. A full queue says so about this customer only.
func blamesServer(r verdict.Reason) bool {
	switch r {
	case verdict.WrongHome, verdict.HomeUnreachable, verdict.BackendUnreachable, verdict.ConnectionLost,
		verdict.AuthorityLost, verdict.AnswerOverdue, verdict.NoPrimary, verdict.ServerLeaving, verdict.ZoneOut,
		verdict.Draining, verdict.NoFreshReplica:
		return true
	}
	return false
}

// backoff returns a time between half of and the whole exponential step.
func (b *Board) backoff(failures int) time.Duration {
	step := coolMax
	if shift := failures - 1; shift < 8 {
		step = min(coolMax, coolBase<<shift)
	}
	return step/2 + time.Duration(b.rand.Int64N(int64(step/2)+1))
}

func (b *Board) entry(now time.Duration, c Candidate) *health {
	b.sweep(now)
	k := key(c)
	h := b.health[k]
	if h == nil {
		h = &health{}
		b.health[k] = h
	}
	return h
}

// sweep forgets servers, homes and terms that are no longer in use.
func (b *Board) sweep(now time.Duration) {
	if now-b.swept < healthTTL {
		return
	}
	b.swept = now
	for k, h := range b.health {
		if now-max(h.measured, h.coolUntil) > healthTTL {
			delete(b.health, k)
		}
	}
}

// Write returns the candidate for a write. A positive wait asks to look again
// after that time: the primary is unknown, or failed a moment ago and another
// write is probing it.
func (b *Board) Write(now time.Duration, v View) (c Candidate, wait time.Duration, refused *verdict.Error) {
	c, refused = primary(v)
	if refused != nil {
		return Candidate{}, b.backoff(primaryPoll), refused
	}
	h := b.health[key(c)]
	if h == nil || h.failures == 0 {
		return c, 0, nil
	}
	if now < h.coolUntil {
		return Candidate{}, h.coolUntil - now, verdict.New(verdict.NotRun, verdict.NoPrimary, "the primary of group %q does not accept requests", v.Group.Name)
	}
	// This write is the probe; the others wait for its outcome.
	h.coolUntil = now + b.backoff(h.failures)
	return c, 0, nil
}

func primary(v View) (Candidate, *verdict.Error) {
	for _, s := range v.Group.Servers {
		if s.Name != v.Primary || v.Primary == "" {
			continue
		}
		if refused := unusable(v, s); refused != nil {
			return Candidate{}, refused
		}
		home, ok := v.Homes[s.Name]
		if !ok {
			return Candidate{}, verdict.New(verdict.NotRun, verdict.NoPrimary, "the primary of group %q has no home host", v.Group.Name)
		}
		return Candidate{Server: s.Name, Home: home, Primary: true, Term: v.Term}, nil
	}
	return Candidate{}, verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has no primary", v.Group.Name)
}

// unusable returns why a server gets no new work, or nil.
func unusable(v View, s config.Server) *verdict.Error {
	if s.Leaving {
		return verdict.New(verdict.NotRun, verdict.ServerLeaving, "backend server %q is leaving", s.Name)
	}
	if slices.Contains(v.ZonesOut, s.Zone) {
		return verdict.New(verdict.NotRun, verdict.ZoneOut, "availability zone %q is out of service", s.Zone)
	}
	return nil
}

// Read returns the candidates for a read in the order in which to try them. A
// read that has to be current runs on the primary only.
func (b *Board) Read(now time.Duration, v View, current bool) []Candidate {
	type ranked struct {
		Candidate
		rank [4]int
		tie  uint64
	}
	var list []ranked
	for _, s := range v.Group.Servers {
		home, ok := v.Homes[s.Name]
		isPrimary := s.Name == v.Primary
		if !ok || unusable(v, s) != nil || current && !isPrimary {
			continue
		}
		c := Candidate{Server: s.Name, Home: home, Primary: isPrimary}
		if isPrimary {
			c.Term = v.Term
		}
		r := ranked{Candidate: c, tie: b.rand.Uint64()}
		h := b.health[key(c)]
		r.rank = [4]int{
			flag(isPrimary),
			flag(v.Unreachable[home.Name] || h != nil && now < h.coolUntil),
			flag(s.Zone != v.OwnZone),
			latencyClass(now, h),
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

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}

// latencyClass groups latencies by powers of two. Servers of one class share the
// load at random; a finer order would send all hosts to the same server.
func latencyClass(now time.Duration, h *health) int {
	if h == nil || h.measured == 0 || now-h.measured > healthTTL {
		return 0
	}
	return bits.Len64(uint64(h.latency / time.Millisecond))
}

// Budget bounds retries to a share of the first attempts, so that a failing
// backend server does not get a multiple of its load. It is not safe for
// concurrent use.
type Budget struct {
	tokens float64
	last   time.Duration
}

const (
	// retryShare is the number of retries that one first attempt pays for.
	retryShare = 0.2
	// retryRate is the number of retries per second that are always allowed, so
	// that hosts with little traffic can retry at all.
	retryRate = 10.0
	// retryBurst bounds the retries saved up. It covers the requests that one
	// host has in flight at a home host when that host fails.
	retryBurst = 200.0
)

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{tokens: retryBurst} }

// First notes a first attempt.
func (b *Budget) First() { b.tokens = min(retryBurst, b.tokens+retryShare) }

// Retry takes one retry from the budget and reports whether there was one.
func (b *Budget) Retry(now time.Duration) bool {
	b.tokens = min(retryBurst, b.tokens+retryRate*(now-b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
