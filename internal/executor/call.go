package executor

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/supervise"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// call is the state of one call of Execute.
type call struct {
	x    *Executor
	ctx  context.Context
	req  *peerpb.ExecuteRequest
	resp *peerpb.ExecuteResponse
	// pool is the pool of the server that the statement was sent to, nil before it is
	// known.
	pool     *serverPool
	began    time.Duration
	deadline time.Duration
	// prepared is what the request executes if it is an Execute.
	prepared preparedStatement
	// probe is set if the read is a probe, probeOutcome is what the last outcome says.
	probe        supervise.Probe
	probeOutcome supervise.ProbeOutcome
}

// socketDeadline converts a time of the executor's clock to a deadline for sockets.
func (c *call) socketDeadline(at time.Duration) time.Time {
	return time.Now().Add(at - c.x.opt.Clock())
}

// primaryWaitTenths is the fraction of a statement's timeout, in tenths, for which the
// statement may wait while the primary changes. A promotion takes 0.3 to 1 s, and a
// late answer is more useful to the client than a refusal.
const primaryWaitTenths = 8

// isReadOnly reports whether the request, including its transaction, only reads.
func (c *call) isReadOnly() bool {
	if c.req.GetBeginText() != "" {
		return c.req.GetBeginReads()
	}
	kind := statement.Kind(c.req.GetKind())
	return kind == statement.Read || kind == statement.Execute && !c.req.GetShapeWrites()
}

// start runs a statement outside an open transaction; the request may open one.
func (c *call) start() error {
	server := c.req.GetServer()
	if c.req.GetPrimary() {
		primary, ok := c.x.opt.Authority.AwaitPrimary(c.ctx, c.req.GetGroup(), c.isReadOnly(), primaryWaitTenths*(c.deadline-c.began)/10)
		if !ok {
			return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has no primary that this host may use", c.req.GetGroup())
		}
		server = primary
	}
	p, err := c.x.pool(server)
	if err != nil {
		return err
	}
	c.pool = p
	if c.probe, err = p.admitSupervised(c.req.GetPrimary()); err != nil {
		return err
	}
	defer c.endProbe(p)
	hasAlternative := c.req.GetWaitUs() < c.req.GetTimeoutUs()
	if err := p.admitPaced(c.req.GetPrimary(), hasAlternative); err != nil {
		return err
	}
	if !p.admitCold() {
		return verdict.New(verdict.NotRun, verdict.QueueFull, "backend server %s is cold and limited to %.0f requests per second", server, p.coldRate())
	}
	id, conn, err := c.acquire(p)
	if err != nil {
		if verdict.From(err).Reason == verdict.BackendUnreachable {
			c.probeOutcome = supervise.Failed
		}
		return err
	}
	tx := &transaction{pool: p, requestID: id, conn: conn, primary: c.req.GetPrimary()}
	if err := c.checkConn(tx); err != nil {
		c.finish(tx, false)
		return err
	}
	if c.req.GetBeginText() != "" {
		if err := c.prepareConn(tx); err != nil {
			c.finish(tx, false)
			return err
		}
		if err := c.begin(tx); err != nil {
			return err
		}
	}
	return c.run(tx, 0)
}

// maxClosedConns limits the connections closed by the server that one request tries. A
// server that has restarted has closed all connections of the customer.
const maxClosedConns = 8

// acquire waits for a slot and a connection that the server has not closed.
func (c *call) acquire(p *serverPool) (backend.RequestID, *conn, error) {
	for range maxClosedConns {
		id, conn, err := p.acquire(c.ctx, c.demand())
		if err != nil || conn.IsOpen() {
			return id, conn, err
		}
		c.x.opt.Counters.Add("backend_connections_found_closed", 1)
		p.finish(id, conn, false)
	}
	return 0, nil, verdict.New(verdict.NotRun, verdict.ConnectionLost, "backend server %s had closed its idle connections", p.server.Name)
}

