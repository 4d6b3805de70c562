package failover

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

// Timing of the supervision of a group.
const (
	// quietPoll is the silence of the primary after which it is asked for its
	// status. Every answer to a caller's statement counts as a sign of life.
	quietPoll = 300 * time.Millisecond
	// suspectAfter is the silence after which a primary is replaced. It is above
	// the longest statements, which take a tenth of a second, and several polls.
	suspectAfter = time.Second
	// refusedAfter is the same for a primary that refuses connections.
	refusedAfter = 500 * time.Millisecond
	// surveyTime is how long a choice waits for the answers of all servers.
	surveyTime = 250 * time.Millisecond
	// surveyPause is the pause before a survey without a result is repeated.
	surveyPause = 300 * time.Millisecond
	// catchUpTime is how long a planned replacement waits for its replica to
	// have all commits. New writes wait meanwhile.
	catchUpTime = 300 * time.Millisecond
	// leadPoll is the interval at which a promoted server is asked whether it
	// leads.
	leadPoll = 50 * time.Millisecond
	// leadTimeout bounds the wait for a promoted server to lead. The platform
	// takes 0.3 to 1 s.
	leadTimeout = 4 * time.Second
	// avoidFor is how long a server whose promotion was rejected is not chosen.
	avoidFor = 2 * time.Second
	// leavingUse is how long a leaving primary without a successor is used. It
	// serves for 7 s at least after it has announced that it leaves.
	leavingUse = 4 * time.Second
)

// Member is a server of the group as the registry shows it.
type Member struct {
	Name string
	// Usable servers may get new work.
	Usable bool
	// ZoneOut says that the server's zone is out of service.
	ZoneOut bool
}

// Action is something for the shell to do.
type Action interface{ action() }

type (
	// Poll asks a server for its status.
	Poll struct{ Server string }
	// Promote orders the promotion of a server with the epoch as the token.
	Promote struct {
		Server string
		Token  uint64
	}
	// NextEpoch asks for a new epoch of the group's role.
	NextEpoch struct{}
)

func (Poll) action()      {}
func (Promote) action()   {}
func (NextEpoch) action() {}

// Phase is what the owner is doing.
type Phase uint8

// Phases.
const (
	// Idle means that the group is not owned here.
	Idle Phase = iota
	// Surveying means that the servers are asked for their status.
	Surveying
	// CatchingUp means that the chosen replica has yet to get the last commits.
	CatchingUp
	// WaitingForEpoch means that a new epoch is needed for the next order.
	WaitingForEpoch
	// Ordering means that a promotion was ordered.
	Ordering
	// WaitingForLead means that the order was accepted.
	WaitingForLead
	// Leading means that the group has a primary.
	Leading
)

var phaseNames = [...]string{"idle", "surveying", "catching_up", "waiting_for_epoch", "ordering", "waiting_for_lead", "leading"}

// String returns the name used in logs.
func (p Phase) String() string { return phaseNames[p] }

// report is the last status of a server.
type report struct {
	status statement.Status
	// sent is when the answered poll was sent, seen when the answer came.
	sent, seen time.Duration
}

// Machine supervises one group. It is not safe for concurrent use.
type Machine struct {
	epoch   uint64
	phase   Phase
	since   time.Duration
	members []Member
	reports map[string]report
	polling map[string]time.Duration
	avoid   map[string]time.Duration

	primary string
	// target is the server to promote; ordered the epoch of the last order.
	target  string
	ordered uint64
	// lastSign is the last sign of life of the primary, lastPosition its newest
	// known position.
	lastSign     time.Duration
	lastPosition statement.Position
	failures     int
	refusals     int
	// planned is set while a primary that still works is being replaced.
	planned bool
	// unusableSince is when the primary was first seen to be unusable.
	unusableSince time.Duration
	nextOrder     time.Duration
	// Why is the reason for the last change of phase, for the log.
	Why string
	out []Action
}

// NewMachine returns the Machine of a group that is not owned.
func NewMachine() *Machine {
	return &Machine{reports: map[string]report{}, polling: map[string]time.Duration{}, avoid: map[string]time.Duration{}}
}

// Phase returns what the owner is doing.
func (m *Machine) Phase() Phase { return m.phase }

// Primary returns the server that is used as the primary, if there is one.
func (m *Machine) Primary() (server string, ok bool) { return m.primary, m.phase == Leading }

// ReadPrimary returns the server on which reads are current: the primary, also
// while a planned replacement is under way, because nothing is acknowledged at the
// new primary before it is used.
func (m *Machine) ReadPrimary() (server string, ok bool) {
	switch m.phase {
	case Leading:
		return m.primary, true
	case CatchingUp, WaitingForEpoch, Ordering, WaitingForLead:
		return m.primary, m.planned && m.primary != ""
	}
	return "", false
}

