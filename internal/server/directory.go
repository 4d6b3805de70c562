package server

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/group"
	"github.com/cranberryhinge/cranberryhinge/internal/member"
	"github.com/cranberryhinge/cranberryhinge/internal/owner"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
)

// Timing of the directory.
const (
	// peersMaxAge bounds the age of the cached list of peers.
	peersMaxAge = 100 * time.Millisecond
	// primaryMaxAge is how long an answer about a group's primary is used
	// without asking again, as long as nothing speaks against it.
	primaryMaxAge = 5 * time.Second
	// primaryRetry is the interval of questions while the primary is unknown or
	// under suspicion.
	primaryRetry = 100 * time.Millisecond
	// positionRetry is the pause between rounds of questions for a position.
	positionRetry = 50 * time.Millisecond
	// primaryTimeout bounds one round of questions about a primary.
	primaryTimeout = 600 * time.Millisecond
)

// ownerView is the part of the owner shell that the directory uses.
type ownerView interface {
	Primary(group string) (server string, term uint64, ok bool)
	Position(ctx context.Context, group, customer string) (*peerpb.PositionResponse, error)
}

// positionAsker reaches the Position call of another host.
type positionAsker interface {
	PositionAt(ctx context.Context, address, group, customer string) (*peerpb.PositionResponse, error)
}

// directory answers where roles and primaries are. It knows the primaries of
// the groups that this host uses, and asks home hosts about them.
type directory struct {
	fleet member.Fleet
	owner ownerView
	peers positionAsker

	mu       sync.Mutex
	cached   map[string]member.Peer
	cachedAt time.Time
	groups   map[string]*primaryView
}

// primaryView is what this host last heard about a group's primary.
type primaryView struct {
	server    string
	term      uint64
	owner     string
	open      bool
	suspected bool
	askedAt   time.Time
	asking    bool
}

func newDirectory(fleet member.Fleet, peers positionAsker) *directory {
	return &directory{fleet: fleet, peers: peers, groups: map[string]*primaryView{}}
}

// Document implements routing.Directory.
func (d *directory) Document() *config.Document { return d.fleet.Document() }

// Home implements routing.Directory.
func (d *directory) Home(server string) (routing.Host, bool) {
	id, ok := d.fleet.Holder(owner.RolePrefix + server)
	return routingHost(id), ok
}

func routingHost(id member.Identity) routing.Host {
	return routing.Host{Name: id.Name, Zone: id.Zone, Address: id.Address, Incarnation: id.Incarnation}
}

// Host implements routing.Directory.
func (d *directory) Host(name string) (routing.Host, bool) {
	if self := d.fleet.Self(); self.Name == name {
		return routingHost(self), true
	}
	p, ok := d.peer(name)
	return routing.Host{Name: p.Name, Zone: p.Zone, Address: p.Address}, ok
}

// Reachable implements routing.Directory.
func (d *directory) Reachable(host string) bool {
	if d.fleet.Self().Name == host {
		return true
	}
	p, ok := d.peer(host)
	return ok && p.Reachable
}

func (d *directory) peer(name string) (member.Peer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cached == nil || time.Since(d.cachedAt) > peersMaxAge {
		d.cachedAt = time.Now()
		d.cached = map[string]member.Peer{}
		for _, p := range d.fleet.Peers() {
			d.cached[p.Name] = p
		}
	}
	p, ok := d.cached[name]
	return p, ok
}

// Primary implements routing.Directory. It starts a question to the home hosts
// when the last answer is too old or under suspicion.
func (d *directory) Primary(name string) (string, uint64, bool) {
	server, term, known := d.owner.Primary(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(name)
	if known && term >= v.term {
		v.server, v.term, v.open = server, term, true
		return server, term, true
	}
	if d.due(name, v) {
		v.asking, v.askedAt = true, time.Now()
		go d.ask(name)
	}
	return v.server, v.term, v.open
}

func (d *directory) view(name string) *primaryView {
	v, ok := d.groups[name]
	if !ok {
		v = &primaryView{}
		d.groups[name] = v
	}
	return v
}

// due reports whether to ask for the primary now. A primary that gets no new
// work is about to be replaced, but no attempt at it fails: this host refuses
// the work itself, and nothing else would show it the new primary.
func (d *directory) due(name string, v *primaryView) bool {
	age := time.Since(v.askedAt)
	if v.suspected || !v.open || d.outOfService(name, v.server) {
		return !v.asking && age >= primaryRetry
	}
	return !v.asking && age >= primaryMaxAge
}

// outOfService reports whether a server of the group is leaving or in a zone
// that was taken out.
func (d *directory) outOfService(name, server string) bool {
	doc := d.fleet.Document()
	if doc == nil {
		return false
	}
	g, ok := doc.Group(name)
	if !ok {
		return false
	}
	i := slices.IndexFunc(g.Servers, func(s config.Server) bool { return s.Name == server })
	return i >= 0 && (g.Servers[i].Leaving || doc.ZoneOut(g.Servers[i].Zone))
}

// Suspect notes that a home host did not accept work for the group's primary.
func (d *directory) Suspect(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view(name).suspected = true
}

// ask puts the question to the home hosts of all the group's servers at once
// and keeps the answer with the highest term.
func (d *directory) ask(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), primaryTimeout)
	defer cancel()
	homes := d.homesOf(name)
	answers := make(chan *peerpb.PositionResponse, len(homes))
	for _, h := range homes {
		go func() {
			resp, err := d.positionFrom(ctx, h, name, "")
			if err != nil {
				resp = nil
			}
			answers <- resp
		}()
	}
	for range homes {
		if resp := <-answers; resp != nil {
			d.learn(name, resp)
		}
	}
	d.mu.Lock()
	d.view(name).asking = false
	d.mu.Unlock()
}

