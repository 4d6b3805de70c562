package failover

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// tickInterval is the interval between ticks of the machines. It is well below
	// their shortest time limit.
	tickInterval = 25 * time.Millisecond
	// pollTimeout bounds one status poll, including a new connection.
	pollTimeout = 400 * time.Millisecond
	// orderTimeout bounds the wait for the answer to a promotion order.
	orderTimeout = 600 * time.Millisecond
)

// monitorCustomer is the customer name of the connections for status polls. No
// statements of callers run on these connections.
const monitorCustomer = "cranberryhinge-monitor"

// Order is a request to promote a server.
type Order struct {
	Group, Server string
	// Holder is the host that sends the order, Token the epoch of its role.
	Holder string
	Token  uint64
}

// ErrRejected is returned if an order was rejected because the platform had a newer
// one, or because the server is not running.
var ErrRejected = errors.New("failover: the promotion was rejected")

// Promoter sends promotion orders to the platform. After an error other than
// ErrRejected the order may still be executed later.
type Promoter interface {
	Promote(ctx context.Context, o Order) error
}

// Roles provides the epochs of the roles that this host holds.
type Roles interface {
	// UsableEpoch returns the epoch of a role, and whether this host may use the
	// role now.
	UsableEpoch(role string) (epoch uint64, ok bool)
	// AssignedEpoch returns the epoch of a role that this host may use now, or will
	// be able to use once its last holder must have stopped. Promotions may be
	// ordered during that wait, because nothing is acknowledged on the new primary
	// until the role may be used.
	AssignedEpoch(role string) (epoch uint64, ok bool)
	// RequestNewEpoch requests a new epoch of a role.
	RequestNewEpoch(role string)
}

// Role returns the name of the role that the owner of a group holds.
func Role(group string) string { return "group/" + group }

// Directory provides the groups and their servers.
type Directory interface {
	GroupNames() []string
	Group(name string) Group
	// Target returns the connection target of a server, and false if the server is
	// not registered.
	Target(server string) (statement.Target, bool)
}

// Options configure a Shell.
type Options struct {
	Host      string
	Roles     Roles
	Directory Directory
	Promoter  Promoter
	Dialer    statement.Dialer
	Clock     clock.Clock
	Log       *log.Logger
	Counters  *telemetry.Counters
	// Latencies records the duration of each phase of a change of the primary, and
	// the whole time without a primary as GapLatency.
	Latencies *telemetry.Latencies
}

// GapLatency is the name of the histogram of failover gaps: the time from the loss of
// the primary or the owner until a primary may be used again.
const GapLatency = "failover_gap"

// Shell supervises the groups that this host owns. It is safe for concurrent use.
type Shell struct {
	opt Options

	mu     sync.Mutex
	groups map[string]*groupState
}

// groupState is the state of one group. Shell.mu guards it.
type groupState struct {
	machine     *Machine
	loggedPhase Phase
	loggedWait  string
	phaseSince  time.Duration
	// primaryLostAt is the time since which this host has had no primary for the
	// group.
	primaryLostAt time.Duration
	newestSample  positionSample
	// phaseChanged is closed at the next change of the phase.
	phaseChanged chan struct{}
	monitorConns map[string]statement.Conn
}

// positionSample is a position of the primary and the time at which the poll or
// statement that returned it was sent.
type positionSample struct {
	polledAt time.Duration
	position statement.Position
}

// New returns a Shell. It supervises no group before Run.
func New(opt Options) *Shell { return &Shell{opt: opt, groups: map[string]*groupState{}} }

