package server

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/entry"
	"github.com/cranberryhinge/cranberryhinge/internal/home"
	"github.com/cranberryhinge/cranberryhinge/internal/limit"
	"github.com/cranberryhinge/cranberryhinge/internal/member"
	"github.com/cranberryhinge/cranberryhinge/internal/owner"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/report"
	"github.com/cranberryhinge/cranberryhinge/internal/routing"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

// Options replace, in tests and benchmarks, dependencies that a host otherwise
// creates from its settings.
type Options struct {
	// Platform replaces the connection to the platform's services.
	Platform *store.Services
	// TLS replaces the certificate of the client listener.
	TLS *tls.Config
	// LogWriter receives the log; the default is standard error.
	LogWriter io.Writer
	// Dial replaces the TCP dialer for connections to hosts and backend servers.
	Dial peer.DialFunc
	// OnAdmit is called for each request of a customer that the limiter admits.
	OnAdmit func(customer string)
}

// Server is one host.
type Server struct {
	settings Settings
	log      *log.Logger
	counters *telemetry.Counters

	member    *member.Member
	owner     *owner.Owner
	home      *home.Home
	minters   *limit.Minters
	limiter   *limit.Limiter
	entry     *entry.Entry
	directory *directory

	pool      *peer.Pool
	peers     *peers
	grpc      *grpc.Server
	listeners listeners
	closers   []io.Closer
	draining  atomic.Bool
	budget    *budget.Budget
}

type listeners struct{ client, peer, admin net.Listener }

// New opens the listeners and connects the shells. Run starts them.
func New(settings Settings, opts Options) (*Server, error) {
	if err := settings.prepare(); err != nil {
		return nil, err
	}
	if opts.LogWriter == nil {
		opts.LogWriter = os.Stderr
	}
	s := &Server{
		settings: settings,
		log:      telemetry.NewLogger(opts.LogWriter, settings.LogLevel, settings.Name),
		counters: telemetry.NewCounters(),
	}
	memory, known := budget.ProcessMemory()
	if s.settings.MemoryMB > 0 {
		memory, known = int64(s.settings.MemoryMB)<<20, true
		debug.SetMemoryLimit(int64(budget.RuntimeShare * float64(memory)))
	}
	s.budget = budget.New(memory, clock.Boot, s.log, s.counters)
	if known {
		s.settings.Client.MaxClients = min(s.settings.Client.MaxClients, budget.MaxConnections(memory))
	}
	if err := s.assemble(opts); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *Server) assemble(opts Options) error {
	if err := s.listen(); err != nil {
		return err
	}
	services, err := s.platform(opts)
	if err != nil {
		return err
	}
	peerCreds, err := s.peerCredentials()
	if err != nil {
		return err
	}
	clientTLS := opts.TLS
	if clientTLS == nil {
		if clientTLS, err = s.settings.ClientTLS(); err != nil {
			return err
		}
	}
	s.connectShells(services, peerCreds, clientTLS, opts)
	s.grpc = grpc.NewServer(peer.ServerOptions(peerCreds, peer.MaxMessageBytes)...)
	peerpb.RegisterPeerServer(s.grpc, peerAPI{server: s})
	return nil
}

// Limits of the connections of the peer and admin ports.
const (
	maxPeerConnections  = 1000
	maxAdminConnections = 64
)

func (s *Server) listen() error {
	for _, l := range []struct {
		address string
		target  *net.Listener
	}{
		{s.settings.Client.Listen, &s.listeners.client},
		{s.settings.Peer.Listen, &s.listeners.peer},
		{s.settings.Admin.Listen, &s.listeners.admin},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		switch l.target {
		case &s.listeners.peer:
			listener = budget.NewListener(listener, "peer", maxPeerConnections, true, s.budget)
		case &s.listeners.admin:
			listener = budget.NewListener(listener, "admin", maxAdminConnections, false, s.budget)
		}
		*l.target = listener
		s.closers = append(s.closers, listener)
	}
	return nil
}

func (s *Server) platform(opts Options) (store.Services, error) {
	if opts.Platform != nil {
		return *opts.Platform, nil
	}
	client, err := store.NewClient(store.ClientOptions{Address: s.settings.Platform, Host: s.settings.Name})
	if err != nil {
		return store.Services{}, err
	}
	s.closers = append(s.closers, client)
	return client.Services(), nil
}

func (s *Server) peerCredentials() (credentials.TransportCredentials, error) {
	cfg, err := s.settings.PeerTLS()
	if err != nil || cfg == nil {
		return nil, err
	}
	return credentials.NewTLS(cfg), nil
}

// PeerAddress returns the address that the other hosts use.
func (s *Server) PeerAddress() string {
	if s.settings.Peer.Advertise != s.settings.Peer.Listen {
		return s.settings.Peer.Advertise
	}
	return s.listeners.peer.Addr().String()
}

// ClientAddress returns the address of the client listener.
func (s *Server) ClientAddress() string { return s.listeners.client.Addr().String() }

