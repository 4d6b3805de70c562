package ownership

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/guard"
	"github.com/cranberryhinge/cranberryhinge/internal/platform"
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
	Expect platform.Revision
	Value  []byte
	Remove bool
	// Why is the reason for the log.
	Why string
}

type hostRow struct {
	Host
	revision platform.Revision
}

type roleRow struct {
	Role
	name     string
	revision platform.Revision
	// seen is when this host first saw the row.
	seen time.Duration
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

func (m *Machine) hostKey(name string) string { return m.space + "/" + hostSegment + name }

func (m *Machine) roleKey(name string) string { return m.space + "/" + roleSegment + name }

// Rows takes changes of the rows in. Full says that they are all there are. A
// positive confirmed is a time at which the rows were complete. Rows that cannot
// be decoded are returned.
func (m *Machine) Rows(now, confirmed time.Duration, changes []platform.Change, full bool) (undecoded []string) {
	if full {
		m.dropUnlisted(changes)
		m.known = true
	}
	for _, c := range changes {
		if !m.row(now, c) {
			undecoded = append(undecoded, c.Key)
		}
	}
	m.confirmed = max(m.confirmed, confirmed)
	m.checkSelf()
	return undecoded
}

func (m *Machine) dropUnlisted(changes []platform.Change) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Key] = true
	}
	for name := range m.hosts {
		if !listed[m.hostKey(name)] {
			delete(m.hosts, name)
		}
	}
	for name := range m.roles {
		if !listed[m.roleKey(name)] {
			delete(m.roles, name)
		}
	}
}

func (m *Machine) row(now time.Duration, c platform.Change) bool {
	key := strings.TrimPrefix(c.Key, m.space+"/")
	if name, ok := strings.CutPrefix(key, hostSegment); ok {
		return m.hostChanged(name, c)
	}
	if name, ok := strings.CutPrefix(key, roleSegment); ok {
		return m.roleChanged(now, name, c)
	}
	return true
}

func (m *Machine) hostChanged(name string, c platform.Change) bool {
	if old, ok := m.hosts[name]; ok && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		delete(m.hosts, name)
		return true
	}
	r := &hostRow{revision: c.Revision}
	if json.Unmarshal(c.Value, &r.Host) != nil || r.Name != name {
		return false
	}
	m.hosts[name] = r
	return true
}

func (m *Machine) roleChanged(now time.Duration, name string, c platform.Change) bool {
	old, known := m.roles[name]
	if known && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		delete(m.roles, name)
		return true
	}
	r := &roleRow{name: name, revision: c.Revision, seen: now}
	if json.Unmarshal(c.Value, &r.Role) != nil {
		return false
	}
	m.roles[name] = r
	delete(m.advance, name)
	return true
}

// checkSelf notes that the own row is there, or that another process has it.
func (m *Machine) checkSelf() {
	r, ok := m.hosts[m.self.Name]
	switch {
	case !ok:
	case r.Incarnation == m.self.Incarnation:
		m.registered = true
	case m.registered:
		m.replaced = true
	}
}

// Beats takes signs of life in.
func (m *Machine) Beats(now time.Duration, beats []Beat) {
	for _, b := range beats {
		if b.Host == m.self.Name {
			continue
		}
		old, ok := m.beats[b.Host]
		if ok && old.Incarnation == b.Incarnation && b.Counter <= old.Counter {
			continue
		}
		if ok && old.Incarnation != b.Incarnation && !m.newer(b, old.Beat) {
			continue
		}
		m.beats[b.Host] = &signOfLife{Beat: b, at: now}
		if now-m.lastHeard > m.suspectAfter() {
			// What was known of the others is as old as the pause was long.
			m.resumed = now
		}
		m.lastHeard = now
	}
}

// newer reports whether a beat of another incarnation replaces the known one.
func (m *Machine) newer(b, old Beat) bool {
	r, ok := m.hosts[b.Host]
	return !ok || r.Incarnation == b.Incarnation || r.Incarnation != old.Incarnation
}

// Statements returns the signs of life to pass on, the own one included.
func (m *Machine) Statements(now time.Duration) []Beat {
	m.counter++
	own := Beat{
		Host: m.self.Name, Incarnation: m.self.Incarnation, Counter: m.counter, Leaving: m.leaving,
		Fresh: m.known && now-m.confirmed < freshFor,
	}
	for name, r := range m.roles {
		if m.own(r) && m.released[name] >= r.Epoch {
			if own.Released == nil {
				own.Released = map[string]uint64{}
			}
			own.Released[name] = r.Epoch
		}
	}
	out := []Beat{own}
	for _, b := range m.beats {
		out = append(out, b.Beat)
	}
	return out
}

