package scale

import (
	"fmt"

	"github.com/pkg/errors"
)

// Limits of one node at the target size.
const (
	MaxCPUPercent  = 1.7
	MaxMemory      = 32 << 20
	MaxBytes       = 23_000
	MaxStoreWrites = 500
	MaxStoreReads  = 2000
)

// Rates that the code fixes.
const (
	pollsPerSecond   = 4    // group.Timing.Poll
	groupRefresh     = 10.0 // seconds, group.Timing.Refresh
	hostListInterval = 10.0 // seconds, mean of member's listInterval
	daySeconds       = 86_400
)

// Load is what one duty costs one node at the target size.
type Load struct {
	Duty string `json:"duty"`
	// Bytes counts both directions, in bytes per second.
	Bytes float64 `json:"bytes_per_s"`
	// CPU is in percent of a core.
	CPU    float64 `json:"cpu_percent"`
	Memory float64 `json:"memory_bytes"`
}

// String implements fmt.Stringer.
func (l Load) String() string {
	return fmt.Sprintf("%.0f B/s, cpu %.3f %%, memory %.0f B", l.Bytes, l.CPU, l.Memory)
}

// Capacity is the load of the target size.
type Capacity struct {
	Loads []Load `json:"loads"`
	// Control is the sum over the control duties, rate grants left out.
	Control Load `json:"control"`
	// Grants is the load of rate grants on a mean host when every statement
	// comes alone, so that none shares an ask. MinterCPU is the processor time
	// of one of the hosts that hold a minter role, in percent of a core.
	Grants    Load    `json:"grants"`
	MinterCPU float64 `json:"minter_cpu_percent"`
	// Reads and Writes are the store calls of the whole fleet a second.
	Reads  float64 `json:"store_reads_per_s"`
	Writes float64 `json:"store_writes_per_s"`
	// EntryMemory is the memory of the client connections of one host.
	EntryMemory float64 `json:"entry_memory_bytes"`
	// EntryCPU is the processor time, in percent of a core, that the statements
	// of one host cost beyond the direct way, on the way over two hosts.
	EntryCPU float64 `json:"entry_cpu_percent"`
}

// share turns microseconds per event and events a second into percent of a core.
func share(micros, perSecond float64) float64 { return micros * perSecond / 1e6 * 100 }

// capacity works the load of the target size out from the measurements.
func capacity(r *Result) (Capacity, error) {
	for _, name := range []string{
		"exchange_bytes", "exchange_cpu", "exchanges_sent", "fleet_cpu", "fleet_memory", "store_reads", "store_writes",
		"document_gzip_bytes", "document_decode_cpu", "document_gzip_cpu", "document_gunzip_cpu", "document_memory", "poll_cpu", "poll_bytes", "grant_cpu", "connection_memory",
	} {
		if _, ok := r.series(name); !ok {
			return Capacity{}, errors.Errorf("no measurement of %s", name)
		}
	}
	at := func(name string, size float64) float64 {
		s, _ := r.series(name)
		return s.At(size)
	}
	slope := func(name string) float64 {
		s, _ := r.series(name)
		return s.Slope
	}
	hosts, entities := Target.Hosts, targetEntities()
	exchanges := at("exchanges_sent", hosts)
	// The smallest exchange stands for any small call between two nodes.
	smallest, _ := r.series("exchange_bytes")
	callBytes, callCPU := smallest.Points[0].Value, at("exchange_cpu", smallest.Points[0].Size)
	polls := pollsPerSecond * Target.Databases / hosts
	groups := Target.Databases / serversPerGroup
	samples := pollsPerSecond * (Target.Databases - groups) / hosts
	calls := (at("store_reads", hosts)+at("store_writes", hosts))/hosts + Target.Databases/groupRefresh/hosts + 1/hostListInterval
	changes := Target.Changes / daySeconds
	document := at("document_gzip_bytes", entities)
	prepare := at("document_decode_cpu", entities) + at("document_gzip_cpu", entities) + at("document_gunzip_cpu", entities)
	c := Capacity{Loads: []Load{
		{"heartbeats", 2 * exchanges * at("exchange_bytes", hosts), at("fleet_cpu", hosts) + share(at("exchange_cpu", hosts), exchanges), at("fleet_memory", hosts)},
		{"store calls", calls * callBytes, share(callCPU, calls), 0},
		// Each host fetches a document once and, in the mean, serves it once. Two
		// documents exist while one replaces the other.
		{"configuration", 2 * changes * document, share(1e3*prepare, changes), 2 * at("document_memory", entities)},
		{"status polls", polls * slope("poll_bytes"), share(slope("poll_cpu"), polls), 0},
		// A sample is asked by one host and answered by another.
		{"freshness samples", 2 * samples * callBytes, share(callCPU, samples), 0},
	}}
	c.Control.Duty = "control"
	for _, l := range c.Loads {
		c.Control.Bytes += l.Bytes
		c.Control.CPU += l.CPU
		c.Control.Memory += l.Memory
	}
	perHost := Target.Statements / hosts
	grant := callCPU + at("grant_cpu", Target.Customers)
	c.Grants = Load{"rate grants", 2 * perHost * callBytes, share(grant, perHost), 0}
	// Half of a call's processor time is the answering side's.
	c.MinterCPU = share(callCPU/2+at("grant_cpu", Target.Customers), Target.Statements/(Target.Zones*rateShards))
	c.Reads = at("store_reads", hosts) + Target.Databases/groupRefresh + hosts/hostListInterval
	c.Writes = at("store_writes", hosts)
	c.EntryMemory = slope("connection_memory") * Target.Connections / hosts
	if extra, ok := r.proxyCPU(); ok {
		c.EntryCPU = share(extra, perHost)
	}
	return c, nil
}

// proxyCPU returns the processor time in microseconds that two hosts add to a
// statement, at the highest concurrency measured.
func (r *Result) proxyCPU() (float64, bool) {
	var direct, two float64
	for _, p := range r.Paths { // concurrencies ascend
		switch p.Way {
		case wayDirect:
			direct = p.CPU
		case wayTwoHosts:
			two = p.CPU
		}
	}
	return two - direct, direct > 0 && two > 0
}
