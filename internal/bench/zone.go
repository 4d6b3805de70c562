package bench

import (
	"context"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

const (
	// zoneDemandShare is the part of its rate that each customer sends.
	zoneDemandShare = 0.5
	// idleWindow is the time without load in which control traffic is measured.
	idleWindow = 3 * time.Second
	// maxInForce is the target for configurations, withdrawn keys and zones.
	maxInForce = 3 * time.Second
	// inForceLimit ends the wait for a configuration or a withdrawn key.
	inForceLimit = 8 * time.Second
	pollInterval = 10 * time.Millisecond
	minServed    = 0.99

	// The probe is a customer whose only key is withdrawn.
	probeCustomer = "key-probe"
	probeInterval = 50 * time.Millisecond
	probeRate     = 600
)

// zoneRun holds what the scenarios zone and outage measure.
type zoneRun struct {
	c        *cluster.Cluster
	load     *Load
	admitted *admissions

	controlBytes float64 // per host and second
	controlCPU   float64 // share of a core per host
	inForce      time.Duration
	withdrawn    time.Duration
	newWorkEntry time.Duration
	newWorkData  time.Duration
	from, to     time.Duration // of the disturbance
	during       callRates
	whole        callRates
}

// callRates are calls of the platform per second.
type callRates struct{ reads, writes float64 }

func runZone(ctx context.Context, opts Options) (*Report, error) {
	z, err := startZoneRun(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer z.c.Stop()
	out := z.c.Document().Inventory.Groups[1].Servers[0].Zone
	err = z.run(ctx, opts, func() error { return z.takeZoneOut(ctx, out, opts.Duration) })
	if err != nil {
		return nil, err
	}
	return z.report(ctx, "zone", opts, func(r *Report) {
		r.add("zone", out)
		r.atMost("new_work_after_out_s", seconds(max(z.newWorkEntry, z.newWorkData)), seconds(maxInForce))
		r.add("new_work_after_out_entry_s", seconds(z.newWorkEntry))
		r.add("new_work_after_out_database_s", seconds(z.newWorkData))
	})
}

func runOutage(ctx context.Context, opts Options) (*Report, error) {
	z, err := startZoneRun(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer z.c.Stop()
	if err := z.run(ctx, opts, func() error { return z.stopStore(ctx, opts.Duration) }); err != nil {
		return nil, err
	}
	return z.report(ctx, "outage", opts, func(r *Report) {
		r.add("store_writes_per_s_during", z.during.writes)
		r.add("store_reads_per_s_during", z.during.reads)
	})
}

// startZoneRun starts the Kandyan deployment with the probe's customer and
// measures the control traffic without load.
func startZoneRun(ctx context.Context, opts Options) (*zoneRun, error) {
	settings, err := kandyan(opts)
	if err != nil {
		return nil, err
	}
	doc := settings.Document
	doc.Inventory.Customers = append(doc.Inventory.Customers, config.Customer{Name: probeCustomer})
	doc.Rules.Limits = append(doc.Rules.Limits, config.Limit{Customer: probeCustomer, Rate: probeRate, Burst: probeRate})
	z := &zoneRun{admitted: newAdmissions()}
	settings.Admitted, settings.CountBytes = z.admitted.add, true
	if z.c, err = deploy(ctx, settings); err != nil {
		return nil, err
	}
	z.measureIdle(ctx)
	return z, nil
}

// measureIdle measures what a deployment without load spends. The processor
// time contains that of the stand-ins and of the network, so that it is an
// upper bound for the hosts.
func (z *zoneRun) measureIdle(ctx context.Context) {
	bytes, cpu, begin := z.c.Network.Bytes(), processorTime(), time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(idleWindow):
	}
	perHost := time.Since(begin).Seconds() * float64(len(z.c.Hosts))
	z.controlBytes = float64(z.c.Network.Bytes()-bytes) / perHost
	z.controlCPU = (processorTime() - cpu).Seconds() / perHost
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// run sends load while the disturbance takes its course.
func (z *zoneRun) run(ctx context.Context, opts Options, disturb func() error) error {
	z.load = NewLoad(z.c, opts.Seed)
	done := make(chan error, 1)
	var before callRates
	var begin time.Time
	err := z.load.Run(ctx, zoneStreams(z.c.Document()), opts.Duration, func() {
		before, begin = z.calls(), time.Now()
		go func() { done <- disturb() }()
	})
	if err != nil {
		return err
	}
	err = <-done
	z.whole = z.calls().since(before, begin)
	return err
}

// calls returns the calls of the platform so far.
func (z *zoneRun) calls() callRates {
	n := z.c.Platform.Counts()
	return callRates{float64(n.Reads), float64(n.Writes)}
}

func (c callRates) since(before callRates, begin time.Time) callRates {
	d := time.Since(begin).Seconds()
	return callRates{(c.reads - before.reads) / d, (c.writes - before.writes) / d}
}

// zoneStreams gives every customer sessions at all hosts.
func zoneStreams(doc *config.Document) []Stream {
	var hosts []string
	for _, h := range doc.Inventory.Hosts {
		hosts = append(hosts, h.Name)
	}
	var streams []Stream
	groups := doc.Inventory.Groups
	for i, customer := range doc.Inventory.Customers {
		if customer.Name == probeCustomer {
			continue
		}
		limit, _ := doc.Limit(customer.Name)
		s := customerStream(customer.Name, "", groups[i%len(groups)].Name, limit.Rate*zoneDemandShare)
		s.Hosts, s.MoveEvery = hosts, 10*time.Second
		streams = append(streams, s)
	}
	return streams
}

// takeZoneOut withdraws the probe's key, then takes the zone out and brings it back.
func (z *zoneRun) takeZoneOut(ctx context.Context, zone string, d time.Duration) error {
	sleepUntil(ctx, z.load, d/10)
	if err := z.withdrawKey(ctx); err != nil {
		return err
	}
	sleepUntil(ctx, z.load, d*3/10)
	z.from = z.load.Now()
	if err := z.apply(ctx, func(doc *config.Document) { doc.Rules.ZonesOut = []string{zone} }); err != nil {
		return err
	}
	returned := time.Now()
	if err := z.awaitInForce(ctx, returned); err != nil {
		return err
	}
	sleepUntil(ctx, z.load, d*7/10)
	z.measureNewWork(zone, returned)
	z.to = z.load.Now()
	return z.apply(ctx, func(doc *config.Document) { doc.Rules.ZonesOut = []string{} })
}

// measureNewWork finds the last request that reached the zone.
func (z *zoneRun) measureNewWork(zone string, returned time.Time) {
	z.admitted.mu.Lock()
	for _, h := range z.c.Document().Inventory.Hosts {
		if h.Zone == zone {
			z.newWorkEntry = max(z.newWorkEntry, z.admitted.last[h.Name].Sub(returned))
		}
	}
	z.admitted.mu.Unlock()
	for _, g := range z.c.Document().Inventory.Groups {
		for _, s := range g.Servers {
			if s.Zone == zone {
				z.newWorkData = max(z.newWorkData, z.c.Databases[s.Name].Record().LastData.Sub(returned))
			}
		}
	}
}

// stopStore keeps the platform down for most of the run. The configuration is
// changed right after its return.
func (z *zoneRun) stopStore(ctx context.Context, d time.Duration) error {
	sleepUntil(ctx, z.load, d/10)
	before, begin := z.calls(), time.Now()
	z.from = z.load.Now()
	z.c.Platform.SetOutage(true)
	sleepUntil(ctx, z.load, d*7/10)
	z.c.Platform.SetOutage(false)
	z.to = z.load.Now()
	z.during = z.calls().since(before, begin)
	return z.withdrawKey(ctx)
}

// apply publishes an edit within the time limit.
func (z *zoneRun) apply(ctx context.Context, edit func(*config.Document)) error {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	return z.c.Apply(ctx, edit)
}

// awaitInForce waits until every host has the newest configuration and keeps
// the longest time that this took.
func (z *zoneRun) awaitInForce(ctx context.Context, begin time.Time) error {
	for time.Since(begin) < inForceLimit && ctx.Err() == nil {
		if z.everywhere() {
			break
		}
		time.Sleep(pollInterval)
	}
	z.inForce = max(z.inForce, time.Since(begin))
	return ctx.Err()
}

func (z *zoneRun) everywhere() bool {
	for _, h := range z.c.Hosts {
		if h.Server.Status().ConfigVersion < z.c.Version() {
			return false
		}
	}
	return true
}

// withdrawKey withdraws the key of sessions that are open and working at every
// host, and measures from the call on until it has stopped working everywhere.
func (z *zoneRun) withdrawKey(ctx context.Context) error {
	probing, stop := context.WithCancel(ctx)
	defer stop()
	p := &probe{worked: map[string]time.Time{}}
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	for name := range z.c.Hosts {
		running.Go(func() { p.run(probing, z.c, name) })
	}
	for p.hosts() < len(z.c.Hosts) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	begin := time.Now()
	if err := z.apply(ctx, withdrawProbeKey); err != nil {
		return err
	}
	if err := z.awaitInForce(ctx, begin); err != nil {
		return err
	}
	// A key that works again after it had stopped counts, too.
	for time.Since(p.last()) < time.Second && time.Since(begin) < inForceLimit {
		time.Sleep(pollInterval)
	}
	z.withdrawn = max(0, p.last().Sub(begin))
	return ctx.Err()
}

func withdrawProbeKey(doc *config.Document) {
	for i := range doc.Inventory.Customers {
		if customer := &doc.Inventory.Customers[i]; customer.Name == probeCustomer {
			for k := range customer.Keys {
				customer.Keys[k].Withdrawn = true
			}
		}
	}
}

// probe uses a key at every host and notes when it last worked.
type probe struct {
	mu     sync.Mutex
	worked map[string]time.Time // by host
}

func (p *probe) run(ctx context.Context, c *cluster.Cluster, host string) {
	var conn *pgx.Conn
	for ctx.Err() == nil {
		if conn == nil || conn.IsClosed() {
			conn, _ = c.Connect(ctx, host, "bookings-read", probeCustomer)
		}
		if conn != nil {
			var value string
			err := conn.QueryRow(ctx, "SELECT value FROM kv WHERE key = $1", "none").Scan(&value)
			if err == nil || errors.Is(err, pgx.ErrNoRows) {
				p.note(host)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
	if conn != nil {
		closing, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(closing)
	}
}

func (p *probe) note(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.worked[host] = time.Now()
}

func (p *probe) hosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.worked)
}

func (p *probe) last() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, at := range p.worked {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// served returns the share of requests of a period that were served.
func served(samples []Sample, from, to time.Duration) float64 {
	sent, ok := 0, 0
	for _, s := range samples {
		if s.Due < from || s.Due >= to {
			continue
		}
		sent++
		if s.Outcome == Served {
			ok++
		}
	}
	return share(ok, sent)
}

func (z *zoneRun) report(ctx context.Context, name string, opts Options, special func(*Report)) (*Report, error) {
	samples := z.load.Samples()
	over := z.admitted.overLimit(z.c.Document())
	held, err := contents(ctx, z.c)
	if err != nil {
		return nil, err
	}
	outcomes, states := tally(samples)
	r := &Report{Scenario: name}
	r.add("seed", opts.Seed)
	r.add("duration_s", seconds(opts.Duration))
	r.atMost("config_in_force_s", seconds(z.inForce), seconds(maxInForce))
	r.atMost("key_withdrawn_s", seconds(z.withdrawn), seconds(maxInForce))
	special(r)
	r.none("requests_cut", outcomes[Unknown]+outcomes[Lost])
	r.add("served_share_before", served(samples, 0, z.from))
	r.atLeast("served_share_during", served(samples, z.from, z.to), minServed)
	r.add("served_share_after", served(samples, z.to, math.MaxInt64))
	r.add("store_writes_per_s", z.whole.writes)
	r.add("store_reads_per_s", z.whole.reads)
	r.add("control_bytes_per_host_per_s", z.controlBytes)
	r.add("control_cpu_share_per_host", z.controlCPU)
	r.none("admitted_over_limit", over)
	r.add("connections_refused_by_databases", refusedConnections(z.c))
	r.add("requests", len(samples))
	r.add("states", states)
	r.addFindings(z.load.History.Check(held))
	return r, nil
}
