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
	// Role is a role held by this host.
	Role = fleet.Role
	// Peer is another host in the view of this host.
	Peer = fleet.Peer
)

// Fleet gives other packages this host's view of the fleet.
type Fleet interface {
	// Self returns the identity of this host. The incarnation changes when the
	// host regains a lapsed lease, so callers must not cache it.
	Self() Identity
	// LeaseUntil returns the end of this host's lease on the local monotonic
	// clock.
	LeaseUntil() time.Time
	// LeaseLapsed reports whether the lease of the incarnation must have lapsed. Once
	// true it stays true, because a lapsed incarnation is never valid again. Each
	// call keeps the lease of the host under observation for some seconds.
	LeaseLapsed(host string, incarnation uint64) bool
	// Holder returns the last known live holder of a role.
	Holder(role string) (Identity, bool)
	// HeldRoles returns the roles that this host holds.
	HeldRoles() []Role
	// MayMint reports whether this host holds the minter role and may issue rate
	// limit tokens: either its lease is live, or every other host of its zone has
	// a promise in force not to take the role over.
	MayMint(role string) bool
	// Peers returns the other hosts, ordered by name.
	Peers() []Peer
	// Document returns the configuration in force on this host, nil before the
	// first one.
	Document() *config.Document
	// KeysFresh reports whether the keys of the configuration were confirmed
	// within key_grace.
	KeysFresh() bool
	// Subscribe returns a channel that receives a value after a change of roles or
	// configuration. Changes that occur before it is read share one value.
	Subscribe() <-chan struct{}
}

// PeerCalls makes calls to other hosts, addressed by their peer address.
type PeerCalls interface {
	Exchange(ctx context.Context, address string, v *peerpb.Vector) (*peerpb.Vector, error)
	Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationResponse, error)
	Handover(ctx context.Context, address string, r *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error)
	// Probe reports whether the address refuses connections. It must return false
	// when that cannot be determined. ProbeTCP implements it for TCP addresses.
	Probe(ctx context.Context, address string) bool
}

// Options are the settings and dependencies of a Member.
type Options struct {
	// Self is the identity of this process. An incarnation of 0 stands for the
	// wall clock time in microseconds.
	Self    Identity
	Table   store.TableService
	Objects store.ObjectStore
	Hosts   store.HostList
	Peers   PeerCalls
	// Decode decodes and validates a configuration document.
	Decode func(data []byte) (*config.Document, error)
	Logger *log.Logger
	// AwaitOpenWork waits until a role that is about to be handed over has no open
	// work, such as a transaction that runs under the role. Nil means that roles
	// never have open work.
	AwaitOpenWork func(ctx context.Context, role string) error
	Counters      *telemetry.Counters
	// Seed seeds the random choice of peers and the jitter of the state machine; 0
	// stands for the wall clock time.
	Seed uint64
}

const (
	tickInterval = 50 * time.Millisecond
	// storeTimeout limits one store call. It is shorter than the interval of lease
	// renewals, so that a lost answer costs one renewal and not the lease.
	storeTimeout = 800 * time.Millisecond
	peerTimeout  = time.Second
	// fetchTimeout limits the transfer of a whole configuration document.
	fetchTimeout = 3 * time.Second
	// peerWorkers is the maximum number of calls to peers in flight. It suffices for
	// three exchanges every 250 ms that all time out, and for the probes.
	peerWorkers = 32
	peerQueue   = 64
	// leaseReleaseTimeout limits the release of the lease, the last write of a
	// planned stop.
	leaseReleaseTimeout = time.Second
	// applyTimeout limits a publication whose caller sets no earlier deadline.
	applyTimeout = 10 * time.Second
)

// ErrReplaced is returned by Run when a newer process has taken the host's name.
var ErrReplaced = errors.New("member: a newer incarnation of this host is running")

// errStopped is returned to peers that call after the host has stopped.
var errStopped = errors.New("member: host has stopped")

// Member is the membership of one host in the fleet. It implements Fleet and serves
// the calls of other hosts.
type Member struct {
	opt        Options
	clockStart time.Time // zero of the state machine's monotonic clock

	mu               sync.Mutex
	fleet            *fleet.Fleet
	leaseLive        bool
	loggedVersion    config.Version
	subscribers      []chan struct{}
	pendingPublishes map[uint64]chan fleet.PublishResult
	lastPublishID    uint64

	compressed compressedDocument

	storeCalls   [fleet.DutyCount]chan fleet.StoreCall
	pool         pond.Pool
	replaced     chan struct{}
	replacedOnce sync.Once
	ctx          context.Context // parent context of all calls; canceled after the lease is released
	cancel       context.CancelFunc
}

