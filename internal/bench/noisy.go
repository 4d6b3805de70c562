package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Load of the noisy scenario.
const (
	// noisyFactor is how many times its rate the noisy customer sends.
	noisyFactor = 5
	// demandShare is the part of their rate that the other customers send.
	demandShare = 0.8
	// demandMoves is the time after which a customer's demand moves to other hosts.
	demandMoves = 3 * time.Second
	// demandHosts is the number of hosts that carry a customer's demand at a time.
	demandHosts = 2
	// noisyWriteShare is the share of requests that write.
	noisyWriteShare = 0.2
	// sessionsPerRate is the number of sessions at a host for each request per
	// second that a customer sends there. A refusal can take 250 ms.
	sessionsPerRate = 0.3
	minSessions     = 3
)

// Targets of the noisy scenario.
const (
	maxWrongfulShare = 0.001
	minWorstShare    = 0.99
	maxP99Ratio      = 1.5
)

// admissions records when hosts admitted requests.
type admissions struct {
	mu    sync.Mutex
	start time.Time
	times map[string][]time.Duration // by customer
	last  map[string]time.Time       // by host
}

func newAdmissions() *admissions {
	return &admissions{start: time.Now(), times: map[string][]time.Duration{}, last: map[string]time.Time{}}
}

func (a *admissions) add(host, customer string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[customer] = append(a.times[customer], now.Sub(a.start))
	a.last[host] = now
}

// overLimit replays every customer's admissions through one bucket.
func (a *admissions) overLimit(doc *config.Document) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	over := 0
	for _, l := range doc.Rules.Limits {
		over += overLimit(l.Rate, l.Burst, a.times[l.Customer])
	}
	return over
}

// noisyLeg is one run, with or without the noisy customer.
type noisyLeg struct {
	Findings
	doc            *config.Document
	samples        []Sample
	over           int
	maxConnections int
}

func runNoisy(ctx context.Context, opts Options) (*Report, error) {
	baseline, err := runNoisyLeg(ctx, opts, false)
	if err != nil {
		return nil, err
	}
	leg, err := runNoisyLeg(ctx, opts, true)
	if err != nil {
		return nil, err
	}
	return noisyReport(opts, baseline, leg), nil
}

func runNoisyLeg(ctx context.Context, opts Options, noisy bool) (*noisyLeg, error) {
	settings, err := kandyan(opts)
	if err != nil {
		return nil, err
	}
	admitted := newAdmissions()
	settings.Admitted = admitted.add
	c, err := deploy(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	leg := &noisyLeg{doc: c.Document()}
	load := NewLoad(c, opts.Seed)
	if err := load.Run(ctx, noisyStreams(leg.doc, opts.Seed, noisy), opts.Duration/2, func() {}); err != nil {
		return nil, err
	}
	leg.samples, leg.over = load.Samples(), admitted.overLimit(leg.doc)
	leg.maxConnections = maxConnections(c)
	held, err := contents(ctx, c)
	if err != nil {
		return nil, err
	}
	leg.Findings = load.History.Check(held)
	return leg, nil
}

func maxConnections(c *cluster.Cluster) int {
	most := 0
	for _, db := range c.Databases {
		most = max(most, db.Record().MaxConnections)
	}
	return most
}

// refusedConnections counts the connections that databases refused because their
// limit was reached.
func refusedConnections(c *cluster.Cluster) int {
	sum := 0
	for _, db := range c.Databases {
		sum += db.Record().Refused
	}
	return sum
}

// noisyCustomer returns the customer that exceeds its rate: the first one, which
// is one of the large ones.
func noisyCustomer(doc *config.Document) string { return doc.Inventory.Customers[0].Name }

// noisyStreams gives every customer one stream at each host. The streams of the
// noisy customer come last, so that the others are drawn alike in both legs.
func noisyStreams(doc *config.Document, seed uint64, noisy bool) []Stream {
	var streams []Stream
	hosts, groups := doc.Inventory.Hosts, doc.Inventory.Groups
	for i, customer := range doc.Inventory.Customers {
		if customer.Name == noisyCustomer(doc) {
			continue
		}
		limit, _ := doc.Limit(customer.Name)
		for j, h := range hosts {
			s := customerStream(customer.Name, h.Name, groups[(i+j)%len(groups)].Name, limit.Rate*demandShare/demandHosts)
			s.Rate = movingDemand(seed, i, j, len(hosts), s.Peak)
			streams = append(streams, s)
		}
	}
	if !noisy {
		return streams
	}
	limit, _ := doc.Limit(noisyCustomer(doc))
	for j, h := range hosts {
		streams = append(streams, customerStream(limit.Customer, h.Name, groups[j%len(groups)].Name, limit.Rate*noisyFactor/float64(len(hosts))))
	}
	return streams
}

func customerStream(customer, host, group string, rate float64) Stream {
	return Stream{
		Class: customer, Customer: customer, Group: group, WriteRoute: group, ReadRoutes: []string{group + "-read"}, WriteShare: noisyWriteShare,
		Sessions: max(minSessions, int(math.Ceil(rate*sessionsPerRate))), Hosts: []string{host}, Peak: rate,
	}
}

// movingDemand returns the rate at a host: the whole demand of a customer is at
// a few hosts, which are drawn anew in every period.
func movingDemand(seed uint64, customer, host, hosts int, rate float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		period := uint64(t / demandMoves)
		rng := rand.New(rand.NewPCG(seed, period<<16|uint64(customer)))
		for _, active := range rng.Perm(hosts)[:demandHosts] {
			if active == host {
				return rate
			}
		}
		return 0
	}
}