// demand returns what the request asks of the dispatcher.
func (c *call) demand() backend.Demand {
	d := backend.Demand{
		Customer: c.req.GetCustomer(), Priority: int(c.req.GetPriority()), Wait: time.Duration(c.req.GetWaitUs()) * time.Microsecond,
		Deadline: c.deadline, Writes: statement.Kind(c.req.GetKind()) == statement.Write || c.req.GetShapeWrites(),
		Transaction: c.req.GetBeginText() != "",
	}
	if t := c.req.GetTargetUs(); t != 0 {
		d.Target = c.began + time.Duration(t)*time.Microsecond
	}
	return d
}

// checkConn verifies that the host may still use the server as the primary, if the
// transaction needs it, and that the connection answers. A connection that may be
// unresponsive is probed by resetting it.
func (c *call) checkConn(tx *transaction) error {
	if tx.primary {
		if primary, ok := c.x.opt.Authority.Primary(c.req.GetGroup(), c.isReadOnly()); !ok || primary != tx.pool.server.Name {
			return verdict.New(verdict.NotRun, verdict.NoPrimary, "the primary of group %q has changed", c.req.GetGroup())
		}
	}
	if !tx.pool.mayBeUnresponsive(tx.conn) {
		return nil
	}
	sent := c.x.opt.Clock()
	if err := c.resetConn(tx, sent+probeTimeout, resetProbe); err != nil {
		c.recordOutcome(tx.pool, statement.Rollback, sent, verdict.New(verdict.NotRun, verdict.AnswerOverdue, "reset: %v", err))
		c.x.opt.Log.Info().Str("id", c.req.GetId()).Str("server", tx.pool.server.Name).Err(err).Msg("silent backend connection closed")
		return verdict.New(verdict.NotRun, verdict.ConnectionLost, "a connection to backend server %s does not answer", tx.pool.server.Name)
	}
	tx.conn.lastAnswer = c.x.opt.Clock()
	return nil
}

// exchange runs commands on the connection of a transaction and records whether the
// server answered.
func (c *call) exchange(tx *transaction, commands ...statement.Command) ([]statement.Result, error) {
	sent := c.x.opt.Clock()
	results, err := tx.conn.Run(c.socketDeadline(c.deadline), commands...)
	now := c.x.opt.Clock()
	c.recordOutcome(tx.pool, commands[len(commands)-1].Kind, sent, outcomeOf(results, err))
	if err != nil {
		if verdict.From(err).Reason == verdict.AnswerOverdue {
			tx.pool.recordOverdueAnswer()
		}
		return results, err
	}
	tx.conn.lastAnswer = now
	for _, r := range results {
		tx.conn.answeredError = tx.conn.answeredError || r.Err != nil
	}
	position := statement.Position{}
	if last := results[len(results)-1]; last.Signature != "" {
		// An unsigned answer may be a repetition with an earlier position.
		position = last.Position
	}
	c.x.opt.Authority.RecordAnswer(tx.pool.server.Group, tx.pool.server.Name, sent, position)
	return results, nil
}

// begin opens the transaction on the connection. If it fails, it ends the request.
func (c *call) begin(tx *transaction) error {
	cmd := statement.Command{Statement: statement.Statement{ID: c.req.GetBeginId(), Kind: statement.Begin, Text: c.req.GetBeginText()}, Floor: c.requireFloor(tx)}
	results, err := c.exchange(tx, cmd)
	if err == nil && results[0].Err != nil {
		err = c.reportIfNotPrimary(tx, results[0].Err)
		c.release(tx, results[0].State)
		return err
	}
	if err != nil {
		c.finish(tx, false)
		// The server rolls back an open transaction when its connection is closed, so
		// that the verdict is NotRun.
		return verdict.New(verdict.NotRun, verdict.From(err).Reason, "begin at %s: %v", tx.pool.server.Name, err)
	}
	tx.beginUnconfirmed = results[0].Unconfirmed
	return nil
}

