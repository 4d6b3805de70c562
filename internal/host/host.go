package host

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/executor"
	"github.com/cranberryhinge/cranberryhinge/internal/failover"
	"github.com/cranberryhinge/cranberryhinge/internal/frontend"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/limit"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

const (
	// rowSpace is the space of the hosts' and roles' rows.
	rowSpace = "cranberryhinge"
	// memoryShare is the part of the memory limit at which the garbage collector
	// works harder. The rest is for buffers of the kernel and the C library.
	memoryShare = 0.7
	// reservedDescriptors are left for the listeners, the store, other hosts and
	// backend servers.
	reservedDescriptors = 1200
	// headerTimeout bounds the reading of a probe's request.
	headerTimeout = 2 * time.Second
	// leaveTimeout bounds the wait for the roles to be taken by others.
	leaveTimeout = 1500 * time.Millisecond
	// lastCalls bounds the wait for open transactions of other hosts, and for
	// the calls of other hosts in flight.
	lastCalls = 500 * time.Millisecond
	// stopMargin is kept back from the grace of a planned stop.
	stopMargin = time.Second
	// tokenWait is how long a request waits for a token. What is over the rate is
	// refused well within a quarter of the latency targets, which begin at 100 ms
	// for the most urgent routes and are 200 ms and more for the others.
	tokenWait = 60 * time.Millisecond
	// tokenAsk is how long a zone may take to answer; it takes 2 to 5 ms.
	tokenAsk = 30 * time.Millisecond
	// rolesInterval is how often newly held minter roles are looked for.
	rolesInterval = 100 * time.Millisecond
)

// Adapters are what a platform provides.
type Adapters struct {
	Table     store.TableService
	Watcher   store.Watcher
	Sources   catalog.Sources
	Dialer    statement.Dialer
	NewClient func(net.Conn) statement.Client
	Promoter  failover.Promoter
	// ReadyPath is the path of the readiness probe.
	ReadyPath string
}

// Host is one host.
type Host struct {
	settings  Settings
	clock     clock.Clock
	ring      *telemetry.LogRing
	log       *log.Logger
	counters  *telemetry.Counters
	catalog   *catalog.Shell
	owners    *ownership.Shell
	directory *directory
	failover  *failover.Shell
	executor  *executor.Executor
	frontend  *frontend.Frontend
	minters   *limit.Minters
	limiter   *limit.Limiter
	calls     *calls
	grpc      *grpc.Server
	listeners [4]net.Listener
	readyPath string
	stopping  atomic.Bool
}

// Places of the listeners.
const (
	clientListener = iota
	peerListener
	readyListener
	metricsListener
)

// New opens the listeners and connects the parts. Run starts them.
func New(s Settings, a Adapters, out io.Writer) (*Host, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	counters := telemetry.NewCounters()
	ring := telemetry.NewLogRing(out, counters)
	h := &Host{
		settings: s, clock: clock.Boot, ring: ring, counters: counters, readyPath: a.ReadyPath,
		log: telemetry.NewRingLogger(ring, s.LogLevel, s.Name),
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.connect(a)
	return h, nil
}

func (h *Host) listen() error {
	l := h.settings.Listen
	for i, address := range []string{l.Client, l.Peer, l.Ready, l.Metrics} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		h.listeners[i] = listener
	}
	return nil
}

// connect joins the parts.
func (h *Host) connect(a Adapters) {
	self := ownership.Host{
		Name: h.settings.Name, Zone: h.settings.Zone, Address: h.settings.Listen.Advertise, Incarnation: rand.Uint64() >> 1,
		Capacity: h.settings.capacity(),
	}
	latencies := telemetry.NewLatencies(h.counters)
	h.catalog = catalog.NewShell(catalog.Options{
		Sources: a.Sources, Zones: h.settings.Zones, Watcher: a.Watcher, KeyGrace: h.settings.KeyGrace.Std(),
		Window: customer.Window{Length: h.settings.RateWindow.Std(), Overage: h.settings.RateOverage, Slack: h.settings.RateSlack},
		Clock:  h.clock, Log: h.log, Counters: h.counters,
	})
	h.directory = &directory{
		self: self, zones: h.settings.Zones, clock: h.clock, snapshot: h.catalog.Snapshot,
		views: map[string]cachedView{}, primaries: map[string]primaryClaim{},
	}
	h.owners = ownership.New(ownership.Options{
		Self: self, Space: rowSpace, Table: a.Table, Watcher: a.Watcher, Wanted: h.directory.wanted,
		Clock: h.clock, Log: h.log, Counters: h.counters, Latencies: latencies,
	})
	h.directory.owners = h.owners
	h.failover = failover.New(failover.Options{
		Host: self.Name, Roles: h.directory, Directory: h.directory, Promoter: a.Promoter, Dialer: a.Dialer,
		Clock: h.clock, Log: h.log, Counters: h.counters, Latencies: latencies,
	})
	h.executor = executor.New(executor.Options{
		Dialer: a.Dialer, Authority: h.failover, Snapshot: h.catalog.Snapshot, Mine: h.directory.mine, Clock: h.clock, Log: h.log, Counters: h.counters,
	}, rand.Uint64()>>1)
	h.calls = &calls{
		directory: h.directory, pool: peer.NewPool(nil, nil), executor: h.executor, failover: h.failover, counters: h.counters,
		workers:  pond.NewPool(pulseWorkers, pond.WithQueueSize(pulseWorkers), pond.WithNonBlocking(true)),
		suspects: map[string]bool{}, followers: map[string]*store.Follower{},
	}
	for _, f := range append(h.catalog.Followers(), h.owners.Follower()) {
		h.calls.followers[f.Space] = f
	}
	h.minters = limit.NewMinters(rates{h.directory}, h.clock)
	h.limiter = limit.New(limit.Options{
		Fleet: rates{h.directory}, Peers: h.calls, Minters: h.minters, Clock: h.clock, Counters: h.counters,
		MaxWait: tokenWait, AskTimeout: tokenAsk,
	})
	h.frontend = frontend.New(frontend.Options{
		Listener: h.listeners[clientListener], NewClient: a.NewClient, Snapshot: h.catalog.Snapshot, KeysFresh: h.catalog.KeysFresh,
		Fleet: h.calls, Limiter: h.limiter, Clock: h.clock, Log: h.log, Counters: h.counters,
		Latencies:  latencies,
		MaxClients: max(h.settings.Descriptors-reservedDescriptors, 1), AbortAfter: h.settings.StopGrace.Std()/2 + stopMargin/4,
	})
	h.calls.frontend = h.frontend
	h.grpc = grpc.NewServer(peer.ServerOptions(nil)...)
	peerpb.RegisterPeerServer(h.grpc, api{c: h.calls, minters: h.minters})
}

