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
	// tick is the interval at which the machines move on. It is well below the
	// shortest time that they wait for.
	tick = 25 * time.Millisecond
	// pollTimeout bounds one status poll, a new connection included.
	pollTimeout = 400 * time.Millisecond
	// orderTimeout bounds the wait for the answer to a promotion.
	orderTimeout = 600 * time.Millisecond
)

// monitorCustomer is the name under which the connections of the status polls
// are opened. They run no statement of a caller.
const monitorCustomer = "cranberryhinge-monitor"

// Order is the order to promote a server.
type Order struct {
	Group, Server string
	// Holder is the host that gives the order, Token the epoch of its role.
	Holder string
	Token  uint64
}

// ErrRejected reports that an order was rejected: a newer one was given, or the
// server is not running.
var ErrRejected = errors.New("failover: the promotion was rejected")

// Promoter gives promotion orders. After an error other than ErrRejected the
// order may still be carried out later.
type Promoter interface {
	Promote(ctx context.Context, o Order) error
}

// Roles tells which groups are owned here.
type Roles interface {
	// Held returns the epoch of a role that may be used now.
	Held(role string) (epoch uint64, ok bool)
	// Claimed returns the epoch of a role that may be used now or once its last
	// holder must have stopped. Promotions are ordered in that time, too: until
	// the role may be used, nothing is acknowledged at the new primary.
	Claimed(role string) (epoch uint64, ok bool)
	Advance(role string)
}

// Role returns the name of the role of a group's owner.
func Role(group string) string { return "group/" + group }

// Directory knows the servers of the groups.
type Directory interface {
	GroupNames() []string
	Members(group string) []Member
	// Target returns how to connect to a server, false when it is not known.
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
	// Latencies takes the parts of each change of a primary, by phase, and the
	// whole as GapLatency.
	Latencies *telemetry.Latencies
}

// GapLatency names the histogram of the times from the loss of a primary, or of
// its owner, to the next use of one.
const GapLatency = "failover_gap"

// Shell supervises the groups that this host owns.
type Shell struct {
	opt Options

	mu     sync.Mutex
	groups map[string]*supervised
}

type supervised struct {
	machine *Machine
	shown   Phase
	since   time.Duration
	// without is the time since which the group has had no primary here.
	without time.Duration
	samples sample
	// changed is closed at the next change of phase.
	changed  chan struct{}
	monitors map[string]statement.Conn
}

// sample is the newest known position of the primary and the time at which it
// was asked.
type sample struct {
	at       time.Duration
	position statement.Position
}

// New returns a Shell. Nothing happens before Run.
func New(opt Options) *Shell { return &Shell{opt: opt, groups: map[string]*supervised{}} }

// Run supervises until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		for _, name := range s.opt.Directory.GroupNames() {
			s.step(ctx, name)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Shell) group(name string) *supervised {
	g, ok := s.groups[name]
	if !ok {
		g = &supervised{machine: NewMachine(), changed: make(chan struct{}), monitors: map[string]statement.Conn{}}
		s.groups[name] = g
	}
	return g
}

// step moves one group on and carries out what follows.
func (s *Shell) step(ctx context.Context, name string) {
	epoch, _ := s.opt.Roles.Claimed(Role(name))
	now := s.opt.Clock()
	s.mu.Lock()
	g := s.group(name)
	if epoch == 0 && g.machine.Phase() == Idle {
		s.mu.Unlock()
		return
	}
	actions := append([]Action(nil), g.machine.Tick(now, epoch, s.opt.Directory.Members(name))...)
	s.report(now, name, g)
	s.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case Poll:
			go s.poll(ctx, name, g, a.Server)
		case Promote:
			go s.promote(ctx, name, g, a)
		case NextEpoch:
			s.opt.Roles.Advance(Role(name))
		}
	}
}

// report logs a change of phase. The caller holds the lock.
func (s *Shell) report(now time.Duration, name string, g *supervised) {
	p := g.machine.Phase()
	if p == g.shown {
		return
	}
	s.opt.Log.Info().Str("group", name).Str("from", g.shown.String()).Str("to", p.String()).
		Dur("after", now-g.since).Uint64("epoch", g.machine.epoch).Str("primary", g.machine.primary).
		Str("target", g.machine.target).Uint64("term", g.machine.lastPosition.Term).
		Uint64("number", g.machine.lastPosition.Number).Str("why", g.machine.Why).Msg("group supervision")
	s.opt.Counters.Add("failover_"+p.String(), 1)
	s.measure(now, g, p)
	g.shown, g.since = p, now
	close(g.changed)
	g.changed = make(chan struct{})
	if p == Leading {
		g.samples = sample{}
	}
}

// measure records how long the phase before p took, and the whole gap at its end.
func (s *Shell) measure(now time.Duration, g *supervised, p Phase) {
	if g.shown == Idle || g.shown == Leading {
		g.without = now
		return
	}
	s.opt.Latencies.Record("failover_"+g.shown.String(), now-g.since)
	if p == Leading {
		s.opt.Latencies.Record(GapLatency, now-g.without)
	}
}

