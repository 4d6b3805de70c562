package host

import (
	"context"
	"slices"
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
)

// viewAge is how long a computed view of a group is used. Liveness changes more
// slowly, and a view costs a sort of the hosts for each server.
const viewAge = 50 * time.Millisecond

// directory answers the parts' questions about servers, hosts and roles.
type directory struct {
	self  ownership.Host
	zones []string
	clock clock.Clock
	// snapshot is the catalog's present view.
	snapshot func() *catalog.Snapshot
	owners   *ownership.Shell

	mu        sync.Mutex
	views     map[string]cachedView
	primaries map[string]primaryClaim
}

type cachedView struct {
	view routing.View
	at   time.Duration
}

// primaryClaim is what the owner of a group said last.
type primaryClaim struct {
	server string
	epoch  uint64
}

func toHost(h ownership.Host) routing.Host {
	return routing.Host{Name: h.Name, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation}
}

// View implements frontend.Fleet.
func (d *directory) View(group string) routing.View {
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	if c, ok := d.views[group]; ok && now-c.at < viewAge {
		return c.view
	}
	v := d.compute(group)
	d.views[group] = cachedView{view: v, at: now}
	return v
}

func (d *directory) compute(group string) routing.View {
	s := d.snapshot()
	v := routing.View{
		OwnZone: d.self.Zone, ZonesOut: s.ZonesOut, Group: config.Group{Name: group},
		Homes: map[string]routing.Host{}, Unreachable: map[string]bool{},
	}
	claim, known := d.primaries[group]
	for _, x := range s.Group(group) {
		v.Group.Servers = append(v.Group.Servers, x.Server)
		if known && claim.server == x.Name || !known && x.SaysPrimary {
			v.Primary = x.Name
		}
		if home, ok := d.owners.Home(fleet.ServerRole(x.Name), x.Zone); ok {
			v.Homes[x.Name] = toHost(home)
		}
	}
	return v
}

// mine reports whether this host is the home host of a server: the owner of the
// group for its primary, else the host that ranks first.
func (d *directory) mine(server string) bool {
	x, ok := d.snapshot().Server(server)
	if !ok {
		return false
	}
	v := d.View(x.Group)
	if v.Primary == server {
		owner, ok := d.Owner(x.Group)
		return ok && owner.Name == d.self.Name
	}
	return v.Homes[server].Name == d.self.Name
}

// primaryIs notes what the owner of a group says.
func (d *directory) primaryIs(group, server string, epoch uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.primaries[group]; ok && epoch < old.epoch {
		return
	}
	d.primaries[group] = primaryClaim{server: server, epoch: epoch}
}

// Owner implements frontend.Fleet.
func (d *directory) Owner(group string) (routing.Host, bool) {
	h, ok := d.owners.Holder(failover.Role(group))
	return toHost(h), ok
}

// GroupNames implements failover.Directory.
func (d *directory) GroupNames() []string { return d.snapshot().GroupNames() }

// Members implements failover.Directory.
func (d *directory) Members(group string) []failover.Member {
	s := d.snapshot()
	var out []failover.Member
	for _, x := range s.Group(group) {
		out = append(out, failover.Member{
			Name: x.Name, Usable: x.Usable(s.ZonesOut), ZoneOut: slices.Contains(s.ZonesOut, x.Zone),
		})
	}
	return out
}

// Target implements failover.Directory.
func (d *directory) Target(server string) (statement.Target, bool) {
	x, ok := d.snapshot().Server(server)
	return statement.Target{Address: x.Address, Group: x.Group, Server: x.Name}, ok
}

// Held implements failover.Roles.
func (d *directory) Held(role string) (uint64, bool) { return d.owners.Held(role) }

// Claimed implements failover.Roles.
func (d *directory) Claimed(role string) (uint64, bool) { return d.owners.Claimed(role) }

// Advance implements failover.Roles.
func (d *directory) Advance(role string) { d.owners.Advance(role) }

// rates answers the questions of the rate limiter.
type rates struct{ *directory }

// Zone implements limit.Fleet.
func (r rates) Zone() string { return r.self.Zone }

// Holder implements limit.Fleet.
func (r rates) Holder(role string) (address string, self, ok bool) {
	h, ok := r.owners.Holder(role)
	return h.Address, h == r.self, ok
}

// MintEpoch implements limit.Fleet.
func (r rates) MintEpoch(role string) (uint64, bool) { return r.owners.Held(role) }

// Document implements limit.Fleet.
func (r rates) Document() *config.Document {
	s := r.snapshot()
	if s.Configuration == nil {
		return nil
	}
	return s.Configuration.Document
}

// wanted returns the roles that some host should hold.
func (d *directory) wanted() []ownership.Spec {
	s := d.snapshot()
	var specs []ownership.Spec
	for _, g := range s.GroupNames() {
		spec := ownership.Spec{Name: failover.Role(g)}
		for _, x := range s.Group(g) {
			if x.SaysPrimary {
				spec.Zone = x.Zone
			}
		}
		specs = append(specs, spec)
	}
	for _, z := range d.zones {
		for _, role := range customer.MinterRoles(z) {
			specs = append(specs, ownership.Spec{Name: role, Zone: z})
		}
	}
	return specs
}

// waitFor polls a condition until it holds or ctx ends.
func waitFor(ctx context.Context, every time.Duration, done func() bool) {
	for !done() && clock.Sleep(ctx, every) {
	}
}
