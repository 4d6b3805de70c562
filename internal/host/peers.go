package host

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	grpcpeer "google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/executor"
	"github.com/cranberryhinge/cranberryhinge/internal/failover"
	"github.com/cranberryhinge/cranberryhinge/internal/frontend"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// pulseInterval is the interval of the heartbeats. Samples of the groups'
	// positions travel with them, and have to be younger than the staleness
	// bounds, of which the shortest in use is 1.5 s.
	pulseInterval = 300 * time.Millisecond
	// pulseTimeout bounds one heartbeat.
	pulseTimeout = 250 * time.Millisecond
	// pulsePeers is the number of hosts that are asked at random each time, and
	// pulsePeersLarge that in a fleet of more than largeFleet hosts, where the
	// messages are larger and signs of life may take longer.
	pulsePeers      = 2
	pulsePeersLarge = 1
	largeFleet      = 32
	// pulseBrief is the number of further hosts that are asked in brief, for their
	// confirmations of the store's rows.
	pulseBrief = 2
	// sampleAge is the age of the newest sample of a group at which its owner is
	// asked. Answers of the primary bring samples, too.
	sampleAge = 400 * time.Millisecond
	// pulseWorkers bounds the heartbeats in flight.
	pulseWorkers = 24
)

// calls makes and answers the calls between hosts.
type calls struct {
	directory *directory
	pool      *peer.Pool
	executor  *executor.Executor
	failover  *failover.Shell
	frontend  *frontend.Frontend
	counters  *telemetry.Counters
	workers   pond.Pool
	followers map[string]*store.Follower

	links links

	mu sync.Mutex
	// suspects are hosts of which a call was overdue. They get a heartbeat next.
	suspects map[string]bool
}

// View implements frontend.Fleet.
func (c *calls) View(group string) routing.View { return c.directory.View(group) }

// Owner implements frontend.Fleet.
func (c *calls) Owner(group string) (routing.Host, bool) { return c.directory.Owner(group) }

// Execute implements frontend.Fleet.
func (c *calls) Execute(ctx context.Context, h routing.Host, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	self := c.directory.self
	if h.Name == self.Name {
		return c.executor.Execute(ctx, req), nil
	}
	if !c.directory.owners.Alive(h.Name) {
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "host %s shows no sign of life", h.Name)
	}
	client, err := c.pool.Client(h.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "host %s: %v", h.Name, err)
	}
	var p grpcpeer.Peer
	resp, err := client.Execute(ctx, req, grpc.Peer(&p))
	if err == nil {
		c.links.answered(h.Address, c.directory.clock())
		return resp, nil
	}
	overdue := status.Code(err) == codes.DeadlineExceeded
	if overdue {
		c.suspect(h.Name)
	}
	switch {
	case p.Addr == nil:
		// The call was never given to a connection.
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "host %s: %v", h.Name, status.Convert(err).Message())
	case overdue:
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "host %s did not answer in time", h.Name)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "host %s: %v", h.Name, status.Convert(err).Message())
}

func (c *calls) suspect(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[host] = true
}

// Grant implements limit.Granter.
func (c *calls) Grant(ctx context.Context, address string, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	client, err := c.pool.Client(address)
	if err != nil {
		return nil, err
	}
	return client.Grant(ctx, req)
}