// service is what customers got.
type service struct {
	within, wrongful int
	worstShare       float64
	worstP99         time.Duration
	states           map[string]int
}

// Range of the latency histograms.
const (
	shortestLatencyUs = 1
	longestLatencyUs  = 60_000_000
	latencyDigits     = 3
)

// serviceOf summarises the samples of all customers but the excluded one. A
// refusal within the customer's rate is wrongful, whatever its reason.
func serviceOf(samples []Sample, except string) service {
	type account struct {
		sent, served int
		latency      *hdrhistogram.Histogram
	}
	out := service{worstShare: math.NaN(), states: map[string]int{}}
	accounts := map[string]*account{}
	for _, s := range samples {
		if s.Customer == except {
			continue
		}
		a, ok := accounts[s.Customer]
		if !ok {
			a = &account{latency: hdrhistogram.New(shortestLatencyUs, longestLatencyUs, latencyDigits)}
			accounts[s.Customer] = a
		}
		a.sent++
		if s.Within {
			out.within++
		}
		switch {
		case s.Outcome == Served:
			a.served++
			_ = a.latency.RecordValue(min(max((s.Done-s.Due).Microseconds(), shortestLatencyUs), longestLatencyUs))
		case s.Within && s.Outcome == Refused:
			out.wrongful++
		}
		if s.State != "" {
			out.states[s.State]++
		}
	}
	for _, a := range accounts {
		if v := share(a.served, a.sent); math.IsNaN(out.worstShare) || v < out.worstShare {
			out.worstShare = v
		}
		out.worstP99 = max(out.worstP99, time.Duration(a.latency.ValueAtQuantile(99))*time.Microsecond)
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func noisyReport(opts Options, baseline, leg *noisyLeg) *Report {
	r := &Report{Scenario: "noisy"}
	name := noisyCustomer(leg.doc)
	alone, got := serviceOf(baseline.samples, name), serviceOf(leg.samples, name)
	r.add("seed", opts.Seed)
	r.add("duration_s", seconds(opts.Duration))
	r.add("admission_time", "the entry host's limiter admitted the request")
	r.none("admitted_over_limit", baseline.over+leg.over)
	r.add("within_rate_requests", got.within)
	r.add("wrongful_refusals", got.wrongful)
	r.atMost("wrongful_refusal_share", share(got.wrongful, got.within), maxWrongfulShare)
	r.atLeast("worst_customer_served_share", got.worstShare, minWorstShare)
	r.atMost("worst_customer_p99_ms", milliseconds(got.worstP99), maxP99Ratio*milliseconds(alone.worstP99))
	r.add("baseline_worst_customer_p99_ms", milliseconds(alone.worstP99))
	r.add("baseline_worst_customer_served_share", alone.worstShare)
	r.add("baseline_wrongful_refusals", alone.wrongful)
	limit := leg.doc.Inventory.Groups[0].Servers[0].Connections
	r.atMost("max_connections_seen", float64(max(baseline.maxConnections, leg.maxConnections)), float64(limit))
	r.addNoisy(leg, name, opts.Duration/2)
	r.add("states", got.states)
	sum := baseline.Findings
	sum.merge(leg.Findings)
	r.addFindings(sum)
	model := naiveModel(leg.doc, leg.samples, opts.Seed)
	plain := serviceOf(model.samples, name)
	r.add("naive_covers", "model: rate and burst divided by the number of hosts, one first-come-first-served queue per database, a connection per request")
	r.add("naive_admitted_over_limit", model.over)
	r.add("naive_wrongful_refusals", plain.wrongful)
	r.add("naive_within_rate_requests", plain.within)
	r.add("naive_worst_customer_served_share", plain.worstShare)
	r.add("naive_worst_customer_p99_ms", milliseconds(plain.worstP99))
	r.add("naive_max_connections_seen", model.maxConnections)
	return r
}

// addNoisy adds what the noisy customer sent and got.
func (r *Report) addNoisy(leg *noisyLeg, name string, d time.Duration) {
	sent, served := 0, 0
	for _, s := range leg.samples {
		if s.Customer == name {
			sent++
			if s.Outcome == Served {
				served++
			}
		}
	}
	r.add("noisy_customer_sent_per_s", float64(sent)/d.Seconds())
	r.add("noisy_customer_served_per_s", float64(served)/d.Seconds())
}

// addFindings adds the counts of the oracle with their targets.
func (r *Report) addFindings(f Findings) {
	r.add("reads", f.Reads)
	r.add("writes_acked", f.Acked)
	r.none("writes_lost", f.Lost)
	r.none("writes_doubled", f.Doubled)
	r.none("stale_reads", f.Stale)
	r.none("false_not_run", f.FalseNotRun)
	if len(f.Examples) > 0 {
		r.add("examples", f.Examples)
	}
}