// Run supervises the groups until ctx is done.
func (s *Shell) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		for _, name := range s.opt.Directory.GroupNames() {
			s.stepGroup(ctx, name)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// stateOf returns the state of a group and creates it if needed. The caller holds
// the lock.
func (s *Shell) stateOf(name string) *groupState {
	g, ok := s.groups[name]
	if !ok {
		g = &groupState{machine: NewMachine(), phaseChanged: make(chan struct{}), monitorConns: map[string]statement.Conn{}}
		s.groups[name] = g
	}
	return g
}

// stepGroup ticks the machine of one group and performs its actions.
func (s *Shell) stepGroup(ctx context.Context, name string) {
	epoch, assigned := s.opt.Roles.AssignedEpoch(Role(name))
	usable := false
	if assigned {
		_, usable = s.opt.Roles.UsableEpoch(Role(name))
	}
	now := s.opt.Clock()
	s.mu.Lock()
	g := s.stateOf(name)
	if epoch == 0 && g.machine.Phase() == Idle {
		s.mu.Unlock()
		return
	}
	actions := append([]Action(nil), g.machine.Tick(now, epoch, usable, s.opt.Directory.Group(name))...)
	s.logPhaseChange(now, name, g)
	s.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case Poll:
			go s.pollServer(ctx, name, g, a.Server)
		case Promote:
			go s.sendPromotion(ctx, name, g, a)
		case NextEpoch:
			s.opt.Roles.RequestNewEpoch(Role(name))
		}
	}
}

// logPhaseChange logs and counts a change of the phase, and wakes the callers that
// wait for one. The caller holds the lock.
func (s *Shell) logPhaseChange(now time.Duration, name string, g *groupState) {
	p := g.machine.Phase()
	if w := g.machine.WaitReason; w != g.loggedWait {
		if w != "" {
			s.opt.Log.Info().Str("group", name).Str("why", w).Str("candidates", g.machine.candidates()).
				Int("sync_replicas", g.machine.group.SyncReplicas).Msg("promotion waits")
			s.opt.Counters.Add("promotions_delayed", 1)
		}
		g.loggedWait = w
	}
	if p == g.loggedPhase {
		return
	}
	candidates := ""
	if p == Ordering || p == WaitingForEpoch {
		candidates = g.machine.Candidates
	}
	s.opt.Log.Info().Str("group", name).Str("from", g.loggedPhase.String()).Str("to", p.String()).
		Dur("after", now-g.phaseSince).Uint64("epoch", g.machine.epoch).Str("primary", g.machine.primary).
		Str("target", g.machine.target).Uint64("term", g.machine.lastPosition.Term).
		Uint64("number", g.machine.lastPosition.Number).Str("why", g.machine.PhaseReason).Str("candidates", candidates).Msg("group supervision")
	s.opt.Counters.Add("failover_"+p.String(), 1)
	s.recordPhaseLatency(now, g, p)
	g.loggedPhase, g.phaseSince = p, now
	close(g.phaseChanged)
	g.phaseChanged = make(chan struct{})
	if p == Leading {
		g.newestSample = positionSample{}
	}
}

// recordPhaseLatency records the duration of the phase before p and, if p is Leading,
// the duration of the whole gap.
func (s *Shell) recordPhaseLatency(now time.Duration, g *groupState, p Phase) {
	if g.loggedPhase == Idle || g.loggedPhase == Leading {
		g.primaryLostAt = now
		return
	}
	s.opt.Latencies.Record("failover_"+g.loggedPhase.String(), now-g.phaseSince)
	if p == Leading {
		s.opt.Latencies.Record(GapLatency, now-g.primaryLostAt)
	}
}

// pollServer queries the status of a server and passes the result to the machine.
func (s *Shell) pollServer(ctx context.Context, name string, g *groupState, server string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := s.opt.Clock()
	status, err := s.queryStatus(ctx, g, server)
	refused := err != nil && verdict.From(err).Reason == verdict.BackendUnreachable && s.opt.Clock()-sent < pollTimeout/2
	s.opt.Counters.Add("status_polls", 1)
	now := s.opt.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && isBusy(err) {
		g.machine.OnServerBusy(sent, server)
		return
	}
	if err != nil {
		s.opt.Log.Info().Str("group", name).Str("server", server).Err(err).Msg("status poll failed")
	}
	g.machine.OnPollResult(now, sent, server, status, err, refused)
	if primary, ok := g.machine.Primary(); ok && primary == server && err == nil && (!status.Repeated || g.machine.positionCurrent) {
		g.recordSample(sent, statement.Max(status.Position, g.machine.lastPosition))
	}
	s.logPhaseChange(now, name, g)
}

// isBusy reports whether a server has answered that it has no free slot or connection.
func isBusy(err error) bool {
	r := verdict.From(err).Reason
	return r == verdict.ServerBusy || r == verdict.ConnectionLimit
}

