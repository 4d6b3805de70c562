package group

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/dbconn"
)

type step uint8

const (
	stepClaim step = iota
	stepFence
	stepAssign
	stepPromote
)

// promotion is a promotion that this host runs. The promotion steps of
// docs/design.md, section 6, map to it as follows: claim writes the new term,
// fence waits for a majority, assign records the chosen database and its owner,
// promote makes it primary.
type promotion struct {
	step    step
	term    uint64
	planned bool
	since   time.Duration
	// majorityAt is when a majority was fenced.
	majorityAt time.Duration
	fenced     map[string]dbconn.Status
	failed     map[string]bool
	chosen     string
}

// attemptsBeforeHandingOn is the number of failed attempts after which the
// owner lets another host try: it may be cut off from a majority.
const attemptsBeforeHandingOn = 3

// begin starts a promotion with a term that nobody has used.
func (m *Machine) begin(planned bool) {
	if m.swap != nil {
		return
	}
	if m.failures >= attemptsBeforeHandingOn {
		m.failures = 0
		if to, ok := m.otherHome(); ok {
			m.count(CountHandedOn)
			m.give(to, m.row.Primary)
			return
		}
	}
	if m.suspected {
		m.gap = Gap{Detection: m.suspectedAt - m.lastSeen(), Lease: max(m.lapsedAt-m.suspectedAt, 0)}
	}
	m.opened, m.closing = 0, false
	m.gapStart = m.now
	m.promotion = &promotion{
		step: stepClaim, term: max(m.row.Term, m.seenTerm) + 1, planned: planned, since: m.now,
		fenced: map[string]dbconn.Status{}, failed: map[string]bool{},
	}
	m.sendSwap(swapTerm, m.selfRow(m.promotion.term, ""))
}

// lastSeen is when the primary or its owner last answered here.
func (m *Machine) lastSeen() time.Duration {
	if m.isOwner() {
		return m.primaryOK
	}
	return max(m.primaryOK, m.contactOK)
}

// fail ends the promotion. The next attempt uses a higher term.
func (m *Machine) fail() {
	m.count(CountFailed)
	m.promotion = nil
	m.failures++
	m.restart = true
	m.retryAt = m.now + m.opt.Timing.Retry
	m.wantRow = true
}

func (m *Machine) termClaimed() {
	p := m.promotion
	if p == nil || p.step != stepClaim || p.term != m.row.Term {
		return
	}
	m.count(CountClaimed)
	p.step, p.since = stepFence, m.now
	for _, s := range m.servers {
		m.do(Fence{Server: s.Name, Term: p.term})
	}
}

func (m *Machine) onFence(v FenceAnswer) {
	if v.Err == nil {
		m.seenTerm = max(m.seenTerm, v.Status.Term)
	}
	p := m.promotion
	if p == nil || p.step != stepFence || p.term != v.Term {
		return
	}
	if v.Err != nil || v.Status.Term != p.term {
		p.failed[v.Server] = true
		return
	}
	p.fenced[v.Server] = v.Status
}

// advance moves the promotion on.
func (m *Machine) advance() {
	p := m.promotion
	switch p.step {
	case stepClaim:
		// The store may stay away for long. A primary that is back serves on,
		// under the confirmation rules, until the new term is known to be written.
		if m.now-p.since > m.opt.Timing.Retry && m.isOwner() && m.primaryReached() && m.polls[m.row.Primary].statusSent > p.since {
			m.open()
		}
	case stepFence:
		m.advanceFence(p)
	case stepPromote:
		if m.now-p.since > m.opt.Timing.StepTimeout {
			m.fail()
		}
	}
}

func (m *Machine) advanceFence(p *promotion) {
	need := m.majority()
	if m.unsafe.skipFence {
		need = 1
	}
	if m.seenTerm > p.term || len(m.servers)-len(p.failed) < need || m.now-p.since > m.opt.Timing.StepTimeout {
		m.fail()
		return
	}
	if len(p.fenced) < need {
		return
	}
	if p.majorityAt == 0 {
		p.majorityAt = m.now
	}
	if len(p.fenced)+len(p.failed) < len(m.servers) && m.now-p.majorityAt < m.opt.Timing.FenceSettle {
		return
	}
	m.count(CountFenced)
	m.gap.Fencing = m.now - p.since
	m.gapStart = m.now
	p.chosen = m.choose(p.fenced)
	p.step = stepAssign
	owner := m.opt.Self
	if s, _ := m.server(p.chosen); s.Home.Name != "" {
		owner = s.Home
	}
	m.sendSwap(swapAssign, Row{Term: p.term, Primary: p.chosen, Owner: owner.Name, Incarnation: owner.Incarnation})
}

// choose returns the most advanced of the fenced databases. Positions compare
// whole logs only because the database contract makes them grow with the term
// of the entry: the discarded tail of an old primary can have more entries than
// the log of its successor.
func (m *Machine) choose(fenced map[string]dbconn.Status) string {
	best := Server{}
	for _, s := range m.servers { // in the order of names
		st, ok := fenced[s.Name]
		if !ok {
			continue
		}
		top := fenced[best.Name].Received
		if best.Name == "" || st.Received > top || (st.Received == top && m.preferred(s, best)) {
			best = s
		}
	}
	return best.Name
}

// preferred breaks ties between equally advanced databases: one in use, then
// one whose home is this host, which saves handing ownership on.
func (m *Machine) preferred(a, b Server) bool {
	if a.Out != b.Out {
		return b.Out
	}
	return m.mine(a) && !m.mine(b)
}

// assigned runs when the row names the chosen database and its owner.
func (m *Machine) assigned() {
	p := m.promotion
	if !m.isOwner() {
		m.count(CountHandedOn)
		m.promotion = nil
		return
	}
	if p == nil || p.step != stepAssign || p.term != m.row.Term {
		return
	}
	m.count(CountAssigned)
	m.sendPromote(p)
}

// promoteAssigned promotes the database that the row names, in the row's term:
// another host chose it and handed ownership on, or it restarted.
func (m *Machine) promoteAssigned() {
	m.promotion = &promotion{
		step: stepPromote, term: m.row.Term, chosen: m.row.Primary,
		fenced: map[string]dbconn.Status{}, failed: map[string]bool{},
	}
	m.gapStart = m.rowSince
	m.sendPromote(m.promotion)
}

func (m *Machine) sendPromote(p *promotion) {
	p.step, p.since = stepPromote, m.now
	m.do(Promote{Server: p.chosen, Term: p.term})
}

func (m *Machine) onPromote(v PromoteAnswer) {
	p := m.promotion
	if p == nil || p.step != stepPromote || p.term != v.Term || p.chosen != v.Server || m.row.Term != p.term {
		return
	}
	if v.Err != nil {
		m.fail()
		return
	}
	m.count(CountPromoted)
	m.promotion = nil
	m.primaryOK = m.now
	m.open()
	for _, s := range m.servers {
		if s.Name != p.chosen {
			m.follow(s.Name)
		}
	}
}
