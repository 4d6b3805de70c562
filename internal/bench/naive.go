package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// naiveResult is the result of the simulation of a naive proxy.
type naiveResult struct {
	samples        []Sample
	overLimit      int
	maxConnections int
}

// naiveDatabase simulates a database with a first-come-first-served queue.
type naiveDatabase struct {
	slotFreeAt  []time.Duration // by slot
	activeUntil []time.Duration // ends of the requests in progress
}

// enqueue adds a request that arrives at a time and returns when it ends.
func (d *naiveDatabase) enqueue(at, service time.Duration) time.Duration {
	slot := 0
	for i, free := range d.slotFreeAt {
		if free < d.slotFreeAt[slot] {
			slot = i
		}
	}
	end := max(at, d.slotFreeAt[slot]) + service
	d.slotFreeAt[slot] = end
	d.activeUntil = append(slices.DeleteFunc(d.activeUntil, func(end time.Duration) bool { return end <= at }), end)
	return end
}

// simulateNaiveProxy replays the requests of a run through the model of a proxy that
// divides every rate and burst by the number of hosts, queues requests first come,
// first served, and opens a connection for each request in progress. The model
// includes the delays of the network and the databases. It leaves out the cost of the
// proxy itself, failures and replication lag.
func simulateNaiveProxy(doc *config.Document, samples []Sample, seed uint64) naiveResult {
	var out naiveResult
	rng := rand.New(rand.NewPCG(seed, 1))
	databases := map[string]*naiveDatabase{}
	buckets := map[[2]string]*tokenBucket{}
	admitted := map[string][]time.Duration{}
	samples = slices.Clone(samples)
	slices.SortFunc(samples, func(a, b Sample) int { return int(a.Scheduled - b.Scheduled) })
	for _, s := range samples {
		limit, _ := doc.Limit(s.Customer)
		key := [2]string{s.Customer, s.Host}
		if buckets[key] == nil {
			hosts := float64(len(doc.Inventory.Hosts))
			buckets[key] = newTokenBucket(limit.Rate/hosts, limit.Burst/hosts)
		}
		s.Sent, s.Outcome, s.State = s.Scheduled, Refused, "53400"
		if buckets[key].take(s.Scheduled) {
			admitted[s.Customer] = append(admitted[s.Customer], s.Scheduled)
			db, slots := naiveTarget(doc, s, rng)
			if databases[db] == nil {
				databases[db] = &naiveDatabase{slotFreeAt: make([]time.Duration, slots)}
			}
			service := kandyanService.Min + time.Duration(rng.Int64N(int64(kandyanService.Max-kandyanService.Min)))
			s.Done = databases[db].enqueue(s.Scheduled+kandyanClientDelay+kandyanZoneDelay, service) + kandyanClientDelay + kandyanZoneDelay
			s.Outcome, s.State = Served, ""
			out.maxConnections = max(out.maxConnections, len(databases[db].activeUntil))
		}
		out.samples = append(out.samples, s)
	}
	for _, l := range doc.Rules.Limits {
		out.overLimit += countOverLimit(l.Rate, l.Burst, admitted[l.Customer])
	}
	return out
}

// naiveTarget returns the database of a request and its number of slots: the primary for
// a write, a randomly drawn replica for a read.
func naiveTarget(doc *config.Document, s Sample, rng *rand.Rand) (name string, slots int) {
	g, _ := doc.Group(s.Group)
	server := g.Servers[0]
	if !s.Write {
		server = g.Servers[1+rng.IntN(len(g.Servers)-1)]
	}
	return server.Name, server.Slots
}
