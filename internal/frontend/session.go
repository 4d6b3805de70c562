package frontend

import (
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/limit"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// rollbackTimeout limits the duration of a rollback at the home host that the
	// entry host requests in the background.
	rollbackTimeout = time.Second
	// maxSessionEntries limits the number of values, and the number of prepared
	// statements, of one session.
	maxSessionEntries = 1000
	// maxValueBytes limits the size of the values of one session. Each request to a home
	// host carries them, with up to three texts of 1 MiB, and must stay within
	// peer.MaxTypedMessageBytes.
	maxValueBytes = 4 << 20
)

// session is the session of one client. Its methods run in one goroutine.
type session struct {
	f      *Frontend
	client statement.Client
	start  statement.Start
	// customer is the customer whose key opened the session.
	customer string

	// address is the client's address, connected the time of its connection.
	address   string
	connected time.Duration
	lease     *budget.Lease
	// startingEntry and countedAs are guarded by the lock of the Frontend: the place among
	// the sessions without a first message, and the customer that the session counts for.
	startingEntry *list.Element
	countedAs     string

	// stateBytes is the size of values and prepared, valueBytes that of values.
	// reservedBytes is what is reserved for them.
	stateBytes, valueBytes, reservedBytes int

	values   map[string]string
	prepared map[string]statement.Shape
	tx       *transaction
	// lastCommits maps a group to the newest log position that the session committed.
	lastCommits map[string]statement.Position
}

// transaction is the session's open transaction.
type transaction struct {
	begin statement.Statement
	route config.Route
	// lastUsed is when the result of BEGIN or of the last statement was sent. Before
	// that it is the arrival time of BEGIN.
	lastUsed time.Duration
	// started is set once a statement has run. From then on BEGIN must not be sent
	// again.
	started bool
	// host and handle identify the transaction at its home host once it has started.
	// handle is 0 after the transaction has ended there.
	host   routing.Host
	handle uint64
	// failed is set when the transaction was rolled back after an error. Only COMMIT
	// and ROLLBACK are then accepted.
	failed bool
	// mayHaveRun is set once a statement of the transaction may have run.
	mayHaveRun bool
	// writeInDoubt is set once a write may have run outside the transaction.
	writeInDoubt bool
}

func newSession(f *Frontend, c statement.Client, lease *budget.Lease) *session {
	return &session{
		f: f, client: c, lease: lease, values: map[string]string{}, prepared: map[string]statement.Shape{}, lastCommits: map[string]statement.Position{},
	}
}

func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }

func (s *session) serve() {
	if !s.open() {
		return
	}
	defer s.rollbackAtHome()
	for {
		st, err := s.client.Next()
		switch {
		case err == nil:
			if !s.handleStatement(st) {
				return
			}
		case statement.IsTimeout(err):
			if !s.handleTimeout() {
				return
			}
		default:
			s.handleInputError(err)
			return
		}
		if s.tx == nil && s.f.isClosing() && !s.client.Pending() {
			s.f.opt.Counters.Add("sessions_closed_by_stop", 1)
			return
		}
	}
}

// handleInputError handles an error of reading the next statement, which ends the
// session.
func (s *session) handleInputError(err error) {
	var refused *verdict.Error
	if errors.As(err, &refused) {
		s.recordRefusal(statement.Statement{}, refused)
		_ = s.client.Answer(statement.Result{Err: refused, State: s.state()})
		return
	}
	if !errors.Is(err, io.EOF) {
		s.f.opt.Counters.Add("sessions_broken", 1)
		s.f.opt.Log.Debug().Str("customer", s.customer).Err(err).Msg("client connection lost")
	}
}

// open reads the first message and accepts or refuses the session. It reports whether
// the session was accepted.
func (s *session) open() bool {
	start, err := s.client.Start()
	if err != nil {
		var refused *verdict.Error
		if errors.As(err, &refused) {
			s.recordRefusal(statement.Statement{}, refused)
			_ = s.client.Refuse(refused)
		}
		s.f.opt.Counters.Add("sessions_without_start", 1)
		return false
	}
	s.start = start
	if _, refused := s.authorize(); refused != nil {
		s.recordRefusal(statement.Statement{}, refused)
		_ = s.client.Refuse(refused)
		return false
	}
	if !s.f.accept(s) {
		refused := verdict.New(verdict.NotRun, verdict.TooManyClients, "customer %s has too many sessions at this host", s.customer)
		s.recordRefusal(statement.Statement{}, refused)
		_ = s.client.Refuse(refused)
		return false
	}
	s.lease.SetOwner(s.customer)
	return s.client.Accept() == nil
}

