package failover

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/statement"
)

const (
	// successorTimeout is the time for which a replica that does not report its
	// position is waited for before a less advanced one is promoted. It exceeds the
	// longest wait for a slot of a server whose queue is full. It does not limit the
	// wait in a group with synchronous replicas.
	successorTimeout = 600 * time.Millisecond
	// stallTimeout is the time of search after which a primary that does not answer is
	// not used any more although no successor was found, so that statements are refused
	// at once.
	stallTimeout = 2 * successorTimeout
	// divergedTimeout is the time of search after which a server with commits that an
	// earlier promotion rolled back is promoted, if no other one answers. A server that
	// has crashed is normally back before.
	divergedTimeout = 30 * time.Second
	// unansweredPollInterval is the interval between the polls of a server that has
	// not reported its position, reportedPollInterval of one that has.
	unansweredPollInterval = 50 * time.Millisecond
	reportedPollInterval   = 250 * time.Millisecond
)

// serverContact is what the answers of a server show beside its reports.
type serverContact struct {
	// floor is a position that the server is known to have. Its last report may be
	// older, or missing.
	floor statement.Position
	// busyAt is the time at which the newest poll was sent that the server was too busy
	// to answer, refusedAt that of the newest one whose connection was refused.
	busyAt, refusedAt time.Duration
	polledAt          time.Duration
	// positionAtPoll is the position that the server was known to have as the primary when
	// it was last polled.
	positionAtPoll statement.Position
	// newReportAt is the time at which the newest poll was sent that was answered with a
	// report that the connection had not received before.
	newReportAt time.Duration
	incarnation int64
}

func (m *Machine) contact(server string) *serverContact {
	c, ok := m.contacts[server]
	if !ok {
		c = &serverContact{}
		m.contacts[server] = c
	}
	return c
}

// forgetServers drops what is known of servers that are not registered any more or have
// been registered again. The latter have lost their logs.
func (m *Machine) forgetServers(now time.Duration) {
	for _, x := range m.group.Members {
		_, known := m.contacts[x.Name]
		if c := m.contact(x.Name); c.incarnation != x.Incarnation {
			*c = serverContact{incarnation: x.Incarnation}
			delete(m.reports, x.Name)
			if known && x.Name == m.primary && m.phase == Leading {
				m.enterPhase(now, Surveying, "the primary has started again")
			}
		}
	}
	if len(m.contacts) == len(m.group.Members) {
		return
	}
	for name := range m.contacts {
		if _, ok := m.member(name); !ok {
			delete(m.contacts, name)
			delete(m.reports, name)
		}
	}
}

// pollCandidates polls the servers whose reports a choice of a successor needs.
func (m *Machine) pollCandidates(now time.Duration) {
	for _, x := range m.group.Members {
		interval := reportedPollInterval
		if m.searchSince != 0 && !m.reported(x.Name) {
			interval = unansweredPollInterval
		}
		if now-m.contact(x.Name).polledAt >= interval {
			m.pollServer(now, x.Name)
		}
	}
}

// reported reports whether the server has reported its position since the search for a
// successor began.
func (m *Machine) reported(server string) bool {
	r, ok := m.reports[server]
	return ok && m.searchSince != 0 && r.pollSentAt >= m.searchSince
}

// knownPosition returns a position that the server has, and whether the server is
// known to be alive. A server that is too busy to report its position is alive, and has
// at least the position that it was known to have.
func (m *Machine) knownPosition(server string) (p statement.Position, alive bool) {
	if m.reported(server) {
		return m.reports[server].status.Position, true
	}
	floor := m.contact(server).floor
	return floor, m.answeredBusy(server) && !floor.IsZero()
}

// answeredBusy reports whether the server was too busy to answer a poll that was sent
// since the search for a successor began.
func (m *Machine) answeredBusy(server string) bool {
	return m.searchSince != 0 && m.contact(server).busyAt >= m.searchSince
}

// TermStart is a promotion: the new term, and the position with which it began.
type TermStart struct {
	Term  uint64
	First statement.Position
}

