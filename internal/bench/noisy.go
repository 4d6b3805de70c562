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
	// noisyFactor is the demand of the noisy customer as a multiple of its rate.
	noisyFactor = 5
	// demandShare is the demand of each other customer as a share of its rate.
	demandShare = 0.8
	// demandPeriod is the time after which a customer's demand moves to other hosts.
	demandPeriod = 3 * time.Second
	// demandHosts is the number of hosts that receive a customer's demand at a time.
	demandHosts = 2
	// noisyWriteShare is the share of requests that write.
	noisyWriteShare = 0.2
	// sessionsPerRate is the number of sessions on a host for each request per second
	// that a customer sends there. A refusal can occupy a session for 250 ms.
	sessionsPerRate = 0.3
	minSessions     = 3
)

// Targets of the noisy scenario.
const (
	maxWrongfulShare    = 0.001
	minWorstServedShare = 0.99
	maxP99Ratio         = 1.5
)

// admissions records when hosts admitted requests. It is safe for concurrent use.
type admissions struct {
	mu         sync.Mutex
	start      time.Time
	times      map[string][]time.Duration // by customer
	lastByHost map[string]time.Time       // by host
}

func newAdmissions() *admissions {
	return &admissions{start: time.Now(), times: map[string][]time.Duration{}, lastByHost: map[string]time.Time{}}
}

func (a *admissions) record(host, customer string) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times[customer] = append(a.times[customer], now.Sub(a.start))
	a.lastByHost[host] = now
}

// countOverLimit replays the admissions of each customer through one token bucket and
// returns how many of them exceed the customer's limit.
func (a *admissions) countOverLimit(doc *config.Document) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	over := 0
	for _, l := range doc.Rules.Limits {
		over += countOverLimit(l.Rate, l.Burst, a.times[l.Customer])
	}
	return over
}

// noisyRun holds what was measured in a run with or without the noisy customer.
type noisyRun struct {
	Findings
	doc            *config.Document
	samples        []Sample
	overLimit      int
	maxConnections int
}

func runNoisy(ctx context.Context, opts Options) (*Report, error) {
	baseline, err := measureNoisy(ctx, opts, false)
	if err != nil {
		return nil, err
	}
	noisy, err := measureNoisy(ctx, opts, true)
	if err != nil {
		return nil, err
	}
	return noisyReport(opts, baseline, noisy), nil
}

func measureNoisy(ctx context.Context, opts Options, noisy bool) (*noisyRun, error) {
	settings, err := kandyanSettings(opts)
	if err != nil {
		return nil, err
	}
	admitted := newAdmissions()
	settings.OnAdmit = admitted.record
	c, err := deploy(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	out := &noisyRun{doc: c.Document()}
	load := NewLoad(c, opts.Seed)
	if err := load.Run(ctx, noisyStreams(out.doc, opts.Seed, noisy), opts.Duration/2, func() {}); err != nil {
		return nil, err
	}
	out.samples, out.overLimit = load.Samples(), admitted.countOverLimit(out.doc)
	out.maxConnections = maxConnections(c)
	stored, err := readContents(ctx, c)
	if err != nil {
		return nil, err
	}
	out.Findings = load.History.Check(stored)
	return out, nil
}

func maxConnections(c *cluster.Cluster) int {
	most := 0
	for _, db := range c.Databases {
		most = max(most, db.Record().MaxConnections)
	}
	return most
}

// countRefusedConnections returns how many connections the databases refused because
// their connection limit was reached.
func countRefusedConnections(c *cluster.Cluster) int {
	sum := 0
	for _, db := range c.Databases {
		sum += db.Record().Refused
	}
	return sum
}

// noisyCustomer returns the name of the customer that exceeds its rate: the first one,
// which is one of the large customers.
func noisyCustomer(doc *config.Document) string { return doc.Inventory.Customers[0].Name }

// noisyStreams gives every customer one stream on each host. The streams of the noisy
// customer come last, so that the random draws for the other customers are the same in
// both runs.
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
			s.Rate = movingDemand(seed, i, j, len(hosts), s.PeakRate)
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
		Sessions: max(minSessions, int(math.Ceil(rate*sessionsPerRate))), Hosts: []string{host}, PeakRate: rate,
	}
}

// movingDemand returns the rate of a customer on a host as a function of time. The whole
// demand of the customer goes to demandHosts hosts, which are drawn again in every
// demandPeriod.
func movingDemand(seed uint64, customer, host, hosts int, rate float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		period := uint64(t / demandPeriod)
		rng := rand.New(rand.NewPCG(seed, period<<16|uint64(customer)))
		for _, active := range rng.Perm(hosts)[:demandHosts] {
			if active == host {
				return rate
			}
		}
		return 0
	}
}

