package executor

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/usage"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

const (
	// maxBusyRetries and busyRetryDelay define the retries of a statement that the
	// server rejected because it had no free slot. This can occur although the
	// executor enforces the slots, because other hosts and status polls use slots,
	// too. The delay doubles with every retry.
	maxBusyRetries = 4
	busyRetryDelay = 4 * time.Millisecond
	// sweepInterval is the interval at which abandoned transactions, idle connections
	// and unused server pools are removed.
	sweepInterval = 250 * time.Millisecond
	// idleTransactionMargin is added to the idle limit of transactions at the home
	// host. The entry host ends idle transactions at the limit itself; the home host
	// acts only when the entry host has failed.
	idleTransactionMargin = 500 * time.Millisecond
	// maxConnIdle is the idle time after which connections are closed. It is shorter
	// than the minute after which servers close idle connections themselves.
	maxConnIdle = 30 * time.Second
	// rollbackTimeout limits the duration of a rollback, after which the connection is
	// closed.
	rollbackTimeout = 300 * time.Millisecond
)

// Authority determines which server this host may use as the primary of a group.
type Authority interface {
	// Primary returns the primary. ok is false while there is none or this host is not
	// the group's owner. With read set, a primary that is being replaced is returned,
	// too.
	Primary(group string, read bool) (server string, ok bool)
	// AwaitPrimary does the same as Primary, but while the primary is being changed it
	// waits for up to limit.
	AwaitPrimary(ctx context.Context, group string, read bool, limit time.Duration) (server string, ok bool)
	// RecordAnswer records that a server answered a statement sent at the given
	// time; p is the log position in the answer.
	RecordAnswer(group, server string, sent time.Duration, p statement.Position)
	// ConfirmCommit reports whether a commit that the server has acknowledged, at the log
	// position p or before, may be acknowledged to the client. It waits for up to limit
	// while the primary is being changed.
	ConfirmCommit(ctx context.Context, group, server string, p statement.Position, limit time.Duration) bool
	// RecordNotPrimary records that the server rejected a write because it is no
	// longer the primary.
	RecordNotPrimary(group, server string)
	// Position returns the newest log position that the server is known to have as the
	// primary, zero if none is known.
	Position(group, server string) statement.Position
	// RecordMissingPosition records that the server lacks a position that Position
	// returned for it.
	RecordMissingPosition(group, server string)
}

// Options configure an Executor.
type Options struct {
	Dialer    statement.Dialer
	Authority Authority
	Snapshot  func() *catalog.Snapshot
	// IsHomeHost reports whether this host is the home host of a server.
	IsHomeHost func(server string) bool
	// Usage counts the requests that begin to run at the servers; nil if they are not
	// counted.
	Usage *usage.Counter
	// ReportLoads adds the load of the server to the response of a statement.
	ReportLoads bool
	// ContentionControl serves waiting requests by what can still be served in time.
	ContentionControl bool
	// Supervision ejects servers that fail.
	Supervision Supervision
	Clock       clock.Clock
	Log         *log.Logger
	Counters    *telemetry.Counters
}

// Executor runs statements at the backend servers of which this host is the home host.
type Executor struct {
	opt Options

	mu           sync.Mutex
	pools        map[string]*serverPool
	transactions map[uint64]*transaction
	// lastHandle is the handle of the newest transaction. Handles are consecutive and
	// start at a random number, so that a handle issued by an earlier process does not
	// match a transaction of this one.
	lastHandle uint64
}

// transaction is a request that holds a connection: an open transaction of a client,
// or a single statement.
type transaction struct {
	pool      *serverPool
	requestID backend.RequestID
	conn      *conn
	// primary is set when the transaction uses the server as the primary, which
	// requires the authority of the group's owner.
	primary bool
	// beginUnconfirmed is set until the first statement has succeeded if the answer to BEGIN
	// may have been that to an earlier one.
	beginUnconfirmed bool
	// floor is the log position that the last read or BEGIN required.
	floor statement.Position
	// valuesSet reports whether session values may have been set for the transaction.
	valuesSet bool
	// busy is set while a statement of the transaction runs. lastUsed is when the last
	// one ended.
	busy     bool
	lastUsed time.Duration
}

// New returns an Executor. firstTransaction, after which the handles of transactions
// start, should be random.
func New(opt Options, firstTransaction uint64) *Executor {
	return &Executor{opt: opt, pools: map[string]*serverPool{}, transactions: map[uint64]*transaction{}, lastHandle: firstTransaction}
}

