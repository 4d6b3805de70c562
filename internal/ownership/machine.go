package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Timing of the leases and of the takeover of roles.
const (
	// LeaseTTL is how long a role is used after the last confirmation. The
	// platform owes nothing to keyed requests of a host that has been without
	// the store for 3 s, so that a longer lease would serve nobody, and a
	// shorter one would stop service in outages that could be bridged.
	LeaseTTL = 3 * time.Second
	// PollWait is how long the store may hold a poll of the roles. Changes are
	// answered at once; confirmations come from peers, too.
	PollWait = 15 * time.Second
	// PollAge is the age of the confirmation at which a host polls for itself. One
	// lost answer and the next poll fit into the lease.
	PollAge = 1800 * time.Millisecond
	// settleTime is how long a host that has just started, or that has heard
	// nobody for a while, leaves vacant roles alone, so that it knows of the
	// others first. Hosts that start together do so within 0.3 s.
	settleTime = 1200 * time.Millisecond
	// claimStep is the delay of a claim for each better ranked host.
	claimStep = 400 * time.Millisecond
	// freshFor is the age of the confirmation up to which a host counts as being
	// in touch with the store.
	freshFor = 900 * time.Millisecond
	// releaseAfter is the age of the confirmation at which a host releases its
	// roles to hosts that are in touch with the store. At the beginning of an
	// outage of the whole store no host is fresh by then, because the ages differ
	// by at most one poll.
	releaseAfter = 2600 * time.Millisecond
	// writeTimeout is the time after which a write without an answer is sent
	// again if it is still due.
	writeTimeout = time.Second
	// countedFor is how long a silent host counts in the share of the hosts that
	// a host must hear to take a role over. It is above the length of most cuts.
	countedFor = 15 * time.Second
	// smallFleet is the number of hosts up to which signs of life are at most
	// about 0.6 s old.
	smallFleet   = 32
	suspectSmall = 1200 * time.Millisecond
	suspectLarge = 2500 * time.Millisecond
	// heardShare is the reciprocal of the share of the hosts that a host must hear
	// more than, itself included, to take a role over.
	heardShare = 3

	roleSegment = "role/"
	hostSegment = "host/"
)

// Host is one process of the deployment.
type Host struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Capacity is the host's share of the work, in any unit that all hosts use.
	Capacity float64 `json:"capacity"`
}

// Role is the row of a role.
type Role struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
	Address     string `json:"address"`
	// Epoch grows with every change of the row.
	Epoch uint64 `json:"epoch"`
	// Immediate says that the predecessor had stopped using the role when the
	// row was written.
	Immediate bool `json:"immediate"`
}

// Beat is the newest sign of life of a host. The counter grows with time.
type Beat struct {
	Host        string
	Incarnation uint64
	Counter     uint64
	Leaving     bool
	// Fresh says that the host had a recent confirmation of the rows.
	Fresh bool
	// Released holds roles, with their epochs, that the host holds by the rows
	// and has stopped using for good.
	Released map[string]uint64
}

// Spec is a role that some host should hold.
type Spec struct {
	Name string
	// Zone is where the holder should be; empty for anywhere.
	Zone string
}

// Write asks for one change of a row under the condition that it is at Expect.
type Write struct {
	Key    string
	Expect store.Revision
	Value  []byte
	Remove bool
	// Why is the reason for the log.
	Why string
}

type signOfLife struct {
	Beat
	// at is when the counter last grew.
	at time.Duration
}

// Machine decides about hosts and roles. It is not safe for concurrent use.
type Machine struct {
	self  Host
	space string

	hosts     map[string]*hostRow
	roles     map[string]*roleRow
	beats     map[string]*signOfLife
	counter   uint64
	confirmed time.Duration
	known     bool // the rows have been read since the start
	// lastHeard is the time of the newest sign of life of any other host, resumed
	// the time since which this host has heard others without a long pause.
	lastHeard, resumed time.Duration

	wanted map[string]Spec
	// vacant holds the time since which a wanted role has had no live holder.
	vacant  map[string]time.Duration
	pending map[string]time.Duration // by key: time of the write under way
	advance map[string]bool
	// released holds the epochs up to which this host has stopped using a role.
	released map[string]uint64
	leaving  bool
	// registered is set once the own row has been seen; replaced once another
	// process has taken the name since.
	registered, replaced bool
}

