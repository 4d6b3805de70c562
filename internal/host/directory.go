package host

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/failover"
	"github.com/cranberryhinge/cranberryhinge/internal/fleet"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/usage"
)

// viewMaxAge is how long a computed view of a group is cached. Liveness changes
// more slowly, and computing a view sorts the hosts once per server.
const viewMaxAge = 50 * time.Millisecond

// directory looks up servers, hosts and roles for the other components.
type directory struct {
	self  ownership.Host
	zones []string
	clock clock.Clock
	// reportsUsage adds the role of the host that reports usage.
	reportsUsage bool
	// snapshot returns the current snapshot of the catalog.
	snapshot  func() *catalog.Snapshot
	ownership *ownership.Shell
	// skipSilentHolders makes requests ask no minter for tokens whose host is suspected to
	// be down: the time-out would use up half of their wait.
	skipSilentHolders bool

	mu        sync.Mutex
	views     map[string]cachedView
	primaries map[string]reportedPrimary
}

type cachedView struct {
	view       routing.GroupView
	computedAt time.Duration
}

// reportedPrimary is the primary of a group as last reported by the group's
// owner.
type reportedPrimary struct {
	server string
	epoch  uint64
}

func routingHost(h ownership.Host) routing.Host {
	return routing.Host{Name: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation}
}

// View implements frontend.Fleet.
func (d *directory) View(group string) routing.GroupView {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.views[group]; ok && now-c.computedAt < viewMaxAge {
		return c.view
	}
	v := d.computeView(group)
	d.views[group] = cachedView{view: v, computedAt: now}
	return v
}

func (d *directory) computeView(group string) routing.GroupView {
	s := d.snapshot()
	v := routing.GroupView{
		OwnZone: d.self.Zone, ZonesOut: s.ZonesOut, Group: config.Group{Name: group},
		Homes: map[string]routing.Host{}, Unreachable: map[string]bool{},
	}
	reported, hasReport := d.primaries[group]
	for _, srv := range s.Group(group) {
		v.Group.Servers = append(v.Group.Servers, srv.Server)
		if hasReport && reported.server == srv.Name || !hasReport && srv.ReportsPrimary {
			v.Primary = srv.Name
		}
		if home, ok := d.ownership.FirstRanked(fleet.HomeRole(srv.Name), srv.Zone); ok {
			v.Homes[srv.Name] = routingHost(home)
		}
	}
	return v
}

// isHomeHost reports whether this host is the home host of a server: for a
// group's primary that is the owner of the group, for any other server the host
// that ranks first.
func (d *directory) isHomeHost(server string) bool {
	srv, ok := d.snapshot().Server(server)
	if !ok {
		return false
	}
	v := d.View(srv.Group)
	if v.Primary == server {
		owner, ok := d.Owner(srv.Group)
		return ok && owner.Name == d.self.Name
	}
	return v.Homes[server].Name == d.self.Name
}

// recordPrimary stores the primary that the owner of a group reported. Reports
// of an earlier epoch than the stored one are ignored.
func (d *directory) recordPrimary(group, server string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.primaries[group]; ok && epoch < old.epoch {
		return
	}
	d.primaries[group] = reportedPrimary{server: server, epoch: epoch}
}

// Owner implements frontend.Fleet.
func (d *directory) Owner(group string) (routing.Host, bool) {
	h, ok := d.ownership.Holder(failover.Role(group))
	return routingHost(h), ok
}

// GroupNames implements failover.Directory.
func (d *directory) GroupNames() []string { return d.snapshot().GroupNames() }

// Group implements failover.Directory.
func (d *directory) Group(name string) failover.Group {
	s := d.snapshot()
	g := failover.Group{SyncReplicas: s.SyncReplicas(name)}
	for _, srv := range s.Group(name) {
		g.Members = append(g.Members, failover.Member{
			Name: srv.Name, Incarnation: srv.Incarnation, ReportsPrimary: srv.ReportsPrimary,
			Usable: srv.Usable(s.ZonesOut), ZoneOut: slices.Contains(s.ZonesOut, srv.Zone),
		})
	}
	return g
}

// Target implements failover.Directory.
func (d *directory) Target(server string) (statement.Target, bool) {
	srv, ok := d.snapshot().Server(server)
	return statement.Target{Address: srv.Address, Group: srv.Group, Server: srv.Name}, ok
}

// UsableEpoch implements failover.Roles.
func (d *directory) UsableEpoch(role string) (uint64, bool) { return d.ownership.UsableEpoch(role) }

// AssignedEpoch implements failover.Roles.
func (d *directory) AssignedEpoch(role string) (uint64, bool) { return d.ownership.AssignedEpoch(role) }

// RequestNewEpoch implements failover.Roles.
func (d *directory) RequestNewEpoch(role string) { d.ownership.RequestNewEpoch(role) }

// limiterFleet provides the rate limiter with zones, roles and configuration.
type limiterFleet struct{ *directory }

// Zone implements limit.Fleet.
func (f limiterFleet) Zone() string { return f.self.Zone }

// Holder implements limit.Fleet.
func (f limiterFleet) Holder(role string) (address string, self, ok bool) {
	h, ok := f.ownership.Holder(role)
	if ok && f.skipSilentHolders && h != f.self && !f.ownership.Alive(h.Name) {
		return "", false, false
	}
	return h.Address, h == f.self, ok
}

// MintEpoch implements limit.Fleet.
func (f limiterFleet) MintEpoch(role string) (uint64, bool) { return f.ownership.UsableEpoch(role) }

// Document implements limit.Fleet.
func (f limiterFleet) Document() *config.Document {
	s := f.snapshot()
	if s.Configuration == nil {
		return nil
	}
	return s.Configuration.Document
}

// wantedRoles returns the roles that need a holder: one for each group, preferably
// in the zone of its primary, the minter roles of every zone, and that of the host that
// reports usage.
func (d *directory) wantedRoles() []ownership.RoleSpec {
	s := d.snapshot()
	var specs []ownership.RoleSpec
	for _, g := range s.GroupNames() {
		spec := ownership.RoleSpec{Name: failover.Role(g)}
		for _, srv := range s.Group(g) {
			if srv.ReportsPrimary {
				spec.Zone = srv.Zone
			}
		}
		specs = append(specs, spec)
	}
	for _, z := range d.zones {
		for _, role := range customer.MinterRoles(z) {
			specs = append(specs, ownership.RoleSpec{Name: role, Zone: z})
		}
	}
	if d.reportsUsage {
		specs = append(specs, ownership.RoleSpec{Name: usage.Role})
	}
	return specs
}

// usageHosts returns all hosts, which count requests.
func (d *directory) usageHosts() []usage.Host {
	hosts := []usage.Host{{Name: d.self.Name, Address: d.self.Address, Incarnation: d.self.Incarnation, Alive: true}}
	for _, h := range d.ownership.Others() {
		hosts = append(hosts, usage.Host{Name: h.Name, Address: h.Address, Incarnation: h.Incarnation, Alive: d.ownership.Alive(h.Name)})
	}
	return hosts
}

// carriesStatements reports whether statements go through the holder of a role: the home
// hosts of servers and the owners of groups.
func carriesStatements(role string) bool {
	return strings.HasPrefix(role, fleet.HomeRole("")) || strings.HasPrefix(role, failover.Role(""))
}

// pollUntil evaluates done once per interval until it returns true or ctx ends.
func pollUntil(ctx context.Context, interval time.Duration, done func() bool) {
	for !done() && clock.Sleep(ctx, interval) {
	}
}
