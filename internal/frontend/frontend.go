package frontend

import (
	"container/list"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/admission"
	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/freshness"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Fleet locates hosts and sends statements to them.
type Fleet interface {
	// View returns the backend servers of a group and their home hosts.
	View(group string) routing.GroupView
	// Owner returns the host that owns the group.
	Owner(group string) (routing.Host, bool)
	// Execute runs a statement at a host. An error contains a verdict.
	Execute(ctx context.Context, host routing.Host, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error)
}

// Limiter limits the rate of operations of each customer.
type Limiter interface {
	// Admit takes a token for one operation. It returns an error when the operation
	// exceeds the customer's rate.
	Admit(ctx context.Context, customer string) error
	// Refund refunds the token of an admitted operation of which nothing ran.
	Refund(customer string)
}

// Options configure a Frontend.
type Options struct {
	Listener net.Listener
	// NewClient wraps an accepted connection in its client protocol.
	NewClient func(net.Conn, *budget.Lease) statement.Client
	// Budget bounds the memory of clients; nil for no bound.
	Budget   *budget.Budget
	Snapshot func() *catalog.Snapshot
	// KeysFresh reports whether the configuration was confirmed recently enough to
	// accept keys, and how long ago it was confirmed.
	KeysFresh func() (fresh bool, age time.Duration)
	Fleet     Fleet
	Limiter   Limiter
	Clock     clock.Clock
	Log       *log.Logger
	Counters  *telemetry.Counters
	Latencies *telemetry.Latencies
	// Loads holds the known loads of backend servers. It is empty unless home hosts
	// report them.
	Loads *serverload.Table
	// ContentionControl refuses statements that home hosts cannot serve in time, by the
	// known loads, and tells home hosts the latency targets.
	ContentionControl bool
	// RouteByLoad orders the servers for reads by Loads.
	RouteByLoad bool
	// MaxClients limits the number of open sessions.
	MaxClients int
	// AbortAfter is the time after the start of a planned stop at which open
	// transactions are aborted.
	AbortAfter time.Duration
}

const (
	// acceptRetryDelay is the pause after a failed accept. Accept fails, for example,
	// when the process has no free file descriptor.
	acceptRetryDelay = 20 * time.Millisecond
	// idleCloseDelay is the time for which a planned stop leaves idle sessions open.
	// The load balancer probes once a second and sends clients to other hosts after
	// two failed probes.
	idleCloseDelay = 2200 * time.Millisecond
	// idleCloseSpread is the period over which idle sessions are closed, so that
	// their clients do not all reconnect at once.
	idleCloseSpread = 600 * time.Millisecond
	// drainPollInterval is the interval at which a planned stop checks whether
	// sessions are still open.
	drainPollInterval = 25 * time.Millisecond
)

// Frontend serves the client sessions of one host.
type Frontend struct {
	opt Options

	mu       sync.Mutex
	sessions map[*session]struct{}
	// starting holds the sessions without a first message, oldest first, and byCustomer
	// the number of accepted sessions of each customer.
	starting    *list.List
	byCustomer  map[string]int
	balancer    *routing.Balancer
	loadOrder   *routing.LoadOrder
	retryBudget *routing.RetryBudget
	throttle    *admission.Throttle
	samples     *freshness.Samples

	// The phases of a planned stop: closing is set when idle sessions have to end,
	// aborting when sessions with an open transaction have to end, too.
	closing, aborting bool
}

// New returns a Frontend that accepts sessions once Run is called.
func New(opt Options) *Frontend {
	if opt.Loads == nil {
		opt.Loads = serverload.NewTable()
	}
	balancer := routing.NewBalancer(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)))
	return &Frontend{
		opt: opt, sessions: map[*session]struct{}{}, starting: list.New(), byCustomer: map[string]int{}, samples: freshness.New(),
		balancer: balancer, loadOrder: routing.NewLoadOrder(balancer, opt.Loads),
		retryBudget: routing.NewRetryBudget(), throttle: admission.NewThrottle(),
	}
}

