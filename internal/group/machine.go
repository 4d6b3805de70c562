package group

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Options are the fixed settings of a Machine.
type Options struct {
	Group  string
	Self   Host
	Timing Timing
}

// poll is what is known of one database.
type poll struct {
	inFlight bool
	sent     time.Duration
	// statusSent is when the poll that returned status was sent.
	statusSent time.Duration
	status     dbconn.Status
	known      bool
	// missing is set while the newest answer is an error; missedSince is then
	// when the first poll that failed was sent.
	missing     bool
	missedSince time.Duration
	followed    time.Duration
}

// peer is what is known from another home host of the group.
type peer struct {
	inFlight bool
	sent     time.Duration
	asked    bool
	// okSent is when the newest answered question was sent.
	ok        bool
	okSent    time.Duration
	report    Report
	missing   bool
	missSince time.Duration
}

// swap is the compare-and-swap in flight.
type swap struct {
	kind   swapKind
	expect store.Revision
	row    Row
	epoch  uint64
	live   bool
	// settle is the first row read that can tell the outcome; 0 while the
	// answer is awaited.
	settle uint64
}

type swapKind uint8

const (
	swapAdopt swapKind = iota
	swapClaim
	swapTerm
	swapAssign
	swapGive
)

// Machine is the state of one group at one host.
type Machine struct {
	opt        Options
	durability config.Durability
	servers    []Server

	row      Row
	revision store.Revision
	rowKnown bool
	// rowSince is when the current revision became known here.
	rowSince time.Duration
	readID   uint64
	reading  bool
	readAt   time.Duration
	wantRow  bool

	leaseUntil time.Duration
	// leaseEpoch grows whenever the lease was not continuous.
	leaseEpoch uint64
	claimed    bool
	claimEpoch uint64

	swap    *swap
	swapSeq uint64
	// conflict is set from a conflict until the row has been read again.
	conflict bool

	polls      map[string]*poll
	peers      map[string]*peer
	probeUntil time.Duration
	wantPoll   bool
	wantQuorum bool

	// opened is the term in which the primary is in use here.
	opened   uint64
	openedAt time.Duration
	seenTerm uint64
	// primaryOK is when the last poll was sent that the primary of the row's
	// term answered as such.
	primaryOK time.Duration
	held      uint64
	heldTerm  uint64
	samples   Samples
	pending   []Sample

	contactOK time.Duration
	// lapsed is the last host known to have lost its lease for good.
	lapsed Host
	// past holds the former incarnations of this process.
	past      map[uint64]bool
	promotion *promotion
	restart   bool
	retryAt   time.Duration
	readyAt   time.Duration
	ready     bool
	failures  int

	closing     bool
	closingAt   time.Duration
	plannedAt   time.Duration
	lagging     bool
	laggingFrom time.Duration
	laggingHeld uint64

	suspected   bool
	suspectedAt time.Duration
	gapStart    time.Duration
	lapsedAt    time.Duration
	gap         Gap

	now     time.Duration
	actions []Action
	// unsafe switches guards off in tests that show what each guard prevents.
	unsafe unsafe
}

// unsafe is set only by tests of this package.
type unsafe struct {
	skipLease        bool // treats a lapsed lease as live
	skipReclaim      bool // keeps write authority across a lapsed lease
	skipConfirmation bool // acknowledges without a majority
	skipLapse        bool // promotes without waiting for the lease
	skipFence        bool // promotes without fencing a majority
	keepClaim        bool // keeps write authority while a compare-and-swap gives it away
	skipSampleCheck  bool // takes samples without write authority
}

// New returns a machine that knows nothing of its group.
func New(opt Options) *Machine {
	return &Machine{
		opt: opt, durability: config.DurabilityReplicated,
		polls: map[string]*poll{}, peers: map[string]*peer{}, past: map[uint64]bool{}, wantRow: true,
	}
}

// Step applies one input and returns the actions that follow. The slice is
// valid until the next call.
func (m *Machine) Step(now time.Duration, in Input) []Action {
	m.now = max(m.now, now)
	m.actions = m.actions[:0]
	switch v := in.(type) {
	case Tick:
	case Topology:
		m.onTopology(v)
	case Lease:
		m.onLease(v)
		return m.actions
	case RowAnswer:
		m.onRow(v)
	case SwapAnswer:
		m.onSwap(v)
	case Lapsed:
		m.lapsed = Host{Name: v.Host, Incarnation: v.Incarnation}
	case StatusAnswer:
		m.onStatus(v)
	case FenceAnswer:
		m.onFence(v)
	case PromoteAnswer:
		m.onPromote(v)
	case ReportAnswer:
		m.onReport(v)
	case Asked:
		m.probeUntil = m.now + m.opt.Timing.Probe
	case Wanted:
		m.wantPoll = true
		m.wantQuorum = m.wantQuorum || v.Quorum
	}
	m.decide()
	m.schedule()
	return m.actions
}

func (m *Machine) do(a Action)       { m.actions = append(m.actions, a) }
func (m *Machine) count(name string) { m.do(Count{Name: name}) }