// poll asks a server for its status.
func (s *Shell) poll(ctx context.Context, name string, g *supervised, server string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	sent := s.opt.Clock()
	status, err := s.status(ctx, g, server)
	refused := err != nil && verdict.From(err).Reason == verdict.BackendUnreachable && s.opt.Clock()-sent < pollTimeout/2
	s.opt.Counters.Add("status_polls", 1)
	now := s.opt.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil && verdict.From(err).Reason == verdict.ServerBusy {
		// A server that is too busy to say how it is, is alive.
		delete(g.machine.polling, server)
		g.machine.Alive(sent, server, statement.Position{})
		return
	}
	if err != nil {
		s.opt.Log.Info().Str("group", name).Str("server", server).Err(err).Msg("status poll failed")
	}
	g.machine.Polled(now, sent, server, status, err, refused)
	if primary, ok := g.machine.Primary(); ok && primary == server && err == nil {
		g.observe(sent, status.Position)
	}
	s.report(now, name, g)
}

func (s *Shell) status(ctx context.Context, g *supervised, server string) (statement.Status, error) {
	s.mu.Lock()
	conn := g.monitors[server]
	delete(g.monitors, server)
	s.mu.Unlock()
	if conn == nil {
		t, ok := s.opt.Directory.Target(server)
		if !ok {
			return statement.Status{}, verdict.New(verdict.NotRun, verdict.BackendUnreachable, "%s is not registered", server)
		}
		t.Customer = monitorCustomer
		var err error
		if conn, err = s.opt.Dialer.Dial(ctx, t); err != nil {
			return statement.Status{}, err
		}
	}
	deadline, _ := ctx.Deadline()
	status, err := conn.Status(deadline)
	if err != nil && verdict.From(err).Reason != verdict.ServerBusy {
		conn.Close()
		return status, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := g.monitors[server]; old != nil {
		old.Close()
	}
	g.monitors[server] = conn
	return status, err
}

// promote gives an order and takes its answer in.
func (s *Shell) promote(ctx context.Context, name string, g *supervised, p Promote) {
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
	g.machine.Ordered(now, p.Token, p.Server, err == nil, errors.Is(err, ErrRejected))
	s.report(now, name, g)
}

func (g *supervised) observe(at time.Duration, p statement.Position) {
	if at > g.samples.at && !p.IsZero() {
		g.samples = sample{at: at, position: p}
	}
}

// Primary returns the server that this host may use as the group's primary now.
// For reads that is also a server which is being replaced as planned.
func (s *Shell) Primary(name string, read bool) (server string, ok bool) {
	server, ok, _ = s.primary(name, read)
	return server, ok
}

// primary also returns what to wait for while a primary can be expected soon.
func (s *Shell) primary(name string, read bool) (server string, ok bool, change <-chan struct{}) {
	_, held := s.opt.Roles.Held(Role(name))
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
	if !ok && g.machine.Changing() {
		change = g.changed
	}
	return server, ok, change
}

// AwaitPrimary is Primary, but waits for up to the time while the owner is
// changing the primary.
func (s *Shell) AwaitPrimary(ctx context.Context, name string, read bool, limit time.Duration) (server string, ok bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		server, ok, change := s.primary(name, read)
		if ok || change == nil {
			return server, ok
		}
		select {
		case <-change:
		case <-timer.C:
			return "", false
		case <-ctx.Done():
			return "", false
		}
	}
}

// Alive notes an answer of a server to a statement that was sent at the time.
func (s *Shell) Alive(name, server string, sent time.Duration, p statement.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.groups[name]
	if !ok {
		return
	}
	g.machine.Alive(sent, server, p)
	if primary, leading := g.machine.Primary(); leading && primary == server {
		g.observe(sent, p)
	}
}

// LostLead notes that a statement found the primary without the lead.
func (s *Shell) LostLead(name, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, ok := s.groups[name]; ok {
		g.machine.LostLead(s.opt.Clock(), server)
	}
}

// State is what the owner of a group tells other hosts.
type State struct {
	Group    string
	Epoch    uint64
	Primary  string
	Position statement.Position
	// Age is the time since the primary was asked for the position.
	Age time.Duration
}

// States returns the states of the groups that this host owns.
func (s *Shell) States() []State {
	var out []State
	for _, name := range s.opt.Directory.GroupNames() {
		epoch, held := s.opt.Roles.Held(Role(name))
		if !held {
			continue
		}
		s.mu.Lock()
		if g, ok := s.groups[name]; ok {
			st := State{Group: name, Epoch: epoch}
			if primary, leading := g.machine.Primary(); leading {
				st.Primary, st.Position = primary, g.samples.position
				st.Age = s.opt.Clock() - g.samples.at
			}
			out = append(out, st)
		}
		s.mu.Unlock()
	}
	return out
}
