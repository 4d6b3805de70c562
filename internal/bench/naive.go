package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// naiveResult is the outcome of the model of a naive proxy.
type naiveResult struct {
	samples        []Sample
	over           int
	maxConnections int
}

// naiveDatabase is one database with a first-come-first-served queue.
type naiveDatabase struct {
	free []time.Duration // by slot: when it becomes free
	open []time.Duration // ends of the requests in progress
}

// run queues a request and returns its end.
func (d *naiveDatabase) run(at, service time.Duration) time.Duration {
	slot := 0
	for i, free := range d.free {
		if free < d.free[slot] {
			slot = i
		}
	}
	end := max(at, d.free[slot]) + service
	d.free[slot] = end
	d.open = append(slices.DeleteFunc(d.open, func(end time.Duration) bool { return end <= at }), end)
	return end
}

// naiveModel replays the requests of a run through a proxy that divides every
// rate and burst by the number of hosts and queues first come, first served. It
// opens a connection for each request in progress. The model has the delays of
// the network and the databases, and no cost of the proxy itself, no failures
// and no replica lag.
func naiveModel(doc *config.Document, samples []Sample, seed uint64) naiveResult {
	var out naiveResult
	rng := rand.New(rand.NewPCG(seed, 1))
	databases := map[string]*naiveDatabase{}
	buckets := map[[2]string]*bucket{}
	admitted := map[string][]time.Duration{}
	samples = slices.Clone(samples)
	slices.SortFunc(samples, func(a, b Sample) int { return int(a.Due - b.Due) })
	for _, s := range samples {
		limit, _ := doc.Limit(s.Customer)
		key := [2]string{s.Customer, s.Host}
		if buckets[key] == nil {
			hosts := float64(len(doc.Inventory.Hosts))
			buckets[key] = newBucket(limit.Rate/hosts, limit.Burst/hosts)
		}
		s.Sent, s.Outcome, s.State = s.Due, Refused, "53400"
		if buckets[key].take(s.Due) {
			admitted[s.Customer] = append(admitted[s.Customer], s.Due)
			db, slots := naiveTarget(doc, s, rng)
			if databases[db] == nil {
				databases[db] = &naiveDatabase{free: make([]time.Duration, slots)}
			}
			service := kandyanService.Min + time.Duration(rng.Int64N(int64(kandyanService.Max-kandyanService.Min)))
			s.Done = databases[db].run(s.Due+kandyanClientDelay+kandyanZoneDelay, service) + kandyanClientDelay + kandyanZoneDelay
			s.Outcome, s.State = Served, ""
			out.maxConnections = max(out.maxConnections, len(databases[db].open))
		}
		out.samples = append(out.samples, s)
	}
	for _, l := range doc.Rules.Limits {
		out.over += overLimit(l.Rate, l.Burst, admitted[l.Customer])
	}
	return out
}

// naiveTarget returns the database of a request: the primary for a write, any
// replica for a read.
func naiveTarget(doc *config.Document, s Sample, rng *rand.Rand) (name string, slots int) {
	g, _ := doc.Group(s.Group)
	server := g.Servers[0]
	if !s.Write {
		server = g.Servers[1+rng.IntN(len(g.Servers)-1)]
	}
	return server.Name, server.Slots
}
