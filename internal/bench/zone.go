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
	// zoneDemandShare is the demand of each customer as a share of its rate.
	zoneDemandShare = 0.5
	// idleWindow is the time without load for which control traffic is measured: the
	// traffic of hosts that serve no requests.
	idleWindow = 3 * time.Second
	// maxInForceTime is the target for the time until a configuration, the withdrawal
	// of a key or the removal of a zone is in force on all hosts.
	maxInForceTime = 3 * time.Second
	// inForceTimeout bounds the publication of a configuration, and the wait until it
	// or the withdrawal of a key is in force.
	inForceTimeout = 8 * time.Second
	pollInterval   = 10 * time.Millisecond
	minServedShare = 0.99

	// probeCustomer is a customer whose only key is withdrawn during the run.
	probeCustomer = "key-probe"
	probeInterval = 50 * time.Millisecond
	probeRate     = 600
)

// zoneRun holds what the scenarios zone and outage measure. The disturbance is the time
// in which the zone is out of service or the store is down.
type zoneRun struct {
	cluster  *cluster.Cluster
	load     *Load
	admitted *admissions

	controlBytes                     float64       // per host and second
	controlCPU                       float64       // share of a core per host
	inForceTime                      time.Duration // longest of all changes
	withdrawalTime                   time.Duration
	lastEntryWork                    time.Duration // after the removal of the zone
	lastDatabaseWork                 time.Duration // after the removal of the zone
	disturbanceStart, disturbanceEnd time.Duration
	ratesDuring                      storeCalls
	ratesWholeRun                    storeCalls
}

// storeCalls are the numbers of calls of the platform's store, or their rates per second.
type storeCalls struct{ reads, writes float64 }

func runZone(ctx context.Context, opts Options) (*Report, error) {
	z, err := startZoneRun(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer z.cluster.Stop()
	zone := z.cluster.Document().Inventory.Groups[1].Servers[0].Zone
	err = z.run(ctx, opts, func() error { return z.takeZoneOut(ctx, zone, opts.Duration) })
	if err != nil {
		return nil, err
	}
	return z.report(ctx, "zone", opts, func(r *Report) {
		r.add("zone", zone)
		r.addAtMost("new_work_after_out_s", seconds(max(z.lastEntryWork, z.lastDatabaseWork)), seconds(maxInForceTime))
		r.add("new_work_after_out_entry_s", seconds(z.lastEntryWork))
		r.add("new_work_after_out_database_s", seconds(z.lastDatabaseWork))
	})
}

func runOutage(ctx context.Context, opts Options) (*Report, error) {
	z, err := startZoneRun(ctx, opts)
	if err != nil {
		return nil, err
	}
	defer z.cluster.Stop()
	if err := z.run(ctx, opts, func() error { return z.runStoreOutage(ctx, opts.Duration) }); err != nil {
		return nil, err
	}
	return z.report(ctx, "outage", opts, func(r *Report) {
		r.add("store_writes_per_s_during", z.ratesDuring.writes)
		r.add("store_reads_per_s_during", z.ratesDuring.reads)
	})
}

// startZoneRun starts the Kandyan deployment with probeCustomer added, and measures the
// control traffic without load.
func startZoneRun(ctx context.Context, opts Options) (*zoneRun, error) {
	settings, err := kandyanSettings(opts)
	if err != nil {
		return nil, err
	}
	doc := settings.Document
	doc.Inventory.Customers = append(doc.Inventory.Customers, config.Customer{Name: probeCustomer})
	doc.Rules.Limits = append(doc.Rules.Limits, config.Limit{Customer: probeCustomer, Rate: probeRate, Burst: probeRate})
	z := &zoneRun{admitted: newAdmissions()}
	settings.OnAdmit, settings.CountBytes = z.admitted.record, true
	if z.cluster, err = deploy(ctx, settings); err != nil {
		return nil, err
	}
	z.measureIdle(ctx)
	return z, nil
}

// measureIdle measures the traffic and the processor time of a deployment without load.
// The processor time includes that of the stand-ins and of the simulated network, so
// that it is an upper bound for the hosts.
func (z *zoneRun) measureIdle(ctx context.Context) {
	bytes, cpu, begin := z.cluster.Network.Bytes(), processorTime(), time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(idleWindow):
	}
	hostSeconds := time.Since(begin).Seconds() * float64(len(z.cluster.Hosts))
	z.controlBytes = float64(z.cluster.Network.Bytes()-bytes) / hostSeconds
	z.controlCPU = (processorTime() - cpu).Seconds() / hostSeconds
}

