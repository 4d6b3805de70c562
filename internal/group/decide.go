package group

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// decide starts the next operation that the current state requires.
func (m *Machine) decide() {
	switch {
	case !m.rowKnown:
		return
	case m.promotion != nil:
		m.advancePromotion()
	case m.swap != nil || m.rereadAfterConflict || m.now < m.retryAt:
	case m.revision == 0:
		m.adoptReportedPrimary()
	case m.isOwner():
		m.superviseOwned()
	case m.isHomeOfAny():
		m.advanceCandidate()
	}
	m.repairReplicas()
}

// adoptReportedPrimary writes the first row of a group that has none. It requires
// that a majority of the databases answers, that exactly one of them reports to be
// primary of the highest term, and that this host is its home host.
func (m *Machine) adoptReportedPrimary() {
	var highestTerm uint64
	primaries, answered := []string{}, 0
	for _, s := range m.servers {
		p := m.serverStates[s.Name]
		if !p.known || p.unanswered {
			continue
		}
		answered++
		if p.status.Term > highestTerm {
			highestTerm, primaries = p.status.Term, primaries[:0]
		}
		if p.status.Term == highestTerm && p.status.Role == dbconn.Primary {
			primaries = append(primaries, s.Name)
		}
	}
	if answered < m.majority() || len(primaries) != 1 {
		return
	}
	if s, _ := m.server(primaries[0]); !m.isHomeOf(s) {
		return
	}
	m.sendSwap(swapAdopt, m.selfRow(highestTerm, primaries[0]))
}

// selfRow returns a row that names this host as the owner.
func (m *Machine) selfRow(term uint64, primary string) Row {
	return Row{Term: term, Primary: primary, Owner: m.opt.Self.Name, Incarnation: m.opt.Self.Incarnation}
}

// superviseOwned runs while this host owns the group and no promotion or
// compare-and-swap is in progress.
func (m *Machine) superviseOwned() {
	if m.row.Primary == "" {
		m.startPromotion(false)
		return
	}
	p := m.serverStates[m.row.Primary]
	if p == nil { // the inventory no longer lists the primary
		m.startPromotion(false)
		return
	}
	answeredInTerm := p.known && !p.unanswered && p.status.Term == m.row.Term
	if answeredInTerm && p.status.Role == dbconn.Primary {
		m.openPrimary()
	}
	if m.promotionRetryDue && m.openTerm != m.row.Term {
		m.startPromotion(false)
		return
	}
	s, _ := m.server(m.row.Primary)
	if !m.isHomeOf(s) && s.Home.Name != "" && answeredInTerm && !m.plannedPending {
		m.count(CountHandedOver)
		m.handOver(s.Home, m.row.Primary)
		return
	}
	claimed := m.leaseClaimValid()
	if !claimed && m.now < m.leaseUntil {
		m.sendSwap(swapClaimOwnership, m.selfRow(m.row.Term, m.row.Primary))
		return
	}
	if answeredInTerm && p.status.Role != dbconn.Primary && claimed && p.statusSent > max(m.rowSince, m.openedAt) {
		m.promoteAssigned()
		return
	}
	if m.suspectPrimary() {
		m.startPromotion(false)
		return
	}
	if m.openTerm == m.row.Term && m.resignIfIsolated() {
		return
	}
	m.advancePlanned()
}

// openPrimary starts to use the primary in the row's term.
func (m *Machine) openPrimary() {
	if m.openTerm == m.row.Term {
		return
	}
	m.openTerm, m.openedAt, m.promotionRetryDue, m.failedPromotions = m.row.Term, m.now, false, 0
	m.plannedPending, m.suspected = false, false
	m.count(CountOpened)
	if m.promotionGapStart != 0 {
		m.lastGap.Promotion = m.now - m.promotionGapStart
		m.promotionGapStart = 0
	}
}

// handOver transfers ownership to another host in the same term.
func (m *Machine) handOver(to Host, primary string) {
	m.sendSwap(swapHandover, Row{Term: m.row.Term, Primary: primary, Owner: to.Name, Incarnation: to.Incarnation})
}

// suspectPrimary reports whether the primary is considered lost: for the time
// Suspect it has not answered as primary of the term, and either it reports
// another role or term or, where hosts of another zone are reachable, hosts of
// more than one zone report that it does not answer.
func (m *Machine) suspectPrimary() bool {
	t := m.opt.Timing
	p := m.serverStates[m.row.Primary]
	unanswered := p != nil && p.unanswered && m.now-p.unansweredSince >= t.Suspect-t.Poll
	otherRoleOrTerm := p != nil && p.known && !p.unanswered && p.statusSent > m.rowSince &&
		(p.status.Role != dbconn.Primary || p.status.Term != m.row.Term)
	if m.now-m.primaryContactAt < t.Suspect || !(otherRoleOrTerm || (unanswered && m.peersConfirmUnreachable())) {
		m.suspected = false
		return false
	}
	if !m.suspected {
		m.suspected, m.suspectedAt = true, m.now
		m.count(CountSuspected)
	}
	return true
}

