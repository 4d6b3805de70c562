package frontend

import (
	"cmp"
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
	// maxAttempts limits the attempts to run a statement before only the primary is
	// tried.
	maxAttempts = 6
	// initialRetryDelay is the first backoff delay between attempts at the primary;
	// it doubles with every attempt. A handover of the primary takes about 20 ms.
	initialRetryDelay = 10 * time.Millisecond
	// maxRetryDelay limits the backoff delay.
	maxRetryDelay = 80 * time.Millisecond
	// minReplicaTimeout is the shortest timeout of an attempt at a replica. The
	// longest statements take about 110 ms.
	minReplicaTimeout = 150 * time.Millisecond
	// callTimeoutMargin is added to the timeout of a call to a home host, so that the
	// answer of the home host about an expired statement still arrives.
	callTimeoutMargin = 60 * time.Millisecond
	// defaultTimeout is the timeout of a statement on a route without a deadline.
	defaultTimeout = 5 * time.Second
	// defaultLatencyTarget applies to a route without a latency target.
	defaultLatencyTarget = time.Second
)

// operation is the execution of one statement at home hosts, with its retries.
type operation struct {
	s     *session
	st    statement.Statement
	route config.Route
	tx    *transaction
	// arrived is the arrival time of the statement, began that of the operation: for
	// the first statement of a transaction, the start of the transaction.
	arrived, began time.Duration
	deadline       time.Duration
	triedServers   map[string]bool
	attempts       int
	// server and host are the backend server and the host of the last attempt, floor
	// is the log position that the attempt required.
	server, host string
	floor        statement.Position
	// refusedHere is set when this host refused the last attempt before the hop.
	refusedHere bool
	// waitLimit limits the wait for a slot at the next server; 0 for no other limit than
	// slotWaitShare.
	waitLimit time.Duration
	// mayHaveRun is set when an attempt may have run.
	mayHaveRun bool
}

func (s *session) newOperation(st statement.Statement, route config.Route, arrived time.Duration) *operation {
	timeout := route.Deadline.Std()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &operation{s: s, st: st, route: route, arrived: arrived, began: arrived, deadline: arrived + timeout, triedServers: map[string]bool{}}
}

func (o *operation) now() time.Duration { return o.s.f.opt.Clock() }

// isWrite reports whether the statement itself writes and therefore needs the primary.
func (o *operation) isWrite() bool {
	return o.st.Kind == statement.Write || o.st.Kind == statement.Execute && o.st.Shape.Writes
}

// isReadOnly reports whether the operation, including its transaction, only reads.
func (o *operation) isReadOnly() bool {
	if o.tx != nil {
		return o.tx.begin.Kind == statement.BeginRead
	}
	return !o.isWrite()
}

// run runs the statement and logs its outcome.
func (o *operation) run() statement.Result {
	resp, err := o.execute()
	took := o.now() - o.arrived
	r := statement.Result{}
	outcome := "ok"
	if err != nil {
		e := o.callerError(verdict.From(err))
		r.Err, outcome = e, string(e.Reason)
	} else {
		r.Rows, r.Signature = resp.GetRows(), resp.GetSignature()
		r.Position = statement.Position{Term: resp.GetPosition().GetTerm(), Number: resp.GetPosition().GetPosition()}
		o.recordCommit(r.Position)
		o.s.f.opt.Latencies.Record(string(o.route.Mode), took)
	}
	o.s.f.opt.Log.Info().Str("id", o.st.ID).Str("customer", o.s.customer).Str("route", o.route.Name).Str("mode", string(o.route.Mode)).
		Str("kind", o.st.Kind.String()).Bool("tx", o.tx != nil).Str("server", o.server).Str("home", o.host).Int("attempts", o.attempts).
		Uint64("floor_term", o.floor.Term).Uint64("floor", o.floor.Number).Uint64("number", r.Position.Number).
		Dur("took", took).Str("outcome", outcome).Msg("statement")
	return r
}

// callerError returns the error that the client receives for e.
func (o *operation) callerError(e *verdict.Error) *verdict.Error {
	hidesAttempt := o.refusedHere && o.mayHaveRun
	if e.Verdict == verdict.NotRun && !hidesAttempt || !o.isReadOnly() || e.Reason == verdict.StatementFailed {
		return e
	}
	// A read has no effect, so the client can repeat it safely whether or not it ran.
	return verdict.New(verdict.Ran, verdict.StatementFailed, "%s", e.Message)
}

// recordCommit records the log position of a commit, for later reads of the session.
func (o *operation) recordCommit(p statement.Position) {
	if p.IsZero() || o.isReadOnly() || o.tx != nil && o.st.Kind != statement.Commit {
		return
	}
	group := o.route.Group
	o.s.lastCommits[group] = statement.Max(o.s.lastCommits[group], p)
}

func (o *operation) execute() (*peerpb.ExecuteResponse, error) {
	if o.tx != nil && o.tx.started {
		return o.continueTransaction()
	}
	if o.tx != nil {
		o.began = o.tx.lastUsed
	}
	o.s.f.recordFirstAttempt()
	if o.needsPrimary() {
		return o.runAtPrimary(nil)
	}
	return o.runAtReplica()
}

