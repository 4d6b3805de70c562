package frontend

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// maxAttempts bounds the attempts at one statement.
	maxAttempts = 6
	// retryPause is the first pause between two attempts at the primary; it
	// doubles. A handover takes about 20 ms.
	retryPause = 10 * time.Millisecond
	// maxRetryPause bounds the pause.
	maxRetryPause = 80 * time.Millisecond
	// shortestAttempt is the least time that an attempt at a replica gets. The
	// longest statements take about 110 ms.
	shortestAttempt = 150 * time.Millisecond
	// callMargin is added to the deadline of a call to a home host, which answers
	// by itself when the statement's time is over.
	callMargin = 60 * time.Millisecond
	// defaultTimeout bounds a statement when its route does not.
	defaultTimeout = 5 * time.Second
	// defaultTarget is the latency target of a route without one.
	defaultTarget = time.Second
)

// operation is one statement that is sent to a home host.
type operation struct {
	s     *session
	st    statement.Statement
	route config.Route
	tx    *transaction
	// arrived is when the statement arrived, began when its transaction did.
	arrived, began time.Duration
	deadline       time.Duration
	tried          map[string]bool
	attempts       int
	// server and host are those of the last attempt.
	server, host string
	floor        statement.Position
}

func (s *session) operation(st statement.Statement, route config.Route, arrived time.Duration) *operation {
	timeout := route.Deadline.Std()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &operation{s: s, st: st, route: route, arrived: arrived, began: arrived, deadline: arrived + timeout, tried: map[string]bool{}}
}

func (o *operation) now() time.Duration { return o.s.f.opt.Clock() }

// writes reports whether the statement alone needs the primary.
func (o *operation) writes() bool {
	return o.st.Kind == statement.Write || o.st.Kind == statement.Execute && o.st.Shape.Writes
}

// onlyReads reports whether the whole operation reads.
func (o *operation) onlyReads() bool {
	if o.tx != nil {
		return o.tx.begin.Kind == statement.BeginRead
	}
	return !o.writes()
}

// run runs the statement and logs its outcome.
func (o *operation) run() statement.Result {
	resp, err := o.perform()
	took := o.now() - o.arrived
	r := statement.Result{}
	outcome := "ok"
	if err != nil {
		e := o.final(verdict.From(err))
		r.Err, outcome = e, string(e.Reason)
	} else {
		r.Rows, r.Signature = resp.GetRows(), resp.GetSignature()
		r.Position = statement.Position{Term: resp.GetPosition().GetTerm(), Number: resp.GetPosition().GetPosition()}
		o.committed(r.Position)
		o.s.f.opt.Latencies.Record(string(o.route.Mode), took)
	}
	o.s.f.opt.Log.Info().Str("id", o.st.ID).Str("customer", o.s.customer).Str("route", o.route.Name).Str("mode", string(o.route.Mode)).
		Str("kind", o.st.Kind.String()).Bool("tx", o.tx != nil).Str("server", o.server).Str("home", o.host).Int("attempts", o.attempts).
		Uint64("floor_term", o.floor.Term).Uint64("floor", o.floor.Number).Uint64("number", r.Position.Number).
		Dur("took", took).Str("outcome", outcome).Msg("statement")
	return r
}

// final chooses what the caller is told.
func (o *operation) final(e *verdict.Error) *verdict.Error {
	if e.Verdict == verdict.NotRun || !o.onlyReads() || e.Reason == verdict.StatementFailed {
		return e
	}
	// A read keeps nothing, so that it can be repeated whatever became of it.
	return verdict.New(verdict.Ran, verdict.StatementFailed, "%s", e.Message)
}

// committed remembers what the session wrote.
func (o *operation) committed(p statement.Position) {
	if p.IsZero() || o.onlyReads() || o.tx != nil && o.st.Kind != statement.Commit {
		return
	}
	group := o.route.Group
	o.s.commits[group] = statement.Max(o.s.commits[group], p)
}

func (o *operation) perform() (*peerpb.ExecuteResponse, error) {
	if o.tx != nil && o.tx.handle != 0 {
		return o.continueTransaction()
	}
	if o.tx != nil {
		o.began = o.tx.used
	}
	o.s.f.firstAttempt()
	if o.needsPrimary() {
		return o.atPrimary(nil)
	}
	return o.atReplica()
}

