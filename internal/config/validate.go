package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxNameLength limits names, because they become part of the keys of rows and
// counters.
const maxNameLength = 63

// minServersPerGroup is the smallest group in which a majority survives the
// loss of one database.
const minServersPerGroup = 3

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

// nameSet holds the declared names of one kind and the path of each declaration. It
// is used to find duplicates and dangling references.
type nameSet struct {
	kind  string
	paths map[string]string
}

// validator checks the references and values of a decoded document.
type validator struct {
	src       *sourceMap
	doc       *Document
	zones     nameSet
	groups    nameSet
	customers nameSet
}

func validate(doc *Document, src *sourceMap) {
	v := &validator{src: src, doc: doc}
	v.zones = v.declareZones()
	v.checkHosts()
	v.groups = v.declareGroups()
	v.customers = v.declareCustomers()
	v.checkRoutes()
	v.checkLimits()
	v.checkZonesOut()
}

// declare adds a name to the set. It reports a missing, malformed or duplicate name.
func (v *validator) declare(n nameSet, name, path string) {
	namePath := path + ".name"
	switch {
	case name == "":
		v.src.report(namePath, "missing "+n.kind+" name", "a name")
		return
	case len(name) > maxNameLength || !namePattern.MatchString(name):
		v.src.report(namePath, fmt.Sprintf("%q is not a valid name", name), "lower-case letters, digits, - and _, at most 63 of them")
	}
	if first, duplicate := n.paths[name]; duplicate {
		v.src.report(namePath, fmt.Sprintf("%s %q is declared twice", n.kind, name), "a name other than that of "+first)
		return
	}
	n.paths[name] = path
}

// checkReference reports a reference to a name that is not declared.
func (v *validator) checkReference(n nameSet, name, path string) {
	if _, ok := n.paths[name]; ok {
		return
	}
	v.src.report(path, fmt.Sprintf("unknown %s %q", n.kind, name), "one of "+n.describe())
}

// describe lists up to eight of the declared names for a message.
func (n nameSet) describe() string {
	const maxListed = 8
	listed := make([]string, 0, len(n.paths))
	for name := range n.paths {
		listed = append(listed, name)
	}
	sort.Strings(listed)
	if len(listed) > maxListed {
		listed = append(listed[:maxListed], "…")
	}
	if len(listed) == 0 {
		return "a declared " + n.kind + " (there are none)"
	}
	return strings.Join(listed, ", ")
}

func newNameSet(kind string) nameSet { return nameSet{kind: kind, paths: map[string]string{}} }

func (v *validator) declareZones() nameSet {
	n := newNameSet("availability zone")
	for i, z := range v.doc.Inventory.Zones {
		v.declare(n, z.Name, fmt.Sprintf("inventory.zones[%d]", i))
	}
	if len(v.doc.Inventory.Zones) == 0 {
		v.src.report("inventory.zones", "no availability zone", "at least one")
	}
	return n
}

func (v *validator) checkHosts() {
	n := newNameSet("host")
	for i, h := range v.doc.Inventory.Hosts {
		path := fmt.Sprintf("inventory.hosts[%d]", i)
		v.declare(n, h.Name, path)
		v.checkReference(v.zones, h.Zone, path+".zone")
	}
	if len(v.doc.Inventory.Hosts) == 0 {
		v.src.report("inventory.hosts", "no host", "at least one")
	}
}

func (v *validator) declareGroups() nameSet {
	groups, servers, addresses := newNameSet("database group"), newNameSet("backend server"), newNameSet("address")
	for i, g := range v.doc.Inventory.Groups {
		path := fmt.Sprintf("inventory.groups[%d]", i)
		v.declare(groups, g.Name, path)
		if g.Durability != DurabilityReplicated && g.Durability != DurabilityPrimary {
			v.src.report(path+".durability", fmt.Sprintf("unknown durability %q", g.Durability), "replicated or primary")
		}
		if len(g.Servers) < minServersPerGroup || len(g.Servers)%2 == 0 {
			v.src.report(path+".servers", fmt.Sprintf("%d backend servers", len(g.Servers)), "an odd number, 3 or more, so that a majority survives a failure")
		}
		for j, s := range g.Servers {
			v.checkServer(s, fmt.Sprintf("%s.servers[%d]", path, j), servers, addresses)
		}
	}
	return groups
}

// Upper limits of a backend server. Larger values are not those of a real server.
const (
	MaxSlots       = 10_000
	MaxConnections = 1_000_000
)

// CheckAddress returns an error unless the address is a host and a port number.
func CheckAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Errorf("%q is not an address", address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" {
		return errors.Errorf("%q is not an address with a host and a port from 1 to 65535", address)
	}
	return nil
}

// minConnections is the smallest connection limit of a backend server:
// ReservedConnections and one connection for statements.
const minConnections = ReservedConnections + 1

