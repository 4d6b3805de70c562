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

// serverState is the known state of one database.
type serverState struct {
	// inFlight is set while the poll sent at sentAt is not answered.
	inFlight bool
	sentAt   time.Duration
	// statusSent is the time at which the poll that returned status was sent.
	statusSent time.Duration
	status     dbconn.Status
	known      bool
	// unanswered is set while the newest answer is an error. unansweredSince is the
	// time at which the first failed poll was sent.
	unanswered      bool
	unansweredSince time.Duration
	// followSentAt is the time of the last Follow emitted by repairReplicas.
	followSentAt time.Duration
}

// peerState is the known state of another home host of the group.
type peerState struct {
	inFlight  bool
	sentAt    time.Duration
	requested bool
	// hasReport is set once the peer has answered. reportSent is the time at which
	// the newest answered request was sent.
	hasReport       bool
	reportSent      time.Duration
	report          Report
	unanswered      bool
	unansweredSince time.Duration
}

// pendingSwap is a compare-and-swap that is in flight or whose outcome is unknown.
type pendingSwap struct {
	kind   swapKind
	expect store.Revision
	row    Row
	// leaseEpoch and leaseLive are the lease epoch and whether the lease was valid
	// when the write was sent.
	leaseEpoch uint64
	leaseLive  bool
	// settleReadID is the ID of the first row read that shows whether a write with
	// the outcome Unknown took effect. It is 0 while the answer is awaited.
	settleReadID uint64
}

// swapKind is the purpose of a write of the row.
type swapKind uint8

const (
	swapAdopt swapKind = iota
	swapClaimOwnership
	swapNewTerm
	swapAssign
	swapHandover
)

// Machine is the state machine of one group on one host. It is not safe for
// concurrent use.
type Machine struct {
	opt        Options
	durability config.Durability
	servers    []Server

	row      Row
	revision store.Revision
	rowKnown bool
	// rowSince is the time at which this host read or wrote the current revision.
	rowSince         time.Duration
	rowReadID        uint64
	rowReadInFlight  bool
	rowReadSentAt    time.Duration
	rowReadRequested bool

	leaseUntil time.Duration
	// leaseEpoch is incremented whenever the lease may have been interrupted. See
	// onLease.
	leaseEpoch uint64
	// leaseClaimed is set while the current revision is one that this host wrote as
	// the owner under a valid lease, in the epoch claimLeaseEpoch.
	leaseClaimed    bool
	claimLeaseEpoch uint64

	swap    *pendingSwap
	swapSeq uint64
	// rereadAfterConflict is set after a conflict until the row has been read again.
	rereadAfterConflict bool

	serverStates         map[string]*serverState
	peerStates           map[string]*peerState
	probeUntil           time.Duration
	primaryPollRequested bool
	quorumPollRequested  bool

	// openTerm is the term in which this host uses the primary, 0 if it does not.
	openTerm        uint64
	openedAt        time.Duration
	highestSeenTerm uint64
	// primaryContactAt is the time at which the newest poll was sent that the
	// primary answered as primary of the row's term.
	primaryContactAt time.Duration
	// majorityPosition is the highest position that a majority of the databases
	// holds in majorityTerm.
	majorityPosition uint64
	majorityTerm     uint64
	samples          Samples
	// unconfirmedSamples were taken without a valid lease and wait for a majority.
	unconfirmedSamples []Sample

	// ownerContactAt is the time at which the newest report request was sent that
	// the owner answered as the owner.
	ownerContactAt time.Duration
	// lapsedHost is the last host whose lease has lapsed and is never renewed.
	lapsedHost Host
	// formerIncarnations holds the earlier incarnations of this process.
	formerIncarnations map[uint64]bool
	promotion          *promotion
	// promotionRetryDue is set after a promotion failed.
	promotionRetryDue bool
	// retryAt is the earliest time of the next attempt after a failed promotion or
	// compare-and-swap.
	retryAt time.Duration
	// candidateReadyAt is the time since which candidateReady has been set: the
	// primary is lost and the owner's lease has lapsed.
	candidateReadyAt time.Duration
	candidateReady   bool
	failedPromotions int

	// plannedPending is set from plannedPendingAt on, while new work waits for a
	// planned promotion.
	plannedPending   bool
	plannedPendingAt time.Duration
	// nextPlannedAt is the earliest time of the next planned promotion.
	nextPlannedAt time.Duration
	// replicationStalled is set from replicationStalledAt on, while the majority
	// position stays at stalledPosition, behind the primary's position.
	replicationStalled   bool
	replicationStalledAt time.Duration
	stalledPosition      uint64

	suspected   bool
	suspectedAt time.Duration
	// promotionGapStart is the start of the phase that lastGap.Promotion measures.
	promotionGapStart time.Duration
	lapsedAt          time.Duration
	lastGap           Gap

	now     time.Duration
	actions []Action
	// disabled switches guards off in tests that show what each guard prevents.
	disabled disabledGuards
}