// Run accepts sessions until the listener is closed. It always returns nil.
func (f *Frontend) Run() error {
	for {
		nc, err := f.opt.Listener.Accept()
		if err != nil {
			if isClosed(err) {
				return nil
			}
			f.opt.Counters.Add("accept_failures", 1)
			f.opt.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		f.serve(nc)
	}
}

const (
	// startingShare is the share of MaxClients that may be connected without having sent
	// their first message. The oldest one is closed for a new one, once it has had
	// startingGrace: after a pause of the process, many ordinary clients start at once.
	startingShare = 0.25
	startingGrace = time.Second
	// customerShare is the share of MaxClients that one customer's sessions may take.
	customerShare = 0.75
)

func (f *Frontend) serve(conn net.Conn) {
	address := budget.AddressOwner(conn.RemoteAddr())
	lease := f.opt.Budget.Open(address, func() { _ = conn.Close() })
	s := newSession(f, f.opt.NewClient(conn, lease), lease)
	s.address = address
	stalest, ok := f.register(s)
	if stalest != nil {
		f.opt.Budget.RecordClosed("starting_sessions_closed", stalest.address)
		stalest.client.Close()
	}
	if !ok {
		f.opt.Counters.CountRefusal(verdict.TooManyClients)
		s.client.Close()
		return
	}
	f.opt.Counters.Add("sessions_opened", 1)
	go func() {
		defer func() {
			s.client.Close()
			s.lease.Close()
			f.unregister(s)
		}()
		s.serve()
	}()
}

// register adds a new session, unless there are too many. stalest is the session that has
// to be closed for it, or nil.
func (f *Frontend) register(s *session) (stalest *session, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opt.Clock()
	full := len(f.sessions) >= f.opt.MaxClients
	if oldest := f.starting.Front(); oldest != nil && (full || f.starting.Len() >= f.share(startingShare)) {
		if s := oldest.Value.(*session); now-s.connected >= startingGrace {
			stalest = s
			f.removeStarting(s)
			full = false
		}
	}
	if full {
		return nil, false
	}
	s.connected = now
	f.sessions[s] = struct{}{}
	s.startingEntry = f.starting.PushBack(s)
	return stalest, true
}

// share returns a share of MaxClients.
func (f *Frontend) share(of float64) int { return max(1, int(of*float64(f.opt.MaxClients))) }

// accept counts the session as one of its customer. It reports whether the customer may
// have another one.
func (f *Frontend) accept(s *session) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.removeStarting(s)
	if f.byCustomer[s.customer] >= f.share(customerShare) {
		return false
	}
	f.byCustomer[s.customer]++
	s.countedAs = s.customer
	return true
}

func (f *Frontend) removeStarting(s *session) {
	if s.startingEntry != nil {
		f.starting.Remove(s.startingEntry)
		s.startingEntry = nil
	}
}

func (f *Frontend) unregister(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.sessions, s)
	f.removeStarting(s)
	if s.countedAs == "" {
		return
	}
	if f.byCustomer[s.countedAs]--; f.byCustomer[s.countedAs] == 0 {
		delete(f.byCustomer, s.countedAs)
	}
}

// Observe adds a sample of the log position of a group: every commit acknowledged
// before at is at or before p, see freshness.Samples.
func (f *Frontend) Observe(group string, at time.Duration, p statement.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.samples.Observe(group, at, p)
}

// NewestSampleTime returns the time of the newest log position sample of a group, 0
// when there is none.
func (f *Frontend) NewestSampleTime(group string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.samples.Newest(group)
}

// Sessions returns the number of open sessions.
func (f *Frontend) Sessions() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sessions)
}

// Drain ends all sessions in a planned stop. Idle sessions are closed when the load
// balancer has stopped sending clients, sessions in a transaction when the
// transaction ends or AbortAfter has passed. Drain closes the listener at that time, or
// once no session is open. It returns when all sessions have ended or ctx is cancelled.
func (f *Frontend) Drain(ctx context.Context) {
	began := f.opt.Clock()
	clock.Sleep(ctx, idleCloseDelay)
	f.signalSessions(ctx, func() { f.closing = true })
	f.awaitNoSessions(ctx, began)
	// Sessions accepted before the listener is closed are still served; the second
	// wait below covers them.
	f.closeListener()
	clock.Sleep(ctx, drainPollInterval)
	f.awaitNoSessions(ctx, began)
}

// closeListener closes the listener, unless that has been done.
func (f *Frontend) closeListener() {
	if err := f.opt.Listener.Close(); err != nil && !isClosed(err) {
		f.opt.Log.Warn().Err(err).Msg("closing the client listener failed")
	}
}

// awaitNoSessions waits until no session is open or ctx is cancelled. Once AbortAfter has
// passed since began, it closes the listener, so that the number of sessions can reach 0
// while clients keep connecting, and aborts the remaining sessions.
func (f *Frontend) awaitNoSessions(ctx context.Context, began time.Duration) {
	for f.Sessions() > 0 && ctx.Err() == nil {
		if f.opt.Clock()-began >= f.opt.AbortAfter {
			f.closeListener()
			f.signalSessions(ctx, func() { f.aborting = true })
		}
		clock.Sleep(ctx, drainPollInterval)
	}
}

// signalSessions calls setPhase under the lock and interrupts the waits of all
// sessions, so that they check the new phase of the stop. Until sessions are aborted
// it spreads the interrupts over idleCloseSpread.
func (f *Frontend) signalSessions(ctx context.Context, setPhase func()) {
	f.mu.Lock()
	setPhase()
	all := make([]*session, 0, len(f.sessions))
	for s := range f.sessions {
		all = append(all, s)
	}
	f.mu.Unlock()
	pause := idleCloseSpread / time.Duration(len(all)+1)
	for _, s := range all {
		s.client.Interrupt()
		if !f.isAborting() {
			clock.Sleep(ctx, pause)
		}
	}
}

func (f *Frontend) isClosing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closing
}

func (f *Frontend) isAborting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.aborting
}