func (v *validator) checkServer(s Server, path string, servers, addresses nameSet) {
	v.declare(servers, s.Name, path)
	v.checkReference(v.zones, s.Zone, path+".zone")
	if err := CheckAddress(s.Address); err != nil {
		v.src.report(path+".address", err.Error(), "IP:port")
	} else if first, duplicate := addresses.paths[s.Address]; duplicate {
		v.src.report(path+".address", fmt.Sprintf("address %s is used twice", s.Address), "an address other than that of "+first)
	} else {
		addresses.paths[s.Address] = path
	}
	if s.Slots < 1 || s.Slots > MaxSlots {
		v.src.report(path+".slots", fmt.Sprintf("%d slots", s.Slots), fmt.Sprintf("1 to %d", MaxSlots))
	}
	if s.Connections > MaxConnections {
		v.src.report(path+".connections", fmt.Sprintf("%d connections", s.Connections), fmt.Sprintf("%d or less", MaxConnections))
	}
	if s.Connections < minConnections {
		v.src.report(path+".connections", fmt.Sprintf("%d connections", s.Connections), fmt.Sprintf("%d or more, because %d are kept for monitoring", minConnections, ReservedConnections))
	}
}

func (v *validator) declareCustomers() nameSet {
	n := newNameSet("customer")
	for i, c := range v.doc.Inventory.Customers {
		path := fmt.Sprintf("inventory.customers[%d]", i)
		v.declare(n, c.Name, path)
		if c.Name == PublicCustomer {
			v.src.report(path+".name", fmt.Sprintf("%q is reserved for public routes", PublicCustomer), "another name")
		}
		keys := map[string]bool{}
		for j, k := range c.Keys {
			v.checkKey(k, fmt.Sprintf("%s.keys[%d]", path, j), keys)
		}
	}
	return n
}

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

func (v *validator) checkKey(k KeyRef, path string, seen map[string]bool) {
	if !namePattern.MatchString(k.ID) {
		v.src.report(path+".id", fmt.Sprintf("%q is not a valid key id", k.ID), "lower-case letters, digits, - and _")
	}
	if seen[k.ID] {
		v.src.report(path+".id", fmt.Sprintf("key %q is declared twice", k.ID), "each key id once for a customer")
	}
	seen[k.ID] = true
	if raw, err := hex.DecodeString(k.SHA256); err != nil || len(raw) != digestBytes {
		v.src.report(path+".sha256", "not a key verifier", "64 hexadecimal digits, as `cranberryhinge key new` prints them")
	}
}

func (v *validator) checkRoutes() {
	n := newNameSet("route")
	for i, r := range v.doc.Rules.Routes {
		path := fmt.Sprintf("rules.routes[%d]", i)
		v.declare(n, r.Name, path)
		v.checkReference(v.groups, r.Group, path+".group")
		for j, c := range r.Customers {
			v.checkReference(v.customers, c, fmt.Sprintf("%s.customers[%d]", path, j))
		}
		v.checkRouteMode(r, path)
	}
}

func (v *validator) checkRouteMode(r Route, path string) {
	switch r.Mode {
	case RouteWrite:
		if r.Repeatable {
			v.src.report(path+".repeatable", "a write route cannot be repeatable", "mode: read, or repeatable left out")
		}
	case RouteRead:
	default:
		v.src.report(path+".mode", fmt.Sprintf("unknown mode %q", r.Mode), "read or write")
	}
	if r.Public && len(r.Customers) > 0 {
		v.src.report(path+".customers", "a public route lists customers", "either public: true or customers")
	}
}

func (v *validator) checkLimits() {
	seen := map[string]bool{}
	for i, l := range v.doc.Rules.Limits {
		path := fmt.Sprintf("rules.limits[%d]", i)
		if l.Customer != PublicCustomer {
			v.checkReference(v.customers, l.Customer, path+".customer")
		}
		if seen[l.Customer] {
			v.src.report(path+".customer", fmt.Sprintf("customer %q has two limits", l.Customer), "one limit for each customer")
		}
		seen[l.Customer] = true
		if l.Rate <= 0 {
			v.src.report(path+".rate", fmt.Sprintf("rate %g", l.Rate), "requests per second, more than 0")
		}
		if l.Burst < 1 {
			v.src.report(path+".burst", fmt.Sprintf("burst %g", l.Burst), "1 request or more")
		}
	}
	for i, c := range v.doc.Inventory.Customers {
		if !seen[c.Name] {
			v.src.report(fmt.Sprintf("inventory.customers[%d].name", i), fmt.Sprintf("customer %q has no limit", c.Name), "an entry under limits in "+RulesFile)
		}
	}
	if v.hasPublicRoute() && !seen[PublicCustomer] {
		v.src.report("rules.limits", "public routes have no limit", "an entry with customer: "+PublicCustomer)
	}
}

func (v *validator) hasPublicRoute() bool {
	for _, r := range v.doc.Rules.Routes {
		if r.Public {
			return true
		}
	}
	return false
}

func (v *validator) checkZonesOut() {
	for i, z := range v.doc.Rules.ZonesOut {
		v.checkReference(v.zones, z, fmt.Sprintf("rules.zones_out[%d]", i))
	}
	if n := len(v.zones.paths); n > 0 && len(v.doc.Rules.ZonesOut) >= n {
		v.src.report("rules.zones_out", "every availability zone is out", "at least one zone in service")
	}
}