var _ Fleet = (*Member)(nil)

// New returns a Member, which makes no call before Run.
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
		opt:              opt,
		clockStart:       time.Now(),
		fleet:            fleet.New(fleet.Settings{Self: opt.Self, Writer: newWriterID(opt.Self), Seed: opt.Seed}),
		pendingPublishes: map[uint64]chan fleet.PublishResult{},
		replaced:         make(chan struct{}),
		pool:             pond.NewPool(peerWorkers, pond.WithQueueSize(peerQueue), pond.WithNonBlocking(true)),
	}
	for d := range m.storeCalls {
		m.storeCalls[d] = make(chan fleet.StoreCall, 1) // a duty has at most one request in flight
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// Run keeps the host a member of the fleet until ctx ends, also while the platform is
// slow or down. It then releases the host lease, so ctx must outlive everything that the
// lease protects. It returns ErrReplaced when a newer process has taken the host's
// name.
func (m *Member) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, calls := range m.storeCalls {
		wg.Go(func() { m.storeLoop(calls) })
	}
	wg.Go(m.hostListLoop)
	wg.Go(m.tickLoop)
	var err error
	select {
	case <-ctx.Done():
		m.releaseLease()
	case <-m.replaced:
		err = ErrReplaced
	}
	m.cancel()
	wg.Wait()
	m.pool.StopAndWait()
	return err
}

func (m *Member) now() time.Duration { return time.Since(m.clockStart) }

// step passes one input to the state machine and performs the resulting actions.
func (m *Member) step(in fleet.Input) {
	m.mu.Lock()
	actions := m.fleet.Step(m.now(), in)
	m.logTransitions()
	m.mu.Unlock()
	m.performActions(actions)
}

// logTransitions logs changes of the host lease and of the configuration in force.
// The caller holds the lock.
func (m *Member) logTransitions() {
	if leaseLive := m.now() < m.fleet.LeaseUntil(); leaseLive != m.leaseLive {
		m.leaseLive = leaseLive
		m.opt.Counters.Add("fleet_lease_changes", 1)
		m.opt.Logger.Info().Bool("live", leaseLive).Uint64("incarnation", m.fleet.Self().Incarnation).Msg("host lease changed")
	}
	if d, _ := m.fleet.Document(); d != nil && d.Version != m.loggedVersion {
		m.loggedVersion = d.Version
		m.opt.Logger.Info().Uint64("version", uint64(d.Version)).Msg("configuration in force")
	}
}

func (m *Member) performActions(actions []fleet.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case fleet.StoreCall:
			m.storeCalls[a.Duty] <- a
		case fleet.Exchange:
			m.submitPeerCall(func() { m.sendExchange(a) }, fleet.ExchangeDone{Call: a.Call})
		case fleet.Probe:
			m.submitPeerCall(func() { m.probePeer(a) }, fleet.ProbeDone{Call: a.Call})
		case fleet.FetchFromPeer:
			m.submitPeerCall(func() { m.fetchDocument(a) }, fleet.DocumentDone{Call: a.Call})
		case fleet.Handover:
			m.submitPeerCall(func() { m.sendHandover(a) }, nil)
		case fleet.PublishEnded:
			m.finishPublish(a)
		case fleet.StateChanged:
			m.notifySubscribers()
		case fleet.Superseded:
			m.opt.Logger.Error().Uint64("incarnation", a.Incarnation).Msg("host replaced by a newer incarnation")
			m.replacedOnce.Do(func() { close(m.replaced) })
		}
	}
}

// submitPeerCall runs a call in the pool. When the pool is full, the call is dropped
// and rejectionInput, unless nil, is passed to the state machine.
func (m *Member) submitPeerCall(call func(), rejectionInput fleet.Input) {
	if _, ok := m.pool.TrySubmit(call); ok {
		return
	}
	m.opt.Counters.Add("fleet_peer_pool_full", 1)
	if rejectionInput != nil {
		m.step(rejectionInput)
	}
}

func (m *Member) notifySubscribers() {
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
		m.step(fleet.Tick{})
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

// releaseLease releases the host lease in the store. It stops waiting after
// leaseReleaseTimeout.
func (m *Member) releaseLease() {
	m.mu.Lock()
	held := m.fleet.LeaseUntil() > 0
	m.mu.Unlock()
	if !held {
		return
	}
	m.step(fleet.ReleaseLease{})
	deadline := time.After(leaseReleaseTimeout)
	for {
		m.mu.Lock()
		done := m.fleet.LeaseReleased()
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