// peersConfirmUnreachable reports whether hosts of at least two zones, this one
// included, cannot reach the primary. It returns false if any host reports that the
// primary answers. If no host of another zone answers, this host decides alone.
func (m *Machine) peersConfirmUnreachable() bool {
	zones := map[string]bool{m.opt.Self.Zone: true}
	otherZone := false
	for _, s := range m.servers {
		h := s.Home
		e := m.peerStates[h.Name]
		if h.Name == "" || m.isSelf(h.Name, h.Incarnation) || e == nil {
			continue
		}
		// The first report request makes the peer start to poll the primary. Until
		// its first report arrives, this host does not decide alone.
		if !e.requested || (e.inFlight && !e.hasReport) {
			otherZone = true
			continue
		}
		if e.unanswered || !e.hasReport || m.now-e.reportSent > m.opt.Timing.Suspect {
			continue
		}
		otherZone = otherZone || h.Zone != m.opt.Self.Zone
		r := e.report
		if r.Term != m.row.Term || r.Primary != m.row.Primary {
			continue
		}
		if r.PrimaryAnswered {
			return false
		}
		if r.PrimaryAge >= m.opt.Timing.Suspect/2 {
			zones[h.Zone] = true
		}
	}
	return len(zones) > 1 || !otherZone
}

// resignIfIsolated hands ownership to another host when the primary has not been
// able to replicate to a majority for twice the time Suspect, no majority of the
// databases answers, and no host of another zone answers. It applies only to
// DurabilityReplicated. This zone is then partitioned from the others but
// still reaches the store, so the lease would be renewed forever and no other host
// could take over. It reports whether ownership is being handed over.
func (m *Machine) resignIfIsolated() bool {
	p := m.serverStates[m.row.Primary]
	reachable := 0
	for _, s := range m.servers {
		if e := m.serverStates[s.Name]; e.known && !e.unanswered {
			reachable++
		}
	}
	behind := m.durability == config.DurabilityReplicated && m.majorityTerm == m.row.Term && p.status.Position > m.majorityPosition
	if !behind || m.majorityPosition != m.stalledPosition {
		m.replicationStalled, m.stalledPosition = false, m.majorityPosition
		return false
	}
	if !m.replicationStalled {
		m.replicationStalled, m.replicationStalledAt = true, m.now
	}
	if m.now-m.replicationStalledAt < 2*m.opt.Timing.Suspect || reachable >= m.majority() || m.otherZoneAnswers() {
		return false
	}
	to, ok := m.otherHome()
	if !ok {
		return false
	}
	m.count(CountResigned)
	m.replicationStalled = false
	m.handOver(to, m.row.Primary)
	return true
}

// otherZoneAnswers reports whether a host of another zone answered within the time
// Suspect.
func (m *Machine) otherZoneAnswers() bool {
	return slices.ContainsFunc(m.servers, func(s Server) bool {
		e := m.peerStates[s.Home.Name]
		return e != nil && s.Home.Zone != m.opt.Self.Zone && e.hasReport && !e.unanswered && m.now-e.reportSent < m.opt.Timing.Suspect
	})
}

// otherHome returns the home host of a database other than the primary, preferably
// in another zone.
func (m *Machine) otherHome() (Host, bool) {
	var best Host
	for _, s := range m.servers {
		if s.Home.Name == "" || m.isHomeOf(s) || s.Name == m.row.Primary {
			continue
		}
		if best.Name == "" || (best.Zone == m.opt.Self.Zone && s.Home.Zone != m.opt.Self.Zone) {
			best = s.Home
		}
	}
	return best, best.Name != ""
}

// advancePlanned runs a planned promotion if the primary is on a server that must
// not get new work. New work waits until open transactions have ended and a replica
// has caught up, but not longer than PlannedWait.
func (m *Machine) advancePlanned() {
	s, _ := m.server(m.row.Primary)
	target, caughtUp := m.plannedTarget()
	if !s.OutOfService || target == "" || m.now < m.nextPlannedAt || !m.leaseLive() {
		m.plannedPending = false
		return
	}
	if !m.plannedPending {
		m.plannedPending, m.plannedPendingAt = true, m.now
	}
	if (caughtUp && !s.HasOpenTransactions) || m.now-m.plannedPendingAt > m.opt.Timing.PlannedWait {
		m.count(CountPlanned)
		m.nextPlannedAt = m.now + 2*m.opt.Timing.PlannedWait
		m.startPromotion(true)
	}
}