// Counters returns this host's counters.
func (s *Server) Counters() *telemetry.Counters { return s.counters }

func (s *Server) connectShells(services store.Services, creds credentials.TransportCredentials, clientTLS *tls.Config, opts Options) {
	dial := opts.Dial
	start := time.Now()
	sinceStart := func() time.Duration { return time.Since(start) }
	s.pool = peer.NewPool(creds, dial)
	backend, control := s.settings.Credentials(), s.settings.ControlCredentials()
	if dial != nil {
		backend.Dial = func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
		control.Dial = backend.Dial
	}
	calls := &peers{pool: s.pool}
	s.peers = calls
	s.member = member.New(member.Options{
		Self:  member.Identity{Name: s.settings.Name, Zone: s.settings.Zone, Address: s.PeerAddress()},
		Table: services.Tables, Objects: services.Objects, Hosts: services.Hosts,
		Peers: calls, Decode: config.Decode, Logger: s.log, Counters: s.counters,
		AwaitOpenWork: s.releaseRole,
	})
	calls.fleet = s.member
	s.owner = owner.New(owner.Options{
		Fleet: groupFleet{s.member}, Table: services.Tables, Peers: calls,
		Credentials: control, Counters: s.counters, Log: s.log, HasOpenTransactions: s.hasOpenTransactions, TakeoverDone: s.takeoverDone,
	})
	s.home = home.New(home.Options{
		Host: s.settings.Name, Credentials: backend, ControlCredentials: control, Authority: s.owner,
		Log: s.log, Counters: s.counters, OnEvicted: s.onEvicted, HomeHost: s.homeHost,
	})
	calls.serveLocal = s.home.Serve
	dir := newDirectory(s.member, calls)
	dir.owner = s.owner
	calls.suspect = dir.Suspect
	s.directory = dir
	s.minters = limit.NewMinters(limitFleet{s.member}, sinceStart)
	s.limiter = limit.New(limit.Options{Fleet: limitFleet{s.member}, Peers: calls, Minters: s.minters, Clock: sinceStart, Counters: s.counters, OnAdmit: opts.OnAdmit})
	s.entry = entry.New(entry.Options{
		Listener: s.listeners.client, TLS: clientTLS, AllowPlaintext: s.settings.Client.Plaintext,
		Host: s.settings.Name, Zone: s.settings.Zone, Document: s.member.Document, KeysChanged: s.member.Subscribe(),
		Keys: customer.NewKeyVerifier(s.member.Document, s.member.KeysFresh), Limiter: s.limiter, Positions: dir, CancelForwarder: calls,
		Opener:   routing.New(routing.Options{Zone: s.settings.Zone, Directory: dir, Dialer: calls, Counters: s.counters, Seed: uint64(start.UnixNano())}),
		Counters: s.counters, Logger: s.log, MaxClients: s.settings.Client.MaxClients, Budget: s.budget,
	})
}

// Run serves until ctx ends, then stops gracefully: it hands its roles over to
// other hosts, lets open transactions end and returns.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	s.counters.Publish()
	// On a stop, each stage is cancelled after the stages that depend on it.
	clientCtx, stopClients := context.WithCancel(context.Background())
	shellCtx, stopShells := context.WithCancel(context.Background())
	leaseCtx, stopLease := context.WithCancel(context.Background())
	defer stopLease()
	defer stopShells()
	defer stopClients()

	group, groupCtx := errgroup.WithContext(context.Background())
	group.Go(func() error { return s.member.Run(leaseCtx) })
	group.Go(func() error { return s.owner.Run(shellCtx) })
	group.Go(func() error { return s.home.Run(shellCtx) })
	group.Go(func() error { return s.watchRoles(shellCtx) })
	group.Go(func() error { return s.peers.streams.watch(shellCtx, s.directory.Reachable) })
	group.Go(func() error { return s.entry.Run(clientCtx) })
	group.Go(func() error { return s.servePeerAPI() })
	if s.listeners.admin != nil {
		group.Go(func() error { return serveAdmin(shellCtx, s.listeners.admin, adminHandler(s, s.counters)) })
	}
	s.log.Info().Str("client", s.ClientAddress()).Str("peer", s.PeerAddress()).Msg("host started")

	select {
	case <-ctx.Done():
		s.drain()
	case <-groupCtx.Done():
	}
	stopClients()
	s.stopPeerAPI()
	stopShells()
	stopLease()
	err := group.Wait()
	s.log.Info().Msg("host stopped")
	return err
}

// drain hands the host's roles over and ends its sessions, within the drain
// timeout.
func (s *Server) drain() {
	s.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), s.settings.DrainTimeout.Std())
	defer cancel()
	s.log.Info().Msg("planned stop")
	var group errgroup.Group
	group.Go(func() error { return s.member.Leave(ctx) })
	group.Go(func() error { return s.entry.Drain(ctx) })
	if err := group.Wait(); err != nil {
		s.log.Warn().Err(err).Msg("planned stop incomplete")
	}
}

func (s *Server) servePeerAPI() error {
	return errors.Wrap(s.grpc.Serve(s.listeners.peer), "peer listener")
}