func (m *Machine) suspectAfter() time.Duration {
	if len(m.hosts) <= smallFleet {
		return suspectSmall
	}
	return suspectLarge
}

// alive reports whether the process of a host row shows signs of life.
func (m *Machine) alive(now time.Duration, h Host) bool {
	if h.Name == m.self.Name {
		return h.Incarnation == m.self.Incarnation
	}
	b, ok := m.beats[h.Name]
	return ok && b.Incarnation == h.Incarnation && now-b.at < m.suspectAfter()
}

// Live returns the hosts that are alive and not leaving, by name.
func (m *Machine) Live(now time.Duration) []Host {
	var out []Host
	for _, r := range m.hosts {
		if m.alive(now, r.Host) && !m.isLeaving(r.Host) {
			out = append(out, r.Host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (m *Machine) isLeaving(h Host) bool {
	if h.Name == m.self.Name {
		return m.leaving
	}
	b, ok := m.beats[h.Name]
	return ok && b.Incarnation == h.Incarnation && b.Leaving
}

// Alive reports whether the named host shows signs of life.
func (m *Machine) Alive(now time.Duration, name string) bool {
	r, ok := m.hosts[name]
	return ok && m.alive(now, r.Host)
}

// Others returns all other hosts that have a row.
func (m *Machine) Others() []Host {
	var out []Host
	for _, r := range m.hosts {
		if r.Name != m.self.Name {
			out = append(out, r.Host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return out
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

// releasing reports whether a host has lost the store and gives its roles up.
func (m *Machine) releasing(now time.Duration, h Host) bool {
	if h.Name == m.self.Name {
		return now-m.confirmed >= releaseAfter
	}
	b, ok := m.beats[h.Name]
	return ok && len(b.Released) > 0
}

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

// Tick returns the writes that are due.
func (m *Machine) Tick(now time.Duration) []Write {
	if !m.known || m.replaced {
		return nil
	}
	m.releaseUnconfirmed(now)
	var out []Write
	add := func(w Write) {
		if at, ok := m.pending[w.Key]; ok && now-at < writeTimeout {
			return
		}
		m.pending[w.Key] = now
		out = append(out, w)
	}
	if w, due := m.register(); due {
		add(w)
	}
	names := make([]string, 0, len(m.wanted))
	for name := range m.wanted {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if w, due := m.roleWrite(now, name); due {
			add(w)
		}
	}
	return out
}

// releaseUnconfirmed gives the roles up when this host has lost the store and
// others have not. What is released stays so, because another host may claim it
// without a wait.
func (m *Machine) releaseUnconfirmed(now time.Duration) {
	if now-m.confirmed < releaseAfter || !m.othersFresh(now) {
		return
	}
	for name, r := range m.roles {
		if m.own(r) {
			m.released[name] = max(m.released[name], r.Epoch)
		}
	}
}

// othersFresh reports whether another host is in touch with the store.
func (m *Machine) othersFresh(now time.Duration) bool {
	for _, b := range m.beats {
		if b.Fresh && now-b.at < m.suspectAfter()/2 {
			return true
		}
	}
	return false
}

// register writes the own host row.
func (m *Machine) register() (Write, bool) {
	r, ok := m.hosts[m.self.Name]
	if m.leaving || ok && r.Host == m.self {
		return Write{}, false
	}
	w := Write{Key: m.hostKey(m.self.Name), Value: encode(m.self), Why: "register"}
	if ok {
		w.Expect = r.revision
	}
	return w, true
}

// Deregister returns the write that removes the own row. It is the last one of a
// planned stop.
func (m *Machine) Deregister() (Write, bool) {
	r, ok := m.hosts[m.self.Name]
	if !ok || r.Incarnation != m.self.Incarnation {
		return Write{}, false
	}
	return Write{Key: m.hostKey(m.self.Name), Expect: r.revision, Remove: true, Why: "deregister"}, true
}

func (m *Machine) roleWrite(now time.Duration, name string) (Write, bool) {
	r, ok := m.roles[name]
	if ok && m.own(r) {
		delete(m.vacant, name)
		return m.ownRoleWrite(now, name, r)
	}
	if m.leaving || !m.registered {
		return Write{}, false
	}
	why, immediate := m.vacancy(now, r)
	if why == "" {
		delete(m.vacant, name)
		return Write{}, false
	}
	return m.claim(now, name, r, why, immediate)
}

// ownRoleWrite gives a role up, or starts a new epoch.
func (m *Machine) ownRoleWrite(now time.Duration, name string, r *roleRow) (Write, bool) {
	next := Role{Holder: m.self.Name, Incarnation: m.self.Incarnation, Address: m.self.Address, Epoch: r.Epoch + 1, Immediate: true}
	if m.leaving {
		ranked := m.Rank(now, name, m.wanted[name].Zone)
		if len(ranked) == 0 || !r.settled(now) {
			return Write{}, false
		}
		// From here on the role is not used here, whatever becomes of the write.
		m.released[name] = r.Epoch
		next.Holder, next.Incarnation, next.Address = ranked[0].Name, ranked[0].Incarnation, ranked[0].Address
		return m.roleUpdate(name, r, next, "cede to "+next.Holder), true
	}
	switch {
	case !r.settled(now):
		return Write{}, false
	case m.released[name] >= r.Epoch && now-m.confirmed < freshFor:
		return m.roleUpdate(name, r, next, "take back"), true
	case m.released[name] >= r.Epoch:
		return Write{}, false
	case m.advance[name]:
		return m.roleUpdate(name, r, next, "new epoch"), true
	case !r.Immediate:
		// Those who read the row later need not wait again.
		next.Epoch = r.Epoch
		return m.roleUpdate(name, r, next, "wait is over"), true
	}
	return Write{}, false
}

// vacancy says why a role may be claimed, empty if it may not, and whether its
// holder is known to have stopped.
func (m *Machine) vacancy(now time.Duration, r *roleRow) (why string, immediate bool) {
	if r == nil {
		return "vacant", true
	}
	h, listed := m.hosts[r.Holder]
	switch {
	case r.Holder == m.self.Name:
		return "own role of an earlier process", m.self.Address == r.Address && r.settled(now)
	case !listed:
		return "holder has left", r.settled(now)
	case h.Incarnation != r.Incarnation:
		// The new process could listen on the address of the old one only after
		// that had ended. At another address the old one may still run.
		return "holder has restarted", h.Address == r.Address && r.settled(now)
	case !m.alive(now, h.Host):
		return "holder is silent", false
	case m.hasReleased(h.Host, r):
		return "holder has released it", r.settled(now)
	}
	return "", false
}

// hasReleased reports whether the holder says that it has stopped using the role.
func (m *Machine) hasReleased(h Host, r *roleRow) bool {
	b, ok := m.beats[h.Name]
	return ok && b.Incarnation == h.Incarnation && b.Released[r.name] == r.Epoch && r.Epoch > 0
}

// claim takes a vacant role over, unless a better ranked host is about to.
func (m *Machine) claim(now time.Duration, name string, r *roleRow, why string, immediate bool) (Write, bool) {
	since, ok := m.vacant[name]
	if !ok {
		since = now
		m.vacant[name] = now
	}
	rank := slices.IndexFunc(m.Rank(now, name, m.wanted[name].Zone), func(h Host) bool { return h == m.self })
	mine := r != nil && r.Holder == m.self.Name
	if !mine && (rank < 0 || now-m.resumed < settleTime || now-since < time.Duration(rank)*claimStep || !m.hearsEnough(now)) {
		return Write{}, false
	}
	next := Role{Holder: m.self.Name, Incarnation: m.self.Incarnation, Address: m.self.Address, Epoch: 1, Immediate: immediate}
	if r != nil {
		next.Epoch = r.Epoch + 1
	}
	return m.roleUpdate(name, r, next, why), true
}

// hearsEnough guards against a host that is cut off from the others but not from
// the store and would take everything over.
func (m *Machine) hearsEnough(now time.Duration) bool {
	heard, counted := 0, 0
	for _, r := range m.hosts {
		if m.alive(now, r.Host) {
			heard++
			counted++
			continue
		}
		silentSince := m.resumed
		if b, ok := m.beats[r.Name]; ok {
			silentSince = max(b.at, m.resumed)
		}
		if now-silentSince < countedFor {
			counted++
		}
	}
	return heard*heardShare > counted
}

func (m *Machine) roleUpdate(name string, r *roleRow, next Role, why string) Write {
	w := Write{Key: m.roleKey(name), Value: encode(next), Why: why}
	if r != nil {
		w.Expect = r.revision
	}
	return w
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("ownership: " + err.Error()) // the types hold text and numbers only
	}
	return data
}
