package ownership

import (
	"math"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Timing of the leases and of the takeover of roles.
const (
	// LeaseTTL is how long a host may use its roles after the last
	// confirmation. The service guarantees nothing for requests with an API key
	// at a host that has been without the store for 3 s, so a longer lease has
	// no benefit. A shorter one would interrupt service during outages that
	// could be bridged.
	LeaseTTL = 3 * time.Second
	// PollWait is how long the store may hold a long poll of the roles. Changes
	// are answered at once, and confirmations also arrive from peers.
	PollWait = 15 * time.Second
	// PollAge is the age of the last confirmation at which a host sends a short
	// poll in addition to the long one. One lost answer and the next poll fit
	// into the lease.
	PollAge = 1800 * time.Millisecond
	// observationPeriod is how long a host waits before it claims vacant roles
	// after it has started, or after a period without any heartbeat, so that it
	// receives heartbeats of the other hosts first. Hosts that are started
	// together all come up within 0.3 s.
	observationPeriod = 1200 * time.Millisecond
	// claimDelayPerRank is how long a host delays a claim for each host that
	// ranks before it.
	claimDelayPerRank = 400 * time.Millisecond
	// maxFreshAge is the age of the last confirmation below which a host counts
	// as connected to the store.
	maxFreshAge = 900 * time.Millisecond
	// releaseAge is the age of the last confirmation at which a host releases
	// its roles if another host is still connected to the store. When the whole
	// store goes down, no host is fresh by that time, because the ages of the
	// confirmations differ by at most one poll.
	releaseAge = 2600 * time.Millisecond
	// writeTimeout is the time after which an unanswered write is sent again if
	// it is still needed.
	writeTimeout = time.Second
	// quorumSilenceLimit is how long a silent host still counts as a member
	// when the quorum for a takeover is computed. It is longer than most
	// network partitions.
	quorumSilenceLimit = 15 * time.Second
	// smallFleetHosts is the number of hosts up to which heartbeats are at most
	// about 0.6 s old. Such fleets use suspectTimeoutSmall, larger ones
	// suspectTimeoutLarge.
	smallFleetHosts     = 32
	suspectTimeoutSmall = 1200 * time.Millisecond
	suspectTimeoutLarge = 2500 * time.Millisecond
	// quorumDivisor sets the quorum for a takeover: a host must have recent
	// heartbeats of more than 1/quorumDivisor of the hosts, itself included.
	quorumDivisor = 3

	roleKeyPrefix = "role/"
	hostKeyPrefix = "host/"
)

// Host is one process of the deployment.
type Host struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Capacity is the host's share of the load, in any unit that all hosts use.
	Capacity float64 `json:"capacity"`
	// SpareCapacity is the weight for roles that carry statements; 0 for Capacity.
	SpareCapacity float64 `json:"spare_capacity,omitempty"`
}

// Role is the content of a role's row.
type Role struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	// Epoch grows whenever the row gets a new holder or the holder starts a new
	// epoch.
	Epoch uint64 `json:"epoch"`
	// NoTakeoverWait is true if no takeover wait applies: the previous holder had
	// stopped using the role when the row was written.
	NoTakeoverWait bool `json:"immediate"`
	// Era is the era of the store in which the row was written, as its writer knew it.
	Era store.Era `json:"era,omitempty"`
}

// Heartbeat is the newest heartbeat of a host. Counter grows from one heartbeat to
// the next.
type Heartbeat struct {
	Host        string
	Incarnation uint64
	Counter     uint64
	Leaving     bool
	// Fresh is true if the host had a recent confirmation of the rows.
	Fresh bool
	// Released holds the roles, with their epochs, that the rows assign to the
	// host but that it has permanently stopped using.
	Released map[string]uint64
}

// RoleSpec describes a role that some host should hold.
type RoleSpec struct {
	Name string
	// Zone is where the holder should run; empty if any zone will do.
	Zone string
}

// Write is a change of one row. It applies only if the row is at revision
// Expect.
type Write struct {
	Key    string
	Expect store.Revision
	Value  []byte
	Remove bool
	// Reason states why the write is needed. It is logged.
	Reason string
}

type receivedHeartbeat struct {
	Heartbeat
	// receivedAt is when a heartbeat with a larger counter last arrived.
	receivedAt time.Duration
}

