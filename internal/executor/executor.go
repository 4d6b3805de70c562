package executor

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// busyRetries and busyPause bound the repetition of a statement that the
	// server turned down for lack of a slot. Other hosts and status polls use
	// slots, too.
	busyRetries = 4
	busyPause   = 4 * time.Millisecond
	// sweepInterval is how often abandoned transactions are looked for.
	sweepInterval = 250 * time.Millisecond
	// defaultIdleTx bounds the idle time of a transaction when the configuration
	// does not.
	defaultIdleTx = 30 * time.Second
	// idleTxMargin is added to the limit at the home host, because the entry host
	// ends idle transactions first unless it is gone.
	idleTxMargin = 500 * time.Millisecond
	// maxIdle closes connections that have not been used for so long, before a
	// server does; servers close them after a minute.
	maxIdle = 30 * time.Second
	// rollbackTimeout bounds a rollback; the connection is closed after it.
	rollbackTimeout = 300 * time.Millisecond
)

// Authority says which server this host may use as the primary of a group.
type Authority interface {
	// Primary returns the server, false while there is none or this host is not
	// the group's owner. For reads that is also a server which is being replaced.
	Primary(group string, read bool) (server string, ok bool)
	// AwaitPrimary is Primary, but waits while the primary is being changed.
	AwaitPrimary(ctx context.Context, group string, read bool, limit time.Duration) (server string, ok bool)
	// Alive notes an answer of a server to a statement sent at the time.
	Alive(group, server string, sent time.Duration, p statement.Position)
	// LostLead notes that a statement found the server without the lead.
	LostLead(group, server string)
}

// Options configure an Executor.
type Options struct {
	Dialer    statement.Dialer
	Authority Authority
	Snapshot  func() *catalog.Snapshot
	// Mine reports whether this host is the home host of a server.
	Mine     func(server string) bool
	Clock    clock.Clock
	Log      *log.Logger
	Counters *telemetry.Counters
}

// Executor runs statements at backend servers.
type Executor struct {
	opt Options

	mu    sync.Mutex
	lanes map[string]*lane
	txs   map[uint64]*transaction
	// nextTx numbers transactions. It starts at a random number, so that a
	// handle of an earlier process is not mistaken for a new one.
	nextTx uint64
}

// transaction is an open transaction of a caller.
type transaction struct {
	lane *lane
	id   backend.RequestID
	conn *conn
	// primary is set when the transaction runs under the authority of the owner.
	primary bool
	// changed is set when values were set inside the transaction.
	changed bool
	busy    bool
	used    time.Duration
}

// New returns an Executor. FirstTransaction should be random.
func New(opt Options, firstTransaction uint64) *Executor {
	return &Executor{opt: opt, lanes: map[string]*lane{}, txs: map[uint64]*transaction{}, nextTx: firstTransaction}
}

// Run ends abandoned transactions and unused lanes until ctx ends.
func (x *Executor) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			x.sweep()
		case <-ctx.Done():
			return
		}
	}
}

func (x *Executor) sweep() {
	snapshot := x.opt.Snapshot()
	limit := defaultIdleTx
	if snapshot.Configuration != nil && snapshot.IdleTx > 0 {
		limit = snapshot.IdleTx
	}
	now := x.opt.Clock()
	var abandoned []*transaction
	var retired, foreign []*lane
	x.mu.Lock()
	for _, l := range x.lanes {
		l.do(func(now time.Duration) []backend.Action { return l.machine.DropIdle(now, maxIdle) })
	}
	for handle, tx := range x.txs {
		if !tx.busy && now-tx.used > limit+idleTxMargin {
			delete(x.txs, handle)
			abandoned = append(abandoned, tx)
		}
	}
	for name, l := range x.lanes {
		if s, ok := snapshot.Server(name); !ok || s.Born != l.server.Born || s.Address != l.server.Address {
			delete(x.lanes, name)
			retired = append(retired, l)
		} else if !x.opt.Mine(name) {
			foreign = append(foreign, l)
		}
	}
	x.mu.Unlock()
	for _, l := range foreign {
		// The connections count at the server, where the new home host needs them.
		l.do(func(now time.Duration) []backend.Action { return l.machine.DropIdle(now, 0) })
	}
	for _, tx := range abandoned {
		x.opt.Counters.Add("transactions_abandoned", 1)
		x.opt.Log.Info().Str("server", tx.lane.server.Name).Dur("idle", now-tx.used).Msg("idle transaction ended")
		tx.lane.finish(tx.id, tx.conn, false)
	}
	for _, l := range retired {
		x.opt.Log.Info().Str("server", l.server.Name).Int64("born", l.server.Born).Msg("backend server retired")
		l.retire()
	}
}

// Transactions returns the number of open transactions.
func (x *Executor) Transactions() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.txs)
}

// lane returns the lane of a registered server.
func (x *Executor) lane(name string) (*lane, error) {
	snapshot := x.opt.Snapshot()
	s, ok := snapshot.Server(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.BackendUnreachable, "server %q is not registered", name)
	}
	if !s.Usable(snapshot.ZonesOut) {
		return nil, verdict.New(verdict.NotRun, verdict.ServerLeaving, "server %q gets no new work", name)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	l, ok := x.lanes[name]
	if ok && (l.server.Born != s.Born || l.server.Address != s.Address) {
		go l.retire()
		ok = false
	}
	if !ok {
		l = newLane(x, s)
		x.lanes[name] = l
	} else if limits(s) != limits(l.server) {
		l.server.Slots, l.server.Connections = s.Slots, s.Connections
		l.do(func(now time.Duration) []backend.Action { return l.machine.Configure(now, limits(s)) })
	}
	return l, nil
}

