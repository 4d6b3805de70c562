package group

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Decision states whether an answer of the primary may be passed to the client.
type Decision uint8

// Decisions on an answer of the primary.
const (
	// Wait is the zero value: the answer can be neither acknowledged nor rejected
	// yet.
	Wait Decision = iota
	// Acknowledge means that the answer may be passed to the client.
	Acknowledge
	// AuthorityLost means that this host has lost its authority in the term.
	AuthorityLost
)

// leaseLive reports whether the lease alone gives write authority: this host
// wrote the current revision of the row while its lease was valid, and the lease
// has not lapsed since.
func (m *Machine) leaseLive() bool {
	if m.disabled.skipLease {
		return m.isOwner()
	}
	return m.isOwner() && m.leaseClaimValid() && m.now < m.leaseUntil
}

// leaseClaimValid reports whether this host wrote the current revision of the row
// under a lease that has been renewed without interruption since.
func (m *Machine) leaseClaimValid() bool {
	return m.leaseClaimed && (m.claimLeaseEpoch == m.leaseEpoch || m.disabled.skipReclaim)
}

// WritableTerm returns the row's term and whether the server is the primary of that
// term and may get new work.
func (m *Machine) WritableTerm(server string) (term uint64, ok bool) {
	ok = m.isOwner() && server != "" && m.row.Primary == server && m.openTerm != 0 && m.openTerm == m.row.Term &&
		!m.plannedPending && m.highestSeenTerm <= m.row.Term
	return m.row.Term, ok
}

// DecideWrite decides whether a commit of the primary at the position may be
// acknowledged. The caller must have passed the current end of the host lease by
// a Lease input.
//
// A position that a majority of the databases holds in the term is part of every
// later term, because a promotion chooses the most advanced database of a
// majority. Such a position is acknowledged whichever host has write authority
// now.
func (m *Machine) DecideWrite(now time.Duration, term, position uint64) Decision {
	m.now = max(m.now, now)
	if m.disabled.skipConfirmation {
		return Acknowledge
	}
	if m.majorityTerm == term && m.majorityPosition >= position {
		return Acknowledge
	}
	if m.termEnded(term) {
		return AuthorityLost
	}
	if m.durability == config.DurabilityPrimary && m.openTerm == term && m.leaseLive() {
		return Acknowledge
	}
	return Wait
}

// DecideRead decides whether the primary's answer to a read may be passed on. The
// read arrived before requestedAt. Without the lease, a majority must report the
// term in answer to polls that were sent after requestedAt.
func (m *Machine) DecideRead(now time.Duration, term uint64, requestedAt time.Duration) Decision {
	m.now = max(m.now, now)
	if m.disabled.skipConfirmation {
		return Acknowledge
	}
	if m.openTerm == term && m.leaseLive() {
		return Acknowledge
	}
	if m.majorityReports(term, requestedAt+1) {
		return Acknowledge
	}
	if m.termEnded(term) {
		return AuthorityLost
	}
	return Wait
}

// termEnded reports whether no answer can be confirmed in the term any more. Work
// that started before ownership was handed over can still be confirmed.
func (m *Machine) termEnded(term uint64) bool {
	return m.row.Term != term || m.highestSeenTerm > term || (m.isOwner() && m.openTerm != term)
}

// PositionSince returns a sample of the primary whose poll was sent after
// requestedAt, if the owner has authority for it. Sessions that connect without a
// token start at this position. On hosts other than the owner and the home host
// of the primary, the decision is AuthorityLost.
func (m *Machine) PositionSince(now, requestedAt time.Duration) (Sample, Decision) {
	m.now = max(m.now, now)
	if s, ok := m.server(m.row.Primary); !m.isOwner() && !(ok && m.isHomeOf(s)) {
		return Sample{}, AuthorityLost
	}
	if !m.isOwner() || m.termEnded(m.row.Term) {
		return Sample{}, Wait // this host is about to open the primary
	}
	newest := m.samples.Newest(1)
	if len(newest) == 1 && newest[0].Term == m.row.Term && newest[0].At > requestedAt {
		return newest[0], Acknowledge
	}
	return Sample{}, Wait
}

// NeedsQuorum reports whether reads of the primary must be confirmed by a
// majority of the databases because the lease gives no write authority.
func (m *Machine) NeedsQuorum(now time.Duration) bool {
	m.now = max(m.now, now)
	return !m.leaseLive()
}

// DataAge returns the staleness bound of a replica that has applied the term's log up
// to the position, and false if no sample covers the position.
func (m *Machine) DataAge(now time.Duration, term, position uint64) (time.Duration, bool) {
	return m.samples.DataAge(now, term, position)
}

// Primary returns the primary and the newest known term. ok is false while the
// primary is not known to be open.
func (m *Machine) Primary() (server string, term uint64, ok bool) {
	if !m.rowKnown || m.row.Primary == "" {
		return "", m.row.Term, false
	}
	if m.isOwner() {
		return m.row.Primary, m.row.Term, m.openTerm == m.row.Term
	}
	return m.row.Primary, m.row.Term, m.ownerReportsOpen()
}

// ownerReportsOpen reports whether, according to the owner's newest report, the
// primary is open in the row's term.
func (m *Machine) ownerReportsOpen() bool {
	p := m.peerStates[m.row.Owner]
	return p != nil && p.hasReport && p.report.Owner && p.report.PrimaryOpen && p.report.Term == m.row.Term && p.report.Primary == m.row.Primary
}

// PlannedPromotionPending reports whether new work has to wait because a planned
// promotion is about to start.
func (m *Machine) PlannedPromotionPending() bool { return m.plannedPending }

// Owns reports whether this host owns the group.
func (m *Machine) Owns() bool { return m.isOwner() }

// LastGap returns the durations of the phases of the last failover that this host
// observed.
func (m *Machine) LastGap() Gap { return m.lastGap }

// reportSampleLimit bounds the number of samples in a report. Home hosts keep the
// older samples from earlier reports.
const reportSampleLimit = 8

// Report returns the state of the group for another host.
func (m *Machine) Report(now time.Duration) Report {
	m.now = max(m.now, now)
	r := Report{Owner: m.isOwner(), OwnerHost: m.row.Owner, Term: m.row.Term, Primary: m.row.Primary}
	r.PrimaryOpen = r.Owner && m.openTerm != 0 && m.openTerm == m.row.Term
	if r.Owner {
		r.Samples = m.samples.Newest(reportSampleLimit)
	}
	p := m.serverStates[m.row.Primary]
	switch {
	case p == nil:
	case !p.unanswered && m.now-m.primaryContactAt < m.opt.Timing.Suspect && p.known && p.statusSent == m.primaryContactAt:
		r.PrimaryAnswered, r.PrimaryAge = true, m.now-m.primaryContactAt
	case p.unanswered:
		r.PrimaryAge = m.now - p.unansweredSince
	}
	return r
}
