package host

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/cranberryhinge/cranberryhinge/internal/budget"
	"github.com/cranberryhinge/cranberryhinge/internal/catalog"
	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/correlation"
	"github.com/cranberryhinge/cranberryhinge/internal/customer"
	"github.com/cranberryhinge/cranberryhinge/internal/executor"
	"github.com/cranberryhinge/cranberryhinge/internal/failover"
	"github.com/cranberryhinge/cranberryhinge/internal/frontend"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/limit"
	"github.com/cranberryhinge/cranberryhinge/internal/ownership"
	"github.com/cranberryhinge/cranberryhinge/internal/peer"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/serverload"
	"github.com/cranberryhinge/cranberryhinge/internal/statement"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
	"github.com/cranberryhinge/cranberryhinge/internal/usage"
)

const (
	// rowSpace is the store space that holds the host and role rows.
	rowSpace = "cranberryhinge"
	// reservedDescriptors is the number of file descriptors kept for the listeners
	// and for connections to the store, other hosts and backend servers.
	reservedDescriptors = 1200
	// maxHeaderBytes limits the headers of a request to the ready and metrics ports.
	maxHeaderBytes = 8 << 10
	// roleHandoverTimeout limits the wait for other hosts to take over the roles.
	roleHandoverTimeout = 1500 * time.Millisecond
	// inFlightTimeout limits two waits at a stop: for open transactions of other
	// hosts, and for calls of other hosts in flight.
	inFlightTimeout = 500 * time.Millisecond
	// stopMargin is the part of StopGrace that draining must leave for closing.
	stopMargin = time.Second
	// maxTokenWait is how long a request waits for a rate limit token. Requests over
	// the rate are refused well before the latency targets, which start at
	// 100 ms for the most urgent routes and are 200 ms or more for others.
	maxTokenWait = 60 * time.Millisecond
	// tokenRequestTimeout limits a token request to the minter of a zone, which
	// normally takes 2 to 5 ms.
	tokenRequestTimeout = 30 * time.Millisecond
	// rolePollInterval is the interval between checks for newly held roles, and
	// between checks at a planned stop for roles still held and transactions still
	// open.
	rolePollInterval = 100 * time.Millisecond
)

// Adapters are the implementations that a platform provides.
type Adapters struct {
	Table   store.TableService
	Watcher store.Watcher
	// Eras, if set, tracks the eras of the store.
	Eras    *store.EraTracker
	Sources catalog.Sources
	// NewDialer returns a dialer of connections to backend servers.
	NewDialer func(correlation.Observer) statement.Dialer
	NewClient func(net.Conn, *budget.Lease) statement.Client
	Promoter  failover.Promoter
	// UsageReporter is needed if the settings turn usage reports on.
	UsageReporter usage.Reporter
	// ReadyPath is the URL path of the readiness probe.
	ReadyPath string
	// Features are the optional parts that the deployment asks for.
	Features Features
}

// Host is a running proxy process that serves typed statements.
type Host struct {
	settings  Settings
	clock     clock.Clock
	logWriter *telemetry.AsyncLogWriter
	log       *log.Logger
	counters  *telemetry.Counters
	catalog   *catalog.Shell
	ownership *ownership.Shell
	directory *directory
	failover  *failover.Shell
	executor  *executor.Executor
	// usage is nil if usage is not reported.
	usage     *usage.Shell
	frontend  *frontend.Frontend
	minters   *limit.Minters
	limiter   *limit.Limiter
	peerCalls *peerCalls
	grpc      *grpc.Server
	budget    *budget.Budget
	listeners [4]net.Listener
	readyPath string
	stopping  atomic.Bool
	// fastRecovery is the feature of that name.
	fastRecovery bool
}

// Indexes into Host.listeners.
const (
	clientListener = iota
	peerListener
	readyListener
	metricsListener
)

var listenerNames = [...]string{"client", "peer", "ready", "metrics"}

// New checks the settings, opens the listeners and assembles the components. Run
// starts them. Log lines go to out.
func New(s Settings, a Adapters, out io.Writer) (*Host, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	counters := telemetry.NewCounters()
	logWriter := telemetry.NewAsyncLogWriter(out, counters)
	h := &Host{
		settings: s, clock: clock.Boot, logWriter: logWriter, counters: counters, readyPath: a.ReadyPath,
		log: telemetry.NewAsyncLogger(logWriter, s.LogLevel, s.Name),
	}
	if err := h.listen(); err != nil {
		return nil, err
	}
	h.assemble(a)
	return h, nil
}