// authorizeRoute resolves a route, unless the configuration was confirmed too long ago.
func (f *Frontend) authorizeRoute(snapshot *catalog.Snapshot, name string) (config.Route, *verdict.Error) {
	fresh, age := f.opt.KeysFresh()
	if snapshot.Version() == 0 {
		return config.Route{}, verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the host has no configuration yet")
	}
	route, routeKnown := snapshot.Route(name)
	if !fresh && !(routeKnown && route.Public) {
		return config.Route{}, verdict.New(verdict.NotRun, verdict.StaleConfiguration, "the configuration was confirmed %v ago; try another host", age.Round(time.Millisecond))
	}
	if !routeKnown {
		return config.Route{}, verdict.New(verdict.NotRun, verdict.UnknownRoute, "no such database")
	}
	return route, nil
}

// authorize resolves the route and checks the key against the current configuration.
func (s *session) authorize() (config.Route, *verdict.Error) {
	snapshot := s.f.opt.Snapshot()
	route, refused := s.f.authorizeRoute(snapshot, s.start.Route)
	if refused != nil {
		return config.Route{}, refused
	}
	customer, keyKnown := snapshot.CustomerOf(s.start.Key)
	switch {
	case keyKnown && s.customer != "" && customer != s.customer:
		return config.Route{}, verdict.New(verdict.NotRun, verdict.WrongCustomer, "the key belongs to another customer now")
	case keyKnown:
		s.customer = customer
	case route.Public:
		s.customer = config.PublicCustomer
	default:
		return config.Route{}, verdict.New(verdict.NotRun, verdict.BadKey, "unknown key")
	}
	return route, nil
}