func (o *operation) needsPrimary() bool {
	if o.route.Mode == config.RouteCurrent || o.isWrite() {
		return true
	}
	return o.tx != nil && o.tx.begin.Kind == statement.Begin
}

func (f *Frontend) recordFirstAttempt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retryBudget.AddFirstAttempt()
}

// takeRetry takes one retry of a request of the given priority from the retry budget. It
// returns false when the budget is exhausted.
func (f *Frontend) takeRetry(priority int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.opt.ContentionControl {
		return f.retryBudget.TakeRetryOf(f.opt.Clock(), priority)
	}
	return f.retryBudget.TakeRetry(f.opt.Clock())
}

// continueTransaction sends a statement to the home host of the open transaction.
func (o *operation) continueTransaction() (*peerpb.ExecuteResponse, error) {
	if o.tx.handle == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.TransactionAborted, "the transaction has ended")
	}
	req := o.newRequest()
	req.Transaction = o.tx.handle
	resp, err := o.callHost(o.tx.host, req, o.deadline)
	if o.st.Kind == statement.Commit || err != nil && verdict.From(err).Reason == verdict.TransactionAborted {
		o.tx.handle = 0
	}
	if err != nil && o.st.Kind != statement.Commit {
		// Whether or not the statement ran, the transaction is not committed.
		e := verdict.From(err)
		return nil, verdict.New(verdict.NotRun, verdict.TransactionAborted, "%s", e.Message)
	}
	return resp, err
}

// runAtPrimary runs the statement at the owner of the group, the host that may use the
// group's primary, and retries with backoff. last is the error of an earlier attempt.
func (o *operation) runAtPrimary(last error) (*peerpb.ExecuteResponse, error) {
	pause := initialRetryDelay
	for {
		host, ok := o.s.f.opt.Fleet.Owner(o.route.Group)
		if ok {
			req := o.newRequest()
			req.Primary = true
			o.floor = statement.Position{}
			resp, err := o.callHost(host, req, o.deadline)
			if err == nil || !o.canRetry(verdict.From(err)) {
				return resp, err
			}
			last = err
		} else if last == nil {
			last = verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has no owner", o.route.Group)
		}
		if !o.canRetryAfter(pause) {
			return nil, last
		}
		o.s.f.opt.Counters.CountRetry(verdict.From(last).Reason)
		time.Sleep(pause)
		pause = min(2*pause, maxRetryDelay)
	}
}

// primaryWaitShare is the fraction of the latency target after which a statement is
// refused while there is no primary, so that the client has time to react.
const primaryWaitShare = 0.5

// canRetryAfter reports whether enough time is left for another attempt after the
// pause.
func (o *operation) canRetryAfter(pause time.Duration) bool {
	limit := o.arrived + time.Duration(primaryWaitShare*float64(o.latencyTarget()))
	return o.now()+pause < min(limit, o.deadline)
}

func (o *operation) latencyTarget() time.Duration {
	if t := o.route.TargetLatency.Std(); t > 0 {
		return t
	}
	return defaultLatencyTarget
}

// canRetry reports whether another attempt after e is safe and may succeed.
func (o *operation) canRetry(e *verdict.Error) bool {
	if e.Verdict != verdict.NotRun && !o.isReadOnly() {
		return false
	}
	switch e.Reason {
	case verdict.DeadlineExpected, verdict.DeadlineExceeded, verdict.QueueFull, verdict.ProtocolViolation, verdict.StatementFailed:
		return false
	}
	return o.now() < o.deadline
}

// runAtReplica runs a read at a replica that has applied the log up to the floor, or
// at the primary when no such replica answers.
func (o *operation) runAtReplica() (*peerpb.ExecuteResponse, error) {
	floor, ok := o.readFloor()
	if !ok {
		return o.runAtPrimary(verdict.New(verdict.NotRun, verdict.NoFreshReplica, "no log position sample of group %q is recent enough", o.route.Group))
	}
	var last error
	for o.attempts < maxAttempts && o.now() < o.deadline {
		c, ok := o.nextCandidate()
		if !ok {
			break
		}
		o.triedServers[c.Server] = true
		if c.Primary {
			break
		}
		resp, err := o.tryReplica(c, floor)
		if err == nil {
			return resp, nil
		}
		e := verdict.From(err)
		last = e
		if !o.canRetry(e) && e.Reason != verdict.StatementFailed {
			// This server's queue is too long, but another server's may be shorter.
			if e.Reason != verdict.DeadlineExpected && e.Reason != verdict.QueueFull {
				break
			}
		}
		// A replica that is too stale has run nothing, and the primary is tried at last:
		// such a retry does not multiply the load of a failing server. The same holds for an
		// attempt that this host refused itself.
		if e.Reason != verdict.NoFreshReplica && !o.refusedHere && !o.isSpill(e) && !o.s.f.takeRetry(o.route.Priority) {
			return nil, last
		}
		o.s.f.opt.Counters.CountRetry(e.Reason)
	}
	o.waitLimit = 0
	return o.runAtPrimary(last)
}