func (h *Host) listen() error {
	l := h.settings.Listen
	for i, address := range []string{l.Client, l.Peer, l.Ready, l.Metrics} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range h.listeners[:i] {
				_ = open.Close()
			}
			return errors.Wrapf(err, "listen on %s", address)
		}
		h.listeners[i] = listener
	}
	return nil
}

// assemble creates the components and connects them to each other.
func (h *Host) assemble(a Adapters) {
	self := ownership.Host{
		Name: h.settings.Name, Zone: h.settings.Zone, Address: h.settings.Listen.Advertise, Incarnation: rand.Uint64() >> 1,
		Capacity: h.settings.capacity(),
	}
	if a.Features.ContentionControl {
		self.SpareCapacity = h.settings.spareCapacity()
	}
	latencies := telemetry.NewLatencies(h.counters)
	if a.Eras != nil {
		a.Eras.SetReporter(h.log, h.counters)
	}
	limits := h.settings.ClientLimits.WithDefaults()
	h.budget = budget.New(h.memoryBytes(), h.clock, h.log, h.counters)
	for i, maxConns := range map[int]int{readyListener: limits.HTTPConnections, metricsListener: limits.HTTPConnections, peerListener: limits.PeerConnections} {
		h.listeners[i] = budget.NewListener(h.listeners[i], listenerNames[i], maxConns, i == peerListener, h.budget)
	}
	h.directory = &directory{
		self: self, zones: h.settings.Zones, clock: h.clock,
		views: map[string]cachedView{}, primaries: map[string]reportedPrimary{}, reportsUsage: h.settings.UsageWindow > 0,
	}
	h.ownership = ownership.New(ownership.Options{
		CarriesStatements: carriesStatements,
		Self:              self, Space: rowSpace, Table: a.Table, Watcher: a.Watcher, WantedRoles: h.directory.wantedRoles,
		Clock: h.clock, Log: h.log, Counters: h.counters, Latencies: latencies, FastRecovery: a.Features.FastRecovery,
	})
	h.catalog = catalog.NewShell(catalog.Options{
		Sources: a.Sources, Zones: h.settings.Zones, Watcher: a.Watcher, KeyGrace: h.settings.KeyGrace.Std(),
		Window:       customer.Window{Length: h.settings.RateWindow.Std(), Overage: h.settings.RateOverage, Slack: h.settings.RateSlack},
		FollowsStore: h.ownership.FollowsStore, IsRelay: h.ownership.IsRelay,
		Clock: h.clock, Log: h.log, Counters: h.counters,
	})
	h.directory.ownership, h.directory.snapshot = h.ownership, h.catalog.Snapshot
	dialer := a.NewDialer(h.recordCorrelation)
	h.failover = failover.New(failover.Options{
		Host: self.Name, Roles: h.directory, Directory: h.directory, Promoter: a.Promoter, Dialer: dialer,
		Clock: h.clock, Log: h.log, Counters: h.counters, Latencies: latencies,
	})
	usageSettings := usage.Settings{
		Window: h.settings.UsageWindow.Std(), Late: h.settings.UsageLate.Std(), Lease: h.settings.UsageLease.Std(), Machine: self.Address,
	}
	var usageCounter *usage.Counter
	if usageSettings.Window > 0 {
		usageCounter = usage.NewCounter(h.clock, usageSettings.Retention(), h.counters)
	}
	loads := serverload.NewTable()
	h.executor = executor.New(executor.Options{
		Dialer: dialer, Authority: h.failover, Snapshot: h.catalog.Snapshot, IsHomeHost: h.directory.isHomeHost,
		Usage: usageCounter, ReportLoads: a.Features.ContentionControl || a.Features.ServerSupervision, ContentionControl: a.Features.ContentionControl,
		Supervision: executor.Supervision{Enabled: a.Features.ServerSupervision, Loads: loads},
		Clock:       h.clock, Log: h.log, Counters: h.counters,
	}, rand.Uint64()>>1)
	h.peerCalls = &peerCalls{
		directory: h.directory, pool: peer.NewPool(nil, nil), executor: h.executor, failover: h.failover, counters: h.counters,
		workers: pond.NewPool(heartbeatWorkers, pond.WithQueueSize(heartbeatWorkers), pond.WithNonBlocking(true)),
		loads:   loads, suspects: map[string]bool{}, followers: map[string]*store.Follower{}, groupStates: map[string]receivedState{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), extraRounds: make(chan struct{}, 1),
	}
	if usageCounter != nil {
		h.usage = usage.New(usage.Options{
			Settings: usageSettings, Name: self.Name, Incarnation: self.Incarnation, Roles: h.directory, Hosts: h.directory.usageHosts, Era: h.ownership.Era,
			Ask: h.peerCalls.askUsage, Counter: usageCounter, Table: a.Table, Watcher: a.Watcher, Reporter: a.UsageReporter, Clock: h.clock,
			TimeOfDay: func() time.Duration { return time.Duration(time.Now().UnixNano()) }, Log: h.log, Counters: h.counters,
		})
	}
	followers := append(h.catalog.Followers(), h.ownership.Follower())
	for i, f := range followers {
		h.peerCalls.followers[f.Space] = f
		f.Siblings = slices.Concat(followers[:i], followers[i+1:])
	}
	h.minters = limit.NewMinters(limiterFleet{h.directory}, h.clock)
	limiterOptions := limit.Options{
		Fleet: limiterFleet{h.directory}, Peers: h.peerCalls, Minters: h.minters, Clock: h.clock, Counters: h.counters,
		MaxWait: maxTokenWait, GrantTimeout: tokenRequestTimeout,
	}
	if h.fastRecovery = a.Features.FastRecovery; h.fastRecovery {
		h.minters.SetPredecessorEnd(h.ownership.PredecessorEnd)
		h.directory.skipSilentHolders = true
		limiterOptions.Recovering = h.directory.isMinterStarting
	}
	h.limiter = limit.New(limiterOptions)
	h.frontend = frontend.New(frontend.Options{
		Listener: h.listeners[clientListener], NewClient: a.NewClient, Snapshot: h.catalog.Snapshot, KeysFresh: h.catalog.KeysFresh,
		Fleet: h.peerCalls, Limiter: h.limiter, Clock: h.clock, Log: h.log, Counters: h.counters,
		Latencies: latencies, Loads: loads, RouteByLoad: a.Features.ServerSupervision, ContentionControl: a.Features.ContentionControl,
		MaxClients: max(min(h.settings.Descriptors-reservedDescriptors, budget.MaxConnections(h.memoryBytes())), 1),
		Budget:     h.budget, AbortAfter: h.settings.StopGrace.Std()/2 + stopMargin/4,
	})
	h.peerCalls.frontend = h.frontend
	h.grpc = grpc.NewServer(peer.ServerOptions(nil, peer.MaxTypedMessageBytes)...)
	peerpb.RegisterPeerServer(h.grpc, peerAPI{calls: h.peerCalls, minters: h.minters, usage: h.usage, budget: h.budget})
}

