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

// RolePrefix precedes the name of a backend server in the name of its home role.
const RolePrefix = "server/"

// Fleet is the part of the fleet that the owner needs.
type Fleet interface {
	Self() group.Host
	// LeaseUntil is the end of the own host lease on the own monotonic clock.
	LeaseUntil() time.Time
	// Lapsed reports whether the lease of that incarnation must have lapsed and is
	// never renewed again.
	Lapsed(host string, incarnation uint64) bool
	// Holder returns the last known live holder of a role.
	Holder(role string) (group.Host, bool)
	// Document is the configuration in force here, nil before the first.
	Document() *config.Document
	// Subscribe returns a channel that is signalled after a change of roles or
	// configuration.
	Subscribe() <-chan struct{}
}

// Peers asks other hosts.
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

// Options name what an Owner needs.
type Options struct {
	Fleet       Fleet
	Table       store.TableService
	Peers       Peers
	Credentials dbconn.Credentials
	Counters    *telemetry.Counters
	Log         *log.Logger
	// Timing defaults to group.DefaultTiming.
	Timing *group.Timing
	// Busy reports whether the home host runs transactions on a server of its
	// own. A planned promotion waits for them. Nil means never.
	Busy func(server string) bool
	// TakenOver reports whether the home host has evicted the data connections
	// of its predecessor at a server of its own. Nil means always.
	TakenOver func(server string) bool
	// Dial opens a monitor connection. The default is dbconn.Dial.
	Dial func(ctx context.Context, address, application string) (Database, error)
}

// Owner runs the groups of one host.
type Owner struct {
	opt    Options
	timing group.Timing
	start  time.Time
	// self is the identity at the start; the incarnation may change later.
	self group.Host

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.RWMutex
	groups map[string]*runner
	closed bool
}

// refreshInterval bounds the time until a missed signal of the fleet is noticed.
const refreshInterval = time.Second

// New returns an Owner. It does nothing until Run.
func New(opt Options) *Owner {
	o := &Owner{opt: opt, timing: group.DefaultTiming(), start: time.Now(), groups: map[string]*runner{}}
	if opt.Timing != nil {
		o.timing = *opt.Timing
	}
	if opt.Busy == nil {
		o.opt.Busy = func(string) bool { return false }
	}
	if opt.TakenOver == nil {
		o.opt.TakenOver = func(string) bool { return true }
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

// Run follows the fleet's roles and configuration until ctx ends.
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
	o.running.Wait()
}

// refresh starts the groups of this host, passes their servers on and ends
// those that are no longer needed.
func (o *Owner) refresh() {
	doc := o.opt.Fleet.Document()
	if doc == nil {
		return
	}
	listed := map[string]bool{}
	for _, g := range doc.Inventory.Groups {
		listed[g.Name] = true
		servers := o.servers(doc, g)
		home := o.homes(servers)
		r := o.runner(g.Name)
		if r == nil && home {
			r = o.startRunner(g.Name)
		}
		if r != nil {
			r.setServers(g, servers, home)
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
			r.setServers(g, servers, o.homes(servers))
		}
	}
}

func (o *Owner) servers(doc *config.Document, g config.Group) []group.Server {
	list := make([]group.Server, 0, len(g.Servers))
	for _, s := range g.Servers {
		home, _ := o.opt.Fleet.Holder(RolePrefix + s.Name)
		list = append(list, group.Server{
			Name: s.Name, Zone: s.Zone, Home: home,
			Out:  s.Leaving || slices.Contains(doc.Rules.ZonesOut, s.Zone),
			Busy: o.opt.Busy(s.Name),
		})
	}
	return list
}

func (o *Owner) homes(servers []group.Server) bool {
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
	o.running.Go(r.run)
	return r
}

// needed returns the runner of a group, started if the group is in the
// inventory: another host may ask about a group that has no home here.
func (o *Owner) needed(name string) *runner {
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

func noPrimary(name string) error {
	return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %s has no open primary here", name)
}

// Writable returns the term in which the server may be used as the group's
// primary now, or a NotRun error.
func (o *Owner) Writable(name, server string) (uint64, error) {
	r := o.runner(name)
	if r == nil {
		return 0, noPrimary(name)
	}
	return r.writable(server)
}

// ConfirmWrite returns once a commit at the position may be acknowledged.
func (o *Owner) ConfirmWrite(ctx context.Context, name string, term, position uint64) error {
	return o.confirm(ctx, name, &waiter{kind: waitWrite, term: term, position: position})
}

// ConfirmRead returns once the answer to a read on the primary, sent after the
// call to Writable, may be passed on.
func (o *Owner) ConfirmRead(ctx context.Context, name string, term uint64) error {
	return o.confirm(ctx, name, &waiter{kind: waitRead, term: term})
}

// confirmLimit bounds a confirmation whose caller sets no earlier deadline.
const confirmLimit = time.Duration(config.DefaultDeadline)

func (o *Owner) confirm(ctx context.Context, name string, w *waiter) error {
	r := o.runner(name)
	if r == nil {
		return verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "group %s is not served here", name)
	}
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	switch r.wait(ctx, w) {
	case group.Acknowledge:
		return nil
	case group.Lost:
		return verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "term %d of group %s has ended", w.term, name)
	default:
		o.opt.Counters.Add("confirm_overdue", 1)
		return verdict.New(verdict.MayHaveRun, verdict.AnswerOverdue, "term %d of group %s was not confirmed in time", w.term, name)
	}
}

// Age returns the age of the data of a replica that has applied the position,
// false when it is unknown or of another term. The caller must also check that
// the database reports the role replica: a detached one may hold a discarded
// log tail.
func (o *Owner) Age(name string, term, position uint64) (time.Duration, bool) {
	r := o.runner(name)
	if r == nil {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Age(o.now(), term, position)
}

// Primary returns the primary of a group, false while it is not known to be
// open. Only hosts with a home role in the group follow its primary: at full
// size every host uses hundreds of groups, and following all of them would
// exceed the network budget of the control plane.
func (o *Owner) Primary(name string) (server string, term uint64, ok bool) {
	r := o.runner(name)
	if r == nil {
		return "", 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Primary()
}

// LastGap returns the parts of the last failover gap that this host saw.
func (o *Owner) LastGap(name string) group.Gap {
	r := o.runner(name)
	if r == nil {
		return group.Gap{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.LastGap()
}

// now is the time on the machine's clock, which is monotonic.
func (o *Owner) now() time.Duration { return time.Since(o.start) }

// ErrUnknownGroup reports a group that the inventory does not list.
var ErrUnknownGroup = errors.New("owner: unknown group")

// positionWait bounds the wait for a status of the primary. It is below the
// time-out of a peer's question, so that an owner whose primary is silent is
// not taken for a silent owner.
const positionWait = askTimeout * 3 / 5

// Position returns what this host knows about the group's primary. At the owner
// the position covers every commit that was acknowledged to the customer before
// the call, or every commit at all when customer is empty.
func (o *Owner) Position(ctx context.Context, name, customer string) (*peerpb.PositionResponse, error) {
	r := o.needed(name)
	if r == nil {
		return nil, errors.Wrapf(ErrUnknownGroup, "%q", name)
	}
	r.step(group.Asked{})
	if customer != "" {
		if resp, ok := r.committed(customer); ok {
			return resp, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, positionWait)
	defer cancel()
	takenOver := r.takenOver()
	w := &waiter{kind: waitPosition}
	if r.wait(ctx, w) == group.Acknowledge {
		if takenOver {
			r.setBase(w.sample)
		}
		return r.response(&w.sample), nil
	}
	return r.response(nil), nil
}