func (o *operation) needsPrimary() bool {
	if o.route.Mode == config.RouteCurrent || o.writes() {
		return true
	}
	return o.tx != nil && o.tx.begin.Kind == statement.Begin
}

func (f *Frontend) firstAttempt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget.First()
}

// takeRetry takes one retry from the budget and reports whether there was one.
func (f *Frontend) takeRetry() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget.Retry(f.opt.Clock())
}

// continueTransaction sends a statement to the home host that has the
// transaction.
func (o *operation) continueTransaction() (*peerpb.ExecuteResponse, error) {
	req := o.request()
	req.Transaction = o.tx.handle
	resp, err := o.call(o.tx.host, req, o.deadline)
	if o.st.Kind == statement.Commit || err != nil && verdict.From(err).Reason == verdict.TransactionAborted {
		o.tx.handle = 0
	}
	if err != nil && o.st.Kind != statement.Commit {
		// Whatever happened, the transaction is not committed.
		e := verdict.From(err)
		return nil, verdict.New(verdict.NotRun, verdict.TransactionAborted, "%s", e.Message)
	}
	return resp, err
}

// atPrimary runs the statement at the group's owner.
func (o *operation) atPrimary(last error) (*peerpb.ExecuteResponse, error) {
	pause := retryPause
	for {
		host, ok := o.s.f.opt.Fleet.Owner(o.route.Group)
		if ok {
			req := o.request()
			req.Primary = true
			o.floor = statement.Position{}
			resp, err := o.call(host, req, o.deadline)
			if err == nil || !o.mayRepeat(verdict.From(err)) {
				return resp, err
			}
			last = err
		} else if last == nil {
			last = verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has no owner", o.route.Group)
		}
		if !o.mayWait(pause) {
			return nil, last
		}
		o.s.f.opt.Counters.Retried(verdict.From(last).Reason)
		time.Sleep(pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// giveUpShare is the part of the latency target after which a statement that
// finds no primary is refused, so that the caller can act in time.
const giveUpShare = 0.5

// mayWait reports whether another attempt after the pause still makes sense.
func (o *operation) mayWait(pause time.Duration) bool {
	limit := o.arrived + time.Duration(giveUpShare*float64(o.target()))
	return o.now()+pause < min(limit, o.deadline)
}

func (o *operation) target() time.Duration {
	if t := o.route.Target.Std(); t > 0 {
		return t
	}
	return defaultTarget
}

// mayRepeat reports whether another attempt is allowed and can help.
func (o *operation) mayRepeat(e *verdict.Error) bool {
	if e.Verdict != verdict.NotRun && !o.onlyReads() {
		return false
	}
	switch e.Reason {
	case verdict.DeadlineExpected, verdict.DeadlineExceeded, verdict.QueueFull, verdict.ProtocolViolation, verdict.StatementFailed:
		return false
	}
	return o.now() < o.deadline
}

// atReplica runs a read at a server that has the floor, and at the primary when
// none does.
func (o *operation) atReplica() (*peerpb.ExecuteResponse, error) {
	floor, ok := o.readFloor()
	if !ok {
		return o.atPrimary(verdict.New(verdict.NotRun, verdict.NoFreshReplica, "no sample of group %q is recent enough", o.route.Group))
	}
	var last error
	for o.attempts < maxAttempts && o.now() < o.deadline {
		c, ok := o.candidate()
		if !ok {
			break
		}
		o.tried[c.Server] = true
		if c.Primary {
			break
		}
		resp, err := o.tryReplica(c, floor)
		if err == nil {
			return resp, nil
		}
		e := verdict.From(err)
		last = e
		if !o.mayRepeat(e) && e.Reason != verdict.StatementFailed {
			// The queue of this server is too long, another one's may not be.
			if e.Reason != verdict.DeadlineExpected && e.Reason != verdict.QueueFull {
				break
			}
		}
		if !o.s.f.takeRetry() {
			return nil, last
		}
		o.s.f.opt.Counters.Retried(e.Reason)
	}
	return o.atPrimary(last)
}

func (o *operation) tryReplica(c routing.Candidate, floor statement.Position) (*peerpb.ExecuteResponse, error) {
	req := o.request()
	req.Server = c.Server
	o.floor = floor
	if !guard.On(guard.Floor) {
		floor = statement.Position{}
	}
	req.Floor = &peerpb.Token{Group: o.route.Group, Term: floor.Term, Position: floor.Number}
	began := o.now()
	limit := min(o.deadline, began+max(shortestAttempt, time.Duration(attemptShare*float64(o.target()))))
	o.server = c.Server
	resp, err := o.call(c.Home, req, limit)
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil {
		f.board.Succeeded(o.now(), c, o.now()-began)
	} else {
		f.board.Failed(o.now(), c, verdict.From(err).Reason)
	}
	return resp, err
}

// attemptShare is the part of the latency target that one attempt at a replica
// may take before another server is tried.
const attemptShare = 0.8

// candidate returns the best server that has not been tried.
func (o *operation) candidate() (routing.Candidate, bool) {
	v := o.s.f.opt.Fleet.View(o.route.Group)
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.board.Read(o.now(), v, false) {
		if !o.tried[c.Server] {
			return c, true
		}
	}
	return routing.Candidate{}, false
}

// readFloor returns the position that a replica must have. ok is false when the
// samples are too old.
func (o *operation) readFloor() (statement.Position, bool) {
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.samples.Floor(o.route.Group, o.began-o.route.Staleness.Std())
	if !ok {
		return p, false
	}
	if o.route.Mode == config.RouteOwnWrites {
		p = f.samples.Raise(o.route.Group, p, o.s.commits[o.route.Group])
	}
	return p, true
}

// request returns what is the same for every attempt.
func (o *operation) request() *peerpb.ExecuteRequest {
	req := &peerpb.ExecuteRequest{
		Kind: uint32(o.st.Kind), Id: o.st.ID, Text: o.st.Text, Customer: o.s.customer, Group: o.route.Group,
		Values: o.s.values, Priority: uint32(max(o.route.Priority, 0)),
	}
	if o.st.Kind == statement.Execute {
		req.Arguments, req.ShapeWrites, req.Shape = o.st.Arguments, o.st.Shape.Writes, o.st.Shape.Text
	}
	if o.tx != nil && o.tx.handle == 0 {
		req.BeginId, req.BeginText = o.tx.begin.ID, o.tx.begin.Text
		req.BeginReads = o.tx.begin.Kind == statement.BeginRead
	}
	return req
}

func (s *session) rollbackRequest() *peerpb.ExecuteRequest {
	return &peerpb.ExecuteRequest{
		Kind: uint32(statement.Rollback), Customer: s.customer, Transaction: s.tx.handle, TimeoutUs: rollbackTimeout.Microseconds(),
	}
}

// waitShare bounds the wait for a slot, in latency targets. A late answer is
// still worth something, but a queue that long serves nobody in time.
const waitShare = 1.5

// call sends the request to a host.
func (o *operation) call(host routing.Host, req *peerpb.ExecuteRequest, limit time.Duration) (*peerpb.ExecuteResponse, error) {
	o.attempts++
	o.host = host.Name
	sent := o.now()
	left := limit - sent
	if left <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "no time is left")
	}
	req.TimeoutUs = left.Microseconds()
	req.WaitUs = min(left, time.Duration(waitShare*float64(o.target()))).Microseconds()
	ctx, cancel := context.WithTimeout(context.Background(), left+callMargin)
	defer cancel()
	resp, err := o.s.f.opt.Fleet.Execute(ctx, host, req)
	if err != nil {
		return nil, err
	}
	if f := resp.GetFailure(); f != nil {
		return nil, peer.Refusal(f)
	}
	if p := resp.GetPosition(); resp.GetAuthoritative() && p != nil {
		o.s.f.Observe(o.route.Group, sent, statement.Position{Term: p.GetTerm(), Number: p.GetPosition()})
	}
	if o.tx != nil {
		o.tx.host, o.tx.handle = host, resp.GetTransaction()
	}
	return resp, nil
}