// Execute runs one statement.
func (x *Executor) Execute(ctx context.Context, req *peerpb.ExecuteRequest) *peerpb.ExecuteResponse {
	c := &call{x: x, ctx: ctx, req: req, began: x.opt.Clock(), resp: &peerpb.ExecuteResponse{}}
	c.deadline = c.began + time.Duration(req.GetTimeoutUs())*time.Microsecond
	var err error
	if req.GetTransaction() != 0 {
		err = c.continueTransaction()
	} else {
		err = c.start()
	}
	if err != nil {
		c.fail(verdict.From(err))
	}
	return c.resp
}

// call is one Execute call.
type call struct {
	x        *Executor
	ctx      context.Context
	req      *peerpb.ExecuteRequest
	resp     *peerpb.ExecuteResponse
	began    time.Duration
	deadline time.Duration
}

func (c *call) fail(e *verdict.Error) {
	code := uint32(0)
	if e.Verdict == verdict.NotRun {
		code = uint32(verdict.NotRun)
	}
	c.resp.Failure = &peerpb.Failure{Verdict: code, Reason: string(e.Reason), Message: e.Message}
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
	kind := statement.Begin
	cmd := statement.Command{Statement: statement.Statement{ID: c.req.GetBeginId(), Kind: kind, Text: c.req.GetBeginText()}, Floor: floor(c.req)}
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

// statement runs the caller's statement, again while the server is too busy.
func (c *call) statement(tx *transaction, inTx bool) (statement.Result, error) {
	for try := 0; ; try++ {
		if err := c.prepareConn(tx); err != nil {
			return statement.Result{}, err
		}
		results, err := c.exchange(tx, c.command(inTx))
		if err != nil {
			return statement.Result{}, err
		}
		r := results[0]
		again := r.Err != nil && try < busyRetries && c.repeatable(tx, inTx, r)
		if !again || c.x.opt.Clock()+busyPause >= c.deadline {
			return r, nil
		}
		c.x.opt.Counters.Retried(r.Err.Reason)
		if r.Err.Reason == verdict.ServerBusy {
			time.Sleep(busyPause << try)
		}
	}
}

// repeatable reports whether the statement did not run and can be sent again on
// the same connection.
func (c *call) repeatable(tx *transaction, inTx bool, r statement.Result) bool {
	want := statement.Idle
	if inTx {
		want = statement.InTransaction
	}
	if r.State != want {
		return false
	}
	switch r.Err.Reason {
	case verdict.ServerBusy:
		return true
	case verdict.UnknownStatement:
		clear(tx.conn.prepared)
		return true
	}
	return false
}

// command returns the caller's statement as it is sent.
func (c *call) command(inTx bool) statement.Command {
	kind := statement.Kind(c.req.GetKind())
	cmd := statement.Command{Statement: statement.Statement{ID: c.req.GetId(), Kind: kind, Text: c.req.GetText()}}
	if kind == statement.Execute {
		cmd.Name, cmd.Arguments = preparedName(c.shape()), c.req.GetArguments()
	}
	if !inTx {
		cmd.Floor = floor(c.req)
	}
	return cmd
}

func (c *call) shape() statement.Shape {
	return statement.Shape{Writes: c.req.GetShapeWrites(), Text: c.req.GetShape()}
}

// preparedName is the name of a shape on every connection, so that sessions
// share prepared statements.
func preparedName(s statement.Shape) string {
	prefix := "r"
	if s.Writes {
		prefix = "w"
	}
	return prefix + strconv.FormatUint(xxhash.Sum64String(s.Text), 36)
}

// prepareConn gives the connection the session's values and the prepared
// statement. A connection with values that the session does not have is reset.
func (c *call) prepareConn(tx *transaction) error {
	if c.foreignValues(tx.conn) || len(tx.conn.prepared) > maxPrepared {
		if err := tx.conn.Reset(c.wall(c.deadline)); err != nil {
			return verdict.New(verdict.NotRun, verdict.ConnectionLost, "reset: %v", err)
		}
		tx.conn.forget()
	}
	commands, after := c.setup(tx.conn)
	if len(commands) == 0 {
		return nil
	}
	results, err := c.exchange(tx, commands...)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.From(err).Reason, "prepare the connection: %v", err)
	}
	for _, r := range results {
		if r.Err != nil {
			return verdict.New(verdict.NotRun, verdict.ConnectionLost, "prepare the connection: %v", r.Err)
		}
	}
	after()
	tx.changed = tx.changed || len(c.req.GetValues()) > 0
	return nil
}

func (c *call) foreignValues(conn *conn) bool {
	if !guard.On(guard.Values) {
		return false
	}
	if conn.uncertain {
		return true
	}
	for name := range conn.values {
		if _, ok := c.req.GetValues()[name]; !ok {
			return true
		}
	}
	return false
}

// setup returns the commands that the connection needs and the change of what is
// known of it afterwards.
func (c *call) setup(conn *conn) (commands []statement.Command, after func()) {
	for name, value := range c.req.GetValues() {
		if old, ok := conn.values[name]; !ok || old != value {
			commands = append(commands, statement.Command{Statement: statement.Statement{Kind: statement.Set, Name: name, Arguments: value}})
		}
	}
	name := ""
	if statement.Kind(c.req.GetKind()) == statement.Execute {
		if n := preparedName(c.shape()); !conn.prepared[n] {
			name = n
			commands = append(commands, statement.Command{Statement: statement.Statement{Kind: statement.Prepare, Name: n, Shape: c.shape()}})
		}
	}
	return commands, func() {
		for n, v := range c.req.GetValues() {
			conn.values[n] = v
		}
		if name != "" {
			conn.prepared[name] = true
		}
	}
}