// serviceSummary summarizes the service that customers received. The worst share and the
// worst 99th percentile are those of the customer with the poorest value.
type serviceSummary struct {
	withinRate, wrongfulRefusals int
	worstShare                   float64
	worstP99                     time.Duration
	states                       map[string]int
}

// Range and precision of the latency histograms.
const (
	minLatencyUs             = 1
	maxLatencyUs             = 60_000_000
	latencySignificantDigits = 3
)

// summarizeService summarizes the samples of all customers except the excluded one. A
// refusal of a request within the customer's rate is wrongful, whatever its reason.
func summarizeService(samples []Sample, excluded string) serviceSummary {
	type account struct {
		sent, served int
		latency      *hdrhistogram.Histogram
	}
	out := serviceSummary{worstShare: math.NaN(), states: map[string]int{}}
	accounts := map[string]*account{}
	for _, s := range samples {
		if s.Customer == excluded {
			continue
		}
		a, ok := accounts[s.Customer]
		if !ok {
			a = &account{latency: hdrhistogram.New(minLatencyUs, maxLatencyUs, latencySignificantDigits)}
			accounts[s.Customer] = a
		}
		a.sent++
		if s.WithinRate {
			out.withinRate++
		}
		switch {
		case s.Outcome == Served:
			a.served++
			_ = a.latency.RecordValue(min(max((s.Done-s.Scheduled).Microseconds(), minLatencyUs), maxLatencyUs))
		case s.WithinRate && s.Outcome == Refused:
			out.wrongfulRefusals++
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

func noisyReport(opts Options, baseline, noisy *noisyRun) *Report {
	r := &Report{Scenario: "noisy"}
	name := noisyCustomer(noisy.doc)
	baselineService, noisyService := summarizeService(baseline.samples, name), summarizeService(noisy.samples, name)
	r.add("seed", opts.Seed)
	r.add("duration_s", seconds(opts.Duration))
	r.add("admission_time", "the entry host's limiter admitted the request")
	r.addZeroTarget("admitted_over_limit", baseline.overLimit+noisy.overLimit)
	r.add("within_rate_requests", noisyService.withinRate)
	r.add("wrongful_refusals", noisyService.wrongfulRefusals)
	r.addAtMost("wrongful_refusal_share", share(noisyService.wrongfulRefusals, noisyService.withinRate), maxWrongfulShare)
	r.addAtLeast("worst_customer_served_share", noisyService.worstShare, minWorstServedShare)
	r.addAtMost("worst_customer_p99_ms", milliseconds(noisyService.worstP99), maxP99Ratio*milliseconds(baselineService.worstP99))
	r.add("baseline_worst_customer_p99_ms", milliseconds(baselineService.worstP99))
	r.add("baseline_worst_customer_served_share", baselineService.worstShare)
	r.add("baseline_wrongful_refusals", baselineService.wrongfulRefusals)
	limit := noisy.doc.Inventory.Groups[0].Servers[0].Connections
	r.addAtMost("max_connections_seen", float64(max(baseline.maxConnections, noisy.maxConnections)), float64(limit))
	r.addNoisyCustomer(noisy, name, opts.Duration/2)
	r.add("states", noisyService.states)
	sum := baseline.Findings
	sum.merge(noisy.Findings)
	r.addFindings(sum)
	model := simulateNaiveProxy(noisy.doc, noisy.samples, opts.Seed)
	naiveService := summarizeService(model.samples, name)
	r.add("naive_covers", "model: rate and burst divided by the number of hosts, one first-come-first-served queue per database, a connection per request")
	r.add("naive_admitted_over_limit", model.overLimit)
	r.add("naive_wrongful_refusals", naiveService.wrongfulRefusals)
	r.add("naive_within_rate_requests", naiveService.withinRate)
	r.add("naive_worst_customer_served_share", naiveService.worstShare)
	r.add("naive_worst_customer_p99_ms", milliseconds(naiveService.worstP99))
	r.add("naive_max_connections_seen", model.maxConnections)
	return r
}

// addNoisyCustomer adds the rates of sent and served requests of the noisy customer.
func (r *Report) addNoisyCustomer(noisy *noisyRun, name string, d time.Duration) {
	sent, served := 0, 0
	for _, s := range noisy.samples {
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

// addFindings adds the counts of the oracle, with their targets.
func (r *Report) addFindings(f Findings) {
	r.add("reads", f.Reads)
	r.add("writes_acked", f.Acked)
	r.addZeroTarget("writes_lost", f.Lost)
	r.addZeroTarget("writes_doubled", f.Duplicates)
	r.addZeroTarget("stale_reads", f.Stale)
	r.addZeroTarget("false_not_run", f.FalseNotRun)
	if len(f.Examples) > 0 {
		r.add("examples", f.Examples)
	}
}
