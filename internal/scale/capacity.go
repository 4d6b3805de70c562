package scale

import (
	"fmt"

	"github.com/pkg/errors"
)

// Limits at the target size: processor time in percent of a core, memory in bytes
// and network traffic in bytes per second of one host, and store calls per second
// of the whole fleet.
const (
	MaxCPUPercent           = 1.7
	MaxMemoryBytes          = 32 << 20
	MaxBytesPerSecond       = 23_000
	MaxStoreWritesPerSecond = 500
	MaxStoreReadsPerSecond  = 2000
)

// Rates and intervals that are fixed in other packages.
const (
	pollsPerServerSecond = 4    // group.Timing.Poll
	groupRefreshSeconds  = 10.0 // seconds, group.Timing.Refresh
	hostListSeconds      = 10.0 // seconds, member.hostListInterval, which is the mean with jitter
	secondsPerDay        = 86_400
)

// Load is the cost of one duty for one host at the target size.
type Load struct {
	Duty string `json:"duty"`
	// BytesPerSecond counts both directions.
	BytesPerSecond float64 `json:"bytes_per_s"`
	// CPUPercent is in percent of a core.
	CPUPercent  float64 `json:"cpu_percent"`
	MemoryBytes float64 `json:"memory_bytes"`
}

// String implements fmt.Stringer.
func (l Load) String() string {
	return fmt.Sprintf("%.0f B/s, cpu %.3f %%, memory %.0f B", l.BytesPerSecond, l.CPUPercent, l.MemoryBytes)
}

// Capacity is the computed load at the target size.
type Capacity struct {
	Loads []Load `json:"loads"`
	// Control is the sum of Loads, which do not include rate grants.
	Control Load `json:"control"`
	// Grants is the load of rate grants on an average host if each statement
	// arrives alone and needs a grant request of its own. MinterCPUPercent is the
	// processor time, in percent of a core, of a host that holds a minter role.
	Grants           Load    `json:"grants"`
	MinterCPUPercent float64 `json:"minter_cpu_percent"`
	// StoreReads and StoreWrites are the store calls per second of the whole fleet.
	StoreReads  float64 `json:"store_reads_per_s"`
	StoreWrites float64 `json:"store_writes_per_s"`
	// EntryMemoryBytes is the memory of the client connections of one host.
	EntryMemoryBytes float64 `json:"entry_memory_bytes"`
	// EntryCPUPercent is the processor time, in percent of a core, that the path
	// through two hosts adds to the statements of one host, compared with a direct
	// connection to the database.
	EntryCPUPercent float64 `json:"entry_cpu_percent"`
}

// cpuPercent converts microseconds per event and events per second into percent
// of a core.
func cpuPercent(micros, perSecond float64) float64 { return micros * perSecond / 1e6 * 100 }

// computeCapacity computes the load at the target size from the measurements. It
// returns an error if a series is missing.
func computeCapacity(r *Result) (Capacity, error) {
	for _, name := range []string{
		"exchange_bytes", "exchange_cpu", "exchanges_sent", "fleet_cpu", "fleet_memory", "store_reads", "store_writes",
		"document_gzip_bytes", "document_decode_cpu", "document_gzip_cpu", "document_gunzip_cpu", "document_memory", "poll_cpu", "poll_bytes", "grant_cpu", "connection_memory",
	} {
		if _, ok := r.series(name); !ok {
			return Capacity{}, errors.Errorf("no measurement of %s", name)
		}
	}
	valueAt := func(name string, size float64) float64 {
		s, _ := r.series(name)
		return s.At(size)
	}
	slope := func(name string) float64 {
		s, _ := r.series(name)
		return s.Slope
	}
	hosts, entities := Target.Hosts, targetEntityCount()
	exchangeRate := valueAt("exchanges_sent", hosts)
	// The exchange of the smallest fleet approximates any small call between two
	// hosts.
	exchangeBytes, _ := r.series("exchange_bytes")
	callBytes, callMicros := exchangeBytes.Points[0].Value, valueAt("exchange_cpu", exchangeBytes.Points[0].Size)
	pollRate := pollsPerServerSecond * Target.Databases / hosts
	groups := Target.Databases / serversPerGroup
	sampleRate := pollsPerServerSecond * (Target.Databases - groups) / hosts
	storeCallRate := (valueAt("store_reads", hosts)+valueAt("store_writes", hosts))/hosts + Target.Databases/groupRefreshSeconds/hosts + 1/hostListSeconds
	changeRate := Target.Changes / secondsPerDay
	documentBytes := valueAt("document_gzip_bytes", entities)
	prepareMillis := valueAt("document_decode_cpu", entities) + valueAt("document_gzip_cpu", entities) + valueAt("document_gunzip_cpu", entities)
	c := Capacity{Loads: []Load{
		{"heartbeats", 2 * exchangeRate * valueAt("exchange_bytes", hosts), valueAt("fleet_cpu", hosts) + cpuPercent(valueAt("exchange_cpu", hosts), exchangeRate), valueAt("fleet_memory", hosts)},
		{"store calls", storeCallRate * callBytes, cpuPercent(callMicros, storeCallRate), 0},
		// On average, each host fetches a document once and serves it once. Two
		// documents are in memory while the new one replaces the old one.
		{"configuration", 2 * changeRate * documentBytes, cpuPercent(1e3*prepareMillis, changeRate), 2 * valueAt("document_memory", entities)},
		{"status polls", pollRate * slope("poll_bytes"), cpuPercent(slope("poll_cpu"), pollRate), 0},
		// Each sample is a call between two hosts: one requests it, the other
		// answers.
		{"freshness samples", 2 * sampleRate * callBytes, cpuPercent(callMicros, sampleRate), 0},
	}}
	c.Control.Duty = "control"
	for _, l := range c.Loads {
		c.Control.BytesPerSecond += l.BytesPerSecond
		c.Control.CPUPercent += l.CPUPercent
		c.Control.MemoryBytes += l.MemoryBytes
	}
	statementRate := Target.Statements / hosts
	grantMicros := callMicros + valueAt("grant_cpu", Target.Customers)
	c.Grants = Load{"rate grants", 2 * statementRate * callBytes, cpuPercent(grantMicros, statementRate), 0}
	// The server side uses half of the processor time of a call.
	c.MinterCPUPercent = cpuPercent(callMicros/2+valueAt("grant_cpu", Target.Customers), Target.Statements/(Target.Zones*rateShards))
	c.StoreReads = valueAt("store_reads", hosts) + Target.Databases/groupRefreshSeconds + hosts/hostListSeconds
	c.StoreWrites = valueAt("store_writes", hosts)
	c.EntryMemoryBytes = slope("connection_memory") * Target.Connections / hosts
	if proxyMicros, ok := r.proxyCPUMicros(); ok {
		c.EntryCPUPercent = cpuPercent(proxyMicros, statementRate)
	}
	return c, nil
}

// proxyCPUMicros returns the processor time in microseconds that the path through
// two hosts adds to a statement at the highest measured concurrency, and false if
// one of the two paths was not measured.
func (r *Result) proxyCPUMicros() (float64, bool) {
	var direct, twoHosts float64
	for _, p := range r.PathCosts { // ordered by ascending concurrency, so that the last one wins
		switch p.Path {
		case pathDirect:
			direct = p.CPUMicros
		case pathTwoHosts:
			twoHosts = p.CPUMicros
		}
	}
	return twoHosts - direct, direct > 0 && twoHosts > 0
}
