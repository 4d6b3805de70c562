package group

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/config"
)

// Decision says whether an answer of the primary may be passed on.
type Decision uint8

// Decisions.
const (
	// Wait is the zero value: nothing is known yet.
	Wait Decision = iota
	// Acknowledge means that the answer may be passed on now.
	Acknowledge
	// Lost means that the authority of the term has ended here.
	Lost
)

// leaseLive reports whether the lease alone gives write authority: this host
// wrote the current revision of the row while its lease was live, and the lease
// has been continuous since.
func (m *Machine) leaseLive() bool {
	if m.unsafe.skipLease {
		return m.isOwner()
	}
	return m.isOwner() && m.claimValid() && m.now < m.leaseUntil
}

// claimValid reports whether this host wrote the current revision of the row
// under a lease that has been continuous since.
func (m *Machine) claimValid() bool {
	return m.claimed && (m.claimEpoch == m.leaseEpoch || m.unsafe.skipReclaim)
}

// Writable returns the term in which the primary may be used for new work.
func (m *Machine) Writable(server string) (term uint64, ok bool) {
	ok = m.isOwner() && server != "" && m.row.Primary == server && m.opened != 0 && m.opened == m.row.Term &&
		!m.closing && m.seenTerm <= m.row.Term
	return m.row.Term, ok
}

// DecideWrite decides on a commit of the primary at the position. The caller
// must have passed the newest end of the host lease.
//
// A position that a majority holds in the term is part of every later term,
// because a promotion chooses the most advanced of a majority. This holds
// whoever has write authority now.
func (m *Machine) DecideWrite(now time.Duration, term, position uint64) Decision {
	m.now = max(m.now, now)
	if m.unsafe.skipConfirmation {
		return Acknowledge
	}
	if m.heldTerm == term && m.held >= position {
		return Acknowledge
	}
	if m.ended(term) {
		return Lost
	}
	if m.durability == config.DurabilityPrimary && m.opened == term && m.leaseLive() {
		return Acknowledge
	}
	return Wait
}

// DecideRead decides on an answer of the primary to a read that arrived before
// asked. Without the lease, a majority must report the term to polls that were
// sent after asked.
func (m *Machine) DecideRead(now time.Duration, term uint64, asked time.Duration) Decision {
	m.now = max(m.now, now)
	if m.unsafe.skipConfirmation {
		return Acknowledge
	}
	if m.opened == term && m.leaseLive() {
		return Acknowledge
	}
	if m.quorum(term, asked+1) {
		return Acknowledge
	}
	if m.ended(term) {
		return Lost
	}
	return Wait
}

// ended reports whether nothing can be confirmed in the term any more. Work that
// was begun before ownership was handed over can still be confirmed.
func (m *Machine) ended(term uint64) bool {
	return m.row.Term != term || m.seenTerm > term || (m.isOwner() && m.opened != term)
}

// PositionSince returns a sample of the primary whose poll was sent after
// asked, if the owner's authority covers it. It serves sessions that connect
// without a token. Only the owner and the home of the primary can expect one.
func (m *Machine) PositionSince(now, asked time.Duration) (Sample, Decision) {
	m.now = max(m.now, now)
	if s, ok := m.server(m.row.Primary); !m.isOwner() && !(ok && m.mine(s)) {
		return Sample{}, Lost
	}
	if !m.isOwner() || m.ended(m.row.Term) {
		return Sample{}, Wait // the primary is about to open here
	}
	newest := m.samples.Newest(1)
	if len(newest) == 1 && newest[0].Term == m.row.Term && newest[0].At > asked {
		return newest[0], Acknowledge
	}
	return Sample{}, Wait
}

// NeedsQuorum reports whether reads of the primary have to be confirmed by a
// majority of the databases.
func (m *Machine) NeedsQuorum(now time.Duration) bool {
	m.now = max(m.now, now)
	return !m.leaseLive()
}

// Age returns the age of a replica's data that was applied up to the position.
func (m *Machine) Age(now time.Duration, term, position uint64) (time.Duration, bool) {
	return m.samples.Age(now, term, position)
}

// Primary returns the primary of the newest known term, false while it is not
// known to be open.
func (m *Machine) Primary() (server string, term uint64, ok bool) {
	if !m.rowKnown || m.row.Primary == "" {
		return "", m.row.Term, false
	}
	if m.isOwner() {
		return m.row.Primary, m.row.Term, m.opened == m.row.Term
	}
	return m.row.Primary, m.row.Term, m.ownerSaysOpen()
}

// ownerSaysOpen reports whether the owner's newest report says that the primary
// is open in the row's term.
func (m *Machine) ownerSaysOpen() bool {
	p := m.peers[m.row.Owner]
	return p != nil && p.ok && p.report.Owner && p.report.Open && p.report.Term == m.row.Term && p.report.Primary == m.row.Primary
}

// Closing reports whether new work waits for a planned promotion.
func (m *Machine) Closing() bool { return m.closing }

// Owns reports whether this host owns the group.
func (m *Machine) Owns() bool { return m.isOwner() }

// LastGap returns the parts of the last failover gap that this host saw.
func (m *Machine) LastGap() Gap { return m.gap }

// reportSamples bounds the size of a report; a home host keeps the older ones.
const reportSamples = 8

// Report returns what this host tells another one.
func (m *Machine) Report(now time.Duration) Report {
	m.now = max(m.now, now)
	r := Report{Owner: m.isOwner(), OwnerHost: m.row.Owner, Term: m.row.Term, Primary: m.row.Primary}
	r.Open = r.Owner && m.opened != 0 && m.opened == m.row.Term
	if r.Owner {
		r.Samples = m.samples.Newest(reportSamples)
	}
	p := m.polls[m.row.Primary]
	switch {
	case p == nil:
	case !p.missing && m.now-m.primaryOK < m.opt.Timing.Suspect && p.known && p.statusSent == m.primaryOK:
		r.Reached, r.Age = true, m.now-m.primaryOK
	case p.missing:
		r.Age = m.now - p.missedSince
	}
	return r
}
