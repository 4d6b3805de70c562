package executor

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/cranberryhinge/cranberryhinge/internal/backend"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
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
	limit := snapshot.IdleLimit() + idleTxMargin
	now := x.opt.Clock()
	var abandoned []*transaction
	var retired, foreign []*lane
	x.mu.Lock()
	for _, l := range x.lanes {
		l.do(func(now time.Duration) []backend.Action { return l.machine.DropIdle(now, maxIdle) })
	}
	for handle, tx := range x.txs {
		if !tx.busy && now-tx.used > limit {
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
		c.resp.Failure = peer.Failure(verdict.From(err))
	}
	return c.resp
}
