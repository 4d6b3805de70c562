package failover

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// Intervals and time limits for the supervision of a group.
const (
	// idlePollDelay is the time without an answer of the primary, either to a status
	// poll or to a caller's statement, after which its status is polled.
	idlePollDelay = 300 * time.Millisecond
	// suspectTimeout is the time without an answer after which a primary is
	// replaced. It is longer than the longest statements, which take 100 ms, and
	// than several polls.
	suspectTimeout = time.Second
	// refusedTimeout replaces suspectTimeout for a primary that refuses connections.
	refusedTimeout = 500 * time.Millisecond
	// surveyTimeout is the time to wait for the answers of all servers before one
	// that reports that it is the primary is confirmed.
	surveyTimeout = 250 * time.Millisecond
	// catchUpTimeout is the time for which a planned replacement waits until its
	// replica has all commits. New writes wait during this time.
	catchUpTimeout = 300 * time.Millisecond
	// promotedPollInterval is the interval between status polls of a server that is
	// being promoted and, while a replica catches up, of all usable servers.
	promotedPollInterval = 50 * time.Millisecond
	// promotionTimeout bounds the time from an accepted order until the server
	// reports that it is the primary. The platform takes 0.3 to 1 s.
	promotionTimeout = 4 * time.Second
	// rejectedServerBackoff is the time for which a server is not chosen after its
	// promotion was rejected or did not complete.
	rejectedServerBackoff = 2 * time.Second
	// leavingPrimaryTimeout is the time for which a leaving primary is still used if
	// no other server is eligible. A leaving server serves requests for at least
	// 7 s after it has announced that it leaves.
	leavingPrimaryTimeout = 4 * time.Second
)

// Member is the registry entry of a server of the group.
type Member struct {
	Name string
	// Incarnation distinguishes successive servers of the same name.
	Incarnation int64
	// Usable is set if the server may get new work.
	Usable bool
	// ZoneOut is set if the server's zone is out of service.
	ZoneOut bool
	// ReportsPrimary is set if the server has registered itself as the primary.
	ReportsPrimary bool
}

// Group is what the machine has to know about its group.
type Group struct {
	Members []Member
	// SyncReplicas is the number of replicas that have received a commit when the
	// primary acknowledges it. If it is not 0, no server is promoted that may lack an
	// acknowledged commit.
	SyncReplicas int
}

// Action is an operation that the caller of Tick must perform.
type Action interface{ action() }

// Actions returned by Tick.
type (
	// Poll queries the status of a server.
	Poll struct{ Server string }
	// Promote orders the promotion of a server. The token is the epoch of the
	// group's role.
	Promote struct {
		Server string
		Token  uint64
	}
	// NextEpoch requests a new epoch of the group's role.
	NextEpoch struct{}
)

func (Poll) action()      {}
func (Promote) action()   {}
func (NextEpoch) action() {}

// Phase is the phase of a group's supervision.
type Phase uint8

// Phases of the supervision of a group.
const (
	// Idle means that this host does not own the group.
	Idle Phase = iota
	// Surveying means that all servers are polled in order to find or choose the
	// primary.
	Surveying
	// CatchingUp means that the primary is to be replaced as planned, and that no
	// replica has the last commits yet.
	CatchingUp
	// WaitingForEpoch means that the next order waits for a new epoch.
	WaitingForEpoch
	// Ordering means that a promotion was ordered and not yet accepted.
	Ordering
	// WaitingForPromotion means that the order was accepted, but the server has not
	// reported that it is the primary yet.
	WaitingForPromotion
	// Leading means that the group has a primary that may be used.
	Leading
)

var phaseNames = [...]string{"idle", "surveying", "catching_up", "waiting_for_epoch", "ordering", "waiting_for_lead", "leading"}

// String returns the name of the phase in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// serverReport is the newest status of a server.
type serverReport struct {
	status statement.Status
	// pollSentAt is the time at which the answered poll was sent, receivedAt the
	// time at which the answer arrived.
	pollSentAt, receivedAt time.Duration
}