// Machine decides which roles this host claims, releases and may use. It is not
// safe for concurrent use.
type Machine struct {
	// carriesStatements is Options.CarriesStatements.
	carriesStatements func(role string) bool
	self              Host
	space             string

	hosts map[string]*hostRow
	// others, rankings and hostsByBeatID are computed from hosts when they are needed,
	// and reset when hosts changes.
	others        []Host
	rankings      map[rankingKey][]*hostRow
	hostsByBeatID map[uint64]*hostRow

	roles            map[string]*roleRow
	heartbeats       map[string]*receivedHeartbeat
	heartbeatCounter uint64
	confirmedAt      time.Duration
	// leaseSince is when a confirmation last arrived after the lease had lapsed.
	leaseSince time.Duration
	rowsLoaded bool // all rows have been read since the start
	// rowsLoadedAt is when all rows were first read.
	rowsLoadedAt time.Duration
	// lastHeartbeatAt is when the newest heartbeat of another host arrived.
	// contactSince is the time since which heartbeats of other hosts have
	// arrived without a long gap.
	lastHeartbeatAt, contactSince time.Duration

	wantedRoles map[string]RoleSpec
	// vacantSince holds the time since which a wanted role has had no live
	// holder.
	vacantSince    map[string]time.Duration
	pendingWrites  map[string]time.Duration // by key: when the outstanding write was sent
	epochRequested map[string]bool
	// releasedEpochs holds, for each role, the last epoch in which this host
	// has stopped using it.
	releasedEpochs map[string]uint64
	// predecessorEnds holds, by role, what is known of the holder before this host.
	predecessorEnds map[string]predecessorEnd
	startedAt       time.Duration
	leaving         bool
	// undecodedRows holds, by key, the revisions of rows that another program has written
	// and that cannot be decoded. skipped are those that have been reported.
	undecodedRows map[string]store.Revision
	skipped       store.SkippedRows
	// unresponsiveUntil holds, for each host that has not answered a heartbeat of this
	// host, the time until which it gets no other one.
	unresponsiveUntil map[string]time.Duration
	// zoneWatch is nil unless the hosts of a lost zone are suspected together.
	zoneWatch *zoneWatch
	// exchangeRound counts the rounds of heartbeats in a large fleet.
	exchangeRound int
	// lastRelayExchangeAt is when an exchange with a relay was last completed.
	lastRelayExchangeAt time.Duration
	eras                eraState
	// registered is set once this process has read its own host row. replaced
	// is set once another process has registered under the same name after
	// that.
	registered, replaced bool
}

// NewMachine returns a Machine without any rows. Space is the space of the
// store that holds its rows.
func NewMachine(now time.Duration, self Host, space string) *Machine {
	return &Machine{
		self: self, space: space, contactSince: now, startedAt: now, predecessorEnds: map[string]predecessorEnd{},
		hosts: map[string]*hostRow{}, roles: map[string]*roleRow{}, heartbeats: map[string]*receivedHeartbeat{},
		wantedRoles: map[string]RoleSpec{}, vacantSince: map[string]time.Duration{}, pendingWrites: map[string]time.Duration{},
		epochRequested: map[string]bool{}, releasedEpochs: map[string]uint64{}, unresponsiveUntil: map[string]time.Duration{}, undecodedRows: map[string]store.Revision{},
	}
}

// SetWantedRoles sets the roles that some host should hold.
func (m *Machine) SetWantedRoles(specs []RoleSpec) {
	m.wantedRoles = make(map[string]RoleSpec, len(specs))
	for _, s := range specs {
		m.wantedRoles[s.Name] = s
	}
}

// namesSelf reports whether the row names this process as the holder.
func (m *Machine) namesSelf(r *roleRow) bool {
	return r.Holder == m.self.Name && r.Incarnation == m.self.Incarnation
}

// takeoverWaitOver is Machine.takeoverWaitOver for a row that was written in this era.
func (r *roleRow) takeoverWaitOver(now time.Duration) bool {
	return r.NoTakeoverWait || now >= r.firstSeenAt+clock.AddDriftMargin(LeaseTTL) || !guard.Enabled(guard.Takeover)
}

// LeaseUntil returns the time at which this host must stop using its roles, 0
// if it may not use any.
func (m *Machine) LeaseUntil() time.Duration {
	if !m.rowsLoaded || m.replaced {
		return 0
	}
	if !guard.Enabled(guard.Lease) {
		return math.MaxInt64
	}
	return m.confirmedAt + clock.SubtractDriftMargin(LeaseTTL)
}

// UsableEpoch returns the epoch of a role that this host may use now.
func (m *Machine) UsableEpoch(now time.Duration, role string) (epoch uint64, ok bool) {
	epoch, ok = m.AssignedEpoch(now, role)
	if !ok || !m.mayUse(now, m.roles[role]) {
		return 0, false
	}
	return epoch, true
}

// AssignedEpoch returns the epoch of a role that the rows assign to this host. The
// host may still have to wait before it may use the role.
func (m *Machine) AssignedEpoch(now time.Duration, role string) (epoch uint64, ok bool) {
	r, exists := m.roles[role]
	if !exists || !m.namesSelf(r) || m.releasedEpochs[role] >= r.Epoch || now >= m.LeaseUntil() || !m.isOfThisEra(r) && !m.keepsRow(r) {
		return 0, false
	}
	return r.Epoch, true
}

// Holder returns the host that the role's row names. It returns false if there
// is no row or the process in it is not registered.
func (m *Machine) Holder(role string) (Host, bool) {
	r, ok := m.roles[role]
	if !ok {
		return Host{}, false
	}
	h, ok := m.hosts[r.Holder]
	if !ok || h.Incarnation != r.Incarnation {
		return Host{}, false
	}
	return h.Host, true
}

// RequestNewEpoch requests a new epoch of a role that this host holds.
func (m *Machine) RequestNewEpoch(role string) { m.epochRequested[role] = true }

// Leave makes the host hand over its roles and claim no others.
func (m *Machine) Leave() { m.leaving = true }

// RemainingRoles returns the number of roles whose rows still name this process.
func (m *Machine) RemainingRoles() int {
	n := 0
	for _, r := range m.roles {
		if m.namesSelf(r) {
			n++
		}
	}
	return n
}

// Replaced reports whether another process has registered under this host's
// name.
func (m *Machine) Replaced() bool { return m.replaced }

// WriteDone records that the outstanding write of the row has ended, so that the
// next Tick can return another one without waiting for writeTimeout.
func (m *Machine) WriteDone(key string) { delete(m.pendingWrites, key) }