// reportIfNotPrimary notifies the Authority when the error shows that the server is no
// longer the primary, or that it may have lost its log. It returns e.
func (c *call) reportIfNotPrimary(tx *transaction, e *verdict.Error) error {
	if !tx.primary {
		return e
	}
	switch e.Reason {
	case verdict.ReadOnly:
		c.x.opt.Authority.RecordNotPrimary(tx.pool.server.Group, tx.pool.server.Name)
	case verdict.NoFreshReplica:
		c.x.opt.Counters.Add("primary_reads_lagging", 1)
		c.x.opt.Log.Info().Str("id", c.req.GetId()).Str("server", tx.pool.server.Name).
			Uint64("term", tx.floor.Term).Uint64("number", tx.floor.Number).Msg("primary lacks a known position")
		c.x.opt.Authority.RecordMissingPosition(tx.pool.server.Group, tx.pool.server.Name)
	}
	return e
}

// requireFloor returns and records the log position that the server must have before it
// runs a read or a BEGIN. For the primary it is the newest one that this host knows: a server
// that has started again without its log does not have it.
func (c *call) requireFloor(tx *transaction) statement.Position {
	tx.floor = statement.Position{Term: c.req.GetFloor().GetTerm(), Number: c.req.GetFloor().GetPosition()}
	if tx.primary {
		tx.floor = statement.Max(tx.floor, c.x.opt.Authority.Position(tx.pool.server.Group, tx.pool.server.Name))
	}
	return tx.floor
}

// release ends a request whose connection is in the given state, and rolls back an
// open transaction. A connection of the primary is not used again after an error, because
// a later error could be a repetition of it, and would not show that a write has not run.
func (c *call) release(tx *transaction, state statement.State) {
	reuse := state == statement.Idle
	if !reuse {
		reuse = c.rollback(tx)
		// The protocol does not define whether a rollback reverts session values.
		tx.conn.valuesUncertain = tx.conn.valuesUncertain || tx.valuesSet
	}
	c.finish(tx, reuse && !(tx.primary && tx.conn.answeredError))
}

// finish ends a request and closes its connection unless reuse is set.
func (c *call) finish(tx *transaction, reuse bool) {
	if tx.conn != nil {
		tx.pool.finish(tx.requestID, tx.conn, reuse)
		tx.conn = nil
	}
}

// rollback rolls back the transaction on the connection and reports whether the
// connection can be reused.
func (c *call) rollback(tx *transaction) bool {
	at := c.socketDeadline(c.x.opt.Clock() + rollbackTimeout)
	r, err := tx.conn.Run(at, statement.Command{Statement: statement.Statement{Kind: statement.Rollback}})
	return err == nil && r[0].Err == nil && r[0].State == statement.Idle
}

// continueTransaction runs the next statement of an open transaction.
func (c *call) continueTransaction() error {
	handle := c.req.GetTransaction()
	c.x.mu.Lock()
	tx, ok := c.x.transactions[handle]
	if !ok || tx.busy {
		c.x.mu.Unlock()
		return verdict.New(verdict.NotRun, verdict.TransactionAborted, "the transaction has ended")
	}
	tx.busy = true
	c.x.mu.Unlock()
	c.pool = tx.pool
	if statement.Kind(c.req.GetKind()) == statement.Rollback {
		c.removeTransaction(handle)
		c.release(tx, statement.InTransaction)
		return nil
	}
	if err := tx.pool.resume(c.ctx, tx.requestID, c.deadline); err != nil {
		return c.abort(tx, handle, verdict.From(err))
	}
	return c.run(tx, handle)
}

func (c *call) removeTransaction(handle uint64) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	delete(c.x.transactions, handle)
}

// abort rolls a transaction back. The verdict is NotRun, because COMMIT was not sent.
func (c *call) abort(tx *transaction, handle uint64, cause *verdict.Error) error {
	c.removeTransaction(handle)
	c.release(tx, statement.InTransaction)
	return verdict.New(verdict.NotRun, verdict.TransactionAborted, "rolled back: %s", cause.Message)
}