// Machine supervises one group. It is not safe for concurrent use.
type Machine struct {
	epoch      uint64
	phase      Phase
	phaseSince time.Duration
	group      Group
	reports    map[string]serverReport
	contacts   map[string]*serverContact
	// pollsInFlight holds the servers whose status is being polled.
	pollsInFlight map[string]bool
	backoffUntil  map[string]time.Duration
	// usableSince is the time since which this host may use the group's role, 0 while
	// it may not.
	usableSince time.Duration
	// searchSince is the time since which a successor of the primary has been searched.
	// Only reports to polls sent since then are used for the choice.
	searchSince time.Duration

	primary string
	// replicas are the servers that may hold commits which the primary has acknowledged,
	// departedPosition the last commit of the primary when one of them was first found
	// not to be registered.
	replicas         []string
	departedPosition statement.Position
	// target is the server to promote, orderedEpoch the epoch of the last order.
	// promotesReplica is set if target was not the primary when it was chosen.
	target          string
	promotesReplica bool
	orderedEpoch    uint64
	// lastContactAt is the time of the newest evidence that the primary is alive:
	// when its report that it is the primary arrived, or when a later statement or poll
	// that it answered was sent. lastPosition is its newest known position.
	// positionCurrent is set if that includes every commit that was acknowledged.
	lastContactAt   time.Duration
	lastPosition    statement.Position
	positionCurrent bool
	// firstPosition is the position with which the primary began its term; zero if this
	// host did not see the promotion. termStarts are the known promotions by term, oldest
	// first.
	firstPosition statement.Position
	termStarts    []TermStart
	failedPolls   int
	refusedPolls  int
	// planned is set while a working primary is being replaced.
	planned bool
	// unusableSince is the time at which the primary was first found not to be
	// usable for new work, 0 while it is usable.
	unusableSince time.Duration
	nextOrderAt   time.Duration
	// PhaseReason is the reason for the last change of phase, Candidates what was known
	// of each server when target was chosen. They are logged.
	PhaseReason, Candidates string
	// WaitReason is the reason why a lost primary is not replaced yet. It is logged.
	WaitReason string
	// stalled is set while the primary does not answer and none can be promoted.
	stalled bool
	// logDoubted is set when the primary has answered that it lacks a position that it had,
	// until its next report.
	logDoubted bool
	actions    []Action
}

