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
	// heartbeatInterval is the time between rounds of heartbeats. Heartbeats carry
	// samples of the groups' log positions, which must be younger than the
	// staleness bounds; the shortest bound in use is 1.5 s.
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = 250 * time.Millisecond
	// heartbeatFanout is the number of randomly chosen hosts that get a full
	// heartbeat in each round. With largeFleetHosts or more other hosts it is
	// heartbeatFanoutLarge, because messages are larger there and beats may take
	// longer to spread.
	heartbeatFanout      = 2
	heartbeatFanoutLarge = 1
	largeFleetHosts      = 32
	// briefHeartbeatFanout is the number of further randomly chosen hosts that get a
	// brief heartbeat, to obtain their confirmations of the store's rows.
	briefHeartbeatFanout = 2
	// maxSampleAge is the age of a group's newest sample from which on the group's
	// owner gets a heartbeat. Answers of the primary carry samples as well.
	maxSampleAge = 400 * time.Millisecond
	// heartbeatWorkers is the maximum number of heartbeats in flight.
	heartbeatWorkers = 24
)

// peerCalls makes the calls to other hosts and holds the state that peerAPI serves.
type peerCalls struct {
	directory *directory
	pool      *peer.Pool
	executor  *executor.Executor
	failover  *failover.Shell
	frontend  *frontend.Frontend
	counters  *telemetry.Counters
	workers   pond.Pool
	followers map[string]*store.Follower

	connMonitor connMonitor

	mu sync.Mutex
	// suspects holds the names of hosts to which a call has timed out. The next round
	// sends each of them a heartbeat.
	suspects map[string]bool
}

// View implements frontend.Fleet.
func (c *peerCalls) View(group string) routing.GroupView { return c.directory.View(group) }

// Owner implements frontend.Fleet.
func (c *peerCalls) Owner(group string) (routing.Host, bool) { return c.directory.Owner(group) }

// Execute implements frontend.Fleet.
func (c *peerCalls) Execute(ctx context.Context, h routing.Host, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	self := c.directory.self
	if h.Name == self.Name {
		return c.executor.Execute(ctx, req), nil
	}
	if !c.directory.ownership.Alive(h.Name) {
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "no recent heartbeat from host %s", h.Name)
	}
	client, err := c.pool.Client(h.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "host %s: %v", h.Name, err)
	}
	var p grpcpeer.Peer
	resp, err := client.Execute(ctx, req, grpc.Peer(&p))
	if err == nil {
		c.connMonitor.recordAnswer(h.Address, c.directory.clock())
		return resp, nil
	}
	overdue := status.Code(err) == codes.DeadlineExceeded
	if overdue {
		c.markSuspect(h.Name)
	}
	switch {
	case p.Addr == nil:
		// The call was never sent on a connection.
		return nil, verdict.New(verdict.NotRun, verdict.HomeUnreachable, "host %s: %v", h.Name, status.Convert(err).Message())
	case overdue:
		return nil, verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "host %s did not answer before the deadline", h.Name)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.ConnectionLost, "host %s: %v", h.Name, status.Convert(err).Message())
}

// markSuspect makes the next round of heartbeats include the host.
func (c *peerCalls) markSuspect(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[host] = true
}

// Grant implements limit.Granter.
func (c *peerCalls) Grant(ctx context.Context, address string, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	client, err := c.pool.Client(address)
	if err != nil {
		return nil, err
	}
	return client.Grant(ctx, req)
}

