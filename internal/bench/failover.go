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
	maxFailoverGap        = 5 * time.Second
	minReplicaShare       = 0.8
	minWriterReplicaShare = 0.5
)

// readerReconnectInterval is the mean time that a reading session stays on one host. A
// session without a token starts at the position that the primary has when the
// session connects, so that its first reads go to the primary until a replica has
// caught up.
const readerReconnectInterval = 10 * time.Second

// Classes of streams in the failover scenario.
const (
	classReads      = "reads"
	classMixed      = "mixed"
	classSignatures = "signatures"
)

// fault is a fault of a group's primary, injected for the middle part of a phase.
type fault struct {
	group          string
	inject, revert func(c *cluster.Cluster, primary config.Server)
}

// killPrimary kills the primary's database server and restarts it with its log.
func killPrimary(group string) fault {
	return fault{
		group:  group,
		inject: func(c *cluster.Cluster, primary config.Server) { c.Databases[primary.Name].Kill() },
		// If another process has taken the address, the server stays down.
		revert: func(c *cluster.Cluster, primary config.Server) { _ = c.Databases[primary.Name].Restart() },
	}
}

// isolateZone cuts the primary's zone off from the other zones and the platform.
// Callers still reach the hosts of the zone and, through them, the old primary.
func isolateZone(group string) fault {
	return fault{
		group: group,
		inject: func(c *cluster.Cluster, primary config.Server) {
			for _, z := range c.Document().Inventory.Zones {
				if z.Name != primary.Zone {
					c.CutZones(primary.Zone, z.Name, faultnet.Silent)
				}
			}
			for _, h := range c.Document().Inventory.Hosts {
				if h.Zone == primary.Zone {
					c.Platform.DisconnectHosts(h.Name)
				}
			}
		},
		revert: func(c *cluster.Cluster, _ config.Server) { c.Heal() },
	}
}

// phase holds what was measured during one fault.
type phase struct {
	Findings
	gap      time.Duration
	parts    gapParts
	reads    map[string]replicaReads
	outcomes map[Outcome]int
	states   map[string]int
}

type replicaReads struct{ replica, total int }

func runFailover(ctx context.Context, opts Options) (*Report, error) {
	var phases []*phase
	for _, f := range []fault{killPrimary("release-north"), isolateZone("release-delta")} {
		p, err := runPhase(ctx, opts, f)
		if err != nil {
			return nil, err
		}
		phases = append(phases, p)
	}
	return failoverReport(opts, phases), nil
}

// runPhase runs one phase on a deployment of its own, so that no phase starts with a
// group that has already lost a database.
func runPhase(ctx context.Context, opts Options, f fault) (*phase, error) {
	settings, err := sundarbanSettings(opts)
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
			before = readGapCounters(c)
			f.inject(c, primary)
			sleepUntil(ctx, load, to)
			f.revert(c, primary)
			return nil
		})
	})
	_ = group.Wait()
	if err != nil {
		return nil, err
	}
	p.gap, _ = load.History.longestWriteGap(f.group, from-time.Second, d)
	p.parts = gapPartsSince(before, readGapCounters(c))
	p.reads = countReads(c)
	p.outcomes, p.states = countOutcomes(load.Samples())
	return p, p.check(ctx, c, load)
}

// check waits until the deployment is ready again and compares the history with the
// databases.
func (p *phase) check(ctx context.Context, c *cluster.Cluster, load *Load) error {
	ready, cancel := readyContext(ctx)
	defer cancel()
	if err := c.WaitReady(ready); err != nil {
		return err
	}
	stored, err := readContents(ctx, c)
	if err != nil {
		return err
	}
	p.Findings = load.History.Check(stored)
	return nil
}

