package home

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/verdict"
)

// Authority decides when the primary of a group may be used and when its
// answers may be sent to the entry host. It is implemented by package owner.
type Authority interface {
	// WritableTerm returns the term in which the group's primary may be used now,
	// or an error with the verdict NotRun.
	WritableTerm(group, server string) (term uint64, err error)
	// ConfirmWrite blocks until a commit at the position may be acknowledged.
	ConfirmWrite(ctx context.Context, group string, term, position uint64) error
	// RecordCommit records a confirmed commit of a customer. It is called before
	// the commit is acknowledged.
	RecordCommit(group, customer string, term, position uint64)
	// ConfirmRead blocks until the answer to a read on the primary may be sent.
	// The read must have been sent after the call to WritableTerm.
	ConfirmRead(ctx context.Context, group string, term uint64) error
	// DataAge returns the age of the data of a replica that has applied the
	// position. It returns false if the age is unknown or the term is not the
	// current one.
	DataAge(group string, term, position uint64) (time.Duration, bool)
}

// Options holds the configuration and dependencies of a Home.
type Options struct {
	// Host is the name of this host. It is part of the application_name of
	// backend connections.
	Host        string
	Credentials dbconn.Credentials
	// ControlCredentials holds the credentials of the connections that query status
	// and evict other connections. The default is Credentials.
	ControlCredentials dbconn.Credentials
	Authority          Authority
	Log                *log.Logger
	Counters           *telemetry.Counters
	// OnEvicted, if set, is called when another home host has evicted this
	// host's connections to a server, at most once for each call of ServeBackend. The
	// caller has to read the role row again; the server is not served until the
	// next call of ServeBackend. OnEvicted must not block.
	OnEvicted func(server string)
	// HomeHost returns the name of the host that holds the home role of a server, empty
	// if it is not known. If set, refusals of streams for another home host name it.
	HomeHost func(server string) string
}

// maxConcurrentDials limits the connections that one host opens concurrently.
// An unreachable server occupies up to 4 of them, which must not delay
// connections to other servers.
const maxConcurrentDials = 128

// Home serves the backend servers whose home role this host holds.
type Home struct {
	opt         Options
	dialWorkers pond.Pool
	ctx         context.Context
	stop        context.CancelFunc

	mu    sync.Mutex
	pools map[string]*pool
	// activePools holds every pool that has not terminated, including those
	// that were released and are still draining.
	activePools map[*pool]struct{}
	wg          sync.WaitGroup
}

// New returns a Home that serves no backend server yet.
func New(opt Options) *Home {
	if opt.ControlCredentials.User == "" {
		opt.ControlCredentials = opt.Credentials
	}
	if opt.Counters == nil {
		opt.Counters = telemetry.NewCounters()
	}
	if opt.Log == nil {
		opt.Log = &log.Logger{Level: log.PanicLevel}
	}
	h := &Home{opt: opt, dialWorkers: pond.NewPool(maxConcurrentDials), pools: make(map[string]*pool), activePools: make(map[*pool]struct{})}
	h.ctx, h.stop = context.WithCancel(context.Background())
	return h
}

// Run blocks until ctx is done, then closes all connections and returns.
func (h *Home) Run(ctx context.Context) error {
	<-ctx.Done()
	h.mu.Lock()
	h.stop()
	h.mu.Unlock()
	h.wg.Wait()
	h.dialWorkers.StopAndWait()
	return nil
}

// ServeBackend starts serving a backend server, or updates its settings or role
// epoch.
func (h *Home) ServeBackend(group string, server config.Server, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return
	}
	if p, ok := h.pools[server.Name]; ok && p.reconfigure(group, server, epoch) {
		return
	}
	if p, ok := h.pools[server.Name]; ok {
		p.drain(verdict.WrongHome)
	}
	p := newPool(h, group, server, epoch)
	h.pools[server.Name] = p
	h.activePools[p] = struct{}{}
	h.wg.Go(func() {
		p.run()
		h.mu.Lock()
		delete(h.activePools, p)
		h.mu.Unlock()
	})
}

// Release stops admitting work for a backend server. Open transactions may
// finish.
func (h *Home) Release(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.pools[server]; ok {
		p.drain(verdict.Draining)
		delete(h.pools, server)
	}
}

// Drain releases a backend server and blocks until its open transactions have
// finished and its connections are closed. It returns an error if ctx is done
// first.
func (h *Home) Drain(ctx context.Context, server string) error {
	h.Release(server)
	for _, p := range h.activePoolsOf(server) {
		select {
		case <-p.drained:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain backend server %s", server)
		}
	}
	return nil
}

func (h *Home) activePoolsOf(server string) []*pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pools []*pool
	for p := range h.activePools {
		if p.name == server {
			pools = append(pools, p)
		}
	}
	return pools
}

// HasOpenTransactions reports whether a stream holds a connection to a backend
// server.
func (h *Home) HasOpenTransactions(server string) bool {
	for _, p := range h.activePoolsOf(server) {
		if p.hasActiveStream() {
			return true
		}
	}
	return false
}

// TakeoverDone reports whether this host has evicted the data connections of the
// server's previous home host.
func (h *Home) TakeoverDone(server string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.pools[server]
	return ok && p.takeoverDone.Load()
}

// Connections returns the number of open connections to a server, including
// those of pools that were released and are still draining.
func (h *Home) Connections(server string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for p := range h.activePools {
		if p.name == server {
			n += p.ownConnections()
		}
	}
	return n
}

// removePool stops routing streams to a pool whose connections were evicted.
func (h *Home) removePool(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pools[p.name] == p {
		delete(h.pools, p.name)
	}
}

// poolFor returns the pool of a server whose home role this host holds.
func (h *Home) poolFor(group, server string) (*pool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.pools[server]
	if !ok || p.group != group {
		return nil, verdict.New(verdict.NotRun, verdict.WrongHome, "%s is not the home host of %s in group %s", h.opt.Host, server, group)
	}
	return p, nil
}

// applicationName returns the application_name of the data connections of a
// role epoch.
func (h *Home) applicationName(epoch uint64) string {
	return fmt.Sprintf("cranberryhinge/%s/%d", h.opt.Host, epoch)
}

// Serve runs the transaction of one Run stream. Failures of the transaction are
// sent on the stream; the returned error reports a failure of the stream
// itself.
func (h *Home) Serve(s peer.RunServerStream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	start := first.GetStart()
	if start == nil {
		return h.sendFailure(s, start, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "Run stream does not begin with a start message"))
	}
	p, err := h.poolFor(start.Group, start.Server)
	if err != nil {
		h.opt.Counters.CountRefusal(verdict.From(err).Reason)
		return h.sendFailure(s, start, verdict.From(err))
	}
	r := newRunStream(h, p, s, start)
	err = r.serve()
	if err == nil {
		return nil
	}
	if s.Context().Err() != nil {
		return s.Context().Err()
	}
	e := verdict.From(err)
	h.opt.Counters.CountRefusal(e.Reason)
	return h.sendFailure(s, start, e)
}

// sendFailure ends a stream with an error. A refusal by a host that is not the home host
// of the server names the home host.
func (h *Home) sendFailure(s peer.RunServerStream, start *peerpb.Start, e *verdict.Error) error {
	f := peer.EncodeFailure(e)
	if e.Reason == verdict.WrongHome && h.opt.HomeHost != nil {
		if host := h.opt.HomeHost(start.GetServer()); host != h.opt.Host {
			f.Home = host
		}
	}
	return s.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: f}})
}
