package bench

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cranberryhinge/cranberryhinge/internal/cluster"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/faultnet"
)

// Targets of the failover scenario.
const (
	maxFailoverGap      = 5 * time.Second
	minReplicaShare     = 0.8
	minReplicaShareWith = 0.5
)

// readerLife is the mean time that a reading session stays on one host. A session
// without a token starts at the position of the primary at its connect, so that
// its first reads go to the primary until a replica has caught up.
const readerLife = 10 * time.Second

// Classes of streams in the failover scenario.
const (
	classReads = "reads"
	classMixed = "mixed"
	classSigns = "signatures"
)

// fault is injected into a group's primary for the middle part of a phase.
type fault struct {
	group       string
	begin, stop func(c *cluster.Cluster, primary config.Server)
}

// killPrimary ends the primary's process and starts it again with its log.
func killPrimary(group string) fault {
	return fault{
		group: group,
		begin: func(c *cluster.Cluster, primary config.Server) { c.Databases[primary.Name].Kill() },
		// An address that is in use again only leaves the server down.
		stop: func(c *cluster.Cluster, primary config.Server) { _ = c.Databases[primary.Name].Restart() },
	}
}

// cutZone cuts the primary's zone off from the other zones and the platform.
// Callers still reach the hosts of the zone, and through them the old primary.
func cutZone(group string) fault {
	return fault{
		group: group,
		begin: func(c *cluster.Cluster, primary config.Server) {
			for _, z := range c.Document().Inventory.Zones {
				if z.Name != primary.Zone {
					c.CutZones(primary.Zone, z.Name, faultnet.Silent)
				}
			}
			for _, h := range c.Document().Inventory.Hosts {
				if h.Zone == primary.Zone {
					c.Platform.Cut(h.Name)
				}
			}
		},
		stop: func(c *cluster.Cluster, _ config.Server) { c.Heal() },
	}
}

// phase is the outcome of one fault.
type phase struct {
	Findings
	gap      time.Duration
	parts    gapParts
	reads    map[string]replicaReads
	outcomes map[Outcome]int
	states   map[string]int
}

type replicaReads struct{ replica, all int }

func runFailover(ctx context.Context, opts Options) (*Report, error) {
	var phases []*phase
	for _, f := range []fault{killPrimary("release-north"), cutZone("release-delta")} {
		p, err := runFault(ctx, opts, f)
		if err != nil {
			return nil, err
		}
		phases = append(phases, p)
	}
	return failoverReport(opts, phases), nil
}

// runFault runs one phase on a deployment of its own, so that the second fault
// does not meet a group that has lost a database already.
func runFault(ctx context.Context, opts Options, f fault) (*phase, error) {
	settings, err := sundarban(opts)
	if err != nil {
		return nil, err
	}
	c, err := deploy(ctx, settings)
	if err != nil {
		return nil, err
	}
	defer c.Stop()
	d := opts.Duration / 2
	from, to := d*3/10, d*7/10
	load := NewLoad(c, opts.Seed)
	p := &phase{}
	var before map[string]gapParts
	var group errgroup.Group
	err = load.Run(ctx, failoverStreams(c.Document(), f.group), d, func() {
		group.Go(func() error {
			g, _ := c.Document().Group(f.group)
			primary, _, _ := c.Document().Server(primaryOf(c, g))
			sleepUntil(ctx, load, from)
			before = gapCounters(c)
			f.begin(c, primary)
			sleepUntil(ctx, load, to)
			f.stop(c, primary)
			return nil
		})
	})
	_ = group.Wait()
	if err != nil {
		return nil, err
	}
	p.gap, _ = load.History.longestGap(f.group, from-time.Second, d)
	p.parts = newestGap(before, gapCounters(c))
	p.reads = countReads(c)
	p.outcomes, p.states = tally(load.Samples())
	return p, p.check(ctx, c, load)
}

// check waits for full service and compares the history with the databases.
func (p *phase) check(ctx context.Context, c *cluster.Cluster, load *Load) error {
	ready, cancel := readyContext(ctx)
	defer cancel()
	if err := c.WaitReady(ready); err != nil {
		return err
	}
	held, err := contents(ctx, c)
	if err != nil {
		return err
	}
	p.Findings = load.History.Check(held)
	return nil
}

// failoverStreams gives every group readers, sessions that write a tenth of the
// time, and writers. Hosts count the reads that they send to replicas, so that
// readers and mixed sessions use different hosts.
func failoverStreams(doc *config.Document, failing string) []Stream {
	readers, writers := splitHosts(doc)
	small := []string{"lab-howrah", "lab-durgapur", "lab-siliguri"}
	var streams []Stream
	for i, g := range doc.Inventory.Groups {
		routes := []string{g.Name + "-status", g.Name + "-certificates"}
		signers := 30
		if g.Name == failing {
			// Writers that wait for a new primary must not use up all sessions.
			signers = 60
		}
		streams = append(
			streams,
			Stream{Class: classReads, Customer: "lab-kolkata", Group: g.Name, ReadRoutes: routes, Sessions: 10, Hosts: readers, MoveEvery: readerLife, Peak: 25},
			Stream{Class: classReads, Customer: small[i%len(small)], Group: g.Name, ReadRoutes: routes, Sessions: 5, Hosts: readers, MoveEvery: readerLife, Peak: 15},
			Stream{
				Class: classMixed, Customer: "lab-kolkata", Group: g.Name, WriteRoute: g.Name, ReadRoutes: routes[:1], WriteShare: 0.1,
				Sessions: 6, Hosts: writers, MoveEvery: 4 * time.Second, Peak: 12,
			},
			Stream{Class: classSigns, Customer: "head-office", Group: g.Name, WriteRoute: g.Name, WriteShare: 1, Sessions: signers, Hosts: writers, MoveEvery: 8 * time.Second, Peak: 20},
		)
	}
	return streams
}

