// Package report defines the status document that a host returns to the
// command-line interface and on its admin listener. Explain derives from it how a
// request is routed and why it may be refused.
package report

import (
	"fmt"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Status is one host's view of the fleet.
type Status struct {
	Host          string `json:"host"`
	Zone          string `json:"zone"`
	Incarnation   uint64 `json:"incarnation"`
	ConfigVersion uint64 `json:"config_version"`
	// KeysFresh reports whether the customer keys were confirmed within key_grace.
	KeysFresh bool `json:"keys_fresh"`
	// LeaseLeft is the remaining time of the host lease in seconds.
	LeaseLeft float64 `json:"lease_left_s"`
	Ready     bool    `json:"ready"`
	Draining  bool    `json:"draining"`
	// Roles are the names of the roles that this host holds.
	Roles  []string `json:"roles"`
	Peers  []Peer   `json:"peers"`
	Groups []Group  `json:"groups"`
	// Configuration is the encoded configuration document, which config.Decode reads.
	// Only the status call of the command-line interface fills it in.
	Configuration string `json:"configuration,omitempty"`
}

// Peer is another host as this host sees it.
type Peer struct {
	Name      string `json:"name"`
	Zone      string `json:"zone"`
	Address   string `json:"address"`
	Reachable bool   `json:"reachable"`
	Leaving   bool   `json:"leaving"`
}

// Group is a database group as this host sees it.
type Group struct {
	Name    string   `json:"name"`
	Term    uint64   `json:"term"`
	Primary string   `json:"primary"`
	Servers []Server `json:"servers"`
}

// Server is a backend server as this host sees it.
type Server struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Home is the name of the home host, and empty if there is none.
	Home    string `json:"home"`
	Leaving bool   `json:"leaving"`
	ZoneOut bool   `json:"zone_out"`
}

// Explanation describes which backend servers can serve a customer's request on a
// route, and in which cases the request is refused.
type Explanation struct {
	Customer string `json:"customer"`
	Route    string `json:"route"`
	// Allowed reports whether the host accepts the customer's requests at present.
	Allowed bool `json:"allowed"`
	// Candidates are names of backend servers in order of preference.
	Candidates []string `json:"candidates"`
	// Reasons explain the candidates and the access to the route.
	Reasons []string `json:"reasons"`
	// Refusals are the cases in which a request is refused, each with SQLSTATE and
	// reason code.
	Refusals []string `json:"refusals"`
}

// Explain derives an Explanation from a configuration and a host's status. An empty
// customer stands for a caller of a public route without a key.
func Explain(doc *config.Document, status Status, customer, route string) Explanation {
	e := Explanation{Customer: customer, Route: route, Allowed: true}
	r, ok := doc.Route(route)
	if !ok {
		return e.withRefusal("the route does not exist: 3D000 unknown_route")
	}
	e.checkCustomer(doc, r)
	i := slices.IndexFunc(status.Groups, func(g Group) bool { return g.Name == r.Group })
	if i < 0 {
		return e.withRefusal(fmt.Sprintf("host %s has no status of database group %s yet: 57P03 no_primary", status.Host, r.Group))
	}
	e.addCandidates(r, status.Groups[i], status.Zone)
	if l, ok := doc.Limit(e.limitCustomer(r)); ok {
		e.Refusals = append(e.Refusals, fmt.Sprintf("requests above %g/s with a burst of %g over all hosts: 53400 rate_limited", l.Rate, l.Burst))
	}
	e.Refusals = append(e.Refusals, fmt.Sprintf("requests that cannot start within %s: 57014 deadline_expected", r.Deadline))
	if !status.KeysFresh && !r.Public {
		return e.withRefusal("this host's keys were last confirmed longer ago than key_grace: 57P03 stale_configuration")
	}
	return e
}

// withRefusal returns a copy of e that is not allowed for the given reason.
func (e Explanation) withRefusal(reason string) Explanation {
	e.Allowed = false
	e.Refusals = append(e.Refusals, reason)
	return e
}

// limitCustomer returns the name of the customer whose rate limit applies.
func (e *Explanation) limitCustomer(r config.Route) string {
	if r.Public && e.Customer == "" {
		return config.PublicCustomer
	}
	return e.Customer
}

func (e *Explanation) checkCustomer(doc *config.Document, r config.Route) {
	if r.Public {
		e.Reasons = append(e.Reasons, "the route is public: no key is needed")
		return
	}
	if _, ok := doc.Customer(e.Customer); !ok {
		*e = e.withRefusal(fmt.Sprintf("customer %q is not in the inventory: 28P01 bad_key", e.Customer))
		return
	}
	if len(r.Customers) > 0 && !slices.Contains(r.Customers, e.Customer) {
		*e = e.withRefusal(fmt.Sprintf("the route does not list customer %q: 28000 wrong_customer", e.Customer))
		return
	}
	e.Reasons = append(e.Reasons, fmt.Sprintf("customer %s may use the route with one of its keys", e.Customer))
}

func (e *Explanation) addCandidates(r config.Route, g Group, zone string) {
	if r.Mode == config.RouteWrite {
		e.Reasons = append(e.Reasons, fmt.Sprintf("a write route goes to the primary of group %s, %s in term %d", g.Name, g.Primary, g.Term))
		e.Candidates = append(e.Candidates, g.Primary)
		if g.Primary == "" {
			e.Refusals = append(e.Refusals, "no primary is known: writes wait up to the deadline, then 57P03 no_primary")
		}
		return
	}
	var sameZone, otherZones []string
	for _, s := range g.Servers {
		switch {
		case s.Name == g.Primary:
		case s.Leaving:
			e.Reasons = append(e.Reasons, s.Name+" is leaving and gets no new work")
		case s.ZoneOut:
			e.Reasons = append(e.Reasons, fmt.Sprintf("%s is in zone %s, which is out", s.Name, s.Zone))
		case s.Home == "":
			e.Reasons = append(e.Reasons, s.Name+" has no home host")
		case s.Zone == zone:
			sameZone = append(sameZone, s.Name)
		default:
			otherZones = append(otherZones, s.Name)
		}
	}
	e.Candidates = append(append(sameZone, otherZones...), g.Primary)
	e.Reasons = append(e.Reasons, fmt.Sprintf("a read route goes to a replica whose data is at most %s old and not behind the session; replicas in this host's zone come first, the primary comes last", r.Staleness))
	if r.Staleness.Std() < time.Millisecond {
		e.Reasons = append(e.Reasons, "staleness 0 requires current data, which only the primary has")
		e.Candidates = []string{g.Primary}
	}
}