// processorTime returns the user and system time of this process, or 0 on an error.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// run sends load while disturb runs, and returns when both have ended.
func (z *zoneRun) run(ctx context.Context, opts Options, disturb func() error) error {
	z.load = NewLoad(z.cluster, opts.Seed)
	done := make(chan error, 1)
	var before storeCalls
	var begin time.Time
	err := z.load.Run(ctx, zoneStreams(z.cluster.Document()), opts.Duration, func() {
		before, begin = z.countStoreCalls(), time.Now()
		go func() { done <- disturb() }()
	})
	if err != nil {
		return err
	}
	err = <-done
	z.ratesWholeRun = z.countStoreCalls().ratesSince(before, begin)
	return err
}

// countStoreCalls returns the number of calls of the platform's store so far.
func (z *zoneRun) countStoreCalls() storeCalls {
	n := z.cluster.Platform.Counts()
	return storeCalls{float64(n.Reads), float64(n.Writes)}
}

func (c storeCalls) ratesSince(before storeCalls, begin time.Time) storeCalls {
	d := time.Since(begin).Seconds()
	return storeCalls{(c.reads - before.reads) / d, (c.writes - before.writes) / d}
}

// zoneStreams gives every customer except the probe's one stream over all hosts.
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
		s.Hosts, s.ReconnectInterval = hosts, 10*time.Second
		streams = append(streams, s)
	}
	return streams
}

// takeZoneOut withdraws the key of probeCustomer, then takes the zone out of service and
// brings it back. d is the duration of the load.
func (z *zoneRun) takeZoneOut(ctx context.Context, zone string, d time.Duration) error {
	sleepUntil(ctx, z.load, d/10)
	if err := z.measureKeyWithdrawal(ctx); err != nil {
		return err
	}
	sleepUntil(ctx, z.load, d*3/10)
	z.disturbanceStart = z.load.Now()
	if err := z.applyConfig(ctx, func(doc *config.Document) { doc.Rules.ZonesOut = []string{zone} }); err != nil {
		return err
	}
	appliedAt := time.Now()
	if err := z.awaitInForce(ctx, appliedAt); err != nil {
		return err
	}
	sleepUntil(ctx, z.load, d*7/10)
	z.measureLastWork(zone, appliedAt)
	z.disturbanceEnd = z.load.Now()
	return z.applyConfig(ctx, func(doc *config.Document) { doc.Rules.ZonesOut = []string{} })
}

// measureLastWork finds how long after the removal of the zone its hosts last admitted a
// request and its databases last received one.
func (z *zoneRun) measureLastWork(zone string, appliedAt time.Time) {
	z.admitted.mu.Lock()
	for _, h := range z.cluster.Document().Inventory.Hosts {
		if h.Zone == zone {
			z.lastEntryWork = max(z.lastEntryWork, z.admitted.lastByHost[h.Name].Sub(appliedAt))
		}
	}
	z.admitted.mu.Unlock()
	for _, g := range z.cluster.Document().Inventory.Groups {
		for _, s := range g.Servers {
			if s.Zone == zone {
				z.lastDatabaseWork = max(z.lastDatabaseWork, z.cluster.Databases[s.Name].Record().LastData.Sub(appliedAt))
			}
		}
	}
}

// runStoreOutage keeps the platform's store down for most of the run. Right after its
// return, it changes the configuration by withdrawing a key.
func (z *zoneRun) runStoreOutage(ctx context.Context, d time.Duration) error {
	sleepUntil(ctx, z.load, d/10)
	before, begin := z.countStoreCalls(), time.Now()
	z.disturbanceStart = z.load.Now()
	z.cluster.Platform.SetOutage(true)
	sleepUntil(ctx, z.load, d*7/10)
	z.cluster.Platform.SetOutage(false)
	z.disturbanceEnd = z.load.Now()
	z.ratesDuring = z.countStoreCalls().ratesSince(before, begin)
	return z.measureKeyWithdrawal(ctx)
}

// applyConfig publishes an edit of the configuration within inForceTimeout.
func (z *zoneRun) applyConfig(ctx context.Context, edit func(*config.Document)) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	return z.cluster.Apply(ctx, edit)
}

