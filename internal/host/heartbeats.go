package host

import (
	"context"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/cranberryhinge/cranberryhinge/internal/failover"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

const (
	// heartbeatInterval is the time between rounds of heartbeats. Heartbeats carry
	// samples of the groups' log positions, which must be younger than the
	// staleness bounds; the shortest bound in use is 1.5 s.
	heartbeatInterval = 300 * time.Millisecond
	heartbeatTimeout  = 250 * time.Millisecond
	// heartbeatFanout is the number of randomly chosen hosts that get a full
	// heartbeat in each round in a small fleet.
	heartbeatFanout = 2
	// briefHeartbeatFanout is the number of further randomly chosen hosts of a small
	// fleet that get a brief heartbeat, to obtain their confirmations of the store's
	// rows.
	briefHeartbeatFanout = 2
	// maxSampleAge is the age of a group's newest sample from which on the group's
	// owner gets a heartbeat. Answers of the primary carry samples as well.
	maxSampleAge = 400 * time.Millisecond
	// maxRelaySampleAge and maxIndirectSampleAge are the same for the relays of a large
	// fleet and for its other hosts, which get the samples from the relays with up to two
	// rounds of heartbeats between.
	maxRelaySampleAge    = 300 * time.Millisecond
	maxIndirectSampleAge = 900 * time.Millisecond
	// maxSharedStateAge is the age up to which the state of a group is sent to other
	// hosts. The shortest staleness bound in use is 1.5 s.
	maxSharedStateAge = 1500 * time.Millisecond
	// heartbeatWorkers is the maximum number of heartbeats in flight.
	heartbeatWorkers = 24
)

// runHeartbeats starts a round of heartbeats every heartbeatInterval until ctx
// ends.
func (c *peerCalls) runHeartbeats(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		c.startHeartbeats(ctx)
		select {
		case <-t.C:
		case <-c.extraRounds:
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
	kind heartbeatKind
}

// heartbeatKind selects the content of a heartbeat and its answer.
type heartbeatKind int

const (
	// fullHeartbeat carries the beats of all hosts.
	fullHeartbeat heartbeatKind = iota
	// briefHeartbeat carries only the beat of its sender, and its answer only the beat
	// of the answering host.
	briefHeartbeat
	// syncHeartbeat carries the beats of all hosts in packed form, and its answer the
	// changes of the store's rows and the states of all groups as well.
	syncHeartbeat
)

// heartbeatTargets returns the targets of one round: the hosts with which this host
// exchanges beats, the suspects, and the owners of the groups whose newest sample is
// too old.
func (c *peerCalls) heartbeatTargets(others []ownership.Host) []heartbeatTarget {
	fleet := c.directory.ownership
	if fleet.IsLargeFleet() {
		maxAge := maxIndirectSampleAge
		if fleet.IsRelay() {
			maxAge = maxRelaySampleAge
		}
		exchanges := fleet.ExchangeTargets(c.rng)
		targets := make([]heartbeatTarget, 0, len(exchanges))
		for _, h := range exchanges {
			targets = append(targets, heartbeatTarget{h, syncHeartbeat})
		}
		return c.addDirectTargets(targets, others, maxAge)
	}
	var targets []heartbeatTarget
	chosen := c.rng.Perm(len(others))
	for n, i := range chosen[:min(len(chosen), heartbeatFanout+briefHeartbeatFanout)] {
		kind := fullHeartbeat
		if n >= heartbeatFanout {
			kind = briefHeartbeat
		}
		targets = append(targets, heartbeatTarget{others[i], kind})
	}
	return c.addDirectTargets(targets, others, maxSampleAge)
}

// addDirectTargets adds brief heartbeats to the suspects and to the owners of the groups
// whose newest sample is older than maxAge.
func (c *peerCalls) addDirectTargets(targets []heartbeatTarget, others []ownership.Host, maxAge time.Duration) []heartbeatTarget {
	c.mu.Lock()
	direct := c.suspects
	c.suspects = map[string]bool{}
	c.mu.Unlock()
	now := c.directory.clock()
	for _, g := range c.directory.GroupNames() {
		if now-c.frontend.NewestSampleTime(g) < maxAge {
			continue
		}
		if h, ok := c.directory.ownership.Holder(failover.Role(g)); ok {
			direct[h.Name] = true
		}
	}
	for _, h := range c.directory.ownership.ZoneProbes(c.rng) {
		direct[h.Name] = true
	}
	for _, t := range targets {
		delete(direct, t.Name)
	}
	if len(direct) == 0 {
		return targets
	}
	for _, h := range others {
		if direct[h.Name] {
			targets = append(targets, heartbeatTarget{h, briefHeartbeat})
		}
	}
	return targets
}

// sendHeartbeat exchanges heartbeats with a host. When the connection has gone silent,
// it is replaced.
func (c *peerCalls) sendHeartbeat(ctx context.Context, h heartbeatTarget) {
	client, err := c.pool.Client(h.Address)
	if err != nil {
		c.counters.Add("heartbeats_failed", 1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	req := c.newPulseRequest(h.kind)
	sent := c.directory.clock()
	resp, err := client.Pulse(ctx, req)
	c.directory.ownership.RecordExchange(h.Name, err == nil, h.kind == syncHeartbeat)
	if err != nil {
		c.counters.Add("heartbeats_failed", 1)
		if status.Code(err) == codes.DeadlineExceeded && c.connMonitor.recordMissedHeartbeat(h.Address, c.directory.clock()) {
			c.counters.Add("peer_connections_replaced", 1)
			c.pool.Reset(h.Address)
		}
		return
	}
	c.connMonitor.recordAnswer(h.Address, c.directory.clock())
	c.applyAnswer(sent, req, resp)
}

// applyAnswer records the beats, the group states and the store's rows and confirmations
// in the answer to a heartbeat that was sent at sent.
func (c *peerCalls) applyAnswer(sent time.Duration, req *peerpb.PulseRequest, resp *peerpb.PulseResponse) {
	c.directory.ownership.RecordHeartbeats(beatsFromProto(resp.GetBeats()), packedFromProto(resp.GetPacked()))
	for _, g := range resp.GetGroups() {
		c.recordGroupState(sent, failover.State{
			Group: g.GetGroup(), Epoch: g.GetEpoch(), Primary: g.GetPrimary(), Age: time.Duration(g.GetAgeUs()) * time.Microsecond,
			Position:   statement.Position{Term: g.GetPosition().GetTerm(), Number: g.GetPosition().GetPosition()},
			TermStarts: termStartsFromProto(g.GetTermStarts()),
		})
	}
	for _, l := range resp.GetLoads() {
		c.recordLoad(sent, l)
	}
	for _, space := range resp.GetSpaces() {
		c.applySpace(sent, req, space)
	}
}

func (c *peerCalls) newPulseRequest(kind heartbeatKind) *peerpb.PulseRequest {
	fleet := c.directory.ownership
	switch kind {
	case briefHeartbeat:
		return &peerpb.PulseRequest{Beats: beatsToProto([]ownership.Heartbeat{fleet.OwnHeartbeat()}), Brief: true}
	case syncHeartbeat:
		explicit, packed := fleet.PackHeartbeats()
		req := &peerpb.PulseRequest{Beats: beatsToProto(explicit), Packed: packedToProto(packed), Sync: true}
		for space, f := range c.followers {
			req.Spaces = append(req.Spaces, &peerpb.SpaceRevision{Space: space, Revision: uint64(f.Revision())})
		}
		return req
	}
	return &peerpb.PulseRequest{Beats: beatsToProto(fleet.Heartbeats())}
}

// applySpace processes what another host knows of one space, in the answer to a request
// that was sent at sent.
func (c *peerCalls) applySpace(sent time.Duration, req *peerpb.PulseRequest, space *peerpb.SpaceKnowledge) {
	f, ok := c.followers[space.GetSpace()]
	age := time.Duration(space.GetAgeUs()) * time.Microsecond
	if !ok || age < 0 {
		return
	}
	if !space.GetComplete() {
		f.ProcessPeerSummary(sent, store.SpaceSummary{Digest: space.GetDigest(), Revision: store.Revision(space.GetRevision()), Age: age})
		return
	}
	changes := store.PeerChanges{Full: space.GetFull(), Revision: store.Revision(space.GetRevision()), Age: age}
	for _, r := range space.GetChanges() {
		changes.Rows = append(changes.Rows, store.Change{
			Row: store.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: store.Revision(r.GetRevision())}, Removed: r.GetRemoved(),
		})
	}
	for _, s := range req.GetSpaces() {
		if s.GetSpace() == space.GetSpace() {
			f.ApplyPeerChanges(sent, store.Revision(s.GetRevision()), changes)
		}
	}
}

// receivedState is the state of a group as its owner reported it. The sample of the log
// position was taken at the time at.
type receivedState struct {
	failover.State
	at time.Duration
}

// recordGroupState records the primary of a group and a sample of its log
// position, as reported by the owner of the group, directly or through another host.
// The sample is dated s.Age before asOf. For an answer of another host, asOf is the time at which the request
// was sent, so that the sample never looks younger than it is.
func (c *peerCalls) recordGroupState(asOf time.Duration, s failover.State) {
	if s.Age < 0 {
		return
	}
	at := asOf - s.Age
	c.frontend.Observe(s.Group, at, s.Position)
	c.mu.Lock()
	old, known := c.groupStates[s.Group]
	newer := !known || s.Epoch > old.Epoch || s.Epoch == old.Epoch && at > old.at
	if newer {
		c.groupStates[s.Group] = receivedState{s, at}
	}
	c.mu.Unlock()
	if newer {
		c.directory.recordPrimary(s.Group, s.Primary, s.Epoch)
	}
	c.failover.LearnTermStarts(s.Group, s.TermStarts)
}

// knownStates returns the states of this host's groups and, if all is set, of the other
// groups of which it knows a recent state.
func (c *peerCalls) knownStates(all bool) []failover.State {
	states := c.failover.States()
	if !all {
		return states
	}
	own := make(map[string]bool, len(states))
	for _, s := range states {
		own[s.Group] = true
	}
	now := c.directory.clock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.groupStates {
		if age := now - s.at; !own[name] && age < maxSharedStateAge {
			s.Age = age
			states = append(states, s.State)
		}
	}
	return states
}

// Pulse answers a heartbeat of another host.
func (a peerAPI) Pulse(_ context.Context, req *peerpb.PulseRequest) (*peerpb.PulseResponse, error) {
	fleet := a.calls.directory.ownership
	fleet.RecordHeartbeats(beatsFromProto(req.GetBeats()), packedFromProto(req.GetPacked()))
	resp := &peerpb.PulseResponse{}
	switch {
	case req.GetSync():
		explicit, packed := fleet.PackHeartbeats()
		resp.Beats, resp.Packed = beatsToProto(explicit), packedToProto(packed)
	case req.GetBrief():
		resp.Beats = beatsToProto([]ownership.Heartbeat{fleet.OwnHeartbeat()})
	default:
		resp.Beats = beatsToProto(fleet.Heartbeats())
	}
	revisions := map[string]uint64{}
	for _, s := range req.GetSpaces() {
		revisions[s.GetSpace()] = s.GetRevision()
	}
	for space, f := range a.calls.followers {
		if k := spaceKnowledge(space, f, revisions); k != nil {
			resp.Spaces = append(resp.Spaces, k)
		}
	}
	for _, s := range a.calls.knownStates(req.GetSync()) {
		resp.Groups = append(resp.Groups, &peerpb.GroupState{
			Group: s.Group, Epoch: s.Epoch, Primary: s.Primary, AgeUs: peer.CeilMicroseconds(s.Age),
			Position:   &peerpb.Token{Group: s.Group, Term: s.Position.Term, Position: s.Position.Number},
			TermStarts: termStartsToProto(s.TermStarts),
		})
	}
	now := a.calls.directory.clock()
	for _, l := range a.calls.knownLoads(now, req.GetSync()) {
		resp.Loads = append(resp.Loads, serverload.Encode(now, l))
	}
	return resp, nil
}

// knownLoads returns the loads to share of the servers of which this host is the home host
// and, if all is set, of the other servers.
func (c *peerCalls) knownLoads(now time.Duration, all bool) []serverload.Load {
	own := map[string]bool{}
	for _, l := range c.executor.Loads() {
		own[l.Server] = true
		c.loads.Record(l)
	}
	shared := c.loads.Shared(now)
	if all {
		return shared
	}
	return slices.DeleteFunc(shared, func(l serverload.Load) bool { return !own[l.Server] })
}

// spaceKnowledge returns what this host knows of a space, with the changes after the
// revision of the peer if it has sent one. It returns nil before the space was read.
func spaceKnowledge(space string, f *store.Follower, revisions map[string]uint64) *peerpb.SpaceKnowledge {
	if rev, ok := revisions[space]; ok {
		if changes, ok := f.ChangesSince(store.Revision(rev)); ok {
			k := &peerpb.SpaceKnowledge{
				Space: space, Revision: uint64(changes.Revision), AgeUs: peer.CeilMicroseconds(changes.Age), Complete: true, Full: changes.Full,
			}
			for _, r := range changes.Rows {
				k.Changes = append(k.Changes, &peerpb.RowChange{Key: r.Key, Value: r.Value, Revision: uint64(r.Revision), Removed: r.Removed})
			}
			return k
		}
	}
	summary, ok := f.Summary()
	if !ok {
		return nil
	}
	return &peerpb.SpaceKnowledge{Space: space, Digest: summary.Digest, Revision: uint64(summary.Revision), AgeUs: peer.CeilMicroseconds(summary.Age)}
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

func packedToProto(p ownership.PackedHeartbeats) *peerpb.PackedBeats {
	return &peerpb.PackedBeats{Hosts: p.IDs, Counters: p.Counters}
}

func packedFromProto(p *peerpb.PackedBeats) ownership.PackedHeartbeats {
	return ownership.PackedHeartbeats{IDs: p.GetHosts(), Counters: p.GetCounters()}
}

func termStartsToProto(starts []failover.TermStart) []*peerpb.TermStart {
	out := make([]*peerpb.TermStart, len(starts))
	for i, s := range starts {
		out[i] = &peerpb.TermStart{Term: s.Term, PositionTerm: s.First.Term, Position: s.First.Number}
	}
	return out
}

func termStartsFromProto(starts []*peerpb.TermStart) []failover.TermStart {
	out := make([]failover.TermStart, len(starts))
	for i, s := range starts {
		out[i] = failover.TermStart{Term: s.GetTerm(), First: statement.Position{Term: s.GetPositionTerm(), Number: s.GetPosition()}}
	}
	return out
}