// runHeartbeats starts a round of heartbeats every heartbeatInterval until ctx
// ends.
func (c *peerCalls) runHeartbeats(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		c.startHeartbeats(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// startHeartbeats records the state of the groups owned by this host, closes the
// connections to hosts that have left the fleet, and starts one round of heartbeats.
func (c *peerCalls) startHeartbeats(ctx context.Context) {
	now := c.directory.clock()
	for _, s := range c.failover.States() {
		c.recordGroupState(now, s)
	}
	others := c.directory.ownership.Others()
	addresses := make(map[string]bool, len(others))
	for _, h := range others {
		addresses[h.Address] = true
	}
	c.pool.Retain(addresses)
	for _, h := range c.heartbeatTargets(others) {
		if _, ok := c.workers.TrySubmit(func() { c.sendHeartbeat(ctx, h) }); !ok {
			c.counters.Add("heartbeats_skipped", 1)
		}
	}
}

// heartbeatTarget is a host that gets a heartbeat in this round.
type heartbeatTarget struct {
	ownership.Host
	// brief selects a heartbeat that carries only the beat of its sender, and whose
	// answer carries only the beat of the answering host.
	brief bool
}

// heartbeatTargets returns the targets of one round: some hosts at random, the
// suspects, and the owners of the groups whose newest sample is older than
// maxSampleAge.
func (c *peerCalls) heartbeatTargets(others []ownership.Host) []heartbeatTarget {
	c.mu.Lock()
	suspects := c.suspects
	c.suspects = map[string]bool{}
	c.mu.Unlock()
	now := c.directory.clock()
	staleOwners := map[string]bool{}
	for _, g := range c.directory.GroupNames() {
		if now-c.frontend.NewestSampleTime(g) < maxSampleAge {
			continue
		}
		if h, ok := c.directory.ownership.Holder(failover.Role(g)); ok {
			staleOwners[h.Name] = true
		}
	}
	fullLeft, briefLeft := heartbeatFanout, briefHeartbeatFanout
	if len(others) >= largeFleetHosts {
		fullLeft = heartbeatFanoutLarge
	}
	var targets []heartbeatTarget
	for _, i := range rand.Perm(len(others)) {
		h := others[i]
		switch {
		case fullLeft > 0:
			fullLeft--
			targets = append(targets, heartbeatTarget{Host: h})
		case staleOwners[h.Name] || suspects[h.Name]:
			targets = append(targets, heartbeatTarget{Host: h, brief: true})
		case briefLeft > 0:
			briefLeft--
			targets = append(targets, heartbeatTarget{Host: h, brief: true})
		}
	}
	return targets
}

// sendHeartbeat exchanges beats with a host and records the group states and the
// store confirmations of its answer. When the connection has gone silent, it is
// replaced.
func (c *peerCalls) sendHeartbeat(ctx context.Context, h heartbeatTarget) {
	client, err := c.pool.Client(h.Address)
	if err != nil {
		c.counters.Add("heartbeats_failed", 1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := c.directory.clock()
	resp, err := client.Pulse(ctx, &peerpb.PulseRequest{Beats: c.outgoingBeats(h.brief), Brief: h.brief})
	if err != nil {
		c.counters.Add("heartbeats_failed", 1)
		if status.Code(err) == codes.DeadlineExceeded && c.connMonitor.recordMissedHeartbeat(h.Address, c.directory.clock()) {
			c.counters.Add("peer_connections_replaced", 1)
			c.pool.Reset(h.Address)
		}
		return
	}
	c.connMonitor.recordAnswer(h.Address, c.directory.clock())
	c.directory.ownership.Exchange(beatsFromProto(resp.GetBeats()))
	for _, g := range resp.GetGroups() {
		c.recordGroupState(sent, failover.State{
			Group: g.GetGroup(), Epoch: g.GetEpoch(), Primary: g.GetPrimary(), Age: time.Duration(g.GetAgeUs()) * time.Microsecond,
			Position: statement.Position{Term: g.GetPosition().GetTerm(), Number: g.GetPosition().GetPosition()},
		})
	}
	for _, space := range resp.GetSpaces() {
		if f, ok := c.followers[space.GetSpace()]; ok {
			f.ProcessPeerSummary(sent, store.SpaceSummary{
				Digest: space.GetDigest(), Revision: store.Revision(space.GetRevision()), Age: time.Duration(space.GetAgeUs()) * time.Microsecond,
			})
		}
	}
}

// outgoingBeats returns the beats to send: those of all known hosts or, if brief,
// only that of this host, which comes first.
func (c *peerCalls) outgoingBeats(brief bool) []*peerpb.Beat {
	all := c.directory.ownership.Exchange(nil)
	if brief {
		all = all[:1]
	}
	return beatsToProto(all)
}

// recordGroupState records the primary of a group and a sample of its log
// position, as reported by the owner of the group. The sample is dated s.Age
// before asOf. For an answer of another host, asOf is the time at which the request
// was sent, so that the sample never looks younger than it is.
func (c *peerCalls) recordGroupState(asOf time.Duration, s failover.State) {
	c.directory.recordPrimary(s.Group, s.Primary, s.Epoch)
	c.frontend.Observe(s.Group, asOf-s.Age, s.Position)
}

func beatsToProto(beats []ownership.Heartbeat) []*peerpb.Beat {
	out := make([]*peerpb.Beat, len(beats))
	for i, b := range beats {
		out[i] = &peerpb.Beat{Host: b.Host, Incarnation: b.Incarnation, Counter: b.Counter, Leaving: b.Leaving, Fresh: b.Fresh, Released: b.Released}
	}
	return out
}

func beatsFromProto(beats []*peerpb.Beat) []ownership.Heartbeat {
	out := make([]ownership.Heartbeat, len(beats))
	for i, b := range beats {
		out[i] = ownership.Heartbeat{Host: b.GetHost(), Incarnation: b.GetIncarnation(), Counter: b.GetCounter(), Leaving: b.GetLeaving(), Fresh: b.GetFresh(), Released: b.GetReleased()}
	}
	return out
}

// peerAPI serves the calls of other hosts. The calls that belong to the
// PostgreSQL protocol stay unimplemented.
type peerAPI struct {
	peerpb.UnimplementedPeerServer
	calls   *peerCalls
	minters grantServer
}

// grantServer serves requests for rate limit tokens.
type grantServer interface {
	Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error)
}

func (a peerAPI) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	return a.calls.executor.Execute(ctx, req), nil
}

func (a peerAPI) Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantResponse, error) {
	return a.minters.Grant(ctx, req)
}

func (a peerAPI) Pulse(_ context.Context, req *peerpb.PulseRequest) (*peerpb.PulseResponse, error) {
	a.calls.directory.ownership.Exchange(beatsFromProto(req.GetBeats()))
	resp := &peerpb.PulseResponse{Beats: a.calls.outgoingBeats(req.GetBrief())}
	for space, f := range a.calls.followers {
		if summary, ok := f.Summary(); ok {
			resp.Spaces = append(resp.Spaces, &peerpb.SpaceKnowledge{
				Space: space, Digest: summary.Digest, Revision: uint64(summary.Revision), AgeUs: summary.Age.Microseconds(),
			})
		}
	}
	for _, s := range a.calls.failover.States() {
		resp.Groups = append(resp.Groups, &peerpb.GroupState{
			Group: s.Group, Epoch: s.Epoch, Primary: s.Primary, AgeUs: s.Age.Microseconds(),
			Position: &peerpb.Token{Group: s.Group, Term: s.Position.Term, Position: s.Position.Number},
		})
	}
	return resp, nil
}
