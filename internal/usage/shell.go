package usage

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	// tickInterval is the interval between ticks of the reporter's machine,
	// idleTickInterval that of the other hosts.
	tickInterval     = 100 * time.Millisecond
	idleTickInterval = 250 * time.Millisecond
	// callTimeout bounds a call to the store and to the platform, askTimeout one to
	// another host.
	callTimeout = 900 * time.Millisecond
	askTimeout  = 600 * time.Millisecond
	// askWorkers is the maximum number of calls to other hosts in flight.
	askWorkers = 24
	// maxLoggedHosts bounds the names of hosts in a log line.
	maxLoggedHosts = 8

	space     = "cranberryhinge-usage"
	recordKey = space + "/reports"
)

// Report is the report of one window.
type Report struct {
	Counts
	// Holder is the host that sends the report, Token the epoch of its role.
	Holder string
	Token  uint64
}

// ErrRefused is returned if the platform has seen a higher token.
var ErrRefused = errors.New("usage: the report was refused")

// Reporter sends reports to the platform. After an error other than ErrRefused the report
// may still be carried out later.
type Reporter interface {
	Report(ctx context.Context, r Report) error
}

// Roles provides the epoch of the role.
type Roles interface {
	// AssignedEpoch returns the epoch of the role if the rows assign it to this host,
	// also while the last holder may not know that yet: the row and the fencing token
	// keep its writes and reports out.
	AssignedEpoch(role string) (epoch uint64, ok bool)
	// RequestNewEpoch requests a new epoch of a role.
	RequestNewEpoch(role string)
}

// Options configure a Shell.
type Options struct {
	Settings Settings
	// Name and Incarnation are those of this process.
	Name        string
	Incarnation uint64
	Roles       Roles
	// Hosts returns all hosts, this one included.
	Hosts func() []Host
	// Era, if set, returns the newest known era of the store.
	Era func() store.Era
	// Ask asks another host.
	Ask      func(ctx context.Context, h Host, windows []Span) (Answer, error)
	Counter  *Counter
	Table    store.TableService
	Watcher  store.Watcher
	Reporter Reporter
	Clock    clock.Clock
	// TimeOfDay returns the time since 1970.
	TimeOfDay func() time.Duration
	Log       *log.Logger
	Counters  *telemetry.Counters
}

// Shell runs a Machine, and answers the questions of the reporter.
type Shell struct {
	opt     Options
	workers pond.Pool

	mu      sync.Mutex
	machine *Machine
}

// New returns a Shell. It reports nothing before Run.
func New(opt Options) *Shell {
	for _, kind := range DecisionKinds() {
		opt.Counters.Add(kind, 0)
	}
	return &Shell{
		opt: opt, machine: NewMachine(opt.Settings),
		workers: pond.NewPool(askWorkers, pond.WithQueueSize(askWorkers), pond.WithNonBlocking(true)),
	}
}

// Run reports usage whenever this host holds the role, until ctx ends.
func (s *Shell) Run(ctx context.Context) {
	defer s.workers.StopAndWait()
	for ok := true; ok; {
		epoch, _ := s.opt.Roles.AssignedEpoch(Role)
		var hosts []Host
		interval := idleTickInterval
		if epoch != 0 {
			hosts, interval = s.opt.Hosts(), tickInterval
		}
		s.apply(ctx, func(now time.Duration) []Action {
			if s.opt.Era != nil {
				s.machine.SetEra(s.opt.Era())
			}
			return s.machine.Tick(now, epoch, hosts)
		})
		ok = clock.Sleep(ctx, interval)
	}
}

// apply calls the machine and carries out the resulting actions.
func (s *Shell) apply(ctx context.Context, call func(now time.Duration) []Action) {
	s.mu.Lock()
	actions := append([]Action(nil), call(s.opt.Clock())...)
	s.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case ReadRow:
			go s.read(ctx, a)
		case WriteRow:
			go s.write(ctx, a)
		case Send:
			go s.send(ctx, a)
		case Ask:
			if _, ok := s.workers.TrySubmit(func() { s.ask(ctx, a) }); !ok {
				s.opt.Counters.Add("usage_questions_skipped", 1)
				s.answered(a, 0, Answer{}, false)
			}
		case NewEpoch:
			s.opt.Roles.RequestNewEpoch(Role)
		case Decision:
			s.report(a)
		}
	}
}