// queryStatus queries the status of a server on a monitoring connection, which it
// keeps for the next poll unless the query failed. A report that the connection has
// received before may be out of date: if something rests on the report, the server is
// asked again on a new connection, unless that cannot be opened.
func (s *Shell) queryStatus(ctx context.Context, g *groupState, server string) (statement.Status, error) {
	s.mu.Lock()
	conn := g.monitorConns[server]
	delete(g.monitorConns, server)
	s.mu.Unlock()
	if conn != nil && !conn.IsOpen() {
		conn.Close()
		conn = nil
	}
	if conn != nil {
		status, err := s.queryOn(ctx, g, server, conn)
		if err != nil || !status.Repeated || !s.mustConfirm(g, server, status) {
			return status, err
		}
		s.opt.Counters.Add("status_polls_repeated", 1)
		if conn, err = s.dialMonitor(ctx, server); err != nil {
			return status, nil
		}
		return s.queryOn(ctx, g, server, conn)
	}
	conn, err := s.dialMonitor(ctx, server)
	if err != nil {
		return statement.Status{}, err
	}
	return s.queryOn(ctx, g, server, conn)
}

func (s *Shell) mustConfirm(g *groupState, server string, status statement.Status) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.machine.mustConfirm(server, status)
}

func (s *Shell) dialMonitor(ctx context.Context, server string) (statement.Conn, error) {
	t, ok := s.opt.Directory.Target(server)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.BackendUnreachable, "%s is not registered", server)
	}
	t.Customer = monitorCustomer
	return s.opt.Dialer.Dial(ctx, t)
}

// queryOn queries the status on the connection. It keeps the connection in place of an
// older one, or closes it if it is broken.
func (s *Shell) queryOn(ctx context.Context, g *groupState, server string, conn statement.Conn) (statement.Status, error) {
	deadline, _ := ctx.Deadline()
	status, err := conn.Status(deadline)
	if err != nil && verdict.From(err).Reason != verdict.ServerBusy {
		conn.Close()
		return status, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := g.monitorConns[server]; old != nil {
		old.Close()
	}
	g.monitorConns[server] = conn
	return status, err
}

// sendPromotion sends a promotion order and passes the result to the machine.
func (s *Shell) sendPromotion(ctx context.Context, name string, g *groupState, p Promote) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	sent := s.opt.Clock()
	err := s.opt.Promoter.Promote(ctx, Order{Group: name, Server: p.Server, Holder: s.opt.Host, Token: p.Token})
	now := s.opt.Clock()
	s.opt.Log.Info().Str("group", name).Str("server", p.Server).Uint64("token", p.Token).
		Dur("took", now-sent).Err(err).Msg("promotion ordered")
	s.opt.Counters.Add("promotions_ordered", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	g.machine.OnOrderResult(now, p.Token, p.Server, err == nil, errors.Is(err, ErrRejected))
	s.logPhaseChange(now, name, g)
}

// recordSample records a position of the primary. A report may be out of date, so that it
// does not take back a position that an earlier answer has shown.
func (g *groupState) recordSample(at time.Duration, p statement.Position) {
	if at > g.newestSample.polledAt && !p.IsZero() {
		g.newestSample = positionSample{polledAt: at, position: statement.Max(p, g.newestSample.position)}
	}
}

// Primary returns the server that this host may use as the group's primary now, and
// whether there is one. For reads this includes a primary during a planned
// replacement.
func (s *Shell) Primary(name string, read bool) (server string, ok bool) {
	server, ok, _ = s.usablePrimary(name, read)
	return server, ok
}

// usablePrimary implements Primary. If there is no primary but the owner is about to
// get one, it also returns a channel that is closed at the next change of the phase.
func (s *Shell) usablePrimary(name string, read bool) (server string, ok bool, changed <-chan struct{}) {
	_, held := s.opt.Roles.UsableEpoch(Role(name))
	s.mu.Lock()
	defer s.mu.Unlock()
	g, known := s.groups[name]
	if !held || !known {
		return "", false, nil
	}
	if read {
		server, ok = g.machine.ReadPrimary()
	} else {
		server, ok = g.machine.Primary()
	}
	if !ok && g.machine.PrimaryExpected() {
		changed = g.phaseChanged
	}
	return server, ok, changed
}

// AwaitPrimary is like Primary, but while the primary is being changed it waits for
// the new one, for up to limit.
func (s *Shell) AwaitPrimary(ctx context.Context, name string, read bool, limit time.Duration) (server string, ok bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		server, ok, changed := s.usablePrimary(name, read)
		if ok || changed == nil {
			return server, ok
		}
		select {
		case <-changed:
		case <-timer.C:
			return "", false
		case <-ctx.Done():
			return "", false
		}
	}
}