// plannedTarget returns a replica that may become primary, and whether it has
// applied the position that the primary reported after new work was stopped.
func (m *Machine) plannedTarget() (name string, caughtUp bool) {
	p := m.serverStates[m.row.Primary]
	for _, s := range m.servers {
		e := m.serverStates[s.Name]
		if s.OutOfService || s.Name == m.row.Primary || !e.known || e.unanswered || e.status.Role != dbconn.Replica || e.status.Term != m.row.Term {
			continue
		}
		name = s.Name
		if m.plannedPending && p.statusSent > m.plannedPendingAt && e.status.Position >= p.status.Position {
			return name, true
		}
	}
	return name, false
}

// advanceCandidate runs on home hosts that do not own the group. Once the owner's
// lease has lapsed, it takes the group over if the primary still answers, and
// otherwise starts a promotion after a delay that depends on the candidate's rank.
func (m *Machine) advanceCandidate() {
	if !m.watchesOwnerLease() {
		m.candidateReady = false
		return
	}
	lost := m.row.Primary == "" || m.suspectPrimary()
	if !m.ownerLapsed() {
		m.candidateReady = false
		return
	}
	if m.lapsedAt < m.rowSince {
		m.lapsedAt = m.now
		m.count(CountLapsed)
	}
	if s, ok := m.server(m.row.Primary); ok && m.primaryAnswers() {
		switch {
		case m.isHomeOf(s):
			m.count(CountTakenOver)
			m.sendSwap(swapClaimOwnership, m.selfRow(m.row.Term, m.row.Primary))
		case s.Home.Name != "" && !(s.Home.Name == m.row.Owner && s.Home.Incarnation == m.row.Incarnation):
			m.count(CountHandedOver)
			m.handOver(s.Home, m.row.Primary)
		}
		return
	}
	if !lost {
		m.candidateReady = false
		return
	}
	if !m.candidateReady {
		m.candidateReady, m.candidateReadyAt = true, m.now
	}
	if m.now-m.candidateReadyAt >= time.Duration(m.candidateRank())*m.opt.Timing.RankStep {
		m.startPromotion(false)
	}
}

// primaryAnswers reports whether the primary answered as primary of the row's term
// within the time Suspect.
func (m *Machine) primaryAnswers() bool {
	p := m.serverStates[m.row.Primary]
	return p != nil && p.known && !p.unanswered && p.status.Role == dbconn.Primary && p.status.Term == m.row.Term &&
		m.now-p.statusSent < m.opt.Timing.Suspect
}

// candidateRank returns the rank of this host among the candidates, which are
// ordered by the names of their servers. The lowest rank is 0.
func (m *Machine) candidateRank() int {
	n := 0
	for _, s := range m.servers {
		if m.isHomeOf(s) {
			break
		}
		if s.Name != m.row.Primary {
			n++
		}
	}
	return n
}

// WatchedOwner returns the owner that the row names, and whether the caller must
// pass a LeaseLapsed input once that owner's lease has lapsed.
func (m *Machine) WatchedOwner() (Host, bool) {
	return Host{Name: m.row.Owner, Incarnation: m.row.Incarnation}, m.watchesOwnerLease() && !m.ownerLapsed()
}

// watchesOwnerLease reports whether this home host has to watch the owner's lease:
// the owner does not answer, this host is the home host of the primary, or the row
// names an incarnation of this host from before its process started.
func (m *Machine) watchesOwnerLease() bool {
	if !m.rowKnown || m.revision == 0 || m.isOwner() || !m.isHomeOfAny() {
		return false
	}
	s, ok := m.server(m.row.Primary)
	return (ok && m.isHomeOf(s)) || m.row.Owner == m.opt.Self.Name || m.ownerUnanswered()
}

// ownerUnanswered reports whether the owner did not answer a report request, or
// has not answered as owner for longer than the time Suspect.
func (m *Machine) ownerUnanswered() bool {
	p := m.peerStates[m.row.Owner]
	return p == nil || p.unanswered || m.now-m.ownerContactAt > m.opt.Timing.Suspect
}

