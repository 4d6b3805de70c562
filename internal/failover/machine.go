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
	// of them is chosen, and the maximum age of the reports used for the choice.
	surveyTimeout = 250 * time.Millisecond
	// surveyRetryDelay is the delay, after suspectTimeout, before a survey without a
	// result is repeated.
	surveyRetryDelay = 300 * time.Millisecond
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
	// Usable is set if the server may get new work.
	Usable bool
	// ZoneOut is set if the server's zone is out of service.
	ZoneOut bool
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
	epoch         uint64
	phase         Phase
	phaseSince    time.Duration
	members       []Member
	reports       map[string]serverReport
	pollsInFlight map[string]time.Duration
	backoffUntil  map[string]time.Duration

	primary string
	// target is the server to promote, orderedEpoch the epoch of the last order.
	target       string
	orderedEpoch uint64
	// lastContactAt is the time of the newest evidence that the primary is alive:
	// when its report that it is the primary arrived, or when a later statement or poll
	// that it answered was sent. lastPosition is its newest known position.
	lastContactAt time.Duration
	lastPosition  statement.Position
	failedPolls   int
	refusedPolls  int
	// planned is set while a working primary is being replaced.
	planned bool
	// unusableSince is the time at which the primary was first found not to be
	// usable for new work, 0 while it is usable.
	unusableSince time.Duration
	nextOrderAt   time.Duration
	// PhaseReason is the reason for the last change of phase. It is logged.
	PhaseReason string
	actions     []Action
}