// NewMachine returns a Machine that knows nothing. Space is the space of its rows.
func NewMachine(now time.Duration, self Host, space string) *Machine {
	return &Machine{
		self: self, space: space, resumed: now,
		hosts: map[string]*hostRow{}, roles: map[string]*roleRow{}, beats: map[string]*signOfLife{},
		wanted: map[string]Spec{}, vacant: map[string]time.Duration{}, pending: map[string]time.Duration{},
		advance: map[string]bool{}, released: map[string]uint64{},
	}
}

// Want sets the roles that some host should hold.
func (m *Machine) Want(specs []Spec) {
	m.wanted = make(map[string]Spec, len(specs))
	for _, s := range specs {
		m.wanted[s.Name] = s
	}
}

// own reports whether the row names this process.
func (m *Machine) own(r *roleRow) bool {
	return r.Holder == m.self.Name && r.Incarnation == m.self.Incarnation
}

// settled reports whether the holder that the row names may use the role by now.
func (r *roleRow) settled(now time.Duration) bool {
	return r.Immediate || now >= r.seen+clock.Longer(LeaseTTL) || !guard.On(guard.Takeover)
}

// LeaseUntil returns the end of the time in which this host may use its roles.
func (m *Machine) LeaseUntil() time.Duration {
	if !m.known || m.replaced {
		return 0
	}
	if !guard.On(guard.Lease) {
		return math.MaxInt64
	}
	return m.confirmed + clock.Shorter(LeaseTTL)
}

// Held returns the epoch of a role that this host may use now.
func (m *Machine) Held(now time.Duration, role string) (epoch uint64, ok bool) {
	epoch, ok = m.Claimed(now, role)
	if !ok || !m.roles[role].settled(now) {
		return 0, false
	}
	return epoch, true
}

// Claimed returns the epoch of a role that this host holds by the rows, although
// it may have to wait before it may use it.
func (m *Machine) Claimed(now time.Duration, role string) (epoch uint64, ok bool) {
	r, known := m.roles[role]
	if !known || !m.own(r) || m.released[role] >= r.Epoch || now >= m.LeaseUntil() {
		return 0, false
	}
	return r.Epoch, true
}

// Holder returns the process that a role's row names.
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

// Rank returns the eligible hosts for a role, the best first: live hosts of the
// zone, or of all zones if it has none.
func (m *Machine) Rank(now time.Duration, role, zone string) []Host {
	live := m.Live(now)
	local := live[:0:0]
	for _, h := range live {
		if h.Zone == zone && !m.releasing(now, h) {
			local = append(local, h)
		}
	}
	if len(local) > 0 {
		live = local
	}
	slices.SortFunc(live, func(a, b Host) int { return cmp.Compare(distance(role, a), distance(role, b)) })
	return live
}

// distance ranks hosts for a role by weighted rendezvous hashing: a host comes
// first for a share of the roles that follows its capacity.
func distance(role string, h Host) float64 {
	const steps = 1 << 53
	u := (float64(xxhash.Sum64String(role+"\x00"+h.Name)>>11) + 0.5) / steps
	return -math.Log(u) / max(h.Capacity, leastCapacity)
}

// leastCapacity is used for a host that states none.
const leastCapacity = 0.01

// Advance asks for a new epoch of a role that is held here.
func (m *Machine) Advance(role string) { m.advance[role] = true }

// Leave makes the host give its roles up. It takes no more.
func (m *Machine) Leave() { m.leaving = true }

// Remaining returns the number of roles that still name this process.
func (m *Machine) Remaining() int {
	n := 0
	for _, r := range m.roles {
		if m.own(r) {
			n++
		}
	}
	return n
}

// Replaced reports whether another process has taken this host's name.
func (m *Machine) Replaced() bool { return m.replaced }

// Done notes the end of a write, so that it may be sent again if it is still due.
func (m *Machine) Done(key string) { delete(m.pending, key) }
