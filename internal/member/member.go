package member

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/fleet"
	"github.com/cranberryhinge/cranberryhinge/internal/peer/peerpb"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
	"github.com/cranberryhinge/cranberryhinge/internal/telemetry"
)

type (
	// Identity names one incarnation of a host.
	Identity = fleet.Identity
	// Role is a role kept by this host.
	Role = fleet.Role
	// Peer is another host as this host sees it.
	Peer = fleet.Peer
)

// Fleet is what the other shells need to know about the fleet.
type Fleet interface {
	// Self returns the own identity. The incarnation changes when a lapsed
	// lease is regained, so that callers must not keep it.
	Self() Identity
	// LeaseUntil returns the end of the own host lease on the own monotonic
	// clock.
	LeaseUntil() time.Time
	// Lapsed reports whether the lease of that incarnation must have lapsed. It
	// stays true, because a lapsed incarnation is never valid again. Asking
	// keeps the host under observation for some seconds.
	Lapsed(host string, incarnation uint64) bool
	// Holder returns the last known live holder of a role.
	Holder(role string) (Identity, bool)
	// Held returns the roles kept here.
	Held() []Role
	// MayMint reports whether the role is held and either the lease is live or
	// the promises of every zone mate are.
	MayMint(role string) bool
	// Peers returns the other hosts by name.
	Peers() []Peer
	// Document returns the configuration in force here; nil before the first.
	Document() *config.Document
	// KeysFresh reports whether the age of the knowledge of keys is within
	// key_grace.
	KeysFresh() bool
	// Subscribe returns a channel that is signalled after a change of roles or
	// configuration. Signals that nobody has taken yet are merged.
	Subscribe() <-chan struct{}
}

// Peers carries messages to other hosts.
type Peers interface {
	Exchange(ctx context.Context, address string, v *peerpb.Vector) (*peerpb.Vector, error)
	Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error)
	Handover(ctx context.Context, address string, r *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error)
	// Probe reports whether the address refuses connections. It must report
	// false when it cannot tell; ProbeTCP serves for TCP addresses.
	Probe(ctx context.Context, address string) bool
}

// Options are the settings and ports of a Member.
type Options struct {
	// Self is the identity of this process. An incarnation of 0 is replaced by
	// the wall clock in microseconds.
	Self    Identity
	Table   store.TableService
	Objects store.ObjectStore
	Hosts   store.HostList
	Peers   Peers
	// Decode reads and validates a document.
	Decode func(data []byte) (*config.Document, error)
	Logger *log.Logger
	// Release returns once no work is open under a role that is about to be
	// handed over. Nil means that there never is.
	Release  func(ctx context.Context, role string) error
	Counters *telemetry.Counters
	// Seed seeds the choice of peers and the jitter; 0 takes the wall clock.
	Seed uint64
}

const (
	tickInterval = 50 * time.Millisecond
	// storeTimeout bounds one store call. It stays under the renew interval, so
	// that a lost answer costs one renewal and not the lease.
	storeTimeout = 800 * time.Millisecond
	peerTimeout  = time.Second
	// fetchTimeout bounds the transfer of a whole document.
	fetchTimeout = 3 * time.Second
	// peerWorkers bounds the calls to peers in flight: three exchanges every
	// 250 ms that all time out, and the probes.
	peerWorkers = 32
	peerQueue   = 64
	// giveUpTimeout bounds the last write of a planned stop.
	giveUpTimeout = time.Second
	// applyTimeout bounds a publication when the caller sets no deadline.
	applyTimeout = 10 * time.Second
)

// ErrReplaced is returned by Run when a newer process runs under the host's name.
var ErrReplaced = errors.New("member: a newer incarnation of this host is running")

// errStopped answers peers after the host has stopped.
var errStopped = errors.New("member: host has stopped")

// Member is one host's membership of the fleet.
type Member struct {
	opt   Options
	epoch time.Time // start of the monotonic clock of the aggregate

	mu          sync.Mutex
	fleet       *fleet.Fleet
	live        bool
	version     config.Version
	subscribers []chan struct{}
	published   map[uint64]chan fleet.PublishResult
	publishID   uint64

	packed packedDocument

	calls    [fleet.Duties]chan fleet.StoreCall
	pool     pond.Pool
	replaced chan struct{}
	once     sync.Once
	ctx      context.Context // of all calls; ends after the lease is given up
	cancel   context.CancelFunc
}

var _ Fleet = (*Member)(nil)