// stopPeerAPI closes the peer listener and waits for the streams of other hosts
// to end. After the drain timeout it cancels them.
func (s *Server) stopPeerAPI() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.grpc.GracefulStop()
	}()
	select {
	case <-done:
	case <-time.After(s.settings.DrainTimeout.Std()):
		s.grpc.Stop()
	}
}

func (s *Server) close() {
	if s.limiter != nil {
		s.limiter.Close()
	}
	if s.pool != nil {
		s.pool.Close()
	}
	for _, c := range s.closers {
		_ = c.Close()
	}
}

// roleSyncInterval is the interval at which roles are compared even without a
// notification from the fleet, so that a missed notification has no lasting
// effect.
const roleSyncInterval = time.Second

// watchRoles passes gained and lost roles to the home shell and the minters until
// ctx ends.
func (s *Server) watchRoles(ctx context.Context) error {
	changed := s.member.Subscribe()
	ticker := time.NewTicker(roleSyncInterval)
	defer ticker.Stop()
	held := map[string]bool{}
	for {
		held = s.syncRoles(held)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// syncRoles acquires and releases backend servers in the home shell to match the
// held roles, and registers the minter roles. It returns the names of the servers
// that are held now.
func (s *Server) syncRoles(heldBefore map[string]bool) map[string]bool {
	doc := s.member.Document()
	if doc == nil {
		return heldBefore
	}
	heldNow := map[string]bool{}
	var minterRoles []string
	for _, r := range s.member.HeldRoles() {
		name, isServer := strings.CutPrefix(r.Name, owner.HomeRolePrefix)
		if !isServer {
			minterRoles = append(minterRoles, r.Name)
			continue
		}
		if server, g, ok := doc.Server(name); ok {
			heldNow[name] = true
			s.home.ServeBackend(g.Name, server, r.Epoch)
		}
	}
	for name := range heldBefore {
		if !heldNow[name] {
			s.home.Release(name)
		}
	}
	s.minters.RegisterRoles(minterRoles)
	return heldNow
}

// releaseRole ends the transactions that run under a role before the role is
// handed over.
func (s *Server) releaseRole(ctx context.Context, role string) error {
	if name, ok := strings.CutPrefix(role, owner.HomeRolePrefix); ok {
		return s.home.Drain(ctx, name)
	}
	return nil
}

// hasOpenTransactions reports whether the home shell has a transaction open on
// the backend server.
func (s *Server) hasOpenTransactions(name string) bool { return s.home.HasOpenTransactions(name) }

// takeoverDone reports whether the home shell has evicted the data connections of
// the backend server's previous home host.
// homeHost returns the name of the host that holds the home role of a backend server.
func (s *Server) homeHost(name string) string {
	holder, _ := s.member.Holder(owner.HomeRolePrefix + name)
	return holder.Name
}

func (s *Server) takeoverDone(name string) bool { return s.home.TakeoverDone(name) }

// onEvicted starts a new read of the role rows, because another home host has
// taken over a backend server. The home shell serves the server again only if
// this host still holds the role.
func (s *Server) onEvicted(string) {
	go func() { _, _ = s.member.Handover(context.Background(), nil) }()
}

// Ready reports whether the load balancer may send callers to this host.
func (s *Server) Ready() bool {
	doc := s.member.Document()
	return doc != nil && !s.draining.Load() && !doc.ZoneOut(s.settings.Zone)
}

// Status implements statusSource.
func (s *Server) Status() report.Status {
	id := s.member.Self()
	st := report.Status{
		Host: id.Name, Zone: id.Zone, Incarnation: id.Incarnation, KeysFresh: s.member.KeysFresh(),
		LeaseLeft: max(0, time.Until(s.member.LeaseUntil()).Seconds()), Ready: s.Ready(), Draining: s.draining.Load(),
	}
	for _, r := range s.member.HeldRoles() {
		st.Roles = append(st.Roles, r.Name)
	}
	for _, p := range s.member.Peers() {
		st.Peers = append(st.Peers, report.Peer{Name: p.Name, Zone: p.Zone, Address: p.Address, Reachable: p.Reachable, Leaving: p.Leaving})
	}
	doc := s.member.Document()
	if doc == nil {
		return st
	}
	st.ConfigVersion = uint64(doc.Version)
	for _, g := range doc.Inventory.Groups {
		st.Groups = append(st.Groups, s.groupStatus(doc, g))
	}
	return st
}

func (s *Server) groupStatus(doc *config.Document, g config.Group) report.Group {
	r := report.Group{Name: g.Name}
	r.Primary, r.Term, _ = s.directory.Primary(g.Name)
	for _, server := range g.Servers {
		holder, _ := s.member.Holder(owner.HomeRolePrefix + server.Name)
		r.Servers = append(r.Servers, report.Server{
			Name: server.Name, Zone: server.Zone, Home: holder.Name, Leaving: server.Leaving, ZoneOut: doc.ZoneOut(server.Zone),
		})
	}
	return r
}