// disabledGuards is set only by tests of this package.
type disabledGuards struct {
	skipLease        bool // treats a lapsed lease as valid
	skipReclaim      bool // keeps write authority across a lapsed lease
	skipConfirmation bool // acknowledges without a majority
	skipLapse        bool // promotes without waiting until the owner's lease has lapsed
	skipFence        bool // promotes without fencing a majority
	keepClaim        bool // keeps write authority while a compare-and-swap transfers it
	skipSampleCheck  bool // uses samples taken without write authority
}

// New returns a Machine without any state of its group.
func New(opt Options) *Machine {
	return &Machine{
		opt: opt, durability: config.DurabilityReplicated,
		serverStates: map[string]*serverState{}, peerStates: map[string]*peerState{}, formerIncarnations: map[uint64]bool{}, rowReadRequested: true,
	}
}

// Step applies one input and returns the actions to perform. The returned slice
// is valid until the next call.
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
	case LeaseLapsed:
		m.lapsedHost = Host{Name: v.Host, Incarnation: v.Incarnation}
	case StatusAnswer:
		m.onStatus(v)
	case FenceAnswer:
		m.onFence(v)
	case PromoteAnswer:
		m.onPromote(v)
	case ReportAnswer:
		m.onReport(v)
	case ReportRequested:
		m.probeUntil = m.now + m.opt.Timing.Probe
	case StatusRequested:
		m.primaryPollRequested = true
		m.quorumPollRequested = m.quorumPollRequested || v.Quorum
	}
	m.decide()
	m.schedule()
	return m.actions
}

func (m *Machine) emit(a Action)     { m.actions = append(m.actions, a) }
func (m *Machine) count(name string) { m.emit(Count{Name: name}) }

