package ownership

import (
	"encoding/json"
	"slices"
	"time"
)

// Tick returns the writes that are due.
func (m *Machine) Tick(now time.Duration) []Write {
	if !m.known || m.replaced {
		return nil
	}
	m.releaseUnconfirmed(now)
	var out []Write
	add := func(w Write) {
		if at, ok := m.pending[w.Key]; ok && now-at < writeTimeout {
			return
		}
		m.pending[w.Key] = now
		out = append(out, w)
	}
	if w, due := m.register(); due {
		add(w)
	}
	names := make([]string, 0, len(m.wanted))
	for name := range m.wanted {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if w, due := m.roleWrite(now, name); due {
			add(w)
		}
	}
	return out
}

// releaseUnconfirmed gives the roles up when this host has lost the store and
// others have not. What is released stays so, because another host may claim it
// without a wait.
func (m *Machine) releaseUnconfirmed(now time.Duration) {
	if now-m.confirmed < releaseAfter || !m.othersFresh(now) {
		return
	}
	for name, r := range m.roles {
		if m.own(r) {
			m.released[name] = max(m.released[name], r.Epoch)
		}
	}
}

// register writes the own host row.
func (m *Machine) register() (Write, bool) {
	r, ok := m.hosts[m.self.Name]
	if m.leaving || ok && r.Host == m.self {
		return Write{}, false
	}
	w := Write{Key: m.hostKey(m.self.Name), Value: encode(m.self), Why: "register"}
	if ok {
		w.Expect = r.revision
	}
	return w, true
}

// Deregister returns the write that removes the own row. It is the last one of a
// planned stop.
func (m *Machine) Deregister() (Write, bool) {
	r, ok := m.hosts[m.self.Name]
	if !ok || r.Incarnation != m.self.Incarnation {
		return Write{}, false
	}
	return Write{Key: m.hostKey(m.self.Name), Expect: r.revision, Remove: true, Why: "deregister"}, true
}

func (m *Machine) roleWrite(now time.Duration, name string) (Write, bool) {
	r, ok := m.roles[name]
	if ok && m.own(r) {
		delete(m.vacant, name)
		return m.ownRoleWrite(now, name, r)
	}
	if m.leaving || !m.registered {
		return Write{}, false
	}
	why, immediate := m.vacancy(now, r)
	if why == "" {
		delete(m.vacant, name)
		return Write{}, false
	}
	return m.claim(now, name, r, why, immediate)
}

// ownRoleWrite gives a role up, or starts a new epoch.
func (m *Machine) ownRoleWrite(now time.Duration, name string, r *roleRow) (Write, bool) {
	next := Role{Holder: m.self.Name, Incarnation: m.self.Incarnation, Address: m.self.Address, Epoch: r.Epoch + 1, Immediate: true}
	if m.leaving {
		ranked := m.Rank(now, name, m.wanted[name].Zone)
		if len(ranked) == 0 || !r.settled(now) {
			return Write{}, false
		}
		// From here on the role is not used here, whatever becomes of the write.
		m.released[name] = r.Epoch
		next.Holder, next.Incarnation, next.Address = ranked[0].Name, ranked[0].Incarnation, ranked[0].Address
		return m.roleUpdate(name, r, next, "cede to "+next.Holder), true
	}
	switch {
	case !r.settled(now):
		return Write{}, false
	case m.released[name] >= r.Epoch && now-m.confirmed < freshFor:
		return m.roleUpdate(name, r, next, "take back"), true
	case m.released[name] >= r.Epoch:
		return Write{}, false
	case m.advance[name]:
		return m.roleUpdate(name, r, next, "new epoch"), true
	case !r.Immediate:
		// Those who read the row later need not wait again.
		next.Epoch = r.Epoch
		return m.roleUpdate(name, r, next, "wait is over"), true
	}
	return Write{}, false
}

// vacancy says why a role may be claimed, empty if it may not, and whether its
// holder is known to have stopped.
func (m *Machine) vacancy(now time.Duration, r *roleRow) (why string, immediate bool) {
	if r == nil {
		return "vacant", true
	}
	h, listed := m.hosts[r.Holder]
	switch {
	case r.Holder == m.self.Name:
		return "own role of an earlier process", m.self.Address == r.Address && r.settled(now)
	case !listed:
		return "holder has left", r.settled(now)
	case h.Incarnation != r.Incarnation:
		// The new process could listen on the address of the old one only after
		// that had ended. At another address the old one may still run.
		return "holder has restarted", h.Address == r.Address && r.settled(now)
	case !m.alive(now, h.Host):
		return "holder is silent", false
	case m.hasReleased(h.Host, r):
		return "holder has released it", r.settled(now)
	}
	return "", false
}

// claim takes a vacant role over, unless a better ranked host is about to.
func (m *Machine) claim(now time.Duration, name string, r *roleRow, why string, immediate bool) (Write, bool) {
	since, ok := m.vacant[name]
	if !ok {
		since = now
		m.vacant[name] = now
	}
	rank := slices.IndexFunc(m.Rank(now, name, m.wanted[name].Zone), func(h Host) bool { return h == m.self })
	mine := r != nil && r.Holder == m.self.Name
	if !mine && (rank < 0 || now-m.resumed < settleTime || now-since < time.Duration(rank)*claimStep || !m.hearsEnough(now)) {
		return Write{}, false
	}
	next := Role{Holder: m.self.Name, Incarnation: m.self.Incarnation, Address: m.self.Address, Epoch: 1, Immediate: immediate}
	if r != nil {
		next.Epoch = r.Epoch + 1
	}
	return m.roleUpdate(name, r, next, why), true
}

func (m *Machine) roleUpdate(name string, r *roleRow, next Role, why string) Write {
	w := Write{Key: m.roleKey(name), Value: encode(next), Why: why}
	if r != nil {
		w.Expect = r.revision
	}
	return w
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("ownership: " + err.Error()) // the types hold text and numbers only
	}
	return data
}