// New returns a Member. Nothing happens before Run.
func New(opt Options) *Member {
	wall := uint64(time.Now().UnixMicro())
	if opt.Self.Incarnation == 0 {
		opt.Self.Incarnation = wall
	}
	if opt.Seed == 0 {
		opt.Seed = wall
	}
	if opt.Logger == nil {
		opt.Logger = &log.Logger{Level: log.PanicLevel}
	}
	if opt.Counters == nil {
		opt.Counters = telemetry.NewCounters()
	}
	m := &Member{
		opt:       opt,
		epoch:     time.Now(),
		fleet:     fleet.New(fleet.Settings{Self: opt.Self, Writer: newWriter(opt.Self), Seed: opt.Seed}),
		published: map[uint64]chan fleet.PublishResult{},
		replaced:  make(chan struct{}),
		pool:      pond.NewPool(peerWorkers, pond.WithQueueSize(peerQueue), pond.WithNonBlocking(true)),
	}
	for d := range m.calls {
		m.calls[d] = make(chan fleet.StoreCall, 1) // a duty has one request in flight
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Run carries out the duties until ctx ends. It then gives the host lease up, so
// that ctx must end last, after everything that the lease protects. It works
// while the platform is slow or down.
func (m *Member) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, calls := range m.calls {
		wg.Go(func() { m.storeLoop(calls) })
	}
	wg.Go(m.listLoop)
	wg.Go(m.tickLoop)
	var err error
	select {
	case <-ctx.Done():
		m.giveUp()
	case <-m.replaced:
		err = ErrReplaced
	}
	m.cancel()
	wg.Wait()
	m.pool.StopAndWait()
	return err
}

func (m *Member) now() time.Duration { return time.Since(m.epoch) }

// feed gives the aggregate one input and carries out what follows.
func (m *Member) feed(in fleet.Input) {
	m.mu.Lock()
	acts := m.fleet.Step(m.now(), in)
	m.report()
	m.mu.Unlock()
	m.carryOut(acts)
}

// report logs transitions. The caller holds the lock.
func (m *Member) report() {
	if live := m.now() < m.fleet.LeaseUntil(); live != m.live {
		m.live = live
		m.opt.Counters.Add("fleet_lease_changes", 1)
		m.opt.Logger.Info().Bool("live", live).Uint64("incarnation", m.fleet.Self().Incarnation).Msg("host lease changed")
	}
	if d, _ := m.fleet.Document(); d != nil && d.Version != m.version {
		m.version = d.Version
		m.opt.Logger.Info().Uint64("version", uint64(d.Version)).Msg("configuration in force")
	}
}

func (m *Member) carryOut(acts []fleet.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case fleet.StoreCall:
			m.calls[a.Duty] <- a
		case fleet.Exchange:
			m.peerCall(func() { m.exchange(a) }, fleet.ExchangeDone{Call: a.Call})
		case fleet.Probe:
			m.peerCall(func() { m.probe(a) }, fleet.ProbeDone{Call: a.Call})
		case fleet.FetchFromPeer:
			m.peerCall(func() { m.fetch(a) }, fleet.DocumentDone{Call: a.Call})
		case fleet.Handover:
			m.peerCall(func() { m.handover(a) }, nil)
		case fleet.Published:
			m.finishPublish(a)
		case fleet.Changed:
			m.signal()
		case fleet.Stop:
			m.opt.Logger.Error().Uint64("incarnation", a.Incarnation).Msg("replaced by a newer incarnation")
			m.once.Do(func() { close(m.replaced) })
		}
	}
}

// peerCall runs a call in the pool. When the pool is full the call fails at once.
func (m *Member) peerCall(do func(), failed fleet.Input) {
	if _, ok := m.pool.TrySubmit(do); ok {
		return
	}
	m.opt.Counters.Add("fleet_peer_pool_full", 1)
	if failed != nil {
		m.feed(failed)
	}
}

func (m *Member) signal() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (m *Member) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		m.feed(fleet.Tick{})
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// giveUp ends the host lease in the store, within a short time.
func (m *Member) giveUp() {
	m.mu.Lock()
	held := m.fleet.LeaseUntil() > 0
	m.mu.Unlock()
	if !held {
		return
	}
	m.feed(fleet.GiveUpLease{})
	deadline := time.After(giveUpTimeout)
	for {
		m.mu.Lock()
		done := m.fleet.LeaseGivenUp()
		m.mu.Unlock()
		if done {
			return
		}
		select {
		case <-deadline:
			return
		case <-time.After(tickInterval / 5):
		}
	}
}