func (m *Machine) onTopology(v Topology) {
	m.durability = v.Durability
	m.servers = append(m.servers[:0], v.Servers...)
	slices.SortFunc(m.servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	for _, s := range m.servers {
		if m.serverStates[s.Name] == nil {
			m.serverStates[s.Name] = &serverState{}
		}
		if h := s.Home; h.Name != "" && h.Name != m.opt.Self.Name && m.peerStates[h.Name] == nil {
			m.peerStates[h.Name] = &peerState{}
		}
	}
	for name := range m.serverStates {
		if _, ok := m.server(name); !ok {
			delete(m.serverStates, name)
		}
	}
	for name := range m.peerStates {
		if name != m.row.Owner && !slices.ContainsFunc(m.servers, func(s Server) bool { return s.Home.Name == name }) {
			delete(m.peerStates, name)
		}
	}
}

// onLease applies the current lease. It increments the lease epoch if the
// incarnation is new, if the lease has been shortened, or if the old lease had
// lapsed before the renewed one was passed in.
func (m *Machine) onLease(v Lease) {
	if v.Incarnation != m.opt.Self.Incarnation {
		m.formerIncarnations[m.opt.Self.Incarnation] = true
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

func (m *Machine) isHomeOf(s Server) bool { return m.isSelf(s.Home.Name, s.Home.Incarnation) }

// isSelf reports whether the name and the incarnation are, or were, those of this
// process. After its lease has lapsed, a process continues under a new incarnation
// with the state of the old one. It needs confirmation by a majority until it has
// written the row again.
func (m *Machine) isSelf(name string, incarnation uint64) bool {
	return name == m.opt.Self.Name && (incarnation == m.opt.Self.Incarnation || m.formerIncarnations[incarnation])
}

func (m *Machine) isHomeOfAny() bool { return slices.ContainsFunc(m.servers, m.isHomeOf) }

func (m *Machine) majority() int { return len(m.servers)/2 + 1 }

func (m *Machine) isOwner() bool {
	return m.rowKnown && m.isSelf(m.row.Owner, m.row.Incarnation)
}

// setRow stores the row if it is newer than the known one, and resets the state
// that depended on the old one.
func (m *Machine) setRow(r Row, rev store.Revision) {
	if m.rowKnown && rev <= m.revision {
		return
	}
	if r.Term != m.row.Term || r.Primary != m.row.Primary {
		m.openTerm, m.primaryContactAt, m.promotionRetryDue = 0, m.now, false
		m.plannedPending, m.replicationStalled, m.suspected, m.candidateReady = false, false, false, false
		m.unconfirmedSamples = m.unconfirmedSamples[:0]
	}
	if r.Owner != m.row.Owner || r.Incarnation != m.row.Incarnation {
		m.ownerContactAt = m.now
	}
	m.row, m.revision, m.rowKnown, m.rowSince = r, rev, true, m.now
	m.leaseClaimed = false
	m.primaryPollRequested = true
	if p := m.promotion; p != nil && p.step != stepClaim && p.term != r.Term {
		m.promotion = nil
	}
	if !m.isOwner() {
		m.openTerm, m.promotion, m.failedPromotions = 0, nil, 0
	}
	if m.row.Owner != m.opt.Self.Name && m.row.Owner != "" && m.peerStates[m.row.Owner] == nil {
		m.peerStates[m.row.Owner] = &peerState{}
	}
}

func (m *Machine) onRow(v RowAnswer) {
	if v.ID == m.rowReadID {
		m.rowReadInFlight = false
	}
	if v.Err != nil {
		m.rowReadRequested = true
		return
	}
	m.rereadAfterConflict = false
	s := m.swap
	if s != nil && s.settleReadID != 0 && v.ID >= s.settleReadID {
		m.swap = nil
		m.count(CountSettled)
		if v.Revision > 0 && v.Row.WriteID == s.row.WriteID {
			m.swapSucceeded(s, v.Revision)
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

// sendSwap writes the row. If the owner or the term changes, write authority that
// depends on the lease ends as soon as the write is sent, because the write can
// take effect at any later time, even after its answer timed out.
func (m *Machine) sendSwap(kind swapKind, r Row) {
	m.swapSeq++
	r.WriteID = fmt.Sprintf("%s/%d/%d", m.opt.Self.Name, m.opt.Self.Incarnation, m.swapSeq)
	if r.Term != m.row.Term || r.Owner != m.row.Owner || r.Incarnation != m.row.Incarnation {
		m.leaseClaimed = m.leaseClaimed && m.disabled.keepClaim
	}
	m.swap = &pendingSwap{kind: kind, expect: m.revision, row: r, leaseEpoch: m.leaseEpoch, leaseLive: m.now < m.leaseUntil}
	m.emit(Swap{Expect: m.revision, Row: r})
}

func (m *Machine) onSwap(v SwapAnswer) {
	s := m.swap
	if s == nil || s.row.WriteID != v.WriteID || s.settleReadID != 0 {
		return
	}
	switch v.Outcome {
	case Swapped:
		m.swap = nil
		m.swapSucceeded(s, v.Revision)
	case Conflict:
		m.swap, m.leaseClaimed, m.rowReadRequested = nil, false, true
		m.rowReadSentAt, m.rereadAfterConflict = 0, true
		m.swapFailed(s)
		if s.kind == swapClaimOwnership || s.kind == swapHandover {
			m.retryAt = m.now // the row has changed, so the same write is not repeated
		}
	default:
		// Only a read that is sent after the write can show its outcome.
		s.settleReadID = m.rowReadID + 1
		m.rowReadInFlight, m.rowReadRequested = false, true
		m.rowReadSentAt = 0
	}
}

func (m *Machine) swapSucceeded(s *pendingSwap, rev store.Revision) {
	m.setRow(s.row, rev)
	if m.revision != rev {
		return // a newer revision is already known
	}
	m.leaseClaimed, m.claimLeaseEpoch = m.isOwner() && s.leaseLive, s.leaseEpoch
	switch s.kind {
	case swapAdopt:
		m.count(CountAdopted)
	case swapNewTerm:
		m.onTermClaimed()
	case swapAssign:
		m.onAssigned()
	}
}

func (m *Machine) swapFailed(s *pendingSwap) {
	m.retryAt = m.now + m.opt.Timing.Retry
	if s.kind == swapNewTerm || s.kind == swapAssign {
		m.failPromotion()
	}
}

// ownerLapsed reports whether the lease of the owner that the row names has lapsed
// and is never renewed.
func (m *Machine) ownerLapsed() bool {
	return m.disabled.skipLapse || (m.lapsedHost.Name == m.row.Owner && m.lapsedHost.Incarnation == m.row.Incarnation)
}

func (m *Machine) onStatus(v StatusAnswer) {
	p := m.serverStates[v.Server]
	if p == nil {
		return
	}
	if v.Sent == p.sentAt {
		p.inFlight = false
	}
	if v.Err != nil {
		if v.Sent >= p.statusSent && !p.unanswered {
			p.unanswered, p.unansweredSince = true, v.Sent
		}
		return
	}
	st := v.Status
	m.highestSeenTerm = max(m.highestSeenTerm, st.Term)
	if m.rowKnown && m.revision > 0 && st.Term > m.row.Term {
		m.rowReadRequested = true
	}
	primary := v.Server == m.row.Primary && st.Role == dbconn.Primary && st.Term == m.row.Term
	if primary {
		m.onPrimary(v.Sent, st)
	}
	if p.known && v.Sent <= p.statusSent {
		return
	}
	p.known, p.status, p.statusSent, p.unanswered = true, st, v.Sent, false
	m.confirmSamples()
}

// onPrimary records an answer of the primary in the row's term. A position that a
// majority holds stays held, so an answer that arrives late is still valid.
func (m *Machine) onPrimary(sent time.Duration, st dbconn.Status) {
	m.primaryContactAt = max(m.primaryContactAt, sent)
	if m.majorityTerm != st.Term {
		m.majorityTerm, m.majorityPosition = st.Term, 0
	}
	m.majorityPosition = max(m.majorityPosition, st.MajorityPosition)
	if !m.isOwner() {
		return
	}
	s := Sample{At: sent, Term: st.Term, Position: st.Position}
	if m.leaseLive() || m.disabled.skipSampleCheck {
		m.samples.Add(s)
		return
	}
	const pendingLimit = 8
	if len(m.unconfirmedSamples) == pendingLimit {
		m.unconfirmedSamples = slices.Delete(m.unconfirmedSamples, 0, 1)
	}
	m.unconfirmedSamples = append(m.unconfirmedSamples, s)
}

// confirmSamples moves the samples that a majority has confirmed to the samples in
// use. Without the check, a primary in a minority partition would make old data of
// replicas look fresh.
func (m *Machine) confirmSamples() {
	m.unconfirmedSamples = slices.DeleteFunc(m.unconfirmedSamples, func(s Sample) bool {
		if s.Term != m.row.Term || !m.majorityReports(s.Term, s.At) {
			return s.Term != m.row.Term
		}
		m.samples.Add(s)
		return true
	})
}

// majorityReports reports whether a majority of the databases reported the term in
// answer to polls sent at or after the time since.
func (m *Machine) majorityReports(term uint64, since time.Duration) bool {
	n := 0
	for _, s := range m.servers {
		if p := m.serverStates[s.Name]; p.known && p.status.Term == term && p.statusSent >= since {
			n++
		}
	}
	return n >= m.majority()
}

func (m *Machine) onReport(v ReportAnswer) {
	p := m.peerStates[v.Host]
	if p == nil {
		return
	}
	if v.Sent == p.sentAt {
		p.inFlight = false
	}
	if v.Err != nil {
		if v.Sent >= p.reportSent && !p.unanswered {
			p.unanswered, p.unansweredSince = true, v.Sent
		}
		return
	}
	if p.hasReport && v.Sent <= p.reportSent {
		return
	}
	p.hasReport, p.reportSent, p.report, p.unanswered = true, v.Sent, v.Report, false
	r := v.Report
	if v.Host == m.row.Owner {
		if r.Owner {
			m.ownerContactAt = max(m.ownerContactAt, v.Sent)
			for _, s := range r.Samples {
				m.samples.Add(s)
			}
		} else {
			m.rowReadRequested = true
		}
	}
	if r.Term > m.row.Term || (r.Term == m.row.Term && r.Primary != m.row.Primary && r.Primary != "") {
		m.rowReadRequested = true
	}
}