// pulse exchanges heartbeats until ctx ends.
func (c *calls) pulse(ctx context.Context) {
	t := time.NewTicker(pulseInterval)
	defer t.Stop()
	for {
		c.round(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// round sends one heartbeat to each chosen host.
func (c *calls) round(ctx context.Context) {
	now := c.directory.clock()
	for _, s := range c.failover.States() {
		c.observe(now, s)
	}
	others := c.directory.owners.Others()
	addresses := make(map[string]bool, len(others))
	for _, h := range others {
		addresses[h.Address] = true
	}
	c.pool.Retain(addresses)
	for _, h := range c.chosen(others) {
		if _, ok := c.workers.TrySubmit(func() { c.heartbeat(ctx, h) }); !ok {
			c.counters.Add("heartbeats_skipped", 1)
		}
	}
}

// target is a host to send a heartbeat to.
type target struct {
	ownership.Host
	// brief heartbeats leave out the signs of life of other hosts.
	brief bool
}

// chosen returns some hosts at random, those that are suspected, and the owners
// of the groups whose newest sample is old.
func (c *calls) chosen(others []ownership.Host) []target {
	c.mu.Lock()
	suspects := c.suspects
	c.suspects = map[string]bool{}
	c.mu.Unlock()
	now := c.directory.clock()
	owners := map[string]bool{}
	for _, g := range c.directory.GroupNames() {
		if now-c.frontend.NewestSample(g) < sampleAge {
			continue
		}
		if h, ok := c.directory.owners.Holder(failover.Role(g)); ok {
			owners[h.Name] = true
		}
	}
	random, brief := pulsePeers, pulseBrief
	if len(others) >= largeFleet {
		random = pulsePeersLarge
	}
	var out []target
	for _, i := range rand.Perm(len(others)) {
		h := others[i]
		switch {
		case random > 0:
			random--
			out = append(out, target{Host: h})
		case owners[h.Name] || suspects[h.Name]:
			out = append(out, target{Host: h, brief: true})
		case brief > 0:
			brief--
			out = append(out, target{Host: h, brief: true})
		}
	}
	return out
}

func (c *calls) heartbeat(ctx context.Context, h target) {
	client, err := c.pool.Client(h.Address)
	if err != nil {
		c.counters.Add("heartbeats_failed", 1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pulseTimeout)
	defer cancel()
	sent := c.directory.clock()
	resp, err := client.Pulse(ctx, &peerpb.PulseRequest{Beats: c.beats(h.brief), Brief: h.brief})
	if err != nil {
		c.counters.Add("heartbeats_failed", 1)
		if status.Code(err) == codes.DeadlineExceeded && c.links.silent(h.Address, c.directory.clock()) {
			c.counters.Add("peer_connections_replaced", 1)
			c.pool.Reset(h.Address)
		}
		return
	}
	c.links.answered(h.Address, c.directory.clock())
	c.directory.owners.Exchange(fromWire(resp.GetBeats()))
	for _, g := range resp.GetGroups() {
		c.observe(sent, failover.State{
			Group: g.GetGroup(), Epoch: g.GetEpoch(), Primary: g.GetPrimary(), Age: time.Duration(g.GetAgeUs()) * time.Microsecond,
			Position: statement.Position{Term: g.GetPosition().GetTerm(), Number: g.GetPosition().GetPosition()},
		})
	}
	for _, k := range resp.GetSpaces() {
		if f, ok := c.followers[k.GetSpace()]; ok {
			f.PeerKnows(sent, store.Knowledge{
				Digest: k.GetDigest(), Revision: store.Revision(k.GetRevision()), Age: time.Duration(k.GetAgeUs()) * time.Microsecond,
			})
		}
	}
}

// beats returns the signs of life to send: all, or in brief the own one, which
// comes first.
func (c *calls) beats(brief bool) []*peerpb.Beat {
	all := c.directory.owners.Exchange(nil)
	if brief {
		all = all[:1]
	}
	return toWire(all)
}

// observe takes the state of a group in that its owner had at the time.
func (c *calls) observe(at time.Duration, s failover.State) {
	c.directory.primaryIs(s.Group, s.Primary, s.Epoch)
	c.frontend.Observe(s.Group, at-s.Age, s.Position)
}

func toWire(beats []ownership.Beat) []*peerpb.Beat {
	out := make([]*peerpb.Beat, len(beats))
	for i, b := range beats {
		out[i] = &peerpb.Beat{Host: b.Host, Incarnation: b.Incarnation, Counter: b.Counter, Leaving: b.Leaving, Fresh: b.Fresh, Released: b.Released}
	}
	return out
}

func fromWire(beats []*peerpb.Beat) []ownership.Beat {
	out := make([]ownership.Beat, len(beats))
	for i, b := range beats {
		out[i] = ownership.Beat{Host: b.GetHost(), Incarnation: b.GetIncarnation(), Counter: b.GetCounter(), Leaving: b.GetLeaving(), Fresh: b.GetFresh(), Released: b.GetReleased()}
	}
	return out
}

// api serves the calls of other hosts. Calls of the PostgreSQL protocol stay
// unimplemented.
type api struct {
	peerpb.UnimplementedPeerServer
	c       *calls
	minters minterCalls
}

// minterCalls serves Grant.
type minterCalls interface {
	Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error)
}

func (a api) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	return a.c.executor.Execute(ctx, req), nil
}

func (a api) Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return a.minters.Grant(ctx, req)
}

func (a api) Pulse(_ context.Context, req *peerpb.PulseRequest) (*peerpb.PulseResponse, error) {
	a.c.directory.owners.Exchange(fromWire(req.GetBeats()))
	resp := &peerpb.PulseResponse{Beats: a.c.beats(req.GetBrief())}
	for space, f := range a.c.followers {
		if k, ok := f.Knowledge(); ok {
			resp.Spaces = append(resp.Spaces, &peerpb.SpaceKnowledge{
				Space: space, Digest: k.Digest, Revision: uint64(k.Revision), AgeUs: k.Age.Microseconds(),
			})
		}
	}
	for _, s := range a.c.failover.States() {
		resp.Groups = append(resp.Groups, &peerpb.GroupState{
			Group: s.Group, Epoch: s.Epoch, Primary: s.Primary, AgeUs: s.Age.Microseconds(),
			Position: &peerpb.Token{Group: s.Group, Term: s.Position.Term, Position: s.Position.Number},
		})
	}
	return resp, nil
}