// NewMachine returns a Machine in the phase Idle.
func NewMachine() *Machine {
	return &Machine{
		reports: map[string]serverReport{}, contacts: map[string]*serverContact{},
		pollsInFlight: map[string]bool{}, backoffUntil: map[string]time.Duration{},
	}
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Primary returns the current or last primary and whether it may be used for new
// work now.
func (m *Machine) Primary() (server string, ok bool) {
	return m.primary, m.phase == Leading && !m.stalled
}

// ReadPrimary returns the server on which reads are current, and whether there is
// one. This is the primary, also during a planned replacement, because no write is
// acknowledged on the new primary before the phase is Leading.
func (m *Machine) ReadPrimary() (server string, ok bool) {
	switch m.phase {
	case Leading:
		return m.primary, !m.stalled
	case CatchingUp, WaitingForEpoch, Ordering, WaitingForPromotion:
		return m.primary, m.planned && m.primary != ""
	}
	return "", false
}

// Position returns the newest log position that the server is known to have as the
// primary, zero if none is known.
func (m *Machine) Position(server string) statement.Position {
	if server == "" || server != m.primary {
		return statement.Position{}
	}
	return m.lastPosition
}

// PrimaryExpected reports whether the group has no usable primary but is about to get
// one.
func (m *Machine) PrimaryExpected() bool {
	return m.phase != Idle && m.phase != Leading && !m.stalled
}

// enterPhase changes the phase. It ends a planned replacement unless the new phase
// is part of one.
func (m *Machine) enterPhase(now time.Duration, p Phase, reason string) {
	if p == Idle || p == Surveying || p == Leading {
		m.planned = false
	}
	m.phase, m.phaseSince, m.PhaseReason = p, now, reason
	m.searchSince, m.WaitReason, m.stalled, m.logDoubted = 0, "", false, false
}

// Tick advances the machine to the time now and returns the actions to perform.
// epoch is the epoch of the group's role if it is assigned to this host, otherwise 0,
// and usable reports whether this host may use the role already. The returned slice is
// valid until the next call.
func (m *Machine) Tick(now time.Duration, epoch uint64, usable bool, group Group) []Action {
	m.actions = m.actions[:0]
	m.group = group
	m.forgetServers(now)
	if epoch != m.epoch {
		m.epochChanged(now, epoch)
	}
	switch {
	case !usable:
		m.usableSince, m.positionCurrent = 0, false
	case m.usableSince == 0:
		m.usableSince = now
	}
	switch m.phase {
	case Surveying:
		m.survey(now)
	case CatchingUp:
		m.catchUp(now)
	case Ordering:
		m.sendOrder(now)
	case WaitingForPromotion:
		m.awaitPromotion(now)
	case Leading:
		m.supervisePrimary(now)
	case WaitingForEpoch:
		m.actions = append(m.actions, NextEpoch{})
	}
	return m.actions
}

// epochChanged ends the supervision if the role was lost. With a new epoch it sends
// the order that waited for it, or surveys the servers.
func (m *Machine) epochChanged(now time.Duration, epoch uint64) {
	m.epoch = epoch
	if epoch != 0 && m.phase == WaitingForEpoch && m.target != "" {
		m.enterPhase(now, Ordering, m.PhaseReason)
		m.nextOrderAt = now
		return
	}
	// Another host may promote a server, or may have done so.
	m.primary, m.replicas, m.usableSince, m.positionCurrent = "", nil, 0, false
	clear(m.reports)
	if epoch == 0 {
		m.enterPhase(now, Idle, "role lost")
	} else {
		m.enterPhase(now, Surveying, "role gained")
	}
}

func (m *Machine) member(name string) (Member, bool) {
	for _, x := range m.group.Members {
		if x.Name == name {
			return x, true
		}
	}
	return Member{}, false
}

// pollServer polls a server unless a poll of it is in flight.
func (m *Machine) pollServer(now time.Duration, server string) {
	if m.pollsInFlight[server] {
		return
	}
	c := m.contact(server)
	m.pollsInFlight[server], c.polledAt, c.positionAtPoll = true, now, m.Position(server)
	m.actions = append(m.actions, Poll{Server: server})
}

// survey polls all servers and chooses one: the primary of the highest term if it
// answers, otherwise the successor of a lost primary.
func (m *Machine) survey(now time.Duration) {
	if m.searchSince == 0 && (m.group.SyncReplicas == 0 || m.usableSince != 0) {
		m.searchSince = now
	}
	m.pollCandidates(now)
	answered := 0
	for _, x := range m.group.Members {
		if r, ok := m.reports[x.Name]; ok && r.pollSentAt >= m.phaseSince {
			answered++
		}
	}
	if p, ok := m.reportedPrimary(); ok && (answered == len(m.group.Members) || now-m.phaseSince >= surveyTimeout) {
		m.startPromotion(now, p, "primary confirmed")
		return
	}
	// Wait as long for a primary that does not answer as before a known primary is
	// suspected.
	if now-m.phaseSince < suspectTimeout {
		return
	}
	best, ok := m.successor(now, "")
	if ok {
		m.startPromotion(now, best, "no primary answers")
		return
	}
	m.stalled = now-m.phaseSince >= suspectTimeout+stallTimeout
}

// reportedPrimary returns the server that reports that it is the primary, the one of
// the highest term if there are several. One that does not know the term of the last primary
// has lost its log.
func (m *Machine) reportedPrimary() (string, bool) {
	best, term := "", uint64(0)
	for _, x := range m.group.Members {
		r, ok := m.reports[x.Name]
		if ok && r.pollSentAt >= m.phaseSince && r.status.Primary && r.status.Position.Term >= term && r.status.Term >= m.lastPosition.Term {
			best, term = x.Name, r.status.Position.Term
		}
	}
	return best, best != ""
}

// isEligible reports whether a server may be promoted. The server except is excluded, and
// unless leaving is set, so are servers that may not get new work.
func (m *Machine) isEligible(now time.Duration, x Member, except string, leaving bool) bool {
	return (x.Usable || leaving) && x.Name != except && now >= m.backoffUntil[x.Name]
}

// startPromotion orders the promotion of the server. If an order was already sent in
// the current epoch, it requests a new epoch first, because one token must not be
// used for two servers.
func (m *Machine) startPromotion(now time.Duration, server, reason string) {
	m.target, m.nextOrderAt, m.Candidates = server, now, m.candidates()
	m.promotesReplica = !m.reports[server].status.Primary
	if m.orderedEpoch == m.epoch {
		m.enterPhase(now, WaitingForEpoch, reason)
		m.actions = append(m.actions, NextEpoch{})
		return
	}
	m.enterPhase(now, Ordering, reason)
	m.sendOrder(now)
}

// orderRetryInterval is the interval between repeated orders of one promotion.
const orderRetryInterval = 700 * time.Millisecond

// sendOrder sends or repeats the promotion order when it is due.
func (m *Machine) sendOrder(now time.Duration) {
	if now < m.nextOrderAt {
		return
	}
	m.nextOrderAt = now + orderRetryInterval
	m.orderedEpoch = m.epoch
	m.actions = append(m.actions, Promote{Server: m.target, Token: m.epoch})
}

// OnOrderResult processes the result of a promotion order. accepted and rejected
// are both false if no answer arrived. Results of earlier orders are ignored.
func (m *Machine) OnOrderResult(now time.Duration, token uint64, server string, accepted, rejected bool) {
	if m.phase != Ordering || token != m.epoch || server != m.target {
		return
	}
	switch {
	case accepted:
		m.enterPhase(now, WaitingForPromotion, m.PhaseReason)
	case rejected:
		m.backoffUntil[server] = now + rejectedServerBackoff
		m.enterPhase(now, Surveying, "promotion rejected")
	}
}

// awaitPromotion polls the promoted server until it reports that it is the primary or
// promotionTimeout has passed.
func (m *Machine) awaitPromotion(now time.Duration) {
	if r, ok := m.reports[m.target]; ok && r.pollSentAt >= m.phaseSince && r.status.Primary {
		m.primary, m.lastContactAt, m.failedPolls, m.refusedPolls = m.target, r.receivedAt, 0, 0
		m.recordTerm(r.status)
		m.lastPosition, m.unusableSince = r.status.Position, 0
		m.positionCurrent = m.usableSince != 0 && r.pollSentAt >= m.usableSince && !r.status.Repeated
		for _, c := range m.contacts {
			c.floor = statement.Position{} // a replica that was ahead is rolled back
		}
		m.replicas, m.departedPosition = nil, statement.Position{}
		m.recordReplicas(now)
		m.enterPhase(now, Leading, m.PhaseReason)
		return
	}
	if now-m.phaseSince > promotionTimeout {
		m.backoffUntil[m.target] = now + rejectedServerBackoff
		m.enterPhase(now, Surveying, "the promoted server does not lead")
		return
	}
	if r, ok := m.reports[m.target]; !ok || now-r.pollSentAt >= promotedPollInterval {
		m.pollServer(now, m.target)
	}
}

// supervisePrimary polls a primary that has not answered for idlePollDelay. It
// replaces a primary that may not get new work or is suspected to have failed.
func (m *Machine) supervisePrimary(now time.Duration) {
	x, listed := m.member(m.primary)
	if !listed || !x.Usable {
		if m.unusableSince == 0 {
			m.unusableSince = now
		}
		m.replaceLeavingPrimary(now, listed && !x.ZoneOut)
		return
	}
	m.unusableSince = 0
	silence := now - m.lastContactAt
	if silence >= idlePollDelay || m.logDoubted {
		m.pollServer(now, m.primary)
	} else {
		m.recordReplicas(now)
	}
	if m.failedPolls == 0 {
		m.searchSince, m.WaitReason, m.stalled = 0, "", false
		return
	}
	// The replicas are asked before the primary is suspected, so that the choice
	// seldom has to wait for them.
	if m.searchSince == 0 {
		m.searchSince = now
	}
	m.pollCandidates(now)
	if silence >= suspectTimeout && m.failedPolls >= 2 || silence >= refusedTimeout && m.refusedPolls >= 2 {
		best, ok := m.successor(now, m.primary)
		if ok {
			m.startPromotion(now, best, "primary does not answer")
			return
		}
		m.stalled = now-m.searchSince >= stallTimeout
	}
}

// replaceLeavingPrimary replaces a primary that may not get new work. mayServe is set
// if the primary may still be used until another server is eligible.
func (m *Machine) replaceLeavingPrimary(now time.Duration, mayServe bool) {
	m.enterPhase(now, CatchingUp, "primary leaves")
	m.searchSince = now
	m.planned = mayServe || m.successorCount(now) > 0
	m.catchUp(now)
	if m.phase == CatchingUp && m.successorCount(now) == 0 {
		if mayServe && now-m.unusableSince < leavingPrimaryTimeout {
			m.phase = Leading // no other server is eligible yet
			return
		}
		m.PhaseReason = "primary leaves and no server can take over"
	}
}

// successorCount returns the number of servers that may replace the primary.
func (m *Machine) successorCount(now time.Duration) int {
	n := 0
	for _, x := range m.group.Members {
		if m.isEligible(now, x, m.primary, false) {
			n++
		}
	}
	return n
}

// catchUp promotes the most advanced replica when it has all commits, or when
// catchUpTimeout has passed.
func (m *Machine) catchUp(now time.Duration) {
	for _, x := range m.group.Members {
		if x.Usable && now-m.contact(x.Name).polledAt >= promotedPollInterval {
			m.pollServer(now, x.Name)
		}
	}
	best, p := m.mostAdvanced(now, m.primary, false)
	caughtUp := !p.Less(m.lastPosition)
	if m.group.SyncReplicas > 0 {
		caughtUp = m.hasAllCommits(p)
	}
	switch {
	case best == "":
		return
	case caughtUp, m.group.SyncReplicas == 0 && now-m.phaseSince >= catchUpTimeout:
		m.startPromotion(now, best, "primary leaves")
	case now-m.phaseSince >= promotionTimeout:
		m.enterPhase(now, Surveying, "no replica has all commits")
	}
}

// OnPollResult processes the result of a poll that was sent at the time sent.
// refused is set if the server refused the connection.
func (m *Machine) OnPollResult(now, sent time.Duration, server string, status statement.Status, err error, refused bool) {
	delete(m.pollsInFlight, server)
	if server == m.primary {
		m.logDoubted = false
	}
	if err != nil {
		if refused {
			m.contact(server).refusedAt = sent
		}
		if server == m.primary && m.phase == Leading {
			m.failedPolls++
			if refused {
				m.refusedPolls++
			}
		}
		return
	}
	if status.Repeated && m.phase != WaitingForPromotion && m.mustConfirm(server, status) {
		// The server is alive and has this position or a later one.
		m.contact(server).busyAt = sent
		m.recordContact(sent, server, status.Position)
		return
	}
	m.reports[server] = serverReport{status: status, pollSentAt: sent, receivedAt: now}
	if status.Repeated {
		m.recordContact(sent, server, status.Position)
		return
	}
	m.contact(server).newReportAt = sent
	if server == m.primary && m.phase == Leading {
		switch {
		case !status.Primary:
			m.enterPhase(now, Surveying, "the primary has lost the lead")
			return
		case status.Position.Less(m.contact(server).positionAtPoll):
			m.enterPhase(now, Surveying, "the primary has lost commits")
			return
		}
	}
	m.RecordAnswer(sent, server, status.Position)
}

// needsNewReport reports whether the machine waits for a report of the server that is not
// the repetition of an earlier one.
func (m *Machine) needsNewReport(server string) bool {
	since := m.searchSince
	switch {
	case m.phase == Surveying:
		since = m.phaseSince
	case m.phase == Leading && server == m.primary && !m.positionCurrent:
		since = m.usableSince
	case m.phase == WaitingForPromotion && server == m.target:
		since = m.phaseSince
	}
	return since != 0 && m.contact(server).newReportAt < since
}

// mustConfirm reports whether the report, which may be a repetition, has to be confirmed
// by a new one.
func (m *Machine) mustConfirm(server string, status statement.Status) bool {
	return m.needsNewReport(server) ||
		m.phase == Leading && server == m.primary && !status.Primary ||
		m.phase == WaitingForPromotion && server == m.target && status.Primary
}

// OnServerBusy processes the result of a poll that the server answered without a
// report, because it had no free slot or connection. Such a server is alive.
func (m *Machine) OnServerBusy(sent time.Duration, server string) {
	delete(m.pollsInFlight, server)
	m.contact(server).busyAt = sent
	m.RecordAnswer(sent, server, statement.Position{})
}

// RecordAnswer records that the server answered a statement or poll sent at the
// time sent. The position counts in every phase, because commits of open transactions
// are acknowledged while the primary is replaced.
func (m *Machine) RecordAnswer(sent time.Duration, server string, p statement.Position) {
	m.recordContact(sent, server, p)
	if m.phase == Leading && server == m.primary && m.usableSince != 0 && sent >= m.usableSince && !p.IsZero() {
		m.positionCurrent = true
	}
}

// recordContact is RecordAnswer for a position that may be out of date.
func (m *Machine) recordContact(sent time.Duration, server string, p statement.Position) {
	if m.phase == Idle {
		return
	}
	if server != m.primary {
		c := m.contact(server)
		c.floor = statement.Max(c.floor, p)
		return
	}
	m.lastPosition = statement.Max(m.lastPosition, p)
	if m.phase != Leading {
		return
	}
	m.lastContactAt = max(m.lastContactAt, sent)
	m.failedPolls, m.refusedPolls = 0, 0
}

// KeepsCommit reports whether a commit that the server has acknowledged, at the position
// p or before, is kept by every promotion. pending is set if that is not decided yet.
func (m *Machine) KeepsCommit(server string, p statement.Position) (kept, pending bool) {
	switch m.phase {
	case Idle:
		return false, false
	case Leading:
		// A later choice of a primary rests on lastPosition, which includes the commit.
		return server == m.primary || contains(m.firstPosition, p), false
	case WaitingForPromotion:
		r, ok := m.reports[m.target]
		return ok && m.target != server && !r.status.Primary && contains(r.status.Position, p), true
	}
	return false, true
}

// contains reports whether a log that ends at the position end has the position p of an
// earlier or the same term. Numbers are consecutive over all terms.
func contains(end, p statement.Position) bool { return !end.Less(p) && p.Number <= end.Number }

// RecordMissingPosition records that a statement failed because the primary lacks a
// position that it had. Its next report shows whether it has lost its log; one that has
// just been promoted may still be applying it.
func (m *Machine) RecordMissingPosition(server string) {
	if server == m.primary && m.phase == Leading {
		m.logDoubted = true
	}
}

// RecordNotPrimary records that a statement failed because the server was not the
// primary.
func (m *Machine) RecordNotPrimary(now time.Duration, server string) {
	if server == m.primary && m.phase == Leading {
		m.enterPhase(now, Surveying, "a statement found the primary without the lead")
	}
}
