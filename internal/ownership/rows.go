package ownership

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cranberryhinge/cranberryhinge/internal/store"
)

type hostRow struct {
	Host
	revision store.Revision
}

type roleRow struct {
	Role
	name     string
	revision store.Revision
	// firstSeenAt is when this host first read this revision of the row.
	firstSeenAt time.Duration
}

func (m *Machine) hostKey(name string) string { return m.space + "/" + hostKeyPrefix + name }

func (m *Machine) roleKey(name string) string { return m.space + "/" + roleKeyPrefix + name }

// ApplyRows applies changes of the rows. If full is set, the changes are the
// complete set of rows. A confirmed time above 0 is a time at which this host
// had every row. It returns the keys of rows that cannot be decoded.
func (m *Machine) ApplyRows(now, confirmed time.Duration, changes []store.Change, full bool) (undecoded []string) {
	if full {
		m.removeUnlistedRows(changes)
		m.rowsLoaded = true
	}
	for _, c := range changes {
		if !m.applyChange(now, c) {
			undecoded = append(undecoded, c.Key)
		}
	}
	m.confirmedAt = max(m.confirmedAt, confirmed)
	m.checkOwnRow()
	return undecoded
}

func (m *Machine) removeUnlistedRows(changes []store.Change) {
	listed := make(map[string]bool, len(changes))
	for _, c := range changes {
		listed[c.Key] = true
	}
	for name := range m.hosts {
		if !listed[m.hostKey(name)] {
			delete(m.hosts, name)
		}
	}
	for name := range m.roles {
		if !listed[m.roleKey(name)] {
			delete(m.roles, name)
		}
	}
}

// applyChange applies a change of one row. It returns false if the row cannot be
// decoded.
func (m *Machine) applyChange(now time.Duration, c store.Change) bool {
	key := strings.TrimPrefix(c.Key, m.space+"/")
	if name, ok := strings.CutPrefix(key, hostKeyPrefix); ok {
		return m.applyHostChange(name, c)
	}
	if name, ok := strings.CutPrefix(key, roleKeyPrefix); ok {
		return m.applyRoleChange(now, name, c)
	}
	return true
}

func (m *Machine) applyHostChange(name string, c store.Change) bool {
	if old, ok := m.hosts[name]; ok && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		delete(m.hosts, name)
		return true
	}
	r := &hostRow{revision: c.Revision}
	if json.Unmarshal(c.Value, &r.Host) != nil || r.Name != name {
		return false
	}
	m.hosts[name] = r
	return true
}

func (m *Machine) applyRoleChange(now time.Duration, name string, c store.Change) bool {
	old, known := m.roles[name]
	if known && c.Revision <= old.revision && !c.Removed {
		return true
	}
	if c.Removed {
		delete(m.roles, name)
		return true
	}
	r := &roleRow{name: name, revision: c.Revision, firstSeenAt: now}
	if json.Unmarshal(c.Value, &r.Role) != nil {
		return false
	}
	m.roles[name] = r
	delete(m.epochRequested, name)
	return true
}

// checkOwnRow updates registered and replaced from the row under this host's name.
func (m *Machine) checkOwnRow() {
	r, ok := m.hosts[m.self.Name]
	switch {
	case !ok:
	case r.Incarnation == m.self.Incarnation:
		m.registered = true
	case m.registered:
		m.replaced = true
	}
}