// repairReplicas emits Follow for each database whose home host is this host and
// that does not replicate from the primary. Such a database is not used until it
// reports the current term.
func (m *Machine) repairReplicas() {
	if m.row.Primary == "" || m.promotion != nil {
		return
	}
	open := m.ownerReportsOpen()
	if m.isOwner() {
		open = m.openTerm == m.row.Term
	}
	if !open {
		return
	}
	for _, s := range m.servers {
		p := m.serverStates[s.Name]
		if !m.isHomeOf(s) || s.Name == m.row.Primary || !p.known || p.unanswered || p.status.Term > m.row.Term {
			continue
		}
		behind := p.status.Term < m.row.Term || p.status.Role != dbconn.Replica
		if behind && (p.followSentAt == 0 || m.now-p.followSentAt >= m.opt.Timing.Suspect) && p.statusSent > m.rowSince {
			p.followSentAt = m.now
			m.sendFollow(s.Name)
		}
	}
}

func (m *Machine) sendFollow(server string) {
	m.count(CountFollow)
	m.emit(Follow{Server: server, Term: m.row.Term, Primary: m.row.Primary})
}

// schedule emits the row reads, status polls and report requests that are due.
func (m *Machine) schedule() {
	if !m.isHomeOfAny() && !m.isOwner() && m.now >= m.probeUntil && !m.primaryPollRequested && !m.quorumPollRequested {
		return
	}
	m.scheduleRowRead()
	m.schedulePolls()
	m.scheduleReportRequests()
}

// scheduleRowRead emits a read of the row if one is due. The new home host of the
// primary reads more often until it owns the group.
func (m *Machine) scheduleRowRead() {
	t := m.opt.Timing
	settling := m.swap != nil && m.swap.settleReadID != 0
	due := m.rowReadRequested || settling || !m.rowKnown || (!m.isOwner() && m.now-m.rowReadSentAt >= t.Refresh) ||
		(m.now-m.rowReadSentAt >= t.Suspect && (m.revision == 0 || m.watchesOwnerLease()))
	minInterval := t.Retry
	if s, ok := m.server(m.row.Primary); ok && m.isHomeOf(s) && !m.isOwner() {
		due, minInterval = true, t.Handover
	}
	if m.rowReadInFlight || !due || (m.rowReadSentAt != 0 && m.now-m.rowReadSentAt < minInterval) {
		return
	}
	m.rowReadID++
	m.rowReadInFlight, m.rowReadRequested, m.rowReadSentAt = true, false, m.now
	m.emit(ReadRow{ID: m.rowReadID})
}

// schedulePolls emits the status polls that were requested or are due.
func (m *Machine) schedulePolls() {
	probing := m.now < m.probeUntil
	all := m.needsAllPolled()
	for _, s := range m.servers {
		p := m.serverStates[s.Name]
		if p.inFlight {
			continue
		}
		primary := s.Name == m.row.Primary
		wanted := m.quorumPollRequested || (m.primaryPollRequested && primary)
		regular := m.isHomeOf(s) || all || (primary && (probing || m.isOwner() || m.watchesOwnerLease()))
		if wanted {
			m.primaryPollRequested = m.primaryPollRequested && !primary
		}
		if wanted || (regular && (p.sentAt == 0 || m.now-p.sentAt >= m.opt.Timing.Poll)) {
			p.inFlight, p.sentAt = true, m.now
			m.emit(Poll{Server: s.Name, Sent: m.now})
		}
	}
	m.quorumPollRequested = false
	if m.row.Primary == "" {
		m.primaryPollRequested = false
	}
}

// needsAllPolled reports whether the databases of other home hosts must be polled
// as well.
func (m *Machine) needsAllPolled() bool {
	if !m.rowKnown {
		return false
	}
	if m.revision == 0 {
		return m.isHomeOfAny()
	}
	s, _ := m.server(m.row.Primary)
	return m.isOwner() && (!m.leaseLive() || s.OutOfService || m.replicationStalled)
}

// scheduleReportRequests emits the report requests that are due: to the owner, or to
// all peers if the primary or the owner does not answer.
func (m *Machine) scheduleReportRequests() {
	if m.revision == 0 {
		return
	}
	pollMissed := m.now-m.primaryContactAt > m.opt.Timing.Poll*3/2
	allPeers := (m.isOwner() && (pollMissed || m.replicationStalled)) || (m.watchesOwnerLease() && m.ownerUnanswered())
	for _, name := range slices.Sorted(maps.Keys(m.peerStates)) {
		p := m.peerStates[name]
		due := allPeers || (!m.isOwner() && name == m.row.Owner)
		if p.inFlight || !due || (p.requested && m.now-p.sentAt < m.opt.Timing.Poll) {
			continue
		}
		p.inFlight, p.requested, p.sentAt = true, true, m.now
		m.emit(RequestReport{Host: name, Sent: m.now})
	}
}