// awaitInForce waits until every host has the newest configuration, for at most
// inForceTimeout after begin. It stores the longest wait of the run in inForceTime.
func (z *zoneRun) awaitInForce(ctx context.Context, begin time.Time) error {
	for time.Since(begin) < inForceTimeout && ctx.Err() == nil {
		if z.inForceOnAllHosts() {
			break
		}
		time.Sleep(pollInterval)
	}
	z.inForceTime = max(z.inForceTime, time.Since(begin))
	return ctx.Err()
}

func (z *zoneRun) inForceOnAllHosts() bool {
	for _, h := range z.cluster.Hosts {
		if h.Server.Status().ConfigVersion < z.cluster.Version() {
			return false
		}
	}
	return true
}

// measureKeyWithdrawal withdraws a key that is in use in sessions on every host. It
// measures the time from the call until the key last worked on any host.
func (z *zoneRun) measureKeyWithdrawal(ctx context.Context) error {
	probeCtx, stopProbes := context.WithCancel(ctx)
	defer stopProbes()
	p := &probe{lastWorked: map[string]time.Time{}}
	var running sync.WaitGroup
	defer running.Wait()
	defer stopProbes()
	for name := range z.cluster.Hosts {
		running.Go(func() { p.run(probeCtx, z.cluster, name) })
	}
	for p.hostCount() < len(z.cluster.Hosts) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	begin := time.Now()
	if err := z.applyConfig(ctx, withdrawProbeKey); err != nil {
		return err
	}
	if err := z.awaitInForce(ctx, begin); err != nil {
		return err
	}
	// Wait for a second without success: a key that works again after it stopped
	// working counts too.
	for time.Since(p.lastSuccess()) < time.Second && time.Since(begin) < inForceTimeout {
		time.Sleep(pollInterval)
	}
	z.withdrawalTime = max(0, p.lastSuccess().Sub(begin))
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

// probe uses a key on every host and records when it last worked.
type probe struct {
	mu         sync.Mutex
	lastWorked map[string]time.Time // by host
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
				p.recordSuccess(host)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
	if conn != nil {
		closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = conn.Close(closeCtx)
	}
}

func (p *probe) recordSuccess(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastWorked[host] = time.Now()
}

func (p *probe) hostCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lastWorked)
}

func (p *probe) lastSuccess() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, at := range p.lastWorked {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// servedShare returns the share of the requests scheduled between from and to that were
// served.
func servedShare(samples []Sample, from, to time.Duration) float64 {
	sent, ok := 0, 0
	for _, s := range samples {
		if s.Scheduled < from || s.Scheduled >= to {
			continue
		}
		sent++
		if s.Outcome == Served {
			ok++
		}
	}
	return share(ok, sent)
}

func (z *zoneRun) report(ctx context.Context, name string, opts Options, addSpecific func(*Report)) (*Report, error) {
	samples := z.load.Samples()
	overLimit := z.admitted.countOverLimit(z.cluster.Document())
	stored, err := readContents(ctx, z.cluster)
	if err != nil {
		return nil, err
	}
	outcomes, states := countOutcomes(samples)
	r := &Report{Scenario: name}
	r.add("seed", opts.Seed)
	r.add("duration_s", seconds(opts.Duration))
	r.addAtMost("config_in_force_s", seconds(z.inForceTime), seconds(maxInForceTime))
	r.addAtMost("key_withdrawn_s", seconds(z.withdrawalTime), seconds(maxInForceTime))
	addSpecific(r)
	r.addZeroTarget("requests_cut", outcomes[Unknown]+outcomes[Lost])
	r.add("served_share_before", servedShare(samples, 0, z.disturbanceStart))
	r.addAtLeast("served_share_during", servedShare(samples, z.disturbanceStart, z.disturbanceEnd), minServedShare)
	r.add("served_share_after", servedShare(samples, z.disturbanceEnd, math.MaxInt64))
	r.add("store_writes_per_s", z.ratesWholeRun.writes)
	r.add("store_reads_per_s", z.ratesWholeRun.reads)
	r.add("control_bytes_per_host_per_s", z.controlBytes)
	r.add("control_cpu_share_per_host", z.controlCPU)
	r.addZeroTarget("admitted_over_limit", overLimit)
	r.add("connections_refused_by_databases", countRefusedConnections(z.cluster))
	r.add("requests", len(samples))
	r.add("states", states)
	r.addFindings(z.load.History.Check(stored))
	return r, nil
}
