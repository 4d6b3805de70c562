package scale

import (
	"crypto/sha256"
	"fmt"
	"runtime"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Target is the size that the design has to carry.
var Target = struct {
	Hosts, Databases, Zones, Customers, Connections, Statements, Changes float64
}{Hosts: 490, Databases: 850, Zones: 10, Customers: 2000, Connections: 2.5e6, Statements: 200_000, Changes: 2500}

// Shape of a document in proportion to the hosts.
const (
	serversPerGroup  = 3
	customersPerPart = 7
	keysPerCustomer  = 2
)

// sized returns a document for the number of hosts, with databases and customers
// in the proportions of the target size. Two routes lead to each group, and each
// lists 7 customers.
func sized(hosts int) *config.Document {
	d := &config.Document{Rules: config.Rules{KeyGrace: config.DefaultKeyGrace}}
	zones := 4
	if hosts > 200 {
		zones = int(Target.Zones)
	}
	zone := func(i int) string { return fmt.Sprintf("region-%d-zone-%d", i%zones%2, i%zones) }
	for i := range zones {
		d.Inventory.Zones = append(d.Inventory.Zones, config.Zone{Name: zone(i), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range hosts {
		d.Inventory.Hosts = append(d.Inventory.Hosts, config.Host{Name: fmt.Sprintf("%s-host-%d", zone(i), i/zones), Zone: zone(i)})
	}
	scale := float64(hosts) / Target.Hosts
	customers := max(customersPerPart, int(Target.Customers*scale))
	for i := range customers {
		c := config.Customer{Name: customerName(i)}
		for k := range keysPerCustomer {
			sum := sha256.Sum256([]byte(fmt.Sprint(i, k)))
			c.Keys = append(c.Keys, config.KeyRef{ID: fmt.Sprintf("key-%d", k), Caller: "service", SHA256: config.Digest(sum)})
		}
		d.Inventory.Customers = append(d.Inventory.Customers, c)
		d.Rules.Limits = append(d.Rules.Limits, config.Limit{Customer: c.Name, Rate: 100, Burst: 100})
	}
	for i := range max(1, int(Target.Databases*scale/serversPerGroup)) {
		addGroup(d, i, zone)
	}
	return d
}

func addGroup(d *config.Document, i int, zone func(int) string) {
	g := config.Group{Name: fmt.Sprintf("group-%03d", i), Durability: config.DurabilityReplicated}
	for k := range serversPerGroup {
		n := i*serversPerGroup + k
		g.Servers = append(g.Servers, config.Server{
			Name: fmt.Sprintf("%s-%d", g.Name, k), Zone: zone(n), Address: fmt.Sprintf("10.1.%d.%d:5432", n/250, n%250), Slots: 8, Connections: 100,
		})
	}
	d.Inventory.Groups = append(d.Inventory.Groups, g)
	var customers []string
	for k := range customersPerPart {
		customers = append(customers, d.Inventory.Customers[(i*customersPerPart+k)%len(d.Inventory.Customers)].Name)
	}
	for _, mode := range []config.RouteMode{config.RouteWrite, config.RouteRead} {
		d.Rules.Routes = append(d.Rules.Routes, config.Route{
			Name: g.Name + "-" + string(mode), Group: g.Name, Mode: mode, Staleness: config.Duration(time.Second),
			Customers: customers, Deadline: config.DefaultDeadline,
		})
	}
}

// entities counts what the size of a document depends on.
func entities(d *config.Document) int {
	n := len(d.Inventory.Hosts) + len(d.Inventory.Customers)
	for _, g := range d.Inventory.Groups {
		n += len(g.Servers)
	}
	return n
}

// targetEntities is the number of entities at the target size.
func targetEntities() float64 { return float64(entities(sized(int(Target.Hosts)))) }

// documentSeries measures the configuration document.
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
		doc := sized(hosts)
		values, err := measureDocument(doc)
		if err != nil {
			return nil, err
		}
		for i, v := range values {
			points[i] = append(points[i], Point{float64(entities(doc)), v})
		}
	}
	var out []Series
	for i, n := range names {
		out = append(out, fitted(n.name, n.unit, "entity", points[i]))
	}
	return out, nil
}

func measureDocument(doc *config.Document) ([]float64, error) {
	var data, packed []byte
	encode, err := repeat(func() (err error) { data, err = config.Encode(doc); return err })
	if err != nil {
		return nil, err
	}
	decode, err := repeat(func() error { _, err := config.Decode(data); return err })
	if err != nil {
		return nil, err
	}
	compress, err := repeat(func() (err error) { packed, err = config.Compress(data); return err })
	if err != nil {
		return nil, err
	}
	expand, err := repeat(func() error { _, err := config.Decompress(packed); return err })
	if err != nil {
		return nil, err
	}
	before := memoryInUse()
	decoded, err := config.Decode(data)
	if err != nil {
		return nil, err
	}
	memory := memoryInUse() - before + float64(len(data))
	runtime.KeepAlive(decoded)
	return []float64{float64(len(data)), float64(len(packed)), encode, decode, compress, expand, memory}, nil
}

// repetitions of a measurement that takes milliseconds.
const repetitions = 2

// repeat returns the mean processor time of f in milliseconds.
func repeat(f func() error) (float64, error) {
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