func (m *Machine) onTopology(v Topology) {
	m.durability = v.Durability
	m.servers = append(m.servers[:0], v.Servers...)
	slices.SortFunc(m.servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	for _, s := range m.servers {
		if m.polls[s.Name] == nil {
			m.polls[s.Name] = &poll{}
		}
		if h := s.Home; h.Name != "" && h.Name != m.opt.Self.Name && m.peers[h.Name] == nil {
			m.peers[h.Name] = &peer{}
		}
	}
	for name := range m.polls {
		if _, ok := m.server(name); !ok {
			delete(m.polls, name)
		}
	}
	for name := range m.peers {
		if name != m.row.Owner && !slices.ContainsFunc(m.servers, func(s Server) bool { return s.Home.Name == name }) {
			delete(m.peers, name)
		}
	}
}

// onLease notices a lease that was not continuous: the old one had lapsed
// before the renewal became known.
func (m *Machine) onLease(v Lease) {
	if v.Incarnation != m.opt.Self.Incarnation {
		m.past[m.opt.Self.Incarnation] = true
		m.opt.Self.Incarnation = v.Incarnation
		m.leaseEpoch++
	}
	if v.Until < m.leaseUntil || (v.Until != m.leaseUntil && m.now >= m.leaseUntil) {
		m.leaseEpoch++
	}
	m.leaseUntil = v.Until
}

func (m *Machine) server(name string) (Server, bool) {
	for _, s := range m.servers {
		if s.Name == name {
			return s, true
		}
	}
	return Server{}, false
}

func (m *Machine) mine(s Server) bool { return m.self(s.Home.Name, s.Home.Incarnation) }

// self reports whether this process is or was the host of the incarnation. A
// process takes a new incarnation after its lease has lapsed. It still knows
// what it did under the old one, so it goes on under the confirmation rules
// until it has written the row again.
func (m *Machine) self(name string, incarnation uint64) bool {
	return name == m.opt.Self.Name && (incarnation == m.opt.Self.Incarnation || m.past[incarnation])
}

func (m *Machine) homesAny() bool { return slices.ContainsFunc(m.servers, m.mine) }

func (m *Machine) majority() int { return len(m.servers)/2 + 1 }

func (m *Machine) isOwner() bool {
	return m.rowKnown && m.self(m.row.Owner, m.row.Incarnation)
}

// setRow takes over a row that is newer than the known one.
func (m *Machine) setRow(r Row, rev store.Revision) {
	if m.rowKnown && rev <= m.revision {
		return
	}
	if r.Term != m.row.Term || r.Primary != m.row.Primary {
		m.opened, m.primaryOK, m.restart = 0, m.now, false
		m.closing, m.lagging, m.suspected, m.ready = false, false, false, false
		m.pending = m.pending[:0]
	}
	if r.Owner != m.row.Owner || r.Incarnation != m.row.Incarnation {
		m.contactOK = m.now
	}
	m.row, m.revision, m.rowKnown, m.rowSince = r, rev, true, m.now
	m.claimed = false
	m.wantPoll = true
	if p := m.promotion; p != nil && p.step != stepClaim && p.term != r.Term {
		m.promotion = nil
	}
	if !m.isOwner() {
		m.opened, m.promotion, m.failures = 0, nil, 0
	}
	if m.row.Owner != m.opt.Self.Name && m.row.Owner != "" && m.peers[m.row.Owner] == nil {
		m.peers[m.row.Owner] = &peer{}
	}
}

func (m *Machine) onRow(v RowAnswer) {
	if v.ID == m.readID {
		m.reading = false
	}
	if v.Err != nil {
		m.wantRow = true
		return
	}
	m.conflict = false
	s := m.swap
	if s != nil && s.settle != 0 && v.ID >= s.settle {
		m.swap = nil
		m.count(CountSettled)
		if v.Revision > 0 && v.Row.Writer == s.row.Writer {
			m.swapped(s, v.Revision)
			return
		}
		m.swapFailed(s)
	}
	if v.Revision == 0 {
		m.rowKnown = true
		return
	}
	m.setRow(v.Row, v.Revision)
}

// sendSwap writes the row. Write authority that depends on the lease ends here
// when the owner or the term changes, because the write can take effect at any
// time from now on, even after its answer was given up.
func (m *Machine) sendSwap(kind swapKind, r Row) {
	m.swapSeq++
	r.Writer = fmt.Sprintf("%s/%d/%d", m.opt.Self.Name, m.opt.Self.Incarnation, m.swapSeq)
	if r.Term != m.row.Term || r.Owner != m.row.Owner || r.Incarnation != m.row.Incarnation {
		m.claimed = m.claimed && m.unsafe.keepClaim
	}
	m.swap = &swap{kind: kind, expect: m.revision, row: r, epoch: m.leaseEpoch, live: m.now < m.leaseUntil}
	m.do(Swap{Expect: m.revision, Row: r})
}

func (m *Machine) onSwap(v SwapAnswer) {
	s := m.swap
	if s == nil || s.row.Writer != v.Writer || s.settle != 0 {
		return
	}
	switch v.Outcome {
	case Swapped:
		m.swap = nil
		m.swapped(s, v.Revision)
	case Conflict:
		m.swap, m.claimed, m.wantRow = nil, false, true
		m.readAt, m.conflict = 0, true
		m.swapFailed(s)
		if s.kind == swapClaim || s.kind == swapGive {
			m.retryAt = m.now // the row has changed, so the next step differs
		}
	default:
		// Only a read that is sent after the write can tell its outcome.
		s.settle = m.readID + 1
		m.reading, m.wantRow = false, true
		m.readAt = 0
	}
}

func (m *Machine) swapped(s *swap, rev store.Revision) {
	m.setRow(s.row, rev)
	if m.revision != rev {
		return // a newer row is known already
	}
	m.claimed, m.claimEpoch = m.isOwner() && s.live, s.epoch
	switch s.kind {
	case swapAdopt:
		m.count(CountAdopted)
	case swapTerm:
		m.termClaimed()
	case swapAssign:
		m.assigned()
	}
}

func (m *Machine) swapFailed(s *swap) {
	m.retryAt = m.now + m.opt.Timing.Retry
	if s.kind == swapTerm || s.kind == swapAssign {
		m.fail()
	}
}

// ownerLapsed reports whether the owner on record has lost its lease for good.
func (m *Machine) ownerLapsed() bool {
	return m.unsafe.skipLapse || (m.lapsed.Name == m.row.Owner && m.lapsed.Incarnation == m.row.Incarnation)
}

func (m *Machine) onStatus(v StatusAnswer) {
	p := m.polls[v.Server]
	if p == nil {
		return
	}
	if v.Sent == p.sent {
		p.inFlight = false
	}
	if v.Err != nil {
		if v.Sent >= p.statusSent && !p.missing {
			p.missing, p.missedSince = true, v.Sent
		}
		return
	}
	st := v.Status
	m.seenTerm = max(m.seenTerm, st.Term)
	if m.rowKnown && m.revision > 0 && st.Term > m.row.Term {
		m.wantRow = true
	}
	primary := v.Server == m.row.Primary && st.Role == dbconn.Primary && st.Term == m.row.Term
	if primary {
		m.onPrimary(v.Sent, st)
	}
	if p.known && v.Sent <= p.statusSent {
		return
	}
	p.known, p.status, p.statusSent, p.missing = true, st, v.Sent, false
	m.confirmSamples()
}

// onPrimary records an answer of the primary in the row's term. Held positions
// stay held, so a late answer is as good as any.
func (m *Machine) onPrimary(sent time.Duration, st dbconn.Status) {
	m.primaryOK = max(m.primaryOK, sent)
	if m.heldTerm != st.Term {
		m.heldTerm, m.held = st.Term, 0
	}
	m.held = max(m.held, st.Held)
	if !m.isOwner() {
		return
	}
	s := Sample{At: sent, Term: st.Term, Position: st.Position}
	if m.leaseLive() || m.unsafe.skipSampleCheck {
		m.samples.Add(s)
		return
	}
	const pendingLimit = 8
	if len(m.pending) == pendingLimit {
		m.pending = slices.Delete(m.pending, 0, 1)
	}
	m.pending = append(m.pending, s)
}

// confirmSamples takes the samples over that a majority has confirmed. Without
// the check, a primary that is cut off would make old data look fresh.
func (m *Machine) confirmSamples() {
	m.pending = slices.DeleteFunc(m.pending, func(s Sample) bool {
		if s.Term != m.row.Term || !m.quorum(s.Term, s.At) {
			return s.Term != m.row.Term
		}
		m.samples.Add(s)
		return true
	})
}

// quorum reports whether a majority of the databases reported the term to
// polls sent at or after the time.
func (m *Machine) quorum(term uint64, since time.Duration) bool {
	n := 0
	for _, s := range m.servers {
		if p := m.polls[s.Name]; p.known && p.status.Term == term && p.statusSent >= since {
			n++
		}
	}
	return n >= m.majority()
}

func (m *Machine) onReport(v ReportAnswer) {
	p := m.peers[v.Host]
	if p == nil {
		return
	}
	if v.Sent == p.sent {
		p.inFlight = false
	}
	if v.Err != nil {
		if v.Sent >= p.okSent && !p.missing {
			p.missing, p.missSince = true, v.Sent
		}
		return
	}
	if p.ok && v.Sent <= p.okSent {
		return
	}
	p.ok, p.okSent, p.report, p.missing = true, v.Sent, v.Report, false
	r := v.Report
	if v.Host == m.row.Owner {
		if r.Owner {
			m.contactOK = max(m.contactOK, v.Sent)
			for _, s := range r.Samples {
				m.samples.Add(s)
			}
		} else {
			m.wantRow = true
		}
	}
	if r.Term > m.row.Term || (r.Term == m.row.Term && r.Primary != m.row.Primary && r.Primary != "") {
		m.wantRow = true
	}
}
