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

// promotion is the state of a promotion that this host runs. The steps correspond
// to docs/design.md, section 6: stepClaim writes the new term to the row, stepFence
// waits until a majority is fenced, stepAssign records the chosen database and its
// owner in the row, and stepPromote makes the database primary.
type promotion struct {
	step          step
	term          uint64
	planned       bool
	stepStartedAt time.Duration
	// majorityFencedAt is the time at which a majority was fenced, 0 before.
	majorityFencedAt time.Duration
	fenced           map[string]dbconn.Status
	failed           map[string]bool
	chosen           string
}

// attemptsBeforeHandover is the number of failed promotions after which the owner
// hands ownership to another host, because it may be partitioned from a majority.
const attemptsBeforeHandover = 3

// startPromotion starts a promotion with a term above all known terms. After too
// many failed promotions it hands ownership to another host instead.
func (m *Machine) startPromotion(planned bool) {
	if m.swap != nil {
		return
	}
	if m.failedPromotions >= attemptsBeforeHandover {
		m.failedPromotions = 0
		if to, ok := m.otherHome(); ok {
			m.count(CountHandedOn)
			m.handOver(to, m.row.Primary)
			return
		}
	}
	if m.suspected {
		m.lastGap = Gap{Detection: m.suspectedAt - m.lastContact(), Lease: max(m.lapsedAt-m.suspectedAt, 0)}
	}
	m.openTerm, m.plannedPending = 0, false
	m.promotionGapStart = m.now
	m.promotion = &promotion{
		step: stepClaim, term: max(m.row.Term, m.highestSeenTerm) + 1, planned: planned, stepStartedAt: m.now,
		fenced: map[string]dbconn.Status{}, failed: map[string]bool{},
	}
	m.sendSwap(swapNewTerm, m.selfRow(m.promotion.term, ""))
}

// lastContact returns the time of the last contact with the primary or, on hosts
// that do not own the group, with its owner.
func (m *Machine) lastContact() time.Duration {
	if m.isOwner() {
		return m.primaryContactAt
	}
	return max(m.primaryContactAt, m.ownerContactAt)
}

// failPromotion ends the promotion and schedules a new one with a higher term.
func (m *Machine) failPromotion() {
	m.count(CountFailed)
	m.promotion = nil
	m.failedPromotions++
	m.promotionRetryDue = true
	m.retryAt = m.now + m.opt.Timing.Retry
	m.rowReadRequested = true
}

// onTermClaimed fences all databases after the row with the new term was written.
func (m *Machine) onTermClaimed() {
	p := m.promotion
	if p == nil || p.step != stepClaim || p.term != m.row.Term {
		return
	}
	m.count(CountClaimed)
	p.step, p.stepStartedAt = stepFence, m.now
	for _, s := range m.servers {
		m.emit(Fence{Server: s.Name, Term: p.term})
	}
}

// onFence records the answer of one database to Fence. A database that did not
// adopt the term counts as failed.
func (m *Machine) onFence(v FenceAnswer) {
	if v.Err == nil {
		m.highestSeenTerm = max(m.highestSeenTerm, v.Status.Term)
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

// advancePromotion continues the promotion in progress.
func (m *Machine) advancePromotion() {
	p := m.promotion
	switch p.step {
	case stepClaim:
		// A store outage can last long. If the primary answers again, it is used
		// with confirmation by a majority until the new term is known to be written.
		if m.now-p.stepStartedAt > m.opt.Timing.Retry && m.isOwner() && m.primaryAnswers() && m.serverStates[m.row.Primary].statusSent > p.stepStartedAt {
			m.openPrimary()
		}
	case stepFence:
		m.advanceFence(p)
	case stepPromote:
		if m.now-p.stepStartedAt > m.opt.Timing.StepTimeout {
			m.failPromotion()
		}
	}
}

// advanceFence chooses the new primary once a majority is fenced and the other
// databases have answered or FenceSettle has passed. It fails the promotion after
// StepTimeout, when a higher term exists, or when too many databases have failed.
func (m *Machine) advanceFence(p *promotion) {
	need := m.majority()
	if m.disabled.skipFence {
		need = 1
	}
	if m.highestSeenTerm > p.term || len(m.servers)-len(p.failed) < need || m.now-p.stepStartedAt > m.opt.Timing.StepTimeout {
		m.failPromotion()
		return
	}
	if len(p.fenced) < need {
		return
	}
	if p.majorityFencedAt == 0 {
		p.majorityFencedAt = m.now
	}
	if len(p.fenced)+len(p.failed) < len(m.servers) && m.now-p.majorityFencedAt < m.opt.Timing.FenceSettle {
		return
	}
	m.count(CountFenced)
	m.lastGap.Fencing = m.now - p.stepStartedAt
	m.promotionGapStart = m.now
	p.chosen = m.mostAdvanced(p.fenced)
	p.step = stepAssign
	owner := m.opt.Self
	if s, _ := m.server(p.chosen); s.Home.Name != "" {
		owner = s.Home
	}
	m.sendSwap(swapAssign, Row{Term: p.term, Primary: p.chosen, Owner: owner.Name, Incarnation: owner.Incarnation})
}

// mostAdvanced returns the fenced database with the highest received position. The
// choice is right only because the database contract makes positions grow with the
// term of the entry. The number of entries does not suffice: an old primary can
// have more entries in the tail that is discarded than its successor has in its log.
func (m *Machine) mostAdvanced(fenced map[string]dbconn.Status) string {
	best := Server{}
	for _, s := range m.servers { // sorted by name
		st, ok := fenced[s.Name]
		if !ok {
			continue
		}
		highestPosition := fenced[best.Name].ReceivedPosition
		if best.Name == "" || st.ReceivedPosition > highestPosition || (st.ReceivedPosition == highestPosition && m.isPreferred(s, best)) {
			best = s
		}
	}
	return best.Name
}

// isPreferred reports whether a is preferred to b when both are equally advanced. A
// server that is not leaving or out of service comes first, then one whose home host
// is this host, because ownership need not be handed over.
func (m *Machine) isPreferred(a, b Server) bool {
	if a.OutOfService != b.OutOfService {
		return b.OutOfService
	}
	return m.isHomeOf(a) && !m.isHomeOf(b)
}

// onAssigned promotes the chosen database after the row with its name was written,
// unless the row names another host as the owner.
func (m *Machine) onAssigned() {
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

// promoteAssigned promotes the database that the row names, in the row's term.
// Either another host chose it and handed ownership over, or the database restarted.
func (m *Machine) promoteAssigned() {
	m.promotion = &promotion{
		step: stepPromote, term: m.row.Term, chosen: m.row.Primary,
		fenced: map[string]dbconn.Status{}, failed: map[string]bool{},
	}
	m.promotionGapStart = m.rowSince
	m.sendPromote(m.promotion)
}

func (m *Machine) sendPromote(p *promotion) {
	p.step, p.stepStartedAt = stepPromote, m.now
	m.emit(Promote{Server: p.chosen, Term: p.term})
}

// onPromote ends the promotion. After a success it opens the primary and makes the
// other databases follow it.
func (m *Machine) onPromote(v PromoteAnswer) {
	p := m.promotion
	if p == nil || p.step != stepPromote || p.term != v.Term || p.chosen != v.Server || m.row.Term != p.term {
		return
	}
	if v.Err != nil {
		m.failPromotion()
		return
	}
	m.count(CountPromoted)
	m.promotion = nil
	m.primaryContactAt = m.now
	m.openPrimary()
	for _, s := range m.servers {
		if s.Name != p.chosen {
			m.sendFollow(s.Name)
		}
	}
}