// learn keeps an answer. Only the owner knows that its primary is open; the
// word of others serves to find the owner.
func (d *directory) learn(name string, resp *peerpb.PositionResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view(name)
	term := resp.GetPosition().GetTerm()
	if term < v.term || resp.GetPrimary() == "" {
		return
	}
	fromOwner := resp.GetOwner() == ""
	if term > v.term {
		v.open = false
	}
	v.server, v.term = resp.GetPrimary(), term
	if fromOwner {
		v.open, v.suspected = resp.GetKnown(), false
		return
	}
	v.owner = resp.GetOwner()
}

func (d *directory) homesOf(name string) []member.Identity {
	doc := d.fleet.Document()
	if doc == nil {
		return nil
	}
	g, ok := doc.Group(name)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	var homes []member.Identity
	for _, s := range g.Servers {
		id, ok := d.fleet.Holder(owner.RolePrefix + s.Name)
		if ok && !seen[id.Name] {
			seen[id.Name] = true
			homes = append(homes, id)
		}
	}
	return homes
}

func (d *directory) positionFrom(ctx context.Context, host member.Identity, name, customer string) (*peerpb.PositionResponse, error) {
	if host.Name == d.fleet.Self().Name {
		return d.owner.Position(ctx, name, customer)
	}
	return d.peers.PositionAt(ctx, host.Address, name, customer)
}

// errNoPosition reports that no owner answered.
var errNoPosition = errors.New("the group's owner did not answer")

// Position implements entry.Positions: the owner's answer covers the customer's
// commits before the call. It asks again until ctx ends, because ownership may be on its way to another
// host.
func (d *directory) Position(ctx context.Context, name, customer string) (*peerpb.Token, error) {
	for {
		token, err := d.askPosition(ctx, name, customer)
		if err == nil {
			return token, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(positionRetry):
		}
	}
}

func (d *directory) askPosition(ctx context.Context, name, customer string) (*peerpb.Token, error) {
	for _, h := range d.homesByOwnership(name) {
		resp, err := d.positionFrom(ctx, h, name, customer)
		if err != nil {
			continue
		}
		d.learn(name, resp)
		if resp.GetOwner() == "" && resp.GetKnown() {
			return resp.GetPosition(), nil
		}
	}
	return nil, errNoPosition
}

// homesByOwnership lists the home hosts of the group, the presumed owner first.
func (d *directory) homesByOwnership(name string) []member.Identity {
	homes := d.homesOf(name)
	server, _, _ := d.Primary(name)
	first, ok := d.fleet.Holder(owner.RolePrefix + server)
	if server == "" || !ok {
		return homes
	}
	ordered := []member.Identity{first}
	for _, h := range homes {
		if h.Name != first.Name {
			ordered = append(ordered, h)
		}
	}
	return ordered
}

// groupFleet shows the fleet to the owner shell in the group aggregate's types.
type groupFleet struct{ member.Fleet }

func (f groupFleet) Self() group.Host { return groupHost(f.Fleet.Self()) }

func (f groupFleet) Holder(role string) (group.Host, bool) {
	id, ok := f.Fleet.Holder(role)
	return groupHost(id), ok
}

func groupHost(id member.Identity) group.Host {
	return group.Host{Name: id.Name, Zone: id.Zone, Incarnation: id.Incarnation}
}

// limitFleet shows the fleet to the limit shell.
type limitFleet struct{ member.Fleet }

func (f limitFleet) Zone() string { return f.Self().Zone }

func (f limitFleet) Holder(role string) (address string, self, ok bool) {
	id, ok := f.Fleet.Holder(role)
	return id.Address, id.Name == f.Self().Name, ok
}

func (f limitFleet) MintEpoch(role string) (uint64, bool) {
	if !f.MayMint(role) {
		return 0, false
	}
	for _, r := range f.Held() {
		if r.Name == role {
			return r.Epoch, true
		}
	}
	return 0, false
}
