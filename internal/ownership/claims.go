package ownership

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

// Tick returns the writes to send now.
func (m *Machine) Tick(now time.Duration) []Write {
	if !m.rowsLoaded || m.replaced {
		return nil
	}
	m.releaseUnconfirmed(now)
	var out []Write
	add := func(w Write) {
		if at, ok := m.pendingWrites[w.Key]; ok && now-at < writeTimeout {
			return
		}
		m.pendingWrites[w.Key] = now
		out = append(out, w)
	}
	if w, needed := m.registerWrite(); needed {
		add(w)
	}
	names := make([]string, 0, len(m.wantedRoles))
	for name := range m.wantedRoles {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if w, needed := m.roleWrite(now, name); needed {
			add(w)
		}
	}
	return out
}

// releaseUnconfirmed releases the roles of this host if it has lost the store
// and other hosts have not. A released epoch is never used again, because
// another host may claim the role without a takeover wait.
func (m *Machine) releaseUnconfirmed(now time.Duration) {
	if now-m.confirmedAt < releaseAge || !m.anotherHostFresh(now) {
		return
	}
	for name, r := range m.roles {
		if m.namesSelf(r) {
			m.releasedEpochs[name] = max(m.releasedEpochs[name], r.Epoch)
		}
	}
}

// registerWrite returns the write that creates or updates the row of this host.
func (m *Machine) registerWrite() (Write, bool) {
	r, ok := m.hosts[m.self.Name]
	key := m.hostKey(m.self.Name)
	if m.leaving || ok && r.Host == m.self && !m.overwritten(key) {
		return Write{}, false
	}
	w := Write{Key: key, Expect: store.NewRevision(m.eras.era, 0), Value: encode(m.self), Reason: "register"}
	if ok {
		w.Expect = r.revision
	}
	w.Expect = m.expect(key, w.Expect)
	return w, true
}

// Deregister returns the write that removes the row of this host, the last step
// of a planned stop.
func (m *Machine) Deregister() (Write, bool) {
	r, ok := m.hosts[m.self.Name]
	if !ok || r.Incarnation != m.self.Incarnation {
		return Write{}, false
	}
	key := m.hostKey(m.self.Name)
	return Write{Key: key, Expect: m.expect(key, r.revision), Remove: true, Reason: "deregister"}, true
}

// roleWrite returns the write, if any, that a wanted role needs now.
func (m *Machine) roleWrite(now time.Duration, name string) (Write, bool) {
	r, ok := m.roles[name]
	if w, needed := m.keptRoleWrite(now, name, r); needed {
		return w, true
	}
	if ok && m.namesSelf(r) {
		delete(m.vacantSince, name)
		return m.heldRoleWrite(now, name, r)
	}
	if m.leaving || !m.registered || now >= m.LeaseUntil() {
		// A claim that is sent without the lease rests on rows that may have changed, and
		// the store may carry it out late.
		return Write{}, false
	}
	reason, noTakeoverWait := m.vacancy(now, r)
	if reason == "" {
		delete(m.vacantSince, name)
		return Write{}, false
	}
	return m.claim(now, name, r, reason, noTakeoverWait)
}

// heldRoleWrite returns the write, if any, for a role whose row names this
// process: it hands over the role, takes it back after a release, starts a new
// epoch, or records that the takeover wait has passed.
func (m *Machine) heldRoleWrite(now time.Duration, name string, r *roleRow) (Write, bool) {
	next := Role{Holder: m.self.Name, Incarnation: m.self.Incarnation, Address: m.self.Address, Epoch: m.nextEpoch(name, r), NoTakeoverWait: true}
	if m.leaving {
		ranked := m.Rank(now, name, m.wantedRoles[name].Zone)
		if len(ranked) == 0 || !m.takeoverWaitOver(now, r) {
			return Write{}, false
		}
		// The role is not used here from now on, whether or not the write
		// succeeds.
		m.releasedEpochs[name] = r.Epoch
		next.Holder, next.Incarnation, next.Address = ranked[0].Name, ranked[0].Incarnation, ranked[0].Address
		return m.newRoleWrite(name, r, next, "cede to "+next.Holder), true
	}
	switch {
	case !m.takeoverWaitOver(now, r):
		return Write{}, false
	case m.releasedEpochs[name] >= r.Epoch && now-m.confirmedAt < maxFreshAge:
		return m.newRoleWrite(name, r, next, "take back"), true
	case m.releasedEpochs[name] >= r.Epoch:
		return Write{}, false
	case m.epochRequested[name]:
		return m.newRoleWrite(name, r, next, "new epoch"), true
	case m.overwritten(m.roleKey(name)):
		return m.newRoleWrite(name, r, next, "row was overwritten"), true
	case !m.isOfThisEra(r):
		// Another host may have used a later epoch meanwhile.
		return m.newRoleWrite(name, r, next, "the row is of an earlier store era"), true
	case !r.NoTakeoverWait:
		// The epoch stays the same. Hosts that read the row from now on see
		// that no further wait is needed.
		next.Epoch = r.Epoch
		return m.newRoleWrite(name, r, next, "wait is over"), true
	}
	return Write{}, false
}