const (
	// maxTermStarts limits the promotions that are remembered.
	maxTermStarts = 64
	// sharedTermStarts is the number of promotions that owners report to other hosts.
	sharedTermStarts = 8
)

// LearnTermStarts adds promotions that former owners of the group have reported. If a
// term is known with two positions, the lower one holds: a server is then rather left
// out than promoted with commits that were rolled back.
func (m *Machine) LearnTermStarts(starts []TermStart) {
	for _, s := range starts {
		if s.Term == 0 || s.First.IsZero() {
			continue
		}
		i, known := slices.BinarySearchFunc(m.termStarts, s.Term, func(x TermStart, term uint64) int { return cmp.Compare(x.Term, term) })
		switch {
		case !known:
			m.termStarts = slices.Insert(m.termStarts, i, s)
		case s.First.Less(m.termStarts[i].First):
			m.termStarts[i].First = s.First
		}
	}
	m.trimTermStarts()
}

func (m *Machine) trimTermStarts() {
	m.termStarts = m.termStarts[max(0, len(m.termStarts)-maxTermStarts):]
}

// TermStarts returns the newest promotions that are known, oldest first.
func (m *Machine) TermStarts() []TermStart {
	return slices.Clone(m.termStarts[max(0, len(m.termStarts)-sharedTermStarts):])
}

// recordTerm records the term of a new primary. Nothing is written in a new term before
// this host uses the primary, so that its first report has the position with which the
// term began.
func (m *Machine) recordTerm(s statement.Status) {
	m.firstPosition = statement.Position{}
	if n := len(m.termStarts); n > 0 && m.termStarts[n-1].Term == s.Term {
		m.firstPosition = m.termStarts[n-1].First
	} else if m.promotesReplica {
		m.firstPosition = s.Position
		m.LearnTermStarts([]TermStart{{s.Term, s.Position}})
	}
}

// isDiverged reports whether a log that ends at p has commits that a promotion rolled
// back. A server that was out of reach during the promotion keeps them until it follows
// the new primary.
func (m *Machine) isDiverged(p statement.Position) bool {
	return slices.ContainsFunc(m.termStarts, func(s TermStart) bool { return p.Term < s.Term && !contains(s.First, p) })
}

// mostAdvanced returns the server with the highest known position among those that may
// be promoted, and that position. The server except is left out. With leaving set,
// servers that may not get new work are included; at equal positions, others are
// preferred.
func (m *Machine) mostAdvanced(now time.Duration, except string, leaving bool) (server string, best statement.Position) {
	usable := false
	for _, x := range m.group.Members {
		p, alive := m.knownPosition(x.Name)
		if !alive || !m.isEligible(now, x, except, leaving) || m.isDiverged(p) && now-m.searchSince < divergedTimeout {
			continue
		}
		if server == "" || best.Less(p) || p == best && x.Usable && !usable {
			server, best, usable = x.Name, p, x.Usable
		}
	}
	return server, best
}

// successor returns the server to promote in place of the primary except. It returns
// false while a server that may be more advanced is waited for, or if no server may be
// promoted.
func (m *Machine) successor(now time.Duration, except string) (string, bool) {
	if m.group.SyncReplicas > 0 {
		return m.safeSuccessor(now, except)
	}
	best, p := m.mostAdvanced(now, except, false)
	switch {
	case best == "":
		m.WaitReason = noServerReason
	case m.hasAllCommits(p) || now-m.searchSince >= successorTimeout || !m.awaitsReport(now, except):
		return best, true
	default:
		m.WaitReason = "a replica has not reported its position"
	}
	return "", false
}

// noServerReason is the WaitReason while no server can be promoted.
const noServerReason = "no server answers, or only servers with commits that were rolled back"

// awaitsReport reports whether a server that may be promoted has not reported its
// position, and is not known to be down.
func (m *Machine) awaitsReport(now time.Duration, except string) bool {
	for _, x := range m.group.Members {
		if m.isEligible(now, x, except, false) && !m.reported(x.Name) && m.contact(x.Name).refusedAt < m.searchSince {
			return true
		}
	}
	return false
}