// recordRefusal counts and logs a refusal.
func (s *session) recordRefusal(st statement.Statement, e *verdict.Error) {
	s.f.opt.Counters.CountRefusal(e.Reason)
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

// handleTimeout handles a timeout or an interrupt of the wait for a statement: an idle
// transaction that reached its limit, or a planned stop. It reports whether the
// session continues.
func (s *session) handleTimeout() bool {
	if s.f.isAborting() {
		s.f.opt.Counters.Add("sessions_aborted_by_stop", 1)
		return false
	}
	if s.tx != nil && !s.tx.failed && s.idleTimeLeft() <= 0 {
		s.f.opt.Counters.CountRefusal(verdict.IdleTransactionTimeout)
		s.f.opt.Log.Info().Str("id", s.tx.begin.ID).Str("customer", s.customer).Msg("idle transaction ended")
		s.failTransaction()
	}
	s.setIdleDeadline()
	return true
}

// idleTimeLeft returns the remaining time for which the open transaction may be idle.
func (s *session) idleTimeLeft() time.Duration {
	return s.tx.lastUsed + s.f.opt.Snapshot().IdleLimit() - s.f.opt.Clock()
}

// setIdleDeadline sets the timeout of the next wait for a statement to the idle limit
// of the open transaction, and clears it when there is none. A timeout in the past
// must not stay set, because every wait for a statement would return at once.
func (s *session) setIdleDeadline() {
	if s.tx == nil || s.tx.failed {
		s.client.SetDeadline(time.Time{})
		return
	}
	s.client.SetDeadline(time.Now().Add(s.idleTimeLeft()))
}

// handleStatement executes one statement and sends its result to the client. It
// reports whether the session continues.
func (s *session) handleStatement(st statement.Statement) bool {
	arrived := s.f.opt.Clock()
	s.client.SetDeadline(time.Time{})
	if !s.lease.SetBusy(true) {
		return false // the client sees the close; nothing of the statement has run
	}
	r, closeAfter := s.executeStatement(st, arrived)
	r.State = s.state()
	if r.Err != nil {
		s.recordRefusal(st, r.Err)
	}
	if err := s.answer(r); err != nil || closeAfter {
		if err != nil && statement.IsTimeout(errors.Cause(err)) {
			s.f.opt.Budget.RecordClosed("answers_not_taken", s.customer)
		}
		return false
	}
	s.lease.SetBusy(s.tx != nil)
	if s.tx != nil {
		// The idle time starts when the result was sent.
		s.tx.lastUsed = s.f.opt.Clock()
	}
	s.setIdleDeadline()
	return true
}

// executeStatement executes a statement of any kind. closeAfter reports whether the
// session ends after the result is sent.
func (s *session) executeStatement(st statement.Statement, arrived time.Duration) (r statement.Result, closeAfter bool) {
	route, refused := s.authorize()
	if refused != nil {
		s.failTransaction()
		return statement.Result{Err: refused}, refused.Reason != verdict.UnknownRoute
	}
	if s.tx != nil && s.tx.failed {
		return s.answerInFailedTransaction(st), false
	}
	switch st.Kind {
	case statement.Set:
		return s.set(st), false
	case statement.Prepare:
		return s.prepare(st), false
	case statement.Deallocate:
		return s.deallocate(st), false
	case statement.Begin, statement.BeginRead:
		return s.beginTransaction(st, route, arrived), false
	case statement.Commit, statement.Rollback:
		return s.endTransaction(st, arrived), false
	case statement.Read, statement.Write, statement.Execute:
		return s.runStatement(st, route, arrived), false
	}
	return s.protocolViolation("unknown statement"), false
}

func (s *session) protocolViolation(text string) statement.Result {
	return statement.Result{Err: verdict.New(verdict.NotRun, verdict.ProtocolViolation, "%s", text)}
}

// answerInFailedTransaction returns the result of a statement within a failed
// transaction, which accepts only COMMIT and ROLLBACK.
func (s *session) answerInFailedTransaction(st statement.Statement) statement.Result {
	switch st.Kind {
	case statement.Rollback:
		if !s.tx.mayHaveRun {
			s.refundRateToken()
		}
		s.tx = nil
		return statement.Result{}
	case statement.Commit:
		v := verdict.NotRun
		if s.tx.writeInDoubt {
			v = verdict.MayHaveRun
		}
		s.tx = nil
		return statement.Result{Err: verdict.New(v, verdict.TransactionAborted, "the transaction had failed and was rolled back")}
	}
	return s.protocolViolation("the transaction has failed; only commit and rollback are accepted")
}

// answer sends a result to the client. A large one is held until the client has read it.
func (s *session) answer(r statement.Result) error {
	size := 0
	for _, row := range r.Rows {
		size += len(row)
	}
	if size > budget.SmallBytes {
		if !s.lease.Reserve(budget.Answers, size) {
			return errAnswerNotHeld
		}
		defer s.lease.Release(budget.Answers, size)
	}
	return s.client.Answer(r)
}

var errAnswerNotHeld = errors.New("no memory to hold the answer until the client has read it")

// resizeState changes the size of the session's values and prepared statements. It
// reports whether there is memory for it.
func (s *session) resizeState(delta int) bool {
	want := s.stateBytes + delta
	if want <= budget.SmallBytes {
		want = 0
	}
	if !s.lease.Reserve(budget.State, want-s.reservedBytes) {
		return false
	}
	s.lease.Release(budget.State, s.reservedBytes-want)
	s.reservedBytes = want
	s.stateBytes += delta
	return true
}

func stateLimitReached() statement.Result {
	return statement.Result{Err: verdict.New(verdict.NotRun, verdict.MemoryLimit, "no memory for more values and prepared statements of this session")}
}

func (s *session) set(st statement.Statement) statement.Result {
	old, ok := s.values[st.Name]
	if !ok && len(s.values) >= maxSessionEntries {
		return s.protocolViolation("the session has too many values")
	}
	delta := len(st.Arguments) - len(old)
	if !ok {
		delta += len(st.Name)
	}
	if s.valueBytes+delta > maxValueBytes {
		return s.protocolViolation("the session's values are too large")
	}
	if !s.resizeState(delta) {
		return stateLimitReached()
	}
	s.valueBytes += delta
	// The copies do not keep the whole message.
	s.values[strings.Clone(st.Name)] = strings.Clone(st.Arguments)
	return statement.Result{}
}

func (s *session) prepare(st statement.Statement) statement.Result {
	old, ok := s.prepared[st.Name]
	if !ok && len(s.prepared) >= maxSessionEntries {
		return s.protocolViolation("the session has too many prepared statements")
	}
	if len(st.Shape.Text) > statement.MaxShapeBytes {
		return s.protocolViolation(fmt.Sprintf("the prepared statement has more than %d bytes", statement.MaxShapeBytes))
	}
	delta := len(st.Shape.Text) - len(old.Text)
	if !ok {
		delta += len(st.Name)
	}
	if !s.resizeState(delta) {
		return stateLimitReached()
	}
	st.Shape.Text = strings.Clone(st.Shape.Text)
	s.prepared[strings.Clone(st.Name)] = st.Shape
	return statement.Result{}
}

func (s *session) deallocate(st statement.Statement) statement.Result {
	old, ok := s.prepared[st.Name]
	if !ok {
		return s.unknownPreparedStatement(st)
	}
	s.resizeState(-len(old.Text) - len(st.Name))
	delete(s.prepared, st.Name)
	return statement.Result{}
}

// statementCopies is the number of copies of a statement and of the session's values that
// are held at once while it runs: as received, in the message to the home host, and in the
// output buffer of the connection while it grows.
const statementCopies = 4

// reserveStatement reserves the memory of a statement under way. release gives it back.
func (s *session) reserveStatement(st statement.Statement) (release func(), refused *verdict.Error) {
	size := len(st.Text) + len(st.Shape.Text) + s.valueBytes
	if size <= budget.SmallBytes {
		return func() {}, nil
	}
	if !s.lease.Reserve(budget.Statements, statementCopies*size) {
		return nil, verdict.New(verdict.NotRun, verdict.MemoryLimit, "no memory for a statement of this size; try again")
	}
	return func() { s.lease.Release(budget.Statements, statementCopies*size) }, nil
}

func (s *session) unknownPreparedStatement(st statement.Statement) statement.Result {
	s.failTransaction()
	return statement.Result{Err: verdict.New(verdict.NotRun, verdict.UnknownStatement, "no prepared statement %q", st.Name)}
}

// beginTransaction opens a transaction. BEGIN is sent to the home host together with
// the first statement.
func (s *session) beginTransaction(st statement.Statement, route config.Route, arrived time.Duration) statement.Result {
	if s.tx != nil {
		return s.protocolViolation("a transaction is open")
	}
	if refused := s.admitOperation(route); refused != nil {
		return statement.Result{Err: refused}
	}
	s.tx = &transaction{begin: st, route: route, lastUsed: arrived}
	return statement.Result{}
}

// isRateLimited reports whether an operation needs a token: public clients have no rate
// limit of their own.
func (s *session) isRateLimited(route config.Route) bool {
	return s.customer != config.PublicCustomer || !route.Public
}

// admitOperation takes a token from the customer's rate limiter.
func (s *session) admitOperation(route config.Route) *verdict.Error {
	if !s.isRateLimited(route) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), route.Deadline.Std())
	defer cancel()
	if target := route.TargetLatency.Std(); target > 0 {
		ctx = limit.WithLatencyTarget(ctx, target)
	}
	if err := s.f.opt.Limiter.Admit(ctx, s.customer); err != nil && guard.Enabled(guard.Rate) {
		return verdict.From(err)
	}
	return nil
}

