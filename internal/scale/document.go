package scale

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Target is the size that the design must support: Connections are client
// connections, Statements are per second, Changes are configuration changes per
// day.
var Target = struct {
	Hosts, Databases, Zones, Customers, Connections, Statements, Changes float64
}{Hosts: 490, Databases: 850, Zones: 10, Customers: 2000, Connections: 2.5e6, Statements: 200_000, Changes: 2500}

// Proportions of a synthetic document.
const (
	serversPerGroup   = 3
	customersPerRoute = 7
	keysPerCustomer   = 2
)

// syntheticDocument returns a document with the given number of hosts, and with
// backend servers and customers in the proportions of Target. Each group has a
// write route and a read route, and each route lists customersPerRoute customers.
func syntheticDocument(hosts int) *config.Document {
	d := &config.Document{Rules: config.Rules{KeyGrace: config.DefaultKeyGrace}}
	zoneCount := 4
	if hosts > 200 {
		zoneCount = int(Target.Zones)
	}
	zoneName := func(i int) string { return fmt.Sprintf("region-%d-zone-%d", i%zoneCount%2, i%zoneCount) }
	for i := range zoneCount {
		d.Inventory.Zones = append(d.Inventory.Zones, config.Zone{Name: zoneName(i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range hosts {
		d.Inventory.Hosts = append(d.Inventory.Hosts, config.Host{Name: fmt.Sprintf("%s-host-%d", zoneName(i), i/zoneCount), Zone: zoneName(i)})
	}
	fraction := float64(hosts) / Target.Hosts
	customers := max(customersPerRoute, int(Target.Customers*fraction))
	for i := range customers {
		c := config.Customer{Name: customerName(i)}
		for k := range keysPerCustomer {
			sum := sha256.Sum256([]byte(fmt.Sprint(i, k)))
			c.Keys = append(c.Keys, config.KeyRef{ID: fmt.Sprintf("key-%d", k), Caller: "service", SHA256: config.EncodeDigest(sum)})
		}
		d.Inventory.Customers = append(d.Inventory.Customers, c)
		d.Rules.Limits = append(d.Rules.Limits, config.Limit{Customer: c.Name, Rate: 100, Burst: 100})
	}
	for i := range max(1, int(Target.Databases*fraction/serversPerGroup)) {
		addGroup(d, i, zoneName)
	}
	return d
}

func addGroup(d *config.Document, i int, zoneName func(int) string) {
	g := config.Group{Name: fmt.Sprintf("group-%03d", i), Durability: config.DurabilityReplicated}
	for k := range serversPerGroup {
		n := i*serversPerGroup + k
		g.Servers = append(g.Servers, config.Server{
			Name: fmt.Sprintf("%s-%d", g.Name, k), Zone: zoneName(n), Address: fmt.Sprintf("10.1.%d.%d:5432", n/250, n%250), Slots: 8, Connections: 100,
		})
	}
	d.Inventory.Groups = append(d.Inventory.Groups, g)
	var customers []string
	for k := range customersPerRoute {
		customers = append(customers, d.Inventory.Customers[(i*customersPerRoute+k)%len(d.Inventory.Customers)].Name)
	}
	for _, mode := range []config.RouteMode{config.RouteWrite, config.RouteRead} {
		d.Rules.Routes = append(d.Rules.Routes, config.Route{
			Name: g.Name + "-" + string(mode), Group: g.Name, Mode: mode, Staleness: config.Duration(time.Second),
			Customers: customers, Deadline: config.DefaultDeadline,
		})
	}
}

// countEntities returns the number of hosts, customers and backend servers, on
// which the size of a document depends.
func countEntities(d *config.Document) int {
	n := len(d.Inventory.Hosts) + len(d.Inventory.Customers)
	for _, g := range d.Inventory.Groups {
		n += len(g.Servers)
	}
	return n
}

// targetEntityCount returns the number of entities at the target size.
func targetEntityCount() float64 { return float64(countEntities(syntheticDocument(int(Target.Hosts)))) }

// documentSeries measures the size of the configuration document, the processor
// time of its processing and its memory.
func documentSeries(o Options) ([]Series, error) {
	names := []struct{ name, unit string }{
		{"document_bytes", "B"},
		{"document_gzip_bytes", "B"},
		{"document_encode_cpu", "ms"},
		{"document_decode_cpu", "ms"},
		{"document_gzip_cpu", "ms"},
		{"document_gunzip_cpu", "ms"},
		{"document_memory", "B"},
	}
	points := make([][]Point, len(names))
	for _, hosts := range o.Hosts {
		doc := syntheticDocument(hosts)
		values, err := measureDocument(doc)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			points[i] = append(points[i], Point{float64(countEntities(doc)), v})
		}
	}
	var out []Series
	for i, n := range names {
		out = append(out, fitSeries(n.name, n.unit, "entity", points[i]))
	}
	return out, nil
}

func measureDocument(doc *config.Document) ([]float64, error) {
	var data, compressed []byte
	encodeMillis, err := meanCPUMillis(func() (err error) { data, err = config.Encode(doc); return err })
	if err != nil {
		return nil, err
	}
	decodeMillis, err := meanCPUMillis(func() error { _, err := config.Decode(data); return err })
	if err != nil {
		return nil, err
	}
	compressMillis, err := meanCPUMillis(func() (err error) { compressed, err = config.Compress(data); return err })
	if err != nil {
		return nil, err
	}
	decompressMillis, err := meanCPUMillis(func() error { _, err := config.Decompress(compressed); return err })
	if err != nil {
		return nil, err
	}
	memoryBefore := memoryInUse()
	decoded, err := config.Decode(data)
	if err != nil {
		return nil, err
	}
	memoryBytes := memoryInUse() - memoryBefore + float64(len(data))
	runtime.KeepAlive(decoded)
	return []float64{float64(len(data)), float64(len(compressed)), encodeMillis, decodeMillis, compressMillis, decompressMillis, memoryBytes}, nil
}

// repetitions is the number of runs over which meanCPUMillis averages an operation
// that takes milliseconds.
const repetitions = 2

// meanCPUMillis returns the mean processor time of f in milliseconds.
func meanCPUMillis(f func() error) (float64, error) {
	cpu, err := measureCPU(func() error {
		for range repetitions {
			if err := f(); err != nil {
				return err
			}
		}
		return nil
	})
	return cpu.Seconds() * 1e3 / repetitions, err
}

func customerName(i int) string { return fmt.Sprintf("customer-%04d", i) }