// Run ends abandoned transactions, closes idle connections and removes unused server
// pools at intervals of sweepInterval until ctx is cancelled.
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
	limit := snapshot.IdleLimit() + idleTransactionMargin
	now := x.opt.Clock()
	var abandoned []*transaction
	var retired, reassigned []*serverPool
	x.mu.Lock()
	for _, p := range x.pools {
		p.withDispatcher(func(now time.Duration) []backend.Action { return p.dispatcher.DropIdle(now, maxConnIdle) })
		p.countDecisions()
	}
	for handle, tx := range x.transactions {
		if !tx.busy && now-tx.lastUsed > limit {
			delete(x.transactions, handle)
			abandoned = append(abandoned, tx)
		}
	}
	for name, p := range x.pools {
		if s, ok := snapshot.Server(name); !ok || s.Incarnation != p.server.Incarnation || s.Address != p.server.Address {
			delete(x.pools, name)
			retired = append(retired, p)
		} else if !x.opt.IsHomeHost(name) {
			reassigned = append(reassigned, p)
		}
	}
	x.mu.Unlock()
	for _, p := range reassigned {
		// Idle connections count towards the connection limit of the server, and the
		// new home host needs them.
		p.withDispatcher(func(now time.Duration) []backend.Action { return p.dispatcher.DropIdle(now, 0) })
	}
	for _, tx := range abandoned {
		x.opt.Counters.Add("transactions_abandoned", 1)
		x.opt.Log.Info().Str("server", tx.pool.server.Name).Dur("idle", now-tx.lastUsed).Msg("idle transaction ended")
		tx.pool.finish(tx.requestID, tx.conn, false)
	}
	for _, p := range retired {
		x.opt.Log.Info().Str("server", p.server.Name).Int64("born", p.server.Incarnation).Msg("backend server retired")
		p.retire()
	}
}

// Transactions returns the number of open transactions.
func (x *Executor) Transactions() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.transactions)
}

// pool returns the pool of a registered server, and creates or replaces it if
// necessary. It fails when the server is not registered or accepts no new statements.
func (x *Executor) pool(name string) (*serverPool, error) {
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
	p, ok := x.pools[name]
	if ok && (p.server.Incarnation != s.Incarnation || p.server.Address != s.Address) {
		go p.retire()
		ok = false
	}
	if !ok {
		restarted := p != nil
		p = newServerPool(x, s)
		x.pools[name] = p
		if restarted && x.opt.Supervision.Enabled {
			p.withDispatcher(func(now time.Duration) []backend.Action {
				p.restartPace(now, "restarted")
				return nil
			})
		}
	} else if x.dispatcherSettings(s) != x.dispatcherSettings(p.server) {
		p.server.Slots, p.server.Connections = s.Slots, s.Connections
		p.configure(x.dispatcherSettings(s))
	}
	return p, nil
}

// Execute runs the statement of a request. A failure is part of the response.
func (x *Executor) Execute(ctx context.Context, req *peerpb.ExecuteRequest) *peerpb.ExecuteResponse {
	c := &call{x: x, ctx: ctx, req: req, began: x.opt.Clock(), resp: &peerpb.ExecuteResponse{}}
	c.deadline = c.began + time.Duration(req.GetTimeoutUs())*time.Microsecond
	if statement.Kind(req.GetKind()) == statement.Execute {
		c.prepared = newPreparedStatement(statement.Shape{Writes: req.GetShapeWrites(), Text: req.GetShape()})
	}
	var err error
	if req.GetTransaction() != 0 {
		err = c.continueTransaction()
	} else {
		err = c.start()
	}
	if err != nil {
		c.resp.Failure = peer.EncodeFailure(verdict.From(err))
	}
	if x.opt.ReportLoads && c.pool != nil {
		c.resp.Load = serverload.Encode(x.opt.Clock(), c.pool.load())
	}
	return c.resp
}

// Loads returns the loads of the servers of which this host is the home host. It returns
// none unless loads are reported.
func (x *Executor) Loads() []serverload.Load {
	if !x.opt.ReportLoads {
		return nil
	}
	x.mu.Lock()
	pools := slices.Collect(maps.Values(x.pools))
	x.mu.Unlock()
	loads := make([]serverload.Load, 0, len(pools))
	for _, p := range pools {
		if x.opt.IsHomeHost(p.server.Name) {
			loads = append(loads, p.load())
		}
	}
	return loads
}