// refundRateToken refunds the rate limiter's token of an operation of which nothing ran.
func (s *session) refundRateToken() {
	if s.customer != config.PublicCustomer {
		s.f.opt.Limiter.Refund(s.customer)
	}
}

// endTransaction commits or rolls back the open transaction.
func (s *session) endTransaction(st statement.Statement, arrived time.Duration) statement.Result {
	if s.tx == nil {
		return s.protocolViolation("no transaction is open")
	}
	if st.Kind == statement.Commit {
		r := s.runInTransaction(st, arrived)
		s.tx = nil
		return r
	}
	s.rollbackAtHome()
	if !s.tx.mayHaveRun {
		s.refundRateToken()
	}
	s.tx = nil
	return statement.Result{}
}

// runStatement runs a read, a write, or a prepared statement.
func (s *session) runStatement(st statement.Statement, route config.Route, arrived time.Duration) statement.Result {
	if st.Kind == statement.Execute {
		shape, ok := s.prepared[st.Name]
		if !ok {
			return s.unknownPreparedStatement(st)
		}
		st.Shape = shape
	}
	release, refused := s.reserveStatement(st)
	if refused != nil {
		s.failTransaction()
		return statement.Result{Err: refused}
	}
	defer release()
	if s.tx != nil {
		r := s.runInTransaction(st, arrived)
		if r.Err != nil {
			s.failTransaction()
		}
		return r
	}
	if refused := s.admitOperation(route); refused != nil {
		return statement.Result{Err: refused}
	}
	o := s.newOperation(st, route, arrived)
	r := o.run()
	if r.Err != nil && r.Err.Verdict == verdict.NotRun {
		s.refundRateToken()
	}
	return r
}

func (s *session) runInTransaction(st statement.Statement, arrived time.Duration) statement.Result {
	o := s.newOperation(st, s.tx.route, arrived)
	o.tx = s.tx
	r := o.run()
	if r.Err == nil || r.Err.Verdict != verdict.NotRun || r.Err.Reason == verdict.TransactionAborted {
		s.tx.mayHaveRun = true
	}
	if r.Err != nil && r.Err.Verdict == verdict.MayHaveRun && o.isWrite() {
		s.tx.writeInDoubt = true
	}
	return r
}

// failTransaction rolls back the open transaction, if any, and marks it as failed.
func (s *session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.rollbackAtHome()
	s.tx.failed = true
}

// rollbackAtHome rolls back the open transaction at its home host in the background.
// It has no effect when no statement of the transaction has run.
func (s *session) rollbackAtHome() {
	if s.tx == nil || s.tx.handle == 0 {
		return
	}
	host, req := s.tx.host, s.rollbackRequest()
	s.tx.handle = 0
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if _, err := s.f.opt.Fleet.Execute(ctx, host, req); err != nil {
			// The home host ends the transaction once it reaches the idle limit.
			s.f.opt.Counters.Add("rollbacks_lost", 1)
		}
	}()
}