// Run serves until ctx ends and then performs the planned stop. It returns an
// error without draining when a listener fails or when another process has taken
// this host's name. Each function received from reload loads the settings again.
func (h *Host) Run(ctx context.Context, reload <-chan func() (Settings, error)) error {
	defer h.logWriter.Close()
	runtime.GOMAXPROCS(h.settings.Cores)
	h.applyReloadable()
	h.counters.Publish()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	components := []func(context.Context){h.catalog.Run, h.ownership.Run, h.failover.Run, h.executor.Run, h.peerCalls.runHeartbeats, h.runStartupHeartbeats, h.watchMinterRoles}
	if h.usage != nil {
		components = append(components, h.usage.Run)
	}
	for _, component := range components {
		wg.Go(func() { component(workCtx) })
	}
	serveErrors := make(chan error, 4)
	wg.Go(func() { serveErrors <- errors.Wrap(h.grpc.Serve(h.listeners[peerListener]), "peer listener") })
	wg.Go(func() { serveErrors <- h.serveCallers(workCtx) })
	h.serveHTTP(&wg, serveErrors)
	h.log.Info().Str("zone", h.settings.Zone).Str("client", h.settings.Listen.Client).Str("peer", h.settings.Listen.Peer).Msg("host started")
	err := h.waitForStop(ctx, reload, serveErrors)
	if err == nil {
		h.drain()
	}
	h.close()
	stop()
	wg.Wait()
	h.log.Info().Err(err).Msg("host stopped")
	return err
}

// waitForStop returns nil when ctx ends, or an error when the host can no longer
// serve. It reloads the settings in the meantime.
func (h *Host) waitForStop(ctx context.Context, reload <-chan func() (Settings, error), serveErrors <-chan error) error {
	replacedCheck := time.NewTicker(time.Second)
	defer replacedCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case load := <-reload:
			h.reload(load)
		case err := <-serveErrors:
			if err != nil {
				return err
			}
		case <-replacedCheck.C:
			if h.ownership.Replaced() {
				return errors.New("another process has registered under this host's name")
			}
		}
	}
}

