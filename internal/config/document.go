package config

import "time"

// Version is the version number of a published document. Versions only increase; 0
// means that no document was published.
type Version uint64

// Document is one complete configuration: inventory and rules.
type Document struct {
	Version   Version   `yaml:"-"`
	Inventory Inventory `yaml:"inventory"`
	Rules     Rules     `yaml:"rules"`
	// Index makes lookups by name fast. Decode, Load and BuildIndex set it; lookups
	// in a document without an index scan the lists.
	Index *Index `yaml:"-"`
}

// Inventory lists the availability zones, hosts, database groups and customers.
type Inventory struct {
	Zones     []Zone     `yaml:"zones"`
	Hosts     []Host     `yaml:"hosts"`
	Groups    []Group    `yaml:"groups"`
	Customers []Customer `yaml:"customers,omitempty"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
}

// Host is a host of the proxy. Its address is in its own settings and not here, because a
// host can be replaced at any time under the same name.
type Host struct {
	Name string `yaml:"name"`
	Zone string `yaml:"zone"`
}

// Group is a database group: one primary and its replicas.
type Group struct {
	Name       string     `yaml:"name"`
	Durability Durability `yaml:"durability"`
	Servers    []Server   `yaml:"servers"`
}

// Durability says when a write may be acknowledged.
type Durability string

// Durability settings.
const (
	// DurabilityReplicated acknowledges a write when another database also holds
	// it.
	DurabilityReplicated Durability = "replicated"
	// DurabilityPrimary acknowledges a write when the primary has committed it.
	DurabilityPrimary Durability = "primary"
)

// Server is a backend server: one database of a group.
type Server struct {
	Name    string `yaml:"name"`
	Zone    string `yaml:"zone"`
	Address string `yaml:"address"`
	// Slots is the number of statements that the database runs at once.
	Slots int `yaml:"slots"`
	// Connections is the database's connection limit.
	Connections int `yaml:"connections"`
	// Leaving is set while the server is drained: it gets no new work.
	Leaving bool `yaml:"leaving"`
}

// Customer is a tenant with the verifiers of its callers' keys.
type Customer struct {
	Name string   `yaml:"name"`
	Keys []KeyRef `yaml:"keys"`
}

// KeyRef is the verifier of one key of one caller. It does not hold the key.
type KeyRef struct {
	ID     string `yaml:"id"`
	Caller string `yaml:"caller"`
	// SHA256 is the hexadecimal digest of the key's 256-bit random secret.
	SHA256    string `yaml:"sha256"`
	Withdrawn bool   `yaml:"withdrawn"`
}

// Rules holds the routes, the rate limits and the operational settings.
type Rules struct {
	Routes []Route `yaml:"routes"`
	Limits []Limit `yaml:"limits"`
	// ZonesOut lists availability zones that get no new work.
	ZonesOut []string `yaml:"zones_out"`
	// KeyGrace is how long a host still accepts keys after the last confirmation that
	// its configuration is in force.
	KeyGrace Duration `yaml:"key_grace"`
}

// RouteMode says where the statements of a route run.
type RouteMode string

// Route modes.
const (
	// RouteWrite sends statements to the primary, and BEGIN READ ONLY
	// transactions to a replica that satisfies the session consistency and the
	// staleness bound.
	RouteWrite RouteMode = "write"
	// RouteRead sends all statements to a replica that satisfies the session
	// consistency and the staleness bound; a write fails at the backend server.
	RouteRead RouteMode = "read"

	// The following modes serve reads and writes on one route. They come from
	// configuration sources other than the YAML files.

	// RouteCurrent sends all statements to the primary.
	RouteCurrent RouteMode = "current"
	// RouteBounded allows a replica to serve reads with data that is not older
	// than Staleness.
	RouteBounded RouteMode = "bounded"
	// RouteOwnWrites is RouteBounded, and a session also reads its own writes.
	RouteOwnWrites RouteMode = "own-writes"
)

// Route defines where the statements of a session run. A caller selects a route by
// its name, as the database name at session start.
type Route struct {
	Name  string    `yaml:"name"`
	Group string    `yaml:"group"`
	Mode  RouteMode `yaml:"mode"`
	// Staleness is the staleness bound: the maximum age of the data of a read.
	Staleness Duration `yaml:"staleness"`
	// Repeatable allows one automatic retry of a read of whose result the caller
	// has received nothing.
	Repeatable bool `yaml:"repeatable"`
	// Public routes need no key.
	Public bool `yaml:"public"`
	// Customers lists the customers that may use the route. Empty means every
	// customer.
	Customers []string `yaml:"customers,omitempty"`
	// Deadline bounds one statement, including its wait in queues.
	Deadline Duration `yaml:"deadline"`
	// TargetLatency is the latency that callers expect of an operation; 0 if it is
	// not known.
	TargetLatency Duration `yaml:"-"`
	// Priority orders queued requests of different routes; 0 is the highest.
	Priority int `yaml:"-"`
}

// Limit is a customer's rate limit across all hosts.
type Limit struct {
	Customer string `yaml:"customer"`
	// Rate is in requests per second.
	Rate float64 `yaml:"rate"`
	// Burst is in requests.
	Burst float64 `yaml:"burst"`
}

// Duration is a time.Duration written with a unit, such as 250ms or 5s.
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Defaults for settings that an operator leaves out.
const (
	DefaultKeyGrace = Duration(5 * time.Second)
	DefaultDeadline = Duration(5 * time.Second)
)

// PublicCustomer is the customer under which sessions without a key on public
// routes are rate limited and queued.
const PublicCustomer = "public"

// ReservedConnections is the part of a backend server's connection limit that is
// reserved for status polls, probes, fencing, takeovers and cancel requests.
const ReservedConnections = 4

// indexOrEmpty returns the index, or an empty one for a document without an index.
func (d *Document) indexOrEmpty() Index {
	if d.Index == nil {
		return Index{}
	}
	return *d.Index
}

// Group returns the group with the name.
func (d *Document) Group(name string) (Group, bool) {
	return findByName(d.Inventory.Groups, d.indexOrEmpty().Groups, name, func(g *Group) string { return g.Name })
}

// Route returns the route with the name.
func (d *Document) Route(name string) (Route, bool) {
	return findByName(d.Rules.Routes, d.indexOrEmpty().Routes, name, func(r *Route) string { return r.Name })
}

// Customer returns the customer with the name.
func (d *Document) Customer(name string) (Customer, bool) {
	return findByName(d.Inventory.Customers, d.indexOrEmpty().Customers, name, func(c *Customer) string { return c.Name })
}

// Limit returns the customer's limit.
func (d *Document) Limit(customer string) (Limit, bool) {
	return findByName(d.Rules.Limits, d.indexOrEmpty().Limits, customer, func(l *Limit) string { return l.Customer })
}

// ZoneOut reports whether the zone is out of service.
func (d *Document) ZoneOut(zone string) bool {
	for _, z := range d.Rules.ZonesOut {
		if z == zone {
			return true
		}
	}
	return false
}

// Server returns the backend server with the name, and its group.
func (d *Document) Server(name string) (Server, Group, bool) {
	if position, ok := d.indexOrEmpty().Servers[name]; ok && position[0] < len(d.Inventory.Groups) {
		g := d.Inventory.Groups[position[0]]
		if position[1] < len(g.Servers) && g.Servers[position[1]].Name == name {
			return g.Servers[position[1]], g, true
		}
	}
	for _, g := range d.Inventory.Groups {
		for _, s := range g.Servers {
			if s.Name == name {
				return s, g, true
			}
		}
	}
	return Server{}, Group{}, false
}