// Run serves until ctx ends, then stops gracefully. Reload is received when the
// settings may have changed.
func (h *Host) Run(ctx context.Context, reload <-chan func() (Settings, error)) error {
	defer h.ring.Close()
	runtime.GOMAXPROCS(h.settings.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(h.settings.MemoryMB) * (1 << 20)))
	h.counters.Publish()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, part := range []func(context.Context){h.catalog.Run, h.owners.Run, h.failover.Run, h.executor.Run, h.calls.pulse, h.watchRoles} {
		wg.Go(func() { part(work) })
	}
	failed := make(chan error, 4)
	wg.Go(func() { failed <- errors.Wrap(h.grpc.Serve(h.listeners[peerListener]), "peer listener") })
	wg.Go(func() { failed <- h.frontend.Run() })
	h.serveHTTP(&wg, failed)
	h.log.Info().Str("zone", h.settings.Zone).Str("client", h.settings.Listen.Client).Str("peer", h.settings.Listen.Peer).Msg("host started")
	err := h.wait(ctx, reload, failed)
	if err == nil {
		h.drain()
	}
	h.close()
	stop()
	wg.Wait()
	h.log.Info().Err(err).Msg("host stopped")
	return err
}

// wait returns when ctx ends, or with an error when the host cannot go on.
func (h *Host) wait(ctx context.Context, reload <-chan func() (Settings, error), failed <-chan error) error {
	replaced := time.NewTicker(time.Second)
	defer replaced.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case load := <-reload:
			h.reload(load)
		case err := <-failed:
			if err != nil {
				return err
			}
		case <-replaced.C:
			if h.owners.Replaced() {
				return errors.New("another process runs under this host's name")
			}
		}
	}
}

// reload takes over the settings that can change while the host runs.
func (h *Host) reload(load func() (Settings, error)) {
	next, err := load()
	if err != nil {
		h.log.Error().Err(err).Msg("settings not reloaded")
		return
	}
	h.log.SetLevel(log.ParseLevel(next.LogLevel))
	h.log.Info().Str("log_level", next.LogLevel).Msg("settings reloaded")
}

// Ready reports whether callers should be sent here.
func (h *Host) Ready() bool {
	fresh, _ := h.catalog.KeysFresh()
	return fresh && !h.stopping.Load() && h.catalog.Snapshot().Version() > 0
}

func (h *Host) serveHTTP(wg *sync.WaitGroup, failed chan<- error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, h.counters.String()) })
	for i, handler := range map[int]http.Handler{readyListener: ready, metricsListener: metrics} {
		srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		wg.Go(func() {
			if err := srv.Serve(h.listeners[i]); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				failed <- errors.Wrap(err, "HTTP listener")
			}
		})
	}
}

// watchRoles lets minters start when their role is gained.
func (h *Host) watchRoles(ctx context.Context) {
	for ok := true; ok; ok = clock.Sleep(ctx, rolesInterval) {
		var held []string
		for _, spec := range h.directory.wanted() {
			if _, ok := h.owners.Held(spec.Name); ok {
				held = append(held, spec.Name)
			}
		}
		h.minters.Watch(held)
	}
}

// drain is the planned stop: roles are given up first, then sessions end.
func (h *Host) drain() {
	h.stopping.Store(true)
	began := h.clock()
	h.log.Info().Int("sessions", h.frontend.Sessions()).Int("roles", h.owners.Remaining()).Msg("planned stop")
	h.owners.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopGrace.Std()-stopMargin)
	defer cancel()
	if guard.On(guard.Drain) {
		h.frontend.Drain(ctx)
	}
	leave, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	waitFor(leave, rolesInterval, func() bool { return h.owners.Remaining() == 0 })
	last, cancelLast := context.WithTimeout(ctx, lastCalls)
	defer cancelLast()
	waitFor(last, rolesInterval, func() bool { return h.executor.Transactions() == 0 })
	if err := h.owners.Deregister(ctx); err != nil {
		h.log.Warn().Err(err).Msg("host row not removed")
	}
	h.log.Info().Dur("took", h.clock()-began).Int("sessions", h.frontend.Sessions()).Int("roles", h.owners.Remaining()).
		Int("transactions", h.executor.Transactions()).Msg("planned stop done")
}

func (h *Host) close() {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		h.grpc.GracefulStop()
	}()
	select {
	case <-stopped:
	case <-time.After(lastCalls):
		h.grpc.Stop()
	}
	for _, l := range h.listeners {
		_ = l.Close()
	}
	h.limiter.Close()
	h.calls.pool.Close()
	h.calls.workers.StopAndWait()
}