// report counts and logs a decision.
func (s *Shell) report(d Decision) {
	s.opt.Counters.Add(d.Kind, 1)
	missing := d.Missing[:min(len(d.Missing), maxLoggedHosts)]
	s.opt.Log.Info().Uint64("epoch", d.Epoch).Int64("window", d.Window).Int64("offset_ms", d.Offset.Milliseconds()).Int("hosts", d.Hosts).
		Int("missing", len(d.Missing)).Strs("missing_hosts", missing).Int64("requests", d.Requests).Str("why", d.Reason).
		Msg(strings.ReplaceAll(d.Kind, "_", " "))
}

func (s *Shell) read(ctx context.Context, a ReadRow) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.opt.Counters.Add("store_reads", 1)
	r := RowRead{Sent: s.opt.Clock()}
	c, err := s.opt.Watcher.ReadAll(callCtx, space)
	r.Received, r.Stamp, r.Revision = s.opt.Clock(), c.Stamp, store.NewRevision(c.Revision.Era(), 0)
	for _, row := range c.Rows {
		if row.Key == recordKey {
			r.Value, r.Revision = row.Value, row.Revision
		}
	}
	if err != nil {
		s.opt.Log.Info().Err(err).Msg("usage row not read")
	}
	s.apply(ctx, func(now time.Duration) []Action { return s.machine.OnRead(now, a.Call, r, err == nil) })
}

func (s *Shell) write(ctx context.Context, a WriteRow) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.opt.Counters.Add("store_writes", 1)
	revision, err := s.opt.Table.CompareAndSwap(callCtx, recordKey, a.Expect, a.Record.encode())
	outcome := Written
	switch {
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrEraPassed):
		outcome = Conflict
	case err != nil:
		outcome = Unknown
	}
	if err != nil {
		s.opt.Log.Info().Uint64("epoch", a.Record.Epoch).Uint64("expect", uint64(a.Expect)).Err(err).Msg("usage row not written")
	}
	s.apply(ctx, func(now time.Duration) []Action { return s.machine.OnWrite(now, a.Call, outcome, revision) })
}

func (s *Shell) send(ctx context.Context, a Send) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.opt.Reporter.Report(callCtx, Report{Counts: a.Counts, Holder: s.opt.Name, Token: a.Epoch})
	outcome := Accepted
	switch {
	case errors.Is(err, ErrRefused):
		outcome = Refused
	case err != nil:
		outcome = NoAnswer
		s.opt.Counters.Add("usage_reports_unanswered", 1)
	}
	if err != nil {
		s.opt.Log.Info().Int64("window", a.Window).Uint64("token", a.Epoch).Err(err).Msg("usage report not accepted")
	}
	s.apply(ctx, func(now time.Duration) []Action { return s.machine.OnSent(now, a.Call, a.Window, outcome) })
}

func (s *Shell) ask(ctx context.Context, a Ask) {
	sent := s.opt.Clock()
	if a.Host.Name == s.opt.Name {
		s.answered(a, sent, s.Answer(s.opt.Incarnation, a.Windows), true)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := s.opt.Ask(ctx, a.Host, a.Windows)
	if err != nil {
		s.opt.Counters.Add("usage_questions_failed", 1)
	}
	s.answered(a, sent, answer, err == nil)
}

func (s *Shell) answered(a Ask, sent time.Duration, answer Answer, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.OnAnswer(s.opt.Clock(), sent, a.Generation, a.Host, answer, ok)
}

// Answer answers the reporter's question for the counts of the process with an
// incarnation.
func (s *Shell) Answer(incarnation uint64, windows []Span) Answer {
	a := Answer{Incarnation: s.opt.Incarnation, Clock: s.opt.Clock(), TimeOfDay: s.opt.TimeOfDay()}
	if incarnation != s.opt.Incarnation {
		return a
	}
	for _, w := range windows[:min(len(windows), maxWindowsPerAnswer)] {
		a.Windows = append(a.Windows, WindowAnswer{Window: w.Window, Complete: a.Clock >= w.To, Requests: s.opt.Counter.Count(w.From, w.To)})
	}
	return a
}

// maxWindowsPerAnswer bounds the work for one question.
const maxWindowsPerAnswer = 32
