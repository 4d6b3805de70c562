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

// Authority says when the primary of a group may be used and when its answers
// may leave. The owner shell implements it.
type Authority interface {
	// Writable returns the term in which the group's primary may be used now,
	// or a NotRun error.
	Writable(group, server string) (term uint64, err error)
	// ConfirmWrite returns once a commit at the position may be acknowledged.
	ConfirmWrite(ctx context.Context, group string, term, position uint64) error
	// Committed notes a confirmed commit of a customer before it is
	// acknowledged.
	Committed(group, customer string, term, position uint64)
	// ConfirmRead returns once a read on the primary, sent after the call to
	// Writable, may be answered.
	ConfirmRead(ctx context.Context, group string, term uint64) error
	// Age returns the age of the data of a replica that has applied the
	// position, false when it is unknown or of another term.
	Age(group string, term, position uint64) (time.Duration, bool)
}

// Options are the dependencies of a Home.
type Options struct {
	// Host is the name of this host, part of application_name.
	Host        string
	Credentials dbconn.Credentials
	// Control are the credentials for evict; default is Credentials.
	Control   dbconn.Credentials
	Authority Authority
	Log       *log.Logger
	Counters  *telemetry.Counters
	// OnEvicted, if set, is called, once for each Hold, when another home host evicted the
	// connections to a server. The role row has to be read again; the server
	// is served again after the next Hold. It must not block.
	OnEvicted func(server string)
}

// openers is the number of connections that one host opens at the same time. An
// unreachable server occupies up to 4 of them, which must not hold up others.
const openers = 128

// Home serves the backend servers whose home role this host holds.
type Home struct {
	opt     Options
	openers pond.Pool
	ctx     context.Context
	stop    context.CancelFunc

	mu    sync.Mutex
	pools map[string]*pool
	// live holds every pool that has not ended yet.
	live map[*pool]struct{}
	wg   sync.WaitGroup
}

// New returns a Home that serves no backend server yet.
func New(opt Options) *Home {
	if opt.Control.User == "" {
		opt.Control = opt.Credentials
	}
	if opt.Counters == nil {
		opt.Counters = telemetry.NewCounters()
	}
	if opt.Log == nil {
		opt.Log = &log.Logger{Level: log.PanicLevel}
	}
	h := &Home{opt: opt, openers: pond.NewPool(openers), pools: make(map[string]*pool), live: make(map[*pool]struct{})}
	h.ctx, h.stop = context.WithCancel(context.Background())
	return h
}

// Run returns when ctx has ended and every connection is closed.
func (h *Home) Run(ctx context.Context) error {
	<-ctx.Done()
	h.mu.Lock()
	h.stop()
	h.mu.Unlock()
	h.wg.Wait()
	h.openers.StopAndWait()
	return nil
}

// Hold starts serving a backend server, or changes its settings or epoch.
func (h *Home) Hold(group string, server config.Server, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return
	}
	if p, ok := h.pools[server.Name]; ok && p.hold(group, server, epoch) {
		return
	}
	if p, ok := h.pools[server.Name]; ok {
		p.drain(verdict.WrongHome)
	}
	p := newPool(h, group, server, epoch)
	h.pools[server.Name] = p
	h.live[p] = struct{}{}
	h.wg.Go(func() {
		p.run()
		h.mu.Lock()
		delete(h.live, p)
		h.mu.Unlock()
	})
}

// Release stops new work for a backend server and lets open work end.
func (h *Home) Release(server string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p, ok := h.pools[server]; ok {
		p.drain(verdict.Draining)
		delete(h.pools, server)
	}
}

// Drain releases a backend server and returns once its open work has ended.
func (h *Home) Drain(ctx context.Context, server string) error {
	h.Release(server)
	for _, p := range h.livePools(server) {
		select {
		case <-p.drained:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "drain %s", server)
		}
	}
	return nil
}

func (h *Home) livePools(server string) []*pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pools []*pool
	for p := range h.live {
		if p.name == server {
			pools = append(pools, p)
		}
	}
	return pools
}

// Busy reports whether a transaction runs on a backend server.
func (h *Home) Busy(server string) bool {
	for _, p := range h.livePools(server) {
		if p.busy() {
			return true
		}
	}
	return false
}

// TakenOver reports whether this host has evicted the data connections of the
// server's previous home host.
func (h *Home) TakenOver(server string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.pools[server]
	return ok && p.taken.Load()
}

// Connections returns the number of open connections to a server, including
// those of a role that was released and still drains.
func (h *Home) Connections(server string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for p := range h.live {
		if p.name == server {
			n += p.own()
		}
	}
	return n
}

// forget stops using a pool whose connections were evicted.
func (h *Home) forget(p *pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pools[p.name] == p {
		delete(h.pools, p.name)
	}
}

// pool returns the pool of a server whose role is held.
func (h *Home) pool(group, server string) (*pool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.pools[server]
	if !ok || p.group != group {
		return nil, verdict.New(verdict.NotRun, verdict.WrongHome, "%s is not the home host of %s in group %s", h.opt.Host, server, group)
	}
	return p, nil
}

// application is the application_name of the data connections of an epoch.
func (h *Home) application(epoch uint64) string {
	return fmt.Sprintf("cranberryhinge/%s/%d", h.opt.Host, epoch)
}

// Serve runs the transaction of one stream. A failure is reported on the
// stream; the returned error is only that of the stream itself.
func (h *Home) Serve(s peer.RunServerStream) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	start := first.GetStart()
	if start == nil {
		return sendFailure(s, verdict.New(verdict.NotRun, verdict.ProtocolViolation, "stream without start"))
	}
	p, err := h.pool(start.Group, start.Server)
	if err != nil {
		h.opt.Counters.Refused(verdict.From(err).Reason)
		return sendFailure(s, verdict.From(err))
	}
	r := newRun(h, p, s, start)
	err = r.serve()
	if err == nil {
		return nil
	}
	if s.Context().Err() != nil {
		return s.Context().Err()
	}
	e := verdict.From(err)
	h.opt.Counters.Refused(e.Reason)
	return sendFailure(s, e)
}

func sendFailure(s peer.RunServerStream, e *verdict.Error) error {
	return s.Send(&peerpb.RunResponse{Kind: &peerpb.RunResponse_Failure{Failure: peer.Failure(e)}})
}
