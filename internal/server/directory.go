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
	// primaryMaxAge is how long an answer about a group's primary is used before
	// the next query, unless the primary is suspected, unconfirmed or out of
	// service.
	primaryMaxAge = 5 * time.Second
	// primaryQueryInterval is the minimum interval between queries while the
	// primary is suspected, unconfirmed or out of service.
	primaryQueryInterval = 100 * time.Millisecond
	// positionRetryInterval is the pause between rounds of position queries.
	positionRetryInterval = 50 * time.Millisecond
	// primaryQueryTimeout bounds one round of queries for a primary.
	primaryQueryTimeout = 600 * time.Millisecond
)

// ownerView is the part of the owner shell that the directory uses.
type ownerView interface {
	Primary(group string) (server string, term uint64, ok bool)
	Position(ctx context.Context, group, customer string) (*peerpb.PositionResponse, error)
}

// positionClient makes the Position call to another host.
type positionClient interface {
	PositionAt(ctx context.Context, address, group, customer string) (*peerpb.PositionResponse, error)
}

// directory locates role holders and primaries. It caches the primaries of the
// groups that this host uses, and queries the home hosts for them.
type directory struct {
	fleet member.Fleet
	owner ownerView
	peers positionClient

	mu           sync.Mutex
	peersByName  map[string]member.Peer
	peersFetched time.Time
	primaries    map[string]*primaryState
}

// primaryState is the state of a group's primary as last reported. confirmed means
// that the group's owner reported the primary as open in this term.
type primaryState struct {
	server        string
	term          uint64
	owner         string
	confirmed     bool
	suspected     bool
	lastQuery     time.Time
	queryInFlight bool
}

func newDirectory(fleet member.Fleet, peers positionClient) *directory {
	return &directory{fleet: fleet, peers: peers, primaries: map[string]*primaryState{}}
}

// Document implements routing.Directory.
func (d *directory) Document() *config.Document { return d.fleet.Document() }

// Home implements routing.Directory.
func (d *directory) Home(server string) (routing.Host, bool) {
	id, ok := d.fleet.Holder(owner.HomeRolePrefix + server)
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
	if d.peersByName == nil || time.Since(d.peersFetched) > peersMaxAge {
		d.peersFetched = time.Now()
		d.peersByName = map[string]member.Peer{}
		for _, p := range d.fleet.Peers() {
			d.peersByName[p.Name] = p
		}
	}
	p, ok := d.peersByName[name]
	return p, ok
}

// Primary implements routing.Directory. It returns the cached primary, and starts
// a query to the home hosts in the background when shouldQueryPrimary says so.
func (d *directory) Primary(name string) (string, uint64, bool) {
	server, term, known := d.owner.Primary(name)
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.primaryStateOf(name)
	if known && term >= state.term {
		state.server, state.term, state.confirmed = server, term, true
		return server, term, true
	}
	if d.shouldQueryPrimary(name, state) {
		state.queryInFlight, state.lastQuery = true, time.Now()
		go d.queryPrimary(name)
	}
	return state.server, state.term, state.confirmed
}

func (d *directory) primaryStateOf(name string) *primaryState {
	state, ok := d.primaries[name]
	if !ok {
		state = &primaryState{}
		d.primaries[name] = state
	}
	return state
}

// shouldQueryPrimary reports whether to query the home hosts for the primary now.
// A primary that is out of service is about to be replaced. This host refuses
// work for it without trying it, so no failed attempt would mark the primary as
// suspected, and only a query reveals the new one.
func (d *directory) shouldQueryPrimary(name string, state *primaryState) bool {
	age := time.Since(state.lastQuery)
	if state.suspected || !state.confirmed || d.outOfService(name, state.server) {
		return !state.queryInFlight && age >= primaryQueryInterval
	}
	return !state.queryInFlight && age >= primaryMaxAge
}

// outOfService reports whether a server of the group is leaving or in a zone
// that is out of service.
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

// Suspect records that a home host did not accept work for the group's primary.
func (d *directory) Suspect(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.primaryStateOf(name).suspected = true
}

// queryPrimary queries the home hosts of all the group's servers concurrently and
// keeps the answer with the highest term.
func (d *directory) queryPrimary(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), primaryQueryTimeout)
	defer cancel()
	homes := d.homeHosts(name)
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
			d.recordAnswer(name, resp)
		}
	}
	d.mu.Lock()
	d.primaryStateOf(name).queryInFlight = false
	d.mu.Unlock()
}

// recordAnswer stores an answer unless it names no primary or its term is older
// than the stored one. Only an answer from the group's owner can confirm that the
// primary is open; answers from other hosts serve to find the owner.
func (d *directory) recordAnswer(name string, resp *peerpb.PositionResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.primaryStateOf(name)
	term := resp.GetPosition().GetTerm()
	if term < state.term || resp.GetPrimary() == "" {
		return
	}
	if term > state.term {
		state.confirmed = false
	}
	state.server, state.term = resp.GetPrimary(), term
	if resp.GetFromOwner() {
		state.confirmed, state.suspected = resp.GetKnown(), false
		return
	}
	state.owner = resp.GetOwner()
}

func (d *directory) homeHosts(name string) []member.Identity {
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
		id, ok := d.fleet.Holder(owner.HomeRolePrefix + s.Name)
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

// errOwnerUnavailable reports that no home host of the group answered as its owner.
var errOwnerUnavailable = errors.New("the group's owner did not answer")

// Position implements entry.PositionSource: the owner's answer covers the customer's
// commits before the call. It retries until ctx ends, because ownership may be
// moving to another host.
func (d *directory) Position(ctx context.Context, name, customer string) (*peerpb.Token, error) {
	for {
		token, err := d.queryPosition(ctx, name, customer)
		if err == nil {
			return token, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(positionRetryInterval):
		}
	}
}

func (d *directory) queryPosition(ctx context.Context, name, customer string) (*peerpb.Token, error) {
	for _, h := range d.homeHostsOwnerFirst(name) {
		resp, err := d.positionFrom(ctx, h, name, customer)
		if err != nil {
			continue
		}
		d.recordAnswer(name, resp)
		if resp.GetFromOwner() && resp.GetKnown() {
			return resp.GetPosition(), nil
		}
	}
	return nil, errOwnerUnavailable
}

// homeHostsOwnerFirst returns the home hosts of the group, the presumed owner first.
func (d *directory) homeHostsOwnerFirst(name string) []member.Identity {
	homes := d.homeHosts(name)
	server, _, _ := d.Primary(name)
	first, ok := d.fleet.Holder(owner.HomeRolePrefix + server)
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

// groupFleet adapts the fleet to the types of the group aggregate, for the owner
// shell.
type groupFleet struct{ member.Fleet }

func (f groupFleet) Self() group.Host { return groupHost(f.Fleet.Self()) }

func (f groupFleet) Holder(role string) (group.Host, bool) {
	id, ok := f.Fleet.Holder(role)
	return groupHost(id), ok
}

func groupHost(id member.Identity) group.Host {
	return group.Host{Name: id.Name, Zone: id.Zone, Incarnation: id.Incarnation}
}

// limitFleet adapts the fleet to the interface of the limit shell.
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
	for _, r := range f.HeldRoles() {
		if r.Name == role {
			return r.Epoch, true
		}
	}
	return 0, false
}