func (o *operation) tryReplica(c routing.Candidate, floor statement.Position) (*peerpb.ExecuteResponse, error) {
	req := o.newRequest()
	req.Server = c.Server
	o.floor = floor
	if !guard.Enabled(guard.Floor) {
		floor = statement.Position{}
	}
	req.Floor = &peerpb.Token{Group: o.route.Group, Term: floor.Term, Position: floor.Number}
	began := o.now()
	limit := o.replicaLimit(began)
	o.server = c.Server
	o.recordSent(began, c)
	resp, err := o.callHost(c.Home, req, limit)
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loadOrder.RecordDone(began, c.Server)
	if err == nil {
		f.balancer.RecordSuccess(o.now(), c, o.now()-began)
	} else {
		f.balancer.RecordFailure(o.now(), c, verdict.From(err).Reason)
	}
	return resp, err
}

// replicaLimit returns the end of an attempt at a replica.
func (o *operation) replicaLimit(began time.Duration) time.Duration {
	return min(o.deadline, began+max(minReplicaTimeout, time.Duration(replicaAttemptShare*float64(o.latencyTarget()))))
}

// replicaAttemptShare is the fraction of the latency target that an attempt at a
// replica may take before another server is tried.
const replicaAttemptShare = 0.8

// nextCandidate returns the best server that the operation has not tried. It leaves out
// replicas that lag, so that the read goes to the primary at once.
func (o *operation) nextCandidate() (routing.Candidate, bool) {
	v := o.s.f.opt.Fleet.View(o.route.Group)
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := o.readCandidates(v)
	i := o.firstUntried(candidates)
	if i < 0 {
		return routing.Candidate{}, false
	}
	o.limitWait(candidates[i+1:])
	return candidates[i], true
}

// readFloor returns the log position that a replica must have applied. It returns
// false when the samples are older than the staleness bound of the route.
func (o *operation) readFloor() (statement.Position, bool) {
	f := o.s.f
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.samples.Floor(o.route.Group, o.began-o.route.Staleness.Std())
	if !ok {
		return p, false
	}
	if o.route.Mode == config.RouteOwnWrites {
		p = f.samples.CoveringPosition(o.route.Group, p, o.s.lastCommits[o.route.Group])
	}
	return p, true
}

// newRequest returns a request with the fields that are equal in all attempts.
func (o *operation) newRequest() *peerpb.ExecuteRequest {
	req := &peerpb.ExecuteRequest{
		Kind: uint32(o.st.Kind), Id: o.st.ID, Text: o.st.Text, Customer: o.s.customer, Group: o.route.Group,
		Values: o.s.values, Priority: uint32(max(o.route.Priority, 0)),
	}
	if o.st.Kind == statement.Execute {
		req.Arguments, req.ShapeWrites, req.Shape = o.st.Arguments, o.st.Shape.Writes, o.st.Shape.Text
	}
	if o.tx != nil && !o.tx.started {
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

// slotWaitShare limits the wait for a slot of the backend server, as a multiple of the
// latency target. A late answer is still useful to the client, but a longer queue
// would make all statements miss their target.
const slotWaitShare = 1.5

// setTimes limits the request and its wait for a slot, when so much time is left.
func (o *operation) setTimes(req *peerpb.ExecuteRequest, left time.Duration) {
	req.TimeoutUs = left.Microseconds()
	req.WaitUs = min(left, o.maxSlotWait()).Microseconds()
}

// callHost sends the request to a host and waits for the answer until limit.
func (o *operation) callHost(host routing.Host, req *peerpb.ExecuteRequest, limit time.Duration) (*peerpb.ExecuteResponse, error) {
	o.attempts++
	o.host, o.refusedHere = host.Name, false
	sent := o.now()
	left := limit - sent
	if left <= 0 {
		return nil, verdict.New(verdict.NotRun, verdict.DeadlineExceeded, "the deadline of the statement has passed")
	}
	o.setTimes(req, left)
	if o.s.f.opt.ContentionControl {
		if err := o.admit(req); err != nil {
			return nil, err
		}
		req.TargetUs = cmp.Or((o.began + o.latencyTarget() - sent).Microseconds(), -1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), left+callTimeoutMargin)
	defer cancel()
	resp, err := o.s.f.opt.Fleet.Execute(ctx, host, req)
	if err == nil && resp.GetFailure() != nil {
		err = peer.DecodeFailure(resp.GetFailure())
	}
	o.recordAdmission(req, err)
	if err != nil {
		o.mayHaveRun = o.mayHaveRun || verdict.From(err).Verdict != verdict.NotRun
		return nil, err
	}
	if p := resp.GetPosition(); resp.GetAuthoritative() && p != nil {
		o.s.f.Observe(o.route.Group, sent, statement.Position{Term: p.GetTerm(), Number: p.GetPosition()})
	}
	if o.tx != nil {
		if resp.GetTransaction() == 0 && o.st.Kind != statement.Commit {
			return nil, verdict.New(verdict.MayHaveRun, verdict.ProtocolViolation, "host %s kept no transaction", host.Name)
		}
		o.tx.host, o.tx.handle, o.tx.started = host, resp.GetTransaction(), true
	}
	return resp, nil
}