// reload applies the settings that can change at run time. If the new settings are
// invalid, the old ones stay in force.
func (h *Host) reload(load func() (Settings, error)) {
	next, err := load()
	if err != nil {
		h.counters.Add("settings_reload_failed", 1)
		h.log.Error().Err(err).Msg("settings not reloaded")
		return
	}
	changed, fixed := changedSettings(h.settings, next)
	h.settings.LogLevel, h.settings.MemoryMB = next.LogLevel, next.MemoryMB
	h.applyReloadable()
	if len(fixed) > 0 {
		h.counters.Add("settings_reload_refused", 1)
		h.log.Warn().Strs("settings", fixed).Msg("changed settings take effect at the next start only")
	}
	h.log.Info().Strs("changed", changed).Str("log_level", h.settings.LogLevel).Int("memory_mb", h.settings.MemoryMB).Msg("settings reloaded")
}

// applyReloadable puts the settings into force that a reload can change.
func (h *Host) applyReloadable() {
	h.log.SetLevel(log.ParseLevel(h.settings.LogLevel))
	debug.SetMemoryLimit(int64(budget.RuntimeShare * float64(h.memoryBytes())))
	h.budget.SetMemory(h.memoryBytes())
}

func (h *Host) memoryBytes() int64 { return int64(h.settings.MemoryMB) << 20 }

// Ready reports whether callers should be routed to this host.
func (h *Host) Ready() bool {
	fresh, _ := h.catalog.KeysFresh()
	return fresh && !h.stopping.Load() && h.catalog.Snapshot().Version() > 0
}

func (h *Host) serveHTTP(wg *sync.WaitGroup, serveErrors chan<- error) {
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.readyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, h.counters.String()) })
	for i, handler := range map[int]http.Handler{readyListener: ready, metricsListener: metrics} {
		limits := h.settings.ClientLimits.WithDefaults()
		srv := &http.Server{
			Handler: handler, ReadTimeout: limits.HTTPRequest.Std(), WriteTimeout: 2 * limits.HTTPRequest.Std(),
			IdleTimeout: limits.HTTPIdle.Std(), MaxHeaderBytes: maxHeaderBytes,
		}
		wg.Go(func() {
			if err := srv.Serve(h.listeners[i]); !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
				serveErrors <- errors.Wrap(err, "HTTP listener")
			}
		})
	}
}

// watchMinterRoles registers the roles that this host holds with the minters, every
// rolePollInterval until ctx ends. Registration starts the minter of a new role.
func (h *Host) watchMinterRoles(ctx context.Context) {
	for ok := true; ok; ok = clock.Sleep(ctx, rolePollInterval) {
		var held []string
		for _, spec := range h.directory.wantedRoles() {
			if _, ok := h.ownership.UsableEpoch(spec.Name); ok {
				held = append(held, spec.Name)
			}
		}
		h.minters.RegisterRoles(held)
	}
}

// drain performs the planned stop: it starts handing over the roles, then ends the
// sessions, waits for the remaining roles and transactions, and removes the host
// row.
func (h *Host) drain() {
	h.stopping.Store(true)
	start := h.clock()
	h.log.Info().Int("sessions", h.frontend.Sessions()).Int("roles", h.ownership.RemainingRoles()).Msg("planned stop")
	h.ownership.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.StopGrace.Std()-stopMargin)
	defer cancel()
	if guard.Enabled(guard.Drain) {
		h.frontend.Drain(ctx)
	}
	handoverCtx, cancelHandover := context.WithTimeout(ctx, roleHandoverTimeout)
	defer cancelHandover()
	pollUntil(handoverCtx, rolePollInterval, func() bool { return h.ownership.RemainingRoles() == 0 })
	inFlightCtx, cancelInFlight := context.WithTimeout(ctx, inFlightTimeout)
	defer cancelInFlight()
	pollUntil(inFlightCtx, rolePollInterval, func() bool { return h.executor.Transactions() == 0 })
	if err := h.ownership.Deregister(ctx); err != nil {
		h.log.Warn().Err(err).Msg("host row not removed")
	}
	h.log.Info().Dur("took", h.clock()-start).Int("sessions", h.frontend.Sessions()).Int("roles", h.ownership.RemainingRoles()).
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
	case <-time.After(inFlightTimeout):
		h.grpc.Stop()
	}
	for _, l := range h.listeners {
		_ = l.Close()
	}
	h.limiter.Close()
	h.peerCalls.pool.Close()
	h.peerCalls.workers.StopAndWait()
}
