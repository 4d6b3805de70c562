package ownership

import (
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/clock"
	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// eraState is what a Machine knows of the present era of the store, see
// docs/design/store-eras.md.
type eraState struct {
	era store.Era
	// startedAt is when this host first read the rows in the era. Every confirmation of an
	// earlier era, on any host, is dated before it.
	startedAt time.Duration
	// changed is set if there may have been an earlier era: this process has seen it or has
	// found rows of it, or the era is not the first one.
	changed bool
	// kept holds, by role, the epochs that this host could use when the era began, until
	// the role's row is written in the era. No other host uses these roles.
	kept map[string]uint64
	// entering is set from the start of the era until its rows are applied, and entered
	// once they are. heldBefore is the number of roles that the rows before assigned to
	// this host.
	entering, entered bool
	heldBefore        int
}

// EraEntry is what a host found when it first read the rows of an era after an earlier one.
type EraEntry struct {
	Era store.Era
	// Kept is the number of roles that this host goes on to hold, GivenUp that of the
	// others that it had.
	Kept, GivenUp int
}

// NewEra records that the next call of ApplyRows has all rows of a new era.
func (m *Machine) NewEra(now time.Duration, e store.Era) {
	kept, held := map[string]uint64{}, 0
	for name, r := range m.roles {
		if !m.namesSelf(r) {
			continue
		}
		held++
		if epoch, ok := m.UsableEpoch(now, name); ok {
			kept[name] = epoch
		}
	}
	m.eras = eraState{era: e, startedAt: now, changed: m.rowsLoaded || !e.IsFirst(), kept: kept, entering: true, heldBefore: held}
	// The copy may hold the row of an earlier process under this host's name.
	m.registered = false
	clear(m.pendingWrites)
}

// finishNewEra ends the start of an era after its rows have been applied.
func (m *Machine) finishNewEra() {
	if !m.eras.entering {
		return
	}
	m.eras.entering, m.eras.entered = false, m.eras.changed && m.eras.startedAt > m.rowsLoadedAt
	for name, r := range m.roles {
		if r.Era != m.eras.era {
			m.eras.changed = true
		} else {
			delete(m.eras.kept, name) // another host has claimed the role in this era
		}
	}
}

// TakeEraEntry returns what this host found at the start of an era, once.
func (m *Machine) TakeEraEntry() (EraEntry, bool) {
	ok := m.eras.entered
	m.eras.entered = false
	return EraEntry{Era: m.eras.era, Kept: len(m.eras.kept), GivenUp: m.eras.heldBefore - len(m.eras.kept)}, ok
}

// keepsRow reports whether this host keeps a role with the epoch in its row.
func (m *Machine) keepsRow(r *roleRow) bool {
	epoch, ok := m.eras.kept[r.name]
	return ok && m.namesSelf(r) && epoch == r.Epoch
}

// isOfThisEra reports whether a row was written in the present era. What another one says
// of earlier holders is not known to hold: it comes from the copy, or from a write that was
// carried out late.
func (m *Machine) isOfThisEra(r *roleRow) bool { return r.Era == m.eras.era }

// takeoverWaitOver reports whether the takeover wait, if there was one, has passed, so that
// the holder in the row may use the role.
func (m *Machine) takeoverWaitOver(now time.Duration, r *roleRow) bool {
	switch {
	case m.keepsRow(r):
		return true
	case m.isOfThisEra(r):
		return r.takeoverWaitOver(now)
	}
	return now >= r.firstSeenAt+clock.AddDriftMargin(LeaseTTL)
}

// mayUse reports whether the holder in the row may use the role now. In a store with eras
// the end of a takeover wait must be recorded in the row: the store may otherwise have come
// back meanwhile, with the earlier holder in the row.
func (m *Machine) mayUse(now time.Duration, r *roleRow) bool {
	if m.eras.era == 0 || m.keepsRow(r) {
		return m.takeoverWaitOver(now, r)
	}
	return m.isOfThisEra(r) && r.NoTakeoverWait
}

// vacantRowsSettled reports whether a role without a row has no holder that another host
// may still know from an earlier era.
func (m *Machine) vacantRowsSettled(now time.Duration) bool {
	return !m.eras.changed || now >= m.eras.startedAt+clock.AddDriftMargin(LeaseTTL)
}

// nextEpoch returns the epoch for a new holder of a role, or of its holder. In a store with
// eras it is above the revision of the row, which no other successful write expects, so that
// no epoch is given out twice although rows are lost.
func (m *Machine) nextEpoch(name string, r *roleRow) uint64 {
	next := uint64(1)
	if r != nil {
		next = r.Epoch + 1
	}
	if m.eras.era == 0 {
		return next
	}
	return max(next, uint64(m.expectedRole(name, r))+1)
}

// expectedRole returns the revision that a write of a role's row has to expect.
func (m *Machine) expectedRole(name string, r *roleRow) store.Revision {
	rev := store.NewRevision(m.eras.era, 0)
	if r != nil {
		rev = r.revision
	}
	return m.expect(m.roleKey(name), rev)
}

// keptRoleWrite returns the write for a role that this host has kept from the last era: it
// marks the row with the new era, or writes this host into it again.
func (m *Machine) keptRoleWrite(now time.Duration, name string, r *roleRow) (Write, bool) {
	epoch, kept := m.eras.kept[name]
	if !kept || m.leaving || !m.registered || now >= m.LeaseUntil() {
		return Write{}, false
	}
	next := Role{Holder: m.self.Name, Incarnation: m.self.Incarnation, Address: m.self.Address, Epoch: epoch, NoTakeoverWait: true}
	if r != nil && m.keepsRow(r) && !m.epochRequested[name] {
		return m.newRoleWrite(name, r, next, "kept in the new store era"), true
	}
	next.Epoch = m.nextEpoch(name, r)
	delete(m.predecessorEnds, name)
	return m.newRoleWrite(name, r, next, "held in the last store era"), true
}