// splitHosts returns the first host of every zone and the others.
func splitHosts(doc *config.Document) (first, others []string) {
	seen := map[string]bool{}
	for _, h := range doc.Inventory.Hosts {
		if seen[h.Zone] {
			others = append(others, h.Name)
		} else {
			first = append(first, h.Name)
		}
		seen[h.Zone] = true
	}
	return first, others
}

// countReads sums the read counters of the hosts of each class.
func countReads(c *cluster.Cluster) map[string]replicaReads {
	readers, writers := splitHosts(c.Document())
	sums := map[string]replicaReads{}
	for class, hosts := range map[string][]string{classReads: readers, classMixed: writers} {
		var sum replicaReads
		for _, name := range hosts {
			counters := c.Hosts[name].Server.Counters()
			replica := int(counters.Get("reads_replica"))
			sum.replica += replica
			sum.all += replica + int(counters.Get("reads_primary"))
		}
		sums[class] = sum
	}
	return sums
}

// gapParts are the parts of a failover gap as the new owner measured them.
type gapParts struct{ detection, lease, fencing, promotion time.Duration }

func (g gapParts) total() time.Duration { return g.detection + g.lease + g.fencing + g.promotion }

func gapCounters(c *cluster.Cluster) map[string]gapParts {
	all := map[string]gapParts{}
	for name, h := range c.Hosts {
		ms := func(part string) time.Duration {
			return time.Duration(h.Server.Counters().Get("failover_"+part+"_ms")) * time.Millisecond
		}
		all[name] = gapParts{ms("detection"), ms("lease"), ms("fencing"), ms("promotion")}
	}
	return all
}

// newestGap merges what the hosts measured since before: one host can run the
// first steps of a promotion and another one the rest.
func newestGap(before, after map[string]gapParts) gapParts {
	var g gapParts
	for name, parts := range after {
		if parts == before[name] {
			continue
		}
		g.detection, g.lease = max(g.detection, parts.detection), max(g.lease, parts.lease)
		g.fencing, g.promotion = max(g.fencing, parts.fencing), max(g.promotion, parts.promotion)
	}
	return g
}

func tally(samples []Sample) (map[Outcome]int, map[string]int) {
	outcomes, states := map[Outcome]int{}, map[string]int{}
	for _, s := range samples {
		outcomes[s.Outcome]++
		if s.State != "" {
			states[s.State]++
		}
	}
	return outcomes, states
}

func failoverReport(opts Options, phases []*phase) *Report {
	r := &Report{Scenario: "failover"}
	var sum Findings
	reads := map[string]replicaReads{}
	worst := phases[0]
	for _, p := range phases {
		sum.merge(p.Findings)
		for class, n := range p.reads {
			reads[class] = replicaReads{reads[class].replica + n.replica, reads[class].all + n.all}
		}
		if p.gap > worst.gap {
			worst = p
		}
	}
	r.add("seed", opts.Seed)
	r.add("duration_s", seconds(opts.Duration))
	r.atLeast("replica_read_share", share(reads[classReads].replica, reads[classReads].all), minReplicaShare)
	r.atLeast("replica_read_share_writers", share(reads[classMixed].replica, reads[classMixed].all), minReplicaShareWith)
	r.addFindings(sum)
	r.atMost("failover_gap_s", seconds(worst.gap), seconds(maxFailoverGap))
	r.addParts("failover", worst)
	for i, name := range []string{"kill", "partition"} {
		r.add(name+"_gap_s", seconds(phases[i].gap))
		r.addParts(name, phases[i])
		r.add(name+"_served", phases[i].outcomes[Served])
		r.add(name+"_unknown", phases[i].outcomes[Unknown]+phases[i].outcomes[Lost])
		r.add(name+"_states", phases[i].states)
	}
	return r
}

func (r *Report) addParts(name string, p *phase) {
	r.add(name+"_detection_s", seconds(p.parts.detection))
	r.add(name+"_lease_s", seconds(p.parts.lease))
	r.add(name+"_fencing_s", seconds(p.parts.fencing))
	r.add(name+"_promotion_s", seconds(p.parts.promotion))
	r.add(name+"_first_write_s", seconds(max(0, p.gap-p.parts.total())))
}

func (f *Findings) merge(o Findings) {
	f.Reads += o.Reads
	f.Acked += o.Acked
	f.Lost += o.Lost
	f.Doubled += o.Doubled
	f.Stale += o.Stale
	f.FalseNotRun += o.FalseNotRun
	f.Examples = append(f.Examples, o.Examples...)
}
