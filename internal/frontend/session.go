package frontend

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// rollbackTimeout bounds the rollback at the home host of a transaction whose
	// caller is gone.
	rollbackTimeout = time.Second
	// maxNames bounds the values and the prepared statements of a session.
	maxNames = 1000
)

// session is one caller's session. Its methods run in its own goroutine.
type session struct {
	f      *Frontend
	client statement.Client
	start  statement.Start
	// customer is the one that the session was opened for.
	customer string

	values   map[string]string
	prepared map[string]statement.Shape
	tx       *transaction
	// commits holds the newest position that the session committed, by group.
	commits map[string]statement.Position
}

// transaction is the session's open transaction.
type transaction struct {
	begin statement.Statement
	route config.Route
	// used is when the transaction was last used.
	used time.Duration
	// host, server and handle are set once a statement has run.
	host   routing.Host
	handle uint64
	// failed transactions can only be ended.
	failed bool
	// ran is set once a statement may have run.
	ran bool
}

func newSession(f *Frontend, c statement.Client) *session {
	return &session{
		f: f, client: c, values: map[string]string{}, prepared: map[string]statement.Shape{}, commits: map[string]statement.Position{},
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

func (s *session) serve() {
	if !s.open() {
		return
	}
	defer s.abandon()
	for {
		st, err := s.client.Next()
		switch {
		case err == nil:
			if !s.handle(st) {
				return
			}
		case statement.IsTimeout(err):
			if !s.woken() {
				return
			}
		default:
			s.ended(err)
			return
		}
		if s.tx == nil && !s.client.Pending() && s.f.isClosing() {
			s.f.opt.Counters.Add("sessions_closed_by_stop", 1)
			return
		}
	}
}

// ended handles the end of the caller's input.
func (s *session) ended(err error) {
	var refused *verdict.Error
	if errors.As(err, &refused) {
		s.refused(statement.Statement{}, refused)
		_ = s.client.Answer(statement.Result{Err: refused, State: s.state()})
		return
	}
	if !errors.Is(err, io.EOF) {
		s.f.opt.Counters.Add("sessions_broken", 1)
		s.f.opt.Log.Debug().Str("customer", s.customer).Err(err).Msg("session broken")
	}
}

// open checks the first message and accepts or refuses the session.
func (s *session) open() bool {
	start, err := s.client.Start()
	if err != nil {
		var refused *verdict.Error
		if errors.As(err, &refused) {
			s.refused(statement.Statement{}, refused)
			_ = s.client.Refuse(refused)
		}
		s.f.opt.Counters.Add("sessions_without_start", 1)
		return false
	}
	s.start = start
	if _, refused := s.authorize(); refused != nil {
		s.refused(statement.Statement{}, refused)
		_ = s.client.Refuse(refused)
		return false
	}
	return s.client.Welcome() == nil
}

// authorize resolves the route and checks the key against the configuration in
// force.
func (s *session) authorize() (config.Route, *verdict.Error) {
	snapshot := s.f.opt.Snapshot()
	fresh, age := s.f.opt.KeysFresh()
	if snapshot.Version() == 0 {
		return config.Route{}, verdict.New(verdict.NotRun, verdict.StaleConfiguration, "no configuration yet")
	}
	route, known := snapshot.Route(s.start.Route)
	if !fresh && !(known && route.Public) {
		return config.Route{}, verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the configuration was confirmed %v ago; try another host", age.Round(time.Millisecond))
	}
	if !known {
		return config.Route{}, verdict.New(verdict.NotRun, verdict.UnknownRoute, "no such database")
	}
	customer, holds := snapshot.CustomerOf(s.start.Key)
	switch {
	case holds && s.customer != "" && customer != s.customer:
		return config.Route{}, verdict.New(verdict.NotRun, verdict.WrongCustomer, "the key belongs to another customer now")
	case holds:
		s.customer = customer
	case route.Public:
		s.customer = config.PublicCustomer
	default:
		return config.Route{}, verdict.New(verdict.NotRun, verdict.BadKey, "unknown key")
	}
	return route, nil
}

// refused counts and logs a refusal.
func (s *session) refused(st statement.Statement, e *verdict.Error) {
	s.f.opt.Counters.Refused(e.Reason)
	_, age := s.f.opt.KeysFresh()
	s.f.opt.Log.Info().Str("id", st.ID).Str("route", s.start.Route).Str("customer", s.customer).
		Str("kind", st.Kind.String()).Str("reason", string(e.Reason)).Str("verdict", e.Verdict.String()).
		Uint64("version", uint64(s.f.opt.Snapshot().Version())).Dur("config_age", age).Str("detail", e.Message).Msg("refused")
}

func (s *session) state() statement.State {
	switch {
	case s.tx == nil:
		return statement.Idle
	case s.tx.failed:
		return statement.Failed
	default:
		return statement.InTransaction
	}
}

// woken handles a wake-up without a statement: an idle transaction, or a planned
// stop. It reports whether the session goes on.
func (s *session) woken() bool {
	if s.f.isAborting() {
		s.f.opt.Counters.Add("sessions_aborted_by_stop", 1)
		return false
	}
	if s.tx != nil && !s.tx.failed && s.idleLeft() <= 0 {
		s.f.opt.Counters.Refused(verdict.IdleTransactionTime)
		s.f.opt.Log.Info().Str("id", s.tx.begin.ID).Str("customer", s.customer).Msg("idle transaction ended")
		s.failTransaction()
	}
	s.scheduleWake()
	return true
}

// idleLeft is the time that the open transaction may still rest.
func (s *session) idleLeft() time.Duration {
	return s.tx.used + s.f.opt.Snapshot().IdleLimit() - s.f.opt.Clock()
}

// scheduleWake sets the next wake-up: the idle limit of an open transaction,
// else none. A wake-up that has passed must not stay set, because every wait
// for a statement would end at once.
func (s *session) scheduleWake() {
	if s.tx == nil || s.tx.failed {
		s.client.WakeAt(time.Time{})
		return
	}
	s.client.WakeAt(time.Now().Add(s.idleLeft()))
}

// handle answers one statement. It reports whether the session goes on.
func (s *session) handle(st statement.Statement) bool {
	arrived := s.f.opt.Clock()
	s.client.WakeAt(time.Time{})
	r, final := s.answer(st, arrived)
	r.State = s.state()
	if r.Err != nil {
		s.refused(st, r.Err)
	}
	if err := s.client.Answer(r); err != nil || final {
		return false
	}
	if s.tx != nil {
		// The limit counts from the last answer.
		s.tx.used = s.f.opt.Clock()
	}
	s.scheduleWake()
	return true
}

// answer runs a statement. final says that the session ends after the answer.
func (s *session) answer(st statement.Statement, arrived time.Duration) (r statement.Result, final bool) {
	route, refused := s.authorize()
	if refused != nil {
		s.failTransaction()
		return statement.Result{Err: refused}, refused.Reason != verdict.UnknownRoute
	}
	if s.tx != nil && s.tx.failed {
		return s.endFailed(st), false
	}
	switch st.Kind {
	case statement.Set:
		return s.set(st), false
	case statement.Prepare:
		return s.prepare(st), false
	case statement.Deallocate:
		return s.deallocate(st), false
	case statement.Begin, statement.BeginRead:
		return s.begin(st, route, arrived), false
	case statement.Commit, statement.Rollback:
		return s.end(st, arrived), false
	case statement.Read, statement.Write, statement.Execute:
		return s.run(st, route, arrived), false
	}
	return s.malformed("unknown statement"), false
}

func (s *session) malformed(text string) statement.Result {
	return statement.Result{Err: verdict.New(verdict.NotRun, verdict.ProtocolViolation, "%s", text)}
}

// endFailed answers a statement of a failed transaction, which can only be ended.
func (s *session) endFailed(st statement.Statement) statement.Result {
	switch st.Kind {
	case statement.Rollback:
		if !s.tx.ran {
			s.returnToken()
		}
		s.tx = nil
		return statement.Result{}
	case statement.Commit:
		s.tx = nil
		return statement.Result{Err: verdict.New(verdict.NotRun, verdict.TransactionAborted, "the transaction had failed and was rolled back")}
	}
	return s.malformed("the transaction has failed")
}

func (s *session) set(st statement.Statement) statement.Result {
	if _, ok := s.values[st.Name]; !ok && len(s.values) >= maxNames {
		return s.malformed("too many values")
	}
	s.values[st.Name] = st.Arguments
	return statement.Result{}
}

func (s *session) prepare(st statement.Statement) statement.Result {
	if _, ok := s.prepared[st.Name]; !ok && len(s.prepared) >= maxNames {
		return s.malformed("too many prepared statements")
	}
	s.prepared[st.Name] = st.Shape
	return statement.Result{}
}

func (s *session) deallocate(st statement.Statement) statement.Result {
	if _, ok := s.prepared[st.Name]; !ok {
		return s.unknownName(st)
	}
	delete(s.prepared, st.Name)
	return statement.Result{}
}

func (s *session) unknownName(st statement.Statement) statement.Result {
	s.failTransaction()
	return statement.Result{Err: verdict.New(verdict.NotRun, verdict.UnknownStatement, "no prepared statement %q", st.Name)}
}

// begin opens a transaction. BEGIN itself travels with the first statement.
func (s *session) begin(st statement.Statement, route config.Route, arrived time.Duration) statement.Result {
	if s.tx != nil {
		return s.malformed("a transaction is open")
	}
	if refused := s.admit(route); refused != nil {
		return statement.Result{Err: refused}
	}
	s.tx = &transaction{begin: st, route: route, used: arrived}
	return statement.Result{}
}

// admit takes the operation's token.
func (s *session) admit(route config.Route) *verdict.Error {
	if s.customer == config.PublicCustomer && route.Public {
		return nil // public callers have no rate of their own
	}
	ctx, cancel := context.WithTimeout(context.Background(), route.Deadline.Std())
	defer cancel()
	if err := s.f.opt.Limiter.Admit(ctx, s.customer); err != nil && guard.On(guard.Rate) {
		return verdict.From(err)
	}
	return nil
}

// returnToken gives the token of an operation back of which nothing ran.
func (s *session) returnToken() {
	if s.customer != config.PublicCustomer {
		s.f.opt.Limiter.Return(s.customer)
	}
}

// end commits or rolls back.
func (s *session) end(st statement.Statement, arrived time.Duration) statement.Result {
	if s.tx == nil {
		return s.malformed("no transaction is open")
	}
	if st.Kind == statement.Commit {
		r := s.runInTransaction(st, arrived)
		s.tx = nil
		return r
	}
	s.abandon()
	if !s.tx.ran {
		s.returnToken()
	}
	s.tx = nil
	return statement.Result{}
}

// run runs a read, a write or a prepared statement.
func (s *session) run(st statement.Statement, route config.Route, arrived time.Duration) statement.Result {
	if st.Kind == statement.Execute {
		shape, ok := s.prepared[st.Name]
		if !ok {
			return s.unknownName(st)
		}
		st.Shape = shape
	}
	if s.tx != nil {
		r := s.runInTransaction(st, arrived)
		if r.Err != nil {
			s.failTransaction()
		}
		return r
	}
	if refused := s.admit(route); refused != nil {
		return statement.Result{Err: refused}
	}
	o := s.operation(st, route, arrived)
	r := o.run()
	if r.Err != nil && r.Err.Verdict == verdict.NotRun {
		s.returnToken()
	}
	return r
}

func (s *session) runInTransaction(st statement.Statement, arrived time.Duration) statement.Result {
	o := s.operation(st, s.tx.route, arrived)
	o.tx = s.tx
	r := o.run()
	if r.Err == nil || r.Err.Verdict != verdict.NotRun || r.Err.Reason == verdict.TransactionAborted {
		s.tx.ran = true
	}
	return r
}

// failTransaction rolls the open transaction back and marks it as failed.
func (s *session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.abandon()
	s.tx.failed = true
}

// abandon rolls back what is open at a home host.
func (s *session) abandon() {
	if s.tx == nil || s.tx.handle == 0 {
		return
	}
	host, req := s.tx.host, s.rollbackRequest()
	s.tx.handle = 0
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if _, err := s.f.opt.Fleet.Execute(ctx, host, req); err != nil {
			// The home host ends the transaction when it has been idle for too long.
			s.f.opt.Counters.Add("rollbacks_lost", 1)
		}
	}()
}