// commitPollInterval is the interval between checks whether an unconfirmed commit has
// reached the server that is being promoted.
const commitPollInterval = 2 * tickInterval

// ConfirmCommit reports whether a commit that the server has acknowledged, at the
// position p or before, may be acknowledged to the client. In a group with synchronous
// replicas it waits for up to limit while the primary is being changed, because the
// commit may be rolled back. A commit that is not confirmed may still be kept.
func (s *Shell) ConfirmCommit(ctx context.Context, name, server string, p statement.Position, limit time.Duration) bool {
	s.mu.Lock()
	synchronous := s.stateOf(name).machine.group.SyncReplicas > 0
	s.mu.Unlock()
	if !synchronous {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		s.mu.Lock()
		kept, pending := s.stateOf(name).machine.KeepsCommit(server, p)
		s.mu.Unlock()
		_, held := s.opt.Roles.UsableEpoch(Role(name))
		if held && kept {
			return true
		}
		if !held || !pending || !clock.Sleep(ctx, commitPollInterval) {
			s.opt.Counters.Add("commits_unconfirmed", 1)
			s.opt.Log.Info().Str("group", name).Str("server", server).Uint64("term", p.Term).Uint64("number", p.Number).
				Bool("held", held).Bool("pending", pending).Msg("commit not confirmed")
			return false
		}
	}
}

// RecordAnswer records that a server answered a statement that was sent at the time
// sent.
func (s *Shell) RecordAnswer(name, server string, sent time.Duration, p statement.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	if !ok {
		return
	}
	g.machine.RecordAnswer(sent, server, p)
	if primary, leading := g.machine.Primary(); leading && primary == server {
		g.recordSample(sent, p)
	}
}

// RecordNotPrimary records that a statement failed because the server was not the
// primary.
func (s *Shell) RecordNotPrimary(name, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[name]; ok {
		g.machine.RecordNotPrimary(s.opt.Clock(), server)
	}
}

// Position returns the newest log position that the server is known to have as the
// group's primary, zero if none is known.
func (s *Shell) Position(name, server string) statement.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[name]; ok {
		return g.machine.Position(server)
	}
	return statement.Position{}
}

// RecordMissingPosition records that the server lacks a position that Position returned
// for it.
func (s *Shell) RecordMissingPosition(name, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[name]; ok {
		g.machine.RecordMissingPosition(server)
	}
}

// State is the state of a group that its owner reports to other hosts.
type State struct {
	Group    string
	Epoch    uint64
	Primary  string
	Position statement.Position
	// Age is the time since the poll or statement that returned Position was sent.
	Age time.Duration
	// TermStarts are the newest promotions that the owner knows.
	TermStarts []TermStart
}

// LearnTermStarts records promotions that the owner of a group has reported, for the
// case that this host takes the group over.
func (s *Shell) LearnTermStarts(name string, starts []TermStart) {
	if len(starts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(name).machine.LearnTermStarts(starts)
}

// States returns the states of the groups that this host owns.
func (s *Shell) States() []State {
	var out []State
	for _, name := range s.opt.Directory.GroupNames() {
		epoch, held := s.opt.Roles.UsableEpoch(Role(name))
		if !held {
			continue
		}
		s.mu.Lock()
		if g, ok := s.groups[name]; ok {
			st := State{Group: name, Epoch: epoch, TermStarts: g.machine.TermStarts()}
			if primary, leading := g.machine.Primary(); leading {
				st.Primary, st.Position = primary, g.newestSample.position
				st.Age = s.opt.Clock() - g.newestSample.polledAt
			}
			out = append(out, st)
		}
		s.mu.Unlock()
	}
	return out
}
