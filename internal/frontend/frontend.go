package frontend

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/freshness"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Fleet reaches home hosts.
type Fleet interface {
	// View returns the servers of a group and their home hosts.
	View(group string) routing.View
	// Owner returns the host that owns the group.
	Owner(group string) (routing.Host, bool)
	// Execute runs a statement at a host. An error carries a verdict.
	Execute(ctx context.Context, host routing.Host, req *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error)
}

// Limiter admits operations within a customer's rate.
type Limiter interface {
	Admit(ctx context.Context, customer string) error
	// Return gives back the token of an operation that was admitted and of which
	// nothing ran.
	Return(customer string)
}

// Options configure a Frontend.
type Options struct {
	Listener  net.Listener
	NewClient func(net.Conn) statement.Client
	Snapshot  func() *catalog.Snapshot
	// KeysFresh reports whether keys may be accepted, and the age of the
	// confirmation of the configuration.
	KeysFresh  func() (fresh bool, age time.Duration)
	Fleet      Fleet
	Limiter    Limiter
	Clock      clock.Clock
	Log        *log.Logger
	Counters   *telemetry.Counters
	Latencies  *telemetry.Latencies
	MaxClients int
	// AbortAfter is how long after the start of a planned stop open transactions
	// may go on.
	AbortAfter time.Duration
}

const (
	// acceptPause is the pause after a failed accept, such as for want of
	// descriptors.
	acceptPause = 20 * time.Millisecond
	// closeIdleAfter is how long a planned stop leaves idle sessions open. The
	// balancer needs two missed probes, a second apart, to send callers elsewhere.
	closeIdleAfter = 2200 * time.Millisecond
	// closeSpread spreads the end of idle sessions, so that their callers do not
	// all return at once.
	closeSpread = 600 * time.Millisecond
	// drainPoll is the interval at which the end of the sessions is looked for.
	drainPoll = 25 * time.Millisecond
)

// Frontend serves sessions.
type Frontend struct {
	opt Options

	mu       sync.Mutex
	sessions map[*session]struct{}
	board    *routing.Board
	budget   *routing.Budget
	samples  *freshness.Samples

	// closing is set once idle sessions are to end, aborting once open
	// transactions are.
	closing, aborting bool
}

// New returns a Frontend. Run starts it.
func New(opt Options) *Frontend {
	return &Frontend{
		opt: opt, sessions: map[*session]struct{}{}, samples: freshness.New(),
		board:  routing.NewBoard(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))),
		budget: routing.NewBudget(),
	}
}

// Run accepts sessions until the listener is closed.
func (f *Frontend) Run() error {
	for {
		nc, err := f.opt.Listener.Accept()
		if err != nil {
			if isClosed(err) {
				return nil
			}
			f.opt.Counters.Add("accept_failures", 1)
			f.opt.Log.Warn().Err(err).Msg("accept failed")
			time.Sleep(acceptPause)
			continue
		}
		f.serve(nc)
	}
}

func (f *Frontend) serve(nc net.Conn) {
	s := newSession(f, f.opt.NewClient(nc))
	f.mu.Lock()
	full := len(f.sessions) >= f.opt.MaxClients
	if !full {
		f.sessions[s] = struct{}{}
	}
	f.mu.Unlock()
	if full {
		f.opt.Counters.Refused(verdict.TooManyClients)
		s.client.Close()
		return
	}
	f.opt.Counters.Add("sessions_opened", 1)
	go func() {
		defer func() {
			s.client.Close()
			f.mu.Lock()
			delete(f.sessions, s)
			f.mu.Unlock()
		}()
		s.serve()
	}()
}

// Observe adds a sample of a group's position, see freshness.Samples.
func (f *Frontend) Observe(group string, at time.Duration, p statement.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.samples.Observe(group, at, p)
}

// NewestSample returns the time of the newest sample of a group.
func (f *Frontend) NewestSample(group string) time.Duration {
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

// Drain ends the sessions of a planned stop: those that are idle once the
// balancer sends no more, those in a transaction when it ends or AbortAfter has
// passed. It returns when all have ended, or when ctx ends.
func (f *Frontend) Drain(ctx context.Context) {
	began := f.opt.Clock()
	clock.Sleep(ctx, closeIdleAfter)
	f.endSessions(ctx, func() { f.closing = true })
	f.awaitEnd(ctx, began)
	// A session that is accepted up to here is still served.
	if err := f.opt.Listener.Close(); err != nil {
		f.opt.Log.Warn().Err(err).Msg("client listener not closed")
	}
	clock.Sleep(ctx, drainPoll)
	f.awaitEnd(ctx, began)
}

// awaitEnd waits until no session is left.
func (f *Frontend) awaitEnd(ctx context.Context, began time.Duration) {
	for f.Sessions() > 0 && ctx.Err() == nil {
		if f.opt.Clock()-began >= f.opt.AbortAfter {
			f.endSessions(ctx, func() { f.aborting = true })
		}
		clock.Sleep(ctx, drainPoll)
	}
}

// endSessions changes the state of the stop and wakes the sessions up to see it.
func (f *Frontend) endSessions(ctx context.Context, change func()) {
	f.mu.Lock()
	change()
	all := make([]*session, 0, len(f.sessions))
	for s := range f.sessions {
		all = append(all, s)
	}
	f.mu.Unlock()
	pause := closeSpread / time.Duration(len(all)+1)
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
