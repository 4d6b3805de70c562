package group

import (
	"maps"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

// decide starts whatever the current knowledge calls for.
func (m *Machine) decide() {
	switch {
	case !m.rowKnown:
		return
	case m.promotion != nil:
		m.advance()
	case m.swap != nil || m.conflict || m.now < m.retryAt:
	case m.revision == 0:
		m.adopt()
	case m.isOwner():
		m.own()
	case m.homesAny():
		m.candidate()
	}
	m.repair()
}

// adopt records the primary that the databases report when the group has no
// row: exactly one primary in the highest term, with a majority reachable.
func (m *Machine) adopt() {
	var top uint64
	primaries, answered := []string{}, 0
	for _, s := range m.servers {
		p := m.polls[s.Name]
		if !p.known || p.missing {
			continue
		}
		answered++
		if p.status.Term > top {
			top, primaries = p.status.Term, primaries[:0]
		}
		if p.status.Term == top && p.status.Role == dbconn.Primary {
			primaries = append(primaries, s.Name)
		}
	}
	if answered < m.majority() || len(primaries) != 1 {
		return
	}
	if s, _ := m.server(primaries[0]); !m.mine(s) {
		return
	}
	m.sendSwap(swapAdopt, m.selfRow(top, primaries[0]))
}

func (m *Machine) selfRow(term uint64, primary string) Row {
	return Row{Term: term, Primary: primary, Owner: m.opt.Self.Name, Incarnation: m.opt.Self.Incarnation}
}

// own runs while this host owns the group and no promotion is under way.
func (m *Machine) own() {
	if m.row.Primary == "" {
		m.begin(false)
		return
	}
	p := m.polls[m.row.Primary]
	if p == nil { // the inventory no longer lists the primary
		m.begin(false)
		return
	}
	ok := p.known && !p.missing && p.status.Term == m.row.Term
	if ok && p.status.Role == dbconn.Primary {
		m.open()
	}
	if m.restart && m.opened != m.row.Term {
		m.begin(false)
		return
	}
	s, _ := m.server(m.row.Primary)
	if !m.mine(s) && s.Home.Name != "" && ok && !m.closing {
		m.count(CountHandedOver)
		m.give(s.Home, m.row.Primary)
		return
	}
	claimed := m.claimValid()
	if !claimed && m.now < m.leaseUntil {
		m.sendSwap(swapClaim, m.selfRow(m.row.Term, m.row.Primary))
		return
	}
	if ok && p.status.Role != dbconn.Primary && claimed && p.statusSent > max(m.rowSince, m.openedAt) {
		m.promoteAssigned()
		return
	}
	if m.suspectPrimary() {
		m.begin(false)
		return
	}
	if m.opened == m.row.Term && m.resign() {
		return
	}
	m.plan()
}

// open puts the primary into use in the row's term.
func (m *Machine) open() {
	if m.opened == m.row.Term {
		return
	}
	m.opened, m.openedAt, m.restart, m.failures = m.row.Term, m.now, false, 0
	m.closing, m.suspected = false, false
	m.count(CountOpened)
	if m.gapStart != 0 {
		m.gap.Promotion = m.now - m.gapStart
		m.gapStart = 0
	}
}

// give hands ownership to another host in the same term.
func (m *Machine) give(to Host, primary string) {
	m.sendSwap(swapGive, Row{Term: m.row.Term, Primary: primary, Owner: to.Name, Incarnation: to.Incarnation})
}

// suspectPrimary reports whether the primary is lost: it has not answered as
// primary of the term, and hosts of more than one zone say so where more than
// one zone is reachable.
func (m *Machine) suspectPrimary() bool {
	t := m.opt.Timing
	p := m.polls[m.row.Primary]
	silent := p != nil && p.missing && m.now-p.missedSince >= t.Suspect-t.Poll
	deposed := p != nil && p.known && !p.missing && p.statusSent > m.rowSince &&
		(p.status.Role != dbconn.Primary || p.status.Term != m.row.Term)
	if m.now-m.primaryOK < t.Suspect || !(deposed || (silent && m.unreachedElsewhere())) {
		m.suspected = false
		return false
	}
	if !m.suspected {
		m.suspected, m.suspectedAt = true, m.now
		m.count(CountSuspected)
	}
	return true
}

func (m *Machine) unreachedElsewhere() bool {
	zones := map[string]bool{m.opt.Self.Zone: true}
	otherZone := false
	for _, s := range m.servers {
		h := s.Home
		e := m.peers[h.Name]
		if h.Name == "" || m.self(h.Name, h.Incarnation) || e == nil {
			continue
		}
		// The first question makes the peer probe; it can't tell yet.
		if !e.asked || (e.inFlight && !e.ok) {
			otherZone = true
			continue
		}
		if e.missing || !e.ok || m.now-e.okSent > m.opt.Timing.Suspect {
			continue
		}
		otherZone = otherZone || h.Zone != m.opt.Self.Zone
		r := e.report
		if r.Term != m.row.Term || r.Primary != m.row.Primary {
			continue
		}
		if r.Reached {
			return false
		}
		if r.Age >= m.opt.Timing.Suspect/2 {
			zones[h.Zone] = true
		}
	}
	return len(zones) > 1 || !otherZone
}

// resign hands ownership on when the primary cannot replicate to a majority and
// neither databases nor hosts of other zones answer: this zone is cut off, but
// not from the store, so that no other host would ever find the lease lapsed.
func (m *Machine) resign() bool {
	p := m.polls[m.row.Primary]
	reachable := 0
	for _, s := range m.servers {
		if e := m.polls[s.Name]; e.known && !e.missing {
			reachable++
		}
	}
	behind := m.durability == config.DurabilityReplicated && m.heldTerm == m.row.Term && p.status.Position > m.held
	if !behind || m.held != m.laggingHeld {
		m.lagging, m.laggingHeld = false, m.held
		return false
	}
	if !m.lagging {
		m.lagging, m.laggingFrom = true, m.now
	}
	if m.now-m.laggingFrom < 2*m.opt.Timing.Suspect || reachable >= m.majority() || m.otherZoneAnswers() {
		return false
	}
	to, ok := m.otherHome()
	if !ok {
		return false
	}
	m.count(CountResigned)
	m.lagging = false
	m.give(to, m.row.Primary)
	return true
}

func (m *Machine) otherZoneAnswers() bool {
	return slices.ContainsFunc(m.servers, func(s Server) bool {
		e := m.peers[s.Home.Name]
		return e != nil && s.Home.Zone != m.opt.Self.Zone && e.ok && !e.missing && m.now-e.okSent < m.opt.Timing.Suspect
	})
}

// otherHome returns the home host of a database in use, in another zone if possible.
func (m *Machine) otherHome() (Host, bool) {
	var best Host
	for _, s := range m.servers {
		if s.Home.Name == "" || m.mine(s) || s.Name == m.row.Primary {
			continue
		}
		if best.Name == "" || (best.Zone == m.opt.Self.Zone && s.Home.Zone != m.opt.Self.Zone) {
			best = s.Home
		}
	}
	return best, best.Name != ""
}

// plan moves the primary away from a server that gets no new work. New work
// waits while open transactions end and a replica catches up.
func (m *Machine) plan() {
	s, _ := m.server(m.row.Primary)
	target, caughtUp := m.plannedTarget()
	if !s.Out || target == "" || m.now < m.plannedAt || !m.leaseLive() {
		m.closing = false
		return
	}
	if !m.closing {
		m.closing, m.closingAt = true, m.now
	}
	if (caughtUp && !s.Busy) || m.now-m.closingAt > m.opt.Timing.PlannedWait {
		m.count(CountPlanned)
		m.plannedAt = m.now + 2*m.opt.Timing.PlannedWait
		m.begin(true)
	}
}

// plannedTarget returns a replica that may become primary, and whether it holds
// everything that the primary reported after new work was stopped.
func (m *Machine) plannedTarget() (name string, caughtUp bool) {
	p := m.polls[m.row.Primary]
	for _, s := range m.servers {
		e := m.polls[s.Name]
		if s.Out || s.Name == m.row.Primary || !e.known || e.missing || e.status.Role != dbconn.Replica || e.status.Term != m.row.Term {
			continue
		}
		name = s.Name
		if m.closing && p.statusSent > m.closingAt && e.status.Position >= p.status.Position {
			return name, true
		}
	}
	return name, false
}

// candidate runs at home hosts that do not own the group.
func (m *Machine) candidate() {
	if !m.watching() {
		m.ready = false
		return
	}
	lost := m.row.Primary == "" || m.suspectPrimary()
	if !m.ownerLapsed() {
		m.ready = false
		return
	}
	if m.lapsedAt < m.rowSince {
		m.lapsedAt = m.now
		m.count(CountLapsed)
	}
	if s, ok := m.server(m.row.Primary); ok && m.primaryReached() {
		switch {
		case m.mine(s):
			m.count(CountTakenOver)
			m.sendSwap(swapClaim, m.selfRow(m.row.Term, m.row.Primary))
		case s.Home.Name != "" && !(s.Home.Name == m.row.Owner && s.Home.Incarnation == m.row.Incarnation):
			m.count(CountHandedOver)
			m.give(s.Home, m.row.Primary)
		}
		return
	}
	if !lost {
		m.ready = false
		return
	}
	if !m.ready {
		m.ready, m.readyAt = true, m.now
	}
	if m.now-m.readyAt >= time.Duration(m.rank())*m.opt.Timing.RankStep {
		m.begin(false)
	}
}

func (m *Machine) primaryReached() bool {
	p := m.polls[m.row.Primary]
	return p != nil && p.known && !p.missing && p.status.Role == dbconn.Primary && p.status.Term == m.row.Term &&
		m.now-p.statusSent < m.opt.Timing.Suspect
}

// rank is this host's place among the candidates, by the name of their servers.
func (m *Machine) rank() int {
	n := 0
	for _, s := range m.servers {
		if m.mine(s) {
			break
		}
		if s.Name != m.row.Primary {
			n++
		}
	}
	return n
}

// Watching returns the owner on record if this host needs to know whether its
// lease has lapsed.
func (m *Machine) Watching() (Host, bool) {
	return Host{Name: m.row.Owner, Incarnation: m.row.Incarnation}, m.watching() && !m.ownerLapsed()
}

// watching reports whether the owner's lease has to be watched: the owner
// does not answer, or this host is the home of the primary.
func (m *Machine) watching() bool {
	if !m.rowKnown || m.revision == 0 || m.isOwner() || !m.homesAny() {
		return false
	}
	s, ok := m.server(m.row.Primary)
	return (ok && m.mine(s)) || m.row.Owner == m.opt.Self.Name || m.ownerMissed()
}

// ownerMissed reports whether the owner has left a question unanswered.
func (m *Machine) ownerMissed() bool {
	p := m.peers[m.row.Owner]
	return p == nil || p.missing || m.now-m.contactOK > m.opt.Timing.Suspect
}

// repair tells databases of this host that do not follow the primary to do so.
// They stay out of service until they report the current term.
func (m *Machine) repair() {
	if m.row.Primary == "" || m.promotion != nil {
		return
	}
	open := m.ownerSaysOpen()
	if m.isOwner() {
		open = m.opened == m.row.Term
	}
	if !open {
		return
	}
	for _, s := range m.servers {
		p := m.polls[s.Name]
		if !m.mine(s) || s.Name == m.row.Primary || !p.known || p.missing || p.status.Term > m.row.Term {
			continue
		}
		behind := p.status.Term < m.row.Term || p.status.Role != dbconn.Replica
		if behind && (p.followed == 0 || m.now-p.followed >= m.opt.Timing.Suspect) && p.statusSent > m.rowSince {
			p.followed = m.now
			m.follow(s.Name)
		}
	}
}

func (m *Machine) follow(server string) {
	m.count(CountFollow)
	m.do(Follow{Server: server, Term: m.row.Term, Primary: m.row.Primary})
}

// schedule sends the reads, polls and questions that are due.
func (m *Machine) schedule() {
	if !m.homesAny() && !m.isOwner() && m.now >= m.probeUntil && !m.wantPoll && !m.wantQuorum {
		return
	}
	m.scheduleRow()
	m.schedulePolls()
	m.scheduleAsks()
}

func (m *Machine) scheduleRow() {
	t := m.opt.Timing
	settling := m.swap != nil && m.swap.settle != 0
	due := m.wantRow || settling || !m.rowKnown || (!m.isOwner() && m.now-m.readAt >= t.Refresh) ||
		(m.now-m.readAt >= t.Suspect && (m.revision == 0 || m.watching()))
	pace := t.Retry
	if s, ok := m.server(m.row.Primary); ok && m.mine(s) && !m.isOwner() {
		due, pace = true, t.Handover
	}
	if m.reading || !due || (m.readAt != 0 && m.now-m.readAt < pace) {
		return
	}
	m.readID++
	m.reading, m.wantRow, m.readAt = true, false, m.now
	m.do(ReadRow{ID: m.readID})
}

func (m *Machine) schedulePolls() {
	probing := m.now < m.probeUntil
	all := m.pollAll()
	for _, s := range m.servers {
		p := m.polls[s.Name]
		if p.inFlight {
			continue
		}
		primary := s.Name == m.row.Primary
		wanted := m.wantQuorum || (m.wantPoll && primary)
		regular := m.mine(s) || all || (primary && (probing || m.isOwner() || m.watching()))
		if wanted {
			m.wantPoll = m.wantPoll && !primary
		}
		if wanted || (regular && (p.sent == 0 || m.now-p.sent >= m.opt.Timing.Poll)) {
			p.inFlight, p.sent = true, m.now
			m.do(Poll{Server: s.Name, Sent: m.now})
		}
	}
	m.wantQuorum = false
	if m.row.Primary == "" {
		m.wantPoll = false
	}
}

// pollAll reports whether the databases of other homes have to be polled, too.
func (m *Machine) pollAll() bool {
	if !m.rowKnown {
		return false
	}
	if m.revision == 0 {
		return m.homesAny()
	}
	s, _ := m.server(m.row.Primary)
	return m.isOwner() && (!m.leaseLive() || s.Out || m.lagging)
}

func (m *Machine) scheduleAsks() {
	if m.revision == 0 {
		return
	}
	missed := m.now-m.primaryOK > m.opt.Timing.Poll*3/2
	everyone := (m.isOwner() && (missed || m.lagging)) || (m.watching() && m.ownerMissed())
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		due := everyone || (!m.isOwner() && name == m.row.Owner)
		if p.inFlight || !due || (p.asked && m.now-p.sent < m.opt.Timing.Poll) {
			continue
		}
		p.inFlight, p.asked, p.sent = true, true, m.now
		m.do(Ask{Host: name, Sent: m.now})
	}
}