// failoverStreams gives every group readers, writers, and mixed sessions with a tenth of
// writes. Readers and mixed sessions use different hosts, because each host counts the
// reads that it sends to replicas for all its sessions together.
func failoverStreams(doc *config.Document, failing string) []Stream {
	readers, writers := splitHosts(doc)
	smallCustomers := []string{"lab-howrah", "lab-durgapur", "lab-siliguri"}
	var streams []Stream
	for i, g := range doc.Inventory.Groups {
		routes := []string{g.Name + "-status", g.Name + "-certificates"}
		signers := 30
		if g.Name == failing {
			// Writers that wait for a new primary must not occupy all sessions.
			signers = 60
		}
		streams = append(
			streams,
			Stream{Class: classReads, Customer: "lab-kolkata", Group: g.Name, ReadRoutes: routes, Sessions: 10, Hosts: readers, ReconnectInterval: readerReconnectInterval, PeakRate: 25},
			Stream{Class: classReads, Customer: smallCustomers[i%len(smallCustomers)], Group: g.Name, ReadRoutes: routes, Sessions: 5, Hosts: readers, ReconnectInterval: readerReconnectInterval, PeakRate: 15},
			Stream{
				Class: classMixed, Customer: "lab-kolkata", Group: g.Name, WriteRoute: g.Name, ReadRoutes: routes[:1], WriteShare: 0.1,
				Sessions: 6, Hosts: writers, ReconnectInterval: 4 * time.Second, PeakRate: 12,
			},
			Stream{Class: classSignatures, Customer: "head-office", Group: g.Name, WriteRoute: g.Name, WriteShare: 1, Sessions: signers, Hosts: writers, ReconnectInterval: 8 * time.Second, PeakRate: 20},
		)
	}
	return streams
}

// splitHosts returns the first host of every zone, and all other hosts.
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

// countReads returns the sums of the hosts' read counters by class of streams.
func countReads(c *cluster.Cluster) map[string]replicaReads {
	readers, writers := splitHosts(c.Document())
	sums := map[string]replicaReads{}
	for class, hosts := range map[string][]string{classReads: readers, classMixed: writers} {
		var sum replicaReads
		for _, name := range hosts {
			counters := c.Hosts[name].Server.Counters()
			replica := int(counters.Get("reads_replica"))
			sum.replica += replica
			sum.total += replica + int(counters.Get("reads_primary"))
		}
		sums[class] = sum
	}
	return sums
}

// gapParts holds the parts of a failover gap as measured by the group's new owner.
type gapParts struct{ detection, lease, fencing, promotion time.Duration }

func (g gapParts) total() time.Duration { return g.detection + g.lease + g.fencing + g.promotion }

func readGapCounters(c *cluster.Cluster) map[string]gapParts {
	all := map[string]gapParts{}
	for name, h := range c.Hosts {
		ms := func(part string) time.Duration {
			return time.Duration(h.Server.Counters().Get("failover_"+part+"_ms")) * time.Millisecond
		}
		all[name] = gapParts{ms("detection"), ms("lease"), ms("fencing"), ms("promotion")}
	}
	return all
}

// gapPartsSince merges the parts that the hosts measured between the two readings. One
// host can run the first steps of a promotion and another host the rest.
func gapPartsSince(before, after map[string]gapParts) gapParts {
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

func countOutcomes(samples []Sample) (map[Outcome]int, map[string]int) {
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
			reads[class] = replicaReads{reads[class].replica + n.replica, reads[class].total + n.total}
		}
		if p.gap > worst.gap {
			worst = p
		}
	}
	r.add("seed", opts.Seed)
	r.add("duration_s", seconds(opts.Duration))
	r.addAtLeast("replica_read_share", share(reads[classReads].replica, reads[classReads].total), minReplicaShare)
	r.addAtLeast("replica_read_share_writers", share(reads[classMixed].replica, reads[classMixed].total), minWriterReplicaShare)
	r.addFindings(sum)
	r.addAtMost("failover_gap_s", seconds(worst.gap), seconds(maxFailoverGap))
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
	f.Duplicates += o.Duplicates
	f.Stale += o.Stale
	f.FalseNotRun += o.FalseNotRun
	f.Examples = append(f.Examples, o.Examples...)
}