// Changing reports whether a primary can be expected soon.
func (m *Machine) Changing() bool { return m.phase != Idle && m.phase != Leading }

func (m *Machine) enter(now time.Duration, p Phase, why string) {
	if p == Idle || p == Surveying || p == Leading {
		m.planned = false
	}
	m.phase, m.since, m.Why = p, now, why
}

// Tick moves time forward. Epoch is that of the group's role while it may be
// used here, else 0. The actions are valid until the next call.
func (m *Machine) Tick(now time.Duration, epoch uint64, members []Member) []Action {
	m.out = m.out[:0]
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
		m.order(now)
	case WaitingForLead:
		m.awaitLead(now)
	case Leading:
		m.supervise(now)
	case WaitingForEpoch:
		m.out = append(m.out, NextEpoch{})
	}
	return m.out
}

func (m *Machine) epochChanged(now time.Duration, epoch uint64) {
	m.epoch = epoch
	switch {
	case epoch == 0:
		m.enter(now, Idle, "role lost")
		clear(m.reports)
	case m.phase == WaitingForEpoch && m.target != "":
		m.enter(now, Ordering, m.Why)
		m.nextOrder = now
	default:
		clear(m.reports)
		m.enter(now, Surveying, "role gained")
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

func (m *Machine) poll(now time.Duration, server string) {
	if _, busy := m.polling[server]; busy {
		return
	}
	m.polling[server] = now
	m.out = append(m.out, Poll{Server: server})
}

// survey asks all servers and chooses one: the primary of the highest term if
// it answers, else the most advanced replica.
func (m *Machine) survey(now time.Duration) {
	answered := 0
	for _, x := range m.members {
		if r, ok := m.reports[x.Name]; ok && r.sent >= m.since {
			answered++
		} else {
			m.poll(now, x.Name)
		}
	}
	if p, ok := m.presentPrimary(); ok && (answered == len(m.members) || now-m.since >= surveyTime) {
		m.decide(now, p, "primary confirmed")
		return
	}
	// A primary that does not answer gets the time after which it is suspected.
	if now-m.since < suspectAfter || len(m.members) == 0 {
		return
	}
	if best, ok := m.mostAdvanced(now, "", m.sinceEntered); ok {
		m.decide(now, best, "no primary answers")
		return
	}
	if now-m.since >= suspectAfter+surveyPause {
		m.enter(now, Surveying, "no server can be promoted")
	}
}

// presentPrimary returns the server that reports to be primary of the highest
// term.
func (m *Machine) presentPrimary() (string, bool) {
	best, term := "", uint64(0)
	for _, x := range m.members {
		r, ok := m.reports[x.Name]
		if ok && r.sent >= m.since && r.status.Primary && r.status.Position.Term >= term {
			best, term = x.Name, r.status.Position.Term
		}
	}
	return best, best != ""
}

// sinceEntered reports whether a report was asked for in the present phase.
func (m *Machine) sinceEntered(r report) bool { return r.sent >= m.since }

// mostAdvanced returns the usable server with the newest position among those with
// a recent report, but not the excluded one.
func (m *Machine) mostAdvanced(now time.Duration, except string, recent func(report) bool) (string, bool) {
	best := ""
	var at statement.Position
	for _, x := range m.members {
		r, ok := m.reports[x.Name]
		if !ok || !m.eligible(now, x, except) || !recent(r) {
			continue
		}
		if best == "" || at.Less(r.status.Position) {
			best, at = x.Name, r.status.Position
		}
	}
	return best, best != ""
}

// eligible reports whether a server may be promoted instead of the excluded one.
func (m *Machine) eligible(now time.Duration, x Member, except string) bool {
	return x.Usable && x.Name != except && now >= m.avoid[x.Name]
}

// decide orders the server to be promoted, in a new epoch if the present one was
// used for another server.
func (m *Machine) decide(now time.Duration, server, why string) {
	m.target, m.nextOrder = server, now
	if m.ordered == m.epoch {
		m.enter(now, WaitingForEpoch, why)
		m.out = append(m.out, NextEpoch{})
		return
	}
	m.enter(now, Ordering, why)
	m.order(now)
}

// orderRetry is the pause between two orders of the same promotion.
const orderRetry = 700 * time.Millisecond

func (m *Machine) order(now time.Duration) {
	if now < m.nextOrder {
		return
	}
	m.nextOrder = now + orderRetry
	m.ordered = m.epoch
	m.out = append(m.out, Promote{Server: m.target, Token: m.epoch})
}

// Ordered takes the answer to an order in. accepted and rejected are both false
// when there was none.
func (m *Machine) Ordered(now time.Duration, token uint64, server string, accepted, rejected bool) {
	if m.phase != Ordering || token != m.epoch || server != m.target {
		return
	}
	switch {
	case accepted:
		m.enter(now, WaitingForLead, m.Why)
	case rejected:
		m.avoid[server] = now + avoidFor
		m.enter(now, Surveying, "promotion rejected")
	}
}

func (m *Machine) awaitLead(now time.Duration) {
	if r, ok := m.reports[m.target]; ok && r.sent >= m.since && r.status.Primary {
		m.primary, m.lastSign, m.failures, m.refusals = m.target, r.seen, 0, 0
		m.lastPosition, m.unusableSince = r.status.Position, 0
		m.enter(now, Leading, m.Why)
		return
	}
	if now-m.since > leadTimeout {
		m.avoid[m.target] = now + avoidFor
		m.enter(now, Surveying, "the promoted server does not lead")
		return
	}
	if r, ok := m.reports[m.target]; !ok || now-r.sent >= leadPoll {
		m.poll(now, m.target)
	}
}

// supervise watches the primary.
func (m *Machine) supervise(now time.Duration) {
	x, listed := m.member(m.primary)
	if !listed || !x.Usable {
		if m.unusableSince == 0 {
			m.unusableSince = now
		}
		m.replacePlanned(now, listed && !x.ZoneOut)
		return
	}
	m.unusableSince = 0
	quiet := now - m.lastSign
	if quiet >= quietPoll {
		m.poll(now, m.primary)
	}
	if quiet >= suspectAfter && m.failures >= 2 || quiet >= refusedAfter && m.refusals >= 2 {
		m.replaceFailed(now)
	}
}

// replaceFailed looks for a replica once the primary is suspected. Without one
// the primary is kept.
func (m *Machine) replaceFailed(now time.Duration) {
	recent := func(r report) bool { return r.seen >= now-surveyTime }
	for _, x := range m.members {
		if r, ok := m.reports[x.Name]; m.eligible(now, x, m.primary) && (!ok || !recent(r)) {
			m.poll(now, x.Name)
		}
	}
	if best, ok := m.mostAdvanced(now, m.primary, recent); ok {
		m.decide(now, best, "primary does not answer")
	}
}

// replacePlanned moves the lead away from a server that may not get new work.
func (m *Machine) replacePlanned(now time.Duration, mayStay bool) {
	m.enter(now, CatchingUp, "primary leaves")
	m.planned = mayStay || m.successors(now) > 0
	m.catchUp(now)
	if m.phase == CatchingUp && m.successors(now) == 0 {
		if mayStay && now-m.unusableSince < leavingUse {
			m.phase = Leading // nobody can take over yet
			return
		}
		m.Why = "primary leaves and no server can take over"
	}
}

func (m *Machine) successors(now time.Duration) int {
	n := 0
	for _, x := range m.members {
		if m.eligible(now, x, m.primary) {
			n++
		}
	}
	return n
}

// catchUp promotes the replica that has all commits, or the most advanced one
// after a while.
func (m *Machine) catchUp(now time.Duration) {
	for _, x := range m.members {
		if r, ok := m.reports[x.Name]; x.Usable && (!ok || now-r.sent >= leadPoll) {
			m.poll(now, x.Name)
		}
	}
	best, ok := m.mostAdvanced(now, m.primary, m.sinceEntered)
	if !ok {
		return
	}
	if now-m.since >= catchUpTime || !m.reports[best].status.Position.Less(m.lastPosition) {
		m.decide(now, best, "primary leaves")
	}
}

// Polled takes the answer to a poll in that was sent at the time. refused says
// that the server refused the connection.
func (m *Machine) Polled(now, sent time.Duration, server string, status statement.Status, err error, refused bool) {
	delete(m.polling, server)
	if err != nil {
		if server == m.primary && m.phase == Leading {
			m.failures++
			if refused {
				m.refusals++
			}
		}
		return
	}
	m.reports[server] = report{status: status, sent: sent, seen: now}
	if server != m.primary || m.phase != Leading {
		return
	}
	if !status.Primary {
		m.enter(now, Surveying, "the primary has lost the lead")
		return
	}
	m.Alive(sent, server, status.Position)
}

// Alive notes an answer of the server to a statement sent at the time.
func (m *Machine) Alive(sent time.Duration, server string, p statement.Position) {
	if server != m.primary || m.phase != Leading {
		return
	}
	m.lastSign = max(m.lastSign, sent)
	m.lastPosition = statement.Max(m.lastPosition, p)
	m.failures, m.refusals = 0, 0
}

// LostLead notes that a statement found the primary without the lead.
func (m *Machine) LostLead(now time.Duration, server string) {
	if server == m.primary && m.phase == Leading {
		m.enter(now, Surveying, "a statement found the primary without the lead")
	}
}
