package config

import "time"

// Version numbers published documents. Versions only grow; 0 means none.
type Version uint64

// Document is one complete configuration: inventory and rules.
type Document struct {
	Version   Version   `yaml:"-"`
	Inventory Inventory `yaml:"inventory"`
	Rules     Rules     `yaml:"rules"`
	// Index speeds lookups up. Decoding sets it.
	Index *Index `yaml:"-"`
}

// Inventory lists what exists.
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

// Host is an entry host. Its address comes from its own settings, because hosts
// are replaced at any time under the same name.
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
	// DurabilityReplicated acknowledges when another database holds the write.
	DurabilityReplicated Durability = "replicated"
	// DurabilityPrimary acknowledges when the primary committed the write.
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
	// Leaving servers get no new work.
	Leaving bool `yaml:"leaving"`
}

// Customer is a tenant with its callers' key verifiers.
type Customer struct {
	Name string   `yaml:"name"`
	Keys []KeyRef `yaml:"keys"`
}

// KeyRef verifies one key of one caller.
type KeyRef struct {
	ID     string `yaml:"id"`
	Caller string `yaml:"caller"`
	// SHA256 is the hexadecimal digest of the key's 256-bit random secret.
	SHA256    string `yaml:"sha256"`
	Withdrawn bool   `yaml:"withdrawn"`
}

// Rules say who may do what.
type Rules struct {
	Routes []Route `yaml:"routes"`
	Limits []Limit `yaml:"limits"`
	// ZonesOut lists availability zones that get no new work.
	ZonesOut []string `yaml:"zones_out"`
	// KeyGrace is the largest age of a host's knowledge of the configuration
	// at which it still accepts keys.
	KeyGrace Duration `yaml:"key_grace"`
}

// RouteMode says what a route is for.
type RouteMode string

// Route modes.
const (
	// RouteWrite sends statements to the primary, and BEGIN READ ONLY
	// transactions to a replica that satisfies session and staleness.
	RouteWrite RouteMode = "write"
	// RouteRead sends everything to a replica that satisfies session and
	// staleness; a write fails at the backend server.
	RouteRead RouteMode = "read"

	// The following modes serve reads and writes on one route. They come from
	// configuration sources other than the YAML files.

	// RouteCurrent runs everything at the primary.
	RouteCurrent RouteMode = "current"
	// RouteBounded lets a replica serve reads whose data may be as old as
	// Staleness.
	RouteBounded RouteMode = "bounded"
	// RouteOwnWrites is RouteBounded, and a session also reads its own writes.
	RouteOwnWrites RouteMode = "own-writes"
)

// Route is what a caller names as its startup database.
type Route struct {
	Name  string    `yaml:"name"`
	Group string    `yaml:"group"`
	Mode  RouteMode `yaml:"mode"`
	// Staleness is the largest accepted age of the data of a read.
	Staleness Duration `yaml:"staleness"`
	// Repeatable allows an automatic second run of a read of which the caller
	// has seen nothing.
	Repeatable bool `yaml:"repeatable"`
	// Public routes need no key.
	Public bool `yaml:"public"`
	// Customers may use the route. Empty means every customer.
	Customers []string `yaml:"customers,omitempty"`
	// Deadline bounds one statement, its wait in queues included.
	Deadline Duration `yaml:"deadline"`
	// Target is the latency that callers expect of an operation; 0 if unknown.
	Target Duration `yaml:"-"`
	// Priority orders waiting requests of different routes; 0 goes first.
	Priority int `yaml:"-"`
}

// Limit is the load that a customer may send through all hosts together.
type Limit struct {
	Customer string `yaml:"customer"`
	// Rate is in requests per second.
	Rate float64 `yaml:"rate"`
	// Burst is in requests.
	Burst float64 `yaml:"burst"`
}

// Duration is a time.Duration written with a unit, such as 250ms or 5s.
type Duration time.Duration

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Defaults for settings that an operator leaves out.
const (
	DefaultKeyGrace = Duration(5 * time.Second)
	DefaultDeadline = Duration(5 * time.Second)
)

// PublicCustomer is the customer under which public routes without a key are
// limited and queued.
const PublicCustomer = "public"

// MonitorConnections is the number of connections to each database that are
// kept for status polls, fencing and takeovers.
const MonitorConnections = 4

// index returns the index, or an empty one for a document that was not decoded.
func (d *Document) index() Index {
	if d.Index == nil {
		return Index{}
	}
	return *d.Index
}

// Group returns the group with the name.
func (d *Document) Group(name string) (Group, bool) {
	return find(d.Inventory.Groups, d.index().Groups, name, func(g *Group) string { return g.Name })
}

// Route returns the route with the name.
func (d *Document) Route(name string) (Route, bool) {
	return find(d.Rules.Routes, d.index().Routes, name, func(r *Route) string { return r.Name })
}

// Customer returns the customer with the name.
func (d *Document) Customer(name string) (Customer, bool) {
	return find(d.Inventory.Customers, d.index().Customers, name, func(c *Customer) string { return c.Name })
}

// Limit returns the customer's limit.
func (d *Document) Limit(customer string) (Limit, bool) {
	return find(d.Rules.Limits, d.index().Limits, customer, func(l *Limit) string { return l.Customer })
}

// ZoneOut reports whether the zone was taken out of service.
func (d *Document) ZoneOut(zone string) bool {
	for _, z := range d.Rules.ZonesOut {
		if z == zone {
			return true
		}
	}
	return false
}

// Server returns the backend server with the name and its group.
func (d *Document) Server(name string) (Server, Group, bool) {
	if at, ok := d.index().Servers[name]; ok && at[0] < len(d.Inventory.Groups) {
		g := d.Inventory.Groups[at[0]]
		if at[1] < len(g.Servers) && g.Servers[at[1]].Name == name {
			return g.Servers[at[1]], g, true
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
