package executor

import (
	"context"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// call is one Execute call.
type call struct {
	x        *Executor
	ctx      context.Context
	req      *peerpb.ExecuteRequest
	resp     *peerpb.ExecuteResponse
	began    time.Duration
	deadline time.Duration
}

// wall converts a time of the clock into a deadline for sockets.
func (c *call) wall(at time.Duration) time.Time { return time.Now().Add(at - c.x.opt.Clock()) }

// changeShare is the part of a statement's time, in tenths, that it may wait for a
// change of the primary. A promotion takes 0.3 to 1 s, and an answer that comes
// late is worth more to the caller than a refusal.
const changeShare = 8

// reads reports whether the request, with its transaction, only reads.
func (c *call) reads() bool {
	if c.req.GetBeginText() != "" {
		return c.req.GetBeginReads()
	}
	kind := statement.Kind(c.req.GetKind())
	return kind == statement.Read || kind == statement.Execute && !c.req.GetShapeWrites()
}

// start runs a statement that no transaction is open for.
func (c *call) start() error {
	server := c.req.GetServer()
	if c.req.GetPrimary() {
		primary, ok := c.x.opt.Authority.AwaitPrimary(c.ctx, c.req.GetGroup(), c.reads(), changeShare*(c.deadline-c.began)/10)
		if !ok {
			return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has no primary here", c.req.GetGroup())
		}
		server = primary
	}
	l, err := c.x.lane(server)
	if err != nil {
		return err
	}
	if !l.admitCold() {
		return verdict.New(verdict.NotRun, verdict.QueueFull, "%s is cold and takes %.0f requests a second", server, l.coldRate())
	}
	id, conn, err := c.acquire(l)
	if err != nil {
		return err
	}
	tx := &transaction{lane: l, id: id, conn: conn, primary: c.req.GetPrimary()}
	if err := c.ready(tx); err != nil {
		l.finish(id, conn, false)
		return err
	}
	if c.req.GetBeginText() != "" {
		if err := c.prepareConn(tx); err != nil {
			l.finish(id, conn, false)
			return err
		}
		if err := c.begin(tx); err != nil {
			return err
		}
	}
	return c.run(tx, 0)
}

// maxClosed bounds the closed connections that one request comes upon. A server
// that has restarted has closed all of a customer's.
const maxClosed = 8

// acquire waits for a slot and an open connection.
func (c *call) acquire(l *lane) (backend.RequestID, *conn, error) {
	wait := time.Duration(c.req.GetWaitUs()) * time.Microsecond
	for range maxClosed {
		id, conn, err := l.acquire(c.ctx, c.req.GetCustomer(), int(c.req.GetPriority()), wait, c.deadline)
		if err != nil || conn.Open() {
			return id, conn, err
		}
		c.x.opt.Counters.Add("backend_connections_found_closed", 1)
		l.finish(id, conn, false)
	}
	return 0, nil, verdict.New(verdict.NotRun, verdict.ConnectionLost, "%s had closed its idle connections", l.server.Name)
}

// ready makes sure that the connection answers and that it is still allowed to
// use the server as the primary.
func (c *call) ready(tx *transaction) error {
	if tx.primary {
		if primary, ok := c.x.opt.Authority.Primary(c.req.GetGroup(), c.reads()); !ok || primary != tx.lane.server.Name {
			return verdict.New(verdict.NotRun, verdict.NoPrimary, "group %q has changed its primary", c.req.GetGroup())
		}
	}
	if !tx.lane.suspicious(tx.conn) {
		return nil
	}
	if err := tx.conn.Reset(c.wall(c.x.opt.Clock() + verifyTimeout)); err != nil {
		c.x.opt.Log.Info().Str("id", c.req.GetId()).Str("server", tx.lane.server.Name).Err(err).Msg("silent backend connection closed")
		return verdict.New(verdict.NotRun, verdict.ConnectionLost, "a connection to %s is silent", tx.lane.server.Name)
	}
	tx.conn.forget()
	tx.conn.answered = c.x.opt.Clock()
	return nil
}

// exchange runs commands on the connection of a transaction.
func (c *call) exchange(tx *transaction, commands ...statement.Command) ([]statement.Result, error) {
	sent := c.x.opt.Clock()
	results, err := tx.conn.Run(c.wall(c.deadline), commands...)
	now := c.x.opt.Clock()
	if err != nil {
		if verdict.From(err).Reason == verdict.AnswerOverdue {
			tx.lane.noteOverdue()
		}
		return results, err
	}
	tx.conn.answered = now
	last := results[len(results)-1]
	c.x.opt.Authority.Alive(tx.lane.server.Group, tx.lane.server.Name, sent, last.Position)
	return results, nil
}

// begin opens the transaction on the connection. It ends the request on failure.
func (c *call) begin(tx *transaction) error {
	cmd := statement.Command{Statement: statement.Statement{ID: c.req.GetBeginId(), Kind: statement.Begin, Text: c.req.GetBeginText()}, Floor: floor(c.req)}
	results, err := c.exchange(tx, cmd)
	if err == nil && results[0].Err != nil {
		err = c.judge(tx, results[0].Err)
		c.giveBack(tx, results[0].State)
		return err
	}
	if err != nil {
		tx.lane.finish(tx.id, tx.conn, false)
		// An open transaction ends with its connection.
		return verdict.New(verdict.NotRun, verdict.From(err).Reason, "begin at %s: %v", tx.lane.server.Name, err)
	}
	return nil
}

// judge passes what an error of a server says about its role on.
func (c *call) judge(tx *transaction, e *verdict.Error) error {
	if e.Reason == verdict.ReadOnly && tx.primary {
		c.x.opt.Authority.LostLead(tx.lane.server.Group, tx.lane.server.Name)
	}
	return e
}

func floor(req *peerpb.ExecuteRequest) statement.Position {
	return statement.Position{Term: req.GetFloor().GetTerm(), Number: req.GetFloor().GetPosition()}
}

// giveBack ends a request whose connection is in the state.
func (c *call) giveBack(tx *transaction, state statement.State) {
	reuse := state == statement.Idle
	if !reuse {
		reuse = c.rollback(tx)
		// It is not told whether a rollback takes values back.
		tx.conn.uncertain = tx.conn.uncertain || tx.changed
	}
	tx.lane.finish(tx.id, tx.conn, reuse)
}

// rollback ends the transaction on the connection and reports whether the
// connection can be used further.
func (c *call) rollback(tx *transaction) bool {
	at := c.wall(c.x.opt.Clock() + rollbackTimeout)
	r, err := tx.conn.Run(at, statement.Command{Statement: statement.Statement{Kind: statement.Rollback}})
	return err == nil && r[0].Err == nil && r[0].State == statement.Idle
}

// continueTransaction runs the next statement of an open transaction.
func (c *call) continueTransaction() error {
	handle := c.req.GetTransaction()
	c.x.mu.Lock()
	tx, ok := c.x.txs[handle]
	if !ok || tx.busy {
		c.x.mu.Unlock()
		return verdict.New(verdict.NotRun, verdict.TransactionAborted, "the transaction has ended")
	}
	tx.busy = true
	c.x.mu.Unlock()
	if statement.Kind(c.req.GetKind()) == statement.Rollback {
		c.forget(handle)
		c.giveBack(tx, statement.InTransaction)
		return nil
	}
	if err := tx.lane.resume(c.ctx, tx.id, c.deadline); err != nil {
		return c.abort(tx, handle, verdict.From(err))
	}
	return c.run(tx, handle)
}

func (c *call) forget(handle uint64) {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	delete(c.x.txs, handle)
}

// abort rolls a transaction back. Nothing of it is kept, because its COMMIT was
// not sent.
func (c *call) abort(tx *transaction, handle uint64, cause *verdict.Error) error {
	c.forget(handle)
	c.giveBack(tx, statement.InTransaction)
	return verdict.New(verdict.NotRun, verdict.TransactionAborted, "rolled back: %s", cause.Message)
}

// run prepares the connection, runs the statement and keeps or gives back the
// connection.
func (c *call) run(tx *transaction, handle uint64) error {
	inTx := handle != 0 || c.req.GetBeginText() != ""
	result, err := c.statement(tx, inTx)
	if err != nil {
		return c.broken(tx, handle, inTx, verdict.From(err))
	}
	if result.Err != nil {
		return c.failed(tx, handle, inTx, result)
	}
	c.resp.Rows, c.resp.Signature = result.Rows, result.Signature
	c.resp.Position = &peerpb.Token{Group: tx.lane.server.Group, Term: result.Position.Term, Position: result.Position.Number}
	// The authority was checked for the first statement only.
	c.resp.Authoritative = tx.primary && handle == 0
	if result.State == statement.InTransaction && c.ctx.Err() == nil {
		tx.lane.yield(tx.id)
		c.resp.Transaction = c.keep(tx, handle)
		return nil
	}
	if handle != 0 {
		c.forget(handle)
	}
	c.giveBack(tx, result.State)
	return nil
}

// keep remembers the open transaction and returns its handle.
func (c *call) keep(tx *transaction, handle uint64) uint64 {
	c.x.mu.Lock()
	defer c.x.mu.Unlock()
	if handle == 0 {
		c.x.nextTx++
		handle = c.x.nextTx
		c.x.txs[handle] = tx
	}
	tx.busy, tx.used = false, c.x.opt.Clock()
	return handle
}

// broken handles a connection that broke, or that could not be prepared.
func (c *call) broken(tx *transaction, handle uint64, inTx bool, e *verdict.Error) error {
	if handle != 0 {
		c.forget(handle)
	}
	tx.lane.finish(tx.id, tx.conn, false)
	if inTx && statement.Kind(c.req.GetKind()) != statement.Commit || !guard.On(guard.Verdict) {
		return verdict.New(verdict.NotRun, verdict.TransactionAborted, "the connection to %s ended: %s", tx.lane.server.Name, e.Message)
	}
	return e
}

// failed handles an error that the server reported.
func (c *call) failed(tx *transaction, handle uint64, inTx bool, r statement.Result) error {
	e := c.judge(tx, r.Err)
	if handle != 0 {
		c.forget(handle)
	}
	c.giveBack(tx, r.State)
	commit := statement.Kind(c.req.GetKind()) == statement.Commit
	if inTx && (!commit || r.Err.Verdict == verdict.NotRun) {
		return verdict.New(verdict.NotRun, verdict.TransactionAborted, "rolled back: %s", r.Err.Message)
	}
	return e
}