// run prepares the connection, runs the statement, and keeps the connection if a
// transaction is open, or releases it. It returns an error for a statement of an open
// transaction unless the transaction is kept, so that a success without a handle means
// that none is open.
func (c *call) run(tx *transaction, handle uint64) error {
	inTx := handle != 0 || c.req.GetBeginText() != ""
	result, err := c.runStatement(tx, inTx)
	if err != nil {
		return c.connFailed(tx, handle, inTx, verdict.From(err))
	}
	if result.Err != nil {
		return c.statementFailed(tx, handle, inTx, result)
	}
	staysOpen := inTx && statement.Kind(c.req.GetKind()) != statement.Commit
	if staysOpen != (result.State == statement.InTransaction) {
		e := verdict.New(verdict.MayHaveRun, verdict.ProtocolViolation, "backend server %s reported an unexpected transaction state", tx.pool.server.Name)
		return c.connFailed(tx, handle, inTx, e)
	}
	tx.beginUnconfirmed = false
	if staysOpen && c.ctx.Err() != nil {
		// The caller would run the rest of the transaction in another one if the
		// statement were reported as a success.
		c.x.opt.Counters.Add("transactions_cancelled", 1)
		return c.abort(tx, handle, verdict.New(verdict.NotRun, verdict.Cancelled, "the caller no longer waits for the answer"))
	}
	if staysOpen {
		tx.pool.yieldSlot(tx.requestID)
		c.resp.Transaction = c.storeTransaction(tx, handle)
	} else {
		if handle != 0 {
			c.removeTransaction(handle)
		}
		c.release(tx, result.State)
		if tx.primary && c.isCommit() && !c.x.opt.Authority.ConfirmCommit(c.ctx, tx.pool.server.Group, tx.pool.server.Name, result.Position, c.deadline-c.x.opt.Clock()) {
			return verdict.New(verdict.MayHaveRun, verdict.AuthorityLost, "the primary of group %q was replaced during the commit", tx.pool.server.Group)
		}
	}
	c.resp.Rows, c.resp.Signature = result.Rows, result.Signature
	c.resp.Position = &peerpb.Token{Group: tx.pool.server.Group, Term: result.Position.Term, Position: result.Position.Number}
	// Later statements do not check that the host may use the primary, so that their
	// positions are not authoritative.
	c.resp.Authoritative = tx.primary && handle == 0
	return nil
}

// isCommit reports whether the success of the statement says that writes are kept.
func (c *call) isCommit() bool {
	switch statement.Kind(c.req.GetKind()) {
	case statement.Write, statement.Commit:
		return true
	case statement.Execute:
		return c.req.GetShapeWrites()
	}
	return false
}

// storeTransaction stores the open transaction until its next statement and returns its
// handle.
func (c *call) storeTransaction(tx *transaction, handle uint64) uint64 {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if handle == 0 {
		c.x.lastHandle++
		handle = c.x.lastHandle
		c.x.transactions[handle] = tx
	}
	tx.busy, tx.lastUsed = false, c.x.opt.Clock()
	return handle
}

// connFailed ends a request whose connection failed or could not be prepared.
func (c *call) connFailed(tx *transaction, handle uint64, inTx bool, e *verdict.Error) error {
	if handle != 0 {
		c.removeTransaction(handle)
	}
	c.finish(tx, false)
	_ = c.reportIfNotPrimary(tx, e)
	if tx.beginUnconfirmed && c.isCommit() {
		return e // the write may have run outside a transaction
	}
	if inTx && statement.Kind(c.req.GetKind()) != statement.Commit || !guard.Enabled(guard.Verdict) {
		return verdict.New(verdict.NotRun, verdict.TransactionAborted, "the connection to %s ended: %s", tx.pool.server.Name, e.Message)
	}
	return e
}

// statementFailed ends a request whose statement the server answered with an error.
func (c *call) statementFailed(tx *transaction, handle uint64, inTx bool, r statement.Result) error {
	e := c.reportIfNotPrimary(tx, r.Err)
	if handle != 0 {
		c.removeTransaction(handle)
	}
	c.release(tx, r.State)
	commit := statement.Kind(c.req.GetKind()) == statement.Commit
	if inTx && (!commit || r.Err.Verdict == verdict.NotRun) {
		return verdict.New(verdict.NotRun, verdict.TransactionAborted, "rolled back: %s", r.Err.Message)
	}
	return e
}