// NewMachine returns a Machine in the phase Idle.
func NewMachine() *Machine {
	return &Machine{reports: map[string]serverReport{}, pollsInFlight: map[string]time.Duration{}, backoffUntil: map[string]time.Duration{}}
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// Primary returns the current or last primary and whether it may be used for new
// work now.
func (m *Machine) Primary() (server string, ok bool) { return m.primary, m.phase == Leading }

// ReadPrimary returns the server on which reads are current, and whether there is
// one. This is the primary, also during a planned replacement, because no write is
// acknowledged on the new primary before the phase is Leading.
func (m *Machine) ReadPrimary() (server string, ok bool) {
	switch m.phase {
	case Leading:
		return m.primary, true
	case CatchingUp, WaitingForEpoch, Ordering, WaitingForPromotion:
		return m.primary, m.planned && m.primary != ""
	}
	return "", false
}

// PrimaryExpected reports whether the group has no usable primary but is about to get
// one.
func (m *Machine) PrimaryExpected() bool { return m.phase != Idle && m.phase != Leading }

// enterPhase changes the phase. It ends a planned replacement unless the new phase
// is part of one.
func (m *Machine) enterPhase(now time.Duration, p Phase, reason string) {
	if p == Idle || p == Surveying || p == Leading {
		m.planned = false
	}
	m.phase, m.phaseSince, m.PhaseReason = p, now, reason
}

// Tick advances the machine to the time now and returns the actions to perform.
// epoch is the epoch of the group's role if this host may use it, otherwise 0. The
// returned slice is valid until the next call.
func (m *Machine) Tick(now time.Duration, epoch uint64, members []Member) []Action {
	m.actions = m.actions[:0]
	m.members = members
	if epoch != m.epoch {
		m.epochChanged(now, epoch)
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
	switch {
	case epoch == 0:
		m.enterPhase(now, Idle, "role lost")
		clear(m.reports)
	case m.phase == WaitingForEpoch && m.target != "":
		m.enterPhase(now, Ordering, m.PhaseReason)
		m.nextOrderAt = now
	default:
		clear(m.reports)
		m.enterPhase(now, Surveying, "role gained")
	}
}

func (m *Machine) member(name string) (Member, bool) {
	for _, x := range m.members {
		if x.Name == name {
			return x, true
		}
	}
	return Member{}, false
}

// pollServer polls a server unless a poll of it is in flight.
func (m *Machine) pollServer(now time.Duration, server string) {
	if _, inFlight := m.pollsInFlight[server]; inFlight {
		return
	}
	m.pollsInFlight[server] = now
	m.actions = append(m.actions, Poll{Server: server})
}

// survey polls all servers and chooses one: the primary of the highest term if it
// answers, otherwise the most advanced replica.
func (m *Machine) survey(now time.Duration) {
	answered := 0
	for _, x := range m.members {
		if r, ok := m.reports[x.Name]; ok && r.pollSentAt >= m.phaseSince {
			answered++
		} else {
			m.pollServer(now, x.Name)
		}
	}
	if p, ok := m.reportedPrimary(); ok && (answered == len(m.members) || now-m.phaseSince >= surveyTimeout) {
		m.startPromotion(now, p, "primary confirmed")
		return
	}
	// Wait as long for a primary that does not answer as before a known primary is
	// suspected.
	if now-m.phaseSince < suspectTimeout || len(m.members) == 0 {
		return
	}
	if best, ok := m.mostAdvanced(now, "", m.polledInPhase); ok {
		m.startPromotion(now, best, "no primary answers")
		return
	}
	if now-m.phaseSince >= suspectTimeout+surveyRetryDelay {
		m.enterPhase(now, Surveying, "no server can be promoted")
	}
}

// reportedPrimary returns the server that reports that it is the primary, the one of
// the highest term if there are several.
func (m *Machine) reportedPrimary() (string, bool) {
	best, term := "", uint64(0)
	for _, x := range m.members {
		r, ok := m.reports[x.Name]
		if ok && r.pollSentAt >= m.phaseSince && r.status.Primary && r.status.Position.Term >= term {
			best, term = x.Name, r.status.Position.Term
		}
	}
	return best, best != ""
}

// polledInPhase reports whether the poll that returned the report was sent in the
// current phase.
func (m *Machine) polledInPhase(r serverReport) bool { return r.pollSentAt >= m.phaseSince }

// mostAdvanced returns the server with the highest position among the eligible ones
// with a recent report. The server except is excluded.
func (m *Machine) mostAdvanced(now time.Duration, except string, recent func(serverReport) bool) (string, bool) {
	best := ""
	var bestPosition statement.Position
	for _, x := range m.members {
		r, ok := m.reports[x.Name]
		if !ok || !m.isEligible(now, x, except) || !recent(r) {
			continue
		}
		if best == "" || bestPosition.Less(r.status.Position) {
			best, bestPosition = x.Name, r.status.Position
		}
	}
	return best, best != ""
}

// isEligible reports whether a server may be promoted. The server except is excluded.
func (m *Machine) isEligible(now time.Duration, x Member, except string) bool {
	return x.Usable && x.Name != except && now >= m.backoffUntil[x.Name]
}

// startPromotion orders the promotion of the server. If an order was already sent in
// the current epoch, it requests a new epoch first, because one token must not be
// used for two servers.
func (m *Machine) startPromotion(now time.Duration, server, reason string) {
	m.target, m.nextOrderAt = server, now
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
		m.lastPosition, m.unusableSince = r.status.Position, 0
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
	if silence >= idlePollDelay {
		m.pollServer(now, m.primary)
	}
	if silence >= suspectTimeout && m.failedPolls >= 2 || silence >= refusedTimeout && m.refusedPolls >= 2 {
		m.replaceFailedPrimary(now)
	}
}

// replaceFailedPrimary promotes the most advanced replica instead of a suspected
// primary. If no replica answers, the primary is kept.
func (m *Machine) replaceFailedPrimary(now time.Duration) {
	recent := func(r serverReport) bool { return r.receivedAt >= now-surveyTimeout }
	for _, x := range m.members {
		if r, ok := m.reports[x.Name]; m.isEligible(now, x, m.primary) && (!ok || !recent(r)) {
			m.pollServer(now, x.Name)
		}
	}
	if best, ok := m.mostAdvanced(now, m.primary, recent); ok {
		m.startPromotion(now, best, "primary does not answer")
	}
}

// replaceLeavingPrimary replaces a primary that may not get new work. mayServe is set
// if the primary may still be used until another server is eligible.
func (m *Machine) replaceLeavingPrimary(now time.Duration, mayServe bool) {
	m.enterPhase(now, CatchingUp, "primary leaves")
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
	for _, x := range m.members {
		if m.isEligible(now, x, m.primary) {
			n++
		}
	}
	return n
}

// catchUp promotes the most advanced replica when it has all commits, or when
// catchUpTimeout has passed.
func (m *Machine) catchUp(now time.Duration) {
	for _, x := range m.members {
		if r, ok := m.reports[x.Name]; x.Usable && (!ok || now-r.pollSentAt >= promotedPollInterval) {
			m.pollServer(now, x.Name)
		}
	}
	best, ok := m.mostAdvanced(now, m.primary, m.polledInPhase)
	if !ok {
		return
	}
	if now-m.phaseSince >= catchUpTimeout || !m.reports[best].status.Position.Less(m.lastPosition) {
		m.startPromotion(now, best, "primary leaves")
	}
}

// OnPollResult processes the result of a poll that was sent at the time sent.
// refused is set if the server refused the connection.
func (m *Machine) OnPollResult(now, sent time.Duration, server string, status statement.Status, err error, refused bool) {
	delete(m.pollsInFlight, server)
	if err != nil {
		if server == m.primary && m.phase == Leading {
			m.failedPolls++
			if refused {
				m.refusedPolls++
			}
		}
		return
	}
	m.reports[server] = serverReport{status: status, pollSentAt: sent, receivedAt: now}
	if server != m.primary || m.phase != Leading {
		return
	}
	if !status.Primary {
		m.enterPhase(now, Surveying, "the primary has lost the lead")
		return
	}
	m.RecordAnswer(sent, server, status.Position)
}

// RecordAnswer records that the server answered a statement or poll sent at the
// time sent.
func (m *Machine) RecordAnswer(sent time.Duration, server string, p statement.Position) {
	if server != m.primary || m.phase != Leading {
		return
	}
	m.lastContactAt = max(m.lastContactAt, sent)
	m.lastPosition = statement.Max(m.lastPosition, p)
	m.failedPolls, m.refusedPolls = 0, 0
}

// RecordNotPrimary records that a statement failed because the server was not the
// primary.
func (m *Machine) RecordNotPrimary(now time.Duration, server string) {
	if server == m.primary && m.phase == Leading {
		m.enterPhase(now, Surveying, "a statement found the primary without the lead")
	}
}