// overwritten reports whether another program has overwritten a row with one that cannot
// be decoded.
func (m *Machine) overwritten(key string) bool {
	_, ok := m.undecodedRows[key]
	return ok
}

// holderSilent is the reason for a claim of a role whose holder is suspected to be down.
const holderSilent = "holder is silent"

// vacancy returns the reason why a role may be claimed, or an empty string if it
// may not. noTakeoverWait is true if no previous holder can still be using the
// role, so that the takeover wait can be skipped.
func (m *Machine) vacancy(now time.Duration, r *roleRow) (reason string, noTakeoverWait bool) {
	if r == nil && !m.vacantRowsSettled(now) {
		return "", false
	}
	if r == nil {
		return "vacant", true
	}
	h, listed := m.hosts[r.Holder]
	switch {
	case r.Holder == m.self.Name:
		return "own role of an earlier process", m.self.Address == r.Address && m.takeoverWaitOver(now, r)
	case !listed:
		return "holder has left", m.takeoverWaitOver(now, r)
	case h.Incarnation != r.Incarnation:
		// The new process can only listen on the address of the old one after
		// the old one has ended. At a different address the old process may
		// still run.
		return "holder has restarted", h.Address == r.Address && m.takeoverWaitOver(now, r)
	case !m.isAlive(now, h.Host):
		return holderSilent, false
	case m.hasReleased(h.Host, r):
		return "holder has released it", m.takeoverWaitOver(now, r)
	}
	return "", false
}

// claim returns the write that takes over a vacant role, unless a host that
// ranks before this one is expected to claim it.
func (m *Machine) claim(now time.Duration, name string, r *roleRow, reason string, noTakeoverWait bool) (Write, bool) {
	vacantSince, ok := m.vacantSince[name]
	if !ok {
		vacantSince = now
		m.vacantSince[name] = now
	}
	if reason == holderSilent && now-m.leaseSince < observationPeriod {
		// This host was cut off from the store, probably from other hosts as well. The
		// first heartbeats arrive up to a second after the connection is back.
		return Write{}, false
	}
	rank := m.claimRank(now, name, m.wantedRoles[name].Zone)
	heldUnderOwnName := r != nil && r.Holder == m.self.Name
	if !heldUnderOwnName && (rank < 0 || now-m.contactSince < observationPeriod || now-vacantSince < time.Duration(rank)*claimDelayPerRank || !m.reachesQuorum(now)) {
		return Write{}, false
	}
	next := Role{
		Holder: m.self.Name, Incarnation: m.self.Incarnation, Address: m.self.Address, Epoch: m.nextEpoch(name, r),
		// The row that was overwritten may have named a holder that this host does not know.
		NoTakeoverWait: noTakeoverWait && !m.overwritten(m.roleKey(name)),
	}
	m.recordPredecessorEnd(name, r, next)
	return m.newRoleWrite(name, r, next, reason), true
}

func (m *Machine) newRoleWrite(name string, r *roleRow, next Role, reason string) Write {
	next.Era = m.eras.era
	return Write{Key: m.roleKey(name), Expect: m.expectedRole(name, r), Value: encode(next), Reason: reason}
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("ownership: " + err.Error()) // cannot happen: the types hold only strings, numbers and booleans
	}
	return data
}
