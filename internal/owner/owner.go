package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/group"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// HomeRolePrefix is followed by the name of a backend server in the name of its
// home role.
const HomeRolePrefix = "server/"

// Fleet provides leases, roles and configuration.
type Fleet interface {
	Self() group.Host
	// LeaseUntil returns the end of this host's lease on its monotonic clock.
	LeaseUntil() time.Time
	// LeaseLapsed reports whether the lease of an incarnation of a host has certainly
	// lapsed and can never be renewed.
	LeaseLapsed(host string, incarnation uint64) bool
	// Holder returns the last known live holder of a role.
	Holder(role string) (group.Host, bool)
	// Document returns the configuration in force on this host, nil before the
	// first one has been read.
	Document() *config.Document
	// Subscribe returns a channel that is signalled after a change of roles or
	// configuration.
	Subscribe() <-chan struct{}
}

// Peers calls other hosts.
type Peers interface {
	Position(ctx context.Context, host, group string) (*peerpb.PositionResponse, error)
}

// Database is a monitor connection to a backend server.
type Database interface {
	Status(ctx context.Context) (dbconn.Status, error)
	Fence(ctx context.Context, term uint64) (dbconn.Status, error)
	Promote(ctx context.Context, term uint64) error
	Follow(ctx context.Context, term uint64, primary string) error
	Close() error
}

// Options configure an Owner.
type Options struct {
	Fleet       Fleet
	Table       store.TableService
	Peers       Peers
	Credentials dbconn.Credentials
	Counters    *telemetry.Counters
	Log         *log.Logger
	// Timing defaults to group.DefaultTiming.
	Timing *group.Timing
	// HasOpenTransactions reports whether this host, as the home host of the
	// server, runs transactions on it. A planned promotion waits until they end. If
	// nil, no server is assumed to run transactions.
	HasOpenTransactions func(server string) bool
	// TakeoverDone reports whether this host, as the home host of the server, has
	// evicted the data connections of its predecessor. If nil, the takeover of every
	// server is assumed to be done.
	TakeoverDone func(server string) bool
	// Dial opens a monitor connection. It defaults to dbconn.Dial.
	Dial func(ctx context.Context, address, application string) (Database, error)
}

// Owner runs the group state machines of one host. It is safe for concurrent use.
type Owner struct {
	opt    Options
	timing group.Timing
	start  time.Time
	// self is the identity of this host at the start. The incarnation may change
	// later and is then passed to the machines with the lease.
	self group.Host

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.RWMutex
	groups map[string]*runner
	closed bool
}

// refreshInterval bounds the delay after which a change of roles or configuration
// takes effect if its signal was missed.
const refreshInterval = time.Second

// New returns an Owner. Call Run to start it.
func New(opt Options) *Owner {
	o := &Owner{opt: opt, timing: group.DefaultTiming(), start: time.Now(), groups: map[string]*runner{}}
	if opt.Timing != nil {
		o.timing = *opt.Timing
	}
	if opt.HasOpenTransactions == nil {
		o.opt.HasOpenTransactions = func(string) bool { return false }
	}
	if opt.TakeoverDone == nil {
		o.opt.TakeoverDone = func(string) bool { return true }
	}
	if opt.Dial == nil {
		o.opt.Dial = func(ctx context.Context, address, application string) (Database, error) {
			return dbconn.Dial(ctx, address, opt.Credentials, application)
		}
	}
	if opt.Counters == nil {
		o.opt.Counters = telemetry.NewCounters()
	}
	if opt.Log == nil {
		o.opt.Log = &log.Logger{Level: log.PanicLevel}
	}
	for _, name := range group.Counters() {
		o.opt.Counters.Add(name, 0)
	}
	o.self = opt.Fleet.Self()
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// Run applies changes of roles and configuration until ctx ends. It returns when
// all runners have stopped.
func (o *Owner) Run(ctx context.Context) error {
	defer o.stop()
	changed := o.opt.Fleet.Subscribe()
	timer := time.NewTicker(refreshInterval)
	defer timer.Stop()
	for {
		o.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer.C:
		}
	}
}

func (o *Owner) stop() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.wg.Wait()
}

// refresh starts runners for the groups in which this host is a home host,
// updates the servers of all runners, and stops the runners of groups that are
// idle or no longer in the inventory.
func (o *Owner) refresh() {
	doc := o.opt.Fleet.Document()
	if doc == nil {
		return
	}
	listed := map[string]bool{}
	for _, g := range doc.Inventory.Groups {
		listed[g.Name] = true
		servers := o.servers(doc, g)
		isHome := o.isHomeOfAny(servers)
		r := o.runner(g.Name)
		if r == nil && isHome {
			r = o.startRunner(g.Name)
		}
		if r != nil {
			r.setServers(g, servers, isHome)
		}
	}
	o.mu.Lock()
	for name, r := range o.groups {
		if !listed[name] || r.idle() {
			delete(o.groups, name)
			r.cancel()
		}
	}
	o.mu.Unlock()
}

func (o *Owner) refreshGroup(r *runner) {
	doc := o.opt.Fleet.Document()
	if doc == nil {
		return
	}
	for _, g := range doc.Inventory.Groups {
		if g.Name == r.name {
			servers := o.servers(doc, g)
			r.setServers(g, servers, o.isHomeOfAny(servers))
		}
	}
}