// safeSuccessor returns the server to promote in a group with synchronous replicas: one
// that certainly has every acknowledged commit. That is a server with the last position
// of the primary, or the most advanced one of so many replicas that each commit is on
// one of them. It waits for the reports without a limit, because a promotion rolls back
// what the server lacks. A server that leaves is promoted if only it has all commits,
// and is then replaced as planned.
func (m *Machine) safeSuccessor(now time.Duration, except string) (string, bool) {
	if m.usableSince == 0 || m.searchSince < m.usableSince {
		m.WaitReason = "the last owner may still acknowledge commits"
		return "", false
	}
	if best, p := m.mostAdvanced(now, except, false); best != "" && m.hasAllCommits(p) {
		return best, true
	}
	best, p := m.mostAdvanced(now, except, true)
	safe := m.silentReplicas() < m.group.SyncReplicas && !p.Less(m.highestPosition(except))
	if m.hasAllCommits(p) {
		safe = now-m.searchSince >= successorTimeout
	}
	switch {
	case best == "":
		m.WaitReason = noServerReason
	case safe:
		return best, true
	default:
		m.WaitReason = "a replica that has not reported its position may have more acknowledged commits"
	}
	return "", false
}

// hasAllCommits reports whether a server with the position p certainly has every commit
// that was acknowledged.
func (m *Machine) hasAllCommits(p statement.Position) bool {
	return m.positionCurrent && !p.Less(m.lastPosition)
}

// highestPosition returns the highest known position of all servers but except.
func (m *Machine) highestPosition(except string) (highest statement.Position) {
	for _, x := range m.group.Members {
		if p, alive := m.knownPosition(x.Name); alive && x.Name != except && !m.isDiverged(p) {
			highest = statement.Max(highest, p)
		}
	}
	return highest
}

// silentReplicas returns the number of replicas that have not reported their position.
// It counts those that were registered when the primary last answered, too.
func (m *Machine) silentReplicas() int {
	names := map[string]bool{}
	for _, name := range m.replicas {
		names[name] = true
	}
	for _, x := range m.group.Members {
		if x.Name != m.primary && (m.primary != "" || !x.ReportsPrimary) {
			names[x.Name] = true
		}
	}
	n := 0
	for name := range names {
		if !m.reported(name) {
			n++
		}
	}
	return n
}

// recordReplicas records which servers may hold a commit that the primary has
// acknowledged. One that is no longer registered is kept until another one has every
// commit that was acknowledged by then.
func (m *Machine) recordReplicas(now time.Duration) {
	if m.group.SyncReplicas == 0 {
		return
	}
	var registered []string
	covered := false
	for _, x := range m.group.Members {
		if x.Name != m.primary {
			registered = append(registered, x.Name)
			covered = covered || !m.departedPosition.IsZero() && !m.contact(x.Name).floor.Less(m.departedPosition)
		}
	}
	var departed []string
	for _, name := range m.replicas {
		if !slices.Contains(registered, name) {
			departed = append(departed, name)
		}
	}
	if len(departed) == 0 || covered {
		m.replicas, m.departedPosition = registered, statement.Position{}
		return
	}
	if m.departedPosition.IsZero() {
		m.departedPosition = m.lastPosition
	}
	m.replicas = append(registered, departed...)
	m.pollCandidates(now)
}

// candidates describes what is known of each server, for logs.
func (m *Machine) candidates() string {
	var out []string
	for _, x := range m.group.Members {
		p, alive := m.knownPosition(x.Name)
		state := "silent"
		switch {
		case m.reported(x.Name) && m.isDiverged(p):
			state = "diverged"
		case m.reported(x.Name):
			state = "reported"
		case alive || m.answeredBusy(x.Name):
			state = "busy"
		}
		out = append(out, fmt.Sprintf("%s %s %d.%d in term %d", x.Name, state, p.Term, p.Number, m.reports[x.Name].status.Term))
	}
	return strings.Join(out, ", ")
}