func (o *Owner) servers(doc *config.Document, g config.Group) []group.Server {
	list := make([]group.Server, 0, len(g.Servers))
	for _, s := range g.Servers {
		home, _ := o.opt.Fleet.Holder(HomeRolePrefix + s.Name)
		list = append(list, group.Server{
			Name: s.Name, Zone: s.Zone, Home: home,
			OutOfService:        s.Leaving || slices.Contains(doc.Rules.ZonesOut, s.Zone),
			HasOpenTransactions: o.opt.HasOpenTransactions(s.Name),
		})
	}
	return list
}

func (o *Owner) isHomeOfAny(servers []group.Server) bool {
	return slices.ContainsFunc(servers, func(s group.Server) bool { return s.Home.Name == o.self.Name })
}

func (o *Owner) runner(name string) *runner {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.groups[name]
}

func (o *Owner) startRunner(name string) *runner {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.groups[name]; r != nil {
		return r
	}
	if o.closed {
		return nil
	}
	r := newRunner(o, name)
	o.groups[name] = r
	o.wg.Go(r.run)
	return r
}

// findOrStartRunner returns the runner of a group and starts it if there is none:
// another host may request the position of a group in which this host has no home
// role. It returns nil if the group is not in the inventory.
func (o *Owner) findOrStartRunner(name string) *runner {
	if r := o.runner(name); r != nil {
		return r
	}
	doc := o.opt.Fleet.Document()
	if doc == nil {
		return nil
	}
	if _, ok := doc.Group(name); !ok {
		return nil
	}
	r := o.startRunner(name)
	if r != nil {
		o.refreshGroup(r)
	}
	return r
}

func noPrimaryError(name string) error {
	return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %s has no open primary on this host", name)
}

// WritableTerm returns the term in which the server may be used as the group's
// primary now, or a NotRun error.
func (o *Owner) WritableTerm(name, server string) (uint64, error) {
	r := o.runner(name)
	if r == nil {
		return 0, noPrimaryError(name)
	}
	return r.writableTerm(server)
}

// ConfirmWrite returns nil once a commit at the position may be acknowledged, or
// a MayHaveRun error.
func (o *Owner) ConfirmWrite(ctx context.Context, name string, term, position uint64) error {
	return o.confirm(ctx, name, &waiter{kind: waitWrite, term: term, position: position})
}

// ConfirmRead returns nil once the result of a read on the primary may be
// returned to the client, or a MayHaveRun error. The read must have been sent
// after the call to WritableTerm that returned the term.
func (o *Owner) ConfirmRead(ctx context.Context, name string, term uint64) error {
	return o.confirm(ctx, name, &waiter{kind: waitRead, term: term})
}

// confirmTimeout applies if the caller of a confirmation sets no earlier deadline.
const confirmTimeout = time.Duration(config.DefaultDeadline)

func (o *Owner) confirm(ctx context.Context, name string, w *waiter) error {
	r := o.runner(name)
	if r == nil {
		return verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "group %s is not active on this host", name)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	switch r.awaitDecision(ctx, w) {
	case group.Acknowledge:
		return nil
	case group.AuthorityLost:
		return verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "term %d of group %s has ended", w.term, name)
	default:
		o.opt.Counters.Add("confirm_overdue", 1)
		return verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "term %d of group %s was not confirmed before the deadline", w.term, name)
	}
}

// DataAge returns the age of the data of a replica that has applied the log up to the
// position. It returns false if the age is unknown or the term is not the current
// one. The caller must also check that the database reports the role replica: a
// detached database may hold log entries that a failover has discarded.
func (o *Owner) DataAge(name string, term, position uint64) (time.Duration, bool) {
	r := o.runner(name)
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.DataAge(o.now(), term, position)
}

// Primary returns the primary of a group and its term. It returns false while the
// primary is not known to be open. Only hosts with a home role in the group track
// its primary: in a fleet of full size every host uses hundreds of groups, and
// tracking all of them would exceed the network budget of the control plane.
func (o *Owner) Primary(name string) (server string, term uint64, ok bool) {
	r := o.runner(name)
	if r == nil {
		return "", 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Primary()
}

// LastGap returns the durations of the phases of the last failover that this host
// observed.
func (o *Owner) LastGap(name string) group.Gap {
	r := o.runner(name)
	if r == nil {
		return group.Gap{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.LastGap()
}

// now returns the time since the start on the monotonic clock, which is the clock
// of the machines.
func (o *Owner) now() time.Duration { return time.Since(o.start) }

// ErrUnknownGroup is returned by Position for a group that is not in the inventory.
var ErrUnknownGroup = errors.New("owner: unknown group")

// positionTimeout bounds the wait for a status of the primary. It is shorter than
// the timeout of a peer's request, so that a peer does not treat an owner as
// unresponsive when only its primary does not answer.
const positionTimeout = peerRequestTimeout * 3 / 5

// Position returns this host's report on the group's primary. On the owner, the
// position covers every commit acknowledged to the customer before the call, or
// to any customer if customer is empty. The error is ErrUnknownGroup if the group
// is not in the inventory.
func (o *Owner) Position(ctx context.Context, name, customer string) (*peerpb.PositionResponse, error) {
	r := o.findOrStartRunner(name)
	if r == nil {
		return nil, errors.Wrapf(ErrUnknownGroup, "%q", name)
	}
	r.step(group.ReportRequested{})
	if customer != "" {
		if resp, ok := r.committedPosition(customer); ok {
			return resp, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, positionTimeout)
	defer cancel()
	takeoverDone := r.takeoverDone()
	w := &waiter{kind: waitPosition}
	if r.awaitDecision(ctx, w) == group.Acknowledge {
		if takeoverDone {
			r.setBasePosition(w.sample)
		}
		return r.response(&w.sample), nil
	}
	return r.response(nil), nil
}
